package coordination

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/cobaltvale/cobaltvale/internal/protocol"
)

// fleetOf is a deployment whose machines are all there is.
func fleetOf(t *testing.T, machines int, takes time.Duration) (*world, *node) {
	t.Helper()
	w := newWorld(t, "a")
	w.cloud.refuse = true
	for i := range machines {
		w.worker(fmt.Sprintf("vm-%d", i), "z1").takes = takes
	}
	w.run(3 * time.Second)
	return w, w.nodes["a"]
}

// begins submits a job and reports how long until a task of it runs, while
// every second more is submitted besides.
func (w *world) begins(n *node, f jobForm, limit time.Duration, besides func(second int)) time.Duration {
	w.t.Helper()
	id := f["nameId"].(string)
	if r := n.submit(f); r.Status != 201 {
		w.t.Fatalf("%s is answered %d", id, r.Status)
	}
	at := w.now
	for s := 0; w.now < at+limit; s++ {
		besides(s)
		w.run(time.Second)
		if _, st := n.poll(id); st.Running != nil && *st.Running > 0 {
			return w.now - at
		}
	}
	w.t.Fatalf("%s has not begun after %v", id, limit)
	return 0
}

const mustBegin = 240 * time.Second

// Urgent work that asks for more than there is, for good, must not keep
// standard work out: users count a class as served when its jobs begin.
func TestUrgentWorkDoesNotStarveStandardWork(t *testing.T) {
	w, n := fleetOf(t, 4, 5*time.Second)
	flood := func(s int) {
		n.submit(form(fmt.Sprintf("wk-9%d", s), 12).with("urgency", "urgent").with("plate", "u"))
	}
	for s := range 20 {
		flood(1000 + s)
		w.run(time.Second)
	}
	w.begins(n, form("wk-1", 4), mustBegin, flood)
	for s := range 60 { // it began for good, not to be stopped at once
		flood(300 + s)
		w.run(time.Second)
	}
	if _, st := n.poll("wk-1"); *st.Done == 0 {
		t.Fatal("no task of the standard job came to its end")
	}
	w.begins(n, form("wk-2", 40).with("vcpus", 8.0), mustBegin, func(s int) { flood(500 + s) })
}

// Room that frees bit by bit must not go to small tasks for ever while a task
// that needs a whole machine waits, though both are of one priority.
func TestPackingDoesNotStarveLargeTasks(t *testing.T) {
	w, n := fleetOf(t, 3, 6*time.Second)
	for _, k := range w.workers {
		k.vary = 900 * time.Millisecond
	}
	small := func(s int) { n.submit(form(fmt.Sprintf("wk-9%d", s), 8).with("pressByS", 20.0)) }
	for s := range 20 {
		small(1000 + s)
		w.run(time.Second)
	}
	w.begins(n, form("wk-1", 3).with("vcpus", 8.0).with("ramGb", 60.0), mustBegin, small)
}

// Work whose image no machine has must not wait for ever behind work whose
// image all of them have, even if fetching takes longer than running.
func TestImageAffinityDoesNotStarve(t *testing.T) {
	w, n := fleetOf(t, 3, 6*time.Second)
	usual := func(s int) { n.submit(form(fmt.Sprintf("wk-9%d", s), 12).with("plate", "usual").with("imageGb", 40.0)) }
	for s := range 20 {
		usual(1000 + s)
		w.run(time.Second)
	}
	w.begins(n, form("wk-1", 1).with("vcpus", 8.0).with("plate", "rare").with("imageGb", 40.0), mustBegin, usual)

	// Nor behind the one machine that has its image, while that is busy for long.
	for _, k := range w.workers {
		for _, task := range k.tasks {
			if strings.HasPrefix(task.name, "wk-1/") {
				k.takes = time.Hour
			}
		}
	}
	w.run(20 * time.Second)
	w.begins(n, form("wk-2", 1).with("plate", "rare").with("imageGb", 40.0), mustBegin, usual)
}

// A team with a small guarantee gets its turn while another with a large one
// asks for more than there is; so does its largest array.
func TestSmallSharesAreServed(t *testing.T) {
	w, n := fleetOf(t, 3, 5*time.Second)
	flood := func(s int) { n.submit(form(fmt.Sprintf("wk-9%d", s), 12).with("crew", "red")) }
	for s := range 20 {
		flood(1000 + s)
		w.run(time.Second)
	}
	w.begins(n, form("wk-1", 100), mustBegin, flood)
}

// A job whose tasks made room for urgent work as often as it has tasks is left
// alone from then on, so that it ends.
func TestPreemptionEnds(t *testing.T) {
	w, n := fleetOf(t, 2, 20*time.Second)
	want(t, "submit", n.submit(form("wk-1", 4).with("vcpus", 4.0)).Status, 201)
	w.run(3 * time.Second)
	for s := range 240 {
		if s%30 == 0 { // a job between two of them would always be stopped
			n.submit(form(fmt.Sprintf("wk-9%d", s), 4).with("vcpus", 4.0).with("urgency", "urgent"))
		}
		w.run(time.Second)
		if _, st := n.poll("wk-1"); st.Status == protocol.StatusDone {
			return
		}
	}
	t.Fatal("a job gave way to urgent work for ever")
}

