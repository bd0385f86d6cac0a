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
)

func serviceJob(id string, tasks int) jobRequest {
	return batchJob(id, tasks).with("form", "service").with("urgency", "production").with("expectedS", 0.0).with("loaners", false)
}

// machinesOfJob tells where a job's tasks run.
func (sim *simulation) machinesOfJob(id string) map[string]string {
	out := make(map[string]string)
	for _, agent := range sim.agents {
		for _, name := range agent.running() {
			if strings.HasPrefix(name, id+"/") {
				out[name] = agent.name
			}
		}
	}
	return out
}

// A service runs until its user cancels it. A replica that ends, however that
// comes, runs again under a higher number, and not where its result is kept; no
// task of it ever counts as done.
func TestServiceRunsUntilItIsCancelled(t *testing.T) {
	sim := newSimulation(t, "a", "b", "c")
	for i := range 4 {
		sim.addMachine(fmt.Sprintf("vm-%d", i), "z1")
	}
	sim.run(2 * time.Second)
	want(t, "submit", sim.follower().submit(serviceJob("wk-1", 3)).Status, 201)
	sim.run(4 * time.Second)
	want(t, "replicas", len(sim.machinesOfJob("wk-1")), 3)
	for _, why := range []string{"done", "error", "halted"} {
		sim.run(25 * time.Second)
		was := sim.machinesOfJob("wk-1")["wk-1/0"]
		starts := sim.agents[was].starts
		for _, task := range sim.agents[was].tasks {
			if task.name == "wk-1/0" && task.state == "running" {
				task.state, task.cause = "ended", why
			}
		}
		if why == "done" { // for a while only the machine that keeps the result reports
			for _, agent := range sim.agents {
				agent.silent = agent.name != was
			}
			sim.run(4 * time.Second)
			if sim.agents[was].starts > starts {
				t.Fatal("it is started where its result is kept")
			}
			for _, agent := range sim.agents {
				agent.silent = false
			}
		}
		sim.run(4 * time.Second)
		want(t, "replicas after "+why, len(sim.machinesOfJob("wk-1")), 3)
		for _, name := range sim.names {
			code, s := sim.nodes[name].status("wk-1")
			want(t, "status", fmt.Sprintf("%d %s %d %d", code, s.Status, *s.Done, *s.Running), "200 running 0 3")
		}
	}
	for key := range sim.state.keys {
		if strings.HasPrefix(key, "done/") {
			t.Fatalf("%s is written for a service", key)
		}
	}
	code, status := sim.follower().cancel("wk-1")
	want(t, "cancelled", fmt.Sprint(code, status), "200withdrawn")
	sim.run(3 * time.Second)
	want(t, "replicas that are left", len(sim.machinesOfJob("wk-1")), 0)
	want(t, "repeat", sim.nodes["a"].submit(serviceJob("wk-1", 3)).Status, 200)
	sim.wantStatus(sim.nodes["b"], "wk-1", 200, "withdrawn")
}

// A service whose tasks end at once is no hot loop, and harms no machine; once
// they run on, it is served as any other.
func TestServiceThatEndsAtOnceIsBackedOff(t *testing.T) {
	sim := newSimulation(t, "a", "b", "c")
	for i := range 6 {
		sim.addMachine(fmt.Sprintf("vm-%d", i), "z1").taskDuration = time.Second
	}
	sim.run(2 * time.Second)
	n := sim.leader()
	starts := 0
	sim.onStart = func(*machineAgent, *agentTask) { starts++ }
	want(t, "submit", n.submit(serviceJob("wk-1", 2)).Status, 201)
	for range 90 {
		sim.run(time.Second)
		sim.bootMachines(time.Second)
	}
	if starts < 5 || starts > 40 {
		t.Fatalf("%d starts in 90 s of a service that ends at once", starts)
	}
	for m := range n.controller.leader.machines.all {
		want(t, "set aside", m.quarantined, false)
	}
	for _, agent := range sim.agents {
		agent.taskDuration = 0
	}
	for range 80 {
		sim.run(time.Second)
		sim.bootMachines(0)
	}
	want(t, "replicas", len(sim.machinesOfJob("wk-1")), 2)
}

