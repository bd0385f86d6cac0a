package storage

import (
	"fmt"
	"math/rand/v2"
	"strings"
	"testing"
	"time"

	"github.com/cobaltvale/cobaltvale/internal/protocol"
)

// hold takes the ledger "n" for a holder as a session does.
func (s *scripted) hold(t *testing.T, store *Store, nonce string) *Ledger {
	t.Helper()
	s.rev++
	me := Holder{Member: "n", Nonce: nonce}
	s.keys[LedgerKey("n")], s.stamps[LedgerKey("n")] = s.codec.Encode(me), s.rev
	return NewLedger(store, "n", me, 1, s.rev, func() { t.Fatal("lost") })
}

func small(i int) *protocol.Job {
	return &protocol.Job{ID: fmt.Sprintf("wk-%06d", i), Class: "photo-verify", Team: "vogeluni", Tasks: 1, CPUs: 0.25, MemoryGB: 0.9,
		Image: "img-04", ImageGB: 0.5, AnyType: true, Spot: true, EstimateS: 150}
}

// Thousands of jobs of one task each, at more than the rate of changes would
// take with the four that a job once needed, are accepted and ended in time.
func TestSwarmOfSmallJobs(t *testing.T) {
	s, store := newScripted(t)
	s.stamps = make(map[string]uint64)
	store.limits.TxnOps = 16
	l := s.hold(t, store, "x")
	began, jobs, ended := s.now, 0, 0
	var slowest time.Duration
	running := make(map[int]time.Duration)
	for s.now-began < 100*time.Second {
		s.now += 100 * time.Millisecond
		store.Poll()
		for float64(jobs) < 3.3*(s.now-began).Seconds() { // 13 changes a second, of 10
			i, at := jobs, s.now
			jobs++
			l.Create(small(i), 0, fmt.Sprint("c", i), s.now+3*time.Second, func(r CreateResult) {
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
				l.End(small(i), fmt.Sprint("c", i), protocol.StatusDone, func() { ended++ })
			}
		}
		l.Pump()
		l.Flush()
	}
	if slowest > time.Second || jobs-ended-len(running) > 6 {
		t.Fatalf("a creation took %v; of %d jobs %d have ended, %d run", slowest, jobs, ended, len(running))
	}
	if most := 10*100 + 10; s.total > most {
		t.Fatalf("%d changes in 100 s", s.total)
	}
	for i := range running {
		l.End(small(i), fmt.Sprint("c", i), protocol.StatusDone, func() { ended++ })
	}
	for i := range 30 {
		if i > 0 && ended == jobs {
			break
		}
		s.now += time.Second
		store.Poll()
		l.Pump()
	}
	l.Close()
	l = s.hold(t, store, "y")
	l.Recover(func(left []RecoveredJob) {
		if len(left) > 0 {
			t.Fatalf("%d jobs are recovered that are over", len(left))
		}
	})
	for range 3000 { // what describes nothing any more goes, with the next holder too
		s.now += 100 * time.Millisecond
		store.Poll()
		l.Pump()
		l.Flush()
	}
	for k := range s.keys {
		if strings.HasPrefix(k, ownPrefix) {
			t.Fatalf("%s is left of %d jobs that are over", k, ended)
		}
	}
	if ended != jobs || len(l.jobs)+len(l.described) > 0 {
		t.Fatalf("%d of %d ended; %d jobs and %d descriptions records are left", ended, jobs, len(l.jobs), len(l.described))
	}
}

// Whatever becomes of transactions without an answer, and whenever the ledger
// changes hands: a job whose creation was told is recovered until its end was
// told, and one whose end was told never is.
func TestRecoveryOfSharedRecords(t *testing.T) {
	foreign := 0
	for seed := range uint64(30) {
		rnd := rand.New(rand.NewPCG(seed, 1))
		s, store := newScripted(t)
		s.stamps = make(map[string]uint64)
		var late []func()
		s.unsure = func(apply func()) bool {
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
		taken := small(77)
		s.keys[JobKey(taken.ID)], s.stamps[JobKey(taken.ID)] = s.codec.Encode(JobRecord{Ledger: "m", Nonce: "q", Tasks: 1}), 1
		s.rev = 1
		created, ending, ended := make(map[string]int), make(map[string]bool), make(map[string]bool)
		holder := 0
		l := s.hold(t, store, "h0")
		next := 0
		for step := range 600 {
			s.now += 100 * time.Millisecond
			store.Poll()
			if rnd.IntN(3) > 0 {
				i := next
				next++
				l.Create(small(i), 0, fmt.Sprintf("h%d-%d", holder, i), s.now+time.Minute, func(r CreateResult) {
					switch r {
					case Created:
						created[small(i).ID] = i
					case Exists:
						foreign++
					}
				})
			}
			for id, i := range created {
				if !ending[id] && rnd.IntN(20) == 0 {
					ending[id] = true
					l.End(small(i), "", protocol.StatusDone, func() { ended[id] = true })
				}
			}
			l.Pump()
			l.Flush()
			if len(late) > 0 && rnd.IntN(10) == 0 {
				late[0]()
				late = late[1:]
			}
			if rnd.IntN(60) > 0 && step != 599 {
				continue
			}
			// The next holder takes it, with transactions of the last still on their way.
			l.Close()
			holder++
			l = s.hold(t, store, fmt.Sprint("h", holder))
			for _, apply := range late {
				apply()
			}
			late = nil
			recovered := make(map[string]bool)
			l.Recover(func(jobs []RecoveredJob) {
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
func TestDescriptionsOfEarlierVersions(t *testing.T) {
	s, store := newScripted(t)
	s.stamps = make(map[string]uint64)
	old := small(1)
	s.keys[ownPrefix+"n/"+old.ID] = s.codec.Encode(DescriptionRecord{Job: *old, AtMs: 7})
	l := s.hold(t, store, "x")
	var got []RecoveredJob
	l.Recover(func(jobs []RecoveredJob) { got = jobs })
	if len(got) != 1 || got[0].Job.ID != old.ID || got[0].AtMs != 7 {
		t.Fatalf("recovered %v", got)
	}
	ended := false
	l.End(&got[0].Job, "", protocol.StatusDone, func() { ended = true })
	if _, left := s.keys[ownPrefix+"n/"+old.ID]; left || !ended {
		t.Fatalf("ended: %v, its description is left: %v", ended, left)
	}
}
