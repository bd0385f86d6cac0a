package coordination

import (
	"time"

	"github.com/cobaltvale/cobaltvale/internal/protocol"
	"github.com/cobaltvale/cobaltvale/internal/protocol/meshpb"
	"github.com/cobaltvale/cobaltvale/internal/storage"
)

const tombstoneTTL = 10 * time.Minute // how long the leader remembers what has ended

// readUnfinishedJobs reads the unfinished jobs of a shard that nobody has registered
// yet: all their tasks may be running and count against their teams. It tries until
// it has read them, or an owner has told them.
func (l *leader) readUnfinishedJobs(shard *shardState) {
	shard.readAttempts++
	l.env.store.UnfinishedJobs(shard.name, func(jobs []storage.RecoveredJob, revision uint64, err error) {
		if l.ended || shard.jobsKnown {
			return
		}
		if err != nil {
			l.env.store.After(stateRetryInterval, func() {
				if !l.ended && !shard.jobsKnown {
					l.readUnfinishedJobs(shard)
				}
			})
			return
		}
		for i := range jobs {
			l.applySummary(shard, recoveredSummary(&jobs[i].Job))
		}
		l.shards.setJobsKnown(shard)
		l.env.log.Info().Str("shard", shard.name).Int("jobs", len(jobs)).Uint64("revision", revision).Int("reads", shard.readAttempts).
			Int64("after_ms", (l.now() - l.electedAt).Milliseconds()).Msg("unfinished jobs read")
	})
}

// recoveredSummary is what a job's record says of it: any of its tasks may be placed.
func recoveredSummary(job *protocol.Job) *meshpb.JobSummary {
	return &meshpb.JobSummary{Job: job.ID, Team: job.Team, Cpus: job.CPUs, Gpus: job.GPUs, MemoryGb: job.MemoryGB,
		Priority: uint32(job.Priority), Class: job.Class, Assigned: uint32(job.Tasks), HasSpec: true}
}

// onJobSummaries takes what a shard's owner says of its jobs.
func (l *leader) onJobSummaries(p *peer, summaries *meshpb.JobSummaries) {
	shard := l.shards.get(summaries.Shard)
	if shard == nil || shard.owner != p {
		return
	}
	for _, summary := range summaries.Jobs {
		l.applySummary(shard, summary)
	}
}

// applySummary takes what is said of a job. One that has ended stays so, whatever a
// late message says.
func (l *leader) applySummary(shard *shardState, summary *meshpb.JobSummary) {
	job := l.jobs[summary.Job]
	if job == nil {
		if job = l.addJob(shard, summary); job == nil {
			return
		}
	}
	job.shard = shard
	if job.omitted && summary.HasSpec && !summary.Ended {
		// It was being created: this leader had read its record already when the
		// owner, which had no answer yet, registered. Ended for good it never ran.
		job.ended, job.omitted = false, false
	}
	if summary.HasSpec && !job.ended {
		l.applySpec(job, summary)
	}
	if job.ended {
		return
	}
	shard.jobs[summary.Job] = job
	l.setCounts(job, summary)
	if summary.Ended {
		l.endJob(job)
	}
}

// addJob makes a job known. It returns nil if no more is to be said of it: it has
// ended already, or its spec is yet to come.
func (l *leader) addJob(shard *shardState, summary *meshpb.JobSummary) *trackedJob {
	if summary.Ended {
		l.jobs[summary.Job] = &trackedJob{id: summary.Job, shard: shard, ended: true, endedAt: l.now(), team: l.usage.teams[summary.Team]}
		return nil
	}
	if !summary.HasSpec {
		return nil
	}
	job := &trackedJob{id: summary.Job, failedOn: make(map[string]bool)}
	l.jobs[summary.Job] = job
	return job
}

// applySpec takes a job's spec, and notes its arrival if its owner tells of it for
// the first time; records don't say when a job was submitted.
func (l *leader) applySpec(job *trackedJob, summary *meshpb.JobSummary) {
	told := job.spec != nil && job.spec.SubmittedMs > 0
	l.setSpec(job, summary)
	if !told && summary.SubmittedMs > 0 {
		l.observeArrival(job, l.now())
	}
}

// setSpec takes a job's spec, and counts the job by it.
func (l *leader) setSpec(job *trackedJob, summary *meshpb.JobSummary) {
	l.usage.remove(job) // what is counted for it was of the old size
	job.spec, job.team, job.priority = summary, l.usage.teams[summary.Team], protocol.Priority(summary.Priority)
	job.image = l.images.get(summary.Image, summary.ImageGb)
	job.onlyType = l.kinds.onlyFittingType(summary)
	l.usage.update(job)
}

// setCounts takes what the owner says of a job: how many tasks wait, and how many may
// be on machines.
func (l *leader) setCounts(job *trackedJob, summary *meshpb.JobSummary) {
	if int(summary.Pending) > job.pending {
		l.scheduler.queue.markDirty()
	}
	job.pending, job.placed, job.cancelling = int(summary.Pending), int(summary.Assigned), summary.Cancelling
	job.started = job.started || job.placed > 0
	l.usage.update(job)
}

// endJob notes that a job has ended: what is left of it has to go.
func (l *leader) endJob(job *trackedJob) {
	job.ended, job.endedAt, job.pending = true, l.now(), 0
	delete(job.shard.jobs, job.id)
	l.usage.update(job)
}

// removeTombstones forgets the jobs that ended long ago.
func (l *leader) removeTombstones(now time.Duration) {
	for id, job := range l.jobs {
		if job.ended && job.liveReplicas == 0 && job.offered == 0 && now-job.endedAt > tombstoneTTL {
			delete(l.jobs, id)
		}
	}
}

// withinTeamLimit tells whether one more task keeps its team inside its limit.
func (l *leader) withinTeamLimit(job *trackedJob) bool {
	return l.usage.withinLimit(job, l.knowledge())
}
