package admission

import (
	"strconv"
	"time"

	"github.com/cobaltvale/cobaltvale/internal/protocol/meshpb"
	"github.com/cobaltvale/cobaltvale/internal/quota"
)

const (
	demandInterval     = 400 * time.Millisecond // between two messages with demands
	droppedLogInterval = 10 * time.Second
)

// TickConditions are the conditions at the time of a tick that decide what this process may do.
type TickConditions struct {
	AllMembersDivideLimits bool // every member that has ever started divides limits among the shards
	MayAct                 bool // this process is guaranteed to still hold the keys of its shards
	LeaseValid             bool // the lease of this process is guaranteed not to have ended
}

// Tick reads the records if that is due, updates the pending amounts, and sends demands and
// starts transfers as far as the conditions allow. It is called about 10 times per second.
func (c *Control) Tick(now time.Duration, conditions TickConditions) {
	if c.manager == nil {
		return
	}
	c.setEnforced(conditions.AllMembersDivideLimits)
	c.readRecords(now)
	c.updatePending(now)
	c.manager.UpdateCeilings(now)
	if conditions.MayAct {
		c.broadcastDemands(now)
	}
	if conditions.LeaseValid {
		c.startTransfer(now)
	}
}

// setEnforced sets whether allocations bound admission, which they do while every member divides
// limits.
func (c *Control) setEnforced(enforced bool) {
	if enforced != c.manager.Enforced() {
		c.config.Log.Info().Bool("enforced", enforced).Msg("enforcement of team limits changed")
	}
	c.manager.SetEnforced(enforced)
}

// pendingAmounts are the sum of what a team's tasks that could start use, and the smallest CPUs and
// the smallest GPUs among them.
type pendingAmounts struct{ total, smallest quota.Amount }

// updatePending passes the pending amounts of all teams at held shards to the manager, and has
// the shard owner publish to the leader how many tasks may start if that has changed.
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

// broadcastDemands sends what this member's shards lack to the other members.
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
	message := &meshpb.QuotaDemands{Seq: c.demandSequence}
	for _, d := range demands {
		message.Demands = append(message.Demands, &meshpb.QuotaDemand{Shard: d.Shard, Team: d.Team, Target: amountToProto(d.Target),
			SmallestPending: amountToProto(d.SmallestPending), PendingUs: d.PendingFor.Microseconds()})
	}
	c.config.BroadcastDemands(message)
}

func amountToProto(a quota.Amount) *meshpb.QuotaAmount {
	return &meshpb.QuotaAmount{Cpus: a.CPUs, Gpus: a.GPUs}
}

func amountFromProto(amount *meshpb.QuotaAmount) quota.Amount {
	return quota.Amount{CPUs: amount.GetCpus(), GPUs: amount.GetGpus()}
}

// Sender is the member that sent a message with demands.
type Sender struct {
	Member string
	// LastSequence is the sequence number of the last such message on the same stream.
	LastSequence uint64
	// HoldsShard reports whether the member holds a shard, as observed by this process.
	HoldsShard func(shard string) bool
}

// HandleDemands records the demands of another member, and returns the sequence number of the
// latest message, which is the LastSequence of the next. Only demands for shards that the member
// holds are recorded.
func (c *Control) HandleDemands(from Sender, message *meshpb.QuotaDemands) (lastSequence uint64) {
	if c.manager == nil {
		return from.LastSequence
	}
	if message.Seq <= from.LastSequence {
		c.drop(dropOutdated, from.Member)
		return from.LastSequence
	}
	for _, d := range message.Demands {
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
	return message.Seq
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

// Dropped returns the number of messages and records that were dropped as invalid or outdated.
func (c *Control) Dropped() uint64 { return c.dropped }

// drop counts a dropped message or record, and logs it unless another was logged within
// droppedLogInterval.
func (c *Control) drop(reason dropReason, from string) { c.dropWithError(reason, nil, from) }

// dropWithError is like drop, and includes an error in the log entry.
func (c *Control) dropWithError(reason dropReason, err error, from string) {
	c.dropped++
	now := c.config.Clock.Now()
	if c.lastDropLoggedAt != 0 && now-c.lastDropLoggedAt < droppedLogInterval {
		return
	}
	c.lastDropLoggedAt = now
	c.config.Log.Error().Stringer("reason", reason).AnErr("error", err).Str("from", from).Uint64("dropped", c.dropped).Msg("quota message dropped")
}
