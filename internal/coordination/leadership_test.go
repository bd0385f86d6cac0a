package coordination

import (
	"fmt"
	"math/rand/v2"
	"strings"
	"testing"
	"time"

	"github.com/cobaltvale/cobaltvale/internal/protocol"
	"github.com/cobaltvale/cobaltvale/internal/storage"
)

// A start that a worker was given by a leader that is no more must be proven
// absent to the new one before another copy goes out.
func TestLeaderCrash(t *testing.T) {
	w := newWorld(t, "a", "b", "c")
	k1, k2 := w.worker("vm-1", "z1"), w.worker("vm-2", "z2")
	w.run(2 * time.Second)
	lead := w.leader()
	want(t, "submit at the leader", lead.submit(form("wk-1", 4)).Status, 201)
	want(t, "submit elsewhere", w.follower().submit(form("wk-2", 4)).Status, 201)
	w.run(4 * time.Second)
	want(t, "running", w.total(), 8)
	old := lead.core.leader.token
	w.crash(lead.name)
	w.run(9 * time.Second)
	next := w.leader()
	if next == lead || next.core.leader.token <= old {
		t.Fatalf("token %d does not follow %d", next.core.leader.token, old)
	}
	want(t, "running on", w.total(), 8)
	k1.finish("done")
	k2.finish("done")
	w.run(20 * time.Second)
	w.wantStatus(next, "wk-1", 200, "done")
	w.wantStatus(next, "wk-2", 200, "done")
	want(t, "starts", k1.starts+k2.starts, 8)
}

// A restarted member gets its ledger back, also when the leader has it.
func TestLedgerGoesBackToItsMember(t *testing.T) {
	w := newWorld(t, "a", "b", "c")
	w.worker("vm-1", "z1")
	f := w.follower()
	want(t, "submit", f.submit(form("wk-1", 2)).Status, 201)
	w.crash(f.name)
	w.run(10 * time.Second)
	if w.leader().core.owner.ledgers[f.name] == nil {
		t.Fatal("the leader did not take the ledger")
	}
	want(t, "running", w.total(), 2)
	w.start(f.name)
	w.run(10 * time.Second)
	if w.leader().core.owner.ledgers[f.name] != nil || f.core.owner.ledgers[f.name] == nil {
		t.Fatal("the ledger did not go back")
	}
	want(t, "running on", w.total(), 2)
}

// A restart faster than the lease: the ledger and the leader key are taken
// over at once, and the new token is higher.
func TestQuickRestartTakesItsKeysBack(t *testing.T) {
	w := newWorld(t, "a", "b", "c")
	lead := w.leader()
	old := lead.core.leader.token
	w.crash(lead.name)
	w.start(lead.name)
	w.advance(1500 * time.Millisecond)
	if lead.core.leader == nil || lead.core.leader.token <= old {
		t.Fatal("the restarted leader does not lead under a new token")
	}
	if l := lead.core.owner.ledgers[lead.name]; l == nil || !l.ready {
		t.Fatal("the restarted member has no ledger")
	}
}

// A transaction that is applied after its sender was replaced must not count.
func TestLateTransactionIsFenced(t *testing.T) {
	w := newWorld(t, "a", "b", "c")
	f := w.follower()
	var late func() storage.Response
	w.state.onTxn = func(from string, txn *protocol.Transaction, apply func() storage.Response, _ func(storage.Response)) bool {
		if late == nil && len(txn.Then) > 0 && strings.HasPrefix(txn.Then[0].Put, "job/") {
			late = apply
			return true
		}
		return false
	}
	r := f.submit(form("wk-1", 2))
	want(t, "answered while its fate is open", r.Status, 0)
	w.crash(f.name)
	w.run(10 * time.Second)
	want(t, "late transaction", late().Status, 409)
	code, _ := w.leader().poll("wk-1")
	want(t, "poll", code, 404)
}

// One member alone is refused by the state service: it must stop acting
// before another takes its keys.
func TestRefusedMemberStopsActing(t *testing.T) {
	w := newWorld(t, "a", "b", "c")
	k := w.worker("vm-1", "z1")
	w.run(2 * time.Second)
	lead := w.leader()
	w.state.away[lead.name] = true
	for range 100 {
		w.advance(100 * time.Millisecond)
		acting := 0
		for _, n := range w.names {
			if c := w.nodes[n].core; c.leader != nil && c.session.mayAct(w.now) {
				acting++
			}
		}
		if acting > 1 {
			t.Fatal("two members act as leader")
		}
	}
	if w.leader() == lead {
		t.Fatal("the refused member still leads")
	}
	// It has heard from the next leader and passes reports on to it; it answers
	// none by itself.
	k.token = 0
	if r := k.reportTo(lead); r.Status == 200 {
		want(t, "token of the answer", k.token, w.leader().core.leader.token)
	}
	lead.call("GET", "/ready", nil)
	w.advance(4 * time.Second)
	want(t, "ready", lead.call("GET", "/ready", nil).Status, 503)
	w.state.away[lead.name] = false
	w.advance(5 * time.Second)
	want(t, "ready again", lead.call("GET", "/ready", nil).Status, 200)
}

