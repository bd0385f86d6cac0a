package coordination

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/cobaltvale/cobaltvale/internal/protocol"
	"github.com/cobaltvale/cobaltvale/internal/storage"
)

// Meetings of two troubles, as the operators' hunt page names them. That no task
// starts on one machine while it is on another is checked at every start, see
// checkAlone.

// finishTask ends one running task wherever it runs.
func (w *world) finishTask(name string) {
	for _, k := range w.workers {
		for _, t := range k.tasks {
			if t.name == name && t.state == "running" {
				t.state, t.why = "ended", "done"
			}
		}
	}
}

func (w *world) starts() int {
	n := 0
	for _, k := range w.workers {
		n += k.starts
	}
	return n
}

// Tasks of short jobs end far apart across a change of leader: what had ended
// stays so, what runs goes on, and the job is done once the last has ended.
func TestShortJobEndsAcrossAChangeOfLeader(t *testing.T) {
	for _, at := range []string{"leader", "follower"} {
		w := newWorld(t, "a", "b", "c")
		w.worker("vm-1", "z1")
		w.worker("vm-2", "z2")
		w.run(2 * time.Second)
		lead := w.leader()
		n := lead
		if at == "follower" {
			n = w.follower()
		}
		want(t, "submit", n.submit(form("wk-1", 3)).Status, 201)
		w.run(3 * time.Second)
		w.finishTask("wk-1/0")
		w.run(300 * time.Millisecond) // reported, and perhaps not yet written
		w.crash(lead.name)
		w.run(time.Second)
		w.finishTask("wk-1/1")
		w.run(15 * time.Second)
		next := w.leader()
		if code, s := next.poll("wk-1"); code != 200 || s.Status == "done" {
			t.Fatalf("%d %q while a task runs", code, s.Status)
		}
		want(t, "starts", w.starts(), 3)
		w.start(lead.name)
		w.run(10 * time.Second)
		w.finishTask("wk-1/2")
		w.run(5 * time.Second)
		for _, name := range w.names {
			w.wantStatus(w.nodes[name], "wk-1", 200, "done")
		}
		want(t, "starts in all", w.starts(), 3)
	}
}

// The leader ends while machines with long tasks are out of reach, or don't hear
// the next leader's answers. Their tasks run on and are not started elsewhere
// before their leases are over; those that are back within them keep them.
func TestLeaderEndsWhileMachinesAreOutOfReach(t *testing.T) {
	for _, deaf := range []bool{false, true} {
		for _, back := range []bool{false, true} {
			w := newWorld(t, "a", "b", "c")
			for i := range 10 {
				w.worker(fmt.Sprintf("vm-%d", i), "z1")
			}
			w.run(2 * time.Second)
			lead := w.leader()
			want(t, "submit", lead.submit(form("wk-1", 20)).Status, 201) // whose ledger changes hands too
			w.run(4 * time.Second)
			want(t, "running", w.total(), 20)
			var lost []*worker
			for _, name := range w.workerNames() {
				if k := w.workers[name]; len(lost) < 3 && len(k.running()) > 0 {
					k.hung, k.deaf = !deaf, deaf
					lost = append(lost, k)
				}
			}
			w.crash(lead.name)
			w.run(10 * time.Second) // within their leases of 16 s
			want(t, "starts before the leases are over", w.starts(), 20)
			if back {
				for _, k := range lost {
					k.hung, k.deaf = false, false
				}
				w.run(15 * time.Second)
				want(t, "starts of tasks whose machines are back", w.starts(), 20)
				continue
			}
			for _, k := range lost {
				k.expire()
			}
			w.run(30 * time.Second)
			want(t, "running again", w.total(), 20)
		}
	}
}

