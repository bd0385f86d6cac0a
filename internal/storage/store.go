// Package storage keeps what has to outlive a process in the state
// service: ledgers, jobs and finished task ranges. It spaces requests so that
// all controllers together stay within the service's rates, settles
// transactions that got no answer, and reads everything back on recovery.
//
// Nothing in it is safe for concurrent use: the goroutine that owns the
// controller's state calls it and receives its callbacks.
package storage

import (
	"math"
	"strconv"
	"time"

	"github.com/cobaltvale/cobaltvale/internal/protocol"
)

// Response is the outcome of one call to an outside service. Without a Status
// the call got no answer; unless NotSent it may have been executed, or may
// still be executed later.
type Response struct {
	Status  int
	Body    []byte
	NotSent bool
}

// Caller sends one request and calls done once, on the owning goroutine.
type Caller interface {
	Call(method, path string, body []byte, timeout time.Duration, done func(Response))
}

// Clock is the steady clock.
type Clock interface {
	Now() time.Duration
}

// Limits holds this process's share of the state service's rates, see Share, and
// what it may use of their bursts while the other controllers use little.
type Limits struct {
	RPS, WriteRPS         float64
	BurstRPS, BurstWrites float64
	TxnOps                int
	ValueBytes            int // of one value
	Timeout               time.Duration
}

const (
	maxQueueLength       = 512
	retryDelay           = 300 * time.Millisecond
	rateLimitPause       = 250 * time.Millisecond // after the service refused a request for its rate
	backgroundReserve    = 0.5                    // of the write burst, which Background leaves to others
	maxBackgroundWait    = 2 * time.Second        // after which Background leaves nothing to others
	minForegroundTimeout = 400 * time.Millisecond // that an answer is waited for
	latencyMultiple      = 4                      // times the slowest answer of late, that one is waited for
	latencyDecay         = 0.97                   // of that, what each answer leaves
)

// Class is how soon a request goes out.
type Class uint8

// The classes. Urgent ones go out at once, whatever the rates hold, and are
// made up for by those behind them. Reads wait for no write's rate. Foreground writes
// are what users wait for; Background ones leave them a part of the burst.
const (
	Urgent Class = iota
	Read
	Foreground
	Background
	classCount
)

// tokenBucket is a token bucket. What it holds at the most is a burst that the
// service allows to all controllers together: mostly one of them needs it.
type tokenBucket struct {
	rate, burst, tokens float64
	refilledAt          time.Duration
}

func (b *tokenBucket) refill(now time.Duration) {
	b.tokens = math.Min(b.burst, b.tokens+b.rate*(now-b.refilledAt).Seconds())
	b.refilledAt = now
}

type request struct {
	class        Class
	method, path string
	body         []byte
	writes       int
	timeout      time.Duration
	deadline     time.Duration // not sent after that; 0: whenever
	enqueuedAt   time.Duration // when it was asked for
	done         func(Response)
}

// Store is the state service as seen from this process.
type Store struct {
	caller        Caller
	clock         Clock
	codec         *protocol.Codec
	limits        Limits
	runLater      func(func())
	queues        [classCount][]request
	requestBucket tokenBucket
	writeBucket   tokenBucket
	pausedUntil   time.Duration // nothing but urgent requests before
	failing       bool
	timers        []timer
	lookups       lookups
	peakLatency   time.Duration // answer of late
}

type timer struct {
	at time.Duration
	fn func()
}

// NewStore prepares a store. later runs a function after the present one has
// returned, so that no callback runs inside the call that caused it.
func NewStore(caller Caller, clock Clock, codec *protocol.Codec, limits Limits, later func(func())) *Store {
	now := clock.Now()
	full := func(rate, burst float64) tokenBucket {
		burst = math.Max(1, math.Max(rate, burst))
		return tokenBucket{rate: rate, burst: burst, tokens: burst, refilledAt: now}
	}
	return &Store{
		caller: caller, clock: clock, codec: codec, limits: limits, runLater: later,
		requestBucket: full(limits.RPS, limits.BurstRPS), writeBucket: full(limits.WriteRPS, limits.BurstWrites),
	}
}

