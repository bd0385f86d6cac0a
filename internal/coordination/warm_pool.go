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
	// maxPoolSizeAge is how old the size of the warm pool may be when a machine
	// is about to be offered.
	maxPoolSizeAge = time.Second
	// maxServiceShapes bounds the shapes that headroom is kept for.
	maxServiceShapes = 64
	// maxCountedReplicas bounds how many replicas are counted on one machine.
	maxCountedReplicas = 1000
	// promptStartDivisor: at most this part of the fleet's CPUs is kept free for
	// prompt starts.
	promptStartDivisor = 20
	// initialPoolDivisor: this part of all machines is kept free for
	// services before any was seen.
	initialPoolDivisor = 50
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

	loadByShape      map[serviceShape]*serviceLoad
	unseenClasses    map[string]bool          // classes whose starts the users want soon, of which no job was seen
	targetHeadroom   map[machineKind]headroom // that there should be
	reservedHeadroom map[machineKind]headroom // that members provide
	sizedAt          time.Duration            // when target was computed
	poolMachines     []*machine
	machinesWithRoom []*machine // with room for services, members or not
}

// headroom is machines with room for replicas, and how many replicas fit there.
type headroom struct{ machines, replicas int }

// covers tells whether it is enough for a target.
func (h headroom) covers(target headroom) bool {
	return h.machines >= target.machines && h.replicas >= target.replicas
}

// divided is the part that each of several zones has to provide.
func (h headroom) dividedByZones(zones int) headroom {
	return headroom{ceilDiv(h.machines, zones), ceilDiv(h.replicas, zones)}
}

func ceilDiv(n, by int) int { return (n + by - 1) / by }

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
	p.loadByShape = make(map[serviceShape]*serviceLoad)
	p.unseenClasses = make(map[string]bool)
	for _, o := range p.settings.Objectives {
		if o.Kind == objectiveWait || o.Kind == objectiveUp {
			p.unseenClasses[o.Class] = true
		}
	}
}

// recordClass notes that a job of a class has arrived.
func (p *warmPool) recordClass(class string) { delete(p.unseenClasses, class) }

