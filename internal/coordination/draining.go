package coordination

import (
	"time"

	"github.com/cobaltvale/cobaltvale/internal/protocol"
	"github.com/cobaltvale/cobaltvale/internal/protocol/meshpb"
)

const (
	// forcedStopLead is the time before a machine is reclaimed at which replicas of services
	// are stopped even if no other machine has room for them.
	forcedStopLead = 4 * time.Second
	// reclaimMargin is how long before the reclaim of its machine a task must be expected to
	// end; otherwise it is stopped.
	reclaimMargin = time.Second
)

// drainer selects the tasks to stop on machines that the cloud reclaims soon or that are
// quarantined. A stopped task may start elsewhere as soon as the machine confirms the stop,
// instead of after the machine's lease has expired.
//
// It sets stopRequested on the tasks that it selects, and owns no other state.
type drainer struct {
	warmPool *warmPool
	runTime  func(*meshpb.JobSummary) time.Duration
}

// selectVictims selects the tasks to stop on a machine and sets stopRequested on them.
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

// endsBeforeReclaim reports whether a task is expected to end at least reclaimMargin before its
// machine is reclaimed.
func (d *drainer) endsBeforeReclaim(m *machine, r *replicaOnMachine, now time.Duration) bool {
	remaining := d.runTime(r.job.spec)
	if r.state == protocol.TaskRunning {
		remaining -= now - r.stateSince
	}
	return m.reclaimAt > 0 && now+max(remaining, 0) < m.reclaimAt-reclaimMargin
}

// shouldStay reports whether a service's replica is not to be stopped yet: replicas move one
// at a time, once another machine has room, unless the machine is reclaimed within
// forcedStopLead.
func (d *drainer) shouldStay(m *machine, r *replicaOnMachine, now time.Duration) bool {
	if !r.job.spec.Service || (m.reclaimAt > 0 && now >= m.reclaimAt-forcedStopLead) {
		return false
	}
	return r.job.pending > 0 || m.isStoppingTaskOf(r.job) || !d.warmPool.hasRoomElsewhere(r.job, m, now)
}

// isStoppingTaskOf reports whether a machine still lists a task of a job with stopRequested
// set. A machine lists an exited task until the owner knows of the exit and has the task
// started elsewhere.
func (m *machine) isStoppingTaskOf(job *trackedJob) bool {
	for i := range m.tasks {
		if replica := &m.tasks[i]; replica.job == job && replica.stopRequested {
			return true
		}
	}
	return false
}
