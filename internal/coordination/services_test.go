package coordination

import (
	"bytes"
	"fmt"
	"os"
	"strings"
	"testing"
	"time"

	"google.golang.org/protobuf/proto"
	"google.golang.org/protobuf/types/dynamicpb"

	"github.com/cobaltvale/cobaltvale/internal/protocol/meshpb"
	"github.com/cobaltvale/cobaltvale/internal/simtest"
)

// machinesByTask returns the machines on which a job's tasks run, by the tasks' names.
func (sim *simulation) machinesByTask(id string) map[string]string {
	out := make(map[string]string)
	for _, agent := range sim.Agents {
		for _, name := range agent.Running() {
			if strings.HasPrefix(name, id+"/") {
				out[name] = agent.Name
			}
		}
	}
	return out
}

// A service runs until its user cancels it. A task of it that ends, for whatever reason,
// is started again as a replica with a higher number, but not on the machine that keeps
// its result. No task of a service ever counts as done.
func TestServiceRunsUntilItIsCancelled(t *testing.T) {
	sim := newSimulation(t, "a", "b", "c")
	sim.AddMachines(4)
	sim.Run(2 * time.Second)
	requireEqual(t, "submit", sim.Follower().Submit(simtest.ServiceJob("wk-1", 3)).Status, 201)
	sim.Run(4 * time.Second)
	requireEqual(t, "replicas", len(sim.machinesByTask("wk-1")), 3)
	for _, cause := range []string{"done", "error", "halted"} {
		sim.Run(25 * time.Second)
		was := sim.machinesByTask("wk-1")["wk-1/0"]
		starts := sim.Agents[was].Starts
		for _, task := range sim.Agents[was].Tasks {
			if task.Name == "wk-1/0" && task.State == "running" {
				task.State, task.Cause = "ended", cause
			}
		}
		if cause == "done" { // for 4 s only the machine that keeps the result sends heartbeats
			for _, agent := range sim.Agents {
				agent.Silent = agent.Name != was
			}
			sim.Run(4 * time.Second)
			if sim.Agents[was].Starts > starts {
				t.Fatal("the task was started on the machine that keeps its result")
			}
			for _, agent := range sim.Agents {
				agent.Silent = false
			}
		}
		sim.Run(4 * time.Second)
		requireEqual(t, "replicas after "+cause, len(sim.machinesByTask("wk-1")), 3)
		for _, name := range sim.Members {
			code, s := sim.Nodes[name].Status("wk-1")
			requireEqual(t, "status", fmt.Sprintf("%d %s %d %d", code, s.Status, *s.Done, *s.Running), "200 running 0 3")
		}
	}
	for key := range sim.State.Keys {
		if strings.HasPrefix(key, "done/") {
			t.Fatalf("%s was written for a service", key)
		}
	}
	code, status := sim.Follower().Cancel("wk-1")
	requireEqual(t, "cancelled", fmt.Sprint(code, status), "200withdrawn")
	sim.Run(3 * time.Second)
	requireEqual(t, "replicas that remain", len(sim.machinesByTask("wk-1")), 0)
	requireEqual(t, "repeated submission", sim.Nodes["a"].Submit(simtest.ServiceJob("wk-1", 3)).Status, 200)
	sim.requireStatus(sim.Nodes["b"], "wk-1", 200, "withdrawn")
}

// A service whose tasks end at once is restarted with a delay instead of in a tight loop,
// and causes no quarantine. Once its tasks keep running, all of them run.
func TestServiceThatEndsAtOnceIsBackedOff(t *testing.T) {
	sim := newSimulation(t, "a", "b", "c")
	for i := range 6 {
		sim.AddMachine(fmt.Sprintf("vm-%d", i), "z1").TaskDuration = time.Second
	}
	sim.Run(2 * time.Second)
	n := sim.Leader()
	starts := 0
	sim.OnStart = func(*simtest.Agent, *simtest.AgentTask) { starts++ }
	requireEqual(t, "submit", n.Submit(simtest.ServiceJob("wk-1", 2)).Status, 201)
	for range 90 {
		sim.Run(time.Second)
		sim.BootMachines(time.Second)
	}
	if starts < 5 || starts > 40 {
		t.Fatalf("%d starts in 90 s of a service that ends at once, want 5 to 40", starts)
	}
	for m := range controllerOf(n).leader.machines.all {
		requireEqual(t, "quarantined", m.quarantined, false)
	}
	for _, agent := range sim.Agents {
		agent.TaskDuration = 0
	}
	for range 80 {
		sim.Run(time.Second)
		sim.BootMachines(0)
	}
	requireEqual(t, "replicas", len(sim.machinesByTask("wk-1")), 2)
}

