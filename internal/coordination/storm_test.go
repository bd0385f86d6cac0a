package coordination

import (
	"fmt"
	"testing"
	"time"

	"github.com/cobaltvale/cobaltvale/internal/protocol"
	"github.com/cobaltvale/cobaltvale/internal/storage"
)

// ask sends a request without waiting for its answer.
func (n *node) ask(method, path string) *Response {
	out := &Response{}
	n.core.HandleHTTP(&Request{Method: method, Path: path}, func(r Response) { *out = r })
	return out
}

// In a storm of polls, what many users ask costs few reads: about jobs that
// nobody submitted, about jobs of an owner that is gone, about jobs long over.
func TestPollStormCostsFewReads(t *testing.T) {
	w := newWorld(t, "a", "b", "c")
	w.worker("vm-1", "z1")
	w.run(3 * time.Second)
	f := w.follower()
	other := ""
	for _, n := range w.names {
		if w.nodes[n] != f && w.nodes[n] != w.leader() {
			other = n
		}
	}
	const jobs = 60
	for i := range jobs {
		want(t, "submit", w.nodes[other].submit(form(fmt.Sprint("wk-", i+1), 1)).Status, 201)
	}
	storm := func(what string, first, status int, most int) {
		t.Helper()
		before := w.state.asked
		var got []*Response
		for range 5 {
			for i := range jobs {
				got = append(got, f.ask("GET", fmt.Sprint("/submissions/wk-", first+i)))
			}
			w.settle()
		}
		w.advance(statusTimeout)
		for _, r := range got {
			want(t, what, r.Status, status)
		}
		if n := w.state.asked - before; n > most {
			t.Fatalf("%d polls about %s took %d requests", len(got), what, n)
		}
	}
	storm("jobs that nobody submitted", 1000, 404, 20)
	storm("jobs of another member", 1, 200, 90) // each is read once
	storm("jobs of another member, again", 1, 200, 20)
	w.crash(other)
	storm("jobs whose owner is gone", 1, 200, 30)
	w.run(10 * time.Second)
	for i := range jobs {
		code, _ := f.abort(fmt.Sprint("wk-", i+1))
		want(t, "abort", code, 200)
		w.advance(tickEvery)
	}
	storm("jobs that are over", 1, 200, 20)
}

// A question is never answered by a read that began before it: the job may have
// been accepted meanwhile, and 404 would have forgotten it.
func TestSharedReadsBeginAfterTheQuestion(t *testing.T) {
	w := newWorld(t, "a", "b", "c")
	lead, f := w.leader(), w.follower()
	var held func()
	w.state.onTxn = func(from string, txn *protocol.Transaction, apply func() storage.Response, done func(storage.Response)) bool {
		if from != f.name || len(txn.Then) > 0 || held != nil {
			return false
		}
		r := apply() // carried out now, answered later
		held = func() { done(r) }
		return true
	}
	var before []*Response
	for i := range 8 { // enough to be asked about together
		before = append(before, f.ask("GET", fmt.Sprint("/submissions/wk-", i+1)))
	}
	w.settle()
	want(t, "a read is under way", held != nil, true)
	want(t, "submit", lead.submit(form("wk-1", 1)).Status, 201)
	after := f.ask("GET", "/submissions/wk-1")
	w.settle()
	held()
	w.advance(100 * time.Millisecond)
	want(t, "asked before it was accepted", before[0].Status, 404)
	want(t, "asked after it was accepted", after.Status, 200)
}
