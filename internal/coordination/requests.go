package coordination

import "time"

// Request is one HTTP request to this node.
type Request struct {
	Method, Path string
	Body         []byte
	Conn         uint64        // the connection that it came on; 0: not known
	ReceivedAt   time.Duration // when it came; 0: just now
}

// IsHeartbeat tells whether a request is a worker's report.
func (r *Request) IsHeartbeat() bool { return r.Path == heartbeatPath }

const heartbeatPath = "/checkin"

// Response is its answer. It may be sent up to Until, or at any time if that is
// 0: what entitles this node to it ends then.
type Response struct {
	Status      int
	Body        []byte
	RetryAfterS int
	ValidUntil  time.Duration
}
