package storage

import (
	"time"

	"github.com/cobaltvale/cobaltvale/internal/protocol"
)

// Shard writes the records of one shard that this process holds. Every write is conditional on
// the version of the shard's key.
type Shard struct {
	name     string
	client   *client
	fence    *fence
	jobs     *jobWriter
	finished *finishedTaskWriter

	unreadableKeys   []string // keys of records of unknown format
	recoveryAttempts int      // including failed ones
}

// NewShard returns a Shard for a shard key that this process has just acquired, under a lease
// and with the given version. onLost is called once, when it turns out that this process no
// longer holds the shard.
func NewShard(store *Store, name string, holder Holder, lease, version uint64, onLost func()) *Shard {
	c := store.client
	fence := &fence{client: c, shard: name, key: ShardKey(name), holder: holder, lease: lease, version: version, onLost: onLost}
	return &Shard{
		name: name, client: c, fence: fence,
		jobs:     newJobWriter(c, fence, name),
		finished: newFinishedTaskWriter(c, fence, name),
	}
}

// Name returns the shard's name, which is that of the member whose users submit its jobs.
func (s *Shard) Name() string { return s.name }

// UnreadableKeys returns the keys of the records that Recover found and could not read. These
// records stay unchanged.
func (s *Shard) UnreadableKeys() []string { return s.unreadableKeys }

// Version returns the version of the shard's key, which fences this holder's writes.
func (s *Shard) Version() uint64 { return s.fence.version }

// RecoveryAttempts returns how many times Recover has requested the records, including failed
// attempts.
func (s *Shard) RecoveryAttempts() int { return s.recoveryAttempts }

// Close stops all writing. Callbacks of unfinished operations are never called.
func (s *Shard) Close() { s.fence.close() }

// Release releases the shard: it stops all writing and deletes the shard's key.
func (s *Shard) Release(done func(TxnResult)) { s.fence.release(done) }

// CreateJob writes a new job. Its user may be told that the job is accepted only after done has
// received Created. The write is not sent after the deadline, on the client's clock; 0 is none.
func (s *Shard) CreateJob(job *protocol.Job, submittedAtMs int64, nonce string, deadline time.Duration, done func(CreateResult)) {
	s.jobs.createJob(job, submittedAtMs, nonce, deadline, done)
}

// EndJob writes a job's final state and removes the records that are no longer needed. The end
// may be reported to others only after done was called.
func (s *Shard) EndJob(job *protocol.Job, nonce, status string, done func()) {
	s.finished.removeJob(job)
	s.jobs.endJob(job, nonce, status, done)
}

// FlushJobs writes the queued creations and ends of jobs, as far as the rates allow. It is
// called on every tick.
func (s *Shard) FlushJobs() { s.jobs.flush() }

// FinishTask records a finished task; done is called once it is written. Finished tasks are
// collected and written together, see FlushFinishedTasks.
func (s *Shard) FinishTask(job *protocol.Job, task int, done func()) {
	s.finished.addTask(job, task, done)
}

// FlushFinishedTasks writes the finished tasks that were recorded. It is called every
// FlushInterval.
func (s *Shard) FlushFinishedTasks() {
	if !s.fence.isOpen() {
		return
	}
	s.jobs.compact()
	s.finished.flush()
}
