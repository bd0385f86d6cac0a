package main

import (
	"math"
	"time"

	"github.com/cobaltvale/cobaltvale/internal/settings"
)

const (
	// minStateConns is the smallest result of maxStateConns.
	minStateConns = 8
	// stateConnsDivisor limits connections to the state service to this fraction of the
	// sockets (1/32).
	stateConnsDivisor       = 32
	maxCloudConns           = 3
	maxQueuedClientRequests = 1024

	// meshConnsPerPeer is above 1 because a new link is opened while those that it replaces
	// are not closed yet.
	meshConnsPerPeer = 4
	// reservedSockets are left to listeners, files and the Go runtime, but at most a quarter
	// of all sockets.
	reservedSockets, reservedSocketsDivisor = 32, 4

	meshIdleTimeout = 4 * time.Second
	// meshMemoryDivisor is the fraction (1/8) of the memory that data waiting to be written
	// to all other controllers may take.
	meshMemoryDivisor        = 8
	minMeshBacklogLimitBytes = 4 << 20

	// pendingRequestMemoryDivisor is the fraction (1/4) of the memory that requests waiting for
	// their responses may take.
	pendingRequestMemoryDivisor = 4

	apiIdleTimeout = 2 * time.Minute
	apiReadTimeout = 15 * time.Second

	// loopInterval is the minimum time between two batches of reads by the connections'
	// event loop, see transport.Loop.
	loopInterval = 70 * time.Millisecond
	stopTimeout  = 5 * time.Second
)

// memoryLimitBytes returns how much memory the process may use.
func memoryLimitBytes(file *settings.File) float64 {
	return file.Settings.Limits.MemMB * float64(bytesPerMB)
}

// maxStateConns returns how many connections to the state service may be open at once:
// enough to use its request rate while every request takes as long as its timeout. With only
// as many as a fast service needs, a service that became slow got so few requests that
// requests of users were rejected. Connections are opened only when needed.
func maxStateConns(file *settings.File, tuning settings.Tuning) int {
	needed := int(math.Ceil(file.Settings.State.RPS * tuning.StateRateShare * tuning.RequestTimeout.Seconds()))
	return max(minStateConns, min(needed, file.Settings.Limits.Sockets/stateConnsDivisor))
}

// maxAPIConns returns how many connections users, machines and health checks may open: all
// sockets that are not needed elsewhere.
func maxAPIConns(file *settings.File, tuning settings.Tuning) int {
	sockets := file.Settings.Limits.Sockets
	reserved := min(reservedSockets, sockets/reservedSocketsDivisor)
	return sockets - maxStateConns(file, tuning) - maxCloudConns - meshConnsPerPeer*len(file.Peers) - reserved
}

// maxPendingRequestBytes returns how many bytes of requests may wait for their responses.
func maxPendingRequestBytes(file *settings.File) int64 {
	return int64(memoryLimitBytes(file)) / pendingRequestMemoryDivisor
}

// maxMeshBacklogBytes returns how many bytes may wait to be written to one other controller.
// The need grows with the number of machines, because of what a leader sends to an owner that
// registers its shard, and of the heartbeats that are forwarded when all machines send theirs
// at once.
func maxMeshBacklogBytes(file *settings.File) int {
	allPeersBytes := memoryLimitBytes(file) / meshMemoryDivisor
	return max(minMeshBacklogLimitBytes, int(allPeersBytes)/max(1, len(file.Peers)))
}
