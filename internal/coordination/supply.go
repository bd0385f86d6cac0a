package coordination

import (
	"math"
	"sort"
	"time"

	"github.com/cobaltvale/cobaltvale/internal/protocol"
	"github.com/cobaltvale/cobaltvale/internal/protocol/meshpb"
)

const (
	costTolerance         = 1e-12 // costs that differ by less are equal
	servicePriceTolerance = 1.25  // times the least cost, that a replica's machine may cost if it fetches sooner
)

// hasExclusiveNeed tells whether some job of late can run on no other type than typ.
func (r *autoscaler) hasExclusiveNeed(typ string, now time.Duration) bool {
	at, ok := r.exclusiveNeedAt[typ]
	return ok && now-at < exclusiveNeedWindow
}

// onlyFittingType is the one type that a task fits on, or none if there are several.
func (r *autoscaler) onlyFittingType(s *meshpb.JobSummary) string {
	only := ""
	for name, t := range r.leader.c.cloud.Catalog() {
		if !capacityOf(t).fits(s) || !(s.AnyType || permits(s, machineKind{name, s.Zone, s.Spot})) {
			continue
		}
		if only != "" {
			return ""
		}
		only = name
	}
	return only
}

// observedLongEnough tells whether a new leader knows the fleet well enough to add to it:
// it has looked for a while, or there is nothing to be heard of.
func (r *autoscaler) observedLongEnough(now time.Duration) bool {
	if now-r.leader.electedAt >= observationTime || r.requestSequence > 0 {
		return true
	}
	if !r.leader.records.machinesKnown() || r.leader.c.cloud.ListedAt() <= r.leader.electedAt {
		return false
	}
	for m := range r.leader.machines.all {
		if !m.terminated {
			return false
		}
	}
	return true
}

// countMachines notes how many machines each zone has, and which are to come.
func (r *autoscaler) countMachines(now time.Duration) {
	r.machinesPerZone, r.booting, r.kinds = make(map[string]int), make(map[machineKind]int), r.kinds[:0]
	r.machinesPerType, r.forecastPerType, r.reportedMachines = make(map[string]int), r.leader.forecast.MachinesWanted(now, arrivalsObserved(r.leader.electedAt, now)), 0
	r.reportedCPUs = 0
	for name, t := range r.leader.c.cloud.Catalog() {
		for _, z := range t.Zones {
			r.kinds = append(r.kinds, machineKind{name, z, true}, machineKind{name, z, false})
		}
	}
	for _, q := range r.requests {
		r.machinesPerType[q.kind.typeName] += q.Count
	}
	sort.Slice(r.kinds, func(i, k int) bool {
		a, b := r.kinds[i], r.kinds[k]
		if a.spot != b.spot {
			return a.spot
		}
		return a.typeName < b.typeName || (a.typeName == b.typeName && a.zone < b.zone)
	})
	silent, heard := make(map[string]int), make(map[string]int)
	for m := range r.leader.machines.all {
		if m.terminated {
			continue
		}
		if m.heartbeatSeen {
			heard[m.zone]++
			r.reportedMachines++
			if t := r.leader.c.cloud.Type(m.typeName); t != nil {
				r.reportedCPUs += t.CPUs
			}
			if r.silenceBeyondLimit(m, now) > 0 && !r.missingFromList(m) {
				silent[m.zone]++
			}
		}
		r.machinesPerZone[m.zone]++
		if r.leader.schedulable(m, now) || (m.starting() && !m.terminating) {
			r.machinesPerType[m.typeName]++
		}
		if t := r.leader.c.cloud.Type(m.typeName); t != nil && !m.terminating && m.starting() && now-m.createdAt < r.bootTimeout(t) {
			r.booting[m.machineKind]++
		}
	}
	r.partitionedZones = make(map[string]bool)
	for zone, n := range silent {
		r.partitionedZones[zone] = n > max(1, heard[zone]/8)
	}
}

// supply is a machine, there or to come, with its free room. One that is cut off
// is to come back: work that is not urgent can wait for it.
type supply struct {
	machine     *machine
	free        resources
	partitioned bool
}

