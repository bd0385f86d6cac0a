package coordination

import (
	"time"

	"github.com/cobaltvale/cobaltvale/internal/protocol"
	"github.com/cobaltvale/cobaltvale/internal/protocol/meshpb"
)

const (
	// forcedStopLead is how long before the end of a machine replicas of services
	// are stopped whether or not there is room for them elsewhere.
	forcedStopLead = 4 * time.Second
	// reclaimMargin is how long before the end of a machine a task should end that
	// is left to run.
	reclaimMargin = time.Second
)

// drainer chooses the tasks to stop on machines that the cloud reclaims soon or
// that are quarantined. A task that is stopped may start elsewhere as soon as the
// machine confirms it, and not only after the machine's lease.
//
// Of state it owns the mark stopRequested of the tasks that it chooses.
type drainer struct {
	warmPool *warmPool
	runTime  func(*meshpb.JobSummary) time.Duration
}

// victims chooses the tasks to stop on a machine, and marks them so.
func (d *drainer) selectVictims(m *machine, now time.Duration) []*replicaOnMachine {
	if m.reclaimAt == 0 && !m.quarantined {
		return nil
	}
	var victims []*replicaOnMachine
	for i := range m.tasks {
		replica := &m.tasks[i]
		if replica.stopRequested || !replica.requirementsKnown() || replica.job.ended || replica.state == protocol.TaskExited || m.ownerCommands[replica.key] != nil {
			continue
		}
		if d.endsBeforeReclaim(m, replica, now) || d.shouldStay(m, replica, now) {
			continue
		}
		replica.stopRequested = true
		victims = append(victims, replica)
	}
	return victims
}

// endsBeforeReclaim tells whether a task should end before its machine does.
func (d *drainer) endsBeforeReclaim(m *machine, r *replicaOnMachine, now time.Duration) bool {
	left := d.runTime(r.job.spec)
	if r.state == protocol.TaskRunning {
		left -= now - r.stateSince
	}
	return m.reclaimAt > 0 && now+max(left, 0) < m.reclaimAt-reclaimMargin
}

// shouldStay tells whether a service's replica is not to be stopped yet: replicas
// move once there is room elsewhere, and one after another, unless the end of the
// machine is near.
func (d *drainer) shouldStay(m *machine, r *replicaOnMachine, now time.Duration) bool {
	if !r.job.spec.Service || (m.reclaimAt > 0 && now >= m.reclaimAt-forcedStopLead) {
		return false
	}
	return r.job.pending > 0 || m.isStoppingTaskOf(r.job) || !d.warmPool.hasRoomElsewhere(r.job, m, now)
}

// isStoppingTaskOf tells whether a machine still reports a task of a job that was
// told to stop: one that has exited is reported until its owner knows, and has it
// started elsewhere.
func (m *machine) isStoppingTaskOf(job *trackedJob) bool {
	for i := range m.tasks {
		if replica := &m.tasks[i]; replica.job == job && replica.stopRequested {
			return true
		}
	}
	return false
}
