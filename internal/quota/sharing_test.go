package quota

import (
	"errors"
	"fmt"
	"testing"
	"time"
)

// sharingSimulation simulates three controllers with a state service without faults, and tasks
// that end after taskDuration, to observe how allocations move.
type sharingSimulation struct {
	t            *testing.T
	now          time.Duration
	revision     uint64
	records      map[string]storedRecord
	managers     map[string]*Manager // by shard
	pendingTasks map[string]int      // pending tasks by shard
	taskSize     Amount
	taskDuration time.Duration
	taskEnds     map[string][]time.Duration // when running tasks end, by shard
	startedTasks map[string]int             // in all, by shard
	transfers    int
}

const sharedTeam = "red"

func newSharingSimulation(t *testing.T, limit, size Amount, taskDuration time.Duration) *sharingSimulation {
	s := &sharingSimulation{t: t, records: make(map[string]storedRecord), managers: make(map[string]*Manager), pendingTasks: make(map[string]int),
		taskSize: size, taskDuration: taskDuration, taskEnds: make(map[string][]time.Duration), startedTasks: make(map[string]int)}
	for i, name := range modelShards {
		s.managers[name] = s.newManager(limit)
		s.acquireShard(name, uint64(i+1))
	}
	return s
}

func (s *sharingSimulation) newManager(limit Amount) *Manager {
	m := New(Config{Shards: modelShards, Teams: []Team{{Name: sharedTeam, Limit: limit}}, TransferInterval: 2 * modelStep, TeamsPerTransfer: 4})
	m.SetEnforced(true)
	m.ObserveAbsentRecord(sharedTeam)
	return m
}

func (s *sharingSimulation) acquireShard(name string, keyVersion uint64) {
	s.managers[name].AddHeldShard(name, keyVersion)
	s.managers[name].MarkRecordsFresh(name)
	s.managers[name].MarkReconciled(name)
}

// advance lets time pass; each controller starts what it can of its pending tasks.
func (s *sharingSimulation) advance(span time.Duration) {
	for end := s.now + span; s.now < end; {
		s.now += modelStep
		for _, name := range modelShards {
			s.step(name, s.managers[name])
		}
	}
}

func (s *sharingSimulation) step(name string, m *Manager) {
	for len(s.taskEnds[name]) > 0 && s.taskEnds[name][0] <= s.now {
		s.taskEnds[name] = s.taskEnds[name][1:]
		m.Release(name, sharedTeam, s.taskSize)
	}
	for s.pendingTasks[name] > 0 && m.Admit(name, sharedTeam, s.taskSize) {
		s.pendingTasks[name]--
		s.startedTasks[name]++
		s.taskEnds[name] = append(s.taskEnds[name], s.now+s.taskDuration)
	}
	m.SetPending(name, sharedTeam, s.taskSize.Mul(s.pendingTasks[name]), s.taskSize.Min(s.taskSize.Mul(s.pendingTasks[name])), s.now)
	m.UpdateCeilings(s.now)
	for _, d := range m.Demands(s.now) {
		for _, other := range s.managers {
			if other == m {
				continue
			}
			if err := other.ObserveDemand(d, s.now); err != nil {
				s.t.Fatalf("demand %+v is rejected: %v", d, err)
			}
		}
	}
	transfer := m.PlanTransfer(s.now)
	if transfer == nil {
		return
	}
	s.transfers++
	change := transfer.Teams[0]
	if s.records[change.Team].version != change.Version {
		for _, team := range m.TransferOutcomeUnknown() {
			m.ObserveRecord(team, s.records[team].record, s.records[team].version)
		}
		return
	}
	s.revision++
	s.records[change.Team] = storedRecord{change.Record, s.revision}
	m.TransferApplied(s.revision)
	for _, other := range s.managers {
		other.ObserveRecord(change.Team, change.Record, s.revision)
	}
}

func (s *sharingSimulation) runningTasks(name string) int { return len(s.taskEnds[name]) }

func (s *sharingSimulation) totalRunningTasks() int {
	return s.runningTasks("a") + s.runningTasks("b") + s.runningTasks("c")
}

// A team's allocation follows its pending tasks to another controller within seconds.
func TestAllocationFollowsDemand(t *testing.T) {
	s := newSharingSimulation(t, LimitOf(32, 0), AmountOf(2, 0), 20*time.Second)
	s.pendingTasks["a"] = 16
	s.advance(4 * time.Second)
	if got := s.runningTasks("a"); got != 16 {
		t.Fatalf("%d tasks run at a, want 16, the whole limit", got)
	}
	s.advance(20 * time.Second)
	s.pendingTasks["b"] = 16
	s.advance(3 * time.Second)
	if got := s.runningTasks("b"); got != 16 {
		t.Fatalf("%d tasks run at b 3 s after tasks became pending there, want 16, the whole limit", got)
	}
}

