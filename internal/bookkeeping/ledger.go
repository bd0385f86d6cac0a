package bookkeeping

import (
	"encoding/base64"
	"strconv"
	"strings"
	"time"

	"github.com/cobaltvale/cobaltvale/internal/protocol"
)

// Keys of the state service. Everything that a watch must see lies under
// MemberPrefix.
const (
	MemberPrefix = "m/"
	LeaderKey    = MemberPrefix + "leader"
	ledgerPrefix = MemberPrefix + "ledger/"
	selfPrefix   = MemberPrefix + "member/"
	jobPrefix    = "job/"
	ownPrefix    = "own/"
	donePrefix   = "done/"
	fleetPrefix  = "fleet/"
)

const (
	// chunkTasks is how many tasks one bit set of finished tasks covers: about
	// a kilobyte and a half in the longest form.
	chunkTasks = 8192
	// chunkRoom is what a bit set is counted as besides its bits.
	chunkRoom = 64
)

// LedgerKey is the key that names a ledger's holder.
func LedgerKey(ledger string) string { return ledgerPrefix + ledger }

// SelfKey is the key that names a member's present process. Every claim of a
// key carries a condition on its stamp, so that a claim of an earlier process,
// held by the network, can never be applied once the next one has written it.
func SelfKey(member string) string { return selfPrefix + member }

// LedgerOfKey is the inverse of LedgerKey.
func LedgerOfKey(key string) (string, bool) { return strings.CutPrefix(key, ledgerPrefix) }

// JobKey is the key under which any node finds a job.
func JobKey(id string) string { return jobPrefix + id }

// Holder is the value of a ledger or leader key: a member, and by the nonce
// the one process of it that holds the key.
type Holder struct {
	Member string `cbor:"m"`
	Nonce  string `cbor:"n"`
}

// JobRecord is the value of a job's key. Status is empty until the job has
// come to its end.
type JobRecord struct {
	Ledger string `cbor:"l"`
	Nonce  string `cbor:"n"`
	Status string `cbor:"s"`
	Tasks  int    `cbor:"t"`
}

// OwnRecord describes an unfinished job of a ledger.
type OwnRecord struct {
	Job  protocol.Job `cbor:"j"`
	AtMs int64        `cbor:"at"`
}

// RecoveredJob is a job as the state service has it.
type RecoveredJob struct {
	Job  protocol.Job
	AtMs int64
	Done []bool
}

// CreateResult is what became of a new job.
type CreateResult uint8

// The ends of a creation.
const (
	Created     CreateResult = iota + 1
	Exists                   // a job of this id is known already
	Unavailable              // surely not created; the user may ask again
)

// Ledger writes the records of one ledger that this process holds. Every
// write is conditional on the stamp of the ledger key.
type Ledger struct {
	store *Store
	name  string
	key   string
	me    Holder
	lease uint64
	stamp uint64
	lost  bool
	onEnd func()

	settling bool
	waiting  []func() // operations to run once the ledger is settled
	chunks   map[chunkKey]*chunk
	pages    []*page
	lastPage int
}

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

// NewLedger wraps a ledger key that this process has just taken with the
// given stamp. onEnd is called once when it turns out to be another's.
func NewLedger(s *Store, name string, me Holder, lease, stamp uint64, onEnd func()) *Ledger {
	return &Ledger{store: s, name: name, key: LedgerKey(name), me: me, lease: lease, stamp: stamp,
		onEnd: onEnd, chunks: make(map[chunkKey]*chunk)}
}

// Name returns the ledger's name.
func (l *Ledger) Name() string { return l.name }

// Stamp returns the stamp that fences this holder's writes.
func (l *Ledger) Stamp() uint64 { return l.stamp }

// Close stops all writing; callbacks of unfinished operations never come.
func (l *Ledger) Close() {
	l.lost = true
	l.waiting = nil
}

func (l *Ledger) fail() {
	if l.lost {
		return
	}
	l.Close()
	l.onEnd()
}

// write runs a conditional transaction until its outcome is certain. The
// result is Applied, Conflict (on a key other than the ledger's), Refused if
// retry is false, or Invalid.
func (l *Ledger) write(t protocol.Txn, class Class, until time.Duration, retry bool, done func(TxnResult)) {
	if l.lost {
		return
	}
	if l.settling {
		l.waiting = append(l.waiting, func() { l.write(t, class, until, retry, done) })
		return
	}
	full := t
	full.If = append([]protocol.Condition{{Key: l.key, Stamp: l.stamp}}, t.If...)
	sent := l.stamp
	l.store.txnUntil(class, until, full, func(r TxnResult) {
		if l.lost {
			return
		}
		again := func() { l.write(t, class, until, retry, done) }
		switch {
		case r.Outcome == Unknown:
			l.waiting = append(l.waiting, again)
			l.settle()
		case r.Outcome == Conflict && r.FailedOn(l.key):
			if l.stamp != sent {
				again() // the ledger was settled meanwhile under a new stamp
				return
			}
			l.waiting = append(l.waiting, again)
			l.inspect()
		case r.Outcome == Refused && retry:
			l.store.After(retryPause, again)
		case r.Outcome == NoLease:
			l.fail()
		default:
			done(r)
		}
	})
}