// observe takes in a new service that was submitted at a time.
func (p *warmPool) observeService(job *trackedJob, submitted time.Duration) {
	shape := shapeOf(job.spec)
	load := p.loadByShape[shape]
	if load == nil {
		if len(p.loadByShape) >= maxServiceShapes {
			return
		}
		load = &serviceLoad{}
		p.loadByShape[shape] = load
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
	p.targetHeadroom = make(map[machineKind]headroom)
	p.reservedHeadroom = make(map[machineKind]headroom)
	p.poolMachines = p.poolMachines[:0]
	for shape, load := range p.loadByShape {
		if !load.arrivals.Expire(now) {
			delete(p.loadByShape, shape)
			continue
		}
		p.sizeForShape(load, now)
	}
	if len(p.unseenClasses) > 0 {
		p.sizeForUnseenClasses()
	}
	p.chooseMachines(now)
}

// chooseMachines marks machines until the target is met. Members stay if they
// can, since they hold services already, and their images.
func (p *warmPool) chooseMachines(now time.Duration) {
	p.machinesWithRoom = p.machinesWithRoom[:0]
	for m := range p.machines.all {
		if len(p.loadByShape) > 0 && p.schedulable(m, now) && p.replicaCapacity(m) > 0 {
			p.machinesWithRoom = append(p.machinesWithRoom, m)
		}
		m.inWarmPool = m.inWarmPool && p.reserveMachine(m, now)
	}
	for m := range p.machines.all {
		if !m.inWarmPool && p.reserveMachine(m, now) {
			m.inWarmPool = true
		}
	}
}

// addIfNeeded takes a machine in that is about to be offered, if its room is
// wanted: one that has just booted would be full before the next resize.
func (p *warmPool) addIfNeeded(m *machine, now time.Duration) {
	if now-p.sizedAt > maxPoolSizeAge {
		p.resize(now)
	}
	if !m.inWarmPool {
		m.inWarmPool = p.reserveMachine(m, now)
	}
}

// reserve takes a machine in if it has room for services and more is wanted.
func (p *warmPool) reserveMachine(m *machine, now time.Duration) bool {
	reserved := p.reservedHeadroom[m.machineKind]
	if reserved.covers(p.targetHeadroom[m.machineKind]) || !p.schedulable(m, now) {
		return false
	}
	n := p.replicaCapacity(m)
	if n == 0 {
		return false
	}
	p.reservedHeadroom[m.machineKind] = headroom{reserved.machines + 1, reserved.replicas + n}
	p.poolMachines = append(p.poolMachines, m)
	return true
}

// replicaCapacity is how many replicas of some shape a machine has room for.
func (p *warmPool) replicaCapacity(m *machine) int {
	most := 0
	for _, load := range p.loadByShape {
		if !permits(load.spec, m.machineKind) {
			continue
		}
		n := 0
		for free := m.free; free.fits(load.spec) && n < maxCountedReplicas; n++ {
			free.subtract(load.spec)
		}
		most = max(most, n)
	}
	if len(p.loadByShape) == 0 && m.empty() {
		return 1
	}
	return most
}

// replicasPerMachine is how many replicas of some shape an empty machine holds.
func (p *warmPool) replicasPerMachine(kind machineKind) int {
	t, most := p.catalog.Type(kind.typeName), 1
	for _, load := range p.loadByShape {
		if t != nil && permits(load.spec, kind) {
			most = max(most, int(tasksPerMachine(t, load.spec)))
		}
	}
	return most
}

// sizeForUnseenClasses wants a few ordinary machines, in all zones: services may begin
// on a running day, and those that arrive while more machines boot need room. In
// a large fleet the few cost little.
func (p *warmPool) sizeForUnseenClasses() {
	t := p.fastestBootingType()
	if t == nil {
		return
	}
	n := max(minSpreadMachines, min(2*minSpreadMachines, p.counts.reportedMachines/initialPoolDivisor))
	for _, zone := range t.Zones {
		p.raiseTarget(machineKind{t.Name, zone, false}, headroom{machines: ceilDiv(n, len(t.Zones))})
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
		if perCPU(t) > least*servicePriceFactor {
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
	kind, ok := p.kinds.bestKind(kindQuery{job: job, now: now, includeUnavailable: true})
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
	part := wanted.dividedByZones(max(1, len(t.Zones)))
	for _, zone := range t.Zones {
		p.raiseTarget(machineKind{kind.typeName, zone, kind.spot}, part)
	}
}

// raiseTarget wants at least that much headroom on a kind of machine.
func (p *warmPool) raiseTarget(kind machineKind, wanted headroom) {
	target := p.targetHeadroom[kind]
	p.targetHeadroom[kind] = headroom{max(target.machines, wanted.machines), max(target.replicas, wanted.replicas)}
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
	within := p.startObjectiveS(class)
	if within <= 0 {
		return 0
	}
	return int(math.Ceil(2 * tasks * p.settings.Workers.HeartbeatIntervalS / within))
}

// startObjectiveS is the time, in seconds, within which the users want the starts of
// a class; 0: they name none.
func (p *warmPool) startObjectiveS(class string) float64 {
	return forecast.StartObjectiveOf(p.settings.Objectives, class).WithinS
}

// planScaleOut adds the machines that are wanted and neither there nor to come to
// a plan, up to a number.
func (p *warmPool) planScaleOut(plan *scaleOutPlan, coming map[machineKind]int, limit int, now time.Duration) {
	if len(p.loadByShape) == 0 && now-p.electedAt < fleetObservationTime {
		return // more classes may yet be seen
	}
	for kind, target := range p.targetHeadroom {
		reserved := p.reservedHeadroom[kind]
		forReplicas := ceilDiv(target.replicas-reserved.replicas, p.replicasPerMachine(kind))
		missing := max(target.machines-reserved.machines, forReplicas) - coming[kind]
		for ; missing > 0 && limit > 0 && !p.kinds.kindUnavailable(kind, now); missing-- {
			plan.add(kind)
			limit--
		}
	}
}
