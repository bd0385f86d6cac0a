package quota

import (
	"errors"
	"flag"
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// model is three controllers around a state service that loses answers, applies
// transactions late or twice, and tells its watchers late.
type model struct {
	t                   *rapid.T
	now                 time.Duration
	revision            uint64
	records             map[string]storedRecord
	keyVersions         map[string]uint64 // by shard
	holders             map[string]*controller
	controllers         []*controller
	running             map[accountKey][]Amount // what machines hold, whoever admitted it
	delayedTransactions []func()                // transactions that the network holds
	outage              bool
	admitted, takeovers int
	highestLimits       map[string]Amount // the highest that any holder's settings have named
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
	frozen              bool
	undeliveredRecords  []func()     // news of records that have not arrived
	undeliveredReleases []accountKey // ends that it has not been told of, with amounts
	releaseAmounts      []Amount
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
	c.up, c.frozen, c.undeliveredRecords, c.undeliveredReleases, c.releaseAmounts = true, false, nil, nil, nil
	c.pending = make(map[accountKey]Amount)
	for _, name := range modelTeams {
		m.readRecord(c, name)
	}
}

// read tells a controller what the state service has now.
func (m *model) readRecord(c *controller, team string) {
	if s, ok := m.records[team]; ok {
		c.manager.ObserveRecord(team, s.record, s.version)
	} else {
		c.manager.ObserveAbsentRecord(team)
	}
}

// acquireShard gives a shard to a controller, which counts what runs and has the
// machines' proof of it.
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

// commit carries a transaction out if its conditions hold.
func (m *model) commit(x *Transfer) bool {
	for shard, fence := range x.KeyVersions {
		if m.keyVersions[shard] != fence {
			return false
		}
	}
	for _, tt := range x.Teams {
		if m.records[tt.Team].version != tt.Version {
			return false
		}
	}
	m.revision++
	for _, tt := range x.Teams {
		m.records[tt.Team] = storedRecord{tt.Record.clone(), m.revision}
		for _, c := range m.controllers {
			if c.up {
				at := m.records[tt.Team]
				c.undeliveredRecords = append(c.undeliveredRecords, func() { c.manager.ObserveRecord(tt.Team, at.record, at.version) })
			}
		}
	}
	return true
}

// tick has a controller plan, and decides what becomes of its transaction.
func (m *model) tick(c *controller) {
	mgr := c.manager
	for _, shard := range modelShards {
		for _, team := range modelTeams {
			w := c.pending[accountKey{shard, team}]
			mgr.SetPending(shard, team, w, modelTaskSizes[0].Min(w), m.now)
		}
	}
	mgr.UpdateCeilings(m.now)
	x := mgr.PlanTransfer(m.now)
	if x == nil {
		return
	}
	if m.outage {
		mgr.TransferNotApplied()
		return
	}
	switch rapid.SampledFrom([]string{"answered", "answered", "answered", "lost", "late", "twice", "refused", "never"}).Draw(m.t, "outcome") {
	case "answered":
		if m.commit(x) {
			mgr.TransferApplied(m.revision)
			return
		}
		m.outcomeUnknown(c)
	case "lost":
		m.commit(x)
		m.outcomeUnknown(c)
	case "late":
		m.delayedTransactions = append(m.delayedTransactions, func() { m.commit(x) })
		m.outcomeUnknown(c)
	case "twice":
		m.delayedTransactions = append(m.delayedTransactions, func() { m.commit(x) })
		if m.commit(x) {
			mgr.TransferApplied(m.revision)
			return
		}
		m.outcomeUnknown(c)
	case "refused":
		mgr.TransferNotApplied()
	case "never":
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

func (c *controller) active() bool { return c.up && !c.frozen }

func (m *model) drawLikely(what string, parts int) bool {
	return rapid.IntRange(1, parts).Draw(m.t, what) > 1
}

func (m *model) actions() map[string]func(*rapid.T) {
	actions := map[string]func(*rapid.T){
		"trouble": func(*rapid.T) { m.injectFault() },
		"end":     func(*rapid.T) { m.endTasks() },
		"late": func(*rapid.T) {
			if len(m.delayedTransactions) > 0 { // it stays, and may be carried out again
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

// work has each controller that acts do what it does all the time.
func (m *model) work() {
	m.now += modelStep
	for _, c := range m.controllers {
		if !c.active() {
			continue
		}
		if m.drawLikely("news arrive", 3) {
			for _, tell := range c.undeliveredRecords {
				tell()
			}
			c.undeliveredRecords = nil
		}
		if m.drawLikely("proofs arrive", 3) {
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
				// One that the receiver may not take, as of a shard that it holds itself, changes nothing.
				if err := to.manager.ObserveDemand(d, m.now); err != nil && !errors.Is(err, ErrInvalidDemand) {
					m.t.Fatal(err)
				}
			}
		}
	}
}

// admit has a controller try to admit tasks at the shards that it holds.
func (m *model) admit(c *controller) {
	for _, shard := range modelShards {
		if m.holders[shard] != c || !m.drawLikely("work comes", 3) {
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

// end ends a task; its holder is told later.
func (m *model) endTasks() {
	for _, shard := range modelShards {
		for _, team := range modelTeams {
			key := accountKey{shard, team}
			tasks := m.running[key]
			if len(tasks) == 0 || !m.drawLikely("ends", 2) {
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
	switch rapid.SampledFrom([]string{"crash", "all crash", "freeze", "freeze", "wake", "takeover", "takeover", "outage", "limit"}).Draw(m.t, "trouble") {
	case "crash":
		m.crash(m.drawController())
	case "all crash":
		m.crashAll()
	case "freeze":
		m.drawController().frozen = true
	case "wake":
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

// wake has a controller go on. It has lost the shards that were taken from it, and
// what it reads first is the present state.
func (m *model) resume(c *controller) {
	if !c.frozen || !c.up {
		return
	}
	c.frozen = false
	for _, shard := range modelShards {
		if m.holders[shard] != c {
			c.manager.RemoveHeldShard(shard)
		}
	}
}

// takeOverShards has a controller that acts take what one has that does not; a crashed one
// comes back.
func (m *model) takeOverShards(lost *controller) {
	if lost.active() {
		return
	}
	if !lost.up {
		m.start(lost)
	}
	for _, c := range m.controllers {
		if !c.active() {
			continue
		}
		for _, shard := range modelShards {
			if m.holders[shard] == lost {
				m.acquireShard(c, shard)
			}
		}
		return
	}
}

// changeLimit restarts a controller with another limit.
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

// check tells what is not as it has to be at every moment.
func (m *model) check() error {
	for _, team := range modelTeams {
		r := m.records[team].record
		if !r.Allocated().Within(m.highestLimits[team]) {
			return fmt.Errorf("%s: allocations of %v in all, the limit is %v", team, r.Allocated(), m.highestLimits[team])
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
		return fmt.Errorf("%s at %s: %v runs out of an allocation of %v", team, shard, use, allocation)
	}
	c := m.holders[shard]
	if !c.up || c.manager.heldShards[shard] == nil {
		return nil
	}
	if view, _, _ := c.manager.Allocation(shard, team); !view.Within(allocation) {
		return fmt.Errorf("%s at %s: the holder counts on %v of %v", team, shard, view, allocation)
	}
	return nil
}

// Whatever is lost, late or repeated, no holder spends or counts on more than the
// record gives it, and the record never divides more than the limit.
func TestAllocationsAreNeverExceeded(t *testing.T) {
	// The same days each time, unless others are asked for on the command line.
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
		t.Error("the model hardly did anything")
	}
}

// The check finds managers that don't go by their allocations.
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
		t.Fatal("the limit is exceeded and nothing shows it")
	}
}
