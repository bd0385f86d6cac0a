package coordination

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/cobaltvale/cobaltvale/internal/protocol"
)

func TestUrgentWorkPreemptsStandardWork(t *testing.T) {
	sim := newSimulation(t, "a", "b", "c")
	agent := sim.addMachine("vm-1", "z1")
	sim.run(2 * time.Second)
	want(t, "submit", sim.nodes["a"].submit(batchJob("wk-1", 4)).Status, 201)
	sim.run(3 * time.Second)
	want(t, "urgent", sim.nodes["b"].submit(batchJob("wk-2", 2).with("urgency", "urgent")).Status, 201)
	sim.run(4 * time.Second)
	both := strings.Join(agent.running(), " ")
	want(t, "running of each", fmt.Sprint(strings.Count(both, "wk-1/"), strings.Count(both, "wk-2/")), "2 2")
	want(t, "more urgent", sim.nodes["b"].submit(batchJob("wk-3", 4).with("urgency", "urgent").with("crew", "red")).Status, 201)
	sim.run(4 * time.Second)
	for _, task := range agent.running() {
		if strings.HasPrefix(task, "wk-1") {
			t.Fatalf("standard work still runs: %v", agent.running())
		}
	}
	want(t, "urgent work is not stopped for urgent work", strings.Join(agent.running()[:2], " "), "wk-2/0 wk-2/1")
}

func TestFairShareBetweenTeams(t *testing.T) {
	sim := newSimulation(t, "a")
	for i := range 4 {
		sim.addMachine(fmt.Sprintf("vm-%d", i), "z1")
	}
	want(t, "submit", sim.nodes["a"].submit(batchJob("wk-1", 100).with("crew", "red")).Status, 201)
	want(t, "submit", sim.nodes["a"].submit(batchJob("wk-2", 100)).Status, 201)
	sim.run(6 * time.Second)
	red := sim.nodes["a"].controller.owner.Job("wk-1").Running()
	blue := sim.nodes["a"].controller.owner.Job("wk-2").Running()
	want(t, "running", fmt.Sprint(red, blue), "8 8")
}

func TestSingleZoneAndSpreadZones(t *testing.T) {
	sim := newSimulation(t, "a")
	for i := range 4 {
		sim.addMachine(fmt.Sprintf("vm-%d", i), []string{"z1", "z2"}[i%2])
	}
	zones := func(job string) map[string]int {
		out := make(map[string]int)
		for _, agent := range sim.agents {
			for _, task := range agent.running() {
				if strings.HasPrefix(task, job+"/") {
					out[agent.zone]++
				}
			}
		}
		return out
	}
	want(t, "submit", sim.nodes["a"].submit(batchJob("wk-1", 6).with("together", true)).Status, 201)
	sim.run(4 * time.Second)
	want(t, "zones of a job that stays together", len(zones("wk-1")), 1)
	want(t, "submit", sim.nodes["a"].submit(batchJob("wk-2", 5).with("apart", true)).Status, 201)
	sim.run(5 * time.Second)
	for z, n := range zones("wk-2") {
		if n > 3 {
			t.Fatalf("%d of 5 tasks are in %s", n, z)
		}
	}
	want(t, "submit", sim.nodes["a"].submit(batchJob("wk-3", 1).with("hall", "z2").with("urgency", "production")).Status, 201)
	sim.run(5 * time.Second)
	want(t, "in its zone", zones("wk-3")["z2"], 1)
}

func TestSpotNoticeDrainsTheMachine(t *testing.T) {
	sim := newSimulation(t, "a")
	agent1, agent2 := sim.addMachine("vm-1", "z1"), sim.addMachine("vm-2", "z1")
	sim.run(2 * time.Second)
	want(t, "submit", sim.nodes["a"].submit(batchJob("wk-1", 2)).Status, 201)
	sim.run(3 * time.Second)
	if len(agent1.running()) == 0 {
		agent1, agent2 = agent2, agent1
	}
	agent1.preemptionNotice = 10.0
	sim.run(5 * time.Second)
	want(t, "moved", len(agent2.running()), 2)
	want(t, "returned", fmt.Sprint(sim.cloud.released), fmt.Sprint([]string{agent1.name}))
}

func TestFailingMachineIsQuarantinedForSeveralJobsOnly(t *testing.T) {
	sim := newSimulation(t, "a")
	for i := range 4 {
		sim.addMachine(fmt.Sprintf("vm-%d", i), "z1")
	}
	sim.run(2 * time.Second)
	want(t, "bad job", sim.nodes["a"].submit(batchJob("wk-1", 4)).Status, 201)
	for range 40 {
		for _, agent := range sim.agents {
			agent.finishTasks("error")
		}
		sim.run(time.Second)
	}
	want(t, "machines returned for a bad job", len(sim.cloud.released), 0)
	starts := 0
	for _, agent := range sim.agents {
		starts += agent.starts
	}
	if starts > 60 {
		t.Fatalf("a job that fails everywhere was started %d times in 40 s", starts)
	}
	code, _ := sim.nodes["a"].cancel("wk-1")
	want(t, "abort", code, 200)
	sim.run(3 * time.Second)
	for i := range 8 {
		want(t, "submit", sim.nodes["a"].submit(batchJob(fmt.Sprintf("wk-%d", 10+i), 2)).Status, 201)
	}
	sick := sim.agents["vm-2"]
	for range 10 {
		sick.finishTasks("error")
		sim.run(time.Second)
	}
	want(t, "returned", fmt.Sprint(sim.cloud.released), "[vm-2]")
}

