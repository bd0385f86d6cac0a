package main

import (
	"context"
	"errors"
	"math/rand/v2"
	"time"

	"github.com/rs/zerolog"

	"github.com/cobaltvale/cobaltvale/internal/coordination"
	"github.com/cobaltvale/cobaltvale/internal/settings"
	"github.com/cobaltvale/cobaltvale/internal/transport"
)

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
