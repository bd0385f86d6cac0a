package storage

import "time"

// Response is the outcome of one call to an outside service. Without a Status
// the call got no answer; unless NotSent it may have been executed, or may
// still be executed later.
type Response struct {
	Status  int // of HTTP; 0: no answer
	Body    []byte
	NotSent bool // the call was surely not executed
}

// Caller sends one request and calls done once, on the owning goroutine.
type Caller interface {
	Call(method, path string, body []byte, timeout time.Duration, done func(Response))
}

// Clock is the monotonic clock.
type Clock interface {
	Now() time.Duration
}
