package quota

import (
	"maps"
	"slices"
	"time"
)

const (
	// idlePrecedenceTimeout is how long a holder keeps its turn without using the room that it has
	// been given for a task.
	idlePrecedenceTimeout = 20 * time.Second
	// unlimitedCount stands for no bound of a number of tasks.
	unlimitedCount = 1 << 30
)

// Team is a team with a limit, of which one part may be Unlimited.
type Team struct {
	Name  string
	Limit Amount
}

// Config describes a deployment.
type Config struct {
	Shards []string // every shard that there is or may be
	Teams  []Team   // those with a limit
	// TransferInterval is the least time between two transactions of this process.
	TransferInterval time.Duration
	// TeamsPerTransfer is how many teams' records go into one transaction.
	TeamsPerTransfer int
}

// Manager holds this process's view of all teams' allocations. It is not safe for
// concurrent use. Times are those of the caller's monotonic clock.
type Manager struct {
	config         Config
	teams          map[string]*teamState
	teamNames      []string // sorted
	heldShards     map[string]*heldShard
	demands        map[accountKey]receivedDemand // of other holders
	enforced       bool
	inFlight       *Transfer // whose outcome has not been told yet
	nextTransferAt time.Duration
	nextTeamIndex  int // where the next plan begins among the teams
}

// accountKey names a team at a shard.
type accountKey struct{ shard, team string }

// team is one team's durable record as last seen.
type teamState struct {
	Team
	record           Record
	version          uint64 // of the record; 0 while there is none
	recordKnown      bool   // it was read, or is known to be missing
	recordUnreadable bool   // it can't be read
	outcomeUnknown   bool   // a transfer on condition of the version may have been applied, or may be later
	// lowerBounds are what held shards have at least while transfers that take from them
	// may have been applied, or may still be.
	lowerBounds map[string]Amount
}

// heldShard is a shard that this process holds.
type heldShard struct {
	keyVersion   uint64 // version of the shard's key
	recordsFresh bool   // the records were read after it was acquired
	reconciled   bool   // all that earlier holders may have spent is counted or proven lost
	accounts     map[string]*account
}

// account is a team's use at a held shard.
type account struct {
	spent           Amount
	pending         Amount // what pending tasks would use
	smallestPending Amount // the smallest of them
	// pendingSince is when tasks began to wait, or the last was admitted, or the account
	// lost its turn.
	pendingSince time.Duration
	// idleSince is since when the allocation has had room for the smallest of them, or
	// has had none.
	idleSince                time.Duration
	hasPending, smallestFits bool
	admittedSinceUpdate      bool    // since the last SetPending
	ceiling                  *Amount // while other shards lack their share; nil: none
}

// New makes a manager that has read no record yet.
func New(config Config) *Manager {
	m := &Manager{
		config:     config,
		teams:      make(map[string]*teamState),
		heldShards: make(map[string]*heldShard),
		demands:    make(map[accountKey]receivedDemand),
	}
	for _, t := range config.Teams {
		m.teams[t.Name] = &teamState{Team: t, lowerBounds: make(map[string]Amount)}
	}
	m.teamNames = slices.Sorted(maps.Keys(m.teams))
	return m
}

// HasLimit tells whether a team has a limit.
func (m *Manager) HasLimit(name string) bool { return m.teams[name] != nil }

// LimitedPart returns the part of an amount that a team's limit bounds.
func (m *Manager) LimitedPart(name string, amount Amount) Amount {
	t := m.teams[name]
	if t == nil {
		return Amount{}
	}
	return t.limitedPart(amount)
}

// limitedPart returns the part of an amount that the team's limit bounds.
func (t *teamState) limitedPart(a Amount) Amount {
	if t.Limit.CPUs == Unlimited {
		a.CPUs = 0
	}
	if t.Limit.GPUs == Unlimited {
		a.GPUs = 0
	}
	return a
}

