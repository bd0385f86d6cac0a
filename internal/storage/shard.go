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
	MemberPrefix        = "m/"
	LeaderKey           = MemberPrefix + "leader"
	shardPrefix         = MemberPrefix + "ledger/"
	processPrefix       = MemberPrefix + "member/"
	jobPrefix           = "job/"
	descriptionPrefix   = "own/"
	finishedPrefix      = "done/"
	machineRecordPrefix = "fleet/"
)

// ShardKey is the key that names a ledger's holder.
func ShardKey(shard string) string { return shardPrefix + shard }

// ProcessKey is the key that names a member's present process. Every claim of a
// key carries a condition on its stamp, so that a claim of an earlier process,
// held by the network, can never be applied once the next one has written it.
func ProcessKey(member string) string { return processPrefix + member }

// ShardOfKey is the inverse of LedgerKey.
func ShardOfKey(key string) (string, bool) { return strings.CutPrefix(key, shardPrefix) }

// JobKey is the key under which any node finds a job.
func JobKey(id string) string { return jobPrefix + id }

// Holder is the value of a ledger or leader key: a member, and by the nonce
// the one process of it that holds the key.
type Holder struct {
	Member string `cbor:"m"`
	Nonce  string `cbor:"n"`
	// Records tells which records the process can read: 0, before there were
	// services, no job that does not end by itself.
	RecordFormat int `cbor:"r,omitempty"`
}

// CurrentRecordFormat is what this version reads.
const CurrentRecordFormat = 1

// QuotaRecordFormat is what a process writes in place of RecordsNow that also divides
// teams' limits among the ledgers.
const QuotaRecordFormat = 2

// MemberOfProcessKey is the inverse of SelfKey.
func MemberOfProcessKey(key string) (string, bool) { return strings.CutPrefix(key, processPrefix) }

// JobRecord is the value of a job's key. Status is empty until the job has
// come to its end.
type JobRecord struct {
	Shard  string `cbor:"l"`
	Nonce  string `cbor:"n"`
	Status string `cbor:"s"`
	Tasks  int    `cbor:"t"`
}

// RecoveredJob is a job as the state service has it.
type RecoveredJob struct {
	Job           protocol.Job
	SubmittedAtMs int64
	Done          []bool
}

// CreateResult is what became of a new job.
type CreateResult uint8

// The ends of a creation.
const (
	Created       CreateResult = iota + 1
	AlreadyExists              // a job of this id is known already
	Unavailable                // surely not created; the user may ask again
)

// Shard writes the records of one ledger that this process holds. Every
// write is conditional on the stamp of the ledger key.
type Shard struct {
	store         *Store
	name          string
	key           string
	holder        Holder
	lease         uint64
	version       uint64
	lost          bool
	recoveryReads int // how often its records were asked for
	onLost        func()

	resolving        bool
	blocked          []func() // operations to run once the ledger is settled
	taskRanges       map[taskRangeKey]*taskRange
	finishedPages    []*finishedPage
	unreadable       []string // keys of records of unknown shape
	lastFinishedPage int

	queue               []operation // that wait for the next batch
	inFlight            *batch      // that is being written
	descriptions        map[string]*description
	descriptionPages    []*descriptionPage
	lastDescriptionPage int
	lastBatchAt         time.Duration // the last batch
	nextCompaction      time.Duration
}

// NewShard wraps a ledger key that this process has just taken with the
// given stamp. onEnd is called once when it turns out to be another's.
func NewShard(store *Store, name string, holder Holder, lease, version uint64, onLost func()) *Shard {
	return &Shard{store: store, name: name, key: ShardKey(name), holder: holder, lease: lease, version: version,
		onLost: onLost, taskRanges: make(map[taskRangeKey]*taskRange), descriptions: make(map[string]*description)}
}

// Name returns the ledger's name.
func (s *Shard) Name() string { return s.name }

// Unreadable names the records that Recover found and could not read. They stay as
// they are.
func (s *Shard) Unreadable() []string { return s.unreadable }

// Version returns the stamp that fences this holder's writes.
func (s *Shard) Version() uint64 { return s.version }

// RecoveryReads returns how often Recover has asked for the records, failures included.
func (s *Shard) RecoveryReads() int { return s.recoveryReads }

// Close stops all writing; callbacks of unfinished operations never come.
func (s *Shard) Close() {
	s.lost = true
	s.blocked, s.queue = nil, nil
}

func (s *Shard) lose() {
	if s.lost {
		return
	}
	s.Close()
	s.onLost()
}

// fencedWrite runs a conditional transaction until its outcome is certain. The
// result is Applied, Conflict (on a key other than the ledger's), Refused if
// retry is false, or Invalid.
func (s *Shard) fencedWrite(t protocol.Transaction, class Class, deadline time.Duration, retry bool, done func(TxnResult)) {
	if s.lost {
		return
	}
	if s.resolving {
		s.blocked = append(s.blocked, func() { s.fencedWrite(t, class, deadline, retry, done) })
		return
	}
	full := t
	full.If = append([]protocol.Condition{{Key: s.key, Version: s.version}}, t.If...)
	sent := s.version
	s.store.txnWithDeadline(class, deadline, full, func(r TxnResult) {
		if s.lost {
			return
		}
		again := func() { s.fencedWrite(t, class, deadline, retry, done) }
		switch {
		case r.Outcome == Unknown:
			s.blocked = append(s.blocked, again)
			s.resolveOutcome()
		case r.Outcome == Conflict && r.FailedOn(s.key):
			if s.version != sent {
				again() // the ledger was settled meanwhile under a new stamp
				return
			}
			s.blocked = append(s.blocked, again)
			s.verifyHolder()
		case r.Outcome == Refused && retry:
			s.store.After(retryDelay, again)
		case r.Outcome == LeaseExpired:
			s.lose()
		default:
			done(r)
		}
	})
}

