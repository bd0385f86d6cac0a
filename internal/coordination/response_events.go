package coordination

import "github.com/cobaltvale/cobaltvale/internal/eventcount"

// responseEvent is a response to a heartbeat, or a start, that was refused or given
// although there was doubt.
type responseEvent int

const (
	responseMachineTerminated responseEvent = iota // the machine is terminated already
	responseStaleHeartbeat                         // the heartbeat is older than one before
	responseSuperseded                             // the machine has sent another heartbeat meanwhile
	responseNotAuthorized                          // this member may not act at present
	startNotSent                                   // a start was bound, and returned to its owner
	startDeliveryPresumed                          // offers were made though only the heartbeat's time shows that responses arrive
	responseEventCount
)

// String names an event as logs do.
func (e responseEvent) String() string {
	switch e {
	case responseMachineTerminated:
		return "machine_terminated"
	case responseStaleHeartbeat:
		return "stale_heartbeat"
	case responseSuperseded:
		return "superseded"
	case responseNotAuthorized:
		return "not_authorized"
	case startNotSent:
		return "starts_not_sent"
	case startDeliveryPresumed:
		return "starts_presumed"
	}
	return "unknown"
}

// newResponseEventCounter returns a counter of responseEventCount.
func newResponseEventCounter() eventcount.Counter {
	var keys []string
	for e := range responseEventCount {
		keys = append(keys, e.String())
	}
	return eventcount.New("heartbeat responses refused or in doubt", keys...)
}
