package coordination

import (
	"math"
	"time"

	"github.com/cobaltvale/cobaltvale/internal/protocol"
	"github.com/cobaltvale/cobaltvale/internal/protocol/meshpb"
)

const (
	serviceSeen  = 10 * time.Minute // for how long a kind of service counts
	serviceKinds = 64
	maxReplicas  = 1000        // that are counted on one machine
	slowBoot     = 1.5         // times the usual boot, that one may take
	standbyPart  = 20          // of the fleet's CPUs, that are kept for prompt starts at the most
	expectedPart = 50          // of all machines, that are kept for services before any was seen
	contendedFor = time.Minute // after the cloud refused a type, others need what there is of it
	dueWithin    = 2           // part of a fetch in which a report has to be due, to be waited for
	spreadOver   = 4           // machines over which standby room is spread, so that some report comes soon
)

// standby is the room kept for replicas of services: those that come, and those
// that are lost and have to be back at once, although a machine takes longer to
// boot than the users want to wait. Unlike arrays, services may often not use spot
// machines, and their replicas stay.
type standby struct {
	l        *leader
	kinds    map[serviceKind]*serviceLoad
	expected map[string]bool   // classes whose starts the users want soon, of which no job was seen
	want     map[variant]spare // room that should be free, by kind
	has      map[variant]spare // of this, what there is
	at       time.Duration     // when that was worked out
	marked   []*machine        // that it is kept free on
	roomy    []*machine        // that have room for services, marked or not
}

// spare is machines with room for replicas, and how many of these fit on them.
type spare struct{ machines, replicas int }

// serviceKind is services that need the same of a machine.
type serviceKind struct {
	class, zone        string
	spot               bool
	cpus, gpus, memory float64
}

// serviceLoad is what came of a kind lately.
type serviceLoad struct {
	spec  *meshpb.JobSummary
	image *image // of the latest
	at    []serviceArrival
}

type serviceArrival struct {
	at    time.Duration
	tasks int
}

func (s *standby) init(l *leader) {
	s.l = l
	s.kinds = make(map[serviceKind]*serviceLoad)
	s.expected = make(map[string]bool)
	for _, o := range l.c.cfg.Settings.Objectives {
		if o.Kind == "wait" || o.Kind == "up" {
			s.expected[o.Class] = true
		}
	}
}

// note takes in a new service.
func (s *standby) note(j *leaderJob, now time.Duration) {
	d := j.spec
	k := serviceKind{d.Class, d.Zone, d.Spot, d.Cpus, d.Gpus, d.MemoryGb}
	load := s.kinds[k]
	if load == nil {
		if len(s.kinds) >= serviceKinds {
			return
		}
		load = &serviceLoad{}
		s.kinds[k] = load
	}
	load.spec, load.image = d, j.image
	age := time.Duration(s.l.c.env.Wall().UnixMilli()-d.SubmittedMs) * time.Millisecond
	if len(load.at) < maxArrivals {
		load.at = append(load.at, serviceArrival{now - max(0, age), int(d.Tasks)})
	}
}

// weigh works out how many machines of each kind should have room free for the
// largest service of late, and for as many replicas as come, of late, while a
// machine boots; and marks as many. What is marked takes nothing but services.
func (s *standby) weigh(now time.Duration) {
	s.at = now
	s.want, s.has, s.marked = make(map[variant]spare), make(map[variant]spare), s.marked[:0]
	for key, load := range s.kinds {
		kept := load.at[:0]
		for _, a := range load.at {
			if now-a.at <= serviceSeen {
				kept = append(kept, a)
			}
		}
		if load.at = kept; len(kept) == 0 {
			delete(s.kinds, key)
			continue
		}
		s.weighKind(load, now)
	}
	if len(s.expected) > 0 {
		s.weighExpected()
	}
	// Those marked before stay so: they hold services already, and their images.
	s.roomy = s.roomy[:0]
	for _, first := range []bool{true, false} {
		for m := range s.l.machines.all {
			was := m.standby
			if first && len(s.kinds) > 0 && s.l.usable(m, now) && s.roomFor(m) > 0 {
				s.roomy = append(s.roomy, m)
			}
			if first {
				m.standby = was && s.counts(m, now)
			} else if !was && s.counts(m, now) {
				m.standby = true
			}
		}
	}
}

// claim marks a machine that is about to be offered, if its room is wanted: one
// that has just come up would be full before the next second.
func (s *standby) claim(m *machine, now time.Duration) {
	if now-s.at > time.Second {
		s.weigh(now)
	}
	if !m.standby {
		m.standby = s.counts(m, now)
	}
}

