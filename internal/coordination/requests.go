package coordination

import "time"

// Request is one HTTP request to this controller.
type Request struct {
	Method, Path string
	Body         []byte
	Conn         uint64        // the connection that it came on; 0: not known
	ReceivedAt   time.Duration // when it came, on Env.Clock; 0: just now
}

// heartbeatPath is where machines' agents send their heartbeats.
const heartbeatPath = "/checkin"

// RequestClass tells which queue of the event loop a request waits in.
type RequestClass uint8

// The classes.
const (
	ClassHeartbeat RequestClass = iota // heartbeats of machines
	ClassOther                         // whatever comes from users and from health checks
)

// Class tells which queue the request waits in.
func (r *Request) Class() RequestClass {
	if r.Path == heartbeatPath {
		return ClassHeartbeat
	}
	return ClassOther
}

// Response answers a request.
type Response struct {
	Status      int // of HTTP
	Body        []byte
	RetryAfterS int // in seconds; 0: none is told
	// ValidUntil is up to when the response may be sent, on Env.Clock: what
	// entitles this controller to it ends then. 0: at any time.
	ValidUntil time.Duration
}
