package storage

import (
	"bytes"
	"encoding/base64"
	"encoding/json"
	"fmt"
	"os"
	"strings"
	"testing"
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
// shard: the names of unfinished jobs with how many of their tasks are done.
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
		var taskRanges map[string]string
		if err := s.codec.Decode(v, &taskRanges); err != nil {
			s.t.Fatal(err)
		}
		for name, text := range taskRanges {
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
		for _, d := range j.FinishedTasks {
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
	var b descriptionPageRecord
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
