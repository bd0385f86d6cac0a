package admission

import (
	"strconv"
	"time"

	"github.com/cobaltvale/cobaltvale/internal/protocol/meshpb"
	"github.com/cobaltvale/cobaltvale/internal/quota"
)

const (
	demandInterval     = 400 * time.Millisecond // between frames that tell others what is lacking
	droppedLogInterval = 10 * time.Second
)

// Entitlement is what this process may do at a time.
type TickConditions struct {
	AllMembersDivideLimits bool // every member that has ever started divides limits among the shards
	MayAct                 bool // the keys of the shards are surely still this process's
	LeaseValid             bool // its lease surely lasts
}

// Tick does what time asks for. It is called about ten times a second.
func (c *Control) Tick(now time.Duration, entitlement TickConditions) {
	if c.manager == nil {
		return
	}
	c.setEnforced(entitlement.AllMembersDivideLimits)
	c.readRecords(now)
	c.updatePending(now)
	c.manager.UpdateCeilings(now)
	if entitlement.MayAct {
		c.broadcastDemands(now)
	}
	if entitlement.LeaseValid {
		c.startTransfer(now)
	}
}

// setEnforced has admission go by allocations while every member divides limits.
func (c *Control) setEnforced(all bool) {
	if all != c.manager.Enforced() {
		c.config.Log.Info().Bool("enforced", all).Msg("enforcement of team limits changed")
	}
	c.manager.SetEnforced(all)
}

// pendingAmounts are what a team's tasks that could start would use.
type pendingAmounts struct{ total, smallest quota.Amount }

// updatePending tells the manager what waits, and the leader what has changed of that.
func (c *Control) updatePending(now time.Duration) {
	pending := make(map[accountKey]*pendingAmounts)
	c.shardOwner.StartableTasks(func(claim *Claim, tasks int) {
		if !c.Limited(claim) {
			return
		}
		key, size := accountKey{claim.Shard, claim.Team}, c.manager.LimitedPart(claim.Team, claim.Amount)
		if p := pending[key]; p != nil {
			p.total, p.smallest = p.total.Add(size.Mul(tasks)), p.smallest.Min(size)
		} else {
			pending[key] = &pendingAmounts{size.Mul(tasks), size}
		}
	})
	for shard := range c.heldShards {
		for team := range c.guarantees {
			key := accountKey{shard, team}
			var p pendingAmounts
			if waiting := pending[key]; waiting != nil {
				p = *waiting
			}
			c.manager.SetPending(shard, team, p.total, p.smallest, now)
			c.recordBlocked(key, p.smallest)
		}
	}
	c.shardOwner.AllocationsChanged()
}

// broadcastDemands tells the other members what this one's shards lack.
func (c *Control) broadcastDemands(now time.Duration) {
	if now < c.nextDemandsAt {
		return
	}
	c.nextDemandsAt = now + demandInterval
	demands := c.manager.Demands(now)
	if len(demands) == 0 {
		return
	}
	c.demandSequence++
	f := &meshpb.QuotaDemands{Seq: c.demandSequence}
	for _, d := range demands {
		f.Demands = append(f.Demands, &meshpb.QuotaDemand{Shard: d.Shard, Team: d.Team, Target: amountToProto(d.Target),
			SmallestPending: amountToProto(d.SmallestPending), PendingUs: d.PendingFor.Microseconds()})
	}
	c.config.BroadcastDemands(f)
}

func amountToProto(a quota.Amount) *meshpb.QuotaAmount {
	return &meshpb.QuotaAmount{Cpus: a.CPUs, Gpus: a.GPUs}
}

func amountFromProto(f *meshpb.QuotaAmount) quota.Amount {
	return quota.Amount{CPUs: f.GetCpus(), GPUs: f.GetGpus()}
}

// Sender is the member that a demand came from.
type Sender struct {
	Member string
	// LastSequence is the number of its last demands on this stream.
	LastSequence uint64
	// Holds tells whether it holds a shard, as far as this member knows.
	HoldsShard func(shard string) bool
}

// HandleDemands takes what another member lacks, and returns the number of its last demands.
// They count only for shards that the member holds.
func (c *Control) HandleDemands(from Sender, f *meshpb.QuotaDemands) (lastSequence uint64) {
	if c.manager == nil {
		return from.LastSequence
	}
	if f.Seq <= from.LastSequence {
		c.drop(dropOutdated, from.Member)
		return from.LastSequence
	}
	for _, d := range f.Demands {
		if !from.HoldsShard(d.Shard) {
			c.drop(dropNotHolder, from.Member)
			continue
		}
		demand := quota.Demand{Shard: d.Shard, Team: d.Team, Target: amountFromProto(d.Target), SmallestPending: amountFromProto(d.SmallestPending),
			PendingFor: time.Duration(d.PendingUs) * time.Microsecond}
		if err := c.manager.ObserveDemand(demand, c.config.Clock.Now()); err != nil {
			c.dropWithError(dropMalformed, err, from.Member)
		}
	}
	return f.Seq
}

// dropReason is why a message or record was dropped.
type dropReason uint8

const (
	dropOutdated dropReason = iota
	dropNotHolder
	dropMalformed
	dropRecordDeleted
	dropRecordUnreadable
)

var dropReasonNames = [...]string{"outdated", "not_holder", "malformed", "record_deleted", "record_unreadable"}

func (r dropReason) String() string {
	if int(r) < len(dropReasonNames) {
		return dropReasonNames[r]
	}
	return "dropReason(" + strconv.Itoa(int(r)) + ")"
}

// Dropped returns how many messages and records made no sense and were dropped.
func (c *Control) Dropped() uint64 { return c.dropped }

// drop counts what made no sense and was dropped, with a line now and then.
func (c *Control) drop(reason dropReason, from string) { c.dropWithError(reason, nil, from) }

// dropWithError is drop with the error that tells more.
func (c *Control) dropWithError(reason dropReason, err error, from string) {
	c.dropped++
	now := c.config.Clock.Now()
	if c.lastDropLoggedAt != 0 && now-c.lastDropLoggedAt < droppedLogInterval {
		return
	}
	c.lastDropLoggedAt = now
	c.config.Log.Error().Stringer("reason", reason).AnErr("error", err).Str("from", from).Uint64("dropped", c.dropped).Msg("quota message dropped")
}
