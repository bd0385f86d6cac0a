package coordination

import (
	"math"
	"time"
)

// failPause grows with the failures in a row.
func failPause(fails int) time.Duration {
	return time.Duration(math.Min(60, 0.5*math.Pow(1.5, float64(min(fails, 20)))) * float64(time.Second))
}

// mostPaused is up to which of a job's failures in a row the pauses of its tasks
// grow: they may be due to a few machines, while its other tasks run.
const mostPaused = 8

// steadyAfter is for how long a service's task has to run until its end says
// nothing against its job.
const steadyAfter = 20 * time.Second

const (
	closeBreakerAfter = 5 * time.Second // that a task has to run until its job is trusted again, at first
)

// circuitBreaker is open while a job seems to have been submitted with a mistake:
// its tasks have failed on several machines, or often where there are few, and none
// of it runs. Then one task at a time is tried, after a pause that grows: all at
// once, again and again, they would keep machines busy and have more rented for
// them.
type circuitBreaker struct {
	on        map[int32]bool // machines that it has failed on since a task ended well
	open      bool
	tries     int           // failed since then, one at a time
	retryAt   time.Duration // when the next task may start
	running   time.Duration // since when one of it has been seen to run; 0: none
	steadyFor time.Duration // how long that has to last
}

// startable is how many tasks may be started now.
func (j *ownedJob) startable() int {
	switch {
	case j.ending != "":
		return 0
	case !j.breaker.open:
		return j.nWait
	case j.nLoc > 0 || j.breaker.retryAt > 0:
		return 0
	}
	return min(1, j.nWait)
}

// recordFailure notes that a task of a job has failed on a machine.
func (o *owner) recordFailure(j *ownedJob, m int32, now time.Duration) {
	j.fails++
	d := &j.breaker
	if d.on == nil {
		d.on = make(map[int32]bool)
	}
	if len(d.on) < failsOn {
		d.on[m] = true
	}
	if (len(d.on) == failsOn || j.fails >= 2*failsOn) && j.nRun == 0 {
		d.open, d.running = true, 0
	}
	if d.open && j.nLoc == 0 {
		d.tries++
		d.retryAt = now + failPause(d.tries)
	}
}

// closeBreaker lets all tasks of a job start again.
func (o *owner) closeBreaker(j *ownedJob) {
	if j.breaker.open {
		o.touch(j)
	}
	j.breaker = circuitBreaker{steadyFor: j.breaker.steadyFor}
}

// probe lets a job whose breaker is open try again once its pause is over, and trusts it
// once a task of it has run for a while. If it fails after that all the same, the
// next has to run for longer.
func (o *owner) probe(j *ownedJob, now time.Duration) {
	d := &j.breaker
	if !d.open {
		return
	}
	if d.retryAt > 0 && now >= d.retryAt {
		d.retryAt = 0
		o.touch(j)
	}
	switch {
	case j.nRun == 0:
		d.running = 0
	case d.running == 0:
		d.running = now
	case now-d.running > max(d.steadyFor, closeBreakerAfter):
		d.steadyFor = 2 * max(d.steadyFor, closeBreakerAfter)
		o.closeBreaker(j)
	}
}
