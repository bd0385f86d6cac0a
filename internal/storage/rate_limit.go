package storage

import (
	"math"
	"time"
)

// Limits holds this process's share of the state service's rates (see SetRates), the bursts
// that it may use while the other controllers use little, and the service's limits of single
// requests.
type Limits struct {
	RPS, WriteRPS         float64       // requests and changes per second
	BurstRPS, BurstWrites float64       // maximum numbers of requests and changes at once
	TxnOps                int           // maximum number of changes in one transaction
	ValueBytes            int           // maximum size of one value, in bytes as JSON
	Timeout               time.Duration // for an answer
}

// tokenBucket is a token bucket. Its capacity is the burst that the service allows to all
// controllers together, since usually only one of them needs it at a time.
type tokenBucket struct {
	rate, burst, tokens float64 // rate is in tokens per second
	refilledAt          time.Duration
}

// newTokenBucket returns a full bucket. Its capacity is at least one second's tokens and at
// least one token.
func newTokenBucket(rate, burst float64, now time.Duration) tokenBucket {
	burst = math.Max(1, math.Max(rate, burst))
	return tokenBucket{rate: rate, burst: burst, tokens: burst, refilledAt: now}
}

// refill adds the tokens for the time since the last refill.
func (b *tokenBucket) refill(now time.Duration) {
	b.tokens = math.Min(b.burst, b.tokens+b.rate*(now-b.refilledAt).Seconds())
	b.refilledAt = now
}

// take removes tokens. The balance may become negative; later requests then wait for it to
// recover.
func (b *tokenBucket) take(tokens float64) { b.tokens -= tokens }
