package storage

import (
	"time"

	"github.com/cobaltvale/cobaltvale/internal/protocol"
)

// Users ask about jobs in bursts: many times as often as usual, about jobs that
// are long over and about some that nobody has submitted, and each answer needs
// a read that began after the question. So questions about the same job share a
// read that has not begun, and questions about several are put together as the
// conditions of a transaction that changes nothing: a job is unknown, or its
// record is still the one that was read before, if its condition holds. Only the
// others are read one by one.

const (
	lookupRoundInterval      = 50 * time.Millisecond // between rounds while one is under way
	maxActiveLookupRounds    = 8                     // under way
	maxLookupWaiters         = 4096                  // whose reads have not begun
	maxSeparateReads         = 3                     // in a round without a transaction
	lookupConditionsPerTxnOp = 4                     // for each change that a transaction may make
)

// VersionedJobRecord is a job's record with the version that it had when it was read; 0
// if the job was not known.
type VersionedJobRecord struct {
	JobRecord
	Version uint64
}

// lookupDone takes the answer to a lookup. ok is false if there is none.
type lookupDone func(record VersionedJobRecord, found, ok bool)

// jobLookup is a read of one job's record that has not begun.
type jobLookup struct {
	jobID       string
	knownRecord VersionedJobRecord // the latest that an earlier read has shown
	deadline    time.Duration      // of the waiter who waits longest
	waiters     []lookupDone
}

// answer tells all who wait for the lookup.
func (l *jobLookup) notifyWaiters(record VersionedJobRecord, found, ok bool) {
	for _, done := range l.waiters {
		done(record, found, ok)
	}
}

// jobLookups are the reads of jobs' records.
type jobLookups struct {
	client       *client
	pending      []*jobLookup
	byID         map[string]*jobLookup // of those pending
	waiters      int                   // of all pending
	activeRounds int
	lastRoundAt  time.Duration
}

// LookupJob reads a job's record afresh, unless the read has not begun by the
// deadline. known is what an earlier read has shown, or nothing. done gets found if
// there is a record, and ok if the answer is certain.
func (s *Store) LookupJob(id string, known VersionedJobRecord, deadline time.Duration, done func(record VersionedJobRecord, found, ok bool)) {
	s.lookups.addLookup(id, known, deadline, done)
}

// add has a lookup read with others that have not begun.
func (q *jobLookups) addLookup(id string, known VersionedJobRecord, deadline time.Duration, done lookupDone) {
	if q.waiters >= maxLookupWaiters {
		q.client.runLater(func() { done(VersionedJobRecord{}, false, false) })
		return
	}
	q.waiters++
	l := q.byID[id]
	if l == nil {
		l = &jobLookup{jobID: id}
		q.byID[id] = l
		q.pending = append(q.pending, l)
	}
	if known.Version > l.knownRecord.Version {
		l.knownRecord = known
	}
	l.deadline = max(l.deadline, deadline)
	l.waiters = append(l.waiters, done)
	// Questions that came in the same batch of commands go together.
	q.client.runLater(q.startRounds)
}

// start begins the reads that wait, if it is time.
func (q *jobLookups) startRounds() {
	now := q.client.Now()
	for q.mayStartRound(now) {
		q.startRound(now)
	}
}

// mayStartRound tells whether lookups wait and another round may be under way.
func (q *jobLookups) mayStartRound(now time.Duration) bool {
	if len(q.pending) == 0 || q.activeRounds >= maxActiveLookupRounds {
		return false
	}
	return q.activeRounds == 0 || now-q.lastRoundAt >= lookupRoundInterval
}

// startRound begins the next round of lookups.
func (q *jobLookups) startRound(now time.Duration) {
	round := q.nextRound()
	q.activeRounds++
	q.lastRoundAt = now
	remaining := len(round)
	lookupEnded := func() {
		if remaining--; remaining == 0 {
			q.activeRounds--
			q.startRounds()
		}
	}
	if len(round) > maxSeparateReads {
		q.compareVersions(round, lookupEnded)
		return
	}
	for _, l := range round {
		q.readRecord(l, lookupEnded)
	}
}

// nextRound takes the lookups that one transaction can compare.
func (q *jobLookups) nextRound() []*jobLookup {
	count := min(len(q.pending), lookupConditionsPerTxnOp*q.client.limits.TxnOps)
	round := q.pending[:count:count]
	q.pending = q.pending[count:]
	for _, l := range round {
		delete(q.byID, l.jobID)
		q.waiters -= len(l.waiters)
	}
	return round
}

// compareVersions asks about many records at once.
func (q *jobLookups) compareVersions(round []*jobLookup, lookupEnded func()) {
	t := protocol.Transaction{}
	deadline := time.Duration(0)
	for _, l := range round {
		t.If = append(t.If, protocol.Condition{Key: JobKey(l.jobID), Version: l.knownRecord.Version})
		deadline = max(deadline, l.deadline)
	}
	q.client.TxnWithDeadline(Read, deadline, t, func(r TxnResult) {
		for _, l := range round {
			switch {
			case r.Outcome == Conflict && r.FailedOn(JobKey(l.jobID)):
				q.readRecord(l, lookupEnded)
				continue
			case r.Outcome == Applied || r.Outcome == Conflict:
				l.notifyWaiters(l.knownRecord, l.knownRecord.Version > 0, true)
			default:
				l.notifyWaiters(VersionedJobRecord{}, false, false)
			}
			lookupEnded()
		}
	})
}

// readRecord reads one job's record.
func (q *jobLookups) readRecord(l *jobLookup, lookupEnded func()) {
	q.client.GetWithDeadline(Read, l.deadline, JobKey(l.jobID), func(r GetResult) {
		record := VersionedJobRecord{Version: r.KeyValue.Version}
		found, ok := r.Found, r.Err == nil
		if found && q.client.codec.Decode(r.KeyValue.Value, &record.JobRecord) != nil {
			found, ok = false, false
		}
		l.notifyWaiters(record, found, ok)
		lookupEnded()
	})
}
