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

// loadProductionRecords loads the records in testdata/production, which the previous version
// wrote, into a state service.
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

// jsonSize returns the size of a value as the state service counts it: as JSON.
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

// jsonValue converts a decoded value to one that can be encoded as JSON.
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

// unfinishedInOldFormat returns what a version that knows only the old schema recovers of shard
// "n": the number of finished tasks of each unfinished job, by job ID.
func (s *fakeStateService) unfinishedInOldFormat() map[string]int {
	type oldJob struct {
		ID    string `cbor:"id"`
		Tasks int    `cbor:"tasks"`
	}
	type oldDescription struct {
		Job oldJob `cbor:"j"`
	}
	type oldDescriptionPage struct {
		Jobs     []oldDescription `cbor:"j"`
		EndedIDs []string         `cbor:"o"`
	}
	jobs, ended := make(map[string]int), make(map[string]bool)
	for k, v := range s.keys {
		if !strings.HasPrefix(k, "own/n/") {
			continue
		}
		var b oldDescriptionPage
		if err := s.codec.Decode(v, &b); err != nil {
			s.t.Fatal(err)
		}
		for _, description := range b.Jobs {
			jobs[description.Job.ID] = description.Job.Tasks
		}
		for _, id := range b.EndedIDs {
			ended[id] = true
		}
	}
	finished := make(map[string]map[int]bool)
	for k, v := range s.keys {
		if !strings.HasPrefix(k, "done/n/") {
			continue
		}
		var taskRanges map[string]string
		if err := s.codec.Decode(v, &taskRanges); err != nil {
			s.t.Fatal(err)
		}
		for name, text := range taskRanges {
			id, index, _ := strings.Cut(name, "/")
			bits, err := base64.StdEncoding.DecodeString(text)
			if err != nil {
				s.t.Fatal(err)
			}
			if finished[id] == nil {
				finished[id] = make(map[int]bool)
			}
			var n int
			if _, err := fmt.Sscan(index, &n); err != nil {
				s.t.Fatal(err)
			}
			for b := range len(bits) * 8 {
				if bits[b/8]&(1<<(b%8)) != 0 {
					finished[id][n*8192+b] = true
				}
			}
		}
	}
	out := make(map[string]int)
	for id := range jobs {
		if !ended[id] {
			out[id] = len(finished[id])
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

// Records of the previous version are read as that version reads them, and are written byte for
// byte as it wrote them if nothing in them has changed.
func TestProductionRecordsAreReadAndWrittenUnchanged(t *testing.T) {
	s, store := newFakeStateService(t)
	loadProductionRecords(t, s)
	record := append([]byte(nil), s.keys["own/n/1"]...)
	var page descriptionPageRecord
	if err := s.codec.Decode(record, &page); err != nil {
		t.Fatal(err)
	}
	if encoded := s.codec.Encode(page); !bytes.Equal(encoded, record) {
		t.Fatalf("a description page is written as\n%x, want\n%x", encoded, record)
	}
	for key, v := range map[string]any{"m/leader": &Holder{}, "job/wk-000001": &JobRecord{}} {
		if err := s.codec.Decode(s.keys[key], v); err != nil {
			t.Fatal(err)
		}
		if encoded := s.codec.Encode(v); !bytes.Equal(encoded, s.keys[key]) {
			t.Fatalf("%s is written as %x, want %x", key, encoded, s.keys[key])
		}
	}
	want := fmt.Sprint(s.unfinishedInOldFormat())
	shard := s.acquireShard(t, store, "y")
	got := ""
	shard.Recover(func(jobs []RecoveredJob) { got = fmt.Sprint(finishedCounts(jobs)) })
	if got != want || want == "map[]" {
		t.Fatalf("recovered %s, want %s", got, want)
	}
}
