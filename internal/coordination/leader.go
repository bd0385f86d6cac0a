package coordination

import (
	"time"

	"github.com/cobaltvale/cobaltvale/internal/cloud"
	"github.com/cobaltvale/cobaltvale/internal/election"
	"github.com/cobaltvale/cobaltvale/internal/estimate"
	"github.com/cobaltvale/cobaltvale/internal/forecast"
)

// leader holds the state and the components of one term in which this process leads. All
// times are on this process's monotonic clock.
type leader struct {
	env              leaderEnvironment
	ended            bool // the term has ended
	fencingToken     uint64
	electedAt        time.Duration
	machines         machineTable
	jobs             jobTable
	leases           machineLeases
	shards           shardRegistry
	usage            usageAccounting
	reconciler       reconciler
	publisher        statusPublisher
	pendingResponses []*pendingResponse // waiting for bindings, the oldest first
	deliveries       deliveryTracker
	quarantine       quarantine
	actingSince      time.Duration // start of the uninterrupted time in which this member may act
	nextSlowTick     time.Duration
	records          machineRecorder
	intake           heartbeatIntake
	scheduler        scheduler
	kinds            kindSelector
	autoscaler       autoscaler
	scaler           *cloud.Scaler
	forecast         forecast.JobArrivals
	warmPool         warmPool
	runTimes         estimate.RunTimes
	images           imageTable
	unjudgedReplicas unjudgedReplicaLog
}

const (
	slowTickInterval = time.Second

	// slicesPerSweep is the number of slices into which work on all machines is divided: one
	// is done in each tick, and all of them in a second.
	slicesPerSweep = int(time.Second / tickInterval)

	// A leader resigns if no response was proven to arrive within the last
	// deliveryTimeoutIntervals heartbeat intervals of the machines, or within the last
	// minDeliveryTimeout if that is longer.
	deliveryTimeoutIntervals = 4
	minDeliveryTimeout       = 10 * time.Second
)

// becomeLeader starts a term of leadership under a fencing token.
func (c *Controller) becomeLeader(fencingToken uint64) {
	now := c.now()
	l := newLeader(c.leaderEnvironment(), fencingToken, now)
	for name := range c.election.Shards() {
		l.shards.add(name)
	}
	l.initScheduling()
	c.leader = l
	c.cloud.StartLeading(l, now)
	c.subscription.registerShards()
	l.readJobsOfUnownedShards(now)
	l.loadMachineRecords()
	c.sendPeerHeartbeats(now)
}

// newLeader returns a leader with no shards and no machines.
func newLeader(env leaderEnvironment, fencingToken uint64, now time.Duration) *leader {
	l := &leader{
		env:          env,
		fencingToken: fencingToken,
		electedAt:    now,
		deliveries:   deliveryTracker{lastProvenAt: now},
		actingSince:  now,
		leases:       machineLeases{electedAt: now, timeout: env.machineLeaseTimeout},
		shards:       newShardRegistry(),
	}
	l.machines.init()
	l.reconciler = reconciler{leases: l.leases, machines: &l.machines, quotaEscrow: env.tuning.QuotaEscrow}
	l.publisher.memberCount = env.memberCount
	l.jobs = jobTable{
		byID:            make(map[string]*trackedJob),
		images:          &l.images,
		usage:           &l.usage,
		onlyFittingType: l.kinds.onlyFittingType,
		onArrival:       l.observeArrival,
		onPending:       l.scheduler.queue.markDirty,
	}
	l.quarantine = quarantine{machines: &l.machines, jobs: l.jobs.byID}
	l.usage = newUsageAccounting(env.settings.Teams, l.leases)
	l.records = machineRecorder{store: env.store, machines: &l.machines, fencingToken: fencingToken, maxBytes: env.maxRecordBytes()}
	l.intake = l.newIntake()
	return l
}

