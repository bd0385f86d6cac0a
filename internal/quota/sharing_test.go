package quota

import (
	"errors"
	"fmt"
	"testing"
	"time"
)

// sharing plays three controllers whose state service is well, and tasks that end
// after a while, to see where allocations go.
type sharing struct {
	t         *testing.T
	now       time.Duration
	revision  uint64
	records   map[string]stored
	nodes     map[string]*Manager
	queues    map[string]int // pending tasks by shard
	size      Amount
	takes     time.Duration
	ends      map[string][]time.Duration
	started   map[string]int
	transfers int
}

const sharedTeam = "red"

func newSharing(t *testing.T, limit, size Amount, takes time.Duration) *sharing {
	s := &sharing{t: t, records: make(map[string]stored), nodes: make(map[string]*Manager), queues: make(map[string]int),
		size: size, takes: takes, ends: make(map[string][]time.Duration), started: make(map[string]int)}
	for i, name := range modelShards {
		s.nodes[name] = s.manager(limit)
		s.open(name, uint64(i+1))
	}
	return s
}

func (s *sharing) manager(limit Amount) *Manager {
	m := New(Config{Shards: modelShards, Teams: []Team{{Name: sharedTeam, Limit: limit}}, TransferInterval: 2 * modelStep, TeamsPerTransfer: 4})
	m.SetEnforced(true)
	m.ObserveAbsent(sharedTeam)
	return m
}

func (s *sharing) open(name string, fence uint64) {
	s.nodes[name].AcquireShard(name, fence)
	s.nodes[name].MarkRecordsFresh(name)
	s.nodes[name].MarkReconciled(name)
}

// play lets time pass; each controller starts what it can of its queue.
func (s *sharing) play(span time.Duration) {
	for end := s.now + span; s.now < end; {
		s.now += modelStep
		for _, name := range modelShards {
			s.step(name, s.nodes[name])
		}
	}
}

func (s *sharing) step(name string, m *Manager) {
	for len(s.ends[name]) > 0 && s.ends[name][0] <= s.now {
		s.ends[name] = s.ends[name][1:]
		m.Release(name, sharedTeam, s.size)
	}
	for s.queues[name] > 0 && m.Admit(name, sharedTeam, s.size) {
		s.queues[name]--
		s.started[name]++
		s.ends[name] = append(s.ends[name], s.now+s.takes)
	}
	m.SetPending(name, sharedTeam, s.size.Mul(s.queues[name]), s.size.Min(s.size.Mul(s.queues[name])), s.now)
	m.Balance(s.now)
	for _, d := range m.Demands(s.now) {
		for _, other := range s.nodes {
			if other == m {
				continue
			}
			if err := other.ObserveDemand(d, s.now); err != nil {
				s.t.Fatalf("demand %+v is refused: %v", d, err)
			}
		}
	}
	x := m.Plan(s.now)
	if x == nil {
		return
	}
	s.transfers++
	tt := x.Teams[0]
	if s.records[tt.Team].version != tt.Version {
		for _, team := range m.OutcomeUnknown() {
			m.Observe(team, s.records[team].record, s.records[team].version)
		}
		return
	}
	s.revision++
	s.records[tt.Team] = stored{tt.Record, s.revision}
	m.Applied(s.revision)
	for _, other := range s.nodes {
		other.Observe(tt.Team, tt.Record, s.revision)
	}
}

func (s *sharing) running(name string) int { return len(s.ends[name]) }

func (s *sharing) total() int { return s.running("a") + s.running("b") + s.running("c") }

// A team's room follows its work to another controller within seconds.
func TestAllocationFollowsDemand(t *testing.T) {
	s := newSharing(t, LimitOf(32, 0), AmountOf(2, 0), 20*time.Second)
	s.queues["a"] = 16
	s.play(4 * time.Second)
	if got := s.running("a"); got != 16 {
		t.Fatalf("%d tasks run at a, want the whole limit", got)
	}
	s.play(20 * time.Second)
	s.queues["b"] = 16
	s.play(3 * time.Second)
	if got := s.running("b"); got != 16 {
		t.Fatalf("%d tasks run at b 3 s after the work moved there, want the whole limit", got)
	}
}

