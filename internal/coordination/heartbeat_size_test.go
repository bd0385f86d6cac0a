package coordination

import (
	"encoding/json"
	"fmt"
	"math"
	"strings"
	"testing"
	"time"

	"github.com/cobaltvale/cobaltvale/internal/protocol"
	"github.com/cobaltvale/cobaltvale/internal/simtest"
)

// requestLimit is the protocol's limit of a request, in bytes of its JSON form.
const requestLimit = 65536

// heartbeatTasks is the part of a heartbeat that grows with the number of tasks.
type heartbeatTasks struct {
	Tasks []struct {
		Name    string `cbor:"page" json:"page"`
		Replica uint64 `cbor:"try" json:"try"`
		State   string `cbor:"status" json:"status"`
		Cause   string `cbor:"cause" json:"cause"`
	} `cbor:"pages" json:"pages"`
}

// jsonSize returns the size of a value in bytes of its JSON form.
func jsonSize(t *testing.T, v any) int {
	t.Helper()
	text, err := json.Marshal(v)
	if err != nil {
		t.Fatal(err)
	}
	return len(text)
}

// A heartbeat of a full machine is rejected as too long: its names and numbers are the longest.
func TestLongestHeartbeatOfAFullMachineIsAccepted(t *testing.T) {
	job := "wk-" + strings.Repeat("9", 24)
	if !protocol.ValidJobID(job) || protocol.ValidJobID(job+"9") {
		t.Fatalf("%s is not the longest job ID", job)
	}
	var tasks []any
	for range maxTasksPerMachine {
		tasks = append(tasks, map[string]any{"page": protocol.TaskName(job, 99999), "try": uint64(math.MaxUint64), "status": "ended", "cause": "no_such", "saved": false})
	}
	heartbeat := map[string]any{"roost": strings.Repeat("m", 200), "address": strings.Repeat("1", 40), "breed": strings.Repeat("b", 200), "hall": strings.Repeat("h", 200),
		"loaners": false, "perch": uint64(math.MaxUint64), "tick": uint64(math.MaxUint64), "baton": uint64(math.MaxUint64), "recallInS": 123456.789012345, "pages": tasks}
	if size := jsonSize(t, heartbeat); size > requestLimit {
		t.Fatalf("the heartbeat has %d bytes, want at most %d", size, requestLimit)
	}
}

// A machine is filled with tiny tasks until its heartbeats are longer than a request may be. All of
// them are rejected, its lease ends, and the tasks of all jobs on it are lost, again and again.
func TestManyTinyTasksKeepHeartbeatsWithinTheLimit(t *testing.T) {
	sim := newSimulation(t, "a", "b", "c")
	agent := sim.AddMachine("vm-1", "z1")
	sim.Cloud.RejectsScaleOut = true
	sim.Run(2 * time.Second)
	const tasks = 2*maxTasksPerMachine + 200
	requireEqual(t, "submission", sim.Follower().Submit(simtest.BatchJob("wk-1", tasks).With("vcpus", 0.001).With("ramGb", 0.001)).Status, 201)
	done := make(map[string]bool)
	sim.OnTaskDone = func(_ *simtest.Agent, name string) { done[name] = true }
	agent.TaskDuration = 20 * time.Second
	for second := 0; second < 300 && len(done) < tasks; second++ {
		sim.Run(time.Second)
		var heartbeat heartbeatTasks
		if err := sim.Codec.Decode(agent.HeartbeatBody(), &heartbeat); err != nil {
			t.Fatal(err)
		}
		if size := jsonSize(t, heartbeat); size > requestLimit {
			t.Fatalf("after %d s the heartbeat has %d bytes, want at most %d", second, size, requestLimit)
		}
	}
	requireEqual(t, "completed tasks", fmt.Sprint(len(done)), fmt.Sprint(tasks))
	requireEqual(t, "machine's epoch", agent.Epoch, 1)
}
