package coordination

import (
	"math"
	"time"

	"github.com/cobaltvale/cobaltvale/internal/cloud"
	"github.com/cobaltvale/cobaltvale/internal/protocol"
	"github.com/cobaltvale/cobaltvale/internal/protocol/meshpb"
)

const (
	// priceTolerance is the difference, per hour, up to which prices count as equal.
	priceTolerance = 1e-12
	// servicePriceFactor is how many times the lowest price a replica of a service may cost
	// on a kind that fetches its image faster.
	servicePriceFactor = 1.25
	// exclusiveNeedWindow is how long a type stays reserved for the jobs that fit on no
	// other, after the last time such a job was observed.
	exclusiveNeedWindow = 3 * time.Minute
	// contentionWindow is how long a kind still counts as scarce after the end of the time
	// for which the cloud had no machines of it.
	contentionWindow = time.Minute
)

// catalog provides the machine types that the cloud offers, as last read.
type catalog interface {
	Catalog() cloud.Catalog                 // by name; must not be changed
	Type(name string) *protocol.MachineType // nil: the cloud does not offer it
}

// kindSelector chooses kinds of machines for tasks. It owns the state of their availability:
// of which kinds the cloud recently had no machines, and which types are the only ones that
// some job fits on. It changes neither jobs nor machines.
type kindSelector struct {
	catalog          catalog
	counts           *fleetCounts // the autoscaler's latest counts, only read here
	unavailableUntil map[machineKind]time.Duration
	exclusiveNeedAt  map[string]time.Duration // by type: when a job that fits on no other was last observed
}

func newKindSelector(types catalog, counts *fleetCounts) kindSelector {
	return kindSelector{
		catalog:          types,
		counts:           counts,
		unavailableUntil: make(map[machineKind]time.Duration),
		exclusiveNeedAt:  make(map[string]time.Duration),
	}
}

// recordExclusiveNeed records that an unfinished job fits on no type but the given one.
func (s *kindSelector) recordExclusiveNeed(typeName string, now time.Duration) {
	s.exclusiveNeedAt[typeName] = now
}

// hasExclusiveNeed reports whether a job that fits on no other type was observed within the
// last exclusiveNeedWindow.
func (s *kindSelector) hasExclusiveNeed(typeName string, now time.Duration) bool {
	at, ok := s.exclusiveNeedAt[typeName]
	return ok && now-at < exclusiveNeedWindow
}

// reservedForOthers reports whether machines of a type are reserved for jobs that fit on no
// other, and the given job is not one of them. Replicas of services are exempt: they are few,
// and stay on the machines that were created for them, whatever their type.
func (s *kindSelector) reservedForOthers(job *trackedJob, typeName string, now time.Duration) bool {
	return !job.spec.Service && job.onlyFittingType != typeName && s.hasExclusiveNeed(typeName, now)
}

// markKindUnavailable records that no machines of a kind should be requested until a time.
func (s *kindSelector) markKindUnavailable(kind machineKind, until time.Duration) {
	s.unavailableUntil[kind] = until
}

// kindUnavailable reports whether the cloud is assumed to have no machines of a kind now.
func (s *kindSelector) kindUnavailable(kind machineKind, now time.Duration) bool {
	return s.unavailableUntil[kind] > now
}

// contended reports whether a kind is unavailable, or was within the last contentionWindow,
// while some job fits on no other type.
func (s *kindSelector) contended(kind machineKind, now time.Duration) bool {
	until, marked := s.unavailableUntil[kind]
	return marked && now < until+contentionWindow && s.hasExclusiveNeed(kind.typeName, now)
}

// onlyFittingType returns the only type that a task fits on, or "" if it fits on none or on
// several.
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

// leadTime returns the least time from the request for a machine until a job's tasks run on
// it: the machine boots and fetches their image.
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

// kindQuery holds the parameters of a search for the kind of machine to create for a task.
type kindQuery struct {
	job                *trackedJob
	now                time.Duration
	includeUnavailable bool                // also consider kinds that are unavailable at present
	planned            map[machineKind]int // machines that will be requested in this pass
}

// kindCandidate is a kind of machine that could be created for a task.
type kindCandidate struct {
	kind           machineKind
	taskPrice      float64       // per hour, of the task's share of the machine
	fetchTime      time.Duration // of the task's image
	machinesInZone int           // known or planned
}

// bestKind returns the kind of machine to create for a task, if there is any: the one with
// the lowest price of the task's share of the machine, and among equal ones that in the zone
// with the fewest machines. Lost replicas of services must be replaced at once, and replicas
// stay on their machines, so for these it chooses the kind that fetches their image fastest
// among those within servicePriceFactor of the lowest price.
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

// priceLimit returns the highest task price at which a candidate counts as equally cheap as
// the cheapest.
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

// preferredTo reports whether a candidate is preferred to another, both within the price
// limit.
func (c *kindCandidate) preferredTo(other *kindCandidate, service bool) bool {
	switch {
	case service && c.fetchTime != other.fetchTime:
		return c.fetchTime < other.fetchTime
	case math.Abs(c.taskPrice-other.taskPrice) > priceTolerance:
		return c.taskPrice < other.taskPrice
	}
	return c.machinesInZone < other.machinesInZone
}

// listCandidates returns the kinds of machines that could be created for a task.
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
		share := machineShare(t, q.job.spec)
		for _, zone := range t.Zones {
			for _, spot := range []bool{true, false} {
				kind := machineKind{name, zone, spot}
				if (!q.includeUnavailable && s.kindUnavailable(kind, q.now)) || !permits(q.job.spec, kind) {
					continue
				}
				candidates = append(candidates, kindCandidate{
					kind:           kind,
					taskPrice:      priceOf(t, spot) * share,
					fetchTime:      fetchTime(q.job.image, t),
					machinesInZone: s.counts.machinesByZone[zone] + plannedInZone[zone],
				})
			}
		}
	}
	return candidates
}

// priceOf returns the price of a machine per hour.
func priceOf(t *protocol.MachineType, spot bool) float64 {
	if spot {
		return t.SpotPrice
	}
	return t.Price
}

// machineShare returns the share of a machine that a task needs: the largest of its shares
// of CPUs, memory and GPUs.
func machineShare(t *protocol.MachineType, spec *meshpb.JobSummary) float64 {
	share := math.Max(spec.Cpus/math.Max(t.CPUs, 1e-9), spec.MemoryGb/math.Max(t.MemoryGB, 1e-9))
	if t.GPUs > 0 {
		share = math.Max(share, spec.Gpus/t.GPUs)
	}
	return share
}

// tasksPerMachine returns how many tasks of a job an empty machine has room for.
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
	return math.Min(n, maxTasksPerMachine)
}
