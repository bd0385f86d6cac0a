package coordination

import (
	"math"
	"sort"
	"time"

	"github.com/cobaltvale/cobaltvale/internal/protocol"
	"github.com/cobaltvale/cobaltvale/internal/protocol/meshpb"
)

const (
	costTolerance  = 1e-12 // costs that differ by less are equal
	servicePremium = 1.25  // times the least cost, that a replica's machine may cost if it fetches sooner
)

// scarce tells whether some job of late can run on no other type than typ.
func (r *renting) scarce(typ string, now time.Duration) bool {
	at, ok := r.needs[typ]
	return ok && now-at < keptFor
}

// onlyType is the one type that a task fits on, or none if there are several.
func (r *renting) onlyType(s *meshpb.JobSummary) string {
	only := ""
	for name, t := range r.l.c.fleet.types {
		if !capacityOf(t).fits(s) || !(s.AnyType || allows(s, variant{name, s.Zone, s.Spot})) {
			continue
		}
		if only != "" {
			return ""
		}
		only = name
	}
	return only
}

// settled tells whether a new leader knows the fleet well enough to add to it:
// it has looked for a while, or there is nothing to be heard of.
func (r *renting) settled(now time.Duration) bool {
	if now-r.l.since >= settleIn || r.seq > 0 {
		return true
	}
	if !r.l.machinesKnown || r.l.c.fleet.listedAt <= r.l.since {
		return false
	}
	for m := range r.l.machines.all {
		if !m.gone {
			return false
		}
	}
	return true
}

// count notes how many machines each zone has, and which are to come.
func (r *renting) count(now time.Duration) {
	r.inZone, r.booting, r.variants = make(map[string]int), make(map[variant]int), r.variants[:0]
	r.ofType, r.warm, r.there = make(map[string]int), r.l.forecast.warm(now), 0
	r.cpus = 0
	for name, t := range r.l.c.fleet.types {
		for _, z := range t.Zones {
			r.variants = append(r.variants, variant{name, z, true}, variant{name, z, false})
		}
	}
	for _, q := range r.requests {
		r.ofType[q.v.typ] += q.Count
	}
	sort.Slice(r.variants, func(i, k int) bool {
		a, b := r.variants[i], r.variants[k]
		if a.spot != b.spot {
			return a.spot
		}
		return a.typ < b.typ || (a.typ == b.typ && a.zone < b.zone)
	})
	silent, heard := make(map[string]int), make(map[string]int)
	for m := range r.l.machines.all {
		if m.gone {
			continue
		}
		if m.reported {
			heard[m.zone]++
			r.there++
			if t := r.l.c.fleet.types[m.typ]; t != nil {
				r.cpus += t.CPUs
			}
			if r.silence(m, now) > 0 && !r.delisted(m) {
				silent[m.zone]++
			}
		}
		r.inZone[m.zone]++
		if r.l.usable(m, now) || (m.comes() && !m.leaving) {
			r.ofType[m.typ]++
		}
		if t := r.l.c.fleet.types[m.typ]; t != nil && !m.leaving && m.comes() && now-m.rentedAt < r.bootLimit(t) {
			r.booting[m.variant]++
		}
	}
	r.cutOff = make(map[string]bool)
	for zone, n := range silent {
		r.cutOff[zone] = n > max(1, heard[zone]/8)
	}
}

// supply is a machine, there or to come, with its free room. One that is cut off
// is to come back: work that is not urgent can wait for it.
type supply struct {
	m      *machine
	room   room
	cutOff bool
}

