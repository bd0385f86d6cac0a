package coordination

import (
	"math"
	"time"

	"github.com/rs/zerolog"

	"github.com/cobaltvale/cobaltvale/internal/estimate"
	"github.com/cobaltvale/cobaltvale/internal/protocol"
	"github.com/cobaltvale/cobaltvale/internal/protocol/meshpb"
)

// heartbeatIntake applies machines' heartbeats to the machine table. It owns the fields of
// machine that hold the last heartbeat, and updates what depends on them: usage accounting,
// machine records, quarantine and, through the publisher, the owners of shards. It makes no
// placement decisions.
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
	counts       *fleetCounts // the autoscaler's latest counts; read only
	log          *zerolog.Logger

	// cachedImages returns the images cached on a machine, as an earlier leader last reported
	// them to this process.
	cachedImages func(machine string) []*meshpb.CachedImage
	// countResponse counts a response event.
	countResponse func(responseEvent)
}

// apply updates the machine's state from a heartbeat and publishes its status. A heartbeat
// without this leader's fencing token may be a copy delayed for any length of time, or the
// machine's first to this leader, so it shows only that the machine may exist. The tasks of the
// machine's next heartbeat count. It follows half a second after the machine has received the
// token, or after a whole interval if a token was the reason for a heartbeat a short time before.
// apply reports whether the heartbeat shows that responses reach the machine.
func (h *heartbeatIntake) apply(m *machine, heartbeat *protocol.Heartbeat, connection uint64, now time.Duration) (reachable bool) {
	newEpoch := m.lastCurrentHeartbeat == 0 || heartbeat.Epoch != m.epoch
	gap := now - m.lastHeartbeat
	h.applyHeader(m, heartbeat, now)
	if heartbeat.FencingToken != h.fencingToken {
		if m.createdAt != 0 {
			// The response to its next heartbeat, half a second later, may then carry starts.
			h.records.requestRecord(m)
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

// applyHeader applies the fields of a heartbeat that are used whatever fencing token it carries.
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

// inheritImages adds the images that an earlier leader reported as cached on a machine.
func (h *heartbeatIntake) inheritImages(m *machine) {
	machineType := h.catalog.Type(m.typeName)
	if machineType == nil {
		return
	}
	for _, im := range h.cachedImages(m.name) {
		m.recordImageUse(h.images.get(im.Name, im.SizeGb), machineType.CacheGB, h.electedAt)
	}
}

// observeDelivery reports whether a heartbeat shows that responses reach its machine.
func (h *heartbeatIntake) observeDelivery(m *machine, connection uint64, gap, now time.Duration) bool {
	observed := h.deliveries.observeHeartbeat(m, connection, gap, now)
	if observed == deliveryPresumed {
		h.countResponse(startDeliveryPresumed)
	}
	return observed != deliveryUnknown
}

// updateTasks applies the tasks of a heartbeat that carries this leader's fencing token.
// They settle which of the starts sent to the machine have arrived.
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

// applyTaskStatuses replaces the machine's tasks with a changed list and handles the replicas
// that have exited.
func (h *heartbeatIntake) applyTaskStatuses(m *machine, statuses []protocol.TaskStatus, now time.Duration) {
	before := m.tasks
	m.tasks = make([]replicaOnMachine, 0, len(statuses))
	machineType := h.catalog.Type(m.typeName)
	for _, status := range statuses {
		replica := replicaOnMachine{key: replicaKey{status.Job, uint32(status.Task), status.Replica},
			state: status.State, exitReason: status.ExitReason, stateSince: now, job: h.jobs.get(status.Job)}
		last := findReplica(before, replica.key)
		if last == nil {
			last = findReplica(m.sentStarts, replica.key) // it may exit before any heartbeat lists it
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

// handleReplicaExited updates the quarantine and the run time estimates when a replica has
// just exited on a machine.
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

// isStale reports whether a heartbeat is a late copy: of an earlier epoch, or with a
// sequence number not above the last one of the same epoch.
func (m *machine) isStale(heartbeat *protocol.Heartbeat) bool {
	return m.heartbeatSeen && (heartbeat.Epoch < m.epoch || (heartbeat.Epoch == m.epoch && heartbeat.Seq <= m.sequence))
}

// setReclaimNotice applies the cloud's notice, carried by a heartbeat, that it will reclaim
// the machine, or the withdrawal of the notice.
func (m *machine) setReclaimNotice(heartbeat *protocol.Heartbeat, now time.Duration) {
	switch {
	case !heartbeat.TerminationNotice:
		m.reclaimAt = 0
	case m.reclaimAt == 0:
		m.reclaimAt = now + seconds(math.Max(0, heartbeat.TerminationInS))
	}
}

// sameTasks reports whether a heartbeat lists the same tasks in the same states as the one
// before, and the jobs of all of them were known then.
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

// matches reports whether a replica's job is known and the status is the one that the replica
// already has.
func (r *replicaOnMachine) matches(status *protocol.TaskStatus) bool {
	return r.job != nil && r.key.job == status.Job && r.key.task == uint32(status.Task) && r.key.replica == status.Replica &&
		r.state == status.State && r.exitReason == status.ExitReason
}

// inheritFrom copies stopRequested and preemptionExempt from the same replica's previous
// entry, and stateSince if the state is unchanged.
func (r *replicaOnMachine) inheritFrom(last *replicaOnMachine) {
	r.stopRequested, r.preemptionExempt = last.stopRequested, last.preemptionExempt
	if last.state == r.state {
		r.stateSince = last.stateSince
	}
}

// findReplica returns the replica with the given key in a list, or nil.
func findReplica(list []replicaOnMachine, key replicaKey) *replicaOnMachine {
	for i := range list {
		if list[i].key == key {
			return &list[i]
		}
	}
	return nil
}
