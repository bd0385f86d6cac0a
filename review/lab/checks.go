//go:build review

package main

import (
	"sync"
	"sync/atomic"
	"time"
)

// restartAll ends all controllers after a while and starts them again.
func (l *lab) restartAll(after time.Duration) {
	time.Sleep(after)
	for i := range l.nodes {
		l.killNode(i)
	}
	for i := range l.nodes {
		_ = l.startNode(i)
	}
}

// watchUntil polls all accepted jobs in turn every 5 s until all are done or the time has come.
func (l *lab) watchUntil(end time.Time) {
	for round := 0; time.Now().Before(end); round++ {
		var left atomic.Int32
		var polls sync.WaitGroup
		for _, j := range l.list() {
			l.mu.Lock()
			settled := j.acceptedAt.IsZero() || !j.calledDone.IsZero() || !j.calledOff.IsZero()
			l.mu.Unlock()
			if settled {
				continue
			}
			left.Add(1)
			polls.Add(1)
			go func() {
				defer polls.Done()
				status, text := l.poll(j, round%len(l.nodes))
				l.mu.Lock()
				defer l.mu.Unlock()
				if j.firstStart.IsZero() {
					l.record("user: asks controller %d for %s: %d %s", round%len(l.nodes), j.id, status, text)
				}
			}()
		}
		polls.Wait()
		l.checkAlive()
		if left.Load() == 1 && l.baseOnly() {
			return
		}
		if left.Load() == 0 {
			return
		}
		time.Sleep(min(5*time.Second, max(0, time.Until(end))))
	}
}

// baseOnly reports whether all jobs but the first, which keeps the machines, are done.
func (l *lab) baseOnly() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, j := range l.order[1:] {
		if !j.acceptedAt.IsZero() && j.calledDone.IsZero() && j.calledOff.IsZero() {
			return false
		}
	}
	return true
}

func (l *lab) list() []*job {
	l.mu.Lock()
	defer l.mu.Unlock()
	return append([]*job(nil), l.order...)
}

// checkWaiting: no accepted job waits for longer than the bound after the troubles are over while
// a machine that fits has room and its team is under its limit.
func (l *lab) checkWaiting(over time.Time, bound time.Duration) {
	now := time.Now()
	room := 0.0
	for _, w := range l.workers {
		w.mu.Lock()
		used := 0.0
		for _, t := range w.tasks {
			if t.state != "ended" {
				used += t.job.cpus
			}
		}
		if !w.gone && !w.hung {
			room = max(room, machineCPUs-used)
		}
		w.mu.Unlock()
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.record("the largest room on a machine is %.1f CPUs", room)
	for _, j := range l.order {
		if j.acceptedAt.IsZero() || !j.firstStart.IsZero() || !j.calledOff.IsZero() || j.cpus > room {
			continue
		}
		since := over
		if j.acceptedAt.After(since) {
			since = j.acceptedAt
		}
		if wait := now.Sub(since); wait > bound && (l.limit(j.team) == 0 || l.inUse[j.team]+j.cpus <= l.limit(j.team)) {
			l.fault("accepted work never runs: %s was accepted %.1f s ago and has not started, %.1f s after the troubles, with %.1f CPUs free on a machine",
				j.id, now.Sub(j.acceptedAt).Seconds(), now.Sub(over).Seconds(), room)
		}
	}
}
