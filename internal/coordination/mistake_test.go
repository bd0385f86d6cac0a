package coordination

import (
	"fmt"
	"strings"
	"testing"
	"time"
)

// fail ends the running tasks of some jobs with an error, wherever they run, and
// returns how many.
func (w *world) fail(jobs ...string) int {
	n := 0
	for _, k := range w.workers {
		for _, t := range k.tasks {
			job, _, _ := strings.Cut(t.name, "/")
			for _, j := range jobs {
				if job == j && t.state == "running" {
					t.state, t.why = "ended", "error"
					n++
				}
			}
		}
	}
	return n
}

// Jobs submitted with a mistake fail on every machine until their users cancel
// them. Several at once, on many machines or on few, and right after a change of
// leader, they set no machine aside for good, have none rented, stop nobody's
// tasks, and each tries a task now and then.
func TestMistakenJobs(t *testing.T) {
	for _, machines := range []int{2, 5} {
		w := newWorld(t, "a", "b", "c")
		for i := range machines {
			w.worker(fmt.Sprintf("vm-%d", i), "z1")
		}
		w.run(2 * time.Second)
		want(t, "good job", w.follower().submit(form("wk-9", machines).with("vcpus", 6.0)).Status, 201)
		w.run(3 * time.Second)
		bad := []string{"wk-1", "wk-2", "wk-3"}
		for i, id := range bad {
			urgency := []string{"urgent", "standard", "standard"}[i]
			want(t, "bad job", w.leader().submit(form(id, 30).with("urgency", urgency)).Status, 201)
		}
		fails, rented := 0, 0
		seconds := func(n int) {
			for range n {
				w.run(time.Second)
				fails += w.fail(bad...)
			}
		}
		seconds(30)
		fails, rented = 0, len(w.cloud.requests)
		seconds(60)
		if fails > 3*12 {
			t.Fatalf("%d machines: %d tasks of jobs that fail everywhere were started in a minute", machines, fails)
		}
		want(t, "requests for machines", len(w.cloud.requests)-rented, 0)
		w.crash(w.leader().name)
		seconds(30)
		fails = 0
		seconds(60)
		if fails > 3*30 {
			t.Fatalf("%d machines: %d tasks were started in a minute after a change of leader", machines, fails)
		}
		want(t, "machines that are left", len(w.workers), machines)
		want(t, "good tasks that run on", w.total(), machines)
		for _, id := range bad {
			code, _ := w.follower().abort(id)
			want(t, "abort", code, 200)
		}
		w.run(5 * time.Second)
		want(t, "good job after", w.leader().submit(form("wk-8", machines)).Status, 201)
		w.run(6 * time.Second)
		want(t, "running", w.total(), 2*machines)
	}
}

// If the mistake was the machines', the job is trusted again as soon as a task of
// it has run for a while, and all of it runs.
func TestOpenBreakerClosesAgain(t *testing.T) {
	w := newWorld(t, "a")
	for i := range 6 {
		w.worker(fmt.Sprintf("vm-%d", i), "z1")
	}
	w.run(2 * time.Second)
	want(t, "submit", w.nodes["a"].submit(form("wk-1", 20)).Status, 201)
	for range 4 {
		w.run(time.Second)
		w.fail("wk-1")
	}
	want(t, "breaker is open", w.nodes["a"].core.owner.jobs["wk-1"].breaker.open, true)
	w.run(30 * time.Second)
	want(t, "running", w.total(), 20)
}

// The only machine that there is fails everything: it is set aside and another is
// rented, instead of taking every job for a mistaken one.
func TestOnlyMachineThatFails(t *testing.T) {
	w := newWorld(t, "a")
	w.worker("vm-1", "z1")
	w.run(2 * time.Second)
	for i := range 3 {
		want(t, "submit", w.nodes["a"].submit(form(fmt.Sprint("wk-", i+1), 1)).Status, 201)
	}
	for range 20 {
		w.run(time.Second)
		w.fail("wk-1", "wk-2", "wk-3")
	}
	want(t, "returned", fmt.Sprint(w.cloud.released), "[vm-1]")
	w.worker("vm-2", "z1")
	w.run(20 * time.Second)
	want(t, "running", w.total(), 3)
}
