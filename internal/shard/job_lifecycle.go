package shard

import (
	"errors"
	"strconv"
	"time"

	"github.com/cobaltvale/cobaltvale/internal/protocol"
	"github.com/cobaltvale/cobaltvale/internal/storage"
)

// Estimated memory of an unfinished job in this process.
const (
	bytesPerJob  = 4 << 10
	bytesPerTask = 72
)

func estimatedJobBytes(spec *protocol.Job) int64 { return bytesPerJob + bytesPerTask*int64(spec.Tasks) }

// ErrShardLost is passed to those who wait for a job's end when its shard is no longer
// held: the next holder determines how the job ends.
var ErrShardLost = errors.New("the job's shard is held no more")

// MemoryFull reports whether one more job would exceed the memory limit of new jobs. The
// limit leaves room for shards that this process may acquire.
func (o *Owner) MemoryFull(spec *protocol.Job) bool {
	return o.estimatedMemoryBytes+estimatedJobBytes(spec) > o.config.MemoryLimit
}

// addJob adds a job whose tasks are all pending.
func (o *Owner) addJob(shard *Shard, spec *protocol.Job, submittedAtMs int64, nonce string) *Job {
	job := newJob(shard, spec, submittedAtMs, nonce)
	shard.jobs[job.id] = job
	o.jobs[job.id] = job
	o.estimatedMemoryBytes += estimatedJobBytes(spec)
	o.MarkChanged(job)
	return job
}

// CreateJob writes a new job to this member's own shard. A request for a job that is being
// created already gets the result of that creation.
func (o *Owner) CreateJob(spec *protocol.Job, submittedAtMs int64, deadline time.Duration, done func(storage.CreateResult)) {
	shard := o.OwnShard()
	if shard == nil {
		done(storage.Unavailable)
		return
	}
	if o.jobs[spec.ID] != nil {
		// The job may be submitted again while its end is being written. A creation
		// in the same batch as the end crashed the process.
		done(storage.AlreadyExists)
		return
	}
	if pending := shard.pendingCreations[spec.ID]; pending != nil {
		pending.waiters = append(pending.waiters, done)
		return
	}
	o.lastNonce++
	nonce := o.config.ProcessNonce + "-" + strconv.FormatUint(o.lastNonce, 36)
	pending := &pendingCreation{nonce: nonce, waiters: []func(storage.CreateResult){done}}
	shard.pendingCreations[spec.ID] = pending
	shard.records.CreateJob(spec, submittedAtMs, nonce, deadline, func(result storage.CreateResult) {
		delete(shard.pendingCreations, spec.ID)
		if result == storage.Created && shard.jobs[spec.ID] == nil {
			o.addJob(shard, spec, submittedAtMs, nonce)
		}
		for _, fn := range pending.waiters {
			fn(result)
		}
	})
}

// Cancel ends a job at its user's request. done receives the final status once that is
// durable, or ErrShardLost if this process cannot determine it. The leader stops the job's
// tasks immediately: during an outage the end may be written long before this owner learns
// of it, while others read it and tell the user, after which no task may run (rule
// ran_cancelled).
func (o *Owner) Cancel(job *Job, done func(status string, err error)) {
	job.onEnd = append(job.onEnd, done)
	o.endJob(job, protocol.StatusCancelled)
}

func (o *Owner) endJob(job *Job, status string) {
	if job.Ending() {
		return
	}
	job.finalStatus = status
	o.MarkChanged(job)
	job.shard.records.EndJob(job.spec, job.nonce, status, func() {
		if job.ended {
			return
		}
		job.ended = true
		o.MarkChanged(job)
		o.removeJob(job)
		o.config.FinalStatuses.AddFinal(job.id, status, job.spec.Tasks)
		job.notifyEnd(status, nil)
	})
}

// endIfFinished ends a job whose tasks have all succeeded.
func (o *Owner) endIfFinished(job *Job) {
	if job.allFinished() {
		o.endJob(job, protocol.StatusDone)
	}
}

// removeJob removes an ended job from the tables. The leader cleans up what is left of it
// on machines.
func (o *Owner) removeJob(job *Job) {
	if o.admission.Limited(&job.claim) {
		o.orphans.addJob(job)
	}
	for i := range job.tasks {
		switch job.tasks[i].state {
		case TaskUnreconciled:
			job.shard.unreconciledTasks--
		case TaskAssigned, TaskPlaced:
			o.removeFromMachine(job, int32(i))
		}
	}
	delete(job.shard.jobs, job.id)
	delete(o.jobs, job.id)
	o.estimatedMemoryBytes -= estimatedJobBytes(job.spec)
}
