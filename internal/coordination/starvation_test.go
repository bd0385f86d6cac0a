package coordination

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/cobaltvale/cobaltvale/internal/protocol"
	"github.com/cobaltvale/cobaltvale/internal/simtest"
)

// newFixedFleet starts a controller and a number of machines whose tasks run for
// taskDuration. No more machines can be created.
func newFixedFleet(t *testing.T, machines int, taskDuration time.Duration) (*simulation, *simtest.Node) {
	t.Helper()
	sim := newSimulation(t, "a")
	sim.Cloud.RejectsScaleOut = true
	for i := range machines {
		sim.AddMachine(fmt.Sprintf("vm-%d", i), "z1").TaskDuration = taskDuration
	}
	sim.Run(3 * time.Second)
	return sim, sim.Nodes["a"]
}

// measureTimeToStart submits a job and returns the time until a task of it runs.
// Before each second eachSecond is called, to submit other work.
func (sim *simulation) measureTimeToStart(n *simtest.Node, request simtest.JobRequest, timeout time.Duration, eachSecond func(second int)) time.Duration {
	sim.T.Helper()
	id := request["nameId"].(string)
	if r := n.Submit(request); r.Status != 201 {
		sim.T.Fatalf("submission of %s: status %d, want 201", id, r.Status)
	}
	at := sim.Now()
	for s := 0; sim.Now() < at+timeout; s++ {
		eachSecond(s)
		sim.Run(time.Second)
		if _, st := n.Status(id); st.Running != nil && *st.Running > 0 {
			return sim.Now() - at
		}
	}
	sim.T.Fatalf("no task of %s has started within %v", id, timeout)
	return 0
}

const startTimeout = 240 * time.Second

// Urgent work that permanently asks for more than the fleet has must not keep standard
// jobs from starting: users measure a class by when its jobs start.
func TestUrgentWorkDoesNotStarveStandardWork(t *testing.T) {
	sim, n := newFixedFleet(t, 4, 5*time.Second)
	flood := func(s int) {
		n.Submit(simtest.BatchJob(fmt.Sprintf("wk-9%d", s), 12).With("urgency", "urgent").With("plate", "u"))
	}
	for s := range 20 {
		flood(1000 + s)
		sim.Run(time.Second)
	}
	sim.measureTimeToStart(n, simtest.BatchJob("wk-1", 4), startTimeout, flood)
	for s := range 60 { // the started tasks must not be preempted at once
		flood(300 + s)
		sim.Run(time.Second)
	}
	if _, st := n.Status("wk-1"); *st.Done == 0 {
		t.Fatal("no task of the standard job has finished")
	}
	sim.measureTimeToStart(n, simtest.BatchJob("wk-2", 40).With("vcpus", 8.0), startTimeout, func(s int) { flood(500 + s) })
}

// Room that becomes free in small parts must not always go to small tasks while a task of
// the same priority that needs a whole machine waits.
func TestPackingDoesNotStarveLargeTasks(t *testing.T) {
	sim, n := newFixedFleet(t, 3, 6*time.Second)
	for _, agent := range sim.Agents {
		agent.DurationSpread = 900 * time.Millisecond
	}
	small := func(s int) { n.Submit(simtest.BatchJob(fmt.Sprintf("wk-9%d", s), 8).With("pressByS", 20.0)) }
	for s := range 20 {
		small(1000 + s)
		sim.Run(time.Second)
	}
	sim.measureTimeToStart(n, simtest.BatchJob("wk-1", 3).With("vcpus", 8.0).With("ramGb", 60.0), startTimeout, small)
}

// Work whose image no machine has must not wait forever behind work whose image all of
// them have, even if a fetch takes longer than a run.
func TestImageAffinityDoesNotStarve(t *testing.T) {
	sim, n := newFixedFleet(t, 3, 6*time.Second)
	usual := func(s int) {
		n.Submit(simtest.BatchJob(fmt.Sprintf("wk-9%d", s), 12).With("plate", "usual").With("imageGb", 40.0))
	}
	for s := range 20 {
		usual(1000 + s)
		sim.Run(time.Second)
	}
	sim.measureTimeToStart(n, simtest.BatchJob("wk-1", 1).With("vcpus", 8.0).With("plate", "rare").With("imageGb", 40.0), startTimeout, usual)

	// Nor must it wait for the only machine that has its image while that is busy for long.
	for _, agent := range sim.Agents {
		for _, task := range agent.Tasks {
			if strings.HasPrefix(task.Name, "wk-1/") {
				agent.TaskDuration = time.Hour
			}
		}
	}
	sim.Run(20 * time.Second)
	sim.measureTimeToStart(n, simtest.BatchJob("wk-2", 1).With("plate", "rare").With("imageGb", 40.0), startTimeout, usual)
}

