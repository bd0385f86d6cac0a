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

// unseenFor is how long a member that may run the version before, but is out of
// reach and holds nothing, keeps services from being accepted.
const unseenFor = time.Minute

// versions is what the members' own keys say of their present processes.
type versions struct {
	c       *Core
	records map[string]int // by member; one that has never started has none
	away    map[string]time.Duration
}

func (v *versions) init(c *Core) {
	v.c = c
	v.records = make(map[string]int)
	v.away = make(map[string]time.Duration)
}

// see takes in a member's own key.
func (v *versions) see(member string, value []byte, present bool) {
	var h storage.Holder
	if !present || v.c.codec.Decode(value, &h) != nil {
		return
	}
	v.records[member] = h.RecordFormat
}

// readServices tells whether every member that may come to hold this one's
// ledger can read services. One that runs the version before, and can't be
// reached, could take a ledger up while its process lives; after a minute without
// a key it is most likely down, and may come back as either.
func (v *versions) readServices(now time.Duration) bool {
	all := true
	for name, p := range v.c.peers {
		records, known := v.records[name]
		if !known || records >= storage.CurrentRecordFormat || (p.link == nil && !v.c.session.holdsAny(name) && v.awayFor(name, now) > unseenFor) {
			continue
		}
		all = false
	}
	return all
}

// divideLimits tells whether every member that has ever started divides limits among
// the ledgers.
func (v *versions) divideLimits() bool {
	for name := range v.c.peers {
		if records, known := v.records[name]; known && records < storage.QuotaRecordFormat {
			return false
		}
	}
	return true
}

// awayFor is how long a member has been out of reach.
func (v *versions) awayFor(member string, now time.Duration) time.Duration {
	at, ok := v.away[member]
	if !ok {
		return 0
	}
	return now - at
}

// tick notes who is out of reach.
func (v *versions) tick(now time.Duration) {
	for name, p := range v.c.peers {
		if p.link != nil || v.c.session.holdsAny(name) {
			delete(v.away, name)
		} else if _, ok := v.away[name]; !ok {
			v.away[name] = now
		}
	}
}
