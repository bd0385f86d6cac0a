package storage

import (
	"encoding/base64"
	"strconv"
	"strings"
	"time"

	"github.com/cobaltvale/cobaltvale/internal/protocol"
)

const (
	// chunkTasks is how many tasks one bit set of finished tasks covers: about
	// a kilobyte and a half in the longest form.
	chunkTasks = 8192
	// chunkRoom is what a bit set is counted as besides its bits.
	chunkRoom = 64
)

type chunkKey struct {
	job string
	n   int
}

// chunk is the finished tasks of a part of a job.
type chunk struct {
	bits    []byte
	page    *page
	room    int      // that it takes in the record at the most
	waiters []func() // of the next write
	over    bool     // its job has ended
	old     *page    // one that can't be rewritten and says less of it; nil: there is none
}

// page is one record with the finished tasks of many jobs, so that the writes
// do not grow with the jobs.
type page struct {
	n       int
	chunks  map[chunkKey]*chunk
	room    int // that its chunks take at the most
	dirty   bool
	writing bool
}

// roomFor is what the n-th chunk of a job takes in a record at the most.
func roomFor(j *protocol.Job, n int) int {
	return (min(j.Tasks-n*chunkTasks, chunkTasks)+7)/8*4/3 + chunkRoom
}

// dropChunk forgets the finished tasks of a job that is over. Its page says so
// with its next write; until then the record names a job that nobody recovers.
func (l *Ledger) dropChunk(k chunkKey) {
	c := l.chunks[k]
	if c == nil {
		return
	}
	delete(l.chunks, k)
	c.over, c.waiters = true, nil
	for _, p := range []*page{c.page, c.old} {
		if p == nil {
			continue
		}
		delete(p.chunks, k)
		p.room -= c.room
		if len(p.chunks) == 0 {
			p.dirty = true
		}
	}
}

func (l *Ledger) pageKey(p *page) string { return donePrefix + l.name + "/" + strconv.Itoa(p.n) }

// TaskDone notes a finished task; done is called once it is written. Notes
// are gathered and written together, see Flush.
func (l *Ledger) TaskDone(j *protocol.Job, task int, done func()) {
	k := chunkKey{j.ID, task / chunkTasks}
	c := l.chunks[k]
	if c == nil {
		c = &chunk{room: roomFor(j, k.n)}
		l.chunks[k] = c
		l.place(k, c)
	} else {
		l.move(k, c)
	}
	c.bits = setBit(c.bits, task%chunkTasks)
	c.page.dirty = true
	c.waiters = append(c.waiters, done)
}

// place puts a chunk on a page that has room for it.
func (l *Ledger) place(k chunkKey, c *chunk) {
	for _, p := range l.pages {
		if len(p.chunks) == 0 || p.room+c.room <= l.store.recordRoom() {
			c.page = p
			break
		}
	}
	if c.page == nil {
		l.lastPage++
		c.page = &page{n: l.lastPage, chunks: make(map[chunkKey]*chunk)}
		l.pages = append(l.pages, c.page)
	}
	c.page.chunks[k] = c
	c.page.room += c.room
}

// Flush writes the pages that have changed, as many to a transaction as fit.
func (l *Ledger) Flush() {
	if l.lost || l.settling {
		return
	}
	l.compact()
	var batch []*page
	var t protocol.Txn
	size := 0
	send := func() {
		if len(batch) > 0 {
			l.writePages(t, batch)
		}
		batch, t, size = nil, protocol.Txn{}, 0
	}
	for _, p := range l.pages {
		if !p.dirty || p.writing {
			continue
		}
		if len(batch) >= l.store.pagesAtOnce() || size+l.store.limits.ValueBytes > maxTxnBytes {
			send()
		}
		change := protocol.Change{Delete: l.pageKey(p)}
		if len(p.chunks) > 0 {
			change = protocol.Change{Put: l.pageKey(p), Value: l.store.codec.Encode(p.record())}
		}
		t.Then = append(t.Then, change)
		batch = append(batch, p)
		size += len(change.Value)
	}
	send()
}