// A team with a small guarantee gets its share, even for its largest array, while a team
// with a large guarantee asks for more than the fleet has.
func TestSmallSharesDoNotStarve(t *testing.T) {
	sim, n := newFixedFleet(t, 3, 5*time.Second)
	flood := func(s int) { n.Submit(simtest.BatchJob(fmt.Sprintf("wk-9%d", s), 12).With("crew", "red")) }
	for s := range 20 {
		flood(1000 + s)
		sim.Run(time.Second)
	}
	sim.measureTimeToStart(n, simtest.BatchJob("wk-1", 100), startTimeout, flood)
}

// A job whose tasks were preempted as often as it has tasks is not preempted any more, so
// that it ends.
func TestPreemptionOfAJobIsBounded(t *testing.T) {
	sim, n := newFixedFleet(t, 2, 20*time.Second)
	requireEqual(t, "submit", n.Submit(simtest.BatchJob("wk-1", 4).With("vcpus", 4.0)).Status, 201)
	sim.Run(3 * time.Second)
	for s := range 240 {
		if s%30 == 0 { // the time between two urgent jobs is too short for wk-1: it ends only with the bound
			n.Submit(simtest.BatchJob(fmt.Sprintf("wk-9%d", s), 4).With("vcpus", 4.0).With("urgency", "urgent"))
		}
		sim.Run(time.Second)
		if _, st := n.Status("wk-1"); st.Status == protocol.StatusDone {
			return
		}
	}
	t.Fatal("the job has not ended: urgent work keeps preempting it")
}

// After a crash of all controllers, tasks that may still run on lost machines count towards
// their team's limit. That use must end with the leases of the machines, so that new work
// of the team starts.
func TestLimitIsReleasedAfterACrash(t *testing.T) {
	sim := newSimulation(t, "a", "b", "c")
	for i := range 5 {
		sim.AddMachine(fmt.Sprintf("vm-%d", i), "z1").TaskDuration = 5 * time.Second
	}
	sim.Run(3 * time.Second)
	for i, n := range sim.Members {
		requireEqual(t, "submit", sim.Nodes[n].Submit(simtest.BatchJob(fmt.Sprint("wk-1", i), 10).With("crew", "red")).Status, 201)
	}
	sim.Run(4 * time.Second)
	sim.Cloud.RejectsRelease = true // so that no release proves the lost machines terminated
	sim.CrashAll()
	for _, agent := range sim.Agents {
		agent.Silent = true // no machine comes back
	}
	sim.StartMembers()
	for i := range 2 {
		sim.AddMachine(fmt.Sprintf("vm-7%d", i), "z2").TaskDuration = 5 * time.Second
	}
	sim.Run(16 * time.Second)
	for _, agent := range sim.Agents {
		if agent.Silent {
			agent.ExpireLease()
		}
	}
	n := sim.Leader()
	sim.measureTimeToStart(n, simtest.BatchJob("wk-5", 2).With("crew", "red"), startTimeout, func(int) {})
}

