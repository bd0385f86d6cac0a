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

func service(id string, tasks int) jobForm {
	return form(id, tasks).with("form", "service").with("urgency", "production").with("expectedS", 0.0).with("loaners", false)
}

// on tells where a job's tasks run.
func (w *world) on(id string) map[string]string {
	out := make(map[string]string)
	for _, k := range w.workers {
		for _, name := range k.running() {
			if strings.HasPrefix(name, id+"/") {
				out[name] = k.name
			}
		}
	}
	return out
}

// A service runs until its user cancels it. A replica that ends, however that
// comes, runs again under a higher number, and not where its result is kept; no
// task of it ever counts as done.
func TestServiceRunsUntilItIsCancelled(t *testing.T) {
	w := newWorld(t, "a", "b", "c")
	for i := range 4 {
		w.worker(fmt.Sprintf("vm-%d", i), "z1")
	}
	w.run(2 * time.Second)
	want(t, "submit", w.follower().submit(service("wk-1", 3)).Status, 201)
	w.run(4 * time.Second)
	want(t, "replicas", len(w.on("wk-1")), 3)
	for _, why := range []string{"done", "error", "halted"} {
		w.run(25 * time.Second)
		was := w.on("wk-1")["wk-1/0"]
		starts := w.workers[was].starts
		for _, task := range w.workers[was].tasks {
			if task.name == "wk-1/0" && task.state == "running" {
				task.state, task.why = "ended", why
			}
		}
		if why == "done" { // for a while only the machine that keeps the result reports
			for _, k := range w.workers {
				k.hung = k.name != was
			}
			w.run(4 * time.Second)
			if w.workers[was].starts > starts {
				t.Fatal("it is started where its result is kept")
			}
			for _, k := range w.workers {
				k.hung = false
			}
		}
		w.run(4 * time.Second)
		want(t, "replicas after "+why, len(w.on("wk-1")), 3)
		for _, name := range w.names {
			code, s := w.nodes[name].poll("wk-1")
			want(t, "status", fmt.Sprintf("%d %s %d %d", code, s.Status, *s.Done, *s.Running), "200 running 0 3")
		}
	}
	for key := range w.state.keys {
		if strings.HasPrefix(key, "done/") {
			t.Fatalf("%s is written for a service", key)
		}
	}
	code, status := w.follower().abort("wk-1")
	want(t, "cancelled", fmt.Sprint(code, status), "200withdrawn")
	w.run(3 * time.Second)
	want(t, "replicas that are left", len(w.on("wk-1")), 0)
	want(t, "repeat", w.nodes["a"].submit(service("wk-1", 3)).Status, 200)
	w.wantStatus(w.nodes["b"], "wk-1", 200, "withdrawn")
}

// A service whose tasks end at once is no hot loop, and harms no machine; once
// they run on, it is served as any other.
func TestServiceThatEndsAtOnce(t *testing.T) {
	w := newWorld(t, "a", "b", "c")
	for i := range 6 {
		w.worker(fmt.Sprintf("vm-%d", i), "z1").takes = time.Second
	}
	w.run(2 * time.Second)
	n := w.leader()
	starts := 0
	w.onStart = func(*worker, *workerTask) { starts++ }
	want(t, "submit", n.submit(service("wk-1", 2)).Status, 201)
	for range 90 {
		w.run(time.Second)
		w.boot(time.Second)
	}
	if starts < 5 || starts > 40 {
		t.Fatalf("%d starts in 90 s of a service that ends at once", starts)
	}
	for m := range n.core.leader.machines.all {
		want(t, "set aside", m.sick, false)
	}
	for _, k := range w.workers {
		k.takes = 0
	}
	for range 80 {
		w.run(time.Second)
		w.boot(0)
	}
	want(t, "replicas", len(w.on("wk-1")), 2)
}

// Whoever ends, replicas that run are taken up as they are.
func TestServiceSurvivesTakeovers(t *testing.T) {
	w := newWorld(t, "a", "b", "c")
	for i := range 4 {
		w.worker(fmt.Sprintf("vm-%d", i), "z1")
	}
	w.run(2 * time.Second)
	for i, name := range w.names {
		want(t, "submit", w.nodes[name].submit(service(fmt.Sprint("wk-", i+1), 2)).Status, 201)
	}
	w.run(4 * time.Second)
	want(t, "replicas", w.total(), 6)
	for range 2 {
		lead := w.leader().name
		w.crash(lead)
		w.run(9 * time.Second)
		w.start(lead)
		w.run(9 * time.Second)
	}
	for _, name := range w.names {
		w.crash(name)
	}
	w.advance(5 * time.Second)
	for _, name := range w.names {
		w.start(name)
	}
	w.run(15 * time.Second)
	want(t, "replicas that run on", w.total(), 6)
	want(t, "starts", w.starts(), 6)
	for i := range w.names {
		w.wantStatus(w.nodes["b"], fmt.Sprint("wk-", i+1), 200, "running")
	}
}

