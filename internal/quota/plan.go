package quota

import "time"

// plan works out a team's next record.
type plan struct {
	manager       *Manager
	team          *teamState
	now           time.Duration
	record        Record
	changedShards map[string]bool // held shards whose fence the change needs
}

// build changes the record, and tells whether anything changed.
func (p *plan) build() bool {
	for _, shard := range p.manager.config.Shards {
		if h := p.manager.heldShards[shard]; h.ready() {
			p.registerShare(shard, h)
		}
	}
	if p.team.outcomeUnknown {
		p.rewriteUnchanged()
	}
	if !p.manager.enforced || !p.manager.allSharesRegistered(p.record) {
		return len(p.changedShards) > 0
	}
	limit := p.record.LimitInForce(p.team.Limit)
	if excess := p.record.Allocated().Sub(limit).NonNegative(); !excess.IsZero() {
		p.returnExcess(excess)
		return len(p.changedShards) > 0
	}
	unmet := p.manager.unmetDemands(p.team, p.record, p.now)
	p.allocateFree(unmet)
	p.transferUnspent(unmet)
	return len(p.changedShards) > 0
}

// rewriteUnchanged has the record written whatever its content: once it has a new version,
// an earlier transfer without an answer has either been applied or never will be.
func (p *plan) rewriteUnchanged() {
	for _, shard := range p.manager.config.Shards {
		if _, registered := p.record.Shares[shard]; registered && p.manager.heldShards[shard].ready() {
			p.changedShards[shard] = true
			return
		}
	}
}

// unallocated is what no shard has.
func (p *plan) unallocated() Amount {
	return p.record.LimitInForce(p.team.Limit).Sub(p.record.Allocated()).NonNegative()
}

// setAllocation changes a held shard's allocation.
func (p *plan) setAllocation(shard string, allocation Amount) {
	if p.record.Shares[shard].Allocation != allocation {
		p.record.allocate(shard, allocation)
		p.changedShards[shard] = true
	}
}

// register gives a held shard its share, which begins with what it has spent as
// far as that is free. While not all members divide limits there are no shares, so
// that each starts from what it has spent by then.
func (p *plan) registerShare(shard string, h *heldShard) {
	share, registered := p.record.Shares[shard]
	if !p.manager.enforced {
		if registered {
			delete(p.record.Shares, shard)
			p.changedShards[shard] = true
		}
		return
	}
	if registered && share.Limit == p.team.Limit {
		return
	}
	share.Limit = p.team.Limit
	if !registered {
		share.Allocation = Amount{}
		if a := h.accounts[p.team.Name]; a != nil {
			share.Allocation = a.spent.Min(p.unallocated())
		}
	}
	p.record.Shares[shard] = share
	p.changedShards[shard] = true
}

// unspent is what a held shard certainly has and does not use.
func (p *plan) unspent(shard string) Amount {
	allocation := p.record.Shares[shard].Allocation
	if lowerBound, ok := p.team.lowerBounds[shard]; ok {
		allocation = allocation.Min(lowerBound)
	}
	if a := p.manager.heldShards[shard].accounts[p.team.Name]; a != nil {
		allocation = allocation.Sub(a.spent)
	}
	return allocation.NonNegative()
}

// returnExcess returns unspent allocations while all together are above a limit that
// was lowered.
func (p *plan) returnExcess(excess Amount) {
	for _, shard := range p.manager.config.Shards {
		if h := p.manager.heldShards[shard]; !h.ready() {
			continue
		}
		back := p.unspent(shard).Min(excess)
		if !back.IsZero() {
			p.setAllocation(shard, p.record.Shares[shard].Allocation.Sub(back))
			excess = excess.Sub(back)
		}
	}
}

// allocateFree has held shards take what they lack from what no shard has. Each of
// those that lack something gets its part, or what its smallest task needs.
func (p *plan) allocateFree(unmet []Demand) {
	for i, d := range unmet {
		if !p.manager.heldShards[d.Shard].ready() {
			continue
		}
		free := p.unallocated()
		has := p.record.Shares[d.Shard].Allocation
		missing := d.Target.Sub(has).NonNegative()
		forOne := p.spent(d.Shard).Add(d.SmallestPending).Sub(has).NonNegative()
		part := free.dividedBy(len(unmet) - i).Max(forOne).Min(free)
		if got := missing.Min(part); !got.IsZero() {
			p.setAllocation(d.Shard, has.Add(got))
		}
	}
}

// spent is what a held shard uses.
func (p *plan) spent(shard string) Amount {
	if a := p.manager.heldShards[shard].accounts[p.team.Name]; a != nil {
		return a.spent
	}
	return Amount{}
}

// transferUnspent moves unspent allocations of held shards to those that lack something.
func (p *plan) transferUnspent(unmet []Demand) {
	for _, d := range unmet {
		missing := d.Target.Sub(p.record.Shares[d.Shard].Allocation).Sub(p.unallocated()).NonNegative()
		for _, shard := range p.manager.config.Shards {
			if h := p.manager.heldShards[shard]; shard == d.Shard || !h.ready() {
				continue
			}
			got := p.transferable(shard, d, unmet).Min(missing)
			if got.IsZero() {
				continue
			}
			p.setAllocation(shard, p.record.Shares[shard].Allocation.Sub(got))
			p.record.allocate(d.Shard, p.record.Shares[d.Shard].Allocation.Add(got))
			missing = missing.Sub(got)
		}
	}
}

// transferable is what a held shard can give to one that lacks something: all that it has
// unspent if no task waits for it; what no pending task of its own fits into, to one that
// has waited for longer; else what it has beyond its fair share, to one that has less.
func (p *plan) transferable(shard string, d Demand, unmet []Demand) Amount {
	unspent := p.unspent(shard)
	a := p.manager.heldShards[shard].accounts[p.team.Name]
	if a == nil || a.pending.IsZero() {
		return unspent
	}
	if own, _ := p.manager.ownDemand(p.team, shard, p.now); !a.smallestPending.Within(unspent) {
		own.Shard = shard
		if d.compare(own) < 0 {
			return unspent
		}
		return Amount{}
	}
	if !p.record.Shares[d.Shard].isBelowFairShare(p.team.fairShare(shard, unmet), d) {
		return Amount{}
	}
	entitled := p.manager.entitlement(p.team, shard, a, unmet, p.now)
	return p.record.Shares[shard].Allocation.Sub(a.spent.Max(entitled)).NonNegative().Min(unspent)
}