// resolveOutcome makes sure that no transaction of ours which got no answer can still
// be applied: it gives the ledger key a new stamp. A transaction sent under
// the old one has either been applied by then or never will be.
func (s *Shard) resolveOutcome() {
	if s.resolving || s.lost {
		return
	}
	s.resolving = true
	s.renewVersion()
}

func (s *Shard) renewVersion() {
	if s.lost {
		return
	}
	t := protocol.Transaction{
		If:   []protocol.Condition{{Key: s.key, Version: s.version}},
		Then: []protocol.Change{{Put: s.key, Value: s.store.codec.Encode(s.holder), Lease: s.lease}},
	}
	s.store.Txn(Urgent, t, func(r TxnResult) {
		if s.lost {
			return
		}
		switch r.Outcome {
		case Applied:
			s.resolved(r.Revision)
		case Conflict, Unknown:
			s.resolving = true
			s.readHolder(r.Outcome == Unknown)
		case LeaseExpired:
			s.lose()
		default:
			s.store.After(retryDelay, s.renewVersion)
		}
	})
}

// verifyHolder finds out why the ledger key has another stamp.
func (s *Shard) verifyHolder() {
	if s.resolving || s.lost {
		return
	}
	s.resolving = true
	s.readHolder(false)
}

func (s *Shard) readHolder(unknown bool) {
	s.store.Get(Urgent, s.key, func(r GetResult) {
		if s.lost {
			return
		}
		if r.Err != nil {
			s.store.After(retryDelay, func() {
				if !s.lost {
					s.readHolder(unknown)
				}
			})
			return
		}
		var holder Holder
		if !r.Found || s.store.codec.Decode(r.KeyValue.Value, &holder) != nil || holder != s.holder {
			s.lose()
			return
		}
		if r.KeyValue.Version == s.version && unknown {
			// Our new stamp has not been written yet, but may be later.
			s.store.After(retryDelay, s.renewVersion)
			return
		}
		s.resolved(r.KeyValue.Version)
	})
}

func (s *Shard) resolved(version uint64) {
	s.version = version
	s.resolving = false
	blocked := s.blocked
	s.blocked = nil
	for _, fn := range blocked {
		fn()
	}
}

// Release gives the ledger up.
func (s *Shard) Release(done func(TxnResult)) {
	t := protocol.Transaction{If: []protocol.Condition{{Key: s.key, Version: s.version}}, Then: []protocol.Change{{Delete: s.key}}}
	s.Close()
	s.store.Txn(Urgent, t, done)
}

// Recover reads the ledger's unfinished jobs with their finished tasks.
func (s *Shard) Recover(done func([]RecoveredJob)) {
	s.recoveryReads++
	s.store.List(descriptionPrefix+s.name+"/", func(items []protocol.KeyValue, _ uint64, err error) {
		if s.lost {
			return
		}
		if err != nil {
			s.store.After(retryDelay, func() { s.retryRecover(done) })
			return
		}
		descriptions := items
		s.store.List(finishedPrefix+s.name+"/", func(items []protocol.KeyValue, _ uint64, err error) {
			if s.lost {
				return
			}
			if err != nil {
				s.store.After(retryDelay, func() { s.retryRecover(done) })
				return
			}
			jobs := s.readDescriptions(descriptions)
			s.readFinishedPages(jobs, items)
			done(jobs)
		})
	})
}

func (s *Shard) retryRecover(done func([]RecoveredJob)) {
	if !s.lost {
		s.Recover(done)
	}
}

// RecordMachines writes the names of machines that may be given tasks, under
// a key that is new, as long as the leader key has the given stamp.
func (s *Store) RecordMachines(fencingToken uint64, number int, names []string, done func(key string, r TxnResult)) {
	key := machineRecordPrefix + strconv.FormatUint(fencingToken, 10) + "-" + strconv.Itoa(number)
	s.Txn(Foreground, protocol.Transaction{
		If:   []protocol.Condition{{Key: LeaderKey, Version: fencingToken}},
		Then: []protocol.Change{{Put: key, Value: s.codec.Encode(names)}},
	}, func(r TxnResult) { done(key, r) })
}

// RewriteMachineRecord leaves only the given machines in a record, or drops it when
// there are none.
func (s *Store) RewriteMachineRecord(fencingToken uint64, key string, names []string, done func(TxnResult)) {
	change := protocol.Change{Put: key, Value: s.codec.Encode(names)}
	if len(names) == 0 {
		change = protocol.Change{Delete: key}
	}
	s.Txn(Background, protocol.Transaction{
		If:   []protocol.Condition{{Key: LeaderKey, Version: fencingToken}},
		Then: []protocol.Change{change},
	}, done)
}

// MachineRecords reads the names of all recorded machines, by record, as they were
// at a revision.
func (s *Store) MachineRecords(done func(records map[string][]string, revision uint64, ok bool)) {
	s.List(machineRecordPrefix, func(items []protocol.KeyValue, revision uint64, err error) {
		records := make(map[string][]string, len(items))
		ok := err == nil
		for _, it := range items {
			names, err := s.codec.DecodeTexts(it.Value)
			ok = ok && err == nil
			records[it.Key] = names
		}
		done(records, revision, ok)
	})
}
