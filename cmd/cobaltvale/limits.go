package main

import (
	"math"
	"time"

	"github.com/cobaltvale/cobaltvale/internal/settings"
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
