package coordination

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/cobaltvale/cobaltvale/internal/protocol"
	"github.com/cobaltvale/cobaltvale/internal/simtest"
)

func TestUrgentWorkPreemptsStandardWork(t *testing.T) {
	sim := newSimulation(t, "a", "b", "c")
	agent := sim.AddMachine("vm-1", "z1")
	sim.Run(2 * time.Second)
	requireEqual(t, "submit", sim.Nodes["a"].Submit(simtest.BatchJob("wk-1", 4)).Status, 201)
	sim.Run(3 * time.Second)
	requireEqual(t, "urgent", sim.Nodes["b"].Submit(simtest.BatchJob("wk-2", 2).With("urgency", "urgent")).Status, 201)
	sim.Run(4 * time.Second)
	both := strings.Join(agent.Running(), " ")
	requireEqual(t, "running of each", fmt.Sprint(strings.Count(both, "wk-1/"), strings.Count(both, "wk-2/")), "2 2")
	requireEqual(t, "more urgent", sim.Nodes["b"].Submit(simtest.BatchJob("wk-3", 4).With("urgency", "urgent").With("crew", "red")).Status, 201)
	sim.Run(4 * time.Second)
	for _, task := range agent.Running() {
		if strings.HasPrefix(task, "wk-1") {
			t.Fatalf("standard work still runs: %v", agent.Running())
		}
	}
	requireEqual(t, "tasks of the first urgent job that still run", strings.Join(agent.Running()[:2], " "), "wk-2/0 wk-2/1")
}

func TestFairShareBetweenTeams(t *testing.T) {
	sim := newSimulation(t, "a")
	sim.AddMachines(4)
	requireEqual(t, "submit", sim.Nodes["a"].Submit(simtest.BatchJob("wk-1", 100).With("crew", "red")).Status, 201)
	requireEqual(t, "submit", sim.Nodes["a"].Submit(simtest.BatchJob("wk-2", 100)).Status, 201)
	sim.Run(6 * time.Second)
	red := controllerOf(sim.Nodes["a"]).owner.Job("wk-1").Running()
	blue := controllerOf(sim.Nodes["a"]).owner.Job("wk-2").Running()
	requireEqual(t, "running", fmt.Sprint(red, blue), "8 8")
}

func TestSingleZoneAndSpreadZones(t *testing.T) {
	sim := newSimulation(t, "a")
	for i := range 4 {
		sim.AddMachine(fmt.Sprintf("vm-%d", i), []string{"z1", "z2"}[i%2])
	}
	zones := func(job string) map[string]int {
		out := make(map[string]int)
		for _, agent := range sim.Agents {
			for _, task := range agent.Running() {
				if strings.HasPrefix(task, job+"/") {
					out[agent.Zone]++
				}
			}
		}
		return out
	}
	requireEqual(t, "submit", sim.Nodes["a"].Submit(simtest.BatchJob("wk-1", 6).With("together", true)).Status, 201)
	sim.Run(4 * time.Second)
	requireEqual(t, "zones of a job with all tasks in one zone", len(zones("wk-1")), 1)
	requireEqual(t, "submit", sim.Nodes["a"].Submit(simtest.BatchJob("wk-2", 5).With("apart", true)).Status, 201)
	sim.Run(5 * time.Second)
	for z, n := range zones("wk-2") {
		if n > 3 {
			t.Fatalf("%d of 5 tasks are in %s, want at most 3", n, z)
		}
	}
	requireEqual(t, "submit", sim.Nodes["a"].Submit(simtest.BatchJob("wk-3", 1).With("hall", "z2").With("urgency", "production")).Status, 201)
	sim.Run(5 * time.Second)
	requireEqual(t, "in its zone", zones("wk-3")["z2"], 1)
}