// A member that is silent on the mesh grants no extension: in an outage the
// holder then stops with its lease, as that member may claim its keys.
func TestNoExtensionNoActing(t *testing.T) {
	w := newWorld(t, "a", "b", "c")
	w.worker("vm-1", "z1")
	w.run(2 * time.Second)
	lead := w.leader()
	want(t, "submit", lead.submit(form("wk-1", 2)).Status, 201)
	w.run(2 * time.Second)
	w.state.away[""] = true
	w.run(10 * time.Second)
	want(t, "acts while all extend", lead.core.session.mayAct(w.now), true)
	w.cut(lead.name, w.follower().name)
	w.advance(2500 * time.Millisecond)
	want(t, "acts without a extension", lead.core.session.mayAct(w.now), false)
	// Reports are refused meanwhile; that is not the machines' silence.
	w.run(12 * time.Second)
	w.connect(lead.name, w.follower().name)
	w.state.away[""] = false
	w.run(8 * time.Second)
	want(t, "machines returned for the outage", len(w.cloud.released), 0)
	want(t, "running on", w.total(), 2)
}

// The state service refuses the leader alone, and then everybody: the next
// leader goes on, although the first has not seen it take the key. Refused its
// extension, nobody acted until the end of the outage, and nothing was cancelled
// in time.
func TestOutageAfterTheLeaderWasRefused(t *testing.T) {
	w := newWorld(t, "a", "b", "c")
	k := w.worker("vm-1", "z1")
	w.run(2 * time.Second)
	first := w.leader()
	want(t, "submit", w.follower().submit(form("wk-1", 2)).Status, 201)
	w.state.away[first.name] = true
	w.run(10 * time.Second)
	second := w.leader()
	want(t, "another leads", second != first, true)
	w.state.away[""] = true
	for range 50 { // longer than a cancellation has
		w.run(time.Second)
		if !second.core.session.mayAct(w.now) {
			t.Fatal("the leader stops in an outage although everybody extends")
		}
		want(t, "acts that lost its key", first.core.session.mayAct(w.now), false)
	}
	want(t, "running", len(k.running()), 2)
	w.state.away[""], w.state.away[first.name] = false, false
	w.run(5 * time.Second)
	code, status := first.poll("wk-1")
	want(t, "known to the first", fmt.Sprint(code, status.Status == "running" || status.Status == "pending"), "200 true")
}

// Whatever is refused to whom, whoever restarts, and whatever transactions are
// carried out late, two processes never act on the same key.
func TestNeverTwoHolders(t *testing.T) {
	for seed := range uint64(40) {
		r := rand.New(rand.NewPCG(seed, 7))
		w := newWorld(t, "a", "b", "c")
		type late struct {
			at    time.Duration
			apply func() storage.Response
		}
		var unanswered []late
		lateOnes := 0 // of 10
		w.state.onTxn = func(from string, txn *protocol.Transaction, apply func() storage.Response, done func(storage.Response)) bool {
			if r.IntN(10) >= lateOnes {
				return false
			}
			unanswered = append(unanswered, late{w.now + time.Duration(2000+r.IntN(10000))*time.Millisecond, apply})
			done(storage.Response{})
			return true
		}
		for range 250 {
			kept := unanswered[:0]
			for _, l := range unanswered {
				if l.at <= w.now && !w.state.away[""] {
					l.apply()
					continue
				}
				kept = append(kept, l)
			}
			unanswered = kept
			if r.IntN(20) == 0 {
				lateOnes = max(0, r.IntN(12)-6)
			}
			n := w.names[r.IntN(3)]
			switch r.IntN(30) {
			case 0:
				w.state.away[n] = !w.state.away[n]
			case 1:
				w.state.away[""] = !w.state.away[""]
			case 2:
				if w.nodes[n].up {
					w.crash(n)
				} else {
					w.start(n)
				}
			case 3:
				o := w.names[r.IntN(3)]
				if o != n && w.nodes[n].up && w.nodes[o].up {
					if w.nodes[n].links[o] != nil {
						w.cut(n, o)
					} else {
						w.connect(n, o)
					}
				}
			}
			w.advance(200 * time.Millisecond)
			leaders := 0
			held := make(map[string]int)
			for _, name := range w.names {
				x := w.nodes[name]
				if !x.up || !x.core.session.mayAct(w.now) {
					continue
				}
				if x.core.leader != nil {
					leaders++
				}
				for l := range x.core.owner.ledgers {
					held[l]++
				}
			}
			for l, k := range held {
				if k > 1 {
					t.Fatalf("seed %d: %d members act on ledger %s", seed, k, l)
				}
			}
			if leaders > 1 {
				t.Fatalf("seed %d: %d members act as leader", seed, leaders)
			}
		}
	}
}

