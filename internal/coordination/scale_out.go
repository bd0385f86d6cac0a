package coordination

import (
	"iter"
	"math"
	"time"

	"github.com/cobaltvale/cobaltvale/internal/cloud"
)

// queueingSlackShare is the part of a deadline's slack that tasks may wait for
// others to end.
const queueingSlackShare = 0.25

// scaleOutPlan is the machines that are to be requested.
type scaleOutPlan struct {
	machines map[machineKind]int
	counts   *fleetCounts // in which planned machines count at once
}

func (p *scaleOutPlan) add(kind machineKind) {
	p.machines[kind]++
	p.counts.machinesByType[kind.typeName]++
}

// planScaleOut plans machines for the tasks that no supply takes, for the warm
// pool and for what is forecast.
func (a *autoscaler) planScaleOut(in *autoscalerInput, shortfalls []shortfall, s supply, pool *warmPool) map[machineKind]int {
	plan := &scaleOutPlan{machines: make(map[machineKind]int), counts: &a.counts}
	limit := a.maxMachinesPerPass()
	for _, short := range shortfalls {
		limit -= a.planForJob(plan, short, s, limit, in.now)
	}
	pool.planScaleOut(plan, incomingMachines(a.counts.bootingByKind, in.requestedMachines), limit, in.now)
	a.planForForecast(plan, in, limit)
	return plan.machines
}

// planForJob plans machines for a job's tasks and returns how many: no more than
// a limit.
func (a *autoscaler) planForJob(plan *scaleOutPlan, short shortfall, s supply, limit int, now time.Duration) int {
	planned, tasks := 0, short.tasks
	var last *supplyMachine
	for tasks > 0 && planned < limit {
		if last != nil && last.free.fits(short.job.spec) {
			last.free.subtract(short.job.spec)
			tasks--
			continue
		}
		// Machines that were planned for a job before may have room left.
		if tasks = a.allocateSupply(short.job, tasks, s, now); tasks == 0 {
			break
		}
		kind, ok := a.kinds.bestKind(kindQuery{job: short.job, now: now, planned: plan.machines})
		if !ok {
			break
		}
		last = &supplyMachine{free: capacityOf(a.inventory.Type(kind.typeName))}
		s[kind] = append(s[kind], last)
		plan.add(kind)
		planned++
	}
	return planned
}

// planForForecast plans the machines that are forecast: of the cheapest kinds,
// and no ordinary ones, which cost several times as much as spot machines.
func (a *autoscaler) planForForecast(plan *scaleOutPlan, in *autoscalerInput, limit int) {
	for _, kind := range a.counts.creatableKinds {
		for kind.spot && limit > 0 && !a.kinds.kindUnavailable(kind, in.now) && a.counts.machinesByType[kind.typeName] < in.forecastMachines[kind.typeName] {
			plan.add(kind)
			limit--
		}
	}
}

// incomingMachines counts the machines that boot or are requested.
func incomingMachines(booting map[machineKind]int, requested iter.Seq2[cloud.Kind, int]) map[machineKind]int {
	coming := make(map[machineKind]int)
	for kind, n := range booting {
		coming[kind] += n
	}
	for kind, n := range requested {
		coming[machineKindOf(kind)] += n
	}
	return coming
}

// maxMachinesPerPass is how many machines the calls of a second can request.
func (a *autoscaler) maxMachinesPerPass() int {
	return cloud.MaxMachinesPerScaleOut * max(1, int(cloud.LeaderCallsPerSecond(a.settings.Cloud.RPS)))
}

// tasksNeedingSupply is how many of a job's pending tasks should find room soon. Urgent
// jobs want all at once; others may take turns on the same machines as long as
// their deadline leaves time for that.
func (a *autoscaler) tasksNeedingSupply(job *trackedJob, wallMs int64) int {
	n := max(0, job.pending-job.offered)
	if job.team.cfg.CPUsMax > 0 && job.spec.Cpus > 0 {
		n = min(n, int(math.Max(0, job.team.cfg.CPUsMax-job.team.cpus)/job.spec.Cpus))
	}
	if job.isUrgent() || job.spec.DeadlineMs == 0 || n == 0 {
		return n
	}
	run := a.runTime(job.spec).Seconds()
	slack := float64(job.spec.DeadlineMs-wallMs)/1000 - run - a.kinds.leadTime(job).Seconds()
	if slack <= run || run <= 0 {
		return n
	}
	turns := 1 + slack*queueingSlackShare/run
	return min(n, max(0, int(math.Ceil(float64(n+job.placed)/turns))-job.placed))
}
