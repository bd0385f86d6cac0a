package shard

import (
	"time"

	"github.com/cobaltvale/cobaltvale/internal/protocol"
	"github.com/cobaltvale/cobaltvale/internal/protocol/meshpb"
)

// listedTask is a task that a machine lists in its status.
type listedTask struct {
	ref     taskRef
	machine int32
	epoch   uint64
	status  *meshpb.TaskStatus
}

func (listed *listedTask) exited() bool {
	return protocol.TaskState(listed.status.State) == protocol.TaskExited
}

func (listed *listedTask) exitReason() protocol.ExitReason {
	return protocol.ExitReason(listed.status.ExitReason)
}

// queueCleanup asks the machine to stop the replica that it lists, or to remove it if it
// has exited.
func (o *Owner) queueCleanup(listed *listedTask) {
	o.queueCommand(listed.machine, listed.ref.job.id, listed.status.Task, listed.status.Replica, commandFor(listed.status))
}

// handleTaskStatus handles one listed task.
func (o *Owner) handleTaskStatus(listed *listedTask) {
	job, task := listed.ref.job, listed.ref.task
	if job.Ending() && job.tasks[task].state != TaskDurable {
		o.confirmPlacement(listed)
		return // the leader cleans up the replicas of ended jobs
	}
	if !o.identifyReplica(listed) {
		return
	}
	if !listed.exited() {
		o.recordProgress(listed)
		return
	}
	o.handleTaskExit(listed)
}

// recordProgress records whether a listed replica runs or still fetches its image.
func (o *Owner) recordProgress(listed *listedTask) {
	job, task := listed.ref.job, listed.ref.task
	switch {
	case protocol.TaskState(listed.status.State) == protocol.TaskFetching:
		job.markNotRunning(task)
	case !job.tasks[task].running:
		job.markRunning(task, o.now())
	}
}

// confirmPlacement records that a replica of a job that is ending is on its machine.
// Otherwise the next status, which lists the same, would be taken as proof that the start
// never arrived, and what the replica uses would be given to others while it still runs.
func (o *Owner) confirmPlacement(listed *listedTask) {
	t := &listed.ref.job.tasks[listed.ref.task]
	if t.state == TaskAssigned && t.machine == listed.machine && t.replica == listed.status.Replica && !listed.exited() {
		listed.ref.job.setState(listed.ref.task, TaskPlaced)
		t.epoch = listed.epoch
	}
}

// identifyReplica records where a listed replica is, and reports whether it is the task's
// current replica. Other replicas are cleaned up.
func (o *Owner) identifyReplica(listed *listedTask) bool {
	job, task := listed.ref.job, listed.ref.task
	current := false
	switch job.tasks[task].state {
	case TaskPending, TaskBackingOff, TaskDurable:
		// The task's result is written, or every replica was proven lost and this is a
		// late status of one.
		o.queueCleanup(listed)
	case TaskFinished:
		// The current replica stays listed until the result is written.
		if listed.status.Replica != job.tasks[task].replica {
			o.queueCleanup(listed)
		}
	case TaskUnreconciled:
		current = o.identifyUnreconciledReplica(listed)
	case TaskAssigned, TaskPlaced:
		current = o.identifyActiveReplica(listed)
	}
	if current {
		o.setMachine(job, task, listed.machine, TaskPlaced)
		job.tasks[task].epoch = listed.epoch
	}
	return current
}

// identifyUnreconciledReplica handles a listed replica of a recovered task whose replicas
// may be on any machine, and reports whether it becomes the current replica.
func (o *Owner) identifyUnreconciledReplica(listed *listedTask) bool {
	job, task := listed.ref.job, listed.ref.task
	// Either a newer replica was already proven lost, or this replica ended without
	// success. Its end proves nothing about a newer replica, which may run on a machine that
	// has not been heard from yet.
	if listed.status.Replica < job.tasks[task].replica || (listed.exited() && listed.exitReason() != protocol.ExitReasonDone) {
		o.queueCleanup(listed)
		return false
	}
	job.setReplica(task, listed.status.Replica)
	if !listed.exited() {
		o.admission.RecordReplicaFound(&job.claim, task, listed.status.Replica)
	}
	return true
}

