package coordination

import (
	"iter"
	"math"
	"time"

	"github.com/cobaltvale/cobaltvale/internal/cloud"
)

// queueingSlackShare is the part of the slack before a deadline that tasks may spend
// waiting for others to end.
const queueingSlackShare = 0.25

// scaleOutPlan holds the machines to request.
type scaleOutPlan struct {
	machines map[machineKind]int
	counts   *fleetCounts // planned machines are counted here at once
}

func (p *scaleOutPlan) add(kind machineKind) {
	p.machines[kind]++
	p.counts.machinesByType[kind.typeName]++
}

// planScaleOut returns the machines to request: for the tasks that the supply has no room
// for, for the warm pool and for the forecast.
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

// planForJob plans machines for a job's tasks, at most limit of them, and returns how many.
func (a *autoscaler) planForJob(plan *scaleOutPlan, short shortfall, s supply, limit int, now time.Duration) int {
	planned, tasks := 0, short.tasks
	var last *supplyMachine
	for tasks > 0 && planned < limit {
		if last != nil && last.free.fits(short.job.spec) {
			last.free.subtract(short.job.spec)
			tasks--
			continue
		}
		// Machines planned for an earlier job may have room left.
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

// planForForecast plans the machines that the forecast asks for: only spot ones, since
// on-demand machines cost several times as much.
func (a *autoscaler) planForForecast(plan *scaleOutPlan, in *autoscalerInput, limit int) {
	for _, kind := range a.counts.creatableKinds {
		for kind.spot && limit > 0 && !a.kinds.kindUnavailable(kind, in.now) && a.counts.machinesByType[kind.typeName] < in.forecastMachines[kind.typeName] {
			plan.add(kind)
			limit--
		}
	}
}

// incomingMachines returns how many machines of each kind are booting or requested.
func incomingMachines(booting map[machineKind]int, requested iter.Seq2[cloud.Kind, int]) map[machineKind]int {
	incoming := make(map[machineKind]int)
	for kind, n := range booting {
		incoming[kind] += n
	}
	for kind, n := range requested {
		incoming[machineKindOf(kind)] += n
	}
	return incoming
}

// maxMachinesPerPass returns how many machines can be requested with the calls that the
// leader may make to the cloud in a second, which is the interval between passes.
func (a *autoscaler) maxMachinesPerPass() int {
	return cloud.MaxMachinesPerScaleOut * max(1, int(cloud.LeaderCallsPerSecond(a.settings.Cloud.RPS)))
}

// tasksNeedingSupply returns how many of a job's pending tasks should find room soon: all
// of an urgent job or a job without a deadline, as far as the team's limit allows. The
// tasks of other jobs may run one after the other on the same machines as far as the
// deadline leaves time for that.
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
	sequentialRuns := 1 + slack*queueingSlackShare/run
	return min(n, max(0, int(math.Ceil(float64(n+job.assigned)/sequentialRuns))-job.assigned))
}