// counts takes a machine in if it has room for services and more is wanted.
func (s *standby) counts(m *machine, now time.Duration) bool {
	w, h := s.want[m.variant], s.has[m.variant]
	if (h.machines >= w.machines && h.replicas >= w.replicas) || !s.l.usable(m, now) {
		return false
	}
	n := s.roomFor(m)
	if n == 0 {
		return false
	}
	s.has[m.variant] = spare{h.machines + 1, h.replicas + n}
	s.marked = append(s.marked, m)
	return true
}

// replicasPerMachine is how many replicas of some kind fit on an empty machine.
func (s *standby) replicasPerMachine(v variant) int {
	t, most := s.l.c.fleet.types[v.typ], 1
	for _, load := range s.kinds {
		if t != nil && allows(load.spec, v) {
			most = max(most, int(fitting(t, &leaderJob{spec: load.spec})))
		}
	}
	return most
}

// weighExpected keeps a few ordinary machines, in all zones: services may begin on a
// running day, and those that come in the time in which more machines boot have to
// find room. In a large fleet they cost little.
func (s *standby) weighExpected() {
	best := s.soonest()
	if best == nil {
		return
	}
	n := max(spreadOver, min(2*spreadOver, s.l.rent.there/expectedPart))
	for _, z := range best.Zones {
		v := variant{best.Name, z, false}
		s.add(v, spare{machines: (n + len(best.Zones) - 1) / len(best.Zones)})
	}
}

// soonest is the type that boots soonest of those about as cheap by their CPUs as
// the cheapest: what services will need of a machine is not known yet.
func (s *standby) soonest() *protocol.MachineType {
	perCPU := func(t *protocol.MachineType) float64 { return t.Price / math.Max(t.CPUs, 1) }
	least := math.Inf(1)
	for _, t := range s.l.c.fleet.types {
		least = math.Min(least, perCPU(t))
	}
	var best *protocol.MachineType
	for _, t := range s.l.c.fleet.types {
		if perCPU(t) > least*servicePremium {
			continue
		}
		if best == nil || t.BootS < best.BootS || (t.BootS == best.BootS && t.Name < best.Name) {
			best = t
		}
	}
	return best
}

func (s *standby) weighKind(load *serviceLoad, now time.Duration) {
	j := &leaderJob{spec: load.spec, image: load.image, only: s.l.rent.onlyType(load.spec)}
	// The kind counts whether or not the cloud refuses it at present: then what is
	// there has to be kept all the more.
	v, ok := s.l.rent.best(j, time.Duration(math.MaxInt64), nil)
	if !ok {
		return
	}
	t := s.l.c.fleet.types[v.typ]
	largest, tasks, squares := 0.0, 0.0, 0.0
	for _, a := range load.at {
		n := float64(a.tasks)
		largest = math.Max(largest, n)
		if now-a.at <= seenFor {
			tasks += n
			squares += n * n
		}
	}
	// What comes while a machine boots has to find room on those that are there;
	// how far it swings above its mean see forecast.
	span := math.Min(seenFor.Seconds(), (now - s.l.since + settleIn).Seconds())
	lead := t.BootS * slowBoot / span
	replicas := largest + tasks*lead + surely*math.Sqrt(squares*lead)
	n := spare{max(min(s.prompt(load.spec.Class, largest), s.affordable(t, v, now)), min(spreadOver, int(largest))), int(math.Ceil(replicas))}
	if load.spec.Zone != "" {
		s.add(v, n)
		return
	}
	// Each zone has its part, whether or not the job has to spread: one that is cut
	// off takes no more than that with it.
	parts := max(1, len(t.Zones))
	for _, z := range t.Zones {
		s.add(variant{v.typ, z, v.spot}, spare{(n.machines + parts - 1) / parts, (n.replicas + parts - 1) / parts})
	}
}

// add wants at least that much room of a kind.
func (s *standby) add(v variant, n spare) {
	w := s.want[v]
	s.want[v] = spare{max(w.machines, n.machines), max(w.replicas, n.replicas)}
}

// affordable is how many machines of a type may be kept for prompt starts: those
// that make up a small part of the fleet's CPUs, and none while the cloud has too
// few for work that fits on no other type.
func (s *standby) affordable(t *protocol.MachineType, v variant, now time.Duration) int {
	refusedTo, refused := s.l.rent.refused[v]
	if refused && now < refusedTo+contendedFor && s.l.rent.scarce(t.Name, now) {
		return 0
	}
	return int(s.l.rent.cpus / standbyPart / math.Max(t.CPUs, 1))
}

