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

// processConfig is what a controller's process is started with.
type processConfig struct {
	file        *settings.File
	tuning      settings.Tuning
	log         zerolog.Logger
	incarnation uint64 // random; distinguishes this process from others of the same member
	start       time.Time
}

// serve runs a controller until its connections' event loop ends or ctx is done. Its audit
// log, if any, is closed last.
func serve(ctx context.Context, config processConfig) (err error) {
	recorder, err := openAuditLog(config)
	if err != nil {
		return err
	}
	defer func() { err = errors.Join(err, recorder.close()) }()
	process, err := newControllerProcess(config, recorder.appendFunc())
	if err != nil {
		return err
	}
	return process.run(ctx)
}

// controllerProcess is a controller with its two event loops: connections drives all
// connections, events calls the controller, which is not safe for concurrent use.
type controllerProcess struct {
	processConfig
	connections *transport.Loop
	events      *coordination.EventLoop
	controller  *coordination.Controller
	mesh        *transport.Mesh
	server      *transport.Server
}

// newControllerProcess wires the packages together. record receives the records of the
// audit log; nil: there is none.
func newControllerProcess(config processConfig, record func(audit.Record)) (*controllerProcess, error) {
	p := &controllerProcess{processConfig: config, connections: transport.NewLoop(loopInterval), events: coordination.NewEventLoop()}
	clock := monotonicClock{config.start}
	controller, err := coordination.New(config.file, config.tuning, coordination.Env{
		Clock: clock,
		Wall:  time.Now,
		Rand:  rand.New(rand.NewPCG(rand.Uint64(), config.incarnation)),
		State: p.newHTTPCaller(config.file.External.State, maxStateConns(config.file, config.tuning)),
		Cloud: p.newHTTPCaller(config.file.External.Cloud, maxCloudConns),
		Log:   config.log,
		Audit: record,
	}, config.incarnation)
	if err != nil {
		return nil, err
	}
	p.controller = controller
	p.mesh = transport.NewMesh(meshConfig(config.file), p.connections, meshEvents{controller, p.events})
	p.server = transport.NewServer(transport.ServerConfig{
		Addr:                   config.file.APIAddr,
		MaxConns:               maxAPIConns(config.file, config.tuning),
		MaxPendingRequestBytes: maxPendingRequestBytes(config.file),
		IdleTimeout:            apiIdleTimeout,
		ReadTimeout:            apiReadTimeout,
	}, p.connections, apiHandler{controller, p.events, clock}.handle)
	return p, nil
}

// newHTTPCaller returns the caller of the external service at addr.
func (p *controllerProcess) newHTTPCaller(addr string, maxConns int) httpCaller {
	return httpCaller{transport.NewHTTPClient(p.connections, addr, maxConns, maxQueuedClientRequests), p.events}
}

// meshConfig returns this member's configuration of the mesh.
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

// run serves until the connections' event loop ends, by itself or because ctx is done. The
// controller's event loop runs on the calling goroutine.
func (p *controllerProcess) run(ctx context.Context) error {
	// Peers are dialed until the event loops have ended, also while they shut down.
	dialCtx, stopDialing := context.WithCancel(context.Background())
	defer stopDialing()
	p.mesh.Start(dialCtx)
	connectionsDone := make(chan error, 1)
	// This goroutine ends with the connections' event loop, and then stops the controller's,
	// so that p.events.Run below returns.
	go func() {
		connectionsDone <- p.connections.Run(p.server, p.mesh)
		p.events.Stop()
	}()
	// This function ends within stopTimeout. If the connections' event loop has not ended by
	// then, the controller's is stopped without waiting for it any longer.
	stop := context.AfterFunc(ctx, func() {
		if err := p.connections.Stop(stopTimeout); err != nil {
			p.log.Error().Err(err).Msg("connections not closed in time")
			p.events.Stop()
		}
	})
	defer stop()
	p.log.Info().Str("member", p.file.Member).Msg("controller started")
	p.events.Run(p.controller, p.connections.NotifyBatchHandled)
	select {
	case err := <-connectionsDone:
		return err
	default:
		return nil
	}
}
