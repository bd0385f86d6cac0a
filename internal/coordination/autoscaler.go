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
	// A boot counts as failed once it has taken bootTimeoutFactor times the boot time of the
	// machine's type, plus bootTimeoutGrace.
	bootTimeoutFactor = 3.0
	bootTimeoutGrace  = 10 * time.Second
	// fleetObservationTime is how long a new leader waits for heartbeats before it requests
	// machines.
	fleetObservationTime = 6 * time.Second
)

// machineInventory provides the cloud's machine types and its latest machine list.
type machineInventory interface {
	catalog
	Listed(name string) (cloud.ListedMachine, bool)
	AllListed() iter.Seq2[string, cloud.ListedMachine]
	ListedAt() time.Duration // when the latest list was requested; 0: no list was read yet
}

// autoscaler sizes the fleet. Once a second it counts the machines, matches the pending
// jobs with the available and expected supply, and decides which machines to request and
// which to release.
//
// It owns the counts, and the marks neededByPendingTasks and terminating of machines. It
// makes no calls to the cloud: it returns how many machines of each kind to request and the
// names of the machines to release, and a cloud.Scaler sends the requests.
type autoscaler struct {
	settings            *settings.Settings
	tuning              *settings.Tuning
	inventory           machineInventory
	kinds               *kindSelector
	machines            *machineTable
	electedAt           time.Duration
	schedulable         func(*machine, time.Duration) bool
	leaseExpired        func(*machine, time.Duration) bool
	missingFromCloud    func(*machine, time.Duration) bool
	runTime             func(*meshpb.JobSummary) time.Duration
	silenceLimit        time.Duration
	machineLeaseTimeout time.Duration

	counts fleetCounts
}

// autoscalerInput is the input of one pass of the autoscaler.
type autoscalerInput struct {
	now               time.Duration              // on this process's monotonic clock
	wallMs            int64                      // Unix time in milliseconds
	actingSince       time.Duration              // see leader.actingSince
	pendingJobs       []*trackedJob              // in the scheduling order
	requestedMachines iter.Seq2[cloud.Kind, int] // counts of requests that the cloud has not answered
	forecastMachines  map[string]int             // by type: the least number of machines to have
	machinesKnown     bool                       // every machine that may hold a task is known
}

// recordCreationTimes sets the creation times of machines from the ages in the cloud's list.
func (a *autoscaler) recordCreationTimes(now time.Duration) {
	for name, listed := range a.inventory.AllListed() {
		if m := a.machines.get(name); m != nil && m.createdAt == 0 {
			m.createdAt = now - seconds(listed.AgeS)
		}
	}
}

// knowsFleet reports whether a new leader knows the fleet well enough to request machines:
// it has waited for fleetObservationTime, or no machine is left that could send a heartbeat.
// The latter holds if the machine records and a machine list were read since the election and
// all machines known from them are terminated.
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

// machineObtainable reports whether a machine for a job's tasks can be created or is
// booting. It returns true during the first fleetObservationTime of a leader's term.
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

// bootTimeout returns the time after a machine's creation at which its boot counts as
// failed, if it has sent no heartbeat.
func bootTimeout(t *protocol.MachineType) time.Duration {
	return seconds(t.BootS*bootTimeoutFactor) + bootTimeoutGrace
}
