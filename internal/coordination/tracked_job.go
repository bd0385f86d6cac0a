package coordination

import (
	"time"

	"github.com/cobaltvale/cobaltvale/internal/priority"
	"github.com/cobaltvale/cobaltvale/internal/protocol"
	"github.com/cobaltvale/cobaltvale/internal/protocol/meshpb"
)

// trackedJob is a job as its owner describes it, with what the leader knows of its
// tasks.
type trackedJob struct {
	id              string
	shard           *shardState
	spec            *meshpb.JobSummary // nil until a summary with its spec has come
	team            *teamUsage
	priority        protocol.Priority
	image           *image
	onlyMachineType string // the one machine type that its tasks fit on; "": there are none or several

	// Of its owner's summaries.
	pending         int
	placed          int
	cancelling      bool // its user wants it cancelled: nothing is started, what runs is stopped
	started         bool // a task of it was placed
	ended           bool
	endedAt         time.Duration
	endedByOmission bool // it has ended only because its shard's owner did not list it

	// Of offers and preemption.
	offered             int  // in offers that are not answered yet
	startSent           bool // this leader has sent a start of it
	unsentOverdueStarts int  // offered only because it waited for too long, and not sent yet
	preemptions         int  // how often a task of it made room for others
	orderKey            priority.Key

	// See usageAccounting.
	liveReplicas int // that machines list, or were sent
	countedTasks int // tasks in its team's use

	// See quarantine.
	failedMachines map[string]bool // machines
	taskSucceeded  bool
}

// unoffered is how many tasks wait and are not on offer.
func (j *trackedJob) unoffered() int {
	if j.ended || j.cancelling || j.team == nil || j.shard.owner == nil {
		return 0
	}
	return max(0, j.pending-j.offered)
}

// permits tells whether a job may run on a kind of machine.
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
