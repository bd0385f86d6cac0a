package coordination

import (
	"testing"

	"github.com/cobaltvale/cobaltvale/internal/protocol"
	"github.com/cobaltvale/cobaltvale/internal/protocol/meshpb"
)

func TestAllocateSupply(t *testing.T) {
	for _, test := range []struct {
		name        string
		tasks       int // pending tasks of 2 CPUs each
		urgent      bool
		service     bool
		partitioned bool
		inWarmPool  bool
		want        int // tasks that find no room on a machine of 8 CPUs
		needed      bool
	}{
		{"all tasks fit", 3, false, false, false, false, 0, true},
		{"some tasks don't fit", 6, false, false, false, false, 2, true},
		{"tasks that are not urgent wait for a partitioned machine", 3, false, false, true, false, 0, true},
		{"urgent tasks don't wait for a partitioned machine", 3, true, false, true, false, 3, false},
		{"array jobs can't use the warm pool", 3, false, false, false, true, 3, false},
		{"services can use the warm pool", 3, false, true, false, true, 0, true},
	} {
		t.Run(test.name, func(t *testing.T) {
			kind := machineKind{"m8", "z1", false}
			a := &autoscaler{counts: fleetCounts{creatableKinds: []machineKind{kind}}}
			kinds := newKindSelector(testCatalog(), &a.counts)
			a.kinds = &kinds
			m := &machine{inWarmPool: test.inWarmPool}
			s := supply{kind: {{machine: m, free: resources{cpus: 8, memoryGB: 64}, partitioned: test.partitioned}}}
			job := testJob(&meshpb.JobSummary{Cpus: 2, Service: test.service})
			if test.urgent {
				job.priority = protocol.PriorityUrgent
			}
			requireEqual(t, "tasks without room", a.allocateSupply(job, test.tasks, s, 0), test.want)
			requireEqual(t, "machine is marked as needed", m.neededByPendingTasks, test.needed)
		})
	}
}
