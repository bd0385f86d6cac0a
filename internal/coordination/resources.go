package coordination

import (
	"math"

	"github.com/cobaltvale/cobaltvale/internal/cloud"
	"github.com/cobaltvale/cobaltvale/internal/protocol"
	"github.com/cobaltvale/cobaltvale/internal/protocol/meshpb"
)

// A machine whose heartbeat is longer than a request may be loses its lease and all of its tasks.
// The sizes are in bytes of the JSON form, which the protocol's limits count.
const (
	maxHeartbeatBytes  = 64 << 10
	heartbeatBaseBytes = 1 << 10 // of a heartbeat without tasks, at most
	taskStatusBytes    = 128     // of one task in a heartbeat, at most

	// maxTasksPerMachine is the number of tasks, exited ones included, that a heartbeat has room for.
	maxTasksPerMachine = (maxHeartbeatBytes - heartbeatBaseBytes) / taskStatusBytes
)

// resources is an amount of what tasks need of a machine.
type resources struct {
	cpus, gpus, memoryGB float64
	listedTasks          int // tasks that the machine's heartbeat lists, if the amount is what they leave free
}

// fits reports whether there is room for one task of a job.
func (r resources) fits(s *meshpb.JobSummary) bool {
	const slack = 1e-9 // for rounding errors
	return r.listedTasks < maxTasksPerMachine && s.Cpus <= r.cpus+slack && s.Gpus <= r.gpus+slack && s.MemoryGb <= r.memoryGB+slack
}

// subtract subtracts what one task of a job needs.
func (r *resources) subtract(s *meshpb.JobSummary) {
	r.cpus -= s.Cpus
	r.gpus -= s.Gpus
	r.memoryGB -= s.MemoryGb
	r.listedTasks++
}

// add adds what one task of a job needs.
func (r *resources) add(s *meshpb.JobSummary) {
	r.cpus += s.Cpus
	r.gpus += s.Gpus
	r.memoryGB += s.MemoryGb
	r.listedTasks--
}

// exhausted reports whether there is room for no task that needs CPUs.
func (r resources) exhausted() bool { return r.cpus <= 0 || r.listedTasks >= maxTasksPerMachine }

// capacityOf returns the resources of an empty machine of a type.
func capacityOf(t *protocol.MachineType) resources {
	return resources{cpus: t.CPUs, gpus: t.GPUs, memoryGB: t.MemoryGB}
}

// capacityOrLargest returns the capacity of a type or, if the type is not in the catalog
// because the machine's type is not known, the most CPUs and the most GPUs of any type.
func capacityOrLargest(catalog cloud.Catalog, typeName string) resources {
	if t := catalog[typeName]; t != nil {
		return capacityOf(t)
	}
	var r resources
	for _, t := range catalog {
		r.cpus, r.gpus = math.Max(r.cpus, t.CPUs), math.Max(r.gpus, t.GPUs)
	}
	return r
}
