package coordination

import (
	"github.com/cobaltvale/cobaltvale/internal/protocol"
	"github.com/cobaltvale/cobaltvale/internal/protocol/meshpb"
	"github.com/cobaltvale/cobaltvale/internal/storage"
)

// readUnfinishedJobs reads from the state service the unfinished jobs of a shard that no
// owner has registered yet: all their tasks may be running, and count towards the limits
// of their teams. It retries until it has read the jobs or an owner has reported them. A read
// that skipped records shows nothing about the jobs that it lacks.
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
		now := l.now()
		for i := range jobs {
			l.jobs.apply(shard, recoveredSummary(&jobs[i].Job), now)
		}
		l.shards.setJobsKnown(shard)
		l.env.log.Info().Str("shard", shard.name).Int("jobs", len(jobs)).Uint64("revision", revision).Int("reads", shard.readAttempts).
			Int64("after_ms", (now - l.electedAt).Milliseconds()).Msg("unfinished jobs read")
	})
}

// recoveredSummary returns a summary of a job made from its record. It counts all tasks as
// assigned, since any of them may be on a machine.
func recoveredSummary(job *protocol.Job) *meshpb.JobSummary {
	return &meshpb.JobSummary{Job: job.ID, Team: job.Team, Cpus: job.CPUs, Gpus: job.GPUs, MemoryGb: job.MemoryGB,
		Priority: uint32(job.Priority), Class: job.Class, Assigned: uint32(job.Tasks), HasSpec: true}
}

// handleJobSummaries applies the job summaries of a shard's owner.
func (l *leader) handleJobSummaries(p *peer, summaries *meshpb.JobSummaries) {
	shard := l.shards.get(summaries.Shard)
	if shard == nil || shard.owner != p {
		return
	}
	now := l.now()
	for _, summary := range summaries.Jobs {
		l.jobs.apply(shard, summary, now)
	}
}

// withinTeamLimit reports whether a job's team stays within its limit with one more task.
func (l *leader) withinTeamLimit(job *trackedJob) bool {
	return !job.hasTeamLimit() || l.usage.withinLimit(job, l.recoveryProgress())
}
