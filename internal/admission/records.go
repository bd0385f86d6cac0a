package admission

import (
	"time"

	"github.com/cobaltvale/cobaltvale/internal/protocol"
	"github.com/cobaltvale/cobaltvale/internal/quota"
	"github.com/cobaltvale/cobaltvale/internal/storage"
)

// recordsReadRetryInterval is the time between a failed read of the records and the next one.
const recordsReadRetryInterval = 300 * time.Millisecond

// ObserveRecord records a team's record, or its deletion, as reported by a watch or a read.
func (c *Control) ObserveRecord(team string, value []byte, version uint64, present bool) {
	switch {
	case c.manager == nil || !c.manager.HasLimit(team):
		return
	case !present:
		// No controller deletes records. An operator who deleted one has to write it again.
		c.manager.ObserveUnreadableRecord(team, version)
		c.drop(dropRecordDeleted, storage.QuotaKey(team))
		return
	}
	var record quota.Record
	if err := c.config.Codec.Decode(value, &record); err != nil {
		c.manager.ObserveUnreadableRecord(team, version)
		c.dropWithError(dropRecordUnreadable, err, storage.QuotaKey(team))
		return
	}
	c.manager.ObserveRecord(team, record, version)
}

// ObserveAbsentRecords records which teams have no record; items must be a listing that includes
// all records that exist.
func (c *Control) ObserveAbsentRecords(items []protocol.KeyValue) {
	if c.manager == nil {
		return
	}
	present := make(map[string]bool)
	for _, item := range items {
		if team, ok := storage.TeamOfQuotaKey(item.Key); ok {
			present[team] = true
		}
	}
	for team := range c.guarantees {
		if !present[team] {
			c.manager.ObserveAbsentRecord(team)
		}
	}
}

// readRecords reads all records after a shard was acquired, or after a transaction whose outcome
// is unknown.
func (c *Control) readRecords(now time.Duration) {
	if !c.recordsStale || c.readingRecords || now < c.nextReadAt {
		return
	}
	c.readingRecords, c.recordsStale = true, false
	heldBeforeRead := make(map[string]*heldShard, len(c.heldShards))
	for name, shard := range c.heldShards {
		heldBeforeRead[name] = shard
	}
	c.config.RecordStore.QuotaRecords(func(items []protocol.KeyValue, err error) {
		c.readingRecords = false
		if err != nil {
			c.recordsStale, c.nextReadAt = true, c.config.Clock.Now()+recordsReadRetryInterval
			return
		}
		for _, item := range items {
			if team, ok := storage.TeamOfQuotaKey(item.Key); ok {
				c.ObserveRecord(team, item.Value, item.Version, true)
			}
		}
		c.ObserveAbsentRecords(items)
		for name, shard := range heldBeforeRead {
			if c.heldShards[name] == shard {
				c.manager.MarkRecordsFresh(name)
			}
		}
		c.shardOwner.AllocationsChanged()
	})
}

// startTransfer has the manager's next change of allocations written, if there is one.
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
	c.config.RecordStore.TransferQuota(transfer, func(result storage.TxnResult) {
		switch result.Outcome {
		case storage.Applied:
			c.manager.TransferApplied(result.Revision)
			c.shardOwner.AllocationsChanged()
		case storage.Rejected:
			c.manager.TransferNotApplied()
		default:
			c.manager.TransferOutcomeUnknown()
			c.recordsStale = true
		}
	})
}
