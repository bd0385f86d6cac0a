package coordination

import (
	"time"

	"github.com/cobaltvale/cobaltvale/internal/protocol"
	"github.com/cobaltvale/cobaltvale/internal/protocol/meshpb"
)

func (o *owner) setReplicas(machine int32, refs []taskRef) {
	if len(refs) == 0 {
		delete(o.replicas, machine)
		return
	}
	o.replicas[machine] = refs
}

// place notes that a copy of a task is on its way to, or on, a machine.
func (o *owner) place(job *ownedJob, i int32, machine int32, state taskState) {
	t := &job.tasks[i]
	switch t.state {
	case taskFinished, taskDurable:
		return
	case taskAssigned, taskPlaced:
		if t.machine == machine {
			job.setState(i, state)
			return
		}
		o.removeReplica(job, i)
	}
	job.setState(i, state)
	t.machine = machine
	o.replicas[machine] = append(o.replicas[machine], taskRef{job, i})
	if job.activeByZone != nil {
		job.activeByZone[o.machines.zoneOf(machine)]++
	}
	o.markChanged(job)
}

func (o *owner) removeReplica(job *ownedJob, i int32) {
	t := &job.tasks[i]
	refs := o.replicas[t.machine]
	for k, r := range refs {
		if r.job == job && r.task == i {
			refs[k] = refs[len(refs)-1]
			o.setReplicas(t.machine, refs[:len(refs)-1])
			break
		}
	}
	if job.activeByZone != nil {
		job.activeByZone[o.machines.zoneOf(t.machine)]--
	}
}

// unassign takes an active task off wherever it was, into the given state: the caller
// has proof that no replica of it is left.
func (o *owner) unassign(job *ownedJob, i int32, state taskState) {
	if s := job.tasks[i].state; s == taskAssigned || s == taskPlaced {
		o.removeReplica(job, i)
	}
	job.markNotRunning(i)
	job.setState(i, state)
	o.c.admission.Release(&job.claim, i, job.tasks[i].replica)
	o.markChanged(job)
}

// replicaLost replicates a task whose replica is proven lost. Was it started by an
// earlier holder of the shard, there may be a newer one somewhere, until every
// machine is reconciled.
func (o *owner) replicaLost(job *ownedJob, i int32, reason lossReason) {
	t := &job.tasks[i]
	o.losses.Add(int(reason))
	o.c.log.Debug().Str("job", job.id).Int32("task", i).Uint64("attempt", t.replica).Str("why", reason.String()).Msg("copy is gone")
	if !job.shard.reconciled && t.replica <= job.shard.lastInheritedReplica {
		o.unassign(job, i, taskUnreconciled)
		o.c.admission.ChargeInherited(&job.claim, 1)
		return
	}
	o.unassign(job, i, taskPending)
}

// reconcile makes every recovered task pending that no machine listed.
func (o *owner) reconcile(shard *ownedShard) {
	shard.reconciled = true
	o.c.log.Info().Str("ledger", shard.name).Int("unlisted", shard.unreconciled).Msg("ledger settled")
	if shard.unreconciled == 0 {
		return
	}
	for _, job := range shard.jobs {
		for i := range job.tasks {
			if job.tasks[i].state == taskUnreconciled {
				o.replicaLost(job, int32(i), lossReconciled)
			}
		}
	}
}

// taskStatus is one task as a machine lists it.
type taskStatus struct {
	ref     taskRef
	machine int32
	epoch   uint64
	status  *meshpb.TaskStatus
}

func (s *taskStatus) exited() bool { return protocol.TaskState(s.status.State) == protocol.TaskExited }

func (s *taskStatus) exitReason() protocol.ExitReason {
	return protocol.ExitReason(s.status.ExitReason)
}

// clearReplica has the machine stop or forget the copy that it lists.
func (o *owner) clearReplica(s *taskStatus) {
	o.command(s.machine, s.ref.job.id, s.status.Task, s.status.Replica, clearingOf(s.status))
}

