package coordination

import "time"

// machineLeases tells when machines' leases have surely expired. A machine's lease
// is renewed by the response to a heartbeat, whichever controller sent it; up to its
// election a leader does not know when that was.
type machineLeases struct {
	electedAt time.Duration
	timeout   time.Duration // after a heartbeat's arrival
}

// expired tells whether a machine's lease has surely expired.
func (l machineLeases) expired(m *machine, now time.Duration) bool {
	return now-max(m.lastHeartbeat, l.electedAt) > l.timeout
}
