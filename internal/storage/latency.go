package storage

import "time"

const (
	minForegroundTimeout = 400 * time.Millisecond
	timeoutLatencyFactor = 4    // foreground timeout as a multiple of the recent peak latency
	peakLatencyDecay     = 0.97 // fraction of the peak that remains after each answer
)

// latencyEstimate tracks the recent peak latency of answers.
type latencyEstimate struct {
	peak time.Duration
}

// observeAnswer records the latency of an answer.
func (e *latencyEstimate) observeAnswer(took time.Duration) {
	e.peak = max(took, time.Duration(peakLatencyDecay*float64(e.peak)))
}

// observeTimeout records that no answer came within the timeout, and raises the peak by at
// least half: a single lost answer says little, but several in a row indicate that answers take
// longer.
func (e *latencyEstimate) observeTimeout(timeout time.Duration) {
	e.observeAnswer(max(e.peak, timeout/timeoutLatencyFactor) * 3 / 2)
}

// timeout returns how long to wait for an answer before its outcome is resolved.
func (e *latencyEstimate) timeout() time.Duration {
	return max(minForegroundTimeout, timeoutLatencyFactor*e.peak)
}
