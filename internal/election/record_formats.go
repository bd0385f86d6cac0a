package election

import (
	"time"

	"github.com/cobaltvale/cobaltvale/internal/storage"
)

// During an upgrade some members still run the previous version of the software.
// Until none does, shared records and messages keep the meaning that they have in
// the previous version: this version only adds fields, and writes them only for
// new features. Services, which the previous version cannot read, are rejected.
// Once the previous version is no longer supported, this file can be removed
// together with the callers of its two exported methods.

// unreachableMemberTimeout is how long a member that may run the previous version
// prevents services from being accepted, while it is not connected and holds no key.
const unreachableMemberTimeout = time.Minute

// recordFormats holds the record formats that the other members' processes support,
// and since when members have been unreachable.
type recordFormats struct {
	byMember         map[string]int           // from the process keys; no entry if a member never started
	unreachableSince map[string]time.Duration // no entry while connectedOrHoldsKey is true
}

func newRecordFormats() recordFormats {
	return recordFormats{byMember: make(map[string]int), unreachableSince: make(map[string]time.Duration)}
}

// unreachableDuration returns how long a member has been unreachable.
func (f *recordFormats) unreachableDuration(member string, now time.Duration) time.Duration {
	since, ok := f.unreachableSince[member]
	if !ok {
		return 0
	}
	return now - since
}

// observeProcessKey records the format in the key that names a member's process.
func (e *Election) observeProcessKey(member string, value []byte, present bool) {
	var holder storage.Holder
	if !present || e.env.Codec.Decode(value, &holder) != nil {
		return
	}
	e.formats.byMember[member] = holder.RecordFormat
}

// connectedOrHoldsKey reports whether a member is connected or, if not, holds a key.
func (e *Election) connectedOrHoldsKey(p *peer) bool {
	return p.Connected() || e.view.holdsAny(p.Member())
}

// trackUnreachableMembers records since when members have been neither connected nor
// holder of a key.
func (e *Election) trackUnreachableMembers(now time.Duration) {
	for name, p := range e.peers {
		if e.connectedOrHoldsKey(p) {
			delete(e.formats.unreachableSince, name)
		} else if _, known := e.formats.unreachableSince[name]; !known {
			e.formats.unreachableSince[name] = now
		}
	}
}

// AllMembersReadServices reports whether every other member that may acquire this
// member's shard can read the records of services, so that services may be
// accepted. A member that runs the previous version and is unreachable could still
// acquire a shard while its process runs. After a minute without a connection or a
// key it is most likely down, and may return with either version, so it no longer
// counts.
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

// AllMembersDivideLimits reports whether every other member that has ever started
// divides the limits of teams among the shards.
func (e *Election) AllMembersDivideLimits() bool {
	for name := range e.peers {
		if format, known := e.formats.byMember[name]; known && format < storage.QuotaRecordFormat {
			return false
		}
	}
	return true
}
