package coordination

import (
	"math"
	"time"

	"github.com/cobaltvale/cobaltvale/internal/forecast"
	"github.com/cobaltvale/cobaltvale/internal/protocol"
	"github.com/cobaltvale/cobaltvale/internal/protocol/meshpb"
	"github.com/cobaltvale/cobaltvale/internal/settings"
)

const (
	// resizeInterval is how old the size of the warm pool may be when a machine
	// is about to be offered.
	resizeInterval = time.Second
	// maxServiceShapes bounds the shapes that headroom is kept for.
	maxServiceShapes = 64
	// maxCountedReplicas bounds how many replicas are counted on one machine.
	maxCountedReplicas = 1000
	// promptStartDivisor: at most this part of the fleet's CPUs is kept free for
	// prompt starts.
	promptStartDivisor = 20
	// expectedMachinesDivisor: this part of all machines is kept free for
	// services before any was seen.
	expectedMachinesDivisor = 50
	// minSpreadMachines is over how many machines headroom is spread, so that one
	// of them sends its heartbeat soon.
	minSpreadMachines = 4
)

// The kinds of objectives that only headroom meets where machines boot slowly.
const (
	objectiveWait = "wait" // a start within a time
	objectiveUp   = "up"   // replicas that are running
)

// warmPool keeps headroom for replicas of services: for those that arrive, and
// for those that are lost and wanted back sooner than a machine boots. Unlike
// arrays, services may often not use spot machines, and their replicas stay.
//
// It owns the headroom wanted, the machines that provide it and their mark
// inWarmPool. It requests and releases no machines itself.
type warmPool struct {
	settings    *settings.Settings
	catalog     catalog
	kinds       *kindSelector
	machines    *machineTable
	counts      *fleetCounts // the autoscaler's last count, only read here
	electedAt   time.Duration
	schedulable func(*machine, time.Duration) bool

	shapes          map[serviceShape]*serviceLoad
	expectedClasses map[string]bool          // classes whose starts the users want soon, of which no job was seen
	target          map[machineKind]headroom // that there should be
	reserved        map[machineKind]headroom // that members provide
	sizedAt         time.Duration            // when target was computed
	members         []*machine
	serviceCapable  []*machine // with room for services, members or not
}

// headroom is machines with room for replicas, and how many replicas fit there.
type headroom struct{ machines, replicas int }

// covers tells whether it is enough for a target.
func (h headroom) covers(target headroom) bool {
	return h.machines >= target.machines && h.replicas >= target.replicas
}

// divided is the part that each of several zones has to provide.
func (h headroom) divided(zones int) headroom {
	return headroom{divideUp(h.machines, zones), divideUp(h.replicas, zones)}
}

func divideUp(n, by int) int { return (n + by - 1) / by }

// serviceShape is what services need that count as alike.
type serviceShape struct {
	class, zone        string
	spot               bool
	cpus, gpus, memory float64
}

func shapeOf(spec *meshpb.JobSummary) serviceShape {
	return serviceShape{spec.Class, spec.Zone, spec.Spot, spec.Cpus, spec.Gpus, spec.MemoryGb}
}

// serviceLoad is what arrived lately of a shape.
type serviceLoad struct {
	spec     *meshpb.JobSummary // of the latest, as is the image
	image    *image
	arrivals forecast.Services
}

// init makes a pool that has seen no services. The fields above the first blank
// line are set by then.
func (p *warmPool) init() {
	p.shapes = make(map[serviceShape]*serviceLoad)
	p.expectedClasses = make(map[string]bool)
	for _, o := range p.settings.Objectives {
		if o.Kind == objectiveWait || o.Kind == objectiveUp {
			p.expectedClasses[o.Class] = true
		}
	}
}

// classSeen notes that a job of a class has arrived.
func (p *warmPool) classSeen(class string) { delete(p.expectedClasses, class) }

// observe takes in a new service that was submitted at a time.
func (p *warmPool) observe(job *trackedJob, submitted time.Duration) {
	shape := shapeOf(job.spec)
	load := p.shapes[shape]
	if load == nil {
		if len(p.shapes) >= maxServiceShapes {
			return
		}
		load = &serviceLoad{}
		p.shapes[shape] = load
	}
	load.spec, load.image = job.spec, job.image
	load.arrivals.Observe(submitted, int(job.spec.Tasks))
}

