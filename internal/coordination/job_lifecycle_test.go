package coordination

import (
	"fmt"
	"math"
	"strings"
	"testing"
	"time"

	"github.com/cobaltvale/cobaltvale/internal/protocol"
	"github.com/cobaltvale/cobaltvale/internal/simtest"
	"github.com/cobaltvale/cobaltvale/internal/storage"
)

const longerThanAnyLease = 30 * time.Second // every lease, with all its margins, has ended by then

func requireEqual[T comparable](t *testing.T, what string, got, want T) {
	t.Helper()
	if got != want {
		t.Fatalf("%s: got %v, want %v", what, got, want)
	}
}

func (sim *simulation) requireStatus(n *simtest.Node, id string, code int, status string) {
	sim.T.Helper()
	got, s := n.Status(id)
	if got != code || s.Status != status {
		sim.T.Fatalf("%s at %s: got %d %q, want %d %q", id, n.Name, got, s.Status, code, status)
	}
}

// runningTasks returns how many tasks run on all machines together.
func (sim *simulation) runningTasks() int {
	count := 0
	for _, agent := range sim.Agents {
		count += len(agent.Running())
	}
	return count
}

func TestFinishedJobIsKnownEverywhere(t *testing.T) {
	sim := newSimulation(t, "a", "b", "c")
	agent := sim.AddMachine("vm-1", "z1")
	sim.Run(2 * time.Second)
	owner := sim.Follower()
	requireEqual(t, "submit", owner.Submit(simtest.BatchJob("wk-1", 6)).Status, 201)
	requireEqual(t, "retry", owner.Submit(simtest.BatchJob("wk-1", 6)).Status, 200)
	for _, name := range sim.Members {
		requireEqual(t, "retry at "+name, sim.Nodes[name].Submit(simtest.BatchJob("wk-1", 6)).Status, 200)
	}
	sim.Run(3 * time.Second)
	requireEqual(t, "running on eight CPUs", len(agent.Running()), 4)
	agent.FinishTasks("done")
	sim.Run(3 * time.Second)
	sim.requireStatus(owner, "wk-1", 200, "running")
	agent.FinishTasks("done")
	sim.Run(3 * time.Second)
	for _, name := range sim.Members {
		sim.requireStatus(sim.Nodes[name], "wk-1", 200, "done")
	}
	requireEqual(t, "tasks left on the machine", len(agent.Tasks), 0)
	sim.CrashAll()
	sim.Advance(10 * time.Second)
	sim.StartMembers()
	sim.Advance(5 * time.Second)
	for _, name := range sim.Members {
		sim.requireStatus(sim.Nodes[name], "wk-1", 200, "done")
		requireEqual(t, "late retry", sim.Nodes[name].Submit(simtest.BatchJob("wk-1", 6)).Status, 200)
	}
	code, _ := sim.Nodes["a"].Status("wk-999")
	requireEqual(t, "a job that was never submitted", code, 404)
}

// A transaction that got no answer may have been applied or not. Its outcome is resolved
// under a new version of the key before anything is concluded from it.
func TestCreationWithUnknownOutcomeIsResolved(t *testing.T) {
	for _, applied := range []bool{true, false} {
		t.Run(fmt.Sprint("applied: ", applied), func(t *testing.T) {
			sim := newSimulation(t, "a", "b")
			intercepted := false
			sim.State.OnTransaction = func(_ string, txn *protocol.Transaction, apply func() storage.Response, done func(storage.Response)) bool {
				if intercepted || len(txn.Then) == 0 || !strings.HasPrefix(txn.Then[0].Put, "job/") {
					return false
				}
				intercepted = true
				if applied {
					apply()
				}
				done(storage.Response{})
				return true
			}
			requireEqual(t, "submit", sim.Nodes["a"].Submit(simtest.BatchJob("wk-1", 2)).Status, 201)
			requireEqual(t, "submit at another member", sim.Nodes["b"].Submit(simtest.BatchJob("wk-1", 2)).Status, 200)
			agent := sim.AddMachine("vm-1", "z1")
			sim.Run(4 * time.Second)
			requireEqual(t, "running", len(agent.Running()), 2)
		})
	}
}

