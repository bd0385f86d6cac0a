package coordination

import (
	"time"

	"github.com/cobaltvale/cobaltvale/internal/priority"
	"github.com/cobaltvale/cobaltvale/internal/protocol"
	"github.com/cobaltvale/cobaltvale/internal/protocol/meshpb"
)

// trackedJob is a job as its owner reports it, with the leader's own data on its tasks.
type trackedJob struct {
	id              string
	shard           *shardState
	spec            *meshpb.JobSummary // nil until a summary with its spec has arrived
	team            *teamUsage
	priority        protocol.Priority
	image           *image
	onlyFittingType string // the only machine type that its tasks fit on; "": none or several

	// From its owner's summaries.
	pending         int  // tasks that wait for a machine
	assigned        int  // tasks that are, may be or are about to be on a machine
	cancelling      bool // its user has cancelled it: no task is started, running ones are stopped
	started         bool // a task of it has been placed
	ended           bool
	endedAt         time.Duration
	endedByOmission bool // its shard's owner did not list it; a summary with its spec undoes this

	// Changed when tasks are offered, started or preempted.
	offered             int  // tasks in offers that are not closed yet
	startSent           bool // this leader has sent a start command for it
	unsentOverdueStarts int  // tasks offered out of turn because the job was overdue, and not sent yet
	preemptions         int  // how often a task of it was stopped to make room for others
	orderKey            priority.Key

	// See usageAccounting.
	liveReplicas int // replicas that machines list or were sent
	countedTasks int // tasks counted in its team's use

	// See quarantine.
	failedMachines map[string]bool // by machine name
	taskSucceeded  bool
}

// unoffered is how many pending tasks are not on offer and may be started.
func (j *trackedJob) unoffered() int {
	if j.ended || j.cancelling || j.team == nil || j.shard.owner == nil {
		return 0
	}
	return max(0, j.pending-j.offered)
}

// permits reports whether a job may run on a kind of machine.
func permits(s *meshpb.JobSummary, kind machineKind) bool {
	if (kind.spot && !s.Spot) || (s.Zone != "" && s.Zone != kind.zone) {
		return false
	}
	if s.AnyType {
		return true
	}
	for _, t := range s.Types {
		if t == kind.typeName {
			return true
		}
	}
	return false
}