// SetRates sets this process's share of the service's rates: it grows while other
// controllers are away, since their users and jobs are this one's then.
func (s *Store) SetRates(rps, writeRPS float64) {
	now := s.clock.Now()
	s.requestBucket.refill(now)
	s.writeBucket.refill(now)
	s.requestBucket.rate, s.writeBucket.rate = rps, writeRPS
}

// Failing tells whether the last answer was a refusal or none at all.
func (s *Store) Failing() bool { return s.failing }

// Poll sends what the rates allow by now. It is called on every tick.
func (s *Store) Poll() {
	now := s.clock.Now()
	for i := 0; i < len(s.timers); {
		if s.timers[i].at <= now {
			fn := s.timers[i].fn
			s.timers = append(s.timers[:i], s.timers[i+1:]...)
			fn()
			continue
		}
		i++
	}
	s.dispatch()
	s.startLookups()
}

// After runs fn once the pause has passed.
func (s *Store) After(pause time.Duration, fn func()) {
	s.timers = append(s.timers, timer{at: s.clock.Now() + pause, fn: fn})
}

func (s *Store) dispatch() {
	now := s.clock.Now()
	s.requestBucket.refill(now)
	s.writeBucket.refill(now)
	// Writes are few, as their own rate bounds them; what reads leave of the
	// requests in a storm of polls would not be enough for them.
	for _, class := range []Class{Foreground, Background, Read} {
		for len(s.queues[class]) > 0 && now >= s.pausedUntil {
			r := s.queues[class][0]
			if r.deadline > 0 && now > r.deadline {
				// Whoever asked has given up; sending it would only make
				// those behind it late as well.
				s.queues[class] = s.queues[class][1:]
				s.runLater(func() { r.done(Response{NotSent: true}) })
				continue
			}
			if !s.withinRates(&r) {
				break
			}
			s.queues[class] = s.queues[class][1:]
			s.send(r)
		}
	}
}

// withinRates tells whether the rates allow a request now.
func (s *Store) withinRates(r *request) bool {
	if s.requestBucket.tokens < 1 {
		return false
	}
	if r.writes == 0 {
		return true
	}
	need := math.Min(float64(r.writes), s.writeBucket.burst)
	if r.class == Background && !s.backgroundOverdue(s.clock.Now()) {
		need = math.Min(need+s.writeBucket.burst*backgroundReserve, s.writeBucket.burst)
	}
	return s.writeBucket.tokens >= need
}

// WriteBudget is how many changes a transaction that users wait for may make now.
func (s *Store) WriteBudget() int {
	now := s.clock.Now()
	s.requestBucket.refill(now)
	s.writeBucket.refill(now)
	if now < s.pausedUntil || len(s.queues[Foreground]) > 0 || s.requestBucket.tokens < 1 || s.writeBucket.tokens < math.Min(2, s.writeBucket.burst) || s.backgroundOverdue(now) {
		return 0
	}
	return max(2, int(s.writeBucket.tokens))
}

// backgroundOverdue tells whether what goes in the background has waited for too long: it
// is next then, before users' writes.
func (s *Store) backgroundOverdue(now time.Duration) bool {
	q := s.queues[Background]
	return len(q) > 0 && now-q[0].enqueuedAt > maxBackgroundWait
}

// idle tells whether there is nothing to do and much that the rates allow.
func (s *Store) idle() bool {
	for _, q := range s.queues {
		if len(q) > 0 {
			return false
		}
	}
	s.writeBucket.refill(s.clock.Now())
	return s.writeBucket.tokens > s.writeBucket.burst*backgroundReserve+1
}

// backgroundTxnChanges is how many changes one transaction in the background makes: the
// part of the burst that it leaves to others has to be enough for it.
func (s *Store) backgroundTxnChanges() int {
	return max(1, min(s.limits.TxnOps, int(s.writeBucket.burst*backgroundReserve)))
}

// maxJSONSize is what an encoded value takes at the most where sizes count as JSON.
func (s *Store) maxJSONSize(encoded int) int { return encoded*3/2 + 64 }

