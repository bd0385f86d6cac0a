package coordination

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/cobaltvale/cobaltvale/internal/protocol"
)

func TestUrgentWorkStopsStandardWork(t *testing.T) {
	w := newWorld(t, "a", "b", "c")
	k := w.worker("vm-1", "z1")
	w.run(2 * time.Second)
	want(t, "submit", w.nodes["a"].submit(form("wk-1", 4)).Status, 201)
	w.run(3 * time.Second)
	want(t, "urgent", w.nodes["b"].submit(form("wk-2", 2).with("urgency", "urgent")).Status, 201)
	w.run(4 * time.Second)
	both := strings.Join(k.running(), " ")
	want(t, "running of each", fmt.Sprint(strings.Count(both, "wk-1/"), strings.Count(both, "wk-2/")), "2 2")
	want(t, "more urgent", w.nodes["b"].submit(form("wk-3", 4).with("urgency", "urgent").with("crew", "red")).Status, 201)
	w.run(4 * time.Second)
	for _, task := range k.running() {
		if strings.HasPrefix(task, "wk-1") {
			t.Fatalf("standard work still runs: %v", k.running())
		}
	}
	want(t, "urgent work is not stopped for urgent work", strings.Join(k.running()[:2], " "), "wk-2/0 wk-2/1")
}

func TestTeamsTakeTurnsByShares(t *testing.T) {
	w := newWorld(t, "a")
	for i := range 4 {
		w.worker(fmt.Sprintf("vm-%d", i), "z1")
	}
	want(t, "submit", w.nodes["a"].submit(form("wk-1", 100).with("crew", "red")).Status, 201)
	want(t, "submit", w.nodes["a"].submit(form("wk-2", 100)).Status, 201)
	w.run(6 * time.Second)
	red := w.nodes["a"].core.owner.jobs["wk-1"].nRun
	blue := w.nodes["a"].core.owner.jobs["wk-2"].nRun
	want(t, "running", fmt.Sprint(red, blue), "8 8")
}

func TestTogetherAndApart(t *testing.T) {
	w := newWorld(t, "a")
	for i := range 4 {
		w.worker(fmt.Sprintf("vm-%d", i), []string{"z1", "z2"}[i%2])
	}
	zones := func(job string) map[string]int {
		out := make(map[string]int)
		for _, k := range w.workers {
			for _, task := range k.running() {
				if strings.HasPrefix(task, job+"/") {
					out[k.zone]++
				}
			}
		}
		return out
	}
	want(t, "submit", w.nodes["a"].submit(form("wk-1", 6).with("together", true)).Status, 201)
	w.run(4 * time.Second)
	want(t, "zones of a job that stays together", len(zones("wk-1")), 1)
	want(t, "submit", w.nodes["a"].submit(form("wk-2", 5).with("apart", true)).Status, 201)
	w.run(5 * time.Second)
	for z, n := range zones("wk-2") {
		if n > 3 {
			t.Fatalf("%d of 5 tasks are in %s", n, z)
		}
	}
	want(t, "submit", w.nodes["a"].submit(form("wk-3", 1).with("hall", "z2").with("urgency", "production")).Status, 201)
	w.run(5 * time.Second)
	want(t, "in its zone", zones("wk-3")["z2"], 1)
}

func TestSpotNoticeDrainsTheMachine(t *testing.T) {
	w := newWorld(t, "a")
	k1, k2 := w.worker("vm-1", "z1"), w.worker("vm-2", "z1")
	w.run(2 * time.Second)
	want(t, "submit", w.nodes["a"].submit(form("wk-1", 2)).Status, 201)
	w.run(3 * time.Second)
	if len(k1.running()) == 0 {
		k1, k2 = k2, k1
	}
	k1.notice = 10.0
	w.run(5 * time.Second)
	want(t, "moved", len(k2.running()), 2)
	want(t, "returned", fmt.Sprint(w.cloud.released), fmt.Sprint([]string{k1.name}))
}

func TestSickMachineIsSetAsideAndABadJobIsNot(t *testing.T) {
	w := newWorld(t, "a")
	for i := range 4 {
		w.worker(fmt.Sprintf("vm-%d", i), "z1")
	}
	w.run(2 * time.Second)
	want(t, "bad job", w.nodes["a"].submit(form("wk-1", 4)).Status, 201)
	for range 40 {
		for _, k := range w.workers {
			k.finish("error")
		}
		w.run(time.Second)
	}
	want(t, "machines returned for a bad job", len(w.cloud.released), 0)
	starts := 0
	for _, k := range w.workers {
		starts += k.starts
	}
	if starts > 60 {
		t.Fatalf("a job that fails everywhere was started %d times in 40 s", starts)
	}
	code, _ := w.nodes["a"].abort("wk-1")
	want(t, "abort", code, 200)
	w.run(3 * time.Second)
	for i := range 8 {
		want(t, "submit", w.nodes["a"].submit(form(fmt.Sprintf("wk-%d", 10+i), 2)).Status, 201)
	}
	sick := w.workers["vm-2"]
	for range 10 {
		sick.finish("error")
		w.run(time.Second)
	}
	want(t, "returned", fmt.Sprint(w.cloud.released), "[vm-2]")
}

