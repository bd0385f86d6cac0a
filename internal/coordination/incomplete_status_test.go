package coordination

import (
	"slices"
	"testing"
	"time"

	"github.com/cobaltvale/cobaltvale/internal/election"
	"github.com/cobaltvale/cobaltvale/internal/shard"
	"github.com/cobaltvale/cobaltvale/internal/simtest"
)

// The incident docs/incidents/incomplete-lists.md: a machine's list, as the leader
// passed it on, lacked the tasks of jobs that the leader did not know yet, and an
// owner concluded from it that these tasks were gone.

// startOneTask runs one task, of a job of the given member, and returns the
// machine that has it and one that has nothing.
func startOneTask(t *testing.T, sim *simulation, owner *simtest.Node) (busy, idle *simtest.Agent) {
	t.Helper()
	busy, idle = sim.AddMachine("vm-1", "z1"), sim.AddMachine("vm-2", "z1")
	sim.Run(2 * time.Second)
	want(t, "submit", owner.Submit(simtest.BatchJob("wk-1", 1)).Status, 201)
	sim.Run(3 * time.Second)
	if len(idle.Running()) == 1 {
		busy, idle = idle, busy
	}
	want(t, "running", len(busy.Running()), 1)
	return busy, idle
}

// allowOnlyLeader has only one of the members lead for the next minute.
func (sim *simulation) allowOnlyLeader(allBut string) {
	for _, name := range sim.Names {
		if name != allBut && sim.Nodes[name].Up {
			controllerOf(sim.Nodes[name]).election.Abstain(sim.Now() + time.Minute)
		}
	}
}

// withLeaderVersions are the versions of the member a, which is to lead; the owners have
// this one. What a leader of the version before forwards lacks the same tasks as
// ever, see withoutUnknownTasks, and it calls shards reconciled as it did.
func withLeaderVersions(t *testing.T, test func(t *testing.T, sim *simulation)) {
	t.Helper()
	t.Run("this version", func(t *testing.T) { test(t, newSimulation(t, "a", "b", "c")) })
	t.Run("the version before", func(t *testing.T) { test(t, newSimulationWith(t, "", []string{"a"}, "a", "b", "c")) })
}

// Both breaks of the incident's records: all controllers end, the leader's read of
// the unfinished jobs fails, a machine sends it a heartbeat, and then the owner that has
// acquired the shard registers.
func TestRecoveredTaskOfAJobUnknownToTheLeader(t *testing.T) {
	withLeaderVersions(t, func(t *testing.T, sim *simulation) {
		busy, idle := startOneTask(t, sim, sim.Nodes["b"])
		sim.restartAllWithHiddenKeys("own/")
		sim.allowOnlyLeader("a")
		sim.Advance(4 * time.Second)
		sim.HeartbeatFor(3, busy, idle)
		sim.State.HiddenPrefix = ""
		sim.Advance(2 * time.Second) // the owner registers, and no machine sends a heartbeat meanwhile
		sim.HeartbeatFor(3, idle)    // no longer: a silent machine is returned, which is proof
		sim.HeartbeatFor(5, busy, idle)
		want(t, "leader", sim.Leader().Name, "a")
		want(t, "reconciled", controllerOf(sim.Nodes["b"]).owner.Shard("b").Reconciled(), true)
		sim.HeartbeatFor(15, busy, idle)
		want(t, "replicas on the other machine", idle.Starts, 0)
		want(t, "still running", len(busy.Running()), 1)
	})
}

// The same of an owner that lives on through the change of leader: its stream to
// the new leader comes up after a machine has sent a heartbeat there.
func TestTaskOfAnOwnerThatRegistersLate(t *testing.T) {
	withLeaderVersions(t, func(t *testing.T, sim *simulation) {
		controllerOf(sim.Nodes["b"]).election.Abstain(sim.Now() + time.Hour) // it owns the task
		if sim.Leader().Name != "c" {
			controllerOf(sim.Nodes["a"]).election.Abstain(sim.Now() + 4*time.Second)
			sim.Crash(sim.Leader().Name)
			sim.Advance(4 * time.Second)
			sim.startDownMembers()
			sim.Advance(6 * time.Second)
		}
		want(t, "first leader", sim.Leader().Name, "c")
		busy, idle := startOneTask(t, sim, sim.Nodes["b"])
		sim.State.HiddenPrefix, sim.State.HiddenFrom = "own/", "a"
		sim.Disconnect("a", "b")
		sim.Crash("c")
		sim.Advance(4 * time.Second)
		want(t, "leader", sim.Leader().Name, "a")
		sim.HeartbeatFor(1, busy, idle)
		busy.Heartbeat()
		sim.Connect("a", "b")
		sim.Advance(2 * time.Second)
		sim.HeartbeatFor(3, idle)
		sim.HeartbeatFor(20, busy, idle)
		want(t, "replicas on the other machine", idle.Starts, 0)
		want(t, "still running", len(busy.Running()), 1)
	})
}

