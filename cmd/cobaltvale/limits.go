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
	stateConnsDivisor       = 32
	maxCloudConns           = 3
	maxQueuedClientRequests = 1024

	// meshConnsPerPeer leaves sockets to links that replace others.
	meshConnsPerPeer = 4
	// Sockets for listeners, files and what the runtime opens.
	reservedSockets, reservedSocketsDivisor = 32, 4

	meshIdleTimeout = 4 * time.Second
	// meshMemoryDivisor is which part of the memory may wait to be written to the other
	// controllers.
	meshMemoryDivisor        = 8
	minMeshBacklogLimitBytes = 4 << 20

	// heldRequestMemoryDivisor is which part of the memory requests may take that wait for their
	// answers.
	heldRequestMemoryDivisor = 4
	apiIdleTimeout           = 2 * time.Minute
	apiReadTimeout           = 15 * time.Second

	// loopInterval is the least time between two turns of the event loop that drives the
	// connections, see transport.Loop.
	loopInterval = 70 * time.Millisecond
	stopTimeout  = 5 * time.Second
)

// memoryLimitBytes is how much memory the process may take.
func memoryLimitBytes(file *settings.File) float64 {
	return file.Settings.Limits.MemMB * float64(bytesPerMB)
}

// maxStateConns is how many connections to the state service may be open at once:
// enough to use its rate while every answer takes as long as one may. With a few for a
// service that is quick, one that got slow was asked so seldom that users were refused;
// they are opened only when needed.
func maxStateConns(file *settings.File, tuning settings.Tuning) int {
	needed := int(math.Ceil(file.Settings.State.RPS * tuning.StateRateShare * tuning.RequestTimeout.Seconds()))
	return max(minStateConns, min(needed, file.Settings.Limits.Sockets/stateConnsDivisor))
}

// maxAPIConns is how many connections users, workers and health checks may open: the
// sockets that all others leave.
func maxAPIConns(file *settings.File, tuning settings.Tuning) int {
	sockets := file.Settings.Limits.Sockets
	reserved := min(reservedSockets, sockets/reservedSocketsDivisor)
	return sockets - maxStateConns(file, tuning) - maxCloudConns - meshConnsPerPeer*len(file.Peers) - reserved
}

// maxHeldRequestBytes is how many bytes of requests may wait for their answers.
func maxHeldRequestBytes(file *settings.File) int64 {
	return int64(memoryLimitBytes(file)) / heldRequestMemoryDivisor
}

// maxMeshBacklogBytes is how many bytes may wait to be written to another controller. What a
// leader tells a holder that registers its shard, or passes on when all workers report at
// once, grows with the fleet.
func maxMeshBacklogBytes(file *settings.File) int {
	share := memoryLimitBytes(file) / meshMemoryDivisor
	return max(minMeshBacklogLimitBytes, int(share)/max(1, len(file.Peers)))
}
