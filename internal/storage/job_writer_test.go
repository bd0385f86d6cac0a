package storage

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/cobaltvale/cobaltvale/internal/protocol"
)

// Thousands of jobs of one task each are accepted and ended in time. With four changes for each
// job, as earlier versions needed, they would exceed the write rate.
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
		for float64(jobs) < 3.3*(s.now-began).Seconds() { // 13 changes a second at 4 a job; the rate is 10
			i, at := jobs, s.now
			jobs++
			shard.CreateJob(smallJob(i), 0, fmt.Sprint("c", i), s.now+3*time.Second, func(r CreateResult) {
				if r != Created {
					t.Fatalf("job %d: creation returned %v, want created", i, r)
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
		t.Fatalf("the slowest creation took %v, want at most 1s; of %d jobs %d have ended and %d are running, want at most 6 others",
			slowest, jobs, ended, len(running))
	}
	if limit := 10*100 + 10; s.totalChanges > limit {
		t.Fatalf("%d changes in 100 s, the rate allows 1010", s.totalChanges)
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
			t.Fatalf("recovered %d jobs that have ended", len(left))
		}
	})
	for range 3000 { // empty and stale pages are also deleted under the next holder
		s.now += 100 * time.Millisecond
		store.Poll()
		shard.FlushJobs()
		shard.FlushFinishedTasks()
	}
	for k := range s.keys {
		if strings.HasPrefix(k, descriptionPrefix) {
			t.Fatalf("%s is left after %d jobs have ended", k, ended)
		}
	}
	if ended != jobs || len(shard.jobs.descriptions)+len(shard.jobs.pages) > 0 {
		t.Fatalf("%d of %d jobs ended; %d descriptions and %d description pages are left", ended, jobs, len(shard.jobs.descriptions), len(shard.jobs.pages))
	}
}