// prompt is how many machines have to have room for the last of a service's tasks
// to find one that reports within half of the time in which the users want it
// started, if each gets one: reports come apart by their interval.
func (s *standby) prompt(class string, tasks float64) int {
	_, within := s.l.forecast.startObjective(class)
	if within <= 0 {
		return 0
	}
	return int(math.Ceil(2 * tasks * s.l.c.cfg.Settings.Workers.HeartbeatIntervalS / within))
}

// roomFor is how many replicas of a kind that room is kept for a machine has room
// for.
func (s *standby) roomFor(m *machine) int {
	most := 0
	for _, load := range s.kinds {
		if !allows(load.spec, m.variant) {
			continue
		}
		n := 0
		for free := m.free; free.fits(load.spec) && n < maxReplicas; n++ {
			free.take(load.spec)
		}
		most = max(most, n)
	}
	if len(s.kinds) == 0 && m.empty() {
		return 1
	}
	return most
}

// ask asks for the machines that are wanted and neither there nor to come.
func (s *standby) ask(ask map[variant]int, left int, now time.Duration) {
	if len(s.kinds) == 0 && now-s.l.since < settleIn {
		return // classes are yet to be seen
	}
	coming := make(map[variant]int)
	for v, n := range s.l.rent.booting {
		coming[v] += n
	}
	for _, q := range s.l.rent.requests {
		coming[q.v] += q.Count
	}
	for v, w := range s.want {
		h, whole := s.has[v], s.replicasPerMachine(v)
		n := max(w.machines-h.machines, (w.replicas-h.replicas+whole-1)/whole) - coming[v]
		for ; n > 0 && left > 0 && s.l.rent.refused[v] <= now; n-- {
			ask[v]++
			s.l.rent.ofType[v.typ]++
			left--
		}
	}
}

// takes tells whether some machine besides the given one has room kept for a
// service's replica.
func (s *standby) takes(j *leaderJob, m *machine, now time.Duration) bool {
	for _, o := range s.marked {
		if o != m && o.free.fits(j.spec) && allows(j.spec, o.variant) && s.l.usable(o, now) && !s.l.failsHere(j, o) {
			return true
		}
	}
	return false
}

// hasImage tells whether another machine of the zone, with room kept for a
// service's replica, has its image, and to wait for that one's report takes less
// than to fetch the image anew: a fetch takes longer than all reports come apart,
// or its next report is due within half of a fetch.
func (s *standby) hasImage(j *leaderJob, m *machine, now time.Duration) bool {
	if !j.spec.Service || m.has(j.image) {
		return false
	}
	fetch := fetchTime(j.image, s.l.c.fleet.types[m.typ])
	interval := seconds(s.l.c.cfg.Settings.Workers.HeartbeatIntervalS)
	for _, o := range s.marked {
		if o != m && o.zone == m.zone && o.has(j.image) && o.free.fits(j.spec) && allows(j.spec, o.variant) &&
			s.l.usable(o, now) && !s.l.failsHere(j, o) && !s.l.crowded(j, o) &&
			(fetch > interval || o.heard+interval-now < fetch/dueWithin) {
			return true
		}
	}
	return false
}

// spreadOf is over how many machines of a zone a service's replicas are spread at
// the least: three, or two where starts are wanted within one report's interval, as
// the last of them waits for as many reports.
func (s *standby) spreadOf(class string) int {
	if _, within := s.l.forecast.startObjective(class); within > 0 && within < s.l.c.cfg.Settings.Workers.HeartbeatIntervalS {
		return 2
	}
	return 3
}

// crowded tells whether a machine has its part of a service's tasks, while others
// of its zone have room too: the loss of one should not take most of them. Of three
// or more machines each takes a third.
func (l *leader) crowded(j *leaderJob, m *machine) bool {
	if !j.spec.Service {
		return false
	}
	now, choices, most := l.c.now(), 1, l.standby.spreadOf(j.spec.Class)
	for _, o := range l.standby.roomy {
		if choices == most {
			break
		}
		if o != m && o.zone == m.zone && o.free.fits(j.spec) && allows(j.spec, o.variant) && l.usable(o, now) && !l.failsHere(j, o) {
			choices++
		}
	}
	if choices == 1 {
		return false
	}
	n := 0
	for _, list := range [][]placed{m.tasks, m.sent} {
		for i := range list {
			if list[i].job == j && list[i].state != protocol.TaskExited {
				n++
			}
		}
	}
	if m.offering != nil {
		for _, o := range m.offering.open {
			for _, it := range o.items {
				if it.job == j {
					n += it.n
				}
			}
		}
	}
	return n >= (int(j.spec.Tasks)+choices-1)/choices
}
