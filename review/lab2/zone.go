//go:build review

package main

import (
	"fmt"
	"math/rand/v2"
	"time"
)

func init() {
	cases["zone"] = struct {
		site func() site
		play func(*world) error
	}{formosa, playZone}
}

// playZone: an array that must be in one zone is larger than the room in that zone. The machines
// of the other zone are idle, and another job waits for them.
func playZone(w *world) error {
	w.mu.Lock()
	w.site.bootS = func(string) float64 { return 30 + 30*rand.Float64() }
	for _, hall := range []string{"taichung-room", "kaohsiung-room"} {
		for range 2 {
			m := w.addMachine("plate-16", hall, false, 0)
			m.initial = true
		}
		w.capacity[kindOf("plate-16", hall, false)] = 12
		w.capacity[kindOf("plate-16", hall, true)] = 10
	}
	w.mu.Unlock()
	if err := w.startControllers(); err != nil {
		return err
	}
	w.submit(extraEdition("wk-000001", 1, 6, nil))
	if w.trouble {
		array := pageRender("wk-000002", 40, "img-02", 5, 80, nil)
		array.together = true
		w.submit(array)
		if !w.sleepUntil(20*time.Second, func() bool { return w.onMachines(array) >= 3 }) {
			return fmt.Errorf("%s was not started", array.id)
		}
	}
	j := pageRender("wk-000003", 1, "img-03", 5, 80, nil)
	j.cpus = 10
	w.submit(j)
	over := time.Now()
	return w.waiting(j, over, w.end())
}

// onMachines counts the tasks of a job that are on machines or fetch their image there.
func (w *world) onMachines(j *job) (n int) {
	for _, m := range w.machines {
		for _, t := range m.tasks {
			if t.job == j && t.status != "ended" && m.goneAt.IsZero() {
				n++
			}
		}
	}
	return n
}
