package shard

import (
	"math"
	"time"
)

// The pause after failures in a row: it begins at failureBackOffBaseSeconds, grows by
// failureBackOffGrowth with each failure, and stays below maxFailureBackOffSeconds.
const (
	failureBackOffBaseSeconds = 0.5 // seconds
	failureBackOffGrowth      = 1.5
	maxFailureBackOffSeconds  = 60 // seconds
	maxBackOffExponent        = 20 // failures, beyond which the power isn't taken any more
)

// failureBackOff grows with the failures in a row.
func failureBackOff(failures int) time.Duration {
	step := float64(min(failures, maxBackOffExponent))
	return time.Duration(math.Min(maxFailureBackOffSeconds, failureBackOffBaseSeconds*math.Pow(failureBackOffGrowth, step)) * float64(time.Second))
}

// maxTaskBackOffFailures is up to which of a job's failures in a row the pauses of its tasks
// grow: they may be due to a few machines, while its other tasks run.
const maxTaskBackOffFailures = 8

// initialTrialRuntime is how long a task has to run until its job is trusted again, at
// first.
const initialTrialRuntime = 5 * time.Second

// breakerMachineThreshold is on how many machines a job fails before the mistake is taken for its
// own.
const breakerMachineThreshold = 3

// circuitBreaker is open while a job seems to have been submitted with a mistake:
// its tasks have failed on several machines, or often where there are few, and none
// of it runs. Then one task at a time is tried, after a pause that grows: all at
// once, again and again, they would keep machines busy and have the fleet scaled out
// for them. Its zero value is closed.
type circuitBreaker struct {
	consecutiveFailures int            // in a row
	failedMachines      map[int32]bool // machines that the job has failed on since a task ended well
	open                bool
	failedTrials        int           // failed since then, one at a time
	retryAt             time.Duration // when the next task may start
	runningSince        time.Duration // since when one of it has been seen to run; 0: none
	requiredRuntime     time.Duration // how long that has to last
}

// allowed is how many of a job's pending tasks may be started now, given how many of
// its tasks are active.
func (b *circuitBreaker) allowedStarts(pending, active int) int {
	switch {
	case !b.open:
		return pending
	case active > 0 || b.retryAt > 0:
		return 0
	}
	return min(1, pending)
}

// recordFailure notes that a task of a job has failed on a machine, when active and
// running others of the job were left.
func (b *circuitBreaker) recordFailure(machine int32, active, running int, now time.Duration) {
	b.consecutiveFailures++
	if b.failedMachines == nil {
		b.failedMachines = make(map[int32]bool)
	}
	if len(b.failedMachines) < breakerMachineThreshold {
		b.failedMachines[machine] = true
	}
	if (len(b.failedMachines) == breakerMachineThreshold || b.consecutiveFailures >= 2*breakerMachineThreshold) && running == 0 {
		b.open, b.runningSince = true, 0
	}
	if b.open && active == 0 {
		b.failedTrials++
		b.retryAt = now + failureBackOff(b.failedTrials)
	}
}

// recordSuccess notes that a task of the job ended well: all of them may start again.
func (b *circuitBreaker) recordSuccess() {
	b.close()
	b.consecutiveFailures = 0
}

// close lets all tasks of a job start again. The failures still count for the pauses of
// its tasks.
func (b *circuitBreaker) close() {
	*b = circuitBreaker{consecutiveFailures: b.consecutiveFailures, requiredRuntime: b.requiredRuntime}
}

// backOff is how long a task that has just failed waits before it is tried again.
func (b *circuitBreaker) backOff() time.Duration {
	return failureBackOff(min(b.consecutiveFailures, maxTaskBackOffFailures))
}

// breakerChange is what time has changed of a circuit breaker.
type breakerChange uint8

const (
	breakerUnchanged    breakerChange = iota
	breakerTrialAllowed               // one task may be tried
	breakerClosed                     // all tasks may start
)

// probe lets a job whose breaker is open try again once its pause is over, and trusts it
// once a task of it has run for a while. If it fails after that all the same, the
// next has to run for longer.
func (b *circuitBreaker) update(running int, now time.Duration) breakerChange {
	if !b.open {
		return breakerUnchanged
	}
	change := breakerUnchanged
	if b.retryAt > 0 && now >= b.retryAt {
		b.retryAt = 0
		change = breakerTrialAllowed
	}
	switch {
	case running == 0:
		b.runningSince = 0
	case b.runningSince == 0:
		b.runningSince = now
	case now-b.runningSince > max(b.requiredRuntime, initialTrialRuntime):
		b.requiredRuntime = 2 * max(b.requiredRuntime, initialTrialRuntime)
		b.close()
		change = breakerClosed
	}
	return change
}
