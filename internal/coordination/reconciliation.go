package coordination

import (
	"time"

	"github.com/cobaltvale/cobaltvale/internal/protocol"
)

// machineProof is the reason why a shard's owner need not wait for a machine: the owner was
// told of every replica of the shard's recovered tasks that the machine can hold.
type machineProof int

const (
	notProven               machineProof = iota
	provenTerminated                     // the cloud has terminated it
	provenLeaseExpired                   // its lease has expired, so it runs nothing
	provenByHeartbeat                    // it has sent a current heartbeat since the shard was registered
	provenByPublishedStatus              // the owner has its last status, and no start of the shard was sent to it since
	provenEmpty                          // no earlier leader can have started tasks on it
	machineProofCount
)

// String returns a proof's name in logs.
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

// proofCounts is the number of machines by proof.
type proofCounts [machineProofCount]int

// reconciliation is a decision that a shard is reconciled.
type reconciliation struct {
	shard *shardState
	// noUnknownReplicas is set if the owner knows every replica of the shard that a machine
	// can hold. Otherwise the decision says only that the owner was told of every replica of
	// the shard's recovered tasks, and proofs counts the machines by reason.
	noUnknownReplicas bool
	proofs            proofCounts
}

// reconciler decides, from the proofs of all machines, when a shard's owner knows all replicas
// that can be left of its recovered tasks. It owns shardState.reconciled and
// noUnknownReplicas, and only reads machines.
type reconciler struct {
	leases   machineLeases
	machines *machineTable
	// quotaEscrow: teams' limits are enforced by escrow. Unknown replicas count against
	// them, so owners must be told when none is left.
	quotaEscrow bool
}

// updateReconciled marks the shards that have become reconciled, and returns each of these
// decisions once.
func (r *reconciler) updateReconciled(shards *shardRegistry, progress recoveryProgress, now time.Duration) []reconciliation {
	var decisions []reconciliation
	for _, shard := range shards.byName {
		switch {
		case shard.owner == nil:
		case !shard.reconciled:
			if proofs, complete := r.proofsFor(shard, progress, now); complete {
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

// proofsFor counts the machines by proof. It stops at the first that has none and then reports
// complete as false.
func (r *reconciler) proofsFor(shard *shardState, progress recoveryProgress, now time.Duration) (proofs proofCounts, complete bool) {
	if !progress.machinesKnown && now-shard.registeredAt <= r.leases.timeout {
		// Machines that are not known yet may hold tasks until their leases have expired.
		return proofs, false
	}
	for m := range r.machines.all {
		proof := r.proofFor(m, shard, progress, now)
		if proof == notProven {
			return proofs, false
		}
		proofs[proof]++
	}
	return proofs, true
}

// proofFor returns the proof that a shard's owner was told of every replica that may be on a
// machine: by a heartbeat since the registration, or by the last one before the
// registration if no start of the shard was sent to the machine after that heartbeat. A machine
// that no earlier leader recorded, and that has not sent this leader's fencing token yet, holds
// no replica. If the reconciler waited for such machines, a shard might never be reconciled,
// because new machines boot all the time. Which machines earlier leaders recorded is known only
// once their records have been read.
func (r *reconciler) proofFor(m *machine, shard *shardState, progress recoveryProgress, now time.Duration) machineProof {
	switch {
	case m.terminated:
		return provenTerminated
	case now-max(m.lastHeartbeat, shard.registeredAt) > r.leases.timeout:
		return provenLeaseExpired
	case m.lastCurrentHeartbeat > shard.registeredAt:
		return provenByHeartbeat
	case m.lastCurrentHeartbeat == 0 && progress.machinesKnown && !m.recordedByEarlierLeader:
		return provenEmpty
	case m.lastCurrentHeartbeat == 0 || m.hasUnacknowledgedStartOf(shard):
		return notProven
	}
	return provenByPublishedStatus
}

// hasUnacknowledgedStartOf reports whether a machine was sent a start of a shard that no
// heartbeat has confirmed or disproved yet.
func (m *machine) hasUnacknowledgedStartOf(shard *shardState) bool {
	for i := range m.sentStarts {
		if m.sentStarts[i].job.shard == shard {
			return true
		}
	}
	return false
}

// anyUnknownReplica reports whether a machine may hold a replica of a shard that its owner
// does not know. Replicas of jobs that had ended before the owner acquired the shard count
// towards their team's use until they are gone.
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

// holdsUnknownReplica reports whether a list has live replicas of jobs that the leader does not
// know, or of ended jobs of a shard.
func holdsUnknownReplica(list []replicaOnMachine, shard *shardState) bool {
	for i := range list {
		replica := &list[i]
		if replica.state != protocol.TaskExited && (replica.job == nil || (replica.job.ended && replica.job.shard == shard)) {
			return true
		}
	}
	return false
}
