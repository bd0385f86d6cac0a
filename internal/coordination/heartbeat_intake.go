package coordination

import (
	"math"
	"time"

	"github.com/rs/zerolog"

	"github.com/cobaltvale/cobaltvale/internal/estimate"
	"github.com/cobaltvale/cobaltvale/internal/protocol"
	"github.com/cobaltvale/cobaltvale/internal/protocol/meshpb"
)

// heartbeatIntake takes machines' heartbeats into the machine table. It owns what a
// machine said last, and tells those who follow from that: the account of teams' use,
// the records of machines, the quarantine, and the owners of shards by the publisher.
// It decides nothing of what is started where.
type heartbeatIntake struct {
	fencingToken uint64
	electedAt    time.Duration
	catalog      catalog
	jobs         *jobTable
	images       *imageTable
	usage        *usageAccounting
	records      *machineRecorder
	publisher    *statusPublisher
	deliveries   *deliveryTracker
	quarantine   *quarantine
	runTimes     *estimate.RunTimes
	counts       *fleetCounts // the autoscaler's last count, only read here
	log          *zerolog.Logger

	// imagesOf returns what was last heard of a machine's images under another leader.
	imagesOf func(machine string) []*meshpb.CachedImage
	// countResponse counts that a response is given in doubt.
	countResponse func(responseEvent)
}

// apply takes a heartbeat into the machine's state and publishes that. A heartbeat
// without this leader's fencing token may be a copy from long ago, or the first that
// a machine sends here: it says only that the machine may be there. The machine's
// next one, half a second after it has seen the token, says the rest. It tells
// whether the heartbeat shows that responses reach the machine.
func (h *heartbeatIntake) apply(m *machine, heartbeat *protocol.Heartbeat, connection uint64, now time.Duration) (reachable bool) {
	newEpoch := m.lastCurrentHeartbeat == 0 || heartbeat.Epoch != m.epoch
	gap := now - m.lastHeartbeat
	h.applyHeader(m, heartbeat, now)
	if heartbeat.FencingToken != h.fencingToken {
		if m.createdAt != 0 {
			h.records.requestRecord(m) // so that its next heartbeat, half a second on, gets starts
		}
		h.usage.updateUnreconciled(m, h.catalog.Catalog(), now)
		h.publisher.publish(m, statusPresence, now)
		return false
	}
	reachable = h.observeDelivery(m, connection, gap, now)
	m.lastCurrentHeartbeat = now
	m.setReclaimNotice(heartbeat, now)
	content := statusUnchanged
	if newEpoch || !m.sameTasks(heartbeat.Tasks) {
		content = statusFull
	}
	h.updateTasks(m, heartbeat.Tasks, content, now)
	if m.runsAnyReplica() {
		m.idleSince = now
	}
	h.records.requestRecord(m)
	h.usage.updateUnreconciled(m, h.catalog.Catalog(), now)
	h.publisher.publish(m, content, now)
	return reachable
}

// identify takes what every heartbeat says, whatever fencing token it carries.
func (h *heartbeatIntake) applyHeader(m *machine, heartbeat *protocol.Heartbeat, now time.Duration) {
	if kind := (machineKind{heartbeat.Type, heartbeat.Zone, heartbeat.Spot}); m.machineKind != kind {
		m.machineKind = kind
		m.updateFree(h.catalog.Type(m.typeName))
	}
	if !m.heartbeatSeen {
		h.inheritImages(m)
		m.idleSince = now
		h.deliveries.recordFirstHeartbeat(m, now)
	}
	if m.heartbeatSeen && heartbeat.Epoch > m.epoch {
		h.usage.uncountReplicas(m)
		m.endEpoch(h.catalog.Type(m.typeName))
	}
	m.epoch, m.sequence, m.heartbeatSeen, m.lastHeartbeat = heartbeat.Epoch, heartbeat.Seq, true, now
}