// identifyActiveReplica handles a listed replica of a task that is assigned or placed, and
// reports whether it is the current replica.
func (o *Owner) identifyActiveReplica(listed *listedTask) bool {
	job, task := listed.ref.job, listed.ref.task
	t, replica := &job.tasks[task], listed.status.Replica
	switch {
	case replica > t.replica && (!listed.exited() || listed.exitReason() == protocol.ExitReasonDone):
		// An older replica of a recovered task was reported first. An earlier holder
		// started this one after the older one was proven lost.
		job.markNotRunning(task)
		job.setReplica(task, replica)
		return true
	case replica == t.replica && t.machine == listed.machine:
		return true
	case replica < t.replica || t.machine != listed.machine:
		// Not the current replica: its result is ignored.
		o.queueCleanup(listed)
	}
	return false
}

// handleTaskExit handles the exit of a task's current replica.
func (o *Owner) handleTaskExit(listed *listedTask) {
	job, task, reason := listed.ref.job, listed.ref.task, listed.exitReason()
	if job.spec.Service && (reason == protocol.ExitReasonDone || reason == protocol.ExitReasonError) {
		o.handleServiceTaskExit(job, task, listed.machine)
		o.queueCleanup(listed)
		return
	}
	switch reason {
	case protocol.ExitReasonDone:
		o.unassign(job, task, TaskFinished)
		o.recordSuccess(job)
		o.writeFinishedTask(job, task)
	case protocol.ExitReasonError:
		o.unassign(job, task, TaskBackingOff)
		o.queueCleanup(listed)
		o.backOffFailedTask(job, task, listed.machine)
	case protocol.ExitReasonNoResources, protocol.ExitReasonInUse, protocol.ExitReasonNoSuchTask:
		o.unassign(job, task, TaskBackingOff)
		o.queueCleanup(listed)
		job.backOff(task, o.now()+rejectedStartBackOff)
	default:
		o.queueCleanup(listed)
		o.recordReplicaLost(job, task, lossStopped)
	}
}

// rejectedStartBackOff is the delay before a start that a machine rejected is retried.
const rejectedStartBackOff = time.Second

// minHealthyServiceRuntime is how long a service's task has to run for its exit not to
// count as a failure of its job.
const minHealthyServiceRuntime = 20 * time.Second

// handleServiceTaskExit runs a service's task again although it ended by itself. A task
// that ran for longer than minHealthyServiceRuntime becomes pending at once. One that ended
// earlier backs off as a failed task does; if that repeats, its job starts one task at a
// time, see circuitBreaker.
func (o *Owner) handleServiceTaskExit(job *Job, task, machine int32) {
	t := &job.tasks[task]
	healthy := t.running && o.now()-t.readyOrRunningAt > minHealthyServiceRuntime
	if healthy {
		o.unassign(job, task, TaskPending)
		o.recordSuccess(job)
		return
	}
	o.unassign(job, task, TaskBackingOff)
	o.backOffFailedTask(job, task, machine)
}

// recordSuccess records that a task of a job succeeded, or ran for long enough.
func (o *Owner) recordSuccess(job *Job) {
	if job.breaker.open {
		o.MarkChanged(job)
	}
	job.breaker.recordSuccess()
}

// backOffFailedTask records that a task has failed on a machine, and makes it wait before
// its next replica.
func (o *Owner) backOffFailedTask(job *Job, task, machine int32) {
	now := o.now()
	job.breaker.recordFailure(machine, job.active, job.running, now)
	job.backOff(task, now+job.breaker.backOff())
}

// writeFinishedTask writes that a task has finished, or ends the whole job if it was the
// last one.
func (o *Owner) writeFinishedTask(job *Job, task int32) {
	o.MarkChanged(job)
	if job.allFinished() {
		o.endIfFinished(job)
		return
	}
	job.shard.records.FinishTask(job.spec, int(task), func() {
		if t := &job.tasks[task]; t.state == TaskFinished {
			job.setState(task, TaskDurable)
			o.queueCommand(t.machine, job.id, uint32(task), t.replica, reapCommand)
		}
	})
}
