package coordination

import (
	"fmt"
	"runtime"
	"testing"
	"time"

	"github.com/cobaltvale/cobaltvale/internal/settings"
)

const (
	largeFleet     = 6000
	largeReport    = 8 * time.Second // report_s of a large fleet
	reportsPerTick = largeFleet * int(tickEvery) / int(largeReport)
)

// largeWorld has settings like those of a large deployment: the cloud answers three
// calls a second, and machines report every eight seconds.
func largeWorld(t testing.TB) *world {
	t.Helper()
	w := prepareWorld(t, "", nil, "a", "b", "c")
	w.cloud.rps = 3
	w.adjust = func(f *settings.File) {
		f.Settings.Cloud.RPS = w.cloud.rps
		f.Settings.Workers.HeartbeatIntervalS, f.Settings.Workers.LeaseS, f.Settings.Workers.CancelS = largeReport.Seconds(), 40, 100
	}
	w.leases, w.lease = true, 40*time.Second
	w.startAll()
	return w
}

// largeDay has the workers report in turn, each once in largeReport, and again a
// second after a report that was refused.
type largeDay struct {
	*world
	next    int
	again   map[time.Duration][]*worker
	refused map[string]int
}

func (d *largeDay) play(span time.Duration) {
	for end := d.now + span; d.now < end; {
		d.advance(tickEvery)
		if d.now%time.Second == 0 {
			d.boot(0)
		}
		again := d.again[d.now]
		delete(d.again, d.now)
		for _, k := range again {
			if d.workers[k.name] == k {
				d.report(k)
			}
		}
		names := d.workerNames()
		for range min(reportsPerTick, len(names)) {
			if d.next >= len(names) {
				d.next = 0
			}
			d.report(d.workers[names[d.next]])
			d.next++
		}
	}
}

func (d *largeDay) report(k *worker) {
	r := k.report()
	if r != nil && r.Status == 200 {
		return
	}
	at := d.now - d.now%tickEvery + time.Second
	d.again[at] = append(d.again[at], k)
	if r != nil && r.Status == 503 {
		var e struct {
			Error string `cbor:"error"`
		}
		if err := d.codec.Decode(r.Body, &e); err != nil {
			d.t.Fatal(err)
		}
		d.refused[e.Error]++
	}
}

// waitFor plays until something holds.
func (d *largeDay) waitFor(what string, limit time.Duration, holds func() bool) {
	d.t.Helper()
	for end := d.now + limit; !holds(); {
		if d.now >= end {
			d.t.Fatalf("%s: not within %s; %d machines, %d tasks run", what, limit, len(d.workers), d.total())
		}
		d.play(time.Second)
	}
}

// Nothing stands in the way of a fleet of 6,000 machines: they are rented, all
// report, the leader is lost, all controllers end and come back, and in the end
// every machine is returned. Before, a list of more than six pages was never read
// whole, as its pages came faster than the cloud answers.
func TestFleetOfSixThousandMachines(t *testing.T) {
	w := largeWorld(t)
	d := &largeDay{world: w, again: make(map[time.Duration][]*worker), refused: make(map[string]int)}
	const tasksPerJob = 200
	jobs := largeFleet / tasksPerJob
	for i := range jobs {
		n := w.nodes[w.names[i%3]]
		f := form(fmt.Sprint("wk-", i), tasksPerJob).with("vcpus", 8.0).with("expectedS", 3000.0)
		want(t, "submit", n.submit(f).Status, 201)
	}
	d.waitFor("the whole fleet runs", 5*time.Minute, func() bool { return d.total() == largeFleet })
	d.waitFor("the list is read whole", time.Minute, func() bool { return len(w.leader().core.fleet.listed) >= largeFleet })
	started := d.starts()
	want(t, "starts", started, largeFleet)

	lead := w.leader()
	w.crash(lead.name)
	d.play(20 * time.Second)
	want(t, "tasks that run after the leader was lost", d.total(), largeFleet)
	w.start(lead.name)
	d.play(10 * time.Second)

	for _, n := range w.names {
		w.crash(n)
	}
	w.advance(5 * time.Second)
	for _, n := range w.names {
		w.start(n)
	}
	d.play(40 * time.Second)
	want(t, "tasks that run after all controllers were replaced", d.total(), largeFleet)
	want(t, "starts in all", d.starts(), started)
	want(t, "reports refused for size", d.refused["too many machines"]+d.refused["too many reports"], 0)

	for _, k := range w.workers {
		k.finish("done")
	}
	d.waitFor("every job is done", time.Minute, func() bool {
		for i := range jobs {
			if _, s := w.nodes["a"].poll(fmt.Sprint("wk-", i)); s.Status != "done" {
				return false
			}
		}
		return true
	})
	d.waitFor("every machine is returned", 4*time.Minute, func() bool { return len(w.cloud.machines) == 0 })
	want(t, "records of machines", d.recordsLeft(), true)
}

