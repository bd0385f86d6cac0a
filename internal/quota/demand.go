package quota

import (
	"cmp"
	"slices"
	"time"
)

// Demand is what a ledger lacks, as its holder tells the others. It is a hint: it
// decides who is given what, never how much there is.
type Demand struct {
	Ledger, Team string
	Target       Amount        // the allocation that it would like
	Least        Amount        // its smallest waiting task
	Waited       time.Duration // how long none of its tasks has been admitted
}

type heardDemand struct {
	Demand
	at time.Duration
}

// demandLasts is how long a demand counts after it was heard.
const demandLasts = 2 * time.Second

// Demands are what held ledgers lack.
func (m *Manager) Demands(now time.Duration) []Demand {
	if !m.relied {
		return nil
	}
	var out []Demand
	for _, name := range m.order {
		t := m.teams[name]
		for _, ledger := range m.config.Ledgers {
			if d, lacks := m.ownDemand(t, ledger, now); lacks {
				out = append(out, d)
			}
		}
	}
	return out
}

// ownDemand is what a held ledger lacks of a team's limit.
func (m *Manager) ownDemand(t *team, ledger string, now time.Duration) (Demand, bool) {
	h := m.held[ledger]
	if !h.ready() || h.accounts[t.Name] == nil {
		return Demand{}, false
	}
	a := h.accounts[t.Name]
	d := Demand{Ledger: ledger, Team: t.Name, Target: t.target(a), Least: a.least}
	if a.waits {
		d.Waited = now - a.since
	}
	return d, !a.waiting.IsZero() && !d.Target.Within(t.record.Shares[ledger].Allocation)
}

// Hear takes another holder's demand. It returns false for one that is malformed.
func (m *Manager) Hear(d Demand, now time.Duration) bool {
	known := slices.Contains(m.config.Ledgers, d.Ledger) && m.teams[d.Team] != nil && m.held[d.Ledger] == nil
	for _, v := range []int64{d.Target.CPUs, d.Target.GPUs, d.Least.CPUs, d.Least.GPUs, int64(d.Waited)} {
		known = known && v >= 0
	}
	if !known || !d.Target.Within(Amount{largestAmount, largestAmount}) {
		return false
	}
	m.demands[accountKey{d.Ledger, d.Team}] = heardDemand{d, now}
	return true
}

// lacking returns the fresh demands for a team that its record does not meet, those
// that have waited for longest first.
func (m *Manager) lacking(t *team, r Record, now time.Duration) []Demand {
	var out []Demand
	for _, ledger := range m.config.Ledgers {
		d, lacks := m.ownDemand(t, ledger, now)
		if m.held[ledger] == nil {
			heard, ok := m.demands[accountKey{ledger, t.Name}]
			lacks = ok && now-heard.at <= demandLasts
			d = heard.Demand
			d.Waited += now - heard.at
		}
		if _, registered := r.Shares[ledger]; lacks && registered && !d.Target.Within(r.Shares[ledger].Allocation) {
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
	return cmp.Compare(d.Ledger, o.Ledger)
}
