package coordination

import (
	"math"
	"time"

	"github.com/cobaltvale/cobaltvale/internal/forecast"
	"github.com/cobaltvale/cobaltvale/internal/protocol"
	"github.com/cobaltvale/cobaltvale/internal/protocol/meshpb"
)

const (
	maxServiceShapes        = 64
	maxCountedReplicas      = 1000        // that are counted on one machine
	promptStartDivisor      = 20          // of the fleet's CPUs, that are kept for prompt starts at the most
	expectedMachinesDivisor = 50          // of all machines, that are kept for services before any was seen
	contentionWindow        = time.Minute // after the cloud refused a type, others need what there is of it
	dueFetchDivisor         = 2           // part of a fetch in which a report has to be due, to be waited for
	minSpreadMachines       = 4           // machines over which standby room is spread, so that some report comes soon
)

// warmPool is the room kept for replicas of services: those that come, and those
// that are lost and have to be back at once, although a machine takes longer to
// boot than the users want to wait. Unlike arrays, services may often not use spot
// machines, and their replicas stay.
type warmPool struct {
	leader          *leader
	loads           map[serviceShape]*serviceLoad
	expectedClasses map[string]bool          // classes whose starts the users want soon, of which no job was seen
	target          map[machineKind]headroom // room that should be free, by kind
	reserved        map[machineKind]headroom // of this, what there is
	sizedAt         time.Duration            // when that was worked out
	members         []*machine               // that it is kept free on
	serviceCapable  []*machine               // that have room for services, marked or not
}

// headroom is machines with room for replicas, and how many of these fit on them.
type headroom struct{ machines, replicas int }

// serviceShape is services that need the same of a machine.
type serviceShape struct {
	class, zone        string
	spot               bool
	cpus, gpus, memory float64
}

// serviceLoad is what came of a kind lately.
type serviceLoad struct {
	spec     *meshpb.JobSummary
	image    *image // of the latest
	arrivals forecast.Services
}

func (s *warmPool) init(l *leader) {
	s.leader = l
	s.loads = make(map[serviceShape]*serviceLoad)
	s.expectedClasses = make(map[string]bool)
	for _, o := range l.c.cfg.Settings.Objectives {
		if o.Kind == "wait" || o.Kind == "up" {
			s.expectedClasses[o.Class] = true
		}
	}
}

// classSeen notes that a job of a class has arrived.
func (s *warmPool) classSeen(class string) { delete(s.expectedClasses, class) }

// observe takes in a new service that was submitted at a time.
func (s *warmPool) observe(j *trackedJob, submitted time.Duration) {
	d := j.spec
	k := serviceShape{d.Class, d.Zone, d.Spot, d.Cpus, d.Gpus, d.MemoryGb}
	load := s.loads[k]
	if load == nil {
		if len(s.loads) >= maxServiceShapes {
			return
		}
		load = &serviceLoad{}
		s.loads[k] = load
	}
	load.spec, load.image = d, j.image
	load.arrivals.Observe(submitted, int(d.Tasks))
}

// resize works out how many machines of each kind should have room free for the
// largest service of late, and for as many replicas as come, of late, while a
// machine boots; and marks as many. What is marked takes nothing but services.
func (s *warmPool) resize(now time.Duration) {
	s.sizedAt = now
	s.target, s.reserved, s.members = make(map[machineKind]headroom), make(map[machineKind]headroom), s.members[:0]
	for key, load := range s.loads {
		if !load.arrivals.Expire(now) {
			delete(s.loads, key)
			continue
		}
		s.sizeForShape(load, now)
	}
	if len(s.expectedClasses) > 0 {
		s.sizeForExpected()
	}
	// Those marked before stay so: they hold services already, and their images.
	s.serviceCapable = s.serviceCapable[:0]
	for _, first := range []bool{true, false} {
		for m := range s.leader.machines.all {
			was := m.inWarmPool
			if first && len(s.loads) > 0 && s.leader.schedulable(m, now) && s.replicaCapacity(m) > 0 {
				s.serviceCapable = append(s.serviceCapable, m)
			}
			if first {
				m.inWarmPool = was && s.reserve(m, now)
			} else if !was && s.reserve(m, now) {
				m.inWarmPool = true
			}
		}
	}
}

// claimMachine marks a machine that is about to be offered, if its room is wanted: one
// that has just come up would be full before the next second.
func (s *warmPool) claimMachine(m *machine, now time.Duration) {
	if now-s.sizedAt > time.Second {
		s.resize(now)
	}
	if !m.inWarmPool {
		m.inWarmPool = s.reserve(m, now)
	}
}

