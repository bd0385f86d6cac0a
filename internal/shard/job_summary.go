package shard

import (
	"github.com/cobaltvale/cobaltvale/internal/protocol"
	"github.com/cobaltvale/cobaltvale/internal/protocol/meshpb"
)

// admissible is how many tasks may be started now, and find room in the allocation of
// their team.
func (o *Owner) admissibleTasks(job *Job) int {
	return o.admission.Admissible(&job.claim, job.startableTasks())
}

// summarize is what the leader has to know of a job whose description it has.
func (o *Owner) summarize(job *Job) *meshpb.JobSummary {
	job.publishedPending = o.admissibleTasks(job)
	return &meshpb.JobSummary{Job: job.id, Pending: uint32(job.publishedPending), Assigned: uint32(job.active), Ended: job.ended,
		Cancelling: job.finalStatus == protocol.StatusCancelled}
}

// describe is a summary of a job with its description.
func (o *Owner) summarizeWithSpec(job *Job) *meshpb.JobSummary {
	summary := o.summarize(job)
	s := job.spec
	summary.HasSpec, summary.Team, summary.Priority, summary.Class = true, s.Team, uint32(s.Priority), s.Class
	summary.Cpus, summary.Gpus, summary.MemoryGb = s.CPUs, s.GPUs, s.MemoryGB
	summary.Image, summary.ImageGb, summary.Types, summary.AnyType = s.Image, s.ImageGB, s.Types, s.AnyType
	summary.Zone, summary.SingleZone, summary.SpreadZones, summary.Spot = s.Zone, s.SingleZone, s.SpreadZones, s.Spot
	summary.EstimateS, summary.CheckpointDurationS, summary.CheckpointIntervalS = s.EstimateS, s.CheckpointDurationS, s.CheckpointIntervalS
	summary.SubmittedMs, summary.Tasks, summary.Service = job.submittedAtMs, uint32(s.Tasks), s.Service
	if s.HasDeadline {
		summary.DeadlineMs = job.submittedAtMs + int64(s.DeadlineS*1000)
	}
	return summary
}

// nextSummary is what the leader is told of a job that has changed.
func (o *Owner) nextSummary(job *Job) *meshpb.JobSummary {
	if !job.specUnsent {
		return o.summarize(job)
	}
	job.specUnsent = false
	return o.summarizeWithSpec(job)
}

// Publish tells the leader which jobs have changed since it was called last.
func (o *Owner) PublishChangedJobs() {
	if len(o.unpublished) == 0 {
		return
	}
	summaries := make(map[*Shard][]*meshpb.JobSummary)
	for _, job := range o.unpublished {
		job.unpublished = false
		if o.shards[job.shard.name] != job.shard {
			continue // removed in this batch: the job goes on with the shard's next holder
		}
		if job.shard.registration.sent {
			summaries[job.shard] = append(summaries[job.shard], o.nextSummary(job))
		}
	}
	o.unpublished = o.unpublished[:0]
	for shard, jobs := range summaries {
		o.config.Leader.PublishSummaries(shard.name, jobs)
	}
}
