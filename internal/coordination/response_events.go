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
	responseUnjudged                               // the machine runs a replica of a job that is unknown and may be unfinished
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
	case responseUnjudged:
		return "job_unknown"
	}
	return "unknown"
}

// newResponseEventCounter returns a counter of response events.
func newResponseEventCounter() eventcount.Counter {
	return eventcount.New("heartbeat responses refused or in doubt", responseEventCount)
}

// stopReason is why a machine is told to stop a replica.
type stopReason int

const (
	stopJobEnded      stopReason = iota // its job has ended
	stopJobCancelling                   // its job's user has cancelled it
	stopJobUnknown                      // no shard has its job
	stopOwnerCommand                    // its job's owner requested it
	stopReasonCount

	stopNotRequired stopReason = -1
)

// String returns a reason's name in logs.
func (r stopReason) String() string {
	switch r {
	case stopJobEnded:
		return "job_ended"
	case stopJobCancelling:
		return "job_cancelling"
	case stopJobUnknown:
		return "job_unknown"
	case stopOwnerCommand:
		return "owner_command"
	}
	return "unknown"
}

// newStopCounter returns a counter of stop commands, which are repeated with each response until
// the machine's list shows them done.
func newStopCounter() eventcount.Counter {
	return eventcount.New("stop commands sent", stopReasonCount)
}