// What can never run is refused, whatever limit it breaks.
func TestServiceBeyondItsTeamsLimit(t *testing.T) {
	w := newWorld(t, "a")
	w.worker("vm-1", "z1")
	w.run(2 * time.Second)
	n := w.nodes["a"]
	want(t, "at the limit", n.submit(service("wk-1", 16).with("crew", "red")).Status, 201)
	want(t, "beyond it", n.submit(service("wk-2", 17).with("crew", "red")).Status, 422)
	want(t, "an array", n.submit(form("wk-3", 17).with("crew", "red")).Status, 201)
	want(t, "no limit", n.submit(service("wk-4", 17)).Status, 201)
	want(t, "no urgency", n.submit(service("wk-5", 1).with("urgency", nil)).Status, 400)
	want(t, "a gang", n.submit(service("wk-6", 1).with("form", "gang")).Status, 400)
	want(t, "no form", n.submit(service("wk-6", 1).with("form", nil)).Status, 400)
	want(t, "a run time", n.submit(service("wk-6", 1).with("expectedS", 30.0)).Status, 400)
	want(t, "no run time", n.submit(service("wk-6", 1).with("expectedS", nil)).Status, 400)
	want(t, "out of range", n.submit(service("wk-6", 1).with("vcpus", -1.0)).Status, 400)
	want(t, "fits no machine", n.submit(service("wk-6", 1).with("vcpus", 9.0)).Status, 422)
	want(t, "no allowed type", n.submit(service("wk-6", 1).with("breeds", []string{"x"})).Status, 422)
	want(t, "unknown team", n.submit(service("wk-6", 1).with("crew", "green")).Status, 422)
	want(t, "a retry, whatever it says", n.submit(service("wk-1", 17).with("crew", "red")).Status, 200)
}

// While some member runs the version before, which would take a service for an
// array, services are refused with a time to come back; arrays are not. A member
// of that version that is down for long keeps nobody from them.
func TestServicesWaitForTheUpgrade(t *testing.T) {
	w := newWorld(t, "a", "b", "c")
	w.worker("vm-1", "z1")
	w.crash("c")
	w.before["c"] = true
	w.start("c")
	w.run(10 * time.Second)
	r := w.nodes["a"].submit(service("wk-1", 2))
	want(t, "service", fmt.Sprint(r.Status, r.RetryAfterS > 0), "503 true")
	want(t, "array", w.nodes["a"].submit(form("wk-2", 2)).Status, 201)
	w.crash("c")
	w.run(30 * time.Second)
	want(t, "it may come back as it was", w.nodes["a"].submit(service("wk-1", 2)).Status, 503)
	w.run(50 * time.Second)
	want(t, "down for long", w.nodes["a"].submit(service("wk-1", 2)).Status, 201)
	w.start("c")
	w.run(10 * time.Second)
	want(t, "back as it was", w.nodes["b"].submit(service("wk-3", 2)).Status, 503)
	want(t, "known all the same", w.nodes["b"].submit(service("wk-1", 2)).Status, 200)
	w.crash("c")
	delete(w.before, "c")
	w.start("c")
	w.run(10 * time.Second)
	want(t, "all have the new one", w.nodes["b"].submit(service("wk-3", 2)).Status, 201)
}

// A replica gets room from anything of lower priority, urgent work too, when all
// machines that it may use are full; nothing is stopped for its like.
func TestServiceIsMadeRoomFor(t *testing.T) {
	w := newWorld(t, "a", "b", "c")
	w.cloud.refuse = true
	w.worker("vm-1", "z1")
	w.worker("vm-2", "z1")
	w.run(2 * time.Second)
	n := w.leader()
	want(t, "urgent", n.submit(form("wk-1", 8).with("urgency", "urgent")).Status, 201)
	w.run(4 * time.Second)
	want(t, "running", w.total(), 8)
	want(t, "service", n.submit(service("wk-2", 3)).Status, 201)
	w.run(6 * time.Second)
	want(t, "replicas", len(w.on("wk-2")), 3)
	want(t, "second service", n.submit(service("wk-3", 8)).Status, 201)
	w.run(10 * time.Second)
	want(t, "replicas of the first", len(w.on("wk-2")), 3)
	want(t, "replicas in all", w.total(), 8)
}

// From a machine that is to be taken away replicas of a service move one after the
// other, each once there is room kept for it; from the last moment on whatever comes.
func TestReplicasMoveAheadOfTheEnd(t *testing.T) {
	for _, room := range []bool{true, false} {
		w := newWorld(t, "a", "b", "c")
		w.cloud.refuse = true
		first := w.worker("vm-0", "z1")
		w.run(2 * time.Second)
		n := w.leader()
		want(t, "submit", n.submit(service("wk-1", 3)).Status, 201)
		w.run(4 * time.Second)
		want(t, "replicas", len(first.running()), 3)
		if room {
			w.worker("vm-1", "z1")
			w.worker("vm-2", "z1")
			w.run(4 * time.Second)
		}
		least := 3
		for left := 14; left > 1; left-- {
			first.notice = float64(left)
			w.run(time.Second)
			least = min(least, len(w.on("wk-1")))
			if !room && left > 5 {
				want(t, "replicas that stay while there is no room", len(first.running()), 3)
			}
		}
		want(t, "left on the machine", len(first.running()), 0)
		if room {
			want(t, "moved", len(w.on("wk-1")), 3)
			want(t, "served all the while", least >= 2, true)
		}
	}
}

// What this version sends is read by the schema of the version before, and says
// the same there; and the other way round.
func TestFramesOfTheVersionBefore(t *testing.T) {
	read := func(name string) []byte {
		t.Helper()
		b, err := os.ReadFile("testdata/production/" + name)
		if err != nil {
			t.Fatal(err)
		}
		return b
	}
	frame := production.frame(t)
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
func TestUnknownFramesArePassedOver(t *testing.T) {
	w := newWorld(t, "a", "b")
	w.worker("vm-1", "z1")
	w.run(2 * time.Second)
	lead, other := w.leader(), w.follower()
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
		lead.core.LinkFrame(lead.links[other.name], &f)
		other.core.LinkFrame(other.links[lead.name], &f)
		w.settle()
	}
	want(t, "submit", other.submit(form("wk-1", 2)).Status, 201)
	w.run(4 * time.Second)
	want(t, "running", w.total(), 2)
}
