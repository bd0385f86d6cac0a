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

// A failed replica that a machine still lists is older than the replica that runs
// elsewhere: its end must not bring a third replica about (ran_twice).
func TestEndedOldReplicaProvesNothingAfterRecovery(t *testing.T) {
	sim := newSimulation(t, "a", "b", "c")
	agent1, agent2 := sim.AddMachine("vm-1", "z1"), sim.AddMachine("vm-2", "z1")
	sim.Run(2 * time.Second)
	want(t, "submit", sim.Nodes["a"].Submit(simtest.BatchJob("wk-1", 1)).Status, 201)
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
	want(t, "replicas on the machine that sends heartbeats", len(agent1.Running()), 0)
}

// A new owner cannot know what its predecessor started where.
func TestRecoveredTasksWaitForEveryMachine(t *testing.T) {
	sim := newSimulation(t, "a", "b", "c")
	agent1, agent2 := sim.AddMachine("vm-1", "z1"), sim.AddMachine("vm-2", "z2")
	sim.Run(2 * time.Second)
	want(t, "submit", sim.Nodes["a"].Submit(simtest.BatchJob("wk-1", 8)).Status, 201)
	sim.Run(3 * time.Second)
	want(t, "running", sim.runningTasks(), 8)
	sim.CrashAll()
	sim.Advance(10 * time.Second)
	agent1.FinishTasks("halted")
	sim.StartMembers()
	sim.Advance(3 * time.Second)
	agent2.Silent = true
	want(t, "new job", sim.Nodes["a"].Submit(simtest.BatchJob("wk-2", 1)).Status, 201)
	sim.HeartbeatFor(8, agent1)
	if got := agent1.Running(); len(got) != 1 || !strings.HasPrefix(got[0], "wk-2") {
		t.Fatalf("only the new job may run, got %v", got)
	}
	agent2.ExpireLease()
	sim.HeartbeatFor(25, agent1)
	want(t, "running once the silent machine's lease is over", len(agent1.Running()), 4)
}

// Until the new leader has read which machines may hold tasks, it cannot know
// of one that neither sends heartbeats nor is listed yet.
func TestRecoveredTasksWaitForTheMachineRecords(t *testing.T) {
	sim := newSimulation(t, "a", "b", "c")
	agent1, agent2 := sim.AddMachine("vm-1", "z1"), sim.AddMachine("vm-2", "z2")
	sim.Run(2 * time.Second)
	want(t, "submit", sim.Nodes["a"].Submit(simtest.BatchJob("wk-1", 8)).Status, 201)
	sim.Run(3 * time.Second)
	want(t, "running", sim.runningTasks(), 8)
	sim.CrashAll()
	sim.Advance(10 * time.Second)
	sim.State.HiddenPrefix = "fleet/"
	sim.Cloud.Machines = sim.Cloud.Machines[:1]
	agent1.FinishTasks("halted")
	agent2.Silent = true
	sim.StartMembers()
	sim.Advance(3 * time.Second)
	sim.HeartbeatFor(8, agent1)
	want(t, "replicas", len(agent1.Running()), 0)
}

// A registration that the leader did not take is sent again with its next peer heartbeat.
func TestLostShardRegistrationIsRepeated(t *testing.T) {
	sim := newSimulation(t, "a", "b")
	lead, follower := sim.Leader(), sim.Follower()
	g := controllerOf(lead).leader.shards.get(follower.Name)
	g.owner, g.link, g.version = nil, nil, 0
	shard := controllerOf(follower).owner.Shard(follower.Name)
	controllerOf(follower).owner.BeginRegistration(shard) // and nothing is sent
	sim.Advance(3 * time.Second)
	if g.owner == nil || !shard.RegistrationConfirmed() {
		t.Fatal("the shard is not registered")
	}
}

