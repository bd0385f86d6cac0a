package coordination

import (
	"math"
	"time"

	"github.com/cobaltvale/cobaltvale/internal/protocol"
	"github.com/cobaltvale/cobaltvale/internal/protocol/meshpb"
)

const maxCleanupCommands = 300 // stops and forgets in one answer

func (l *leader) onHeartbeat(heartbeat *protocol.Heartbeat, conn uint64, now time.Duration, reply func(Response)) {
	m := l.machines.add(heartbeat.Machine)
	switch {
	case m == nil:
		reply(l.c.errorResponse(503, "too many machines", 1))
		return
	case m.terminated:
		l.c.countResponse(responseMachineTerminated)
		reply(l.c.errorResponse(503, "machine was returned", 1))
		return
	case m.heartbeatSeen && (heartbeat.Epoch < m.epoch || (heartbeat.Epoch == m.epoch && heartbeat.Seq <= m.sequence)):
		// A late copy. It says nothing new, and an answer that a worker took
		// for a new one would renew its lease.
		l.c.countResponse(responseStaleHeartbeat)
		reply(l.c.errorResponse(503, "report is older than one before", 1))
		return
	}
	if m.pending != nil {
		l.abandonResponse(m.pending)
	}
	arrives := l.applyHeartbeat(m, heartbeat, conn, now)
	response := &pendingResponse{machine: m, reply: reply, receivedAt: now, connection: conn, epoch: heartbeat.Epoch, sequence: heartbeat.Seq}
	response.commands = l.cleanupCommands(m)
	if arrives {
		l.preempt(m, response, now)
		l.makeOffers(m, response, now)
	}
	if len(response.openOffers) == 0 {
		l.sendResponse(response)
		return
	}
	m.pending = response
	l.pendingResponses = append(l.pendingResponses, response)
}

// retryWithin is how soon a worker surely reports again that got no answer.
const retryWithin = responseLifetime + 2*time.Second

// applyHeartbeat takes a report into the machine's record and passes it on. A report
// without this leader's token may be a copy from long ago, or the first that a
// worker sends here: it says only that the machine may be there. The worker's
// next one, half a second after it has seen the token, says the rest. It
// returns whether the report shows that answers arrive.
func (l *leader) applyHeartbeat(m *machine, heartbeat *protocol.Heartbeat, conn uint64, now time.Duration) (arrives bool) {
	first := !m.heartbeatSeen
	anew := m.lastCurrentHeartbeat == 0 || heartbeat.Epoch != m.epoch
	if m.machineKind != (machineKind{heartbeat.Type, heartbeat.Zone, heartbeat.Spot}) {
		m.machineKind = machineKind{heartbeat.Type, heartbeat.Zone, heartbeat.Spot}
		l.updateFree(m)
	}
	if first {
		l.inheritImages(m)
		m.idleSince, m.lastReachable, l.lastDeliveryAt = now, now, now
	}
	if m.heartbeatSeen && heartbeat.Epoch > m.epoch {
		l.endEpoch(m)
	}
	gap := now - m.lastHeartbeat
	m.epoch, m.sequence, m.heartbeatSeen, m.lastHeartbeat = heartbeat.Epoch, heartbeat.Seq, true, now
	if heartbeat.FencingToken != l.fencingToken {
		if m.createdAt != 0 {
			l.records.request(m) // so that its next report, half a second on, gets starts
		}
		l.usage.updateUnreconciled(m, l.c.cloud.Catalog(), now)
		l.publisher.publish(m, statusPresence, now)
		return false
	}
	arrives = l.responsesArrive(m, conn, gap, now)
	m.lastCurrentHeartbeat = now
	if heartbeat.TerminationNotice && m.reclaimAt == 0 {
		m.reclaimAt = now + seconds(math.Max(0, heartbeat.TerminationInS))
	} else if !heartbeat.TerminationNotice {
		m.reclaimAt = 0
	}
	changed := anew || !m.sameTasks(heartbeat.Tasks)
	if changed || len(m.sentStarts) > 0 {
		l.usage.uncountReplicas(m)
		if changed {
			l.applyTaskStatuses(m, heartbeat.Tasks, now)
		}
		m.sentStarts = nil
		l.updateFree(m)
	}
	l.usage.countReplicas(m)
	for i := range m.tasks {
		if m.tasks[i].state != protocol.TaskExited {
			m.idleSince = now
			break
		}
	}
	l.records.request(m)
	l.usage.updateUnreconciled(m, l.c.cloud.Catalog(), now)
	content := statusUnchanged
	if changed {
		content = statusFull
	}
	l.publisher.publish(m, content, now)
	return arrives
}

