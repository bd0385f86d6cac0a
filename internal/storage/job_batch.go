package storage

import "github.com/cobaltvale/cobaltvale/internal/protocol"

// batch is operations that are written in one transaction, with drafts of the
// description pages that change with them.
type batch struct {
	maxChanges        int
	operations        []operation
	drafts            []*pageDraft
	draftListingEnded map[string]*pageDraft // jobs that are listed as ended, with the draft that does
	txn               protocol.Transaction  // without the drafts
	recordBytes       int                   // of the operations' records
	full              bool                  // an operation has found no room
}

// newBatch is a batch without operations.
func newBatch(maxChanges int) *batch {
	return &batch{maxChanges: maxChanges, draftListingEnded: make(map[string]*pageDraft)}
}

// hasRoom tells whether another operation may fit.
func (b *batch) hasRoom() bool {
	return len(b.txn.Then)+max(1, len(b.drafts)) < b.maxChanges && b.recordBytes < maxBatchRecordBytes
}

// draftOf is the batch's draft of a page, or nil.
func (b *batch) draftOf(p *descriptionPage) *pageDraft {
	for _, d := range b.drafts {
		if d.page == p {
			return d
		}
	}
	return nil
}

// draftWithRoom is the first draft that an addition of a size leaves within a limit,
// or nil.
func (b *batch) draftWithRoom(size, limit int) *pageDraft {
	for _, d := range b.drafts {
		if d.maxSize()+size <= limit {
			return d
		}
	}
	return nil
}

// listEnded lists a job as ended on a draft of another page than its own.
func (b *batch) listEnded(d *pageDraft, id string) {
	d.endedIDs[id] = true
	b.draftListingEnded[id] = d
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
		default:
			w.handleNotExecuted(b)
		}
	})
}

// pageChange writes a draft, or deletes the page when it says nothing.
func (w *jobWriter) pageChange(d *pageDraft) protocol.Change {
	key := descriptionPageKey(w.shard, d.page.number)
	if d.isEmpty() {
		return protocol.Change{Delete: key}
	}
	return protocol.Change{Put: key, Value: w.client.codec.Encode(d.record())}
}

// applied takes in that a batch is written.
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

// adoptDrafts makes the pages say what a batch has written.
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

// removePages forgets pages whose records are gone.
func (w *jobWriter) removePages(dropped map[*descriptionPage]bool) {
	kept := w.pages[:0]
	for _, p := range w.pages {
		if !dropped[p] {
			kept = append(kept, p)
		}
	}
	clear(w.pages[len(kept):])
	w.pages = kept
}

// refused takes in that a batch was surely not written: users are told at once
// that their jobs were not taken, ends are tried again.
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

// conflict is the resolution of a batch that met job records which exist already.
type conflictResolution struct {
	writer         *jobWriter
	batch          *batch
	pendingReads   int
	existing       map[string]bool // jobs whose records exist
	alreadyApplied bool            // a record is the batch's own
}

// resolveConflict finds out whether the records that stand in a batch's way are its own,
// written by an earlier transaction of it that got no answer. One such record
// tells that all of the batch is written.
func (w *jobWriter) resolveConflict(b *batch, r TxnResult) {
	c := &conflictResolution{writer: w, batch: b, existing: make(map[string]bool)}
	c.pendingReads = 1 // until all reads have begun
	for i := range b.operations {
		if op := &b.operations[i]; op.isCreation() && r.FailedOn(JobKey(op.jobID)) {
			c.pendingReads++
			w.readJobRecord(op.jobID, func(record JobRecord) { c.handleExisting(op, record) })
		}
	}
	c.finishRead()
}

// observe takes the record that exists in place of an operation's.
func (c *conflictResolution) handleExisting(op *operation, record JobRecord) {
	if record.Shard == c.writer.shard && record.Nonce == op.record.Nonce {
		c.alreadyApplied = true
	}
	c.existing[op.jobID] = true
	c.finishRead()
}

// finishRead ends the resolution once all reads are answered.
func (c *conflictResolution) finishRead() {
	c.pendingReads--
	if c.pendingReads > 0 {
		return
	}
	if c.alreadyApplied {
		c.writer.handleApplied(c.batch)
		return
	}
	c.writer.retryWithoutExisting(c.batch, c.existing)
}

// retryWithoutExisting writes a batch again without the jobs that exist.
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

// readJobRecord reads the record of a job that surely has one.
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
