package cloud

import "time"

// leaderCallShare is the leader's share of the cloud's call rate. The other controllers divide
// the rest, which is enough to read the catalog.
const leaderCallShare = 0.75

// LeaderCallsPerSecond returns the leader's share of the cloud's call rate, in calls per second.
func LeaderCallsPerSecond(rate float64) float64 { return rate * leaderCallShare }

// callLimiter is a token bucket whose rate depends on whether this process is the leader.
type callLimiter struct {
	leaderRate   float64 // calls per second
	followerRate float64 // calls per second
	tokens       float64
	refilledAt   time.Duration
}

// newCallLimiter returns the limiter for this process's share of a call rate. rate, in calls per
// second, is what this process and its peers may use together.
func newCallLimiter(rate float64, peers int) callLimiter {
	return callLimiter{
		leaderRate:   LeaderCallsPerSecond(rate),
		followerRate: rate * ((1 - leaderCallShare) / float64(max(1, peers))),
		tokens:       1,
	}
}

// allow takes one token and reports whether one was available.
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