// collectSupply lists by variant what has room now or soon, the fullest first.
func (r *autoscaler) collectSupply(now time.Duration) map[machineKind][]*supply {
	out := make(map[machineKind][]*supply)
	least := resources{cpus: math.Inf(1)}
	for _, j := range r.leader.pendingQueue.jobs {
		least.cpus = math.Min(least.cpus, j.spec.Cpus)
	}
	for m := range r.leader.machines.all {
		t := r.leader.c.cloud.Type(m.typeName)
		if t == nil || m.terminated || m.terminating || m.quarantined {
			continue
		}
		m.needed = false
		free, cutOff := resources{}, false
		switch {
		case r.leader.schedulable(m, now):
			free = r.soonFree(m, t, now)
		case m.starting() && now-m.createdAt < r.bootTimeout(t):
			free = capacityOf(t)
		case m.heartbeatSeen && r.partitionedZones[m.zone] && r.silenceBeyondLimit(m, now) > 0 && !r.missingFromList(m):
			cutOff = true
			if free = m.free; r.leader.leases.expired(m, now) {
				free = capacityOf(t)
			}
		}
		if free.cpus > 0 && free.cpus >= least.cpus {
			out[m.machineKind] = append(out[m.machineKind], &supply{machine: m, free: free, partitioned: cutOff})
		}
	}
	for _, q := range r.requests {
		if t := r.leader.c.cloud.Type(q.kind.typeName); t != nil {
			for range q.Count {
				out[q.kind] = append(out[q.kind], &supply{free: capacityOf(t)})
			}
		}
	}
	for _, list := range out {
		sort.SliceStable(list, func(i, k int) bool { return list[i].free.cpus < list[k].free.cpus })
	}
	return out
}

// shortfall is how many of a job's tasks find no room on machines there or to come.
type shortfall struct {
	job   *trackedJob
	tasks int
}

// matchPending gives the waiting tasks, in the order of service, the room that there
// is, and marks the machines that they can use.
func (r *autoscaler) matchPending(have map[machineKind][]*supply, now time.Duration) []shortfall {
	wall := r.leader.c.env.Wall().UnixMilli()
	var out []shortfall
	rest := make([]shortfall, 0, len(r.leader.pendingQueue.jobs))
	for _, j := range r.leader.pendingQueue.jobs {
		n := r.tasksToSupply(j, wall)
		if short := r.takeSupply(j, n, have); short > 0 {
			out = append(out, shortfall{j, short})
		} else if all := j.unoffered() - n; all > 0 {
			rest = append(rest, shortfall{j, all})
		}
	}
	for _, k := range rest {
		r.takeSupply(k.job, k.tasks, have)
	}
	return out
}

// takeSupply takes room for n tasks of a job and returns how many found none.
func (r *autoscaler) takeSupply(j *trackedJob, n int, have map[machineKind][]*supply) int {
	for _, v := range r.kinds {
		list := have[v]
		if n == 0 {
			break
		}
		if !permits(j.spec, v) || r.leader.reservedForOthers(j, v.typeName) {
			continue
		}
		full := 0
		for _, s := range list {
			if n == 0 {
				break
			}
			if s.machine != nil && s.machine.inWarmPool && !j.spec.Service {
				continue
			}
			for n > 0 && s.free.fits(j.spec) && !(s.partitioned && j.priority >= protocol.PriorityUrgent) {
				s.free.subtract(j.spec)
				n--
				if s.machine != nil {
					s.machine.needed = true
				}
			}
			if s.free.cpus <= 0 {
				full++
			}
		}
		if full > len(list)/2 {
			kept := list[:0]
			for _, s := range list {
				if s.free.cpus > 0 {
					kept = append(kept, s)
				}
			}
			have[v] = kept
		}
	}
	return n
}

// soonFree is the room a machine has free by the time that another one, were
// it rented now, would usually be up.
func (r *autoscaler) soonFree(m *machine, t *protocol.MachineType, now time.Duration) resources {
	free := m.free
	for i := range m.tasks {
		p := &m.tasks[i]
		if p.state != protocol.TaskRunning || !p.sizeKnown() {
			continue
		}
		if left := r.leader.runTime(p.job.spec) - (now - p.since); left < seconds(t.BootS) && left > -seconds(t.BootS) {
			free.add(p.job.spec)
		}
	}
	return free
}

// tasksToSupply is how many of a job's waiting tasks should have room soon. Urgent
// work wants all at once; other work may take turns on the same machines as
// long as its deadline leaves time for that.
func (r *autoscaler) tasksToSupply(j *trackedJob, wallMs int64) int {
	n := max(0, j.pending-j.offered)
	if j.team.cfg.CPUsMax > 0 && j.spec.Cpus > 0 {
		n = min(n, int(math.Max(0, j.team.cfg.CPUsMax-j.team.cpus)/j.spec.Cpus))
	}
	if j.priority >= protocol.PriorityUrgent || j.spec.DeadlineMs == 0 || n == 0 {
		return n
	}
	run := r.leader.runTime(j.spec).Seconds()
	slack := float64(j.spec.DeadlineMs-wallMs)/1000 - run - r.leadTime(j).Seconds()
	if slack <= run || run <= 0 {
		return n
	}
	waves := 1 + slack*queueingSlackShare/run
	return min(n, max(0, int(math.Ceil(float64(n+j.placed)/waves))-j.placed))
}

