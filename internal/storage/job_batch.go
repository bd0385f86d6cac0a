package storage

import "github.com/cobaltvale/cobaltvale/internal/protocol"

// batch is a set of operations that one transaction writes, with drafts of the description
// pages that change with them.
type batch struct {
	maxChanges        int
	operations        []operation
	drafts            []*pageDraft
	draftListingEnded map[string]*pageDraft // by job ID: the draft that newly lists the ended job
	txn               protocol.Transaction  // without the drafts
	recordBytes       int                   // size of the operations' records
	full              bool                  // the next operation did not fit
}

// newBatch returns a batch without operations.
func newBatch(maxChanges int) *batch {
	return &batch{maxChanges: maxChanges, draftListingEnded: make(map[string]*pageDraft)}
}

// hasRoom reports whether another operation may fit.
func (b *batch) hasRoom() bool {
	return len(b.txn.Then)+max(1, len(b.drafts)) < b.maxChanges && b.recordBytes < maxBatchRecordBytes
}

// draftOf returns the batch's draft of a page, or nil.
func (b *batch) draftOf(p *descriptionPage) *pageDraft {
	for _, d := range b.drafts {
		if d.page == p {
			return d
		}
	}
	return nil
}

// draftWithRoom returns the first draft that stays within limit when an entry of the given size
// is added (both in bytes), or nil.
func (b *batch) draftWithRoom(size, limit int) *pageDraft {
	for _, d := range b.drafts {
		if d.maxSize()+size <= limit {
			return d
		}
	}
	return nil
}

// listEnded lists a job as ended on the draft of a page other than the one that describes it.
func (b *batch) listEnded(d *pageDraft, id string) {
	d.endedIDs[id] = true
	b.draftListingEnded[id] = d
}

// firstCreation returns the first operation that creates a job, or nil.
func (b *batch) firstCreation() *operation {
	for i := range b.operations {
		if b.operations[i].isCreation() {
			return &b.operations[i]
		}
	}
	return nil
}

// send writes a batch.
func (w *jobWriter) send(b *batch) {
	w.inFlight, w.lastBatchAt = b, w.client.Now()
	t := b.txn
	for _, d := range b.drafts {
		t.Then = append(t.Then, w.pageChange(d))
	}
	w.fence.write(Foreground, t, reportRejection, func(r TxnResult) {
		switch r.Outcome {
		case Applied:
			w.handleApplied(b)
		case Conflict:
			w.resolveConflict(b, r)
		case Unknown:
			w.resolveUnknown(b)
		default:
			w.handleNotExecuted(b)
		}
	})
}

// pageChange returns the change that writes a draft, or deletes its record if it is empty.
func (w *jobWriter) pageChange(d *pageDraft) protocol.Change {
	key := descriptionPageKey(w.shard, d.page.number)
	if d.isEmpty() {
		return protocol.Change{Delete: key}
	}
	return protocol.Change{Put: key, Value: w.client.codec.Encode(d.record())}
}

// handleApplied records that a batch is written, and calls the callbacks of its operations.
func (w *jobWriter) handleApplied(b *batch) {
	w.inFlight = nil
	w.adoptDrafts(b)
	for _, op := range b.operations {
		if op.isCreation() {
			op.onCreated(Created)
			continue
		}
		delete(w.descriptions, op.jobID)
		op.onEnded()
	}
	w.flush()
}

// adoptDrafts updates the pages to the drafts of a batch that is written.
func (w *jobWriter) adoptDrafts(b *batch) {
	emptied := make(map[*descriptionPage]bool)
	for _, d := range b.drafts {
		emptied[d.page] = d.isEmpty()
		if d.page.isNew() && !d.isEmpty() {
			w.pages = append(w.pages, d.page)
		}
		d.page.jobs, d.page.endedIDs = d.jobs, d.endedIDs
		for id, j := range d.jobs {
			j.page = d.page
			w.descriptions[id] = j
		}
	}
	for _, d := range b.drafts {
		d.page.removeStaleDescriptions()
	}
	for id, d := range b.draftListingEnded {
		w.descriptions[id].page.markDescriptionStale(id, d.page)
	}
	w.removePages(emptied)
}

