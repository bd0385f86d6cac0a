//go:build review

package main

import (
	"fmt"
	"os"
	"os/signal"
	"runtime"
	"syscall"
	"time"
)

// cases are the scenarios by name. Each returns an error if it could not be played.
var cases = map[string]struct {
	site func() site
	play func(*world) error
}{
	"sick":  {telvogel, playSick},
	"fetch": {formosa, playFetch},
	"spot":  {formosa, playSpot},
}

func main() {
	// The controllers get a signal when the thread that started them ends.
	runtime.LockOSThread()
	if len(os.Args) != 3 {
		fmt.Fprintln(os.Stderr, "usage: review2-lab CASE RECORD")
		os.Exit(2)
	}
	c, ok := cases[os.Args[1]]
	if !ok {
		fmt.Fprintln(os.Stderr, "unknown case", os.Args[1])
		os.Exit(2)
	}
	w, err := newWorld(c.site(), os.Args[2], os.Getenv("TROUBLE") != "0")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(2)
	}
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, os.Interrupt, syscall.SIGTERM, syscall.SIGHUP)
	go func() {
		<-signals
		_ = os.RemoveAll(w.dir)
		os.Exit(2) // the controllers end with this process
	}()
	w.logf("case %s, trouble %v", os.Args[1], w.trouble)
	err = c.play(w)
	w.mu.Lock()
	broken := w.broken
	w.mu.Unlock()
	if err != nil {
		w.logf("could not be played: %v", err)
	} else if broken == "" {
		w.logf("held")
	}
	w.close()
	switch {
	case err != nil:
		fmt.Println("could not be played:", err)
		os.Exit(2)
	case broken != "":
		fmt.Println("broken:", broken)
		os.Exit(1)
	}
	fmt.Println("held")
}

// limit is the time at which a case ends, from its start.
const limit = 117 * time.Second

func (w *world) end() time.Time { return w.start.Add(limit) }

// sleepUntil waits until a condition holds, for at most a time, and reports whether it does.
func (w *world) sleepUntil(most time.Duration, condition func() bool) bool {
	for deadline := time.Now().Add(most); time.Now().Before(deadline); time.Sleep(20 * time.Millisecond) {
		w.mu.Lock()
		ok := condition()
		w.mu.Unlock()
		if ok {
			return true
		}
	}
	return false
}

func telvogel() site {
	return site{
		nodeZone: "utrecht-rack", zones: []string{"utrecht-rack"},
		types: []machineType{
			{name: "mus-4", cpus: 4, memGB: 16, cacheGB: 70, fetchGBPerS: 0.4, price: 0.29, spotPrice: 0.09, readyS: 40, zones: []string{"utrecht-rack"}},
			{name: "reiger-16", cpus: 16, memGB: 128, cacheGB: 60, fetchGBPerS: 0.8, price: 1.25, spotPrice: 0.41, readyS: 20, zones: []string{"utrecht-rack"}},
		},
		teams:      []team{{"veldwerk", 0, 0}},
		objectives: objective("deadline", "tally-clean", "times = 1.0", 0.82) + objective("deadline", "map-build", "times = 1.0", 0.95),
		reportS:    3, leaseS: 44, cancelS: 74, rps: 200, writeRPS: 30, valueKB: 16, txnOps: 16, cloudRPS: 10, lagS: 8, memMB: 234, sockets: 5000, clockOffMs: 5,
		bootS: func(string) float64 { return 2 },
	}
}

func formosa() site {
	halls := []string{"kaohsiung-room", "taichung-room"}
	return site{
		nodeZone: "taichung-room", zones: halls,
		types: []machineType{{name: "plate-16", cpus: 16, memGB: 128, cacheGB: 35, fetchGBPerS: 0.1, price: 1.17, spotPrice: 0.31, readyS: 50, zones: halls}},
		teams: []team{{"north-desk", 200, 1500}, {"south-desk", 128, 500}},
		objectives: objective("deadline", "page-render", "times = 1.0", 0.92) + objective("deadline", "extra-edition", "times = 1.0", 0.95) +
			objective("wait", "extra-edition", "within_s = 10.0", 0.94),
		reportS: 2.5, leaseS: 16, cancelS: 46, rps: 200, writeRPS: 40, valueKB: 8, txnOps: 32, cloudRPS: 3, lagS: 6, memMB: 179, sockets: 1800, clockOffMs: 100,
		bootS: func(string) float64 { return 2 },
	}
}

func objective(kind, class, field string, share float64) string {
	return fmt.Sprintf("[[settings.objectives]]\nkind = %q\nclass = %q\nshare = %v\n%s\n", kind, class, share, field)
}

func tallyClean(id string, tasks int, runS float64) *job {
	return &job{id: id, class: "tally-clean", team: "veldwerk", urgency: "standard", tasks: tasks, cpus: 8, memGB: 29, image: "img-01", imageGB: 1.5,
		loaners: true, expectedS: runS, pressByS: 2*runS + 10, runS: runS}
}

func pageRender(id string, tasks int, image string, imageGB, runS float64, hall any) *job {
	return &job{id: id, class: "page-render", team: "north-desk", urgency: "standard", tasks: tasks, cpus: 8, memGB: 51, image: image, imageGB: imageGB,
		hall: hall, loaners: true, expectedS: runS, pressByS: 1.5*runS + 180, runS: runS}
}

