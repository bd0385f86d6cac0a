package quota

import (
	"maps"
	"slices"
	"time"
)

const (
	// idlePrecedenceTimeout is how long a shard keeps its precedence among the shards with unmet
	// demands while it admits nothing although its allocation has room for its smallest pending
	// task.
	idlePrecedenceTimeout = 20 * time.Second
	// unlimitedCount is the count of admissible tasks where no limit applies.
	unlimitedCount = 1 << 30
)

// Team is a team with a limit, of which one part may be Unlimited.
type Team struct {
	Name  string
	Limit Amount
}

// Config describes a deployment.
type Config struct {
	Shards []string // all shards that exist or may be created
	Teams  []Team   // those with a limit
	// TransferInterval is the minimum time between two transactions of this process.
	TransferInterval time.Duration
	// TeamsPerTransfer is the maximum number of teams' records in one transaction.
	TeamsPerTransfer int
}

// Manager holds this process's view of all teams' allocations. It is not safe for concurrent
// use. All times are on the caller's monotonic clock.
type Manager struct {
	config         Config
	teams          map[string]*teamState
	teamNames      []string // sorted
	heldShards     map[string]*heldShard
	demands        map[accountKey]receivedDemand // of other holders
	enforced       bool
	inFlight       *Transfer // the transfer whose outcome is not known yet; nil: none
	nextTransferAt time.Duration
	nextTeamIndex  int // in teamNames, where the next plan begins
}

// accountKey identifies the account of a team at a shard.
type accountKey struct{ shard, team string }

// teamState is a team with its durable record as last observed.
type teamState struct {
	Team
	record           Record
	version          uint64 // of the record; 0 while none was observed
	recordKnown      bool   // the record was read, or is known not to exist
	recordUnreadable bool   // the record can't be decoded or is invalid
	outcomeUnknown   bool   // a transfer conditional on this version may have been applied, or may still be
	// lowerBounds has what held shards are guaranteed to have while transfers that reduce their
	// allocations may have been applied, or may still be. Without an entry the record's
	// allocation is guaranteed.
	lowerBounds map[string]Amount
}

// heldShard is a shard that this process holds.
type heldShard struct {
	keyVersion   uint64 // version of the shard's key
	recordsFresh bool   // the records were read after the shard was acquired
	reconciled   bool   // everything that earlier holders may have spent is counted here or proven lost
	accounts     map[string]*account
}

// account is a team's use and demand at a held shard.
type account struct {
	spent           Amount // by replicas admitted or charged and not released
	pending         Amount // the sum of the pending tasks
	smallestPending Amount // the smallest pending task
	// pendingSince is when tasks became pending, the last task was admitted, or the account lost
	// its precedence, whichever was last.
	pendingSince time.Duration
	// idleSince is when smallestFits last changed, the last task was admitted, or the account
	// lost its precedence, whichever was last.
	idleSince                time.Duration
	hasPending, smallestFits bool    // smallestFits: the allocation has room for the smallest pending task
	admittedSinceUpdate      bool    // since the last SetPending
	ceiling                  *Amount // bounds spent while another shard lacks its fair share; nil: no bound
}

// New returns a manager that has observed no record yet.
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

// HasLimit reports whether a team has a limit.
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

// SetEnforced sets whether admission is bounded by allocations. It may be true only while every
// member divides limits as this one does. While it is false, tasks are counted and all are
// admitted, regardless of allocations.
func (m *Manager) SetEnforced(enforced bool) { m.enforced = enforced }

// Enforced reports whether admission is bounded by allocations.
func (m *Manager) Enforced() bool { return m.enforced }

// AddHeldShard records that this process has acquired a shard; keyVersion is the version of the
// shard's key. Nothing is admitted for the shard until both MarkRecordsFresh and MarkReconciled
// were called for it.
func (m *Manager) AddHeldShard(shard string, keyVersion uint64) {
	m.heldShards[shard] = &heldShard{keyVersion: keyVersion, accounts: make(map[string]*account)}
}

// UpdateKeyVersion records a new version of a held shard's key.
func (m *Manager) UpdateKeyVersion(shard string, keyVersion uint64) {
	if h := m.heldShards[shard]; h != nil {
		h.keyVersion = keyVersion
	}
}

// RemoveHeldShard records that this process no longer holds a shard.
func (m *Manager) RemoveHeldShard(shard string) {
	delete(m.heldShards, shard)
	for _, t := range m.teams {
		delete(t.lowerBounds, shard)
	}
}

// MarkRecordsFresh records that all teams' records were observed by a read that began after the
// shard was acquired. Until the acquisition the previous holder may have transferred allocations
// of the shard to others, which this process may not have observed.
func (m *Manager) MarkRecordsFresh(shard string) {
	if h := m.heldShards[shard]; h != nil {
		h.recordsFresh = true
	}
}