// The work for a heartbeat does not grow with the number of machines or jobs.
func TestCostOfAHeartbeatIsIndependentOfFleetSize(t *testing.T) {
	perHeartbeat := func(machines, jobs int) float64 {
		sim, n := newFixedFleet(t, machines, 0)
		requireEqual(t, "submit", n.Submit(simtest.BatchJob("wk-0", machines).With("vcpus", 5.0).With("plate", "img-0")).Status, 201)
		sim.Run(3 * time.Second)
		requireEqual(t, "running", sim.runningTasks(), machines)
		// None of these fits next to the running tasks: there are too few CPUs or too little memory.
		for i := range jobs {
			request := simtest.BatchJob(fmt.Sprintf("wk-1%d", i), 3).With("plate", fmt.Sprint("img-", i%12)).With("vcpus", 8.0)
			if i%2 == 0 {
				request.With("vcpus", 1.0).With("ramGb", 64.0)
			}
			requireEqual(t, "submit", n.Submit(request).Status, 201)
			sim.Advance(50 * time.Millisecond)
			if i%40 == 39 {
				sim.Run(time.Second)
			}
		}
		sim.Run(2 * time.Second)
		sim.AddMachine("vm-last", "z1").Heartbeat() // does all periodic work that is due
		delete(sim.Agents, "vm-last")
		pending := &controllerOf(n).leader.scheduler.queue
		controllerOf(n).leader.scheduler.rebuildQueue(sim.Now())
		before, at := pending.entriesInspected, pending.rebuiltAt
		for _, name := range sim.AgentNames() {
			sim.Agents[name].Heartbeat()
		}
		if pending.rebuiltAt != at {
			t.Fatal("the scheduling order was rebuilt during the measurement")
		}
		return float64(pending.entriesInspected-before) / float64(machines)
	}
	// The machine has one image, and may fetch the others.
	const limit = (1 + maxFetchCandidates) * queueLookAhead
	for _, size := range []struct{ machines, jobs int }{{20, 40}, {200, 600}} {
		if got := perHeartbeat(size.machines, size.jobs); got == 0 || got > limit {
			t.Fatalf("with %d machines and %d jobs a heartbeat looks at %.1f jobs and queues, want 1 to %d", size.machines, size.jobs, got, limit)
		}
	}
}

// Best-effort tasks, here of a guest team without a guarantee, are preempted for standard
// work as far as whole standard tasks fit in their place, also if they occupy all machines
// and no more can be created. The job has started nevertheless: its first task is exempt.
// It continues, with its checkpoints if it writes them, once the standard tasks have ended.
func TestBestEffortWorkIsPreempted(t *testing.T) {
	for _, checkpoints := range []bool{true, false} {
		t.Run(fmt.Sprint("checkpoints: ", checkpoints), func(t *testing.T) {
			sim := newSimulation(t, "a", "b", "c")
			sim.AddMachines(4)
			sim.Run(2 * time.Second)
			guest := simtest.BatchJob("wk-1", 40).With("crew", "guest").With("urgency", "best_effort").With("expectedS", 300.0)
			if checkpoints {
				guest.With("proofEveryS", 30.0).With("proofS", 2.0)
			}
			requireEqual(t, "guest", sim.Leader().Submit(guest).Status, 201)
			sim.Run(10 * time.Second)
			requireEqual(t, "guest's tasks", sim.runningTasks(), 16)
			sim.Cloud.RejectsScaleOut = true
			owner := sim.Follower()
			requireEqual(t, "standard job", owner.Submit(simtest.BatchJob("wk-2", 5).With("crew", "red").With("vcpus", 6.0)).Status, 201)
			sim.Run(8 * time.Second)
			count := func(job string) int {
				n := 0
				for _, agent := range sim.Agents {
					for _, name := range agent.Running() {
						if strings.HasPrefix(name, job+"/") {
							n++
						}
					}
				}
				return n
			}
			// Each machine of 8 CPUs holds a standard task of 6 and a guest's task of 2. On one
			// of them the latter is the guest's first task, which keeps running: the standard
			// task has the place of the three others of 2 CPUs.
			requireEqual(t, "standard tasks", count("wk-2"), 4)
			requireEqual(t, "remaining tasks of the guest", count("wk-1"), 4)
			requireEqual(t, "the guest's first task runs", fmt.Sprint(sim.machineOfTask("wk-1/0") != nil), "true")
			for range 30 { // the guest's tasks restart where standard tasks have ended
				sim.finishRunningTask(fmt.Sprint("wk-2/", 0))
				sim.finishRunningTask(fmt.Sprint("wk-2/", 1))
				sim.Run(time.Second)
			}
			if n := count("wk-1"); n < 7 {
				t.Fatalf("%d of the guest's tasks run, want at least 7", n)
			}
		})
	}
}

// machineOfTask returns the machine on which a task runs, or nil.
func (sim *simulation) machineOfTask(task string) *simtest.Agent {
	for _, agent := range sim.Agents {
		for _, name := range agent.Running() {
			if name == task {
				return agent
			}
		}
	}
	return nil
}
