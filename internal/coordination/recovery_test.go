package coordination

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/cobaltvale/cobaltvale/internal/election"
	"github.com/cobaltvale/cobaltvale/internal/shard"
	"github.com/cobaltvale/cobaltvale/internal/simtest"
)

// After a recovery a machine may still list an exited replica that is older than the one
// running on another machine. The old replica's exit must not cause a third replica to be
// started, which would break the rule ran_twice.
func TestExitOfOldReplicaProvesNothingAfterRecovery(t *testing.T) {
	sim := newSimulation(t, "a", "b", "c")
	agent1, agent2 := sim.AddMachine("vm-1", "z1"), sim.AddMachine("vm-2", "z1")
	sim.Run(2 * time.Second)
	requireEqual(t, "submit", sim.Nodes["a"].Submit(simtest.BatchJob("wk-1", 1)).Status, 201)
	sim.Run(3 * time.Second)
	if len(agent2.Running()) == 1 {
		agent1, agent2 = agent2, agent1
	}
	failed := agent1.Running()[0]
	agent1.FinishTasks("error")
	for len(agent2.Running()) == 0 {
		sim.Run(time.Second)
	}
	for _, task := range agent2.Tasks {
		agent1.Tasks["old"] = &simtest.AgentTask{Name: failed, Replica: task.Replica - 1, State: "ended", Cause: "error"}
	}
	sim.CrashAll()
	sim.Advance(10 * time.Second)
	sim.StartMembers()
	sim.Advance(3 * time.Second)
	for range 6 { // only the machine with the old replica sends heartbeats
		agent1.Heartbeat()
		sim.Advance(time.Second)
	}
	requireEqual(t, "replicas on the machine that sends heartbeats", len(agent1.Running()), 0)
}

// A new owner doesn't know where its predecessor started tasks, so recovered tasks start again
// only once every machine has sent a heartbeat or its lease has expired.
func TestRecoveredTasksWaitForEveryMachine(t *testing.T) {
	sim := newSimulation(t, "a", "b", "c")
	agent1, agent2 := sim.AddMachine("vm-1", "z1"), sim.AddMachine("vm-2", "z2")
	sim.Run(2 * time.Second)
	requireEqual(t, "submit", sim.Nodes["a"].Submit(simtest.BatchJob("wk-1", 8)).Status, 201)
	sim.Run(3 * time.Second)
	requireEqual(t, "running", sim.runningTasks(), 8)
	sim.CrashAll()
	sim.Advance(10 * time.Second)
	agent1.FinishTasks("halted")
	sim.StartMembers()
	sim.Advance(3 * time.Second)
	agent2.Silent = true
	requireEqual(t, "new job", sim.Nodes["a"].Submit(simtest.BatchJob("wk-2", 1)).Status, 201)
	sim.HeartbeatFor(8, agent1)
	if got := agent1.Running(); len(got) != 1 || !strings.HasPrefix(got[0], "wk-2") {
		t.Fatalf("running %v, want only a task of the new job wk-2", got)
	}
	agent2.ExpireLease()
	sim.HeartbeatFor(25, agent1)
	requireEqual(t, "running after the silent machine's lease has expired", len(agent1.Running()), 4)
}

// Until the new leader has read the machine records, it can't know of a machine that sends no
// heartbeats and is missing from the cloud's list, but may hold tasks.
func TestRecoveredTasksWaitForTheMachineRecords(t *testing.T) {
	sim := newSimulation(t, "a", "b", "c")
	agent1, agent2 := sim.AddMachine("vm-1", "z1"), sim.AddMachine("vm-2", "z2")
	sim.Run(2 * time.Second)
	requireEqual(t, "submit", sim.Nodes["a"].Submit(simtest.BatchJob("wk-1", 8)).Status, 201)
	sim.Run(3 * time.Second)
	requireEqual(t, "running", sim.runningTasks(), 8)
	sim.CrashAll()
	sim.Advance(10 * time.Second)
	sim.State.HiddenPrefix = "fleet/"
	sim.Cloud.Machines = sim.Cloud.Machines[:1]
	agent1.FinishTasks("halted")
	agent2.Silent = true
	sim.StartMembers()
	sim.Advance(3 * time.Second)
	sim.HeartbeatFor(8, agent1)
	requireEqual(t, "replicas", len(agent1.Running()), 0)
}

// A shard registration that did not reach the leader is sent again with the leader's next peer
// heartbeat.
func TestLostShardRegistrationIsRepeated(t *testing.T) {
	sim := newSimulation(t, "a", "b")
	lead, follower := sim.Leader(), sim.Follower()
	state := controllerOf(lead).leader.shards.get(follower.Name)
	state.owner, state.link, state.version = nil, nil, 0
	shard := controllerOf(follower).owner.Shard(follower.Name)
	controllerOf(follower).owner.BeginRegistration(shard) // without sending it
	sim.Advance(3 * time.Second)
	if state.owner == nil || !shard.RegistrationConfirmed() {
		t.Fatal("the shard is not registered")
	}
}

