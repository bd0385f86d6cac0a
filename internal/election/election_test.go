package election

import (
	"fmt"
	"testing"
	"time"

	"github.com/cobaltvale/cobaltvale/internal/protocol"
	"github.com/cobaltvale/cobaltvale/internal/protocol/meshpb"
	"github.com/cobaltvale/cobaltvale/internal/storage"
)

func requireEqual(t *testing.T, what string, got, want any) {
	t.Helper()
	if fmt.Sprint(got) != fmt.Sprint(want) {
		t.Fatalf("%s: got %v, want %v", what, got, want)
	}
}

// The validity of a lease is counted from when its last successful renewal was sent,
// however late the answer came.
func TestLeaseIsCountedFromSendingOfRenewal(t *testing.T) {
	ttl := testTTL
	validFor := time.Duration(float64(ttl)/ClockDriftFactor) - leaseSafetyMargin
	p := newProcess(t)
	requireEqual(t, "without a lease", p.MayAct(p.now), false)
	p.Tick(p.now)
	p.now += 300 * time.Millisecond
	p.leases[0](7)
	requireEqual(t, "lasts until", p.MayActUntil(), testStartedAt+validFor)
	renewalSentAt := testStartedAt + testTTL/renewalsPerLease
	p.tickFor(renewalSentAt - p.now)
	p.now += 2 * time.Second
	p.renewals[0](storage.LeaseRenewed)
	requireEqual(t, "renewed until", p.MayActUntil(), renewalSentAt+validFor)
	requireEqual(t, "just before its end", p.MayAct(renewalSentAt+validFor-1), true)
	requireEqual(t, "at its end", p.MayAct(renewalSentAt+validFor), false)
}

// When its lease expires, a process loses its leadership and all of its shards.
func TestExpiredLeaseEndsLeadershipAndShards(t *testing.T) {
	p := newReadyProcess(t)
	p.becomeLeader(10)
	p.tickFor(testTTL / renewalsPerLease)
	p.events = nil
	p.renewals[0](storage.LeaseEnded)
	requireEqual(t, "events", p.events, "[leadership lost lost all]")
	requireEqual(t, "leads", p.Leading(), false)
	requireEqual(t, "may act", p.MayAct(p.now), false)
}

// The answer to a claim that was sent under a lease that has ended since is ignored,
// and the process claims the key again under its next lease.
func TestAnswerAfterLeaseEndIsIgnored(t *testing.T) {
	p := newReadyProcess(t)
	p.tickFor(maxCampaignDelay + 100*time.Millisecond)
	claim := p.txns[len(p.txns)-1]
	requireEqual(t, "claimed key", claim.Then[0].Put, storage.LeaderKey)
	p.endLease(LeaseSessionExpired)
	p.txns = nil
	p.tickFor(100 * time.Millisecond)
	p.leases[len(p.leases)-1](8)
	claim.done(storage.TxnResult{Outcome: storage.Applied, Revision: 9})
	requireEqual(t, "leads", p.Leading(), false)
	p.tickFor(maxCampaignDelay + 100*time.Millisecond)
	secondClaim := p.txns[len(p.txns)-1].Then[0]
	requireEqual(t, "key claimed again", secondClaim.Put, storage.LeaderKey)
	requireEqual(t, "lease of the second claim", secondClaim.Lease, 8)
}

// becomeLeader lets the process acquire the leader key at a version. Claims of its
// own shard before that are applied too, at version 3.
func (p *process) becomeLeader(version uint64) {
	p.t.Helper()
	p.tickFor(maxCampaignDelay + 100*time.Millisecond)
	for !p.Leading() {
		if len(p.txns) > 0 && p.txns[0].Then[0].Put == storage.LeaderKey {
			p.answerOldestTxn(storage.TxnResult{Outcome: storage.Applied, Revision: version})
		} else {
			p.answerOldestTxn(storage.TxnResult{Outcome: storage.Applied, Revision: 3})
		}
	}
}