// resize computes the headroom that is wanted: on each kind of machine, for the
// largest service of late and for as many replicas as arrive while a machine
// boots. Then it chooses the machines that provide it. These take nothing but
// services.
func (p *warmPool) resize(now time.Duration) {
	p.sizedAt = now
	p.target = make(map[machineKind]headroom)
	p.reserved = make(map[machineKind]headroom)
	p.members = p.members[:0]
	for shape, load := range p.shapes {
		if !load.arrivals.Expire(now) {
			delete(p.shapes, shape)
			continue
		}
		p.sizeForShape(load, now)
	}
	if len(p.expectedClasses) > 0 {
		p.sizeForExpected()
	}
	p.chooseMembers(now)
}

// chooseMembers marks machines until the target is met. Members stay if they
// can, since they hold services already, and their images.
func (p *warmPool) chooseMembers(now time.Duration) {
	p.serviceCapable = p.serviceCapable[:0]
	for m := range p.machines.all {
		if len(p.shapes) > 0 && p.schedulable(m, now) && p.replicaCapacity(m) > 0 {
			p.serviceCapable = append(p.serviceCapable, m)
		}
		m.inWarmPool = m.inWarmPool && p.reserve(m, now)
	}
	for m := range p.machines.all {
		if !m.inWarmPool && p.reserve(m, now) {
			m.inWarmPool = true
		}
	}
}

// claimMachine takes a machine in that is about to be offered, if its room is
// wanted: one that has just booted would be full before the next resize.
func (p *warmPool) claimMachine(m *machine, now time.Duration) {
	if now-p.sizedAt > resizeInterval {
		p.resize(now)
	}
	if !m.inWarmPool {
		m.inWarmPool = p.reserve(m, now)
	}
}

// reserve takes a machine in if it has room for services and more is wanted.
func (p *warmPool) reserve(m *machine, now time.Duration) bool {
	reserved := p.reserved[m.machineKind]
	if reserved.covers(p.target[m.machineKind]) || !p.schedulable(m, now) {
		return false
	}
	n := p.replicaCapacity(m)
	if n == 0 {
		return false
	}
	p.reserved[m.machineKind] = headroom{reserved.machines + 1, reserved.replicas + n}
	p.members = append(p.members, m)
	return true
}

// replicaCapacity is how many replicas of some shape a machine has room for.
func (p *warmPool) replicaCapacity(m *machine) int {
	most := 0
	for _, load := range p.shapes {
		if !permits(load.spec, m.machineKind) {
			continue
		}
		n := 0
		for free := m.free; free.fits(load.spec) && n < maxCountedReplicas; n++ {
			free.subtract(load.spec)
		}
		most = max(most, n)
	}
	if len(p.shapes) == 0 && m.empty() {
		return 1
	}
	return most
}

// replicasPerMachine is how many replicas of some shape an empty machine holds.
func (p *warmPool) replicasPerMachine(kind machineKind) int {
	t, most := p.catalog.Type(kind.typeName), 1
	for _, load := range p.shapes {
		if t != nil && permits(load.spec, kind) {
			most = max(most, int(tasksPerMachine(t, load.spec)))
		}
	}
	return most
}

// sizeForExpected wants a few ordinary machines, in all zones: services may begin
// on a running day, and those that arrive while more machines boot need room. In
// a large fleet the few cost little.
func (p *warmPool) sizeForExpected() {
	t := p.fastestBootingType()
	if t == nil {
		return
	}
	n := max(minSpreadMachines, min(2*minSpreadMachines, p.counts.reportedMachines/expectedMachinesDivisor))
	for _, zone := range t.Zones {
		p.raiseTarget(machineKind{t.Name, zone, false}, headroom{machines: divideUp(n, len(t.Zones))})
	}
}

