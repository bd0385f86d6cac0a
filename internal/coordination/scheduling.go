package coordination

import (
	"time"
)

// initScheduling connects the components that decide what runs where and how many
// machines there are. Each reads the leader's tables through what it is given
// here, and nothing else.
func (l *leader) initScheduling() {
	c := l.c
	l.kinds = newKindSelector(c.cloud, &l.autoscaler.counts)
	l.autoscaler = autoscaler{
		settings:           &c.cfg.Settings,
		tuning:             &c.tuning,
		inventory:          c.cloud,
		kinds:              &l.kinds,
		machines:           &l.machines,
		electedAt:          l.electedAt,
		schedulable:        l.schedulable,
		leaseExpired:       l.leases.expired,
		missingFromCloud:   l.missingFromCloud,
		runTime:            l.runTime,
		silenceAfter:       c.silenceAfter,
		workerLeaseTimeout: c.workerLeaseTimeout,
	}
	l.cloudRequests = cloudRequests{
		api:            c.env.Cloud,
		codec:          c.codec,
		log:            &c.log,
		clock:          c.env.Clock,
		allowCall:      c.cloud.AllowCall,
		leading:        func() bool { return c.leader == l },
		fencingToken:   l.fencingToken,
		machines:       &l.machines,
		kinds:          &l.kinds,
		markTerminated: l.markTerminated,
	}
	l.warmPool = warmPool{
		settings:    &c.cfg.Settings,
		catalog:     c.cloud,
		kinds:       &l.kinds,
		machines:    &l.machines,
		counts:      &l.autoscaler.counts,
		electedAt:   l.electedAt,
		schedulable: l.schedulable,
	}
	l.warmPool.init()
	l.placement = placement{
		catalog:         c.cloud,
		kinds:           &l.kinds,
		warmPool:        &l.warmPool,
		counts:          &l.autoscaler.counts,
		withinTeamLimit: l.withinTeamLimit,
		runTime:         l.runTime,
	}
}

// autoscale sizes the fleet once a second: it releases machines and requests new
// ones. Until the catalogue was read it does nothing.
func (l *leader) autoscale(now time.Duration) {
	if len(l.c.cloud.Catalog()) == 0 {
		return
	}
	l.updateExclusiveNeeds(now)
	l.pendingQueue.dirty = true
	l.rebuildPendingQueue(now)
	in := &autoscalerInput{
		now:           now,
		wallMs:        l.c.env.Wall().UnixMilli(),
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
	for _, shard := range l.shards.byName {
		for _, job := range shard.jobs {
			if job.spec == nil || job.pending+job.placed == 0 {
				continue
			}
			job.onlyType = l.kinds.onlyFittingType(job.spec)
			if job.onlyType != "" {
				l.kinds.noteExclusiveNeed(job.onlyType, now)
			}
		}
	}
}