// An accepted job never runs: the transaction that creates it is carried out, its answer is lost,
// and the second attempt is rejected. The user submits the job again and is told that it is
// pending, but its owner took the rejection for the outcome and does not know the job. Its next
// write of the page with the job's description removes that, so that a restart does not help.
func TestAcceptedJobRunsAlthoughTheRetryOfItsCreationWasRejected(t *testing.T) {
	for _, ownerRestarts := range []bool{false, true} {
		t.Run(fmt.Sprint("the owner restarts: ", ownerRestarts), func(t *testing.T) {
			sim := newSimulation(t, "a", "b", "c")
			agent := sim.AddMachine("vm-1", "z1")
			sim.Run(2 * time.Second)
			owner := sim.Follower()
			requireEqual(t, "job whose description is on the same page", owner.Submit(simtest.BatchJob("wk-0", 1)).Status, 201)
			attempts, rejecting := 0, true
			sim.State.OnTransaction = func(from string, txn *protocol.Transaction, apply func() storage.Response, done func(storage.Response)) bool {
				if from != owner.Name || len(txn.Then) == 0 || !strings.HasPrefix(txn.Then[0].Put, "job/") {
					return false
				}
				attempts++
				switch {
				case attempts == 1:
					apply()
					done(storage.Response{})
				case rejecting:
					done(storage.Response{Status: 503})
				default:
					return false
				}
				return true
			}
			first := owner.Submit(simtest.BatchJob("wk-1", 1))
			sim.Run(4 * time.Second)
			requireEqual(t, "submission during the rejections", first.Status, 503)
			if attempts < 2 {
				t.Fatalf("%d attempts to create the job, want at least 2", attempts)
			}
			rejecting = false
			sim.Run(2 * time.Second)
			requireEqual(t, "submission after the rejections", owner.Submit(simtest.BatchJob("wk-1", 1)).Status, 200)
			requireEqual(t, "another job", owner.Submit(simtest.BatchJob("wk-2", 1)).Status, 201)
			if ownerRestarts {
				sim.Crash(owner.Name)
				sim.Start(owner.Name)
			}
			sim.Run(10 * time.Second)
			requireEqual(t, "running tasks of the three jobs", len(agent.Running()), 3)
		})
	}
}

func TestOneIDAtTwoNodesIsOneJob(t *testing.T) {
	sim := newSimulation(t, "a", "b")
	var held []func()
	sim.State.OnTransaction = func(_ string, txn *protocol.Transaction, apply func() storage.Response, done func(storage.Response)) bool {
		if len(txn.Then) > 0 && strings.HasPrefix(txn.Then[0].Put, "job/") {
			held = append(held, func() { done(apply()) })
			return true
		}
		return false
	}
	r1, r2 := sim.Nodes["a"].Submit(simtest.BatchJob("wk-1", 1)), sim.Nodes["b"].Submit(simtest.BatchJob("wk-1", 1))
	for _, fn := range held {
		fn()
	}
	sim.DeliverAll()
	requireEqual(t, "answers", fmt.Sprint(r1.Status, r2.Status), "201 200")
}