// A heartbeat that was sent before the start and arrives after it does not list
// the task; that proves nothing.
func TestLateHeartbeatProvesNothing(t *testing.T) {
	sim := newSimulation(t, "a", "b", "c")
	agent := sim.AddMachine("vm-1", "z1")
	sim.Run(2 * time.Second)
	late := agent.HeartbeatBody()
	sim.Run(2 * time.Second)
	want(t, "submit", sim.Nodes["a"].Submit(simtest.BatchJob("wk-1", 1)).Status, 201)
	sim.Run(3 * time.Second)
	want(t, "running", len(agent.Running()), 1)
	other := sim.AddMachine("vm-2", "z1")
	sim.Run(2 * time.Second)
	want(t, "late heartbeat", sim.Leader().Call("POST", "/checkin", late).Status, 503)
	sim.HeartbeatFor(5, other)
	want(t, "second copy", len(other.Running()), 0)

	// The same from a worker that has not seen the new leader's fencing token yet.
	agent.Heartbeat()
	agent.Sequence += 50
	old := agent.FencingToken
	agent.FencingToken = 0
	tasks := agent.Tasks
	agent.Tasks = nil
	stale := agent.HeartbeatBody()
	agent.Tasks, agent.FencingToken = tasks, old
	agent.Sequence -= 50
	want(t, "stale heartbeat", sim.Leader().Call("POST", "/checkin", stale).Status, 200)
	sim.HeartbeatFor(5, other)
	want(t, "second copy", len(other.Running()), 0)
}

// An answer that never arrives leaves its starts in transit until the
// worker's next heartbeat shows that they did not come.
func TestStartInALostResponseIsReplicated(t *testing.T) {
	sim := newSimulation(t, "a", "b", "c")
	agent := sim.AddMachine("vm-1", "z1")
	sim.Run(2 * time.Second)
	agent.DropsStarts = true
	want(t, "submit", sim.Follower().Submit(simtest.BatchJob("wk-1", 2)).Status, 201)
	sim.Run(3 * time.Second)
	agent.DropsStarts = false
	sim.Run(3 * time.Second)
	want(t, "running", len(agent.Running()), 2)
}

func TestSilentMachineIsLostOnlyWithItsLease(t *testing.T) {
	sim := newSimulation(t, "a")
	for i := range 9 { // so many fall silent together that none is returned for it
		sim.AddMachine(fmt.Sprintf("vm-%d", i), "z1")
	}
	sim.Run(2 * time.Second)
	want(t, "submit", sim.Nodes["a"].Submit(simtest.BatchJob("wk-1", 36).With("crew", "blue")).Status, 201)
	sim.Run(4 * time.Second)
	want(t, "running", sim.runningTasks(), 36)
	agent := sim.AddMachine("vm-x", "z2")
	sim.Run(time.Second)
	for i := range 9 {
		sim.Agents[fmt.Sprintf("vm-%d", i)].Silent = true
	}
	sim.HeartbeatFor(15, agent)
	want(t, "replicas before the leases are over", len(agent.Running()), 0)
	for i := range 9 {
		sim.Agents[fmt.Sprintf("vm-%d", i)].ExpireLease()
	}
	sim.HeartbeatFor(8, agent)
	want(t, "replicas after", len(agent.Running()), 4)
}

// A stream that broke may have missed heartbeats: its clock starts anew.
func TestNewStreamRestartsTheLeaseTimer(t *testing.T) {
	sim := newSimulation(t, "a", "b")
	sim.AddMachines(9)
	sim.Run(2 * time.Second)
	follower := sim.Follower()
	want(t, "submit", follower.Submit(simtest.BatchJob("wk-1", 36)).Status, 201)
	sim.Run(4 * time.Second)
	want(t, "running", sim.runningTasks(), 36)
	for i := range 9 {
		sim.Agents[fmt.Sprintf("vm-%d", i)].Silent = true
	}
	alive := sim.AddMachine("vm-x", "z2") // else the leader would think itself cut off
	alive.DropsStarts = true
	pass := func(d time.Duration) {
		for end := sim.Now() + d; sim.Now() < end; {
			sim.Advance(time.Second)
			alive.Heartbeat()
		}
	}
	pass(10 * time.Second)
	sim.Disconnect("a", "b")
	sim.Advance(time.Second)
	sim.Connect("a", "b")
	pass(12 * time.Second)
	lost := 0
	for i := range controllerOf(follower).owner.Job("wk-1").Spec().Tasks {
		if p := controllerOf(follower).owner.Job("wk-1").TaskState(i); p != shard.TaskPlaced {
			lost++
		}
	}
	want(t, "tasks judged lost", lost, 0)
	alive.Silent = true
	sim.Advance(9 * time.Second)
	want(t, "assigned once a lease has forwarded the new stream", controllerOf(follower).owner.Job("wk-1").Active(), 0)
}