func TestSpotNoticeDrainsTheMachine(t *testing.T) {
	sim := newSimulation(t, "a")
	agent1, agent2 := sim.AddMachine("vm-1", "z1"), sim.AddMachine("vm-2", "z1")
	sim.Run(2 * time.Second)
	requireEqual(t, "submit", sim.Nodes["a"].Submit(simtest.BatchJob("wk-1", 2)).Status, 201)
	sim.Run(3 * time.Second)
	if len(agent1.Running()) == 0 {
		agent1, agent2 = agent2, agent1
	}
	agent1.PreemptionNotice = 10.0
	sim.Run(5 * time.Second)
	requireEqual(t, "moved", len(agent2.Running()), 2)
	requireEqual(t, "released machines", fmt.Sprint(sim.Cloud.ReleasedMachines), fmt.Sprint([]string{agent1.Name}))
}

func TestFailingMachineIsQuarantinedForSeveralJobsOnly(t *testing.T) {
	sim := newSimulation(t, "a")
	sim.AddMachines(4)
	sim.Run(2 * time.Second)
	requireEqual(t, "failing job", sim.Nodes["a"].Submit(simtest.BatchJob("wk-1", 4)).Status, 201)
	for range 40 {
		for _, agent := range sim.Agents {
			agent.FinishTasks("error")
		}
		sim.Run(time.Second)
	}
	requireEqual(t, "machines released because of a failing job", len(sim.Cloud.ReleasedMachines), 0)
	starts := 0
	for _, agent := range sim.Agents {
		starts += agent.Starts
	}
	if starts > 60 {
		t.Fatalf("a job that fails everywhere was started %d times in 40 s, want at most 60", starts)
	}
	code, _ := sim.Nodes["a"].Cancel("wk-1")
	requireEqual(t, "cancellation", code, 200)
	sim.Run(3 * time.Second)
	for i := range 8 {
		requireEqual(t, "submit", sim.Nodes["a"].Submit(simtest.BatchJob(fmt.Sprintf("wk-%d", 10+i), 2)).Status, 201)
	}
	failing := sim.Agents["vm-2"]
	for range 10 {
		failing.FinishTasks("error")
		sim.Run(time.Second)
	}
	requireEqual(t, "released machines", fmt.Sprint(sim.Cloud.ReleasedMachines), "[vm-2]")
}

func TestScaleOutForDemandAndScaleInWhenIdle(t *testing.T) {
	sim := newSimulation(t, "a", "b", "c")
	sim.Cloud.LosesResponses = true
	requireEqual(t, "submit", sim.Nodes["b"].Submit(simtest.BatchJob("wk-1", 16)).Status, 201)
	sim.Advance(8 * time.Second)
	names := make(map[string]int)
	for _, request := range sim.Cloud.ScaleOutRequests {
		names[request.RequestID] = request.Count
		requireEqual(t, "spot", request.Spot, true)
	}
	total := 0
	for _, n := range names {
		total += n
	}
	requireEqual(t, "machines requested while all responses are lost", total, 4)
	sim.Cloud.LosesResponses = false
	sim.Advance(8 * time.Second)
	for _, m := range append([]simtest.CloudMachine(nil), sim.Cloud.Machines...) {
		sim.StartAgent(m)
	}
	sim.Run(4 * time.Second)
	requireEqual(t, "running", sim.runningTasks(), 16)
	sim.FinishAllTasks()
	sim.Run(2 * time.Minute)
	requireEqual(t, "released machines", len(sim.Cloud.ReleasedMachines), 4)
	sim.requireStatus(sim.Nodes["a"], "wk-1", 200, "done")
}

// A machine whose boot never ends is charged until it is released, so it has to be
// released and replaced.
func TestFailedBootsAreReleasedAndReplaced(t *testing.T) {
	sim := newSimulation(t, "a")
	requireEqual(t, "submit", sim.Nodes["a"].Submit(simtest.BatchJob("wk-1", 4)).Status, 201)
	sim.Advance(3 * time.Minute)
	requireEqual(t, "released machines", sim.Cloud.ReleasedMachines[0], "vm-900001")
	if sim.Cloud.CreatedMachines < 2 {
		t.Fatal("no other machine was rented")
	}
}

