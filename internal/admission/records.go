package admission

import (
	"time"

	"github.com/cobaltvale/cobaltvale/internal/protocol"
	"github.com/cobaltvale/cobaltvale/internal/quota"
	"github.com/cobaltvale/cobaltvale/internal/storage"
)

// recordsReadRetryInterval is after how long a read of the records is tried again.
const recordsReadRetryInterval = 300 * time.Millisecond

// ObserveRecord takes a team's record, or its absence, as the watch shows it.
func (c *Control) ObserveRecord(team string, value []byte, version uint64, present bool) {
	switch {
	case c.manager == nil || !c.manager.HasLimit(team):
		return
	case !present:
		// Nobody drops records; whoever did it by hand has to write it anew.
		c.manager.ObserveUnreadableRecord(team, version)
		c.drop(dropRecordDeleted, storage.QuotaKey(team))
		return
	}
	var r quota.Record
	if err := c.config.Codec.Decode(value, &r); err != nil {
		c.manager.ObserveUnreadableRecord(team, version)
		c.dropWithError(dropRecordUnreadable, err, storage.QuotaKey(team))
		return
	}
	c.manager.ObserveRecord(team, r, version)
}

// ObserveAbsentRecords takes a listing that has every record that there is.
func (c *Control) ObserveAbsentRecords(items []protocol.KeyValue) {
	if c.manager == nil {
		return
	}
	seen := make(map[string]bool)
	for _, it := range items {
		if team, ok := storage.TeamOfQuotaKey(it.Key); ok {
			seen[team] = true
		}
	}
	for team := range c.guarantees {
		if !seen[team] {
			c.manager.ObserveAbsentRecord(team)
		}
	}
}

// readRecords reads all records after a shard was acquired, or when it is not known what
// became of a transaction.
func (c *Control) readRecords(now time.Duration) {
	if !c.recordsStale || c.readingRecords || now < c.nextReadAt {
		return
	}
	c.readingRecords, c.recordsStale = true, false
	before := make(map[string]*heldShard, len(c.heldShards)) // that were acquired before this read
	for name, shard := range c.heldShards {
		before[name] = shard
	}
	c.config.RecordStore.QuotaRecords(func(items []protocol.KeyValue, err error) {
		c.readingRecords = false
		if err != nil {
			c.recordsStale, c.nextReadAt = true, c.config.Clock.Now()+recordsReadRetryInterval
			return
		}
		for _, it := range items {
			if team, known := storage.TeamOfQuotaKey(it.Key); known {
				c.ObserveRecord(team, it.Value, it.Version, true)
			}
		}
		c.ObserveAbsentRecords(items)
		for name, shard := range before {
			if c.heldShards[name] == shard {
				c.manager.MarkRecordsFresh(name)
			}
		}
		c.shardOwner.AllocationsChanged()
	})
}

// transfer has the manager's next change of allocations written.
func (c *Control) startTransfer(now time.Duration) {
	if c.readingRecords || c.recordsStale {
		return
	}
	for name, version := range c.shardOwner.KeyVersions() {
		c.manager.UpdateKeyVersion(name, version)
	}
	transfer := c.manager.PlanTransfer(now)
	if transfer == nil {
		return
	}
	c.config.RecordStore.TransferQuota(transfer, func(r storage.TxnResult) {
		switch r.Outcome {
		case storage.Applied:
			c.manager.TransferApplied(r.Revision)
			c.shardOwner.AllocationsChanged()
		case storage.Rejected:
			c.manager.TransferNotApplied()
		default:
			c.manager.TransferOutcomeUnknown()
			c.recordsStale = true
		}
	})
}
