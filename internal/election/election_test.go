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

// A lease lasts as counted from when its last successful renewal was sent,
// however late the answer came.
func TestLeaseIsCountedFromWhenItsRenewalWasSent(t *testing.T) {
	ttl := testTTL
	span := time.Duration(float64(ttl)/ClockDriftFactor) - leaseSafetyMargin
	p := newProcess(t)
	requireEqual(t, "without a lease", p.MayAct(p.now), false)
	p.Tick(p.now)
	p.now += 300 * time.Millisecond
	p.leases[0](7)
	requireEqual(t, "lasts until", p.MayActUntil(), testStartedAt+span)
	sent := testStartedAt + testTTL/renewalsPerLease
	p.tickFor(sent - p.now)
	p.now += 2 * time.Second
	p.renewals[0](true, false)
	requireEqual(t, "renewed until", p.MayActUntil(), sent+span)
	requireEqual(t, "just before its end", p.MayAct(sent+span-1), true)
	requireEqual(t, "at its end", p.MayAct(sent+span), false)
}

// With its lease a process loses its leadership and all of its shards.
func TestExpiredLeaseEndsEverything(t *testing.T) {
	p := newReadyProcess(t)
	p.becomeLeader(10)
	p.tickFor(testTTL / renewalsPerLease)
	p.events = nil
	p.renewals[0](false, true)
	requireEqual(t, "events", p.events, "[leadership lost lost all]")
	requireEqual(t, "leads", p.Leading(), false)
	requireEqual(t, "may act", p.MayAct(p.now), false)
}

// An answer to a claim of before the lease ended counts no more, and the next
// lease begins without it.
func TestClaimOfAnEndedLease(t *testing.T) {
	p := newReadyProcess(t)
	p.tickFor(maxCampaignDelay + 100*time.Millisecond)
	claim := p.txns[len(p.txns)-1]
	requireEqual(t, "claimed", claim.Then[0].Put, storage.LeaderKey)
	p.endLease(LeaseSessionExpired)
	p.txns = nil
	p.tickFor(100 * time.Millisecond)
	p.leases[len(p.leases)-1](8)
	claim.done(storage.TxnResult{Outcome: storage.Applied, Revision: 9})
	requireEqual(t, "leads", p.Leading(), false)
	p.tickFor(maxCampaignDelay + 100*time.Millisecond)
	again := p.txns[len(p.txns)-1].Then[0]
	requireEqual(t, "claimed again", again.Put, storage.LeaderKey)
	requireEqual(t, "lease", again.Lease, 8)
}

// lead has the process win the leader key at a version, and its own shard before
// that.
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

