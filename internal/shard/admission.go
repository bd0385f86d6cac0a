package shard

import (
	"iter"

	"github.com/cobaltvale/cobaltvale/internal/admission"
)

var _ admission.Shards = (*Owner)(nil)

// StartableTasks implements admission.Shards.
func (o *Owner) StartableTasks(visit func(claim *admission.Claim, tasks int)) {
	for _, job := range o.jobs {
		if n := job.startableTasks(); n > 0 {
			visit(&job.claim, n)
		}
	}
}

// KeyVersions implements admission.Shards.
func (o *Owner) KeyVersions() iter.Seq2[string, uint64] {
	return func(yield func(string, uint64) bool) {
		for name, shard := range o.shards {
			if !yield(name, shard.KeyVersion()) {
				return
			}
		}
	}
}

// AllocationsChanged implements admission.Shards: the leader is told of jobs of which more
// or fewer tasks may start than it knows.
func (o *Owner) AllocationsChanged() {
	for _, job := range o.jobs {
		if o.admission.Limited(&job.claim) && job.publishedPending != o.admissibleTasks(job) {
			o.MarkChanged(job)
		}
	}
}
