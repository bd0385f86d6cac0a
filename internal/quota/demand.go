package quota

import (
	"cmp"
	"errors"
	"fmt"
	"slices"
	"time"
)

// ErrInvalidDemand says that a demand can't be another holder's: its shard or team is not
// known, its shard is held by this process, or an amount is out of range.
var ErrInvalidDemand = errors.New("invalid demand")

// Demand is what a shard lacks, as its holder tells the others. It is a hint: it
// decides who is given what, never how much there is.
type Demand struct {
	Shard, Team     string
	Target          Amount        // the allocation that it would like
	SmallestPending Amount        // its smallest pending task
	PendingFor      time.Duration // how long none of its tasks has been admitted
}

// receivedDemand is another holder's demand with when it was received.
type receivedDemand struct {
	Demand
	receivedAt time.Duration
}

// demandTTL is how long a demand counts after it was received.
const demandTTL = 2 * time.Second

// Demands returns what held shards lack, for the other holders.
func (m *Manager) Demands(now time.Duration) []Demand {
	if !m.enforced {
		return nil
	}
	var out []Demand
	for _, name := range m.teamNames {
		t := m.teams[name]
		for _, shard := range m.config.Shards {
			if d, lacks := m.ownDemand(t, shard, now); lacks {
				out = append(out, d)
			}
		}
	}
	return out
}

// ownDemand returns what a held shard lacks of a team's limit, and whether it lacks
// anything.
func (m *Manager) ownDemand(t *teamState, shard string, now time.Duration) (Demand, bool) {
	held := m.heldShards[shard]
	if !held.ready() || held.accounts[t.Name] == nil {
		return Demand{}, false
	}
	account := held.accounts[t.Name]
	d := Demand{Shard: shard, Team: t.Name, Target: t.desiredAllocation(account), SmallestPending: account.smallestPending}
	if account.hasPending {
		d.PendingFor = now - account.pendingSince
	}
	return d, !account.pending.IsZero() && !d.Target.Within(t.record.Shares[shard].Allocation)
}

// ObserveDemand takes another holder's demand, or returns ErrInvalidDemand.
func (m *Manager) ObserveDemand(d Demand, now time.Duration) error {
	if !slices.Contains(m.config.Shards, d.Shard) || m.heldShards[d.Shard] != nil {
		return fmt.Errorf("%w: %q is no other holder's shard", ErrInvalidDemand, d.Shard)
	}
	if m.teams[d.Team] == nil {
		return fmt.Errorf("%w: team %q has no limit", ErrInvalidDemand, d.Team)
	}
	none, most := Amount{}, Amount{largestAmount, largestAmount}
	if !none.Within(d.Target) || !d.Target.Within(most) || !none.Within(d.SmallestPending) || d.PendingFor < 0 {
		return fmt.Errorf("%w: target %v, smallest pending task %v, waited %v", ErrInvalidDemand, d.Target, d.SmallestPending, d.PendingFor)
	}
	m.demands[accountKey{d.Shard, d.Team}] = receivedDemand{d, now}
	return nil
}

// unmetDemands returns the fresh demands for a team that its record does not meet, those
// that have waited for longest first.
func (m *Manager) unmetDemands(t *teamState, record Record, now time.Duration) []Demand {
	var out []Demand
	for _, shard := range m.config.Shards {
		d, lacks := m.ownDemand(t, shard, now)
		if m.heldShards[shard] == nil {
			received, ok := m.demands[accountKey{shard, t.Name}]
			lacks = ok && now-received.receivedAt <= demandTTL
			d = received.Demand
			d.PendingFor += now - received.receivedAt
		}
		if _, registered := record.Shares[shard]; lacks && registered && !d.Target.Within(record.Shares[shard].Allocation) {
			out = append(out, d)
		}
	}
	slices.SortStableFunc(out, Demand.compare)
	return out
}

// compare orders demands: who has waited for longer comes first.
func (d Demand) compare(other Demand) int {
	return cmp.Or(cmp.Compare(other.PendingFor, d.PendingFor), cmp.Compare(d.Shard, other.Shard))
}
