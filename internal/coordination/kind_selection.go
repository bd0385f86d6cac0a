package coordination

import (
	"math"
	"time"

	"github.com/cobaltvale/cobaltvale/internal/cloud"
	"github.com/cobaltvale/cobaltvale/internal/protocol"
	"github.com/cobaltvale/cobaltvale/internal/protocol/meshpb"
)

const (
	// priceTolerance is by how much costs may differ that count as equal.
	priceTolerance = 1e-12
	// servicePriceFactor is how many times the least cost a replica of a
	// service may cost on a kind that fetches its image sooner.
	servicePriceFactor = 1.25
	// exclusiveNeedWindow is for how long a type stays reserved for the jobs that
	// fit on no other, after one was seen.
	exclusiveNeedWindow = 3 * time.Minute
	// contentionWindow is for how long after the cloud refused a kind the
	// machines of it count as scarce.
	contentionWindow = time.Minute
)

// catalog is the machine types that the cloud offers, as they were last read.
type catalog interface {
	Catalog() cloud.Catalog                 // by name; nobody changes it
	Type(name string) *protocol.MachineType // nil: the cloud does not offer it
}

// kindSelector chooses kinds of machines for tasks. It owns what is known of
// their availability: which the cloud refused of late, and which types are the
// only ones that some job fits on. It changes neither jobs nor machines.
type kindSelector struct {
	catalog          catalog
	counts           *fleetCounts // the autoscaler's last count, only read here
	unavailableUntil map[machineKind]time.Duration
	exclusiveNeedAt  map[string]time.Duration // by type, when a job was last seen that fits on no other
}

func newKindSelector(types catalog, counts *fleetCounts) kindSelector {
	return kindSelector{
		catalog:          types,
		counts:           counts,
		unavailableUntil: make(map[machineKind]time.Duration),
		exclusiveNeedAt:  make(map[string]time.Duration),
	}
}

// recordExclusiveNeed notes that a job is there that fits on a single type.
func (s *kindSelector) recordExclusiveNeed(typeName string, now time.Duration) {
	s.exclusiveNeedAt[typeName] = now
}

// hasExclusiveNeed tells whether some job of late fits on no other type.
func (s *kindSelector) hasExclusiveNeed(typeName string, now time.Duration) bool {
	at, ok := s.exclusiveNeedAt[typeName]
	return ok && now-at < exclusiveNeedWindow
}

// reservedForOthers tells whether machines of a type are reserved for jobs that
// fit on no other, while this job does. Replicas of services are few and stay on
// the machines that were created for them, whatever their type.
func (s *kindSelector) reservedForOthers(job *trackedJob, typeName string, now time.Duration) bool {
	return !job.spec.Service && job.onlyMachineType != typeName && s.hasExclusiveNeed(typeName, now)
}

// refuse notes that the cloud has no machines of a kind for a time.
func (s *kindSelector) markKindUnavailable(kind machineKind, until time.Duration) {
	s.unavailableUntil[kind] = until
}

// refused tells whether the cloud has no machines of a kind at present.
func (s *kindSelector) kindUnavailable(kind machineKind, now time.Duration) bool {
	return s.unavailableUntil[kind] > now
}

// contended tells whether the cloud has refused a kind of late while some job
// fits on no other type.
func (s *kindSelector) contended(kind machineKind, now time.Duration) bool {
	until, refused := s.unavailableUntil[kind]
	return refused && now < until+contentionWindow && s.hasExclusiveNeed(kind.typeName, now)
}

// onlyFittingType returns the one type that a task fits on, or "" if there are
// none or several.
func (s *kindSelector) onlyFittingType(spec *meshpb.JobSummary) string {
	only := ""
	for name, t := range s.catalog.Catalog() {
		if !capacityOf(t).fits(spec) || !(spec.AnyType || permits(spec, machineKind{name, spec.Zone, spec.Spot})) {
			continue
		}
		if only != "" {
			return ""
		}
		only = name
	}
	return only
}

// leadTime is how long it takes at the least from the request for a machine
// until a job's tasks run on it: it boots and fetches their image.
func (s *kindSelector) leadTime(job *trackedJob) time.Duration {
	least := time.Duration(-1)
	for _, t := range s.catalog.Catalog() {
		if !capacityOf(t).fits(job.spec) {
			continue
		}
		if d := seconds(t.BootS) + fetchTime(job.image, t); least < 0 || d < least {
			least = d
		}
	}
	return max(0, least)
}