func (d *largeDay) starts() int {
	n := 0
	for _, k := range d.workers {
		n += k.starts
	}
	return n
}

// recordsLeft waits until no record names a machine any more.
func (d *largeDay) recordsLeft() bool {
	for range 240 {
		left := 0
		for key := range d.state.keys {
			if len(key) > 6 && key[:6] == "fleet/" {
				left++
			}
		}
		if left == 0 {
			return true
		}
		d.play(time.Second)
	}
	return false
}

// busyWorld has three controllers and machines with two tasks each.
func busyWorld(b *testing.B, machines int) *world {
	b.Helper()
	w := newWorld(b, "a", "b", "c")
	for i := range machines {
		w.worker(fmt.Sprintf("vm-%06d", i), []string{"z1", "z2"}[i%2])
	}
	reportAll := func() {
		for _, name := range w.workerNames() {
			w.workers[name].report()
		}
	}
	reportAll()
	w.advance(5 * time.Second)
	for i := range machines / 50 {
		w.nodes[w.names[i%3]].submit(form(fmt.Sprint("wk-", i), 100))
	}
	for range 3 {
		reportAll()
		w.advance(time.Second)
	}
	return w
}

// BenchmarkJoin is the cost of a member's ledger joining the leader on a new stream:
// it grows with what the machines list, and with nothing else.
func BenchmarkJoin(b *testing.B) {
	for _, machines := range []int{600, 6000} {
		b.Run(fmt.Sprint(machines), func(b *testing.B) {
			w := busyWorld(b, machines)
			lead, owner := w.leader(), w.follower()
			for b.Loop() {
				w.cut(lead.name, owner.name)
				w.connect(lead.name, owner.name)
				w.settle()
			}
			b.ReportMetric(float64(b.Elapsed().Nanoseconds())/float64(b.N*machines), "ns/machine")
		})
	}
}

// BenchmarkReport is the cost of one report that says nothing new, with all that
// it causes at three controllers: it must not grow with the fleet.
func BenchmarkReport(b *testing.B) {
	for _, machines := range []int{600, 6000} {
		b.Run(fmt.Sprint(machines), func(b *testing.B) {
			var before, after runtime.MemStats
			runtime.GC()
			runtime.ReadMemStats(&before)
			w := busyWorld(b, machines)
			names := w.workerNames()
			runtime.GC()
			runtime.ReadMemStats(&after)
			next := 0
			for b.Loop() {
				w.workers[names[next%len(names)]].report()
				next++
			}
			b.ReportMetric(float64(after.HeapAlloc-before.HeapAlloc)/float64(machines), "heap-B/machine")
			b.ReportMetric(float64(w.total()), "tasks")
		})
	}
}

// A machine that is up, but reports to a new leader only after its long interval,
// is not taken for a failed boot and returned with its tasks.
func TestLongReportIntervalIsNoFailedBoot(t *testing.T) {
	w := prepareWorld(t, "", nil, "a", "b", "c")
	w.adjust = func(f *settings.File) { f.Settings.Workers.HeartbeatIntervalS, f.Settings.Workers.LeaseS = 8, 40 }
	w.startAll()
	k := w.worker("vm-1", "z1")
	w.cloud.machines[0].at = w.now - time.Hour
	w.run(2 * time.Second)
	want(t, "submit", w.follower().submit(form("wk-1", 2)).Status, 201)
	w.run(3 * time.Second)
	want(t, "running", len(k.running()), 2)
	w.crash(w.leader().name)
	k.hung = true
	w.run(12 * time.Second) // an election within a second, and the longest interval
	k.hung = false
	w.run(3 * time.Second)
	want(t, "returned", len(w.cloud.released), 0)
	want(t, "running", len(k.running()), 2)
}