func extraEdition(id string, tasks int, runS float64, hall any) *job {
	return &job{id: id, class: "extra-edition", team: "south-desk", urgency: "urgent", tasks: tasks, cpus: 4, memGB: 15, image: "img-11", imageGB: 0.6,
		hall: hall, loaners: true, expectedS: runS, pressByS: 2*runS + 10, runS: runS}
}

// playSick: the only machine fails every task for a few seconds, and is well afterwards.
func playSick(w *world) error {
	if err := w.startControllers(); err != nil {
		return err
	}
	j := tallyClean("wk-000001", 1, 60)
	over := time.Time{}
	go w.submit(j)
	if !w.sleepUntil(20*time.Second, func() bool { return len(w.machines) > 0 }) {
		return fmt.Errorf("no machine was rented")
	}
	if w.trouble {
		w.mu.Lock()
		w.machines[0].sick = true
		w.logf("trouble: %s fails every task that it starts", w.machines[0].name)
		w.mu.Unlock()
		failed := func() bool {
			for _, t := range w.machines[0].tasks {
				if t.cause == "error" {
					return true
				}
			}
			return false
		}
		if !w.sleepUntil(25*time.Second, failed) {
			return fmt.Errorf("no task failed")
		}
		time.Sleep(2 * time.Second)
		w.mu.Lock()
		w.machines[0].sick, over = false, time.Now()
		w.logf("trouble over: %s is well", w.machines[0].name)
		w.mu.Unlock()
	} else {
		over = time.Now()
	}
	return w.waiting(j, over, w.end())
}

// playFetch: a machine stops with a task of a job that is bound to its hall. The other machine
// of the hall lacks the image.
func playFetch(w *world) error {
	w.mu.Lock()
	for _, hall := range []string{"taichung-room", "kaohsiung-room"} {
		for range 2 {
			m := w.addMachine("plate-16", hall, false, 0)
			m.initial = true
		}
	}
	w.mu.Unlock()
	if err := w.startControllers(); err != nil {
		return err
	}
	w.submit(extraEdition("wk-000001", 1, 12, "kaohsiung-room"))
	j := pageRender("wk-000002", 1, "img-02", 5, 50, "kaohsiung-room")
	w.submit(j)
	if !w.sleepUntil(20*time.Second, func() bool { return w.hasTask(j) }) {
		return fmt.Errorf("%s was not started", j.id)
	}
	first := w.machineWith(j)
	other := pageRender("wk-000003", 2, "img-02", 5, 80, "taichung-room")
	w.submit(other)
	if !w.sleepUntil(20*time.Second, func() bool { return w.hasTask(other) }) {
		return fmt.Errorf("%s was not started", other.id)
	}
	over := time.Now()
	if w.trouble {
		time.Sleep(600 * time.Millisecond)
		w.mu.Lock()
		w.logf("trouble: %s stops with all that is on it", first.name)
		first.failed = true
		first.gone("stopped")
		w.mu.Unlock()
		if !w.sleepUntil(25*time.Second, func() bool { return first.released }) {
			return fmt.Errorf("%s was not released", first.name)
		}
		over = time.Now()
		w.logf("trouble over: the cloud has confirmed that %s is gone", first.name)
	}
	return w.waiting(j, over, w.end())
}

// playSpot: the cloud has no cheap machine in one hall, so an ordinary one is rented there. A
// cheap machine of the other hall has the image and room.
func playSpot(w *world) error {
	if w.trouble {
		w.mu.Lock()
		w.capacity[kindOf("plate-16", "kaohsiung-room", true)] = 0
		w.logf("trouble: the cloud has no cheap machine in kaohsiung-room")
		w.mu.Unlock()
	}
	if err := w.startControllers(); err != nil {
		return err
	}
	urgent := extraEdition("wk-000001", 1, 6, "kaohsiung-room")
	w.submit(urgent)
	first := pageRender("wk-000002", 1, "img-02", 1, 110, "taichung-room")
	w.submit(first)
	if !w.sleepUntil(30*time.Second, func() bool { return w.hasTask(first) && w.hasTask(urgent) }) {
		return fmt.Errorf("%s or %s was not started", first.id, urgent.id)
	}
	if !w.sleepUntil(30*time.Second, func() bool { return !w.hasTask(urgent) }) {
		return fmt.Errorf("%s did not end", urgent.id)
	}
	// The machine counts as empty once the ended task is reaped and its next report shows that.
	if !w.sleepUntil(8*time.Second, func() bool { return !w.lists(urgent) }) {
		return fmt.Errorf("%s was not reaped", urgent.id)
	}
	time.Sleep(1500 * time.Millisecond)
	j := pageRender("wk-000003", 1, "img-02", 1, 50, "kaohsiung-room")
	w.submit(j)
	over := time.Now()
	return w.waiting(j, over, w.end())
}

// lists reports whether a machine lists a task of a job, ended or not.
func (w *world) lists(j *job) bool {
	for _, m := range w.machines {
		for _, t := range m.tasks {
			if t.job == j && m.goneAt.IsZero() {
				return true
			}
		}
	}
	return false
}

// machineWith returns the last machine with a task of a job.
func (w *world) machineWith(j *job) (found *machine) {
	for _, m := range w.machines {
		for _, t := range m.tasks {
			if t.job == j && t.status != "ended" && m.goneAt.IsZero() {
				found = m
			}
		}
	}
	return found
}
