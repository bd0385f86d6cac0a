package shard

import (
	"iter"

	"github.com/cobaltvale/cobaltvale/internal/admission"
)

var _ admission.ShardOwner = (*Owner)(nil)

// StartableTasks implements admission.ShardOwner.
func (o *Owner) StartableTasks(visit func(claim *admission.Claim, tasks int)) {
	for _, job := range o.jobs {
		if startable := job.startableTasks(); startable > 0 {
			visit(&job.claim, startable)
		}
	}
}

// KeyVersions implements admission.ShardOwner.
func (o *Owner) KeyVersions() iter.Seq2[string, uint64] {
	return func(yield func(string, uint64) bool) {
		for name, shard := range o.shards {
			if !yield(name, shard.KeyVersion()) {
				return
			}
		}
	}
}

// AllocationsChanged implements admission.ShardOwner. It marks for publishing each job whose
// number of tasks that may start differs from the number last sent to the leader.
func (o *Owner) AllocationsChanged() {
	for _, job := range o.jobs {
		if o.admission.Limited(&job.claim) && job.publishedPending != o.admissibleTasks(job) {
			o.MarkChanged(job)
		}
	}
}
