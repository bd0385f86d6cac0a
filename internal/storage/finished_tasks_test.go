package storage

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/cobaltvale/cobaltvale/internal/protocol"
)

func TestFinishedTasksOfLargeJobStayWithinLimits(t *testing.T) {
	s, store := newFakeStateService(t)
	shard := NewShard(store, "n", Holder{Member: "n", Nonce: "x"}, 1, 5, func() { t.Fatal("lost") })
	job := &protocol.Job{ID: "wk-1", Tasks: protocol.MaxTasks}
	created := false
	shard.CreateJob(job, 7, "nonce", 0, func(r CreateResult) { created = r == Created })
	if !created {
		t.Fatal("not created")
	}
	written := 0
	for i := 0; i < job.Tasks; i += 3 {
		shard.FinishTask(job, i, func() { written++ })
	}
	began, before := s.now, s.totalChanges
	for written == 0 || s.now-began < 3*time.Second {
		s.now += 100 * time.Millisecond
		shard.FlushFinishedTasks()
		store.Poll()
	}
	if want := (job.Tasks + 2) / 3; written != want {
		t.Fatalf("%d of %d finished tasks are written", written, want)
	}
	if limit := 10 + int(10*(s.now-began).Seconds()) + 4; s.totalChanges-before > limit {
		t.Fatalf("%d changes in %v, the rate allows %d", s.totalChanges-before, s.now-began, limit)
	}
	for _, n := range s.txnSizes {
		if n > 4 {
			t.Fatalf("a transaction of %d changes", n)
		}
	}
	for k, v := range s.keys {
		if len(v) > 8192 {
			t.Fatalf("%s holds %d bytes", k, len(v))
		}
	}

	nextHolder := NewShard(store, "n", Holder{Member: "n", Nonce: "y"}, 2, 9, func() { t.Fatal("lost") })
	var got []RecoveredJob
	nextHolder.Recover(func(jobs []RecoveredJob) { got = jobs })
	if len(got) != 1 || got[0].SubmittedAtMs != 7 {
		t.Fatalf("recovered %d jobs", len(got))
	}
	for i, done := range got[0].FinishedTasks {
		if done != (i%3 == 0) {
			t.Fatalf("task %d is recovered as done=%v", i, done)
		}
	}
	ended := false
	nextHolder.EndJob(job, "", protocol.StatusDone, func() { ended = true })
	for range 50 {
		s.now += 100 * time.Millisecond
		nextHolder.FlushFinishedTasks()
		store.Poll()
	}
	if !ended || len(s.keys) != 1 || s.keys[JobKey("wk-1")] == nil {
		t.Fatalf("after the end %d keys are left", len(s.keys))
	}
}

// The finished tasks of many jobs share few records: one for each would take
// more writes than the service allows, and what users wait for would be late.
func TestFinishedTasksOfManyJobsShareRecords(t *testing.T) {
	s, store := newFakeStateService(t)
	shard := NewShard(store, "n", Holder{Member: "n", Nonce: "x"}, 1, 5, func() { t.Fatal("lost") })
	jobs := make([]*protocol.Job, 300)
	for i := range jobs {
		jobs[i] = &protocol.Job{ID: fmt.Sprintf("wk-%d", i), Tasks: 700}
		s.keys[descriptionPrefix+"n/"+jobs[i].ID] = s.codec.Encode(DescriptionRecord{Job: *jobs[i]})
	}
	written := 0
	for round := range 7 {
		for _, j := range jobs {
			shard.FinishTask(j, round*100, func() { written++ })
		}
		for range 40 {
			s.now += 100 * time.Millisecond
			shard.FlushFinishedTasks()
			store.Poll()
		}
	}
	if written != 7*len(jobs) {
		t.Fatalf("%d finished tasks of %d are written", written, 7*len(jobs))
	}
	records := 0
	for k, v := range s.keys {
		if len(v) > 8192 {
			t.Fatalf("%s holds %d bytes", k, len(v))
		}
		if strings.HasPrefix(k, finishedTaskPrefix) {
			records++
		}
	}
	if records > 12 || s.totalChanges > 7*12 {
		t.Fatalf("%d records, %d writes", records, s.totalChanges)
	}

	// A job that is over takes its part out with the next write, and pages
	// without any go.
	for _, j := range jobs[1:] {
		shard.EndJob(j, "", protocol.StatusDone, func() {})
	}
	shard.FinishTask(jobs[0], 1, func() {})
	for range 1000 {
		s.now += 100 * time.Millisecond
		shard.FlushFinishedTasks()
		shard.FlushJobs()
		store.Poll()
	}
	left := 0
	for k := range s.keys {
		if strings.HasPrefix(k, finishedTaskPrefix) {
			left++
		}
	}
	if left != 1 || len(shard.finished.pages) != 1 {
		t.Fatalf("%d records are left, %d pages", left, len(shard.finished.pages))
	}
	nextHolder := NewShard(store, "n", Holder{Member: "n", Nonce: "y"}, 2, 9, func() { t.Fatal("lost") })
	nextHolder.Recover(func(got []RecoveredJob) {
		if len(got) != 1 || !got[0].FinishedTasks[1] || !got[0].FinishedTasks[600] || got[0].FinishedTasks[2] {
			t.Fatal("the finished tasks are not recovered")
		}
	})
}
