package coordination

import (
	"time"

	"github.com/cobaltvale/cobaltvale/internal/estimate"
	"github.com/cobaltvale/cobaltvale/internal/protocol/meshpb"
)

// estimateTaskOf returns the properties of a job by which the run time of its tasks is
// estimated.
func estimateTaskOf(s *meshpb.JobSummary) estimate.Task {
	return estimate.Task{Class: s.Class, EstimateS: s.EstimateS, Service: s.Service}
}

// runTime is the expected run time of a job's task, estimated from the run times of
// earlier tasks of its class.
func (l *leader) runTime(s *meshpb.JobSummary) time.Duration {
	return l.runTimes.Expected(estimateTaskOf(s))
}
