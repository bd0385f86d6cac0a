package coordination

import (
	"fmt"
	"math"
	"sort"
	"time"

	"github.com/cobaltvale/cobaltvale/internal/bookkeeping"
	"github.com/cobaltvale/cobaltvale/internal/protocol"
	"github.com/cobaltvale/cobaltvale/internal/protocol/meshpb"
)

const (
	maxRent        = 50  // machines in one request
	maxRelease     = 100 // names in one request
	refusedPause   = 12 * time.Second
	minCharge      = 60 * time.Second // what a machine costs at the least
	bootFactor     = 3.0              // a boot this many times longer than usual has failed
	bootGrace      = 10 * time.Second
	settleIn       = 6 * time.Second // a new leader looks before it rents
	maxRentPerTick = 60
	rentTries      = 20
	waveShare      = 0.25 // of a deadline's slack that waiting in line may take
)

// variant is what can be rented.
type variant struct {
	typ, zone string
	spot      bool
}

// rentRequest is repeated under its name until it is answered: a repeated
// request rents nothing more.
type rentRequest struct {
	protocol.RentRequest
	v     variant
	tries int
	busy  bool
	next  time.Duration
}

// renting sizes the fleet.
type renting struct {
	l        *leader
	seq      int
	refused  map[variant]time.Duration
	requests []*rentRequest
	trouble  time.Duration // no requests before
	needs    map[string]time.Duration
	busy     int // release calls in flight
}

func (r *renting) init(l *leader) {
	r.l = l
	r.refused = make(map[variant]time.Duration)
	r.needs = make(map[string]time.Duration)
}

// onList takes in what a list says of machines that have not reported.
func (r *renting) onList(now time.Duration) {
	for name, e := range r.l.c.fleet.listed {
		if m := r.l.machines[name]; m != nil && m.rentedAt == 0 {
			m.rentedAt = now - seconds(e.AgeS)
		}
	}
}

// scarce tells whether some job of late can run on no other type than typ.
func (r *renting) scarce(typ string, now time.Duration) bool {
	at, ok := r.needs[typ]
	return ok && now-at < keptFor
}

// onlyType is the one type that a task fits on, or none if there are several.
func (r *renting) onlyType(s *meshpb.JobDemand) string {
	only := ""
	for name, t := range r.l.c.fleet.types {
		whole := room{t.CPUs, t.GPUs, t.MemoryGB}
		if !whole.fits(s) || !(s.AnyType || allows(s, name, s.Zone, s.Spot)) {
			continue
		}
		if only != "" {
			return ""
		}
		only = name
	}
	return only
}

func (r *renting) tick(now time.Duration) {
	types := r.l.c.fleet.types
	if len(types) == 0 {
		return
	}
	for _, j := range r.l.jobs {
		if j.closed || j.spec == nil || j.waiting+j.located == 0 {
			continue
		}
		if only := r.onlyType(j.spec); only != "" {
			r.needs[only] = now
		}
	}
	r.release(now)
	r.resend(now)
	if now-r.l.since >= settleIn && now >= r.trouble {
		r.rent(now)
	}
}

// supply is a machine, there or to come, with its free room.
type supply struct {
	m    *machine
	v    variant
	room room
}

func (r *renting) supplies(now time.Duration) []*supply {
	var out []*supply
	for _, m := range r.l.machines {
		t := r.l.c.fleet.types[m.typ]
		if t == nil || m.gone || m.leaving || m.sick {
			continue
		}
		v := variant{m.typ, m.zone, m.spot}
		switch {
		case r.l.usable(m, now):
			out = append(out, &supply{m: m, v: v, room: r.soonFree(m, t, now)})
		case !m.reported && now-m.rentedAt < r.bootLimit(t):
			out = append(out, &supply{m: m, v: v, room: room{t.CPUs, t.GPUs, t.MemoryGB}})
		}
	}
	for _, q := range r.requests {
		if t := r.l.c.fleet.types[q.v.typ]; t != nil {
			for range q.Count {
				out = append(out, &supply{v: q.v, room: room{t.CPUs, t.GPUs, t.MemoryGB}})
			}
		}
	}
	sort.Slice(out, func(i, k int) bool { return out[i].room.cpus < out[k].room.cpus })
	return out
}

