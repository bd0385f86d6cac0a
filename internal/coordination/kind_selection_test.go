package coordination

import (
	"testing"
	"time"

	"github.com/cobaltvale/cobaltvale/internal/cloud"
	"github.com/cobaltvale/cobaltvale/internal/protocol"
	"github.com/cobaltvale/cobaltvale/internal/protocol/meshpb"
)

// fixedCatalog is a catalog that does not change.
type fixedCatalog cloud.Catalog

func (c fixedCatalog) Catalog() cloud.Catalog                 { return cloud.Catalog(c) }
func (c fixedCatalog) Type(name string) *protocol.MachineType { return c[name] }

// testCatalog returns a catalog with a cheap type, one that costs a little more and fetches
// images faster, and an expensive one with GPUs.
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
	onDemand := &meshpb.JobSummary{Cpus: 2, MemoryGb: 4}
	service := &meshpb.JobSummary{Cpus: 2, MemoryGb: 4, Service: true}
	for _, test := range []struct {
		name        string
		spec        *meshpb.JobSummary
		counts      fleetCounts
		query       kindQuery
		unavailable []machineKind
		want        machineKind
		ok          bool
	}{
		{"the cheapest kind is a spot kind", array, fleetCounts{machinesByZone: map[string]int{"z1": 1}}, kindQuery{}, nil, machineKind{"m8", "z2", true}, true},
		{"the zone with fewer machines is chosen", onDemand, fleetCounts{machinesByZone: map[string]int{"z2": 3}}, kindQuery{}, nil, machineKind{"m8", "z1", false}, true},
		{"planned machines count in their zone", onDemand, fleetCounts{machinesByZone: map[string]int{"z2": 3}},
			kindQuery{planned: map[machineKind]int{{"m8", "z1", false}: 4}}, nil, machineKind{"m8", "z2", false}, true},
		{"a service gets the kind that fetches faster if it costs little more", service, fleetCounts{}, kindQuery{}, nil, machineKind{"fast", "z1", false}, true},
		{"unavailable kinds are excluded", service, fleetCounts{machinesByZone: map[string]int{"z1": 1}}, kindQuery{},
			[]machineKind{{"fast", "z1", false}}, machineKind{"m8", "z2", false}, true},
		{"unavailable kinds are included if the query says so", service, fleetCounts{}, kindQuery{includeUnavailable: true},
			[]machineKind{{"fast", "z1", false}}, machineKind{"fast", "z1", false}, true},
		{"the task fits on no type", &meshpb.JobSummary{Cpus: 9}, fleetCounts{}, kindQuery{}, nil, machineKind{}, false},
	} {
		t.Run(test.name, func(t *testing.T) {
			kinds := newKindSelector(testCatalog(), &test.counts)
			for _, kind := range test.unavailable {
				kinds.markKindUnavailable(kind, now+1)
			}
			test.query.job, test.query.now = testJob(test.spec), now
			kind, ok := kinds.bestKind(test.query)
			requireEqual(t, "kind", kind, test.want)
			requireEqual(t, "found", ok, test.ok)
		})
	}
}

// A type is reserved for the jobs that fit on no other, for exclusiveNeedWindow after such a
// job was last observed. Replicas of services may still use it.
func TestTypeIsReservedForJobsThatFitOnNoOther(t *testing.T) {
	kinds := newKindSelector(testCatalog(), &fleetCounts{})
	gpuJob := testJob(&meshpb.JobSummary{Cpus: 1, Gpus: 1})
	gpuJob.onlyFittingType = kinds.onlyFittingType(gpuJob.spec)
	requireEqual(t, "only type that the GPU job fits on", gpuJob.onlyFittingType, "gpu")
	array := testJob(&meshpb.JobSummary{Cpus: 1})
	requireEqual(t, "only type that the array fits on", kinds.onlyFittingType(array.spec), "")
	service := testJob(&meshpb.JobSummary{Cpus: 1, Service: true})

	kinds.recordExclusiveNeed(gpuJob.onlyFittingType, 0)
	requireEqual(t, "reserved for jobs other than the GPU job", kinds.reservedForOthers(gpuJob, "gpu", 1), false)
	requireEqual(t, "reserved for jobs other than the array", kinds.reservedForOthers(array, "gpu", 1), true)
	requireEqual(t, "reserved for jobs other than the service", kinds.reservedForOthers(service, "gpu", 1), false)
	requireEqual(t, "another type is reserved", kinds.reservedForOthers(array, "m8", 1), false)
	requireEqual(t, "still reserved after the window", kinds.reservedForOthers(array, "gpu", exclusiveNeedWindow), false)
}

func TestLeadTimeIsThatOfTheFastestType(t *testing.T) {
	kinds := newKindSelector(testCatalog(), &fleetCounts{})
	requireEqual(t, "lead time with the fastest type", kinds.leadTime(testJob(&meshpb.JobSummary{Cpus: 1})), 20*time.Second+500*time.Millisecond)
	requireEqual(t, "lead time with the only fitting type", kinds.leadTime(testJob(&meshpb.JobSummary{Cpus: 1, Gpus: 1})), 42*time.Second)
	requireEqual(t, "lead time without a fitting type", kinds.leadTime(testJob(&meshpb.JobSummary{Cpus: 9})), time.Duration(0))
}
