package coordination

import (
	"sort"
	"time"
)

// fleetCounts holds the counts of machines that the autoscaler makes once a second. Other
// components only read them.
type fleetCounts struct {
	creatableKinds   []machineKind       // kinds that the cloud offers, spot ones first
	machinesByZone   map[string]int      // known machines that are not terminated
	machinesByType   map[string]int      // machines that are schedulable, starting, requested or planned
	bootingByKind    map[machineKind]int // machines that are starting, within their boot timeout
	partitionedZones map[string]bool     // zones that are most likely cut off; see partitionDivisor
	reportedMachines int                 // machines that have sent a heartbeat to this leader
	reportedCPUs     float64             // CPUs of the reported machines
}

// A zone counts as partitioned if more than one of its machines is silent, and more of them
// than the number of its reported machines divided by partitionDivisor.
const partitionDivisor = 8

// countMachines recomputes the counts.
func (a *autoscaler) countMachines(in *autoscalerInput) {
	c := &a.counts
	*c = fleetCounts{
		creatableKinds: c.creatableKinds[:0],
		machinesByZone: make(map[string]int),
		machinesByType: make(map[string]int),
		bootingByKind:  make(map[machineKind]int),
	}
	a.listKinds()
	for kind, n := range in.requestedMachines {
		c.machinesByType[kind.Type] += n
	}
	silent, reported := make(map[string]int), make(map[string]int) // machines by zone
	for m := range a.machines.all {
		if m.terminated {
			continue
		}
		if m.heartbeatSeen {
			reported[m.zone]++
			a.countReported(m)
			if a.silenceBeyondLimit(m, in) > 0 && !a.missingFromList(m) {
				silent[m.zone]++
			}
		}
		a.countPresent(m, in.now)
	}
	c.partitionedZones = make(map[string]bool)
	for zone, n := range silent {
		c.partitionedZones[zone] = n > max(1, reported[zone]/partitionDivisor)
	}
}

func (a *autoscaler) countReported(m *machine) {
	a.counts.reportedMachines++
	if t := a.inventory.Type(m.typeName); t != nil {
		a.counts.reportedCPUs += t.CPUs
	}
}

func (a *autoscaler) countPresent(m *machine, now time.Duration) {
	a.counts.machinesByZone[m.zone]++
	if a.schedulable(m, now) || (m.starting() && !m.terminating) {
		a.counts.machinesByType[m.typeName]++
	}
	if t := a.inventory.Type(m.typeName); t != nil && !m.terminating && m.starting() && now-m.createdAt < bootTimeout(t) {
		a.counts.bootingByKind[m.machineKind]++
	}
}

// listKinds lists the kinds that the cloud offers: spot ones first, then by type and zone.
func (a *autoscaler) listKinds() {
	kinds := a.counts.creatableKinds
	for name, t := range a.inventory.Catalog() {
		for _, zone := range t.Zones {
			kinds = append(kinds, machineKind{name, zone, true}, machineKind{name, zone, false})
		}
	}
	sort.Slice(kinds, func(i, k int) bool { return kinds[i].before(kinds[k]) })
	a.counts.creatableKinds = kinds
}

func (k machineKind) before(other machineKind) bool {
	if k.spot != other.spot {
		return k.spot
	}
	return k.typeName < other.typeName || (k.typeName == other.typeName && k.zone < other.zone)
}
