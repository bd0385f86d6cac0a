package coordination

import (
	"math"
	"time"
)

// failureBackOff grows with the failures in a row.
func failureBackOff(fails int) time.Duration {
	return time.Duration(math.Min(60, 0.5*math.Pow(1.5, float64(min(fails, 20)))) * float64(time.Second))
}

// maxBackOffFailures is up to which of a job's failures in a row the pauses of its tasks
// grow: they may be due to a few machines, while its other tasks run.
const maxBackOffFailures = 8

// steadyRuntime is for how long a service's task has to run until its end says
// nothing against its job.
const steadyRuntime = 20 * time.Second

const (
	breakerTrialRuntime = 5 * time.Second // that a task has to run until its job is trusted again, at first
)

// circuitBreaker is open while a job seems to have been submitted with a mistake:
// its tasks have failed on several machines, or often where there are few, and none
// of it runs. Then one task at a time is tried, after a pause that grows: all at
// once, again and again, they would keep machines busy and have more rented for
// them.
type circuitBreaker struct {
	failedOn        map[int32]bool // machines that it has failed on since a task ended well
	open            bool
	failedTrials    int           // failed since then, one at a time
	retryAt         time.Duration // when the next task may start
	runningSince    time.Duration // since when one of it has been seen to run; 0: none
	requiredRuntime time.Duration // how long that has to last
}

// startable is how many tasks may be started now.
func (job *ownedJob) startable() int {
	switch {
	case job.finalStatus != "":
		return 0
	case !job.breaker.open:
		return job.pending
	case job.active > 0 || job.breaker.retryAt > 0:
		return 0
	}
	return min(1, job.pending)
}

// recordFailure notes that a task of a job has failed on a machine.
func (o *owner) recordFailure(job *ownedJob, machine int32, now time.Duration) {
	job.consecutiveFailures++
	breaker := &job.breaker
	if breaker.failedOn == nil {
		breaker.failedOn = make(map[int32]bool)
	}
	if len(breaker.failedOn) < jobFaultMachines {
		breaker.failedOn[machine] = true
	}
	if (len(breaker.failedOn) == jobFaultMachines || job.consecutiveFailures >= 2*jobFaultMachines) && job.running == 0 {
		breaker.open, breaker.runningSince = true, 0
	}
	if breaker.open && job.active == 0 {
		breaker.failedTrials++
		breaker.retryAt = now + failureBackOff(breaker.failedTrials)
	}
}

// closeBreaker lets all tasks of a job start again.
func (o *owner) closeBreaker(job *ownedJob) {
	if job.breaker.open {
		o.markChanged(job)
	}
	job.breaker = circuitBreaker{requiredRuntime: job.breaker.requiredRuntime}
}

// probeBreaker lets a job whose breaker is open try again once its pause is over, and trusts it
// once a task of it has run for a while. If it fails after that all the same, the
// next has to run for longer.
func (o *owner) probeBreaker(job *ownedJob, now time.Duration) {
	breaker := &job.breaker
	if !breaker.open {
		return
	}
	if breaker.retryAt > 0 && now >= breaker.retryAt {
		breaker.retryAt = 0
		o.markChanged(job)
	}
	switch {
	case job.running == 0:
		breaker.runningSince = 0
	case breaker.runningSince == 0:
		breaker.runningSince = now
	case now-breaker.runningSince > max(breaker.requiredRuntime, breakerTrialRuntime):
		breaker.requiredRuntime = 2 * max(breaker.requiredRuntime, breakerTrialRuntime)
		o.closeBreaker(job)
	}
}
