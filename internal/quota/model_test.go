package quota

import (
	"errors"
	"flag"
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// model simulates three controllers and a state service that loses answers, applies transactions
// late or twice, and notifies watchers late.
type model struct {
	t                   *rapid.T
	now                 time.Duration
	revision            uint64
	records             map[string]storedRecord
	keyVersions         map[string]uint64      // of the shard keys, by shard
	holders             map[string]*controller // by shard
	controllers         []*controller
	running             map[accountKey][]Amount // what runs on machines, whichever controller admitted it
	delayedTransactions []func()                // transactions that the network delays
	outage              bool
	admitted, takeovers int
	highestLimits       map[string]Amount // by team, the highest in any controller's settings so far
}

type storedRecord struct {
	record  Record
	version uint64
}

type controller struct {
	name                string
	manager             *Manager
	limit               Amount
	up                  bool
	paused              bool
	undeliveredRecords  []func()     // notifications of record changes that have not arrived
	undeliveredReleases []accountKey // tasks that ended, of which it has not been notified
	releaseAmounts      []Amount     // of undeliveredReleases, by index
	pending             map[accountKey]Amount
}

const modelStep = 100 * time.Millisecond

var (
	modelShards    = []string{"a", "b", "c"}
	modelTeams     = []string{"red", "blue"}
	modelLimit     = LimitOf(16, 4)
	modelTaskSizes = []Amount{AmountOf(1, 0), AmountOf(2, 1), AmountOf(3.5, 0), AmountOf(7, 2)}
)

func newModel(t *rapid.T) *model {
	m := &model{t: t, records: make(map[string]storedRecord), keyVersions: make(map[string]uint64), holders: make(map[string]*controller),
		running: make(map[accountKey][]Amount), highestLimits: make(map[string]Amount)}
	for _, name := range modelShards {
		m.controllers = append(m.controllers, &controller{name: name, limit: modelLimit})
	}
	for _, team := range modelTeams {
		m.highestLimits[team] = modelLimit
	}
	for _, c := range m.controllers {
		m.start(c)
		m.acquireShard(c, c.name)
	}
	return m
}

func (m *model) start(c *controller) {
	var teams []Team
	for _, name := range modelTeams {
		teams = append(teams, Team{Name: name, Limit: c.limit})
	}
	c.manager = New(Config{Shards: modelShards, Teams: teams, TransferInterval: modelStep, TeamsPerTransfer: 2})
	c.manager.SetEnforced(true)
	c.up, c.paused, c.undeliveredRecords, c.undeliveredReleases, c.releaseAmounts = true, false, nil, nil, nil
	c.pending = make(map[accountKey]Amount)
	for _, name := range modelTeams {
		m.readRecord(c, name)
	}
}

// readRecord passes the present record of a team to a controller.
func (m *model) readRecord(c *controller, team string) {
	if s, ok := m.records[team]; ok {
		c.manager.ObserveRecord(team, s.record, s.version)
	} else {
		c.manager.ObserveAbsentRecord(team)
	}
}

// acquireShard gives a shard to a controller that has the machines' proof of what runs: it
// charges all running tasks and reads the records.
func (m *model) acquireShard(c *controller, shard string) {
	m.revision++
	m.keyVersions[shard], m.holders[shard] = m.revision, c
	c.manager.AddHeldShard(shard, m.revision)
	for _, team := range modelTeams {
		for _, a := range m.running[accountKey{shard, team}] {
			c.manager.Charge(shard, team, a)
		}
	}
	for _, team := range modelTeams {
		m.readRecord(c, team)
	}
	c.manager.MarkRecordsFresh(shard)
	c.manager.MarkReconciled(shard)
	m.takeovers++
}

// commit applies a transaction if its conditions hold, and reports whether it did.
func (m *model) commit(transfer *Transfer) bool {
	for shard, version := range transfer.KeyVersions {
		if m.keyVersions[shard] != version {
			return false
		}
	}
	for _, change := range transfer.Teams {
		if m.records[change.Team].version != change.Version {
			return false
		}
	}
	m.revision++
	for _, change := range transfer.Teams {
		m.records[change.Team] = storedRecord{change.Record.clone(), m.revision}
		for _, c := range m.controllers {
			if c.up {
				stored := m.records[change.Team]
				c.undeliveredRecords = append(c.undeliveredRecords, func() { c.manager.ObserveRecord(change.Team, stored.record, stored.version) })
			}
		}
	}
	return true
}

// tick has a controller plan a transfer, and draws the outcome of the transaction.
func (m *model) tick(c *controller) {
	manager := c.manager
	for _, shard := range modelShards {
		for _, team := range modelTeams {
			pending := c.pending[accountKey{shard, team}]
			manager.SetPending(shard, team, pending, modelTaskSizes[0].Min(pending), m.now)
		}
	}
	manager.UpdateCeilings(m.now)
	transfer := manager.PlanTransfer(m.now)
	if transfer == nil {
		return
	}
	if m.outage {
		manager.TransferNotApplied()
		return
	}
	switch rapid.SampledFrom([]string{"answered", "answered", "answered", "answer lost", "applied late", "applied twice", "rejected", "never applied"}).Draw(m.t, "outcome") {
	case "answered":
		if m.commit(transfer) {
			manager.TransferApplied(m.revision)
			return
		}
		m.outcomeUnknown(c)
	case "answer lost":
		m.commit(transfer)
		m.outcomeUnknown(c)
	case "applied late":
		m.delayedTransactions = append(m.delayedTransactions, func() { m.commit(transfer) })
		m.outcomeUnknown(c)
	case "applied twice":
		m.delayedTransactions = append(m.delayedTransactions, func() { m.commit(transfer) })
		if m.commit(transfer) {
			manager.TransferApplied(m.revision)
			return
		}
		m.outcomeUnknown(c)
	case "rejected":
		manager.TransferNotApplied()
	case "never applied":
		m.outcomeUnknown(c)
	}
}

func (m *model) outcomeUnknown(c *controller) {
	for _, team := range c.manager.TransferOutcomeUnknown() {
		m.readRecord(c, team)
	}
}

func (m *model) drawController() *controller {
	return rapid.SampledFrom(m.controllers).Draw(m.t, "controller")
}

func (c *controller) active() bool { return c.up && !c.paused }

// drawLikely draws true in parts-1 of parts cases.
func (m *model) drawLikely(what string, parts int) bool {
	return rapid.IntRange(1, parts).Draw(m.t, what) > 1
}

func (m *model) actions() map[string]func(*rapid.T) {
	actions := map[string]func(*rapid.T){
		"simulate fault": func(*rapid.T) { m.injectFault() },
		"end tasks":      func(*rapid.T) { m.endTasks() },
		"late transaction": func(*rapid.T) {
			if len(m.delayedTransactions) > 0 { // it stays in the list and may be applied again
				m.delayedTransactions[rapid.IntRange(0, len(m.delayedTransactions)-1).Draw(m.t, "which")]()
			}
		},
		"": func(t *rapid.T) {
			if err := m.check(); err != nil {
				t.Fatal(err)
			}
		},
	}
	for i := range 5 {
		actions[fmt.Sprint("work ", i)] = func(*rapid.T) { m.work() }
	}
	return actions
}

// work lets one step of time pass, in which each active controller receives messages, plans and
// admits.
func (m *model) work() {
	m.now += modelStep
	for _, c := range m.controllers {
		if !c.active() {
			continue
		}
		if m.drawLikely("records arrive", 3) {
			for _, deliver := range c.undeliveredRecords {
				deliver()
			}
			c.undeliveredRecords = nil
		}
		if m.drawLikely("releases arrive", 3) {
			for i, key := range c.undeliveredReleases {
				c.manager.Release(key.shard, key.team, c.releaseAmounts[i])
			}
			c.undeliveredReleases, c.releaseAmounts = nil, nil
		}
		m.tick(c)
		m.sendDemands(c)
		m.admit(c)
	}
}

func (m *model) sendDemands(from *controller) {
	for _, d := range from.manager.Demands(m.now) {
		for _, to := range m.controllers {
			if to != from && to.active() && m.drawLikely("demand arrives", 4) {
				// A demand that the receiver rejects, such as one of a shard that it holds
				// itself, has no effect.
				if err := to.manager.ObserveDemand(d, m.now); err != nil && !errors.Is(err, ErrInvalidDemand) {
					m.t.Fatal(err)
				}
			}
		}
	}
}

// admit has a controller try to admit tasks for the shards that it holds.
func (m *model) admit(c *controller) {
	for _, shard := range modelShards {
		if m.holders[shard] != c || !m.drawLikely("task is submitted", 3) {
			continue
		}
		key := accountKey{shard, rapid.SampledFrom(modelTeams).Draw(m.t, "team")}
		size := rapid.SampledFrom(modelTaskSizes).Draw(m.t, "size")
		c.pending[key] = size.Mul(3)
		if c.manager.Admit(key.shard, key.team, size) {
			m.running[key] = append(m.running[key], size)
			m.admitted++
			delete(c.pending, key)
		}
	}
}

// endTasks ends some tasks; their holders are notified later.
func (m *model) endTasks() {
	for _, shard := range modelShards {
		for _, team := range modelTeams {
			key := accountKey{shard, team}
			tasks := m.running[key]
			if len(tasks) == 0 || !m.drawLikely("task ends", 2) {
				continue
			}
			if c := m.holders[shard]; c.up {
				c.undeliveredReleases, c.releaseAmounts = append(c.undeliveredReleases, key), append(c.releaseAmounts, tasks[0])
			}
			m.running[key] = tasks[1:]
		}
	}
}

func (m *model) injectFault() {
	switch rapid.SampledFrom([]string{"crash", "all crash", "pause", "pause", "resume", "takeover", "takeover", "outage", "limit"}).Draw(m.t, "fault") {
	case "crash":
		m.crash(m.drawController())
	case "all crash":
		m.crashAll()
	case "pause":
		m.drawController().paused = true
	case "resume":
		m.resume(m.drawController())
	case "takeover":
		for range m.controllers {
			m.takeOverShards(m.drawController())
		}
	case "outage":
		m.outage = !m.outage
	case "limit":
		m.changeLimit()
	}
}

func (m *model) crash(c *controller) { c.up = false }

func (m *model) crashAll() {
	for _, c := range m.controllers {
		c.up = false
	}
}

// resume continues a paused controller. It has lost the shards that others have acquired
// meanwhile; when it acquires a shard, it first reads the present records.
func (m *model) resume(c *controller) {
	if !c.paused || !c.up {
		return
	}
	c.paused = false
	for _, shard := range modelShards {
		if m.holders[shard] != c {
			c.manager.RemoveHeldShard(shard)
		}
	}
}

// takeOverShards gives the shards of an inactive controller to an active one. If the inactive
// one crashed, it is restarted first.
func (m *model) takeOverShards(inactive *controller) {
	if inactive.active() {
		return
	}
	if !inactive.up {
		m.start(inactive)
	}
	for _, c := range m.controllers {
		if !c.active() {
			continue
		}
		for _, shard := range modelShards {
			if m.holders[shard] == inactive {
				m.acquireShard(c, shard)
			}
		}
		return
	}
}

// changeLimit restarts a controller with another limit in its settings.
func (m *model) changeLimit() {
	c := m.drawController()
	c.limit = rapid.SampledFrom([]Amount{modelLimit, LimitOf(9, 4), LimitOf(12, 2)}).Draw(m.t, "limit")
	m.crash(c)
	m.start(c)
	for _, shard := range modelShards {
		if m.holders[shard] == c {
			m.acquireShard(c, shard)
		}
	}
}

// check returns an error if an invariant of the allocations is violated.
func (m *model) check() error {
	for _, team := range modelTeams {
		r := m.records[team].record
		if !r.Allocated().Within(m.highestLimits[team]) {
			return fmt.Errorf("%s: the sum of the allocations is %v, the limit is %v", team, r.Allocated(), m.highestLimits[team])
		}
		for _, shard := range modelShards {
			if err := m.checkShare(shard, team, r.Shares[shard].Allocation); err != nil {
				return err
			}
		}
	}
	return nil
}

func (m *model) checkShare(shard, team string, allocation Amount) error {
	var use Amount
	for _, a := range m.running[accountKey{shard, team}] {
		use = use.Add(a)
	}
	if !use.Within(allocation) {
		return fmt.Errorf("%s at %s: running tasks use %v, the allocation is %v", team, shard, use, allocation)
	}
	c := m.holders[shard]
	if !c.up || c.manager.heldShards[shard] == nil {
		return nil
	}
	if view, _, _ := c.manager.Allocation(shard, team); !view.Within(allocation) {
		return fmt.Errorf("%s at %s: the holder assumes an allocation of %v, the record has %v", team, shard, view, allocation)
	}
	return nil
}

// Even if messages and transactions are lost, delayed or repeated, no holder spends or relies on
// more than the record allocates to it, and the record never allocates more than the limit.
func TestAllocationsAreNeverExceeded(t *testing.T) {
	// The same runs each time, unless the command line sets other values.
	for name, value := range map[string]string{"rapid.checks": "400", "rapid.steps": "200", "rapid.seed": "1"} {
		if f := flag.Lookup(name); f.Value.String() != f.DefValue {
			continue
		}
		if err := flag.Set(name, value); err != nil {
			t.Fatal(err)
		}
	}
	admitted, transfers, takeovers := 0, uint64(0), 0
	rapid.Check(t, func(t *rapid.T) {
		m := newModel(t)
		t.Repeat(m.actions())
		admitted += m.admitted
		transfers += m.revision
		takeovers += m.takeovers
	})
	t.Logf("%d admissions, %d changes of the state service, %d takeovers", admitted, transfers, takeovers)
	if admitted < 1000 || transfers < 1000 || takeovers < 1000 {
		t.Error("the model did too little: fewer than 1000 admissions, changes or takeovers")
	}
}

// The check of the model detects managers that admit tasks beyond their allocations.
func TestModelDetectsExceededAllocation(t *testing.T) {
	m := newModel(nil)
	if err := m.check(); err != nil {
		t.Fatal(err)
	}
	for _, c := range m.controllers {
		c.manager.SetEnforced(false)
		if size := AmountOf(7, 2); c.manager.Admit(c.name, "red", size) {
			key := accountKey{c.name, "red"}
			m.running[key] = append(m.running[key], size)
		}
	}
	if m.check() == nil {
		t.Fatal("the allocations are exceeded and check found nothing")
	}
}
