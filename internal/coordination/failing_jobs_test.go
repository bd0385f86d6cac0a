package coordination

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/cobaltvale/cobaltvale/internal/simtest"
)

// failJobs ends all running tasks of some jobs with an error and returns their number.
func (sim *simulation) failJobs(jobs ...string) int {
	n := 0
	for _, agent := range sim.Agents {
		for _, task := range agent.Tasks {
			job, _, _ := strings.Cut(task.Name, "/")
			for _, j := range jobs {
				if job == j && task.State == "running" {
					task.State, task.Cause = "ended", "error"
					n++
				}
			}
		}
	}
	return n
}

// Jobs that were submitted with a mistake fail on every machine until their users cancel
// them. Several such jobs at once, on many machines or on few, also right after a change
// of leader, must not quarantine a machine permanently, cause a scale-out, or stop tasks of
// other jobs. Each of them starts a task only now and then.
func TestAlwaysFailingJobsHarmNothingElse(t *testing.T) {
	for _, machines := range []int{2, 5} {
		t.Run(fmt.Sprint(machines, " machines"), func(t *testing.T) {
			sim := newSimulation(t, "a", "b", "c")
			sim.AddMachines(machines)
			sim.Run(2 * time.Second)
			requireEqual(t, "good job", sim.Follower().Submit(simtest.BatchJob("wk-9", machines).With("vcpus", 6.0)).Status, 201)
			sim.Run(3 * time.Second)
			bad := []string{"wk-1", "wk-2", "wk-3"}
			for i, id := range bad {
				urgency := []string{"urgent", "standard", "standard"}[i]
				requireEqual(t, "failing job", sim.Leader().Submit(simtest.BatchJob(id, 30).With("urgency", urgency)).Status, 201)
			}
			fails := 0
			seconds := func(n int) {
				for range n {
					sim.Run(time.Second)
					fails += sim.failJobs(bad...)
				}
			}
			seconds(30)
			fails = 0
			rented := len(sim.Cloud.ScaleOutRequests)
			seconds(60)
			if fails > 3*12 {
				t.Fatalf("%d machines: %d tasks of jobs that fail everywhere were started in a minute, want at most 36", machines, fails)
			}
			requireEqual(t, "scale-out requests", len(sim.Cloud.ScaleOutRequests)-rented, 0)
			sim.Crash(sim.Leader().Name)
			seconds(30)
			fails = 0
			seconds(60)
			if fails > 3*30 {
				t.Fatalf("%d machines: %d tasks were started in a minute after a change of leader, want at most 90", machines, fails)
			}
			requireEqual(t, "machines that remain", len(sim.Agents), machines)
			requireEqual(t, "good tasks that still run", sim.runningTasks(), machines)
			for _, id := range bad {
				code, _ := sim.Follower().Cancel(id)
				requireEqual(t, "cancellation", code, 200)
			}
			sim.Run(5 * time.Second)
			requireEqual(t, "good job after the failing ones", sim.Leader().Submit(simtest.BatchJob("wk-8", machines)).Status, 201)
			sim.Run(6 * time.Second)
			requireEqual(t, "running", sim.runningTasks(), 2*machines)
		})
	}
}

// If the machines caused the failures, the job's breaker closes as soon as a task of the
// job has run for a while, and all its tasks run.
func TestOpenBreakerClosesAgain(t *testing.T) {
	sim := newSimulation(t, "a")
	sim.AddMachines(6)
	sim.Run(2 * time.Second)
	requireEqual(t, "submit", sim.Nodes["a"].Submit(simtest.BatchJob("wk-1", 20)).Status, 201)
	for range 4 {
		sim.Run(time.Second)
		sim.failJobs("wk-1")
	}
	requireEqual(t, "breaker is open", controllerOf(sim.Nodes["a"]).owner.Job("wk-1").BreakerOpen(), true)
	sim.Run(30 * time.Second)
	requireEqual(t, "running", sim.runningTasks(), 20)
}

// If all tasks fail on the only machine, it is quarantined and replaced. The failures must
// not count as faults of the jobs.
func TestOnlyFailingMachineIsReplaced(t *testing.T) {
	sim := newSimulation(t, "a")
	sim.AddMachine("vm-1", "z1")
	sim.Run(2 * time.Second)
	for i := range 3 {
		requireEqual(t, "submit", sim.Nodes["a"].Submit(simtest.BatchJob(fmt.Sprint("wk-", i+1), 1)).Status, 201)
	}
	for range 20 {
		sim.Run(time.Second)
		sim.failJobs("wk-1", "wk-2", "wk-3")
	}
	requireEqual(t, "released machines", fmt.Sprint(sim.Cloud.ReleasedMachines), "[vm-1]")
	sim.AddMachine("vm-2", "z1")
	sim.Run(20 * time.Second)
	requireEqual(t, "running", sim.runningTasks(), 3)
}
