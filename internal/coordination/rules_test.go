package coordination

import (
	"fmt"
	"math"
	"strings"
	"testing"
	"time"

	"github.com/cobaltvale/cobaltvale/internal/protocol"
	"github.com/cobaltvale/cobaltvale/internal/storage"
)

const longEnough = 30 * time.Second // any lease with all its margins

func want[T comparable](t *testing.T, what string, got, expected T) {
	t.Helper()
	if got != expected {
		t.Fatalf("%s: got %v, want %v", what, got, expected)
	}
}

func (w *world) wantStatus(n *node, id string, code int, status string) {
	w.t.Helper()
	got, s := n.poll(id)
	if got != code || s.Status != status {
		w.t.Fatalf("%s at %s: got %d %q, want %d %q", id, n.name, got, s.Status, code, status)
	}
}

// total is how many tasks run on all workers together.
func (w *world) total() int {
	n := 0
	for _, k := range w.workers {
		n += len(k.running())
	}
	return n
}

func TestJobRunsAndIsKnownEverywhereForEver(t *testing.T) {
	w := newWorld(t, "a", "b", "c")
	k := w.worker("vm-1", "z1")
	w.run(2 * time.Second)
	at := w.follower()
	want(t, "submit", at.submit(form("wk-1", 6)).Status, 201)
	want(t, "retry", at.submit(form("wk-1", 6)).Status, 200)
	for _, n := range w.names {
		want(t, "retry at "+n, w.nodes[n].submit(form("wk-1", 6)).Status, 200)
	}
	w.run(3 * time.Second)
	want(t, "running on eight CPUs", len(k.running()), 4)
	k.finish("done")
	w.run(3 * time.Second)
	w.wantStatus(at, "wk-1", 200, "running")
	k.finish("done")
	w.run(3 * time.Second)
	for _, n := range w.names {
		w.wantStatus(w.nodes[n], "wk-1", 200, "done")
	}
	want(t, "tasks left on the worker", len(k.tasks), 0)
	for _, n := range w.names {
		w.crash(n)
	}
	w.advance(10 * time.Second)
	for _, n := range w.names {
		w.start(n)
	}
	w.advance(5 * time.Second)
	for _, n := range w.names {
		w.wantStatus(w.nodes[n], "wk-1", 200, "done")
		want(t, "late retry", w.nodes[n].submit(form("wk-1", 6)).Status, 200)
	}
	code, _ := w.nodes["a"].poll("wk-999")
	want(t, "a job nobody submitted", code, 404)
}

// A transaction without an answer is settled under a new stamp before
// anything is concluded from it, whether it was applied or not.
func TestUnansweredCreationIsSettled(t *testing.T) {
	for _, applied := range []bool{true, false} {
		w := newWorld(t, "a", "b")
		hit := false
		w.state.onTxn = func(_ string, txn *protocol.Transaction, apply func() storage.Response, done func(storage.Response)) bool {
			if hit || len(txn.Then) == 0 || !strings.HasPrefix(txn.Then[0].Put, "job/") {
				return false
			}
			hit = true
			if applied {
				apply()
			}
			done(storage.Response{})
			return true
		}
		want(t, "submit", w.nodes["a"].submit(form("wk-1", 2)).Status, 201)
		want(t, "elsewhere", w.nodes["b"].submit(form("wk-1", 2)).Status, 200)
		k := w.worker("vm-1", "z1")
		w.run(4 * time.Second)
		want(t, "running", len(k.running()), 2)
	}
}

func TestOneIdAtTwoNodesIsOneJob(t *testing.T) {
	w := newWorld(t, "a", "b")
	var held []func()
	w.state.onTxn = func(_ string, txn *protocol.Transaction, apply func() storage.Response, done func(storage.Response)) bool {
		if len(txn.Then) > 0 && strings.HasPrefix(txn.Then[0].Put, "job/") {
			held = append(held, func() { done(apply()) })
			return true
		}
		return false
	}
	r1, r2 := w.nodes["a"].submit(form("wk-1", 1)), w.nodes["b"].submit(form("wk-1", 1))
	for _, fn := range held {
		fn()
	}
	w.settle()
	want(t, "answers", fmt.Sprint(r1.Status, r2.Status), "201 200")
}

func TestWithdrawnTasksGoAndNeverComeBack(t *testing.T) {
	w := newWorld(t, "a", "b", "c")
	k := w.worker("vm-1", "z1")
	w.run(2 * time.Second)
	f := w.follower()
	want(t, "submit", f.submit(form("wk-1", 8)).Status, 201)
	w.run(3 * time.Second)
	want(t, "running", len(k.running()), 4)
	code, status := w.leader().abort("wk-1")
	want(t, "abort", fmt.Sprintf("%d %s", code, status), "200 withdrawn")
	for _, n := range w.names {
		w.wantStatus(w.nodes[n], "wk-1", 200, "withdrawn")
		code, status = w.nodes[n].abort("wk-1")
		want(t, "again", fmt.Sprintf("%d %s", code, status), "200 withdrawn")
	}
	starts := k.starts
	w.run(4 * time.Second)
	want(t, "left on the machine", len(k.tasks), 0)
	want(t, "starts after", k.starts, starts)
	code, _ = f.abort("wk-77")
	want(t, "abort of an unknown job", code, 404)
}