// A controller that always has pending tasks doesn't keep the others from their fair share. Once
// all have it, allocations stay as they are, with at most one transfer per second.
func TestBusyHolderDoesNotStarveOthers(t *testing.T) {
	s := newSharingSimulation(t, LimitOf(48, 0), AmountOf(2, 0), 3*time.Second)
	s.pendingTasks["a"] = 10000
	s.advance(5 * time.Second)
	if got := s.runningTasks("a"); got != 24 {
		t.Fatalf("%d tasks run at a, want 24, the whole limit", got)
	}
	s.pendingTasks["b"], s.pendingTasks["c"] = 10000, 10000
	s.advance(10 * time.Second)
	for _, name := range modelShards {
		if got := s.runningTasks(name); got < 7 || got > 9 {
			t.Fatalf("%d tasks run at %s, want 7 to 9, a third of the limit", got, name)
		}
	}
	before := s.transfers
	s.advance(30 * time.Second)
	if got := s.transfers - before; got > 30 {
		t.Errorf("%d transfers in 30 s, want at most 30: all controllers have their fair share", got)
	}
	if got := s.totalRunningTasks(); got < 23 {
		t.Errorf("%d tasks run, want at least 23: the limit allows 24", got)
	}
}

// Tasks as large as the limit are started at each controller in turn.
func TestTasksAsLargeAsTheLimitTakeTurns(t *testing.T) {
	s := newSharingSimulation(t, LimitOf(8, 0), AmountOf(8, 0), 2*time.Second)
	for _, name := range modelShards {
		s.pendingTasks[name] = 1000
	}
	s.advance(2 * time.Minute)
	for _, name := range modelShards {
		if s.startedTasks[name] < 8 {
			t.Errorf("%d tasks were started at %s in two minutes, want at least 8: %v", s.startedTasks[name], name, s.startedTasks)
		}
	}
	if s.transfers > 600 {
		t.Errorf("%d transfers in two minutes, want at most 600", s.transfers)
	}
}

// The remainder of a limit that doesn't divide evenly among the controllers is used as well.
func TestRemaindersAreUsed(t *testing.T) {
	s := newSharingSimulation(t, LimitOf(32, 0), AmountOf(8, 0), 5*time.Second)
	for _, name := range modelShards {
		s.pendingTasks[name] = 1000
	}
	s.advance(10 * time.Second)
	started := s.startedTasks["a"] + s.startedTasks["b"] + s.startedTasks["c"]
	s.advance(50 * time.Second)
	started = s.startedTasks["a"] + s.startedTasks["b"] + s.startedTasks["c"] - started
	if started < 32 { // 4 at a time of 5 s each are 40 in 50 s, less the time that transfers take
		t.Errorf("%d tasks were started in 50 s, want at least 32 of the 40 that there is room for: %v", started, s.startedTasks)
	}
}

// A limit lowered below the present use stops no task, and no task starts until use is below it,
// whichever controller has the new settings first.
func TestLoweredLimitReturnsAllocations(t *testing.T) {
	s := newSharingSimulation(t, LimitOf(32, 0), AmountOf(2, 0), 30*time.Second)
	s.pendingTasks["a"], s.pendingTasks["b"] = 8, 8
	s.advance(5 * time.Second)
	if s.totalRunningTasks() != 16 {
		t.Fatalf("%d tasks run, want 16", s.totalRunningTasks())
	}
	c := s.newManager(LimitOf(12, 0))
	s.managers["c"] = c
	c.ObserveRecord(sharedTeam, s.records[sharedTeam].record, s.records[sharedTeam].version)
	s.acquireShard("c", 9)
	s.pendingTasks["a"], s.pendingTasks["b"], s.pendingTasks["c"] = 100, 100, 100
	s.advance(20 * time.Second)
	if s.startedTasks["a"]+s.startedTasks["b"]+s.startedTasks["c"] != 16 {
		t.Fatalf("tasks were started above the lowered limit: %v", s.startedTasks)
	}
	s.taskDuration = 10 * time.Second
	for range 60 {
		s.advance(time.Second)
		if used := s.taskSize.Mul(s.totalRunningTasks()); s.now > 36*time.Second && !used.Within(LimitOf(12, 0)) {
			t.Fatalf("%v is used, the limit is 12", used)
		}
	}
	if got := s.totalRunningTasks(); got != 6 {
		t.Errorf("%d tasks run, the limit allows 6", got)
	}
	for _, name := range []string{"a", "b"} { // the limit is raised only after all settings have the higher one
		if got := s.records[sharedTeam].record.LimitInForce(LimitOf(32, 0)); got.CPUs != 12000 {
			t.Errorf("the limit in force is %v, want 12 CPUs while the settings of %s still have 32", got, name)
		}
	}
}

