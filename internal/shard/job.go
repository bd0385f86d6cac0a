package shard

import (
	"time"

	"github.com/cobaltvale/cobaltvale/internal/admission"
	"github.com/cobaltvale/cobaltvale/internal/protocol"
)

// Job is an unfinished job of one of this process's shards, with the states of
// its tasks and how many are in which.
type Job struct {
	id              string
	shard           *Shard
	spec            *protocol.Job
	submittedAtMs   int64
	nonce           string
	claim           admission.Claim // what each of its replicas takes of its team's limit
	tasks           []supervisedTask
	pendingQueue    []int32 // pending tasks, in order; may hold ones that are pending no more
	backingOffTasks []int32
	activeByZone    map[string]int // active tasks with a known machine by zone; nil: the job asks for no zones
	pending         int
	active          int // unreconciled, assigned or placed: a replica may exist on a machine
	running         int
	finished        int    // finished or durable
	finalStatus     string // that is being written
	ended           bool
	breaker         circuitBreaker
	unpublished     bool // since the leader was told last
	specUnsent      bool // its description has not been sent to the present leader
	onEnd           []func(status string, err error)
	// publishedPending is how many tasks the leader was told of last that may be started.
	publishedPending int
}

// newJob makes a job all of whose tasks are pending.
func newJob(shard *Shard, spec *protocol.Job, submittedMs int64, nonce string) *Job {
	job := &Job{id: spec.ID, shard: shard, spec: spec, submittedAtMs: submittedMs, nonce: nonce, specUnsent: true,
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

// Spec returns what the job's user asks for. It must not be changed.
func (job *Job) Spec() *protocol.Job { return job.spec }

// Shard returns the shard that the job belongs to.
func (job *Job) Shard() *Shard { return job.shard }

// Running returns how many tasks are seen to run.
func (job *Job) Running() int { return job.running }

// Active returns of how many tasks a replica may exist on a machine.
func (job *Job) Active() int { return job.active }

// Finished returns how many tasks have ended well.
func (job *Job) Finished() int { return job.finished }

// TaskState returns where a task stands.
func (job *Job) TaskState(task int) TaskState { return job.tasks[task].state }

// BreakerOpen tells whether the job's circuit breaker is open.
func (job *Job) BreakerOpen() bool { return job.breaker.open }

// WireStatus returns the job's status as users are told it, while it is unfinished.
func (job *Job) WireStatus() string {
	if job.running > 0 {
		return protocol.StatusRunning
	}
	return protocol.StatusPending
}

// restore sets the states of a job's tasks as its records tell: those that are not done
// may be anywhere.
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

// setState moves a task to another state, and keeps the counts. One that becomes pending
// goes behind the others.
func (job *Job) setState(i int32, state TaskState) {
	t := &job.tasks[i]
	job.adjustCounts(t.state, -1)
	job.adjustCounts(state, 1)
	t.state = state
	if state == TaskPending {
		job.pendingQueue = append(job.pendingQueue, i)
	}
}

func (job *Job) adjustCounts(state TaskState, n int) {
	switch state {
	case TaskPending:
		job.pending += n
	case TaskUnreconciled:
		job.active += n
		job.shard.unreconciledTasks += n
	case TaskAssigned, TaskPlaced:
		job.active += n
	case TaskFinished, TaskDurable:
		job.finished += n
	}
}

// setReplica notes which replica of a task counts, one that an earlier holder of the shard
// may have started.
func (job *Job) setReplica(i int32, replica uint64) {
	job.tasks[i].replica = replica
	job.shard.lastReplica = max(job.shard.lastReplica, replica)
}

// markRunning notes that a task is seen to run.
func (job *Job) markRunning(i int32, now time.Duration) {
	if t := &job.tasks[i]; !t.running {
		t.running, t.readyOrRunningAt = true, now
		job.running++
	}
}

// markNotRunning notes that a task is not seen to run.
func (job *Job) markNotRunning(i int32) {
	if t := &job.tasks[i]; t.running {
		t.running = false
		job.running--
	}
}

// nextPending returns the first pending task without taking it, if there is one.
func (job *Job) nextPending() (i int32, found bool) {
	for len(job.pendingQueue) > 0 {
		i := job.pendingQueue[0]
		if job.tasks[i].state == TaskPending {
			return i, true
		}
		job.pendingQueue = job.pendingQueue[1:]
	}
	return 0, false
}

// startable is how many tasks of a job may be started now.
func (job *Job) startableTasks() int {
	if job.Ending() {
		return 0
	}
	return job.breaker.allowedStarts(job.pending, job.active)
}

// Ending tells whether a job's end is being written, or is.
func (job *Job) Ending() bool { return job.finalStatus != "" }

// notifyEnd tells those who wait for a job's end, or the error why it can't be told.
func (job *Job) notifyEnd(status string, err error) {
	for _, fn := range job.onEnd {
		fn(status, err)
	}
	job.onEnd = nil
}

// allFinished tells whether every task of a job has ended well.
func (job *Job) allFinished() bool { return job.finished == len(job.tasks) }

// allowsZone keeps to a single zone, or spreads over zones, given where the job's other
// tasks are. While some may be anywhere, nothing is placed.
func (job *Job) allowsZone(zone string) bool {
	if job.activeByZone == nil {
		return true
	}
	known := 0
	for z, n := range job.activeByZone {
		known += n
		if job.spec.SingleZone && n > 0 && z != zone {
			return false
		}
	}
	if known != job.active {
		return false
	}
	return !job.spec.SpreadZones || job.activeByZone[zone]+1 <= (job.spec.Tasks+1)/2
}

// backOff has a task that backs off wait for a while before it is pending again.
func (job *Job) backOff(i int32, until time.Duration) {
	job.tasks[i].readyOrRunningAt = until
	job.backingOffTasks = append(job.backingOffTasks, i)
}

// endBackOffs makes the tasks pending whose pauses are over, and tells whether there
// were any.
func (job *Job) endBackOffs(now time.Duration) bool {
	if len(job.backingOffTasks) == 0 {
		return false
	}
	ended := false
	kept := job.backingOffTasks[:0]
	for _, i := range job.backingOffTasks {
		t := &job.tasks[i]
		if t.state != TaskBackingOff {
			continue
		}
		if t.readyOrRunningAt > now {
			kept = append(kept, i)
			continue
		}
		job.setState(i, TaskPending)
		ended = true
	}
	job.backingOffTasks = kept
	return ended
}
