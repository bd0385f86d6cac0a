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

var update = flag.Bool("update", false, "rewrite the golden files; only for intended changes of stored bytes")

// sentRequest is one request to the state service as it was sent.
type sentRequest struct {
	Method string `json:"method"`
	Path   string `json:"path"`
	Body   string `json:"body"` // in hexadecimal
}

// recorder records every request and passes it on to a state service.
type recorder struct {
	Caller
	sent []sentRequest
}

func (r *recorder) Call(method, path string, body []byte, timeout time.Duration, done func(Response)) {
	r.sent = append(r.sent, sentRequest{Method: method, Path: path, Body: hex.EncodeToString(body)})
	r.Caller.Call(method, path, body, timeout, done)
}

// All kinds of records have the bytes, and all requests the form and order, that they had when
// testdata/golden/requests.json was written, since processes of the previous version read them.
func TestStoredEncodingMatchesGolden(t *testing.T) {
	s, store := newFakeStateService(t)
	s.versions = make(map[string]uint64)
	store.limits.TxnOps = 16
	requests := &recorder{Caller: s}
	store.caller = requests
	advance := func() {
		s.now += 5 * time.Second
		store.Poll()
	}
	holder := Holder{Member: "n", Nonce: "x", RecordFormat: CurrentRecordFormat}
	nextHolder := Holder{Member: "n", Nonce: "y", RecordFormat: QuotaRecordFormat}
	putKey := func(key string, value any) {
		s.revision++
		s.keys[key], s.versions[key] = s.codec.Encode(value), s.revision
	}
	for _, h := range []Holder{{Member: "old", Nonce: "o"}, holder, nextHolder} {
		store.Txn(Urgent, protocol.Transaction{
			If:   []protocol.Condition{{Key: ProcessKey(h.Member), Version: s.versions[ProcessKey(h.Member)]}},
			Then: []protocol.Change{{Put: ProcessKey(h.Member), Value: s.codec.Encode(h), Lease: 7}},
		}, func(TxnResult) {})
	}
	putKey(ShardKey("n"), holder)
	shard := NewShard(store, "n", holder, 7, s.revision, func() { t.Fatal("the shard was lost") })
	first := &protocol.Job{ID: "wk-000001", Class: "photo-verify", Team: "vogeluni", Tasks: 20, CPUs: 0.25, GPUs: 1, MemoryGB: 0.9,
		Priority: protocol.PriorityUrgent, Image: "img-04", ImageGB: 0.5, Types: []string{"a", "b"}, Zone: "z", SingleZone: true, SpreadZones: true,
		Spot: true, EstimateS: 150, CheckpointDurationS: 3, CheckpointIntervalS: 60, HasDeadline: true, DeadlineS: 600}
	second := &protocol.Job{ID: "wk-000002", Class: "web", Team: "vogeluni", Tasks: 2, CPUs: 2, MemoryGB: 4,
		Priority: protocol.PriorityProduction, Image: "img-05", AnyType: true, Service: true}
	checkCreated := func(c CreateResult) {
		if c != Created {
			t.Fatalf("creating a job returned %v, want created", c)
		}
	}
	shard.CreateJob(first, 1000, "c1", 0, checkCreated)
	advance()
	for _, task := range []int{0, 7, 8, 19} {
		shard.FinishTask(first, task, func() {})
	}
	shard.FlushFinishedTasks()
	advance()
	shard.EndJob(first, "c1", protocol.StatusDone, func() {})
	advance()
	shard.CreateJob(second, 2000, "c2", 0, checkCreated)
	advance()
	shard.EndJob(second, "c2", protocol.StatusCancelled, func() {})
	advance()
	shard.FlushFinishedTasks()
	advance()
	putKey(LeaderKey, holder)
	leader := s.revision
	store.RecordMachines(leader, 3, []string{"m-1", "m-2"}, func(key string, _ TxnResult) {
		store.RewriteMachineRecord(leader, key, []string{"m-2"}, func(TxnResult) {})
	})
	advance()
	store.TransferQuota(&quota.Transfer{
		KeyVersions: map[string]uint64{"n": shard.Version()},
		Teams: []quota.TeamTransfer{{Team: "vogel uni", Version: 0, Record: quota.Record{Shares: map[string]quota.Share{
			"n": {Allocation: quota.Amount{CPUs: 1500, GPUs: 2000}, Limit: quota.Amount{CPUs: 3000, GPUs: 4000}}}}}},
	}, func(TxnResult) {})
	advance()
	store.LookupJob("wk-000001", VersionedJobRecord{}, 0, func(JobLookupResult) {})
	store.OpenLease(8*time.Second, func(uint64) {})
	store.RenewLease(7, time.Second, func(LeaseRenewal) {})
	shard.Recover(func([]RecoveredJob) {})
	store.MachineRecords(func(map[string][]string, uint64, error) {})
	advance()
	shard.Release(func(TxnResult) {})
	// In memory a page keeps its jobs in a map, so the order of two jobs in a record is random.
	// Therefore this record is encoded from a slice.
	record := s.codec.Encode(descriptionPageRecord{Jobs: []DescriptionRecord{{Job: *first, SubmittedAtMs: 1}, {Job: *second, SubmittedAtMs: 2}}, EndedIDs: []string{"wk-3", "wk-4"}})
	requests.sent = append(requests.sent, sentRequest{Method: "record", Path: "own/", Body: hex.EncodeToString(record)})
	compareRequests(t, filepath.Join("testdata", "golden", "requests.json"), requests.sent)
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
			t.Fatalf("request %d is\n%+v, want\n%+v", i, got[i], want[i])
		}
	}
	if !slices.Equal(got, want) {
		t.Fatalf("%d requests, want %d", len(got), len(want))
	}
}
