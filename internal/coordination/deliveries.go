package coordination

import "time"

// maxRetryDelay is how soon a machine surely sends a heartbeat again that got no
// response.
const maxRetryDelay = responseLifetime + 2*time.Second

// delivery is what a heartbeat shows of the response to the one before.
type delivery int

const (
	deliveryUnknown  delivery = iota
	deliveryPresumed          // only the time of the heartbeat shows that it arrived
	deliveryProven
)

// deliveryTracker concludes from heartbeats whether responses reach machines. It owns
// of a machine lastReachable and reachabilityPresumed.
type deliveryTracker struct {
	lastProvenAt time.Duration // when any machine showed last that responses arrive
}

// observe takes a heartbeat with the leader's fencing token, that came a while after
// the machine's last one.
func (d *deliveryTracker) observeHeartbeat(m *machine, connection uint64, gap, now time.Duration) delivery {
	// A machine that knows the token for the first time, or has stayed on the
	// connection of its last heartbeat, has had a response.
	proven := m.lastCurrentHeartbeat == 0 || (connection != 0 && connection == m.responseConnection)
	// One that had none tries again sooner: one that comes later was away, or has
	// lost its connection since. That holds once, until there is better proof.
	if !proven && (gap <= maxRetryDelay || m.reachabilityPresumed) {
		return deliveryUnknown
	}
	m.reachabilityPresumed = !proven
	m.lastReachable = now
	if !proven {
		return deliveryPresumed
	}
	d.lastProvenAt = now
	return deliveryProven
}

// begin takes a machine's first heartbeat under this leader.
func (d *deliveryTracker) recordFirstHeartbeat(m *machine, now time.Duration) {
	m.lastReachable, d.lastProvenAt = now, now
}

// reset starts to count anew: up to now no responses were sent, so silence means
// nothing.
func (d *deliveryTracker) reset(now time.Duration) { d.lastProvenAt = now }

// sinceLastProof is how long no machine has shown that responses arrive.
func (d *deliveryTracker) sinceLastProof(now time.Duration) time.Duration {
	return now - d.lastProvenAt
}
