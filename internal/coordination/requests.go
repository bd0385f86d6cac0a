package coordination

import (
	"time"

	"github.com/cobaltvale/cobaltvale/internal/api"
)

// Request is one HTTP request to this controller.
type Request struct {
	Method, Path string
	Body         []byte
	Conn         uint64        // the connection on which it arrived; 0: not known
	ReceivedAt   time.Duration // when it arrived, on Env.Clock; 0: treated as just arrived
}

// heartbeatPath is the path to which the agents on machines send their heartbeats.
const heartbeatPath = "/checkin"

// RequestClass determines in which queue of the event loop a request waits.
type RequestClass uint8

// The classes of requests.
const (
	ClassHeartbeat RequestClass = iota // heartbeats of machines
	ClassOther                         // requests of users and health checks
)

// Class returns the class of the request.
func (r *Request) Class() RequestClass {
	if r.Path == heartbeatPath {
		return ClassHeartbeat
	}
	return ClassOther
}

// Response is the response to a request of a user or of an agent.
type Response = api.Response
