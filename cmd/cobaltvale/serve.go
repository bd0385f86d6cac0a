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
	leastConns  = 8  // to the state service
	partOfConns = 32 // of the sockets that go to it at the most
	cloudConns  = 3
	clientQueue = 1024
	meshSilence = 4 * time.Second
	paceEvery   = 70 * time.Millisecond
	stopTimeout = 5 * time.Second

	memoryPartOfMesh = 8
	leastBacklog     = 4 << 20
)

// steadyClock counts from the start of the process.
type steadyClock struct{ start time.Time }

func (c steadyClock) Now() time.Duration { return time.Since(c.start) }

// caller calls an outside service and brings the answer to the core's queue.
type caller struct {
	client *transport.HTTPClient
	queue  *coordination.Queue
}

func (c caller) Call(method, path string, body []byte, timeout time.Duration, done func(storage.Response)) {
	c.client.Do(method, path, body, timeout, func(r transport.HTTPResult) {
		c.queue.Post(func() {
			done(storage.Response{Status: r.Status, Body: r.Body, NotSent: errors.Is(r.Err, transport.ErrNotSent)})
		})
	})
}

// meshEvents brings what happens on the mesh to the core's queue.
type meshEvents struct {
	core  *coordination.Core
	queue *coordination.Queue
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

// stateConns is how many connections to the state service may be open at once:
// enough to use its rate while every answer takes as long as one may. With a few
// for a service that is quick, one that got slow was asked so seldom that users
// were refused; they are opened only when needed.
func stateConns(file *settings.File, tune settings.Tuning) int {
	s := &file.Settings
	need := int(math.Ceil(s.State.RPS * tune.WriteShare * tune.RequestTimeout.Seconds()))
	return max(leastConns, min(need, s.Limits.Sockets/partOfConns))
}

// meshBacklog is how many bytes may wait to be written to another controller: an
// eighth of the memory is for all of them. What a leader tells an owner that joins,
// or passes on when all workers report at once, grows with the fleet.
func meshBacklog(file *settings.File) int {
	share := file.Settings.Limits.MemMB * float64(1<<20) / memoryPartOfMesh
	return max(leastBacklog, int(share)/max(1, len(file.Known)))
}

// serve wires the layers together and runs until one of them ends, or ctx does.
func serve(ctx context.Context, file *settings.File, tune settings.Tuning, log zerolog.Logger, incarnation uint64, start time.Time) (err error) {
	history, err := openAudit(file.Member, tune, log, incarnation, start)
	if err != nil {
		return err
	}
	defer func() { err = errors.Join(err, history.close()) }()
	loop := transport.NewLoop(paceEvery)
	toState := stateConns(file, tune)
	queue := coordination.NewQueue()
	clock := steadyClock{start}
	core, err := coordination.New(file, tune, coordination.Env{
		Clock: clock,
		Wall:  time.Now,
		Rand:  rand.New(rand.NewPCG(rand.Uint64(), incarnation)),
		State: caller{transport.NewHTTPClient(loop, file.External.State, toState, clientQueue), queue},
		Cloud: caller{transport.NewHTTPClient(loop, file.External.Cloud, cloudConns, clientQueue), queue},
		Log:   log,
		Audit: history.take(),
	}, incarnation)
	if err != nil {
		return err
	}
	peers := make([]transport.MeshPeer, 0, len(file.Known))
	for _, p := range file.Known {
		peers = append(peers, transport.MeshPeer{Member: p.Member, Addr: p.Address})
	}
	mesh := transport.NewMesh(transport.MeshConfig{Self: file.Member, Addr: file.MeshAddr,
		Peers: peers, Silence: meshSilence, MaxBacklog: meshBacklog(file)}, loop, meshEvents{core, queue})
	server := newServer(file, loop, queue, core, clock, toState)
	mesh.Start()
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
	queue.Run(core, loop.Rest)
	mesh.Stop()
	return ended
}

// newServer serves users, workers and health checks.
func newServer(file *settings.File, loop *transport.Loop, queue *coordination.Queue, core *coordination.Core, clock steadyClock, toState int) *transport.Server {
	sockets := file.Settings.Limits.Sockets
	return transport.NewServer(transport.ServerConfig{
		Addr:        file.APIAddr,
		MaxConns:    sockets - toState - cloudConns - 4*len(file.Known) - min(32, sockets/4),
		MaxHeld:     int64(file.Settings.Limits.MemMB*float64(1<<20)) / 4,
		IdleTimeout: 2 * time.Minute,
		ReadTimeout: 15 * time.Second,
	}, loop, func(req *transport.Request, reply func(transport.Response)) {
		r := &coordination.Request{Method: req.Method, Path: req.Path, Body: req.Body, Conn: req.Conn, At: clock.Now()}
		handle := func() {
			core.HandleHTTP(r, func(r coordination.Response) {
				out := transport.Response{Status: r.Status, Body: r.Body, RetryAfterS: r.RetryAfterS}
				if r.Until > 0 {
					out.Until = clock.start.Add(r.Until)
				}
				reply(out)
			})
		}
		if !queue.Offer(handle, r.IsReport()) {
			reply(transport.Response{Status: 503, RetryAfterS: 1})
		}
	})
}