// settle makes sure that no transaction of ours which got no answer can still
// be applied: it gives the ledger key a new stamp. A transaction sent under
// the old one has either been applied by then or never will be.
func (l *Ledger) settle() {
	if l.settling || l.lost {
		return
	}
	l.settling = true
	l.refence()
}

func (l *Ledger) refence() {
	if l.lost {
		return
	}
	t := protocol.Txn{
		If:   []protocol.Condition{{Key: l.key, Stamp: l.stamp}},
		Then: []protocol.Change{{Put: l.key, Value: l.store.codec.Encode(l.me), Lease: l.lease}},
	}
	l.store.Txn(Urgent, t, func(r TxnResult) {
		if l.lost {
			return
		}
		switch r.Outcome {
		case Applied:
			l.settled(r.Revision)
		case Conflict, Unknown:
			l.settling = true
			l.inspectNow(r.Outcome == Unknown)
		case NoLease:
			l.fail()
		default:
			l.store.After(retryPause, l.refence)
		}
	})
}

// inspect finds out why the ledger key has another stamp.
func (l *Ledger) inspect() {
	if l.settling || l.lost {
		return
	}
	l.settling = true
	l.inspectNow(false)
}

func (l *Ledger) inspectNow(unknown bool) {
	l.store.Get(Urgent, l.key, func(p protocol.Pair, found, ok bool) {
		if l.lost {
			return
		}
		if !ok {
			l.store.After(retryPause, func() {
				if !l.lost {
					l.inspectNow(unknown)
				}
			})
			return
		}
		var h Holder
		if !found || l.store.codec.Decode(p.Value, &h) != nil || h != l.me {
			l.fail()
			return
		}
		if p.Stamp == l.stamp && unknown {
			// Our new stamp has not been written yet, but may be later.
			l.store.After(retryPause, l.refence)
			return
		}
		l.settled(p.Stamp)
	})
}

func (l *Ledger) settled(stamp uint64) {
	l.stamp = stamp
	l.settling = false
	run := l.waiting
	l.waiting = nil
	for _, fn := range run {
		fn()
	}
}

// Release gives the ledger up.
func (l *Ledger) Release(done func(TxnResult)) {
	t := protocol.Txn{If: []protocol.Condition{{Key: l.key, Stamp: l.stamp}}, Then: []protocol.Change{{Delete: l.key}}}
	l.Close()
	l.store.Txn(Urgent, t, done)
}

// Create writes a new job before its user is told that it is accepted. It is
// not sent any more once until has passed.
func (l *Ledger) Create(j *protocol.Job, atMs int64, nonce string, until time.Duration, done func(CreateResult)) {
	rec := JobRecord{Ledger: l.name, Nonce: nonce, Tasks: j.Tasks}
	key := JobKey(j.ID)
	t := protocol.Txn{
		If: []protocol.Condition{{Key: key, Stamp: 0}},
		Then: []protocol.Change{
			{Put: key, Value: l.store.codec.Encode(rec)},
			{Put: ownPrefix + l.name + "/" + j.ID, Value: l.store.codec.Encode(OwnRecord{Job: *j, AtMs: atMs})},
		},
	}
	l.write(t, Foreground, until, false, func(r TxnResult) {
		switch r.Outcome {
		case Applied:
			done(Created)
		case Conflict:
			l.whose(key, nonce, done)
		default:
			done(Unavailable)
		}
	})
}

// whose tells whether the job that stands in the way of a creation is that
// very creation, applied by an earlier transaction that got no answer.
func (l *Ledger) whose(key, nonce string, done func(CreateResult)) {
	if l.lost {
		return
	}
	l.store.Get(Read, key, func(p protocol.Pair, found, ok bool) {
		if l.lost {
			return
		}
		var rec JobRecord
		switch {
		case !ok:
			l.store.After(retryPause, func() { l.whose(key, nonce, done) })
		case found && l.store.codec.Decode(p.Value, &rec) == nil && rec.Ledger == l.name && rec.Nonce == nonce:
			done(Created)
		case found:
			done(Exists)
		default:
			done(Unavailable)
		}
	})
}

// End writes a job's final state, before anyone is told of it, and drops what
// is no longer needed of it.
func (l *Ledger) End(j *protocol.Job, nonce, status string, done func()) {
	t := protocol.Txn{Then: []protocol.Change{
		{Put: JobKey(j.ID), Value: l.store.codec.Encode(JobRecord{Ledger: l.name, Nonce: nonce, Status: status, Tasks: j.Tasks})},
		{Delete: ownPrefix + l.name + "/" + j.ID},
	}}
	for n := 0; n*chunkTasks < j.Tasks; n++ {
		l.dropChunk(chunkKey{j.ID, n})
	}
	l.write(t, Urgent, 0, true, func(r TxnResult) {
		if r.Outcome == Applied {
			done()
		}
	})
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
	p := c.page
	delete(p.chunks, k)
	p.room -= c.room
	if len(p.chunks) == 0 {
		p.dirty = true
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
	}
	c.bits = setBit(c.bits, task%chunkTasks)
	c.page.dirty = true
	c.waiters = append(c.waiters, done)
}

