package coordination

import (
	"time"

	"github.com/cobaltvale/cobaltvale/internal/priority"
	"github.com/cobaltvale/cobaltvale/internal/protocol"
	"github.com/cobaltvale/cobaltvale/internal/protocol/meshpb"
)

// initScheduling connects the components that decide what runs where and how many
// machines there are. Each reads the leader's tables through what it is given
// here, and nothing else.
func (l *leader) initScheduling() {
	l.initAutoscaling()
	l.initPlacement()
	l.initPreemption()
}

// initAutoscaling connects what sizes the fleet.
func (l *leader) initAutoscaling() {
	env := &l.env
	l.kinds = newKindSelector(env.cloud, &l.autoscaler.counts)
	l.autoscaler = autoscaler{
		settings:         env.settings,
		tuning:           env.tuning,
		inventory:        env.cloud,
		kinds:            &l.kinds,
		machines:         &l.machines,
		electedAt:        l.electedAt,
		schedulable:      l.schedulable,
		leaseExpired:     l.leases.expired,
		missingFromCloud: l.missingFromCloud,
		runTime:          l.runTime,
		silenceLimit:     env.silenceLimit,
		leaseTimeout:     env.leaseTimeout,
	}
	l.cloudRequests = cloudRequests{
		api:            env.cloudAPI,
		codec:          env.codec,
		log:            env.log,
		clock:          env.clock,
		allowCall:      env.cloud.AllowCall,
		leading:        func() bool { return !l.ended },
		fencingToken:   l.fencingToken,
		machines:       &l.machines,
		kinds:          &l.kinds,
		markTerminated: l.markTerminated,
	}
	l.warmPool = warmPool{
		settings:    env.settings,
		catalog:     env.cloud,
		kinds:       &l.kinds,
		machines:    &l.machines,
		counts:      &l.autoscaler.counts,
		electedAt:   l.electedAt,
		schedulable: l.schedulable,
	}
	l.warmPool.init()
}

// initPlacement connects what offers machines to jobs.
func (l *leader) initPlacement() {
	env := &l.env
	l.placement = placement{
		catalog:         env.cloud,
		kinds:           &l.kinds,
		warmPool:        &l.warmPool,
		counts:          &l.autoscaler.counts,
		withinTeamLimit: l.withinTeamLimit,
		runTime:         l.runTime,
	}
	l.pendingQueue = pendingQueue{
		catalog:    env.cloud,
		kinds:      &l.kinds,
		orderKeyOf: l.orderKeyOf,
		runTime:    l.runTime,
	}
	l.reservations = reservations{
		machines:    &l.machines,
		placement:   &l.placement,
		schedulable: l.schedulable,
		runTime:     l.runTime,
	}
	l.offers = offerBook{updateUsage: l.usage.update, byID: make(map[uint64]*offer)}
}

// initPreemption connects what stops tasks to make room.
func (l *leader) initPreemption() {
	l.preemptor = preemptor{
		queue:           &l.pendingQueue,
		placement:       &l.placement,
		kinds:           &l.kinds,
		machines:        &l.machines,
		images:          &l.images,
		teams:           l.usage.teams,
		schedulable:     l.schedulable,
		runTime:         l.runTime,
		withinTeamLimit: l.withinTeamLimit,
		obtainable:      l.autoscaler.obtainable,
	}
	l.drainer = drainer{warmPool: &l.warmPool, runTime: l.runTime}
}

