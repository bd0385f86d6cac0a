package coordination

import (
	"time"

	"github.com/cobaltvale/cobaltvale/internal/protocol"
	"github.com/cobaltvale/cobaltvale/internal/protocol/meshpb"
	"github.com/cobaltvale/cobaltvale/internal/storage"
)

// unownedReadInterval is the minimum time between reads of the unfinished jobs of a shard that has
// no owner.
const unownedReadInterval = 2 * time.Second

// readJobsOfUnownedShards begins the reads that are due of the unfinished jobs of shards without an
// owner. The first read shows which jobs may have tasks on machines, and the next ones which of
// them have ended since: an owner may confirm the end of a job and lose the shard before the leader
// hears of it.
func (l *leader) readJobsOfUnownedShards(now time.Duration) {
	for _, shard := range l.shards.byName {
		if shard.owner == nil && !shard.readInFlight && now >= shard.nextReadAt {
			l.readUnfinishedJobs(shard)
		}
	}
}

// readUnfinishedJobs reads the unfinished jobs of a shard from the state service. The result is
// dropped if a member has registered the shard meanwhile. A read that skipped records shows nothing
// about the jobs that it lacks, and is repeated like one without an answer.
func (l *leader) readUnfinishedJobs(shard *shardState) {
	shard.readInFlight = true
	shard.readAttempts++
	registrations := shard.registrations
	l.env.store.UnfinishedJobs(shard.name, func(jobs []storage.RecoveredJob, revision uint64, err error) {
		if l.ended {
			return
		}
		now := l.now()
		shard.readInFlight = false
		if err != nil {
			shard.nextReadAt = now + stateRetryInterval
			return
		}
		shard.nextReadAt = now + unownedReadInterval
		if shard.registrations == registrations {
			l.applyUnfinishedJobs(shard, jobs, revision)
		}
	})
}

// applyUnfinishedJobs applies a read of a shard's unfinished jobs that began after the shard's last
// registration. All tasks of jobs that were unknown may be running, and count towards the limits of
// their teams. Jobs that the read lacks have ended.
func (l *leader) applyUnfinishedJobs(shard *shardState, jobs []storage.RecoveredJob, revision uint64) {
	now := l.now()
	unfinished := make(map[string]bool, len(jobs))
	for i := range jobs {
		id := jobs[i].Job.ID
		unfinished[id] = true
		if known := l.jobs.get(id); known == nil || known.ended {
			l.jobs.apply(shard, recoveredSummary(&jobs[i].Job), now)
		}
	}
	ended := l.jobs.endJobsExcept(shard, func(id string) bool { return unfinished[id] }, now)
	if ended > 0 {
		l.env.log.Info().Str("shard", shard.name).Int("jobs", ended).Uint64("revision", revision).Int("reads", shard.readAttempts).
			Msg("jobs ended while their shard had no owner")
	}
	if shard.jobsKnown {
		return
	}
	l.shards.setJobsKnown(shard)
	l.env.log.Info().Str("shard", shard.name).Int("jobs", len(jobs)).Uint64("revision", revision).Int("reads", shard.readAttempts).
		Int64("after_ms", (now - l.electedAt).Milliseconds()).Msg("unfinished jobs read")
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
