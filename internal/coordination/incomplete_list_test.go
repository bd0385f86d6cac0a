package coordination

import (
	"testing"
	"time"
)

// The incident docs/incidents/incomplete-lists.md: a machine's list, as the leader
// passed it on, lacked the tasks of jobs that the leader did not know yet, and an
// owner concluded from it that these tasks were gone.

// startOneTask runs one task, of a job of the given member, and returns the
// machine that has it and one that has nothing.
func startOneTask(t *testing.T, w *world, owner *node) (busy, idle *worker) {
	t.Helper()
	busy, idle = w.worker("vm-1", "z1"), w.worker("vm-2", "z1")
	w.run(2 * time.Second)
	want(t, "submit", owner.submit(form("wk-1", 1)).Status, 201)
	w.run(3 * time.Second)
	if len(idle.running()) == 1 {
		busy, idle = idle, busy
	}
	want(t, "running", len(busy.running()), 1)
	return busy, idle
}

// reportFor has the machines report once a second.
func (w *world) reportFor(seconds int, machines ...*worker) {
	for range seconds {
		for _, k := range machines {
			k.report()
		}
		w.advance(time.Second)
	}
}

// keepFromLeading has only one of the members lead for the next minute.
func (w *world) keepFromLeading(allBut string) {
	for _, n := range w.names {
		if n != allBut && w.nodes[n].up {
			w.nodes[n].core.session.abstainTo = w.now + time.Minute
		}
	}
}

// leaderVersions are the versions of the member a, which is to lead; the owners have
// this one. What a leader of the version before passes on lacks the same tasks as
// ever, see withoutUnknownTasks, and it calls ledgers settled as it did.
func leaderVersions(t *testing.T, test func(t *testing.T, w *world)) {
	t.Helper()
	t.Run("this version", func(t *testing.T) { test(t, newWorld(t, "a", "b", "c")) })
	t.Run("the version before", func(t *testing.T) { test(t, newWorldOf(t, "", []string{"a"}, "a", "b", "c")) })
}

// Both breaks of the incident's records: all controllers end, the leader's read of
// the unfinished jobs fails, a machine reports to it, and then the owner that has
// taken the ledger up joins.
func TestRecoveredTaskOfAJobUnknownToTheLeader(t *testing.T) {
	leaderVersions(t, func(t *testing.T, w *world) {
		busy, idle := startOneTask(t, w, w.nodes["b"])
		w.restartAllWithout("own/")
		w.keepFromLeading("a")
		w.advance(4 * time.Second)
		w.reportFor(3, busy, idle)
		w.state.hidden = ""
		w.advance(2 * time.Second) // the owner joins, and no machine reports meanwhile
		w.reportFor(3, idle)       // no longer: a silent machine is returned, which is proof
		w.reportFor(5, busy, idle)
		want(t, "leader", w.leader().name, "a")
		want(t, "settled", w.nodes["b"].core.owner.ledgers["b"].settled, true)
		w.reportFor(15, busy, idle)
		want(t, "copies on the other machine", idle.starts, 0)
		want(t, "still running", len(busy.running()), 1)
	})
}

// The same of an owner that lives on through the change of leader: its stream to
// the new leader comes up after a machine has reported there.
func TestTaskOfAnOwnerThatJoinsLate(t *testing.T) {
	leaderVersions(t, func(t *testing.T, w *world) {
		w.nodes["b"].core.session.abstainTo = w.now + time.Hour // it owns the task
		if w.leader().name != "c" {
			w.nodes["a"].core.session.abstainTo = w.now + 4*time.Second
			w.crash(w.leader().name)
			w.advance(4 * time.Second)
			w.startMissing()
			w.advance(6 * time.Second)
		}
		want(t, "first leader", w.leader().name, "c")
		busy, idle := startOneTask(t, w, w.nodes["b"])
		w.state.hidden, w.state.hiddenFrom = "own/", "a"
		w.cut("a", "b")
		w.crash("c")
		w.advance(4 * time.Second)
		want(t, "leader", w.leader().name, "a")
		w.reportFor(1, busy, idle)
		busy.report()
		w.connect("a", "b")
		w.advance(2 * time.Second)
		w.reportFor(3, idle)
		w.reportFor(20, busy, idle)
		want(t, "copies on the other machine", idle.starts, 0)
		want(t, "still running", len(busy.running()), 1)
	})
}

