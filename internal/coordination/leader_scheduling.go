package coordination

import "time"

// initScheduling connects the components that place tasks and size the fleet. Each
// of them reads the leader's tables only through the pointers and functions that it is
// given here.
func (l *leader) initScheduling() {
	l.initAutoscaling()
	l.initScheduler()
}

// initAutoscaling connects the components that size the fleet.
func (l *leader) initAutoscaling() {
	env := &l.env
	l.kinds = newKindSelector(env.cloud, &l.autoscaler.counts)
	l.autoscaler = autoscaler{
		settings:            env.settings,
		tuning:              env.tuning,
		inventory:           env.cloud,
		kinds:               &l.kinds,
		machines:            &l.machines,
		electedAt:           l.electedAt,
		schedulable:         l.schedulable,
		leaseExpired:        l.leases.expired,
		missingFromCloud:    l.missingFromCloud,
		runTime:             l.runTime,
		silenceLimit:        env.silenceLimit,
		machineLeaseTimeout: env.machineLeaseTimeout,
	}
	l.scaler = env.cloud.NewScaler(l.fencingToken, &scaleOutcomes{
		machines:       &l.machines,
		kinds:          &l.kinds,
		log:            env.log,
		markTerminated: l.markTerminated,
	})
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

// initScheduler connects the components that stop tasks on machines and offer machines
// to jobs.
func (l *leader) initScheduler() {
	env, s := &l.env, &l.scheduler
	*s = scheduler{
		settings:          env.settings,
		tuning:            env.tuning,
		wallMs:            l.wallMs,
		schedulable:       l.schedulable,
		runTime:           l.runTime,
		unfinishedJobs:    l.unfinishedJobs,
		updateImageDemand: l.updateImageDemand,
		warmPool:          &l.warmPool,
		offers:            offerTable{updateUsage: l.usage.update, byID: make(map[uint64]*offer)},
		drainer:           drainer{warmPool: &l.warmPool, runTime: l.runTime},
	}
	s.placement = placement{
		catalog:         env.cloud,
		kinds:           &l.kinds,
		warmPool:        &l.warmPool,
		counts:          &l.autoscaler.counts,
		withinTeamLimit: l.withinTeamLimit,
		runTime:         l.runTime,
	}
	s.queue = pendingQueue{
		catalog:    env.cloud,
		kinds:      &l.kinds,
		orderKeyOf: s.orderKeyOf,
		runTime:    l.runTime,
	}
	s.reservations = reservations{
		machines:    &l.machines,
		placement:   &s.placement,
		schedulable: l.schedulable,
		runTime:     l.runTime,
	}
	s.preemptor = preemptor{
		queue:             &s.queue,
		placement:         &s.placement,
		kinds:             &l.kinds,
		machines:          &l.machines,
		images:            &l.images,
		teams:             l.usage.teams,
		schedulable:       l.schedulable,
		runTime:           l.runTime,
		withinTeamLimit:   l.withinTeamLimit,
		machineObtainable: l.autoscaler.machineObtainable,
	}
}

// autoscale, which runs once a second, releases machines and requests new ones. It
// does nothing until the catalog of machine types was read.
func (l *leader) autoscale(now time.Duration) {
	if len(l.env.cloud.Catalog()) == 0 {
		return
	}
	l.observeExclusiveNeeds(now)
	l.scheduler.queue.markDirty()
	l.scheduler.rebuildQueue(now)
	in := &autoscalerInput{
		now:               now,
		wallMs:            l.wallMs(),
		actingSince:       l.actingSince,
		pendingJobs:       l.scheduler.queue.jobs,
		requestedMachines: l.scaler.PendingScaleOuts(),
		forecastMachines:  l.forecast.MachinesWanted(now, arrivalObservationTime(l.electedAt, now)),
		machinesKnown:     l.records.machinesKnown(),
	}
	l.autoscaler.countMachines(in)
	l.warmPool.resize(now)
	available := l.autoscaler.collectSupply(in)
	shortfalls := l.autoscaler.matchPending(in, available)
	l.scaler.ScaleIn(l.autoscaler.machinesToRelease(in), now)
	l.scaler.SendScaleOuts(now)
	if l.scaler.Blocked(now) || !(l.scaler.HasScaledOut() || l.autoscaler.knowsFleet(in)) {
		return
	}
	for kind, n := range l.autoscaler.planScaleOut(in, shortfalls, available, &l.warmPool) {
		l.scaler.QueueScaleOut(kind.cloudKind(), n)
	}
	l.scaler.SendScaleOuts(now)
}

// observeExclusiveNeeds determines which jobs fit on a single type of machine and records the
// need for that type.
func (l *leader) observeExclusiveNeeds(now time.Duration) {
	for job := range l.unfinishedJobs {
		if job.spec == nil || job.pending+job.assigned == 0 {
			continue
		}
		job.onlyFittingType = l.kinds.onlyFittingType(job.spec)
		if job.onlyFittingType != "" {
			l.kinds.recordExclusiveNeed(job.onlyFittingType, now)
		}
	}
}

// unfinishedJobs yields the unfinished jobs of all shards, in no particular order.
func (l *leader) unfinishedJobs(yield func(*trackedJob) bool) {
	for _, shard := range l.shards.byName {
		for _, job := range shard.jobs {
			if !yield(job) {
				return
			}
		}
	}
}
