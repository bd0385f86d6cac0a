package coordination

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/cobaltvale/cobaltvale/internal/election"
	"github.com/cobaltvale/cobaltvale/internal/shard"
)

// A failed copy that a machine still lists is older than the copy that runs
// elsewhere: its end must not bring a third copy about (ran_twice).
func TestEndedOldReplicaProvesNothingAfterRecovery(t *testing.T) {
	sim := newSimulation(t, "a", "b", "c")
	agent1, agent2 := sim.addMachine("vm-1", "z1"), sim.addMachine("vm-2", "z1")
	sim.run(2 * time.Second)
	want(t, "submit", sim.nodes["a"].submit(batchJob("wk-1", 1)).Status, 201)
	sim.run(3 * time.Second)
	if len(agent2.running()) == 1 {
		agent1, agent2 = agent2, agent1
	}
	failed := agent1.running()[0]
	agent1.finishTasks("error")
	for len(agent2.running()) == 0 {
		sim.run(time.Second)
	}
	for _, task := range agent2.tasks {
		agent1.tasks["old"] = &agentTask{name: failed, replica: task.replica - 1, state: "ended", cause: "error"}
	}
	for _, name := range sim.names {
		sim.crash(name)
	}
	sim.advance(10 * time.Second)
	for _, name := range sim.names {
		sim.start(name)
	}
	sim.advance(3 * time.Second)
	for range 6 { // only the machine with the old copy reports
		agent1.heartbeat()
		sim.advance(time.Second)
	}
	want(t, "copies on the machine that reports", len(agent1.running()), 0)
}

// A new owner cannot know what its predecessor started where.
func TestRecoveredTasksWaitForEveryMachine(t *testing.T) {
	sim := newSimulation(t, "a", "b", "c")
	agent1, agent2 := sim.addMachine("vm-1", "z1"), sim.addMachine("vm-2", "z2")
	sim.run(2 * time.Second)
	want(t, "submit", sim.nodes["a"].submit(batchJob("wk-1", 8)).Status, 201)
	sim.run(3 * time.Second)
	want(t, "running", sim.runningTasks(), 8)
	for _, name := range sim.names {
		sim.crash(name)
	}
	sim.advance(10 * time.Second)
	agent1.finishTasks("halted")
	for _, name := range sim.names {
		sim.start(name)
	}
	sim.advance(3 * time.Second)
	agent2.silent = true
	want(t, "new job", sim.nodes["a"].submit(batchJob("wk-2", 1)).Status, 201)
	for range 8 {
		agent1.heartbeat()
		sim.advance(time.Second)
	}
	if got := agent1.running(); len(got) != 1 || !strings.HasPrefix(got[0], "wk-2") {
		t.Fatalf("only the new job may run, got %v", got)
	}
	agent2.expireLease()
	for range 25 {
		agent1.heartbeat()
		sim.advance(time.Second)
	}
	want(t, "running once the silent machine's lease is over", len(agent1.running()), 4)
}

// Until the new leader has read which machines may hold tasks, it cannot know
// of one that neither reports nor is listed yet.
func TestRecoveredTasksWaitForTheMachineRecords(t *testing.T) {
	sim := newSimulation(t, "a", "b", "c")
	agent1, agent2 := sim.addMachine("vm-1", "z1"), sim.addMachine("vm-2", "z2")
	sim.run(2 * time.Second)
	want(t, "submit", sim.nodes["a"].submit(batchJob("wk-1", 8)).Status, 201)
	sim.run(3 * time.Second)
	want(t, "running", sim.runningTasks(), 8)
	for _, name := range sim.names {
		sim.crash(name)
	}
	sim.advance(10 * time.Second)
	sim.state.hiddenPrefix = "fleet/"
	sim.cloud.machines = sim.cloud.machines[:1]
	agent1.finishTasks("halted")
	agent2.silent = true
	for _, name := range sim.names {
		sim.start(name)
	}
	sim.advance(3 * time.Second)
	for range 8 {
		agent1.heartbeat()
		sim.advance(time.Second)
	}
	want(t, "copies", len(agent1.running()), 0)
}

// A join that the leader did not take is sent again with its next beat.
func TestLostShardRegistrationIsRepeated(t *testing.T) {
	sim := newSimulation(t, "a", "b")
	lead, follower := sim.leader(), sim.follower()
	g := lead.controller.leader.shards.get(follower.name)
	g.owner, g.link, g.version = nil, nil, 0
	shard := follower.controller.owner.Shard(follower.name)
	follower.controller.owner.BeginRegistration(shard) // and nothing is sent
	sim.advance(3 * time.Second)
	if g.owner == nil || !shard.RegistrationConfirmed() {
		t.Fatal("the ledger is not joined")
	}
}

