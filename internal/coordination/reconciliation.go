package coordination

import (
	"time"

	"github.com/cobaltvale/cobaltvale/internal/protocol"
)

// machineProof is why a shard's owner need not wait for a machine any more.
type machineProof int

const (
	notProven               machineProof = iota
	provenTerminated                     // it has ended for good
	provenLeaseExpired                   // its lease has expired
	provenByHeartbeat                    // it has sent a heartbeat since the shard was registered
	provenByPublishedStatus              // the owner was told its last status, and it was sent nothing of the shard since
	provenEmpty                          // no earlier leader can have given it tasks
	machineProofCount
)

// String names a proof as logs do.
func (p machineProof) String() string {
	switch p {
	case provenTerminated:
		return "terminated"
	case provenLeaseExpired:
		return "lease_expired"
	case provenByHeartbeat:
		return "heartbeat"
	case provenByPublishedStatus:
		return "published_status"
	case provenEmpty:
		return "empty"
	}
	return "not_proven"
}

// proofCounts is how many machines there are by their proof.
type proofCounts [machineProofCount]int

// reconciliation is the decision that a shard is reconciled.
type reconciliation struct {
	shard *shardState
	// full: no machine holds any replica of the shard that its owner does not know
	// of. Otherwise no replica of its recovered tasks can be left that the owner was
	// not told of, and proofs tells why.
	noUnknownReplicas bool
	proofs            proofCounts
}

// reconciler decides when a shard's owner knows all replicas that can be left of its
// recovered tasks, by the proofs of all machines. It owns shardState.reconciled and
// noUnknownReplicas, and only reads machines.
type reconciler struct {
	leases   machineLeases
	machines *machineTable
	// escrow: owners have to know when no unknown replica is left, as these count
	// against what their teams may use.
	quotaEscrow bool
}

// decide returns the shards that have just become reconciled, each of them once.
func (r *reconciler) updateReconciled(shards *shardRegistry, known recoveryProgress, now time.Duration) []reconciliation {
	var decisions []reconciliation
	for _, shard := range shards.byName {
		switch {
		case shard.owner == nil:
		case !shard.reconciled:
			if proofs, complete := r.proofsFor(shard, known, now); complete {
				shard.reconciled = true
				decisions = append(decisions, reconciliation{shard: shard, proofs: proofs})
			}
		case r.quotaEscrow && !shard.noUnknownReplicas && !r.anyUnknownReplica(shard, now):
			shard.noUnknownReplicas = true
			decisions = append(decisions, reconciliation{shard: shard, noUnknownReplicas: true})
		}
	}
	return decisions
}

// proofsFor counts the machines by their proof. It stops at the first that has none.
func (r *reconciler) proofsFor(shard *shardState, known recoveryProgress, now time.Duration) (proofs proofCounts, complete bool) {
	if !known.machinesKnown && now-shard.registeredAt <= r.leases.timeout {
		return proofs, false // there may be more machines than are known
	}
	for m := range r.machines.all {
		proof := r.proofFor(m, shard, known, now)
		if proof == notProven {
			return proofs, false
		}
		proofs[proof]++
	}
	return proofs, true
}

// proofFor tells why a shard's present owner has been told all that may be on a
// machine: by a heartbeat since it registered, or by the last one before if nothing
// of the shard was sent to the machine after that. One that this leader was the first
// to name, and that has not had its fencing token, holds nothing: waited for, the
// machines that come up all the time kept a shard from being reconciled. Which
// machines those are is known only once the records of earlier leaders were read.
func (r *reconciler) proofFor(m *machine, shard *shardState, known recoveryProgress, now time.Duration) machineProof {
	switch {
	case m.terminated:
		return provenTerminated
	case now-max(m.lastHeartbeat, shard.registeredAt) > r.leases.timeout:
		return provenLeaseExpired
	case m.lastCurrentHeartbeat > shard.registeredAt:
		return provenByHeartbeat
	case m.lastCurrentHeartbeat == 0 && known.machinesKnown && !m.recordedByEarlierLeader:
		return provenEmpty
	case m.lastCurrentHeartbeat == 0 || m.hasUnacknowledgedStartOf(shard):
		return notProven
	}
	return provenByPublishedStatus
}

// hasUnacknowledgedStartOf tells whether a machine was sent starts of a shard that
// its list does not show yet.
func (m *machine) hasUnacknowledgedStartOf(shard *shardState) bool {
	for i := range m.sentStarts {
		if m.sentStarts[i].job.shard == shard {
			return true
		}
	}
	return false
}

// anyUnknownReplica tells whether a machine may hold a replica of a shard that its
// owner does not know of: what is left of jobs that had ended when it acquired the
// shard counts for their team as long as it is there.
func (r *reconciler) anyUnknownReplica(shard *shardState, now time.Duration) bool {
	for m := range r.machines.all {
		if m.terminated || r.leases.expired(m, now) {
			continue
		}
		if holdsUnknownReplica(m.tasks, shard) || holdsUnknownReplica(m.sentStarts, shard) {
			return true
		}
	}
	return false
}

// holdsUnknownReplica tells whether a list has live replicas of unknown jobs, or of
// jobs of a shard that have ended.
func holdsUnknownReplica(list []replicaOnMachine, shard *shardState) bool {
	for i := range list {
		replica := &list[i]
		if replica.state != protocol.TaskExited && (replica.job == nil || (replica.job.ended && replica.job.shard == shard)) {
			return true
		}
	}
	return false
}
