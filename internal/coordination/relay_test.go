package coordination

import (
	"fmt"
	"testing"
	"time"

	"github.com/cobaltvale/cobaltvale/internal/protocol"
)

func (w *world) redirect(r *Response) string {
	var to protocol.Redirect
	if r.Status == 421 {
		if err := w.codec.Decode(r.Body, &to); err != nil {
			w.t.Fatal(err)
		}
	}
	return fmt.Sprintf("%d %s", r.Status, to.HeartbeatTo)
}

// A member that does not lead passes reports on, and the answers back.
func TestFollowersPassReportsOn(t *testing.T) {
	w := newWorld(t, "a", "b", "c")
	lead, f := w.leader(), w.follower()
	k := w.worker("vm-1", "z1")
	for range 3 {
		want(t, "report to a follower", k.reportTo(f).Status, 200)
		w.advance(time.Second)
	}
	want(t, "submit", f.submit(form("wk-1", 2)).Status, 201)
	k.reportTo(f)
	want(t, "running", len(k.running()), 2)
	w.wantStatus(lead, "wk-1", 200, "pending")
	k.reportTo(f)
	w.wantStatus(lead, "wk-1", 200, "running")
	k.finish("done")
	for range 3 {
		k.reportTo(f)
		w.advance(time.Second)
	}
	w.wantStatus(lead, "wk-1", 200, "done")

	// The answer that a report waits for when the stream breaks comes at once:
	// held back until its end, it would keep the worker from the next member.
	body := k.body()
	out := &Response{}
	f.core.HandleHTTP(&Request{Method: "POST", Path: "/checkin", Body: body, Conn: k.conn}, func(r Response) { *out = r })
	want(t, "answers before the stream breaks", out.Status, 0)
	w.cut(f.name, lead.name)
	want(t, "answer when the stream breaks", out.Status, 503)
	want(t, "without a stream to the leader", w.redirect(f.call("POST", "/checkin", k.body())), "421 "+lead.name)
}

// A member that gets a passed-on report and does not lead passes it no
// further: two members that each take the other for the leader would send it
// back and forth for ever.
func TestReportIsPassedOnOnce(t *testing.T) {
	w := newWorld(t, "a", "b", "c")
	lead, f := w.leader(), w.follower()
	k := w.worker("vm-1", "z1")
	want(t, "before", k.reportTo(f).Status, 200)
	lead.core.session.abstainTo = w.now + time.Minute
	lead.core.dropLeadership("the test asks for it")
	want(t, "leader that leads no more", k.reportTo(f).Status, 503)
}

// Workers that all come to one member are shared out, a few at a time.
func TestWorkersAreSharedOut(t *testing.T) {
	w := newWorld(t, "a", "b", "c")
	at := make(map[*worker]*node)
	for i := range 90 {
		k := w.worker(fmt.Sprintf("vm-%d", i), "z1")
		at[k] = w.leader()
	}
	most := 0
	for range 60 {
		moved := 0
		for _, name := range w.workerNames() {
			k := w.workers[name]
			if r := k.reportTo(at[k]); r.Status == 421 {
				var to protocol.Redirect
				if err := w.codec.Decode(r.Body, &to); err != nil {
					t.Fatal(err)
				}
				at[k] = w.nodes[to.HeartbeatTo]
				moved++
			}
		}
		most = max(most, moved)
		w.advance(time.Second)
	}
	for name, n := range w.nodes {
		served := 0
		for _, m := range at {
			if m == n {
				served++
			}
		}
		if served < 10 || served > 50 {
			t.Fatalf("%s serves %d of 90 workers", name, served)
		}
	}
	if most > 30 {
		t.Fatalf("%d workers were sent elsewhere in one second", most)
	}
}

// Reports that all come at once let everything else pass, and one that waited
// until its worker gave up is answered without any more work.
func TestReportsLetOthersPass(t *testing.T) {
	q := NewQueue()
	var got []string
	for range 3 {
		want(t, "a report is taken", q.Offer(func() { got = append(got, "report") }, true), true)
	}
	q.Post(func() { got = append(got, "health check") })
	q.drain()
	want(t, "order", fmt.Sprint(got), "[health check report report report]")
	for range reportQueueLength {
		q.Offer(func() {}, true)
	}
	want(t, "a report beyond the queue's length", q.Offer(func() {}, true), false)
	want(t, "a user's request beside it", q.Offer(func() {}, false), true)

	w := newWorld(t, "a")
	k := w.worker("vm-1", "z1")
	want(t, "report", k.report().Status, 200)
	m := w.leader().core.leader.machines.get("vm-1")
	seq := m.seq
	out := &Response{}
	w.nodes["a"].core.HandleHTTP(&Request{Method: "POST", Path: "/checkin", Body: k.body(), Conn: k.conn, At: w.now - 4*time.Second},
		func(r Response) { *out = r })
	want(t, "report that waited for 4 s", out.Status, 503)
	want(t, "last report taken", m.seq, seq)
}

// A member that workers can't reach, while other members can, takes no reports:
// hardly any workers are sent there. Each that is loses seconds; sent there again
// and again, most machines were silent for so long that they were returned with
// all their tasks (incidents/inc-f551.md).
func TestNobodyIsSentWhereNoReportsArrive(t *testing.T) {
	w := newWorld(t, "a", "b", "c")
	at := make(map[*worker]*node)
	for i := range 90 {
		k := w.worker(fmt.Sprintf("vm-%d", i), "z1")
		at[k] = w.leader()
	}
	want(t, "submit", w.leader().submit(form("wk-1", 90).with("vcpus", 8.0)).Status, 201) // none of them is idle
	cut := w.follower()
	sent := 0
	second := func() {
		for _, name := range w.workerNames() {
			k := w.workers[name]
			r := k.reportTo(at[k])
			if r.Status != 421 {
				continue
			}
			var to protocol.Redirect
			if err := w.codec.Decode(r.Body, &to); err != nil {
				t.Fatal(err)
			}
			if to.HeartbeatTo == cut.name {
				sent++
				continue // it tries in vain, and comes back
			}
			at[k] = w.nodes[to.HeartbeatTo]
		}
		w.advance(time.Second)
	}
	for range 60 {
		second()
	}
	if sent == 0 || sent > 12 {
		t.Fatalf("%d workers were sent in a minute to a member that takes no reports", sent)
	}
	// Once they reach it again it soon has its share.
	here := cut
	cut = &node{}
	for range 90 {
		second()
	}
	served := 0
	for _, n := range at {
		if n == here {
			served++
		}
	}
	if served < 10 {
		t.Fatalf("%d of 90 workers are served by the member that is back", served)
	}
}
