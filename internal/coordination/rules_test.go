package coordination

import (
	"fmt"
	"math"
	"math/rand/v2"
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

// A failed copy that a machine still lists is older than the copy that runs
// elsewhere: its end must not bring a third copy about (ran_twice).
func TestExitedOldCopyProvesNothingAfterRecovery(t *testing.T) {
	w := newWorld(t, "a", "b", "c")
	k1, k2 := w.worker("vm-1", "z1"), w.worker("vm-2", "z1")
	w.run(2 * time.Second)
	want(t, "submit", w.nodes["a"].submit(form("wk-1", 1)).Status, 201)
	w.run(3 * time.Second)
	if len(k2.running()) == 1 {
		k1, k2 = k2, k1
	}
	failed := k1.running()[0]
	k1.finish("error")
	for len(k2.running()) == 0 {
		w.run(time.Second)
	}
	for _, task := range k2.tasks {
		k1.tasks["old"] = &workerTask{name: failed, attempt: task.attempt - 1, state: "ended", why: "error"}
	}
	for _, n := range w.names {
		w.crash(n)
	}
	w.advance(10 * time.Second)
	for _, n := range w.names {
		w.start(n)
	}
	w.advance(3 * time.Second)
	for range 6 { // only the machine with the old copy reports
		k1.report()
		w.advance(time.Second)
	}
	want(t, "copies on the machine that reports", len(k1.running()), 0)
}

// A new owner cannot know what its predecessor started where.
func TestRecoveredTasksWaitForEveryMachine(t *testing.T) {
	w := newWorld(t, "a", "b", "c")
	k1, k2 := w.worker("vm-1", "z1"), w.worker("vm-2", "z2")
	w.run(2 * time.Second)
	want(t, "submit", w.nodes["a"].submit(form("wk-1", 8)).Status, 201)
	w.run(3 * time.Second)
	want(t, "running", w.total(), 8)
	for _, n := range w.names {
		w.crash(n)
	}
	w.advance(10 * time.Second)
	k1.finish("halted")
	for _, n := range w.names {
		w.start(n)
	}
	w.advance(3 * time.Second)
	k2.hung = true
	want(t, "new job", w.nodes["a"].submit(form("wk-2", 1)).Status, 201)
	for range 8 {
		k1.report()
		w.advance(time.Second)
	}
	if got := k1.running(); len(got) != 1 || !strings.HasPrefix(got[0], "wk-2") {
		t.Fatalf("only the new job may run, got %v", got)
	}
	k2.expire()
	for range 25 {
		k1.report()
		w.advance(time.Second)
	}
	want(t, "running once the silent machine's lease is over", len(k1.running()), 4)
}

// Until the new leader has read which machines may hold tasks, it cannot know
// of one that neither reports nor is listed yet.
func TestRecoveredTasksWaitForTheMachineRecords(t *testing.T) {
	w := newWorld(t, "a", "b", "c")
	k1, k2 := w.worker("vm-1", "z1"), w.worker("vm-2", "z2")
	w.run(2 * time.Second)
	want(t, "submit", w.nodes["a"].submit(form("wk-1", 8)).Status, 201)
	w.run(3 * time.Second)
	want(t, "running", w.total(), 8)
	for _, n := range w.names {
		w.crash(n)
	}
	w.advance(10 * time.Second)
	w.state.hidden = "fleet/"
	w.cloud.machines = w.cloud.machines[:1]
	k1.finish("halted")
	k2.hung = true
	for _, n := range w.names {
		w.start(n)
	}
	w.advance(3 * time.Second)
	for range 8 {
		k1.report()
		w.advance(time.Second)
	}
	want(t, "copies", len(k1.running()), 0)
}

// A join that the leader did not take is sent again with its next beat.
func TestLostJoinIsRepeated(t *testing.T) {
	w := newWorld(t, "a", "b")
	lead, f := w.leader(), w.follower()
	g := lead.core.leader.ledgers[f.name]
	g.from, g.link, g.stamp = nil, nil, 0
	f.core.subscription.start[f.name] = -1
	w.advance(3 * time.Second)
	if g.from == nil || f.core.subscription.start[f.name] <= 0 {
		t.Fatal("the ledger is not joined")
	}
}

// A report that was sent before the start and arrives after it does not list
// the task; that proves nothing.
func TestLateReportProvesNothing(t *testing.T) {
	w := newWorld(t, "a", "b", "c")
	k := w.worker("vm-1", "z1")
	w.run(2 * time.Second)
	late := k.body()
	w.run(2 * time.Second)
	want(t, "submit", w.nodes["a"].submit(form("wk-1", 1)).Status, 201)
	w.run(3 * time.Second)
	want(t, "running", len(k.running()), 1)
	other := w.worker("vm-2", "z1")
	w.run(2 * time.Second)
	want(t, "late report", w.leader().call("POST", "/checkin", late).Status, 503)
	for range 5 {
		other.report()
		w.advance(time.Second)
	}
	want(t, "second copy", len(other.running()), 0)

	// The same from a worker that has not seen the new leader's token yet.
	k.report()
	k.seq += 50
	old := k.token
	k.token = 0
	tasks := k.tasks
	k.tasks = nil
	stale := k.body()
	k.tasks, k.token = tasks, old
	k.seq -= 50
	want(t, "stale report", w.leader().call("POST", "/checkin", stale).Status, 200)
	for range 5 {
		other.report()
		w.advance(time.Second)
	}
	want(t, "second copy", len(other.running()), 0)
}

// An answer that never arrives leaves its starts in transit until the
// worker's next report shows that they did not come.
func TestLostAnswerIsReplicated(t *testing.T) {
	w := newWorld(t, "a", "b", "c")
	k := w.worker("vm-1", "z1")
	w.run(2 * time.Second)
	k.neverStart = true
	want(t, "submit", w.follower().submit(form("wk-1", 2)).Status, 201)
	w.run(3 * time.Second)
	k.neverStart = false
	w.run(3 * time.Second)
	want(t, "running", len(k.running()), 2)
}

func TestSilentMachineIsLostOnlyWithItsLease(t *testing.T) {
	w := newWorld(t, "a")
	for i := range 9 { // so many fall silent together that none is returned for it
		w.worker(fmt.Sprintf("vm-%d", i), "z1")
	}
	w.run(2 * time.Second)
	want(t, "submit", w.nodes["a"].submit(form("wk-1", 36).with("crew", "blue")).Status, 201)
	w.run(4 * time.Second)
	want(t, "running", w.total(), 36)
	k := w.worker("vm-x", "z2")
	w.run(time.Second)
	for i := range 9 {
		w.workers[fmt.Sprintf("vm-%d", i)].hung = true
	}
	for range 15 {
		k.report()
		w.advance(time.Second)
	}
	want(t, "copies before the leases are over", len(k.running()), 0)
	for i := range 9 {
		w.workers[fmt.Sprintf("vm-%d", i)].expire()
	}
	for range 8 {
		k.report()
		w.advance(time.Second)
	}
	want(t, "copies after", len(k.running()), 4)
}

// A stream that broke may have missed reports: its clock starts anew.
func TestNewStreamRestartsTheClock(t *testing.T) {
	w := newWorld(t, "a", "b")
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
	alive := w.worker("vm-x", "z2") // else the leader would think itself cut off
	alive.neverStart = true
	pass := func(d time.Duration) {
		for end := w.now + d; w.now < end; {
			w.advance(time.Second)
			alive.report()
		}
	}
	pass(10 * time.Second)
	w.cut("a", "b")
	w.advance(time.Second)
	w.connect("a", "b")
	pass(12 * time.Second)
	lost := 0
	for i := range f.core.owner.jobs["wk-1"].tasks {
		if p := f.core.owner.jobs["wk-1"].tasks[i].place; p != onMachine {
			lost++
		}
	}
	want(t, "tasks judged lost", lost, 0)
	alive.hung = true
	w.advance(9 * time.Second)
	want(t, "located once a lease has passed on the new stream", f.core.owner.jobs["wk-1"].nLoc, 0)
}

func TestSilentMachineIsReturnedAndReplicatedAtOnce(t *testing.T) {
	w := newWorld(t, "a", "b", "c")
	k1, k2 := w.worker("vm-1", "z1"), w.worker("vm-2", "z1")
	w.run(2 * time.Second)
	want(t, "submit", w.nodes["b"].submit(form("wk-1", 1)).Status, 201)
	w.run(3 * time.Second)
	if len(k2.running()) == 1 {
		k1, k2 = k2, k1
	}
	k1.hung = true
	for range 10 {
		k2.report()
		w.advance(time.Second)
	}
	want(t, "returned", fmt.Sprint(w.cloud.released), fmt.Sprint([]string{k1.name}))
	want(t, "replica", len(k2.running()), 1)
}

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
	var late func() storage.Result
	w.state.onTxn = func(from string, txn *protocol.Txn, apply func() storage.Result, _ func(storage.Result)) bool {
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

// A transaction without an answer is settled under a new stamp before
// anything is concluded from it, whether it was applied or not.
func TestUnansweredCreationIsSettled(t *testing.T) {
	for _, applied := range []bool{true, false} {
		w := newWorld(t, "a", "b")
		hit := false
		w.state.onTxn = func(_ string, txn *protocol.Txn, apply func() storage.Result, done func(storage.Result)) bool {
			if hit || len(txn.Then) == 0 || !strings.HasPrefix(txn.Then[0].Put, "job/") {
				return false
			}
			hit = true
			if applied {
				apply()
			}
			done(storage.Result{})
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
	w.state.onTxn = func(_ string, txn *protocol.Txn, apply func() storage.Result, done func(storage.Result)) bool {
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

// Tasks that are on machines when all controllers die, and whose job was
// withdrawn, are unknown to the new ones: they are stopped all the same.
func TestOrphansAreStopped(t *testing.T) {
	w := newWorld(t, "a", "b", "c")
	k := w.worker("vm-1", "z1")
	w.run(2 * time.Second)
	want(t, "submit", w.nodes["a"].submit(form("wk-1", 4)).Status, 201)
	w.run(3 * time.Second)
	code, status := w.nodes["a"].abort("wk-1")
	want(t, "abort", fmt.Sprintf("%d %s", code, status), "200 withdrawn")
	for _, n := range w.names {
		w.crash(n)
	}
	w.advance(8 * time.Second)
	for _, n := range w.names {
		w.start(n)
	}
	w.run(10 * time.Second)
	want(t, "left on the machine", len(k.tasks), 0)
}

// While the end of a job is being written another node may tell it already;
// its owner must not answer from memory then (went_back).
func TestNoOlderAnswerWhileTheEndIsWritten(t *testing.T) {
	w := newWorld(t, "a", "b")
	want(t, "submit", w.nodes["a"].submit(form("wk-1", 1)).Status, 201)
	var answer func()
	w.state.onTxn = func(_ string, txn *protocol.Txn, apply func() storage.Result, done func(storage.Result)) bool {
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
	w.state.onTxn = func(_ string, txn *protocol.Txn, _ func() storage.Result, done func(storage.Result)) bool {
		if len(txn.Then) > 0 && strings.HasPrefix(txn.Then[0].Put, "done/") {
			done(storage.Result{Status: 503, Body: w.codec.Encode(map[string]any{"error": "trouble"})})
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
			apply func() storage.Result
		}
		var unanswered []late
		lateOnes := 0 // of 10
		w.state.onTxn = func(from string, txn *protocol.Txn, apply func() storage.Result, done func(storage.Result)) bool {
			if r.IntN(10) >= lateOnes {
				return false
			}
			unanswered = append(unanswered, late{w.now + time.Duration(2000+r.IntN(10000))*time.Millisecond, apply})
			done(storage.Result{})
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

func TestUrgentWorkStopsStandardWork(t *testing.T) {
	w := newWorld(t, "a", "b", "c")
	k := w.worker("vm-1", "z1")
	w.run(2 * time.Second)
	want(t, "submit", w.nodes["a"].submit(form("wk-1", 4)).Status, 201)
	w.run(3 * time.Second)
	want(t, "urgent", w.nodes["b"].submit(form("wk-2", 2).with("urgency", "urgent")).Status, 201)
	w.run(4 * time.Second)
	both := strings.Join(k.running(), " ")
	want(t, "running of each", fmt.Sprint(strings.Count(both, "wk-1/"), strings.Count(both, "wk-2/")), "2 2")
	want(t, "more urgent", w.nodes["b"].submit(form("wk-3", 4).with("urgency", "urgent").with("crew", "red")).Status, 201)
	w.run(4 * time.Second)
	for _, task := range k.running() {
		if strings.HasPrefix(task, "wk-1") {
			t.Fatalf("standard work still runs: %v", k.running())
		}
	}
	want(t, "urgent work is not stopped for urgent work", strings.Join(k.running()[:2], " "), "wk-2/0 wk-2/1")
}

func TestTeamsTakeTurnsByShares(t *testing.T) {
	w := newWorld(t, "a")
	for i := range 4 {
		w.worker(fmt.Sprintf("vm-%d", i), "z1")
	}
	want(t, "submit", w.nodes["a"].submit(form("wk-1", 100).with("crew", "red")).Status, 201)
	want(t, "submit", w.nodes["a"].submit(form("wk-2", 100)).Status, 201)
	w.run(6 * time.Second)
	red := w.nodes["a"].core.owner.jobs["wk-1"].nRun
	blue := w.nodes["a"].core.owner.jobs["wk-2"].nRun
	want(t, "running", fmt.Sprint(red, blue), "8 8")
}

func TestTogetherAndApart(t *testing.T) {
	w := newWorld(t, "a")
	for i := range 4 {
		w.worker(fmt.Sprintf("vm-%d", i), []string{"z1", "z2"}[i%2])
	}
	zones := func(job string) map[string]int {
		out := make(map[string]int)
		for _, k := range w.workers {
			for _, task := range k.running() {
				if strings.HasPrefix(task, job+"/") {
					out[k.zone]++
				}
			}
		}
		return out
	}
	want(t, "submit", w.nodes["a"].submit(form("wk-1", 6).with("together", true)).Status, 201)
	w.run(4 * time.Second)
	want(t, "zones of a job that stays together", len(zones("wk-1")), 1)
	want(t, "submit", w.nodes["a"].submit(form("wk-2", 5).with("apart", true)).Status, 201)
	w.run(5 * time.Second)
	for z, n := range zones("wk-2") {
		if n > 3 {
			t.Fatalf("%d of 5 tasks are in %s", n, z)
		}
	}
	want(t, "submit", w.nodes["a"].submit(form("wk-3", 1).with("hall", "z2").with("urgency", "production")).Status, 201)
	w.run(5 * time.Second)
	want(t, "in its zone", zones("wk-3")["z2"], 1)
}

func TestSpotNoticeDrainsTheMachine(t *testing.T) {
	w := newWorld(t, "a")
	k1, k2 := w.worker("vm-1", "z1"), w.worker("vm-2", "z1")
	w.run(2 * time.Second)
	want(t, "submit", w.nodes["a"].submit(form("wk-1", 2)).Status, 201)
	w.run(3 * time.Second)
	if len(k1.running()) == 0 {
		k1, k2 = k2, k1
	}
	k1.notice = 10.0
	w.run(5 * time.Second)
	want(t, "moved", len(k2.running()), 2)
	want(t, "returned", fmt.Sprint(w.cloud.released), fmt.Sprint([]string{k1.name}))
}

func TestSickMachineIsSetAsideAndABadJobIsNot(t *testing.T) {
	w := newWorld(t, "a")
	for i := range 4 {
		w.worker(fmt.Sprintf("vm-%d", i), "z1")
	}
	w.run(2 * time.Second)
	want(t, "bad job", w.nodes["a"].submit(form("wk-1", 4)).Status, 201)
	for range 40 {
		for _, k := range w.workers {
			k.finish("error")
		}
		w.run(time.Second)
	}
	want(t, "machines returned for a bad job", len(w.cloud.released), 0)
	starts := 0
	for _, k := range w.workers {
		starts += k.starts
	}
	if starts > 60 {
		t.Fatalf("a job that fails everywhere was started %d times in 40 s", starts)
	}
	code, _ := w.nodes["a"].abort("wk-1")
	want(t, "abort", code, 200)
	w.run(3 * time.Second)
	for i := range 8 {
		want(t, "submit", w.nodes["a"].submit(form(fmt.Sprintf("wk-%d", 10+i), 2)).Status, 201)
	}
	sick := w.workers["vm-2"]
	for range 10 {
		sick.finish("error")
		w.run(time.Second)
	}
	want(t, "returned", fmt.Sprint(w.cloud.released), "[vm-2]")
}

func TestRentsForDemandAndReturnsWhatIsIdle(t *testing.T) {
	w := newWorld(t, "a", "b", "c")
	w.cloud.silent = true
	want(t, "submit", w.nodes["b"].submit(form("wk-1", 16)).Status, 201)
	w.advance(8 * time.Second)
	names := make(map[string]int)
	for _, q := range w.cloud.requests {
		names[q.Request] = q.Count
		want(t, "spot", q.Spot, true)
	}
	total := 0
	for _, n := range names {
		total += n
	}
	want(t, "machines asked for while requests go unanswered", total, 4)
	w.cloud.silent = false
	w.advance(8 * time.Second)
	for _, m := range append([]cloudMachine(nil), w.cloud.machines...) {
		w.workers[m.name] = &worker{w: w, name: m.name, zone: m.zone, session: 1, tasks: make(map[string]*workerTask)}
	}
	w.run(4 * time.Second)
	want(t, "running", w.total(), 16)
	for _, k := range w.workers {
		k.finish("done")
	}
	w.run(2 * time.Minute)
	want(t, "returned", len(w.cloud.released), 4)
	w.wantStatus(w.nodes["a"], "wk-1", 200, "done")
}

// A boot that never ends is charged until the machine is returned.
func TestFailedBootsAreReturnedAndReplaced(t *testing.T) {
	w := newWorld(t, "a")
	want(t, "submit", w.nodes["a"].submit(form("wk-1", 4)).Status, 201)
	w.advance(3 * time.Minute)
	want(t, "returned", w.cloud.released[0], "vm-900001")
	if w.cloud.n < 2 {
		t.Fatal("no other machine was rented")
	}
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

// Urgent work that would not be offered the room must not stop anything for
// it: the stopped tasks would start again and be stopped again for ever.
func TestNothingIsStoppedForWorkThatGoesElsewhere(t *testing.T) {
	w := newWorld(t, "a")
	w.cloud.more = []protocol.MachineType{{Name: "s2", CPUs: 2, MemoryGB: 8, CacheGB: 50, FetchRate: 1, Price: 0.3, SpotPrice: 0.1, BootS: 30, Zones: []string{"z1"}}}
	k := w.worker("vm-1", "z1")
	w.run(15 * time.Second) // the leader reads prices anew
	want(t, "submit", w.nodes["a"].submit(form("wk-1", 2).with("vcpus", 4.0)).Status, 201)
	w.run(5 * time.Second)
	want(t, "running", len(k.running()), 2)
	want(t, "urgent", w.nodes["a"].submit(form("wk-2", 4).with("urgency", "urgent")).Status, 201)
	w.run(6 * time.Second)
	want(t, "standard work runs on", strings.Join(k.running(), " "), "wk-1/0 wk-1/1")
	want(t, "starts", k.starts, 2)
}

// The next leader knows from the state service which machines have to be
// heard of; machines that were returned hold nothing up.
func TestNextLeaderKnowsTheMachines(t *testing.T) {
	w := newWorld(t, "a", "b", "c")
	w.worker("vm-1", "z1")
	w.worker("vm-2", "z2")
	w.run(3 * time.Second)
	want(t, "submit", w.nodes["a"].submit(form("wk-1", 8)).Status, 201)
	w.run(3 * time.Second)
	want(t, "running", w.total(), 8)
	w.workers["vm-2"].notice = 30.0
	w.workers["vm-2"].finish("done")
	w.run(6 * time.Second)
	want(t, "returned", fmt.Sprint(w.cloud.released), "[vm-2]")
	want(t, "more", w.nodes["a"].submit(form("wk-2", 8)).Status, 201)
	for _, n := range w.names {
		w.crash(n)
	}
	w.advance(8 * time.Second)
	w.workers["vm-1"].finish("done")
	for _, n := range w.names {
		w.start(n)
	}
	w.run(6 * time.Second)
	want(t, "running soon after", w.total(), 4)
}

// A ledger that nobody answers for may have all its tasks running.
func TestUnjoinedLedgersCountInFull(t *testing.T) {
	w := newWorld(t, "a", "b", "c")
	w.worker("vm-1", "z1")
	w.run(2 * time.Second)
	f, lead := w.follower(), w.leader()
	want(t, "submit", f.submit(form("wk-1", 12).with("crew", "red")).Status, 201)
	w.run(3 * time.Second)
	want(t, "running", w.total(), 4)
	w.crash(f.name)
	want(t, "CPUs counted after the owner's end", lead.core.leader.teams["red"].cpus, 24)
	w.state.hidden = "own/" + f.name
	w.crash(lead.name)
	w.advance(4 * time.Second)
	next := w.leader()
	status := 503 // as long as the last request to the state service was refused
	for range 20 {
		if status == 503 {
			status = next.submit(form("wk-2", 4).with("crew", "red")).Status
		}
	}
	want(t, "submit", status, 201)
	w.workers["vm-1"].finish("done")
	w.run(3 * time.Second)
	want(t, "running while a ledger is unread", w.total(), 0)
	w.state.hidden = ""
	w.run(12 * time.Second)
	want(t, "running", w.total(), 4)
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

// A team gives back what it has borrowed beyond its guarantee when another
// lacks part of its own and no machine can be had, but nothing more.
func TestBorrowedRoomIsGivenBack(t *testing.T) {
	w := newWorld(t, "a")
	w.cloud.refuse = true
	w.worker("vm-1", "z1")
	w.worker("vm-2", "z1")
	w.run(15 * time.Second)
	n := w.nodes["a"]
	want(t, "submit", n.submit(form("wk-1", 20).with("crew", "red")).Status, 201)
	w.run(10 * time.Second)
	want(t, "red running", n.core.owner.jobs["wk-1"].nRun, 8)
	want(t, "submit", n.submit(form("wk-2", 20)).Status, 201)
	w.run(20 * time.Second)
	want(t, "running of each", fmt.Sprint(n.core.owner.jobs["wk-1"].nRun, n.core.owner.jobs["wk-2"].nRun), "4 4")
	starts := 0
	for _, k := range w.workers {
		starts += k.starts
	}
	w.run(20 * time.Second)
	for _, k := range w.workers {
		starts -= k.starts
	}
	want(t, "starts once each has its guarantee", starts, 0)
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
