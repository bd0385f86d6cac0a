package coordination

import (
	"fmt"
	"maps"
	"runtime"
	"testing"
	"time"

	"github.com/cobaltvale/cobaltvale/internal/settings"
	"github.com/cobaltvale/cobaltvale/internal/simtest"
)

const (
	largeFleetSize              = 6000
	largeFleetHeartbeatInterval = 8 * time.Second // setting report_s of a large fleet
	heartbeatsPerTick           = largeFleetSize * int(tickInterval) / int(largeFleetHeartbeatInterval)
)

// newLargeSimulation returns a simulation with settings like those of a large deployment: the
// cloud answers three calls a second, and machines send heartbeats every eight seconds.
func newLargeSimulation(t testing.TB) *simulation {
	t.Helper()
	sim := prepareSimulation(t, "", nil, "a", "b", "c")
	sim.Cloud.RPS = 3
	sim.AdjustSettings = func(f *settings.File) {
		f.Settings.Cloud.RPS = sim.Cloud.RPS
		f.Settings.Workers.HeartbeatIntervalS, f.Settings.Workers.LeaseS, f.Settings.Workers.CancelS = largeFleetHeartbeatInterval.Seconds(), 40, 100
	}
	sim.ExpireLeases, sim.MachineLeaseDuration = true, 40*time.Second
	sim.StartAll()
	return sim
}

// largeFleetScenario has the machines send heartbeats in turn: each one once in
// largeFleetHeartbeatInterval, and again one second after a heartbeat that was rejected or
// got no response.
type largeFleetScenario struct {
	*simulation
	nextAgent  int
	retries    map[time.Duration][]*simtest.Agent // by time
	rejections map[string]int                     // heartbeats answered with status 503, by error text
}

func (scenario *largeFleetScenario) runFor(span time.Duration) {
	for end := scenario.Now() + span; scenario.Now() < end; {
		scenario.Advance(tickInterval)
		if scenario.Now()%time.Second == 0 {
			scenario.BootMachines(0)
		}
		retrying := scenario.retries[scenario.Now()]
		delete(scenario.retries, scenario.Now())
		for _, agent := range retrying {
			if scenario.Agents[agent.Name] == agent {
				scenario.heartbeat(agent)
			}
		}
		names := scenario.AgentNames()
		for range min(heartbeatsPerTick, len(names)) {
			if scenario.nextAgent >= len(names) {
				scenario.nextAgent = 0
			}
			scenario.heartbeat(scenario.Agents[names[scenario.nextAgent]])
			scenario.nextAgent++
		}
	}
}

func (scenario *largeFleetScenario) heartbeat(agent *simtest.Agent) {
	r := agent.Heartbeat()
	if r != nil && r.Status == 200 {
		return
	}
	at := scenario.Now() - scenario.Now()%tickInterval + time.Second
	scenario.retries[at] = append(scenario.retries[at], agent)
	if r != nil && r.Status == 503 {
		var e struct {
			Error string `cbor:"error"`
		}
		if err := scenario.Codec.Decode(r.Body, &e); err != nil {
			scenario.T.Fatal(err)
		}
		scenario.rejections[e.Error]++
	}
}

// waitFor runs the scenario until a condition holds, and fails the test after limit.
func (scenario *largeFleetScenario) waitFor(what string, limit time.Duration, condition func() bool) {
	scenario.T.Helper()
	for end := scenario.Now() + limit; !condition(); {
		if scenario.Now() >= end {
			scenario.T.Fatalf("%s: not within %s; %d machines, %d tasks running", what, limit, len(scenario.Agents), scenario.runningTasks())
		}
		scenario.runFor(time.Second)
	}
}

// A fleet of 6,000 machines works: all are requested and send heartbeats, their tasks survive
// the loss of the leader and then the replacement of all controllers, and at the end every
// machine is released. The test guards against a machine list of more than six pages that is never
// read whole, because its pages are requested faster than the cloud's limit allows.
func TestFleetOfSixThousandMachines(t *testing.T) {
	sim := newLargeSimulation(t)
	scenario := &largeFleetScenario{simulation: sim, retries: make(map[time.Duration][]*simtest.Agent), rejections: make(map[string]int)}
	const tasksPerJob = 200
	jobs := largeFleetSize / tasksPerJob
	for i := range jobs {
		n := sim.Nodes[sim.Members[i%3]]
		request := simtest.BatchJob(fmt.Sprint("wk-", i), tasksPerJob).With("vcpus", 8.0).With("expectedS", 3000.0)
		requireEqual(t, "submit", n.Submit(request).Status, 201)
	}
	scenario.waitFor("a task runs on every machine", 5*time.Minute, func() bool { return scenario.runningTasks() == largeFleetSize })
	scenario.waitFor("the machine list is read whole", time.Minute, func() bool { return len(maps.Collect(controllerOf(sim.Leader()).cloud.AllListed())) >= largeFleetSize })
	started := scenario.startCount()
	requireEqual(t, "starts", started, largeFleetSize)

	lead := sim.Leader()
	sim.Crash(lead.Name)
	scenario.runFor(20 * time.Second)
	requireEqual(t, "tasks that run after the leader was lost", scenario.runningTasks(), largeFleetSize)
	sim.Start(lead.Name)
	scenario.runFor(10 * time.Second)

	sim.CrashAll()
	sim.Advance(5 * time.Second)
	sim.StartMembers()
	scenario.runFor(40 * time.Second)
	requireEqual(t, "tasks that run after all controllers were replaced", scenario.runningTasks(), largeFleetSize)
	requireEqual(t, "starts after all controllers were replaced", scenario.startCount(), started)
	requireEqual(t, "heartbeats rejected for exceeding a limit", scenario.rejections["too many machines"]+scenario.rejections["too many reports"], 0)

	sim.FinishAllTasks()
	scenario.waitFor("every job is done", time.Minute, func() bool {
		for i := range jobs {
			if _, s := sim.Nodes["a"].Status(fmt.Sprint("wk-", i)); s.Status != "done" {
				return false
			}
		}
		return true
	})
	scenario.waitFor("every machine is released", 4*time.Minute, func() bool { return len(sim.Cloud.Machines) == 0 })
	requireEqual(t, "machine records are deleted", scenario.machineRecordsDeleted(), true)
}

