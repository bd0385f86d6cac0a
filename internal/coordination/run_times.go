package coordination

import (
	"time"

	"github.com/cobaltvale/cobaltvale/internal/estimate"
	"github.com/cobaltvale/cobaltvale/internal/protocol/meshpb"
)

// estimateTaskOf is what the run time of a job's tasks is expected by.
func estimateTaskOf(s *meshpb.JobSummary) estimate.Task {
	return estimate.Task{Class: s.Class, EstimateS: s.EstimateS, Service: s.Service}
}

// runTime is the expected run time of a task, by what tasks of its class took.
func (l *leader) runTime(s *meshpb.JobSummary) time.Duration {
	return l.runTimes.Expected(estimateTaskOf(s))
}
