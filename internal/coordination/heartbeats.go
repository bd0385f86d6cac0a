package coordination

import (
	"math"
	"time"

	"github.com/cobaltvale/cobaltvale/internal/protocol"
	"github.com/cobaltvale/cobaltvale/internal/protocol/meshpb"
)

// onHeartbeat takes a machine's heartbeat and responds to it, at once or when the
// owners of waiting tasks have answered what they are offered.
func (l *leader) onHeartbeat(heartbeat *protocol.Heartbeat, connection uint64, now time.Duration, reply func(Response)) {
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
	if m.pending != nil {
		l.abandonResponse(m.pending)
	}
	reachable := l.applyHeartbeat(m, heartbeat, connection, now)
	response := &pendingResponse{machine: m, reply: reply, receivedAt: now, connection: connection, epoch: heartbeat.Epoch, sequence: heartbeat.Seq}
	response.commands = m.cleanupCommands(&l.shards)
	if reachable {
		l.scheduler.preempt(m, response, now)
		l.scheduler.makeOffers(m, response, now)
	}
	if len(response.openOffers) == 0 {
		l.sendResponse(response)
		return
	}
	m.pending = response
	l.pendingResponses = append(l.pendingResponses, response)
}

// isStale tells whether a heartbeat is a late copy: of an earlier epoch, or not newer
// than the last one of the same.
func (m *machine) isStale(heartbeat *protocol.Heartbeat) bool {
	return m.heartbeatSeen && (heartbeat.Epoch < m.epoch || (heartbeat.Epoch == m.epoch && heartbeat.Seq <= m.sequence))
}

// applyHeartbeat takes a heartbeat into the machine's state and publishes that. A
// heartbeat without this leader's fencing token may be a copy from long ago, or the
// first that a machine sends here: it says only that the machine may be there. The
// machine's next one, half a second after it has seen the token, says the rest. It
// tells whether the heartbeat shows that responses reach the machine.
func (l *leader) applyHeartbeat(m *machine, heartbeat *protocol.Heartbeat, connection uint64, now time.Duration) (reachable bool) {
	newEpoch := m.lastCurrentHeartbeat == 0 || heartbeat.Epoch != m.epoch
	gap := now - m.lastHeartbeat
	l.identify(m, heartbeat, now)
	if heartbeat.FencingToken != l.fencingToken {
		if m.createdAt != 0 {
			l.records.request(m) // so that its next heartbeat, half a second on, gets starts
		}
		l.usage.updateUnreconciled(m, l.env.cloud.Catalog(), now)
		l.publisher.publish(m, statusPresence, now)
		return false
	}
	reachable = l.observeDelivery(m, connection, gap, now)
	m.lastCurrentHeartbeat = now
	m.setReclaimNotice(heartbeat, now)
	content := statusUnchanged
	if newEpoch || !m.sameTasks(heartbeat.Tasks) {
		content = statusFull
	}
	l.updateTasks(m, heartbeat.Tasks, content, now)
	if m.runsAny() {
		m.idleSince = now
	}
	l.records.request(m)
	l.usage.updateUnreconciled(m, l.env.cloud.Catalog(), now)
	l.publisher.publish(m, content, now)
	return reachable
}

// identify takes what every heartbeat says, whatever fencing token it carries.
func (l *leader) identify(m *machine, heartbeat *protocol.Heartbeat, now time.Duration) {
	if kind := (machineKind{heartbeat.Type, heartbeat.Zone, heartbeat.Spot}); m.machineKind != kind {
		m.machineKind = kind
		m.updateFree(l.env.cloud.Type(m.typeName))
	}
	if !m.heartbeatSeen {
		l.inheritImages(m)
		m.idleSince = now
		l.deliveries.begin(m, now)
	}
	if m.heartbeatSeen && heartbeat.Epoch > m.epoch {
		l.usage.uncountReplicas(m)
		m.endEpoch(l.env.cloud.Type(m.typeName))
	}
	m.epoch, m.sequence, m.heartbeatSeen, m.lastHeartbeat = heartbeat.Epoch, heartbeat.Seq, true, now
}

// observeDelivery tells whether a heartbeat shows that responses reach its machine.
func (l *leader) observeDelivery(m *machine, connection uint64, gap, now time.Duration) bool {
	seen := l.deliveries.observe(m, connection, gap, now)
	if seen == deliveryPresumed {
		l.countResponse(startPresumed)
	}
	return seen != deliveryUnknown
}

