package quota

import "time"

// plan works out a team's next record.
type plan struct {
	m       *Manager
	t       *team
	now     time.Duration
	record  Record
	changed map[string]bool // held ledgers whose fence the change needs
}

// make changes the record, and tells whether anything changed.
func (p *plan) make() bool {
	for _, ledger := range p.m.config.Ledgers {
		if h := p.m.held[ledger]; h.ready() {
			p.register(ledger, h)
		}
	}
	if p.t.unsure {
		p.touch()
	}
	if !p.m.relied || !p.m.divided(p.record) {
		return len(p.changed) > 0
	}
	limit := p.record.LimitInForce(p.t.Limit)
	if excess := p.record.Allocated().Minus(limit).Positive(); !excess.IsZero() {
		p.giveBack(excess)
		return len(p.changed) > 0
	}
	lacking := p.m.lacking(p.t, p.record, p.now)
	p.take(lacking)
	p.give(lacking)
	return len(p.changed) > 0
}

// touch has the record written whatever its content: once it has a new stamp, an
// earlier transfer without an answer has either been applied or never will be.
func (p *plan) touch() {
	for _, ledger := range p.m.config.Ledgers {
		if _, registered := p.record.Shares[ledger]; registered && p.m.held[ledger].ready() {
			p.changed[ledger] = true
			return
		}
	}
}

// free is what no ledger has.
func (p *plan) free() Amount {
	return p.record.LimitInForce(p.t.Limit).Minus(p.record.Allocated()).Positive()
}

func (p *plan) set(ledger string, allocation Amount) {
	if p.record.Shares[ledger].Allocation != allocation {
		p.record.allocate(ledger, allocation)
		p.changed[ledger] = true
	}
}

// register gives a held ledger its share, which begins with what it has spent as
// far as that is free. While not all members divide limits there are no shares, so
// that each starts from what it has spent by then.
func (p *plan) register(ledger string, h *holding) {
	share, registered := p.record.Shares[ledger]
	if !p.m.relied {
		if registered {
			delete(p.record.Shares, ledger)
			p.changed[ledger] = true
		}
		return
	}
	if registered && share.Limit == p.t.Limit {
		return
	}
	share.Limit = p.t.Limit
	if !registered {
		share.Allocation = Amount{}
		if a := h.accounts[p.t.Name]; a != nil {
			share.Allocation = a.spent.Min(p.free())
		}
	}
	p.record.Shares[ledger] = share
	p.changed[ledger] = true
}

// unspent is what a held ledger certainly has and does not use.
func (p *plan) unspent(ledger string) Amount {
	allocation := p.record.Shares[ledger].Allocation
	if floor, ok := p.t.floors[ledger]; ok {
		allocation = allocation.Min(floor)
	}
	if a := p.m.held[ledger].accounts[p.t.Name]; a != nil {
		allocation = allocation.Minus(a.spent)
	}
	return allocation.Positive()
}

// giveBack returns unspent allocations while all together are above a limit that
// was lowered.
func (p *plan) giveBack(excess Amount) {
	for _, ledger := range p.m.config.Ledgers {
		if h := p.m.held[ledger]; !h.ready() {
			continue
		}
		back := p.unspent(ledger).Min(excess)
		if !back.IsZero() {
			p.set(ledger, p.record.Shares[ledger].Allocation.Minus(back))
			excess = excess.Minus(back)
		}
	}
}

// take has held ledgers take what they lack from what no ledger has. Each of those
// that lack something gets its part, or what its smallest task needs.
func (p *plan) take(lacking []Demand) {
	for i, d := range lacking {
		if !p.m.held[d.Ledger].ready() {
			continue
		}
		free := p.free()
		has := p.record.Shares[d.Ledger].Allocation
		missing := d.Target.Minus(has).Positive()
		forOne := p.spentAt(d.Ledger).Plus(d.Least).Minus(has).Positive()
		part := free.dividedBy(len(lacking) - i).Max(forOne).Min(free)
		if got := missing.Min(part); !got.IsZero() {
			p.set(d.Ledger, has.Plus(got))
		}
	}
}

func (p *plan) spentAt(ledger string) Amount {
	if a := p.m.held[ledger].accounts[p.t.Name]; a != nil {
		return a.spent
	}
	return Amount{}
}

// give moves unspent allocations of held ledgers to those that lack something.
func (p *plan) give(lacking []Demand) {
	for _, d := range lacking {
		missing := d.Target.Minus(p.record.Shares[d.Ledger].Allocation).Minus(p.free()).Positive()
		for _, ledger := range p.m.config.Ledgers {
			if h := p.m.held[ledger]; ledger == d.Ledger || !h.ready() {
				continue
			}
			got := p.spare(ledger, d, lacking).Min(missing)
			if got.IsZero() {
				continue
			}
			p.set(ledger, p.record.Shares[ledger].Allocation.Minus(got))
			p.record.allocate(d.Ledger, p.record.Shares[d.Ledger].Allocation.Plus(got))
			missing = missing.Minus(got)
		}
	}
}

// spare is what a held ledger can give to one that lacks something: all that it has
// unspent if nothing waits for that; what no waiting task of its own fits into, to one
// that has waited for longer; else what it has beyond its fair part, to one
// that has less.
func (p *plan) spare(ledger string, d Demand, lacking []Demand) Amount {
	unspent := p.unspent(ledger)
	a := p.m.held[ledger].accounts[p.t.Name]
	if a == nil || a.waiting.IsZero() {
		return unspent
	}
	if own, _ := p.m.ownDemand(p.t, ledger, p.now); !a.least.Within(unspent) {
		own.Ledger = ledger
		if d.compare(own) < 0 {
			return unspent
		}
		return Amount{}
	}
	if !p.record.Shares[d.Ledger].below(p.t.fairPart(ledger, lacking), d) {
		return Amount{}
	}
	entitled := p.m.entitled(p.t, ledger, a, lacking, p.now)
	return p.record.Shares[ledger].Allocation.Minus(a.spent.Max(entitled)).Positive().Min(unspent)
}