// responsesArrive tells whether a current report, that came a while after the one
// before, shows that answers reach its worker.
func (l *leader) responsesArrive(m *machine, conn uint64, gap, now time.Duration) bool {
	// A worker that knows this leader's token for the first time, or has stayed
	// on the connection of its last report, has had an answer.
	proven := m.lastCurrentHeartbeat == 0 || (conn != 0 && conn == m.connection)
	// One that had none tries again sooner: one that comes later was away, or has
	// lost its connection since. That holds once, until there is better proof.
	if !proven && (gap <= retryWithin || m.reachPresumed) {
		return false
	}
	m.reachPresumed = !proven
	if !proven {
		l.c.countResponse(startPresumed)
	}
	m.lastReachable = now
	if proven {
		l.lastDeliveryAt = now
	}
	return true
}

// endEpoch notes that a machine's session is over: whatever it listed or was
// sent in it is gone. Nobody may be told of it any more: who takes a ledger up
// anew would think that it counts, and that the replica does not (ran_twice).
func (l *leader) endEpoch(m *machine) {
	l.usage.uncountReplicas(m)
	m.tasks, m.sentStarts, m.commands = nil, nil, nil
	l.updateFree(m)
}

// sameTasks tells whether a report lists what the one before did, and nothing
// in it was unknown then.
func (m *machine) sameTasks(tasks []protocol.TaskStatus) bool {
	if len(tasks) != len(m.tasks) {
		return false
	}
	for i := range tasks {
		t, p := &tasks[i], &m.tasks[i]
		if p.job == nil || p.key.job != t.Job || p.key.task != uint32(t.Task) || p.key.replica != t.Replica || p.state != t.State || p.exitReason != t.ExitReason {
			return false
		}
	}
	return true
}

// applyTaskStatuses takes a changed list of tasks.
func (l *leader) applyTaskStatuses(m *machine, reported []protocol.TaskStatus, now time.Duration) {
	find := func(list []replicaOnMachine, key replicaKey) *replicaOnMachine {
		for i := range list {
			if list[i].key == key {
				return &list[i]
			}
		}
		return nil
	}
	before := m.tasks
	m.tasks = make([]replicaOnMachine, 0, len(reported))
	machineType := l.c.cloud.Type(m.typeName)
	for _, status := range reported {
		key := replicaKey{status.Job, uint32(status.Task), status.Replica}
		replica := replicaOnMachine{key: key, state: status.State, exitReason: status.ExitReason, since: now, job: l.jobs[status.Job]}
		old := find(before, key)
		if old == nil {
			old = find(m.sentStarts, key) // it may have ended before it was ever listed
		}
		if old != nil {
			replica.stopRequested, replica.preemptionExempt = old.stopRequested, old.preemptionExempt
			if old.state == status.State {
				replica.since = old.since
			}
		}
		if replica.job != nil && replica.job.image != nil && machineType != nil && status.State != protocol.TaskExited {
			m.useImage(replica.job.image, machineType.CacheGB, now)
		}
		if status.State == protocol.TaskExited && old != nil && old.state != protocol.TaskExited {
			l.onReplicaExited(m, &replica, old, now)
		}
		m.tasks = append(m.tasks, replica)
	}
	for key := range m.commands {
		if !m.listsReplica(key) {
			delete(m.commands, key)
		}
	}
}

// cleanupCommands returns the commands that remove what should not be, or no longer
// need be, on the machine. They are repeated until the report shows the end.
func (l *leader) cleanupCommands(m *machine) []protocol.Command {
	if len(m.tasks) == 0 {
		return nil
	}
	allRegistered := l.shards.allRegistered()
	var commands []protocol.Command
	for i := range m.tasks {
		if len(commands) >= maxCleanupCommands {
			break // an answer is limited in size; the rest follows with the next
		}
		replica := &m.tasks[i]
		command := m.commands[replica.key]
		ended := (replica.job == nil && allRegistered) || (replica.job != nil && replica.job.ended)
		ending := ended || (replica.job != nil && replica.job.cancelling)
		exited := replica.state == protocol.TaskExited
		switch {
		case exited && (ended || (command != nil && command.Reap)):
			commands = append(commands, protocol.Command{Op: protocol.CommandReap, Task: protocol.TaskName(replica.key.job, int(replica.key.task)), Replica: replica.key.replica})
		case !exited && (ending || (command != nil && !command.Reap)):
			grace := 0.0
			if command != nil && !ending {
				grace = command.GraceS
			}
			commands = append(commands, protocol.Command{Op: protocol.CommandStop, Task: protocol.TaskName(replica.key.job, int(replica.key.task)), Replica: replica.key.replica, GraceS: &grace})
		}
	}
	return commands
}