// The state service refuses the leader alone and then everybody, for longer than
// a cancellation has, while users cancel and ask. Nobody is told what is not
// durable, and once it is back everything is answered and what was cancelled goes.
func TestUsersCancelInALongOutage(t *testing.T) {
	w := newWorld(t, "a", "b", "c")
	w.worker("vm-1", "z1")
	w.worker("vm-2", "z1")
	w.run(2 * time.Second)
	first := w.leader()
	want(t, "submit", first.submit(form("wk-1", 2)).Status, 201)
	want(t, "submit", w.follower().submit(form("wk-2", 2)).Status, 201)
	w.run(3 * time.Second)
	w.state.away[first.name] = true
	w.run(8 * time.Second)
	w.state.away[""] = true
	told := make(map[string]bool)
	for i := range 50 { // cancel_s is 40
		for _, name := range w.names {
			out := w.nodes[name].ask("POST", "/submissions/wk-1/abort")
			ask := w.nodes[name].ask("GET", "/submissions/wk-2")
			w.run(time.Second)
			if out.Status == 200 {
				t.Fatal("a cancellation was told that nothing holds")
			}
			if ask.Status != 200 && ask.Status != 503 {
				t.Fatalf("a job that runs was answered %d", ask.Status)
			}
			told[fmt.Sprint(ask.Status, i >= 40)] = true
		}
	}
	want(t, "somebody answers to the end for the job that runs", told["200 true"], true)
	clear(w.state.away)
	w.run(6 * time.Second)
	code, status := w.leader().abort("wk-1")
	want(t, "cancelled", fmt.Sprintf("%d %s", code, status), "200 withdrawn")
	w.run(6 * time.Second)
	want(t, "running", w.total(), 2)
	for _, name := range w.names {
		w.wantStatus(w.nodes[name], "wk-1", 200, "withdrawn")
	}
}

// An answer is held up for seconds, its leader ends meanwhile, and the machine
// then carries it out: the start counts, or is proven absent, before another.
func TestHeldAnswerIsCarriedOutAfterItsLeader(t *testing.T) {
	for _, arrives := range []bool{true, false} {
		w := newWorld(t, "a", "b", "c")
		k, other := w.worker("vm-1", "z1"), w.worker("vm-2", "z1")
		w.run(2 * time.Second)
		lead := w.leader()
		want(t, "submit", lead.submit(form("wk-1", 2)).Status, 201) // whose ledger changes hands too
		if k.stays != lead.core {
			k.reportTo(lead)
		}
		held := &Response{}
		lead.core.HandleHTTP(&Request{Method: "POST", Path: "/checkin", Body: k.body(), Conn: k.conn}, func(r Response) { *held = r })
		w.advance(400 * time.Millisecond)
		want(t, "answer", held.Status, 200)
		k.hung = true // it waits for the answer
		w.crash(lead.name)
		for range 3 {
			w.advance(time.Second)
			other.report()
		}
		k.hung = false
		if arrives {
			k.obey(held.Body)
		}
		k.stays = nil
		w.run(20 * time.Second)
		want(t, "running", w.total(), 2)
		want(t, "starts", w.starts(), 2)
	}
}

// All end, and one is back within a second: it goes on alone, with all ledgers,
// once nobody can hold a extension of its predecessor's.
func TestAllEndAndOneIsBackAtOnce(t *testing.T) {
	for _, name := range []string{"a", "b", "c"} {
		w := newWorld(t, "a", "b", "c")
		w.worker("vm-1", "z1")
		w.worker("vm-2", "z1")
		w.run(2 * time.Second)
		for i, n := range w.names {
			want(t, "submit", w.nodes[n].submit(form(fmt.Sprint("wk-", i+1), 2)).Status, 201)
		}
		w.run(4 * time.Second)
		for _, n := range w.names {
			w.crash(n)
		}
		w.advance(300 * time.Millisecond)
		w.start(name)
		w.run(14 * time.Second)
		n := w.nodes[name]
		want(t, "leads", w.leader(), n)
		want(t, "running", w.total(), 6)
		for i := range w.names {
			w.wantStatus(n, fmt.Sprint("wk-", i+1), 200, "running")
		}
		for _, k := range w.workers {
			k.finish("done")
		}
		w.run(5 * time.Second)
		for i := range w.names {
			w.wantStatus(n, fmt.Sprint("wk-", i+1), 200, "done")
		}
		want(t, "starts", w.starts(), 6)
	}
}

