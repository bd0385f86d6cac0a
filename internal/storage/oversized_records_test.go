package storage

import (
	"fmt"
	"sort"
	"strings"
	"testing"
	"time"

	"github.com/cobaltvale/cobaltvale/internal/protocol"
)

// A shard whose records the previous version wrote under larger limits is recovered under lower
// ones. Whichever jobs are created, ended or have finished tasks, every write stays within the
// lower limits and no write gets stuck, and after each write both versions recover the same.
func TestOversizedRecordsUnderLowerLimits(t *testing.T) {
	for _, c := range []struct {
		bytes, ops   int
		largeJobFits bool // finished tasks of the job with 30,000 tasks can be written under the limits
	}{{2048, 5, true}, {2048, 2, true}, {1024, 3, false}} {
		t.Run(fmt.Sprintf("%d bytes, %d operations", c.bytes, c.ops), func(t *testing.T) {
			s, store := newFakeStateService(t)
			loadProductionRecords(t, s)
			store.limits.TxnOps, store.limits.ValueBytes = c.ops, c.bytes
			s.checkPut = func(key string, value []byte) {
				if n := s.jsonSize(value); n > c.bytes {
					t.Fatalf("%s is written with %d bytes, the limit is %d", key, n, c.bytes)
				}
			}
			shard := s.acquireShard(t, store, "y")
			unfinished := make(map[string]*RecoveredJob)
			shard.Recover(func(jobs []RecoveredJob) {
				for i := range jobs {
					unfinished[jobs[i].Job.ID] = &jobs[i]
				}
			})
			if len(unfinished) != 7 {
				t.Fatalf("recovered %d jobs, want 7", len(unfinished))
			}
			advance := func(seconds int) {
				for range seconds * 10 {
					s.now += 100 * time.Millisecond
					store.Poll()
					shard.FlushJobs()
					shard.FlushFinishedTasks()
					for _, n := range s.txnSizes {
						if n > c.ops {
							t.Fatalf("a transaction has %d changes, the limit is %d", n, c.ops)
						}
					}
				}
			}
			checkBothVersionsRecoverTheSame := func(when string) {
				t.Helper()
				want := fmt.Sprint(s.unfinishedInOldFormat())
				other := NewShard(store, "n", Holder{Member: "n", Nonce: "z"}, 1, 0, func() {})
				other.Recover(func(jobs []RecoveredJob) {
					if got := fmt.Sprint(finishedCounts(jobs)); got != want {
						t.Fatalf("%s: this version recovers %s, the previous one %s", when, got, want)
					}
				})
			}
			recorded, written := 0, 0
			for _, j := range unfinished {
				if j.Job.Tasks > 8192 && !c.largeJobFits {
					continue
				}
				for i, done := range j.FinishedTasks {
					if !done && i%5 == 1 && recorded < 4000 {
						j.FinishedTasks[i] = true
						recorded++
						shard.FinishTask(&j.Job, i, func() { written++ })
					}
				}
			}
			advance(20)
			if written != recorded || recorded == 0 {
				t.Fatalf("wrote %d of %d finished tasks", written, recorded)
			}
			checkBothVersionsRecoverTheSame("after finished tasks")
			for id, n := range s.unfinishedInOldFormat() {
				want := 0
				for _, d := range unfinished[id].FinishedTasks {
					if d {
						want++
					}
				}
				if n != want {
					t.Fatalf("%s has %d finished tasks, want %d", id, n, want)
				}
			}
			created, ended := 0, 0
			for i := range 12 {
				shard.CreateJob(smallJob(500+i), 0, fmt.Sprint("c", i), 0, func(r CreateResult) {
					if r == Created {
						created++
					}
				})
			}
			advance(10)
			checkBothVersionsRecoverTheSame("after creations")
			var ids []string
			for id := range unfinished {
				ids = append(ids, id)
			}
			sort.Strings(ids)
			for _, id := range ids[:len(ids)-1] {
				shard.EndJob(&unfinished[id].Job, "", protocol.StatusDone, func() { ended++ })
				advance(2)
				checkBothVersionsRecoverTheSame("after the end of " + id)
			}
			if created != 12 || ended != len(ids)-1 {
				t.Fatalf("%d of 12 jobs were created, %d of %d ended", created, ended, len(ids)-1)
			}
			last := unfinished[ids[len(ids)-1]]
			shard.EndJob(&last.Job, "", protocol.StatusCancelled, func() { ended++ })
			for i := range 12 {
				shard.EndJob(smallJob(500+i), fmt.Sprint("c", i), protocol.StatusDone, func() { ended++ })
			}
			advance(40)
			for k := range s.keys {
				if strings.HasPrefix(k, "own/") || strings.HasPrefix(k, "done/") {
					t.Fatalf("%s is left after all jobs have ended", k)
				}
			}
		})
	}
}
