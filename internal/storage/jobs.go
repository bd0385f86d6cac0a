package storage

import (
	"time"

	"github.com/cobaltvale/cobaltvale/internal/protocol"
)

// Every job has a record of its own, which any node finds by the job's id and which
// stays. What an owner needs to go on with it, its description, stands in a
// descriptions record with those of other jobs, so that thousands of small jobs take
// little more than one change each to begin and one to end: what is created and what
// ends while a transaction is under way, or while the service's rate allows none,
// goes out together in the next, with one descriptions record rewritten for all of
// it. The name of a job that ends is listed as ended there; the descriptions record
// that describes it is rewritten when there is room, or much to drop.

const (
	endedNameRoom = 40 // what a name of an ended job takes in a record at the most
	maxStale      = 8  // ended jobs for which a descriptions record is rewritten at once
	sparePause    = 2 * time.Second
	gatherFor     = 600 * time.Millisecond // between two batches while the rate allows little
)

// operation is the beginning or the end of a job.
type operation struct {
	job     *description  // what begins; nil for an end
	until   time.Duration // its user waits no longer
	created func(CreateResult)

	id    string
	rec   JobRecord
	ended func()
}

// givenUp tells whether nobody waits for a creation any more.
func (o *operation) givenUp(now time.Duration) bool {
	return o.job != nil && o.until > 0 && now > o.until
}

// batch is operations that are written together.
type batch struct {
	ops    []operation
	drafts []*draft
	ended  map[string]*draft // names that were listed as ended, with where
	asked  int               // of ops, whose records are being read, see whose
	ours   bool
}

// Create writes a new job before its user is told that it is accepted. It is
// not sent any more once until has passed.
func (l *Ledger) Create(j *protocol.Job, atMs int64, nonce string, until time.Duration, done func(CreateResult)) {
	d := &description{rec: DescriptionRecord{Job: *j, AtMs: atMs}}
	d.room = l.store.jsonRoom(len(l.store.codec.Encode(d.rec)))
	l.ops = append(l.ops, operation{job: d, until: until, created: done, id: j.ID, rec: JobRecord{Ledger: l.name, Nonce: nonce, Tasks: j.Tasks}})
	l.Pump()
}

// End writes a job's final state, before anyone is told of it, and drops what
// is no longer needed of it.
func (l *Ledger) End(j *protocol.Job, nonce, status string, done func()) {
	for n := 0; n*chunkTasks < j.Tasks; n++ {
		l.dropChunk(chunkKey{j.ID, n})
	}
	l.ops = append(l.ops, operation{id: j.ID, ended: done, rec: JobRecord{Ledger: l.name, Nonce: nonce, Status: status, Tasks: j.Tasks}})
	l.Pump()
}

// Pump writes what has gathered, as far as the rates allow.
func (l *Ledger) Pump() {
	if l.lost || l.settling || l.batch != nil || len(l.ops) == 0 {
		return
	}
	now := l.store.clock.Now()
	budget := l.store.Budget()
	limit := min(budget, l.store.limits.TxnOps)
	if limit < 2 || (float64(budget) < l.store.writes.burst*reserve && now-l.sentAt < gatherFor) {
		l.expire(now)
		return
	}
	b := &batch{ended: make(map[string]*draft)}
	var t protocol.Txn
	size, room := 0, l.store.recordRoom()
	for len(l.ops) > 0 && len(t.Then)+max(1, len(b.drafts)) < limit && size < maxTxnBytes/2 {
		op := l.ops[0]
		switch {
		case op.givenUp(now):
			l.ops = l.ops[1:]
			l.store.later(func() { op.created(Unavailable) })
			continue
		case op.job != nil:
			if !l.describe(b, op.job, room, limit-len(t.Then)-1) {
				limit = 0
				continue
			}
			t.If = append(t.If, protocol.Condition{Key: JobKey(op.id), Stamp: 0})
		case !l.removeEnded(b, op.id, room, limit-len(t.Then)-1):
			limit = 0
			continue
		}
		l.ops = l.ops[1:]
		value := l.store.codec.Encode(op.rec)
		size += len(value)
		t.Then = append(t.Then, protocol.Change{Put: JobKey(op.id), Value: value})
		if op.job == nil && l.jobs[op.id] == nil {
			t.Then = append(t.Then, protocol.Change{Delete: l.ownKey(op.id)})
		}
		b.ops = append(b.ops, op)
	}
	if len(b.ops) > 0 {
		if q := l.mostStale(b); q != nil && len(q.stale) >= maxStale && len(t.Then)+len(b.drafts) < limit {
			b.drafts = append(b.drafts, q.draft())
		}
		l.send(b, t)
	}
}

// expire answers the creations that nobody waits for any more.
func (l *Ledger) expire(now time.Duration) {
	kept := l.ops[:0]
	for _, op := range l.ops {
		if op.givenUp(now) {
			l.store.later(func() { op.created(Unavailable) })
			continue
		}
		kept = append(kept, op)
	}
	clear(l.ops[len(kept):])
	l.ops = kept
}

// describe enters a new job in a descriptions record: one of the batch, else the one
// with most room, whose ended jobs go on this occasion, else a new one.
func (l *Ledger) describe(b *batch, j *description, room, changes int) bool {
	for _, d := range b.drafts {
		if d.room()+j.room <= room {
			d.jobs[j.rec.Job.ID] = j
			return true
		}
	}
	if len(b.drafts) >= changes {
		return false
	}
	d := l.roomiest(b, j.room, room)
	d.jobs[j.rec.Job.ID] = j
	b.drafts = append(b.drafts, d)
	return true
}