func TestScaleOutForDemandAndScaleInWhenIdle(t *testing.T) {
	sim := newSimulation(t, "a", "b", "c")
	sim.cloud.losesResponses = true
	want(t, "submit", sim.nodes["b"].submit(batchJob("wk-1", 16)).Status, 201)
	sim.advance(8 * time.Second)
	names := make(map[string]int)
	for _, request := range sim.cloud.scaleOutRequests {
		names[request.RequestID] = request.Count
		want(t, "spot", request.Spot, true)
	}
	total := 0
	for _, n := range names {
		total += n
	}
	want(t, "machines asked for while requests go unanswered", total, 4)
	sim.cloud.losesResponses = false
	sim.advance(8 * time.Second)
	for _, m := range append([]cloudMachine(nil), sim.cloud.machines...) {
		sim.agents[m.name] = &machineAgent{sim: sim, name: m.name, zone: m.zone, epoch: 1, tasks: make(map[string]*agentTask)}
	}
	sim.run(4 * time.Second)
	want(t, "running", sim.runningTasks(), 16)
	for _, agent := range sim.agents {
		agent.finishTasks("done")
	}
	sim.run(2 * time.Minute)
	want(t, "returned", len(sim.cloud.released), 4)
	sim.wantStatus(sim.nodes["a"], "wk-1", 200, "done")
}

// A boot that never ends is charged until the machine is returned.
func TestFailedBootsAreReturnedAndReplaced(t *testing.T) {
	sim := newSimulation(t, "a")
	want(t, "submit", sim.nodes["a"].submit(batchJob("wk-1", 4)).Status, 201)
	sim.advance(3 * time.Minute)
	want(t, "returned", sim.cloud.released[0], "vm-900001")
	if sim.cloud.created < 2 {
		t.Fatal("no other machine was rented")
	}
}

// Urgent work that would not be offered the room must not stop anything for
// it: the stopped tasks would start again and be stopped again for ever.
func TestNoPreemptionForWorkPlacedElsewhere(t *testing.T) {
	sim := newSimulation(t, "a")
	sim.cloud.moreTypes = []protocol.MachineType{{Name: "s2", CPUs: 2, MemoryGB: 8, CacheGB: 50, FetchRate: 1, Price: 0.3, SpotPrice: 0.1, BootS: 30, Zones: []string{"z1"}}}
	agent := sim.addMachine("vm-1", "z1")
	sim.run(15 * time.Second) // the leader reads prices anew
	want(t, "submit", sim.nodes["a"].submit(batchJob("wk-1", 2).with("vcpus", 4.0)).Status, 201)
	sim.run(5 * time.Second)
	want(t, "running", len(agent.running()), 2)
	want(t, "urgent", sim.nodes["a"].submit(batchJob("wk-2", 4).with("urgency", "urgent")).Status, 201)
	sim.run(6 * time.Second)
	want(t, "standard work runs on", strings.Join(agent.running(), " "), "wk-1/0 wk-1/1")
	want(t, "starts", agent.starts, 2)
}

// A ledger that nobody answers for may have all its tasks running.
func TestUnregisteredShardsCountInFull(t *testing.T) {
	sim := newSimulation(t, "a", "b", "c")
	sim.addMachine("vm-1", "z1")
	sim.run(2 * time.Second)
	follower, lead := sim.follower(), sim.leader()
	want(t, "submit", follower.submit(batchJob("wk-1", 12).with("crew", "red")).Status, 201)
	sim.run(3 * time.Second)
	want(t, "running", sim.runningTasks(), 4)
	sim.crash(follower.name)
	want(t, "CPUs counted after the owner's end", lead.controller.leader.usage.teams["red"].cpus, 24)
	sim.state.hiddenPrefix = "own/" + follower.name
	sim.crash(lead.name)
	sim.advance(4 * time.Second)
	next := sim.leader()
	status := 503 // as long as the last request to the state service was refused
	for range 20 {
		if status == 503 {
			status = next.submit(batchJob("wk-2", 4).with("crew", "red")).Status
		}
	}
	want(t, "submit", status, 201)
	sim.agents["vm-1"].finishTasks("done")
	sim.run(3 * time.Second)
	want(t, "running while a ledger is unread", sim.runningTasks(), 0)
	sim.state.hiddenPrefix = ""
	sim.run(12 * time.Second)
	want(t, "running", sim.runningTasks(), 4)
}

// A team gives back what it has borrowed beyond its guarantee when another
// lacks part of its own and no machine can be had, but nothing more.
func TestBorrowedCapacityIsReturned(t *testing.T) {
	sim := newSimulation(t, "a")
	sim.cloud.refusesScaleOut = true
	sim.addMachine("vm-1", "z1")
	sim.addMachine("vm-2", "z1")
	sim.run(15 * time.Second)
	n := sim.nodes["a"]
	want(t, "submit", n.submit(batchJob("wk-1", 20).with("crew", "red")).Status, 201)
	sim.run(10 * time.Second)
	want(t, "red running", n.controller.owner.Job("wk-1").Running(), 8)
	want(t, "submit", n.submit(batchJob("wk-2", 20)).Status, 201)
	sim.run(20 * time.Second)
	want(t, "running of each", fmt.Sprint(n.controller.owner.Job("wk-1").Running(), n.controller.owner.Job("wk-2").Running()), "4 4")
	starts := 0
	for _, agent := range sim.agents {
		starts += agent.starts
	}
	sim.run(20 * time.Second)
	for _, agent := range sim.agents {
		starts -= agent.starts
	}
	want(t, "starts once each has its guarantee", starts, 0)
}
