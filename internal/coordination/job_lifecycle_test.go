package coordination

import (
	"fmt"
	"math"
	"strings"
	"testing"
	"time"

	"github.com/cobaltvale/cobaltvale/internal/protocol"
	"github.com/cobaltvale/cobaltvale/internal/storage"
)

const beyondAnyLease = 30 * time.Second // any lease with all its margins

func want[T comparable](t *testing.T, what string, got, expected T) {
	t.Helper()
	if got != expected {
		t.Fatalf("%s: got %v, want %v", what, got, expected)
	}
}

func (sim *simulation) wantStatus(n *node, id string, code int, status string) {
	sim.t.Helper()
	got, s := n.status(id)
	if got != code || s.Status != status {
		sim.t.Fatalf("%s at %s: got %d %q, want %d %q", id, n.name, got, s.Status, code, status)
	}
}

// runningTasks is how many tasks run on all workers together.
func (sim *simulation) runningTasks() int {
	n := 0
	for _, agent := range sim.agents {
		n += len(agent.running())
	}
	return n
}

func TestFinishedJobIsKnownEverywhere(t *testing.T) {
	sim := newSimulation(t, "a", "b", "c")
	agent := sim.addMachine("vm-1", "z1")
	sim.run(2 * time.Second)
	at := sim.follower()
	want(t, "submit", at.submit(batchJob("wk-1", 6)).Status, 201)
	want(t, "retry", at.submit(batchJob("wk-1", 6)).Status, 200)
	for _, name := range sim.names {
		want(t, "retry at "+name, sim.nodes[name].submit(batchJob("wk-1", 6)).Status, 200)
	}
	sim.run(3 * time.Second)
	want(t, "running on eight CPUs", len(agent.running()), 4)
	agent.finishTasks("done")
	sim.run(3 * time.Second)
	sim.wantStatus(at, "wk-1", 200, "running")
	agent.finishTasks("done")
	sim.run(3 * time.Second)
	for _, name := range sim.names {
		sim.wantStatus(sim.nodes[name], "wk-1", 200, "done")
	}
	want(t, "tasks left on the worker", len(agent.tasks), 0)
	for _, name := range sim.names {
		sim.crash(name)
	}
	sim.advance(10 * time.Second)
	for _, name := range sim.names {
		sim.start(name)
	}
	sim.advance(5 * time.Second)
	for _, name := range sim.names {
		sim.wantStatus(sim.nodes[name], "wk-1", 200, "done")
		want(t, "late retry", sim.nodes[name].submit(batchJob("wk-1", 6)).Status, 200)
	}
	code, _ := sim.nodes["a"].status("wk-999")
	want(t, "a job nobody submitted", code, 404)
}

// A transaction without an answer is settled under a new stamp before
// anything is concluded from it, whether it was applied or not.
func TestCreationWithUnknownOutcomeIsResolved(t *testing.T) {
	for _, applied := range []bool{true, false} {
		sim := newSimulation(t, "a", "b")
		hit := false
		sim.state.onTransaction = func(_ string, txn *protocol.Transaction, apply func() storage.Response, done func(storage.Response)) bool {
			if hit || len(txn.Then) == 0 || !strings.HasPrefix(txn.Then[0].Put, "job/") {
				return false
			}
			hit = true
			if applied {
				apply()
			}
			done(storage.Response{})
			return true
		}
		want(t, "submit", sim.nodes["a"].submit(batchJob("wk-1", 2)).Status, 201)
		want(t, "elsewhere", sim.nodes["b"].submit(batchJob("wk-1", 2)).Status, 200)
		agent := sim.addMachine("vm-1", "z1")
		sim.run(4 * time.Second)
		want(t, "running", len(agent.running()), 2)
	}
}

func TestOneIDAtTwoNodesIsOneJob(t *testing.T) {
	sim := newSimulation(t, "a", "b")
	var held []func()
	sim.state.onTransaction = func(_ string, txn *protocol.Transaction, apply func() storage.Response, done func(storage.Response)) bool {
		if len(txn.Then) > 0 && strings.HasPrefix(txn.Then[0].Put, "job/") {
			held = append(held, func() { done(apply()) })
			return true
		}
		return false
	}
	r1, r2 := sim.nodes["a"].submit(batchJob("wk-1", 1)), sim.nodes["b"].submit(batchJob("wk-1", 1))
	for _, fn := range held {
		fn()
	}
	sim.deliverAll()
	want(t, "answers", fmt.Sprint(r1.Status, r2.Status), "201 200")
}

func TestCancelledTasksAreNotRestarted(t *testing.T) {
	sim := newSimulation(t, "a", "b", "c")
	agent := sim.addMachine("vm-1", "z1")
	sim.run(2 * time.Second)
	follower := sim.follower()
	want(t, "submit", follower.submit(batchJob("wk-1", 8)).Status, 201)
	sim.run(3 * time.Second)
	want(t, "running", len(agent.running()), 4)
	code, status := sim.leader().cancel("wk-1")
	want(t, "abort", fmt.Sprintf("%d %s", code, status), "200 withdrawn")
	for _, name := range sim.names {
		sim.wantStatus(sim.nodes[name], "wk-1", 200, "withdrawn")
		code, status = sim.nodes[name].cancel("wk-1")
		want(t, "again", fmt.Sprintf("%d %s", code, status), "200 withdrawn")
	}
	starts := agent.starts
	sim.run(4 * time.Second)
	want(t, "left on the machine", len(agent.tasks), 0)
	want(t, "starts after", agent.starts, starts)
	code, _ = follower.cancel("wk-77")
	want(t, "abort of an unknown job", code, 404)
}

