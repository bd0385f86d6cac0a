package election

import (
	"time"

	"github.com/cobaltvale/cobaltvale/internal/storage"
)

// While members still run the version before this one, whatever the two share
// means to each what it meant to the version before: this one only adds fields,
// and writes them only where something new is said. What the other cannot
// read, services, is refused until no member runs it any more. Once that version
// is given up for good this file can go, with its two callers.

// unreachableMemberTimeout is how long a member that may run the version before, but
// is out of reach and holds nothing, keeps services from being accepted.
const unreachableMemberTimeout = time.Minute

// recordFormats is what the members' own keys say of their present processes.
type recordFormats struct {
	byMember         map[string]int // none of a member that has never started
	unreachableSince map[string]time.Duration
}

func newRecordFormats() recordFormats {
	return recordFormats{byMember: make(map[string]int), unreachableSince: make(map[string]time.Duration)}
}

// unreachableDuration is how long a member has been out of reach.
func (f *recordFormats) unreachableDuration(member string, now time.Duration) time.Duration {
	since, ok := f.unreachableSince[member]
	if !ok {
		return 0
	}
	return now - since
}

// observeProcessKey takes in the key that names a member's process.
func (e *Election) observeProcessKey(member string, value []byte, present bool) {
	var holder storage.Holder
	if !present || e.env.Codec.Decode(value, &holder) != nil {
		return
	}
	e.formats.byMember[member] = holder.RecordFormat
}

// connectedOrHoldsKey tells whether a member is connected, or holds a key although it is not.
func (e *Election) connectedOrHoldsKey(p *peer) bool {
	return p.Connected() || e.view.holdsAny(p.Member())
}

// trackUnreachableMembers notes since when members have been out of reach.
func (e *Election) trackUnreachableMembers(now time.Duration) {
	for name, p := range e.peers {
		if e.connectedOrHoldsKey(p) {
			delete(e.formats.unreachableSince, name)
		} else if _, known := e.formats.unreachableSince[name]; !known {
			e.formats.unreachableSince[name] = now
		}
	}
}

// AllMembersReadServices tells whether every member that may come to hold this one's
// shard can read services. One that runs the version before, and cannot be
// reached, could acquire a shard while its process lives; after a minute without
// a key it is most likely down, and may come back as either.
func (e *Election) AllMembersReadServices(now time.Duration) bool {
	for name, p := range e.peers {
		format, known := e.formats.byMember[name]
		if !known || format >= storage.CurrentRecordFormat {
			continue
		}
		if e.connectedOrHoldsKey(p) || e.formats.unreachableDuration(name, now) <= unreachableMemberTimeout {
			return false
		}
	}
	return true
}

// AllMembersDivideLimits tells whether every member that has ever started divides
// limits among the shards.
func (e *Election) AllMembersDivideLimits() bool {
	for name := range e.peers {
		if format, known := e.formats.byMember[name]; known && format < storage.QuotaRecordFormat {
			return false
		}
	}
	return true
}