// reserve takes a machine in if it has room for services and more is wanted.
func (s *warmPool) reserve(m *machine, now time.Duration) bool {
	w, h := s.target[m.machineKind], s.reserved[m.machineKind]
	if (h.machines >= w.machines && h.replicas >= w.replicas) || !s.leader.schedulable(m, now) {
		return false
	}
	n := s.replicaCapacity(m)
	if n == 0 {
		return false
	}
	s.reserved[m.machineKind] = headroom{h.machines + 1, h.replicas + n}
	s.members = append(s.members, m)
	return true
}

// replicasPerMachine is how many replicas of some kind fit on an empty machine.
func (s *warmPool) replicasPerMachine(v machineKind) int {
	t, most := s.leader.c.cloud.Type(v.typeName), 1
	for _, load := range s.loads {
		if t != nil && permits(load.spec, v) {
			most = max(most, int(tasksPerMachine(t, load.spec)))
		}
	}
	return most
}

// sizeForExpected keeps a few ordinary machines, in all zones: services may begin on a
// running day, and those that come in the time in which more machines boot have to
// find room. In a large fleet they cost little.
func (s *warmPool) sizeForExpected() {
	best := s.fastestBootingType()
	if best == nil {
		return
	}
	n := max(minSpreadMachines, min(2*minSpreadMachines, s.leader.autoscaler.reportedMachines/expectedMachinesDivisor))
	for _, z := range best.Zones {
		v := machineKind{best.Name, z, false}
		s.raiseTarget(v, headroom{machines: (n + len(best.Zones) - 1) / len(best.Zones)})
	}
}

// fastestBootingType is the type that boots soonest of those about as cheap by their CPUs as
// the cheapest: what services will need of a machine is not known yet.
func (s *warmPool) fastestBootingType() *protocol.MachineType {
	perCPU := func(t *protocol.MachineType) float64 { return t.Price / math.Max(t.CPUs, 1) }
	least := math.Inf(1)
	for _, t := range s.leader.c.cloud.Catalog() {
		least = math.Min(least, perCPU(t))
	}
	var best *protocol.MachineType
	for _, t := range s.leader.c.cloud.Catalog() {
		if perCPU(t) > least*servicePriceTolerance {
			continue
		}
		if best == nil || t.BootS < best.BootS || (t.BootS == best.BootS && t.Name < best.Name) {
			best = t
		}
	}
	return best
}

func (s *warmPool) sizeForShape(load *serviceLoad, now time.Duration) {
	j := &trackedJob{spec: load.spec, image: load.image, onlyType: s.leader.autoscaler.onlyFittingType(load.spec)}
	// The kind counts whether or not the cloud refuses it at present: then what is
	// there has to be kept all the more.
	v, ok := s.leader.autoscaler.bestKind(j, time.Duration(math.MaxInt64), nil)
	if !ok {
		return
	}
	t := s.leader.c.cloud.Type(v.typeName)
	demand := load.arrivals.Demand(now, arrivalsObserved(s.leader.electedAt, now), t.BootS)
	n := headroom{max(min(s.machinesForPromptStart(load.spec.Class, demand.Largest), s.affordableMachines(t, v, now)), min(minSpreadMachines, int(demand.Largest))), int(math.Ceil(demand.Replicas))}
	if load.spec.Zone != "" {
		s.raiseTarget(v, n)
		return
	}
	// Each zone has its part, whether or not the job has to spread: one that is cut
	// off takes no more than that with it.
	parts := max(1, len(t.Zones))
	for _, z := range t.Zones {
		s.raiseTarget(machineKind{v.typeName, z, v.spot}, headroom{(n.machines + parts - 1) / parts, (n.replicas + parts - 1) / parts})
	}
}

// raiseTarget wants at least that much room of a kind.
func (s *warmPool) raiseTarget(v machineKind, n headroom) {
	w := s.target[v]
	s.target[v] = headroom{max(w.machines, n.machines), max(w.replicas, n.replicas)}
}

// affordableMachines is how many machines of a type may be kept for prompt starts: those
// that make up a small part of the fleet's CPUs, and none while the cloud has too
// few for work that fits on no other type.
func (s *warmPool) affordableMachines(t *protocol.MachineType, v machineKind, now time.Duration) int {
	refusedTo, refused := s.leader.autoscaler.refusedUntil[v]
	if refused && now < refusedTo+contentionWindow && s.leader.autoscaler.hasExclusiveNeed(t.Name, now) {
		return 0
	}
	return int(s.leader.autoscaler.reportedCPUs / promptStartDivisor / math.Max(t.CPUs, 1))
}

// machinesForPromptStart is how many machines have to have room for the last of a service's tasks
// to find one that reports within half of the time in which the users want it
// started, if each gets one: reports come apart by their interval.
func (s *warmPool) machinesForPromptStart(class string, tasks float64) int {
	within := s.startWithin(class)
	if within <= 0 {
		return 0
	}
	return int(math.Ceil(2 * tasks * s.leader.c.cfg.Settings.Workers.HeartbeatIntervalS / within))
}

