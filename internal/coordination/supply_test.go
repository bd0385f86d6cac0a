package coordination

import (
	"testing"

	"github.com/cobaltvale/cobaltvale/internal/protocol"
	"github.com/cobaltvale/cobaltvale/internal/protocol/meshpb"
)

func TestAllocateSupply(t *testing.T) {
	for _, test := range []struct {
		name        string
		tasks       int // of 2 CPUs, pending
		urgent      bool
		service     bool
		partitioned bool
		inWarmPool  bool
		want        int // that find no room on 8 CPUs
		needed      bool
	}{
		{"all fit", 3, false, false, false, false, 0, true},
		{"some don't", 6, false, false, false, false, 2, true},
		{"others wait for machines that are cut off", 3, false, false, true, false, 0, true},
		{"urgent tasks don't", 3, true, false, true, false, 3, false},
		{"the warm pool is not for arrays", 3, false, false, false, true, 3, false},
		{"but for services", 3, false, true, false, true, 0, true},
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
			requireEqual(t, "without room", a.allocateSupply(job, test.tasks, s, 0), test.want)
			requireEqual(t, "the machine is needed", m.neededByPendingTasks, test.needed)
		})
	}
}
