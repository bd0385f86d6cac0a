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
	shard := NewShard(store, "n", Holder{Member: "n", Nonce: "x"}, 1, 5, func() { t.Fatal("the shard was lost") })
	job := &protocol.Job{ID: "wk-1", Tasks: protocol.MaxTasks}
	created := false
	shard.CreateJob(job, 7, "nonce", 0, func(r CreateResult) { created = r == Created })
	if !created {
		t.Fatal("the job was not created")
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
		t.Fatalf("wrote %d of %d finished tasks", written, want)
	}
	if limit := 10 + int(10*(s.now-began).Seconds()) + 4; s.totalChanges-before > limit {
		t.Fatalf("%d changes in %v, the rate allows %d", s.totalChanges-before, s.now-began, limit)
	}
	for _, n := range s.txnSizes {
		if n > 4 {
			t.Fatalf("a transaction has %d changes, the limit is 4", n)
		}
	}
	for k, v := range s.keys {
		if len(v) > 8192 {
			t.Fatalf("%s has %d bytes, the limit is 8192", k, len(v))
		}
	}

	nextHolder := NewShard(store, "n", Holder{Member: "n", Nonce: "y"}, 2, 9, func() { t.Fatal("the shard was lost") })
	var got []RecoveredJob
	nextHolder.Recover(func(jobs []RecoveredJob) { got = jobs })
	if len(got) != 1 || got[0].SubmittedAtMs != 7 {
		t.Fatalf("recovered %d jobs, want 1 with its submission time", len(got))
	}
	for i, done := range got[0].FinishedTasks {
		if done != (i%3 == 0) {
			t.Fatalf("task %d is recovered as finished=%v, want true for every third task only", i, done)
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
		t.Fatalf("after the job's end %d keys are left, want only the job's record", len(s.keys))
	}
}

// The finished tasks of many jobs must share few records. With one record for each job they
// would need more writes than the service allows, which would delay the writes that users wait
// for.
func TestFinishedTasksOfManyJobsShareRecords(t *testing.T) {
	s, store := newFakeStateService(t)
	shard := NewShard(store, "n", Holder{Member: "n", Nonce: "x"}, 1, 5, func() { t.Fatal("the shard was lost") })
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
		t.Fatalf("wrote %d of %d finished tasks", written, 7*len(jobs))
	}
	records := 0
	for k, v := range s.keys {
		if len(v) > 8192 {
			t.Fatalf("%s has %d bytes, the limit is 8192", k, len(v))
		}
		if strings.HasPrefix(k, finishedTaskPrefix) {
			records++
		}
	}
	if records > 12 || s.totalChanges > 7*12 {
		t.Fatalf("%d records, want at most 12; %d writes, want at most 84", records, s.totalChanges)
	}

	// The finished tasks of an ended job are removed with the next write, and empty pages are
	// deleted.
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
		t.Fatalf("%d records and %d pages are left, want 1 and 1", left, len(shard.finished.pages))
	}
	nextHolder := NewShard(store, "n", Holder{Member: "n", Nonce: "y"}, 2, 9, func() { t.Fatal("the shard was lost") })
	nextHolder.Recover(func(got []RecoveredJob) {
		if len(got) != 1 || !got[0].FinishedTasks[1] || !got[0].FinishedTasks[600] || got[0].FinishedTasks[2] {
			t.Fatal("the finished tasks of the unfinished job were not recovered")
		}
	})
}