// removePages removes pages whose records have been deleted.
func (w *jobWriter) removePages(removed map[*descriptionPage]bool) {
	kept := w.pages[:0]
	for _, p := range w.pages {
		if !removed[p] {
			kept = append(kept, p)
		}
	}
	clear(w.pages[len(kept):])
	w.pages = kept
}

// handleNotExecuted handles a batch that was not executed: creations are reported as
// unavailable at once, since users wait for them, and ends are tried again.
func (w *jobWriter) handleNotExecuted(b *batch) {
	w.inFlight = nil
	var retried []operation
	for _, op := range b.operations {
		if op.isCreation() {
			op.onCreated(Unavailable)
		} else {
			retried = append(retried, op)
		}
	}
	w.queue = append(retried, w.queue...)
	w.client.After(retryDelay, w.flush)
}

// conflictResolution is the state of resolving a conflict of a batch with job records that
// exist already.
type conflictResolution struct {
	writer         *jobWriter
	batch          *batch
	pendingReads   int
	existing       map[string]bool // IDs of the jobs whose records exist
	alreadyApplied bool            // one of the records was written by the batch itself
}

// resolveConflict determines whether the records that conflict with a batch are its own, written
// by an earlier transaction of the same batch that got no answer. A single such record proves
// that the whole batch is written, since a transaction is atomic.
func (w *jobWriter) resolveConflict(b *batch, r TxnResult) {
	c := &conflictResolution{writer: w, batch: b, existing: make(map[string]bool)}
	c.pendingReads = 1 // held until all reads have been started
	for i := range b.operations {
		if op := &b.operations[i]; op.isCreation() && r.FailedOn(JobKey(op.jobID)) {
			c.pendingReads++
			w.readJobRecord(op.jobID, func(record JobRecord) { c.handleExisting(op, record) })
		}
	}
	c.finishRead()
}

// handleExisting handles the existing record of a job that an operation was to create.
func (c *conflictResolution) handleExisting(op *operation, record JobRecord) {
	if op.wrote(record) {
		c.alreadyApplied = true
	}
	c.existing[op.jobID] = true
	c.finishRead()
}

// resolveUnknown determines whether a batch is written, of which an attempt got no answer and none
// can be applied any more. One of its records tells, since a transaction is atomic. Without
// creations the batch counts as not executed, as its ends can be written twice.
func (w *jobWriter) resolveUnknown(b *batch) {
	creation := b.firstCreation()
	if creation == nil {
		w.handleNotExecuted(b)
		return
	}
	w.readJobRecord(creation.jobID, func(record JobRecord) {
		if creation.wrote(record) {
			w.handleFoundWritten(b)
			return
		}
		w.handleNotExecuted(b)
	})
}

// handleFoundWritten handles a batch that an attempt without an answer has written.
func (w *jobWriter) handleFoundWritten(b *batch) {
	w.client.log.Info().Str("shard", w.shard).Int("jobs", len(b.operations)).Msg("unanswered job batch found written")
	w.handleApplied(b)
}

// finishRead completes the resolution once all reads are answered.
func (c *conflictResolution) finishRead() {
	c.pendingReads--
	if c.pendingReads > 0 {
		return
	}
	if c.alreadyApplied {
		c.writer.handleFoundWritten(c.batch)
		return
	}
	c.writer.retryWithoutExisting(c.batch, c.existing)
}

// retryWithoutExisting reports the jobs that exist to their callers, and queues the others of
// the batch again.
func (w *jobWriter) retryWithoutExisting(b *batch, existing map[string]bool) {
	w.inFlight = nil
	var retried []operation
	for _, op := range b.operations {
		if existing[op.jobID] {
			op.onCreated(AlreadyExists)
		} else {
			retried = append(retried, op)
		}
	}
	w.queue = append(retried, w.queue...)
	w.flush()
}

// readJobRecord reads the record of a job; it is the zero value if the job has none. The read is
// repeated until it succeeds.
func (w *jobWriter) readJobRecord(id string, done func(JobRecord)) {
	if w.fence.lost {
		return
	}
	w.client.Get(Urgent, JobKey(id), func(r GetResult) {
		if w.fence.lost {
			return
		}
		var record JobRecord
		if r.Err != nil || (r.Found && w.client.codec.Decode(r.KeyValue.Value, &record) != nil) {
			w.client.After(retryDelay, func() { w.readJobRecord(id, done) })
			return
		}
		done(record)
	})
}