// A report that was sent before the start and arrives after it does not list
// the task; that proves nothing.
func TestLateHeartbeatProvesNothing(t *testing.T) {
	sim := newSimulation(t, "a", "b", "c")
	agent := sim.addMachine("vm-1", "z1")
	sim.run(2 * time.Second)
	late := agent.heartbeatBody()
	sim.run(2 * time.Second)
	want(t, "submit", sim.nodes["a"].submit(batchJob("wk-1", 1)).Status, 201)
	sim.run(3 * time.Second)
	want(t, "running", len(agent.running()), 1)
	other := sim.addMachine("vm-2", "z1")
	sim.run(2 * time.Second)
	want(t, "late report", sim.leader().call("POST", "/checkin", late).Status, 503)
	for range 5 {
		other.heartbeat()
		sim.advance(time.Second)
	}
	want(t, "second copy", len(other.running()), 0)

	// The same from a worker that has not seen the new leader's token yet.
	agent.heartbeat()
	agent.sequence += 50
	old := agent.fencingToken
	agent.fencingToken = 0
	tasks := agent.tasks
	agent.tasks = nil
	stale := agent.heartbeatBody()
	agent.tasks, agent.fencingToken = tasks, old
	agent.sequence -= 50
	want(t, "stale report", sim.leader().call("POST", "/checkin", stale).Status, 200)
	for range 5 {
		other.heartbeat()
		sim.advance(time.Second)
	}
	want(t, "second copy", len(other.running()), 0)
}

// An answer that never arrives leaves its starts in transit until the
// worker's next report shows that they did not come.
func TestStartInALostResponseIsReplicated(t *testing.T) {
	sim := newSimulation(t, "a", "b", "c")
	agent := sim.addMachine("vm-1", "z1")
	sim.run(2 * time.Second)
	agent.dropsStarts = true
	want(t, "submit", sim.follower().submit(batchJob("wk-1", 2)).Status, 201)
	sim.run(3 * time.Second)
	agent.dropsStarts = false
	sim.run(3 * time.Second)
	want(t, "running", len(agent.running()), 2)
}

func TestSilentMachineIsLostOnlyWithItsLease(t *testing.T) {
	sim := newSimulation(t, "a")
	for i := range 9 { // so many fall silent together that none is returned for it
		sim.addMachine(fmt.Sprintf("vm-%d", i), "z1")
	}
	sim.run(2 * time.Second)
	want(t, "submit", sim.nodes["a"].submit(batchJob("wk-1", 36).with("crew", "blue")).Status, 201)
	sim.run(4 * time.Second)
	want(t, "running", sim.runningTasks(), 36)
	agent := sim.addMachine("vm-x", "z2")
	sim.run(time.Second)
	for i := range 9 {
		sim.agents[fmt.Sprintf("vm-%d", i)].silent = true
	}
	for range 15 {
		agent.heartbeat()
		sim.advance(time.Second)
	}
	want(t, "copies before the leases are over", len(agent.running()), 0)
	for i := range 9 {
		sim.agents[fmt.Sprintf("vm-%d", i)].expireLease()
	}
	for range 8 {
		agent.heartbeat()
		sim.advance(time.Second)
	}
	want(t, "copies after", len(agent.running()), 4)
}

// A stream that broke may have missed reports: its clock starts anew.
func TestNewStreamRestartsTheLeaseTimer(t *testing.T) {
	sim := newSimulation(t, "a", "b")
	for i := range 9 {
		sim.addMachine(fmt.Sprintf("vm-%d", i), "z1")
	}
	sim.run(2 * time.Second)
	follower := sim.follower()
	want(t, "submit", follower.submit(batchJob("wk-1", 36)).Status, 201)
	sim.run(4 * time.Second)
	want(t, "running", sim.runningTasks(), 36)
	for i := range 9 {
		sim.agents[fmt.Sprintf("vm-%d", i)].silent = true
	}
	alive := sim.addMachine("vm-x", "z2") // else the leader would think itself cut off
	alive.dropsStarts = true
	pass := func(d time.Duration) {
		for end := sim.now + d; sim.now < end; {
			sim.advance(time.Second)
			alive.heartbeat()
		}
	}
	pass(10 * time.Second)
	sim.disconnect("a", "b")
	sim.advance(time.Second)
	sim.connect("a", "b")
	pass(12 * time.Second)
	lost := 0
	for i := range follower.controller.owner.Job("wk-1").Spec().Tasks {
		if p := follower.controller.owner.Job("wk-1").TaskState(i); p != shard.TaskPlaced {
			lost++
		}
	}
	want(t, "tasks judged lost", lost, 0)
	alive.silent = true
	sim.advance(9 * time.Second)
	want(t, "located once a lease has passed on the new stream", follower.controller.owner.Job("wk-1").Active(), 0)
}

