package admission

import (
	"github.com/cobaltvale/cobaltvale/internal/audit"
	"github.com/cobaltvale/cobaltvale/internal/quota"
)

// newAuditRecord returns the audit record of a change of what a claim's team has spent. It must
// be called before the change is made, as the record includes the amount spent before it.
func (c *Control) newAuditRecord(claim *Claim, kind audit.Kind, task int32, replica uint64) audit.Record {
	return audit.Record{Kind: kind, Shard: claim.Shard, FencingToken: claim.FencingToken, Team: claim.Team, Job: claim.Job,
		Task: uint32(task), Replica: replica, Amount: c.manager.LimitedPart(claim.Team, claim.Amount),
		SpentBefore: c.manager.Spent(claim.Shard, claim.Team)}
}

// appendAuditRecord completes a record with the state after the change and passes it to the
// audit log.
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
	r.Revision = max(r.Revision, r.FencingToken) // the previous holder's records precede the shard's acquisition
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

// recordBlocked appends an audit record when a team starts to wait for an allocation, and when
// it no longer waits. smallest is the amount of the team's smallest pending task.
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