func (s *Store) send(r request) {
	s.requestBucket.tokens--
	s.writeBucket.tokens -= float64(r.writes)
	timeout, sent := r.timeout, s.clock.Now()
	if timeout == 0 {
		timeout = s.timeoutFor(r.class)
	}
	s.caller.Call(r.method, r.path, r.body, timeout, func(res Response) {
		if r.timeout == 0 && !res.NotSent {
			s.observeLatency(s.clock.Now()-sent, res.Status > 0)
		}
		if res.Status == 429 && r.class != Urgent {
			// Surely not executed: it is the next one to go, after a pause.
			s.pausedUntil = s.clock.Now() + rateLimitPause
			s.queues[r.class] = append([]request{r}, s.queues[r.class]...)
			return
		}
		s.failing = res.Status == 0 || res.Status == 503
		r.done(res)
	})
}

// timeoutFor is how long an answer is waited for. What users wait for is settled soon
// if its answer does not come: all that begins or ends meanwhile stands behind it.
func (s *Store) timeoutFor(class Class) time.Duration {
	if class != Foreground {
		return s.limits.Timeout
	}
	return min(s.limits.Timeout, max(minForegroundTimeout, latencyMultiple*s.peakLatency))
}

// observeLatency takes in how long an answer took, or that none came in time: one that is
// lost says little, several in a row that answers take longer.
func (s *Store) observeLatency(took time.Duration, answered bool) {
	if !answered {
		took = max(s.peakLatency, took/latencyMultiple) * 3 / 2
	}
	s.peakLatency = max(took, time.Duration(latencyDecay*float64(s.peakLatency)))
}

// enqueue queues a request.
func (s *Store) enqueue(r request) {
	if r.class == Urgent {
		s.send(r)
		return
	}
	if len(s.queues[r.class]) >= maxQueueLength {
		s.runLater(func() { r.done(Response{NotSent: true}) })
		return
	}
	r.enqueuedAt = s.clock.Now()
	s.queues[r.class] = append(s.queues[r.class], r)
	s.dispatch()
}

// Outcome is what became of a transaction.
type Outcome uint8

// The outcomes. Refused was surely not executed; Unknown may have been, or may be later.
const (
	Applied Outcome = iota + 1
	Conflict
	LeaseExpired
	Refused
	Unknown
	Invalid
)

// TxnResult is a transaction's outcome with what the service said of it.
type TxnResult struct {
	Outcome    Outcome
	Revision   uint64
	FailedKeys []string
}

// FailedOn tells whether the condition on key was among those not met.
func (r TxnResult) FailedOn(key string) bool {
	for _, k := range r.FailedKeys {
		if k == key {
			return true
		}
	}
	return false
}

// Txn sends a transaction.
func (s *Store) Txn(class Class, t protocol.Transaction, done func(TxnResult)) {
	s.txnWithDeadline(class, 0, t, done)
}

// txnWithDeadline sends a transaction unless it still waits at the given time.
func (s *Store) txnWithDeadline(class Class, deadline time.Duration, t protocol.Transaction, done func(TxnResult)) {
	if t.If == nil {
		t.If = []protocol.Condition{}
	}
	if t.Then == nil {
		t.Then = []protocol.Change{}
	}
	s.enqueue(request{class: class, deadline: deadline, method: "POST", path: "/multi", body: s.codec.Encode(t), writes: len(t.Then),
		done: func(r Response) { done(s.txnResult(r)) }})
}

func (s *Store) txnResult(r Response) TxnResult {
	switch {
	case r.NotSent:
		return TxnResult{Outcome: Refused}
	case r.Status == 0:
		return TxnResult{Outcome: Unknown}
	}
	var a protocol.TransactionResponse
	if err := s.codec.Decode(r.Body, &a); err != nil && (r.Status == 200 || r.Status == 409) {
		return TxnResult{Outcome: Unknown}
	}
	switch r.Status {
	case 200:
		return TxnResult{Outcome: Applied, Revision: a.Revision}
	case 409:
		return TxnResult{Outcome: Conflict, Revision: a.Revision, FailedKeys: a.Failed}
	case 400:
		if a.Error == "no such lease" {
			return TxnResult{Outcome: LeaseExpired}
		}
		return TxnResult{Outcome: Invalid}
	case 429, 503:
		return TxnResult{Outcome: Refused}
	}
	return TxnResult{Outcome: Unknown}
}

