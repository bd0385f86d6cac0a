package main

import (
	"context"
	"errors"
	"math/rand/v2"
	"time"

	"github.com/rs/zerolog"

	"github.com/cobaltvale/cobaltvale/internal/audit"
	"github.com/cobaltvale/cobaltvale/internal/coordination"
	"github.com/cobaltvale/cobaltvale/internal/settings"
	"github.com/cobaltvale/cobaltvale/internal/transport"
)

// process is what a controller's process starts with.
type processConfig struct {
	file        *settings.File
	tuning      settings.Tuning
	log         zerolog.Logger
	incarnation uint64 // tells this process from others of the same member
	start       time.Time
}

// serve runs a controller until its connections' event loop ends, or ctx does.
func serve(ctx context.Context, p processConfig) (err error) {
	history, err := openAuditLog(p)
	if err != nil {
		return err
	}
	defer func() { err = errors.Join(err, history.close()) }()
	n, err := newControllerProcess(p, history.appendFunc())
	if err != nil {
		return err
	}
	return n.run(ctx)
}

// node is a controller with its two event loops: that of the connections, and that of the
// controller, which alone may call it.
type controllerProcess struct {
	processConfig
	connections *transport.Loop
	events      *coordination.EventLoop
	controller  *coordination.Controller
	mesh        *transport.Mesh
	server      *transport.Server
}

// newControllerProcess wires the packages together.
func newControllerProcess(p processConfig, record func(audit.Record)) (*controllerProcess, error) {
	n := &controllerProcess{processConfig: p, connections: transport.NewLoop(loopInterval), events: coordination.NewEventLoop()}
	clock := monotonicClock{p.start}
	controller, err := coordination.New(p.file, p.tuning, coordination.Env{
		Clock: clock,
		Wall:  time.Now,
		Rand:  rand.New(rand.NewPCG(rand.Uint64(), p.incarnation)),
		State: n.newHTTPCaller(p.file.External.State, maxStateConns(p.file, p.tuning)),
		Cloud: n.newHTTPCaller(p.file.External.Cloud, maxCloudConns),
		Log:   p.log,
		Audit: record,
	}, p.incarnation)
	if err != nil {
		return nil, err
	}
	n.controller = controller
	n.mesh = transport.NewMesh(meshConfig(p.file), n.connections, meshEvents{controller, n.events})
	n.server = transport.NewServer(transport.ServerConfig{
		Addr:                   p.file.APIAddr,
		MaxConns:               maxAPIConns(p.file, p.tuning),
		MaxPendingRequestBytes: maxHeldRequestBytes(p.file),
		IdleTimeout:            apiIdleTimeout,
		ReadTimeout:            apiReadTimeout,
	}, n.connections, apiHandler{controller, n.events, clock}.handle)
	return n, nil
}

// caller calls an outside service.
func (n *controllerProcess) newHTTPCaller(addr string, maxConns int) httpCaller {
	return httpCaller{transport.NewHTTPClient(n.connections, addr, maxConns, maxQueuedClientRequests), n.events}
}

// meshConfig describes this member's side of the mesh.
func meshConfig(file *settings.File) transport.MeshConfig {
	peers := make([]transport.MeshPeer, 0, len(file.Peers))
	for _, peer := range file.Peers {
		peers = append(peers, transport.MeshPeer{Member: peer.Member, Addr: peer.Address})
	}
	return transport.MeshConfig{
		Self: file.Member, Addr: file.MeshAddr, Peers: peers,
		IdleTimeout: meshIdleTimeout, MaxBacklogBytes: maxMeshBacklogBytes(file),
	}
}

// run serves until the connections' event loop ends, by itself or since ctx has ended.
// The controller's event loop runs on the calling goroutine.
func (n *controllerProcess) run(ctx context.Context) error {
	// Dialing goes on until the event loops have ended, also while ctx ends them.
	dialing, stopDialing := context.WithCancel(context.Background())
	defer stopDialing()
	n.mesh.Start(dialing)
	ended := make(chan error, 1)
	// Ends with the connections' event loop; n.events.Run below waits for it.
	go func() {
		ended <- n.connections.Run(n.server, n.mesh)
		n.events.Stop()
	}()
	// Ends within stopTimeout; if the connections' event loop has not ended by then,
	// nobody waits for it any longer.
	stop := context.AfterFunc(ctx, func() {
		if err := n.connections.Stop(stopTimeout); err != nil {
			n.log.Error().Err(err).Msg("connections not closed in time")
			n.events.Stop()
		}
	})
	defer stop()
	n.log.Info().Str("member", n.file.Member).Msg("controller started")
	n.events.Run(n.controller, n.connections.NotifyBatchHandled)
	select {
	case err := <-ended:
		return err
	default:
		return nil
	}
}
