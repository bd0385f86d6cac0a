package admission

import (
	"errors"
	"iter"
	"strings"
	"testing"
	"time"

	"github.com/rs/zerolog"

	"github.com/cobaltvale/cobaltvale/internal/audit"
	"github.com/cobaltvale/cobaltvale/internal/protocol"
	"github.com/cobaltvale/cobaltvale/internal/protocol/meshpb"
	"github.com/cobaltvale/cobaltvale/internal/quota"
	"github.com/cobaltvale/cobaltvale/internal/settings"
	"github.com/cobaltvale/cobaltvale/internal/storage"
)

const team = "red"

// fixture is a control of the shard "a" of a single member, with the record store, shard owner
// and clock that the test simulates.
type fixture struct {
	*Control
	t            *testing.T
	now          time.Duration
	codec        *protocol.Codec
	revision     uint64
	stored       []protocol.KeyValue
	readError    error
	reads        int
	writes       int
	pendingTasks int
	auditRecords []audit.Record
}

// Now implements storage.Clock.
func (f *fixture) Now() time.Duration { return f.now }

// QuotaRecords implements RecordStore.
func (f *fixture) QuotaRecords(done func([]protocol.KeyValue, error)) {
	f.reads++
	done(f.stored, f.readError)
}

// TransferQuota implements RecordStore. It applies every transfer.
func (f *fixture) TransferQuota(transfer *quota.Transfer, done func(storage.TxnResult)) {
	f.writes++
	f.revision++
	f.stored = nil
	for _, change := range transfer.Teams {
		f.stored = append(f.stored, protocol.KeyValue{Key: storage.QuotaKey(change.Team), Value: f.codec.Encode(change.Record), Version: f.revision})
	}
	done(storage.TxnResult{Outcome: storage.Applied, Revision: f.revision})
}

// StartableTasks implements ShardOwner.
func (f *fixture) StartableTasks(visit func(claim *Claim, tasks int)) {
	if f.pendingTasks > 0 {
		visit(claim(), f.pendingTasks)
	}
}

// KeyVersions implements ShardOwner.
func (f *fixture) KeyVersions() iter.Seq2[string, uint64] {
	return func(yield func(string, uint64) bool) { yield("a", 1) }
}

// AllocationsChanged implements ShardOwner.
func (f *fixture) AllocationsChanged() {}

// claim returns the team's claim for a job whose tasks use one CPU each.
func claim() *Claim {
	return &Claim{Shard: "a", FencingToken: 1, Team: team, Job: "wk-1", Amount: quota.AmountOf(1, 0)}
}

// newFixture returns a control with a team that may use two CPUs.
func newFixture(t *testing.T) *fixture {
	t.Helper()
	codec, err := protocol.NewCodec()
	if err != nil {
		t.Fatal(err)
	}
	f := &fixture{t: t, now: time.Second, codec: codec, revision: 10}
	f.Control, err = New(Config{Enabled: true, Shards: []string{"a"}, Teams: []settings.Team{{Name: team, CPUsMax: 2}}, MaxTxnOps: 8,
		RecordStore: f, Codec: codec, Clock: f, Wall: func() time.Time { return time.Unix(0, 0) }, Log: zerolog.Nop(),
		Audit: func(r audit.Record) { f.auditRecords = append(f.auditRecords, r) }, BroadcastDemands: func(*meshpb.QuotaDemands) {}})
	if err != nil {
		t.Fatal(err)
	}
	f.SetShardOwner(f)
	return f
}

// tick lets one second pass, under conditions in which the member may do everything.
func (f *fixture) tick() {
	f.now += time.Second
	f.Tick(f.now, TickConditions{AllMembersDivideLimits: true, MayAct: true, LeaseValid: true})
}

// acquireReadyShard adds the shard and ticks until it has its whole allocation.
func (f *fixture) acquireReadyShard() {
	f.t.Helper()
	f.AddHeldShard("a", 1)
	f.MarkReconciled("a")
	f.pendingTasks = 3
	for range 5 {
		f.tick()
	}
	if got := f.Allocation("a", team); got != quota.AmountOf(2, 0) {
		f.t.Fatalf("the allocation is %v, want the whole limit", got)
	}
}

func TestWithoutEscrowNothingIsLimited(t *testing.T) {
	c, err := New(Config{Teams: []settings.Team{{Name: team, CPUsMax: 1}}})
	if err != nil {
		t.Fatal(err)
	}
	c.AddHeldShard("a", 1)
	c.MarkReconciled("a")
	if c.Enabled() || c.Limited(claim()) || c.AdmissibleCount(claim(), 100) != 100 || !c.Admit(claim(), 0, 1) {
		t.Error("a team is limited without quota.escrow")
	}
	c.Release(claim(), 0, 1)
	c.RemoveHeldShard("a")
	c.Tick(time.Second, TickConditions{})
}

func TestAdmissionUpToTheAllocation(t *testing.T) {
	f := newFixture(t)
	f.acquireReadyShard()
	if n := f.AdmissibleCount(claim(), 3); n != 2 {
		t.Errorf("%d of 3 are admissible, want 2", n)
	}
	for i, want := range []bool{true, true, false} {
		if got := f.Admit(claim(), int32(i), uint64(i)); got != want {
			t.Errorf("task %d is admitted: %v, want the opposite", i, got)
		}
	}
	f.Release(claim(), 0, 0)
	if !f.Admit(claim(), 2, 3) {
		t.Error("not admitted after a release")
	}
}

