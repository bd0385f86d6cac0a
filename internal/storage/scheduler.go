package storage

import (
	"math"
	"net/http"
	"time"
)

const (
	maxQueueLength            = 512                    // requests of each class
	rateLimitPause            = 250 * time.Millisecond // after the service rejected a request because of the rate
	backgroundReserveFraction = 0.5                    // of the write burst, left by Background to others
	maxBackgroundWait         = 2 * time.Second        // after which Background leaves nothing to others
)

// Class is the scheduling class of a request. It determines when the request is sent and how
// much of the rates it leaves to other classes.
type Class uint8

// The scheduling classes. Urgent requests are sent at once, whatever the rates allow; requests
// queued after them wait until the rates have recovered. Read requests don't wait for the write
// rate. Foreground writes are those that users wait for; Background writes leave a part of the
// burst to them.
const (
	Urgent Class = iota
	Read
	Foreground
	Background
	classCount
)

// String returns the name of the class.
func (c Class) String() string {
	switch c {
	case Urgent:
		return "urgent"
	case Read:
		return "read"
	case Foreground:
		return "foreground"
	case Background:
		return "background"
	case classCount:
	}
	return "unknown"
}

// dispatchOrder is the order in which queued requests use the rates. Writes come first: they
// are few, as the write rate bounds them, and after a burst of reads the request rate would not
// be sufficient for them.
var dispatchOrder = [...]Class{Foreground, Background, Read}

// noDeadline is the deadline of a request that waits for any length of time.
const noDeadline = 0

// request is one request to the state service, queued or sent.
type request struct {
	class        Class
	method, path string
	body         []byte
	writes       int           // changes that count against the write rate
	timeout      time.Duration // for the answer; 0: the timeout of the class
	deadline     time.Duration // the request is not sent after this time; noDeadline: none
	enqueuedAt   time.Duration
	done         func(Response)
}

// scheduler sends requests by class as the rates allow, and limits how many are queued.
type scheduler struct {
	caller   Caller
	clock    Clock
	limits   Limits
	runLater func(func()) // runs a function after the current one has returned

	queues        [classCount][]request
	requestBucket tokenBucket
	writeBucket   tokenBucket
	pausedUntil   time.Duration // until then only urgent requests are sent
	latency       latencyEstimate
	failing       bool // the last request got status 503 or no answer
}

// newScheduler returns a scheduler whose token buckets are full.
func newScheduler(caller Caller, clock Clock, limits Limits, runLater func(func())) scheduler {
	now := clock.Now()
	return scheduler{
		caller: caller, clock: clock, limits: limits, runLater: runLater,
		requestBucket: newTokenBucket(limits.RPS, limits.BurstRPS, now),
		writeBucket:   newTokenBucket(limits.WriteRPS, limits.BurstWrites, now),
	}
}

// SetRates sets this process's share of the service's rates, per second. The share grows while
// other controllers are unavailable, as this one then serves their users and jobs.
func (s *scheduler) SetRates(requests, writes float64) {
	s.refill(s.clock.Now())
	s.requestBucket.rate, s.writeBucket.rate = requests, writes
}

// Failing reports whether the last request was answered with "service unavailable" or got no
// answer.
func (s *scheduler) Failing() bool { return s.failing }

// WriteBudget returns how many changes a transaction that users wait for may make now.
func (s *scheduler) WriteBudget() int {
	now := s.clock.Now()
	s.refill(now)
	switch {
	case now < s.pausedUntil, len(s.queues[Foreground]) > 0, s.backgroundOverdue(now):
		return 0
	case s.requestBucket.tokens < 1, s.writeBucket.tokens < math.Min(2, s.writeBucket.burst):
		return 0
	}
	return max(2, int(s.writeBucket.tokens))
}

// writesScarce reports whether a write budget is less than what background writes leave to
// other classes.
func (s *scheduler) writesScarce(budget int) bool {
	return float64(budget) < s.writeBucket.burst*backgroundReserveFraction
}

// idle reports whether no request is queued and more of the write burst is available than
// background writes leave to other classes.
func (s *scheduler) idle() bool {
	for _, queue := range s.queues {
		if len(queue) > 0 {
			return false
		}
	}
	s.writeBucket.refill(s.clock.Now())
	return s.writeBucket.tokens > s.writeBucket.burst*backgroundReserveFraction+1
}

