package coordination

import (
	"time"

	"github.com/cobaltvale/cobaltvale/internal/protocol"
	"github.com/cobaltvale/cobaltvale/internal/protocol/meshpb"
)

// handleHeartbeat takes a machine's heartbeat and responds to it, at once or when the
// owners of waiting tasks have answered what they are offered.
func (l *leader) handleHeartbeat(heartbeat *protocol.Heartbeat, connection uint64, now time.Duration, reply func(Response)) {
	m := l.machines.add(heartbeat.Machine)
	switch {
	case m == nil:
		reply(l.env.errorResponse(503, "too many machines", 1))
		return
	case m.terminated:
		l.countResponse(responseMachineTerminated)
		reply(l.env.errorResponse(503, "machine was returned", 1))
		return
	case m.isStale(heartbeat):
		// It says nothing new, and a response that a machine took for a new one
		// would renew its lease.
		l.countResponse(responseStaleHeartbeat)
		reply(l.env.errorResponse(503, "report is older than one before", 1))
		return
	}
	if m.pendingResponse != nil {
		l.abandonResponse(m.pendingResponse)
	}
	reachable := l.intake.apply(m, heartbeat, connection, now)
	response := &pendingResponse{machine: m, reply: reply, receivedAt: now, connection: connection, epoch: heartbeat.Epoch, sequence: heartbeat.Seq}
	response.commands = m.cleanupCommands(&l.shards)
	if reachable {
		l.scheduler.stopTasks(m, response, now)
		l.scheduler.makeOffers(m, response, now)
	}
	if len(response.openOffers) == 0 {
		l.sendResponse(response)
		return
	}
	m.pendingResponse = response
	l.pendingResponses = append(l.pendingResponses, response)
}

// schedulable tells whether a machine may get starts at all. It may not while no
// heartbeat shows that responses reach it: what it is sent might never arrive.
func (l *leader) schedulable(m *machine, now time.Duration) bool {
	return m.lastCurrentHeartbeat > 0 && m.recordKey != "" && !m.terminated && !m.terminating && !m.quarantined && m.reclaimAt == 0 && now-m.lastReachable <= l.env.silenceLimit
}

// markTerminated ends a machine that the cloud says is no more.
func (l *leader) markTerminated(m *machine) {
	if m.terminated {
		return
	}
	m.terminated = true
	if m.pendingResponse != nil {
		l.abandonResponse(m.pendingResponse)
	}
	l.usage.uncountReplicas(m)
	m.clear()
	m.lastHeartbeat = l.now()
	l.usage.updateUnreconciled(m, l.env.cloud.Catalog(), m.lastHeartbeat)
	l.publisher.broadcast(&meshpb.Frame{Body: &meshpb.Frame_MachineTerminated{MachineTerminated: &meshpb.MachineTerminated{Name: m.name}}})
}