// Get reads one key. ok is false when the service gave no usable answer.
func (s *Store) Get(class Class, key string, done func(p protocol.KeyValue, found, ok bool)) {
	s.getWithDeadline(class, 0, key, done)
}

func (s *Store) getWithDeadline(class Class, deadline time.Duration, key string, done func(p protocol.KeyValue, found, ok bool)) {
	s.enqueue(request{class: class, deadline: deadline, method: "GET", path: "/kv/" + key, done: func(r Response) {
		var p protocol.KeyValue
		switch {
		case r.Status == 404:
			done(p, false, true)
		case r.Status == 200 && s.codec.Decode(r.Body, &p) == nil:
			done(p, true, true)
		default:
			done(p, false, false)
		}
	}})
}

// List reads all keys with a prefix, page by page. ok is false when a page
// could not be had.
func (s *Store) List(prefix string, done func(items []protocol.KeyValue, revision uint64, ok bool)) {
	s.list(prefix, "", nil, 0, done)
}

func (s *Store) list(prefix, from string, got []protocol.KeyValue, rev uint64, done func([]protocol.KeyValue, uint64, bool)) {
	path := "/kv?under=" + prefix + "&limit=500"
	if from != "" {
		path += "&from=" + from
	}
	s.enqueue(request{class: Read, method: "GET", path: path, timeout: 3 * s.limits.Timeout, done: func(r Response) {
		var page protocol.KeyValuePage
		if r.Status != 200 || s.codec.Decode(r.Body, &page) != nil {
			done(nil, 0, false)
			return
		}
		got = append(got, page.Items...)
		if rev == 0 {
			rev = page.Revision
		}
		if page.More && len(page.Items) > 0 {
			s.list(prefix, page.Items[len(page.Items)-1].Key, got, rev, done)
			return
		}
		done(got, rev, true)
	}})
}

// Watch waits for changes under a prefix. gone says that the revision is too
// old and everything must be read again.
func (s *Store) Watch(prefix string, from uint64, hold time.Duration, done func(ev protocol.WatchResponse, gone, ok bool)) {
	path := "/watch?under=" + prefix + "&from=" + strconv.FormatUint(from, 10) + "&holdMs=" + strconv.FormatInt(hold.Milliseconds(), 10)
	s.enqueue(request{class: Urgent, method: "GET", path: path, timeout: hold + 2*s.limits.Timeout, done: func(r Response) {
		var ev protocol.WatchResponse
		switch {
		case r.Status == 410:
			done(ev, true, false)
		case r.Status == 200 && s.codec.Decode(r.Body, &ev) == nil:
			done(ev, false, true)
		default:
			done(ev, false, false)
		}
	}})
}

// OpenLease asks for a state lease; 0 means that there is none.
func (s *Store) OpenLease(ttl time.Duration, done func(lease uint64)) {
	s.enqueue(request{class: Urgent, method: "POST", path: "/leases", body: s.codec.Encode(protocol.LeaseRequest{TTLMs: ttl.Milliseconds()}),
		done: func(r Response) {
			var a protocol.LeaseResponse
			if r.Status != 200 || s.codec.Decode(r.Body, &a) != nil {
				done(0)
				return
			}
			done(a.Lease)
		}})
}

// RenewLease renews a lease. lost says that the lease has ended for good.
func (s *Store) RenewLease(lease uint64, timeout time.Duration, done func(ok, lost bool)) {
	s.enqueue(request{class: Urgent, method: "POST", path: "/leases/" + strconv.FormatUint(lease, 10) + "/touch", timeout: timeout,
		done: func(r Response) { done(r.Status == 200, r.Status == 404) }})
}
