package shard

import (
	"errors"
	"strconv"
	"time"

	"github.com/cobaltvale/cobaltvale/internal/protocol"
	"github.com/cobaltvale/cobaltvale/internal/storage"
)

// What an unfinished job takes of this process's memory, roughly.
const (
	bytesPerJob  = 4 << 10
	bytesPerTask = 72
)

func estimatedJobBytes(spec *protocol.Job) int64 { return bytesPerJob + bytesPerTask*int64(spec.Tasks) }

// ErrShardLost is told to those who wait for a job's end when its shard is held no more:
// how the job ends is the next holder's to say.
var ErrShardLost = errors.New("the job's shard is held no more")

// MemoryFull tells whether one more job would take more than new jobs may; shards that
// are taken over need room too.
func (o *Owner) MemoryFull(spec *protocol.Job) bool {
	return o.estimatedMemoryBytes+estimatedJobBytes(spec) > o.config.MemoryLimit
}

// addJob adds a job whose tasks are all pending.
func (o *Owner) addJob(shard *Shard, spec *protocol.Job, submittedMs int64, nonce string) *Job {
	job := newJob(shard, spec, submittedMs, nonce)
	shard.jobs[job.id] = job
	o.jobs[job.id] = job
	o.estimatedMemoryBytes += estimatedJobBytes(spec)
	o.MarkChanged(job)
	return job
}

// CreateJob writes a new job to this member's own shard.
func (o *Owner) CreateJob(spec *protocol.Job, submittedMs int64, deadline time.Duration, done func(storage.CreateResult)) {
	shard := o.OwnShard()
	if shard == nil {
		done(storage.Unavailable)
		return
	}
	if o.jobs[spec.ID] != nil {
		// A repeat while the end is being written: in one batch with the end it
		// ended the process.
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
	shard.records.CreateJob(spec, submittedMs, nonce, deadline, func(result storage.CreateResult) {
		delete(shard.pendingCreations, spec.ID)
		if result == storage.Created && shard.jobs[spec.ID] == nil {
			o.addJob(shard, spec, submittedMs, nonce)
		}
		for _, fn := range pending.waiters {
			fn(result)
		}
	})
}

// Cancel ends a job as its user asks; done gets its final status once that is durable,
// or ErrShardLost if it cannot be said here. The leader stops its tasks from now on: the end
// may be written without this owner learning of it for as long as an outage
// lasts, while others read it and tell the user (ran_cancelled).
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
		o.config.FinalStatuses.Remember(job.id, status, job.spec.Tasks)
		job.notifyEnd(status, nil)
	})
}

// endIfFinished ends a job all of whose tasks have ended well.
func (o *Owner) endIfFinished(job *Job) {
	if job.allFinished() {
		o.endJob(job, protocol.StatusDone)
	}
}

// removeJob takes an ended job out of the tables. What is left of it on
// machines is the leader's to clear.
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
