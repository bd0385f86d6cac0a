package coordination

import (
	"time"

	"github.com/cobaltvale/cobaltvale/internal/protocol"
	"github.com/cobaltvale/cobaltvale/internal/protocol/meshpb"
)

// machineProof is why a ledger's owner need not wait for a machine any more.
type machineProof int

const (
	notProven               machineProof = iota
	provenTerminated                     // it has ended for good
	provenLeaseExpired                   // its lease is over
	provenByHeartbeat                    // it has reported since the ledger joined
	provenByPublishedStatus              // the owner was told its last list, and it was sent nothing of the ledger since
	provenEmpty                          // no earlier leader can have given it tasks
	machineProofs
)

// reconcileShards tells a new owner when no copy of its recovered tasks can be left
// that it has not been told of.
func (l *leader) reconcileShards(now, span time.Duration) {
	for _, shard := range l.shards.byName {
		if shard.owner == nil || shard.reconciled {
			l.confirmFullyReconciled(shard, now)
			continue
		}
		if proofs, all := l.collectProofs(shard, now, span); all {
			shard.reconciled = true
			l.logReconciled(shard, &proofs, now)
			shard.owner.send(&meshpb.Frame{Body: &meshpb.Frame_Reconciled{Reconciled: &meshpb.Reconciled{Shard: shard.name, FencingToken: l.fencingToken}}})
		}
	}
}

// collectProofs counts the machines by why they are accounted for. It stops at the
// first that is not.
func (l *leader) collectProofs(shard *shardState, now, span time.Duration) (proofs [machineProofs]int, all bool) {
	if !l.records.machinesKnown() && now-shard.registeredAt <= span {
		return proofs, false // there may be more machines than it knows of
	}
	for m := range l.machines.all {
		proof := l.proofFor(m, shard, now, span)
		if proof == notProven {
			return proofs, false
		}
		proofs[proof]++
	}
	return proofs, true
}

// proofFor tells why a ledger's present owner has been told all that may be on a
// machine: by a report since it joined, or by the last one before if nothing of
// the ledger was sent to the machine after that. One that this leader was the
// first to name, and that has not had its token, holds nothing: waited for, the
// machines that come up all the time kept a ledger from being settled. Which
// machines those are is known only once the records of earlier leaders were read.
func (l *leader) proofFor(m *machine, shard *shardState, now, span time.Duration) machineProof {
	switch {
	case m.terminated:
		return provenTerminated
	case now-max(m.lastHeartbeat, shard.registeredAt) > span:
		return provenLeaseExpired
	case m.lastCurrentHeartbeat > shard.registeredAt:
		return provenByHeartbeat
	case m.lastCurrentHeartbeat == 0 && l.records.machinesKnown() && !m.fromEarlierLeader:
		return provenEmpty
	case m.lastCurrentHeartbeat == 0 || m.hasUnacknowledgedStartOf(shard):
		return notProven
	}
	return provenByPublishedStatus
}

// hasUnacknowledgedStartOf tells whether a machine was sent starts of a ledger that its list does
// not answer yet.
func (m *machine) hasUnacknowledgedStartOf(g *shardState) bool {
	for i := range m.sentStarts {
		if m.sentStarts[i].job.shard == g {
			return true
		}
	}
	return false
}

func (l *leader) logReconciled(shard *shardState, proofs *[machineProofs]int, now time.Duration) {
	l.c.log.Info().Str("ledger", shard.name).Str("owner", shard.owner.member).Int64("after_ms", (now-shard.registeredAt).Milliseconds()).
		Int("reported", proofs[provenByHeartbeat]).Int("told", proofs[provenByPublishedStatus]).Int("empty", proofs[provenEmpty]).
		Int("lease_over", proofs[provenLeaseExpired]).Int("gone", proofs[provenTerminated]).Bool("machines_known", l.records.machinesKnown()).
		Msg("machines accounted for")
}

// confirmFullyReconciled tells a settled ledger's owner, once, when no machine holds a copy of
// the ledger that the owner does not know of: what is left of jobs that were over
// when it took the ledger counts for their team as long as it is there.
func (l *leader) confirmFullyReconciled(shard *shardState, now time.Duration) {
	if !l.c.tuning.QuotaEscrow || shard.owner == nil || shard.fullyReconciled {
		return
	}
	for m := range l.machines.all {
		if !m.terminated && !l.leases.expired(m, now) && (holdsEndedReplica(m.tasks, shard) || holdsEndedReplica(m.sentStarts, shard)) {
			return
		}
	}
	shard.fullyReconciled = true
	shard.owner.send(&meshpb.Frame{Body: &meshpb.Frame_Reconciled{Reconciled: &meshpb.Reconciled{Shard: shard.name, FencingToken: l.fencingToken, NoUnknownReplicas: true}}})
}

// holdsEndedReplica tells whether a list has live copies of unknown jobs, or of jobs of a
// ledger that are over.
func holdsEndedReplica(list []replicaOnMachine, shard *shardState) bool {
	for i := range list {
		replica := &list[i]
		if replica.state != protocol.TaskExited && (replica.job == nil || (replica.job.ended && replica.job.shard == shard)) {
			return true
		}
	}
	return false
}
