package coordination

import (
	"slices"
	"testing"
	"time"

	"github.com/cobaltvale/cobaltvale/internal/election"
	"github.com/cobaltvale/cobaltvale/internal/shard"
	"github.com/cobaltvale/cobaltvale/internal/simtest"
)

// These tests guard against the incident docs/incidents/incomplete-lists.md: a machine's list
// of tasks, as the leader published it, lacked the tasks of jobs that the leader did not know
// yet, and an owner concluded from the list that these tasks were lost.

// startOneTask starts one task of a job owned by a member. It returns the machine that runs it
// and one that runs nothing.
func startOneTask(t *testing.T, sim *simulation, owner *simtest.Node) (busy, idle *simtest.Agent) {
	t.Helper()
	busy, idle = sim.AddMachine("vm-1", "z1"), sim.AddMachine("vm-2", "z1")
	sim.Run(2 * time.Second)
	requireEqual(t, "submit", owner.Submit(simtest.BatchJob("wk-1", 1)).Status, 201)
	sim.Run(3 * time.Second)
	if len(idle.Running()) == 1 {
		busy, idle = idle, busy
	}
	requireEqual(t, "running", len(busy.Running()), 1)
	return busy, idle
}

// allowOnlyLeader lets only one member become leader within the next minute.
func (sim *simulation) allowOnlyLeader(member string) {
	for _, name := range sim.Members {
		if name != member && sim.Nodes[name].Up {
			controllerOf(sim.Nodes[name]).election.Abstain(sim.Now() + time.Minute)
		}
	}
}

// withLeaderVersions runs a test with member a, which is to lead, on this version and on the
// previous one. The owners run this version. The statuses that a leader of the previous
// version publishes lack tasks, see withoutUnknownTasks, and it reports shards reconciled by
// the rules of that version.
func withLeaderVersions(t *testing.T, test func(t *testing.T, sim *simulation)) {
	t.Helper()
	t.Run("this version", func(t *testing.T) { test(t, newSimulation(t, "a", "b", "c")) })
	t.Run("the previous version", func(t *testing.T) { test(t, newUpgradeSimulation(t, "", []string{"a"}, "a", "b", "c")) })
}

// The order of events in both cases that the incident report describes: all controllers
// crash, the leader's read of the unfinished jobs fails, a machine sends the leader a
// heartbeat, and then the member that has acquired the shard registers it.
func TestRecoveredTaskOfAJobUnknownToTheLeader(t *testing.T) {
	withLeaderVersions(t, func(t *testing.T, sim *simulation) {
		busy, idle := startOneTask(t, sim, sim.Nodes["b"])
		sim.restartAllWithHiddenKeys("own/")
		sim.allowOnlyLeader("a")
		sim.Advance(4 * time.Second)
		sim.HeartbeatFor(3, busy, idle)
		sim.State.HiddenPrefix = ""
		sim.Advance(2 * time.Second) // the owner registers, and no machine sends a heartbeat meanwhile
		sim.HeartbeatFor(3, idle)    // not for longer: a silent machine is released, which is proof
		sim.HeartbeatFor(5, busy, idle)
		requireEqual(t, "leader", sim.Leader().Name, "a")
		requireEqual(t, "reconciled", controllerOf(sim.Nodes["b"]).owner.Shard("b").Reconciled(), true)
		sim.HeartbeatFor(15, busy, idle)
		requireEqual(t, "replicas on the other machine", idle.Starts, 0)
		requireEqual(t, "still running", len(busy.Running()), 1)
	})
}

// The same failure with an owner that keeps running through the change of leader: its stream to
// the new leader opens after a machine has sent a heartbeat there.
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
		requireEqual(t, "first leader", sim.Leader().Name, "c")
		busy, idle := startOneTask(t, sim, sim.Nodes["b"])
		sim.State.HiddenPrefix, sim.State.HiddenFrom = "own/", "a"
		sim.Disconnect("a", "b")
		sim.Crash("c")
		sim.Advance(4 * time.Second)
		requireEqual(t, "leader", sim.Leader().Name, "a")
		sim.HeartbeatFor(1, busy, idle)
		busy.Heartbeat()
		sim.Connect("a", "b")
		sim.Advance(2 * time.Second)
		sim.HeartbeatFor(3, idle)
		sim.HeartbeatFor(20, busy, idle)
		requireEqual(t, "replicas on the other machine", idle.Starts, 0)
		requireEqual(t, "still running", len(busy.Running()), 1)
	})
}

// For a moment after a shard has changed hands, the leader may still record the previous owner.
// Its statuses to the current owner then lack the shard's tasks, and must not claim to be
// complete for the shard.
func TestStatusIsCompleteOnlyForRegisteredShards(t *testing.T) {
	sim := newSimulation(t, "a", "b", "c")
	lead := sim.Leader()
	owner := sim.Follower()
	busy, idle := startOneTask(t, sim, owner)
	leader := controllerOf(lead).leader
	leader.setShardOwner(leader.shards.get(owner.Name), controllerOf(lead).selfPeer)
	busy.Tasks["other#1"] = &simtest.AgentTask{Name: "wk-9/0", Replica: 1, State: "ended", Cause: "halted"}
	sim.HeartbeatFor(3, busy, idle) // the list has changed, so it is published in full
	job := controllerOf(owner).owner.Job("wk-1")
	requireEqual(t, "state of the task, which still runs", job.TaskState(0), shard.TaskPlaced)
	leader.setShardOwner(leader.shards.get(owner.Name), controllerOf(lead).peers[owner.Name])
	sim.HeartbeatFor(15, busy, idle)
	requireEqual(t, "replicas on the other machine", idle.Starts, 0)
}

