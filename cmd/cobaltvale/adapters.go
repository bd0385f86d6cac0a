package main

import (
	"errors"
	"time"

	"github.com/cobaltvale/cobaltvale/internal/coordination"
	"github.com/cobaltvale/cobaltvale/internal/protocol/meshpb"
	"github.com/cobaltvale/cobaltvale/internal/storage"
	"github.com/cobaltvale/cobaltvale/internal/transport"
)

// The adapters pass what happens on the connections' event loop to the controller's event
// loop, the only goroutine that may call the controller.

// monotonicClock measures the time since the process started.
type monotonicClock struct{ start time.Time }

// Now implements storage.Clock.
func (c monotonicClock) Now() time.Duration { return time.Since(c.start) }

// timeAt returns the time.Time at which the clock shows the given reading.
func (c monotonicClock) timeAt(reading time.Duration) time.Time { return c.start.Add(reading) }

// httpCaller sends the controller's requests to one external service.
type httpCaller struct {
	client *transport.HTTPClient
	events *coordination.EventLoop
}

// Call implements storage.Caller. It calls done on the controller's event loop.
func (c httpCaller) Call(method, path string, body []byte, timeout time.Duration, done func(storage.Response)) {
	c.client.Do(method, path, body, timeout, func(r transport.HTTPResult) {
		c.events.Post(func() {
			done(storage.Response{Status: r.Status, Body: r.Body, NotSent: errors.Is(r.Err, transport.ErrNotSent)})
		})
	})
}

// meshEvents passes the mesh's events to the controller, in the order in which they occur.
type meshEvents struct {
	controller *coordination.Controller
	events     *coordination.EventLoop
}

// MeshUp implements transport.MeshEvents.
func (m meshEvents) MeshUp(link *transport.MeshLink, member string) {
	m.events.Post(func() { m.controller.LinkUp(link, member) })
}

// MeshFrames implements transport.MeshEvents.
func (m meshEvents) MeshFrames(link *transport.MeshLink, frames []*meshpb.Frame) {
	m.events.Post(func() {
		for _, f := range frames {
			m.controller.LinkFrame(link, f)
		}
	})
}

// MeshDown implements transport.MeshEvents.
func (m meshEvents) MeshDown(link *transport.MeshLink) {
	m.events.Post(func() { m.controller.LinkDown(link) })
}

// apiHandler passes the requests of users, machines and health checks to the controller.
type apiHandler struct {
	controller *coordination.Controller
	events     *coordination.EventLoop
	clock      monotonicClock
}

// handle is a transport.Handler. It answers 503 at once while the controller's queue for
// the request's class is full.
func (a apiHandler) handle(req *transport.Request, reply func(transport.Response)) {
	request := &coordination.Request{Method: req.Method, Path: req.Path, Body: req.Body, Conn: req.ConnID, ReceivedAt: a.clock.Now()}
	handle := func() {
		a.controller.HandleHTTP(request, func(r coordination.Response) { reply(a.response(r)) })
	}
	if !a.events.TryPost(request.Class(), handle) {
		reply(transport.Unavailable())
	}
}

// response converts the controller's response. Its expiry, a reading of the controller's
// clock, becomes a time.Time.
func (a apiHandler) response(r coordination.Response) transport.Response {
	out := transport.Response{Status: r.Status, Body: r.Body, RetryAfterS: r.RetryAfterS}
	if r.ValidUntil > 0 {
		out.ValidUntil = a.clock.timeAt(r.ValidUntil)
	}
	return out
}