// SetEnforced says whether admission goes by allocations, which holds while every member
// divides limits as this one does. Until then tasks are counted, and admitted whatever
// the allocations say.
func (m *Manager) SetEnforced(enforced bool) { m.enforced = enforced }

// Enforced tells whether admission goes by allocations.
func (m *Manager) Enforced() bool { return m.enforced }

// AddHeldShard notes that this process has acquired a shard, whose key has the version
// fence. Nothing is admitted for it until MarkRecordsFresh and MarkReconciled.
func (m *Manager) AddHeldShard(shard string, fence uint64) {
	m.heldShards[shard] = &heldShard{keyVersion: fence, accounts: make(map[string]*account)}
}

// UpdateKeyVersion notes that a held shard's key has a new version.
func (m *Manager) UpdateKeyVersion(shard string, fence uint64) {
	if h := m.heldShards[shard]; h != nil {
		h.keyVersion = fence
	}
}

// RemoveHeldShard notes that a shard is held no more.
func (m *Manager) RemoveHeldShard(shard string) {
	delete(m.heldShards, shard)
	for _, t := range m.teams {
		delete(t.lowerBounds, shard)
	}
}

// MarkRecordsFresh notes that all records were observed by a read that began after a
// shard was acquired. The holder before may have given allocations away up to then, and
// this process need not know of it.
func (m *Manager) MarkRecordsFresh(shard string) {
	if h := m.heldShards[shard]; h != nil {
		h.recordsFresh = true
	}
}

// MarkReconciled notes that whatever an earlier holder of a shard may have spent is
// either counted here or proven lost.
func (m *Manager) MarkReconciled(shard string) {
	if h := m.heldShards[shard]; h != nil {
		h.reconciled = true
	}
}

// ready tells whether a shard's allocations may be spent and moved.
func (h *heldShard) ready() bool { return h != nil && h.recordsFresh && h.reconciled }

// account returns a team's account at a held shard, or nil.
func (m *Manager) account(shard, name string) (*teamState, *account) {
	t, h := m.teams[name], m.heldShards[shard]
	if t == nil || h == nil {
		return t, nil
	}
	a := h.accounts[name]
	if a == nil {
		a = &account{}
		h.accounts[name] = a
	}
	return t, a
}

// Charge spends what runs already, or may, whatever the allocation.
func (m *Manager) Charge(shard, name string, amount Amount) {
	if t, a := m.account(shard, name); a != nil {
		a.spent = a.spent.Add(t.limitedPart(amount))
	}
}

// Release gives back what a replica used that is proven lost.
func (m *Manager) Release(shard, name string, amount Amount) {
	if t, a := m.account(shard, name); a != nil {
		a.spent = a.spent.Sub(t.limitedPart(amount)).NonNegative()
	}
}

// Admit spends an amount if the allocation has room for it, and tells whether it has.
func (m *Manager) Admit(shard, name string, amount Amount) bool {
	t, a := m.account(shard, name)
	if t == nil {
		return true // it has no limit
	}
	if a == nil {
		return false
	}
	limited := t.limitedPart(amount)
	if m.enforced && !limited.Within(m.available(shard, t, a)) {
		return false
	}
	a.spent = a.spent.Add(limited)
	a.admittedSinceUpdate = true
	return true
}

// AdmissibleCount returns how many more tasks of that amount would be admitted now.
func (m *Manager) AdmissibleCount(shard, name string, amount Amount) int {
	t, a := m.account(shard, name)
	if t == nil || !m.enforced {
		return unlimitedCount
	}
	if a == nil {
		return 0
	}
	return m.available(shard, t, a).quotient(t.limitedPart(amount))
}

// Spent is what a team uses at a held shard.
func (m *Manager) Spent(shard, name string) Amount {
	if _, a := m.account(shard, name); a != nil {
		return a.spent
	}
	return Amount{}
}

