package coordination

import "time"

// maxRetryDelay is the time within which a machine is guaranteed to retry a heartbeat that got
// no response.
const maxRetryDelay = responseLifetime + 2*time.Second

// delivery is what a heartbeat shows about the response to the one before.
type delivery int

const (
	deliveryUnknown  delivery = iota
	deliveryPresumed          // only the delay of the heartbeat shows that the response arrived
	deliveryProven
)

// deliveryTracker concludes from heartbeats whether responses reach machines. It owns
// machine.lastReachable and reachabilityPresumed.
type deliveryTracker struct {
	lastProvenAt time.Duration // when any machine last proved that responses arrive
}

// observeHeartbeat returns what a heartbeat with the leader's fencing token shows about the
// previous response. gap is the time since the machine's previous heartbeat.
func (d *deliveryTracker) observeHeartbeat(m *machine, connection uint64, gap, now time.Duration) delivery {
	// A machine that sends the token for the first time, or is still on the connection of
	// the heartbeat last responded to, has received a response.
	proven := m.lastCurrentHeartbeat == 0 || (connection != 0 && connection == m.responseConnection)
	// A machine that received no response retries within maxRetryDelay. A heartbeat that
	// comes later shows that the machine was paused or has lost its connection since. This
	// counts only once, until there is proof again.
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

// recordFirstHeartbeat records a machine's first heartbeat under this leader.
func (d *deliveryTracker) recordFirstHeartbeat(m *machine, now time.Duration) {
	m.lastReachable, d.lastProvenAt = now, now
}

// reset restarts the time since the last proof. It is called while no responses are sent,
// as silence shows nothing then.
func (d *deliveryTracker) reset(now time.Duration) { d.lastProvenAt = now }

// sinceLastProof returns the time since any machine last proved that responses arrive.
func (d *deliveryTracker) sinceLastProof(now time.Duration) time.Duration {
	return now - d.lastProvenAt
}
