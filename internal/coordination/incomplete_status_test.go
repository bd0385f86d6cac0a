package coordination

import (
	"slices"
	"testing"
	"time"

	"github.com/cobaltvale/cobaltvale/internal/election"
	"github.com/cobaltvale/cobaltvale/internal/shard"
)

// The incident docs/incidents/incomplete-lists.md: a machine's list, as the leader
// passed it on, lacked the tasks of jobs that the leader did not know yet, and an
// owner concluded from it that these tasks were gone.

// startOneTask runs one task, of a job of the given member, and returns the
// machine that has it and one that has nothing.
func startOneTask(t *testing.T, sim *simulation, owner *node) (busy, idle *machineAgent) {
	t.Helper()
	busy, idle = sim.addMachine("vm-1", "z1"), sim.addMachine("vm-2", "z1")
	sim.run(2 * time.Second)
	want(t, "submit", owner.submit(batchJob("wk-1", 1)).Status, 201)
	sim.run(3 * time.Second)
	if len(idle.running()) == 1 {
		busy, idle = idle, busy
	}
	want(t, "running", len(busy.running()), 1)
	return busy, idle
}

// heartbeatFor has the machines report once a second.
func (sim *simulation) heartbeatFor(seconds int, machines ...*machineAgent) {
	for range seconds {
		for _, agent := range machines {
			agent.heartbeat()
		}
		sim.advance(time.Second)
	}
}

// allowOnlyLeader has only one of the members lead for the next minute.
func (sim *simulation) allowOnlyLeader(allBut string) {
	for _, name := range sim.names {
		if name != allBut && sim.nodes[name].up {
			sim.nodes[name].controller.election.Abstain(sim.now + time.Minute)
		}
	}
}

// forLeaderVersions are the versions of the member a, which is to lead; the owners have
// this one. What a leader of the version before passes on lacks the same tasks as
// ever, see withoutUnknownTasks, and it calls ledgers settled as it did.
func forLeaderVersions(t *testing.T, test func(t *testing.T, sim *simulation)) {
	t.Helper()
	t.Run("this version", func(t *testing.T) { test(t, newSimulation(t, "a", "b", "c")) })
	t.Run("the version before", func(t *testing.T) { test(t, newSimulationWith(t, "", []string{"a"}, "a", "b", "c")) })
}

// Both breaks of the incident's records: all controllers end, the leader's read of
// the unfinished jobs fails, a machine reports to it, and then the owner that has
// taken the ledger up joins.
func TestRecoveredTaskOfAJobUnknownToTheLeader(t *testing.T) {
	forLeaderVersions(t, func(t *testing.T, sim *simulation) {
		busy, idle := startOneTask(t, sim, sim.nodes["b"])
		sim.restartAllWithHidden("own/")
		sim.allowOnlyLeader("a")
		sim.advance(4 * time.Second)
		sim.heartbeatFor(3, busy, idle)
		sim.state.hiddenPrefix = ""
		sim.advance(2 * time.Second) // the owner joins, and no machine reports meanwhile
		sim.heartbeatFor(3, idle)    // no longer: a silent machine is returned, which is proof
		sim.heartbeatFor(5, busy, idle)
		want(t, "leader", sim.leader().name, "a")
		want(t, "settled", sim.nodes["b"].controller.owner.Shard("b").Reconciled(), true)
		sim.heartbeatFor(15, busy, idle)
		want(t, "copies on the other machine", idle.starts, 0)
		want(t, "still running", len(busy.running()), 1)
	})
}

// The same of an owner that lives on through the change of leader: its stream to
// the new leader comes up after a machine has reported there.
func TestTaskOfAnOwnerThatRegistersLate(t *testing.T) {
	forLeaderVersions(t, func(t *testing.T, sim *simulation) {
		sim.nodes["b"].controller.election.Abstain(sim.now + time.Hour) // it owns the task
		if sim.leader().name != "c" {
			sim.nodes["a"].controller.election.Abstain(sim.now + 4*time.Second)
			sim.crash(sim.leader().name)
			sim.advance(4 * time.Second)
			sim.startDown()
			sim.advance(6 * time.Second)
		}
		want(t, "first leader", sim.leader().name, "c")
		busy, idle := startOneTask(t, sim, sim.nodes["b"])
		sim.state.hiddenPrefix, sim.state.hiddenFrom = "own/", "a"
		sim.disconnect("a", "b")
		sim.crash("c")
		sim.advance(4 * time.Second)
		want(t, "leader", sim.leader().name, "a")
		sim.heartbeatFor(1, busy, idle)
		busy.heartbeat()
		sim.connect("a", "b")
		sim.advance(2 * time.Second)
		sim.heartbeatFor(3, idle)
		sim.heartbeatFor(20, busy, idle)
		want(t, "copies on the other machine", idle.starts, 0)
		want(t, "still running", len(busy.running()), 1)
	})
}

