package shard

import (
	"github.com/cobaltvale/cobaltvale/internal/admission"
	"github.com/cobaltvale/cobaltvale/internal/protocol"
	"github.com/cobaltvale/cobaltvale/internal/protocol/meshpb"
)

// orphans holds the replicas that may be left of jobs that have ended. They count against
// their teams' limits until they are proven lost, by the same proofs as replicas of
// unfinished jobs.
type orphans struct {
	byMachine    map[int32][]*orphanedReplica // under unknownMachine: replicas with an unknown location
	releaseClaim func(*orphanedReplica)       // releases what a replica that is proven lost has used of its allocation
}

// orphanedReplica is a replica of a task whose job has ended.
type orphanedReplica struct {
	shard           *Shard
	claim           admission.Claim
	task            int32
	replica         uint64
	epoch, sequence uint64
	unacknowledged  bool // no status has listed it since its start was assigned
	knownToLeader   bool // the current leader knew the job while it was unfinished, and reports its replicas
}

func (o *orphans) init(releaseClaim func(*orphanedReplica)) {
	o.byMachine = make(map[int32][]*orphanedReplica)
	o.releaseClaim = releaseClaim
}

// addJob adds what may be left of a job that is about to be removed.
func (o *orphans) addJob(job *Job) {
	for i := range job.tasks {
		t := &job.tasks[i]
		machine := t.machine
		switch t.state {
		case TaskUnreconciled:
			machine = unknownMachine
		case TaskAssigned, TaskPlaced:
		default:
			continue
		}
		o.byMachine[machine] = append(o.byMachine[machine], &orphanedReplica{
			shard: job.shard, claim: job.claim, task: int32(i),
			replica: t.replica, epoch: t.epoch, sequence: t.sequence,
			unacknowledged: t.state == TaskAssigned, knownToLeader: job.shard.registration.sent && !job.specUnsent})
	}
}

// releaseWhere releases the claims of the replicas on a machine for which lost returns
// true, and removes these replicas.
func (o *orphans) releaseWhere(machine int32, lost func(orphan *orphanedReplica) bool) {
	list := o.byMachine[machine]
	if len(list) == 0 {
		return
	}
	kept := list[:0]
	for _, orphan := range list {
		if !lost(orphan) {
			kept = append(kept, orphan)
			continue
		}
		o.releaseClaim(orphan)
	}
	clear(list[len(kept):])
	if o.byMachine[machine] = kept; len(kept) == 0 {
		delete(o.byMachine, machine)
	}
}

// mayExistOn reports whether a machine may hold orphaned replicas.
func (o *orphans) mayExistOn(machine int32) bool { return len(o.byMachine[machine]) > 0 }

// markAllUnknownToLeader records that the stream from the leader has ended. The next leader
// may not know the jobs, and then does not report their replicas; it only reports when no
// replica is left, see handleNoUnknownReplicas.
func (o *orphans) markAllUnknownToLeader() {
	for _, list := range o.byMachine {
		for _, orphan := range list {
			orphan.knownToLeader = false
		}
	}
}

// markUnreconciledUnknownToLeader clears knownToLeader of the replicas of a shard whose
// location is unknown although the leader knew their jobs, and reports whether there are
// any. Their jobs ended while the shard was being reconciled: the leader's report covers
// them only after another registration.
func (o *orphans) markUnreconciledUnknownToLeader(shard string) bool {
	found := false
	for _, orphan := range o.byMachine[unknownMachine] {
		if orphan.shard.name == shard && orphan.knownToLeader {
			orphan.knownToLeader, found = false, true
		}
	}
	return found
}

// releaseReconciled releases the orphaned replicas of jobs that had ended when the shard
// was registered with the current leader. The leader has reported that no machine holds any
// of these replicas.
func (o *orphans) releaseReconciled(shard string) {
	for machine := range o.byMachine {
		o.releaseWhere(machine, func(orphan *orphanedReplica) bool { return !orphan.knownToLeader && orphan.shard.name == shard })
	}
}

// handleMachineStatus determines from a machine's status which orphaned replicas on the
// machine are lost.
func (o *orphans) handleMachineStatus(observation *machineObservation) {
	if !o.mayExistOn(observation.machine) {
		return
	}
	live := liveReplicas(observation.status)
	o.releaseWhere(observation.machine, func(orphan *orphanedReplica) bool {
		if live[orphan.key()] && observation.status.Epoch == orphan.epoch && observation.status.Current && orphan.knownToLeader {
			orphan.unacknowledged = false
			return false
		}
		return orphan.provenLost(observation)
	})
}

// replicaKey identifies one replica of a task.
type replicaKey struct {
	job     string
	task    uint32
	replica uint64
}

// liveReplicas returns the replicas that a status lists as not exited.
func liveReplicas(status *meshpb.MachineStatus) map[replicaKey]bool {
	live := make(map[replicaKey]bool, len(status.Tasks))
	for _, s := range status.Tasks {
		if protocol.TaskState(s.State) != protocol.TaskExited {
			live[replicaKey{s.Job, s.Task, s.Replica}] = true
		}
	}
	return live
}

func (orphan *orphanedReplica) key() replicaKey {
	return replicaKey{orphan.claim.Job, uint32(orphan.task), orphan.replica}
}

// provenLost reports whether a status that does not list an orphaned replica proves that it
// is lost.
func (orphan *orphanedReplica) provenLost(observation *machineObservation) bool {
	status := observation.status
	switch {
	case status.Epoch > orphan.epoch:
		return true
	case !status.Current || !orphan.knownToLeader || status.Epoch < orphan.epoch:
		return false
	}
	proof := observation.proofOfAbsence(&orphan.shard.registration)
	if orphan.unacknowledged {
		return proof != absenceProvesNothing && status.Seq > orphan.sequence
	}
	return proof == absenceProvesEnd
}

// releaseTerminated releases what was on a machine that was terminated.
func (o *orphans) releaseTerminated(machine int32) {
	o.releaseWhere(machine, func(*orphanedReplica) bool { return true })
}

// releaseExpired releases what was on machines whose leases are guaranteed to have ended.
// Times are in microseconds on the leader's clock.
func (o *orphans) releaseExpired(machines *observedMachines, clockUs, timeoutUs int64) {
	for machine := range o.byMachine {
		if machine == unknownMachine {
			continue
		}
		lastHeartbeatUs := machines.entry(machine).lastHeartbeatUs
		o.releaseWhere(machine, func(orphan *orphanedReplica) bool {
			return orphan.shard.registration.leaseExpired(lastHeartbeatUs, clockUs, timeoutUs)
		})
	}
}

// releaseUnsent releases a replica whose start was never sent.
func (o *orphans) releaseUnsent(binding *meshpb.Binding) {
	for machine := range o.byMachine {
		o.releaseWhere(machine, func(orphan *orphanedReplica) bool {
			return orphan.unacknowledged && orphan.key() == replicaKey{binding.Job, binding.Task, binding.Replica}
		})
	}
}

// removeShard removes the orphaned replicas of a shard that is no longer held.
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