// setReclaimNotice takes the cloud's notice that it takes a machine away, or that it
// does not any more.
func (m *machine) setReclaimNotice(heartbeat *protocol.Heartbeat, now time.Duration) {
	switch {
	case !heartbeat.TerminationNotice:
		m.reclaimAt = 0
	case m.reclaimAt == 0:
		m.reclaimAt = now + seconds(math.Max(0, heartbeat.TerminationInS))
	}
}

// updateTasks takes a current heartbeat's tasks, which answer what the machine was
// sent.
func (l *leader) updateTasks(m *machine, tasks []protocol.TaskStatus, content statusContent, now time.Duration) {
	if content == statusFull || len(m.sentStarts) > 0 {
		l.usage.uncountReplicas(m)
		if content == statusFull {
			l.applyTaskStatuses(m, tasks, now)
		}
		m.sentStarts = nil
		m.updateFree(l.env.cloud.Type(m.typeName))
	}
	l.usage.countReplicas(m)
}

// sameTasks tells whether a heartbeat lists what the one before did, and nothing in
// it was unknown then.
func (m *machine) sameTasks(tasks []protocol.TaskStatus) bool {
	if len(tasks) != len(m.tasks) {
		return false
	}
	for i := range tasks {
		if !m.tasks[i].matches(&tasks[i]) {
			return false
		}
	}
	return true
}

// matches tells whether a status says what is known of a replica already.
func (r *replicaOnMachine) matches(status *protocol.TaskStatus) bool {
	return r.job != nil && r.key.job == status.Job && r.key.task == uint32(status.Task) && r.key.replica == status.Replica &&
		r.state == status.State && r.exitReason == status.ExitReason
}

// applyTaskStatuses takes a changed list of tasks.
func (l *leader) applyTaskStatuses(m *machine, statuses []protocol.TaskStatus, now time.Duration) {
	before := m.tasks
	m.tasks = make([]replicaOnMachine, 0, len(statuses))
	machineType := l.env.cloud.Type(m.typeName)
	for _, status := range statuses {
		replica := replicaOnMachine{key: replicaKey{status.Job, uint32(status.Task), status.Replica},
			state: status.State, exitReason: status.ExitReason, since: now, job: l.jobs[status.Job]}
		last := findReplica(before, replica.key)
		if last == nil {
			last = findReplica(m.sentStarts, replica.key) // it may have ended before it was ever listed
		}
		if last != nil {
			replica.succeed(last)
		}
		exited := status.State == protocol.TaskExited
		if replica.job != nil && replica.job.image != nil && machineType != nil && !exited {
			m.useImage(replica.job.image, machineType.CacheGB, now)
		}
		if exited && last != nil && last.state != protocol.TaskExited {
			l.onReplicaExited(m, &replica, last, now)
		}
		m.tasks = append(m.tasks, replica)
	}
	m.removeDoneCommands()
}

// findReplica returns a replica of a list, or nil.
func findReplica(list []replicaOnMachine, key replicaKey) *replicaOnMachine {
	for i := range list {
		if list[i].key == key {
			return &list[i]
		}
	}
	return nil
}

// succeed takes over what the last list's entry of the same replica holds.
func (r *replicaOnMachine) succeed(last *replicaOnMachine) {
	r.stopRequested, r.preemptionExempt = last.stopRequested, last.preemptionExempt
	if last.state == r.state {
		r.since = last.since
	}
}

// onReplicaExited draws conclusions from a task that has just ended on a machine.
func (l *leader) onReplicaExited(m *machine, replica, last *replicaOnMachine, now time.Duration) {
	job := replica.job
	if job == nil {
		return
	}
	switch {
	case replica.exitReason == protocol.ExitReasonDone && job.spec != nil && job.spec.Service:
		l.quarantine.recordServiceEnd(m, job)
	case replica.exitReason == protocol.ExitReasonDone:
		l.quarantine.recordSuccess(m, job)
		if last.state == protocol.TaskRunning && job.spec != nil {
			l.runTimes.Observe(estimatedTask(job.spec), now-last.since)
		}
	case replica.exitReason == protocol.ExitReasonError:
		if failures, quarantined := l.quarantine.recordFailure(m, job, l.autoscaler.counts.reportedMachines); quarantined {
			l.env.log.Info().Str("machine", m.name).Int("failures", failures).Msg("machine quarantined")
		}
	}
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
	if m.pending != nil {
		l.abandonResponse(m.pending)
	}
	l.usage.uncountReplicas(m)
	m.clear()
	m.lastHeartbeat = l.now()
	l.usage.updateUnreconciled(m, l.env.cloud.Catalog(), m.lastHeartbeat)
	l.publisher.broadcast(&meshpb.Frame{Body: &meshpb.Frame_MachineTerminated{MachineTerminated: &meshpb.MachineTerminated{Name: m.name}}})
}