func TestOutageOfTheStateService(t *testing.T) {
	w := newWorld(t, "a", "b", "c")
	w.worker("vm-1", "z1")
	w.run(2 * time.Second)
	want(t, "submit", w.nodes["a"].submit(form("wk-1", 2)).Status, 201)
	w.run(2 * time.Second)
	token := w.leader().core.leader.token
	k := w.workers["vm-1"]
	want(t, "more", w.nodes["a"].submit(form("wk-3", 6)).Status, 201)
	w.run(2 * time.Second)
	w.state.away[""] = true
	w.run(12 * time.Second)
	k.finish("done")
	w.run(12 * time.Second)
	want(t, "running after new starts in the outage", len(k.running()), 4)
	want(t, "results kept for the write", len(k.tasks), 8)
	r := w.nodes["b"].submit(form("wk-2", 2))
	want(t, "submit in the outage", fmt.Sprint(r.Status, r.RetryAfterS > 0), "503 true")
	code, _ := w.nodes["b"].poll("wk-77")
	want(t, "unknown job in the outage", code, 503)
	for _, n := range w.names {
		want(t, "ready", w.nodes[n].call("GET", "/ready", nil).Status, 200)
	}
	w.state.away[""] = false
	w.run(4 * time.Second)
	want(t, "token", w.leader().core.leader.token, token)
	want(t, "running on", w.total(), 4)
	want(t, "results written and cleared", len(k.tasks), 4)
	want(t, "submit after", w.nodes["b"].submit(form("wk-2", 2)).Status, 201)
}

// The answers that name a leader which no worker reaches would lead every
// worker back to it.
func TestLeaderThatNoWorkerReachesResigns(t *testing.T) {
	w := newWorld(t, "a", "b", "c")
	w.worker("vm-1", "z1")
	w.run(10 * time.Second)
	lead := w.leader()
	w.advance(20 * time.Second)
	if lead.core.leader != nil {
		t.Fatal("still leading")
	}
	next := w.leader()
	w.run(10 * time.Second)
	if w.leader() != next {
		t.Fatal("leadership does not rest")
	}
}

// An owner that the leader cannot reach gives its ledger up: users who cancel
// there would be told so while the tasks run on.
func TestOwnerCutOffFromTheLeaderYields(t *testing.T) {
	w := newWorld(t, "a", "b", "c")
	w.worker("vm-1", "z1")
	w.run(2 * time.Second)
	f, lead := w.follower(), w.leader()
	want(t, "submit", f.submit(form("wk-1", 2)).Status, 201)
	w.run(2 * time.Second)
	w.cut(f.name, lead.name)
	w.run(15 * time.Second)
	if len(f.core.owner.ledgers) != 0 || lead.core.owner.ledgers[f.name] == nil {
		t.Fatal("the ledger did not move to the leader")
	}
	want(t, "running on", w.total(), 2)
	w.connect(f.name, lead.name)
	w.run(8 * time.Second)
	if f.core.owner.ledgers[f.name] == nil {
		t.Fatal("the ledger did not come back")
	}
	want(t, "running on", w.total(), 2)
}

// A ledger that is taken up again under the same leader joins again: else its
// jobs would wait for ever, and their ends would not reach the leader.
func TestLedgerTakenUpAgainJoinsAgain(t *testing.T) {
	w := newWorld(t, "a", "b", "c")
	k := w.worker("vm-1", "z1")
	w.run(2 * time.Second)
	f := w.follower()
	want(t, "submit", f.submit(form("wk-1", 2)).Status, 201)
	w.run(3 * time.Second)
	want(t, "running", len(k.running()), 2)
	f.core.session.giveUp(f.name)
	w.run(8 * time.Second)
	if l := f.core.owner.ledgers[f.name]; l == nil || !l.joined {
		t.Fatal("the ledger has not joined")
	}
	code, status := f.abort("wk-1")
	want(t, "abort", fmt.Sprintf("%d %s", code, status), "200 withdrawn")
	w.run(4 * time.Second)
	want(t, "running", len(k.running()), 0)
	want(t, "submit", f.submit(form("wk-2", 2)).Status, 201)
	w.run(4 * time.Second)
	want(t, "running", len(k.running()), 2)
}
