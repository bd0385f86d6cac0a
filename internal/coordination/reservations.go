package coordination

import (
	"iter"
	"sort"
	"time"

	"github.com/cobaltvale/cobaltvale/internal/protocol"
	"github.com/cobaltvale/cobaltvale/internal/protocol/meshpb"
)

const (
	// maxReservedMachines bounds the number of reserved machines. They are also at most
	// 1 plus the number of all machines divided by reservedMachinesDivisor.
	maxReservedMachines     = 16
	reservedMachinesDivisor = 8
	// noFitDelay is the assumed time until a job's task fits on a machine that will have
	// no room for it even when its listed tasks have ended.
	noFitDelay = time.Hour
)

// reservations reserves machines for overdue jobs, since room that becomes free in small
// parts would otherwise always go to smaller tasks. It owns the field reservedFor of
// machines.
type reservations struct {
	machines    *machineTable
	placement   *placement
	schedulable func(*machine, time.Duration) bool
	runTime     func(*meshpb.JobSummary) time.Duration
}

// renew replaces all reservations: it reserves for each overdue job, as far as the
// limit of reserved machines allows, the machine that is expected to have room for one of the
// job's tasks first.
func (r *reservations) renew(overdue iter.Seq[*trackedJob], now time.Duration) {
	for m := range r.machines.all {
		m.reservedFor = nil
	}
	remaining := min(maxReservedMachines, 1+len(r.machines.byName)/reservedMachinesDivisor)
	for job := range overdue {
		if remaining == 0 {
			return
		}
		remaining--
		if m := r.soonestMachineFor(job, now); m != nil {
			m.reservedFor = job
		}
	}
}

// soonestMachineFor returns the unreserved machine that is expected to have room for a
// job's task first, or nil if no machine could be offered to the job.
func (r *reservations) soonestMachineFor(job *trackedJob, now time.Duration) *machine {
	var best *machine
	soonest := time.Duration(-1)
	for m := range r.machines.all {
		if m.reservedFor != nil || !r.schedulable(m, now) || !r.placement.canOfferWhenEmpty(m, job, now) {
			continue
		}
		if delay := r.timeUntilFits(m, job, now); best == nil || delay < soonest || (delay == soonest && m.index < best.index) {
			best, soonest = m, delay
		}
	}
	return best
}

// timeUntilFits is the expected time until a machine has room for a job's task if
// nothing else is started there.
func (r *reservations) timeUntilFits(m *machine, job *trackedJob, now time.Duration) time.Duration {
	free := m.free
	if free.fits(job.spec) {
		return 0
	}
	live := make([]*replicaOnMachine, 0, len(m.tasks))
	for i := range m.tasks {
		if replica := &m.tasks[i]; replica.state != protocol.TaskExited && replica.requirementsKnown() {
			live = append(live, replica)
		}
	}
	sort.Slice(live, func(i, k int) bool { return r.remainingRunTime(live[i], now) < r.remainingRunTime(live[k], now) })
	for _, replica := range live {
		free.add(replica.job.spec)
		if free.fits(job.spec) {
			return r.remainingRunTime(replica, now)
		}
	}
	return noFitDelay
}

// remainingRunTime is how long a replica is expected to run from now, at least a second.
func (r *reservations) remainingRunTime(replica *replicaOnMachine, now time.Duration) time.Duration {
	left := r.runTime(replica.job.spec)
	if replica.state == protocol.TaskRunning {
		left -= now - replica.stateSince
	}
	return max(left, time.Second)
}
