package coordination

import "time"

// machineLeases determines when machines' leases are guaranteed to have expired. A machine's
// lease is renewed by the response to a heartbeat, whichever controller sent it. A leader does
// not know when leases were renewed before its election, so it counts from the election.
type machineLeases struct {
	electedAt time.Duration
	timeout   time.Duration // from a heartbeat's arrival to the guaranteed end of the lease
}

// expired reports whether a machine's lease is guaranteed to have expired.
func (l machineLeases) expired(m *machine, now time.Duration) bool {
	return now-max(m.lastHeartbeat, l.electedAt) > l.timeout
}