// Urgent work must not preempt tasks on a machine that it would not be offered: the
// preempted tasks would start there again and be preempted again forever.
func TestNoPreemptionForWorkPlacedElsewhere(t *testing.T) {
	sim := newSimulation(t, "a")
	sim.Cloud.ExtraMachineTypes = []protocol.MachineType{{Name: "s2", CPUs: 2, MemoryGB: 8, CacheGB: 50, FetchRate: 1, Price: 0.3, SpotPrice: 0.1, BootS: 30, Zones: []string{"z1"}}}
	agent := sim.AddMachine("vm-1", "z1")
	sim.Run(15 * time.Second) // until the leader has read the catalog again
	requireEqual(t, "submit", sim.Nodes["a"].Submit(simtest.BatchJob("wk-1", 2).With("vcpus", 4.0)).Status, 201)
	sim.Run(5 * time.Second)
	requireEqual(t, "running", len(agent.Running()), 2)
	requireEqual(t, "urgent", sim.Nodes["a"].Submit(simtest.BatchJob("wk-2", 4).With("urgency", "urgent")).Status, 201)
	sim.Run(6 * time.Second)
	requireEqual(t, "standard tasks that still run", strings.Join(agent.Running(), " "), "wk-1/0 wk-1/1")
	requireEqual(t, "starts", agent.Starts, 2)
}

// While a shard is not registered, all tasks of its jobs count towards the limits of their
// teams, since all of them may be running.
func TestUnregisteredShardsCountInFull(t *testing.T) {
	sim := newSimulation(t, "a", "b", "c")
	sim.AddMachine("vm-1", "z1")
	sim.Run(2 * time.Second)
	follower, lead := sim.Follower(), sim.Leader()
	requireEqual(t, "submit", follower.Submit(simtest.BatchJob("wk-1", 12).With("crew", "red")).Status, 201)
	sim.Run(3 * time.Second)
	requireEqual(t, "running", sim.runningTasks(), 4)
	sim.Crash(follower.Name)
	requireEqual(t, "CPUs counted after the owner has crashed", controllerOf(lead).leader.usage.teams["red"].cpus, 24)
	sim.State.HiddenPrefix = "own/" + follower.Name
	sim.Crash(lead.Name)
	sim.Advance(4 * time.Second)
	next := sim.Leader()
	status := 503 // while the last request to the state service was rejected
	for range 20 {
		if status == 503 {
			status = next.Submit(simtest.BatchJob("wk-2", 4).With("crew", "red")).Status
		}
	}
	requireEqual(t, "submit", status, 201)
	sim.Agents["vm-1"].FinishTasks("done")
	sim.Run(3 * time.Second)
	requireEqual(t, "running while a shard's jobs are not read", sim.runningTasks(), 0)
	sim.State.HiddenPrefix = ""
	sim.Run(12 * time.Second)
	requireEqual(t, "running", sim.runningTasks(), 4)
}

// A team releases what it has borrowed beyond its guarantee, and no more than that, when
// another team uses less than its own guarantee and no machine can be created.
func TestBorrowedCapacityIsReleased(t *testing.T) {
	sim := newSimulation(t, "a")
	sim.Cloud.RejectsScaleOut = true
	sim.AddMachine("vm-1", "z1")
	sim.AddMachine("vm-2", "z1")
	sim.Run(15 * time.Second)
	n := sim.Nodes["a"]
	requireEqual(t, "submit", n.Submit(simtest.BatchJob("wk-1", 20).With("crew", "red")).Status, 201)
	sim.Run(10 * time.Second)
	requireEqual(t, "red running", controllerOf(n).owner.Job("wk-1").Running(), 8)
	requireEqual(t, "submit", n.Submit(simtest.BatchJob("wk-2", 20)).Status, 201)
	sim.Run(20 * time.Second)
	requireEqual(t, "running of each", fmt.Sprint(controllerOf(n).owner.Job("wk-1").Running(), controllerOf(n).owner.Job("wk-2").Running()), "4 4")
	starts := 0
	for _, agent := range sim.Agents {
		starts += agent.Starts
	}
	sim.Run(20 * time.Second)
	for _, agent := range sim.Agents {
		starts -= agent.Starts
	}
	requireEqual(t, "starts after each team has its guarantee", starts, 0)
}
