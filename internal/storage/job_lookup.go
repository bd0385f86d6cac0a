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
	lookupRoundInterval    = 50 * time.Millisecond // between rounds while one is under way
	maxLookupRounds        = 8                     // under way
	maxLookupWaiters       = 4096                  // whose reads have not begun
	maxSeparateReads       = 3                     // in a round without a transaction
	lookupConditionsPerTxn = 4                     // for each change that a transaction may make
)

// KnownRecord is a job's record with the version that it had when it was read; 0
// if the job was not known.
type KnownRecord struct {
	JobRecord
	Version uint64
}

// lookupDone takes the answer to a lookup. ok is false if there is none.
type lookupDone func(record KnownRecord, found, ok bool)

// jobLookup is a read of one job's record that has not begun.
type jobLookup struct {
	jobID    string
	known    KnownRecord   // the latest that an earlier read has shown
	deadline time.Duration // of the waiter who waits longest
	waiters  []lookupDone
}

// answer tells all who wait for the lookup.
func (l *jobLookup) answer(record KnownRecord, found, ok bool) {
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
	roundsActive int
	lastRoundAt  time.Duration
}

// LookupJob reads a job's record afresh, unless the read has not begun by the
// deadline. known is what an earlier read has shown, or nothing. done gets found if
// there is a record, and ok if the answer is certain.
func (s *Store) LookupJob(id string, known KnownRecord, deadline time.Duration, done func(record KnownRecord, found, ok bool)) {
	s.lookups.add(id, known, deadline, done)
}

// add has a lookup read with others that have not begun.
func (q *jobLookups) add(id string, known KnownRecord, deadline time.Duration, done lookupDone) {
	if q.waiters >= maxLookupWaiters {
		q.client.runLater(func() { done(KnownRecord{}, false, false) })
		return
	}
	q.waiters++
	l := q.byID[id]
	if l == nil {
		l = &jobLookup{jobID: id}
		q.byID[id] = l
		q.pending = append(q.pending, l)
	}
	if known.Version > l.known.Version {
		l.known = known
	}
	l.deadline = max(l.deadline, deadline)
	l.waiters = append(l.waiters, done)
	// Questions that came in the same batch of commands go together.
	q.client.runLater(q.start)
}

// start begins the reads that wait, if it is time.
func (q *jobLookups) start() {
	now := q.client.Now()
	for q.mayStartRound(now) {
		q.startRound(now)
	}
}

// mayStartRound tells whether lookups wait and another round may be under way.
func (q *jobLookups) mayStartRound(now time.Duration) bool {
	if len(q.pending) == 0 || q.roundsActive >= maxLookupRounds {
		return false
	}
	return q.roundsActive == 0 || now-q.lastRoundAt >= lookupRoundInterval
}

// startRound begins the next round of lookups.
func (q *jobLookups) startRound(now time.Duration) {
	round := q.nextRound()
	q.roundsActive++
	q.lastRoundAt = now
	remaining := len(round)
	lookupEnded := func() {
		if remaining--; remaining == 0 {
			q.roundsActive--
			q.start()
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
	count := min(len(q.pending), lookupConditionsPerTxn*q.client.limits.TxnOps)
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
		t.If = append(t.If, protocol.Condition{Key: JobKey(l.jobID), Version: l.known.Version})
		deadline = max(deadline, l.deadline)
	}
	q.client.TxnBefore(Read, deadline, t, func(r TxnResult) {
		for _, l := range round {
			switch {
			case r.Outcome == Conflict && r.FailedOn(JobKey(l.jobID)):
				q.readRecord(l, lookupEnded)
				continue
			case r.Outcome == Applied || r.Outcome == Conflict:
				l.answer(l.known, l.known.Version > 0, true)
			default:
				l.answer(KnownRecord{}, false, false)
			}
			lookupEnded()
		}
	})
}

// readRecord reads one job's record.
func (q *jobLookups) readRecord(l *jobLookup, lookupEnded func()) {
	q.client.GetBefore(Read, l.deadline, JobKey(l.jobID), func(r GetResult) {
		record := KnownRecord{Version: r.KeyValue.Version}
		found, ok := r.Found, r.Err == nil
		if found && q.client.codec.Decode(r.KeyValue.Value, &record.JobRecord) != nil {
			found, ok = false, false
		}
		l.answer(record, found, ok)
		lookupEnded()
	})
}
