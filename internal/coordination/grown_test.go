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

// What the users added to the protocol when their deployments grew: jobs stay
// known, every class is served, answers are lost, copies come late, a
// controller is alone with its workers, processes are back at once.

// An earlier process's claim, held by the network, must not be applied once the
// next process of the member can extend anything: with the holder's key gone
// meanwhile, it would make a second holder.
func TestHeldClaimDiesWithItsProcess(t *testing.T) {
	w := newWorld(t, "a", "b", "c")
	var held func() storage.Response
	claimer := ""
	w.state.onTxn = func(from string, q *protocol.Transaction, apply func() storage.Response, done func(storage.Response)) bool {
		if held == nil && len(q.Then) == 1 && q.Then[0].Put == storage.LeaderKey {
			held, claimer = apply, from
			return true
		}
		return false
	}
	w.crash(w.leader().name)
	w.advance(6 * time.Second)
	if held == nil {
		t.Fatal("nobody claimed the leader key")
	}
	w.crash(claimer)
	w.start(claimer)
	w.advance(time.Second)
	want(t, "registered", w.nodes[claimer].core.session.self != 0, true)
	w.state.remove(storage.LeaderKey)
	want(t, "held claim", held().Status, 409)
	want(t, "leader key", w.state.keys[storage.LeaderKey] == nil, true)
}

// A process that is not certain that its predecessor's claims are dead
// extends nothing: one of them might still be applied in spite of it.
func TestNoExtensionBeforeTheMembersKey(t *testing.T) {
	w := newWorld(t, "a", "b", "c")
	w.worker("vm-1", "z1")
	w.run(2 * time.Second)
	lead, f := w.leader(), w.follower()
	w.state.onTxn = func(from string, q *protocol.Transaction, _ func() storage.Response, done func(storage.Response)) bool {
		return from == f.name && len(q.Then) == 1 && q.Then[0].Put == storage.ProcessKey(f.name)
	}
	w.crash(f.name)
	w.start(f.name)
	w.advance(3 * time.Second)
	want(t, "view of the restarted member", f.core.session.viewOK, true)
	w.state.away[""] = true
	w.run(6 * time.Second)
	want(t, "acts on a extension of a member that can't give one", lead.core.session.mayAct(w.now), false)
}

// Once all troubles are over, every accepted job is answered for, whichever
// member is asked and whoever owned it, and its tasks run to their end.
func TestAcceptedJobsStayKnown(t *testing.T) {
	for seed := range uint64(25) {
		r := rand.New(rand.NewPCG(seed, 11))
		w := newWorld(t, "a", "b", "c")
		for i := range 4 {
			w.worker(fmt.Sprintf("vm-%d", i), []string{"z1", "z2"}[i%2]).takes = 3 * time.Second
		}
		type event struct {
			at time.Duration
			do func()
		}
		var late []event
		w.state.onTxn = func(_ string, _ *protocol.Transaction, apply func() storage.Response, done func(storage.Response)) bool {
			if r.IntN(40) > 0 {
				return false
			}
			// Held by the network: given up after a while, applied sooner or later.
			late = append(late, event{w.now + 1500*time.Millisecond, func() { done(storage.Response{}) }},
				event{w.now + time.Duration(r.IntN(8000))*time.Millisecond, func() { apply() }})
			return true
		}
		var accepted []string
		for step := range 120 {
			n := w.names[r.IntN(3)]
			switch r.IntN(16) {
			case 0:
				w.state.away[n] = !w.state.away[n]
			case 1:
				w.state.away[""] = !w.state.away[""]
			case 2:
				if w.nodes[n].up {
					w.crash(n)
				}
			case 3:
				if w.nodes[n].up {
					w.crash(n)
				}
				w.start(n)
			case 4:
				if o := w.names[r.IntN(3)]; o != n && w.nodes[n].up && w.nodes[o].up {
					if w.nodes[n].links[o] != nil {
						w.cut(n, o)
					} else {
						w.connect(n, o)
					}
				}
			case 5, 6, 7:
				if id := fmt.Sprintf("wk-%d", step); w.nodes[n].up {
					if q := w.nodes[n].submit(form(id, 3)); q.Status == 201 {
						accepted = append(accepted, id)
					}
				}
			}
			due := late
			late = nil
			for _, e := range due {
				if w.now >= e.at {
					e.do()
				} else {
					late = append(late, e)
				}
			}
			w.boot(3 * time.Second)
			w.run(time.Second)
		}
		w.state.onTxn = nil
		for _, e := range late {
			e.do()
		}
		clear(w.state.away)
		for _, n := range w.names {
			if !w.nodes[n].up {
				w.start(n)
			}
		}
		for i, a := range w.names {
			for _, b := range w.names[i+1:] {
				if w.nodes[a].links[b] == nil {
					w.connect(a, b)
				}
			}
		}
		w.run(20 * time.Second)
		for _, id := range accepted {
			for _, n := range w.names {
				if code, _ := w.nodes[n].poll(id); code != 200 {
					t.Fatalf("seed %d: %s asked for %s answers %d", seed, n, id, code)
				}
			}
		}
		for range 55 {
			w.boot(3 * time.Second)
			w.run(time.Second)
		}
		for _, id := range accepted {
			for _, n := range w.names {
				if code, s := w.nodes[n].poll(id); code != 200 || s.Status != "done" {
					t.Fatalf("seed %d: %s says %d %q of %s", seed, n, code, s.Status, id)
				}
			}
		}
	}
}

