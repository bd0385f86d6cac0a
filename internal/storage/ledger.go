package storage

import (
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
	// Records tells which records the process can read: 0, before there were
	// services, no job that does not end by itself.
	Records int `cbor:"r,omitempty"`
}

// RecordsNow is what this version reads.
const RecordsNow = 1

// RecordsQuota is what a process writes in place of RecordsNow that also divides
// teams' limits among the ledgers.
const RecordsQuota = 2

// MemberOfKey is the inverse of SelfKey.
func MemberOfKey(key string) (string, bool) { return strings.CutPrefix(key, selfPrefix) }

// JobRecord is the value of a job's key. Status is empty until the job has
// come to its end.
type JobRecord struct {
	Ledger string `cbor:"l"`
	Nonce  string `cbor:"n"`
	Status string `cbor:"s"`
	Tasks  int    `cbor:"t"`
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
	reads int // how often its records were asked for
	onEnd func()

	settling bool
	waiting  []func() // operations to run once the ledger is settled
	chunks   map[chunkKey]*chunk
	pages    []*page
	unread   []string // keys of records of unknown shape
	lastPage int

	ops       []operation // that wait for the next batch
	batch     *batch      // that is being written
	jobs      map[string]*description
	described []*descriptions
	lastBook  int
	sentAt    time.Duration // the last batch
	compactAt time.Duration
}

// NewLedger wraps a ledger key that this process has just taken with the
// given stamp. onEnd is called once when it turns out to be another's.
func NewLedger(s *Store, name string, me Holder, lease, stamp uint64, onEnd func()) *Ledger {
	return &Ledger{store: s, name: name, key: LedgerKey(name), me: me, lease: lease, stamp: stamp,
		onEnd: onEnd, chunks: make(map[chunkKey]*chunk), jobs: make(map[string]*description)}
}

// Name returns the ledger's name.
func (l *Ledger) Name() string { return l.name }

// Unread names the records that Recover found and could not read. They stay as
// they are.
func (l *Ledger) Unread() []string { return l.unread }

// Stamp returns the stamp that fences this holder's writes.
func (l *Ledger) Stamp() uint64 { return l.stamp }

// Reads returns how often Recover has asked for the records, failures included.
func (l *Ledger) Reads() int { return l.reads }

// Close stops all writing; callbacks of unfinished operations never come.
func (l *Ledger) Close() {
	l.lost = true
	l.waiting, l.ops = nil, nil
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

// Recover reads the ledger's unfinished jobs with their finished tasks.
func (l *Ledger) Recover(done func([]RecoveredJob)) {
	l.reads++
	l.store.List(ownPrefix+l.name+"/", func(items []protocol.Pair, _ uint64, ok bool) {
		if l.lost {
			return
		}
		if !ok {
			l.store.After(retryPause, func() { l.retryRecover(done) })
			return
		}
		own := items
		l.store.List(donePrefix+l.name+"/", func(items []protocol.Pair, _ uint64, ok bool) {
			if l.lost {
				return
			}
			if !ok {
				l.store.After(retryPause, func() { l.retryRecover(done) })
				return
			}
			jobs := l.readDescriptions(own)
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

// RecordedMachines reads the names of all recorded machines, by record, as they were
// at a revision.
func (s *Store) RecordedMachines(done func(records map[string][]string, revision uint64, ok bool)) {
	s.List(fleetPrefix, func(items []protocol.Pair, revision uint64, ok bool) {
		records := make(map[string][]string, len(items))
		for _, it := range items {
			names, err := s.codec.Texts(it.Value)
			ok = ok && err == nil
			records[it.Key] = names
		}
		done(records, revision, ok)
	})
}