// endLeadership ends this process's term of leadership: heartbeats that still await a
// response are answered with status 503.
func (c *Controller) endLeadership() {
	l := c.leader
	c.leader, l.ended = nil, true
	c.cloud.StopLeading()
	l.records.stop()
	l.scaler.Stop()
	for _, pending := range l.pendingResponses {
		if !pending.closed {
			pending.reply(Response{Status: 503, RetryAfterS: 1})
		}
	}
	c.subscription.registerShards()
}

// tick does the periodic work. It is called once in each tickInterval.
func (l *leader) tick(now time.Duration) {
	l.sendDueResponses(now)
	l.readJobsOfUnownedShards(now)
	mayAct := l.env.authority.MayAct(now)
	if !mayAct {
		// Heartbeats are rejected meanwhile, so silence shows nothing.
		l.actingSince = now
		l.deliveries.reset(now)
	}
	l.machines.nextSlice(slicesPerSweep, func(m *machine) { l.usage.updateUnreconciled(m, l.env.cloud.Catalog(), now) })
	if mayAct {
		l.records.writeIfDue(now)
	}
	if now < l.nextSlowTick {
		return
	}
	l.nextSlowTick = now + slowTickInterval
	l.slowTick(now)
}

// slowTick does the periodic work that is due once in each slowTickInterval.
func (l *leader) slowTick(now time.Duration) {
	l.removeTerminated(now)
	l.images.removeUnused(&l.shards, &l.machines)
	l.jobs.removeTombstones(now)
	l.usage.recompute(l.jobs.byID, &l.machines)
	l.reconcileShards(now)
	if l.env.authority.MayAct(now) {
		l.autoscale(now)
		if !l.reachesMachines(now) {
			l.env.authority.Resign(election.MachinesUnreachable)
		}
	}
}

// reachesMachines reports whether responses of this process still reach machines. It also
// returns true if no machine has run long enough to show that they don't, or if no other
// member could lead. A leader whose responses do not arrive must resign: the other members
// refer the machines to it, so the machines would keep trying in vain.
func (l *leader) reachesMachines(now time.Duration) bool {
	timeout := max(seconds(deliveryTimeoutIntervals*l.env.settings.Workers.HeartbeatIntervalS), minDeliveryTimeout)
	if l.deliveries.sinceLastProof(now) < timeout || l.env.memberCount == 1 {
		return true
	}
	for m := range l.machines.all {
		if !m.terminated && l.env.cloud.RunningFor(m.name, now) > timeout {
			return false
		}
	}
	return true
}

// loadMachineRecords reads the records of the machines on which earlier leaders may have
// started tasks.
func (l *leader) loadMachineRecords() {
	l.records.load(func(loaded loadedRecords) {
		now := l.now()
		for _, m := range loaded.machines {
			l.usage.updateUnreconciled(m, l.env.cloud.Catalog(), now)
		}
		l.env.log.Info().Int("records", loaded.recordCount).Uint64("revision", loaded.revision).Int("reads", loaded.attempts).
			Int64("after_ms", (now - l.electedAt).Milliseconds()).Msg("machine records read")
	})
}

// removeTerminated removes the machines that have been terminated for longer than
// tombstoneTTL and are named in no record, and compacts the machine records.
func (l *leader) removeTerminated(now time.Duration) {
	for m := range l.machines.all {
		if m.terminated && m.recordKey == "" && now-m.lastHeartbeat > tombstoneTTL {
			l.machines.remove(m)
		}
	}
	if l.env.authority.MayAct(now) {
		l.records.compact()
	}
}

// newIntake returns the intake of heartbeats, connected to the components that it updates.
func (l *leader) newIntake() heartbeatIntake {
	return heartbeatIntake{
		fencingToken:  l.fencingToken,
		electedAt:     l.electedAt,
		catalog:       l.env.cloud,
		jobs:          &l.jobs,
		images:        &l.images,
		usage:         &l.usage,
		records:       &l.records,
		publisher:     &l.publisher,
		deliveries:    &l.deliveries,
		quarantine:    &l.quarantine,
		runTimes:      &l.runTimes,
		counts:        &l.autoscaler.counts,
		log:           l.env.log,
		cachedImages:  l.env.cachedImages,
		countResponse: l.countResponse,
	}
}
