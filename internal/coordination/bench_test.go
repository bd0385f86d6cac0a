package coordination

import (
	"fmt"
	"testing"
	"time"

	"github.com/cobaltvale/cobaltvale/internal/simtest"
)

// BenchmarkBusyFleet simulates one second of three controllers, with a fleet whose machines
// send heartbeats every second, and a long queue; profile it with -cpuprofile. The time
// divided by the number of machines is the cost of a heartbeat with all the work that it
// causes: forwarding, offers, bindings, finished tasks.
func BenchmarkBusyFleet(b *testing.B) {
	for _, size := range []struct {
		name                  string
		machines, jobs, tasks int
		team                  string
	}{
		{"44 machines", 44, 60, 10, "blue"},
		{"640 machines, team limit", 640, 200, 150, "red"}, // team red has a limit
		{"2060 machines", 2060, 400, 60, "blue"},
	} {
		b.Run(size.name, func(b *testing.B) {
			sim := newSimulation(b, "a", "b", "c")
			for i := range size.machines {
				agent := sim.AddMachine(fmt.Sprintf("vm-%d", i), []string{"z1", "z2"}[i%2])
				agent.TaskDuration, agent.DurationSpread = 20*time.Second, 2*time.Second
			}
			sim.Run(3 * time.Second)
			jobs := 0
			submit := func() {
				jobs++
				n := sim.Nodes[sim.Members[jobs%3]]
				request := simtest.BatchJob(fmt.Sprintf("wk-%d", jobs), size.tasks).With("crew", size.team).With("plate", fmt.Sprint("img-", jobs%16))
				if r := n.Submit(request); r.Status != 201 && r.Status != 0 {
					b.Fatalf("submission was answered with status %d, want 201 or none", r.Status)
				}
			}
			for range size.jobs {
				submit()
				sim.Advance(50 * time.Millisecond)
			}
			sim.Run(2 * time.Second)
			for b.Loop() {
				for range 2 {
					submit()
				}
				sim.Run(time.Second)
			}
			b.ReportMetric(float64(b.Elapsed().Microseconds())/float64(b.N*size.machines), "µs/report")
		})
	}
}
