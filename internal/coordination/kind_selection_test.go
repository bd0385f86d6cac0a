package coordination

import (
	"testing"
	"time"

	"github.com/cobaltvale/cobaltvale/internal/cloud"
	"github.com/cobaltvale/cobaltvale/internal/protocol"
	"github.com/cobaltvale/cobaltvale/internal/protocol/meshpb"
)

// fixedCatalog is a catalogue that does not change.
type fixedCatalog cloud.Catalog

func (c fixedCatalog) Catalog() cloud.Catalog                 { return cloud.Catalog(c) }
func (c fixedCatalog) Type(name string) *protocol.MachineType { return c[name] }

// testCatalog has a cheap type, one that costs little more and fetches sooner, and
// a dear one with GPUs.
func testCatalog() fixedCatalog {
	return fixedCatalog{
		"m8":   {Name: "m8", CPUs: 8, MemoryGB: 64, FetchRate: 1, Price: 1, SpotPrice: 0.3, BootS: 30, Zones: []string{"z1", "z2"}},
		"fast": {Name: "fast", CPUs: 8, MemoryGB: 64, FetchRate: 4, Price: 1.2, SpotPrice: 0.4, BootS: 20, Zones: []string{"z1"}},
		"gpu":  {Name: "gpu", CPUs: 8, GPUs: 2, MemoryGB: 64, FetchRate: 1, Price: 9, SpotPrice: 3, BootS: 40, Zones: []string{"z2"}},
	}
}

func testJob(spec *meshpb.JobSummary) *trackedJob {
	spec.AnyType = true
	return &trackedJob{id: spec.Job, spec: spec, priority: protocol.Priority(spec.Priority), image: &image{name: "img", sizeGB: 2}}
}

func TestBestKind(t *testing.T) {
	const now = time.Minute
	array := &meshpb.JobSummary{Cpus: 2, MemoryGb: 4, Spot: true}
	ordinary := &meshpb.JobSummary{Cpus: 2, MemoryGb: 4}
	service := &meshpb.JobSummary{Cpus: 2, MemoryGb: 4, Service: true}
	for _, test := range []struct {
		name    string
		spec    *meshpb.JobSummary
		counts  fleetCounts
		query   kindQuery
		refused []machineKind
		want    machineKind
		ok      bool
	}{
		{"the cheapest is a spot machine", array, fleetCounts{machinesByZone: map[string]int{"z1": 1}}, kindQuery{}, nil, machineKind{"m8", "z2", true}, true},
		{"the zone with fewer machines", ordinary, fleetCounts{machinesByZone: map[string]int{"z2": 3}}, kindQuery{}, nil, machineKind{"m8", "z1", false}, true},
		{"planned machines count in their zone", ordinary, fleetCounts{machinesByZone: map[string]int{"z2": 3}},
			kindQuery{planned: map[machineKind]int{{"m8", "z1", false}: 4}}, nil, machineKind{"m8", "z2", false}, true},
		{"a replica gets what fetches sooner, if it costs little more", service, fleetCounts{}, kindQuery{}, nil, machineKind{"fast", "z1", false}, true},
		{"what the cloud refuses is left out", service, fleetCounts{machinesByZone: map[string]int{"z1": 1}}, kindQuery{},
			[]machineKind{{"fast", "z1", false}}, machineKind{"m8", "z2", false}, true},
		{"unless it is asked for", service, fleetCounts{}, kindQuery{includeUnavailable: true},
			[]machineKind{{"fast", "z1", false}}, machineKind{"fast", "z1", false}, true},
		{"nothing fits", &meshpb.JobSummary{Cpus: 9}, fleetCounts{}, kindQuery{}, nil, machineKind{}, false},
	} {
		t.Run(test.name, func(t *testing.T) {
			kinds := newKindSelector(testCatalog(), &test.counts)
			for _, kind := range test.refused {
				kinds.markKindUnavailable(kind, now+1)
			}
			test.query.job, test.query.now = testJob(test.spec), now
			kind, ok := kinds.bestKind(test.query)
			requireEqual(t, "kind", kind, test.want)
			requireEqual(t, "found", ok, test.ok)
		})
	}
}

// A type that some job needs, since it fits on no other, is reserved for such jobs
// for a while; replicas of services may use it all the same.
func TestTypeIsReservedForJobsThatFitOnNoOther(t *testing.T) {
	kinds := newKindSelector(testCatalog(), &fleetCounts{})
	needy := testJob(&meshpb.JobSummary{Cpus: 1, Gpus: 1})
	needy.onlyMachineType = kinds.onlyFittingType(needy.spec)
	requireEqual(t, "the type that fits", needy.onlyMachineType, "gpu")
	array := testJob(&meshpb.JobSummary{Cpus: 1})
	requireEqual(t, "several types fit", kinds.onlyFittingType(array.spec), "")
	service := testJob(&meshpb.JobSummary{Cpus: 1, Service: true})

	kinds.recordExclusiveNeed(needy.onlyMachineType, 0)
	requireEqual(t, "reserved for the job that needs it", kinds.reservedForOthers(needy, "gpu", 1), false)
	requireEqual(t, "reserved against others", kinds.reservedForOthers(array, "gpu", 1), true)
	requireEqual(t, "reserved against services", kinds.reservedForOthers(service, "gpu", 1), false)
	requireEqual(t, "another type", kinds.reservedForOthers(array, "m8", 1), false)
	requireEqual(t, "after a while", kinds.reservedForOthers(array, "gpu", exclusiveNeedWindow), false)
}

func TestLeadTimeIsThatOfTheFastestType(t *testing.T) {
	kinds := newKindSelector(testCatalog(), &fleetCounts{})
	requireEqual(t, "boot and fetch", kinds.leadTime(testJob(&meshpb.JobSummary{Cpus: 1})), 20*time.Second+500*time.Millisecond)
	requireEqual(t, "of the only type", kinds.leadTime(testJob(&meshpb.JobSummary{Cpus: 1, Gpus: 1})), 42*time.Second)
	requireEqual(t, "of none", kinds.leadTime(testJob(&meshpb.JobSummary{Cpus: 9})), time.Duration(0))
}