// supplies lists by variant what has room now or soon, the fullest first.
func (r *renting) supplies(now time.Duration) map[variant][]*supply {
	out := make(map[variant][]*supply)
	least := room{cpus: math.Inf(1)}
	for _, j := range r.l.demand.jobs {
		least.cpus = math.Min(least.cpus, j.spec.Cpus)
	}
	for m := range r.l.machines.all {
		t := r.l.c.fleet.types[m.typ]
		if t == nil || m.gone || m.leaving || m.sick {
			continue
		}
		m.kept = false
		free, cutOff := room{}, false
		switch {
		case r.l.usable(m, now):
			free = r.soonFree(m, t, now)
		case m.comes() && now-m.rentedAt < r.bootLimit(t):
			free = capacityOf(t)
		case m.reported && r.cutOff[m.zone] && r.silence(m, now) > 0 && !r.delisted(m):
			cutOff = true
			if free = m.free; r.l.leaseOver(m, now) {
				free = capacityOf(t)
			}
		}
		if free.cpus > 0 && free.cpus >= least.cpus {
			out[m.variant] = append(out[m.variant], &supply{m: m, room: free, cutOff: cutOff})
		}
	}
	for _, q := range r.requests {
		if t := r.l.c.fleet.types[q.v.typ]; t != nil {
			for range q.Count {
				out[q.v] = append(out[q.v], &supply{room: capacityOf(t)})
			}
		}
	}
	for _, list := range out {
		sort.SliceStable(list, func(i, k int) bool { return list[i].room.cpus < list[k].room.cpus })
	}
	return out
}

// shortfall is how many of a job's tasks find no room on machines there or to come.
type shortfall struct {
	job *leaderJob
	n   int
}

// match gives the waiting tasks, in the order of service, the room that there
// is, and marks the machines that they can use.
func (r *renting) match(have map[variant][]*supply, now time.Duration) []shortfall {
	wall := r.l.c.env.Wall().UnixMilli()
	var out []shortfall
	rest := make([]shortfall, 0, len(r.l.demand.jobs))
	for _, j := range r.l.demand.jobs {
		n := r.wanted(j, wall)
		if short := r.place(j, n, have); short > 0 {
			out = append(out, shortfall{j, short})
		} else if all := j.unserved() - n; all > 0 {
			rest = append(rest, shortfall{j, all})
		}
	}
	for _, k := range rest {
		r.place(k.job, k.n, have)
	}
	return out
}

