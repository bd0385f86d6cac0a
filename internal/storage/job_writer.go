package storage

import (
	"time"

	"github.com/cobaltvale/cobaltvale/internal/protocol"
)

// Every job has a record of its own, which any member finds by the job's id and which
// stays. What an owner needs to go on with it, its description, stands on a page with
// those of other jobs, so that thousands of small jobs take little more than one
// change each to begin and one to end: what is created and what ends while a
// transaction is under way, or while the service's rate allows none, goes out together
// in the next, with one page rewritten for all of it. The id of a job that ends is
// listed as ended there; the page that describes it is rewritten when there is room,
// or many ended jobs to drop, see compaction.go.

// batchInterval is between two batches while the rate allows little.
const batchInterval = 600 * time.Millisecond

// minBatchChanges is the least that a batch takes: a job's record and a page.
const minBatchChanges = 2

// maxBatchRecordBytes is what the job records of a batch take; the rest of the
// transaction is left to pages.
const maxBatchRecordBytes = maxTxnBytes / 2

// keyAbsent is the version of a key that does not exist.
const keyAbsent = 0

// CreateResult is what became of a new job.
type CreateResult uint8

// The ends of a creation.
const (
	Created       CreateResult = iota + 1
	AlreadyExists              // a job of this id is known already
	Unavailable                // surely not created; the user may ask again
)

// String returns the name of the result.
func (r CreateResult) String() string {
	switch r {
	case Created:
		return "created"
	case AlreadyExists:
		return "already exists"
	case Unavailable:
		return "unavailable"
	}
	return "none"
}

// operation is the beginning or the end of a job.
type operation struct {
	jobID  string
	record JobRecord // to write

	description *description  // of the job that begins; nil for an end
	deadline    time.Duration // after which a creation's user waits no longer; 0: none
	onCreated   func(CreateResult)

	onEnded func()
}

// creates tells whether the operation is the beginning of a job.
func (o *operation) isCreation() bool { return o.description != nil }

// abandoned tells whether nobody waits for a creation any more.
func (o *operation) isAbandoned(now time.Duration) bool {
	return o.isCreation() && o.deadline > 0 && now > o.deadline
}

// jobWriter writes the beginnings and ends of a shard's jobs in batches, one at a
// time, and owns what the shard's description pages say.
type jobWriter struct {
	client *client
	fence  *fence
	shard  string

	queue       []operation // that wait for the next batch
	inFlight    *batch      // nil: none
	lastBatchAt time.Duration

	descriptions   map[string]*description // of unfinished jobs on pages, by job
	pages          []*descriptionPage
	lastPage       int // the highest number of a page
	nextCompaction time.Duration
}

// newJobWriter is a writer for a shard without jobs; load takes over those that there
// are.
func newJobWriter(c *client, f *fence, shard string) *jobWriter {
	return &jobWriter{client: c, fence: f, shard: shard, descriptions: make(map[string]*description)}
}

// create queues the beginning of a job.
func (w *jobWriter) createJob(job *protocol.Job, submittedAtMs int64, nonce string, deadline time.Duration, done func(CreateResult)) {
	record := DescriptionRecord{Job: *job, SubmittedAtMs: submittedAtMs}
	w.queue = append(w.queue, operation{
		jobID:       job.ID,
		record:      JobRecord{Shard: w.shard, Nonce: nonce, Tasks: job.Tasks},
		description: &description{record: record, maxSize: maxJSONSize(w.client.codec.Encode(record))},
		deadline:    deadline,
		onCreated:   done,
	})
	w.flush()
}

// end queues the end of a job.
func (w *jobWriter) endJob(job *protocol.Job, nonce, status string, done func()) {
	w.queue = append(w.queue, operation{
		jobID:   job.ID,
		record:  JobRecord{Shard: w.shard, Nonce: nonce, Status: status, Tasks: job.Tasks},
		onEnded: done,
	})
	w.flush()
}

// flush writes what has gathered, as far as the rates allow.
func (w *jobWriter) flush() {
	if !w.fence.isOpen() || w.inFlight != nil || len(w.queue) == 0 {
		return
	}
	now := w.client.Now()
	maxChanges := w.maxChanges(now)
	if maxChanges < minBatchChanges {
		w.rejectAbandoned(now)
		return
	}
	b := newBatch(maxChanges)
	w.fillBatch(b, now)
	if len(b.operations) == 0 {
		return
	}
	w.addCompaction(b)
	w.send(b)
}

// maxChanges is how many changes a batch may make now. While the rate allows little,
// batches are rare and large.
func (w *jobWriter) maxChanges(now time.Duration) int {
	budget := w.client.WriteBudget()
	if w.client.writesScarce(budget) && now-w.lastBatchAt < batchInterval {
		return 0
	}
	return min(budget, w.client.limits.TxnOps)
}