// The claim of the leader key is conditional on the process not having been replaced
// by a newer one. It makes the process leader only if it is applied, and the version at
// which it is applied is the fencing token. After a conflict or without an answer, the
// process reads the key to see who holds it.
func TestLeaderKeyClaim(t *testing.T) {
	for _, test := range []struct {
		name   string
		result storage.TxnResult
		leads  bool
		events string
		reads  int // of the leader key
	}{
		{"applied", storage.TxnResult{Outcome: storage.Applied, Revision: 9}, true, "[leadership acquired]", 0},
		{"conflict", storage.TxnResult{Outcome: storage.Conflict, FailedKeys: []string{storage.LeaderKey}}, false, "[]", 1},
		{"unknown", storage.TxnResult{Outcome: storage.Unknown}, false, "[]", 1},
		{"lease expired", storage.TxnResult{Outcome: storage.LeaseExpired}, false, "[lost all]", 0},
	} {
		t.Run(test.name, func(t *testing.T) {
			p := newReadyProcess(t)
			p.tickFor(maxCampaignDelay + 100*time.Millisecond)
			p.txns = p.txns[len(p.txns)-1:] // the claim of the own shard comes before it
			claim := p.txns[0]
			requireEqual(t, "key", claim.Then[0].Put, storage.LeaderKey)
			requireEqual(t, "lease", claim.Then[0].Lease, 7)
			requireEqual(t, "conditions", claim.If, []protocol.Condition{{Key: storage.LeaderKey}, {Key: storage.ProcessKey("a"), Version: 2}})
			p.gets, p.events = nil, nil
			p.answerOldestTxn(test.result)
			requireEqual(t, "leads", p.Leading(), test.leads)
			requireEqual(t, "events", p.events, test.events)
			requireEqual(t, "reads of the key", len(p.gets), test.reads)
		})
	}
}

// A process whose process key was replaced claims nothing until it has registered
// again.
func TestReplacedProcessClaimsNothing(t *testing.T) {
	p := newReadyProcess(t)
	p.tickFor(maxCampaignDelay + 100*time.Millisecond)
	p.answerOldestTxn(storage.TxnResult{Outcome: storage.Conflict, FailedKeys: []string{storage.ProcessKey("a")}})
	requireEqual(t, "registered", p.Registered(), false)
	p.txns = nil
	p.tickFor(time.Second)
	requireEqual(t, "claims", len(p.txns), 0)
}

// A leader that resigns deletes the leader key, on the condition that the key still
// has the version of its fencing token, and does not claim it again for a while.
func TestResignation(t *testing.T) {
	p := newReadyProcess(t)
	p.becomeLeader(9)
	p.events, p.txns = nil, nil
	p.Resign(MachinesUnreachable)
	requireEqual(t, "events", p.events, "[leadership lost]")
	requireEqual(t, "condition", p.txns[0].If, []protocol.Condition{{Key: storage.LeaderKey, Version: 9}})
	requireEqual(t, "change", p.txns[0].Then[0].Delete, storage.LeaderKey)
	p.txns = nil
	p.tickFor(time.Second)
	requireEqual(t, "claims within 1 s", len(p.txns), 0)
}

// A leader key of another member ends the leadership if it is newer than the fencing
// token, and is ignored otherwise.
func TestNewerLeaderKeyEndsLeadership(t *testing.T) {
	for version, leads := range map[uint64]bool{8: true, 9: true, 10: false} {
		t.Run(fmt.Sprint(version), func(t *testing.T) {
			p := newReadyProcess(t)
			p.becomeLeader(9)
			p.ObserveLeader("b", version)
			requireEqual(t, "leads", p.Leading(), leads)
		})
	}
}

// If the leader key names this process at another version than its fencing token, a
// later claim of the process was applied without its knowledge. Its leadership ends.
func TestLeaderKeyAtAnotherVersionEndsLeadership(t *testing.T) {
	p := newReadyProcess(t)
	p.becomeLeader(9)
	p.observeKey(storage.LeaderKey, p.encodedIdentity(), 9, true)
	requireEqual(t, "leads at the version of its fencing token", p.Leading(), true)
	p.observeKey(storage.LeaderKey, p.encodedIdentity(), 10, true)
	requireEqual(t, "leads at another version", p.Leading(), false)
}

// While this member is blocked by an extension that it granted, it must not claim a
// leader key that names this process: that claim was applied late, and the extension
// may be for the same key. It may claim a key that an earlier process of the member
// holds, which cannot have been extended for another member.
func TestCampaignWhileBlockedByExtension(t *testing.T) {
	for _, test := range []struct {
		name    string
		nonce   string // of the holder, which is a process of this member
		claimed bool
	}{
		{"held by an earlier process", "1", true},
		{"held by a late claim of this process", testIdentity.Nonce, false},
	} {
		t.Run(test.name, func(t *testing.T) {
			p := newReadyProcess(t)
			p.txns = nil
			p.extensions.recordGrant(p.now)
			p.observeKey(storage.LeaderKey, p.holderValue("a", test.nonce), 9, true)
			p.tickFor(ExtensionDuration / 2)
			claimed := false
			for _, txn := range p.txns {
				claimed = claimed || txn.Then[0].Put == storage.LeaderKey
			}
			requireEqual(t, "claimed", claimed, test.claimed)
		})
	}
}