// Replicas of services keep running, without being started again, when leaders crash one
// after the other and when all controllers crash.
func TestServiceSurvivesTakeovers(t *testing.T) {
	sim := newSimulation(t, "a", "b", "c")
	sim.AddMachines(4)
	sim.Run(2 * time.Second)
	for i, name := range sim.Members {
		requireEqual(t, "submit", sim.Nodes[name].Submit(simtest.ServiceJob(fmt.Sprint("wk-", i+1), 2)).Status, 201)
	}
	sim.Run(4 * time.Second)
	requireEqual(t, "replicas", sim.runningTasks(), 6)
	for range 2 {
		lead := sim.Leader().Name
		sim.Crash(lead)
		sim.Run(9 * time.Second)
		sim.Start(lead)
		sim.Run(9 * time.Second)
	}
	sim.CrashAll()
	sim.Advance(5 * time.Second)
	sim.StartMembers()
	sim.Run(15 * time.Second)
	requireEqual(t, "replicas that still run", sim.runningTasks(), 6)
	requireEqual(t, "starts", sim.startCount(), 6)
	for i := range sim.Members {
		sim.requireStatus(sim.Nodes["b"], fmt.Sprint("wk-", i+1), 200, "running")
	}
}

// A service that can never run is rejected, whichever limit it exceeds.
func TestServiceBeyondTeamLimitIsRejected(t *testing.T) {
	sim := newSimulation(t, "a")
	sim.AddMachine("vm-1", "z1")
	sim.Run(2 * time.Second)
	n := sim.Nodes["a"]
	requireEqual(t, "at the limit", n.Submit(simtest.ServiceJob("wk-1", 16).With("crew", "red")).Status, 201)
	requireEqual(t, "beyond it", n.Submit(simtest.ServiceJob("wk-2", 17).With("crew", "red")).Status, 422)
	requireEqual(t, "an array", n.Submit(simtest.BatchJob("wk-3", 17).With("crew", "red")).Status, 201)
	requireEqual(t, "no limit", n.Submit(simtest.ServiceJob("wk-4", 17)).Status, 201)
	requireEqual(t, "no urgency", n.Submit(simtest.ServiceJob("wk-5", 1).With("urgency", nil)).Status, 400)
	requireEqual(t, "a gang", n.Submit(simtest.ServiceJob("wk-6", 1).With("form", "gang")).Status, 400)
	requireEqual(t, "no form", n.Submit(simtest.ServiceJob("wk-6", 1).With("form", nil)).Status, 400)
	requireEqual(t, "a run time", n.Submit(simtest.ServiceJob("wk-6", 1).With("expectedS", 30.0)).Status, 400)
	requireEqual(t, "no run time", n.Submit(simtest.ServiceJob("wk-6", 1).With("expectedS", nil)).Status, 400)
	requireEqual(t, "out of range", n.Submit(simtest.ServiceJob("wk-6", 1).With("vcpus", -1.0)).Status, 400)
	requireEqual(t, "fits no machine", n.Submit(simtest.ServiceJob("wk-6", 1).With("vcpus", 9.0)).Status, 422)
	requireEqual(t, "no allowed type", n.Submit(simtest.ServiceJob("wk-6", 1).With("breeds", []string{"x"})).Status, 422)
	requireEqual(t, "unknown team", n.Submit(simtest.ServiceJob("wk-6", 1).With("crew", "green")).Status, 422)
	requireEqual(t, "a retry with another spec", n.Submit(simtest.ServiceJob("wk-1", 17).With("crew", "red")).Status, 200)
}

