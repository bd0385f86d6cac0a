package storage

import (
	"bytes"
	"encoding/base64"
	"encoding/json"
	"fmt"
	"os"
	"sort"
	"strings"
	"testing"
	"time"

	"github.com/cobaltvale/cobaltvale/internal/protocol"
)

// loadProductionRecords loads the records that the version before has written, see
// testdata/production, into a state service.
func loadProductionRecords(t *testing.T, s *fakeStateService) {
	t.Helper()
	b, err := os.ReadFile("testdata/production/records.json")
	if err != nil {
		t.Fatal(err)
	}
	var keys map[string]string
	if err := json.Unmarshal(b, &keys); err != nil {
		t.Fatal(err)
	}
	s.versions = make(map[string]uint64)
	for k, v := range keys {
		value, err := base64.StdEncoding.DecodeString(v)
		if err != nil {
			t.Fatal(err)
		}
		s.keys[k], s.versions[k] = value, 1
	}
	s.revision = 1
}

// jsonSize is what a value counts as with the state service.
func (s *fakeStateService) jsonSize(value []byte) int {
	var v any
	if err := s.codec.Decode(value, &v); err != nil {
		s.t.Fatal(err)
	}
	b, err := json.Marshal(jsonValue(v))
	if err != nil {
		s.t.Fatal(err)
	}
	return len(b)
}

// jsonValue makes a decoded value fit for JSON.
func jsonValue(v any) any {
	switch v := v.(type) {
	case map[any]any:
		out := make(map[string]any, len(v))
		for k, x := range v {
			out[fmt.Sprint(k)] = jsonValue(x)
		}
		return out
	case []any:
		for i := range v {
			v[i] = jsonValue(v[i])
		}
	}
	return v
}

// unfinishedInOldFormat is what a version that knows only the old schema recovers of a
// ledger: the names of unfinished jobs with how many of their tasks are done.
func (s *fakeStateService) unfinishedInOldFormat() map[string]int {
	type oldJob struct {
		ID    string `cbor:"id"`
		Tasks int    `cbor:"tasks"`
	}
	type oldOwn struct {
		Job oldJob `cbor:"j"`
	}
	type oldBook struct {
		Jobs []oldOwn `cbor:"j"`
		Over []string `cbor:"o"`
	}
	jobs, over := make(map[string]int), make(map[string]bool)
	for k, v := range s.keys {
		if !strings.HasPrefix(k, "own/n/") {
			continue
		}
		var b oldBook
		if err := s.codec.Decode(v, &b); err != nil {
			s.t.Fatal(err)
		}
		for _, o := range b.Jobs {
			jobs[o.Job.ID] = o.Job.Tasks
		}
		for _, id := range b.Over {
			over[id] = true
		}
	}
	done := make(map[string]map[int]bool)
	for k, v := range s.keys {
		if !strings.HasPrefix(k, "done/n/") {
			continue
		}
		var chunks map[string]string
		if err := s.codec.Decode(v, &chunks); err != nil {
			s.t.Fatal(err)
		}
		for name, text := range chunks {
			id, num, _ := strings.Cut(name, "/")
			bits, err := base64.StdEncoding.DecodeString(text)
			if err != nil {
				s.t.Fatal(err)
			}
			if done[id] == nil {
				done[id] = make(map[int]bool)
			}
			var n int
			if _, err := fmt.Sscan(num, &n); err != nil {
				s.t.Fatal(err)
			}
			for b := range len(bits) * 8 {
				if bits[b/8]&(1<<(b%8)) != 0 {
					done[id][n*8192+b] = true
				}
			}
		}
	}
	out := make(map[string]int)
	for id := range jobs {
		if !over[id] {
			out[id] = len(done[id])
		}
	}
	return out
}

func finishedCounts(jobs []RecoveredJob) map[string]int {
	out := make(map[string]int)
	for _, j := range jobs {
		n := 0
		for _, d := range j.Done {
			if d {
				n++
			}
		}
		out[j.Job.ID] = n
	}
	return out
}

