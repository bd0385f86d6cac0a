package storage

import (
	"fmt"
	"math/rand/v2"
	"strings"
	"testing"
	"time"

	"github.com/cobaltvale/cobaltvale/internal/protocol"
)

// acquireShard takes the ledger "n" for a holder as a session does.
func (s *fakeStateService) acquireShard(t *testing.T, store *Store, nonce string) *Shard {
	t.Helper()
	s.revision++
	me := Holder{Member: "n", Nonce: nonce}
	s.keys[ShardKey("n")], s.versions[ShardKey("n")] = s.codec.Encode(me), s.revision
	return NewShard(store, "n", me, 1, s.revision, func() { t.Fatal("lost") })
}

func smallJob(i int) *protocol.Job {
	return &protocol.Job{ID: fmt.Sprintf("wk-%06d", i), Class: "photo-verify", Team: "vogeluni", Tasks: 1, CPUs: 0.25, MemoryGB: 0.9,
		Image: "img-04", ImageGB: 0.5, AnyType: true, Spot: true, EstimateS: 150}
}

// Thousands of jobs of one task each, at more than the rate of changes would
// take with the four that a job once needed, are accepted and ended in time.
func TestManySmallJobsStayWithinWriteRate(t *testing.T) {
	s, store := newFakeStateService(t)
	s.versions = make(map[string]uint64)
	store.limits.TxnOps = 16
	shard := s.acquireShard(t, store, "x")
	began, jobs, ended := s.now, 0, 0
	var slowest time.Duration
	running := make(map[int]time.Duration)
	for s.now-began < 100*time.Second {
		s.now += 100 * time.Millisecond
		store.Poll()
		for float64(jobs) < 3.3*(s.now-began).Seconds() { // 13 changes a second, of 10
			i, at := jobs, s.now
			jobs++
			shard.CreateJob(smallJob(i), 0, fmt.Sprint("c", i), s.now+3*time.Second, func(r CreateResult) {
				if r != Created {
					t.Fatalf("job %d: %d", i, r)
				}
				slowest = max(slowest, s.now-at)
				running[i] = s.now + time.Duration(20+i%9)*time.Second
			})
		}
		for i, until := range running {
			if s.now > until {
				delete(running, i)
				shard.EndJob(smallJob(i), fmt.Sprint("c", i), protocol.StatusDone, func() { ended++ })
			}
		}
		shard.FlushJobs()
		shard.FlushFinishedTasks()
	}
	if slowest > time.Second || jobs-ended-len(running) > 6 {
		t.Fatalf("a creation took %v; of %d jobs %d have ended, %d run", slowest, jobs, ended, len(running))
	}
	if most := 10*100 + 10; s.totalChanges > most {
		t.Fatalf("%d changes in 100 s", s.totalChanges)
	}
	for i := range running {
		shard.EndJob(smallJob(i), fmt.Sprint("c", i), protocol.StatusDone, func() { ended++ })
	}
	for i := range 30 {
		if i > 0 && ended == jobs {
			break
		}
		s.now += time.Second
		store.Poll()
		shard.FlushJobs()
	}
	shard.Close()
	shard = s.acquireShard(t, store, "y")
	shard.Recover(func(left []RecoveredJob) {
		if len(left) > 0 {
			t.Fatalf("%d jobs are recovered that are over", len(left))
		}
	})
	for range 3000 { // what describes nothing any more goes, with the next holder too
		s.now += 100 * time.Millisecond
		store.Poll()
		shard.FlushJobs()
		shard.FlushFinishedTasks()
	}
	for k := range s.keys {
		if strings.HasPrefix(k, descriptionPrefix) {
			t.Fatalf("%s is left of %d jobs that are over", k, ended)
		}
	}
	if ended != jobs || len(shard.jobs.descriptions)+len(shard.jobs.pages) > 0 {
		t.Fatalf("%d of %d ended; %d jobs and %d descriptions records are left", ended, jobs, len(shard.jobs.descriptions), len(shard.jobs.pages))
	}
}

// Whatever becomes of transactions without an answer, and whenever the ledger
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
					fmt.Sscanf(id, "wk-%d", &i)
					created[id] = i
				}
			}
		}
		if _, ok := created[taken.ID]; ok {
			t.Fatalf("seed %d: a job of another ledger was created", seed)
		}
	}
	if foreign == 0 {
		t.Fatal("no creation met a job of another ledger")
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
