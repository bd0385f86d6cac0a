package coordination

import (
	"time"

	"github.com/cobaltvale/cobaltvale/internal/protocol"
	"github.com/cobaltvale/cobaltvale/internal/protocol/meshpb"
)

const tombstoneTTL = 10 * time.Minute // how long the leader remembers what has ended

// jobTable owns what the leader knows of jobs from their shards' owners, or from
// records. It keeps the account of teams' use with them, and tells by three functions
// what others have to hear.
type jobTable struct {
	byID   map[string]*trackedJob
	images *imageTable
	usage  *usageAccounting

	// onlyFittingType returns the one machine type that a job's tasks fit on, or "".
	onlyFittingType func(*meshpb.JobSummary) string
	// onArrival hears of each job that an owner tells of for the first time.
	onArrival func(*trackedJob, time.Duration)
	// onPending hears that more tasks of some job are pending.
	onPending func()
}

// get returns a job, or nil if it is not known.
func (t *jobTable) get(id string) *trackedJob { return t.byID[id] }

// apply takes what is said of a job. One that has ended stays so, whatever a late
// message says.
func (t *jobTable) apply(shard *shardState, summary *meshpb.JobSummary, now time.Duration) {
	job := t.byID[summary.Job]
	if job == nil {
		if job = t.add(shard, summary, now); job == nil {
			return
		}
	}
	job.shard = shard
	if job.endedByOmission && summary.HasSpec && !summary.Ended {
		// It was being created: this leader had read its record already when the
		// owner, which had no answer yet, registered. Ended for good it never ran.
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

// add makes a job known. It returns nil if no more is to be said of it: it has ended
// already, or its spec is yet to come.
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

// applySpec takes a job's spec, and notes its arrival if its owner tells of it for
// the first time; records don't say when a job was submitted.
func (t *jobTable) applySpec(job *trackedJob, summary *meshpb.JobSummary, now time.Duration) {
	told := job.spec != nil && job.spec.SubmittedMs > 0
	t.setSpec(job, summary)
	if !told && summary.SubmittedMs > 0 {
		t.onArrival(job, now)
	}
}

// setSpec takes a job's spec, and counts the job by it.
func (t *jobTable) setSpec(job *trackedJob, summary *meshpb.JobSummary) {
	t.usage.remove(job) // what is counted for it was of the old size
	job.spec, job.team, job.priority = summary, t.usage.teams[summary.Team], protocol.Priority(summary.Priority)
	job.image = t.images.get(summary.Image, summary.ImageGb)
	job.onlyMachineType = t.onlyFittingType(summary)
	t.usage.update(job)
}

// setCounts takes what the owner says of a job: how many tasks wait, and how many may
// be on machines.
func (t *jobTable) setCounts(job *trackedJob, summary *meshpb.JobSummary) {
	if int(summary.Pending) > job.pending {
		t.onPending()
	}
	job.pending, job.placed, job.cancelling = int(summary.Pending), int(summary.Assigned), summary.Cancelling
	job.started = job.started || job.placed > 0
	t.usage.update(job)
}

// end notes that a job has ended: what is left of it has to go.
func (t *jobTable) markEnded(job *trackedJob, now time.Duration) {
	job.ended, job.endedAt, job.pending = true, now, 0
	delete(job.shard.jobs, job.id)
	t.usage.update(job)
}

// endOmittedJobs ends the jobs of a shard that its new owner does not list.
func (t *jobTable) endOmittedJobs(shard *shardState, now time.Duration) {
	for id, job := range shard.jobs {
		if shard.arrivingJobs[id] == nil {
			t.markEnded(job, now)
			job.endedByOmission = true
		}
	}
}

// removeTombstones forgets the jobs that ended long ago.
func (t *jobTable) removeTombstones(now time.Duration) {
	for id, job := range t.byID {
		if job.ended && job.liveReplicas == 0 && job.offered == 0 && now-job.endedAt > tombstoneTTL {
			delete(t.byID, id)
		}
	}
}