// While the leader takes another member for a shard's holder, as it may for a
// moment after the shard has changed hands, its lists to the present holder lack
// the shard's tasks, and say so.
func TestStatusIsCompleteOnlyForRegisteredShards(t *testing.T) {
	sim := newSimulation(t, "a", "b", "c")
	lead := sim.Leader()
	owner := sim.Follower()
	busy, idle := startOneTask(t, sim, owner)
	l := controllerOf(lead).leader
	l.setShardOwner(l.shards.get(owner.Name), controllerOf(lead).selfPeer)
	busy.Tasks["other#1"] = &simtest.AgentTask{Name: "wk-9/0", Replica: 1, State: "ended", Cause: "halted"}
	sim.HeartbeatFor(3, busy, idle) // the list has changed, so it is forwarded whole
	job := controllerOf(owner).owner.Job("wk-1")
	want(t, "the task is on its machine still", job.TaskState(0), shard.TaskPlaced)
	l.setShardOwner(l.shards.get(owner.Name), controllerOf(lead).peers[owner.Name])
	sim.HeartbeatFor(15, busy, idle)
	want(t, "replicas on the other machine", idle.Starts, 0)
}

// An owner that registers with a leader of the version before still learns from its lists
// that a task is gone: from those of machines that have sent heartbeats since.
func TestTaskThatEndedUnderALeaderOfThePreviousVersion(t *testing.T) {
	sim := newSimulationWith(t, "", []string{"a", "b", "c"}, "a", "b", "c")
	owner := sim.Follower()
	delete(sim.PreviousVersion, owner.Name)
	sim.Crash(owner.Name)
	sim.Start(owner.Name)
	sim.Run(8 * time.Second)
	owner = sim.Nodes[owner.Name]
	busy, idle := startOneTask(t, sim, owner)
	clear(busy.Tasks) // as if the machine had lost it, within its epoch
	sim.Run(20 * time.Second)
	want(t, "starts", busy.Starts+idle.Starts, 2)
	want(t, "running", sim.runningTasks(), 1)
}

// A member with two shards registers with the next leader for one after the other: what it
// is told once the first has registered says nothing of the second.
func TestTasksOfTheSecondShardToRegister(t *testing.T) {
	sim := newSimulation(t, "a", "b", "c")
	lead := sim.Leader()
	var gone string
	for _, name := range sim.Names {
		if name != lead.Name {
			gone = name
		}
	}
	first, second, idle := sim.AddMachine("vm-1", "z1"), sim.AddMachine("vm-2", "z1"), sim.AddMachine("vm-3", "z1")
	sim.Run(2 * time.Second)
	want(t, "submit", lead.Submit(simtest.BatchJob("wk-1", 4)).Status, 201)
	want(t, "submit", sim.Nodes[gone].Submit(simtest.BatchJob("wk-2", 4)).Status, 201)
	sim.Run(3 * time.Second)
	want(t, "running", sim.runningTasks(), 8)
	sim.Crash(gone)
	sim.Run(25 * time.Second)
	want(t, "shards of the leader", len(slices.Collect(controllerOf(lead).owner.Shards())), 2)
	started := first.Starts + second.Starts + idle.Starts
	var next string
	for _, name := range sim.Names {
		if name != lead.Name && name != gone {
			next = name
		}
	}
	sim.Disconnect(lead.Name, next) // it registers only once the machines have sent heartbeats there
	controllerOf(lead).election.Resign(election.MachinesUnreachable)
	sim.Advance(2 * time.Second)
	want(t, "leader", sim.Leader().Name, next)
	sim.HeartbeatFor(3, first, second, idle)
	sim.Connect(lead.Name, next)
	sim.Advance(2 * time.Second)
	sim.HeartbeatFor(20, first, second, idle)
	want(t, "starts", first.Starts+second.Starts+idle.Starts, started)
	want(t, "running", sim.runningTasks(), 8)
}

// A machine that has had this leader's fencing token, but has sent no heartbeat with it yet, may
// hold anything while the records of machines are unread: however long that takes,
// its lease counts from its own last heartbeat, not from the registration.
func TestUnreadRecordsProveNoLossOfAnAnsweredMachine(t *testing.T) {
	sim := newSimulation(t, "a", "b", "c")
	busy, idle := startOneTask(t, sim, sim.Nodes["a"])
	sim.restartAllWithHiddenKeys("fleet/")
	sim.Advance(3 * time.Second)
	sim.HeartbeatFor(9, idle)
	busy.Heartbeat() // its first here, with the fencing token of before; its lease begins anew
	sim.HeartbeatFor(13, idle)
	want(t, "replicas within the lease", idle.Starts, 0)
	sim.State.HiddenPrefix = ""
	sim.HeartbeatFor(10, busy, idle)
	want(t, "replicas on the other machine", idle.Starts, 0)
	want(t, "still running", len(busy.Running()), 1)
}

// startDownMembers starts the members that are down.
func (sim *simulation) startDownMembers() {
	for _, name := range sim.Names {
		if !sim.Nodes[name].Up {
			sim.Start(name)
		}
	}
}

// restartAllWithHiddenKeys ends all members and starts them 4 s later, while listings of the
// keys with a prefix are refused.
func (sim *simulation) restartAllWithHiddenKeys(prefix string) {
	sim.CrashAll()
	sim.Advance(4 * time.Second)
	sim.State.HiddenPrefix = prefix
	sim.startDownMembers()
}