// soonFree is the room a machine has free by the time that another one, were
// it rented now, would usually be up.
func (r *renting) soonFree(m *machine, t *protocol.MachineType, now time.Duration) room {
	free := r.l.free(m)
	for i := range m.tasks {
		p := &m.tasks[i]
		if p.state != protocol.TaskRunning || p.job == nil || p.job.spec == nil {
			continue
		}
		if left := r.l.runTime(p.job.spec) - (now - p.since); left < seconds(t.BootS) && left > -seconds(t.BootS) {
			free.cpus += p.cpus
			free.gpus += p.gpus
			free.memory += p.memory
		}
	}
	return free
}

func (r *renting) bootLimit(t *protocol.MachineType) time.Duration {
	return seconds(t.BootS*bootFactor) + bootGrace
}

// wanted is how many of a job's waiting tasks should have room soon. Urgent
// work wants all at once; other work may take turns on the same machines as
// long as its deadline leaves time for that.
func (r *renting) wanted(j *leaderJob, wallMs int64) int {
	n := max(0, j.waiting-j.offered)
	if j.team.cfg.CPUsMax > 0 && j.spec.Cpus > 0 {
		n = min(n, int(math.Max(0, j.team.cfg.CPUsMax-j.team.cpus)/j.spec.Cpus))
	}
	if j.prio >= protocol.PriorityHigh || j.spec.DeadlineMs == 0 || n == 0 {
		return n
	}
	run := r.l.runTime(j.spec).Seconds()
	slack := float64(j.spec.DeadlineMs-wallMs)/1000 - run
	if slack <= run || run <= 0 {
		return n
	}
	waves := 1 + slack*waveShare/run
	return min(n, max(0, int(math.Ceil(float64(n+j.located)/waves))-j.located))
}

// rent asks for machines for the waiting tasks that no machine, there or to
// come, has room for.
func (r *renting) rent(now time.Duration) {
	r.l.countTeams()
	wall := r.l.c.env.Wall().UnixMilli()
	jobs := make([]*leaderJob, 0, len(r.l.jobs))
	for _, j := range r.l.jobs {
		if !j.closed && j.team != nil && j.spec != nil && j.ledger.from != nil && j.waiting > j.offered {
			jobs = append(jobs, j)
		}
	}
	if len(jobs) == 0 {
		return
	}
	ranks := make(map[*leaderJob]rank, len(jobs))
	for _, j := range jobs {
		ranks[j] = r.l.rankOf(j, wall)
	}
	sort.Slice(jobs, func(i, k int) bool {
		a, b := ranks[jobs[i]], ranks[jobs[k]]
		if a == b {
			return jobs[i].id < jobs[k].id
		}
		return a.before(b)
	})
	have := r.supplies(now)
	ask := make(map[variant]int)
	left := maxRentPerTick
	for _, j := range jobs {
		n := r.wanted(j, wall)
		kept := make(map[string]bool, len(r.l.c.fleet.types))
		for name := range r.l.c.fleet.types {
			kept[name] = r.l.keptForOthers(j.spec, name)
		}
		for _, s := range have {
			if n == 0 {
				break
			}
			if kept[s.v.typ] || !allows(j.spec, s.v.typ, s.v.zone, s.v.spot) {
				continue
			}
			for n > 0 && s.room.fits(j.spec) {
				s.room.take(j.spec)
				n--
			}
		}
		for n > 0 && left > 0 {
			v, ok := r.best(j.spec, now, ask)
			if !ok {
				break
			}
			t := r.l.c.fleet.types[v.typ]
			s := &supply{v: v, room: room{t.CPUs, t.GPUs, t.MemoryGB}}
			for n > 0 && s.room.fits(j.spec) {
				s.room.take(j.spec)
				n--
			}
			have = append(have, s)
			ask[v]++
			left--
		}
	}
	for v, n := range ask {
		for n > 0 {
			k := min(n, maxRent)
			r.seq++
			r.requests = append(r.requests, &rentRequest{v: v, RentRequest: protocol.RentRequest{
				Request: fmt.Sprintf("r-%d-%d", r.l.token, r.seq), Type: v.typ, Zone: v.zone, Spot: v.spot, Count: k}})
			n -= k
		}
	}
	r.resend(now)
}

