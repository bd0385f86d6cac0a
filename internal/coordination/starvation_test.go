package coordination

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/cobaltvale/cobaltvale/internal/protocol"
	"github.com/cobaltvale/cobaltvale/internal/simtest"
)

// newFixedFleet is a deployment whose machines are all there is.
func newFixedFleet(t *testing.T, machines int, takes time.Duration) (*simulation, *simtest.Node) {
	t.Helper()
	sim := newSimulation(t, "a")
	sim.Cloud.RefusesScaleOut = true
	for i := range machines {
		sim.AddMachine(fmt.Sprintf("vm-%d", i), "z1").TaskDuration = takes
	}
	sim.Run(3 * time.Second)
	return sim, sim.Nodes["a"]
}

// measureTimeToStart submits a job and returns how long until a task of it runs, while
// every second more is submitted besides.
func (sim *simulation) measureTimeToStart(n *simtest.Node, request simtest.JobRequest, limit time.Duration, besides func(second int)) time.Duration {
	sim.T.Helper()
	id := request["nameId"].(string)
	if r := n.Submit(request); r.Status != 201 {
		sim.T.Fatalf("%s is answered %d", id, r.Status)
	}
	at := sim.Now()
	for s := 0; sim.Now() < at+limit; s++ {
		besides(s)
		sim.Run(time.Second)
		if _, st := n.Status(id); st.Running != nil && *st.Running > 0 {
			return sim.Now() - at
		}
	}
	sim.T.Fatalf("%s has not begun after %v", id, limit)
	return 0
}

const startTimeout = 240 * time.Second

// Urgent work that asks for more than there is, for good, must not keep
// standard work out: users count a class as served when its jobs begin.
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
	for s := range 60 { // it began for good, not to be stopped at once
		flood(300 + s)
		sim.Run(time.Second)
	}
	if _, st := n.Status("wk-1"); *st.Done == 0 {
		t.Fatal("no task of the standard job came to its end")
	}
	sim.measureTimeToStart(n, simtest.BatchJob("wk-2", 40).With("vcpus", 8.0), startTimeout, func(s int) { flood(500 + s) })
}

// Room that frees bit by bit must not go to small tasks for ever while a task
// that needs a whole machine waits, though both are of one priority.
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

// Work whose image no machine has must not wait for ever behind work whose
// image all of them have, even if fetching takes longer than running.
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

	// Nor behind the one machine that has its image, while that is busy for long.
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

// A team with a small guarantee gets its turn while another with a large one
// asks for more than there is; so does its largest array.
func TestSmallSharesDoNotStarve(t *testing.T) {
	sim, n := newFixedFleet(t, 3, 5*time.Second)
	flood := func(s int) { n.Submit(simtest.BatchJob(fmt.Sprintf("wk-9%d", s), 12).With("crew", "red")) }
	for s := range 20 {
		flood(1000 + s)
		sim.Run(time.Second)
	}
	sim.measureTimeToStart(n, simtest.BatchJob("wk-1", 100), startTimeout, flood)
}

// A job whose tasks made room for urgent work as often as it has tasks is left
// alone from then on, so that it ends.
func TestPreemptionOfAJobIsBounded(t *testing.T) {
	sim, n := newFixedFleet(t, 2, 20*time.Second)
	want(t, "submit", n.Submit(simtest.BatchJob("wk-1", 4).With("vcpus", 4.0)).Status, 201)
	sim.Run(3 * time.Second)
	for s := range 240 {
		if s%30 == 0 { // a job between two of them would always be stopped
			n.Submit(simtest.BatchJob(fmt.Sprintf("wk-9%d", s), 4).With("vcpus", 4.0).With("urgency", "urgent"))
		}
		sim.Run(time.Second)
		if _, st := n.Status("wk-1"); st.Status == protocol.StatusDone {
			return
		}
	}
	t.Fatal("a job gave way to urgent work for ever")
}

