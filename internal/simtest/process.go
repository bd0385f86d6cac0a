package simtest

import (
	"math/rand/v2"
	"time"

	"github.com/cobaltvale/cobaltvale/internal/audit"
	"github.com/cobaltvale/cobaltvale/internal/protocol/meshpb"
	"github.com/cobaltvale/cobaltvale/internal/settings"
	"github.com/cobaltvale/cobaltvale/internal/storage"
)

// HTTPRequest is a request of a user or of an agent. Its fields are those of
// coordination.Request, to which it is converted.
type HTTPRequest struct {
	Method, Path string
	Body         []byte
	Conn         uint64        // number of the connection on which it arrived; 0: unknown
	ReceivedAt   time.Duration // when it arrived, on the deployment's clock; 0: now
}

// HTTPResponse is the response to an HTTPRequest. It may be sent until ValidUntil on the
// deployment's clock, or at any time if that is 0. Its fields are those of
// coordination.Response.
type HTTPResponse struct {
	Status      int
	Body        []byte
	RetryAfterS int
	ValidUntil  time.Duration
}

// Process is the deployment's view of a running controller. Its methods are called by one
// goroutine only.
type Process interface {
	HandleHTTP(req *HTTPRequest, reply func(HTTPResponse))
	LinkUp(l *Stream, member string)
	LinkDown(l *Stream)
	LinkFrame(l *Stream, f *meshpb.Frame)
	Tick()
	EndBatch()
	RunLater(fn func()) // calls fn in the next batch
	Leads() bool
	MayAct() bool // reports whether its state lease, or an extension of it, entitles it to act now
}

// ProcessConfig holds the parameters with which a process of a member starts.
type ProcessConfig struct {
	Member          string
	PreviousVersion bool // behave as a process of the previous version
	Settings        *settings.File
	Tuning          settings.Tuning
	Clock           storage.Clock
	Wall            func() time.Time // the wall clock
	Rand            *rand.Rand
	State           storage.Caller
	Cloud           storage.Caller
	Audit           func(audit.Record)
	ID              uint64 // of the process, increasing with each start
}