// Replicas that an earlier holder admitted count, so that no more fit the allocation.
func TestInheritedReplicasAreCharged(t *testing.T) {
	f := newFixture(t)
	f.acquireReadyShard()
	f.ChargeInherited(claim(), 2)
	if f.Admit(claim(), 0, 1) {
		t.Error("admitted although replicas of an earlier holder use the whole allocation")
	}
}

// Nothing is admitted for a shard until the records were read after its acquisition and
// everything that earlier holders admitted is counted.
func TestNothingIsAdmittedBeforeTheShardIsReconciled(t *testing.T) {
	f := newFixture(t)
	f.AddHeldShard("a", 1)
	for range 5 {
		f.tick()
	}
	if f.IsReconciled("a") || f.Admit(claim(), 0, 1) {
		t.Error("admitted although replicas of earlier holders may not be counted")
	}
	f.MarkReconciled("a")
	f.readError = errors.New("no answer")
	f.AddHeldShard("a", 2)
	f.MarkReconciled("a")
	reads := f.reads
	for range 3 {
		f.tick()
	}
	if f.Admit(claim(), 0, 1) {
		t.Error("admitted although the records were not read")
	}
	if f.reads != reads+3 {
		t.Errorf("%d reads in 3 s without an answer, want 3", f.reads-reads)
	}
}

func TestTickConditions(t *testing.T) {
	f := newFixture(t)
	f.AddHeldShard("a", 1)
	f.MarkReconciled("a")
	f.pendingTasks = 1
	for range 5 {
		f.now += time.Second
		f.Tick(f.now, TickConditions{AllMembersDivideLimits: true, MayAct: true})
	}
	if f.writes != 0 {
		t.Errorf("%d transfers without a valid lease, want none", f.writes)
	}
	f.Tick(f.now, TickConditions{MayAct: true})
	if !f.Admit(claim(), 0, 1) {
		t.Error("not admitted while some member does not divide limits")
	}
}

func TestAuditOfAdmissions(t *testing.T) {
	f := newFixture(t)
	f.acquireReadyShard()
	f.auditRecords = nil
	f.Admit(claim(), 4, 7)
	f.Release(claim(), 4, 7)
	f.RecordReplicaFound(claim(), 4, 8)
	want := []struct {
		kind          audit.Kind
		replica       uint64
		before, after quota.Amount
	}{
		{audit.Admitted, 7, quota.Amount{}, quota.AmountOf(1, 0)},
		{audit.Released, 7, quota.AmountOf(1, 0), quota.Amount{}},
		{audit.ReplicaFound, 8, quota.Amount{}, quota.Amount{}},
	}
	if len(f.auditRecords) != len(want) {
		t.Fatalf("%d records, want %d", len(f.auditRecords), len(want))
	}
	for i, w := range want {
		r := f.auditRecords[i]
		if r.Kind != w.kind || r.Task != 4 || r.Replica != w.replica || r.SpentBefore != w.before || r.SpentAfter != w.after {
			t.Errorf("record %d: %+v, want %+v", i, r, w)
		}
		if r.Shard != "a" || r.FencingToken != 1 || r.Team != team || r.Job != "wk-1" || r.Amount != quota.AmountOf(1, 0) {
			t.Errorf("record %d has fields of another claim: %+v", i, r)
		}
	}
}

// Messages that are invalid or outdated are counted and change nothing.
func TestInvalidDemandsAreDropped(t *testing.T) {
	amount := &meshpb.QuotaAmount{Cpus: 1000}
	for _, test := range []struct {
		name   string
		demand *meshpb.QuotaDemands
		holds  bool
	}{
		{"outdated", &meshpb.QuotaDemands{Seq: 5}, true},
		{"not the holder's", &meshpb.QuotaDemands{Seq: 6, Demands: []*meshpb.QuotaDemand{{Shard: "a", Team: team, Target: amount}}}, false},
		{"malformed", &meshpb.QuotaDemands{Seq: 6, Demands: []*meshpb.QuotaDemand{{Shard: "a", Team: "x", Target: amount}}}, true},
	} {
		t.Run(test.name, func(t *testing.T) {
			f := newFixture(t)
			from := Sender{Member: "b", LastSequence: 5, HoldsShard: func(string) bool { return test.holds }}
			if got, want := f.HandleDemands(from, test.demand), max(from.LastSequence, test.demand.Seq); got != want {
				t.Errorf("the last sequence number is %d, want %d", got, want)
			}
			if f.Dropped() != 1 {
				t.Errorf("%d dropped, want 1", f.Dropped())
			}
		})
	}
}

// A record that can't be read or was deleted blocks its team's tasks.
func TestUnreadableRecord(t *testing.T) {
	for _, test := range []struct {
		name    string
		present bool
	}{{"unreadable", true}, {"deleted", false}} {
		t.Run(test.name, func(t *testing.T) {
			f := newFixture(t)
			f.acquireReadyShard()
			f.ObserveRecord(team, []byte{0xff}, f.revision+1, test.present)
			if f.Dropped() != 1 || f.Admit(claim(), 0, 1) {
				t.Errorf("%d dropped, want 1, or the team's task was admitted", f.Dropped())
			}
		})
	}
}

func TestTeamNameThatIsTooLong(t *testing.T) {
	_, err := New(Config{Enabled: true, Teams: []settings.Team{{Name: strings.Repeat("x", storage.MaxKeyLength), CPUsMax: 1}}})
	if err == nil || !strings.Contains(err.Error(), "too long") {
		t.Errorf("got %v, want an error that the name is too long", err)
	}
}
