package coordination

import (
	"fmt"
	"maps"
	"runtime"
	"testing"
	"time"

	"github.com/cobaltvale/cobaltvale/internal/settings"
)

const (
	largeFleetSize     = 6000
	largeFleetInterval = 8 * time.Second // report_s of a large fleet
	heartbeatsPerTick  = largeFleetSize * int(tickInterval) / int(largeFleetInterval)
)

// newLargeSimulation has settings like those of a large deployment: the cloud answers three
// calls a second, and machines report every eight seconds.
func newLargeSimulation(t testing.TB) *simulation {
	t.Helper()
	sim := prepareSimulation(t, "", nil, "a", "b", "c")
	sim.cloud.rps = 3
	sim.adjustSettings = func(f *settings.File) {
		f.Settings.Cloud.RPS = sim.cloud.rps
		f.Settings.Workers.HeartbeatIntervalS, f.Settings.Workers.LeaseS, f.Settings.Workers.CancelS = largeFleetInterval.Seconds(), 40, 100
	}
	sim.expireLeases, sim.workerLease = true, 40*time.Second
	sim.startAll()
	return sim
}

// largeFleetScenario has the workers report in turn, each once in largeReport, and again a
// second after a report that was refused.
type largeFleetScenario struct {
	*simulation
	nextAgent int
	retries   map[time.Duration][]*machineAgent
	refused   map[string]int
}

func (scenario *largeFleetScenario) play(span time.Duration) {
	for end := scenario.now + span; scenario.now < end; {
		scenario.advance(tickInterval)
		if scenario.now%time.Second == 0 {
			scenario.bootMachines(0)
		}
		again := scenario.retries[scenario.now]
		delete(scenario.retries, scenario.now)
		for _, agent := range again {
			if scenario.agents[agent.name] == agent {
				scenario.heartbeat(agent)
			}
		}
		names := scenario.agentNames()
		for range min(heartbeatsPerTick, len(names)) {
			if scenario.nextAgent >= len(names) {
				scenario.nextAgent = 0
			}
			scenario.heartbeat(scenario.agents[names[scenario.nextAgent]])
			scenario.nextAgent++
		}
	}
}

func (scenario *largeFleetScenario) heartbeat(agent *machineAgent) {
	r := agent.heartbeat()
	if r != nil && r.Status == 200 {
		return
	}
	at := scenario.now - scenario.now%tickInterval + time.Second
	scenario.retries[at] = append(scenario.retries[at], agent)
	if r != nil && r.Status == 503 {
		var e struct {
			Error string `cbor:"error"`
		}
		if err := scenario.codec.Decode(r.Body, &e); err != nil {
			scenario.t.Fatal(err)
		}
		scenario.refused[e.Error]++
	}
}

// waitFor plays until something holds.
func (scenario *largeFleetScenario) waitFor(what string, limit time.Duration, holds func() bool) {
	scenario.t.Helper()
	for end := scenario.now + limit; !holds(); {
		if scenario.now >= end {
			scenario.t.Fatalf("%s: not within %s; %d machines, %d tasks run", what, limit, len(scenario.agents), scenario.runningTasks())
		}
		scenario.play(time.Second)
	}
}

// Nothing stands in the way of a fleet of 6,000 machines: they are rented, all
// report, the leader is lost, all controllers end and come back, and in the end
// every machine is returned. Before, a list of more than six pages was never read
// whole, as its pages came faster than the cloud answers.
func TestFleetOfSixThousandMachines(t *testing.T) {
	sim := newLargeSimulation(t)
	scenario := &largeFleetScenario{simulation: sim, retries: make(map[time.Duration][]*machineAgent), refused: make(map[string]int)}
	const tasksPerJob = 200
	jobs := largeFleetSize / tasksPerJob
	for i := range jobs {
		n := sim.nodes[sim.names[i%3]]
		request := batchJob(fmt.Sprint("wk-", i), tasksPerJob).with("vcpus", 8.0).with("expectedS", 3000.0)
		want(t, "submit", n.submit(request).Status, 201)
	}
	scenario.waitFor("the whole fleet runs", 5*time.Minute, func() bool { return scenario.runningTasks() == largeFleetSize })
	scenario.waitFor("the list is read whole", time.Minute, func() bool { return len(maps.Collect(sim.leader().controller.cloud.AllListed())) >= largeFleetSize })
	started := scenario.startCount()
	want(t, "starts", started, largeFleetSize)

	lead := sim.leader()
	sim.crash(lead.name)
	scenario.play(20 * time.Second)
	want(t, "tasks that run after the leader was lost", scenario.runningTasks(), largeFleetSize)
	sim.start(lead.name)
	scenario.play(10 * time.Second)

	for _, n := range sim.names {
		sim.crash(n)
	}
	sim.advance(5 * time.Second)
	for _, n := range sim.names {
		sim.start(n)
	}
	scenario.play(40 * time.Second)
	want(t, "tasks that run after all controllers were replaced", scenario.runningTasks(), largeFleetSize)
	want(t, "starts in all", scenario.startCount(), started)
	want(t, "reports refused for size", scenario.refused["too many machines"]+scenario.refused["too many reports"], 0)

	for _, agent := range sim.agents {
		agent.finishTasks("done")
	}
	scenario.waitFor("every job is done", time.Minute, func() bool {
		for i := range jobs {
			if _, s := sim.nodes["a"].status(fmt.Sprint("wk-", i)); s.Status != "done" {
				return false
			}
		}
		return true
	})
	scenario.waitFor("every machine is returned", 4*time.Minute, func() bool { return len(sim.cloud.machines) == 0 })
	want(t, "records of machines", scenario.machineRecordsDeleted(), true)
}

