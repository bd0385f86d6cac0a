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
	roundEvery = 50 * time.Millisecond // while earlier reads are under way
	maxRounds  = 8                     // under way
	maxAskers  = 4096                  // that wait for reads to begin
	fewLookups = 3                     // are read one by one
)

// KnownRecord is a job's record with the stamp that it had when it was read; 0
// if the job was not known.
type KnownRecord struct {
	JobRecord
	Stamp uint64
}

// lookup is a read of one job's record that has not begun.
type lookup struct {
	id    string
	known KnownRecord
	until time.Duration
	done  []func(rec KnownRecord, found, ok bool)
}

func (l *lookup) answer(rec KnownRecord, found, ok bool) {
	for _, fn := range l.done {
		fn(rec, found, ok)
	}
}

// lookups are the reads of jobs' records.
type lookups struct {
	waiting []*lookup
	byID    map[string]*lookup
	askers  int
	rounds  int // under way
	at      time.Duration
}

// Job reads a job's record afresh, unless that has not begun by the given time.
// known is what an earlier read has shown, or nothing.
func (s *Store) Job(id string, known KnownRecord, until time.Duration, done func(rec KnownRecord, found, ok bool)) {
	q := &s.lookups
	if q.askers >= maxAskers {
		s.later(func() { done(KnownRecord{}, false, false) })
		return
	}
	q.askers++
	l := q.byID[id]
	if l == nil {
		if q.byID == nil {
			q.byID = make(map[string]*lookup)
		}
		l = &lookup{id: id}
		q.byID[id] = l
		q.waiting = append(q.waiting, l)
	}
	if known.Stamp > l.known.Stamp {
		l.known = known
	}
	l.until = max(l.until, until)
	l.done = append(l.done, done)
	// Questions that came in the same batch of commands go together.
	s.later(s.lookUp)
}

// lookUp begins the reads that wait, if it is time.
func (s *Store) lookUp() {
	q := &s.lookups
	now := s.clock.Now()
	for len(q.waiting) > 0 && q.rounds < maxRounds && (q.rounds == 0 || now-q.at >= roundEvery) {
		most := min(len(q.waiting), 4*s.limits.TxnOps)
		round := q.waiting[:most:most]
		q.waiting = q.waiting[most:]
		for _, l := range round {
			delete(q.byID, l.id)
			q.askers -= len(l.done)
		}
		q.rounds++
		q.at = now
		left := len(round)
		end := func() {
			if left--; left == 0 {
				q.rounds--
				s.lookUp()
			}
		}
		if len(round) <= fewLookups {
			for _, l := range round {
				s.readJob(l, end)
			}
			continue
		}
		s.compare(round, end)
	}
}

// compare asks about many records at once.
func (s *Store) compare(round []*lookup, end func()) {
	t := protocol.Txn{}
	until := time.Duration(0)
	for _, l := range round {
		t.If = append(t.If, protocol.Condition{Key: JobKey(l.id), Stamp: l.known.Stamp})
		until = max(until, l.until)
	}
	s.txnUntil(Read, until, t, func(r TxnResult) {
		for _, l := range round {
			switch {
			case r.Outcome == Conflict && r.FailedOn(JobKey(l.id)):
				s.readJob(l, end)
				continue
			case r.Outcome == Applied || r.Outcome == Conflict:
				l.answer(l.known, l.known.Stamp > 0, true)
			default:
				l.answer(KnownRecord{}, false, false)
			}
			end()
		}
	})
}

func (s *Store) readJob(l *lookup, end func()) {
	s.getUntil(Read, l.until, JobKey(l.id), func(p protocol.Pair, found, ok bool) {
		rec := KnownRecord{Stamp: p.Stamp}
		if found && s.codec.Decode(p.Value, &rec.JobRecord) != nil {
			found, ok = false, false
		}
		l.answer(rec, found, ok)
		end()
	})
}