func TestCancelledTasksAreNotRestarted(t *testing.T) {
	sim := newSimulation(t, "a", "b", "c")
	agent := sim.AddMachine("vm-1", "z1")
	sim.Run(2 * time.Second)
	follower := sim.Follower()
	requireEqual(t, "submit", follower.Submit(simtest.BatchJob("wk-1", 8)).Status, 201)
	sim.Run(3 * time.Second)
	requireEqual(t, "running", len(agent.Running()), 4)
	code, status := sim.Leader().Cancel("wk-1")
	requireEqual(t, "cancellation", fmt.Sprintf("%d %s", code, status), "200 withdrawn")
	for _, name := range sim.Members {
		sim.requireStatus(sim.Nodes[name], "wk-1", 200, "withdrawn")
		code, status = sim.Nodes[name].Cancel("wk-1")
		requireEqual(t, "repeated cancellation", fmt.Sprintf("%d %s", code, status), "200 withdrawn")
	}
	starts := agent.Starts
	sim.Run(4 * time.Second)
	requireEqual(t, "tasks left on the machine after the cancellation", len(agent.Tasks), 0)
	requireEqual(t, "starts before and after the cancellation", agent.Starts, starts)
	code, _ = follower.Cancel("wk-77")
	requireEqual(t, "cancellation of an unknown job", code, 404)
}

// While the write of a job's end has no answer yet, another controller may already report the end.
// The owner must not answer from memory then: its older status would contradict the one
// that users have seen (rule went_back).
func TestNoStaleStatusWhileTheEndIsWritten(t *testing.T) {
	sim := newSimulation(t, "a", "b")
	requireEqual(t, "submit", sim.Nodes["a"].Submit(simtest.BatchJob("wk-1", 1)).Status, 201)
	var answer func()
	sim.State.OnTransaction = func(_ string, txn *protocol.Transaction, apply func() storage.Response, done func(storage.Response)) bool {
		if answer == nil && len(txn.Then) > 0 && txn.Then[0].Put == storage.JobKey("wk-1") {
			r := apply()
			answer = func() { done(r) }
			return true
		}
		return false
	}
	r := sim.Nodes["a"].Call("POST", "/submissions/wk-1/abort", nil)
	requireEqual(t, "cancellation", r.Status, 0)
	sim.requireStatus(sim.Nodes["b"], "wk-1", 200, "withdrawn")
	sim.requireStatus(sim.Nodes["a"], "wk-1", 200, "withdrawn")
	answer()
	sim.DeliverAll()
	requireEqual(t, "cancellation", r.Status, 200)
}

// A machine is told to remove its finished tasks only after they are written to the state
// service.
func TestFinishedTasksStayOnTheMachineUntilWritten(t *testing.T) {
	sim := newSimulation(t, "a")
	agent := sim.AddMachine("vm-1", "z1")
	sim.Run(2 * time.Second)
	requireEqual(t, "submit", sim.Nodes["a"].Submit(simtest.BatchJob("wk-1", 8)).Status, 201)
	sim.Run(2 * time.Second)
	sim.State.OnTransaction = func(_ string, txn *protocol.Transaction, _ func() storage.Response, done func(storage.Response)) bool {
		if len(txn.Then) > 0 && strings.HasPrefix(txn.Then[0].Put, "done/") {
			done(storage.Response{Status: 503, Body: sim.Codec.Encode(map[string]any{"error": "trouble"})})
			return true
		}
		return false
	}
	agent.FinishTasks("done")
	sim.Run(5 * time.Second)
	requireEqual(t, "kept on the machine", len(agent.Tasks)-len(agent.Running()), 4)
	sim.State.OnTransaction = nil
	sim.Run(4 * time.Second)
	requireEqual(t, "kept after the write", len(agent.Tasks)-len(agent.Running()), 0)
	sim.Crash("a")
	sim.Advance(8 * time.Second)
	sim.Start("a")
	sim.Run(8 * time.Second)
	agent.FinishTasks("done")
	sim.Run(4 * time.Second)
	sim.requireStatus(sim.Nodes["a"], "wk-1", 200, "done")
	requireEqual(t, "starts", agent.Starts, 8)
}

