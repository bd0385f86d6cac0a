package storage

import (
	"bytes"
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/cobaltvale/cobaltvale/internal/protocol"
)

// Whatever becomes of transactions without an answer, and whenever the shard
// changes hands: a job whose creation was told is recovered until its end was
// told, and one whose end was told never is.
func TestRecoveryMatchesAcknowledgedOutcomes(t *testing.T) {
	foreign := 0
	for seed := range uint64(30) {
		rnd := rand.New(rand.NewPCG(seed, 1))
		s, store := newFakeStateService(t)
		s.versions = make(map[string]uint64)
		var late []func()
		s.loseAnswer = func(apply func()) bool {
			if rnd.IntN(8) > 0 {
				return false
			}
			switch rnd.IntN(3) {
			case 0:
				apply()
			case 1:
				late = append(late, apply)
			}
			return true
		}
		// A job of this name exists elsewhere: its creation must not take others along.
		taken := smallJob(77)
		s.keys[JobKey(taken.ID)], s.versions[JobKey(taken.ID)] = s.codec.Encode(JobRecord{Shard: "m", Nonce: "q", Tasks: 1}), 1
		s.revision = 1
		created, ending, ended := make(map[string]int), make(map[string]bool), make(map[string]bool)
		holder := 0
		shard := s.acquireShard(t, store, "h0")
		next := 0
		for step := range 600 {
			s.now += 100 * time.Millisecond
			store.Poll()
			if rnd.IntN(3) > 0 {
				i := next
				next++
				shard.CreateJob(smallJob(i), 0, fmt.Sprintf("h%d-%d", holder, i), s.now+time.Minute, func(r CreateResult) {
					switch r {
					case Created:
						created[smallJob(i).ID] = i
					case AlreadyExists:
						foreign++
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
			if len(late) > 0 && rnd.IntN(10) == 0 {
				late[0]()
				late = late[1:]
			}
			if rnd.IntN(60) > 0 && step != 599 {
				continue
			}
			// The next holder takes it, with transactions of the last still on their way.
			shard.Close()
			holder++
			shard = s.acquireShard(t, store, fmt.Sprint("h", holder))
			for _, apply := range late {
				apply()
			}
			late = nil
			recovered := make(map[string]bool)
			shard.Recover(func(jobs []RecoveredJob) {
				for _, j := range jobs {
					recovered[j.Job.ID] = true
				}
			})
			for id := range created {
				over := false
				var rec JobRecord
				if err := s.codec.Decode(s.keys[JobKey(id)], &rec); err == nil {
					over = rec.Status != ""
				}
				if recovered[id] == over {
					t.Fatalf("seed %d step %d: %s recovered: %v, over: %v", seed, step, id, recovered[id], over)
				}
				if ended[id] && !over || over && !ending[id] {
					t.Fatalf("seed %d step %d: the record of %s says over: %v", seed, step, id, over)
				}
				if over {
					delete(created, id)
				}
				ending[id] = false // the next holder ends it anew
			}
			for id := range recovered {
				if _, ok := created[id]; !ok { // written, but nobody was told
					var i int
					if _, err := fmt.Sscanf(id, "wk-%d", &i); err != nil {
						t.Fatal(err)
					}
					created[id] = i
				}
			}
		}
		if _, ok := created[taken.ID]; ok {
			t.Fatalf("seed %d: a job of another shard was created", seed)
		}
	}
	if foreign == 0 {
		t.Fatal("no creation met a job of another shard")
	}
}

// Descriptions as 0.2 wrote them, one key each, are recovered, and go with the end.
func TestDescriptionsOfEarlierFormatAreRecovered(t *testing.T) {
	s, store := newFakeStateService(t)
	s.versions = make(map[string]uint64)
	old := smallJob(1)
	s.keys[descriptionPrefix+"n/"+old.ID] = s.codec.Encode(DescriptionRecord{Job: *old, SubmittedAtMs: 7})
	shard := s.acquireShard(t, store, "x")
	var got []RecoveredJob
	shard.Recover(func(jobs []RecoveredJob) { got = jobs })
	if len(got) != 1 || got[0].Job.ID != old.ID || got[0].SubmittedAtMs != 7 {
		t.Fatalf("recovered %v", got)
	}
	ended := false
	shard.EndJob(&got[0].Job, "", protocol.StatusDone, func() { ended = true })
	if _, left := s.keys[descriptionPrefix+"n/"+old.ID]; left || !ended {
		t.Fatalf("ended: %v, its description is left: %v", ended, left)
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
	if n := len(shard.UnreadableKeys()); n != len(odd) {
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