// What the version before has written is read as it reads it, and what says
// nothing new is written as it would be, byte for byte.
func TestProductionRecordsAreReadAndWrittenUnchanged(t *testing.T) {
	s, store := newFakeStateService(t)
	loadProductionRecords(t, s)
	record := append([]byte(nil), s.keys["own/n/1"]...)
	var b descriptionsRecord
	if err := s.codec.Decode(record, &b); err != nil {
		t.Fatal(err)
	}
	if again := s.codec.Encode(b); !bytes.Equal(again, record) {
		t.Fatalf("a descriptions record is written as\n%x, not as\n%x", again, record)
	}
	for key, v := range map[string]any{"m/leader": &Holder{}, "job/wk-000001": &JobRecord{}} {
		if err := s.codec.Decode(s.keys[key], v); err != nil {
			t.Fatal(err)
		}
		if again := s.codec.Encode(v); !bytes.Equal(again, s.keys[key]) {
			t.Fatalf("%s is written as %x, not as %x", key, again, s.keys[key])
		}
	}
	want := fmt.Sprint(s.unfinishedInOldFormat())
	shard := s.acquireShard(t, store, "y")
	got := ""
	shard.Recover(func(jobs []RecoveredJob) { got = fmt.Sprint(finishedCounts(jobs)) })
	if got != want || want == "map[]" {
		t.Fatalf("recovered %s, not %s", got, want)
	}
}

// A ledger that the version before left under larger limits is taken up under
// lower ones: every write stays within them, whatever is begun, ended and finished,
// nothing gets stuck, and after each write both versions recover the same.
func TestOversizedRecordsUnderLowerLimits(t *testing.T) {
	for _, c := range []struct {
		bytes, ops int
		large      bool // the job of 30,000 tasks can go on
	}{{2048, 5, true}, {2048, 2, true}, {1024, 3, false}} {
		s, store := newFakeStateService(t)
		loadProductionRecords(t, s)
		store.limits.TxnOps, store.limits.ValueBytes = c.ops, c.bytes
		s.checkPut = func(key string, value []byte) {
			if n := s.jsonSize(value); n > c.bytes {
				t.Fatalf("%s gets %d bytes, of %d", key, n, c.bytes)
			}
		}
		shard := s.acquireShard(t, store, "y")
		left := make(map[string]*RecoveredJob)
		shard.Recover(func(jobs []RecoveredJob) {
			for i := range jobs {
				left[jobs[i].Job.ID] = &jobs[i]
			}
		})
		if len(left) != 7 {
			t.Fatalf("%d jobs are recovered, not 7", len(left))
		}
		pass := func(seconds int) {
			for range seconds * 10 {
				s.now += 100 * time.Millisecond
				store.Poll()
				shard.FlushJobs()
				shard.FlushFinishedTasks()
				for _, n := range s.txnSizes {
					if n > c.ops {
						t.Fatalf("a transaction of %d changes, of %d", n, c.ops)
					}
				}
			}
		}
		same := func(when string) {
			t.Helper()
			want := fmt.Sprint(s.unfinishedInOldFormat())
			other := NewShard(store, "n", Holder{Member: "n", Nonce: "z"}, 1, 0, func() {})
			other.Recover(func(jobs []RecoveredJob) {
				if got := fmt.Sprint(finishedCounts(jobs)); got != want {
					t.Fatalf("%s: this version recovers %s, the one before %s", when, got, want)
				}
			})
		}
		noted, written := 0, 0
		for id, j := range left {
			if j.Job.Tasks > 8192 && !c.large {
				continue
			}
			for i, done := range j.Done {
				if !done && i%5 == 1 && noted < 4000 {
					j.Done[i] = true
					noted++
					shard.FinishTask(&j.Job, i, func() { written++ })
				}
			}
			_ = id
		}
		pass(20)
		if written != noted || noted == 0 {
			t.Fatalf("%d of %d finished tasks are written", written, noted)
		}
		same("after finished tasks")
		for id, n := range s.unfinishedInOldFormat() {
			want := 0
			for _, d := range left[id].Done {
				if d {
					want++
				}
			}
			if n != want {
				t.Fatalf("%s has %d finished tasks, not %d", id, n, want)
			}
		}
		created, ended := 0, 0
		for i := range 12 {
			shard.CreateJob(smallJob(500+i), 0, fmt.Sprint("c", i), 0, func(r CreateResult) {
				if r == Created {
					created++
				}
			})
		}
		pass(10)
		same("after creations")
		var ids []string
		for id := range left {
			ids = append(ids, id)
		}
		sort.Strings(ids)
		for _, id := range ids[:len(ids)-1] {
			shard.EndJob(&left[id].Job, "", protocol.StatusDone, func() { ended++ })
			pass(2)
			same("after the end of " + id)
		}
		if created != 12 || ended != len(ids)-1 {
			t.Fatalf("%d of 12 are created, %d of %d ended", created, ended, len(ids)-1)
		}
		last := left[ids[len(ids)-1]]
		shard.EndJob(&last.Job, "", protocol.StatusCancelled, func() { ended++ })
		for i := range 12 {
			shard.EndJob(smallJob(500+i), fmt.Sprint("c", i), protocol.StatusDone, func() { ended++ })
		}
		pass(40)
		for k := range s.keys {
			if strings.HasPrefix(k, "own/") || strings.HasPrefix(k, "done/") {
				t.Fatalf("%s is left of jobs that are over", k)
			}
		}
	}
}