// onTaskStatus takes one listed task.
func (o *owner) onTaskStatus(s *taskStatus) {
	job, i := s.ref.job, s.ref.task
	if job.finalStatus != "" && job.tasks[i].state != taskDurable {
		o.confirmPlacement(s)
		return // the leader clears machines of jobs that are over
	}
	if !o.acknowledge(s) {
		return
	}
	if !s.exited() {
		o.observeProgress(s)
		return
	}
	o.onTaskExit(s)
}

// observeProgress notes whether a listed replica runs, or only fetches its image yet.
func (o *owner) observeProgress(s *taskStatus) {
	job, i := s.ref.job, s.ref.task
	switch {
	case protocol.TaskState(s.status.State) == protocol.TaskFetching:
		job.markNotRunning(i)
	case !job.tasks[i].running:
		job.markRunning(i, o.c.now())
	}
}

// confirmPlacement notes that the copy of a job that is ending is on its machine. Without
// that the next report, whose list is the same, would be taken for proof that the
// start never arrived, and the copy's use given to others while it still runs.
func (o *owner) confirmPlacement(s *taskStatus) {
	t := &s.ref.job.tasks[s.ref.task]
	if t.state == taskAssigned && t.machine == s.machine && t.replica == s.status.Replica && !s.exited() {
		s.ref.job.setState(s.ref.task, taskPlaced)
		t.epoch = s.epoch
	}
}

// acknowledge notes where a listed copy is, and tells whether it is the replica
// that counts.
func (o *owner) acknowledge(s *taskStatus) bool {
	job, i := s.ref.job, s.ref.task
	t, attempt := &job.tasks[i], s.status.Replica
	switch t.state {
	case taskDurable, taskPending, taskBackingOff:
		// Its result is written, or every copy was proven gone and this is a late
		// list of one.
		o.clearReplica(s)
		return false
	case taskFinished:
		// Its own copy stays listed until the result is written.
		if attempt != t.replica {
			o.clearReplica(s)
		}
		return false
	case taskUnreconciled:
		// A newer copy was proven gone already; or an older one that ended says
		// nothing of a newer one, which may run on a machine that has not been
		// heard of yet.
		if attempt < t.replica || (s.exited() && s.exitReason() != protocol.ExitReasonDone) {
			o.clearReplica(s)
			return false
		}
		t.replica = attempt
		job.shard.lastReplica = max(job.shard.lastReplica, attempt)
		if !s.exited() {
			o.c.admission.RecordFound(&job.claim, i, t.replica)
		}
	case taskAssigned, taskPlaced:
		if attempt > t.replica && (!s.exited() || s.exitReason() == protocol.ExitReasonDone) {
			// Of a recovered task an older copy was heard of first. Earlier
			// holders gave this one out once that was proven gone.
			job.markNotRunning(i)
			t.replica = attempt
			job.shard.lastReplica = max(job.shard.lastReplica, attempt)
		} else if attempt != t.replica || t.machine != s.machine {
			// Not the replica that counts: its result is ignored.
			if attempt < t.replica || t.machine != s.machine {
				o.clearReplica(s)
			}
			return false
		}
	}
	o.place(job, i, s.machine, taskPlaced)
	t.epoch = s.epoch
	return true
}

// onTaskExit takes the end of the replica that counts.
func (o *owner) onTaskExit(s *taskStatus) {
	job, i, why := s.ref.job, s.ref.task, s.exitReason()
	if job.spec.Service && (why == protocol.ExitReasonDone || why == protocol.ExitReasonError) {
		o.onServiceTaskExit(job, i, s.machine)
		o.clearReplica(s)
		return
	}
	switch why {
	case protocol.ExitReasonDone:
		o.unassign(job, i, taskFinished)
		o.recordSuccess(job)
		o.finishTask(job, i)
	case protocol.ExitReasonError:
		o.unassign(job, i, taskBackingOff)
		o.clearReplica(s)
		o.retryFailed(job, i, s.machine)
	case protocol.ExitReasonNoResources, protocol.ExitReasonInUse, protocol.ExitReasonNoSuchTask:
		o.unassign(job, i, taskBackingOff)
		o.clearReplica(s)
		job.backOff(i, o.c.now()+refusedStartBackOff)
	default:
		o.clearReplica(s)
		o.replicaLost(job, i, lossStopped)
	}
}