// A machine whose reports arrive but which no answer reaches gets no starts,
// holds nothing up, and is returned if that lasts.
func TestMachineThatHearsNothing(t *testing.T) {
	w := newWorld(t, "a", "b", "c")
	deaf, other := w.worker("vm-1", "z1"), w.worker("vm-2", "z1")
	w.run(3 * time.Second)
	lead := w.leader()
	want(t, "submit", lead.submit(form("wk-1", 2).with("crew", "red")).Status, 201)
	deaf.report()
	want(t, "running", len(deaf.running()), 2)
	deaf.report()

	deaf.deaf = true
	deaf.report() // its answer is lost; the worker closes the connection
	want(t, "more", lead.submit(form("wk-2", 2)).Status, 201)
	m := lead.core.leader.machines.get("vm-1")
	for range 3 {
		deaf.report()
		want(t, "starts sent to a machine that hears nothing", len(m.sent), 0)
	}
	other.report()
	want(t, "running elsewhere", len(other.running()), 2)
	want(t, "its use of a limit", lead.core.leader.teams["red"].cpus, 4)

	// Its new session proves that its tasks are gone, whatever token it bears.
	deaf.expire()
	deaf.report()
	w.advance(tickEvery)
	other.report()
	want(t, "running elsewhere", strings.Join(other.running(), " "), "wk-1/0 wk-1/1 wk-2/0 wk-2/1")
	for range 30 {
		deaf.report()
		other.report()
		w.advance(time.Second)
	}
	want(t, "returned", fmt.Sprint(w.cloud.released), "[vm-1]")
}

// The same at a new leader, whose token the machine never sees: its new session
// is proof all the same, as sessions end only with all their tasks.
func TestNewSessionWithoutTheToken(t *testing.T) {
	w := newWorld(t, "a", "b", "c")
	deaf, other := w.worker("vm-1", "z1"), w.worker("vm-2", "z1")
	w.run(3 * time.Second)
	lead, f := w.leader(), w.follower()
	want(t, "submit", f.submit(form("wk-1", 2)).Status, 201)
	deaf.report()
	want(t, "running", len(deaf.running()), 2)
	deaf.report()
	deaf.deaf = true
	w.crash(lead.name)
	w.run(10 * time.Second)
	want(t, "running elsewhere before the lease is over", len(other.running()), 0)
	deaf.expire()
	w.run(3 * time.Second)
	want(t, "running elsewhere", len(other.running()), 2)
}