// place takes room for n tasks of a job and returns how many found none.
func (r *renting) place(j *leaderJob, n int, have map[variant][]*supply) int {
	for _, v := range r.variants {
		list := have[v]
		if n == 0 {
			break
		}
		if !allows(j.spec, v) || r.l.keptForOthers(j, v.typ) {
			continue
		}
		full := 0
		for _, s := range list {
			if n == 0 {
				break
			}
			if s.m != nil && s.m.standby && !j.spec.Service {
				continue
			}
			for n > 0 && s.room.fits(j.spec) && !(s.cutOff && j.prio >= protocol.PriorityUrgent) {
				s.room.take(j.spec)
				n--
				if s.m != nil {
					s.m.kept = true
				}
			}
			if s.room.cpus <= 0 {
				full++
			}
		}
		if full > len(list)/2 {
			kept := list[:0]
			for _, s := range list {
				if s.room.cpus > 0 {
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
func (r *renting) soonFree(m *machine, t *protocol.MachineType, now time.Duration) room {
	free := m.free
	for i := range m.tasks {
		p := &m.tasks[i]
		if p.state != protocol.TaskRunning || !p.known() {
			continue
		}
		if left := r.l.runTime(p.job.spec) - (now - p.since); left < seconds(t.BootS) && left > -seconds(t.BootS) {
			free.give(p.job.spec)
		}
	}
	return free
}

// wanted is how many of a job's waiting tasks should have room soon. Urgent
// work wants all at once; other work may take turns on the same machines as
// long as its deadline leaves time for that.
func (r *renting) wanted(j *leaderJob, wallMs int64) int {
	n := max(0, j.waiting-j.offered)
	if j.team.cfg.CPUsMax > 0 && j.spec.Cpus > 0 {
		n = min(n, int(math.Max(0, j.team.cfg.CPUsMax-j.team.cpus)/j.spec.Cpus))
	}
	if j.prio >= protocol.PriorityUrgent || j.spec.DeadlineMs == 0 || n == 0 {
		return n
	}
	run := r.l.runTime(j.spec).Seconds()
	slack := float64(j.spec.DeadlineMs-wallMs)/1000 - run - r.lead(j).Seconds()
	if slack <= run || run <= 0 {
		return n
	}
	waves := 1 + slack*waveShare/run
	return min(n, max(0, int(math.Ceil(float64(n+j.located)/waves))-j.located))
}

// keepWarm asks for machines for work that is to come: the cheapest kinds, and
// no ordinary ones, which cost several times as much.
func (r *renting) keepWarm(ask map[variant]int, left int, now time.Duration) {
	for _, v := range r.variants {
		for v.spot && left > 0 && r.refused[v] <= now && r.ofType[v.typ] < r.warm[v.typ] {
			ask[v]++
			r.ofType[v.typ]++
			left--
		}
	}
}

// lead is how long a machine that is rented now takes until a job's tasks run on
// it: it boots and fetches their image.
func (r *renting) lead(j *leaderJob) time.Duration {
	least := time.Duration(-1)
	for _, t := range r.l.c.fleet.types {
		if !capacityOf(t).fits(j.spec) {
			continue
		}
		if d := seconds(t.BootS) + fetchTime(j.image, t); least < 0 || d < least {
			least = d
		}
	}
	return max(0, least)
}

// rentable is a kind of machine that a task could be rented.
type rentable struct {
	kind     variant
	cost     float64       // of the room that the task takes, per hour
	fetch    time.Duration // of the task's image
	machines int           // in the same zone, there or to come
}

// best chooses what to rent for a task: the cheapest by the room the task takes,
// and of equals the zone with fewer machines. For a replica of a service kinds
// count as equal that cost little more, and the one that fetches soonest is taken:
// replicas are wanted back at once, and stay.
func (r *renting) best(j *leaderJob, now time.Duration, ask map[variant]int) (variant, bool) {
	choices := r.rentables(j, now, ask)
	if len(choices) == 0 {
		return variant{}, false
	}
	least := math.Inf(1)
	for _, c := range choices {
		least = math.Min(least, c.cost)
	}
	most := least + costTolerance
	if j.spec.Service {
		most = least * servicePremium
	}
	var best *rentable
	for i := range choices {
		c := &choices[i]
		if c.cost <= most && (best == nil || c.preferredTo(best, j.spec.Service)) {
			best = c
		}
	}
	return best.kind, true
}

// preferredTo compares kinds that are about as cheap.
func (a *rentable) preferredTo(b *rentable, service bool) bool {
	switch {
	case service && a.fetch != b.fetch:
		return a.fetch < b.fetch
	case math.Abs(a.cost-b.cost) > costTolerance:
		return a.cost < b.cost
	}
	return a.machines < b.machines
}

// rentables lists the kinds that a task may be rented now.
func (r *renting) rentables(j *leaderJob, now time.Duration, ask map[variant]int) []rentable {
	asked := make(map[string]int)
	for v, n := range ask {
		asked[v.zone] += n
	}
	var out []rentable
	for name, t := range r.l.c.fleet.types {
		if !capacityOf(t).fits(j.spec) || r.l.keptForOthers(j, name) {
			continue
		}
		part := partOf(t, j.spec)
		for _, zone := range t.Zones {
			for _, spot := range []bool{true, false} {
				v := variant{name, zone, spot}
				if r.refused[v] > now || !allows(j.spec, v) {
					continue
				}
				price := t.Price
				if spot {
					price = t.SpotPrice
				}
				out = append(out, rentable{kind: v, cost: price * part, fetch: fetchTime(j.image, t), machines: r.inZone[zone] + asked[zone]})
			}
		}
	}
	return out
}

// partOf is the part of a machine that a task takes.
func partOf(t *protocol.MachineType, s *meshpb.JobSummary) float64 {
	part := math.Max(s.Cpus/math.Max(t.CPUs, 1e-9), s.MemoryGb/math.Max(t.MemoryGB, 1e-9))
	if t.GPUs > 0 {
		part = math.Max(part, s.Gpus/t.GPUs)
	}
	return part
}

// available tells whether a machine for a job's tasks can be had or is to come.
func (r *renting) available(j *leaderJob, now time.Duration) bool {
	if _, ok := r.best(j, now, nil); ok || now-r.l.since < settleIn {
		return true
	}
	for v, n := range r.booting {
		if n > 0 && allows(j.spec, v) {
			return true
		}
	}
	return false
}