// While the end of a job is being written another node may tell it already;
// its owner must not answer from memory then (went_back).
func TestNoOlderAnswerWhileTheEndIsWritten(t *testing.T) {
	w := newWorld(t, "a", "b")
	want(t, "submit", w.nodes["a"].submit(form("wk-1", 1)).Status, 201)
	var answer func()
	w.state.onTxn = func(_ string, txn *protocol.Transaction, apply func() storage.Response, done func(storage.Response)) bool {
		if answer == nil && len(txn.Then) > 0 && txn.Then[0].Put == storage.JobKey("wk-1") {
			r := apply()
			answer = func() { done(r) }
			return true
		}
		return false
	}
	r := w.nodes["a"].call("POST", "/submissions/wk-1/abort", nil)
	want(t, "abort", r.Status, 0)
	w.wantStatus(w.nodes["b"], "wk-1", 200, "withdrawn")
	w.wantStatus(w.nodes["a"], "wk-1", 200, "withdrawn")
	answer()
	w.settle()
	want(t, "abort", r.Status, 200)
}

// Finished tasks are forgotten by their machine only once they are written.
func TestReapComesAfterTheWrite(t *testing.T) {
	w := newWorld(t, "a")
	k := w.worker("vm-1", "z1")
	w.run(2 * time.Second)
	want(t, "submit", w.nodes["a"].submit(form("wk-1", 8)).Status, 201)
	w.run(2 * time.Second)
	w.state.onTxn = func(_ string, txn *protocol.Transaction, _ func() storage.Response, done func(storage.Response)) bool {
		if len(txn.Then) > 0 && strings.HasPrefix(txn.Then[0].Put, "done/") {
			done(storage.Response{Status: 503, Body: w.codec.Encode(map[string]any{"error": "trouble"})})
			return true
		}
		return false
	}
	k.finish("done")
	w.run(5 * time.Second)
	want(t, "kept on the machine", len(k.tasks)-len(k.running()), 4)
	w.state.onTxn = nil
	w.run(4 * time.Second)
	want(t, "kept after the write", len(k.tasks)-len(k.running()), 0)
	w.crash("a")
	w.advance(8 * time.Second)
	w.start("a")
	w.run(8 * time.Second)
	k.finish("done")
	w.run(4 * time.Second)
	w.wantStatus(w.nodes["a"], "wk-1", 200, "done")
	want(t, "starts", k.starts, 8)
}

// Until an owner has joined, all of its ledger counts against the limit.
func TestLimitHoldsAcrossFailures(t *testing.T) {
	w := newWorld(t, "a", "b", "c")
	for i := range 8 {
		w.worker(fmt.Sprintf("vm-%d", i), "z1")
	}
	w.run(15 * time.Second)
	for i, n := range w.names {
		want(t, "submit", w.nodes[n].submit(form(fmt.Sprintf("wk-%d", i), 12).with("crew", "red")).Status, 201)
	}
	check := func(d time.Duration) {
		t.Helper()
		for end := w.now + d; w.now < end; {
			w.run(time.Second)
			if got := float64(w.total()) * 2; got > 32 {
				t.Fatalf("team uses %v CPUs of 32", got)
			}
		}
	}
	check(5 * time.Second)
	want(t, "running at the limit", w.total(), 16)
	lead := w.leader()
	w.crash(lead.name)
	w.workers["vm-0"].finish("done")
	check(12 * time.Second)
	w.start(lead.name)
	check(10 * time.Second)
	for _, n := range w.names {
		w.crash(n)
	}
	w.workers["vm-1"].finish("done")
	w.advance(7 * time.Second)
	for _, n := range w.names {
		w.start(n)
	}
	check(longEnough)
	want(t, "running at the limit again", w.total(), 16)
}

