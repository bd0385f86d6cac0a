package shard

import (
	"math"
	"time"
)

// The pause after consecutive failures starts from failureBackOffBaseSeconds, grows by the
// factor failureBackOffGrowth with each failure, and is at most maxFailureBackOffSeconds.
const (
	failureBackOffBaseSeconds = 0.5
	failureBackOffGrowth      = 1.5
	maxFailureBackOffSeconds  = 60
	maxBackOffExponent        = 20 // failures; the power is not computed beyond that
)

// failureBackOff returns the pause after a number of consecutive failures.
func failureBackOff(failures int) time.Duration {
	exponent := float64(min(failures, maxBackOffExponent))
	return time.Duration(math.Min(maxFailureBackOffSeconds, failureBackOffBaseSeconds*math.Pow(failureBackOffGrowth, exponent)) * float64(time.Second))
}

// maxTaskBackOffFailures is the number of a job's consecutive failures up to which the
// pauses of its tasks grow. They grow no further because the failures may be due to a few
// machines while the job's other tasks run.
const maxTaskBackOffFailures = 8

// initialTrialRuntime is how long a task has to run before an open breaker closes for the
// first time; the time doubles with each closing.
const initialTrialRuntime = 5 * time.Second

// breakerMachineThreshold is the number of machines on which a job has to fail before the
// failures are attributed to the job instead of the machines.
const breakerMachineThreshold = 3

// circuitBreaker limits the starts of a job that seems to have been submitted with a
// mistake: its tasks have failed on several machines, or repeatedly where there are few
// machines, and none of them runs. While the breaker is open, one task at a time is
// started, each after a longer pause. If all tasks were retried together, again and again,
// they would keep machines busy and cause the fleet to be scaled out. The zero value is
// closed.
type circuitBreaker struct {
	consecutiveFailures int            // since a task last succeeded
	failedMachines      map[int32]bool // machines with failures since the last close; at most breakerMachineThreshold
	open                bool
	failedTrials        int           // failures while open that left no task active; they determine the pause
	retryAt             time.Duration // when the next task may start; 0: no pause
	runningSince        time.Duration // since when a task has been observed running; 0: none is
	requiredRuntime     time.Duration // how long a task has to run for the breaker to close; at least initialTrialRuntime
}

// allowedStarts returns how many of a job's pending tasks may start now, given how many of
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

// recordFailure records that a task of the job has failed on a machine. active and running
// count the job's remaining tasks in these states.
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

// recordSuccess records that a task of the job succeeded: all of its tasks may start again.
func (b *circuitBreaker) recordSuccess() {
	b.close()
	b.consecutiveFailures = 0
}

// close lets all tasks of the job start again. The failures still count for the pauses of
// its tasks.
func (b *circuitBreaker) close() {
	*b = circuitBreaker{consecutiveFailures: b.consecutiveFailures, requiredRuntime: b.requiredRuntime}
}

// backOff returns how long a task that has just failed waits before it is retried.
func (b *circuitBreaker) backOff() time.Duration {
	return failureBackOff(min(b.consecutiveFailures, maxTaskBackOffFailures))
}

// breakerChange is the effect of elapsed time on a circuit breaker.
type breakerChange uint8

const (
	breakerUnchanged    breakerChange = iota
	breakerTrialAllowed               // one task may start
	breakerClosed                     // all tasks may start
)

// update lets a job whose breaker is open start one task once the pause is over, and closes
// the breaker once tasks of the job have run for longer than the required runtime. That
// runtime doubles with each closing, in case the job fails again.
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
