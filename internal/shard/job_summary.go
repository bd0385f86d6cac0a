package shard

import (
	"github.com/cobaltvale/cobaltvale/internal/protocol"
	"github.com/cobaltvale/cobaltvale/internal/protocol/meshpb"
)

// admissibleTasks returns how many tasks of a job may start now and fit into the allocation
// of their team.
func (o *Owner) admissibleTasks(job *Job) int {
	return o.admission.AdmissibleCount(&job.claim, job.startableTasks())
}

// summarize returns what the leader has to know of a job whose specification it has.
func (o *Owner) summarize(job *Job) *meshpb.JobSummary {
	job.publishedPending = o.admissibleTasks(job)
	return &meshpb.JobSummary{Job: job.id, Pending: uint32(job.publishedPending), Assigned: uint32(job.active), Ended: job.ended,
		Cancelling: job.finalStatus == protocol.StatusCancelled}
}

// summarizeWithSpec returns a summary of a job that includes its specification.
func (o *Owner) summarizeWithSpec(job *Job) *meshpb.JobSummary {
	summary := o.summarize(job)
	spec := job.spec
	summary.HasSpec, summary.Team, summary.Priority, summary.Class = true, spec.Team, uint32(spec.Priority), spec.Class
	summary.Cpus, summary.Gpus, summary.MemoryGb = spec.CPUs, spec.GPUs, spec.MemoryGB
	summary.Image, summary.ImageGb, summary.Types, summary.AnyType = spec.Image, spec.ImageGB, spec.Types, spec.AnyType
	summary.Zone, summary.SingleZone, summary.SpreadZones, summary.Spot = spec.Zone, spec.SingleZone, spec.SpreadZones, spec.Spot
	summary.EstimateS, summary.CheckpointDurationS, summary.CheckpointIntervalS = spec.EstimateS, spec.CheckpointDurationS, spec.CheckpointIntervalS
	summary.SubmittedMs, summary.Tasks, summary.Service = job.submittedAtMs, uint32(spec.Tasks), spec.Service
	if spec.HasDeadline {
		summary.DeadlineMs = job.submittedAtMs + int64(spec.DeadlineS*1000)
	}
	return summary
}

// nextSummary returns the summary of a changed job for the leader, with its specification
// unless that was sent before.
func (o *Owner) nextSummary(job *Job) *meshpb.JobSummary {
	if !job.specUnsent {
		return o.summarize(job)
	}
	job.specUnsent = false
	return o.summarizeWithSpec(job)
}

// PublishChangedJobs sends the leader the summaries of the jobs that changed since the last
// call.
func (o *Owner) PublishChangedJobs() {
	if len(o.unpublished) == 0 {
		return
	}
	summaries := make(map[*Shard][]*meshpb.JobSummary)
	for _, job := range o.unpublished {
		job.unpublished = false
		if o.shards[job.shard.name] != job.shard {
			continue // the shard was removed within this batch of events: its next holder continues the job
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
