package simtest

import (
	"math/rand/v2"
	"time"

	"github.com/cobaltvale/cobaltvale/internal/audit"
	"github.com/cobaltvale/cobaltvale/internal/protocol/meshpb"
	"github.com/cobaltvale/cobaltvale/internal/settings"
	"github.com/cobaltvale/cobaltvale/internal/storage"
)

// HTTPRequest is a request of a user or an agent.
type HTTPRequest struct {
	Method, Path string
	Body         []byte
	Conn         uint64        // the connection that it came on; 0: not known
	ReceivedAt   time.Duration // when it came; 0: just now
}

// HTTPResponse is its response. It may be sent up to ValidUntil, or at any time if
// that is 0.
type HTTPResponse struct {
	Status      int
	Body        []byte
	RetryAfterS int
	ValidUntil  time.Duration
}

// Process is a running controller as the deployment drives it. Its methods are called
// one at a time.
type Process interface {
	HandleHTTP(req *HTTPRequest, reply func(HTTPResponse))
	LinkUp(l *Stream, member string)
	LinkDown(l *Stream)
	LinkFrame(l *Stream, f *meshpb.Frame)
	Tick()
	EndBatch()
	RunLater(fn func()) // in its next batch
	Leads() bool
	MayAct() bool // its state lease entitles it to act now
}

// ProcessConfig is what a process of a member starts with.
type ProcessConfig struct {
	Member          string
	PreviousVersion bool // it stands for a process of the version before
	Settings        *settings.File
	Tuning          settings.Tuning
	Clock           storage.Clock
	Wall            func() time.Time
	Rand            *rand.Rand
	State           storage.Caller
	Cloud           storage.Caller
	Audit           func(audit.Record)
	ID              uint64 // of the process, higher for each
}
