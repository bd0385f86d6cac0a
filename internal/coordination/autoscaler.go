package coordination

import (
	"iter"
	"time"

	"github.com/cobaltvale/cobaltvale/internal/cloud"
	"github.com/cobaltvale/cobaltvale/internal/protocol"
	"github.com/cobaltvale/cobaltvale/internal/protocol/meshpb"
	"github.com/cobaltvale/cobaltvale/internal/settings"
)

const (
	// bootTimeoutFactor and bootTimeoutGrace say when a boot has failed: it takes
	// this many times the usual time, and the grace.
	bootTimeoutFactor = 3.0
	bootTimeoutGrace  = 10 * time.Second
	// fleetObservationTime is how long a new leader waits for heartbeats before it adds
	// machines.
	fleetObservationTime = 6 * time.Second
)

// machineInventory is what the cloud says of machines and their types.
type machineInventory interface {
	catalog
	Listed(name string) (cloud.ListedMachine, bool)
	AllListed() iter.Seq2[string, cloud.ListedMachine]
	ListedAt() time.Duration // 0: no list was read yet
}

// autoscaler sizes the fleet. Once a second it counts the machines, matches the
// pending jobs with the supply that is there or to come, and decides which
// machines to request and which to release.
//
// It owns the counts and the marks needed and terminating of machines. It makes
// no calls to the cloud: its decisions are a scaleOutPlan and names of machines,
// for the cloud.Scaler to carry out.
type autoscaler struct {
	settings         *settings.Settings
	tuning           *settings.Tuning
	inventory        machineInventory
	kinds            *kindSelector
	machines         *machineTable
	electedAt        time.Duration
	schedulable      func(*machine, time.Duration) bool
	leaseExpired     func(*machine, time.Duration) bool
	missingFromCloud func(*machine, time.Duration) bool
	runTime          func(*meshpb.JobSummary) time.Duration
	silenceLimit     time.Duration
	leaseTimeout     time.Duration

	counts fleetCounts
}

// autoscalerInput is what one pass of the autoscaler goes by.
type autoscalerInput struct {
	now               time.Duration
	wallMs            int64                      // Unix time
	actingSince       time.Duration              // since when heartbeats have been answered without a break
	pendingJobs       []*trackedJob              // in the order of service
	requestedMachines iter.Seq2[cloud.Kind, int] // machines, by request that the cloud has not answered
	forecastMachines  map[string]int             // how many machines of each type there should be at the least
	machinesKnown     bool                       // every machine that may hold a task is known
}

// recordCreationTimes takes from the cloud's list when machines were created.
func (a *autoscaler) recordCreationTimes(now time.Duration) {
	for name, listed := range a.inventory.AllListed() {
		if m := a.machines.get(name); m != nil && m.createdAt == 0 {
			m.createdAt = now - seconds(listed.AgeS)
		}
	}
}

// knowsFleet tells whether a new leader knows the fleet well enough to add to it:
// it has waited for a while, or there is nobody to be heard of.
func (a *autoscaler) knowsFleet(in *autoscalerInput) bool {
	if in.now-a.electedAt >= fleetObservationTime {
		return true
	}
	if !in.machinesKnown || a.inventory.ListedAt() <= a.electedAt {
		return false
	}
	for m := range a.machines.all {
		if !m.terminated {
			return false
		}
	}
	return true
}

// obtainable tells whether a machine for a job's tasks can be created or is
// booting.
func (a *autoscaler) machineObtainable(job *trackedJob, now time.Duration) bool {
	if _, ok := a.kinds.bestKind(kindQuery{job: job, now: now}); ok || now-a.electedAt < fleetObservationTime {
		return true
	}
	for kind, n := range a.counts.bootingByKind {
		if n > 0 && permits(job.spec, kind) {
			return true
		}
	}
	return false
}

// bootTimeout is how long after its creation a machine that has sent no heartbeat
// counts as one whose boot has failed.
func bootTimeout(t *protocol.MachineType) time.Duration {
	return seconds(t.BootS*bootTimeoutFactor) + bootTimeoutGrace
}
