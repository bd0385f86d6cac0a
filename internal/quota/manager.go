package quota

import (
	"maps"
	"slices"
	"time"
)

// Team is a team with a limit, of which one part may be Unlimited.
type Team struct {
	Name  string
	Limit Amount
}

// Config describes a deployment.
type Config struct {
	Ledgers []string // every ledger that there is or may be
	Teams   []Team   // those with a limit
	// TransferInterval is the least time between two transactions of this process.
	TransferInterval time.Duration
	// TeamsPerTransfer is how many teams' records go into one transaction.
	TeamsPerTransfer int
}

// Manager holds this process's view of all teams' allocations.
type Manager struct {
	config   Config
	teams    map[string]*team
	order    []string // of teams, by name
	held     map[string]*holding
	demands  map[accountKey]heardDemand
	relied   bool
	inFlight *Transfer
	nextAt   time.Duration
	cursor   int // where the next plan begins among the teams
}

// accountKey names a team at a ledger.
type accountKey struct{ ledger, team string }

// team is one team's durable record as last seen.
type team struct {
	Team
	record Record
	stamp  uint64 // of the record; 0 while there is none
	known  bool   // it was read, or is known to be missing
	broken bool   // it can't be read
	unsure bool   // a transfer on condition of the stamp may have been applied, or may be later
	// floors bound the allocations of held ledgers while transfers that take from
	// them may have been applied, or may still be.
	floors map[string]Amount
}

// holding is a ledger that this process holds.
type holding struct {
	fence    uint64 // stamp of the ledger's key
	fresh    bool   // the records were read after it was taken
	complete bool   // all that earlier holders may have spent is counted or proven gone
	accounts map[string]*account
}

// account is a team's use at a held ledger.
type account struct {
	spent   Amount
	waiting Amount // what tasks that wait would use
	least   Amount // the smallest of them
	// since is when tasks began to wait, or the last was admitted, or the account lost
	// its turn; usable is since when the allocation has had room for one.
	since, usable time.Duration
	waits, fits   bool
	admitted      bool    // since the last Want
	ceiling       *Amount // while other ledgers lack their part; nil: none
}

// New makes a manager that has read nothing yet.
func New(config Config) *Manager {
	m := &Manager{config: config, teams: make(map[string]*team), held: make(map[string]*holding), demands: make(map[accountKey]heardDemand)}
	for _, t := range config.Teams {
		m.teams[t.Name] = &team{Team: t, floors: make(map[string]Amount)}
	}
	m.order = slices.Sorted(maps.Keys(m.teams))
	return m
}

// Limited tells whether a team has a limit.
func (m *Manager) Limited(name string) bool { return m.teams[name] != nil }

// Bounded leaves of an amount what a team's limit bounds.
func (m *Manager) Bounded(name string, amount Amount) Amount {
	t := m.teams[name]
	if t == nil {
		return Amount{}
	}
	return t.bounded(amount)
}

// bounded leaves of an amount what the team's limit bounds.
func (t *team) bounded(a Amount) Amount {
	if t.Limit.CPUs == Unlimited {
		a.CPUs = 0
	}
	if t.Limit.GPUs == Unlimited {
		a.GPUs = 0
	}
	return a
}

// Rely says whether every member divides limits as this one does. Until then tasks
// are counted, and admitted whatever the allocations say.
func (m *Manager) Rely(all bool) { m.relied = all }

// Relied tells whether admission goes by allocations.
func (m *Manager) Relied() bool { return m.relied }

// Open notes that this process has taken a ledger. Nothing is admitted for it until
// Fresh and Complete.
func (m *Manager) Open(ledger string, fence uint64) {
	m.held[ledger] = &holding{fence: fence, accounts: make(map[string]*account)}
}

// Refence notes that a held ledger's key has a new stamp.
func (m *Manager) Refence(ledger string, fence uint64) {
	if h := m.held[ledger]; h != nil {
		h.fence = fence
	}
}

// Close notes that a ledger is held no more.
func (m *Manager) Close(ledger string) {
	delete(m.held, ledger)
	for _, t := range m.teams {
		delete(t.floors, ledger)
	}
}

// Fresh notes that all records were observed by a read that began after a ledger was
// taken. The holder before may have given allocations away up to then, and this
// process need not have heard of it.
func (m *Manager) Fresh(ledger string) {
	if h := m.held[ledger]; h != nil {
		h.fresh = true
	}
}

// Complete notes that whatever an earlier holder of a ledger may have spent is
// either counted here or proven gone.
func (m *Manager) Complete(ledger string) {
	if h := m.held[ledger]; h != nil {
		h.complete = true
	}
}

// ready tells whether a ledger's allocations may be spent and moved.
func (h *holding) ready() bool { return h != nil && h.fresh && h.complete }

