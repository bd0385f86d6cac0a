package coordination

import (
	"math"

	"github.com/cobaltvale/cobaltvale/internal/cloud"
	"github.com/cobaltvale/cobaltvale/internal/protocol"
	"github.com/cobaltvale/cobaltvale/internal/protocol/meshpb"
)

// resources is an amount of what tasks need of a machine.
type resources struct{ cpus, gpus, memoryGB float64 }

// fits reports whether there is room for one task of a job.
func (r resources) fits(s *meshpb.JobSummary) bool {
	const slack = 1e-9 // for rounding errors
	return s.Cpus <= r.cpus+slack && s.Gpus <= r.gpus+slack && s.MemoryGb <= r.memoryGB+slack
}

// subtract subtracts what one task of a job needs.
func (r *resources) subtract(s *meshpb.JobSummary) {
	r.cpus -= s.Cpus
	r.gpus -= s.Gpus
	r.memoryGB -= s.MemoryGb
}

// add adds what one task of a job needs.
func (r *resources) add(s *meshpb.JobSummary) {
	r.cpus += s.Cpus
	r.gpus += s.Gpus
	r.memoryGB += s.MemoryGb
}

// capacityOf returns the resources of an empty machine of a type.
func capacityOf(t *protocol.MachineType) resources { return resources{t.CPUs, t.GPUs, t.MemoryGB} }

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
