package coordination

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/cobaltvale/cobaltvale/internal/protocol"
)

// newFleet is a deployment whose machines are all there is.
func newFleet(t *testing.T, machines int, takes time.Duration) (*simulation, *node) {
	t.Helper()
	sim := newSimulation(t, "a")
	sim.cloud.refusesScaleOut = true
	for i := range machines {
		sim.addMachine(fmt.Sprintf("vm-%d", i), "z1").taskDuration = takes
	}
	sim.run(3 * time.Second)
	return sim, sim.nodes["a"]
}

// timeToStart submits a job and reports how long until a task of it runs, while
// every second more is submitted besides.
func (sim *simulation) timeToStart(n *node, request jobRequest, limit time.Duration, besides func(second int)) time.Duration {
	sim.t.Helper()
	id := request["nameId"].(string)
	if r := n.submit(request); r.Status != 201 {
		sim.t.Fatalf("%s is answered %d", id, r.Status)
	}
	at := sim.now
	for s := 0; sim.now < at+limit; s++ {
		besides(s)
		sim.run(time.Second)
		if _, st := n.status(id); st.Running != nil && *st.Running > 0 {
			return sim.now - at
		}
	}
	sim.t.Fatalf("%s has not begun after %v", id, limit)
	return 0
}

const startLimit = 240 * time.Second

// Urgent work that asks for more than there is, for good, must not keep
// standard work out: users count a class as served when its jobs begin.
func TestUrgentWorkDoesNotStarveStandardWork(t *testing.T) {
	sim, n := newFleet(t, 4, 5*time.Second)
	flood := func(s int) {
		n.submit(batchJob(fmt.Sprintf("wk-9%d", s), 12).with("urgency", "urgent").with("plate", "u"))
	}
	for s := range 20 {
		flood(1000 + s)
		sim.run(time.Second)
	}
	sim.timeToStart(n, batchJob("wk-1", 4), startLimit, flood)
	for s := range 60 { // it began for good, not to be stopped at once
		flood(300 + s)
		sim.run(time.Second)
	}
	if _, st := n.status("wk-1"); *st.Done == 0 {
		t.Fatal("no task of the standard job came to its end")
	}
	sim.timeToStart(n, batchJob("wk-2", 40).with("vcpus", 8.0), startLimit, func(s int) { flood(500 + s) })
}

// Room that frees bit by bit must not go to small tasks for ever while a task
// that needs a whole machine waits, though both are of one priority.
func TestPackingDoesNotStarveLargeTasks(t *testing.T) {
	sim, n := newFleet(t, 3, 6*time.Second)
	for _, agent := range sim.agents {
		agent.durationSpread = 900 * time.Millisecond
	}
	small := func(s int) { n.submit(batchJob(fmt.Sprintf("wk-9%d", s), 8).with("pressByS", 20.0)) }
	for s := range 20 {
		small(1000 + s)
		sim.run(time.Second)
	}
	sim.timeToStart(n, batchJob("wk-1", 3).with("vcpus", 8.0).with("ramGb", 60.0), startLimit, small)
}

// Work whose image no machine has must not wait for ever behind work whose
// image all of them have, even if fetching takes longer than running.
func TestImageAffinityDoesNotStarve(t *testing.T) {
	sim, n := newFleet(t, 3, 6*time.Second)
	usual := func(s int) {
		n.submit(batchJob(fmt.Sprintf("wk-9%d", s), 12).with("plate", "usual").with("imageGb", 40.0))
	}
	for s := range 20 {
		usual(1000 + s)
		sim.run(time.Second)
	}
	sim.timeToStart(n, batchJob("wk-1", 1).with("vcpus", 8.0).with("plate", "rare").with("imageGb", 40.0), startLimit, usual)

	// Nor behind the one machine that has its image, while that is busy for long.
	for _, agent := range sim.agents {
		for _, task := range agent.tasks {
			if strings.HasPrefix(task.name, "wk-1/") {
				agent.taskDuration = time.Hour
			}
		}
	}
	sim.run(20 * time.Second)
	sim.timeToStart(n, batchJob("wk-2", 1).with("plate", "rare").with("imageGb", 40.0), startLimit, usual)
}

// A team with a small guarantee gets its turn while another with a large one
// asks for more than there is; so does its largest array.
func TestSmallSharesDoNotStarve(t *testing.T) {
	sim, n := newFleet(t, 3, 5*time.Second)
	flood := func(s int) { n.submit(batchJob(fmt.Sprintf("wk-9%d", s), 12).with("crew", "red")) }
	for s := range 20 {
		flood(1000 + s)
		sim.run(time.Second)
	}
	sim.timeToStart(n, batchJob("wk-1", 100), startLimit, flood)
}

// A job whose tasks made room for urgent work as often as it has tasks is left
// alone from then on, so that it ends.
func TestPreemptionOfAJobIsBounded(t *testing.T) {
	sim, n := newFleet(t, 2, 20*time.Second)
	want(t, "submit", n.submit(batchJob("wk-1", 4).with("vcpus", 4.0)).Status, 201)
	sim.run(3 * time.Second)
	for s := range 240 {
		if s%30 == 0 { // a job between two of them would always be stopped
			n.submit(batchJob(fmt.Sprintf("wk-9%d", s), 4).with("vcpus", 4.0).with("urgency", "urgent"))
		}
		sim.run(time.Second)
		if _, st := n.status("wk-1"); st.Status == protocol.StatusDone {
			return
		}
	}
	t.Fatal("a job gave way to urgent work for ever")
}