func TestSilentMachineIsReturnedAndReplicatedAtOnce(t *testing.T) {
	sim := newSimulation(t, "a", "b", "c")
	agent1, agent2 := sim.addMachine("vm-1", "z1"), sim.addMachine("vm-2", "z1")
	sim.run(2 * time.Second)
	want(t, "submit", sim.nodes["b"].submit(batchJob("wk-1", 1)).Status, 201)
	sim.run(3 * time.Second)
	if len(agent2.running()) == 1 {
		agent1, agent2 = agent2, agent1
	}
	agent1.silent = true
	for range 10 {
		agent2.heartbeat()
		sim.advance(time.Second)
	}
	want(t, "returned", fmt.Sprint(sim.cloud.released), fmt.Sprint([]string{agent1.name}))
	want(t, "replica", len(agent2.running()), 1)
}

// Tasks that are on machines when all controllers die, and whose job was
// withdrawn, are unknown to the new ones: they are stopped all the same.
func TestOrphansAreStopped(t *testing.T) {
	sim := newSimulation(t, "a", "b", "c")
	agent := sim.addMachine("vm-1", "z1")
	sim.run(2 * time.Second)
	want(t, "submit", sim.nodes["a"].submit(batchJob("wk-1", 4)).Status, 201)
	sim.run(3 * time.Second)
	code, status := sim.nodes["a"].cancel("wk-1")
	want(t, "abort", fmt.Sprintf("%d %s", code, status), "200 withdrawn")
	for _, name := range sim.names {
		sim.crash(name)
	}
	sim.advance(8 * time.Second)
	for _, name := range sim.names {
		sim.start(name)
	}
	sim.run(10 * time.Second)
	want(t, "left on the machine", len(agent.tasks), 0)
}

// The next leader knows from the state service which machines have to be
// heard of; machines that were returned hold nothing up.
func TestNextLeaderKnowsTheMachines(t *testing.T) {
	sim := newSimulation(t, "a", "b", "c")
	sim.addMachine("vm-1", "z1")
	sim.addMachine("vm-2", "z2")
	sim.run(3 * time.Second)
	want(t, "submit", sim.nodes["a"].submit(batchJob("wk-1", 8)).Status, 201)
	sim.run(3 * time.Second)
	want(t, "running", sim.runningTasks(), 8)
	sim.agents["vm-2"].preemptionNotice = 30.0
	sim.agents["vm-2"].finishTasks("done")
	sim.run(6 * time.Second)
	want(t, "returned", fmt.Sprint(sim.cloud.released), "[vm-2]")
	want(t, "more", sim.nodes["a"].submit(batchJob("wk-2", 8)).Status, 201)
	for _, name := range sim.names {
		sim.crash(name)
	}
	sim.advance(8 * time.Second)
	sim.agents["vm-1"].finishTasks("done")
	for _, name := range sim.names {
		sim.start(name)
	}
	sim.run(6 * time.Second)
	want(t, "running soon after", sim.runningTasks(), 4)
}

// A ledger may be dropped in the very batch in which something of its jobs has
// changed. The leader was told that they are over then, and never offered them
// anything again, whoever held the ledger next.
func TestChangedJobsOfALostShardContinue(t *testing.T) {
	sim := newSimulation(t, "a", "b", "c")
	follower := sim.follower()
	want(t, "submit", follower.submit(batchJob("wk-1", 2)).Status, 201)
	sim.run(2 * time.Second)
	j := follower.controller.owner.Job("wk-1")
	follower.controller.owner.MarkChanged(j)
	follower.controller.election.ReleaseShard(follower.name, election.ReleasedToOwnMember)
	sim.deliverAll()
	sim.addMachine("vm-1", "z1")
	sim.run(beyondAnyLease)
	want(t, "running", sim.runningTasks(), 2)
}
