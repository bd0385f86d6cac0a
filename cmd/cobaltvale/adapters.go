package main

import (
	"errors"
	"time"

	"github.com/cobaltvale/cobaltvale/internal/coordination"
	"github.com/cobaltvale/cobaltvale/internal/protocol/meshpb"
	"github.com/cobaltvale/cobaltvale/internal/storage"
	"github.com/cobaltvale/cobaltvale/internal/transport"
)

// Adapters bring what happens on the connections' event loop to the controller's, which
// alone may call the controller.

// monotonicClock counts from the start of the process.
type monotonicClock struct{ start time.Time }

// Now implements storage.Clock.
func (c monotonicClock) Now() time.Duration { return time.Since(c.start) }

// at is the time of a moment on this clock.
func (c monotonicClock) timeAt(moment time.Duration) time.Time { return c.start.Add(moment) }

// httpCaller calls an outside service for the controller.
type httpCaller struct {
	client *transport.HTTPClient
	events *coordination.EventLoop
}

// Call implements storage.Caller.
func (c httpCaller) Call(method, path string, body []byte, timeout time.Duration, done func(storage.Response)) {
	c.client.Do(method, path, body, timeout, func(r transport.HTTPResult) {
		c.events.Post(func() {
			done(storage.Response{Status: r.Status, Body: r.Body, NotSent: errors.Is(r.Err, transport.ErrNotSent)})
		})
	})
}

// meshEvents brings the mesh's events to the controller, in their order.
type meshEvents struct {
	controller *coordination.Controller
	events     *coordination.EventLoop
}

// MeshUp implements transport.MeshEvents.
func (m meshEvents) MeshUp(l *transport.MeshLink, member string) {
	m.events.Post(func() { m.controller.LinkUp(l, member) })
}

// MeshFrames implements transport.MeshEvents.
func (m meshEvents) MeshFrames(l *transport.MeshLink, frames []*meshpb.Frame) {
	m.events.Post(func() {
		for _, f := range frames {
			m.controller.LinkFrame(l, f)
		}
	})
}

// MeshDown implements transport.MeshEvents.
func (m meshEvents) MeshDown(l *transport.MeshLink) {
	m.events.Post(func() { m.controller.LinkDown(l) })
}

// apiHandler brings requests of users, workers and health checks to the controller.
type apiHandler struct {
	controller *coordination.Controller
	events     *coordination.EventLoop
	clock      monotonicClock
}

// handle is a transport.Handler. While the controller's queue is full it refuses.
func (a apiHandler) handle(req *transport.Request, reply func(transport.Response)) {
	request := &coordination.Request{Method: req.Method, Path: req.Path, Body: req.Body, Conn: req.ConnID, ReceivedAt: a.clock.Now()}
	handle := func() {
		a.controller.HandleHTTP(request, func(r coordination.Response) { reply(a.response(r)) })
	}
	if !a.events.TryPost(request.Class(), handle) {
		reply(transport.Unavailable())
	}
}

// response is the controller's response with the time of day until which it may be sent.
func (a apiHandler) response(r coordination.Response) transport.Response {
	out := transport.Response{Status: r.Status, Body: r.Body, RetryAfterS: r.RetryAfterS}
	if r.ValidUntil > 0 {
		out.ValidUntil = a.clock.timeAt(r.ValidUntil)
	}
	return out
}