// What uncertainty after a crash adds to a team's use must go in time.
func TestLimitIsReleasedAfterACrash(t *testing.T) {
	sim := newSimulation(t, "a", "b", "c")
	for i := range 5 {
		sim.AddMachine(fmt.Sprintf("vm-%d", i), "z1").TaskDuration = 5 * time.Second
	}
	sim.Run(3 * time.Second)
	for i, n := range sim.Names {
		want(t, "submit", sim.Nodes[n].Submit(simtest.BatchJob(fmt.Sprint("wk-1", i), 10).With("crew", "red")).Status, 201)
	}
	sim.Run(4 * time.Second)
	sim.Cloud.RefusesRelease = true // what is lost is not proven gone by a release
	sim.CrashAll()
	for _, agent := range sim.Agents {
		agent.Silent = true // none comes back
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

// The work of a heartbeat does not grow with machines or jobs.
func TestCostOfAHeartbeatIsIndependentOfFleetSize(t *testing.T) {
	perReport := func(machines, jobs int) float64 {
		sim, n := newFixedFleet(t, machines, 0)
		want(t, "submit", n.Submit(simtest.BatchJob("wk-0", machines).With("vcpus", 5.0).With("plate", "img-0")).Status, 201)
		sim.Run(3 * time.Second)
		want(t, "running", sim.runningTasks(), machines)
		// None of these fits beside what runs, for want of CPUs or of memory.
		for i := range jobs {
			request := simtest.BatchJob(fmt.Sprintf("wk-1%d", i), 3).With("plate", fmt.Sprint("img-", i%12)).With("vcpus", 8.0)
			if i%2 == 0 {
				request.With("vcpus", 1.0).With("ramGb", 64.0)
			}
			want(t, "submit", n.Submit(request).Status, 201)
			sim.Advance(50 * time.Millisecond)
			if i%40 == 39 {
				sim.Run(time.Second)
			}
		}
		sim.Run(2 * time.Second)
		sim.AddMachine("vm-last", "z1").Heartbeat() // whatever is due is worked out now
		delete(sim.Agents, "vm-last")
		d := &controllerOf(n).leader.scheduler.queue
		controllerOf(n).leader.scheduler.rebuildQueue(sim.Now())
		before, at := d.entriesInspected, d.rebuiltAt
		for _, name := range sim.AgentNames() {
			sim.Agents[name].Heartbeat()
		}
		if d.rebuiltAt != at {
			t.Fatal("the order was worked out anew meanwhile")
		}
		return float64(d.entriesInspected-before) / float64(machines)
	}
	// One image is on the machine, the others it might fetch.
	const limit = (1 + maxFetchCandidates) * queueLookAhead
	for _, size := range []struct{ machines, jobs int }{{20, 40}, {200, 600}} {
		if got := perReport(size.machines, size.jobs); got == 0 || got > limit {
			t.Fatalf("with %d machines and %d jobs a heartbeat looks at %.1f jobs and queues, want 1 to %d", size.machines, size.jobs, got, limit)
		}
	}
}

// What only runs in idle time, here of a guest team without a guarantee, makes
// room for standard work as far as whole tasks of it fit, also if it has all
// machines and no more are to be had. It has begun all the same, and goes on with
// what it saved.
func TestBestEffortWorkIsPreempted(t *testing.T) {
	for _, saves := range []bool{true, false} {
		t.Run(fmt.Sprint("saves: ", saves), func(t *testing.T) {
			sim := newSimulation(t, "a", "b", "c")
			sim.AddMachines(4)
			sim.Run(2 * time.Second)
			guest := simtest.BatchJob("wk-1", 40).With("crew", "guest").With("urgency", "best_effort").With("expectedS", 300.0)
			if saves {
				guest.With("proofEveryS", 30.0).With("proofS", 2.0)
			}
			want(t, "guest", sim.Leader().Submit(guest).Status, 201)
			sim.Run(10 * time.Second)
			want(t, "guest's tasks", sim.runningTasks(), 16)
			sim.Cloud.RefusesScaleOut = true
			owner := sim.Follower()
			want(t, "owner's job", owner.Submit(simtest.BatchJob("wk-2", 5).With("crew", "red").With("vcpus", 6.0)).Status, 201)
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
			// On one machine the guest's first task is left, with room for three of two CPUs.
			want(t, "owner's tasks", count("wk-2"), 4)
			want(t, "guest's tasks beside them", count("wk-1"), 4)
			want(t, "of these the first", fmt.Sprint(sim.machineOfTask("wk-1/0") != nil), "true")
			for range 30 { // it comes back wherever the owner's are over
				sim.finishTask(fmt.Sprint("wk-2/", 0))
				sim.finishTask(fmt.Sprint("wk-2/", 1))
				sim.Run(time.Second)
			}
			if n := count("wk-1"); n < 7 {
				t.Fatalf("%d of the guest's tasks run again", n)
			}
		})
	}
}

// machineOfTask is the machine that a task runs on.
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
