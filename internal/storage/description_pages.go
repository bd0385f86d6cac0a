package storage

import (
	"strconv"

	"github.com/cobaltvale/cobaltvale/internal/protocol"
)

// DescriptionRecord describes an unfinished job of a ledger.
type DescriptionRecord struct {
	Job           protocol.Job `cbor:"j"`
	SubmittedAtMs int64        `cbor:"at"`
}

// descriptionsRecord is the value under a descriptions key.
type descriptionsRecord struct {
	Jobs  []DescriptionRecord `cbor:"j"`
	Ended []string            `cbor:"o"` // jobs that have ended, whatever records say
}

// description is an unfinished job and the descriptions record that describes it.
type description struct {
	record  DescriptionRecord
	page    *descriptionPage
	maxSize int // that it takes in the record at the most
}

// descriptionPage is what one record says, once it is surely written.
type descriptionPage struct {
	number     int
	jobs       map[string]*description
	ended      map[string]bool
	superseded map[string]*descriptionPage // ended jobs that its record still describes, with the descriptions record that lists them as ended
}

// pageDraft is what a batch makes of a descriptions record.
type pageDraft struct {
	page  *descriptionPage
	jobs  map[string]*description
	ended map[string]bool
}

func (b *descriptionPage) draft() *pageDraft {
	d := &pageDraft{page: b, jobs: make(map[string]*description, len(b.jobs)+1), ended: make(map[string]bool, len(b.ended)+1)}
	for id, j := range b.jobs {
		d.jobs[id] = j
	}
	for id := range b.ended {
		d.ended[id] = true
	}
	return d
}

// maxSize is what a draft takes as a record at the most.
func (d *pageDraft) maxSize() int {
	n := maxEndedNameSize * len(d.ended)
	for _, j := range d.jobs {
		n += j.maxSize
	}
	return n
}

// empty tells whether there is nothing to say, so that the record goes.
func (d *pageDraft) empty() bool { return len(d.jobs)+len(d.ended) == 0 }

func (d *pageDraft) record() descriptionsRecord {
	var r descriptionsRecord
	for _, j := range d.jobs {
		r.Jobs = append(r.Jobs, j.record)
	}
	for id := range d.ended {
		r.Ended = append(r.Ended, id)
	}
	return r
}

// mostSuperseded is the descriptions record outside a batch whose record says most in
// vain.
func (s *Shard) mostSuperseded(b *batch) *descriptionPage {
	var best *descriptionPage
	for _, k := range s.descriptionPages {
		if !b.includes(k) && !s.store.exceedsValueLimit(k.draft()) && (len(k.superseded) > 0 || len(k.jobs)+len(k.ended) == 0) && (best == nil || len(k.superseded) > len(best.superseded)) {
			best = k
		}
	}
	return best
}

// compact rewrites a descriptions record that says something in vain, one at a time
// and only while nothing else is to be written.
func (s *Shard) compact() {
	now := s.store.clock.Now()
	if s.inFlight != nil || len(s.queue) > 0 || now < s.nextCompaction || !s.store.idle() {
		return
	}
	b := &batch{}
	if k := s.mostSuperseded(b); k != nil {
		s.nextCompaction = now + compactionInterval
		b.drafts = append(b.drafts, k.draft())
		s.sendBatch(b, protocol.Transaction{})
	}
}

func (s *Shard) descriptionPageKey(k *descriptionPage) string {
	return s.descriptionKey(strconv.Itoa(k.number))
}

// descriptionKey is the key of a descriptions record, or of a job's description as versions
// before 0.3 wrote it.
func (s *Shard) descriptionKey(name string) string { return descriptionPrefix + s.name + "/" + name }