// The observed leader changes only with a newer version of the leader key, or when
// the key is observed to be absent at the same version.
func TestLeaderIsWriterOfNewestKey(t *testing.T) {
	p := newReadyProcess(t)
	p.observeKey(storage.LeaderKey, p.holderValue("b", "1"), 9, true)
	p.ObserveLeader("c", 9)
	p.observeKey(storage.LeaderKey, p.holderValue("c", "1"), 9, true)
	p.observeKey(storage.LeaderKey, nil, 8, false)
	leadership, known := p.Leader()
	requireEqual(t, "known", known, true)
	requireEqual(t, "leader", leadership, Leadership{Member: "b", FencingToken: 9})
	p.observeKey(storage.LeaderKey, nil, 9, false)
	_, known = p.Leader()
	requireEqual(t, "known after the key was deleted", known, false)
}

// The next step for a shard follows from the last observation of its key.
func TestNextClaimStep(t *testing.T) {
	for _, test := range []struct {
		name         string
		shard        string
		heldBy       string // member and nonce of the holder; "": the shard is free
		blocked      bool   // this member has granted an extension
		leading      bool
		unchangedFor time.Duration // time since the key last changed
		want         claimStep
	}{
		{name: "own, free", shard: "a", want: stepClaimFreeKey},
		{name: "own, free, blocked by an extension", shard: "a", blocked: true, want: stepRequestReleases},
		{name: "own, of an earlier process", shard: "a", heldBy: "a1", want: stepClaimHeldKey},
		{name: "own, of an earlier process, blocked by an extension", shard: "a", heldBy: "a1", blocked: true, want: stepClaimHeldKey},
		{name: "own, of a late claim, blocked by an extension", shard: "a", heldBy: "a2", blocked: true, want: stepNone},
		{name: "own, held by another", shard: "a", heldBy: "b1", want: stepRequestHandover},
		{name: "another's, held by another", shard: "b", heldBy: "c1", leading: true, unchangedFor: time.Hour, want: stepNone},
		{name: "another's, free", shard: "b", unchangedFor: time.Hour, want: stepNone},
		{name: "another's, free, this process leads", shard: "b", leading: true, unchangedFor: connectedTakeoverDelay + 1, want: stepClaimFreeKey},
		{name: "another's, just free, this process leads", shard: "b", leading: true, unchangedFor: connectedTakeoverDelay, want: stepNone},
		{name: "another's, free, this process leads, blocked by an extension", shard: "b", leading: true, blocked: true, unchangedFor: time.Hour, want: stepNone},
		{name: "of an unreachable member, free, this process leads", shard: "c", leading: true, unchangedFor: takeoverDelay + 1, want: stepClaimFreeKey},
	} {
		t.Run(test.name, func(t *testing.T) {
			p := newReadyProcess(t)
			p.peers["c"].connected = false
			key := &observedKey{changedAt: p.now - test.unchangedFor}
			if test.heldBy != "" {
				key.present = true
				key.holder = storage.Holder{Member: test.heldBy[:1], Nonce: test.heldBy[1:], RecordFormat: testIdentity.RecordFormat}
			}
			if test.blocked {
				p.extensions.recordGrant(p.now)
			}
			if test.leading {
				p.fencingToken = 9
			}
			requireEqual(t, "step", p.nextClaimStep(test.shard, key, p.now), test.want)
		})
	}
}

// A member extends another's lease only if it has not observed that the requester no
// longer holds the keys, and has no claim of its own pending on any of them.
func TestExtensionRequest(t *testing.T) {
	leader := []*meshpb.HeldKey{{Key: storage.LeaderKey, Version: 5}}
	shard := []*meshpb.HeldKey{{Key: storage.ShardKey("b"), Version: 6}}
	for _, test := range []struct {
		name    string
		prepare func(p *process)
		keys    []*meshpb.HeldKey
		want    bool
	}{
		{"newer than the observed version", func(*process) {}, leader, true},
		{"no key", func(*process) {}, nil, false},
		{"unknown shard", func(*process) {}, []*meshpb.HeldKey{{Key: storage.ShardKey("z"), Version: 1}}, false},
		{"observed as the requester's", func(p *process) { p.observeKey(storage.ShardKey("b"), p.holderValue("b", "1"), 6, true) }, shard, true},
		{"observed as another's", func(p *process) { p.observeKey(storage.ShardKey("b"), p.holderValue("c", "1"), 6, true) }, shard, false},
		{"observed as free", func(p *process) { p.observeKey(storage.ShardKey("b"), nil, 7, false) }, shard, false},
		{"own claim pending", func(p *process) { p.pendingShards["b"] = true }, shard, false},
		{"own claim of the leader key pending", func(p *process) { p.leaderClaimPending = true }, leader, false},
		{"not registered", func(p *process) { p.processKeyVersion = 0 }, shard, false},
		{"view not loaded", func(p *process) { p.view.loaded = false }, shard, false},
		{"one of two keys rejected", func(p *process) { p.leaderClaimPending = true }, append(leader, shard...), false},
	} {
		t.Run(test.name, func(t *testing.T) {
			p := newReadyProcess(t)
			test.prepare(p)
			answer := p.HandleExtensionRequest("b", &meshpb.LeaseExtensionRequest{Round: 3, Keys: test.keys})
			requireEqual(t, "round", answer.Round, 3)
			requireEqual(t, "granted", answer.Granted, test.want)
			requireEqual(t, "may claim", p.extensionsAllowClaim(p.now), !test.want)
			requireEqual(t, "may claim after its end", p.extensionsAllowClaim(p.now+ExtensionDuration+extensionClockDrift+1), true)
		})
	}
}