// backgroundTxnChanges returns how many changes one background transaction may make. The part
// of the burst that background writes leave to other classes has to be sufficient for it.
func (s *scheduler) backgroundTxnChanges() int {
	return max(1, min(s.limits.TxnOps, int(s.writeBucket.burst*backgroundReserveFraction)))
}

// enqueue queues a request until the rates allow its class to be sent. Urgent requests are sent
// at once.
func (s *scheduler) enqueue(r request) {
	if r.class == Urgent {
		s.send(r)
		return
	}
	if len(s.queues[r.class]) >= maxQueueLength {
		s.reject(r)
		return
	}
	r.enqueuedAt = s.clock.Now()
	s.queues[r.class] = append(s.queues[r.class], r)
	s.dispatch()
}

// reject answers a request that is not sent.
func (s *scheduler) reject(r request) {
	s.runLater(func() { r.done(Response{NotSent: true}) })
}

// dispatch sends the queued requests that the rates allow now.
func (s *scheduler) dispatch() {
	now := s.clock.Now()
	s.refill(now)
	for _, class := range dispatchOrder {
		s.dispatchClass(class, now)
	}
}

// dispatchClass sends the queued requests of a class that the rates allow, in their order.
func (s *scheduler) dispatchClass(class Class, now time.Duration) {
	for len(s.queues[class]) > 0 && now >= s.pausedUntil {
		r := s.queues[class][0]
		if r.deadline > noDeadline && now > r.deadline {
			// The caller no longer waits; sending the request would only delay those queued
			// after it.
			s.queues[class] = s.queues[class][1:]
			s.reject(r)
			continue
		}
		if !s.withinRates(&r) {
			return
		}
		s.queues[class] = s.queues[class][1:]
		s.send(r)
	}
}

// refill refills both token buckets.
func (s *scheduler) refill(now time.Duration) {
	s.requestBucket.refill(now)
	s.writeBucket.refill(now)
}

// withinRates reports whether the rates allow a request now.
func (s *scheduler) withinRates(r *request) bool {
	if s.requestBucket.tokens < 1 {
		return false
	}
	if r.writes == 0 {
		return true
	}
	needed := math.Min(float64(r.writes), s.writeBucket.burst)
	if r.class == Background && !s.backgroundOverdue(s.clock.Now()) {
		needed = math.Min(needed+s.writeBucket.burst*backgroundReserveFraction, s.writeBucket.burst)
	}
	return s.writeBucket.tokens >= needed
}

// backgroundOverdue reports whether a background write has waited for longer than
// maxBackgroundWait. It is then sent before users' writes.
func (s *scheduler) backgroundOverdue(now time.Duration) bool {
	queue := s.queues[Background]
	return len(queue) > 0 && now-queue[0].enqueuedAt > maxBackgroundWait
}

// send sends a request, whatever the rates allow.
func (s *scheduler) send(r request) {
	s.requestBucket.take(1)
	s.writeBucket.take(float64(r.writes))
	sentAt, timeout := s.clock.Now(), r.timeout
	if timeout == 0 {
		timeout = s.timeoutFor(r.class)
	}
	s.caller.Call(r.method, r.path, r.body, timeout, func(response Response) {
		s.handleResponse(r, sentAt, response)
	})
}

// handleResponse handles the response to a request.
func (s *scheduler) handleResponse(r request, sentAt time.Duration, response Response) {
	if r.timeout == 0 && !response.NotSent {
		s.observeLatency(s.clock.Now()-sentAt, response)
	}
	if response.Status == http.StatusTooManyRequests && r.class != Urgent {
		// The request was not executed. It is sent again first, after a pause.
		s.pausedUntil = s.clock.Now() + rateLimitPause
		s.queues[r.class] = append([]request{r}, s.queues[r.class]...)
		return
	}
	s.failing = response.Status == 0 || response.Status == http.StatusServiceUnavailable
	r.done(response)
}

// observeLatency records the latency of an answer, or that none came within the timeout.
func (s *scheduler) observeLatency(took time.Duration, response Response) {
	if response.Status > 0 {
		s.latency.observeAnswer(took)
		return
	}
	s.latency.observeTimeout(took)
}

// timeoutFor returns how long to wait for an answer. The timeout of a foreground write is
// short, so that its outcome is resolved soon if the answer is lost: all jobs that begin or end
// in the meantime wait for it.
func (s *scheduler) timeoutFor(class Class) time.Duration {
	if class != Foreground {
		return s.limits.Timeout
	}
	return min(s.limits.Timeout, s.latency.timeout())
}
