//go:build review

package main

import (
	"fmt"
	"os"
	"strconv"
	"time"
)

// serviceAndArray: four machines are up, and the cloud has no more. With the trouble a service of four
// small replicas is submitted and runs. Then an array of two tasks is submitted, for which each
// machine has room.
func serviceAndArray(l *lab, trouble bool) int {
	for i := range l.nodes {
		if err := l.startNode(i); err != nil {
			fmt.Println(err)
			return 2
		}
	}
	machines := 4
	if os.Getenv("BACKLOG") != "" {
		machines = 8
	}
	l.cloud.mu.Lock()
	l.cloud.capacity = machines
	if n, err := strconv.Atoi(os.Getenv("CAPACITY")); err == nil {
		l.cloud.capacity = n
	}
	for range machines {
		l.cloud.add(l.cfg.zones[0], false, true)
	}
	l.cloud.mu.Unlock()
	if !l.waitReady(10 * time.Second) {
		fmt.Println("controllers are not ready")
		return 2
	}
	if trouble {
		feed := l.addJob(&job{id: "wk-000001", team: "north-desk", urgency: "production", service: true, ordinary: true, tasks: 4, cpus: 1, gb: 6.4})
		if !l.submit(feed, 0) || !l.waitStarts(feed, feed.tasks, 15*time.Second) {
			fmt.Println("the service did not start")
			return 2
		}
	}
	if os.Getenv("BACKLOG") != "" { // an array that fills four of eight machines for two minutes
		busy := l.addJob(&job{id: "wk-000003", team: "north-desk", tasks: 8, cpus: 8, gb: 51, run: 2 * time.Minute})
		if !l.submit(busy, 2) || !l.waitStarts(busy, busy.tasks, 15*time.Second) {
			fmt.Println("the first array did not start")
			return 2
		}
	}
	render := l.addJob(&job{id: "wk-000002", team: "south-desk", tasks: 2, cpus: 8, gb: 51, run: 10 * time.Second})
	if !l.submit(render, 1) {
		return 2
	}
	const bound = 90 * time.Second
	watch := bound + time.Second
	if d, err := time.ParseDuration(os.Getenv("WATCH")); err == nil {
		watch = d
	}
	hadRoom := true // all the time
	for end := render.acceptedAt.Add(watch); time.Now().Before(end) && render.calledDone.IsZero(); time.Sleep(time.Second) {
		status, text := l.poll(render, 1)
		l.record("user: asks for %s: %d %s", render.id, status, text)
		l.mu.Lock()
		waiting := render.firstStart.IsZero()
		l.mu.Unlock()
		hadRoom = l.recordRoom(render) && hadRoom || !waiting
		l.checkAlive()
	}
	l.mu.Lock()
	if waited := time.Since(render.acceptedAt); render.firstStart.IsZero() && waited > bound && hadRoom {
		l.fault("accepted work never runs: no task of %s was started in the %.1f s since it was accepted, and a machine had room for it all the time", render.id, waited.Seconds())
	}
	l.mu.Unlock()
	return l.finish()
}

// recordRoom records what is free on each machine, and reports whether one has room for a task.
func (l *lab) recordRoom(j *job) (fits bool) {
	l.mu.Lock()
	workers := append([]*worker(nil), l.workers...)
	l.mu.Unlock()
	for _, w := range workers {
		w.mu.Lock()
		cpus, gb := machineCPUs, machineGB
		for _, t := range w.tasks {
			if t.state != "ended" {
				cpus -= t.job.cpus
				gb -= t.job.gb
			}
		}
		if !w.gone {
			l.record("%s: %.1f CPUs and %.1f GB free", w.name, cpus, gb)
			fits = fits || (cpus >= j.cpus && gb >= j.gb)
		}
		w.mu.Unlock()
	}
	return fits
}
