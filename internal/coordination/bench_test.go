package coordination

import (
	"fmt"
	"testing"
	"time"
)

// BenchmarkBusyFleet plays a second of three controllers with 44 machines that
// report every second and a long queue; profile it with -cpuprofile.
func BenchmarkBusyFleet(b *testing.B) {
	w := newWorld(b, "a", "b", "c")
	for i := range 44 {
		w.worker(fmt.Sprintf("vm-%d", i), []string{"z1", "z2"}[i%2])
	}
	w.run(3 * time.Second)
	jobs := 0
	for b.Loop() {
		for range 2 {
			jobs++
			n := w.nodes[w.names[jobs%3]]
			if r := n.submit(form(fmt.Sprintf("wk-%d", jobs), 10)); r.Status != 201 {
				b.Fatalf("submission was answered %d", r.Status)
			}
		}
		w.run(time.Second)
		for i := range 4 {
			w.workers[fmt.Sprintf("vm-%d", (jobs+i*11)%44)].finish("done")
		}
	}
}