// best chooses what to rent for a task: the cheapest by the room the task
// takes, and of equals the zone with fewer machines.
func (r *renting) best(s *meshpb.JobDemand, now time.Duration, ask map[variant]int) (variant, bool) {
	inZone := make(map[string]int)
	for _, m := range r.l.machines {
		if !m.gone {
			inZone[m.zone]++
		}
	}
	for v, n := range ask {
		inZone[v.zone] += n
	}
	var best variant
	found, bestCost, bestCount := false, 0.0, 0
	for name, t := range r.l.c.fleet.types {
		whole := room{t.CPUs, t.GPUs, t.MemoryGB}
		if !whole.fits(s) || r.l.keptForOthers(s, name) {
			continue
		}
		part := math.Max(s.Cpus/math.Max(t.CPUs, 1e-9), s.MemoryGb/math.Max(t.MemoryGB, 1e-9))
		if t.GPUs > 0 {
			part = math.Max(part, s.Gpus/t.GPUs)
		}
		for _, z := range t.Zones {
			for _, spot := range []bool{true, false} {
				v := variant{name, z, spot}
				if r.refused[v] > now || !allows(s, name, z, spot) {
					continue
				}
				cost := t.Price * part
				if spot {
					cost = t.SpotPrice * part
				}
				if !found || cost < bestCost-1e-12 || (cost <= bestCost+1e-12 && inZone[z] < bestCount) {
					best, found, bestCost, bestCount = v, true, cost, inZone[z]
				}
			}
		}
	}
	return best, found
}

// available tells whether a machine for a task can be had or is to come.
func (r *renting) available(s *meshpb.JobDemand, now time.Duration) bool {
	if _, ok := r.best(s, now, nil); ok || now-r.l.since < settleIn {
		return true
	}
	for _, m := range r.l.machines {
		t := r.l.c.fleet.types[m.typ]
		if t != nil && !m.gone && !m.leaving && !m.reported && now-m.rentedAt < r.bootLimit(t) && allows(s, m.typ, m.zone, m.spot) {
			return true
		}
	}
	return false
}

// resend sends the requests that wait for an answer.
func (r *renting) resend(now time.Duration) {
	for _, q := range r.requests {
		if q.busy || now < q.next || now < r.trouble || !r.l.c.fleet.allow(now) {
			continue
		}
		q.busy = true
		q.tries++
		r.l.c.env.Cloud.Call("POST", "/hosts", r.l.c.codec.Encode(q.RentRequest), cloudTimeout, func(res bookkeeping.Result) {
			if r.l.c.leader == r.l {
				r.answered(q, res)
			}
		})
	}
}

func (r *renting) answered(q *rentRequest, res bookkeeping.Result) {
	now := r.l.c.now()
	q.busy = false
	done := true
	switch res.Status {
	case 200:
		var names protocol.MachineNames
		if r.l.c.codec.Decode(res.Body, &names) != nil {
			break
		}
		for _, n := range names.Machines {
			m := r.l.machines[n]
			if m == nil {
				m = &machine{name: n, typ: q.v.typ, zone: q.v.zone, spot: q.v.spot}
				r.l.machines[n] = m
			}
			if m.rentedAt == 0 {
				m.rentedAt = now
			}
		}
		if len(names.Machines) < q.Count {
			r.refused[q.v] = now + refusedPause
		}
	case 400:
		r.refused[q.v] = now + 10*refusedPause
		r.l.c.log.Error().Str("type", q.v.typ).Str("zone", q.v.zone).Msg("cloud calls a rental request malformed")
	case 503:
		var e protocol.ErrorBody
		if r.l.c.codec.Decode(res.Body, &e) == nil && e.Error == "no capacity" {
			r.refused[q.v] = now + refusedPause
			break
		}
		r.trouble = now + cloudRetry
	case 429:
		q.next = now + cloudRetry
		done = false
	default:
		// It may have been carried out: the same name asks what came of it.
		q.next = now + cloudRetry
		done = q.tries >= rentTries
	}
	if !done {
		return
	}
	for i, x := range r.requests {
		if x == q {
			r.requests = append(r.requests[:i], r.requests[i+1:]...)
			break
		}
	}
}

