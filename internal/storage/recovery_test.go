package storage

import (
	"bytes"
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/cobaltvale/cobaltvale/internal/protocol"
)

// A job whose creation was acknowledged is recovered until its end is acknowledged, and one
// whose end was acknowledged never is. Some transactions get no answer and are executed at
// once, later or never, and the shard changes holders at random times.
func TestRecoveryMatchesAcknowledgedOutcomes(t *testing.T) {
	existingElsewhere := 0
	for seed := range uint64(30) {
		rnd := rand.New(rand.NewPCG(seed, 1))
		s, store := newFakeStateService(t)
		s.versions = make(map[string]uint64)
		var delayed []func()
		s.loseAnswer = func(apply func()) bool {
			if rnd.IntN(8) > 0 {
				return false
			}
			switch rnd.IntN(3) {
			case 0:
				apply()
			case 1:
				delayed = append(delayed, apply)
			}
			return true
		}
		// A job with this ID exists in another shard. Its creation must not prevent the
		// creation of the others in the batch.
		existingJob := smallJob(77)
		s.keys[JobKey(existingJob.ID)], s.versions[JobKey(existingJob.ID)] = s.codec.Encode(JobRecord{Shard: "m", Nonce: "q", Tasks: 1}), 1
		s.revision = 1
		created, ending, ended := make(map[string]int), make(map[string]bool), make(map[string]bool)
		holder := 0
		shard := s.acquireShard(t, store, "h0")
		nextJob := 0
		for step := range 600 {
			s.now += 100 * time.Millisecond
			store.Poll()
			if rnd.IntN(3) > 0 {
				i := nextJob
				nextJob++
				shard.CreateJob(smallJob(i), 0, fmt.Sprintf("h%d-%d", holder, i), s.now+time.Minute, func(r CreateResult) {
					switch r {
					case Created:
						created[smallJob(i).ID] = i
					case AlreadyExists:
						existingElsewhere++
					}
				})
			}
			for id, i := range created {
				if !ending[id] && rnd.IntN(20) == 0 {
					ending[id] = true
					shard.EndJob(smallJob(i), "", protocol.StatusDone, func() { ended[id] = true })
				}
			}
			shard.FlushJobs()
			shard.FlushFinishedTasks()
			if len(delayed) > 0 && rnd.IntN(10) == 0 {
				delayed[0]()
				delayed = delayed[1:]
			}
			if rnd.IntN(60) > 0 && step != 599 {
				continue
			}
			// The next holder acquires the shard while transactions of the previous one are
			// still delayed.
			shard.Close()
			holder++
			shard = s.acquireShard(t, store, fmt.Sprint("h", holder))
			for _, apply := range delayed {
				apply()
			}
			delayed = nil
			recovered := make(map[string]bool)
			shard.Recover(func(jobs []RecoveredJob) {
				for _, j := range jobs {
					recovered[j.Job.ID] = true
				}
			})
			for id := range created {
				recordEnded := false
				var rec JobRecord
				if err := s.codec.Decode(s.keys[JobKey(id)], &rec); err == nil {
					recordEnded = rec.Status != ""
				}
				if recovered[id] == recordEnded {
					t.Fatalf("seed %d step %d: %s recovered: %v, ended: %v; want either one or the other", seed, step, id, recovered[id], recordEnded)
				}
				if ended[id] && !recordEnded || recordEnded && !ending[id] {
					t.Fatalf("seed %d step %d: the record of %s says ended: %v, which contradicts the acknowledgements", seed, step, id, recordEnded)
				}
				if recordEnded {
					delete(created, id)
				}
				ending[id] = false // the next holder ends it again
			}
			for id := range recovered {
				if _, ok := created[id]; !ok { // written, but not acknowledged
					var i int
					if _, err := fmt.Sscanf(id, "wk-%d", &i); err != nil {
						t.Fatal(err)
					}
					created[id] = i
				}
			}
		}
		if _, ok := created[existingJob.ID]; ok {
			t.Fatalf("seed %d: a job of another shard was created", seed)
		}
	}
	if existingElsewhere == 0 {
		t.Fatal("no creation conflicted with the job of another shard")
	}
}

// Descriptions in the format of version 0.2, with one key for each, are recovered, and are
// deleted when the job ends.
func TestDescriptionsOfEarlierFormatAreRecovered(t *testing.T) {
	s, store := newFakeStateService(t)
	s.versions = make(map[string]uint64)
	old := smallJob(1)
	s.keys[descriptionPrefix+"n/"+old.ID] = s.codec.Encode(DescriptionRecord{Job: *old, SubmittedAtMs: 7})
	shard := s.acquireShard(t, store, "x")
	var got []RecoveredJob
	shard.Recover(func(jobs []RecoveredJob) { got = jobs })
	if len(got) != 1 || got[0].Job.ID != old.ID || got[0].SubmittedAtMs != 7 {
		t.Fatalf("recovered %v, want the old description", got)
	}
	ended := false
	shard.EndJob(&got[0].Job, "", protocol.StatusDone, func() { ended = true })
	if _, left := s.keys[descriptionPrefix+"n/"+old.ID]; left || !ended {
		t.Fatalf("the end was acknowledged: %v; the description is left: %v", ended, left)
	}
}

// Records of unknown format are reported and left unchanged, and their page numbers are not
// used for other pages.
func TestUnreadableRecordsAreLeftAlone(t *testing.T) {
	s, store := newFakeStateService(t)
	s.versions = make(map[string]uint64)
	unreadable := map[string]any{"own/n/3": "?", "own/n/wk-1": 7, "own/n/4": map[string]any{"j": []any{map[string]any{"j": map[string]any{"id": "wk-9"}}}}, "done/n/5": []int{1}}
	for k, v := range unreadable {
		s.keys[k] = s.codec.Encode(v)
	}
	shard := s.acquireShard(t, store, "y")
	shard.Recover(func(jobs []RecoveredJob) {
		if len(jobs) > 0 {
			t.Fatalf("recovered %d jobs, want none", len(jobs))
		}
	})
	if n := len(shard.UnreadableKeys()); n != len(unreadable) {
		t.Fatalf("%d unreadable records are reported, want %d", n, len(unreadable))
	}
	severalTasks := &protocol.Job{ID: "wk-000002", Tasks: 9}
	shard.CreateJob(severalTasks, 0, "c", 0, func(CreateResult) {})
	shard.CreateJob(smallJob(1), 0, "c", 0, func(CreateResult) {})
	shard.FinishTask(severalTasks, 1, func() {})
	for range 50 {
		s.now += 100 * time.Millisecond
		store.Poll()
		shard.FlushJobs()
		shard.FlushFinishedTasks()
	}
	for k, v := range unreadable {
		if !bytes.Equal(s.keys[k], s.codec.Encode(v)) {
			t.Fatalf("%s was changed", k)
		}
	}
	if s.keys["own/n/5"] == nil || s.keys["done/n/6"] == nil {
		t.Fatal("the new pages own/n/5 and done/n/6 are missing")
	}
}