// Reports with very many tasks, all at once, keep the mesh's frames and the
// answers within their sizes: a frame that is too large would end the stream.
func TestVeryLongReports(t *testing.T) {
	w := newWorld(t, "a", "b", "c")
	lead, f := w.leader(), w.follower()
	want(t, "submit", f.submit(form("wk-1", 3000)).Status, 201)
	var answers []*Response
	for i := range 40 {
		k := w.worker(fmt.Sprintf("vm-%d", i), "z1")
		k.report()
		for n := range 1500 {
			name := fmt.Sprintf("wk-1/%d", n)
			k.tasks[name] = &workerTask{name: name, attempt: uint64(1 + i), state: "ended", why: "halted"}
		}
		out := &Response{}
		lead.core.HandleHTTP(&Request{Method: "POST", Path: "/checkin", Body: k.body(), Conn: k.conn}, func(r Response) { *out = r })
		answers = append(answers, out)
	}
	w.settle()
	w.advance(time.Second)
	code, _ := f.abort("wk-1")
	want(t, "abort", code, 200)
	for _, name := range w.workerNames() {
		lead.core.relay.moves = 0 // none is sent elsewhere
		r := w.workers[name].report()
		if r.Status != 200 || len(r.Body) > 64<<10 {
			t.Fatalf("answered %d with %d bytes", r.Status, len(r.Body))
		}
	}
	for _, r := range answers {
		want(t, "answer", r.Status, 200)
	}
}

// A machine that was out of reach for longer than a worker waits for an answer gets
// starts with its first report, on whatever connection; one that reports as a worker
// does that gets no answers still gets none.
func TestMachineThatWasAwayGetsStartsAtOnce(t *testing.T) {
	for _, c := range []struct {
		pause  time.Duration
		starts bool
	}{{5 * time.Second, false}, {8 * time.Second, true}} {
		w := newWorld(t, "a", "b", "c")
		w.cloud.refuse = true
		for _, name := range w.names {
			tune := &w.nodes[name].core.tune // it is not returned for its pauses
			tune.SilenceHeartbeats, tune.IdleBeforeScaleIn = 20, time.Hour
		}
		k, other := w.worker("vm-1", "z1"), w.worker("vm-2", "z2")
		pause := func(d time.Duration) { // the leader hears of others meanwhile
			for end := w.now + d; w.now < end; {
				w.advance(time.Second)
				other.report()
			}
		}
		w.run(4 * time.Second)
		n := w.leader()
		k.reportTo(n)
		pause(c.pause)
		want(t, "submit", n.submit(form("wk-1", 2).with("hall", "z1")).Status, 201)
		k.stays = nil // its connection is gone
		k.reportTo(n)
		want(t, fmt.Sprint("started after ", c.pause), w.total() > 0, c.starts)
		k.reportTo(n)
		want(t, "started by the next report", w.total(), 2)
		k.finish("done")
		for range 3 { // until its results are written and cleared
			k.reportTo(n)
			w.advance(time.Second)
		}
		k.deaf = true // it hears nothing, and pauses again: it gets nothing twice
		sent := func() int { return len(n.core.leader.machines.get("vm-1").sent) }
		k.stays = nil
		pause(8 * time.Second)
		want(t, "more", n.submit(form("wk-2", 2).with("hall", "z1")).Status, 201)
		k.reportTo(n)
		first := sent()
		for range 2 { // the first shows that its starts are lost
			pause(8 * time.Second)
			k.reportTo(n)
		}
		want(t, fmt.Sprint("sent to one that hears nothing, away for ", c.pause), fmt.Sprint(first, " ", sent()), "2 0")
	}
}

// A machine that hears again is served again.
func TestMachineThatHearsAgain(t *testing.T) {
	w := newWorld(t, "a")
	k := w.worker("vm-1", "z1")
	w.run(3 * time.Second)
	k.deaf = true
	k.report()
	k.report()
	k.deaf = false
	want(t, "submit", w.nodes["a"].submit(form("wk-1", 2)).Status, 201)
	k.report()
	want(t, "starts in answer to the first report on a new connection", len(k.running()), 0)
	k.report()
	want(t, "starts once an answer has arrived", len(k.running()), 2)
}

