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
	// maxPoolSizeAge is the age beyond which the size of the warm pool is recomputed before
	// a machine is offered.
	maxPoolSizeAge = time.Second
	// maxServiceShapes is the largest number of shapes for which headroom is kept.
	maxServiceShapes = 64
	// maxCountedReplicas is the largest number of replicas counted on one machine.
	maxCountedReplicas = 1000
	// promptStartDivisor limits the CPUs that are kept free for prompt starts: to the CPUs of
	// the reported machines, divided by this.
	promptStartDivisor = 20
	// initialPoolDivisor sets how many machines are kept free for services of unseen classes:
	// the number of reported machines, divided by this, within the bounds of
	// sizeForUnseenClasses.
	initialPoolDivisor = 50
	// minSpreadMachines is the least number of machines over which headroom is spread, so
	// that one of them soon sends its next heartbeat.
	minSpreadMachines = 4
)

// The kinds of objectives that cannot be met without headroom where machines boot slowly.
const (
	objectiveWait = "wait" // tasks start within a time after their submission
	objectiveUp   = "up"   // replicas are running
)

// warmPool keeps headroom for replicas of services: for new ones, and to replace lost ones
// sooner than a machine boots. Unlike array jobs, many services may not use spot machines,
// and their replicas stay on their machines.
//
// It owns the target headroom, the machines that provide it and their mark inWarmPool. It
// requests and releases no machines itself.
type warmPool struct {
	settings    *settings.Settings
	catalog     catalog
	kinds       *kindSelector
	machines    *machineTable
	counts      *fleetCounts // the autoscaler's latest counts, only read here
	electedAt   time.Duration
	schedulable func(*machine, time.Duration) bool

	loadByShape      map[serviceShape]*serviceLoad
	unseenClasses    map[string]bool          // classes with objectiveWait or objectiveUp of which no job has arrived
	targetHeadroom   map[machineKind]headroom // to be kept
	reservedHeadroom map[machineKind]headroom // provided by poolMachines
	sizedAt          time.Duration            // when targetHeadroom was computed
	poolMachines     []*machine               // marked inWarmPool
	machinesWithRoom []*machine               // schedulable and with room for services, in the pool or not
}

// headroom is a number of machines with room for replicas, and the number of replicas for
// which they have room.
type headroom struct{ machines, replicas int }

// covers reports whether the headroom is at least a target.
func (h headroom) covers(target headroom) bool {
	return h.machines >= target.machines && h.replicas >= target.replicas
}

// dividedByZones returns the headroom that each of several zones has to provide.
func (h headroom) dividedByZones(zones int) headroom {
	return headroom{ceilDiv(h.machines, zones), ceilDiv(h.replicas, zones)}
}

func ceilDiv(n, by int) int { return (n + by - 1) / by }

// serviceShape is the key under which the arrivals of services with equal requirements are
// counted together.
type serviceShape struct {
	class, zone          string
	spot                 bool
	cpus, gpus, memoryGB float64
}

func shapeOf(spec *meshpb.JobSummary) serviceShape {
	return serviceShape{spec.Class, spec.Zone, spec.Spot, spec.Cpus, spec.Gpus, spec.MemoryGb}
}

// serviceLoad holds the recent arrivals of services of a shape.
type serviceLoad struct {
	spec     *meshpb.JobSummary // of the latest service
	image    *image             // of the latest service
	arrivals forecast.ServiceArrivals
}

// init initializes the state of a pool that has observed no services. The fields above the
// blank line in warmPool must be set before.
func (p *warmPool) init() {
	p.loadByShape = make(map[serviceShape]*serviceLoad)
	p.unseenClasses = make(map[string]bool)
	for _, o := range p.settings.Objectives {
		if o.Kind == objectiveWait || o.Kind == objectiveUp {
			p.unseenClasses[o.Class] = true
		}
	}
}

// recordClass records that a job of a class has arrived.
func (p *warmPool) recordClass(class string) { delete(p.unseenClasses, class) }

// observeService records the arrival of a service that was submitted at a time on this
// process's monotonic clock.
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

// resize computes the target headroom: on each kind of machine, for the largest service
// within the forecast's window and for as many replicas as are expected to arrive while a
// machine boots. Then it chooses the machines that provide it, which are offered only to
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

// chooseMachines marks machines until the target is met. It prefers the machines that are
// already in the pool, since they run services and have their images.
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

// addIfNeeded adds a machine that is about to be offered to the pool, if the target is not
// met. Otherwise a machine that has just booted would be full before the next resize.
func (p *warmPool) addIfNeeded(m *machine, now time.Duration) {
	if now-p.sizedAt > maxPoolSizeAge {
		p.resize(now)
	}
	if !m.inWarmPool {
		m.inWarmPool = p.reserveMachine(m, now)
	}
}

