package shard

import (
	"time"

	"github.com/cobaltvale/cobaltvale/internal/protocol"
	"github.com/cobaltvale/cobaltvale/internal/protocol/meshpb"
)

// listedTask is one task as a machine lists it.
type listedTask struct {
	ref     taskRef
	machine int32
	epoch   uint64
	status  *meshpb.TaskStatus
}

func (s *listedTask) exited() bool { return protocol.TaskState(s.status.State) == protocol.TaskExited }

func (s *listedTask) exitReason() protocol.ExitReason {
	return protocol.ExitReason(s.status.ExitReason)
}

// queueCleanup has the machine stop or forget the replica that it lists.
func (o *Owner) queueCleanup(s *listedTask) {
	o.queueCommand(s.machine, s.ref.job.id, s.status.Task, s.status.Replica, commandFor(s.status))
}

// handleTaskStatus takes one listed task.
func (o *Owner) handleTaskStatus(s *listedTask) {
	job, i := s.ref.job, s.ref.task
	if job.Ending() && job.tasks[i].state != TaskDurable {
		o.confirmPlacement(s)
		return // the leader clears machines of jobs that are over
	}
	if !o.identifyReplica(s) {
		return
	}
	if !s.exited() {
		o.recordProgress(s)
		return
	}
	o.handleTaskExit(s)
}

// recordProgress notes whether a listed replica runs, or only fetches its image yet.
func (o *Owner) recordProgress(s *listedTask) {
	job, i := s.ref.job, s.ref.task
	switch {
	case protocol.TaskState(s.status.State) == protocol.TaskFetching:
		job.markNotRunning(i)
	case !job.tasks[i].running:
		job.markRunning(i, o.now())
	}
}

// confirmPlacement notes that a replica of a job that is ending is on its machine. Without
// that the next status, which lists the same, would be taken for proof that the start
// never arrived, and what the replica uses given to others while it still runs.
func (o *Owner) confirmPlacement(s *listedTask) {
	t := &s.ref.job.tasks[s.ref.task]
	if t.state == TaskAssigned && t.machine == s.machine && t.replica == s.status.Replica && !s.exited() {
		s.ref.job.setState(s.ref.task, TaskPlaced)
		t.epoch = s.epoch
	}
}

// acknowledge notes where a listed replica is, and tells whether it is the one that
// counts. Others are cleared.
func (o *Owner) identifyReplica(s *listedTask) bool {
	job, i := s.ref.job, s.ref.task
	counts := false
	switch job.tasks[i].state {
	case TaskPending, TaskBackingOff, TaskDurable:
		// Its result is written, or every replica was proven lost and this is a late
		// status of one.
		o.queueCleanup(s)
	case TaskFinished:
		// Its own replica stays listed until the result is written.
		if s.status.Replica != job.tasks[i].replica {
			o.queueCleanup(s)
		}
	case TaskUnreconciled:
		counts = o.identifyUnreconciledReplica(s)
	case TaskAssigned, TaskPlaced:
		counts = o.identifyActiveReplica(s)
	}
	if counts {
		o.setMachine(job, i, s.machine, TaskPlaced)
		job.tasks[i].epoch = s.epoch
	}
	return counts
}

// identifyUnreconciledReplica takes a listed replica of a recovered task that may be
// anywhere, and tells whether it counts.
func (o *Owner) identifyUnreconciledReplica(s *listedTask) bool {
	job, i := s.ref.job, s.ref.task
	// A newer replica was proven lost already; or an older one that ended says
	// nothing of a newer one, which may run on a machine that has not been
	// heard of yet.
	if s.status.Replica < job.tasks[i].replica || (s.exited() && s.exitReason() != protocol.ExitReasonDone) {
		o.queueCleanup(s)
		return false
	}
	job.setReplica(i, s.status.Replica)
	if !s.exited() {
		o.admission.RecordFound(&job.claim, i, s.status.Replica)
	}
	return true
}