// removeEnded takes a job that ends out of its descriptions record if that is
// written anyway, and else lists its name as ended in one that is.
func (l *Ledger) removeEnded(b *batch, id string, room, changes int) bool {
	j := l.jobs[id]
	if j == nil {
		return changes >= 1+len(b.drafts) // it is not in a descriptions record, see ownKey
	}
	for _, d := range b.drafts {
		if d.of == j.in {
			delete(d.jobs, id)
			return true
		}
	}
	for _, d := range b.drafts {
		if d.room()+endedNameRoom <= room {
			d.over[id] = true
			b.ended[id] = d
			return true
		}
	}
	if len(b.drafts) >= changes {
		return false
	}
	d := j.in.draft()
	delete(d.jobs, id)
	if l.store.tooLarge(d) {
		// Its record was written under larger limits. It stays as it is until
		// all of its jobs are over; their names are listed as ended elsewhere.
		d = l.roomiest(b, endedNameRoom, room)
		d.over[id] = true
		b.ended[id] = d
	}
	b.drafts = append(b.drafts, d)
	return true
}

// roomiest is a draft of the descriptions record outside a batch that has most room,
// if that is enough, else of a new one.
func (l *Ledger) roomiest(b *batch, need, room int) *draft {
	var best *draft
	for _, k := range l.described {
		if d := k.draft(); !b.holds(k) && d.room()+need <= room && (best == nil || d.room() < best.room()) {
			best = d
		}
	}
	if best == nil {
		l.lastBook++
		best = (&descriptions{n: l.lastBook}).draft()
	}
	return best
}

func (b *batch) holds(k *descriptions) bool {
	for _, d := range b.drafts {
		if d.of == k {
			return true
		}
	}
	return false
}

func (l *Ledger) send(b *batch, t protocol.Txn) {
	l.batch, l.sentAt = b, l.store.clock.Now()
	for _, d := range b.drafts {
		change := protocol.Change{Delete: l.descriptionsKey(d.of)}
		if !d.empty() {
			change = protocol.Change{Put: l.descriptionsKey(d.of), Value: l.store.codec.Encode(d.record())}
		}
		t.Then = append(t.Then, change)
	}
	l.write(t, Foreground, 0, false, func(r TxnResult) {
		switch r.Outcome {
		case Applied:
			l.applied(b)
		case Conflict:
			l.whose(b, r)
		default:
			l.refused(b)
		}
	})
}

// applied takes in that a batch is written.
func (l *Ledger) applied(b *batch) {
	l.batch = nil
	gone := make(map[*descriptions]bool)
	for _, d := range b.drafts {
		gone[d.of] = d.empty()
		if d.of.jobs == nil && !d.empty() {
			l.described = append(l.described, d.of)
		}
		d.of.jobs, d.of.over = d.jobs, d.over
		for id, j := range d.jobs {
			j.in = d.of
			l.jobs[id] = j
		}
	}
	for _, d := range b.drafts {
		for id, by := range d.of.stale {
			delete(by.over, id) // nothing describes it any more
		}
		d.of.stale = make(map[string]*descriptions)
	}
	for id, d := range b.ended {
		k := l.jobs[id].in
		delete(k.jobs, id)
		k.stale[id] = d.of
	}
	kept := l.described[:0]
	for _, k := range l.described {
		if !gone[k] {
			kept = append(kept, k)
		}
	}
	clear(l.described[len(kept):])
	l.described = kept
	for _, op := range b.ops {
		if op.job != nil {
			op.created(Created)
			continue
		}
		delete(l.jobs, op.id)
		op.ended()
	}
	l.Pump()
}

// refused takes in that a batch was surely not written: users are told at once
// that their jobs were not taken, ends are tried again.
func (l *Ledger) refused(b *batch) {
	l.batch = nil
	var again []operation
	for _, op := range b.ops {
		if op.job != nil {
			op.created(Unavailable)
		} else {
			again = append(again, op)
		}
	}
	l.ops = append(again, l.ops...)
	l.store.After(retryPause, l.Pump)
}

// whose finds out whether the records that stand in a batch's way are its own,
// written by an earlier transaction of it that got no answer. One such record
// tells that all of the batch is written.
func (l *Ledger) whose(b *batch, r TxnResult) {
	exists := make(map[string]bool)
	b.asked = 1
	answered := func() {
		if b.asked--; b.asked > 0 {
			return
		}
		if b.ours {
			l.applied(b)
			return
		}
		l.batch = nil
		var again []operation
		for _, op := range b.ops {
			if exists[op.id] {
				op.created(Exists)
			} else {
				again = append(again, op)
			}
		}
		l.ops = append(again, l.ops...)
		l.Pump()
	}
	for i := range b.ops {
		if op := &b.ops[i]; op.job != nil && r.FailedOn(JobKey(op.id)) {
			b.asked++
			l.readRecord(op.id, func(rec JobRecord) {
				if rec.Ledger == l.name && rec.Nonce == op.rec.Nonce {
					b.ours = true
				}
				exists[op.id] = true
				answered()
			})
		}
	}
	answered()
}

// readRecord reads the record of a job that surely has one.
func (l *Ledger) readRecord(id string, done func(JobRecord)) {
	l.store.Get(Urgent, JobKey(id), func(p protocol.Pair, found, ok bool) {
		if l.lost {
			return
		}
		var rec JobRecord
		if !ok || (found && l.store.codec.Decode(p.Value, &rec) != nil) {
			l.store.After(retryPause, func() {
				if !l.lost {
					l.readRecord(id, done)
				}
			})
			return
		}
		done(rec)
	})
}
