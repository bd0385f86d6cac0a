package quota

import (
	"cmp"
	"slices"
	"time"
)

// Demand is what a ledger lacks, as its holder tells the others. It is a hint: it
// decides who is given what, never how much there is.
type Demand struct {
	Shard, Team     string
	Target          Amount        // the allocation that it would like
	SmallestPending Amount        // its smallest waiting task
	Waited          time.Duration // how long none of its tasks has been admitted
}

type receivedDemand struct {
	Demand
	receivedAt time.Duration
}

// demandTTL is how long a demand counts after it was heard.
const demandTTL = 2 * time.Second

// Demands are what held ledgers lack.
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

// ownDemand is what a held ledger lacks of a team's limit.
func (m *Manager) ownDemand(t *team, shard string, now time.Duration) (Demand, bool) {
	held := m.heldShards[shard]
	if !held.ready() || held.accounts[t.Name] == nil {
		return Demand{}, false
	}
	account := held.accounts[t.Name]
	d := Demand{Shard: shard, Team: t.Name, Target: t.desiredAllocation(account), SmallestPending: account.smallestPending}
	if account.hasPending {
		d.Waited = now - account.pendingSince
	}
	return d, !account.pending.IsZero() && !d.Target.Within(t.record.Shares[shard].Allocation)
}

// ObserveDemand takes another holder's demand. It returns false for one that is malformed.
func (m *Manager) ObserveDemand(d Demand, now time.Duration) bool {
	known := slices.Contains(m.config.Shards, d.Shard) && m.teams[d.Team] != nil && m.heldShards[d.Shard] == nil
	for _, v := range []int64{d.Target.CPUs, d.Target.GPUs, d.SmallestPending.CPUs, d.SmallestPending.GPUs, int64(d.Waited)} {
		known = known && v >= 0
	}
	if !known || !d.Target.Within(Amount{largestAmount, largestAmount}) {
		return false
	}
	m.demands[accountKey{d.Shard, d.Team}] = receivedDemand{d, now}
	return true
}

// unmetDemands returns the fresh demands for a team that its record does not meet, those
// that have waited for longest first.
func (m *Manager) unmetDemands(t *team, r Record, now time.Duration) []Demand {
	var out []Demand
	for _, shard := range m.config.Shards {
		d, lacks := m.ownDemand(t, shard, now)
		if m.heldShards[shard] == nil {
			received, ok := m.demands[accountKey{shard, t.Name}]
			lacks = ok && now-received.receivedAt <= demandTTL
			d = received.Demand
			d.Waited += now - received.receivedAt
		}
		if _, registered := r.Shares[shard]; lacks && registered && !d.Target.Within(r.Shares[shard].Allocation) {
			out = append(out, d)
		}
	}
	slices.SortStableFunc(out, Demand.compare)
	return out
}

// compare orders demands: who has waited for longer comes first.
func (d Demand) compare(o Demand) int {
	if c := cmp.Compare(o.Waited, d.Waited); c != 0 {
		return c
	}
	return cmp.Compare(d.Shard, o.Shard)
}
