package coordination

import (
	"time"

	"github.com/cobaltvale/cobaltvale/internal/protocol"
	"github.com/cobaltvale/cobaltvale/internal/protocol/meshpb"
	"github.com/cobaltvale/cobaltvale/internal/storage"
)

const tombstoneTTL = 10 * time.Minute // how long the leader remembers what has ended

// trackedJob is a job as its owner describes it.
type trackedJob struct {
	spec          *meshpb.JobSummary
	id            string
	shard         *shardState
	team          *teamUsage
	priority      protocol.Priority
	image         *image
	onlyType      string // the one type that its tasks fit on, or none
	pending       int
	placed        int  // absolute, by the owner
	offered       int  // in offers that are not answered yet
	liveReplicas  int  // live copies that machines list, or were sent
	counted       int  // how many its team's use holds for it
	cancelling    bool // its user wants it cancelled: nothing is started, what runs is stopped
	ended         bool
	omitted       bool // closed only because its ledger's owner did not list it when it joined
	endedAt       time.Duration
	started       bool // a task of it was located
	startSent     bool // this leader has sent a start of it
	overdueStarts int  // starts on their way that it gets only because it waited for too long
	preemptions   int  // how often a task of it made room for others
	orderKey      orderKey
	failedOn      map[string]bool
	succeeded     bool
}

// unoffered is how many tasks wait and are not on offer.
func (j *trackedJob) unoffered() int {
	if j.ended || j.cancelling || j.team == nil || j.shard.owner == nil {
		return 0
	}
	return max(0, j.pending-j.offered)
}

// readUnfinishedJobs reads the unfinished jobs of a ledger that nobody has joined
// for yet: all their tasks may be running and count against their teams.
func (l *leader) readUnfinishedJobs(shard *shardState) {
	shard.readAttempts++
	l.c.store.UnfinishedJobs(shard.name, func(jobs []storage.RecoveredJob, revision uint64, err error) {
		if l.c.leader != l || shard.jobsKnown {
			return
		}
		if err != nil {
			l.c.store.After(stateRetryInterval, func() {
				if l.c.leader == l && !shard.jobsKnown {
					l.readUnfinishedJobs(shard)
				}
			})
			return
		}
		for i := range jobs {
			s := &jobs[i].Job
			l.applySummary(shard, &meshpb.JobSummary{Job: s.ID, Team: s.Team, Cpus: s.CPUs, Gpus: s.GPUs, MemoryGb: s.MemoryGB,
				Priority: uint32(s.Priority), Class: s.Class, Assigned: uint32(s.Tasks), HasSpec: true})
		}
		l.shards.setJobsKnown(shard)
		l.c.log.Info().Str("ledger", shard.name).Int("jobs", len(jobs)).Uint64("revision", revision).Int("reads", shard.readAttempts).
			Int64("after_ms", (l.c.now() - l.electedAt).Milliseconds()).Msg("unfinished jobs read")
	})
}

func (l *leader) applySummary(shard *shardState, summary *meshpb.JobSummary) {
	job := l.jobs[summary.Job]
	if job == nil {
		if !summary.HasSpec || summary.Ended {
			if summary.Ended {
				l.jobs[summary.Job] = &trackedJob{id: summary.Job, shard: shard, ended: true, endedAt: l.c.now(), team: l.usage.teams[summary.Team]}
			}
			return
		}
		job = &trackedJob{id: summary.Job, failedOn: make(map[string]bool)}
		l.jobs[summary.Job] = job
	}
	job.shard = shard
	if job.omitted && summary.HasSpec && !summary.Ended {
		// It was being created: this leader had read its record already when the
		// owner, which had no answer yet, joined. Closed for good it never ran.
		job.ended, job.omitted = false, false
	}
	if summary.HasSpec && !job.ended {
		told := job.spec != nil && job.spec.SubmittedMs > 0
		l.setSpec(job, summary)
		if !told && summary.SubmittedMs > 0 {
			l.forecast.observe(job, l.c.now())
		}
	}
	if job.ended {
		return // it stays over, whatever a late message says
	}
	shard.jobs[summary.Job] = job
	l.setCounts(job, summary)
	if summary.Ended {
		l.endJob(job)
	}
}

// setSpec takes a job's description.
func (l *leader) setSpec(job *trackedJob, summary *meshpb.JobSummary) {
	l.usage.remove(job) // what is counted for it was of the old size
	job.spec, job.team, job.priority = summary, l.usage.teams[summary.Team], protocol.Priority(summary.Priority)
	job.image = l.images.get(summary.Image, summary.ImageGb)
	job.onlyType = l.autoscaler.onlyFittingType(summary)
	l.usage.update(job)
}

// setCounts takes what the owner says of a job: how many tasks wait, and how
// many may be on machines.
func (l *leader) setCounts(job *trackedJob, summary *meshpb.JobSummary) {
	if int(summary.Pending) > job.pending {
		l.pendingQueue.dirty = true
	}
	job.pending, job.placed, job.cancelling = int(summary.Pending), int(summary.Assigned), summary.Cancelling
	job.started = job.started || job.placed > 0
	l.usage.update(job)
}

// endJob notes that a job is over: what is left of it has to go.
func (l *leader) endJob(job *trackedJob) {
	job.ended, job.endedAt, job.pending = true, l.c.now(), 0
	delete(job.shard.jobs, job.id)
	l.usage.update(job)
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

// removeTombstones forgets the jobs that were over long ago.
func (l *leader) removeTombstones(now time.Duration) {
	for id, j := range l.jobs {
		if j.ended && j.liveReplicas == 0 && j.offered == 0 && now-j.endedAt > tombstoneTTL {
			delete(l.jobs, id)
		}
	}
}

// permits tells whether a job may run on a machine.
func permits(s *meshpb.JobSummary, v machineKind) bool {
	if (v.spot && !s.Spot) || (s.Zone != "" && s.Zone != v.zone) {
		return false
	}
	if s.AnyType {
		return true
	}
	for _, t := range s.Types {
		if t == v.typeName {
			return true
		}
	}
	return false
}

// withinTeamLimit tells whether one more task keeps its team inside its limit.
func (l *leader) withinTeamLimit(job *trackedJob) bool {
	return l.usage.withinLimit(job, l.knowledge())
}