// What uncertainty after a crash adds to a team's use must go in time.
func TestLimitIsFreeAgainAfterACrash(t *testing.T) {
	w := newWorld(t, "a", "b", "c")
	for i := range 5 {
		w.worker(fmt.Sprintf("vm-%d", i), "z1").takes = 5 * time.Second
	}
	w.run(3 * time.Second)
	for i, n := range w.names {
		want(t, "submit", w.nodes[n].submit(form(fmt.Sprint("wk-1", i), 10).with("crew", "red")).Status, 201)
	}
	w.run(4 * time.Second)
	w.cloud.stuck = true // what is lost is not proven gone by a release
	for _, n := range w.names {
		w.crash(n)
	}
	for _, k := range w.workers {
		k.hung = true // none comes back
	}
	for _, n := range w.names {
		w.start(n)
	}
	for i := range 2 {
		w.worker(fmt.Sprintf("vm-7%d", i), "z2").takes = 5 * time.Second
	}
	w.run(16 * time.Second)
	for _, k := range w.workers {
		if k.hung {
			k.expire()
		}
	}
	n := w.leader()
	w.begins(n, form("wk-5", 2).with("crew", "red"), mustBegin, func(int) {})
}

// The work of a report does not grow with machines or jobs.
func TestCostOfAReportIsFlat(t *testing.T) {
	perReport := func(machines, jobs int) float64 {
		w, n := fleetOf(t, machines, 0)
		want(t, "submit", n.submit(form("wk-0", machines).with("vcpus", 5.0).with("plate", "img-0")).Status, 201)
		w.run(3 * time.Second)
		want(t, "running", w.total(), machines)
		// None of these fits beside what runs, for want of CPUs or of memory.
		for i := range jobs {
			f := form(fmt.Sprintf("wk-1%d", i), 3).with("plate", fmt.Sprint("img-", i%12)).with("vcpus", 8.0)
			if i%2 == 0 {
				f.with("vcpus", 1.0).with("ramGb", 64.0)
			}
			want(t, "submit", n.submit(f).Status, 201)
			w.advance(50 * time.Millisecond)
			if i%40 == 39 {
				w.run(time.Second)
			}
		}
		w.run(2 * time.Second)
		w.worker("vm-last", "z1").report() // whatever is due is worked out now
		delete(w.workers, "vm-last")
		d := &n.core.leader.demand
		n.core.leader.arrange(w.now)
		before, at := d.looked, d.at
		for _, name := range w.workerNames() {
			w.workers[name].report()
		}
		if d.at != at {
			t.Fatal("the order was worked out anew meanwhile")
		}
		return float64(d.looked-before) / float64(machines)
	}
	// One image is on the machine, the others it might fetch.
	const limit = (1 + maxFetches) * lookAhead
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
func TestIdleWorkMakesRoom(t *testing.T) {
	for _, saves := range []bool{true, false} {
		w := newWorld(t, "a", "b", "c")
		for i := range 4 {
			w.worker(fmt.Sprintf("vm-%d", i), "z1")
		}
		w.run(2 * time.Second)
		guest := form("wk-1", 40).with("crew", "guest").with("urgency", "best_effort").with("expectedS", 300.0)
		if saves {
			guest.with("proofEveryS", 30.0).with("proofS", 2.0)
		}
		want(t, "guest", w.leader().submit(guest).Status, 201)
		w.run(10 * time.Second)
		want(t, "guest's tasks", w.total(), 16)
		w.cloud.refuse = true
		owner := w.follower()
		want(t, "owner's job", owner.submit(form("wk-2", 5).with("crew", "red").with("vcpus", 6.0)).Status, 201)
		w.run(8 * time.Second)
		count := func(job string) int {
			n := 0
			for _, k := range w.workers {
				for _, name := range k.running() {
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
		want(t, "of these the first", fmt.Sprint(w.workerOf("wk-1/0") != nil), "true")
		for range 30 { // it comes back wherever the owner's are over
			w.finishTask(fmt.Sprint("wk-2/", 0))
			w.finishTask(fmt.Sprint("wk-2/", 1))
			w.run(time.Second)
		}
		if n := count("wk-1"); n < 7 {
			t.Fatalf("%d of the guest's tasks run again", n)
		}
	}
}

// workerOf is the machine that a task runs on.
func (w *world) workerOf(task string) *worker {
	for _, k := range w.workers {
		for _, name := range k.running() {
			if name == task {
				return k
			}
		}
	}
	return nil
}
