package coordination

import (
	"time"

	"github.com/cobaltvale/cobaltvale/internal/storage"
)

// Versions side by side. While the version before this one still runs, all that
// the two share means to each what it meant to the version before: this one adds
// fields only, and writes them only where something new is said. What the other
// can't read, services, is refused until no member runs it any more. When that
// version is given up for good, this file can go, with its one caller.

// unseenMemberTimeout is how long a member that may run the version before, but is out of
// reach and holds nothing, keeps services from being accepted.
const unseenMemberTimeout = time.Minute

// recordFormats is what the members' own keys say of their present processes.
type recordFormats struct {
	c                *Controller
	byMember         map[string]int // by member; one that has never started has none
	unreachableSince map[string]time.Duration
}

func (v *recordFormats) init(c *Controller) {
	v.c = c
	v.byMember = make(map[string]int)
	v.unreachableSince = make(map[string]time.Duration)
}

// observe takes in a member's own key.
func (v *recordFormats) observe(member string, value []byte, present bool) {
	var h storage.Holder
	if !present || v.c.codec.Decode(value, &h) != nil {
		return
	}
	v.byMember[member] = h.RecordFormat
}

// allReadServices tells whether every member that may come to hold this one's
// ledger can read services. One that runs the version before, and can't be
// reached, could take a ledger up while its process lives; after a minute without
// a key it is most likely down, and may come back as either.
func (v *recordFormats) allReadServices(now time.Duration) bool {
	all := true
	for name, p := range v.c.peers {
		records, known := v.byMember[name]
		if !known || records >= storage.CurrentRecordFormat || (p.link == nil && !v.c.election.holdsAnyKey(name) && v.unreachableFor(name, now) > unseenMemberTimeout) {
			continue
		}
		all = false
	}
	return all
}

// allDivideLimits tells whether every member that has ever started divides limits among
// the ledgers.
func (v *recordFormats) allDivideLimits() bool {
	for name := range v.c.peers {
		if records, known := v.byMember[name]; known && records < storage.QuotaRecordFormat {
			return false
		}
	}
	return true
}

// unreachableFor is how long a member has been out of reach.
func (v *recordFormats) unreachableFor(member string, now time.Duration) time.Duration {
	at, ok := v.unreachableSince[member]
	if !ok {
		return 0
	}
	return now - at
}

// tick notes who is out of reach.
func (v *recordFormats) tick(now time.Duration) {
	for name, p := range v.c.peers {
		if p.link != nil || v.c.election.holdsAnyKey(name) {
			delete(v.unreachableSince, name)
		} else if _, ok := v.unreachableSince[name]; !ok {
			v.unreachableSince[name] = now
		}
	}
}
