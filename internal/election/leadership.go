package election

import (
	"time"

	"github.com/cobaltvale/cobaltvale/internal/protocol"
	"github.com/cobaltvale/cobaltvale/internal/storage"
)

const (
	maxCampaignDelay = 250 * time.Millisecond // random, so that members seldom campaign at once
	abstainDuration  = 25 * time.Second       // after a resignation
)

// Leading tells whether this process holds the leader key.
func (e *Election) Leading() bool { return e.fencingToken != 0 }

// Abstain keeps this member from campaigning before a time.
func (e *Election) Abstain(until time.Duration) { e.abstainUntil = until }

// campaign tries for the leader key when nobody holds it, or an earlier process
// of this member does.
func (e *Election) campaign(now time.Duration) {
	key := &e.view.leader
	heldByMember := key.heldBy(e.member())
	if e.leaderClaimPending || e.Leading() || now < e.abstainUntil || (key.present && !heldByMember) {
		return
	}
	e.scheduleCampaign(now, heldByMember)
	if now < e.campaignAt {
		return
	}
	// A claim of this very process that was applied late may have been granted
	// away since; what an earlier one holds cannot have been.
	heldByPredecessor := heldByMember && key.holder != e.config.Identity
	if !heldByPredecessor && !e.extensionsAllowClaim(now) {
		return
	}
	if heldByMember {
		e.claimLeaderKey(key.version, LeaderKeyAlreadyHeld)
	} else {
		e.claimLeaderKey(0, LeaderKeyFree)
	}
}

// scheduleCampaign picks the time of the campaign, unless that has been done.
func (e *Election) scheduleCampaign(now time.Duration, heldByMember bool) {
	if e.campaignAt != 0 {
		return
	}
	e.campaignAt = now + time.Duration(e.env.Rand.Int64N(int64(maxCampaignDelay)))
	if heldByMember {
		e.campaignAt = now
	}
}

func (e *Election) claimLeaderKey(version uint64, reason AcquisitionReason) {
	e.leaderClaimPending = true
	lease := e.lease.id
	e.claimKey(storage.LeaderKey, version, func(result storage.TxnResult) {
		if lease != e.lease.id {
			return
		}
		switch result.Outcome {
		case storage.Applied:
			e.leaderClaimPending = false
			e.observeKey(storage.LeaderKey, e.encodedIdentity(), result.Revision, true)
			e.beginLeadership(result.Revision, reason)
		case storage.LeaseExpired:
			e.endLease(LeaseSessionUnknown)
		default:
			e.campaignAt = 0
			e.readKeyAfterClaim(storage.LeaderKey, func() { e.leaderClaimPending = false })
		}
	})
}

// beginLeadership makes this process the leader. Its fencing token is the version that
// the claim gave the leader key.
func (e *Election) beginLeadership(fencingToken uint64, reason AcquisitionReason) {
	e.fencingToken = fencingToken
	e.env.Log.Info().Uint64("fencing_token", fencingToken).Stringer("reason", reason).Msg("leadership acquired")
	e.env.Observer.LeadershipAcquired(fencingToken)
}

// endLeadership ends this process's leadership, if it leads.
func (e *Election) endLeadership(reason LossReason) {
	if !e.Leading() {
		return
	}
	line := e.env.Log.WithLevel(reason.level()).Uint64("fencing_token", e.fencingToken).Stringer("reason", reason)
	if reason == LeaderKeyChanged {
		line.Str("leader", e.view.leader.holder.Member).Uint64("version", e.view.leader.version)
	}
	line.Msg("leadership lost")
	e.fencingToken = 0
	e.env.Observer.LeadershipLost()
}

// Resign gives the leader key up and stays out for a while, so that the answers
// which name the leader do not lead everyone back here.
func (e *Election) Resign(reason LossReason) {
	if !e.Leading() {
		return
	}
	fencingToken := e.fencingToken
	e.Abstain(e.now() + abstainDuration)
	e.endLeadership(reason)
	e.view.leader = observedKey{version: e.view.leader.version, changedAt: e.now()}
	e.deleteLeaderKey(fencingToken)
}

// deleteLeaderKey removes the leader key that this process has given up. It
// tries until the key is gone: kept alive by the lease, it would keep every
// other member out.
func (e *Election) deleteLeaderKey(fencingToken uint64) {
	e.env.State.Txn(storage.Urgent, protocol.Transaction{
		If:   []protocol.Condition{{Key: storage.LeaderKey, Version: fencingToken}},
		Then: []protocol.Change{{Delete: storage.LeaderKey}},
	}, func(result storage.TxnResult) {
		if result.Outcome == storage.Rejected || result.Outcome == storage.Unknown {
			e.env.State.After(retryInterval, func() { e.deleteLeaderKey(fencingToken) })
		}
	})
}

// observeLeaderKey takes in the leader key, and ends this process's leadership
// if it is not named there.
func (e *Election) observeLeaderKey(seen observedKey) {
	if !e.view.leader.olderThan(seen) {
		return
	}
	e.view.leader = seen
	e.campaignAt = 0
	if !seen.present || seen.holder != e.config.Identity || seen.version != e.fencingToken {
		e.endLeadership(LeaderKeyChanged)
	}
}

// ObserveLeader takes a member's word that it leads under a fencing token, which
// is the version that it wrote the leader key with. The watch may show that
// much later, or not before the end of an outage: a holder of shards that
// registers with an earlier leader, or none, would tell nobody who answers
// machines what its users cancel (ran_cancelled).
func (e *Election) ObserveLeader(member string, fencingToken uint64) {
	if member == e.member() || fencingToken <= e.view.leader.version {
		return
	}
	e.observeLeaderKey(observedKey{present: true, holder: storage.Holder{Member: member}, version: fencingToken, changedAt: e.now()})
	e.env.Observer.ViewChanged()
}