// While a member runs the previous version, which would treat a service as an array, new
// services are rejected with a time after which to retry; arrays are accepted. A member of
// that version that has been down for long does not block services.
func TestServicesWaitForTheUpgrade(t *testing.T) {
	sim := newSimulation(t, "a", "b", "c")
	sim.AddMachine("vm-1", "z1")
	sim.Crash("c")
	sim.PreviousVersion["c"] = true
	sim.Start("c")
	sim.Run(10 * time.Second)
	r := sim.Nodes["a"].Submit(simtest.ServiceJob("wk-1", 2))
	requireEqual(t, "service", fmt.Sprint(r.Status, r.RetryAfterS > 0), "503 true")
	requireEqual(t, "array", sim.Nodes["a"].Submit(simtest.BatchJob("wk-2", 2)).Status, 201)
	sim.Crash("c")
	sim.Run(30 * time.Second)
	requireEqual(t, "service while the member may return with the previous version", sim.Nodes["a"].Submit(simtest.ServiceJob("wk-1", 2)).Status, 503)
	sim.Run(50 * time.Second)
	requireEqual(t, "service after the member was down for long", sim.Nodes["a"].Submit(simtest.ServiceJob("wk-1", 2)).Status, 201)
	sim.Start("c")
	sim.Run(10 * time.Second)
	requireEqual(t, "service after the member returned with the previous version", sim.Nodes["b"].Submit(simtest.ServiceJob("wk-3", 2)).Status, 503)
	requireEqual(t, "repeated submission of the known service", sim.Nodes["b"].Submit(simtest.ServiceJob("wk-1", 2)).Status, 200)
	sim.Crash("c")
	delete(sim.PreviousVersion, "c")
	sim.Start("c")
	sim.Run(10 * time.Second)
	requireEqual(t, "service when all members run this version", sim.Nodes["b"].Submit(simtest.ServiceJob("wk-3", 2)).Status, 201)
}

// When all machines that it may use are full, a service preempts tasks of any lower
// priority, urgent ones included, but no tasks of other services of its own priority.
func TestServicePreemptsLowerPriorities(t *testing.T) {
	sim := newSimulation(t, "a", "b", "c")
	sim.Cloud.RejectsScaleOut = true
	sim.AddMachine("vm-1", "z1")
	sim.AddMachine("vm-2", "z1")
	sim.Run(2 * time.Second)
	n := sim.Leader()
	requireEqual(t, "urgent", n.Submit(simtest.BatchJob("wk-1", 8).With("urgency", "urgent")).Status, 201)
	sim.Run(4 * time.Second)
	requireEqual(t, "running", sim.runningTasks(), 8)
	requireEqual(t, "service", n.Submit(simtest.ServiceJob("wk-2", 3)).Status, 201)
	sim.Run(6 * time.Second)
	requireEqual(t, "replicas", len(sim.machinesByTask("wk-2")), 3)
	requireEqual(t, "second service", n.Submit(simtest.ServiceJob("wk-3", 8)).Status, 201)
	sim.Run(10 * time.Second)
	requireEqual(t, "replicas of the first", len(sim.machinesByTask("wk-2")), 3)
	requireEqual(t, "replicas of both", sim.runningTasks(), 8)
}