// A heartbeat that was sent before a start and arrives after it does not list the task. That
// does not prove the task lost.
func TestLateHeartbeatProvesNothing(t *testing.T) {
	sim := newSimulation(t, "a", "b", "c")
	agent := sim.AddMachine("vm-1", "z1")
	sim.Run(2 * time.Second)
	late := agent.HeartbeatBody()
	sim.Run(2 * time.Second)
	requireEqual(t, "submit", sim.Nodes["a"].Submit(simtest.BatchJob("wk-1", 1)).Status, 201)
	sim.Run(3 * time.Second)
	requireEqual(t, "running", len(agent.Running()), 1)
	other := sim.AddMachine("vm-2", "z1")
	sim.Run(2 * time.Second)
	requireEqual(t, "late heartbeat", sim.Leader().Call("POST", "/checkin", late).Status, 503)
	sim.HeartbeatFor(5, other)
	requireEqual(t, "replicas on the other machine", len(other.Running()), 0)

	// The same holds for a heartbeat without the leader's fencing token.
	agent.Heartbeat()
	agent.Sequence += 50
	old := agent.FencingToken
	agent.FencingToken = 0
	tasks := agent.Tasks
	agent.Tasks = nil
	stale := agent.HeartbeatBody()
	agent.Tasks, agent.FencingToken = tasks, old
	agent.Sequence -= 50
	requireEqual(t, "heartbeat without the token", sim.Leader().Call("POST", "/checkin", stale).Status, 200)
	sim.HeartbeatFor(5, other)
	requireEqual(t, "replicas on the other machine", len(other.Running()), 0)
}

// The starts in a response that never arrives stay sent until the machine's next heartbeat
// shows that they did not arrive. Then they are sent again.
func TestStartInLostResponseIsRepeated(t *testing.T) {
	sim := newSimulation(t, "a", "b", "c")
	agent := sim.AddMachine("vm-1", "z1")
	sim.Run(2 * time.Second)
	agent.DropsStarts = true
	requireEqual(t, "submit", sim.Follower().Submit(simtest.BatchJob("wk-1", 2)).Status, 201)
	sim.Run(3 * time.Second)
	agent.DropsStarts = false
	sim.Run(3 * time.Second)
	requireEqual(t, "running", len(agent.Running()), 2)
}

func TestSilentMachineIsLostOnlyAfterItsLease(t *testing.T) {
	sim := newSimulation(t, "a")
	for i := range 9 { // so many that fall silent at once are taken for a partition, so none is released
		sim.AddMachine(fmt.Sprintf("vm-%d", i), "z1")
	}
	sim.Run(2 * time.Second)
	requireEqual(t, "submit", sim.Nodes["a"].Submit(simtest.BatchJob("wk-1", 36).With("crew", "blue")).Status, 201)
	sim.Run(4 * time.Second)
	requireEqual(t, "running", sim.runningTasks(), 36)
	agent := sim.AddMachine("vm-x", "z2")
	sim.Run(time.Second)
	for i := range 9 {
		sim.Agents[fmt.Sprintf("vm-%d", i)].Silent = true
	}
	sim.HeartbeatFor(15, agent)
	requireEqual(t, "replicas before the leases have expired", len(agent.Running()), 0)
	for i := range 9 {
		sim.Agents[fmt.Sprintf("vm-%d", i)].ExpireLease()
	}
	sim.HeartbeatFor(8, agent)
	requireEqual(t, "replicas after the leases have expired", len(agent.Running()), 4)
}

// Heartbeats may be missed while the stream from the leader is broken, so an owner counts
// machines' leases from the start of the new stream.
func TestNewStreamRestartsTheLeaseTimer(t *testing.T) {
	sim := newSimulation(t, "a", "b")
	sim.AddMachines(9)
	sim.Run(2 * time.Second)
	follower := sim.Follower()
	requireEqual(t, "submit", follower.Submit(simtest.BatchJob("wk-1", 36)).Status, 201)
	sim.Run(4 * time.Second)
	requireEqual(t, "running", sim.runningTasks(), 36)
	for i := range 9 {
		sim.Agents[fmt.Sprintf("vm-%d", i)].Silent = true
	}
	alive := sim.AddMachine("vm-x", "z2") // without it the leader would consider itself cut off from the machines
	alive.DropsStarts = true
	advance := func(d time.Duration) {
		for end := sim.Now() + d; sim.Now() < end; {
			sim.Advance(time.Second)
			alive.Heartbeat()
		}
	}
	advance(10 * time.Second)
	sim.Disconnect("a", "b")
	sim.Advance(time.Second)
	sim.Connect("a", "b")
	advance(12 * time.Second)
	lost := 0
	for i := range controllerOf(follower).owner.Job("wk-1").Spec().Tasks {
		if state := controllerOf(follower).owner.Job("wk-1").TaskState(i); state != shard.TaskPlaced {
			lost++
		}
	}
	requireEqual(t, "tasks taken for lost", lost, 0)
	alive.Silent = true
	sim.Advance(9 * time.Second)
	requireEqual(t, "active tasks once the leases have expired on the new stream", controllerOf(follower).owner.Job("wk-1").Active(), 0)
}

