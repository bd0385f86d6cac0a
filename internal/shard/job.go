package shard

import (
	"time"

	"github.com/cobaltvale/cobaltvale/internal/admission"
	"github.com/cobaltvale/cobaltvale/internal/protocol"
)

// Job is an unfinished job of one of this process's shards, with the states of its tasks
// and the number of tasks in each.
type Job struct {
	id              string
	shard           *Shard
	spec            *protocol.Job
	submittedAtMs   int64 // wall clock, Unix time
	nonce           string
	claim           admission.Claim // what each of its replicas uses of its team's limit
	tasks           []supervisedTask
	pendingQueue    []int32 // in order of becoming pending; may hold tasks that are no longer pending
	backingOffTasks []int32
	activeByZone    map[string]int // active tasks with a known machine, by zone; nil: the job has no zone constraint
	pending         int
	active          int // unreconciled, assigned or placed: a replica may exist on a machine
	running         int
	finished        int    // finished or durable
	finalStatus     string // that is being written or is durable; empty: none
	ended           bool   // its end is durable, or its shard is no longer held
	breaker         circuitBreaker
	unpublished     bool // changed since its summary was last sent to the leader
	specUnsent      bool // its specification has not been sent to the current leader
	onEnd           []func(status string, err error)
	// publishedPending is the number of tasks that may start, as last sent to the leader.
	publishedPending int
}

// newJob returns a job whose tasks are all pending.
func newJob(shard *Shard, spec *protocol.Job, submittedAtMs int64, nonce string) *Job {
	job := &Job{id: spec.ID, shard: shard, spec: spec, submittedAtMs: submittedAtMs, nonce: nonce, specUnsent: true,
		tasks: make([]supervisedTask, spec.Tasks), pendingQueue: make([]int32, spec.Tasks), pending: spec.Tasks}
	job.claim = admission.Claim{Shard: shard.name, FencingToken: shard.fencingToken, Team: spec.Team, Job: spec.ID, Amount: admission.AmountOf(spec)}
	for i := range job.pendingQueue {
		job.pendingQueue[i] = int32(i)
	}
	if spec.SingleZone || spec.SpreadZones {
		job.activeByZone = make(map[string]int)
	}
	return job
}

// ID returns the job's identifier.
func (job *Job) ID() string { return job.id }

// Spec returns what the job's user asked for. It must not be changed.
func (job *Job) Spec() *protocol.Job { return job.spec }

// Shard returns the shard that the job belongs to.
func (job *Job) Shard() *Shard { return job.shard }

// Running returns how many tasks are observed running.
func (job *Job) Running() int { return job.running }

// Active returns the number of tasks of which a replica may exist on a machine.
func (job *Job) Active() int { return job.active }

// Finished returns how many tasks have succeeded.
func (job *Job) Finished() int { return job.finished }

// TaskState returns the state of a task.
func (job *Job) TaskState(task int) TaskState { return job.tasks[task].state }

// BreakerOpen reports whether the job's circuit breaker is open.
func (job *Job) BreakerOpen() bool { return job.breaker.open }

// WireStatus returns the status that users are shown while the job is unfinished.
func (job *Job) WireStatus() string {
	if job.running > 0 {
		return protocol.StatusRunning
	}
	return protocol.StatusPending
}

// recoverTasks sets the states of a job's tasks from its records. Tasks that are not done
// become unreconciled: their replicas may be on any machine.
func (job *Job) recoverTasks(done []bool) {
	for i := range done {
		if done[i] {
			job.setState(int32(i), TaskDurable)
		} else {
			job.setState(int32(i), TaskUnreconciled)
		}
	}
	job.pendingQueue = nil
}

// setState moves a task to another state and updates the counts. A task that becomes
// pending goes to the end of the queue.
func (job *Job) setState(task int32, state TaskState) {
	t := &job.tasks[task]
	job.adjustCounts(t.state, -1)
	job.adjustCounts(state, 1)
	t.state = state
	if state == TaskPending {
		job.pendingQueue = append(job.pendingQueue, task)
	}
}

func (job *Job) adjustCounts(state TaskState, change int) {
	switch state {
	case TaskPending:
		job.pending += change
	case TaskUnreconciled:
		job.active += change
		job.shard.unreconciledTasks += change
	case TaskAssigned, TaskPlaced:
		job.active += change
	case TaskFinished, TaskDurable:
		job.finished += change
	}
}

// setReplica sets the number of a task's current replica, which an earlier holder of the
// shard may have started.
func (job *Job) setReplica(task int32, replica uint64) {
	job.tasks[task].replica = replica
	job.shard.lastReplica = max(job.shard.lastReplica, replica)
}

// markRunning records that a task is observed running.
func (job *Job) markRunning(task int32, now time.Duration) {
	if t := &job.tasks[task]; !t.running {
		t.running, t.readyOrRunningAt = true, now
		job.running++
	}
}

// markNotRunning records that a task is not observed running.
func (job *Job) markNotRunning(task int32) {
	if t := &job.tasks[task]; t.running {
		t.running = false
		job.running--
	}
}

// nextPending returns the first pending task without removing it from the queue, if there
// is one.
func (job *Job) nextPending() (task int32, found bool) {
	for len(job.pendingQueue) > 0 {
		task := job.pendingQueue[0]
		if job.tasks[task].state == TaskPending {
			return task, true
		}
		job.pendingQueue = job.pendingQueue[1:]
	}
	return 0, false
}

// startableTasks returns how many tasks of the job may start now, regardless of its
// team's limit.
func (job *Job) startableTasks() int {
	if job.Ending() {
		return 0
	}
	return job.breaker.allowedStarts(job.pending, job.active)
}

// Ending reports whether the job's end is being written or is durable.
func (job *Job) Ending() bool { return job.finalStatus != "" }

// notifyEnd passes the job's final status, or an error if it is unknown, to those who wait
// for the job's end.
func (job *Job) notifyEnd(status string, err error) {
	for _, fn := range job.onEnd {
		fn(status, err)
	}
	job.onEnd = nil
}

// allFinished reports whether every task of the job has succeeded.
func (job *Job) allFinished() bool { return job.finished == len(job.tasks) }

// allowsZone reports whether the job's zone constraint allows another task in a zone: all
// tasks in a single zone, or at most half of them, rounded up, in each zone. Nothing is
// placed while an active task's location is unknown.
func (job *Job) allowsZone(zone string) bool {
	if job.activeByZone == nil {
		return true
	}
	known := 0
	for z, tasks := range job.activeByZone {
		known += tasks
		if job.spec.SingleZone && tasks > 0 && z != zone {
			return false
		}
	}
	if known != job.active {
		return false
	}
	return !job.spec.SpreadZones || job.activeByZone[zone]+1 <= (job.spec.Tasks+1)/2
}

// backOff makes a task that backs off wait until the given time before it is pending
// again.
func (job *Job) backOff(task int32, until time.Duration) {
	job.tasks[task].readyOrRunningAt = until
	job.backingOffTasks = append(job.backingOffTasks, task)
}

// endBackOffs makes the tasks pending whose back-off is over, and reports whether there
// were any.
func (job *Job) endBackOffs(now time.Duration) bool {
	if len(job.backingOffTasks) == 0 {
		return false
	}
	ended := false
	kept := job.backingOffTasks[:0]
	for _, task := range job.backingOffTasks {
		t := &job.tasks[task]
		if t.state != TaskBackingOff {
			continue
		}
		if t.readyOrRunningAt > now {
			kept = append(kept, task)
			continue
		}
		job.setState(task, TaskPending)
		ended = true
	}
	job.backingOffTasks = kept
	return ended
}