// While the end of a job is being written another node may tell it already;
// its owner must not answer from memory then (went_back).
func TestNoStaleStatusWhileTheEndIsWritten(t *testing.T) {
	sim := newSimulation(t, "a", "b")
	want(t, "submit", sim.nodes["a"].submit(batchJob("wk-1", 1)).Status, 201)
	var answer func()
	sim.state.onTransaction = func(_ string, txn *protocol.Transaction, apply func() storage.Response, done func(storage.Response)) bool {
		if answer == nil && len(txn.Then) > 0 && txn.Then[0].Put == storage.JobKey("wk-1") {
			r := apply()
			answer = func() { done(r) }
			return true
		}
		return false
	}
	r := sim.nodes["a"].call("POST", "/submissions/wk-1/abort", nil)
	want(t, "abort", r.Status, 0)
	sim.wantStatus(sim.nodes["b"], "wk-1", 200, "withdrawn")
	sim.wantStatus(sim.nodes["a"], "wk-1", 200, "withdrawn")
	answer()
	sim.deliverAll()
	want(t, "abort", r.Status, 200)
}

// Finished tasks are forgotten by their machine only once they are written.
func TestForgetFollowsTheDurableWrite(t *testing.T) {
	sim := newSimulation(t, "a")
	agent := sim.addMachine("vm-1", "z1")
	sim.run(2 * time.Second)
	want(t, "submit", sim.nodes["a"].submit(batchJob("wk-1", 8)).Status, 201)
	sim.run(2 * time.Second)
	sim.state.onTransaction = func(_ string, txn *protocol.Transaction, _ func() storage.Response, done func(storage.Response)) bool {
		if len(txn.Then) > 0 && strings.HasPrefix(txn.Then[0].Put, "done/") {
			done(storage.Response{Status: 503, Body: sim.codec.Encode(map[string]any{"error": "trouble"})})
			return true
		}
		return false
	}
	agent.finishTasks("done")
	sim.run(5 * time.Second)
	want(t, "kept on the machine", len(agent.tasks)-len(agent.running()), 4)
	sim.state.onTransaction = nil
	sim.run(4 * time.Second)
	want(t, "kept after the write", len(agent.tasks)-len(agent.running()), 0)
	sim.crash("a")
	sim.advance(8 * time.Second)
	sim.start("a")
	sim.run(8 * time.Second)
	agent.finishTasks("done")
	sim.run(4 * time.Second)
	sim.wantStatus(sim.nodes["a"], "wk-1", 200, "done")
	want(t, "starts", agent.starts, 8)
}

// Until an owner has joined, all of its ledger counts against the limit.
func TestLimitHoldsAcrossFailures(t *testing.T) {
	sim := newSimulation(t, "a", "b", "c")
	for i := range 8 {
		sim.addMachine(fmt.Sprintf("vm-%d", i), "z1")
	}
	sim.run(15 * time.Second)
	for i, name := range sim.names {
		want(t, "submit", sim.nodes[name].submit(batchJob(fmt.Sprintf("wk-%d", i), 12).with("crew", "red")).Status, 201)
	}
	check := func(d time.Duration) {
		t.Helper()
		for end := sim.now + d; sim.now < end; {
			sim.run(time.Second)
			if got := float64(sim.runningTasks()) * 2; got > 32 {
				t.Fatalf("team uses %v CPUs of 32", got)
			}
		}
	}
	check(5 * time.Second)
	want(t, "running at the limit", sim.runningTasks(), 16)
	lead := sim.leader()
	sim.crash(lead.name)
	sim.agents["vm-0"].finishTasks("done")
	check(12 * time.Second)
	sim.start(lead.name)
	check(10 * time.Second)
	for _, name := range sim.names {
		sim.crash(name)
	}
	sim.agents["vm-1"].finishTasks("done")
	sim.advance(7 * time.Second)
	for _, name := range sim.names {
		sim.start(name)
	}
	check(beyondAnyLease)
	want(t, "running at the limit again", sim.runningTasks(), 16)
}