// While a member does not divide limits, no allocation bounds admission. When all members divide
// them again, each holder starts from what it uses at that time.
func TestNothingIsEnforcedWhileAMemberDoesNotDivideLimits(t *testing.T) {
	s := newSharingSimulation(t, LimitOf(32, 0), AmountOf(2, 0), time.Hour)
	s.pendingTasks["a"] = 4
	s.advance(3 * time.Second)
	for _, m := range s.managers {
		m.SetEnforced(false)
	}
	s.pendingTasks["b"] = 10
	s.advance(3 * time.Second)
	if s.runningTasks("b") != 10 {
		t.Fatalf("%d tasks run at b, want all 10", s.runningTasks("b"))
	}
	if n := len(s.records[sharedTeam].record.Shares); n != 0 {
		t.Fatalf("the record has %d shares, want none", n)
	}
	for _, m := range s.managers {
		m.SetEnforced(true)
	}
	s.pendingTasks["a"], s.pendingTasks["c"] = 100, 100
	s.advance(5 * time.Second)
	if got := s.totalRunningTasks(); got != 16 {
		t.Errorf("%d tasks run, the limit allows 16", got)
	}
}

// Nothing is admitted before a shard's records are read and its earlier holder's use is counted,
// nor while a shard has no share or the record can't be read.
func TestNothingIsAdmittedWhileStateIsUnknown(t *testing.T) {
	size := AmountOf(1, 0)
	requireRejected := func(what string, m *Manager) {
		t.Helper()
		if m.Admit("a", sharedTeam, size) || m.AdmissibleCount("a", sharedTeam, size) != 0 {
			t.Errorf("%s: admitted", what)
		}
	}
	s := &sharingSimulation{t: t}
	m := s.newManager(LimitOf(8, 0))
	requireRejected("a shard that is not held", m)
	m.AddHeldShard("a", 1)
	m.MarkReconciled("a")
	all := Record{Shares: map[string]Share{}}
	for _, shard := range modelShards {
		all.Shares[shard] = Share{Allocation: AmountOf(2, 0), Limit: LimitOf(8, 0)}
	}
	m.ObserveRecord(sharedTeam, all, 5)
	requireRejected("records that may be outdated", m)
	m.MarkRecordsFresh("a")
	if !m.Admit("a", sharedTeam, size) {
		t.Fatal("not admitted although the shard is ready")
	}
	incomplete := all.clone()
	delete(incomplete.Shares, "c")
	m.ObserveRecord(sharedTeam, incomplete, 6)
	requireRejected("a shard without a share", m)
	m.ObserveRecord(sharedTeam, all, 5)
	requireRejected("a record of an older version", m)
	m.ObserveRecord(sharedTeam, Record{Shares: map[string]Share{"a": {Allocation: Amount{CPUs: -1}}}}, 7)
	requireRejected("an invalid record", m)
	m.ObserveRecord(sharedTeam, all, 8)
	if !m.Admit("a", sharedTeam, size) {
		t.Fatal("not admitted once the record is valid again")
	}
	m.ObserveUnreadableRecord(sharedTeam, 9)
	requireRejected("a record that can't be read", m)
	for what, d := range map[string]Demand{
		"shard": {Shard: "x", Team: sharedTeam}, "own shard": {Shard: "a", Team: sharedTeam}, "team": {Shard: "b", Team: "x"},
		"negative": {Shard: "b", Team: sharedTeam, Target: Amount{CPUs: -1}}, "huge": {Shard: "b", Team: sharedTeam, Target: Amount{CPUs: 1 << 60}},
	} {
		if err := m.ObserveDemand(d, 0); !errors.Is(err, ErrInvalidDemand) {
			t.Errorf("%s: demand %+v: got %v, want %v", what, d, err, ErrInvalidDemand)
		}
	}
	if !m.Admit("a", "unlimited", size) || m.AdmissibleCount("a", "unlimited", size) == 0 {
		t.Error("tasks of a team without a limit are rejected")
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