// A controller whose users always have more work doesn't keep the others from their
// part; once all have it, allocations stay where they are.
func TestBusyHolderStarvesNobody(t *testing.T) {
	s := newSharing(t, LimitOf(48, 0), AmountOf(2, 0), 3*time.Second)
	s.queues["a"] = 10000
	s.play(5 * time.Second)
	if got := s.running("a"); got != 24 {
		t.Fatalf("%d tasks run at a, want the whole limit", got)
	}
	s.queues["b"], s.queues["c"] = 10000, 10000
	s.play(10 * time.Second)
	for _, name := range modelShards {
		if got := s.running(name); got < 7 || got > 9 {
			t.Fatalf("%d tasks run at %s, want a third of the limit", got, name)
		}
	}
	before := s.transfers
	s.play(30 * time.Second)
	if got := s.transfers - before; got > 30 {
		t.Errorf("%d transfers in 30 s though nothing has changed", got)
	}
	if got := s.total(); got < 23 {
		t.Errorf("%d tasks run, the limit allows 24", got)
	}
}

// Tasks as large as the limit get their turn at each controller.
func TestTasksAsLargeAsTheLimitTakeTurns(t *testing.T) {
	s := newSharing(t, LimitOf(8, 0), AmountOf(8, 0), 2*time.Second)
	for _, name := range modelShards {
		s.queues[name] = 1000
	}
	s.play(2 * time.Minute)
	for _, name := range modelShards {
		if s.started[name] < 8 {
			t.Errorf("%d tasks were started at %s in two minutes: %v", s.started[name], name, s.started)
		}
	}
	if s.transfers > 600 {
		t.Errorf("%d transfers in two minutes", s.transfers)
	}
}

// What doesn't divide evenly among the controllers is used all the same.
func TestRemaindersAreUsed(t *testing.T) {
	s := newSharing(t, LimitOf(32, 0), AmountOf(8, 0), 5*time.Second)
	for _, name := range modelShards {
		s.queues[name] = 1000
	}
	s.play(10 * time.Second)
	started := s.started["a"] + s.started["b"] + s.started["c"]
	s.play(50 * time.Second)
	started = s.started["a"] + s.started["b"] + s.started["c"] - started
	if started < 32 { // four at a time for 50 s, less the time that transfers take
		t.Errorf("%d tasks were started in 50 s, room for 40: %v", started, s.started)
	}
}

// A limit that is lowered below what runs stops nothing and lets nothing start
// until use is below it, whichever controller has the new settings first.
func TestLoweredLimitReturnsAllocations(t *testing.T) {
	s := newSharing(t, LimitOf(32, 0), AmountOf(2, 0), 30*time.Second)
	s.queues["a"], s.queues["b"] = 8, 8
	s.play(5 * time.Second)
	if s.total() != 16 {
		t.Fatalf("%d tasks run, want 16", s.total())
	}
	c := s.manager(LimitOf(12, 0))
	s.nodes["c"] = c
	c.Observe(sharedTeam, s.records[sharedTeam].record, s.records[sharedTeam].version)
	s.open("c", 9)
	s.queues["a"], s.queues["b"], s.queues["c"] = 100, 100, 100
	s.play(20 * time.Second)
	if s.started["a"]+s.started["b"]+s.started["c"] != 16 {
		t.Fatalf("tasks were started above the lowered limit: %v", s.started)
	}
	s.takes = 10 * time.Second
	for range 60 {
		s.play(time.Second)
		if use := s.size.Mul(s.total()); s.now > 36*time.Second && !use.Within(LimitOf(12, 0)) {
			t.Fatalf("%v runs, the limit is 12", use)
		}
	}
	if got := s.total(); got != 6 {
		t.Errorf("%d tasks run, the limit allows 6", got)
	}
	for _, name := range []string{"a", "b"} { // it is raised again once all say so
		if got := s.records[sharedTeam].record.LimitInForce(LimitOf(32, 0)); got.CPUs != 12000 {
			t.Errorf("limit in force %v with the settings of %s as before", got, name)
		}
	}
}

