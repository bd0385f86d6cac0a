package storage

import (
	"encoding/base64"
	"strconv"
	"strings"
	"time"

	"github.com/cobaltvale/cobaltvale/internal/protocol"
)

const (
	// tasksPerRange is how many tasks one bit set of finished tasks covers: about
	// a kilobyte and a half in the longest form.
	tasksPerRange = 8192
	// taskRangeOverhead is what a bit set is counted as besides its bits.
	taskRangeOverhead = 64
)

type taskRangeKey struct {
	job   string
	index int
}

// taskRange is the finished tasks of a part of a job.
type taskRange struct {
	bits          []byte
	page          *finishedPage
	maxSize       int           // that it takes in the record at the most
	waiters       []func()      // of the next write
	jobEnded      bool          // its job has ended
	oversizedPage *finishedPage // one that can't be rewritten and says less of it; nil: there is none
}

// finishedPage is one record with the finished tasks of many jobs, so that the writes
// do not grow with the jobs.
type finishedPage struct {
	number     int
	taskRanges map[taskRangeKey]*taskRange
	maxSize    int // that its chunks take at the most
	dirty      bool
	writing    bool
}

// maxTaskRangeSize is what the n-th chunk of a job takes in a record at the most.
func maxTaskRangeSize(j *protocol.Job, index int) int {
	return (min(j.Tasks-index*tasksPerRange, tasksPerRange)+7)/8*4/3 + taskRangeOverhead
}

// dropTaskRange forgets the finished tasks of a job that is over. Its page says so
// with its next write; until then the record names a job that nobody recovers.
func (s *Shard) dropTaskRange(k taskRangeKey) {
	c := s.taskRanges[k]
	if c == nil {
		return
	}
	delete(s.taskRanges, k)
	c.jobEnded, c.waiters = true, nil
	for _, p := range []*finishedPage{c.page, c.oversizedPage} {
		if p == nil {
			continue
		}
		delete(p.taskRanges, k)
		p.maxSize -= c.maxSize
		if len(p.taskRanges) == 0 {
			p.dirty = true
		}
	}
}

func (s *Shard) finishedPageKey(p *finishedPage) string {
	return finishedPrefix + s.name + "/" + strconv.Itoa(p.number)
}

// FinishTask notes a finished task; done is called once it is written. Notes
// are gathered and written together, see Flush.
func (s *Shard) FinishTask(job *protocol.Job, task int, done func()) {
	k := taskRangeKey{job.ID, task / tasksPerRange}
	c := s.taskRanges[k]
	if c == nil {
		c = &taskRange{maxSize: maxTaskRangeSize(job, k.index)}
		s.taskRanges[k] = c
		s.placeTaskRange(k, c)
	} else {
		s.moveTaskRange(k, c)
	}
	c.bits = setBit(c.bits, task%tasksPerRange)
	c.page.dirty = true
	c.waiters = append(c.waiters, done)
}

// placeTaskRange puts a chunk on a page that has room for it.
func (s *Shard) placeTaskRange(k taskRangeKey, c *taskRange) {
	for _, p := range s.finishedPages {
		if len(p.taskRanges) == 0 || p.maxSize+c.maxSize <= s.store.maxSharedRecordSize() {
			c.page = p
			break
		}
	}
	if c.page == nil {
		s.lastFinishedPage++
		c.page = &finishedPage{number: s.lastFinishedPage, taskRanges: make(map[taskRangeKey]*taskRange)}
		s.finishedPages = append(s.finishedPages, c.page)
	}
	c.page.taskRanges[k] = c
	c.page.maxSize += c.maxSize
}

// FlushFinishedTasks writes the pages that have changed, as many to a transaction as fit.
func (s *Shard) FlushFinishedTasks() {
	if s.lost || s.resolving {
		return
	}
	s.compact()
	var batch []*finishedPage
	var t protocol.Transaction
	size := 0
	send := func() {
		if len(batch) > 0 {
			s.writeFinishedPages(t, batch)
		}
		batch, t, size = nil, protocol.Transaction{}, 0
	}
	for _, p := range s.finishedPages {
		if !p.dirty || p.writing {
			continue
		}
		if len(batch) >= s.store.backgroundTxnChanges() || size+s.store.limits.ValueBytes > maxTxnBytes {
			send()
		}
		change := protocol.Change{Delete: s.finishedPageKey(p)}
		if len(p.taskRanges) > 0 {
			change = protocol.Change{Put: s.finishedPageKey(p), Value: s.store.codec.Encode(p.record())}
		}
		t.Then = append(t.Then, change)
		batch = append(batch, p)
		size += len(change.Value)
	}
	send()
}