// maxTxnBytes is what one transaction takes of the service's 64 KiB, the rest
// is left to keys and conditions.
const maxTxnBytes = 48 << 10

// record is a page's value: bit sets by job and number.
func (p *page) record() map[string]string {
	out := make(map[string]string, len(p.chunks))
	for k, c := range p.chunks {
		out[k.job+"/"+strconv.Itoa(k.n)] = base64.StdEncoding.EncodeToString(c.bits)
	}
	return out
}

func (l *Ledger) writePages(t protocol.Txn, batch []*page) {
	type noted struct {
		c       *chunk
		waiters []func()
	}
	var all []noted
	for _, p := range batch {
		p.dirty, p.writing = false, true
		for _, c := range p.chunks {
			if len(c.waiters) > 0 {
				all = append(all, noted{c, c.waiters})
				c.waiters = nil
			}
		}
	}
	l.write(t, Background, 0, true, func(r TxnResult) {
		for _, p := range batch {
			p.writing = false
			p.dirty = p.dirty || r.Outcome != Applied
		}
		for _, n := range all {
			switch {
			case n.c.over:
			case r.Outcome != Applied:
				n.c.waiters = append(n.waiters, n.c.waiters...)
			default:
				for _, fn := range n.waiters {
					fn()
				}
			}
		}
		l.dropEmpty()
	})
}

// dropEmpty forgets the pages whose records are gone.
func (l *Ledger) dropEmpty() {
	kept := l.pages[:0]
	for _, p := range l.pages {
		if len(p.chunks) > 0 || p.dirty || p.writing {
			kept = append(kept, p)
		}
	}
	clear(l.pages[len(kept):])
	l.pages = kept
}

// readPages takes up the pages that a holder before has left.
func (l *Ledger) readPages(jobs []RecoveredJob, items []protocol.Pair) {
	index := make(map[string]int, len(jobs))
	for i := range jobs {
		index[jobs[i].Job.ID] = i
	}
	for _, it := range items {
		num, _ := strings.CutPrefix(it.Key, donePrefix+l.name+"/")
		n, err := strconv.Atoi(num)
		record, derr := l.store.codec.TextMap(it.Value)
		if err == nil {
			l.lastPage = max(l.lastPage, n) // whatever it says, its number is taken
		}
		if err != nil || derr != nil {
			l.unread = append(l.unread, it.Key)
			continue
		}
		p := &page{n: n, chunks: make(map[chunkKey]*chunk)}
		l.pages = append(l.pages, p)
		for name, text := range record {
			l.readChunk(p, name, text, jobs, index)
		}
		p.dirty = len(p.chunks) == 0
	}
	for _, c := range l.chunks {
		if c.old != nil && c.page.room > c.old.room {
			c.page, c.old = c.old, c.page
		}
	}
}

func (l *Ledger) readChunk(p *page, name, text string, jobs []RecoveredJob, index map[string]int) {
	id, num, _ := strings.Cut(name, "/")
	n, err := strconv.Atoi(num)
	bits, berr := base64.StdEncoding.DecodeString(text)
	i, known := index[id]
	if err != nil || berr != nil || !known {
		return // left over from a job that has ended
	}
	k := chunkKey{id, n}
	c := l.chunks[k]
	if c == nil {
		c = &chunk{page: p, room: roomFor(&jobs[i].Job, n)}
		l.chunks[k] = c
	} else { // it was moved from one of the two, see move
		c.page, c.old = p, c.page
	}
	c.bits = union(c.bits, bits)
	p.chunks[k] = c
	p.room += c.room
	for b := range len(bits) * 8 {
		if t := n*chunkTasks + b; bits[b/8]&(1<<(b%8)) != 0 && t < len(jobs[i].Done) {
			jobs[i].Done[t] = true
		}
	}
}

// FlushEvery is how long finished tasks gather before they are written.
const FlushEvery = 300 * time.Millisecond

func setBit(bits []byte, n int) []byte {
	for len(bits) <= n/8 {
		bits = append(bits, 0)
	}
	bits[n/8] |= 1 << (n % 8)
	return bits
}
