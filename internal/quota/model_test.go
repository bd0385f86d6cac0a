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
	records             map[string]stored
	fences              map[string]uint64 // by shard
	holder              map[string]*controller
	nodes               []*controller
	running             map[accountKey][]Amount // what machines hold, whoever admitted it
	late                []func()                // transactions that the network holds
	outage              bool
	admitted, takeovers int
	limits              map[string]Amount // the highest that any holder's settings have named
}

type stored struct {
	record  Record
	version uint64
}

type controller struct {
	name     string
	manager  *Manager
	limit    Amount
	up       bool
	frozen   bool
	unread   []func()     // news of records that have not arrived
	releases []accountKey // ends that it has not been told of, with amounts
	amounts  []Amount
	waiting  map[accountKey]Amount
}

const modelStep = 100 * time.Millisecond

var (
	modelShards = []string{"a", "b", "c"}
	modelTeams  = []string{"red", "blue"}
	modelLimit  = LimitOf(16, 4)
	modelSizes  = []Amount{AmountOf(1, 0), AmountOf(2, 1), AmountOf(3.5, 0), AmountOf(7, 2)}
)

func newModel(t *rapid.T) *model {
	m := &model{t: t, records: make(map[string]stored), fences: make(map[string]uint64), holder: make(map[string]*controller),
		running: make(map[accountKey][]Amount), limits: make(map[string]Amount)}
	for _, name := range modelShards {
		m.nodes = append(m.nodes, &controller{name: name, limit: modelLimit})
	}
	for _, team := range modelTeams {
		m.limits[team] = modelLimit
	}
	for _, c := range m.nodes {
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
	c.up, c.frozen, c.unread, c.releases, c.amounts = true, false, nil, nil, nil
	c.waiting = make(map[accountKey]Amount)
	for _, name := range modelTeams {
		m.read(c, name)
	}
}

// read tells a controller what the state service has now.
func (m *model) read(c *controller, team string) {
	if s, ok := m.records[team]; ok {
		c.manager.Observe(team, s.record, s.version)
	} else {
		c.manager.ObserveAbsent(team)
	}
}

// acquireShard gives a shard to a controller, which counts what runs and has the
// machines' proof of it.
func (m *model) acquireShard(c *controller, shard string) {
	m.revision++
	m.fences[shard], m.holder[shard] = m.revision, c
	c.manager.AcquireShard(shard, m.revision)
	for _, team := range modelTeams {
		for _, a := range m.running[accountKey{shard, team}] {
			c.manager.Charge(shard, team, a)
		}
	}
	for _, team := range modelTeams {
		m.read(c, team)
	}
	c.manager.MarkRecordsFresh(shard)
	c.manager.MarkReconciled(shard)
	m.takeovers++
}

// commit carries a transaction out if its conditions hold.
func (m *model) commit(x *Transfer) bool {
	for shard, fence := range x.Fences {
		if m.fences[shard] != fence {
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
		m.records[tt.Team] = stored{tt.Record.copyForChange(), m.revision}
		for _, c := range m.nodes {
			if c.up {
				at := m.records[tt.Team]
				c.unread = append(c.unread, func() { c.manager.Observe(tt.Team, at.record, at.version) })
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
			w := c.waiting[accountKey{shard, team}]
			mgr.SetPending(shard, team, w, modelSizes[0].Min(w), m.now)
		}
	}
	mgr.Balance(m.now)
	x := mgr.Plan(m.now)
	if x == nil {
		return
	}
	if m.outage {
		mgr.NotApplied()
		return
	}
	switch rapid.SampledFrom([]string{"answered", "answered", "answered", "lost", "late", "twice", "refused", "never"}).Draw(m.t, "outcome") {
	case "answered":
		if m.commit(x) {
			mgr.Applied(m.revision)
			return
		}
		m.outcomeUnknown(c)
	case "lost":
		m.commit(x)
		m.outcomeUnknown(c)
	case "late":
		m.late = append(m.late, func() { m.commit(x) })
		m.outcomeUnknown(c)
	case "twice":
		m.late = append(m.late, func() { m.commit(x) })
		if m.commit(x) {
			mgr.Applied(m.revision)
			return
		}
		m.outcomeUnknown(c)
	case "refused":
		mgr.NotApplied()
	case "never":
		m.outcomeUnknown(c)
	}
}

func (m *model) outcomeUnknown(c *controller) {
	for _, team := range c.manager.OutcomeUnknown() {
		m.read(c, team)
	}
}

func (m *model) node() *controller { return rapid.SampledFrom(m.nodes).Draw(m.t, "controller") }

func (c *controller) acts() bool { return c.up && !c.frozen }

func (m *model) often(what string, parts int) bool {
	return rapid.IntRange(1, parts).Draw(m.t, what) > 1
}

func (m *model) actions() map[string]func(*rapid.T) {
	actions := map[string]func(*rapid.T){
		"trouble": func(*rapid.T) { m.trouble() },
		"end":     func(*rapid.T) { m.end() },
		"late": func(*rapid.T) {
			if len(m.late) > 0 { // it stays, and may be carried out again
				m.late[rapid.IntRange(0, len(m.late)-1).Draw(m.t, "which")]()
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
	for _, c := range m.nodes {
		if !c.acts() {
			continue
		}
		if m.often("news arrive", 3) {
			for _, tell := range c.unread {
				tell()
			}
			c.unread = nil
		}
		if m.often("proofs arrive", 3) {
			for i, key := range c.releases {
				c.manager.Release(key.shard, key.team, c.amounts[i])
			}
			c.releases, c.amounts = nil, nil
		}
		m.tick(c)
		m.sendDemands(c)
		m.admit(c)
	}
}

func (m *model) sendDemands(from *controller) {
	for _, d := range from.manager.Demands(m.now) {
		for _, to := range m.nodes {
			if to != from && to.acts() && m.often("demand arrives", 4) {
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
		if m.holder[shard] != c || !m.often("work comes", 3) {
			continue
		}
		key := accountKey{shard, rapid.SampledFrom(modelTeams).Draw(m.t, "team")}
		size := rapid.SampledFrom(modelSizes).Draw(m.t, "size")
		c.waiting[key] = size.Mul(3)
		if c.manager.Admit(key.shard, key.team, size) {
			m.running[key] = append(m.running[key], size)
			m.admitted++
			delete(c.waiting, key)
		}
	}
}

// end ends a task; its holder is told later.
func (m *model) end() {
	for _, shard := range modelShards {
		for _, team := range modelTeams {
			key := accountKey{shard, team}
			tasks := m.running[key]
			if len(tasks) == 0 || !m.often("ends", 2) {
				continue
			}
			if c := m.holder[shard]; c.up {
				c.releases, c.amounts = append(c.releases, key), append(c.amounts, tasks[0])
			}
			m.running[key] = tasks[1:]
		}
	}
}

func (m *model) trouble() {
	switch rapid.SampledFrom([]string{"crash", "all crash", "freeze", "freeze", "wake", "takeover", "takeover", "outage", "limit"}).Draw(m.t, "trouble") {
	case "crash":
		m.crash(m.node())
	case "all crash":
		m.crashAll()
	case "freeze":
		m.node().frozen = true
	case "wake":
		m.wake(m.node())
	case "takeover":
		for range m.nodes {
			m.recoverShard(m.node())
		}
	case "outage":
		m.outage = !m.outage
	case "limit":
		m.changeLimit()
	}
}

func (m *model) crash(c *controller) { c.up = false }

func (m *model) crashAll() {
	for _, c := range m.nodes {
		c.up = false
	}
}

// wake has a controller go on. It has lost the shards that were taken from it, and
// what it reads first is the present state.
func (m *model) wake(c *controller) {
	if !c.frozen || !c.up {
		return
	}
	c.frozen = false
	for _, shard := range modelShards {
		if m.holder[shard] != c {
			c.manager.ReleaseShard(shard)
		}
	}
}

// recoverShard has a controller that acts take what one has that does not; a crashed one
// comes back.
func (m *model) recoverShard(lost *controller) {
	if lost.acts() {
		return
	}
	if !lost.up {
		m.start(lost)
	}
	for _, c := range m.nodes {
		if !c.acts() {
			continue
		}
		for _, shard := range modelShards {
			if m.holder[shard] == lost {
				m.acquireShard(c, shard)
			}
		}
		return
	}
}

// changeLimit restarts a controller with another limit.
func (m *model) changeLimit() {
	c := m.node()
	c.limit = rapid.SampledFrom([]Amount{modelLimit, LimitOf(9, 4), LimitOf(12, 2)}).Draw(m.t, "limit")
	m.crash(c)
	m.start(c)
	for _, shard := range modelShards {
		if m.holder[shard] == c {
			m.acquireShard(c, shard)
		}
	}
}

// check tells what is not as it has to be at every moment.
func (m *model) check() error {
	for _, team := range modelTeams {
		r := m.records[team].record
		if !r.Allocated().Within(m.limits[team]) {
			return fmt.Errorf("%s: allocations of %v in all, the limit is %v", team, r.Allocated(), m.limits[team])
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
	c := m.holder[shard]
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
func TestModelFindsABrokenManager(t *testing.T) {
	m := newModel(nil)
	if err := m.check(); err != nil {
		t.Fatal(err)
	}
	for _, c := range m.nodes {
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