// release returns machines: idle ones, sick and noticed ones once they are
// empty, boots that failed, and silent ones, whose end is proof sooner than
// their lease.
func (r *renting) release(now time.Duration) {
	silent := make(map[string]int)
	all := make(map[string]int)
	for _, m := range r.l.machines {
		if m.gone || !m.reported {
			continue
		}
		all[m.zone]++
		if r.silence(m, now) > 0 {
			silent[m.zone]++
		}
	}
	keep := r.spare(now)
	var names []string
	for _, m := range r.l.machines {
		if m.gone {
			if e, ok := r.l.c.fleet.listed[m.name]; ok && e.Status == "failed" && !m.releasing {
				names = append(names, m.name)
			}
			continue
		}
		if !m.leaving && r.unwanted(m, now, silent, all, keep) {
			m.leaving = true
		}
		if m.leaving && !m.releasing && m.pending == nil {
			names = append(names, m.name)
		}
	}
	sort.Strings(names)
	for len(names) > 0 && r.busy < 2 && now >= r.trouble && r.l.c.fleet.allow(now) {
		n := min(len(names), maxRelease)
		r.send(names[:n])
		names = names[n:]
	}
}

func (r *renting) send(names []string) {
	r.busy++
	for _, n := range names {
		r.l.machines[n].releasing = true
	}
	r.l.c.env.Cloud.Call("POST", "/hosts/release", r.l.c.codec.Encode(protocol.MachineNames{Machines: names}), cloudTimeout, func(res bookkeeping.Result) {
		if r.l.c.leader != r.l {
			return
		}
		r.busy--
		for _, n := range names {
			m := r.l.machines[n]
			if m == nil {
				continue
			}
			if res.Status == 200 {
				r.l.goneForGood(m)
				continue
			}
			m.releasing = false
		}
		if res.Status != 200 {
			r.trouble = r.l.c.now() + cloudRetry
		}
	})
}

// silence is how long a machine has been silent beyond the limit.
func (r *renting) silence(m *machine, now time.Duration) time.Duration {
	return now - max(m.heard, r.l.actingAt) - r.l.c.silenceAfter()
}

// spare counts, by variant, the machines that the waiting tasks can use.
func (r *renting) spare(now time.Duration) map[*machine]bool {
	keep := make(map[*machine]bool)
	have := r.supplies(now)
	for _, j := range r.l.jobs {
		if j.closed || j.team == nil || j.spec == nil {
			continue
		}
		n := max(0, j.waiting-j.offered)
		for _, s := range have {
			if n == 0 {
				break
			}
			if !allows(j.spec, s.v.typ, s.v.zone, s.v.spot) {
				continue
			}
			for n > 0 && s.room.fits(j.spec) {
				s.room.take(j.spec)
				n--
				keep[s.m] = true
			}
		}
	}
	return keep
}

func (r *renting) unwanted(m *machine, now time.Duration, silent, all map[string]int, keep map[*machine]bool) bool {
	t := r.l.c.fleet.types[m.typ]
	if r.l.vanished(m, now) {
		return true
	}
	if !m.reported {
		// A boot that failed is charged until it is returned.
		return t != nil && m.rentedAt != 0 && now-m.rentedAt > r.bootLimit(t) && now-r.l.since > bootGrace
	}
	if r.holdsEnded(m, now) {
		return true
	}
	if quiet := r.silence(m, now); quiet > 0 {
		few := silent[m.zone] <= max(1, all[m.zone]/8)
		return (few && len(m.tasks)+len(m.sent) > 0) || quiet > r.l.c.leaseSpan()
	}
	if !m.empty() {
		return false
	}
	if m.sick || m.noticeAt > 0 {
		return true
	}
	idle := r.l.c.tune.IdleReturn
	if !m.spot {
		idle /= 2 // it costs several times as much
	}
	return !keep[m] && now-m.idleSince > idle && now-m.rentedAt > minCharge
}

// holdsEnded tells whether a machine still holds a task of a job that was over
// long ago, although every answer to it asks for the task's end: whatever the
// cause, returning the machine ends the task in time (ran_cancelled).
func (r *renting) holdsEnded(m *machine, now time.Duration) bool {
	limit := seconds(r.l.c.cfg.Settings.Workers.CancelS / 3)
	for i := range m.tasks {
		t := &m.tasks[i]
		if t.state != protocol.TaskExited && t.job != nil && t.job.closed && now-t.job.closedAt > limit {
			return true
		}
	}
	return false
}

// empty tells whether nothing is on the machine or on its way there. An
// ended task counts: its result may not be written yet.
func (m *machine) empty() bool {
	return len(m.tasks)+len(m.sent) == 0 && m.pending == nil
}
