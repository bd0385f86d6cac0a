package quota

import "time"

// Transfer is one transaction that this process wants carried out: each team's
// record is replaced if it still has the stamp that it was read with, and each
// fence's ledger key still has its stamp.
type Transfer struct {
	Teams  []TeamTransfer
	Fences map[string]uint64 // by ledger
}

// TeamTransfer replaces one team's record.
type TeamTransfer struct {
	Team   string
	Stamp  uint64 // that the record has to have; 0: it must not exist
	Record Record
}

// Balance brings up to date how much each held ledger may use while others lack
// their part. It is called every now and then, before Plan.
func (m *Manager) Balance(now time.Duration) {
	for key, d := range m.demands {
		if now-d.at > demandLasts {
			delete(m.demands, key)
		}
	}
	for _, name := range m.order {
		t := m.teams[name]
		lacking := m.lacking(t, t.record, now)
		for ledger, h := range m.held {
			if a := h.accounts[name]; a != nil {
				a.ceiling = m.ceiling(t, ledger, a, lacking, now)
			}
		}
	}
}

// ceiling is how much a ledger with waiting tasks may use while another has less
// than its fair part and lacks more: what it uses beyond that goes to the other as
// its tasks end. Without it a busy holder would use again at once all that it frees.
func (m *Manager) ceiling(t *team, ledger string, a *account, lacking []Demand, now time.Duration) *Amount {
	fair := t.fairPart(ledger, lacking)
	for _, d := range lacking {
		if d.Ledger != ledger && t.record.Shares[d.Ledger].below(fair, d) {
			entitled := m.entitled(t, ledger, a, lacking, now)
			return &entitled
		}
	}
	return nil
}

// entitled is what a ledger may use while others lack something: its fair part, or
// room for one task more if it has waited for longer than any of the others. Else tasks larger than a fair part would never start, and what does not
// divide evenly would stay unused.
func (m *Manager) entitled(t *team, ledger string, a *account, lacking []Demand, now time.Duration) Amount {
	entitled := t.fairPart(ledger, lacking)
	own, _ := m.ownDemand(t, ledger, now)
	own.Ledger = ledger
	for _, d := range lacking {
		if d.Ledger != ledger && d.compare(own) < 0 {
			return entitled
		}
	}
	return entitled.Max(a.spent.Plus(a.least))
}

// fairPart is a ledger's part of the limit while it and all that lack something
// have work.
func (t *team) fairPart(ledger string, lacking []Demand) Amount {
	contenders := 1
	for _, d := range lacking {
		if d.Ledger != ledger {
			contenders++
		}
	}
	return t.record.LimitInForce(t.Limit).dividedBy(contenders)
}

// below tells whether a share has less than a fair part of what is lacking.
func (s Share) below(fair Amount, d Demand) bool {
	missing := d.Target.Minus(s.Allocation)
	return (missing.CPUs > 0 && s.Allocation.CPUs < fair.CPUs) || (missing.GPUs > 0 && s.Allocation.GPUs < fair.GPUs)
}

// Plan returns the next transaction, or nil while there is none to make or one is
// under way.
func (m *Manager) Plan(now time.Duration) *Transfer {
	if m.inFlight != nil || now < m.nextAt || len(m.order) == 0 {
		return nil
	}
	transfer := &Transfer{Fences: make(map[string]uint64)}
	start := m.cursor
	for i := range m.order {
		if len(transfer.Teams) == m.config.TeamsPerTransfer {
			break
		}
		t := m.teams[m.order[(start+i)%len(m.order)]]
		m.cursor = (start + i + 1) % len(m.order)
		p := plan{m: m, t: t, now: now, record: t.record.clone(), changed: make(map[string]bool)}
		if !t.known || t.broken || !p.make() {
			continue
		}
		transfer.Teams = append(transfer.Teams, TeamTransfer{Team: t.Name, Stamp: t.stamp, Record: p.record})
		for ledger := range p.changed {
			transfer.Fences[ledger] = m.held[ledger].fence
			t.hold(ledger, p.record.Shares[ledger].Allocation)
		}
	}
	if len(transfer.Teams) == 0 {
		return nil
	}
	m.inFlight, m.nextAt = transfer, now+m.config.TransferInterval
	return transfer
}

// hold keeps a ledger from spending more than a transfer under way leaves it.
func (t *team) hold(ledger string, allocation Amount) {
	if floor, ok := t.floors[ledger]; ok {
		allocation = allocation.Min(floor)
	}
	t.floors[ledger] = allocation
}

// Applied notes that the transaction under way was carried out.
func (m *Manager) Applied(revision uint64) {
	transfer := m.inFlight
	m.inFlight = nil
	for _, tt := range transfer.Teams {
		m.Observe(tt.Team, tt.Record, revision)
	}
}

// Refused notes that the transaction under way was not carried out and never will
// be.
func (m *Manager) Refused() {
	for _, tt := range m.inFlight.Teams {
		if t := m.teams[tt.Team]; !t.unsure {
			clear(t.floors)
		}
	}
	m.inFlight = nil
}

// Unsettled notes that the transaction under way failed its conditions or got no
// answer, and returns the teams whose records have to be read again. What it may
// have taken stays out of use until a newer record shows what became of it.
func (m *Manager) Unsettled() []string {
	var names []string
	for _, tt := range m.inFlight.Teams {
		names = append(names, tt.Team)
		if t := m.teams[tt.Team]; t.stamp == tt.Stamp {
			t.unsure = true
		}
	}
	m.inFlight = nil
	return names
}