// account returns a team's account at a held ledger, or nil.
func (m *Manager) account(ledger, name string) (*team, *account) {
	t, h := m.teams[name], m.held[ledger]
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

// Count adds what runs already, or may: it is spent, whatever the allocation.
func (m *Manager) Count(ledger, name string, amount Amount) {
	if t, a := m.account(ledger, name); a != nil {
		a.spent = a.spent.Plus(t.bounded(amount))
	}
}

// Release gives back what a task used that is proven gone.
func (m *Manager) Release(ledger, name string, amount Amount) {
	if t, a := m.account(ledger, name); a != nil {
		a.spent = a.spent.Minus(t.bounded(amount)).Positive()
	}
}

// Admit spends an amount if the allocation has room for it.
func (m *Manager) Admit(ledger, name string, amount Amount) bool {
	t, a := m.account(ledger, name)
	if t == nil {
		return true // it has no limit
	}
	if a == nil {
		return false
	}
	need := t.bounded(amount)
	if m.relied && !need.Within(m.available(ledger, t, a)) {
		return false
	}
	a.spent = a.spent.Plus(need)
	a.admitted = true
	return true
}

// Fits is how many more tasks of a size would be admitted now.
func (m *Manager) Fits(ledger, name string, amount Amount) int {
	t, a := m.account(ledger, name)
	if t == nil || !m.relied {
		return unboundedFits
	}
	if a == nil {
		return 0
	}
	return m.available(ledger, t, a).contains(t.bounded(amount))
}

// unboundedFits stands for no bound.
const unboundedFits = 1 << 30

// Spent is what a team uses at a held ledger.
func (m *Manager) Spent(ledger, name string) Amount {
	if _, a := m.account(ledger, name); a != nil {
		return a.spent
	}
	return Amount{}
}

// Allocation is what a held ledger certainly has of a team's limit, with the limit
// in force and the stamp of the record that says so.
func (m *Manager) Allocation(ledger, name string) (allocation, limit Amount, stamp uint64) {
	t := m.teams[name]
	if t == nil {
		return Amount{}, Amount{}, 0
	}
	return t.allocation(ledger), t.record.LimitInForce(t.Limit), t.stamp
}

// allocation is what a ledger certainly has: what the record says, less what
// transfers under way may have taken.
func (t *team) allocation(ledger string) Amount {
	a := t.record.Shares[ledger].Allocation
	if floor, ok := t.floors[ledger]; ok {
		a = a.Min(floor)
	}
	return a
}

// available is what may be spent now.
func (m *Manager) available(ledger string, t *team, a *account) Amount {
	if !m.held[ledger].ready() || !t.known || t.broken || !m.divided(t.record) || !t.record.Allocated().Within(t.record.LimitInForce(t.Limit)) {
		return Amount{}
	}
	most := t.allocation(ledger)
	if a.ceiling != nil {
		most = most.Min(*a.ceiling)
	}
	return most.Minus(a.spent).Positive()
}

// divided tells whether every ledger has its share in a team's record. A ledger
// without one may have spent what nobody has counted.
func (m *Manager) divided(r Record) bool {
	for _, ledger := range m.config.Ledgers {
		if _, ok := r.Shares[ledger]; !ok {
			return false
		}
	}
	return true
}

// Observe takes a team's record as the state service has it. Older news changes
// nothing.
func (m *Manager) Observe(name string, r Record, stamp uint64) {
	t := m.teams[name]
	if t == nil || stamp <= t.stamp {
		return
	}
	// Whatever was sent on condition of an earlier stamp has been applied, and
	// then shows here, or never will be.
	t.record, t.stamp, t.known, t.broken, t.unsure = r, stamp, true, !r.valid(), false
	clear(t.floors)
}

// ObserveUnreadable notes that a team's record can't be read: nothing of the team is
// admitted until somebody puts it in order.
func (m *Manager) ObserveUnreadable(name string, stamp uint64) {
	if t := m.teams[name]; t != nil && stamp > t.stamp {
		t.stamp, t.broken = stamp, true
	}
}

// ObserveAbsent notes that a team had no record.
func (m *Manager) ObserveAbsent(name string) {
	if t := m.teams[name]; t != nil && t.stamp == 0 {
		t.known = true
	}
}

// unusedLasts is how long a holder keeps its turn without using the room that it has
// been given for a task.
const unusedLasts = 20 * time.Second

// Want notes what the tasks that wait at a held ledger would use, and the smallest.
func (m *Manager) Want(ledger, name string, waiting, least Amount, now time.Duration) {
	t, a := m.account(ledger, name)
	if a == nil {
		return
	}
	a.waiting, a.least = t.bounded(waiting), t.bounded(least)
	waits := !a.waiting.IsZero()
	fits := waits && a.least.Within(m.available(ledger, t, a))
	if a.admitted || waits != a.waits {
		a.since = now
	}
	if fits != a.fits || a.admitted {
		a.usable = now
	}
	if fits && now-a.usable > unusedLasts {
		a.since, a.usable = now, now
	}
	a.waits, a.fits, a.admitted = waits, fits, false
}

// Blocked tells whether tasks of a team wait at a held ledger and none fits its
// allocation.
func (m *Manager) Blocked(ledger, name string) bool {
	_, a := m.account(ledger, name)
	return a != nil && a.waits && !a.fits
}

// target is what a held ledger would like to have of a team's limit. A burst may take
// all that is free: what it has not spent yet goes to others as they ask for it.
func (t *team) target(a *account) Amount {
	return a.spent.Plus(a.waiting).Min(t.Limit.Max(a.spent))
}
