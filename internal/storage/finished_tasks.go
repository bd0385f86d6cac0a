package storage

import (
	"time"

	"github.com/cobaltvale/cobaltvale/internal/protocol"
)

// FlushInterval is how long finished tasks gather before they are written.
const FlushInterval = 300 * time.Millisecond

// finishedTaskPage is one record with the finished tasks of many jobs, so that the writes
// do not grow with the jobs.
type finishedTaskPage struct {
	number     int
	taskRanges map[taskRangeKey]*taskRange
	maxSize    int  // that its task ranges take at the most
	dirty      bool // has to be written
	writing    bool
}

// newFinishedTaskPage is a page without task ranges.
func newFinishedTaskPage(number int) *finishedTaskPage {
	return &finishedTaskPage{number: number, taskRanges: make(map[taskRangeKey]*taskRange)}
}

// add puts a task range on the page.
func (p *finishedTaskPage) add(k taskRangeKey, r *taskRange) {
	p.taskRanges[k] = r
	p.maxSize += r.maxSize
}

// remove takes a task range off the page. An empty page has to be deleted; another
// says so with its next write.
func (p *finishedTaskPage) remove(k taskRangeKey, r *taskRange) {
	delete(p.taskRanges, k)
	p.maxSize -= r.maxSize
	if len(p.taskRanges) == 0 {
		p.dirty = true
	}
}

// record is the page's value.
func (p *finishedTaskPage) record() finishedTaskRecord {
	out := make(finishedTaskRecord, len(p.taskRanges))
	for k, r := range p.taskRanges {
		out[k.entryName()] = r.tasks.encode()
	}
	return out
}

// finishedTaskWriter writes the finished tasks of a shard's unfinished jobs, and owns
// what the shard's finished-task pages say.
type finishedTaskWriter struct {
	client *client
	fence  *fence
	shard  string

	taskRanges map[taskRangeKey]*taskRange
	pages      []*finishedTaskPage
	lastPage   int // the highest number of a page
}

// newFinishedTaskWriter is a writer for a shard without finished tasks; load takes over
// those that there are.
func newFinishedTaskWriter(c *client, f *fence, shard string) *finishedTaskWriter {
	return &finishedTaskWriter{client: c, fence: f, shard: shard, taskRanges: make(map[taskRangeKey]*taskRange)}
}

// add notes a finished task.
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

// place puts a task range on a page that has room for it.
func (w *finishedTaskWriter) assignPage(k taskRangeKey, r *taskRange) {
	r.page = w.pageWithRoom(r.maxSize)
	if r.page == nil {
		w.lastPage++
		r.page = newFinishedTaskPage(w.lastPage)
		w.pages = append(w.pages, r.page)
	}
	r.page.add(k, r)
}

// pageWithRoom is the first page that a task range of a size fits on, or nil.
func (w *finishedTaskWriter) pageWithRoom(size int) *finishedTaskPage {
	for _, p := range w.pages {
		if len(p.taskRanges) == 0 || p.maxSize+size <= w.client.maxSharedRecordSize() {
			return p
		}
	}
	return nil
}

// removeJob forgets the finished tasks of a job that is over. Until its pages are written
// next, their records name a job that nobody recovers.
func (w *finishedTaskWriter) removeJob(job *protocol.Job) {
	for i := 0; i*tasksPerRange < job.Tasks; i++ {
		w.removeRange(taskRangeKey{job.ID, i})
	}
}

// drop forgets a task range.
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

// flush writes the pages that have changed, as many to a transaction as fit.
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

// pageChange writes a page, or deletes it when it says nothing.
func (w *finishedTaskWriter) pageChange(p *finishedTaskPage) protocol.Change {
	key := finishedTaskPageKey(w.shard, p.number)
	if len(p.taskRanges) == 0 {
		return protocol.Change{Delete: key}
	}
	return protocol.Change{Put: key, Value: w.client.codec.Encode(p.record())}
}

// pageBatch is the pages that one transaction writes.
type pageBatch struct {
	txn   protocol.Transaction
	pages []*finishedTaskPage
	bytes int // of their values
}

// add puts a page into the batch, with the change that writes it.
func (b *pageBatch) add(p *finishedTaskPage, change protocol.Change) {
	b.txn.Then = append(b.txn.Then, change)
	b.pages = append(b.pages, p)
	b.bytes += len(change.Value)
}

// rangeWaiters is whom to tell when a write has finished tasks of a range.
type rangeWaiters struct {
	taskRange *taskRange
	waiters   []func()
}

// send writes a batch, and tells those that wait for it.
func (w *finishedTaskWriter) send(b pageBatch) {
	if len(b.pages) == 0 {
		return
	}
	var noted []rangeWaiters
	for _, p := range b.pages {
		p.dirty, p.writing = false, true
		for _, r := range p.taskRanges {
			if len(r.waiters) > 0 {
				noted = append(noted, rangeWaiters{r, r.waiters})
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
		for _, n := range noted {
			n.handleWriteResult(applied)
		}
		w.removeEmptyPages()
	})
}

// written tells those that wait that the tasks are written, or has them wait for the
// next write.
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

// removeEmptyPages forgets the pages whose records are gone.
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