func TestSilentMachineIsReleasedAndItsTaskRestarted(t *testing.T) {
	sim := newSimulation(t, "a", "b", "c")
	agent1, agent2 := sim.AddMachine("vm-1", "z1"), sim.AddMachine("vm-2", "z1")
	sim.Run(2 * time.Second)
	requireEqual(t, "submit", sim.Nodes["b"].Submit(simtest.BatchJob("wk-1", 1)).Status, 201)
	sim.Run(3 * time.Second)
	if len(agent2.Running()) == 1 {
		agent1, agent2 = agent2, agent1
	}
	agent1.Silent = true
	sim.HeartbeatFor(10, agent2)
	requireEqual(t, "released machines", fmt.Sprint(sim.Cloud.ReleasedMachines), fmt.Sprint([]string{agent1.Name}))
	requireEqual(t, "replica", len(agent2.Running()), 1)
}

// Tasks of a cancelled job that are still on machines when all controllers crash are unknown
// to the restarted controllers, which must stop them all the same.
func TestOrphansAreStopped(t *testing.T) {
	sim := newSimulation(t, "a", "b", "c")
	agent := sim.AddMachine("vm-1", "z1")
	sim.Run(2 * time.Second)
	requireEqual(t, "submit", sim.Nodes["a"].Submit(simtest.BatchJob("wk-1", 4)).Status, 201)
	sim.Run(3 * time.Second)
	code, status := sim.Nodes["a"].Cancel("wk-1")
	requireEqual(t, "cancel", fmt.Sprintf("%d %s", code, status), "200 withdrawn")
	sim.CrashAll()
	sim.Advance(8 * time.Second)
	sim.StartMembers()
	sim.Run(10 * time.Second)
	requireEqual(t, "tasks left on the machine", len(agent.Tasks), 0)
}

// The next leader reads from the state service which machines need a proof before recovered
// tasks may start. Released machines are not among them.
func TestNextLeaderKnowsTheMachines(t *testing.T) {
	sim := newSimulation(t, "a", "b", "c")
	sim.AddMachine("vm-1", "z1")
	sim.AddMachine("vm-2", "z2")
	sim.Run(3 * time.Second)
	requireEqual(t, "submit", sim.Nodes["a"].Submit(simtest.BatchJob("wk-1", 8)).Status, 201)
	sim.Run(3 * time.Second)
	requireEqual(t, "running", sim.runningTasks(), 8)
	sim.Agents["vm-2"].PreemptionNotice = 30.0
	sim.Agents["vm-2"].FinishTasks("done")
	sim.Run(6 * time.Second)
	requireEqual(t, "released machines", fmt.Sprint(sim.Cloud.ReleasedMachines), "[vm-2]")
	requireEqual(t, "second submit", sim.Nodes["a"].Submit(simtest.BatchJob("wk-2", 8)).Status, 201)
	sim.CrashAll()
	sim.Advance(8 * time.Second)
	sim.Agents["vm-1"].FinishTasks("done")
	sim.StartMembers()
	sim.Run(6 * time.Second)
	requireEqual(t, "running soon after the restart", sim.runningTasks(), 4)
}

// A shard may be released in the same batch in which its jobs have changed. The leader must
// not be told then that the jobs have ended: it would make them no more offers, whichever
// member owns the shard next.
func TestChangedJobsOfALostShardContinue(t *testing.T) {
	sim := newSimulation(t, "a", "b", "c")
	follower := sim.Follower()
	requireEqual(t, "submit", follower.Submit(simtest.BatchJob("wk-1", 2)).Status, 201)
	sim.Run(2 * time.Second)
	job := controllerOf(follower).owner.Job("wk-1")
	controllerOf(follower).owner.MarkChanged(job)
	controllerOf(follower).election.ReleaseShard(follower.Name, election.ReleasedToOwnMember)
	sim.DeliverAll()
	sim.AddMachine("vm-1", "z1")
	sim.Run(longerThanAnyLease)
	requireEqual(t, "running", sim.runningTasks(), 2)
}