// A process may act past the end of its lease only while every other member extends
// it, counted from when the process sent the request. Extensions do not count while
// a shard is not registered with it.
func TestMayActWhileAllPeersExtend(t *testing.T) {
	p := newReadyProcess(t)
	p.heldShards["a"] = 3
	p.tickFor(extensionRequestDelay)
	round := p.extensions.lastRound
	requestedAt := p.extensions.roundSentAt[round]
	granted := &meshpb.LeaseExtension{Round: round, Granted: true}
	extendedUntil := requestedAt + ExtensionDuration - 2*extensionClockDrift - leaseSafetyMargin/2
	p.now += testTTL // past the end of the lease as the process calculates it
	requireEqual(t, "extended by none", p.extendedUntil(), time.Duration(0))
	p.HandleExtension("b", granted)
	requireEqual(t, "extended by one of two", p.extendedUntil(), time.Duration(0))
	p.HandleExtension("c", &meshpb.LeaseExtension{Round: round})
	requireEqual(t, "rejected by the other", p.extendedUntil(), time.Duration(0))
	p.HandleExtension("c", granted)
	requireEqual(t, "extended by both", p.extendedUntil(), extendedUntil)
	p.allRegistered = false
	requireEqual(t, "extended by both while a shard is not registered", p.extendedUntil(), time.Duration(0))
}

// An earlier process of a restarted member may have granted extensions of which this
// process has no record, but not to processes that started after this one.
func TestRestartedMemberIsBlocked(t *testing.T) {
	for _, test := range []struct {
		name   string
		uptime time.Duration // of members b and c, when this process has run for 1.5 s
		want   bool
	}{
		{"others started earlier", time.Hour, false},
		{"others started later by no more than the clock drift", 1500*time.Millisecond - extensionClockDrift, false},
		{"others started later", 1500*time.Millisecond - extensionClockDrift - 1, true},
	} {
		t.Run(test.name, func(t *testing.T) {
			p := newProcess(t)
			p.now += 1500 * time.Millisecond
			for _, member := range []string{"b", "c"} {
				p.PeerConnected(member)
				p.HandleUptime(member, test.uptime)
			}
			requireEqual(t, "may claim", p.extensionsAllowClaim(p.now), test.want)
			p.PeerDisconnected("c")
			requireEqual(t, "may claim without a stream", p.extensionsAllowClaim(p.now), false)
		})
	}
}

// The first process of a member has no predecessor whose extensions could block it.
func TestFirstProcessIsNotBlocked(t *testing.T) {
	for _, hadPredecessor := range []bool{false, true} {
		t.Run(fmt.Sprint(hadPredecessor), func(t *testing.T) {
			p := newProcess(t)
			p.Tick(p.now)
			var current storage.GetResult
			if hadPredecessor {
				current.KeyValue = protocol.KeyValue{Key: storage.ProcessKey("a"), Value: p.holderValue("a", "1"), Version: 4}
				current.Found = true
			}
			p.gets[0](current)
			p.answerOldestTxn(storage.TxnResult{Outcome: storage.Applied, Revision: 5})
			requireEqual(t, "registered", p.Registered(), true)
			requireEqual(t, "may claim", p.extensionsAllowClaim(p.now), !hadPredecessor)
		})
	}
}

