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

// Both breaks of the incident's records: all controllers end, the leader's read of
// the unfinished jobs fails, a machine reports to it, and then the owner that has
// taken the ledger up joins.
func TestRecoveredTaskOfAJobUnknownToTheLeader(t *testing.T) {
	w := newWorld(t, "a", "b", "c")
	busy, idle := startOneTask(t, w, w.nodes["a"])
	for _, n := range w.names {
		w.crash(n)
	}
	w.advance(4 * time.Second)
	w.state.hidden = "own/"
	for _, n := range w.names {
		w.start(n)
	}
	w.advance(4 * time.Second)
	w.reportFor(3, busy, idle)
	w.state.hidden = ""
	w.advance(2 * time.Second) // the owner joins, and no machine reports meanwhile
	w.reportFor(3, idle)       // no longer: a silent machine is returned, which is proof
	w.reportFor(20, busy, idle)
	want(t, "copies on the other machine", idle.starts, 0)
	want(t, "still running", len(busy.running()), 1)
}

// The same of an owner that lives on through the change of leader: its stream to
// the new leader comes up after a machine has reported there.
func TestTaskOfAnOwnerThatJoinsLate(t *testing.T) {
	w := newWorld(t, "a", "b", "c")
	old := w.leader()
	var others []string
	for _, n := range w.names {
		if n != old.name {
			others = append(others, n)
		}
	}
	busy, idle := startOneTask(t, w, w.nodes[others[0]])
	// Whichever of the others leads next, the owner of the task must not.
	w.nodes[others[0]].core.session.abstainTo = w.now + time.Minute
	w.state.hidden, w.state.hiddenFrom = "own/", others[1]
	w.cut(others[0], others[1])
	w.crash(old.name)
	w.advance(4 * time.Second)
	want(t, "leader", w.leader().name, others[1])
	w.reportFor(1, busy, idle)
	busy.report()
	w.connect(others[0], others[1])
	w.advance(2 * time.Second)
	w.reportFor(3, idle)
	w.reportFor(20, busy, idle)
	want(t, "copies on the other machine", idle.starts, 0)
	want(t, "still running", len(busy.running()), 1)
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
	for _, n := range w.names {
		w.crash(n)
	}
	w.advance(4 * time.Second)
	w.state.hidden = "fleet/"
	for _, n := range w.names {
		w.start(n)
	}
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