// scaleOutForForecast asks for machines for work that is to come: the cheapest kinds, and
// no ordinary ones, which cost several times as much.
func (r *autoscaler) scaleOutForForecast(ask map[machineKind]int, left int, now time.Duration) {
	for _, v := range r.kinds {
		for v.spot && left > 0 && r.refusedUntil[v] <= now && r.machinesPerType[v.typeName] < r.forecastPerType[v.typeName] {
			ask[v]++
			r.machinesPerType[v.typeName]++
			left--
		}
	}
}

// leadTime is how long a machine that is rented now takes until a job's tasks run on
// it: it boots and fetches their image.
func (r *autoscaler) leadTime(j *trackedJob) time.Duration {
	least := time.Duration(-1)
	for _, t := range r.leader.c.cloud.Catalog() {
		if !capacityOf(t).fits(j.spec) {
			continue
		}
		if d := seconds(t.BootS) + fetchTime(j.image, t); least < 0 || d < least {
			least = d
		}
	}
	return max(0, least)
}

// kindCandidate is a kind of machine that a task could be rented.
type kindCandidate struct {
	kind           machineKind
	cost           float64       // of the room that the task takes, per hour
	fetchTime      time.Duration // of the task's image
	machinesInZone int           // in the same zone, there or to come
}

// bestKind chooses what to rent for a task: the cheapest by the room the task takes,
// and of equals the zone with fewer machines. For a replica of a service kinds
// count as equal that cost little more, and the one that fetches soonest is taken:
// replicas are wanted back at once, and stay.
func (r *autoscaler) bestKind(j *trackedJob, now time.Duration, ask map[machineKind]int) (machineKind, bool) {
	choices := r.candidateKinds(j, now, ask)
	if len(choices) == 0 {
		return machineKind{}, false
	}
	least := math.Inf(1)
	for _, c := range choices {
		least = math.Min(least, c.cost)
	}
	most := least + costTolerance
	if j.spec.Service {
		most = least * servicePriceTolerance
	}
	var best *kindCandidate
	for i := range choices {
		c := &choices[i]
		if c.cost <= most && (best == nil || c.preferredTo(best, j.spec.Service)) {
			best = c
		}
	}
	return best.kind, true
}

// preferredTo compares kinds that are about as cheap.
func (a *kindCandidate) preferredTo(b *kindCandidate, service bool) bool {
	switch {
	case service && a.fetchTime != b.fetchTime:
		return a.fetchTime < b.fetchTime
	case math.Abs(a.cost-b.cost) > costTolerance:
		return a.cost < b.cost
	}
	return a.machinesInZone < b.machinesInZone
}

// candidateKinds lists the kinds that a task may be rented now.
func (r *autoscaler) candidateKinds(j *trackedJob, now time.Duration, ask map[machineKind]int) []kindCandidate {
	asked := make(map[string]int)
	for v, n := range ask {
		asked[v.zone] += n
	}
	var out []kindCandidate
	for name, t := range r.leader.c.cloud.Catalog() {
		if !capacityOf(t).fits(j.spec) || r.leader.reservedForOthers(j, name) {
			continue
		}
		part := machineShare(t, j.spec)
		for _, zone := range t.Zones {
			for _, spot := range []bool{true, false} {
				v := machineKind{name, zone, spot}
				if r.refusedUntil[v] > now || !permits(j.spec, v) {
					continue
				}
				price := t.Price
				if spot {
					price = t.SpotPrice
				}
				out = append(out, kindCandidate{kind: v, cost: price * part, fetchTime: fetchTime(j.image, t), machinesInZone: r.machinesPerZone[zone] + asked[zone]})
			}
		}
	}
	return out
}

// machineShare is the part of a machine that a task takes.
func machineShare(t *protocol.MachineType, s *meshpb.JobSummary) float64 {
	part := math.Max(s.Cpus/math.Max(t.CPUs, 1e-9), s.MemoryGb/math.Max(t.MemoryGB, 1e-9))
	if t.GPUs > 0 {
		part = math.Max(part, s.Gpus/t.GPUs)
	}
	return part
}

// obtainable tells whether a machine for a job's tasks can be had or is to come.
func (r *autoscaler) obtainable(j *trackedJob, now time.Duration) bool {
	if _, ok := r.bestKind(j, now, nil); ok || now-r.leader.electedAt < observationTime {
		return true
	}
	for v, n := range r.booting {
		if n > 0 && permits(j.spec, v) {
			return true
		}
	}
	return false
}
