package storage

import (
	"math"
	"net/http"
	"time"
)

const (
	maxQueueLength            = 512                    // of each class
	rateLimitPause            = 250 * time.Millisecond // after the service refused a request for its rate
	backgroundReserveFraction = 0.5                    // of the write burst, which Background leaves to others
	maxBackgroundWait         = 2 * time.Second        // after which Background leaves nothing to others
)

// Class is the scheduling class of a request: when it is sent, and what it leaves
// to others.
type Class uint8

// The scheduling classes. Urgent requests are sent at once, whatever the rates
// allow; those behind them make up for it. Read requests wait for no write's rate.
// Foreground writes are what users wait for; Background writes leave them a part of
// the burst.
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

// dispatchOrder is the order in which queued requests use the rates. Writes are few,
// as their own rate bounds them; what a storm of reads left of the request rate would
// not be enough for them.
var dispatchOrder = [...]Class{Foreground, Background, Read}

// noDeadline is the deadline of a request that waits as long as it takes.
const noDeadline = 0

// request is one request to the state service, sent or queued.
type request struct {
	class        Class
	method, path string
	body         []byte
	writes       int           // changes that count for the write rate
	timeout      time.Duration // for the answer; 0: that of the class
	deadline     time.Duration // not sent after that; noDeadline: none
	enqueuedAt   time.Duration
	done         func(Response)
}

// scheduler sends requests by class, as the rates allow, and bounds how many wait.
type scheduler struct {
	caller   Caller
	clock    Clock
	limits   Limits
	runLater func(func()) // runs a function after the present one has returned

	queues        [classCount][]request
	requestBucket tokenBucket
	writeBucket   tokenBucket
	pausedUntil   time.Duration // nothing but urgent requests before
	latency       latencyEstimate
	failing       bool
}

// newScheduler is a scheduler whose rates allow a full burst.
func newScheduler(caller Caller, clock Clock, limits Limits, runLater func(func())) scheduler {
	now := clock.Now()
	return scheduler{
		caller: caller, clock: clock, limits: limits, runLater: runLater,
		requestBucket: newTokenBucket(limits.RPS, limits.BurstRPS, now),
		writeBucket:   newTokenBucket(limits.WriteRPS, limits.BurstWrites, now),
	}
}

// SetRates sets this process's share of the service's rates, per second. It grows
// while other controllers are away, since their users and jobs are this one's then.
func (s *scheduler) SetRates(requests, writes float64) {
	s.refill(s.clock.Now())
	s.requestBucket.rate, s.writeBucket.rate = requests, writes
}

// Failing tells whether the last answer was a refusal or none at all.
func (s *scheduler) Failing() bool { return s.failing }

// WriteBudget is how many changes a transaction that users wait for may make now.
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

// scarce tells whether a write budget is less than what background writes leave.
func (s *scheduler) writesScarce(budget int) bool {
	return float64(budget) < s.writeBucket.burst*backgroundReserveFraction
}

// idle tells whether no request waits and background writes leave much of the burst.
func (s *scheduler) idle() bool {
	for _, queue := range s.queues {
		if len(queue) > 0 {
			return false
		}
	}
	s.writeBucket.refill(s.clock.Now())
	return s.writeBucket.tokens > s.writeBucket.burst*backgroundReserveFraction+1
}

// backgroundTxnChanges is how many changes one background transaction makes: the
// part of the burst that it leaves to others has to be enough for it.
func (s *scheduler) backgroundTxnChanges() int {
	return max(1, min(s.limits.TxnOps, int(s.writeBucket.burst*backgroundReserveFraction)))
}

// enqueue sends a request when its class may, at once if that is now.
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

// dispatch sends what the rates allow by now.
func (s *scheduler) dispatch() {
	now := s.clock.Now()
	s.refill(now)
	for _, class := range dispatchOrder {
		s.dispatchClass(class, now)
	}
}

// dispatchClass sends the requests of a class that the rates allow, in their order.
func (s *scheduler) dispatchClass(class Class, now time.Duration) {
	for len(s.queues[class]) > 0 && now >= s.pausedUntil {
		r := s.queues[class][0]
		if r.deadline > noDeadline && now > r.deadline {
			// Whoever asked has given up; sending it would only make
			// those behind it late as well.
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

// refill brings both rates up to date.
func (s *scheduler) refill(now time.Duration) {
	s.requestBucket.refill(now)
	s.writeBucket.refill(now)
}

// withinRates tells whether the rates allow a request now.
func (s *scheduler) withinRates(r *request) bool {
	if s.requestBucket.tokens < 1 {
		return false
	}
	if r.writes == 0 {
		return true
	}
	need := math.Min(float64(r.writes), s.writeBucket.burst)
	if r.class == Background && !s.backgroundOverdue(s.clock.Now()) {
		need = math.Min(need+s.writeBucket.burst*backgroundReserveFraction, s.writeBucket.burst)
	}
	return s.writeBucket.tokens >= need
}

// backgroundOverdue tells whether a background write has waited too long: it is next
// then, before users' writes.
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

// receive takes the response to a request.
func (s *scheduler) handleResponse(r request, sentAt time.Duration, response Response) {
	if r.timeout == 0 && !response.NotSent {
		s.observeLatency(s.clock.Now()-sentAt, response)
	}
	if response.Status == http.StatusTooManyRequests && r.class != Urgent {
		// Surely not executed: it is the next one to go, after a pause.
		s.pausedUntil = s.clock.Now() + rateLimitPause
		s.queues[r.class] = append([]request{r}, s.queues[r.class]...)
		return
	}
	s.failing = response.Status == 0 || response.Status == http.StatusServiceUnavailable
	r.done(response)
}

// observeLatency takes in how long an answer took, or that none came.
func (s *scheduler) observeLatency(took time.Duration, response Response) {
	if response.Status > 0 {
		s.latency.observeAnswer(took)
		return
	}
	s.latency.observeTimeout(took)
}

// timeoutFor is how long an answer is waited for. The outcome of a foreground write
// is resolved soon if its answer does not come: all jobs that begin or end meanwhile
// wait for it.
func (s *scheduler) timeoutFor(class Class) time.Duration {
	if class != Foreground {
		return s.limits.Timeout
	}
	return min(s.limits.Timeout, s.latency.timeout())
}
