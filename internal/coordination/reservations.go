package coordination

import (
	"iter"
	"sort"
	"time"

	"github.com/cobaltvale/cobaltvale/internal/protocol"
	"github.com/cobaltvale/cobaltvale/internal/protocol/meshpb"
)

const (
	// maxReservedMachines and reservedMachinesDivisor bound the reserved machines:
	// by their number, and by this part of all machines.
	maxReservedMachines     = 16
	reservedMachinesDivisor = 8
	// noFitDelay is how long a machine counts as taking that will not have room by the
	// end of its tasks.
	noFitDelay = time.Hour
)

// reservations reserves machines for overdue jobs: room that becomes free bit by
// bit would otherwise go to smaller tasks for ever. It owns the mark reservedFor
// of machines.
type reservations struct {
	machines    *machineTable
	placement   *placement
	schedulable func(*machine, time.Duration) bool
	runTime     func(*meshpb.JobSummary) time.Duration
}

// renew drops all reservations and reserves for each overdue job the machine that
// should have room for one of its tasks first.
func (r *reservations) renew(overdue iter.Seq[*trackedJob], now time.Duration) {
	for m := range r.machines.all {
		m.reservedFor = nil
	}
	left := min(maxReservedMachines, 1+len(r.machines.byName)/reservedMachinesDivisor)
	for job := range overdue {
		if left == 0 {
			return
		}
		left--
		if m := r.soonestMachineFor(job, now); m != nil {
			m.reservedFor = job
		}
	}
}

// soonestMachineFor returns the machine that should have room for a job's task first and
// is not reserved, or nil if none suits the job.
func (r *reservations) soonestMachineFor(job *trackedJob, now time.Duration) *machine {
	var best *machine
	soonest := time.Duration(-1)
	for m := range r.machines.all {
		if m.reservedFor != nil || !r.schedulable(m, now) || !r.placement.canOfferWhenEmpty(m, job, now) {
			continue
		}
		if in := r.timeUntilFits(m, job, now); best == nil || in < soonest || (in == soonest && m.index < best.index) {
			best, soonest = m, in
		}
	}
	return best
}

// timeUntilFits is how long it should take until a machine has room for a job's
// task if nothing else is started there.
func (r *reservations) timeUntilFits(m *machine, job *trackedJob, now time.Duration) time.Duration {
	free := m.free
	if free.fits(job.spec) {
		return 0
	}
	live := make([]*replicaOnMachine, 0, len(m.tasks))
	for i := range m.tasks {
		if replica := &m.tasks[i]; replica.state != protocol.TaskExited && replica.sizeKnown() {
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

// remainingRunTime is how long a replica should still run: a second at the least.
func (r *reservations) remainingRunTime(replica *replicaOnMachine, now time.Duration) time.Duration {
	left := r.runTime(replica.job.spec)
	if replica.state == protocol.TaskRunning {
		left -= now - replica.since
	}
	return max(left, time.Second)
}