// record is a page's value: bit sets by job and number.
func (p *finishedPage) record() map[string]string {
	out := make(map[string]string, len(p.taskRanges))
	for k, c := range p.taskRanges {
		out[k.job+"/"+strconv.Itoa(k.index)] = base64.StdEncoding.EncodeToString(c.bits)
	}
	return out
}

func (s *Shard) writeFinishedPages(t protocol.Transaction, batch []*finishedPage) {
	type noted struct {
		c       *taskRange
		waiters []func()
	}
	var all []noted
	for _, p := range batch {
		p.dirty, p.writing = false, true
		for _, c := range p.taskRanges {
			if len(c.waiters) > 0 {
				all = append(all, noted{c, c.waiters})
				c.waiters = nil
			}
		}
	}
	s.fencedWrite(t, Background, 0, true, func(r TxnResult) {
		for _, p := range batch {
			p.writing = false
			p.dirty = p.dirty || r.Outcome != Applied
		}
		for _, n := range all {
			switch {
			case n.c.jobEnded:
			case r.Outcome != Applied:
				n.c.waiters = append(n.waiters, n.c.waiters...)
			default:
				for _, fn := range n.waiters {
					fn()
				}
			}
		}
		s.dropEmptyPages()
	})
}

// dropEmptyPages forgets the pages whose records are gone.
func (s *Shard) dropEmptyPages() {
	kept := s.finishedPages[:0]
	for _, p := range s.finishedPages {
		if len(p.taskRanges) > 0 || p.dirty || p.writing {
			kept = append(kept, p)
		}
	}
	clear(s.finishedPages[len(kept):])
	s.finishedPages = kept
}

// readFinishedPages takes up the pages that a holder before has left.
func (s *Shard) readFinishedPages(jobs []RecoveredJob, items []protocol.KeyValue) {
	index := make(map[string]int, len(jobs))
	for i := range jobs {
		index[jobs[i].Job.ID] = i
	}
	for _, it := range items {
		suffix, _ := strings.CutPrefix(it.Key, finishedPrefix+s.name+"/")
		number, err := strconv.Atoi(suffix)
		record, derr := s.store.codec.DecodeTextMap(it.Value)
		if err == nil {
			s.lastFinishedPage = max(s.lastFinishedPage, number) // whatever it says, its number is taken
		}
		if err != nil || derr != nil {
			s.unreadable = append(s.unreadable, it.Key)
			continue
		}
		p := &finishedPage{number: number, taskRanges: make(map[taskRangeKey]*taskRange)}
		s.finishedPages = append(s.finishedPages, p)
		for name, text := range record {
			s.readTaskRange(p, name, text, jobs, index)
		}
		p.dirty = len(p.taskRanges) == 0
	}
	for _, c := range s.taskRanges {
		if c.oversizedPage != nil && c.page.maxSize > c.oversizedPage.maxSize {
			c.page, c.oversizedPage = c.oversizedPage, c.page
		}
	}
}

func (s *Shard) readTaskRange(p *finishedPage, name, text string, jobs []RecoveredJob, index map[string]int) {
	id, suffix, _ := strings.Cut(name, "/")
	n, err := strconv.Atoi(suffix)
	bits, berr := base64.StdEncoding.DecodeString(text)
	i, known := index[id]
	if err != nil || berr != nil || !known {
		return // left over from a job that has ended
	}
	k := taskRangeKey{id, n}
	c := s.taskRanges[k]
	if c == nil {
		c = &taskRange{page: p, maxSize: maxTaskRangeSize(&jobs[i].Job, n)}
		s.taskRanges[k] = c
	} else { // it was moved from one of the two, see move
		c.page, c.oversizedPage = p, c.page
	}
	c.bits = union(c.bits, bits)
	p.taskRanges[k] = c
	p.maxSize += c.maxSize
	for b := range len(bits) * 8 {
		if t := n*tasksPerRange + b; bits[b/8]&(1<<(b%8)) != 0 && t < len(jobs[i].Done) {
			jobs[i].Done[t] = true
		}
	}
}

// FlushInterval is how long finished tasks gather before they are written.
const FlushInterval = 300 * time.Millisecond

func setBit(bits []byte, n int) []byte {
	for len(bits) <= n/8 {
		bits = append(bits, 0)
	}
	bits[n/8] |= 1 << (n % 8)
	return bits
}
