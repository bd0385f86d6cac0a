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
	maxEndedNameSize    = 40 // what a name of an ended job takes in a record at the most
	compactionThreshold = 8  // ended jobs for which a descriptions record is rewritten at once
	compactionInterval  = 2 * time.Second
	batchInterval       = 600 * time.Millisecond // between two batches while the rate allows little
)

// operation is the beginning or the end of a job.
type operation struct {
	description *description  // what begins; nil for an end
	deadline    time.Duration // its user waits no longer
	onCreated   func(CreateResult)

	jobID   string
	record  JobRecord
	onEnded func()
}

// abandoned tells whether nobody waits for a creation any more.
func (o *operation) abandoned(now time.Duration) bool {
	return o.description != nil && o.deadline > 0 && now > o.deadline
}

// batch is operations that are written together.
type batch struct {
	operations     []operation
	drafts         []*pageDraft
	endedIn        map[string]*pageDraft // names that were listed as ended, with where
	pendingReads   int                   // of ops, whose records are being read, see whose
	alreadyApplied bool
}

// CreateJob writes a new job before its user is told that it is accepted. It is
// not sent any more once until has passed.
func (s *Shard) CreateJob(job *protocol.Job, submittedAtMs int64, nonce string, deadline time.Duration, done func(CreateResult)) {
	d := &description{record: DescriptionRecord{Job: *job, SubmittedAtMs: submittedAtMs}}
	d.maxSize = maxJSONSize(s.store.codec.Encode(d.record))
	s.queue = append(s.queue, operation{description: d, deadline: deadline, onCreated: done, jobID: job.ID, record: JobRecord{Shard: s.name, Nonce: nonce, Tasks: job.Tasks}})
	s.FlushJobs()
}

// EndJob writes a job's final state, before anyone is told of it, and drops what
// is no longer needed of it.
func (s *Shard) EndJob(job *protocol.Job, nonce, status string, done func()) {
	for n := 0; n*tasksPerRange < job.Tasks; n++ {
		s.dropTaskRange(taskRangeKey{job.ID, n})
	}
	s.queue = append(s.queue, operation{jobID: job.ID, onEnded: done, record: JobRecord{Shard: s.name, Nonce: nonce, Status: status, Tasks: job.Tasks}})
	s.FlushJobs()
}

// FlushJobs writes what has gathered, as far as the rates allow.
func (s *Shard) FlushJobs() {
	if s.lost || s.resolving || s.inFlight != nil || len(s.queue) == 0 {
		return
	}
	now := s.store.clock.Now()
	budget := s.store.WriteBudget()
	limit := min(budget, s.store.limits.TxnOps)
	if limit < 2 || (s.store.scarce(budget) && now-s.lastBatchAt < batchInterval) {
		s.dropAbandoned(now)
		return
	}
	b := &batch{endedIn: make(map[string]*pageDraft)}
	var t protocol.Transaction
	size, maxSize := 0, s.store.maxSharedRecordSize()
	for len(s.queue) > 0 && len(t.Then)+max(1, len(b.drafts)) < limit && size < maxTxnBytes/2 {
		op := s.queue[0]
		switch {
		case op.abandoned(now):
			s.queue = s.queue[1:]
			s.store.runLater(func() { op.onCreated(Unavailable) })
			continue
		case op.description != nil:
			if !s.addDescription(b, op.description, maxSize, limit-len(t.Then)-1) {
				limit = 0
				continue
			}
			t.If = append(t.If, protocol.Condition{Key: JobKey(op.jobID), Version: 0})
		case !s.removeDescription(b, op.jobID, maxSize, limit-len(t.Then)-1):
			limit = 0
			continue
		}
		s.queue = s.queue[1:]
		value := s.store.codec.Encode(op.record)
		size += len(value)
		t.Then = append(t.Then, protocol.Change{Put: JobKey(op.jobID), Value: value})
		if op.description == nil && s.descriptions[op.jobID] == nil {
			t.Then = append(t.Then, protocol.Change{Delete: s.descriptionKey(op.jobID)})
		}
		b.operations = append(b.operations, op)
	}
	if len(b.operations) > 0 {
		if q := s.mostSuperseded(b); q != nil && len(q.superseded) >= compactionThreshold && len(t.Then)+len(b.drafts) < limit {
			b.drafts = append(b.drafts, q.draft())
		}
		s.sendBatch(b, t)
	}
}

