package storage

import (
	"encoding/hex"
	"encoding/json"
	"flag"
	"os"
	"path/filepath"
	"slices"
	"testing"
	"time"

	"github.com/cobaltvale/cobaltvale/internal/protocol"
	"github.com/cobaltvale/cobaltvale/internal/quota"
)

var update = flag.Bool("update", false, "write the golden files anew: only where stored bytes change on purpose")

// sentRequest is one request to the state service as it went out.
type sentRequest struct {
	Method string `json:"method"`
	Path   string `json:"path"`
	Body   string `json:"body"` // in hexadecimal
}

// recorder notes every request on its way to a state service.
type recorder struct {
	Caller
	sent []sentRequest
}

func (r *recorder) Call(method, path string, body []byte, timeout time.Duration, done func(Response)) {
	r.sent = append(r.sent, sentRequest{Method: method, Path: path, Body: hex.EncodeToString(body)})
	r.Caller.Call(method, path, body, timeout, done)
}

// Every kind of record has the bytes, and every request the form and place, that
// they had when testdata/golden/requests.json was written: whoever runs the version
// before reads them.
func TestStoredBytesStayAsTheyAre(t *testing.T) {
	s, store := newFakeStateService(t)
	s.versions = make(map[string]uint64)
	store.limits.TxnOps = 16
	r := &recorder{Caller: s}
	store.caller = r
	step := func() {
		s.now += 5 * time.Second
		store.Poll()
	}
	me := Holder{Member: "n", Nonce: "x", RecordFormat: CurrentRecordFormat}
	other := Holder{Member: "n", Nonce: "y", RecordFormat: QuotaRecordFormat}
	put := func(key string, value any) {
		s.revision++
		s.keys[key], s.versions[key] = s.codec.Encode(value), s.revision
	}
	for _, h := range []Holder{{Member: "old", Nonce: "o"}, me, other} {
		store.Txn(Urgent, protocol.Transaction{
			If:   []protocol.Condition{{Key: ProcessKey(h.Member), Version: s.versions[ProcessKey(h.Member)]}},
			Then: []protocol.Change{{Put: ProcessKey(h.Member), Value: s.codec.Encode(h), Lease: 7}},
		}, func(TxnResult) {})
	}
	put(ShardKey("n"), me)
	l := NewShard(store, "n", me, 7, s.revision, func() { t.Fatal("lost") })
	first := &protocol.Job{ID: "wk-000001", Class: "photo-verify", Team: "vogeluni", Tasks: 20, CPUs: 0.25, GPUs: 1, MemoryGB: 0.9,
		Priority: protocol.PriorityUrgent, Image: "img-04", ImageGB: 0.5, Types: []string{"a", "b"}, Zone: "z", SingleZone: true, SpreadZones: true,
		Spot: true, EstimateS: 150, CheckpointDurationS: 3, CheckpointIntervalS: 60, HasDeadline: true, DeadlineS: 600}
	second := &protocol.Job{ID: "wk-000002", Class: "web", Team: "vogeluni", Tasks: 2, CPUs: 2, MemoryGB: 4,
		Priority: protocol.PriorityProduction, Image: "img-05", AnyType: true, Service: true}
	created := func(c CreateResult) {
		if c != Created {
			t.Fatalf("a job was not created: %v", c)
		}
	}
	l.CreateJob(first, 1000, "c1", 0, created)
	step()
	for _, task := range []int{0, 7, 8, 19} {
		l.FinishTask(first, task, func() {})
	}
	l.FlushFinishedTasks()
	step()
	l.EndJob(first, "c1", protocol.StatusDone, func() {})
	step()
	l.CreateJob(second, 2000, "c2", 0, created)
	step()
	l.EndJob(second, "c2", protocol.StatusCancelled, func() {})
	step()
	l.FlushFinishedTasks()
	step()
	put(LeaderKey, me)
	leader := s.revision
	store.RecordMachines(leader, 3, []string{"m-1", "m-2"}, func(key string, _ TxnResult) {
		store.RewriteMachineRecord(leader, key, []string{"m-2"}, func(TxnResult) {})
	})
	step()
	store.TransferQuota(&quota.Transfer{
		Fences: map[string]uint64{"n": l.Version()},
		Teams: []quota.TeamTransfer{{Team: "vogel uni", Version: 0, Record: quota.Record{Shares: map[string]quota.Share{
			"n": {Allocation: quota.Amount{CPUs: 1500, GPUs: 2000}, Limit: quota.Amount{CPUs: 3000, GPUs: 4000}}}}}},
	}, func(TxnResult) {})
	step()
	store.LookupJob("wk-000001", VersionedJobRecord{}, 0, func(VersionedJobRecord, bool, bool) {})
	store.OpenLease(8*time.Second, func(uint64) {})
	store.RenewLease(7, time.Second, func(_, _ bool) {})
	l.Recover(func([]RecoveredJob) {})
	store.MachineRecords(func(map[string][]string, uint64, bool) {})
	step()
	l.Release(func(TxnResult) {})
	// Two jobs in one record stand in the order of a map there, one does not.
	record := s.codec.Encode(descriptionPageRecord{Jobs: []DescriptionRecord{{Job: *first, SubmittedAtMs: 1}, {Job: *second, SubmittedAtMs: 2}}, EndedIDs: []string{"wk-3", "wk-4"}})
	r.sent = append(r.sent, sentRequest{Method: "record", Path: "own/", Body: hex.EncodeToString(record)})
	compareRequests(t, filepath.Join("testdata", "golden", "requests.json"), r.sent)
}

func compareRequests(t *testing.T, file string, got []sentRequest) {
	t.Helper()
	if *update {
		b, err := json.MarshalIndent(got, "", " ")
		if err != nil {
			t.Fatal(err)
		}
		if err := os.WriteFile(file, append(b, '\n'), 0o600); err != nil {
			t.Fatal(err)
		}
	}
	b, err := os.ReadFile(file)
	if err != nil {
		t.Fatal(err)
	}
	var want []sentRequest
	if err := json.Unmarshal(b, &want); err != nil {
		t.Fatal(err)
	}
	if len(want) == 0 {
		t.Fatalf("%s is empty", file)
	}
	for i := range min(len(got), len(want)) {
		if got[i] != want[i] {
			t.Fatalf("request %d is\n%+v, was\n%+v", i, got[i], want[i])
		}
	}
	if !slices.Equal(got, want) {
		t.Fatalf("%d requests, were %d", len(got), len(want))
	}
}