// fastestBootingType returns the type that boots soonest of those that cost about
// as little per CPU as the cheapest: what services will need is not known yet.
func (p *warmPool) fastestBootingType() *protocol.MachineType {
	perCPU := func(t *protocol.MachineType) float64 { return t.Price / math.Max(t.CPUs, 1) }
	least := math.Inf(1)
	for _, t := range p.catalog.Catalog() {
		least = math.Min(least, perCPU(t))
	}
	var best *protocol.MachineType
	for _, t := range p.catalog.Catalog() {
		if perCPU(t) > least*servicePriceTolerance {
			continue
		}
		if best == nil || t.BootS < best.BootS || (t.BootS == best.BootS && t.Name < best.Name) {
			best = t
		}
	}
	return best
}

// sizeForShape wants headroom for the services of a shape.
func (p *warmPool) sizeForShape(load *serviceLoad, now time.Duration) {
	job := &trackedJob{spec: load.spec, image: load.image, onlyMachineType: p.kinds.onlyFittingType(load.spec)}
	// Kinds that the cloud refuses at present count: then what is there has to be
	// kept all the more.
	kind, ok := p.kinds.best(kindQuery{job: job, now: now, includeRefused: true})
	if !ok {
		return
	}
	t := p.catalog.Type(kind.typeName)
	demand := load.arrivals.Demand(now, arrivalObservationTime(p.electedAt, now), t.BootS)
	prompt := min(p.machinesForPromptStart(load.spec.Class, demand.Largest), p.affordableMachines(t, kind, now))
	spread := min(minSpreadMachines, int(demand.Largest))
	wanted := headroom{machines: max(prompt, spread), replicas: int(math.Ceil(demand.Replicas))}
	if load.spec.Zone != "" {
		p.raiseTarget(kind, wanted)
		return
	}
	// Each zone has its part, whether or not the service has to spread: a zone that
	// is cut off takes no more than that with it.
	part := wanted.divided(max(1, len(t.Zones)))
	for _, zone := range t.Zones {
		p.raiseTarget(machineKind{kind.typeName, zone, kind.spot}, part)
	}
}

// raiseTarget wants at least that much headroom on a kind of machine.
func (p *warmPool) raiseTarget(kind machineKind, wanted headroom) {
	target := p.target[kind]
	p.target[kind] = headroom{max(target.machines, wanted.machines), max(target.replicas, wanted.replicas)}
}

// affordableMachines is how many machines of a kind may be kept for prompt starts:
// a small part of the fleet, and none while the cloud has too few for jobs that
// fit on no other type.
func (p *warmPool) affordableMachines(t *protocol.MachineType, kind machineKind, now time.Duration) int {
	if p.kinds.contended(kind, now) {
		return 0
	}
	return int(p.counts.reportedCPUs / promptStartDivisor / math.Max(t.CPUs, 1))
}

// machinesForPromptStart is how many machines need room for the last of a
// service's tasks to find one that sends a heartbeat within half of the time in
// which the users want it started, if each takes one task: the heartbeats of n
// machines come an n-th of their interval apart.
func (p *warmPool) machinesForPromptStart(class string, tasks float64) int {
	within := p.startWithin(class)
	if within <= 0 {
		return 0
	}
	return int(math.Ceil(2 * tasks * p.settings.Workers.HeartbeatIntervalS / within))
}

// startWithin is the time, in seconds, within which the users want the starts of
// a class; 0: they name none.
func (p *warmPool) startWithin(class string) float64 {
	return forecast.StartObjectiveOf(p.settings.Objectives, class).WithinS
}

// planScaleOut adds the machines that are wanted and neither there nor to come to
// a plan, up to a number.
func (p *warmPool) planScaleOut(plan *scaleOutPlan, coming map[machineKind]int, limit int, now time.Duration) {
	if len(p.shapes) == 0 && now-p.electedAt < observationTime {
		return // more classes may yet be seen
	}
	for kind, target := range p.target {
		reserved := p.reserved[kind]
		forReplicas := divideUp(target.replicas-reserved.replicas, p.replicasPerMachine(kind))
		missing := max(target.machines-reserved.machines, forReplicas) - coming[kind]
		for ; missing > 0 && limit > 0 && !p.kinds.refused(kind, now); missing-- {
			plan.add(kind)
			limit--
		}
	}
}