// Whoever ends, replicas that run are taken up as they are.
func TestServiceSurvivesTakeovers(t *testing.T) {
	sim := newSimulation(t, "a", "b", "c")
	for i := range 4 {
		sim.addMachine(fmt.Sprintf("vm-%d", i), "z1")
	}
	sim.run(2 * time.Second)
	for i, name := range sim.names {
		want(t, "submit", sim.nodes[name].submit(serviceJob(fmt.Sprint("wk-", i+1), 2)).Status, 201)
	}
	sim.run(4 * time.Second)
	want(t, "replicas", sim.runningTasks(), 6)
	for range 2 {
		lead := sim.leader().name
		sim.crash(lead)
		sim.run(9 * time.Second)
		sim.start(lead)
		sim.run(9 * time.Second)
	}
	for _, name := range sim.names {
		sim.crash(name)
	}
	sim.advance(5 * time.Second)
	for _, name := range sim.names {
		sim.start(name)
	}
	sim.run(15 * time.Second)
	want(t, "replicas that run on", sim.runningTasks(), 6)
	want(t, "starts", sim.startCount(), 6)
	for i := range sim.names {
		sim.wantStatus(sim.nodes["b"], fmt.Sprint("wk-", i+1), 200, "running")
	}
}

// What can never run is refused, whatever limit it breaks.
func TestServiceBeyondTeamLimitIsRefused(t *testing.T) {
	sim := newSimulation(t, "a")
	sim.addMachine("vm-1", "z1")
	sim.run(2 * time.Second)
	n := sim.nodes["a"]
	want(t, "at the limit", n.submit(serviceJob("wk-1", 16).with("crew", "red")).Status, 201)
	want(t, "beyond it", n.submit(serviceJob("wk-2", 17).with("crew", "red")).Status, 422)
	want(t, "an array", n.submit(batchJob("wk-3", 17).with("crew", "red")).Status, 201)
	want(t, "no limit", n.submit(serviceJob("wk-4", 17)).Status, 201)
	want(t, "no urgency", n.submit(serviceJob("wk-5", 1).with("urgency", nil)).Status, 400)
	want(t, "a gang", n.submit(serviceJob("wk-6", 1).with("form", "gang")).Status, 400)
	want(t, "no form", n.submit(serviceJob("wk-6", 1).with("form", nil)).Status, 400)
	want(t, "a run time", n.submit(serviceJob("wk-6", 1).with("expectedS", 30.0)).Status, 400)
	want(t, "no run time", n.submit(serviceJob("wk-6", 1).with("expectedS", nil)).Status, 400)
	want(t, "out of range", n.submit(serviceJob("wk-6", 1).with("vcpus", -1.0)).Status, 400)
	want(t, "fits no machine", n.submit(serviceJob("wk-6", 1).with("vcpus", 9.0)).Status, 422)
	want(t, "no allowed type", n.submit(serviceJob("wk-6", 1).with("breeds", []string{"x"})).Status, 422)
	want(t, "unknown team", n.submit(serviceJob("wk-6", 1).with("crew", "green")).Status, 422)
	want(t, "a retry, whatever it says", n.submit(serviceJob("wk-1", 17).with("crew", "red")).Status, 200)
}

// While some member runs the version before, which would take a service for an
// array, services are refused with a time to come back; arrays are not. A member
// of that version that is down for long keeps nobody from them.
func TestServicesWaitForTheUpgrade(t *testing.T) {
	sim := newSimulation(t, "a", "b", "c")
	sim.addMachine("vm-1", "z1")
	sim.crash("c")
	sim.previousVersion["c"] = true
	sim.start("c")
	sim.run(10 * time.Second)
	r := sim.nodes["a"].submit(serviceJob("wk-1", 2))
	want(t, "service", fmt.Sprint(r.Status, r.RetryAfterS > 0), "503 true")
	want(t, "array", sim.nodes["a"].submit(batchJob("wk-2", 2)).Status, 201)
	sim.crash("c")
	sim.run(30 * time.Second)
	want(t, "it may come back as it was", sim.nodes["a"].submit(serviceJob("wk-1", 2)).Status, 503)
	sim.run(50 * time.Second)
	want(t, "down for long", sim.nodes["a"].submit(serviceJob("wk-1", 2)).Status, 201)
	sim.start("c")
	sim.run(10 * time.Second)
	want(t, "back as it was", sim.nodes["b"].submit(serviceJob("wk-3", 2)).Status, 503)
	want(t, "known all the same", sim.nodes["b"].submit(serviceJob("wk-1", 2)).Status, 200)
	sim.crash("c")
	delete(sim.previousVersion, "c")
	sim.start("c")
	sim.run(10 * time.Second)
	want(t, "all have the new one", sim.nodes["b"].submit(serviceJob("wk-3", 2)).Status, 201)
}