func TestRentsForDemandAndReturnsWhatIsIdle(t *testing.T) {
	w := newWorld(t, "a", "b", "c")
	w.cloud.silent = true
	want(t, "submit", w.nodes["b"].submit(form("wk-1", 16)).Status, 201)
	w.advance(8 * time.Second)
	names := make(map[string]int)
	for _, q := range w.cloud.requests {
		names[q.RequestID] = q.Count
		want(t, "spot", q.Spot, true)
	}
	total := 0
	for _, n := range names {
		total += n
	}
	want(t, "machines asked for while requests go unanswered", total, 4)
	w.cloud.silent = false
	w.advance(8 * time.Second)
	for _, m := range append([]cloudMachine(nil), w.cloud.machines...) {
		w.workers[m.name] = &worker{w: w, name: m.name, zone: m.zone, session: 1, tasks: make(map[string]*workerTask)}
	}
	w.run(4 * time.Second)
	want(t, "running", w.total(), 16)
	for _, k := range w.workers {
		k.finish("done")
	}
	w.run(2 * time.Minute)
	want(t, "returned", len(w.cloud.released), 4)
	w.wantStatus(w.nodes["a"], "wk-1", 200, "done")
}

// A boot that never ends is charged until the machine is returned.
func TestFailedBootsAreReturnedAndReplaced(t *testing.T) {
	w := newWorld(t, "a")
	want(t, "submit", w.nodes["a"].submit(form("wk-1", 4)).Status, 201)
	w.advance(3 * time.Minute)
	want(t, "returned", w.cloud.released[0], "vm-900001")
	if w.cloud.n < 2 {
		t.Fatal("no other machine was rented")
	}
}

// Urgent work that would not be offered the room must not stop anything for
// it: the stopped tasks would start again and be stopped again for ever.
func TestNothingIsStoppedForWorkThatGoesElsewhere(t *testing.T) {
	w := newWorld(t, "a")
	w.cloud.more = []protocol.MachineType{{Name: "s2", CPUs: 2, MemoryGB: 8, CacheGB: 50, FetchRate: 1, Price: 0.3, SpotPrice: 0.1, BootS: 30, Zones: []string{"z1"}}}
	k := w.worker("vm-1", "z1")
	w.run(15 * time.Second) // the leader reads prices anew
	want(t, "submit", w.nodes["a"].submit(form("wk-1", 2).with("vcpus", 4.0)).Status, 201)
	w.run(5 * time.Second)
	want(t, "running", len(k.running()), 2)
	want(t, "urgent", w.nodes["a"].submit(form("wk-2", 4).with("urgency", "urgent")).Status, 201)
	w.run(6 * time.Second)
	want(t, "standard work runs on", strings.Join(k.running(), " "), "wk-1/0 wk-1/1")
	want(t, "starts", k.starts, 2)
}

// A ledger that nobody answers for may have all its tasks running.
func TestUnjoinedLedgersCountInFull(t *testing.T) {
	w := newWorld(t, "a", "b", "c")
	w.worker("vm-1", "z1")
	w.run(2 * time.Second)
	f, lead := w.follower(), w.leader()
	want(t, "submit", f.submit(form("wk-1", 12).with("crew", "red")).Status, 201)
	w.run(3 * time.Second)
	want(t, "running", w.total(), 4)
	w.crash(f.name)
	want(t, "CPUs counted after the owner's end", lead.core.leader.teams["red"].cpus, 24)
	w.state.hidden = "own/" + f.name
	w.crash(lead.name)
	w.advance(4 * time.Second)
	next := w.leader()
	status := 503 // as long as the last request to the state service was refused
	for range 20 {
		if status == 503 {
			status = next.submit(form("wk-2", 4).with("crew", "red")).Status
		}
	}
	want(t, "submit", status, 201)
	w.workers["vm-1"].finish("done")
	w.run(3 * time.Second)
	want(t, "running while a ledger is unread", w.total(), 0)
	w.state.hidden = ""
	w.run(12 * time.Second)
	want(t, "running", w.total(), 4)
}

// A team gives back what it has borrowed beyond its guarantee when another
// lacks part of its own and no machine can be had, but nothing more.
func TestBorrowedRoomIsGivenBack(t *testing.T) {
	w := newWorld(t, "a")
	w.cloud.refuse = true
	w.worker("vm-1", "z1")
	w.worker("vm-2", "z1")
	w.run(15 * time.Second)
	n := w.nodes["a"]
	want(t, "submit", n.submit(form("wk-1", 20).with("crew", "red")).Status, 201)
	w.run(10 * time.Second)
	want(t, "red running", n.core.owner.jobs["wk-1"].nRun, 8)
	want(t, "submit", n.submit(form("wk-2", 20)).Status, 201)
	w.run(20 * time.Second)
	want(t, "running of each", fmt.Sprint(n.core.owner.jobs["wk-1"].nRun, n.core.owner.jobs["wk-2"].nRun), "4 4")
	starts := 0
	for _, k := range w.workers {
		starts += k.starts
	}
	w.run(20 * time.Second)
	for _, k := range w.workers {
		starts -= k.starts
	}
	want(t, "starts once each has its guarantee", starts, 0)
}