// What uncertainty after a crash adds to a team's use must go in time.
func TestLimitIsReleasedAfterACrash(t *testing.T) {
	sim := newSimulation(t, "a", "b", "c")
	for i := range 5 {
		sim.addMachine(fmt.Sprintf("vm-%d", i), "z1").taskDuration = 5 * time.Second
	}
	sim.run(3 * time.Second)
	for i, n := range sim.names {
		want(t, "submit", sim.nodes[n].submit(batchJob(fmt.Sprint("wk-1", i), 10).with("crew", "red")).Status, 201)
	}
	sim.run(4 * time.Second)
	sim.cloud.refusesRelease = true // what is lost is not proven gone by a release
	for _, n := range sim.names {
		sim.crash(n)
	}
	for _, agent := range sim.agents {
		agent.silent = true // none comes back
	}
	for _, n := range sim.names {
		sim.start(n)
	}
	for i := range 2 {
		sim.addMachine(fmt.Sprintf("vm-7%d", i), "z2").taskDuration = 5 * time.Second
	}
	sim.run(16 * time.Second)
	for _, agent := range sim.agents {
		if agent.silent {
			agent.expireLease()
		}
	}
	n := sim.leader()
	sim.timeToStart(n, batchJob("wk-5", 2).with("crew", "red"), startLimit, func(int) {})
}

// The work of a report does not grow with machines or jobs.
func TestCostOfAHeartbeatIsIndependentOfFleetSize(t *testing.T) {
	perReport := func(machines, jobs int) float64 {
		sim, n := newFleet(t, machines, 0)
		want(t, "submit", n.submit(batchJob("wk-0", machines).with("vcpus", 5.0).with("plate", "img-0")).Status, 201)
		sim.run(3 * time.Second)
		want(t, "running", sim.runningTasks(), machines)
		// None of these fits beside what runs, for want of CPUs or of memory.
		for i := range jobs {
			request := batchJob(fmt.Sprintf("wk-1%d", i), 3).with("plate", fmt.Sprint("img-", i%12)).with("vcpus", 8.0)
			if i%2 == 0 {
				request.with("vcpus", 1.0).with("ramGb", 64.0)
			}
			want(t, "submit", n.submit(request).Status, 201)
			sim.advance(50 * time.Millisecond)
			if i%40 == 39 {
				sim.run(time.Second)
			}
		}
		sim.run(2 * time.Second)
		sim.addMachine("vm-last", "z1").heartbeat() // whatever is due is worked out now
		delete(sim.agents, "vm-last")
		d := &n.controller.leader.pendingQueue
		n.controller.leader.rebuildPendingQueue(sim.now)
		before, at := d.inspected, d.rebuiltAt
		for _, name := range sim.agentNames() {
			sim.agents[name].heartbeat()
		}
		if d.rebuiltAt != at {
			t.Fatal("the order was worked out anew meanwhile")
		}
		return float64(d.inspected-before) / float64(machines)
	}
	// One image is on the machine, the others it might fetch.
	const limit = (1 + maxFetchCandidates) * queueLookAhead
	for _, size := range []struct{ machines, jobs int }{{20, 40}, {200, 600}} {
		if got := perReport(size.machines, size.jobs); got == 0 || got > limit {
			t.Fatalf("with %d machines and %d jobs a report looks at %.1f jobs and queues, want 1 to %d", size.machines, size.jobs, got, limit)
		}
	}
}

// What only runs in idle time, here of a guest team without a guarantee, makes
// room for standard work as far as whole tasks of it fit, also if it has all
// machines and no more are to be had. It has begun all the same, and goes on with
// what it saved.
func TestBestEffortWorkIsPreempted(t *testing.T) {
	for _, saves := range []bool{true, false} {
		sim := newSimulation(t, "a", "b", "c")
		for i := range 4 {
			sim.addMachine(fmt.Sprintf("vm-%d", i), "z1")
		}
		sim.run(2 * time.Second)
		guest := batchJob("wk-1", 40).with("crew", "guest").with("urgency", "best_effort").with("expectedS", 300.0)
		if saves {
			guest.with("proofEveryS", 30.0).with("proofS", 2.0)
		}
		want(t, "guest", sim.leader().submit(guest).Status, 201)
		sim.run(10 * time.Second)
		want(t, "guest's tasks", sim.runningTasks(), 16)
		sim.cloud.refusesScaleOut = true
		owner := sim.follower()
		want(t, "owner's job", owner.submit(batchJob("wk-2", 5).with("crew", "red").with("vcpus", 6.0)).Status, 201)
		sim.run(8 * time.Second)
		count := func(job string) int {
			n := 0
			for _, agent := range sim.agents {
				for _, name := range agent.running() {
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
			sim.run(time.Second)
		}
		if n := count("wk-1"); n < 7 {
			t.Fatalf("%d of the guest's tasks run again", n)
		}
	}
}

// machineOfTask is the machine that a task runs on.
func (sim *simulation) machineOfTask(task string) *machineAgent {
	for _, agent := range sim.agents {
		for _, name := range agent.running() {
			if name == task {
				return agent
			}
		}
	}
	return nil
}
