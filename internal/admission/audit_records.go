package admission

import (
	"github.com/cobaltvale/cobaltvale/internal/audit"
	"github.com/cobaltvale/cobaltvale/internal/quota"
)

// newAuditRecord begins the audit's record of a change of what a claim's team has spent,
// before the change is made.
func (c *Control) newAuditRecord(claim *Claim, kind audit.Kind, task int32, replica uint64) audit.Record {
	return audit.Record{Kind: kind, Shard: claim.Shard, FencingToken: claim.FencingToken, Team: claim.Team, Job: claim.Job,
		Task: uint32(task), Replica: replica, Amount: c.manager.LimitedPart(claim.Team, claim.Amount),
		SpentBefore: c.manager.Spent(claim.Shard, claim.Team)}
}

// record completes a record and hands it to the audit.
func (c *Control) appendAuditRecord(r audit.Record) {
	if c.config.Audit == nil {
		return
	}
	r.SpentAfter = c.manager.Spent(r.Shard, r.Team)
	if !changesSpending(r.Kind) {
		r.SpentBefore = r.SpentAfter
	}
	r.TimeMs = c.config.Wall().UnixMilli()
	r.Allocation, r.Limit, r.Revision = c.manager.Allocation(r.Shard, r.Team)
	r.Revision = max(r.Revision, r.FencingToken) // what the holder before did was before the shard was acquired
	r.Guarantee = c.guarantees[r.Team]
	c.config.Audit(r)
}

func changesSpending(kind audit.Kind) bool {
	switch kind {
	case audit.Admitted, audit.AdmittedUnenforced, audit.Released, audit.JobRecovered:
		return true
	}
	return false
}

// recordBlocked records when a team begins to wait for an allocation, and when that
// is over.
func (c *Control) recordBlocked(key accountKey, smallest quota.Amount) {
	blocked := c.manager.Blocked(key.shard, key.team)
	if blocked == c.recordedBlocked[key] {
		return
	}
	r := audit.Record{Kind: audit.Unblocked, Shard: key.shard, FencingToken: c.heldShards[key.shard].fencingToken, Team: key.team, Amount: smallest}
	if delete(c.recordedBlocked, key); blocked {
		r.Kind, c.recordedBlocked[key] = audit.Blocked, true
	}
	c.appendAuditRecord(r)
}