// startWithin is the time, in seconds, within which the users want the starts of
// a class; 0: they name none.
func (s *warmPool) startWithin(class string) float64 {
	return forecast.StartObjectiveOf(s.leader.c.cfg.Settings.Objectives, class).WithinS
}

// replicaCapacity is how many replicas of a kind that room is kept for a machine has room
// for.
func (s *warmPool) replicaCapacity(m *machine) int {
	most := 0
	for _, load := range s.loads {
		if !permits(load.spec, m.machineKind) {
			continue
		}
		n := 0
		for free := m.free; free.fits(load.spec) && n < maxCountedReplicas; n++ {
			free.subtract(load.spec)
		}
		most = max(most, n)
	}
	if len(s.loads) == 0 && m.empty() {
		return 1
	}
	return most
}

// requestMachines asks for the machines that are wanted and neither there nor to come.
func (s *warmPool) requestMachines(ask map[machineKind]int, left int, now time.Duration) {
	if len(s.loads) == 0 && now-s.leader.electedAt < observationTime {
		return // classes are yet to be seen
	}
	coming := make(map[machineKind]int)
	for v, n := range s.leader.autoscaler.booting {
		coming[v] += n
	}
	for _, q := range s.leader.autoscaler.requests {
		coming[q.kind] += q.Count
	}
	for v, w := range s.target {
		h, whole := s.reserved[v], s.replicasPerMachine(v)
		n := max(w.machines-h.machines, (w.replicas-h.replicas+whole-1)/whole) - coming[v]
		for ; n > 0 && left > 0 && s.leader.autoscaler.refusedUntil[v] <= now; n-- {
			ask[v]++
			s.leader.autoscaler.machinesPerType[v.typeName]++
			left--
		}
	}
}

// hasRoomElsewhere tells whether some machine besides the given one has room kept for a
// service's replica.
func (s *warmPool) hasRoomElsewhere(j *trackedJob, m *machine, now time.Duration) bool {
	for _, o := range s.members {
		if o != m && o.free.fits(j.spec) && permits(j.spec, o.machineKind) && s.leader.schedulable(o, now) && !s.leader.shouldAvoid(j, o) {
			return true
		}
	}
	return false
}

// shouldWaitForImage tells whether another machine of the zone, with room kept for a
// service's replica, has its image, and to wait for that one's report takes less
// than to fetch the image anew: a fetch takes longer than all reports come apart,
// or its next report is due within half of a fetch.
func (s *warmPool) shouldWaitForImage(j *trackedJob, m *machine, now time.Duration) bool {
	if !j.spec.Service || m.hasImage(j.image) {
		return false
	}
	fetch := fetchTime(j.image, s.leader.c.cloud.Type(m.typeName))
	interval := seconds(s.leader.c.cfg.Settings.Workers.HeartbeatIntervalS)
	for _, o := range s.members {
		if o != m && o.zone == m.zone && o.hasImage(j.image) && o.free.fits(j.spec) && permits(j.spec, o.machineKind) &&
			s.leader.schedulable(o, now) && !s.leader.shouldAvoid(j, o) && !s.leader.exceedsSpread(j, o) &&
			(fetch > interval || o.lastHeartbeat+interval-now < fetch/dueFetchDivisor) {
			return true
		}
	}
	return false
}

// spreadMachines is over how many machines of a zone a service's replicas are spread at
// the least: three, or two where starts are wanted within one report's interval, as
// the last of them waits for as many reports.
func (s *warmPool) spreadMachines(class string) int {
	if within := s.startWithin(class); within > 0 && within < s.leader.c.cfg.Settings.Workers.HeartbeatIntervalS {
		return 2
	}
	return 3
}

// exceedsSpread tells whether a machine has its part of a service's tasks, while others
// of its zone have room too: the loss of one should not take most of them. Of three
// or more machines each takes a third.
func (l *leader) exceedsSpread(j *trackedJob, m *machine) bool {
	if !j.spec.Service {
		return false
	}
	now, choices, most := l.c.now(), 1, l.warmPool.spreadMachines(j.spec.Class)
	for _, o := range l.warmPool.serviceCapable {
		if choices == most {
			break
		}
		if o != m && o.zone == m.zone && o.free.fits(j.spec) && permits(j.spec, o.machineKind) && l.schedulable(o, now) && !l.shouldAvoid(j, o) {
			choices++
		}
	}
	if choices == 1 {
		return false
	}
	n := 0
	for _, list := range [][]replicaOnMachine{m.tasks, m.sentStarts} {
		for i := range list {
			if list[i].job == j && list[i].state != protocol.TaskExited {
				n++
			}
		}
	}
	if m.offeringFor != nil {
		for _, o := range m.offeringFor.openOffers {
			for _, it := range o.items {
				if it.job == j {
					n += it.count
				}
			}
		}
	}
	return n >= (int(j.spec.Tasks)+choices-1)/choices
}
