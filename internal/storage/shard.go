package storage

import (
	"time"

	"github.com/cobaltvale/cobaltvale/internal/protocol"
)

// Shard writes the records of one shard that this process holds. Every write is
// conditional on the version of the shard's key.
type Shard struct {
	name     string
	client   *client
	fence    *fence
	jobs     *jobWriter
	finished *finishedTaskWriter

	unreadableKeys   []string // keys of records of unknown shape
	recoveryAttempts int      // how often the records were asked for
}

// NewShard wraps a shard key that this process has just taken: under a lease, and
// with the given version. onLost is called once when it turns out to be another's.
func NewShard(store *Store, name string, holder Holder, lease, version uint64, onLost func()) *Shard {
	c := store.client
	fence := &fence{client: c, key: ShardKey(name), holder: holder, lease: lease, version: version, onLost: onLost}
	return &Shard{
		name: name, client: c, fence: fence,
		jobs:     newJobWriter(c, fence, name),
		finished: newFinishedTaskWriter(c, fence, name),
	}
}

// Name returns the shard's name: that of the member whose users' jobs it has.
func (s *Shard) Name() string { return s.name }

// Unreadable names the records that Recover found and could not read. They stay as
// they are.
func (s *Shard) UnreadableKeys() []string { return s.unreadableKeys }

// Version returns the version of the shard's key, which fences this holder's writes.
func (s *Shard) Version() uint64 { return s.fence.version }

// RecoveryAttempts returns how often Recover has asked for the records, failures included.
func (s *Shard) RecoveryAttempts() int { return s.recoveryAttempts }

// Close stops all writing; callbacks of unfinished operations never come.
func (s *Shard) Close() { s.fence.close() }

// Release gives the shard up: it stops all writing and deletes the shard's key.
func (s *Shard) Release(done func(TxnResult)) { s.fence.release(done) }

// CreateJob writes a new job before its user is told that it is accepted. It is
// not sent any more once the deadline has passed; 0 is none.
func (s *Shard) CreateJob(job *protocol.Job, submittedAtMs int64, nonce string, deadline time.Duration, done func(CreateResult)) {
	s.jobs.createJob(job, submittedAtMs, nonce, deadline, done)
}

// EndJob writes a job's final state, before anyone is told of it, and drops what
// is no longer needed of it.
func (s *Shard) EndJob(job *protocol.Job, nonce, status string, done func()) {
	s.finished.removeJob(job)
	s.jobs.endJob(job, nonce, status, done)
}

// FlushJobs writes the creations and ends of jobs that wait, as far as the rates
// allow. It is called on every tick.
func (s *Shard) FlushJobs() { s.jobs.flush() }

// FinishTask notes a finished task; done is called once it is written. Notes
// are gathered and written together, see FlushFinishedTasks.
func (s *Shard) FinishTask(job *protocol.Job, task int, done func()) {
	s.finished.addTask(job, task, done)
}

// FlushFinishedTasks writes the finished tasks that were noted. It is called every
// FlushInterval.
func (s *Shard) FlushFinishedTasks() {
	if !s.fence.isOpen() {
		return
	}
	s.jobs.compact()
	s.finished.flush()
}
