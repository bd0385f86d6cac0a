package election

import (
	"time"

	"github.com/cobaltvale/cobaltvale/internal/protocol"
	"github.com/cobaltvale/cobaltvale/internal/storage"
)

const (
	// maxCampaignDelay is the upper limit of the delay of a campaign, which is random
	// so that members rarely campaign at the same time.
	maxCampaignDelay = 250 * time.Millisecond
	// abstainDuration is how long a member does not campaign after a resignation.
	abstainDuration = 25 * time.Second
)

// Leading reports whether this process holds the leader key as far as it knows.
// Whether it may act as leader is decided by MayAct.
func (e *Election) Leading() bool { return e.fencingToken != 0 }

// Abstain prevents this process from campaigning for leadership before until, a time
// on Environment.Clock. It does not end a leadership.
func (e *Election) Abstain(until time.Duration) { e.abstainUntil = until }

// campaign claims the leader key, after a random delay, if the key has no holder.
// If this member holds it in this or an earlier process, it claims without delay.
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
	// If an earlier claim of this process was applied late, this member may since
	// have extended another member's lease on the key. That cannot have happened
	// to a key that an earlier process of this member holds.
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

// scheduleCampaign sets campaignAt if no campaign is scheduled.
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

// beginLeadership makes this process the leader. Its fencing token is the version
// at which its claim of the leader key was applied.
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
	event := e.env.Log.WithLevel(reason.level()).Uint64("fencing_token", e.fencingToken).Stringer("reason", reason)
	if reason == LeaderKeyChanged {
		event.Str("leader", e.view.leader.holder.Member).Uint64("version", e.view.leader.version)
	}
	event.Msg("leadership lost")
	e.fencingToken = 0
	e.env.Observer.LeadershipLost()
}

// Resign ends this process's leadership, deletes the leader key and abstains from
// campaigning for abstainDuration, so that responses that name the leader do not
// direct the machines back to this member. The reason is logged. Resign does
// nothing if this process does not lead.
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

// deleteLeaderKey deletes the leader key that this process held under a fencing
// token. It retries until the key is known to be deleted or changed: this process's
// lease would otherwise keep it alive, and no other member could lead.
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

// observeLeaderKey records an observation of the leader key. It ends this process's
// leadership if the key does not name this process under its fencing token.
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

// ObserveLeader records that a member has reported itself leader under a fencing
// token, which is the version at which it wrote the leader key. Reports that are
// not newer than the last observation of the key are ignored.
//
// The watch may deliver that version much later, or only after an outage of the
// state service. Until then a holder of shards would register them with an earlier
// leader or with none, and cancellations by its users would not reach the leader
// that answers the machines: cancelled tasks would continue to run (rule
// ran_cancelled).
func (e *Election) ObserveLeader(member string, fencingToken uint64) {
	if member == e.member() || fencingToken <= e.view.leader.version {
		return
	}
	e.observeLeaderKey(observedKey{present: true, holder: storage.Holder{Member: member}, version: fencingToken, changedAt: e.now()})
	e.env.Observer.ViewChanged()
}