func TestInvalidSubmissionsAreRefused(t *testing.T) {
	sim := newSimulation(t, "a")
	n := sim.nodes["a"]
	for _, c := range []struct {
		why    string
		f      jobRequest
		status int
	}{
		{"id", batchJob("job-1", 1), 400},
		{"no id", batchJob("wk-1", 1).with("nameId", nil), 400},
		{"form", batchJob("wk-1", 1).with("form", "gang"), 400},
		{"urgency", batchJob("wk-1", 1).with("urgency", "soon"), 400},
		{"no tasks", batchJob("wk-1", 0), 400},
		{"too many tasks", batchJob("wk-1", 100001), 400},
		{"negative", batchJob("wk-1", 1).with("vcpus", -1.0), 400},
		{"NaN", batchJob("wk-1", 1).with("ramGb", math.NaN()), 400},
		{"infinite", batchJob("wk-1", 1).with("expectedS", math.Inf(1)), 400},
		{"ill-typed", batchJob("wk-1", 1).with("vcpus", "two"), 400},
		{"missing", batchJob("wk-1", 1).with("together", nil), 400},
		{"team", batchJob("wk-1", 1).with("crew", "green"), 422},
		{"too large", batchJob("wk-1", 1).with("vcpus", 64.0), 422},
		{"no type", batchJob("wk-1", 1).with("breeds", []string{"x"}), 422},
		{"zone", batchJob("wk-1", 1).with("hall", "z9"), 422},
		{"whole numbers for amounts", batchJob("wk-2", 1).with("vcpus", 2), 201},
		{"a known job comes first", batchJob("wk-2", 1).with("crew", "green"), 200},
		{"empty page", batchJob("wk-1", 1).with("unknown", "field"), 201},
	} {
		want(t, c.why, n.submit(c.f).Status, c.status)
	}
	for _, body := range [][]byte{nil, {0x01}, []byte("{}"), {0xa1}, {0xbf, 0xff}, {0x5f}} {
		want(t, fmt.Sprintf("body %x", body), n.call("POST", "/submissions", body).Status, 400)
		want(t, fmt.Sprintf("report %x", body), n.call("POST", "/checkin", body).Status, 400)
	}
	want(t, "unknown path", n.call("GET", "/nothing", nil).Status, 404)
	want(t, "wrong method", n.call("PUT", "/submissions", nil).Status, 405)
	want(t, "wrong method", n.call("GET", "/submissions/wk-1/abort", nil).Status, 405)
}

func TestInvalidHeartbeatChangesNothing(t *testing.T) {
	sim := newSimulation(t, "a")
	agent := sim.addMachine("vm-1", "z1")
	sim.run(2 * time.Second)
	before := len(sim.nodes["a"].controller.leader.machines.byName)
	good := map[string]any{"roost": "vm-7", "breed": "m8", "hall": "z1", "loaners": false, "perch": 1, "tick": 1, "baton": 0, "pages": []any{}}
	for key, bad := range map[string]any{"roost": nil, "perch": "x", "tick": -1, "pages": []any{map[string]any{"page": "zzz", "try": 1, "status": "running"}}, "recallInS": math.NaN()} {
		f := make(map[string]any)
		for g, v := range good {
			f[g] = v
		}
		f[key] = bad
		want(t, key, sim.nodes["a"].call("POST", "/checkin", sim.codec.Encode(f)).Status, 400)
	}
	want(t, "machines", len(sim.nodes["a"].controller.leader.machines.byName), before)
	want(t, "a good report", agent.heartbeat().Status, 200)
}

// Work that is accepted has to be held in memory; what would not fit is
// refused with a time to come back, and known jobs are still known.
func TestSubmissionsAreBoundedByMemory(t *testing.T) {
	sim := newSimulation(t, "a")
	n := sim.nodes["a"]
	accepted := 0
	for i := range 10 {
		r := n.submit(batchJob(fmt.Sprintf("wk-%d", i), 100_000))
		if r.Status == 201 {
			accepted++
			continue
		}
		want(t, "refusal", fmt.Sprintf("%d %v", r.Status, r.RetryAfterS > 1), "503 true")
	}
	want(t, "accepted", accepted, 3)
	want(t, "a known job", n.submit(batchJob("wk-0", 100_000)).Status, 200)
	code, _ := n.cancel("wk-0")
	want(t, "abort", code, 200)
	want(t, "once there is room again", n.submit(batchJob("wk-11", 100_000)).Status, 201)
}

// A machine that falls silent with a cancelled task on it is returned before
// the task is overdue, however many others are silent too.
func TestCancelledTaskOnSilentMachineEnds(t *testing.T) {
	sim := newSimulation(t, "a", "b", "c")
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
	code, _ := follower.cancel("wk-1")
	want(t, "abort", code, 200)
	sim.addMachine("vm-x", "z2")
	sim.run(18 * time.Second)
	want(t, "still running", sim.runningTasks(), 0)
}

// An owner that knows a job to be over has what a machine lists of it ended,
// also if its word to the leader went missing.
func TestOwnerStopsTasksTheLeaderMissed(t *testing.T) {
	sim := newSimulation(t, "a", "b")
	agent := sim.addMachine("vm-1", "z1")
	sim.run(2 * time.Second)
	follower := sim.follower()
	want(t, "submit", follower.submit(batchJob("wk-1", 2)).Status, 201)
	sim.run(3 * time.Second)
	want(t, "running", len(agent.running()), 2)
	code, _ := follower.cancel("wk-1")
	want(t, "abort", code, 200)
	j := sim.leader().controller.leader.jobs["wk-1"]
	j.ended = false
	sim.run(fullStatusInterval + 3*time.Second)
	want(t, "running", len(agent.running()), 0)
}
