package storage

import (
	"time"

	"github.com/cobaltvale/cobaltvale/internal/protocol"
)

// Users ask about jobs in bursts: many times the usual rate, about jobs that ended long ago and
// about jobs that were never submitted, and each answer needs a read that began after the
// question. Lookups of the same job therefore share one read until it begins, and lookups of
// several jobs are combined as the conditions of one transaction that changes nothing. A
// condition that holds shows that the job is unknown, or that its record still has the version
// read before. Only the other jobs are read one by one.

const (
	lookupRoundInterval      = 50 * time.Millisecond // minimum time between rounds while one is active
	maxActiveLookupRounds    = 8                     // in progress at a time
	maxLookupWaiters         = 4096                  // of the lookups that have not begun
	maxSeparateReads         = 3                     // in a round without a transaction
	lookupConditionsPerTxnOp = 4                     // for each change that Limits.TxnOps allows
)

// VersionedJobRecord is a job's record with the version of its key when it was read. The
// version is 0 if the job was not known.
type VersionedJobRecord struct {
	JobRecord
	Version uint64
}

// JobLookupResult is the result of looking up a job's record.
type JobLookupResult struct {
	Record VersionedJobRecord // zero unless Found
	Found  bool               // false also if Err is set
	Err    error              // ErrNoAnswer, ErrUnreadableRecords, or nil
}

// jobLookup is a read of one job's record that has not begun.
type jobLookup struct {
	jobID       string
	knownRecord VersionedJobRecord // the latest that an earlier read returned
	deadline    time.Duration      // the latest of all waiters' deadlines, on the client's clock
	waiters     []func(JobLookupResult)
}

// notifyWaiters passes the result to all callers that wait for the lookup.
func (l *jobLookup) notifyWaiters(result JobLookupResult) {
	for _, done := range l.waiters {
		done(result)
	}
}

// jobLookups queues the reads of jobs' records and sends them in rounds.
type jobLookups struct {
	client       *client
	pending      []*jobLookup
	byID         map[string]*jobLookup // the pending lookups, by job
	waiters      int                   // of all pending lookups
	activeRounds int
	lastRoundAt  time.Duration
}

// LookupJob reads a job's current record: the read begins after this call, and is not sent if
// it has not begun by the deadline. known is the record that an earlier read returned, or the
// zero value.
func (s *Store) LookupJob(id string, known VersionedJobRecord, deadline time.Duration, done func(JobLookupResult)) {
	s.lookups.addLookup(id, known, deadline, done)
}

// addLookup queues a lookup, together with one of the same job that has not begun.
func (q *jobLookups) addLookup(id string, known VersionedJobRecord, deadline time.Duration, done func(JobLookupResult)) {
	if q.waiters >= maxLookupWaiters {
		q.client.runLater(func() { done(JobLookupResult{Err: ErrNoAnswer}) })
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
	// Lookups of the same batch of commands share a round.
	q.client.runLater(q.startRounds)
}

// startRounds starts rounds of the pending lookups as far as the limits on rounds allow.
func (q *jobLookups) startRounds() {
	now := q.client.Now()
	for q.mayStartRound(now) {
		q.startRound(now)
	}
}

// mayStartRound reports whether lookups are pending and another round may start.
func (q *jobLookups) mayStartRound(now time.Duration) bool {
	if len(q.pending) == 0 || q.activeRounds >= maxActiveLookupRounds {
		return false
	}
	return q.activeRounds == 0 || now-q.lastRoundAt >= lookupRoundInterval
}

// startRound starts the next round of lookups.
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

// nextRound removes from the queue as many lookups as one transaction can compare.
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

// compareVersions checks in one transaction whether the known versions are still current, and
// reads the records of which they are not.
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
				l.notifyWaiters(JobLookupResult{Record: l.knownRecord, Found: l.knownRecord.Version > 0})
			default:
				l.notifyWaiters(JobLookupResult{Err: ErrNoAnswer})
			}
			lookupEnded()
		}
	})
}

// readRecord reads one job's record.
func (q *jobLookups) readRecord(l *jobLookup, lookupEnded func()) {
	q.client.GetWithDeadline(Read, l.deadline, JobKey(l.jobID), func(r GetResult) {
		l.notifyWaiters(q.decodeRecord(r))
		lookupEnded()
	})
}

// decodeRecord returns the result of a lookup whose read has been answered.
func (q *jobLookups) decodeRecord(r GetResult) JobLookupResult {
	result := JobLookupResult{Found: r.Found, Err: r.Err}
	if !r.Found {
		return result
	}
	if q.client.codec.Decode(r.KeyValue.Value, &result.Record.JobRecord) != nil {
		return JobLookupResult{Err: ErrUnreadableRecords}
	}
	result.Record.Version = r.KeyValue.Version
	return result
}