// A machine that reports on another connection each time, as it does while it
// tries one controller after another, keeps its tasks until its lease is over:
// returned at once, it lost them although it was well a moment later.
func TestMachineThatTriesOthersKeepsItsTasks(t *testing.T) {
	w := newWorld(t, "a", "b", "c")
	k := w.worker("vm-1", "z1")
	for i := range 10 {
		w.worker(fmt.Sprintf("vm-2%d", i), "z1")
	}
	w.run(10 * time.Second)
	want(t, "submit", w.leader().submit(form("wk-1", 44)).Status, 201)
	w.run(2 * time.Second)
	want(t, "running", len(k.running()), 4)
	k.deaf = true
	w.run(14 * time.Second)
	k.deaf = false
	w.run(10 * time.Second)
	want(t, "returned", len(w.cloud.released), 0)
	want(t, "running", len(k.running()), 4)
}

// What is cancelled on a machine that hears nothing ends in time, and such
// machines do not keep a leader believing that it reaches its workers.
func TestNothingButDeafMachines(t *testing.T) {
	w := newWorld(t, "a", "b", "c")
	var deaf []*worker
	for i := range 10 {
		deaf = append(deaf, w.worker(fmt.Sprintf("vm-%d", i), "z1"))
	}
	w.run(10 * time.Second)
	lead := w.leader()
	want(t, "submit", lead.submit(form("wk-1", 2)).Status, 201)
	w.run(2 * time.Second)
	want(t, "running", w.total(), 2)
	code, _ := lead.abort("wk-1")
	want(t, "abort", code, 200)
	for _, k := range deaf {
		k.deaf = true
	}
	w.run(17 * time.Second)
	if lead.core.leader != nil {
		t.Fatal("the leader believes that it reaches its workers")
	}
	for _, k := range deaf {
		k.expire() // their leases are over
	}
	w.run(20 * time.Second)
	want(t, "left of the cancelled job", w.total(), 0)
}

// A late copy of a report renews nothing, proves nothing, changes no task and
// brings back no machine: at the same leader, at a new one, after a release.
func TestLateCopies(t *testing.T) {
	w := newWorld(t, "a", "b", "c")
	k, other := w.worker("vm-1", "z1"), w.worker("vm-2", "z2")
	w.run(3 * time.Second)
	lead := w.leader()
	want(t, "submit", lead.submit(form("wk-1", 1)).Status, 201)
	k.report()
	want(t, "running", len(k.running()), 1)
	k.report()
	old := append([]byte(nil), k.lastSent...) // lists wk-1/0, with the present token
	w.run(time.Second)
	m := lead.core.leader.machines.get("vm-1")
	before := *m
	w.advance(900 * time.Millisecond)
	want(t, "copy at the same leader", lead.callOn(k.conn, "POST", "/checkin", old).Status, 503)
	if m.heard != before.heard || m.reached != before.reached || m.currentAt != before.currentAt || m.seq != before.seq {
		t.Fatal("a late copy renewed what is known of its machine")
	}

	// The machine fails the task; its replica runs on the other one. Then the
	// leader and owner ends, and the copy is the first that the next one hears.
	k.finish("error")
	k.report()
	k.report()
	for range 4 {
		w.advance(time.Second)
		other.report()
	}
	want(t, "replica", strings.Join(other.running(), " "), "wk-1/0")
	want(t, "left on the first", len(k.tasks), 0)
	w.crash(lead.name)
	w.advance(8 * time.Second)
	next := w.leader()
	want(t, "copy at a new leader", next.call("POST", "/checkin", old).Status, 200)
	for range 6 {
		other.report()
		w.advance(time.Second)
	}
	k.report()
	want(t, "replica runs on", strings.Join(other.running(), " "), "wk-1/0")
	want(t, "starts", k.starts+other.starts, 2)

	// A machine that is gone stays gone, here and at the next leader.
	w.run(2 * time.Second)
	last := k.body() // newer than any that has arrived
	next.core.leader.goneForGood(next.core.leader.machines.get("vm-1"))
	delete(w.workers, "vm-1")
	gone := next.core.leader.machines.get("vm-1")
	at := gone.heard
	w.advance(time.Second)
	want(t, "copy of a machine that is gone", next.call("POST", "/checkin", last).Status, 503)
	want(t, "last heard of it", gone.heard, at)
	w.cloud.machines = w.cloud.machines[1:]
	w.run(3 * time.Second)
	w.crash(next.name)
	w.start(lead.name)
	w.advance(8 * time.Second)
	third := w.leader()
	third.call("POST", "/checkin", last)
	want(t, "more", third.submit(form("wk-2", 8)).Status, 201)
	for range 4 {
		third.call("POST", "/checkin", last)
		w.run(time.Second)
	}
	g := third.core.leader.machines.get("vm-1")
	if g == nil || third.core.leader.usable(g, w.now) || g.record != "" || len(g.sent) > 0 {
		t.Fatal("a late copy made a machine of one that is gone")
	}
}

