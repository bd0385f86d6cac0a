package quota

import (
	"cmp"
	"errors"
	"fmt"
	"slices"
	"time"
)

// ErrInvalidDemand is returned for a demand that can't come from another holder: its shard or
// team is unknown, its shard is held by this process, or a value is out of range.
var ErrInvalidDemand = errors.New("invalid demand")

// Demand is what a shard lacks of a team's limit, as its holder sends it to the other holders.
// It is a hint: it influences which shard receives an allocation, never how much is allocated in
// total.
type Demand struct {
	Shard, Team     string
	Target          Amount        // the allocation that the shard asks for
	SmallestPending Amount        // of the smallest pending task
	PendingFor      time.Duration // time for which tasks have been pending and none was admitted
}

// receivedDemand is another holder's demand with the time at which it was received.
type receivedDemand struct {
	Demand
	receivedAt time.Duration
}

// demandTTL is how long a demand is valid after it was received.
const demandTTL = 2 * time.Second

// Demands returns what the shards held by this process lack, to be sent to the other holders. It
// returns none while allocations are not enforced.
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

// ownDemand returns what a held shard lacks of a team's limit, and whether it lacks anything.
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

// ObserveDemand records another holder's demand, or returns ErrInvalidDemand.
func (m *Manager) ObserveDemand(d Demand, now time.Duration) error {
	if !slices.Contains(m.config.Shards, d.Shard) || m.heldShards[d.Shard] != nil {
		return fmt.Errorf("%w: shard %q is unknown or held by this process", ErrInvalidDemand, d.Shard)
	}
	if m.teams[d.Team] == nil {
		return fmt.Errorf("%w: team %q has no limit", ErrInvalidDemand, d.Team)
	}
	zero, largest := Amount{}, Amount{largestAmount, largestAmount}
	if !zero.Within(d.Target) || !d.Target.Within(largest) || !zero.Within(d.SmallestPending) || d.PendingFor < 0 {
		return fmt.Errorf("%w: target %v, smallest pending task %v or pending time %v is out of range", ErrInvalidDemand, d.Target, d.SmallestPending, d.PendingFor)
	}
	m.demands[accountKey{d.Shard, d.Team}] = receivedDemand{d, now}
	return nil
}

// unmetDemands returns the unexpired demands for a team that its record does not meet, the one
// that has been pending for longest first.
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

// compare orders demands: the one that has been pending for longer comes first.
func (d Demand) compare(other Demand) int {
	return cmp.Or(cmp.Compare(other.PendingFor, d.PendingFor), cmp.Compare(d.Shard, other.Shard))
}
