package quota

import "time"

// Transfer is one transaction for the caller to carry out. It replaces each team's record, on
// condition that every record and every listed shard key still has the given version.
type Transfer struct {
	Teams       []TeamTransfer
	KeyVersions map[string]uint64 // versions of the shard keys, by shard
}

// TeamTransfer replaces one team's record.
type TeamTransfer struct {
	Team    string
	Version uint64 // that the record must have; 0: it must not exist
	Record  Record
}

// UpdateCeilings removes expired demands and recomputes how much each held shard may spend while
// other shards lack their fair share. It is called periodically, before PlanTransfer.
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

// ceilingFor returns how much a shard may spend, or nil for no bound. A bound applies while
// another shard has less than its fair share and an unmet demand: as tasks end, the allocation
// above the bound is transferred to the other shard. Without the bound a busy holder would
// immediately reuse everything that its ended tasks release.
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

// entitlement returns what a shard may spend while others have unmet demands: its fair share, or
// room for one more task if it has been pending for longer than all the others. Without this
// exception tasks larger than a fair share would never start, and the remainder of an uneven
// division would stay unused.
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

// fairShare returns the limit in force divided equally among the shard and all other shards with
// unmet demands.
func (t *teamState) fairShare(shard string, unmet []Demand) Amount {
	contenders := 1
	for _, d := range unmet {
		if d.Shard != shard {
			contenders++
		}
	}
	return t.record.LimitInForce(t.Limit).dividedBy(contenders)
}

// isBelowFairShare reports whether a share is smaller than a fair one in a part that the demand
// lacks.
func (s Share) isBelowFairShare(fair Amount, d Demand) bool {
	missing := d.Target.Sub(s.Allocation)
	return (missing.CPUs > 0 && s.Allocation.CPUs < fair.CPUs) || (missing.GPUs > 0 && s.Allocation.GPUs < fair.GPUs)
}

// PlanTransfer returns the next transaction, or nil if nothing has to be changed,
// TransferInterval has not passed since the last one, or the outcome of one is still awaited.
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

// reduceLowerBound keeps a shard from spending more than a transfer in flight leaves it.
func (t *teamState) reduceLowerBound(shard string, allocation Amount) {
	if lowerBound, ok := t.lowerBounds[shard]; ok {
		allocation = allocation.Min(lowerBound)
	}
	t.lowerBounds[shard] = allocation
}

// TransferApplied records that the transfer in flight was applied; revision is the state
// service's revision that it created. This method, TransferNotApplied and TransferOutcomeUnknown
// may be called only while a transfer is in flight.
func (m *Manager) TransferApplied(revision uint64) {
	transfer := m.inFlight
	m.inFlight = nil
	for _, transferred := range transfer.Teams {
		m.ObserveRecord(transferred.Team, transferred.Record, revision)
	}
}

// TransferNotApplied records that the transfer in flight was not applied and never will be.
func (m *Manager) TransferNotApplied() {
	for _, transferred := range m.inFlight.Teams {
		if t := m.teams[transferred.Team]; !t.outcomeUnknown {
			clear(t.lowerBounds)
		}
	}
	m.inFlight = nil
}

// TransferOutcomeUnknown records that the transfer in flight failed its conditions or got no
// answer, and returns the teams whose records have to be read again. What the transfer may have
// taken from held shards can't be spent until a newer version of the record shows the outcome.
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