// Until an owner has registered its shard with a new leader, all tasks of the shard's unfinished
// jobs count against the team's limit.
func TestLimitHoldsAcrossFailures(t *testing.T) {
	sim := newSimulation(t, "a", "b", "c")
	sim.AddMachines(8)
	sim.Run(15 * time.Second)
	for i, name := range sim.Members {
		requireEqual(t, "submit", sim.Nodes[name].Submit(simtest.BatchJob(fmt.Sprintf("wk-%d", i), 12).With("crew", "red")).Status, 201)
	}
	check := func(d time.Duration) {
		t.Helper()
		for end := sim.Now() + d; sim.Now() < end; {
			sim.Run(time.Second)
			if got := float64(sim.runningTasks()) * 2; got > 32 {
				t.Fatalf("team uses %v CPUs of 32", got)
			}
		}
	}
	check(5 * time.Second)
	requireEqual(t, "running at the limit", sim.runningTasks(), 16)
	lead := sim.Leader()
	sim.Crash(lead.Name)
	sim.Agents["vm-0"].FinishTasks("done")
	check(12 * time.Second)
	sim.Start(lead.Name)
	check(10 * time.Second)
	sim.CrashAll()
	sim.Agents["vm-1"].FinishTasks("done")
	sim.Advance(7 * time.Second)
	sim.StartMembers()
	check(longerThanAnyLease)
	requireEqual(t, "running at the limit again", sim.runningTasks(), 16)
}

func TestInvalidSubmissionsAreRejected(t *testing.T) {
	sim := newSimulation(t, "a")
	n := sim.Nodes["a"]
	for _, c := range []struct {
		name    string
		request simtest.JobRequest
		status  int
	}{
		{"id", simtest.BatchJob("job-1", 1), 400},
		{"no id", simtest.BatchJob("wk-1", 1).With("nameId", nil), 400},
		{"form", simtest.BatchJob("wk-1", 1).With("form", "gang"), 400},
		{"urgency", simtest.BatchJob("wk-1", 1).With("urgency", "soon"), 400},
		{"no tasks", simtest.BatchJob("wk-1", 0), 400},
		{"too many tasks", simtest.BatchJob("wk-1", 100001), 400},
		{"negative", simtest.BatchJob("wk-1", 1).With("vcpus", -1.0), 400},
		{"NaN", simtest.BatchJob("wk-1", 1).With("ramGb", math.NaN()), 400},
		{"infinite", simtest.BatchJob("wk-1", 1).With("expectedS", math.Inf(1)), 400},
		{"ill-typed", simtest.BatchJob("wk-1", 1).With("vcpus", "two"), 400},
		{"missing", simtest.BatchJob("wk-1", 1).With("together", nil), 400},
		{"team", simtest.BatchJob("wk-1", 1).With("crew", "green"), 422},
		{"too large", simtest.BatchJob("wk-1", 1).With("vcpus", 64.0), 422},
		{"no type", simtest.BatchJob("wk-1", 1).With("breeds", []string{"x"}), 422},
		{"zone", simtest.BatchJob("wk-1", 1).With("hall", "z9"), 422},
		{"whole numbers for amounts", simtest.BatchJob("wk-2", 1).With("vcpus", 2), 201},
		{"a known job, although the team is unknown", simtest.BatchJob("wk-2", 1).With("crew", "green"), 200},
		{"unknown field", simtest.BatchJob("wk-1", 1).With("unknown", "field"), 201},
	} {
		requireEqual(t, c.name, n.Submit(c.request).Status, c.status)
	}
	for _, body := range [][]byte{nil, {0x01}, []byte("{}"), {0xa1}, {0xbf, 0xff}, {0x5f}} {
		requireEqual(t, fmt.Sprintf("body %x", body), n.Call("POST", "/submissions", body).Status, 400)
		requireEqual(t, fmt.Sprintf("heartbeat %x", body), n.Call("POST", "/checkin", body).Status, 400)
	}
	requireEqual(t, "unknown path", n.Call("GET", "/nothing", nil).Status, 404)
	requireEqual(t, "wrong method", n.Call("PUT", "/submissions", nil).Status, 405)
	requireEqual(t, "wrong method", n.Call("GET", "/submissions/wk-1/abort", nil).Status, 405)
}