func (scenario *largeFleetScenario) startCount() int {
	n := 0
	for _, agent := range scenario.agents {
		n += agent.starts
	}
	return n
}

// machineRecordsDeleted waits until no record names a machine any more.
func (scenario *largeFleetScenario) machineRecordsDeleted() bool {
	for range 240 {
		left := 0
		for key := range scenario.state.keys {
			if len(key) > 6 && key[:6] == "fleet/" {
				left++
			}
		}
		if left == 0 {
			return true
		}
		scenario.play(time.Second)
	}
	return false
}

// newBusySimulation has three controllers and machines with two tasks each.
func newBusySimulation(b *testing.B, machines int) *simulation {
	b.Helper()
	sim := newSimulation(b, "a", "b", "c")
	for i := range machines {
		sim.addMachine(fmt.Sprintf("vm-%06d", i), []string{"z1", "z2"}[i%2])
	}
	reportAll := func() {
		for _, name := range sim.agentNames() {
			sim.agents[name].heartbeat()
		}
	}
	reportAll()
	sim.advance(5 * time.Second)
	for i := range machines / 50 {
		sim.nodes[sim.names[i%3]].submit(batchJob(fmt.Sprint("wk-", i), 100))
	}
	for range 3 {
		reportAll()
		sim.advance(time.Second)
	}
	return sim
}

// BenchmarkRegisterShard is the cost of a member's ledger joining the leader on a new stream:
// it grows with what the machines list, and with nothing else.
func BenchmarkRegisterShard(b *testing.B) {
	for _, machines := range []int{600, 6000} {
		b.Run(fmt.Sprint(machines), func(b *testing.B) {
			sim := newBusySimulation(b, machines)
			lead, owner := sim.leader(), sim.follower()
			for b.Loop() {
				sim.disconnect(lead.name, owner.name)
				sim.connect(lead.name, owner.name)
				sim.deliverAll()
			}
			b.ReportMetric(float64(b.Elapsed().Nanoseconds())/float64(b.N*machines), "ns/machine")
		})
	}
}

// BenchmarkHeartbeat is the cost of one report that says nothing new, with all that
// it causes at three controllers: it must not grow with the fleet.
func BenchmarkHeartbeat(b *testing.B) {
	for _, machines := range []int{600, 6000} {
		b.Run(fmt.Sprint(machines), func(b *testing.B) {
			var before, after runtime.MemStats
			runtime.GC()
			runtime.ReadMemStats(&before)
			sim := newBusySimulation(b, machines)
			names := sim.agentNames()
			runtime.GC()
			runtime.ReadMemStats(&after)
			next := 0
			for b.Loop() {
				sim.agents[names[next%len(names)]].heartbeat()
				next++
			}
			b.ReportMetric(float64(after.HeapAlloc-before.HeapAlloc)/float64(machines), "heap-B/machine")
			b.ReportMetric(float64(sim.runningTasks()), "tasks")
		})
	}
}

// A machine that is up, but reports to a new leader only after its long interval,
// is not taken for a failed boot and returned with its tasks.
func TestLongHeartbeatIntervalIsNoFailedBoot(t *testing.T) {
	sim := prepareSimulation(t, "", nil, "a", "b", "c")
	sim.adjustSettings = func(f *settings.File) { f.Settings.Workers.HeartbeatIntervalS, f.Settings.Workers.LeaseS = 8, 40 }
	sim.startAll()
	agent := sim.addMachine("vm-1", "z1")
	sim.cloud.machines[0].at = sim.now - time.Hour
	sim.run(2 * time.Second)
	want(t, "submit", sim.follower().submit(batchJob("wk-1", 2)).Status, 201)
	sim.run(3 * time.Second)
	want(t, "running", len(agent.running()), 2)
	sim.crash(sim.leader().name)
	agent.silent = true
	sim.run(12 * time.Second) // an election within a second, and the longest interval
	agent.silent = false
	sim.run(3 * time.Second)
	want(t, "returned", len(sim.cloud.released), 0)
	want(t, "running", len(agent.running()), 2)
}