// reserveMachine adds a machine to the pool if the machine has room for services and the
// target is not met. It reports whether it did.
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

// replicaCapacity returns how many replicas a machine has room for, of the shape of which it
// has room for the most. While no services were observed it is 1 for an empty machine.
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

// replicasPerMachine returns how many replicas an empty machine of a kind has room for, of
// the shape of which it has room for the most; at least 1.
func (p *warmPool) replicasPerMachine(kind machineKind) int {
	t, most := p.catalog.Type(kind.typeName), 1
	for _, load := range p.loadByShape {
		if t != nil && permits(load.spec, kind) {
			most = max(most, int(tasksPerMachine(t, load.spec)))
		}
	}
	return most
}

// sizeForUnseenClasses raises the target by a few on-demand machines in all zones: the first
// services may arrive at any time, and those that arrive while more machines boot need room.
// In a large fleet these few machines cost little.
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

// fastestBootingType returns the type with the shortest boot time among those whose price
// per CPU is within servicePriceFactor of the lowest. It goes by CPUs since it is not known
// yet what services will need.
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

// sizeForShape raises the target to the headroom for services of a shape.
func (p *warmPool) sizeForShape(load *serviceLoad, now time.Duration) {
	job := &trackedJob{spec: load.spec, image: load.image, onlyFittingType: p.kinds.onlyFittingType(load.spec)}
	// Kinds that are unavailable at present are included: since no machines of them can be
	// added, the existing ones have to be kept.
	kind, ok := p.kinds.bestKind(kindQuery{job: job, now: now, includeUnavailable: true})
	if !ok {
		return
	}
	t := p.catalog.Type(kind.typeName)
	demand := load.arrivals.Demand(now, arrivalObservationTime(p.electedAt, now), t.BootS)
	prompt := min(p.machinesForPromptStart(load.spec.Class, demand.LargestReplicas), p.affordableMachines(t, kind, now))
	spread := min(minSpreadMachines, int(demand.LargestReplicas))
	wanted := headroom{machines: max(prompt, spread), replicas: int(math.Ceil(demand.RequiredReplicas))}
	if load.spec.Zone != "" {
		p.raiseTarget(kind, wanted)
		return
	}
	// Each zone provides an equal part, whether or not the service has to be spread over
	// zones: if a zone is partitioned, no more than its part is lost.
	part := wanted.dividedByZones(max(1, len(t.Zones)))
	for _, zone := range t.Zones {
		p.raiseTarget(machineKind{kind.typeName, zone, kind.spot}, part)
	}
}

// raiseTarget raises the target headroom on a kind of machine to at least the given one.
func (p *warmPool) raiseTarget(kind machineKind, wanted headroom) {
	target := p.targetHeadroom[kind]
	p.targetHeadroom[kind] = headroom{max(target.machines, wanted.machines), max(target.replicas, wanted.replicas)}
}

// affordableMachines returns how many machines of a kind may be kept for prompt starts: a
// small part of the fleet, and none while the cloud has too few of the kind for jobs that
// fit on no other type.
func (p *warmPool) affordableMachines(t *protocol.MachineType, kind machineKind, now time.Duration) int {
	if p.kinds.contended(kind, now) {
		return 0
	}
	return int(p.counts.reportedCPUs / promptStartDivisor / math.Max(t.CPUs, 1))
}

// machinesForPromptStart returns how many machines need room for a service's tasks, one on
// each, so that the last task is offered to a machine within half of the class's start
// objective: the heartbeats of n machines arrive an n-th of the heartbeat interval apart.
func (p *warmPool) machinesForPromptStart(class string, tasks float64) int {
	within := p.startObjectiveS(class)
	if within <= 0 {
		return 0
	}
	return int(math.Ceil(2 * tasks * p.settings.Workers.HeartbeatIntervalS / within))
}

// startObjectiveS returns the time, in seconds, within which the tasks of a class should
// start; 0: the settings state none.
func (p *warmPool) startObjectiveS(class string) float64 {
	return forecast.StartObjectiveOf(p.settings.Objectives, class).WithinS
}

// planScaleOut adds to a plan the machines that the target lacks, beyond the incoming ones:
// at most limit machines.
func (p *warmPool) planScaleOut(plan *scaleOutPlan, incoming map[machineKind]int, limit int, now time.Duration) {
	if len(p.loadByShape) == 0 && now-p.electedAt < fleetObservationTime {
		return // jobs of unseen classes may still become known
	}
	for kind, target := range p.targetHeadroom {
		reserved := p.reservedHeadroom[kind]
		forReplicas := ceilDiv(target.replicas-reserved.replicas, p.replicasPerMachine(kind))
		missing := max(target.machines-reserved.machines, forReplicas) - incoming[kind]
		for ; missing > 0 && limit > 0 && !p.kinds.kindUnavailable(kind, now); missing-- {
			plan.add(kind)
			limit--
		}
	}
}
