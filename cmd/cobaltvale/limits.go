package main

import (
	"math"
	"time"

	"github.com/cobaltvale/cobaltvale/internal/settings"
)

const (
	// minStateConns is how many connections to the state service may be open in any case.
	minStateConns = 8
	// stateConnsDivisor is which part of the sockets may go to the state service at the most.
	stateConnsDivisor = 32
	maxCloudConns     = 3
	clientQueueLength = 1024

	// meshConnsPerPeer leaves sockets to links that replace others.
	meshConnsPerPeer = 4
	// Sockets for listeners, files and what the runtime opens.
	reservedSockets, reservedSocketsDivisor = 32, 4

	meshIdleTimeout = 4 * time.Second
	// meshMemoryDivisor is which part of the memory may wait to be written to the other
	// controllers.
	meshMemoryDivisor   = 8
	minMeshBacklogBytes = 4 << 20

	// heldMemoryDivisor is which part of the memory requests may take that wait for their
	// answers.
	heldMemoryDivisor = 4
	apiIdleTimeout    = 2 * time.Minute
	apiReadTimeout    = 15 * time.Second

	// loopInterval is the least time between two turns of the event loop that drives the
	// connections, see transport.Loop.
	loopInterval = 70 * time.Millisecond
	stopTimeout  = 5 * time.Second
)

// memoryBytes is how much memory the process may take.
func memoryBytes(file *settings.File) float64 {
	return file.Settings.Limits.MemMB * float64(bytesPerMB)
}

// stateConnections is how many connections to the state service may be open at once:
// enough to use its rate while every answer takes as long as one may. With a few for a
// service that is quick, one that got slow was asked so seldom that users were refused;
// they are opened only when needed.
func stateConnections(file *settings.File, tuning settings.Tuning) int {
	needed := int(math.Ceil(file.Settings.State.RPS * tuning.StateRateShare * tuning.RequestTimeout.Seconds()))
	return max(minStateConns, min(needed, file.Settings.Limits.Sockets/stateConnsDivisor))
}

// apiConnections is how many connections users, workers and health checks may open: the
// sockets that all others leave.
func apiConnections(file *settings.File, tuning settings.Tuning) int {
	sockets := file.Settings.Limits.Sockets
	reserved := min(reservedSockets, sockets/reservedSocketsDivisor)
	return sockets - stateConnections(file, tuning) - maxCloudConns - meshConnsPerPeer*len(file.Peers) - reserved
}

// heldBytes is how many bytes of requests may wait for their answers.
func heldBytes(file *settings.File) int64 { return int64(memoryBytes(file)) / heldMemoryDivisor }

// meshBacklogBytes is how many bytes may wait to be written to another controller. What a
// leader tells a holder that registers its shard, or passes on when all workers report at
// once, grows with the fleet.
func meshBacklogBytes(file *settings.File) int {
	share := memoryBytes(file) / meshMemoryDivisor
	return max(minMeshBacklogBytes, int(share)/max(1, len(file.Peers)))
}
