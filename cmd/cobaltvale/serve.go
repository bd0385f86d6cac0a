package main

import (
	"context"
	"errors"
	"math"
	"math/rand/v2"
	"time"

	"github.com/rs/zerolog"

	"github.com/cobaltvale/cobaltvale/internal/coordination"
	"github.com/cobaltvale/cobaltvale/internal/protocol/meshpb"
	"github.com/cobaltvale/cobaltvale/internal/settings"
	"github.com/cobaltvale/cobaltvale/internal/storage"
	"github.com/cobaltvale/cobaltvale/internal/transport"
)

const (
	minStateConns     = 8  // to the state service
	stateConnsDivisor = 32 // of the sockets that go to it at the most
	maxCloudConns     = 3
	clientQueueLength = 1024
	meshIdleTimeout   = 4 * time.Second
	loopInterval      = 70 * time.Millisecond
	stopTimeout       = 5 * time.Second

	meshMemoryDivisor   = 8
	minMeshBacklogBytes = 4 << 20
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

// stateConnections is how many connections to the state service may be open at once:
// enough to use its rate while every answer takes as long as one may. With a few
// for a service that is quick, one that got slow was asked so seldom that users
// were refused; they are opened only when needed.
func stateConnections(file *settings.File, tune settings.Tuning) int {
	s := &file.Settings
	need := int(math.Ceil(s.State.RPS * tune.WriteShare * tune.RequestTimeout.Seconds()))
	return max(minStateConns, min(need, s.Limits.Sockets/stateConnsDivisor))
}

// meshBacklogBytes is how many bytes may wait to be written to another controller: an
// eighth of the memory is for all of them. What a leader tells an owner that joins,
// or passes on when all workers report at once, grows with the fleet.
func meshBacklogBytes(file *settings.File) int {
	share := file.Settings.Limits.MemMB * float64(1<<20) / meshMemoryDivisor
	return max(minMeshBacklogBytes, int(share)/max(1, len(file.Peers)))
}

// serve wires the layers together and runs until one of them ends, or ctx does.
func serve(ctx context.Context, file *settings.File, tune settings.Tuning, log zerolog.Logger, incarnation uint64, start time.Time) (err error) {
	history, err := openAudit(file.Member, tune, log, incarnation, start)
	if err != nil {
		return err
	}
	defer func() { err = errors.Join(err, history.close()) }()
	loop := transport.NewLoop(loopInterval)
	stateConns := stateConnections(file, tune)
	queue := coordination.NewEventLoop()
	clock := monotonicClock{start}
	core, err := coordination.New(file, tune, coordination.Env{
		Clock: clock,
		Wall:  time.Now,
		Rand:  rand.New(rand.NewPCG(rand.Uint64(), incarnation)),
		State: httpCaller{transport.NewHTTPClient(loop, file.External.State, stateConns, clientQueueLength), queue},
		Cloud: httpCaller{transport.NewHTTPClient(loop, file.External.Cloud, maxCloudConns, clientQueueLength), queue},
		Log:   log,
		Audit: history.appender(),
	}, incarnation)
	if err != nil {
		return err
	}
	peers := make([]transport.MeshPeer, 0, len(file.Peers))
	for _, p := range file.Peers {
		peers = append(peers, transport.MeshPeer{Member: p.Member, Addr: p.Address})
	}
	mesh := transport.NewMesh(transport.MeshConfig{Self: file.Member, Addr: file.MeshAddr,
		Peers: peers, IdleTimeout: meshIdleTimeout, MaxBacklogBytes: meshBacklogBytes(file)}, loop, meshEvents{core, queue})
	server := newServer(file, loop, queue, core, clock, stateConns)
	// Dialing goes on until the event loop has ended, also while ctx ends it.
	dialing, stopDialing := context.WithCancel(context.Background())
	defer stopDialing()
	mesh.Start(dialing)
	var ended error
	go func() {
		ended = loop.Run(server, mesh)
		queue.Stop()
	}()
	stop := context.AfterFunc(ctx, func() {
		if err := loop.Stop(stopTimeout); err != nil {
			log.Error().Err(err).Msg("stopping")
			queue.Stop()
		}
	})
	defer stop()
	log.Info().Str("member", file.Member).Msg("started")
	queue.Run(core, loop.WaitTurn)
	return ended
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