func (scenario *largeFleetScenario) startCount() int {
	n := 0
	for _, agent := range scenario.Agents {
		n += agent.Starts
	}
	return n
}

// machineRecordsDeleted waits until no machine record is left, for at most 240 s, and reports
// whether that is so.
func (scenario *largeFleetScenario) machineRecordsDeleted() bool {
	for range 240 {
		left := 0
		for key := range scenario.State.Keys {
			if len(key) > 6 && key[:6] == "fleet/" {
				left++
			}
		}
		if left == 0 {
			return true
		}
		scenario.runFor(time.Second)
	}
	return false
}

// newBusySimulation returns a simulation of three controllers, and of machines with two tasks
// each.
func newBusySimulation(b *testing.B, machines int) *simulation {
	b.Helper()
	sim := newSimulation(b, "a", "b", "c")
	for i := range machines {
		sim.AddMachine(fmt.Sprintf("vm-%06d", i), []string{"z1", "z2"}[i%2])
	}
	sendHeartbeats := func() {
		for _, name := range sim.AgentNames() {
			sim.Agents[name].Heartbeat()
		}
	}
	sendHeartbeats()
	sim.Advance(5 * time.Second)
	for i := range machines / 50 {
		sim.Nodes[sim.Members[i%3]].Submit(simtest.BatchJob(fmt.Sprint("wk-", i), 100))
	}
	for range 3 {
		sendHeartbeats()
		sim.Advance(time.Second)
	}
	return sim
}

// BenchmarkRegisterShard measures the registration of a shard with the leader on a new
// stream. The cost must grow only with the replicas that the machines list.
func BenchmarkRegisterShard(b *testing.B) {
	for _, machines := range []int{600, 6000} {
		b.Run(fmt.Sprint(machines), func(b *testing.B) {
			sim := newBusySimulation(b, machines)
			lead, owner := sim.Leader(), sim.Follower()
			for b.Loop() {
				sim.Disconnect(lead.Name, owner.Name)
				sim.Connect(lead.Name, owner.Name)
				sim.DeliverAll()
			}
			b.ReportMetric(float64(b.Elapsed().Nanoseconds())/float64(b.N*machines), "ns/machine")
		})
	}
}

// BenchmarkHeartbeat measures one heartbeat that reports no change, with all the work that it
// causes in three controllers. The cost must not grow with the fleet.
func BenchmarkHeartbeat(b *testing.B) {
	for _, machines := range []int{600, 6000} {
		b.Run(fmt.Sprint(machines), func(b *testing.B) {
			var before, after runtime.MemStats
			runtime.GC()
			runtime.ReadMemStats(&before)
			sim := newBusySimulation(b, machines)
			names := sim.AgentNames()
			runtime.GC()
			runtime.ReadMemStats(&after)
			next := 0
			for b.Loop() {
				sim.Agents[names[next%len(names)]].Heartbeat()
				next++
			}
			b.ReportMetric(float64(after.HeapAlloc-before.HeapAlloc)/float64(machines), "heap-B/machine")
			b.ReportMetric(float64(sim.runningTasks()), "tasks")
		})
	}
}

// A running machine that sends a new leader its first heartbeat only after a long heartbeat
// interval is not taken for a failed boot and released with its tasks.
func TestLongHeartbeatIntervalIsNotAFailedBoot(t *testing.T) {
	sim := prepareSimulation(t, "", nil, "a", "b", "c")
	sim.AdjustSettings = func(f *settings.File) { f.Settings.Workers.HeartbeatIntervalS, f.Settings.Workers.LeaseS = 8, 40 }
	sim.StartAll()
	agent := sim.AddMachine("vm-1", "z1")
	sim.Cloud.Machines[0].CreatedAt = sim.Now() - time.Hour
	sim.Run(2 * time.Second)
	requireEqual(t, "submit", sim.Follower().Submit(simtest.BatchJob("wk-1", 2)).Status, 201)
	sim.Run(3 * time.Second)
	requireEqual(t, "tasks running before the leader's loss", len(agent.Running()), 2)
	sim.Crash(sim.Leader().Name)
	agent.Silent = true
	sim.Run(12 * time.Second) // an election within a second, and the longest interval
	agent.Silent = false
	sim.Run(3 * time.Second)
	requireEqual(t, "released machines", len(sim.Cloud.ReleasedMachines), 0)
	requireEqual(t, "tasks running at the end", len(agent.Running()), 2)
}