// A job whose records can't be written is told from one whose can.
func TestJobFitsItsRecords(t *testing.T) {
	_, store := newFakeStateService(t)
	long := strings.Repeat("x", 120)
	for _, c := range []struct {
		bytes int
		job   protocol.Job
		fits  bool
	}{
		{2048, *smallJob(1), true},
		{1024, *smallJob(1), true},
		{2048, protocol.Job{ID: "wk-1", Class: long, Team: long, Image: long, Zone: long, Tasks: 1}, true},
		{1024, protocol.Job{ID: "wk-1", Class: long, Team: long, Image: long, Zone: long, Tasks: 1}, false},
		{2048, protocol.Job{ID: "wk-1", Tasks: protocol.MaxTasks}, true},
		{1024, protocol.Job{ID: "wk-1", Tasks: protocol.MaxTasks}, false},
		{2048, protocol.Job{ID: "wk-1", Tasks: 1, Types: []string{long, long, long, long, long, long, long, long, long, long, long, long, long, long}}, false},
	} {
		store.limits.ValueBytes = c.bytes
		if got := store.Fits(&c.job); got != c.fits {
			t.Errorf("%d bytes, %.30s of %d tasks: %v", c.bytes, c.job.Class, c.job.Tasks, got)
		}
	}
}

// Records of unknown shape are named and left alone, and their numbers are not
// given to others.
func TestUnreadableRecordsAreLeftAlone(t *testing.T) {
	s, store := newFakeStateService(t)
	s.versions = make(map[string]uint64)
	odd := map[string]any{"own/n/3": "?", "own/n/wk-1": 7, "own/n/4": map[string]any{"j": []any{map[string]any{"j": map[string]any{"id": "wk-9"}}}}, "done/n/5": []int{1}}
	for k, v := range odd {
		s.keys[k] = s.codec.Encode(v)
	}
	shard := s.acquireShard(t, store, "y")
	shard.Recover(func(jobs []RecoveredJob) {
		if len(jobs) > 0 {
			t.Fatalf("%d jobs are recovered", len(jobs))
		}
	})
	if n := len(shard.Unreadable()); n != len(odd) {
		t.Fatalf("%d records are named, not %d", n, len(odd))
	}
	many := &protocol.Job{ID: "wk-000002", Tasks: 9}
	shard.CreateJob(many, 0, "c", 0, func(CreateResult) {})
	shard.CreateJob(smallJob(1), 0, "c", 0, func(CreateResult) {})
	shard.FinishTask(many, 1, func() {})
	for range 50 {
		s.now += 100 * time.Millisecond
		store.Poll()
		shard.FlushJobs()
		shard.FlushFinishedTasks()
	}
	for k, v := range odd {
		if !bytes.Equal(s.keys[k], s.codec.Encode(v)) {
			t.Fatalf("%s is not as it was", k)
		}
	}
	if s.keys["own/n/5"] == nil || s.keys["done/n/6"] == nil {
		t.Fatal("nothing is written beside them")
	}
}