// A transaction of each kind gets no answer and is carried out late, after newer
// ones of the same controller, with a change of leader in between or without.
// Whatever it holds is fenced or harmless: every job ends as it should.
func TestLateWriteOfEachKind(t *testing.T) {
	kinds := map[string]func(c protocol.Change) bool{
		"leader":    func(c protocol.Change) bool { return c.Put == storage.LeaderKey },
		"ledger":    func(c protocol.Change) bool { return strings.HasPrefix(c.Put, "m/ledger/") },
		"member":    func(c protocol.Change) bool { return strings.HasPrefix(c.Put, "m/member/") },
		"machines":  func(c protocol.Change) bool { return strings.HasPrefix(c.Put+c.Delete, "fleet/") },
		"finished":  func(c protocol.Change) bool { return strings.HasPrefix(c.Put+c.Delete, "done/") },
		"book":      func(c protocol.Change) bool { return strings.HasPrefix(c.Put+c.Delete, "own/") },
		"job":       func(c protocol.Change) bool { return strings.HasPrefix(c.Put, "job/") },
		"any":       func(protocol.Change) bool { return true },
		"deletions": func(c protocol.Change) bool { return c.Delete != "" },
	}
	for kind, is := range kinds {
		for variant := range 4 {
			w := newWorld(t, "a", "b", "c")
			type late struct {
				at    time.Duration
				apply func() storage.Response
			}
			var held []late
			n, hits := 0, 0
			w.state.onTxn = func(_ string, txn *protocol.Transaction, apply func() storage.Response, done func(storage.Response)) bool {
				hit := false
				for _, c := range txn.Then {
					hit = hit || is(c)
				}
				if !hit {
					return false
				}
				if n++; n%3 != variant%3 { // one in three
					return false
				}
				hits++
				held = append(held, late{w.now + time.Duration(2+n%11)*time.Second, apply})
				done(storage.Response{})
				return true
			}
			for i := range 6 {
				k := w.worker(fmt.Sprintf("vm-%d", i), "z1")
				k.takes, k.vary = 2*time.Second, time.Second
			}
			second := func() {
				w.run(time.Second)
				w.boot(2 * time.Second)
				kept := held[:0]
				for _, l := range held {
					if w.now < l.at {
						kept = append(kept, l)
						continue
					}
					l.apply()
				}
				held = kept
			}
			accepted, cancelled := make(map[string]bool), make(map[string]bool)
			for i := range 40 {
				second()
				id := fmt.Sprint("wk-", i+1)
				r := w.nodes[w.names[i%3]]
				if r.up && r.submit(form(id, 1+i%9)).Status == 201 {
					accepted[id] = true
				}
				if i%7 == 6 && r.up && accepted[fmt.Sprint("wk-", i)] {
					if code, s := r.abort(fmt.Sprint("wk-", i)); code == 200 && s == "withdrawn" {
						cancelled[fmt.Sprint("wk-", i)] = true
					}
				}
				switch {
				case variant == 3 && i == 15:
					w.crash(w.leader().name)
				case variant == 3 && i == 25:
					for _, name := range w.names {
						if !w.nodes[name].up {
							w.start(name)
						}
					}
				case variant == 2 && i == 20:
					name := w.leader().name
					w.crash(name)
					w.start(name) // back at once
				}
			}
			for range 60 {
				second()
			}
			w.state.onTxn = nil
			for len(held) > 0 {
				second()
			}
			for range 40 {
				second()
			}
			if hits == 0 && kind != "leader" && kind != "member" && kind != "ledger" {
				t.Fatalf("%s %d: nothing was held", kind, variant)
			}
			if len(accepted) < 15 {
				t.Fatalf("%s %d: %d of 40 jobs were accepted", kind, variant, len(accepted))
			}
			for id := range accepted {
				end := "done"
				if cancelled[id] {
					end = "withdrawn"
				}
				if code, s := w.leader().poll(id); code != 200 || (s.Status != end && s.Status != "withdrawn") || (s.Status == "withdrawn") != (end == "withdrawn") {
					t.Fatalf("%s %d: %s is answered %d %q, not %q", kind, variant, id, code, s.Status, end)
				}
			}
		}
	}
}