// While the leader takes another member for a ledger's holder, as it may for a
// moment after the ledger has changed hands, its lists to the present holder lack
// the ledger's tasks, and say so.
func TestListIsCompleteOnlyForJoinedLedgers(t *testing.T) {
	w := newWorld(t, "a", "b", "c")
	lead := w.leader()
	owner := w.follower()
	busy, idle := startOneTask(t, w, owner)
	l := lead.core.leader
	l.setHolder(l.ledgers[owner.name], l.c.self)
	busy.tasks["other#1"] = &workerTask{name: "wk-9/0", attempt: 1, state: "ended", why: "halted"}
	w.reportFor(3, busy, idle) // the list has changed, so it is passed on whole
	task := &owner.core.owner.jobs["wk-1"].tasks[0]
	want(t, "the task is on its machine still", task.place, onMachine)
	l.setHolder(l.ledgers[owner.name], l.c.peers[owner.name])
	w.reportFor(15, busy, idle)
	want(t, "copies on the other machine", idle.starts, 0)
}

// An owner that joins a leader of the version before still learns from its lists
// that a task is gone: from those of machines that have reported since.
func TestTaskThatEndedUnderALeaderOfTheVersionBefore(t *testing.T) {
	w := newWorldOf(t, "", []string{"a", "b", "c"}, "a", "b", "c")
	owner := w.follower()
	delete(w.before, owner.name)
	w.crash(owner.name)
	w.start(owner.name)
	w.run(8 * time.Second)
	owner = w.nodes[owner.name]
	busy, idle := startOneTask(t, w, owner)
	clear(busy.tasks) // as if the machine had lost it, within its session
	w.run(20 * time.Second)
	want(t, "starts", busy.starts+idle.starts, 2)
	want(t, "running", w.total(), 1)
}

// A member with two ledgers joins the next leader for one after the other: what it
// is told once the first has joined says nothing of the second.
func TestTasksOfTheSecondLedgerToJoin(t *testing.T) {
	w := newWorld(t, "a", "b", "c")
	lead := w.leader()
	var gone string
	for _, n := range w.names {
		if n != lead.name {
			gone = n
		}
	}
	first, second, idle := w.worker("vm-1", "z1"), w.worker("vm-2", "z1"), w.worker("vm-3", "z1")
	w.run(2 * time.Second)
	want(t, "submit", lead.submit(form("wk-1", 4)).Status, 201)
	want(t, "submit", w.nodes[gone].submit(form("wk-2", 4)).Status, 201)
	w.run(3 * time.Second)
	want(t, "running", w.total(), 8)
	w.crash(gone)
	w.run(25 * time.Second)
	want(t, "ledgers of the leader", len(lead.core.owner.ledgers), 2)
	started := first.starts + second.starts + idle.starts
	var next string
	for _, n := range w.names {
		if n != lead.name && n != gone {
			next = n
		}
	}
	w.cut(lead.name, next) // it joins only once the machines have reported there
	lead.core.session.resign("the test asks for it")
	w.advance(2 * time.Second)
	want(t, "leader", w.leader().name, next)
	w.reportFor(3, first, second, idle)
	w.connect(lead.name, next)
	w.advance(2 * time.Second)
	w.reportFor(20, first, second, idle)
	want(t, "starts", first.starts+second.starts+idle.starts, started)
	want(t, "running", w.total(), 8)
}

// A machine that has had this leader's token, but has not reported with it yet, may
// hold anything while the records of machines are unread: however long that takes,
// its lease counts from its own last report, not from the join.
func TestUnreadRecordsProveNothingOfAMachineThatWasAnswered(t *testing.T) {
	w := newWorld(t, "a", "b", "c")
	busy, idle := startOneTask(t, w, w.nodes["a"])
	w.restartAllWithout("fleet/")
	w.advance(3 * time.Second)
	w.reportFor(9, idle)
	busy.report() // its first here, with the token of before; its lease begins anew
	w.reportFor(13, idle)
	want(t, "copies within the lease", idle.starts, 0)
	w.state.hidden = ""
	w.reportFor(10, busy, idle)
	want(t, "copies on the other machine", idle.starts, 0)
	want(t, "still running", len(busy.running()), 1)
}

// startMissing starts the members that are down.
func (w *world) startMissing() {
	for _, n := range w.names {
		if !w.nodes[n].up {
			w.start(n)
		}
	}
}

// restartAllWithout ends all members and starts them 4 s later, while listings of the
// keys with a prefix are refused.
func (w *world) restartAllWithout(prefix string) {
	for _, n := range w.names {
		w.crash(n)
	}
	w.advance(4 * time.Second)
	w.state.hidden = prefix
	w.startMissing()
}