// dropAbandoned answers the creations that nobody waits for any more.
func (s *Shard) dropAbandoned(now time.Duration) {
	kept := s.queue[:0]
	for _, op := range s.queue {
		if op.abandoned(now) {
			s.store.runLater(func() { op.onCreated(Unavailable) })
			continue
		}
		kept = append(kept, op)
	}
	clear(s.queue[len(kept):])
	s.queue = kept
}

// addDescription enters a new job in a descriptions record: one of the batch, else the one
// with most room, whose ended jobs go on this occasion, else a new one.
func (s *Shard) addDescription(b *batch, j *description, maxSize, changesLeft int) bool {
	for _, d := range b.drafts {
		if d.maxSize()+j.maxSize <= maxSize {
			d.jobs[j.record.Job.ID] = j
			return true
		}
	}
	if len(b.drafts) >= changesLeft {
		return false
	}
	d := s.emptiestDraft(b, j.maxSize, maxSize)
	d.jobs[j.record.Job.ID] = j
	b.drafts = append(b.drafts, d)
	return true
}

// removeDescription takes a job that ends out of its descriptions record if that is
// written anyway, and else lists its name as ended in one that is.
func (s *Shard) removeDescription(b *batch, id string, maxSize, changesLeft int) bool {
	j := s.descriptions[id]
	if j == nil {
		return changesLeft >= 1+len(b.drafts) // it is not in a descriptions record, see ownKey
	}
	for _, d := range b.drafts {
		if d.page == j.page {
			delete(d.jobs, id)
			return true
		}
	}
	for _, d := range b.drafts {
		if d.maxSize()+maxEndedNameSize <= maxSize {
			d.ended[id] = true
			b.endedIn[id] = d
			return true
		}
	}
	if len(b.drafts) >= changesLeft {
		return false
	}
	d := j.page.draft()
	delete(d.jobs, id)
	if s.store.exceedsValueLimit(d) {
		// Its record was written under larger limits. It stays as it is until
		// all of its jobs are over; their names are listed as ended elsewhere.
		d = s.emptiestDraft(b, maxEndedNameSize, maxSize)
		d.ended[id] = true
		b.endedIn[id] = d
	}
	b.drafts = append(b.drafts, d)
	return true
}

// emptiestDraft is a draft of the descriptions record outside a batch that has most room,
// if that is enough, else of a new one.
func (s *Shard) emptiestDraft(b *batch, size, maxSize int) *pageDraft {
	var best *pageDraft
	for _, k := range s.descriptionPages {
		if d := k.draft(); !b.includes(k) && d.maxSize()+size <= maxSize && (best == nil || d.maxSize() < best.maxSize()) {
			best = d
		}
	}
	if best == nil {
		s.lastDescriptionPage++
		best = (&descriptionPage{number: s.lastDescriptionPage}).draft()
	}
	return best
}

func (b *batch) includes(k *descriptionPage) bool {
	for _, d := range b.drafts {
		if d.page == k {
			return true
		}
	}
	return false
}

func (s *Shard) sendBatch(b *batch, t protocol.Transaction) {
	s.inFlight, s.lastBatchAt = b, s.store.clock.Now()
	for _, d := range b.drafts {
		change := protocol.Change{Delete: s.descriptionPageKey(d.page)}
		if !d.empty() {
			change = protocol.Change{Put: s.descriptionPageKey(d.page), Value: s.store.codec.Encode(d.record())}
		}
		t.Then = append(t.Then, change)
	}
	s.fencedWrite(t, Foreground, 0, false, func(r TxnResult) {
		switch r.Outcome {
		case Applied:
			s.batchApplied(b)
		case Conflict:
			s.resolveConflict(b, r)
		default:
			s.batchRefused(b)
		}
	})
}

