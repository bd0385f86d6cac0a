package coordination

import "github.com/cobaltvale/cobaltvale/internal/eventcount"

// responseEvent is a rejected heartbeat, a start that was not sent, or a response sent without
// proof that responses reach the machine.
type responseEvent int

const (
	responseMachineTerminated responseEvent = iota // the machine is already terminated
	responseStaleHeartbeat                         // the heartbeat is not newer than one before
	responseSuperseded                             // the machine sent another heartbeat meanwhile
	responseNotAuthorized                          // this member may not act as the leader at present
	startNotSent                                   // a start was bound, and then returned to its owner unsent
	startDeliveryPresumed                          // offers are made on a presumed delivery, see delivery
	responseEventCount
)

// String returns an event's name in logs.
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

// newResponseEventCounter returns a counter of response events.
func newResponseEventCounter() eventcount.Counter {
	var names []string
	for e := range responseEventCount {
		names = append(names, e.String())
	}
	return eventcount.New("heartbeat responses refused or in doubt", names...)
}
