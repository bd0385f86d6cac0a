package storage

import (
	"time"

	"github.com/cobaltvale/cobaltvale/internal/protocol"
)

// Every job has a record of its own, which any member finds by the job's ID and which is never
// deleted. The description that an owner needs to continue the job is on a page with those of
// other jobs, so that thousands of small jobs take little more than one change each to create
// and one to end: operations that arrive while a transaction is in progress, or while the
// service's rate allows none, are written together in the next one, which rewrites one page for
// all of them. That page also lists the IDs of jobs that end. The page that describes an ended
// job is rewritten when there is room, or when it has many ended jobs to remove, see
// compaction.go.

// batchInterval is the minimum time between two batches while the write rate is scarce.
const batchInterval = 600 * time.Millisecond

// minBatchChanges is the minimum number of changes in a batch: a job's record and a page.
const minBatchChanges = 2

// maxBatchRecordBytes limits the job records of a batch, in bytes; the rest of the transaction
// is left to pages.
const maxBatchRecordBytes = maxTxnBytes / 2

// keyAbsent is the version of a key that does not exist.
const keyAbsent = 0

// CreateResult is the result of creating a job.
type CreateResult uint8

// The results of a creation.
const (
	Created       CreateResult = iota + 1
	AlreadyExists              // a job with this ID exists already
	Unavailable                // not created; the user may try again
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

// operation is the creation or the end of a job.
type operation struct {
	jobID  string
	record JobRecord // to write

	description *description  // of the job to create; nil for an end
	deadline    time.Duration // after which a creation's user no longer waits; 0: none
	onCreated   func(CreateResult)

	onEnded func()
}

// isCreation reports whether the operation creates a job.
func (o *operation) isCreation() bool { return o.description != nil }

// wrote reports whether a job's record is the one that this operation writes to create the job.
func (o *operation) wrote(record JobRecord) bool {
	return record.Shard == o.record.Shard && record.Nonce == o.record.Nonce
}

// isAbandoned reports whether the operation is a creation whose user no longer waits.
func (o *operation) isAbandoned(now time.Duration) bool {
	return o.isCreation() && o.deadline > 0 && now > o.deadline
}

// jobWriter writes the creations and ends of a shard's jobs in batches, one at a time. It owns
// the content of the shard's description pages.
type jobWriter struct {
	client *client
	fence  *fence
	shard  string

	queue       []operation // waiting for the next batch
	inFlight    *batch      // the batch that is being written, or nil
	lastBatchAt time.Duration

	descriptions     map[string]*description // of the unfinished jobs on pages, by job ID
	pages            []*descriptionPage
	lastPage         int // highest page number in use
	nextCompactionAt time.Duration
}

// newJobWriter returns a writer for a shard without jobs; load adds those that a former holder
// has written.
func newJobWriter(c *client, f *fence, shard string) *jobWriter {
	return &jobWriter{client: c, fence: f, shard: shard, descriptions: make(map[string]*description)}
}

// createJob queues the creation of a job.
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

// endJob queues the end of a job.
func (w *jobWriter) endJob(job *protocol.Job, nonce, status string, done func()) {
	w.queue = append(w.queue, operation{
		jobID:   job.ID,
		record:  JobRecord{Shard: w.shard, Nonce: nonce, Status: status, Tasks: job.Tasks},
		onEnded: done,
	})
	w.flush()
}

// flush writes the queued operations, as far as the rates allow.
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

// maxChanges returns the number of changes that a batch may make now. While the write rate is
// scarce, batches are written rarely and are large.
func (w *jobWriter) maxChanges(now time.Duration) int {
	budget := w.client.WriteBudget()
	if w.client.writesScarce(budget) && now-w.lastBatchAt < batchInterval {
		return 0
	}
	return min(budget, w.client.limits.TxnOps)
}

// rejectAbandoned removes the abandoned creations from the queue and reports them as
// unavailable.
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

// reportUnavailable reports that a creation was not sent.
func (w *jobWriter) reportUnavailable(op operation) {
	w.client.runLater(func() { op.onCreated(Unavailable) })
}

// fillBatch moves operations from the queue to a batch while it has room.
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

// addOperation adds an operation to a batch. It reports false if the batch has no room for the
// page that changes with the operation.
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

// addDescription puts a new job on a page: on a draft that the batch has already, otherwise on
// the page with the most room, which loses its ended jobs with this write, otherwise on a new
// page. It reports false if the batch has no room for the page.
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

// removeDescription takes an ended job off its page if the batch writes that page anyway;
// otherwise it lists the job's ID as ended on a page that the batch writes. If there is
// neither, the batch writes the job's page in addition. It reports false if the batch has no room
// for that.
func (w *jobWriter) removeDescription(b *batch, id string, pagesLeft int) bool {
	job := w.descriptions[id]
	if job == nil {
		return pagesLeft >= 1+len(b.drafts) // the job is not on a page, see singleDescriptionKey
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
		// The page's record was written under larger limits. It stays unchanged until all of
		// its jobs have ended; their IDs are listed as ended on other pages.
		draft = w.emptiestDraft(b, maxEndedIDSize)
		b.listEnded(draft, id)
	}
	b.drafts = append(b.drafts, draft)
	return true
}

// emptiestDraft returns a draft of the page with the most room that is not in the batch, if an
// entry of the given size (in bytes) fits there, otherwise of a new page.
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
