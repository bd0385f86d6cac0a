package storage

import (
	"fmt"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/cobaltvale/cobaltvale/internal/protocol"
)

// createsJob reports whether a transaction writes a job's record.
func createsJob(t *protocol.Transaction) bool {
	return len(t.Then) > 0 && strings.HasPrefix(t.Then[0].Put, "job/")
}

// A job is reported as not created although it was: the first attempt gets no answer, and the
// answer to a later one, which was not executed, is taken for the outcome of both.
func TestRejectedRetryIsNotTheOutcomeOfAnUnansweredCreation(t *testing.T) {
	firstAttempts := []struct {
		name string
		lose func(apply func()) (executeLate func())
	}{
		{"executed", func(apply func()) func() { apply(); return nil }},
		{"never executed", func(func()) func() { return nil }},
		{"executed too late", func(apply func()) func() { return apply }},
	}
	retries := []struct {
		name     string
		response Response
		count    int // of attempts that get this response, from the second on
	}{
		{"unavailable once", Response{Status: http.StatusServiceUnavailable}, 1},
		{"unavailable for long", Response{Status: http.StatusServiceUnavailable}, 20},
		{"not sent", Response{NotSent: true}, 1},
		{"invalid", Response{Status: http.StatusBadRequest}, 1},
	}
	for _, first := range firstAttempts {
		for _, retry := range retries {
			t.Run(first.name+", then "+retry.name, func(t *testing.T) {
				s, store := newFakeStateService(t)
				s.versions = make(map[string]uint64)
				shard := s.acquireShard(t, store, "x")
				const jobs = 5
				results := make(map[int]CreateResult)
				create := func(i int) {
					shard.CreateJob(smallJob(i), 0, fmt.Sprint("c", i), 0, func(r CreateResult) {
						if results[i] != 0 {
							t.Errorf("job %d: second result %v, want one", i, r)
						}
						results[i] = r
					})
				}
				create(0) // its page is rewritten by the unanswered attempt
				var executeLate func()
				s.loseAnswer = func(apply func()) bool {
					s.loseAnswer = nil
					executeLate = first.lose(apply)
					return true
				}
				attempts := 0
				s.reject = func(t *protocol.Transaction) (Response, bool) {
					if !createsJob(t) {
						return Response{}, false
					}
					attempts++
					return retry.response, attempts > 1 && attempts <= 1+retry.count
				}
				for i := 1; i < jobs; i++ {
					create(i)
				}
				for range 100 {
					s.now += 100 * time.Millisecond
					store.Poll()
					shard.FlushJobs()
				}
				if executeLate != nil {
					executeLate()
				}
				if attempts < 2 {
					t.Fatalf("%d attempts, want at least 2", attempts)
				}
				shard.Close()
				recovered := make(map[string]bool)
				s.acquireShard(t, store, "y").Recover(func(jobs []RecoveredJob) {
					for _, job := range jobs {
						recovered[job.Job.ID] = true
					}
				})
				for i := range jobs {
					id := smallJob(i).ID
					exists := s.keys[JobKey(id)] != nil
					if created := results[i] == Created; results[i] == 0 || created != exists || created != recovered[id] {
						t.Errorf("job %d: reported as %v, record exists: %t, recovered by the next holder: %t", i, results[i], exists, recovered[id])
					}
				}
			})
		}
	}
}
