package coordination

import (
	"fmt"
	"strings"
	"testing"
	"time"
)

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

// A ledger may be dropped in the very batch in which something of its jobs has
// changed. The leader was told that they are over then, and never offered them
// anything again, whoever held the ledger next.
func TestChangedJobsOfADroppedLedgerGoOn(t *testing.T) {
	w := newWorld(t, "a", "b", "c")
	f := w.follower()
	want(t, "submit", f.submit(form("wk-1", 2)).Status, 201)
	w.run(2 * time.Second)
	j := f.core.owner.jobs["wk-1"]
	f.core.owner.touch(j)
	f.core.session.end("the test asks for it")
	w.settle()
	w.worker("vm-1", "z1")
	w.run(longEnough)
	want(t, "running", w.total(), 2)
}
