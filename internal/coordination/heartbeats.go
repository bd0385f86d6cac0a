package coordination

import (
	"time"

	"github.com/cobaltvale/cobaltvale/internal/protocol"
	"github.com/cobaltvale/cobaltvale/internal/protocol/meshpb"
)

// handleHeartbeat applies a machine's heartbeat and responds to it: at once, or once the
// owners of pending tasks have answered the offers made for it, or once the leader knows whether
// all that the machine runs may run.
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
		// It carries nothing new, and the machine might take a successful response
		// for one to a newer heartbeat and renew its lease.
		l.countResponse(responseStaleHeartbeat)
		reply(l.env.errorResponse(503, "report is older than one before", 1))
		return
	}
	if m.pendingResponse != nil {
		l.abandonResponse(m.pendingResponse)
	}
	reachable := l.intake.apply(m, heartbeat, connection, now)
	response := &pendingResponse{machine: m, reply: reply, receivedAt: now, connection: connection, epoch: heartbeat.Epoch, sequence: heartbeat.Seq}
	response.replicas = l.listedReplicas(m, heartbeat)
	l.judgeReplicas(response, now)
	if reachable && !response.unjudged {
		l.scheduler.stopTasks(m, response, now)
		l.scheduler.makeOffers(m, response, now)
	}
	if len(response.openOffers) == 0 && !response.unjudged {
		l.sendResponse(response)
		return
	}
	m.pendingResponse = response
	l.pendingResponses = append(l.pendingResponses, response)
}

// listedReplicas returns the replicas that a heartbeat lists. Those of a heartbeat without this
// leader's fencing token are not in the machine table. The heartbeat may be a late copy, but then
// the machine drops the response, and otherwise it must not renew the lease of a machine that runs
// tasks of jobs that have ended.
func (l *leader) listedReplicas(m *machine, heartbeat *protocol.Heartbeat) []replicaOnMachine {
	if heartbeat.FencingToken == l.fencingToken {
		return m.tasks
	}
	replicas := make([]replicaOnMachine, 0, len(heartbeat.Tasks))
	for _, status := range heartbeat.Tasks {
		replicas = append(replicas, replicaOnMachine{key: replicaKey{status.Job, uint32(status.Task), status.Replica}, state: status.State})
	}
	return replicas
}

// schedulable reports whether a machine may be sent starts. It may not if no heartbeat
// within the silence limit shows that responses reach it: starts sent to it might never
// arrive.
func (l *leader) schedulable(m *machine, now time.Duration) bool {
	return m.lastCurrentHeartbeat > 0 && m.recordKey != "" && !m.terminated && !m.terminating && !m.quarantined && m.reclaimAt == 0 && now-m.lastReachable <= l.env.silenceLimit
}

// markTerminated handles the cloud's report that a machine has been terminated: it removes
// the machine's replicas and pending response and tells all shard owners.
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
