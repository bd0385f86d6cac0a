package coordination

import (
	"time"

	"github.com/cobaltvale/cobaltvale/internal/protocol"
	"github.com/cobaltvale/cobaltvale/internal/protocol/meshpb"
)

// tombstoneTTL is how long the leader keeps the entries of ended jobs and of terminated
// machines.
const tombstoneTTL = 10 * time.Minute

// jobTable owns the leader's copy of the jobs, as reported by the owners of their shards
// or read from records of the state service. It updates the teams' use with each change.
type jobTable struct {
	byID   map[string]*trackedJob
	images *imageTable
	usage  *usageAccounting

	// onlyFittingType returns the only machine type that a job's tasks fit on, or "" if
	// there are none or several.
	onlyFittingType func(*meshpb.JobSummary) string
	// onArrival is called for each job that an owner reports for the first time.
	onArrival func(*trackedJob, time.Duration)
	// onPending is called when more tasks of some job are pending.
	onPending func()
}

// get returns a job, or nil if it is not known.
func (t *jobTable) get(id string) *trackedJob { return t.byID[id] }

// apply applies a summary of a job. A job that has ended stays ended whatever a late
// message says, unless it ended by omission and the summary has its spec.
func (t *jobTable) apply(shard *shardState, summary *meshpb.JobSummary, now time.Duration) {
	job := t.byID[summary.Job]
	if job == nil {
		if job = t.add(shard, summary, now); job == nil {
			return
		}
	}
	job.shard = shard
	if job.endedByOmission && summary.HasSpec && !summary.Ended {
		// The job was being created when its owner registered: the owner had no response to
		// the write of its record yet and did not list the job, while this leader had already
		// read that record. If the job stayed ended it would never run.
		job.ended, job.endedByOmission = false, false
	}
	if summary.HasSpec && !job.ended {
		t.applySpec(job, summary, now)
	}
	if job.ended {
		return
	}
	shard.jobs[summary.Job] = job
	t.setCounts(job, summary)
	if summary.Ended {
		t.markEnded(job, now)
	}
}

// add adds a job that is not known yet. It returns nil if nothing more of the summary
// applies: the job has ended already, or its spec has not arrived yet.
func (t *jobTable) add(shard *shardState, summary *meshpb.JobSummary, now time.Duration) *trackedJob {
	if summary.Ended {
		t.byID[summary.Job] = &trackedJob{id: summary.Job, shard: shard, ended: true, endedAt: now, team: t.usage.teams[summary.Team]}
		return nil
	}
	if !summary.HasSpec {
		return nil
	}
	job := &trackedJob{id: summary.Job, failedMachines: make(map[string]bool)}
	t.byID[summary.Job] = job
	return job
}

// applySpec applies a job's spec, and reports the arrival if the job's owner reports the
// job for the first time. Summaries from records have no time of submission.
func (t *jobTable) applySpec(job *trackedJob, summary *meshpb.JobSummary, now time.Duration) {
	reportedBefore := job.spec != nil && job.spec.SubmittedMs > 0
	t.setSpec(job, summary)
	if !reportedBefore && summary.SubmittedMs > 0 {
		t.onArrival(job, now)
	}
}

// setSpec replaces a job's spec, and updates the use of its team.
func (t *jobTable) setSpec(job *trackedJob, summary *meshpb.JobSummary) {
	t.usage.remove(job) // it was counted with the old spec
	job.spec, job.team, job.priority = summary, t.usage.teams[summary.Team], protocol.Priority(summary.Priority)
	job.image = t.images.get(summary.Image, summary.ImageGb)
	job.onlyFittingType = t.onlyFittingType(summary)
	t.usage.update(job)
}

// setCounts records an owner's counts of a job's tasks: how many are pending, and how many
// may be on machines.
func (t *jobTable) setCounts(job *trackedJob, summary *meshpb.JobSummary) {
	if int(summary.Pending) > job.pending {
		t.onPending()
	}
	job.pending, job.assigned, job.cancelling = int(summary.Pending), int(summary.Assigned), summary.Cancelling
	job.started = job.started || job.assigned > 0
	t.usage.update(job)
}

// markEnded records that a job has ended. Replicas of it that are left have to stop.
func (t *jobTable) markEnded(job *trackedJob, now time.Duration) {
	job.ended, job.endedAt, job.pending = true, now, 0
	delete(job.shard.jobs, job.id)
	t.usage.update(job)
}

// endOmittedJobs marks as ended the jobs of a shard that its new owner does not list.
func (t *jobTable) endOmittedJobs(shard *shardState, now time.Duration) {
	t.endJobsExcept(shard, func(id string) bool { return shard.registrationJobs[id] != nil }, now)
}

// endJobsExcept marks as ended the jobs of a shard for which unfinished returns false, and returns
// how many these are.
func (t *jobTable) endJobsExcept(shard *shardState, unfinished func(id string) bool, now time.Duration) (ended int) {
	for id, job := range shard.jobs {
		if !unfinished(id) {
			t.markEnded(job, now)
			job.endedByOmission = true
			ended++
		}
	}
	return ended
}

// removeTombstones removes jobs that ended more than tombstoneTTL ago, have no live
// replicas and are not on offer.
func (t *jobTable) removeTombstones(now time.Duration) {
	for id, job := range t.byID {
		if job.ended && job.liveReplicas == 0 && job.offered == 0 && now-job.endedAt > tombstoneTTL {
			delete(t.byID, id)
		}
	}
}