// A claim holds only while the process has not been replaced, and the version
// that it is applied at is the fencing token.
func TestClaimOfTheLeaderKey(t *testing.T) {
	for _, test := range []struct {
		name   string
		result storage.TxnResult
		leads  bool
		events string
		reads  int // of the key, to see whose it is
	}{
		{"applied", storage.TxnResult{Outcome: storage.Applied, Revision: 9}, true, "[leadership acquired]", 0},
		{"conflict", storage.TxnResult{Outcome: storage.Conflict, FailedKeys: []string{storage.LeaderKey}}, false, "[]", 1},
		{"unknown", storage.TxnResult{Outcome: storage.Unknown}, false, "[]", 1},
		{"lease expired", storage.TxnResult{Outcome: storage.LeaseExpired}, false, "[lost all]", 0},
	} {
		t.Run(test.name, func(t *testing.T) {
			p := newReadyProcess(t)
			p.tickFor(maxCampaignDelay + 100*time.Millisecond)
			p.txns = p.txns[len(p.txns)-1:] // after the claim of the own shard
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

// A process that was replaced claims nothing until it has registered anew.
func TestReplacedProcessRegistersAnew(t *testing.T) {
	p := newReadyProcess(t)
	p.tickFor(maxCampaignDelay + 100*time.Millisecond)
	p.answerOldestTxn(storage.TxnResult{Outcome: storage.Conflict, FailedKeys: []string{storage.ProcessKey("a")}})
	requireEqual(t, "registered", p.Registered(), false)
	p.txns = nil
	p.tickFor(time.Second)
	requireEqual(t, "claims", len(p.txns), 0)
}

// Whoever resigns deletes the version of the key that it led by, and lets others
// lead for a while.
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
	requireEqual(t, "claims soon after", len(p.txns), 0)
}

// A newer leader key of another ends the leadership, an older one doesn't.
func TestNewerLeaderKeyEndsTheLeadership(t *testing.T) {
	for version, leads := range map[uint64]bool{8: true, 9: true, 10: false} {
		t.Run(fmt.Sprint(version), func(t *testing.T) {
			p := newReadyProcess(t)
			p.becomeLeader(9)
			p.ObserveLeader("b", version)
			requireEqual(t, "leads", p.Leading(), leads)
		})
	}
}

// The leader key names this process under another version: a later claim of it
// was applied, which it has not heard of.
func TestLeaderKeyUnderAnotherVersionEndsTheLeadership(t *testing.T) {
	p := newReadyProcess(t)
	p.becomeLeader(9)
	p.observeKey(storage.LeaderKey, p.encodedIdentity(), 9, true)
	requireEqual(t, "leads under its own", p.Leading(), true)
	p.observeKey(storage.LeaderKey, p.encodedIdentity(), 10, true)
	requireEqual(t, "leads under another", p.Leading(), false)
}

// A late claim of this very process may have been granted away since it was sent;
// a key that an earlier process holds can't have been.
func TestCampaignWhileBoundByAnExtension(t *testing.T) {
	for _, test := range []struct {
		name    string
		nonce   string // of the holder, a process of this member
		claimed bool
	}{
		{"held by an earlier process", "1", true},
		{"held by a late claim of this one", testIdentity.Nonce, false},
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

// Who is thought to lead changes only with a newer version of the key.
func TestLeaderIsWhoeverWroteTheNewestKey(t *testing.T) {
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
	requireEqual(t, "known once the key is gone", known, false)
}

// What a process does about a shard follows from its key as it was last seen.
func TestNextClaimStep(t *testing.T) {
	for _, test := range []struct {
		name  string
		shard string
		holds string // member and nonce of the holder; "": nobody
		bound bool   // this member has granted an extension
		leads bool
		free  time.Duration // since when the key has been as it is
		want  claimStep
	}{
		{name: "own, free", shard: "a", want: stepClaimFreeKey},
		{name: "own, free, bound by an extension", shard: "a", bound: true, want: stepRequestReleases},
		{name: "own, of an earlier process", shard: "a", holds: "a1", want: stepClaimHeldKey},
		{name: "own, of an earlier process, bound by an extension", shard: "a", holds: "a1", bound: true, want: stepClaimHeldKey},
		{name: "own, of a late claim, bound by an extension", shard: "a", holds: "a2", bound: true, want: stepNone},
		{name: "own, held by another", shard: "a", holds: "b1", want: stepRequestHandover},
		{name: "another's, held by another", shard: "b", holds: "c1", leads: true, free: time.Hour, want: stepNone},
		{name: "another's, free", shard: "b", free: time.Hour, want: stepNone},
		{name: "another's, free, to the leader", shard: "b", leads: true, free: connectedTakeoverDelay + 1, want: stepClaimFreeKey},
		{name: "another's, just free, to the leader", shard: "b", leads: true, free: connectedTakeoverDelay, want: stepNone},
		{name: "another's, free, to the leader, bound by an extension", shard: "b", leads: true, bound: true, free: time.Hour, want: stepNone},
		{name: "of one out of reach, free, to the leader", shard: "c", leads: true, free: takeoverDelay + 1, want: stepClaimFreeKey},
	} {
		t.Run(test.name, func(t *testing.T) {
			p := newReadyProcess(t)
			p.peers["c"].connected = false
			key := &observedKey{changedAt: p.now - test.free}
			if test.holds != "" {
				key.present = true
				key.holder = storage.Holder{Member: test.holds[:1], Nonce: test.holds[1:], RecordFormat: testIdentity.RecordFormat}
			}
			if test.bound {
				p.extensions.recordGrant(p.now)
			}
			if test.leads {
				p.fencingToken = 9
			}
			requireEqual(t, "step", p.nextClaimStep(test.shard, key, p.now), test.want)
		})
	}
}

// A member extends a lease only if it has not seen that the keys are another's,
// and claims none of them itself.
func TestExtensionRequest(t *testing.T) {
	leader := []*meshpb.HeldKey{{Key: storage.LeaderKey, Version: 5}}
	shard := []*meshpb.HeldKey{{Key: storage.ShardKey("b"), Version: 6}}
	for _, test := range []struct {
		name    string
		prepare func(p *process)
		keys    []*meshpb.HeldKey
		want    bool
	}{
		{"newer than what is known", func(*process) {}, leader, true},
		{"no key", func(*process) {}, nil, false},
		{"a shard that there is not", func(*process) {}, []*meshpb.HeldKey{{Key: storage.ShardKey("z"), Version: 1}}, false},
		{"known as the asker's", func(p *process) { p.observeKey(storage.ShardKey("b"), p.holderValue("b", "1"), 6, true) }, shard, true},
		{"known as another's", func(p *process) { p.observeKey(storage.ShardKey("b"), p.holderValue("c", "1"), 6, true) }, shard, false},
		{"known to be free", func(p *process) { p.observeKey(storage.ShardKey("b"), nil, 7, false) }, shard, false},
		{"claimed here", func(p *process) { p.pendingShards["b"] = true }, shard, false},
		{"leader key claimed here", func(p *process) { p.leaderClaimPending = true }, leader, false},
		{"not registered", func(p *process) { p.processKeyVersion = 0 }, shard, false},
		{"view not loaded", func(p *process) { p.view.loaded = false }, shard, false},
		{"one of two refused", func(p *process) { p.leaderClaimPending = true }, append(leader, shard...), false},
	} {
		t.Run(test.name, func(t *testing.T) {
			p := newReadyProcess(t)
			test.prepare(p)
			answer := p.HandleExtensionRequest("b", &meshpb.LeaseExtensionRequest{Round: 3, Keys: test.keys})
			requireEqual(t, "round", answer.Round, 3)
			requireEqual(t, "granted", answer.Granted, test.want)
			requireEqual(t, "may claim", p.extensionsAllowClaim(p.now), !test.want)
			requireEqual(t, "may claim later", p.extensionsAllowClaim(p.now+ExtensionDuration+extensionClockDrift+1), true)
		})
	}
}

// A process may act past its lease only while every other member extends it,
// counted from when it asked.
func TestActingByExtensions(t *testing.T) {
	p := newReadyProcess(t)
	p.heldShards["a"] = 3
	p.tickFor(extensionRequestDelay)
	round := p.extensions.lastRound
	asked := p.extensions.roundSentAt[round]
	granted := &meshpb.LeaseExtension{Round: round, Granted: true}
	until := asked + ExtensionDuration - 2*extensionClockDrift - leaseSafetyMargin/2
	p.now += testTTL // the lease has ended, for all that the process knows
	requireEqual(t, "by none", p.extendedUntil(), time.Duration(0))
	p.HandleExtension("b", granted)
	requireEqual(t, "by one of two", p.extendedUntil(), time.Duration(0))
	p.HandleExtension("c", &meshpb.LeaseExtension{Round: round})
	requireEqual(t, "refused by the other", p.extendedUntil(), time.Duration(0))
	p.HandleExtension("c", granted)
	requireEqual(t, "by both", p.extendedUntil(), until)
	p.allRegistered = false
	requireEqual(t, "while a shard is not registered", p.extendedUntil(), time.Duration(0))
}

// A restarted member may have granted extensions that it does not remember,
// except to processes that started after it.
func TestRestartedMemberIsBound(t *testing.T) {
	for _, test := range []struct {
		name   string
		uptime time.Duration // of the members b and c, while this one is up for 1.5 s
		want   bool
	}{
		{"others are older", time.Hour, false},
		{"others are younger by less than clocks drift", 1500*time.Millisecond - extensionClockDrift, false},
		{"others are younger", 1500*time.Millisecond - extensionClockDrift - 1, true},
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

// The first process of a member ever is not bound by one before it.
func TestFirstProcessIsNotBound(t *testing.T) {
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

// A member that answers a request after one for this member's shard has given
// the shard up; an answer to an earlier request tells nothing.
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
	requireEqual(t, "after the first answers", p.extensionsAllowOwnShardClaim(p.now), false)
	for _, member := range []string{"b", "c"} {
		p.HandleUptime(member, time.Hour)
	}
	requireEqual(t, "after the second", p.extensionsAllowOwnShardClaim(p.now), true)
	p.observeKey(storage.ShardKey("a"), p.holderValue("b", "1"), 20, true)
	requireEqual(t, "once another holds it again", p.extensionsAllowOwnShardClaim(p.now), false)
}

// A shard is lost only to a newer version of its key.
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

// A holder that no leader confirms gives its shards up.
func TestHolderWithoutALeaderReleasesItsShards(t *testing.T) {
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

// Only the member whose name a shard bears gets it back.
func TestHandover(t *testing.T) {
	p := newReadyProcess(t)
	p.heldShards["b"] = 6
	p.events = nil
	p.HandleHandover("c", "b")
	requireEqual(t, "asked by another", p.events, "[]")
	p.HandleHandover("b", "b")
	requireEqual(t, "asked by its member", p.events, "[released b]")
}

// Services are refused while a member that can't read them may come to hold a
// shard; a member that is out of reach for long and holds nothing doesn't count.
func TestMembersOfAnOlderRecordFormat(t *testing.T) {
	p := newReadyProcess(t)
	requireEqual(t, "members never seen", p.AllMembersReadServices(p.now), true)
	p.observeKey(storage.ProcessKey("b"), p.codec.Encode(storage.Holder{Member: "b"}), 30, true)
	requireEqual(t, "one of an older format", p.AllMembersReadServices(p.now), false)
	requireEqual(t, "divides limits", p.AllMembersDivideLimits(), false)
	p.peers["b"].connected = false
	p.Tick(p.now)
	requireEqual(t, "just out of reach", p.AllMembersReadServices(p.now+unreachableMemberTimeout), false)
	requireEqual(t, "out of reach for long", p.AllMembersReadServices(p.now+unreachableMemberTimeout+1), true)
	requireEqual(t, "divides limits still", p.AllMembersDivideLimits(), false)
	p.observeKey(storage.ProcessKey("b"), p.codec.Encode(storage.Holder{Member: "b", RecordFormat: storage.QuotaRecordFormat}), 31, true)
	requireEqual(t, "upgraded", p.AllMembersDivideLimits(), true)
}

func TestReasonsHaveTexts(t *testing.T) {
	for _, reason := range []fmt.Stringer{LeaderKeyFree, LeaderKeyAlreadyHeld, LeaseSessionExpired, LeaseSessionUnknown,
		LeaderKeyChanged, MachinesUnreachable, ReleasedToOwnMember, ReleasedWithoutLeader} {
		if reason.String() == "unknown" {
			t.Errorf("%T %d has no text", reason, reason)
		}
	}
}