// onMachineCommands takes an owner's requests to stop or forget copies.
func (l *leader) onMachineCommands(p *peer, commands *meshpb.MachineCommands) {
	for _, command := range commands.Commands {
		m, job := l.machines.at(command.MachineIndex), l.jobs[command.Job]
		if m == nil || job == nil || job.shard == nil || job.shard.owner != p {
			continue
		}
		l.setCommand(m, command)
	}
}

func (l *leader) setCommand(m *machine, command *meshpb.MachineCommand) {
	key := replicaKey{command.Job, command.Task, command.Replica}
	if !m.listsReplica(key) {
		return
	}
	if m.commands == nil {
		m.commands = make(map[replicaKey]*meshpb.MachineCommand)
	}
	m.commands[key] = command
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
	m.tasks, m.sentStarts, m.commands, m.images, m.reservedFor = nil, nil, nil, nil, nil
	m.free = resources{}
	m.lastHeartbeat = l.c.now()
	l.usage.updateUnreconciled(m, l.c.cloud.Catalog(), m.lastHeartbeat)
	l.publisher.broadcast(&meshpb.Frame{Body: &meshpb.Frame_MachineTerminated{MachineTerminated: &meshpb.MachineTerminated{Name: m.name}}})
}

// onReplicaExited draws conclusions from a task that has just ended on a machine.
func (l *leader) onReplicaExited(m *machine, replica, before *replicaOnMachine, now time.Duration) {
	if replica.job == nil {
		return
	}
	switch {
	case replica.exitReason == protocol.ExitReasonDone && replica.job.spec != nil && replica.job.spec.Service:
		// The machine keeps the result: started there again it would end at once.
		if replica.job.failedOn == nil {
			replica.job.failedOn = make(map[string]bool)
		}
		replica.job.failedOn[m.name] = true
	case replica.exitReason == protocol.ExitReasonDone:
		m.failuresByJob = nil
		replica.job.succeeded = true
		replica.job.failedOn = nil
		if before.state == protocol.TaskRunning && replica.job.spec != nil {
			l.runTimes.Observe(estimatedTask(replica.job.spec), now-before.since)
		}
	case replica.exitReason == protocol.ExitReasonError:
		if m.failuresByJob == nil {
			m.failuresByJob = make(map[string]int)
		}
		m.failuresByJob[replica.key.job]++
		if replica.job.failedOn == nil {
			replica.job.failedOn = make(map[string]bool)
		}
		known := replica.job.failedOn[m.name]
		replica.job.failedOn[m.name] = true
		l.updateQuarantine(m)
		if known || replica.job.succeeded || !replica.job.failsEverywhere(l.autoscaler.reportedMachines) {
			return
		}
		for name := range replica.job.failedOn {
			if other := l.machines.get(name); other != nil && other.quarantined {
				l.updateQuarantine(other)
			}
		}
	}
}

// updateQuarantine sets a machine aside that fails the tasks of several jobs, or again
// and again those of one that does well elsewhere. A job that fails everywhere
// does not count against any machine, nor one that has failed on most of the few
// that there are: once that shows, machines set aside for it come back.
func (l *leader) updateQuarantine(m *machine) {
	jobs, failures := 0, 0
	for id, n := range m.failuresByJob {
		job := l.jobs[id]
		if job != nil && !job.succeeded && job.failsEverywhere(l.autoscaler.reportedMachines) {
			continue
		}
		jobs++
		if job != nil && job.succeeded {
			failures += n
		}
	}
	quarantined := jobs >= 2 || failures >= quarantineErrors
	if quarantined && !m.quarantined {
		l.c.log.Info().Str("machine", m.name).Int("errors", failures).Msg("machine fails its tasks, set aside")
	}
	m.quarantined = quarantined
}

// failsEverywhere tells whether a job has failed on so many machines, or so great a
// part of them, that the mistake is its own.
func (j *trackedJob) failsEverywhere(machines int) bool {
	return len(j.failedOn) >= jobFaultMachines || (len(j.failedOn) > 1 && 2*len(j.failedOn) > machines)
}
