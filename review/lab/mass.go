//go:build review

package main

import (
	"fmt"
	"time"
)

// massCancel cancels an array of which one machine lists more than a thousand live tasks. All have to
// be gone within cancel_s.
func massCancel(l *lab, _ bool) int {
	for i := range l.nodes {
		if err := l.startNode(i); err != nil {
			fmt.Println(err)
			return 2
		}
	}
	l.cloud.mu.Lock()
	l.cloud.capacity = 1
	l.cloud.add(l.cfg.zones[0], false, true)
	l.cloud.mu.Unlock()
	if !l.waitReady(10 * time.Second) {
		fmt.Println("controllers are not ready")
		return 2
	}
	many := l.addJob(&job{id: "wk-000001", team: "north-desk", tasks: 1400, cpus: 0.01, gb: 0.05, run: 5 * time.Minute})
	if !l.submit(many, 1) || !l.waitStarts(many, many.tasks, 60*time.Second) {
		fmt.Println("not all tasks started:", many.starts)
		return 2
	}
	if !l.abort(many, 2) {
		return 2
	}
	for end := many.calledOff.Add(l.cfg.cancel + 2*time.Second); time.Now().Before(end); time.Sleep(500 * time.Millisecond) {
		l.mu.Lock()
		left := len(l.where)
		l.mu.Unlock()
		l.record("%d tasks are left %.1f s after the cancellation", left, time.Since(many.calledOff).Seconds())
		if left == 0 {
			fmt.Printf("all tasks were gone %.1f s after the cancellation\n", time.Since(many.calledOff).Seconds())
			return l.finish()
		}
	}
	l.mu.Lock()
	l.fault("ran_cancelled: %d tasks are left", len(l.where))
	l.mu.Unlock()
	return l.finish()
}
