package coordination

import (
	"github.com/cobaltvale/cobaltvale/internal/audit"
	"github.com/cobaltvale/cobaltvale/internal/protocol"
	"github.com/cobaltvale/cobaltvale/internal/protocol/meshpb"
	"github.com/cobaltvale/cobaltvale/internal/quota"
)

// orphans holds the copies that may be left of jobs that are over: they count for
// their teams until their machines have proved them gone, by the same proofs as the
// copies of jobs that go on.
type orphans struct {
	admission *admission
	byMachine map[int32][]*orphanedReplica // by machine; nobody: it is not known which
}

// orphanedReplica is a copy of a task whose job is over.
type orphanedReplica struct {
	shard           *ownedShard
	team, job       string
	task            uint32
	replica         uint64
	epoch, sequence uint64
	assigned        bool // its start has not been acknowledged by a report
	knownToLeader   bool // the present leader has known the job while it went on, and tells of its copies
	amount          quota.Amount
}

func (o *orphans) init(a *admission) {
	o.admission = a
	o.byMachine = make(map[int32][]*orphanedReplica)
}

// keepOrphans keeps what may be left of a job that is about to be forgotten.
func (a *admission) keepOrphans(job *ownedJob) {
	if !a.limited(job) {
		return
	}
	for i := range job.tasks {
		t := &job.tasks[i]
		machine := t.machine
		switch t.state {
		case taskUnreconciled:
			machine = unknownMachine
		case taskAssigned, taskPlaced:
		default:
			continue
		}
		a.orphans.byMachine[machine] = append(a.orphans.byMachine[machine], &orphanedReplica{shard: job.shard, team: job.spec.Team, job: job.id, task: uint32(i),
			replica: t.replica, epoch: t.epoch, sequence: t.sequence, assigned: t.state == taskAssigned, knownToLeader: job.shard.registered && !job.specUnsent,
			amount: taskAmount(job.spec)})
	}
}

// release gives back what the copies used for which gone holds.
func (o *orphans) release(machine int32, gone func(orphan *orphanedReplica) bool) {
	list := o.byMachine[machine]
	if len(list) == 0 {
		return
	}
	kept := list[:0]
	for _, orphan := range list {
		if !gone(orphan) {
			kept = append(kept, orphan)
			continue
		}
		before := o.admission.manager.Spent(orphan.shard.name, orphan.team)
		o.admission.manager.Release(orphan.shard.name, orphan.team, orphan.amount)
		o.admission.record(audit.Record{Kind: audit.Released, Shard: orphan.shard.name, FencingToken: orphan.shard.fencingToken, Team: orphan.team, Job: orphan.job, Task: orphan.task,
			Replica: orphan.replica, Amount: o.admission.manager.LimitedPart(orphan.team, orphan.amount), SpentBefore: before})
	}
	clear(list[len(kept):])
	if o.byMachine[machine] = kept; len(kept) == 0 {
		delete(o.byMachine, machine)
	}
}

// mayHold tells whether a machine may hold any.
func (o *orphans) mayHold(machine int32) bool { return len(o.byMachine[machine]) > 0 }

// detachAll notes that the stream from the leader has ended. The next leader may not
// know the jobs, and so not tell of their copies: it says when none is left.
func (o *orphans) detachAll() {
	for _, list := range o.byMachine {
		for _, orphan := range list {
			orphan.knownToLeader = false
		}
	}
}

// detachUnreconciled detaches the copies of a ledger of which it is not known where they are
// although the leader has known their jobs, and tells whether there are any. Their
// jobs were over while the ledger was being settled: only after joining once more
// does the leader's word cover them.
func (o *orphans) detachUnreconciled(shard string) bool {
	found := false
	for _, orphan := range o.byMachine[unknownMachine] {
		if orphan.shard.name == shard && orphan.knownToLeader {
			orphan.knownToLeader, found = false, true
		}
	}
	return found
}

// releaseReconciled releases what was left of jobs that were over when the ledger joined the
// present leader, which says that no machine holds any of it.
func (o *orphans) releaseReconciled(shard string) {
	for machine := range o.byMachine {
		o.release(machine, func(orphan *orphanedReplica) bool { return !orphan.knownToLeader && orphan.shard.name == shard })
	}
}

// onMachineStatus judges by a machine's report what is left on it, see owner.reported.
func (o *orphans) onMachineStatus(machine int32, r *meshpb.MachineStatus) {
	if !o.mayHold(machine) {
		return
	}
	live := make(map[replicaKey]bool, len(r.Tasks))
	for _, s := range r.Tasks {
		if protocol.TaskState(s.State) != protocol.TaskExited {
			live[replicaKey{s.Job, s.Task, s.Replica}] = true
		}
	}
	o.release(machine, func(orphan *orphanedReplica) bool {
		switch {
		case r.Epoch > orphan.epoch:
			return true
		case !r.Current || !orphan.knownToLeader || r.Epoch < orphan.epoch:
			return false
		case live[replicaKey{orphan.job, orphan.task, orphan.replica}]:
			orphan.assigned = false
			return false
		}
		proof := o.admission.c.subscription.absenceProof(machine, r, orphan.shard)
		if orphan.assigned {
			return proof != absenceProvesNothing && r.Seq > orphan.sequence
		}
		return proof == absenceProvesEnd
	})
}

// machineTerminated releases what was on a machine that has ended for good.
func (o *orphans) machineTerminated(machine int32) {
	o.release(machine, func(*orphanedReplica) bool { return true })
}

// releaseExpired releases what was on machines whose leases are surely over, by the
// leader's clock, see subscription.onHeartbeat.
func (o *orphans) releaseExpired(clockUs, spanUs int64) {
	s := &o.admission.c.subscription
	for machine := range o.byMachine {
		if machine == unknownMachine {
			continue
		}
		last := s.machine(machine).heardAtUs
		o.release(machine, func(orphan *orphanedReplica) bool {
			start := s.registeredAtUs[orphan.shard.name]
			return start > 0 && clockUs-max(last, start) > spanUs
		})
	}
}

// releaseUnsent releases a copy whose start was never sent.
func (o *orphans) releaseUnsent(p *meshpb.Binding) {
	for machine := range o.byMachine {
		o.release(machine, func(orphan *orphanedReplica) bool {
			return orphan.assigned && orphan.job == p.Job && orphan.task == p.Task && orphan.replica == p.Replica
		})
	}
}

// removeShard forgets what is left of a ledger that is held no more.
func (o *orphans) removeShard(shard string) {
	for machine, list := range o.byMachine {
		kept := list[:0]
		for _, orphan := range list {
			if orphan.shard.name != shard {
				kept = append(kept, orphan)
			}
		}
		clear(list[len(kept):])
		if o.byMachine[machine] = kept; len(kept) == 0 {
			delete(o.byMachine, machine)
		}
	}
}