// place puts a chunk on a page that has room for it.
func (l *Ledger) place(k chunkKey, c *chunk) {
	for _, p := range l.pages {
		if len(p.chunks) == 0 || p.room+c.room <= l.store.limits.ValueBytes*3/4 {
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
		if len(batch) >= l.store.limits.TxnOps || size+l.store.limits.ValueBytes > maxTxnBytes {
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

// Recover reads the ledger's unfinished jobs with their finished tasks.
func (l *Ledger) Recover(done func([]RecoveredJob)) {
	l.store.List(ownPrefix+l.name+"/", func(items []protocol.Pair, _ uint64, ok bool) {
		if l.lost {
			return
		}
		if !ok {
			l.store.After(retryPause, func() { l.retryRecover(done) })
			return
		}
		jobs := decodeOwn(l.store.codec, items)
		l.store.List(donePrefix+l.name+"/", func(items []protocol.Pair, _ uint64, ok bool) {
			if l.lost {
				return
			}
			if !ok {
				l.store.After(retryPause, func() { l.retryRecover(done) })
				return
			}
			l.readPages(jobs, items)
			done(jobs)
		})
	})
}

func (l *Ledger) retryRecover(done func([]RecoveredJob)) {
	if !l.lost {
		l.Recover(done)
	}
}

func decodeOwn(codec *protocol.Codec, items []protocol.Pair) []RecoveredJob {
	var jobs []RecoveredJob
	for _, it := range items {
		var o OwnRecord
		if codec.Decode(it.Value, &o) == nil {
			jobs = append(jobs, RecoveredJob{Job: o.Job, AtMs: o.AtMs, Done: make([]bool, o.Job.Tasks)})
		}
	}
	return jobs
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
		if err != nil || derr != nil {
			continue
		}
		p := &page{n: n, chunks: make(map[chunkKey]*chunk)}
		l.pages = append(l.pages, p)
		l.lastPage = max(l.lastPage, n)
		for name, text := range record {
			l.readChunk(p, name, text, jobs, index)
		}
		p.dirty = len(p.chunks) == 0
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
	c := &chunk{bits: bits, page: p, room: roomFor(&jobs[i].Job, n)}
	l.chunks[k], p.chunks[k] = c, c
	p.room += c.room
	for b := range len(bits) * 8 {
		if t := n*chunkTasks + b; bits[b/8]&(1<<(b%8)) != 0 && t < len(jobs[i].Done) {
			jobs[i].Done[t] = true
		}
	}
}

// Unfinished reads the jobs of a ledger that another member holds.
func (s *Store) Unfinished(ledger string, done func(jobs []RecoveredJob, ok bool)) {
	s.List(ownPrefix+ledger+"/", func(items []protocol.Pair, _ uint64, ok bool) {
		done(decodeOwn(s.codec, items), ok)
	})
}

// Job reads a job's record afresh, unless that has not begun by the given time.
func (s *Store) Job(id string, until time.Duration, done func(rec JobRecord, found, ok bool)) {
	s.getUntil(Read, until, JobKey(id), func(p protocol.Pair, found, ok bool) {
		var rec JobRecord
		if found && s.codec.Decode(p.Value, &rec) != nil {
			done(rec, false, false)
			return
		}
		done(rec, found, ok)
	})
}

// RecordMachines writes the names of machines that may be given tasks, under
// a key that is new, as long as the leader key has the given stamp.
func (s *Store) RecordMachines(token uint64, n int, names []string, done func(key string, r TxnResult)) {
	key := fleetPrefix + strconv.FormatUint(token, 10) + "-" + strconv.Itoa(n)
	s.Txn(Foreground, protocol.Txn{
		If:   []protocol.Condition{{Key: LeaderKey, Stamp: token}},
		Then: []protocol.Change{{Put: key, Value: s.codec.Encode(names)}},
	}, func(r TxnResult) { done(key, r) })
}

// RewriteRecord leaves only the given machines in a record, or drops it when
// there are none.
func (s *Store) RewriteRecord(token uint64, key string, names []string, done func(TxnResult)) {
	change := protocol.Change{Put: key, Value: s.codec.Encode(names)}
	if len(names) == 0 {
		change = protocol.Change{Delete: key}
	}
	s.Txn(Background, protocol.Txn{
		If:   []protocol.Condition{{Key: LeaderKey, Stamp: token}},
		Then: []protocol.Change{change},
	}, done)
}

// RecordedMachines reads the names of all recorded machines, by record.
func (s *Store) RecordedMachines(done func(records map[string][]string, ok bool)) {
	s.List(fleetPrefix, func(items []protocol.Pair, _ uint64, ok bool) {
		records := make(map[string][]string, len(items))
		for _, it := range items {
			names, err := s.codec.Texts(it.Value)
			ok = ok && err == nil
			records[it.Key] = names
		}
		done(records, ok)
	})
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