// An owner that registers with a leader of the previous version still concludes from that
// leader's statuses that a task is lost: from the lists of machines that have sent
// heartbeats since the registration.
func TestTaskThatEndedUnderALeaderOfThePreviousVersion(t *testing.T) {
	sim := newUpgradeSimulation(t, "", []string{"a", "b", "c"}, "a", "b", "c")
	owner := sim.Follower()
	delete(sim.PreviousVersion, owner.Name)
	sim.Crash(owner.Name)
	sim.Start(owner.Name)
	sim.Run(8 * time.Second)
	owner = sim.Nodes[owner.Name]
	busy, idle := startOneTask(t, sim, owner)
	clear(busy.Tasks) // as if the machine had lost it, within its epoch
	sim.Run(20 * time.Second)
	requireEqual(t, "starts", busy.Starts+idle.Starts, 2)
	requireEqual(t, "running", sim.runningTasks(), 1)
}

// A member with two shards registers them with the next leader one after the other. The
// statuses that it receives after the first registration prove nothing about the second
// shard's tasks.
func TestTasksOfTheSecondShardToRegister(t *testing.T) {
	sim := newSimulation(t, "a", "b", "c")
	lead := sim.Leader()
	var crashed string
	for _, name := range sim.Members {
		if name != lead.Name {
			crashed = name
		}
	}
	first, second, idle := sim.AddMachine("vm-1", "z1"), sim.AddMachine("vm-2", "z1"), sim.AddMachine("vm-3", "z1")
	sim.Run(2 * time.Second)
	requireEqual(t, "submit", lead.Submit(simtest.BatchJob("wk-1", 4)).Status, 201)
	requireEqual(t, "submit", sim.Nodes[crashed].Submit(simtest.BatchJob("wk-2", 4)).Status, 201)
	sim.Run(3 * time.Second)
	requireEqual(t, "running", sim.runningTasks(), 8)
	sim.Crash(crashed)
	sim.Run(25 * time.Second)
	requireEqual(t, "shards of the leader", len(slices.Collect(controllerOf(lead).owner.Shards())), 2)
	started := first.Starts + second.Starts + idle.Starts
	var next string
	for _, name := range sim.Members {
		if name != lead.Name && name != crashed {
			next = name
		}
	}
	sim.Disconnect(lead.Name, next) // it registers only once the machines have sent heartbeats there
	controllerOf(lead).election.Resign(election.MachinesUnreachable)
	sim.Advance(2 * time.Second)
	requireEqual(t, "leader", sim.Leader().Name, next)
	sim.HeartbeatFor(3, first, second, idle)
	sim.Connect(lead.Name, next)
	sim.Advance(2 * time.Second)
	sim.HeartbeatFor(20, first, second, idle)
	requireEqual(t, "starts", first.Starts+second.Starts+idle.Starts, started)
	requireEqual(t, "running", sim.runningTasks(), 8)
}

// While the machine records are unread, a machine that has received this leader's fencing token
// but has sent no heartbeat with it yet may hold any tasks. However long the read takes, the
// machine's lease counts from its own last heartbeat, not from the registration.
func TestUnreadRecordsProveNoLossOfRespondingMachine(t *testing.T) {
	sim := newSimulation(t, "a", "b", "c")
	busy, idle := startOneTask(t, sim, sim.Nodes["a"])
	sim.restartAllWithHiddenKeys("fleet/")
	sim.Advance(3 * time.Second)
	sim.HeartbeatFor(9, idle)
	busy.Heartbeat() // its first to this leader, with the previous fencing token; the response renews its lease
	sim.HeartbeatFor(13, idle)
	requireEqual(t, "replicas within the lease", idle.Starts, 0)
	sim.State.HiddenPrefix = ""
	sim.HeartbeatFor(10, busy, idle)
	requireEqual(t, "replicas on the other machine", idle.Starts, 0)
	requireEqual(t, "still running", len(busy.Running()), 1)
}

// startDownMembers starts the members that are down.
func (sim *simulation) startDownMembers() {
	for _, name := range sim.Members {
		if !sim.Nodes[name].Up {
			sim.Start(name)
		}
	}
}

// restartAllWithHiddenKeys crashes all members and starts them 4 s later, while the state service
// rejects listings of the keys with a prefix.
func (sim *simulation) restartAllWithHiddenKeys(prefix string) {
	sim.CrashAll()
	sim.Advance(4 * time.Second)
	sim.State.HiddenPrefix = prefix
	sim.startDownMembers()
}
