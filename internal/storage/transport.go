package storage

import "time"

// Response is the result of one call to an external service. If Status is 0, the call got no
// answer; unless NotSent is set, it may have been executed, or may still be executed later.
type Response struct {
	Status  int // HTTP status; 0: no answer
	Body    []byte
	NotSent bool // the call is guaranteed not to have been executed
}

// Caller sends one request and calls done once, on the goroutine that owns the controller's
// state.
type Caller interface {
	Call(method, path string, body []byte, timeout time.Duration, done func(Response))
}

// Clock is a monotonic clock.
type Clock interface {
	Now() time.Duration
}
