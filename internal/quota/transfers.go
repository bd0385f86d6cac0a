package quota

import "time"

// Transfer is one transaction that this process wants carried out: each team's
// record is replaced if it still has the version that it was read with, and each
// fence's shard key still has its version.
type Transfer struct {
	Teams       []TeamTransfer
	KeyVersions map[string]uint64 // by shard
}

// TeamTransfer replaces one team's record.
type TeamTransfer struct {
	Team    string
	Version uint64 // that the record has to have; 0: it must not exist
	Record  Record
}

// Balance brings up to date how much each held shard may use while others lack
// their part. It is called every now and then, before Plan.
func (m *Manager) UpdateCeilings(now time.Duration) {
	for key, d := range m.demands {
		if now-d.receivedAt > demandTTL {
			delete(m.demands, key)
		}
	}
	for _, name := range m.teamNames {
		t := m.teams[name]
		unmet := m.unmetDemands(t, t.record, now)
		for shard, h := range m.heldShards {
			if a := h.accounts[name]; a != nil {
				a.ceiling = m.ceilingFor(t, shard, a, unmet, now)
			}
		}
	}
}

// ceiling is how much a shard with pending tasks may use while another has less
// than its fair share and lacks more: what it uses beyond that goes to the other as
// its tasks end. Without it a busy holder would use again at once all that it frees.
func (m *Manager) ceilingFor(t *teamState, shard string, a *account, unmet []Demand, now time.Duration) *Amount {
	fair := t.fairShare(shard, unmet)
	for _, d := range unmet {
		if d.Shard != shard && t.record.Shares[d.Shard].isBelowFairShare(fair, d) {
			entitled := m.entitlement(t, shard, a, unmet, now)
			return &entitled
		}
	}
	return nil
}

// entitlement is what a shard may use while others lack something: its fair share, or
// room for one task more if it has waited for longer than any of the others. Else tasks
// larger than a fair share would never start, and what does not divide evenly would stay
// unused.
func (m *Manager) entitlement(t *teamState, shard string, a *account, unmet []Demand, now time.Duration) Amount {
	entitled := t.fairShare(shard, unmet)
	own, _ := m.ownDemand(t, shard, now)
	own.Shard = shard
	for _, d := range unmet {
		if d.Shard != shard && d.compare(own) < 0 {
			return entitled
		}
	}
	return entitled.Max(a.spent.Add(a.smallestPending))
}

// fairShare is a shard's part of the limit while it and all that lack something
// have work.
func (t *teamState) fairShare(shard string, unmet []Demand) Amount {
	contenders := 1
	for _, d := range unmet {
		if d.Shard != shard {
			contenders++
		}
	}
	return t.record.LimitInForce(t.Limit).dividedBy(contenders)
}

// isBelowFairShare tells whether a share has less than a fair one of what the demand lacks.
func (s Share) isBelowFairShare(fair Amount, d Demand) bool {
	missing := d.Target.Sub(s.Allocation)
	return (missing.CPUs > 0 && s.Allocation.CPUs < fair.CPUs) || (missing.GPUs > 0 && s.Allocation.GPUs < fair.GPUs)
}

// Plan returns the next transaction, or nil while there is none to make or one is
// under way.
func (m *Manager) PlanTransfer(now time.Duration) *Transfer {
	if m.inFlight != nil || now < m.nextTransferAt || len(m.teamNames) == 0 {
		return nil
	}
	transfer := &Transfer{KeyVersions: make(map[string]uint64)}
	start := m.nextTeamIndex
	for i := range m.teamNames {
		if len(transfer.Teams) == m.config.TeamsPerTransfer {
			break
		}
		t := m.teams[m.teamNames[(start+i)%len(m.teamNames)]]
		m.nextTeamIndex = (start + i + 1) % len(m.teamNames)
		p := plan{manager: m, team: t, now: now, record: t.record.clone(), changedShards: make(map[string]bool)}
		if !t.recordKnown || t.recordUnreadable || !p.build() {
			continue
		}
		transfer.Teams = append(transfer.Teams, TeamTransfer{Team: t.Name, Version: t.version, Record: p.record})
		for shard := range p.changedShards {
			transfer.KeyVersions[shard] = m.heldShards[shard].keyVersion
			t.reduceLowerBound(shard, p.record.Shares[shard].Allocation)
		}
	}
	if len(transfer.Teams) == 0 {
		return nil
	}
	m.inFlight, m.nextTransferAt = transfer, now+m.config.TransferInterval
	return transfer
}

// reduceLowerBound keeps a shard from spending more than a transfer under way leaves it.
func (t *teamState) reduceLowerBound(shard string, allocation Amount) {
	if lowerBound, ok := t.lowerBounds[shard]; ok {
		allocation = allocation.Min(lowerBound)
	}
	t.lowerBounds[shard] = allocation
}

// Applied notes that the transaction under way was carried out, and made that revision of
// the state service. There must be one; so for TransferNotApplied and TransferOutcomeUnknown.
func (m *Manager) TransferApplied(revision uint64) {
	transfer := m.inFlight
	m.inFlight = nil
	for _, transferred := range transfer.Teams {
		m.ObserveRecord(transferred.Team, transferred.Record, revision)
	}
}

// TransferNotApplied notes that the transaction under way was not carried out and never will
// be.
func (m *Manager) TransferNotApplied() {
	for _, transferred := range m.inFlight.Teams {
		if t := m.teams[transferred.Team]; !t.outcomeUnknown {
			clear(t.lowerBounds)
		}
	}
	m.inFlight = nil
}

// TransferOutcomeUnknown notes that the transaction under way failed its conditions or got no
// answer, and returns the teams whose records have to be read again. What it may
// have taken stays out of use until a newer record shows what became of it.
func (m *Manager) TransferOutcomeUnknown() []string {
	var names []string
	for _, transferred := range m.inFlight.Teams {
		names = append(names, transferred.Team)
		if t := m.teams[transferred.Team]; t.version == transferred.Version {
			t.outcomeUnknown = true
		}
	}
	m.inFlight = nil
	return names
}