// Allocation is what a held shard certainly has of a team's limit, with the limit
// in force and the version of the record that says so.
func (m *Manager) Allocation(shard, name string) (allocation, limit Amount, version uint64) {
	t := m.teams[name]
	if t == nil {
		return Amount{}, Amount{}, 0
	}
	return t.allocation(shard), t.record.LimitInForce(t.Limit), t.version
}

// allocation is what a shard certainly has: what the record says, less what
// transfers under way may have taken.
func (t *teamState) allocation(shard string) Amount {
	a := t.record.Shares[shard].Allocation
	if lowerBound, ok := t.lowerBounds[shard]; ok {
		a = a.Min(lowerBound)
	}
	return a
}

// available is what may be spent now.
func (m *Manager) available(shard string, t *teamState, a *account) Amount {
	if !m.heldShards[shard].ready() || !t.recordKnown || t.recordUnreadable || !m.allSharesRegistered(t.record) {
		return Amount{}
	}
	if !t.record.Allocated().Within(t.record.LimitInForce(t.Limit)) {
		return Amount{}
	}
	most := t.allocation(shard)
	if a.ceiling != nil {
		most = most.Min(*a.ceiling)
	}
	return most.Sub(a.spent).NonNegative()
}

// divided tells whether every shard has its share in a team's record. A shard
// without one may have spent what nobody has counted.
func (m *Manager) allSharesRegistered(r Record) bool {
	for _, shard := range m.config.Shards {
		if _, ok := r.Shares[shard]; !ok {
			return false
		}
	}
	return true
}

// Observe takes a team's record as the state service has it. One that is older than the
// last changes nothing.
func (m *Manager) ObserveRecord(name string, r Record, version uint64) {
	t := m.teams[name]
	if t == nil || version <= t.version {
		return
	}
	// Whatever was sent on condition of an earlier version has been applied, and
	// then shows here, or never will be.
	t.record, t.version, t.recordKnown, t.recordUnreadable, t.outcomeUnknown = r, version, true, !r.valid(), false
	clear(t.lowerBounds)
}

// ObserveUnreadableRecord notes that a team's record can't be read: nothing of the team is
// admitted until an operator repairs it.
func (m *Manager) ObserveUnreadableRecord(name string, version uint64) {
	if t := m.teams[name]; t != nil && version > t.version {
		t.version, t.recordUnreadable = version, true
	}
}

// ObserveAbsentRecord notes that a team was read to have no record.
func (m *Manager) ObserveAbsentRecord(name string) {
	if t := m.teams[name]; t != nil && t.version == 0 {
		t.recordKnown = true
	}
}

// SetPending notes what the pending tasks at a held shard would use, and the smallest.
func (m *Manager) SetPending(shard, name string, pending, smallest Amount, now time.Duration) {
	t, a := m.account(shard, name)
	if a == nil {
		return
	}
	a.pending, a.smallestPending = t.limitedPart(pending), t.limitedPart(smallest)
	hasPending := !a.pending.IsZero()
	fits := hasPending && a.smallestPending.Within(m.available(shard, t, a))
	if a.admittedSinceUpdate || hasPending != a.hasPending {
		a.pendingSince = now
	}
	if fits != a.smallestFits || a.admittedSinceUpdate {
		a.idleSince = now
	}
	if fits && now-a.idleSince > idlePrecedenceTimeout {
		a.pendingSince, a.idleSince = now, now
	}
	a.hasPending, a.smallestFits, a.admittedSinceUpdate = hasPending, fits, false
}

// Blocked tells whether tasks of a team wait at a held shard and none fits its
// allocation.
func (m *Manager) Blocked(shard, name string) bool {
	_, a := m.account(shard, name)
	return a != nil && a.hasPending && !a.smallestFits
}

// desiredAllocation is what a held shard would like to have of a team's limit. A burst
// may take all that is free: what it has not spent yet goes to others as they ask for it.
func (t *teamState) desiredAllocation(a *account) Amount {
	return a.spent.Add(a.pending).Min(t.Limit.Max(a.spent))
}
