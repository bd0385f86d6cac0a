package coordination

import (
	"time"

	"github.com/cobaltvale/cobaltvale/internal/api"
)

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

// Response answers a request of a user or of an agent.
type Response = api.Response