// kindQuery asks for the kind of machine that should be created for a task.
type kindQuery struct {
	job                *trackedJob
	now                time.Duration
	includeUnavailable bool                // also kinds that the cloud refuses at present
	planned            map[machineKind]int // machines that are about to be requested
}

// kindCandidate is a kind of machine that could be created for a task.
type kindCandidate struct {
	kind           machineKind
	taskPrice      float64       // of the part of the machine that the task takes, an hour
	fetchTime      time.Duration // of the task's image
	machinesInZone int           // there or to come
}

// best returns the kind of machine to create for a task, if there is any: the
// cheapest by the part of the machine that the task takes, and of equals the one
// in the zone with the fewest machines. Replicas of services are wanted back at
// once, and stay: among kinds that cost little more the one that fetches their
// image soonest is taken.
func (s *kindSelector) bestKind(q kindQuery) (machineKind, bool) {
	candidates := s.listCandidates(q)
	if len(candidates) == 0 {
		return machineKind{}, false
	}
	service := q.job.spec.Service
	limit := priceLimit(candidates, service)
	var best *kindCandidate
	for i := range candidates {
		c := &candidates[i]
		if c.taskPrice <= limit && (best == nil || c.preferredTo(best, service)) {
			best = c
		}
	}
	return best.kind, true
}

// priceLimit is what a candidate may cost to count as about as cheap as the
// cheapest.
func priceLimit(candidates []kindCandidate, service bool) float64 {
	least := math.Inf(1)
	for _, c := range candidates {
		least = math.Min(least, c.taskPrice)
	}
	if service {
		return least * servicePriceFactor
	}
	return least + priceTolerance
}

// preferredTo compares kinds that are about as cheap.
func (c *kindCandidate) preferredTo(other *kindCandidate, service bool) bool {
	switch {
	case service && c.fetchTime != other.fetchTime:
		return c.fetchTime < other.fetchTime
	case math.Abs(c.taskPrice-other.taskPrice) > priceTolerance:
		return c.taskPrice < other.taskPrice
	}
	return c.machinesInZone < other.machinesInZone
}

// candidates lists the kinds of machines that could be created for a task.
func (s *kindSelector) listCandidates(q kindQuery) []kindCandidate {
	plannedInZone := make(map[string]int)
	for kind, n := range q.planned {
		plannedInZone[kind.zone] += n
	}
	var candidates []kindCandidate
	for name, t := range s.catalog.Catalog() {
		if !capacityOf(t).fits(q.job.spec) || s.reservedForOthers(q.job, name, q.now) {
			continue
		}
		part := machineShare(t, q.job.spec)
		for _, zone := range t.Zones {
			for _, spot := range []bool{true, false} {
				kind := machineKind{name, zone, spot}
				if (!q.includeUnavailable && s.kindUnavailable(kind, q.now)) || !permits(q.job.spec, kind) {
					continue
				}
				candidates = append(candidates, kindCandidate{
					kind:           kind,
					taskPrice:      priceOf(t, spot) * part,
					fetchTime:      fetchTime(q.job.image, t),
					machinesInZone: s.counts.machinesByZone[zone] + plannedInZone[zone],
				})
			}
		}
	}
	return candidates
}

// priceOf is what a machine costs an hour.
func priceOf(t *protocol.MachineType, spot bool) float64 {
	if spot {
		return t.SpotPrice
	}
	return t.Price
}

// machineShare is the part of a machine that a task takes.
func machineShare(t *protocol.MachineType, spec *meshpb.JobSummary) float64 {
	part := math.Max(spec.Cpus/math.Max(t.CPUs, 1e-9), spec.MemoryGb/math.Max(t.MemoryGB, 1e-9))
	if t.GPUs > 0 {
		part = math.Max(part, spec.Gpus/t.GPUs)
	}
	return part
}

// tasksPerMachine is how many tasks of a job a machine holds at once.
func tasksPerMachine(t *protocol.MachineType, spec *meshpb.JobSummary) float64 {
	n := math.Inf(1)
	for _, r := range []struct{ capacity, request float64 }{{t.CPUs, spec.Cpus}, {t.GPUs, spec.Gpus}, {t.MemoryGB, spec.MemoryGb}} {
		if r.request > 0 {
			n = math.Min(n, math.Floor(r.capacity/r.request+1e-9))
		}
	}
	if math.IsInf(n, 1) {
		return 1
	}
	return n
}
