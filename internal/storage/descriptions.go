package storage

import (
	"strconv"

	"github.com/cobaltvale/cobaltvale/internal/protocol"
)

// DescriptionRecord describes an unfinished job of a ledger.
type DescriptionRecord struct {
	Job  protocol.Job `cbor:"j"`
	AtMs int64        `cbor:"at"`
}

// descriptionsRecord is the value under a descriptions key.
type descriptionsRecord struct {
	Jobs []DescriptionRecord `cbor:"j"`
	Over []string            `cbor:"o"` // jobs that have ended, whatever records say
}

// description is an unfinished job and the descriptions record that describes it.
type description struct {
	rec  DescriptionRecord
	in   *descriptions
	room int // that it takes in the record at the most
}

// descriptions is what one record says, once it is surely written.
type descriptions struct {
	n     int
	jobs  map[string]*description
	over  map[string]bool
	stale map[string]*descriptions // ended jobs that its record still describes, with the descriptions record that lists them as ended
}

// draft is what a batch makes of a descriptions record.
type draft struct {
	of   *descriptions
	jobs map[string]*description
	over map[string]bool
}

func (b *descriptions) draft() *draft {
	d := &draft{of: b, jobs: make(map[string]*description, len(b.jobs)+1), over: make(map[string]bool, len(b.over)+1)}
	for id, j := range b.jobs {
		d.jobs[id] = j
	}
	for id := range b.over {
		d.over[id] = true
	}
	return d
}

// room is what a draft takes as a record at the most.
func (d *draft) room() int {
	n := endedNameRoom * len(d.over)
	for _, j := range d.jobs {
		n += j.room
	}
	return n
}

// empty tells whether there is nothing to say, so that the record goes.
func (d *draft) empty() bool { return len(d.jobs)+len(d.over) == 0 }

func (d *draft) record() descriptionsRecord {
	var r descriptionsRecord
	for _, j := range d.jobs {
		r.Jobs = append(r.Jobs, j.rec)
	}
	for id := range d.over {
		r.Over = append(r.Over, id)
	}
	return r
}

// recordRoom is what a record with several entries may take.
func (s *Store) recordRoom() int { return s.limits.ValueBytes * 3 / 4 }

// Fits tells whether what the records say of a job stays within the state
// service's limit of a value.
func (s *Store) Fits(j *protocol.Job) bool {
	return s.jsonRoom(len(s.codec.Encode(DescriptionRecord{Job: *j}))) <= s.limits.ValueBytes && roomFor(j, 0) <= s.limits.ValueBytes
}

// mostStale is the descriptions record outside a batch whose record says most in
// vain.
func (l *Ledger) mostStale(b *batch) *descriptions {
	var best *descriptions
	for _, k := range l.described {
		if !b.holds(k) && !l.store.tooLarge(k.draft()) && (len(k.stale) > 0 || len(k.jobs)+len(k.over) == 0) && (best == nil || len(k.stale) > len(best.stale)) {
			best = k
		}
	}
	return best
}

// compact rewrites a descriptions record that says something in vain, one at a time
// and only while nothing else is to be written.
func (l *Ledger) compact() {
	now := l.store.clock.Now()
	if l.batch != nil || len(l.ops) > 0 || now < l.compactAt || !l.store.idle() {
		return
	}
	b := &batch{}
	if k := l.mostStale(b); k != nil {
		l.compactAt = now + sparePause
		b.drafts = append(b.drafts, k.draft())
		l.send(b, protocol.Txn{})
	}
}

func (l *Ledger) descriptionsKey(k *descriptions) string { return l.ownKey(strconv.Itoa(k.n)) }

// ownKey is the key of a descriptions record, or of a job's description as versions
// before 0.3 wrote it.
func (l *Ledger) ownKey(name string) string { return ownPrefix + l.name + "/" + name }
