package shard

import (
	"testing"
	"time"
)

// openBreaker returns the breaker of a job that has failed on enough machines to open it.
func openBreaker(t *testing.T) *circuitBreaker {
	t.Helper()
	b := &circuitBreaker{}
	for machine := range int32(breakerMachineThreshold) {
		b.recordFailure(machine, 0, 0, time.Second)
	}
	if !b.open {
		t.Fatalf("closed after failures on %d machines", breakerMachineThreshold)
	}
	return b
}

func TestBreakerOpens(t *testing.T) {
	for _, test := range []struct {
		name     string
		machines []int32 // on which tasks fail, in this order
		running  int
		want     bool
	}{
		{"one failure", []int32{1}, 0, false},
		{"two machines", []int32{1, 2}, 0, false},
		{"three machines", []int32{1, 2, 3}, 0, true},
		{"three machines while a task runs", []int32{1, 2, 3}, 1, false},
		{"one machine, five times", []int32{1, 1, 1, 1, 1}, 0, false},
		{"one machine, six times", []int32{1, 1, 1, 1, 1, 1}, 0, true},
	} {
		t.Run(test.name, func(t *testing.T) {
			var b circuitBreaker
			for _, machine := range test.machines {
				b.recordFailure(machine, test.running, test.running, 0)
			}
			if b.open != test.want {
				t.Errorf("open: %v, want %v", b.open, test.want)
			}
		})
	}
}

// While the breaker is open, one task at a time may start, and only after the pause.
func TestOpenBreakerAllowsOneTask(t *testing.T) {
	b := openBreaker(t)
	if n := b.allowedStarts(10, 0); n != 0 {
		t.Errorf("%d tasks may start during the pause, want 0", n)
	}
	if change := b.update(0, b.retryAt-1); change != breakerUnchanged {
		t.Errorf("an update during the pause returned %d, want breakerUnchanged", change)
	}
	if change := b.update(0, b.retryAt); change != breakerTrialAllowed {
		t.Errorf("the update after the pause returned %d, want breakerTrialAllowed", change)
	}
	if n := b.allowedStarts(10, 0); n != 1 {
		t.Errorf("%d tasks may start after the pause, want 1", n)
	}
	if n := b.allowedStarts(10, 1); n != 0 {
		t.Errorf("%d tasks may start while another is active, want 0", n)
	}
}

// A trial that runs for long enough closes the breaker. The next trial has to run for twice
// as long.
func TestBreakerClosesAfterTrial(t *testing.T) {
	b := openBreaker(t)
	now := b.retryAt
	b.update(0, now)
	for want := initialTrialRuntime; want < time.Minute; want *= 2 {
		b.update(1, now)
		if change := b.update(1, now+want); change == breakerClosed {
			t.Fatalf("closed after %v, want a longer trial", want)
		}
		now += want + 1
		if change := b.update(1, now); change != breakerClosed {
			t.Fatalf("still open after %v", want+1)
		}
		if n := b.allowedStarts(10, 1); n != 10 {
			t.Fatalf("%d tasks may start, want 10", n)
		}
		for machine := range int32(breakerMachineThreshold) {
			b.recordFailure(machine, 0, 0, now)
		}
	}
}

func TestSuccessClosesTheBreaker(t *testing.T) {
	b := openBreaker(t)
	b.recordSuccess()
	if b.open || b.consecutiveFailures != 0 || len(b.failedMachines) != 0 {
		t.Errorf("after a success: %+v, want a closed breaker without failures", b)
	}
}

func TestFailureBackOffGrowsUpToItsLimit(t *testing.T) {
	previous := time.Duration(0)
	for failures := range 40 {
		pause := failureBackOff(failures)
		if pause < previous || pause > maxFailureBackOffSeconds*time.Second {
			t.Errorf("the pause after %d failures is %v, want at least the previous one, %v, and at most the limit", failures, pause, previous)
		}
		previous = pause
	}
	if previous != maxFailureBackOffSeconds*time.Second {
		t.Errorf("the longest pause is %v, want the limit", previous)
	}
	var b circuitBreaker
	for range 40 {
		b.recordFailure(1, 1, 1, 0)
	}
	if want := failureBackOff(maxTaskBackOffFailures); b.backOff() != want {
		t.Errorf("a task's pause is %v, want %v", b.backOff(), want)
	}
}
