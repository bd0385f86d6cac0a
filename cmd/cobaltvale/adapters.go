package main

import (
	"errors"
	"time"

	"github.com/cobaltvale/cobaltvale/internal/coordination"
	"github.com/cobaltvale/cobaltvale/internal/protocol/meshpb"
	"github.com/cobaltvale/cobaltvale/internal/settings"
	"github.com/cobaltvale/cobaltvale/internal/storage"
	"github.com/cobaltvale/cobaltvale/internal/transport"
)

// monotonicClock counts from the start of the process.
type monotonicClock struct{ start time.Time }

func (c monotonicClock) Now() time.Duration { return time.Since(c.start) }

// httpCaller calls an outside service and brings the answer to the core's queue.
type httpCaller struct {
	client *transport.HTTPClient
	queue  *coordination.EventLoop
}

func (c httpCaller) Call(method, path string, body []byte, timeout time.Duration, done func(storage.Response)) {
	c.client.Do(method, path, body, timeout, func(r transport.HTTPResult) {
		c.queue.Post(func() {
			done(storage.Response{Status: r.Status, Body: r.Body, NotSent: errors.Is(r.Err, transport.ErrNotSent)})
		})
	})
}

// meshEvents brings what happens on the mesh to the core's queue.
type meshEvents struct {
	core  *coordination.Controller
	queue *coordination.EventLoop
}

func (m meshEvents) MeshUp(l *transport.MeshLink, member string) {
	m.queue.Post(func() { m.core.LinkUp(l, member) })
}

func (m meshEvents) MeshFrames(l *transport.MeshLink, frames []*meshpb.Frame) {
	m.queue.Post(func() {
		for _, f := range frames {
			m.core.LinkFrame(l, f)
		}
	})
}

func (m meshEvents) MeshDown(l *transport.MeshLink) {
	m.queue.Post(func() { m.core.LinkDown(l) })
}

// newServer serves users, workers and health checks.
func newServer(file *settings.File, loop *transport.Loop, queue *coordination.EventLoop, core *coordination.Controller, clock monotonicClock, stateConns int) *transport.Server {
	sockets := file.Settings.Limits.Sockets
	return transport.NewServer(transport.ServerConfig{
		Addr:         file.APIAddr,
		MaxConns:     sockets - stateConns - maxCloudConns - 4*len(file.Peers) - min(32, sockets/4),
		MaxHeldBytes: int64(file.Settings.Limits.MemMB*float64(1<<20)) / 4,
		IdleTimeout:  2 * time.Minute,
		ReadTimeout:  15 * time.Second,
	}, loop, func(req *transport.Request, reply func(transport.Response)) {
		r := &coordination.Request{Method: req.Method, Path: req.Path, Body: req.Body, Conn: req.ConnID, ReceivedAt: clock.Now()}
		handle := func() {
			core.HandleHTTP(r, func(r coordination.Response) {
				out := transport.Response{Status: r.Status, Body: r.Body, RetryAfterS: r.RetryAfterS}
				if r.ValidUntil > 0 {
					out.ValidUntil = clock.start.Add(r.ValidUntil)
				}
				reply(out)
			})
		}
		if !queue.TryPost(r.Class(), handle) {
			reply(transport.Response{Status: 503, RetryAfterS: 1})
		}
	})
}