func TestSilentMachineIsReturnedAndReplicatedAtOnce(t *testing.T) {
	sim := newSimulation(t, "a", "b", "c")
	agent1, agent2 := sim.AddMachine("vm-1", "z1"), sim.AddMachine("vm-2", "z1")
	sim.Run(2 * time.Second)
	want(t, "submit", sim.Nodes["b"].Submit(simtest.BatchJob("wk-1", 1)).Status, 201)
	sim.Run(3 * time.Second)
	if len(agent2.Running()) == 1 {
		agent1, agent2 = agent2, agent1
	}
	agent1.Silent = true
	sim.HeartbeatFor(10, agent2)
	want(t, "returned", fmt.Sprint(sim.Cloud.Released), fmt.Sprint([]string{agent1.Name}))
	want(t, "replica", len(agent2.Running()), 1)
}

// Tasks that are on machines when all controllers die, and whose job was
// withdrawn, are unknown to the new ones: they are stopped all the same.
func TestOrphansAreStopped(t *testing.T) {
	sim := newSimulation(t, "a", "b", "c")
	agent := sim.AddMachine("vm-1", "z1")
	sim.Run(2 * time.Second)
	want(t, "submit", sim.Nodes["a"].Submit(simtest.BatchJob("wk-1", 4)).Status, 201)
	sim.Run(3 * time.Second)
	code, status := sim.Nodes["a"].Cancel("wk-1")
	want(t, "abort", fmt.Sprintf("%d %s", code, status), "200 withdrawn")
	sim.CrashAll()
	sim.Advance(8 * time.Second)
	sim.StartMembers()
	sim.Run(10 * time.Second)
	want(t, "left on the machine", len(agent.Tasks), 0)
}

// The next leader knows from the state service which machines have to be
// heard of; machines that were returned hold nothing up.
func TestNextLeaderKnowsTheMachines(t *testing.T) {
	sim := newSimulation(t, "a", "b", "c")
	sim.AddMachine("vm-1", "z1")
	sim.AddMachine("vm-2", "z2")
	sim.Run(3 * time.Second)
	want(t, "submit", sim.Nodes["a"].Submit(simtest.BatchJob("wk-1", 8)).Status, 201)
	sim.Run(3 * time.Second)
	want(t, "running", sim.runningTasks(), 8)
	sim.Agents["vm-2"].PreemptionNotice = 30.0
	sim.Agents["vm-2"].FinishTasks("done")
	sim.Run(6 * time.Second)
	want(t, "returned", fmt.Sprint(sim.Cloud.Released), "[vm-2]")
	want(t, "more", sim.Nodes["a"].Submit(simtest.BatchJob("wk-2", 8)).Status, 201)
	sim.CrashAll()
	sim.Advance(8 * time.Second)
	sim.Agents["vm-1"].FinishTasks("done")
	sim.StartMembers()
	sim.Run(6 * time.Second)
	want(t, "running soon after", sim.runningTasks(), 4)
}

// A shard may be dropped in the very batch in which something of its jobs has
// changed. The leader was told that they are over then, and never offered them
// anything again, whoever held the shard next.
func TestChangedJobsOfALostShardContinue(t *testing.T) {
	sim := newSimulation(t, "a", "b", "c")
	follower := sim.Follower()
	want(t, "submit", follower.Submit(simtest.BatchJob("wk-1", 2)).Status, 201)
	sim.Run(2 * time.Second)
	j := controllerOf(follower).owner.Job("wk-1")
	controllerOf(follower).owner.MarkChanged(j)
	controllerOf(follower).election.ReleaseShard(follower.Name, election.ReleasedToOwnMember)
	sim.DeliverAll()
	sim.AddMachine("vm-1", "z1")
	sim.Run(beyondAnyLease)
	want(t, "running", sim.runningTasks(), 2)
}