func TestInvalidHeartbeatChangesNothing(t *testing.T) {
	sim := newSimulation(t, "a")
	agent := sim.AddMachine("vm-1", "z1")
	sim.Run(2 * time.Second)
	before := len(controllerOf(sim.Nodes["a"]).leader.machines.byName)
	good := map[string]any{"roost": "vm-7", "breed": "m8", "hall": "z1", "loaners": false, "perch": 1, "tick": 1, "baton": 0, "pages": []any{}}
	for key, bad := range map[string]any{"roost": nil, "perch": "x", "tick": -1, "pages": []any{map[string]any{"page": "zzz", "try": 1, "status": "running"}}, "recallInS": math.NaN()} {
		f := make(map[string]any)
		for g, v := range good {
			f[g] = v
		}
		f[key] = bad
		requireEqual(t, key, sim.Nodes["a"].Call("POST", "/checkin", sim.Codec.Encode(f)).Status, 400)
	}
	requireEqual(t, "machines", len(controllerOf(sim.Nodes["a"]).leader.machines.byName), before)
	requireEqual(t, "a good heartbeat", agent.Heartbeat().Status, 200)
}

// Accepted jobs are held in memory. A submission that would not fit is rejected with a time
// for a retry, while requests for known jobs are still answered.
func TestSubmissionsAreBoundedByMemory(t *testing.T) {
	sim := newSimulation(t, "a")
	n := sim.Nodes["a"]
	accepted := 0
	for i := range 10 {
		r := n.Submit(simtest.BatchJob(fmt.Sprintf("wk-%d", i), 100_000))
		if r.Status == 201 {
			accepted++
			continue
		}
		requireEqual(t, "rejection", fmt.Sprintf("%d %v", r.Status, r.RetryAfterS > 1), "503 true")
	}
	requireEqual(t, "accepted", accepted, 3)
	requireEqual(t, "a known job", n.Submit(simtest.BatchJob("wk-0", 100_000)).Status, 200)
	code, _ := n.Cancel("wk-0")
	requireEqual(t, "cancellation", code, 200)
	requireEqual(t, "submit after the cancellation freed memory", n.Submit(simtest.BatchJob("wk-11", 100_000)).Status, 201)
}

// A machine that stops sending heartbeats with a cancelled task on it is released before the
// cancellation's time limit, however many other machines are silent too.
func TestCancelledTaskOnSilentMachineEnds(t *testing.T) {
	sim := newSimulation(t, "a", "b", "c")
	sim.AddMachines(9)
	sim.Run(2 * time.Second)
	follower := sim.Follower()
	requireEqual(t, "submit", follower.Submit(simtest.BatchJob("wk-1", 36)).Status, 201)
	sim.Run(4 * time.Second)
	requireEqual(t, "running", sim.runningTasks(), 36)
	for i := range 9 {
		sim.Agents[fmt.Sprintf("vm-%d", i)].Silent = true
	}
	code, _ := follower.Cancel("wk-1")
	requireEqual(t, "cancellation", code, 200)
	sim.AddMachine("vm-x", "z2")
	sim.Run(18 * time.Second)
	requireEqual(t, "still running", sim.runningTasks(), 0)
}

// An owner that knows that a job has ended stops the tasks of it that a machine still lists,
// also if the leader missed the owner's summary of the job.
func TestOwnerStopsTasksTheLeaderMissed(t *testing.T) {
	sim := newSimulation(t, "a", "b")
	agent := sim.AddMachine("vm-1", "z1")
	sim.Run(2 * time.Second)
	follower := sim.Follower()
	requireEqual(t, "submit", follower.Submit(simtest.BatchJob("wk-1", 2)).Status, 201)
	sim.Run(3 * time.Second)
	requireEqual(t, "running", len(agent.Running()), 2)
	code, _ := follower.Cancel("wk-1")
	requireEqual(t, "cancellation", code, 200)
	job := controllerOf(sim.Leader()).leader.jobs.get("wk-1")
	job.ended = false
	sim.Run(fullStatusInterval + 3*time.Second)
	requireEqual(t, "running", len(agent.Running()), 0)
}