// A member that answers an uptime request sent after the request for this member's own
// shard has released the shard. An answer to an earlier uptime request proves nothing.
func TestReleaseIsConfirmedByALaterAnswer(t *testing.T) {
	p := newReadyProcess(t)
	for _, member := range []string{"b", "c"} {
		p.PeerConnected(member)
	}
	p.extensions.recordGrant(p.now)
	p.requestReleases(p.now)
	requireEqual(t, "sent", p.peers["b"].sent, "[uptime handover a uptime]")
	for _, member := range []string{"b", "c"} {
		p.HandleUptime(member, time.Hour)
	}
	requireEqual(t, "may claim after the first answers", p.extensionsAllowOwnShardClaim(p.now), false)
	for _, member := range []string{"b", "c"} {
		p.HandleUptime(member, time.Hour)
	}
	requireEqual(t, "may claim after the second answers", p.extensionsAllowOwnShardClaim(p.now), true)
	p.observeKey(storage.ShardKey("a"), p.holderValue("b", "1"), 20, true)
	requireEqual(t, "may claim once another member holds it again", p.extensionsAllowOwnShardClaim(p.now), false)
}

// A shard is lost only if a newer version of its key names another holder.
func TestShardIsLostToANewerKey(t *testing.T) {
	for version, events := range map[uint64]string{5: "[]", 6: "[]", 7: "[lost a]"} {
		t.Run(fmt.Sprint(version), func(t *testing.T) {
			p := newReadyProcess(t)
			p.heldShards["a"] = 6
			p.events = nil
			p.observeKey(storage.ShardKey("a"), p.holderValue("b", "1"), version, true)
			requireEqual(t, "events", p.events, events)
		})
	}
}

// A holder whose shards no leader has confirmed for leaderContactTimeout releases them.
func TestHolderWithoutLeaderReleasesShards(t *testing.T) {
	p := newReadyProcess(t)
	p.heldShards["a"] = 6
	p.observeKey(storage.LeaderKey, p.holderValue("b", "1"), 9, true)
	p.Tick(p.now)
	p.shardsConfirmed, p.events = false, nil
	for range int(leaderContactTimeout / time.Second) {
		p.renewals = nil
		p.lease.lastSuccessSentAt = p.now
		p.tickFor(time.Second)
		if p.now-p.lastLeaderContactAt <= leaderContactTimeout {
			requireEqual(t, "events", p.events, "[]")
		}
	}
	p.lease.lastSuccessSentAt = p.now
	p.tickFor(100 * time.Millisecond)
	requireEqual(t, "events", p.events, "[released a]")
}

// A shard is handed over only to the member that it is named after.
func TestHandover(t *testing.T) {
	p := newReadyProcess(t)
	p.heldShards["b"] = 6
	p.events = nil
	p.HandleHandover("c", "b")
	requireEqual(t, "events after a request of another member", p.events, "[]")
	p.HandleHandover("b", "b")
	requireEqual(t, "events after a request of its own member", p.events, "[released b]")
}

// Services are rejected while a member that cannot read them may acquire a shard. A
// member that has been unreachable for longer than unreachableMemberTimeout and holds
// no key does not count.
func TestOlderRecordFormatBlocksServices(t *testing.T) {
	p := newReadyProcess(t)
	requireEqual(t, "reads services, no member has started", p.AllMembersReadServices(p.now), true)
	p.observeKey(storage.ProcessKey("b"), p.codec.Encode(storage.Holder{Member: "b"}), 30, true)
	requireEqual(t, "reads services, one member of an older format", p.AllMembersReadServices(p.now), false)
	requireEqual(t, "divides limits, one member of an older format", p.AllMembersDivideLimits(), false)
	p.peers["b"].connected = false
	p.Tick(p.now)
	requireEqual(t, "reads services, unreachable for the timeout", p.AllMembersReadServices(p.now+unreachableMemberTimeout), false)
	requireEqual(t, "reads services, unreachable for longer", p.AllMembersReadServices(p.now+unreachableMemberTimeout+1), true)
	requireEqual(t, "divides limits, unreachable for longer", p.AllMembersDivideLimits(), false)
	p.observeKey(storage.ProcessKey("b"), p.codec.Encode(storage.Holder{Member: "b", RecordFormat: storage.QuotaRecordFormat}), 31, true)
	requireEqual(t, "divides limits, member upgraded", p.AllMembersDivideLimits(), true)
}

func TestReasonsHaveTexts(t *testing.T) {
	for _, reason := range []fmt.Stringer{LeaderKeyFree, LeaderKeyAlreadyHeld, LeaseSessionExpired, LeaseSessionUnknown,
		LeaderKeyChanged, MachinesUnreachable, ReleasedToOwnMember, ReleasedWithoutLeader} {
		if reason.String() == "unknown" {
			t.Errorf("%T %d has no text", reason, reason)
		}
	}
}