// rejectAbandoned answers the creations that nobody waits for any more.
func (w *jobWriter) rejectAbandoned(now time.Duration) {
	kept := w.queue[:0]
	for _, op := range w.queue {
		if op.isAbandoned(now) {
			w.reportUnavailable(op)
			continue
		}
		kept = append(kept, op)
	}
	clear(w.queue[len(kept):])
	w.queue = kept
}

// reportUnavailable tells that a creation was not sent.
func (w *jobWriter) reportUnavailable(op operation) {
	w.client.runLater(func() { op.onCreated(Unavailable) })
}

// fill moves operations from the queue to a batch while it has room.
func (w *jobWriter) fillBatch(b *batch, now time.Duration) {
	for len(w.queue) > 0 && b.hasRoom() {
		op := w.queue[0]
		if op.isAbandoned(now) {
			w.queue = w.queue[1:]
			w.reportUnavailable(op)
			continue
		}
		if !w.addOperation(b, op) {
			b.full = true
			return
		}
		w.queue = w.queue[1:]
	}
}

// add puts an operation into a batch, unless its page finds no room there.
func (w *jobWriter) addOperation(b *batch, op operation) bool {
	pagesLeft := b.maxChanges - len(b.txn.Then) - 1
	if op.isCreation() {
		if !w.addDescription(b, op.description, pagesLeft) {
			return false
		}
		b.txn.If = append(b.txn.If, protocol.Condition{Key: JobKey(op.jobID), Version: keyAbsent})
	} else if !w.removeDescription(b, op.jobID, pagesLeft) {
		return false
	}
	value := w.client.codec.Encode(op.record)
	b.recordBytes += len(value)
	b.txn.Then = append(b.txn.Then, protocol.Change{Put: JobKey(op.jobID), Value: value})
	if !op.isCreation() && w.descriptions[op.jobID] == nil {
		b.txn.Then = append(b.txn.Then, protocol.Change{Delete: singleDescriptionKey(w.shard, op.jobID)})
	}
	b.operations = append(b.operations, op)
	return true
}

// addDescription enters a new job on a page: one of the batch, else the one with most
// room, whose ended jobs go on this occasion, else a new one.
func (w *jobWriter) addDescription(b *batch, job *description, pagesLeft int) bool {
	id := job.record.Job.ID
	if draft := b.draftWithRoom(job.maxSize, w.client.maxSharedRecordSize()); draft != nil {
		draft.jobs[id] = job
		return true
	}
	if len(b.drafts) >= pagesLeft {
		return false
	}
	draft := w.emptiestDraft(b, job.maxSize)
	draft.jobs[id] = job
	b.drafts = append(b.drafts, draft)
	return true
}

// removeDescription takes a job that ends off its page if that is written anyway, and
// else lists its id as ended on one that is.
func (w *jobWriter) removeDescription(b *batch, id string, pagesLeft int) bool {
	job := w.descriptions[id]
	if job == nil {
		return pagesLeft >= 1+len(b.drafts) // it is not on a page, see singleDescriptionKey
	}
	if draft := b.draftOf(job.page); draft != nil {
		delete(draft.jobs, id)
		return true
	}
	if draft := b.draftWithRoom(maxEndedIDSize, w.client.maxSharedRecordSize()); draft != nil {
		b.listEnded(draft, id)
		return true
	}
	if len(b.drafts) >= pagesLeft {
		return false
	}
	draft := job.page.newDraft()
	delete(draft.jobs, id)
	if w.client.exceedsValueLimit(draft) {
		// Its record was written under larger limits. It stays as it is until
		// all of its jobs are over; their ids are listed as ended elsewhere.
		draft = w.emptiestDraft(b, maxEndedIDSize)
		b.listEnded(draft, id)
	}
	b.drafts = append(b.drafts, draft)
	return true
}

// emptiestDraft is a draft of the page outside a batch that has most room, if an
// addition of a size fits there, else of a new one.
func (w *jobWriter) emptiestDraft(b *batch, size int) *pageDraft {
	limit := w.client.maxSharedRecordSize()
	var best *pageDraft
	for _, p := range w.pages {
		if b.draftOf(p) != nil {
			continue
		}
		if d := p.newDraft(); d.maxSize()+size <= limit && (best == nil || d.maxSize() < best.maxSize()) {
			best = d
		}
	}
	if best == nil {
		w.lastPage++
		best = (&descriptionPage{number: w.lastPage}).newDraft()
	}
	return best
}
