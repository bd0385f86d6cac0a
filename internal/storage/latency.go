package storage

import "time"

const (
	minForegroundTimeout = 400 * time.Millisecond
	timeoutLatencyFactor = 4    // of the recent peak latency is the foreground timeout
	peakLatencyDecay     = 0.97 // of the peak is left after each answer
)

// latencyEstimate is the recent peak of the time that answers took.
type latencyEstimate struct {
	peak time.Duration
}

// observeAnswer takes in how long an answer took.
func (e *latencyEstimate) observeAnswer(took time.Duration) {
	e.peak = max(took, time.Duration(peakLatencyDecay*float64(e.peak)))
}

// observeTimeout takes in that no answer came in time. One that is lost says
// little; several in a row say that answers take longer.
func (e *latencyEstimate) observeTimeout(timeout time.Duration) {
	e.observeAnswer(max(e.peak, timeout/timeoutLatencyFactor) * 3 / 2)
}

// timeout is how long to wait for an answer before its outcome is resolved.
func (e *latencyEstimate) timeout() time.Duration {
	return max(minForegroundTimeout, timeoutLatencyFactor*e.peak)
}