// A replica gets room from anything of lower priority, urgent work too, when all
// machines that it may use are full; nothing is stopped for its like.
func TestServicePreemptsLowerPriorities(t *testing.T) {
	sim := newSimulation(t, "a", "b", "c")
	sim.cloud.refusesScaleOut = true
	sim.addMachine("vm-1", "z1")
	sim.addMachine("vm-2", "z1")
	sim.run(2 * time.Second)
	n := sim.leader()
	want(t, "urgent", n.submit(batchJob("wk-1", 8).with("urgency", "urgent")).Status, 201)
	sim.run(4 * time.Second)
	want(t, "running", sim.runningTasks(), 8)
	want(t, "service", n.submit(serviceJob("wk-2", 3)).Status, 201)
	sim.run(6 * time.Second)
	want(t, "replicas", len(sim.machinesOfJob("wk-2")), 3)
	want(t, "second service", n.submit(serviceJob("wk-3", 8)).Status, 201)
	sim.run(10 * time.Second)
	want(t, "replicas of the first", len(sim.machinesOfJob("wk-2")), 3)
	want(t, "replicas in all", sim.runningTasks(), 8)
}

// From a machine that is to be taken away replicas of a service move one after the
// other, each once there is room kept for it; from the last moment on whatever comes.
func TestReplicasMoveOffADrainingMachine(t *testing.T) {
	for _, room := range []bool{true, false} {
		sim := newSimulation(t, "a", "b", "c")
		sim.cloud.refusesScaleOut = true
		first := sim.addMachine("vm-0", "z1")
		sim.run(2 * time.Second)
		n := sim.leader()
		want(t, "submit", n.submit(serviceJob("wk-1", 3)).Status, 201)
		sim.run(4 * time.Second)
		want(t, "replicas", len(first.running()), 3)
		if room {
			sim.addMachine("vm-1", "z1")
			sim.addMachine("vm-2", "z1")
			sim.run(4 * time.Second)
		}
		least := 3
		for left := 14; left > 1; left-- {
			first.preemptionNotice = float64(left)
			sim.run(time.Second)
			least = min(least, len(sim.machinesOfJob("wk-1")))
			if !room && left > 5 {
				want(t, "replicas that stay while there is no room", len(first.running()), 3)
			}
		}
		want(t, "left on the machine", len(first.running()), 0)
		if room {
			want(t, "moved", len(sim.machinesOfJob("wk-1")), 3)
			want(t, "served all the while", least >= 2, true)
		}
	}
}

// What this version sends is read by the schema of the version before, and says
// the same there; and the other way round.
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
	want(t, "read of a join", fmt.Sprintf("%s %d %t %t", j.GetJob(), j.GetTasks(), j.GetCancelling(), j.GetService()), "wk-000003 700 true false")
	again, err := proto.MarshalOptions{Deterministic: true}.Marshal(&f)
	if err != nil {
		t.Fatal(err)
	}
	want(t, "written as it was", bytes.Equal(again, raw), true)
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
	want(t, "what the version before reads of a service is an array", bytes.Equal(again, raw), true)
}

// Frames of kinds that this version does not know, or without what it expects, are
// passed over; the stream goes on.
func TestUnknownFramesAreIgnored(t *testing.T) {
	sim := newSimulation(t, "a", "b")
	sim.addMachine("vm-1", "z1")
	sim.run(2 * time.Second)
	lead, other := sim.leader(), sim.follower()
	for _, raw := range [][]byte{
		{0xba, 0x06, 0x02, 0x08, 0x01},             // body 103
		{0x1a, 0x00},                               // an empty join
		{0x2a, 0x04, 0x12, 0x02, 0xd8, 0x07},       // a demand with a job of an unknown field, cut short
		{0x3a, 0x06, 0x10, 0xff, 0xff, 0xff, 0x0f}, // an offer of a machine that nobody has
		{0x52, 0x04, 0x0a, 0x02, 0x08, 0x63},       // an order for another
		{0x8a, 0x01, 0x02, 0x08, 0x07},             // a question for extensions without keys
	} {
		var f meshpb.Frame
		if proto.Unmarshal(raw, &f) != nil {
			continue // the transport ends such a stream
		}
		lead.controller.LinkFrame(lead.links[other.name], &f)
		other.controller.LinkFrame(other.links[lead.name], &f)
		sim.deliverAll()
	}
	want(t, "submit", other.submit(batchJob("wk-1", 2)).Status, 201)
	sim.run(4 * time.Second)
	want(t, "running", sim.runningTasks(), 2)
}