// Replicas of a service leave a machine that the cloud is about to reclaim one after the
// other, each once there is room for it on another machine; shortly before the end of the
// machine they are stopped even without room.
func TestReplicasMoveOffADrainingMachine(t *testing.T) {
	for _, room := range []bool{true, false} {
		t.Run(fmt.Sprint("room: ", room), func(t *testing.T) {
			sim := newSimulation(t, "a", "b", "c")
			sim.Cloud.RejectsScaleOut = true
			first := sim.AddMachine("vm-0", "z1")
			sim.Run(2 * time.Second)
			n := sim.Leader()
			requireEqual(t, "submit", n.Submit(simtest.ServiceJob("wk-1", 3)).Status, 201)
			sim.Run(4 * time.Second)
			requireEqual(t, "replicas", len(first.Running()), 3)
			if room {
				sim.AddMachine("vm-1", "z1")
				sim.AddMachine("vm-2", "z1")
				sim.Run(4 * time.Second)
			}
			least := 3
			for left := 14; left > 1; left-- {
				first.PreemptionNotice = float64(left)
				sim.Run(time.Second)
				least = min(least, len(sim.machinesByTask("wk-1")))
				if !room && left > 5 {
					requireEqual(t, "replicas that stay without room elsewhere", len(first.Running()), 3)
				}
			}
			requireEqual(t, "replicas that remain on the machine", len(first.Running()), 0)
			if room {
				requireEqual(t, "moved replicas", len(sim.machinesByTask("wk-1")), 3)
				requireEqual(t, "at least 2 replicas at all times", least >= 2, true)
			}
		})
	}
}

// A frame of this version can be read with the schema of the previous version with the same
// content, and the other way round.
func TestFramesOfThePreviousVersion(t *testing.T) {
	read := func(name string) []byte {
		t.Helper()
		b, err := os.ReadFile("testdata/production/" + name)
		if err != nil {
			t.Fatal(err)
		}
		return b
	}
	frame := previousSchema.descriptor(t)
	raw := read("join.binpb")
	var f meshpb.Frame
	if err := proto.Unmarshal(raw, &f); err != nil {
		t.Fatal(err)
	}
	j := f.GetRegisterShard().GetJobs()[0]
	requireEqual(t, "content of a registration", fmt.Sprintf("%s %d %t %t", j.GetJob(), j.GetTasks(), j.GetCancelling(), j.GetService()), "wk-000003 700 true false")
	again, err := proto.MarshalOptions{Deterministic: true}.Marshal(&f)
	if err != nil {
		t.Fatal(err)
	}
	requireEqual(t, "same bytes when encoded again", bytes.Equal(again, raw), true)
	j.Service = true
	if again, err = proto.Marshal(&f); err != nil {
		t.Fatal(err)
	}
	old := dynamicpb.NewMessage(frame)
	if err := (proto.UnmarshalOptions{DiscardUnknown: true}).Unmarshal(again, old); err != nil {
		t.Fatal(err)
	}
	if again, err = (proto.MarshalOptions{Deterministic: true}).Marshal(old); err != nil {
		t.Fatal(err)
	}
	requireEqual(t, "the previous version reads a service as an array", bytes.Equal(again, raw), true)
}

// Frames of unknown kinds, or without the expected content, are ignored, and the stream
// continues.
func TestUnknownFramesAreIgnored(t *testing.T) {
	sim := newSimulation(t, "a", "b")
	sim.AddMachine("vm-1", "z1")
	sim.Run(2 * time.Second)
	lead, other := sim.Leader(), sim.Follower()
	for _, raw := range [][]byte{
		{0xba, 0x06, 0x02, 0x08, 0x01},             // body 103
		{0x1a, 0x00},                               // an empty registration
		{0x2a, 0x04, 0x12, 0x02, 0xd8, 0x07},       // a demand with a job with an unknown field, truncated
		{0x3a, 0x06, 0x10, 0xff, 0xff, 0xff, 0x0f}, // an offer of an unknown machine
		{0x52, 0x04, 0x0a, 0x02, 0x08, 0x63},       // a command for an unknown machine
		{0x8a, 0x01, 0x02, 0x08, 0x07},             // a request for extensions without keys
	} {
		var f meshpb.Frame
		if proto.Unmarshal(raw, &f) != nil {
			continue // the transport ends such a stream
		}
		controllerOf(lead).LinkFrame(lead.Links[other.Name], &f)
		controllerOf(other).LinkFrame(other.Links[lead.Name], &f)
		sim.DeliverAll()
	}
	requireEqual(t, "submit", other.Submit(simtest.BatchJob("wk-1", 2)).Status, 201)
	sim.Run(4 * time.Second)
	requireEqual(t, "running", sim.runningTasks(), 2)
}