// While a member does not divide limits allocations bind nobody, and when all do
// again each holder starts from what it uses by then.
func TestNothingIsEnforcedBesideAMemberThatDoesNotDivide(t *testing.T) {
	s := newSharing(t, LimitOf(32, 0), AmountOf(2, 0), time.Hour)
	s.queues["a"] = 4
	s.play(3 * time.Second)
	for _, m := range s.nodes {
		m.SetEnforced(false)
	}
	s.queues["b"] = 10
	s.play(3 * time.Second)
	if s.running("b") != 10 {
		t.Fatalf("%d tasks run at b, want all", s.running("b"))
	}
	if n := len(s.records[sharedTeam].record.Shares); n != 0 {
		t.Fatalf("%d shares are left", n)
	}
	for _, m := range s.nodes {
		m.SetEnforced(true)
	}
	s.queues["a"], s.queues["c"] = 100, 100
	s.play(5 * time.Second)
	if got := s.total(); got != 16 {
		t.Errorf("%d tasks run, the limit allows 16", got)
	}
}

// Nothing is admitted before a shard's records are read and its earlier holder's
// use is counted, nor while a shard has no share or a record can't be read.
func TestNothingIsAdmittedInDoubt(t *testing.T) {
	size := AmountOf(1, 0)
	refused := func(what string, m *Manager) {
		t.Helper()
		if m.Admit("a", sharedTeam, size) || m.AdmissibleCount("a", sharedTeam, size) != 0 {
			t.Errorf("%s: admitted", what)
		}
	}
	s := &sharing{t: t}
	m := s.manager(LimitOf(8, 0))
	refused("a shard that is not held", m)
	m.AcquireShard("a", 1)
	m.MarkReconciled("a")
	all := Record{Shares: map[string]Share{}}
	for _, shard := range modelShards {
		all.Shares[shard] = Share{Allocation: AmountOf(2, 0), Limit: LimitOf(8, 0)}
	}
	m.Observe(sharedTeam, all, 5)
	refused("records that may be old", m)
	m.MarkRecordsFresh("a")
	if !m.Admit("a", sharedTeam, size) {
		t.Fatal("not admitted though all is known")
	}
	part := all.copyForChange()
	delete(part.Shares, "c")
	m.Observe(sharedTeam, part, 6)
	refused("a shard without a share", m)
	m.Observe(sharedTeam, all, 5)
	refused("older news", m)
	m.Observe(sharedTeam, Record{Shares: map[string]Share{"a": {Allocation: Amount{CPUs: -1}}}}, 7)
	refused("a record that makes no sense", m)
	m.Observe(sharedTeam, all, 8)
	if !m.Admit("a", sharedTeam, size) {
		t.Fatal("not admitted once the record is in order")
	}
	m.ObserveUnreadable(sharedTeam, 9)
	refused("a record that can't be read", m)
	for what, d := range map[string]Demand{
		"shard": {Shard: "x", Team: sharedTeam}, "own shard": {Shard: "a", Team: sharedTeam}, "team": {Shard: "b", Team: "x"},
		"negative": {Shard: "b", Team: sharedTeam, Target: Amount{CPUs: -1}}, "huge": {Shard: "b", Team: sharedTeam, Target: Amount{CPUs: 1 << 60}},
	} {
		if err := m.ObserveDemand(d, 0); !errors.Is(err, ErrInvalidDemand) {
			t.Errorf("%s: demand %+v: got %v, want %v", what, d, err, ErrInvalidDemand)
		}
	}
	if !m.Admit("a", "nobody's", size) || m.AdmissibleCount("a", "nobody's", size) == 0 {
		t.Error("a team without a limit is refused")
	}
}

func TestAmountsRoundUpAndLimitsDown(t *testing.T) {
	for _, c := range []struct{ got, want string }{
		{fmt.Sprint(AmountOf(0.1+0.2, 1)), "{300 1000}"},
		{fmt.Sprint(AmountOf(0.0004, 0)), "{1 0}"},
		{fmt.Sprint(LimitOf(12.3456, 0)), fmt.Sprint(Amount{12345, Unlimited})},
		{fmt.Sprint(AmountOf(1e300, -1)), fmt.Sprint(Amount{largestAmount, 0})},
		{fmt.Sprint(AmountOf(7, 2).quotient(AmountOf(2, 1))), "2"},
		{fmt.Sprint(AmountOf(7, 2).Sub(AmountOf(8, 1)).NonNegative()), "{0 1000}"},
	} {
		if c.got != c.want {
			t.Errorf("got %s, want %s", c.got, c.want)
		}
	}
}
