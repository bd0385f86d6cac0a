//go:build review

package main

import (
	"fmt"
	"net/http"
	"os"
	"strings"
	"time"
)

func init() {
	cases["quota"] = struct {
		site func() site
		play func(*world) error
	}{quotaSite, playQuota}
}

func quotaSite() site {
	s := formosa()
	s.teams = []team{{"north-desk", 200, 1500}, {"south-desk", 16, 24}}
	return s
}

// playQuota: a team is at its limit. A machine with tasks of it hangs, their job is cancelled and
// another is submitted, and the leader ends while the state service answers slowly. The answer to
// the next leader's read of the machine records is one of those that take longest.
func playQuota(w *world) error {
	w.mu.Lock()
	for _, hall := range []string{"taichung-room", "kaohsiung-room"} {
		for range 4 {
			m := w.addMachine("plate-16", hall, false, 0)
			m.initial = true
		}
	}
	w.mu.Unlock()
	if err := w.startControllers(); err != nil {
		return err
	}
	early := extraEdition("wk-000001", 1, 12, nil)
	early.team = "north-desk"
	w.submit(early)
	full := pageRender("wk-000002", 3, "img-02", 0.5, 100, nil)
	full.team = "south-desk"
	w.submit(full)
	running := func() bool {
		n := 0
		for _, m := range w.machines {
			for _, t := range m.tasks {
				if t.job == full && t.status == "running" {
					n++
				}
			}
		}
		return n == 3
	}
	if !w.sleepUntil(30*time.Second, running) {
		return fmt.Errorf("%s does not run", full.id)
	}
	time.Sleep(3 * time.Second)
	leader := w.leader()
	w.logf("leader: %s", leader)
	if w.trouble {
		w.mu.Lock()
		hung := 0
		for _, m := range w.machines {
			n := 0
			for _, t := range m.tasks {
				if t.job == full && t.status == "running" {
					n++
				}
			}
			if n == 2 && hung == 0 {
				hung++
				m.hung = true
				w.logf("trouble: %s hangs with %v", m.name, m.pages())
			}
		}
		w.mu.Unlock()
		if hung == 0 {
			return fmt.Errorf("no machine has two tasks of %s", full.id)
		}
	}
	if !w.cancel(full) {
		return fmt.Errorf("%s was not cancelled", full.id)
	}
	next := extraEdition("wk-000003", 12, 40, nil)
	for i, m := range w.members { // its owner survives
		if m != leader {
			w.members[0], w.members[i] = w.members[i], w.members[0]
			break
		}
	}
	w.submit(next)
	if w.trouble {
		slowest := 3 * time.Second
		if d, err := time.ParseDuration(os.Getenv("SLOWEST")); err == nil {
			slowest = d // to see from which delay on the rule is broken
		}
		w.mu.Lock()
		w.stateDelay = func(r *http.Request) time.Duration {
			if strings.HasPrefix(r.URL.Query().Get("under"), "fleet/") {
				return slowest
			}
			return 145 * time.Millisecond
		}
		w.mu.Unlock()
		w.logf("trouble: the state service takes 150 ms for an answer instead of 5 ms")
		w.logf("trouble: the leader ends")
		w.killController(leader)
	}
	time.Sleep(14 * time.Second)
	w.mu.Lock()
	w.stateDelay = nil
	for _, m := range w.machines {
		if m.hung {
			m.hung = false
			w.logf("trouble over: %s goes on", m.name)
		}
	}
	w.mu.Unlock()
	time.Sleep(6 * time.Second)
	return nil
}
