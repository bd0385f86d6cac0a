//go:build review

package main

import (
	"fmt"
	"time"
)

// tinyTasks: a team's array of four page-render tasks runs, one on a machine. A guest submits one
// array of 12,000 tasks that take little of a machine each. The team's array is served when its four
// tasks, of 80 s each, have completed.
func tinyTasks(l *lab, trouble bool) int {
	for i := range l.nodes {
		if err := l.startNode(i); err != nil {
			fmt.Println(err)
			return 2
		}
	}
	const machines = 4
	l.cloud.mu.Lock()
	l.cloud.capacity = 6
	for range machines {
		l.cloud.add(l.cfg.zones[0], false, true)
	}
	l.cloud.mu.Unlock()
	if !l.waitReady(10 * time.Second) {
		fmt.Println("controllers are not ready")
		return 2
	}
	own := l.addJob(&job{id: "wk-000001", team: "north-desk", tasks: machines, cpus: 8, gb: 70, run: 80 * time.Second})
	if !l.submit(own, 0) || !l.waitStarts(own, machines, 20*time.Second) {
		fmt.Println("the array did not start")
		return 2
	}
	if trouble {
		guest := l.addJob(&job{id: "wk-000002", team: "campus-press", urgency: "best_effort", tasks: 12000, cpus: 0.005, gb: 0.02, run: 60 * time.Second})
		if !l.submit(guest, 1) {
			fmt.Println("the guest's array was not accepted")
			return 2
		}
	}
	end := l.startAt.Add(100 * time.Second)
	for time.Now().Before(end) && own.calledDone.IsZero() {
		l.poll(own, 0)
		l.checkAlive()
		for _, w := range l.workers {
			w.mu.Lock()
			if !w.gone {
				l.record("%s: session %d, %d tasks, refused reports %d, the last of %d bytes", w.name, w.perch, len(w.tasks), w.tooLarge, w.refusedBytes)
			}
			w.mu.Unlock()
		}
		time.Sleep(2 * time.Second)
	}
	l.mu.Lock()
	l.record("%s: %d of %d tasks done, %d starts", own.id, len(own.done), own.tasks, own.starts)
	if served := len(own.done); served*2 < own.tasks {
		l.fault("served: %d of the %d tasks of %s are done %.0f s after it was accepted; each takes 80 s, and they were started %d times",
			served, own.tasks, own.id, time.Since(own.acceptedAt).Seconds(), own.starts)
	}
	l.mu.Unlock()
	return l.finish()
}