// autoscale sizes the fleet once a second: it releases machines and requests new
// ones. Until the catalogue was read it does nothing.
func (l *leader) autoscale(now time.Duration) {
	if len(l.env.cloud.Catalog()) == 0 {
		return
	}
	l.updateExclusiveNeeds(now)
	l.pendingQueue.markDirty()
	l.rebuildPendingQueue(now)
	in := &autoscalerInput{
		now:           now,
		wallMs:        l.wallMs(),
		actingSince:   l.actingSince,
		pending:       l.pendingQueue.jobs,
		requests:      l.cloudRequests.scaleOuts,
		forecast:      l.forecast.MachinesWanted(now, arrivalsObserved(l.electedAt, now)),
		machinesKnown: l.records.machinesKnown(),
	}
	l.autoscaler.count(in)
	l.warmPool.resize(now)
	available := l.autoscaler.collectSupply(in)
	shortfalls := l.autoscaler.matchPending(in, available)
	l.cloudRequests.scaleIn(l.autoscaler.machinesToRelease(in), now)
	l.cloudRequests.sendScaleOuts(now)
	if l.cloudRequests.blocked(now) || !(l.cloudRequests.anyScaleOut() || l.autoscaler.knowsFleet(in)) {
		return
	}
	in.requests = l.cloudRequests.scaleOuts
	plan := l.autoscaler.planScaleOut(in, shortfalls, available, &l.warmPool)
	l.cloudRequests.scaleOut(plan, now)
}

// updateExclusiveNeeds notes which jobs fit on a single type of machine.
func (l *leader) updateExclusiveNeeds(now time.Duration) {
	for job := range l.unfinishedJobs {
		if job.spec == nil || job.pending+job.placed == 0 {
			continue
		}
		job.onlyType = l.kinds.onlyFittingType(job.spec)
		if job.onlyType != "" {
			l.kinds.noteExclusiveNeed(job.onlyType, now)
		}
	}
}

// unfinishedJobs yields the jobs of all shards that have not ended, in no order.
func (l *leader) unfinishedJobs(yield func(*trackedJob) bool) {
	for _, shard := range l.shards.byName {
		for _, job := range shard.jobs {
			if !yield(job) {
				return
			}
		}
	}
}

// orderKeyOf returns a job's position in the order of service at a Unix time in
// milliseconds.
func (l *leader) orderKeyOf(job *trackedJob, wallMs int64) priority.Key {
	return priority.KeyOf(priority.Job{
		Class:       job.spec.Class,
		Priority:    job.priority,
		Started:     job.started,
		SubmittedMs: job.spec.SubmittedMs,
		DeadlineMs:  job.spec.DeadlineMs,
		RunTime:     l.runTime(job.spec),
	}, wallMs, l.env.settings.Objectives)
}

// rebuildPendingQueue rebuilds the order of service, if it is due, with the demand
// for images that it goes by and the reservations that follow from it.
func (l *leader) rebuildPendingQueue(now time.Duration) {
	if !l.pendingQueue.rebuildDue(now) {
		return
	}
	l.updateImageDemand(now)
	l.pendingQueue.rebuild(l.unfinishedJobs, l.wallMs(), now)
	l.reservations.renew(l.pendingQueue.overdue, now)
}

// preempt stops tasks on a machine that sends a heartbeat, in its response: those
// that make room for others, or all that have to leave if the machine is to go.
func (l *leader) preempt(m *machine, response *pendingResponse, now time.Duration) {
	if !l.schedulable(m, now) {
		l.stopTasks(m, response, l.drainer.victims(m, now))
		return
	}
	if l.preemptor.shortageDue(now) {
		l.rebuildPendingQueue(now)
		l.preemptor.findShortage(now)
	}
	l.stopTasks(m, response, l.preemptor.victims(m, now))
}

// stopTasks commands a machine to have tasks write a checkpoint, if they can, and
// stop.
func (l *leader) stopTasks(m *machine, response *pendingResponse, victims []*replicaOnMachine) {
	for _, replica := range victims {
		key, graceS := replica.key, 0.0
		if replica.job.spec.CheckpointIntervalS > 0 {
			graceS = replica.job.spec.CheckpointDurationS + checkpointMarginS
		}
		m.setCommand(&meshpb.MachineCommand{MachineIndex: m.index, Job: key.job, Task: key.task, Replica: key.replica, GraceS: graceS})
		stop := replica.command(protocol.CommandStop)
		stop.GraceS = &graceS
		response.commands = append(response.commands, stop)
	}
}
