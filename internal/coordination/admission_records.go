package coordination

import (
	"time"

	"github.com/cobaltvale/cobaltvale/internal/protocol"
	"github.com/cobaltvale/cobaltvale/internal/quota"
	"github.com/cobaltvale/cobaltvale/internal/storage"
)

// observe takes a team's record, or its absence, as the watch shows it.
func (a *admission) observe(team string, value []byte, stamp uint64, present bool) {
	switch {
	case a.manager == nil || !a.manager.HasLimit(team):
		return
	case !present:
		// Nobody drops records; whoever did it by hand has to write it anew.
		a.manager.ObserveUnreadable(team, stamp)
		a.drop("a record was dropped", storage.QuotaKey(team))
		return
	}
	var r quota.Record
	if err := a.c.codec.Decode(value, &r); err != nil {
		a.manager.ObserveUnreadable(team, stamp)
		a.drop("a record can't be read: "+err.Error(), storage.QuotaKey(team))
		return
	}
	a.manager.Observe(team, r, stamp)
}

// listed takes a listing that has every record that there is.
func (a *admission) listed(items []protocol.KeyValue) {
	if a.manager == nil {
		return
	}
	seen := make(map[string]bool)
	for _, it := range items {
		if team, ok := storage.TeamOfQuotaKey(it.Key); ok {
			seen[team] = true
		}
	}
	for team := range a.guarantee {
		if !seen[team] {
			a.manager.ObserveAbsent(team)
		}
	}
}

// read reads all records after a ledger was taken, or when it is not known what
// became of a transaction.
func (a *admission) read(now time.Duration) {
	if !a.unread || a.reading || now < a.readAt {
		return
	}
	a.reading, a.unread = true, false
	var ledgers []*ownedLedger // that were taken before this read
	for _, l := range a.c.owner.ledgers {
		ledgers = append(ledgers, l)
	}
	a.c.store.QuotaRecords(func(items []protocol.KeyValue, ok bool) {
		a.reading = false
		if !ok {
			a.unread, a.readAt = true, a.c.now()+quotaReadRetry
			return
		}
		for _, it := range items {
			if team, known := storage.TeamOfQuotaKey(it.Key); known {
				a.observe(team, it.Value, it.Version, true)
			}
		}
		a.listed(items)
		for _, l := range ledgers {
			if a.c.owner.ledgers[l.name] == l {
				a.manager.MarkRecordsFresh(l.name)
			}
		}
		a.refresh()
	})
}

// transfer has the manager's next change of allocations written. A holder whose
// lease may have ended changes nothing.
func (a *admission) transfer(now time.Duration) {
	if a.reading || a.unread || !a.c.session.leaseHolds(now) {
		return
	}
	for name, l := range a.c.owner.ledgers {
		a.manager.UpdateFence(name, l.records.Version())
	}
	x := a.manager.Plan(now)
	if x == nil {
		return
	}
	a.c.store.TransferQuota(x, func(r storage.TxnResult) {
		switch r.Outcome {
		case storage.Applied:
			a.manager.Applied(r.Revision)
			a.refresh()
		case storage.Refused:
			a.manager.NotApplied()
		default:
			a.manager.OutcomeUnknown()
			a.unread = true
		}
	})
}
