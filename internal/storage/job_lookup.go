package storage

import (
	"time"

	"github.com/cobaltvale/cobaltvale/internal/protocol"
)

// Users ask about jobs in storms: many times as often as usual, about jobs that
// are long over and about some that nobody has submitted, and each answer needs
// a read that began after the question. So questions about the same job share a
// read that has not begun, and questions about several are put together as the
// conditions of a transaction that changes nothing: a job is unknown, or its
// record is still the one that was read before, if its condition holds. Only the
// others are read one by one.

const (
	roundInterval       = 50 * time.Millisecond // while earlier reads are under way
	maxConcurrentRounds = 8                     // under way
	maxLookupWaiters    = 4096                  // that wait for reads to begin
	maxSeparateReads    = 3                     // are read one by one
)

// KnownRecord is a job's record with the stamp that it had when it was read; 0
// if the job was not known.
type KnownRecord struct {
	JobRecord
	Version uint64
}

// lookup is a read of one job's record that has not begun.
type lookup struct {
	id        string
	known     KnownRecord
	deadline  time.Duration
	callbacks []func(rec KnownRecord, found, ok bool)
}

func (l *lookup) answer(rec KnownRecord, found, ok bool) {
	for _, fn := range l.callbacks {
		fn(rec, found, ok)
	}
}

// lookups are the reads of jobs' records.
type lookups struct {
	pending     []*lookup
	byID        map[string]*lookup
	waiters     int
	inFlight    int // under way
	lastRoundAt time.Duration
}

// LookupJob reads a job's record afresh, unless that has not begun by the given time.
// known is what an earlier read has shown, or nothing.
func (s *Store) LookupJob(id string, known KnownRecord, deadline time.Duration, done func(rec KnownRecord, found, ok bool)) {
	q := &s.lookups
	if q.waiters >= maxLookupWaiters {
		s.runLater(func() { done(KnownRecord{}, false, false) })
		return
	}
	q.waiters++
	l := q.byID[id]
	if l == nil {
		if q.byID == nil {
			q.byID = make(map[string]*lookup)
		}
		l = &lookup{id: id}
		q.byID[id] = l
		q.pending = append(q.pending, l)
	}
	if known.Version > l.known.Version {
		l.known = known
	}
	l.deadline = max(l.deadline, deadline)
	l.callbacks = append(l.callbacks, done)
	// Questions that came in the same batch of commands go together.
	s.runLater(s.startLookups)
}

// startLookups begins the reads that wait, if it is time.
func (s *Store) startLookups() {
	q := &s.lookups
	now := s.clock.Now()
	for len(q.pending) > 0 && q.inFlight < maxConcurrentRounds && (q.inFlight == 0 || now-q.lastRoundAt >= roundInterval) {
		count := min(len(q.pending), 4*s.limits.TxnOps)
		round := q.pending[:count:count]
		q.pending = q.pending[count:]
		for _, l := range round {
			delete(q.byID, l.id)
			q.waiters -= len(l.callbacks)
		}
		q.inFlight++
		q.lastRoundAt = now
		remaining := len(round)
		readDone := func() {
			if remaining--; remaining == 0 {
				q.inFlight--
				s.startLookups()
			}
		}
		if len(round) <= maxSeparateReads {
			for _, l := range round {
				s.readJobRecord(l, readDone)
			}
			continue
		}
		s.compareVersions(round, readDone)
	}
}

// compareVersions asks about many records at once.
func (s *Store) compareVersions(round []*lookup, readDone func()) {
	t := protocol.Transaction{}
	deadline := time.Duration(0)
	for _, l := range round {
		t.If = append(t.If, protocol.Condition{Key: JobKey(l.id), Version: l.known.Version})
		deadline = max(deadline, l.deadline)
	}
	s.txnWithDeadline(Read, deadline, t, func(r TxnResult) {
		for _, l := range round {
			switch {
			case r.Outcome == Conflict && r.FailedOn(JobKey(l.id)):
				s.readJobRecord(l, readDone)
				continue
			case r.Outcome == Applied || r.Outcome == Conflict:
				l.answer(l.known, l.known.Version > 0, true)
			default:
				l.answer(KnownRecord{}, false, false)
			}
			readDone()
		}
	})
}

func (s *Store) readJobRecord(l *lookup, readDone func()) {
	s.getWithDeadline(Read, l.deadline, JobKey(l.id), func(p protocol.KeyValue, found, ok bool) {
		rec := KnownRecord{Version: p.Version}
		if found && s.codec.Decode(p.Value, &rec.JobRecord) != nil {
			found, ok = false, false
		}
		l.answer(rec, found, ok)
		readDone()
	})
}