// MarkReconciled records that everything earlier holders of a shard may have spent is either
// counted here or proven lost.
func (m *Manager) MarkReconciled(shard string) {
	if h := m.heldShards[shard]; h != nil {
		h.reconciled = true
	}
}

// ready reports whether the shard's allocations may be spent and transferred.
func (h *heldShard) ready() bool { return h != nil && h.recordsFresh && h.reconciled }

// account returns a team and its account at a shard. The team is nil if it has no limit, the
// account if it has no limit or the shard is not held.
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

// Charge counts replicas that run already, or may run, even beyond the allocation.
func (m *Manager) Charge(shard, name string, amount Amount) {
	if t, a := m.account(shard, name); a != nil {
		a.spent = a.spent.Add(t.limitedPart(amount))
	}
}

// Release subtracts what a replica used that is proven lost.
func (m *Manager) Release(shard, name string, amount Amount) {
	if t, a := m.account(shard, name); a != nil {
		a.spent = a.spent.Sub(t.limitedPart(amount)).NonNegative()
	}
}

// Admit counts an amount as spent if the allocation has room for it, and reports whether it has.
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

// Spent returns what a team uses at a held shard.
func (m *Manager) Spent(shard, name string) Amount {
	if _, a := m.account(shard, name); a != nil {
		return a.spent
	}
	return Amount{}
}

// Allocation returns what a held shard is guaranteed to have of a team's limit, the limit in
// force, and the version of the record that both are based on.
func (m *Manager) Allocation(shard, name string) (allocation, limit Amount, version uint64) {
	t := m.teams[name]
	if t == nil {
		return Amount{}, Amount{}, 0
	}
	return t.allocation(shard), t.record.LimitInForce(t.Limit), t.version
}

// allocation returns what a shard is guaranteed to have: its allocation in the record, less what
// transfers of unknown outcome may have taken.
func (t *teamState) allocation(shard string) Amount {
	a := t.record.Shares[shard].Allocation
	if lowerBound, ok := t.lowerBounds[shard]; ok {
		a = a.Min(lowerBound)
	}
	return a
}

// available returns how much more may be spent now.
func (m *Manager) available(shard string, t *teamState, a *account) Amount {
	if !m.heldShards[shard].ready() || !t.recordKnown || t.recordUnreadable || !m.allSharesRegistered(t.record) {
		return Amount{}
	}
	if !t.record.Allocated().Within(t.record.LimitInForce(t.Limit)) {
		return Amount{}
	}
	spendable := t.allocation(shard)
	if a.ceiling != nil {
		spendable = spendable.Min(*a.ceiling)
	}
	return spendable.Sub(a.spent).NonNegative()
}

// allSharesRegistered reports whether every shard has a share in a team's record. The holder of
// a shard without one may have spent amounts that no record counts.
func (m *Manager) allSharesRegistered(r Record) bool {
	for _, shard := range m.config.Shards {
		if _, ok := r.Shares[shard]; !ok {
			return false
		}
	}
	return true
}

// ObserveRecord records a team's record as stored in the state service. A version that is not
// newer than the last one observed is ignored.
func (m *Manager) ObserveRecord(name string, r Record, version uint64) {
	t := m.teams[name]
	if t == nil || version <= t.version {
		return
	}
	// A transfer conditional on an earlier version either was applied and is included in this
	// record, or can't be applied any more.
	t.record, t.version, t.recordKnown, t.recordUnreadable, t.outcomeUnknown = r, version, true, !r.valid(), false
	clear(t.lowerBounds)
}

// ObserveUnreadableRecord records that a team's record can't be read. Nothing of the team is
// admitted until an operator repairs the record.
func (m *Manager) ObserveUnreadableRecord(name string, version uint64) {
	if t := m.teams[name]; t != nil && version > t.version {
		t.version, t.recordUnreadable = version, true
	}
}

// ObserveAbsentRecord records that a read has found no record of a team.
func (m *Manager) ObserveAbsentRecord(name string) {
	if t := m.teams[name]; t != nil && t.version == 0 {
		t.recordKnown = true
	}
}

// SetPending records the sum of the pending tasks of a team at a held shard, and the smallest of
// them.
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

// Blocked reports whether a team has pending tasks at a held shard and none of them fits its
// allocation.
func (m *Manager) Blocked(shard, name string) bool {
	_, a := m.account(shard, name)
	return a != nil && a.hasPending && !a.smallestFits
}

// desiredAllocation returns the allocation that a held shard asks for. A burst of tasks may take
// all that is unallocated: what is not spent yet is transferred to other shards when they ask
// for it.
func (t *teamState) desiredAllocation(a *account) Amount {
	return a.spent.Add(a.pending).Min(t.Limit.Max(a.spent))
}
