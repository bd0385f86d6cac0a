package storage

import (
	"time"

	"github.com/cobaltvale/cobaltvale/internal/protocol"
)

// FlushInterval is the time for which finished tasks are collected before they are written.
const FlushInterval = 300 * time.Millisecond

// finishedTaskPage is one record with the finished tasks of many jobs, so that the number of
// writes does not grow with the number of jobs.
type finishedTaskPage struct {
	number     int
	taskRanges map[taskRangeKey]*taskRange
	maxSize    int  // upper bound of the size of its task ranges, in bytes
	dirty      bool // has to be written, or deleted if it is empty
	writing    bool // a write is in progress
}

// newFinishedTaskPage returns a page without task ranges.
func newFinishedTaskPage(number int) *finishedTaskPage {
	return &finishedTaskPage{number: number, taskRanges: make(map[taskRangeKey]*taskRange)}
}

// add puts a task range on the page.
func (p *finishedTaskPage) add(k taskRangeKey, r *taskRange) {
	p.taskRanges[k] = r
	p.maxSize += r.maxSize
}

// remove takes a task range off the page. A page that becomes empty is marked dirty, as its
// record has to be deleted; any other leaves the range out of its next write.
func (p *finishedTaskPage) remove(k taskRangeKey, r *taskRange) {
	delete(p.taskRanges, k)
	p.maxSize -= r.maxSize
	if len(p.taskRanges) == 0 {
		p.dirty = true
	}
}

// record returns the value to write for the page.
func (p *finishedTaskPage) record() finishedTaskRecord {
	out := make(finishedTaskRecord, len(p.taskRanges))
	for k, r := range p.taskRanges {
		out[k.entryName()] = r.tasks.encode()
	}
	return out
}

// finishedTaskWriter writes the finished tasks of a shard's unfinished jobs. It owns the
// content of the shard's finished-task pages.
type finishedTaskWriter struct {
	client *client
	fence  *fence
	shard  string

	taskRanges map[taskRangeKey]*taskRange
	pages      []*finishedTaskPage
	lastPage   int // highest page number in use
}

// newFinishedTaskWriter returns a writer for a shard without finished tasks; load adds those
// that a former holder has written.
func newFinishedTaskWriter(c *client, f *fence, shard string) *finishedTaskWriter {
	return &finishedTaskWriter{client: c, fence: f, shard: shard, taskRanges: make(map[taskRangeKey]*taskRange)}
}

// addTask records a finished task. done is called once it is written.
func (w *finishedTaskWriter) addTask(job *protocol.Job, task int, done func()) {
	k := rangeOfTask(job.ID, task)
	r := w.taskRanges[k]
	if r == nil {
		r = &taskRange{maxSize: maxTaskRangeSize(job, k.index)}
		w.taskRanges[k] = r
		w.assignPage(k, r)
	} else {
		w.moveOffOversizedPage(k, r)
	}
	r.tasks.set(task % tasksPerRange)
	r.page.dirty = true
	r.waiters = append(r.waiters, done)
}

// assignPage puts a task range on the first page that has room for it, or on a new one.
func (w *finishedTaskWriter) assignPage(k taskRangeKey, r *taskRange) {
	r.page = w.pageWithRoom(r.maxSize)
	if r.page == nil {
		w.lastPage++
		r.page = newFinishedTaskPage(w.lastPage)
		w.pages = append(w.pages, r.page)
	}
	r.page.add(k, r)
}

// pageWithRoom returns the first page that has room for a task range of the given size, or nil.
func (w *finishedTaskWriter) pageWithRoom(size int) *finishedTaskPage {
	for _, p := range w.pages {
		if len(p.taskRanges) == 0 || p.maxSize+size <= w.client.maxSharedRecordSize() {
			return p
		}
	}
	return nil
}

// removeJob removes the finished tasks of a job that has ended. Until the pages concerned are
// written the next time, their records still name the job, which Recover ignores.
func (w *finishedTaskWriter) removeJob(job *protocol.Job) {
	for i := 0; i*tasksPerRange < job.Tasks; i++ {
		w.removeRange(taskRangeKey{job.ID, i})
	}
}

// removeRange removes a task range and its callbacks.
func (w *finishedTaskWriter) removeRange(k taskRangeKey) {
	r := w.taskRanges[k]
	if r == nil {
		return
	}
	delete(w.taskRanges, k)
	r.jobEnded, r.waiters = true, nil
	r.page.remove(k, r)
	if r.oversizedPage != nil {
		r.oversizedPage.remove(k, r)
	}
}

// flush writes the pages that have changed, with as many pages to a transaction as fit.
func (w *finishedTaskWriter) flush() {
	var b pageBatch
	for _, p := range w.pages {
		if !p.dirty || p.writing {
			continue
		}
		if len(b.pages) >= w.client.backgroundTxnChanges() || b.bytes+w.client.limits.ValueBytes > maxTxnBytes {
			w.send(b)
			b = pageBatch{}
		}
		b.add(p, w.pageChange(p))
	}
	w.send(b)
}

// pageChange returns the change that writes a page, or deletes its record if it is empty.
func (w *finishedTaskWriter) pageChange(p *finishedTaskPage) protocol.Change {
	key := finishedTaskPageKey(w.shard, p.number)
	if len(p.taskRanges) == 0 {
		return protocol.Change{Delete: key}
	}
	return protocol.Change{Put: key, Value: w.client.codec.Encode(p.record())}
}

// pageBatch is the set of pages that one transaction writes.
type pageBatch struct {
	txn   protocol.Transaction
	pages []*finishedTaskPage
	bytes int // size of their values
}

// add adds a page to the batch, with the change that writes it.
func (b *pageBatch) add(p *finishedTaskPage, change protocol.Change) {
	b.txn.Then = append(b.txn.Then, change)
	b.pages = append(b.pages, p)
	b.bytes += len(change.Value)
}

// rangeWaiters has the callbacks to call once a write has stored the finished tasks of a range.
type rangeWaiters struct {
	taskRange *taskRange
	waiters   []func()
}

// send writes a batch, and calls the callbacks of the finished tasks in it.
func (w *finishedTaskWriter) send(b pageBatch) {
	if len(b.pages) == 0 {
		return
	}
	var waiting []rangeWaiters
	for _, p := range b.pages {
		p.dirty, p.writing = false, true
		for _, r := range p.taskRanges {
			if len(r.waiters) > 0 {
				waiting = append(waiting, rangeWaiters{r, r.waiters})
				r.waiters = nil
			}
		}
	}
	w.fence.write(Background, b.txn, retryRejected, func(r TxnResult) {
		applied := r.Outcome == Applied
		for _, p := range b.pages {
			p.writing = false
			p.dirty = p.dirty || !applied
		}
		for _, n := range waiting {
			n.handleWriteResult(applied)
		}
		w.removeEmptyPages()
	})
}

// handleWriteResult calls the callbacks if the write was applied; otherwise it queues them for
// the next write, ahead of newer ones. Those of an ended job are discarded.
func (n *rangeWaiters) handleWriteResult(applied bool) {
	switch {
	case n.taskRange.jobEnded:
	case !applied:
		n.taskRange.waiters = append(n.waiters, n.taskRange.waiters...)
	default:
		for _, done := range n.waiters {
			done()
		}
	}
}

// removeEmptyPages removes the pages whose records have been deleted.
func (w *finishedTaskWriter) removeEmptyPages() {
	kept := w.pages[:0]
	for _, p := range w.pages {
		if len(p.taskRanges) > 0 || p.dirty || p.writing {
			kept = append(kept, p)
		}
	}
	clear(w.pages[len(kept):])
	w.pages = kept
}