// inheritImages takes what the last leader knew to be cached on a machine.
func (h *heartbeatIntake) inheritImages(m *machine) {
	machineType := h.catalog.Type(m.typeName)
	if machineType == nil {
		return
	}
	for _, im := range h.imagesOf(m.name) {
		m.recordImageUse(h.images.get(im.Name, im.SizeGb), machineType.CacheGB, h.electedAt)
	}
}

// observeDelivery tells whether a heartbeat shows that responses reach its machine.
func (h *heartbeatIntake) observeDelivery(m *machine, connection uint64, gap, now time.Duration) bool {
	seen := h.deliveries.observeHeartbeat(m, connection, gap, now)
	if seen == deliveryPresumed {
		h.countResponse(startDeliveryPresumed)
	}
	return seen != deliveryUnknown
}

// updateTasks takes a current heartbeat's tasks, which answer what the machine was
// sent.
func (h *heartbeatIntake) updateTasks(m *machine, tasks []protocol.TaskStatus, content statusContent, now time.Duration) {
	if content == statusFull || len(m.sentStarts) > 0 {
		h.usage.uncountReplicas(m)
		if content == statusFull {
			h.applyTaskStatuses(m, tasks, now)
		}
		m.sentStarts = nil
		m.updateFree(h.catalog.Type(m.typeName))
	}
	h.usage.countReplicas(m)
}

// applyTaskStatuses takes a changed list of tasks.
func (h *heartbeatIntake) applyTaskStatuses(m *machine, statuses []protocol.TaskStatus, now time.Duration) {
	before := m.tasks
	m.tasks = make([]replicaOnMachine, 0, len(statuses))
	machineType := h.catalog.Type(m.typeName)
	for _, status := range statuses {
		replica := replicaOnMachine{key: replicaKey{status.Job, uint32(status.Task), status.Replica},
			state: status.State, exitReason: status.ExitReason, stateSince: now, job: h.jobs.get(status.Job)}
		last := findReplica(before, replica.key)
		if last == nil {
			last = findReplica(m.sentStarts, replica.key) // it may have ended before it was ever listed
		}
		if last != nil {
			replica.inheritFrom(last)
		}
		exited := status.State == protocol.TaskExited
		if replica.job != nil && replica.job.image != nil && machineType != nil && !exited {
			m.recordImageUse(replica.job.image, machineType.CacheGB, now)
		}
		if exited && last != nil && last.state != protocol.TaskExited {
			h.handleReplicaExited(m, &replica, last, now)
		}
		m.tasks = append(m.tasks, replica)
	}
	m.removeDoneOwnerCommands()
}

// handleReplicaExited draws conclusions from a task that has just ended on a machine.
func (h *heartbeatIntake) handleReplicaExited(m *machine, replica, last *replicaOnMachine, now time.Duration) {
	job := replica.job
	if job == nil {
		return
	}
	switch {
	case replica.exitReason == protocol.ExitReasonDone && job.spec != nil && job.spec.Service:
		h.quarantine.recordServiceEnd(m, job)
	case replica.exitReason == protocol.ExitReasonDone:
		h.quarantine.recordSuccess(m, job)
		if last.state == protocol.TaskRunning && job.spec != nil {
			h.runTimes.Observe(estimateTaskOf(job.spec), now-last.stateSince)
		}
	case replica.exitReason == protocol.ExitReasonError:
		if failures, quarantined := h.quarantine.recordFailure(m, job, h.counts.reportedMachines); quarantined {
			h.log.Info().Str("machine", m.name).Int("failures", failures).Msg("machine quarantined")
		}
	}
}

// isStale tells whether a heartbeat is a late copy: of an earlier epoch, or not newer
// than the last one of the same.
func (m *machine) isStale(heartbeat *protocol.Heartbeat) bool {
	return m.heartbeatSeen && (heartbeat.Epoch < m.epoch || (heartbeat.Epoch == m.epoch && heartbeat.Seq <= m.sequence))
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

// succeed takes over what the last list's entry of the same replica holds.
func (r *replicaOnMachine) inheritFrom(last *replicaOnMachine) {
	r.stopRequested, r.preemptionExempt = last.stopRequested, last.preemptionExempt
	if last.state == r.state {
		r.stateSince = last.stateSince
	}
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
