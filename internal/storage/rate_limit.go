package storage

import (
	"math"
	"time"
)

// Limits holds this process's share of the state service's rates, see SetRates,
// the bursts that it may use while the other controllers use little, and the
// service's limits of single requests.
type Limits struct {
	RPS, WriteRPS         float64       // requests and changes per second
	BurstRPS, BurstWrites float64       // requests and changes at once
	TxnOps                int           // changes in one transaction
	ValueBytes            int           // of one value
	Timeout               time.Duration // for an answer
}

// tokenBucket is a token bucket. Its capacity is a burst that the service allows
// to all controllers together: mostly one of them needs it.
type tokenBucket struct {
	rate, burst, tokens float64
	refilledAt          time.Duration
}

// newTokenBucket returns a full bucket, which holds a second's tokens at least.
func newTokenBucket(rate, burst float64, now time.Duration) tokenBucket {
	burst = math.Max(1, math.Max(rate, burst))
	return tokenBucket{rate: rate, burst: burst, tokens: burst, refilledAt: now}
}

// refill adds the tokens of the time since the last refill.
func (b *tokenBucket) refill(now time.Duration) {
	b.tokens = math.Min(b.burst, b.tokens+b.rate*(now-b.refilledAt).Seconds())
	b.refilledAt = now
}

// take removes tokens, also more than there are: later requests make up for them.
func (b *tokenBucket) take(tokens float64) { b.tokens -= tokens }