// refusedStartBackOff is after how long a start that a machine refused is tried again.
const refusedStartBackOff = time.Second

// steadyRuntime is for how long a service's task has to run until its end says
// nothing against its job.
const steadyRuntime = 20 * time.Second

// onServiceTaskExit has a service's task run again, though it ended by itself. One that
// ran for a while before is back at once; one that ends again and again waits as a
// task that fails does, and its job tries one task at a time, see circuitBreaker.
func (o *owner) onServiceTaskExit(job *ownedJob, i, machine int32) {
	t := &job.tasks[i]
	ran := t.running && o.c.now()-t.readyAt > steadyRuntime
	if ran {
		o.unassign(job, i, taskPending)
		o.recordSuccess(job)
		return
	}
	o.unassign(job, i, taskBackingOff)
	o.retryFailed(job, i, machine)
}

// recordSuccess notes that a task of a job ended well, or ran for long enough.
func (o *owner) recordSuccess(job *ownedJob) {
	if job.breaker.open {
		o.markChanged(job)
	}
	job.breaker.recordSuccess()
}

// retryFailed notes that a task has failed on a machine, and has it wait before the
// next replica.
func (o *owner) retryFailed(job *ownedJob, i, machine int32) {
	now := o.c.now()
	job.breaker.recordFailure(machine, job.active, job.running, now)
	job.backOff(i, now+job.breaker.backOff())
}

// finishTask has a finished task written, or the whole job when it was the
// last one.
func (o *owner) finishTask(job *ownedJob, i int32) {
	o.markChanged(job)
	if job.allFinished() {
		o.endIfFinished(job)
		return
	}
	job.shard.records.FinishTask(job.spec, int(i), func() {
		if t := &job.tasks[i]; t.state == taskFinished {
			job.setState(i, taskDurable)
			o.command(t.machine, job.id, uint32(i), t.replica, forgetReplica)
		}
	})
}

func (o *owner) endIfFinished(job *ownedJob) {
	if job.allFinished() {
		o.endJob(job, protocol.StatusDone)
	}
}

// bind adds to the bindings the tasks that go to an offered machine, and how the jobs
// stand then.
func (o *owner) bind(offer *meshpb.Offer, bindings *meshpb.Bindings) {
	machine := o.machines.local(offer.MachineIndex)
	if machine == unknownMachine {
		return
	}
	for _, item := range offer.Items {
		job := o.jobs[item.Job]
		if job == nil {
			continue
		}
		bindings.Bindings = o.bindTasks(bindings.Bindings, job, int(item.Count), offer, machine)
		bindings.Jobs = append(bindings.Jobs, o.summarize(job))
	}
}

// bindTasks appends bindings of up to n pending tasks of a job to an offered machine.
func (o *owner) bindTasks(bindings []*meshpb.Binding, job *ownedJob, n int, offer *meshpb.Offer, machine int32) []*meshpb.Binding {
	if !job.shard.registration.sent {
		return bindings
	}
	zone := o.machines.zoneOf(machine)
	for n = min(n, o.admissible(job)); n > 0; n-- {
		i, found := job.nextPending()
		if !found || !job.zoneAllows(zone) || !o.c.admission.Admit(&job.claim, i, job.shard.lastReplica+1) {
			break
		}
		job.pendingOrder = job.pendingOrder[1:]
		job.shard.lastReplica++
		t := &job.tasks[i]
		t.replica, t.epoch, t.sequence = job.shard.lastReplica, offer.Epoch, offer.Seq
		o.place(job, i, machine, taskAssigned)
		bindings = append(bindings, &meshpb.Binding{Job: job.id, Task: uint32(i), Replica: t.replica})
	}
	return bindings
}

// returnBindings returns picks that were never sent.
func (o *owner) returnBindings(picks []*meshpb.Binding) {
	for _, p := range picks {
		job := o.jobs[p.Job]
		if job == nil || int(p.Task) >= len(job.tasks) {
			o.orphans.releaseUnsent(p)
			continue
		}
		if t := &job.tasks[p.Task]; t.state == taskAssigned && t.replica == p.Replica {
			o.replicaLost(job, int32(p.Task), lossNotSent)
		}
	}
}