func TestBadSubmissions(t *testing.T) {
	w := newWorld(t, "a")
	n := w.nodes["a"]
	for _, c := range []struct {
		why    string
		f      jobForm
		status int
	}{
		{"id", form("job-1", 1), 400},
		{"no id", form("wk-1", 1).with("nameId", nil), 400},
		{"form", form("wk-1", 1).with("form", "gang"), 400},
		{"urgency", form("wk-1", 1).with("urgency", "soon"), 400},
		{"no tasks", form("wk-1", 0), 400},
		{"too many tasks", form("wk-1", 100001), 400},
		{"negative", form("wk-1", 1).with("vcpus", -1.0), 400},
		{"NaN", form("wk-1", 1).with("ramGb", math.NaN()), 400},
		{"infinite", form("wk-1", 1).with("expectedS", math.Inf(1)), 400},
		{"ill-typed", form("wk-1", 1).with("vcpus", "two"), 400},
		{"missing", form("wk-1", 1).with("together", nil), 400},
		{"team", form("wk-1", 1).with("crew", "green"), 422},
		{"too large", form("wk-1", 1).with("vcpus", 64.0), 422},
		{"no type", form("wk-1", 1).with("breeds", []string{"x"}), 422},
		{"zone", form("wk-1", 1).with("hall", "z9"), 422},
		{"whole numbers for amounts", form("wk-2", 1).with("vcpus", 2), 201},
		{"a known job comes first", form("wk-2", 1).with("crew", "green"), 200},
		{"empty page", form("wk-1", 1).with("unknown", "field"), 201},
	} {
		want(t, c.why, n.submit(c.f).Status, c.status)
	}
	for _, body := range [][]byte{nil, {0x01}, []byte("{}"), {0xa1}, {0xbf, 0xff}, {0x5f}} {
		want(t, fmt.Sprintf("body %x", body), n.call("POST", "/submissions", body).Status, 400)
		want(t, fmt.Sprintf("report %x", body), n.call("POST", "/checkin", body).Status, 400)
	}
	want(t, "unknown path", n.call("GET", "/nothing", nil).Status, 404)
	want(t, "wrong method", n.call("PUT", "/submissions", nil).Status, 405)
	want(t, "wrong method", n.call("GET", "/submissions/wk-1/abort", nil).Status, 405)
}

func TestBadReportChangesNothing(t *testing.T) {
	w := newWorld(t, "a")
	k := w.worker("vm-1", "z1")
	w.run(2 * time.Second)
	before := len(w.nodes["a"].core.leader.machines.byName)
	good := map[string]any{"roost": "vm-7", "breed": "m8", "hall": "z1", "loaners": false, "perch": 1, "tick": 1, "baton": 0, "pages": []any{}}
	for key, bad := range map[string]any{"roost": nil, "perch": "x", "tick": -1, "pages": []any{map[string]any{"page": "zzz", "try": 1, "status": "running"}}, "recallInS": math.NaN()} {
		f := make(map[string]any)
		for g, v := range good {
			f[g] = v
		}
		f[key] = bad
		want(t, key, w.nodes["a"].call("POST", "/checkin", w.codec.Encode(f)).Status, 400)
	}
	want(t, "machines", len(w.nodes["a"].core.leader.machines.byName), before)
	want(t, "a good report", k.report().Status, 200)
}

// Work that is accepted has to be held in memory; what would not fit is
// refused with a time to come back, and known jobs are still known.
func TestSubmissionsAreBoundedByMemory(t *testing.T) {
	w := newWorld(t, "a")
	n := w.nodes["a"]
	accepted := 0
	for i := range 10 {
		r := n.submit(form(fmt.Sprintf("wk-%d", i), 100_000))
		if r.Status == 201 {
			accepted++
			continue
		}
		want(t, "refusal", fmt.Sprintf("%d %v", r.Status, r.RetryAfterS > 1), "503 true")
	}
	want(t, "accepted", accepted, 3)
	want(t, "a known job", n.submit(form("wk-0", 100_000)).Status, 200)
	code, _ := n.abort("wk-0")
	want(t, "abort", code, 200)
	want(t, "once there is room again", n.submit(form("wk-11", 100_000)).Status, 201)
}

// A machine that falls silent with a cancelled task on it is returned before
// the task is overdue, however many others are silent too.
func TestCancelledTaskOnSilentMachineEnds(t *testing.T) {
	w := newWorld(t, "a", "b", "c")
	for i := range 9 {
		w.worker(fmt.Sprintf("vm-%d", i), "z1")
	}
	w.run(2 * time.Second)
	f := w.follower()
	want(t, "submit", f.submit(form("wk-1", 36)).Status, 201)
	w.run(4 * time.Second)
	want(t, "running", w.total(), 36)
	for i := range 9 {
		w.workers[fmt.Sprintf("vm-%d", i)].hung = true
	}
	code, _ := f.abort("wk-1")
	want(t, "abort", code, 200)
	w.worker("vm-x", "z2")
	w.run(18 * time.Second)
	want(t, "still running", w.total(), 0)
}

// An owner that knows a job to be over has what a machine lists of it ended,
// also if its word to the leader went missing.
func TestOwnerEndsWhatTheLeaderMissed(t *testing.T) {
	w := newWorld(t, "a", "b")
	k := w.worker("vm-1", "z1")
	w.run(2 * time.Second)
	f := w.follower()
	want(t, "submit", f.submit(form("wk-1", 2)).Status, 201)
	w.run(3 * time.Second)
	want(t, "running", len(k.running()), 2)
	code, _ := f.abort("wk-1")
	want(t, "abort", code, 200)
	j := w.leader().core.leader.jobs["wk-1"]
	j.closed = false
	w.run(toldEvery + 3*time.Second)
	want(t, "running", len(k.running()), 0)
}
