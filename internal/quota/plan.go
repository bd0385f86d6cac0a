package quota

import "time"

// plan computes a team's next record.
type plan struct {
	manager       *Manager
	team          *teamState
	now           time.Duration
	record        Record
	changedShards map[string]bool // held shards on whose key versions the transaction has to be conditional
}

// build changes the record and reports whether it has to be written.
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

// rewriteUnchanged has the record written even if its content stays the same: once the record
// has a new version, an earlier transfer without an answer either was applied or can't be
// applied any more.
func (p *plan) rewriteUnchanged() {
	for _, shard := range p.manager.config.Shards {
		if _, registered := p.record.Shares[shard]; registered && p.manager.heldShards[shard].ready() {
			p.changedShards[shard] = true
			return
		}
	}
}

// unallocated returns the part of the limit that is allocated to no shard.
func (p *plan) unallocated() Amount {
	return p.record.LimitInForce(p.team.Limit).Sub(p.record.Allocated()).NonNegative()
}

// setAllocation sets a held shard's allocation.
func (p *plan) setAllocation(shard string, allocation Amount) {
	if p.record.Shares[shard].Allocation != allocation {
		p.record.allocate(shard, allocation)
		p.changedShards[shard] = true
	}
}

// registerShare adds a held shard's share to the record, or updates its limit. The initial
// allocation is what the shard has spent, as far as the limit has that much unallocated. While not all members
// divide limits the share is removed, so that each holder starts from what it has spent by the
// time when all of them do.
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

// unspent returns what a held shard is guaranteed to have and does not use.
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

// returnExcess reduces unspent allocations while the sum of all allocations exceeds a limit that
// was lowered.
func (p *plan) returnExcess(excess Amount) {
	for _, shard := range p.manager.config.Shards {
		if h := p.manager.heldShards[shard]; !h.ready() {
			continue
		}
		returned := p.unspent(shard).Min(excess)
		if !returned.IsZero() {
			p.setAllocation(shard, p.record.Shares[shard].Allocation.Sub(returned))
			excess = excess.Sub(returned)
		}
	}
}

// allocateFree allocates what no shard has to the held shards with unmet demands. Each gets at
// most an equal part of what is left, or as much as its smallest pending task needs if that is
// more.
func (p *plan) allocateFree(unmet []Demand) {
	for i, d := range unmet {
		if !p.manager.heldShards[d.Shard].ready() {
			continue
		}
		free := p.unallocated()
		current := p.record.Shares[d.Shard].Allocation
		missing := d.Target.Sub(current).NonNegative()
		neededForSmallest := p.spent(d.Shard).Add(d.SmallestPending).Sub(current).NonNegative()
		part := free.dividedBy(len(unmet) - i).Max(neededForSmallest).Min(free)
		if added := missing.Min(part); !added.IsZero() {
			p.setAllocation(d.Shard, current.Add(added))
		}
	}
}

// spent returns what a held shard uses.
func (p *plan) spent(shard string) Amount {
	if a := p.manager.heldShards[shard].accounts[p.team.Name]; a != nil {
		return a.spent
	}
	return Amount{}
}

// transferUnspent transfers unspent allocations of held shards to shards with unmet demands.
func (p *plan) transferUnspent(unmet []Demand) {
	for _, d := range unmet {
		missing := d.Target.Sub(p.record.Shares[d.Shard].Allocation).Sub(p.unallocated()).NonNegative()
		for _, shard := range p.manager.config.Shards {
			if h := p.manager.heldShards[shard]; shard == d.Shard || !h.ready() {
				continue
			}
			transferred := p.transferable(shard, d, unmet).Min(missing)
			if transferred.IsZero() {
				continue
			}
			p.setAllocation(shard, p.record.Shares[shard].Allocation.Sub(transferred))
			p.record.allocate(d.Shard, p.record.Shares[d.Shard].Allocation.Add(transferred))
			missing = missing.Sub(transferred)
		}
	}
}

// transferable returns what a held shard can transfer to the shard of a demand. A shard without
// pending tasks gives all that it has not spent. A shard whose unspent part has no room for its
// smallest pending task gives that part, but only to a demand that has been pending for longer.
// Any other shard gives what exceeds its entitlement, but only to a shard that has less than its
// fair share.
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