// identifyActiveReplica takes a listed replica of a task that is assigned or placed, and
// tells whether it counts.
func (o *Owner) identifyActiveReplica(s *listedTask) bool {
	job, i := s.ref.job, s.ref.task
	t, replica := &job.tasks[i], s.status.Replica
	switch {
	case replica > t.replica && (!s.exited() || s.exitReason() == protocol.ExitReasonDone):
		// Of a recovered task an older replica was heard of first. Earlier
		// holders started this one once that was proven lost.
		job.markNotRunning(i)
		job.setReplica(i, replica)
		return true
	case replica == t.replica && t.machine == s.machine:
		return true
	case replica < t.replica || t.machine != s.machine:
		// Not the replica that counts: its result is ignored.
		o.queueCleanup(s)
	}
	return false
}

// handleTaskExit takes the end of the replica that counts.
func (o *Owner) handleTaskExit(s *listedTask) {
	job, i, why := s.ref.job, s.ref.task, s.exitReason()
	if job.spec.Service && (why == protocol.ExitReasonDone || why == protocol.ExitReasonError) {
		o.handleServiceTaskExit(job, i, s.machine)
		o.queueCleanup(s)
		return
	}
	switch why {
	case protocol.ExitReasonDone:
		o.unassign(job, i, TaskFinished)
		o.recordSuccess(job)
		o.writeFinishedTask(job, i)
	case protocol.ExitReasonError:
		o.unassign(job, i, TaskBackingOff)
		o.queueCleanup(s)
		o.backOffFailedTask(job, i, s.machine)
	case protocol.ExitReasonNoResources, protocol.ExitReasonInUse, protocol.ExitReasonNoSuchTask:
		o.unassign(job, i, TaskBackingOff)
		o.queueCleanup(s)
		job.backOff(i, o.now()+rejectedStartBackOff)
	default:
		o.queueCleanup(s)
		o.recordReplicaLost(job, i, lossStopped)
	}
}

// rejectedStartBackOff is after how long a start that a machine refused is tried again.
const rejectedStartBackOff = time.Second

// minHealthyServiceRuntime is for how long a service's task has to run until its end says
// nothing against its job.
const minHealthyServiceRuntime = 20 * time.Second

// handleServiceTaskExit has a service's task run again, though it ended by itself. One that
// ran for a while before is back at once; one that ends again and again waits as a
// task that fails does, and its job tries one task at a time, see circuitBreaker.
func (o *Owner) handleServiceTaskExit(job *Job, i, machine int32) {
	t := &job.tasks[i]
	ran := t.running && o.now()-t.readyOrRunningAt > minHealthyServiceRuntime
	if ran {
		o.unassign(job, i, TaskPending)
		o.recordSuccess(job)
		return
	}
	o.unassign(job, i, TaskBackingOff)
	o.backOffFailedTask(job, i, machine)
}

// recordSuccess notes that a task of a job ended well, or ran for long enough.
func (o *Owner) recordSuccess(job *Job) {
	if job.breaker.open {
		o.MarkChanged(job)
	}
	job.breaker.recordSuccess()
}

// backOffFailedTask notes that a task has failed on a machine, and has it wait before the
// next replica.
func (o *Owner) backOffFailedTask(job *Job, i, machine int32) {
	now := o.now()
	job.breaker.recordFailure(machine, job.active, job.running, now)
	job.backOff(i, now+job.breaker.backOff())
}

// writeFinishedTask has a finished task written, or the whole job when it was the
// last one.
func (o *Owner) writeFinishedTask(job *Job, i int32) {
	o.MarkChanged(job)
	if job.allFinished() {
		o.endIfFinished(job)
		return
	}
	job.shard.records.FinishTask(job.spec, int(i), func() {
		if t := &job.tasks[i]; t.state == TaskFinished {
			job.setState(i, TaskDurable)
			o.queueCommand(t.machine, job.id, uint32(i), t.replica, reapCommand)
		}
	})
}
