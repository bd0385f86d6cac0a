package coordination

import (
	"time"

	"github.com/cobaltvale/cobaltvale/internal/protocol"
	"github.com/cobaltvale/cobaltvale/internal/quota"
	"github.com/cobaltvale/cobaltvale/internal/storage"
)

// observeRecord takes a team's record, or its absence, as the watch shows it.
func (a *admission) observeRecord(team string, value []byte, version uint64, present bool) {
	switch {
	case a.manager == nil || !a.manager.HasLimit(team):
		return
	case !present:
		// Nobody drops records; whoever did it by hand has to write it anew.
		a.manager.ObserveUnreadable(team, version)
		a.dropMessage("a record was dropped", storage.QuotaKey(team))
		return
	}
	var r quota.Record
	if err := a.c.codec.Decode(value, &r); err != nil {
		a.manager.ObserveUnreadable(team, version)
		a.dropMessage("a record can't be read: "+err.Error(), storage.QuotaKey(team))
		return
	}
	a.manager.Observe(team, r, version)
}

// observeAll takes a listing that has every record that there is.
func (a *admission) observeAll(items []protocol.KeyValue) {
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

// readRecords reads all records after a ledger was taken, or when it is not known what
// became of a transaction.
func (a *admission) readRecords(now time.Duration) {
	if !a.recordsStale || a.readingRecords || now < a.nextReadAt {
		return
	}
	a.readingRecords, a.recordsStale = true, false
	var ledgers []*ownedShard // that were taken before this read
	for _, shard := range a.c.owner.shards {
		ledgers = append(ledgers, shard)
	}
	a.c.store.QuotaRecords(func(items []protocol.KeyValue, err error) {
		a.readingRecords = false
		if err != nil {
			a.recordsStale, a.nextReadAt = true, a.c.now()+quotaReadRetry
			return
		}
		for _, it := range items {
			if team, known := storage.TeamOfQuotaKey(it.Key); known {
				a.observeRecord(team, it.Value, it.Version, true)
			}
		}
		a.observeAll(items)
		for _, shard := range ledgers {
			if a.c.owner.shards[shard.name] == shard {
				a.manager.MarkRecordsFresh(shard.name)
			}
		}
		a.markChangedJobs()
	})
}

// transfer has the manager's next change of allocations written. A holder whose
// lease may have ended changes nothing.
func (a *admission) transfer(now time.Duration) {
	if a.readingRecords || a.recordsStale || !a.c.election.LeaseValid(now) {
		return
	}
	for name, shard := range a.c.owner.shards {
		a.manager.UpdateFence(name, shard.records.Version())
	}
	x := a.manager.Plan(now)
	if x == nil {
		return
	}
	a.c.store.TransferQuota(x, func(r storage.TxnResult) {
		switch r.Outcome {
		case storage.Applied:
			a.manager.Applied(r.Revision)
			a.markChangedJobs()
		case storage.Refused:
			a.manager.NotApplied()
		default:
			a.manager.OutcomeUnknown()
			a.recordsStale = true
		}
	})
}