// batchApplied takes in that a batch is written.
func (s *Shard) batchApplied(b *batch) {
	s.inFlight = nil
	emptied := make(map[*descriptionPage]bool)
	for _, d := range b.drafts {
		emptied[d.page] = d.empty()
		if d.page.jobs == nil && !d.empty() {
			s.descriptionPages = append(s.descriptionPages, d.page)
		}
		d.page.jobs, d.page.ended = d.jobs, d.ended
		for id, j := range d.jobs {
			j.page = d.page
			s.descriptions[id] = j
		}
	}
	for _, d := range b.drafts {
		for id, by := range d.page.superseded {
			delete(by.ended, id) // nothing describes it any more
		}
		d.page.superseded = make(map[string]*descriptionPage)
	}
	for id, d := range b.endedIn {
		k := s.descriptions[id].page
		delete(k.jobs, id)
		k.superseded[id] = d.page
	}
	kept := s.descriptionPages[:0]
	for _, k := range s.descriptionPages {
		if !emptied[k] {
			kept = append(kept, k)
		}
	}
	clear(s.descriptionPages[len(kept):])
	s.descriptionPages = kept
	for _, op := range b.operations {
		if op.description != nil {
			op.onCreated(Created)
			continue
		}
		delete(s.descriptions, op.jobID)
		op.onEnded()
	}
	s.FlushJobs()
}

// batchRefused takes in that a batch was surely not written: users are told at once
// that their jobs were not taken, ends are tried again.
func (s *Shard) batchRefused(b *batch) {
	s.inFlight = nil
	var retried []operation
	for _, op := range b.operations {
		if op.description != nil {
			op.onCreated(Unavailable)
		} else {
			retried = append(retried, op)
		}
	}
	s.queue = append(retried, s.queue...)
	s.store.After(retryDelay, s.FlushJobs)
}

// resolveConflict finds out whether the records that stand in a batch's way are its own,
// written by an earlier transaction of it that got no answer. One such record
// tells that all of the batch is written.
func (s *Shard) resolveConflict(b *batch, r TxnResult) {
	exists := make(map[string]bool)
	b.pendingReads = 1
	answered := func() {
		if b.pendingReads--; b.pendingReads > 0 {
			return
		}
		if b.alreadyApplied {
			s.batchApplied(b)
			return
		}
		s.inFlight = nil
		var retried []operation
		for _, op := range b.operations {
			if exists[op.jobID] {
				op.onCreated(AlreadyExists)
			} else {
				retried = append(retried, op)
			}
		}
		s.queue = append(retried, s.queue...)
		s.FlushJobs()
	}
	for i := range b.operations {
		if op := &b.operations[i]; op.description != nil && r.FailedOn(JobKey(op.jobID)) {
			b.pendingReads++
			s.readJobRecord(op.jobID, func(rec JobRecord) {
				if rec.Shard == s.name && rec.Nonce == op.record.Nonce {
					b.alreadyApplied = true
				}
				exists[op.jobID] = true
				answered()
			})
		}
	}
	answered()
}

// readJobRecord reads the record of a job that surely has one.
func (s *Shard) readJobRecord(id string, done func(JobRecord)) {
	s.store.Get(Urgent, JobKey(id), func(r GetResult) {
		if s.lost {
			return
		}
		var rec JobRecord
		if r.Err != nil || (r.Found && s.store.codec.Decode(r.KeyValue.Value, &rec) != nil) {
			s.store.After(retryDelay, func() {
				if !s.lost {
					s.readJobRecord(id, done)
				}
			})
			return
		}
		done(rec)
	})
}