// A member that loses the state service and the other members, but not its
// workers and users, stops before another acts, and says so.
func TestAloneWithItsWorkers(t *testing.T) {
	w := newWorld(t, "a", "b", "c")
	k := w.worker("vm-1", "z1")
	w.run(3 * time.Second)
	lead := w.leader()
	want(t, "submit", lead.submit(form("wk-1", 2)).Status, 201)
	w.run(3 * time.Second)
	w.wantStatus(lead, "wk-1", 200, "running")
	w.state.away[lead.name] = true
	for _, n := range w.names {
		if n != lead.name {
			w.cut(lead.name, n)
		}
	}
	lead.call("GET", "/ready", nil)
	for range 80 {
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
	want(t, "ready", lead.call("GET", "/ready", nil).Status, 503)
	if r := k.reportTo(lead); r.Status != 503 {
		t.Fatalf("a worker is answered %d", r.Status)
	}
	want(t, "submission", lead.submit(form("wk-2", 1)).Status, 503)
	next := w.leader()
	for range 10 {
		w.advance(time.Second)
		k.reportTo(next)
	}
	code, status := next.abort("wk-1")
	want(t, "withdrawn elsewhere", fmt.Sprintf("%d %s", code, status), "200 withdrawn")
	if code, s := lead.poll("wk-1"); code == 200 && s.Status != "withdrawn" {
		t.Fatalf("an older answer: %q", s.Status)
	}
	clear(w.state.away)
	for _, n := range w.names {
		if n != lead.name {
			w.connect(lead.name, n)
		}
	}
	w.run(10 * time.Second)
	want(t, "leader after the return", w.leader().name, next.name)
	want(t, "ready after the return", lead.call("GET", "/ready", nil).Status, 200)
	w.wantStatus(lead, "wk-1", 200, "withdrawn")
	want(t, "submission after the return", lead.submit(form("wk-3", 2)).Status, 201)
	w.run(5 * time.Second)
	want(t, "running", strings.Join(k.running(), " "), "wk-3/0 wk-3/1")
}

// Hundreds of machines are rented and returned within what one request takes,
// also if requests are filled in part; and a list that is older than the one
// before neither loses a machine nor brings back one that is gone.
func TestHundredsOfMachines(t *testing.T) {
	w := newWorld(t, "a")
	w.cloud.most = 40
	n := w.nodes["a"]
	want(t, "submit", n.submit(form("wk-1", 480).with("vcpus", 8.0).with("ramGb", 60.0)).Status, 201)
	for s := 0; len(w.cloud.machines) < 480 && s < 200; s++ {
		w.advance(time.Second)
	}
	want(t, "machines rented", len(w.cloud.machines), 480)
	for _, q := range w.cloud.requests {
		if q.Count > maxRent {
			t.Fatalf("a request for %d machines", q.Count)
		}
	}
	w.advance(6 * time.Second)
	w.boot(2 * time.Second)
	for range 12 {
		w.run(time.Second)
	}
	w.wantStatus(n, "wk-1", 200, "done")
	before := append([]cloudMachine(nil), w.cloud.machines...)
	known := len(n.core.leader.machines.byName)
	w.cloud.older = before[:100]
	w.run(5 * time.Second)
	want(t, "machines known by an older list", len(n.core.leader.machines.byName), known)
	w.cloud.older = nil
	w.run(90 * time.Second)
	want(t, "machines returned", len(w.cloud.released), 480)
	for _, k := range w.cloud.returns {
		if k > maxRelease {
			t.Fatalf("a release of %d machines", k)
		}
	}
	w.cloud.older = before
	w.run(10 * time.Second)
	for m := range n.core.leader.machines.all {
		if !m.gone {
			t.Fatalf("%s is back by an older list", m.name)
		}
	}
	want(t, "machines rented in all", w.cloud.n, 480)
}