// While the leader takes another member for a ledger's holder, as it may for a
// moment after the ledger has changed hands, its lists to the present holder lack
// the ledger's tasks, and say so.
func TestStatusIsCompleteOnlyForRegisteredShards(t *testing.T) {
	sim := newSimulation(t, "a", "b", "c")
	lead := sim.leader()
	owner := sim.follower()
	busy, idle := startOneTask(t, sim, owner)
	l := lead.controller.leader
	l.setShardOwner(l.shards.get(owner.name), lead.controller.selfPeer)
	busy.tasks["other#1"] = &agentTask{name: "wk-9/0", replica: 1, state: "ended", cause: "halted"}
	sim.heartbeatFor(3, busy, idle) // the list has changed, so it is passed on whole
	job := owner.controller.owner.Job("wk-1")
	want(t, "the task is on its machine still", job.TaskState(0), shard.TaskPlaced)
	l.setShardOwner(l.shards.get(owner.name), lead.controller.peers[owner.name])
	sim.heartbeatFor(15, busy, idle)
	want(t, "copies on the other machine", idle.starts, 0)
}

// An owner that joins a leader of the version before still learns from its lists
// that a task is gone: from those of machines that have reported since.
func TestTaskThatEndedUnderALeaderOfThePreviousVersion(t *testing.T) {
	sim := newSimulationWith(t, "", []string{"a", "b", "c"}, "a", "b", "c")
	owner := sim.follower()
	delete(sim.previousVersion, owner.name)
	sim.crash(owner.name)
	sim.start(owner.name)
	sim.run(8 * time.Second)
	owner = sim.nodes[owner.name]
	busy, idle := startOneTask(t, sim, owner)
	clear(busy.tasks) // as if the machine had lost it, within its session
	sim.run(20 * time.Second)
	want(t, "starts", busy.starts+idle.starts, 2)
	want(t, "running", sim.runningTasks(), 1)
}

// A member with two ledgers joins the next leader for one after the other: what it
// is told once the first has joined says nothing of the second.
func TestTasksOfTheSecondShardToRegister(t *testing.T) {
	sim := newSimulation(t, "a", "b", "c")
	lead := sim.leader()
	var gone string
	for _, name := range sim.names {
		if name != lead.name {
			gone = name
		}
	}
	first, second, idle := sim.addMachine("vm-1", "z1"), sim.addMachine("vm-2", "z1"), sim.addMachine("vm-3", "z1")
	sim.run(2 * time.Second)
	want(t, "submit", lead.submit(batchJob("wk-1", 4)).Status, 201)
	want(t, "submit", sim.nodes[gone].submit(batchJob("wk-2", 4)).Status, 201)
	sim.run(3 * time.Second)
	want(t, "running", sim.runningTasks(), 8)
	sim.crash(gone)
	sim.run(25 * time.Second)
	want(t, "ledgers of the leader", len(slices.Collect(lead.controller.owner.Shards())), 2)
	started := first.starts + second.starts + idle.starts
	var next string
	for _, name := range sim.names {
		if name != lead.name && name != gone {
			next = name
		}
	}
	sim.disconnect(lead.name, next) // it joins only once the machines have reported there
	lead.controller.election.Resign(election.WorkersUnreachable)
	sim.advance(2 * time.Second)
	want(t, "leader", sim.leader().name, next)
	sim.heartbeatFor(3, first, second, idle)
	sim.connect(lead.name, next)
	sim.advance(2 * time.Second)
	sim.heartbeatFor(20, first, second, idle)
	want(t, "starts", first.starts+second.starts+idle.starts, started)
	want(t, "running", sim.runningTasks(), 8)
}

// A machine that has had this leader's token, but has not reported with it yet, may
// hold anything while the records of machines are unread: however long that takes,
// its lease counts from its own last report, not from the join.
func TestUnreadRecordsProveNoLossOfAnAnsweredMachine(t *testing.T) {
	sim := newSimulation(t, "a", "b", "c")
	busy, idle := startOneTask(t, sim, sim.nodes["a"])
	sim.restartAllWithHidden("fleet/")
	sim.advance(3 * time.Second)
	sim.heartbeatFor(9, idle)
	busy.heartbeat() // its first here, with the token of before; its lease begins anew
	sim.heartbeatFor(13, idle)
	want(t, "copies within the lease", idle.starts, 0)
	sim.state.hiddenPrefix = ""
	sim.heartbeatFor(10, busy, idle)
	want(t, "copies on the other machine", idle.starts, 0)
	want(t, "still running", len(busy.running()), 1)
}

// startDown starts the members that are down.
func (sim *simulation) startDown() {
	for _, name := range sim.names {
		if !sim.nodes[name].up {
			sim.start(name)
		}
	}
}

// restartAllWithHidden ends all members and starts them 4 s later, while listings of the
// keys with a prefix are refused.
func (sim *simulation) restartAllWithHidden(prefix string) {
	for _, name := range sim.names {
		sim.crash(name)
	}
	sim.advance(4 * time.Second)
	sim.state.hiddenPrefix = prefix
	sim.startDown()
}
