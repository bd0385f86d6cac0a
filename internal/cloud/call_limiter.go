package cloud

import "time"

// leaderCallShare is the leader's part of the cloud's rate; the other controllers
// share the rest, which is enough for the catalogue.
const leaderCallShare = 0.75

// LeaderCallsPerSecond is the leader's share of the cloud's rate of calls.
func LeaderCallsPerSecond(rate float64) float64 { return rate * leaderCallShare }

// callLimiter is a token bucket whose rate depends on whether this process leads.
type callLimiter struct {
	leaderRate   float64 // calls a second
	followerRate float64
	tokens       float64
	refilledAt   time.Duration
}

// newCallLimiter divides a rate of calls among this process and its peers.
func newCallLimiter(rate float64, peers int) callLimiter {
	return callLimiter{
		leaderRate:   LeaderCallsPerSecond(rate),
		followerRate: rate * ((1 - leaderCallShare) / float64(max(1, peers))),
		tokens:       1,
	}
}

// allow takes one token if there is one.
func (l *callLimiter) allow(now time.Duration, leading bool) bool {
	rate := l.followerRate
	if leading {
		rate = l.leaderRate
	}
	l.tokens = min(max(1, rate), l.tokens+rate*(now-l.refilledAt).Seconds())
	l.refilledAt = now
	if l.tokens < 1 {
		return false
	}
	l.tokens--
	return true
}
