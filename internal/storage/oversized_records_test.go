package storage

import (
	"fmt"
	"sort"
	"strings"
	"testing"
	"time"

	"github.com/cobaltvale/cobaltvale/internal/protocol"
)

// A shard that the version before left under larger limits is recovered under
// lower ones: every write stays within them, whatever is begun, ended and finished,
// nothing gets stuck, and after each write both versions recover the same.
func TestOversizedRecordsUnderLowerLimits(t *testing.T) {
	for _, c := range []struct {
		bytes, ops int
		large      bool // the job of 30,000 tasks can go on
	}{{2048, 5, true}, {2048, 2, true}, {1024, 3, false}} {
		t.Run(fmt.Sprintf("%d bytes, %d operations", c.bytes, c.ops), func(t *testing.T) {
			s, store := newFakeStateService(t)
			loadProductionRecords(t, s)
			store.limits.TxnOps, store.limits.ValueBytes = c.ops, c.bytes
			s.checkPut = func(key string, value []byte) {
				if n := s.jsonSize(value); n > c.bytes {
					t.Fatalf("%s gets %d bytes, of %d", key, n, c.bytes)
				}
			}
			shard := s.acquireShard(t, store, "y")
			left := make(map[string]*RecoveredJob)
			shard.Recover(func(jobs []RecoveredJob) {
				for i := range jobs {
					left[jobs[i].Job.ID] = &jobs[i]
				}
			})
			if len(left) != 7 {
				t.Fatalf("%d jobs are recovered, not 7", len(left))
			}
			pass := func(seconds int) {
				for range seconds * 10 {
					s.now += 100 * time.Millisecond
					store.Poll()
					shard.FlushJobs()
					shard.FlushFinishedTasks()
					for _, n := range s.txnSizes {
						if n > c.ops {
							t.Fatalf("a transaction of %d changes, of %d", n, c.ops)
						}
					}
				}
			}
			same := func(when string) {
				t.Helper()
				want := fmt.Sprint(s.unfinishedInOldFormat())
				other := NewShard(store, "n", Holder{Member: "n", Nonce: "z"}, 1, 0, func() {})
				other.Recover(func(jobs []RecoveredJob) {
					if got := fmt.Sprint(finishedCounts(jobs)); got != want {
						t.Fatalf("%s: this version recovers %s, the one before %s", when, got, want)
					}
				})
			}
			noted, written := 0, 0
			for _, j := range left {
				if j.Job.Tasks > 8192 && !c.large {
					continue
				}
				for i, done := range j.FinishedTasks {
					if !done && i%5 == 1 && noted < 4000 {
						j.FinishedTasks[i] = true
						noted++
						shard.FinishTask(&j.Job, i, func() { written++ })
					}
				}
			}
			pass(20)
			if written != noted || noted == 0 {
				t.Fatalf("%d of %d finished tasks are written", written, noted)
			}
			same("after finished tasks")
			for id, n := range s.unfinishedInOldFormat() {
				want := 0
				for _, d := range left[id].FinishedTasks {
					if d {
						want++
					}
				}
				if n != want {
					t.Fatalf("%s has %d finished tasks, not %d", id, n, want)
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
			pass(10)
			same("after creations")
			var ids []string
			for id := range left {
				ids = append(ids, id)
			}
			sort.Strings(ids)
			for _, id := range ids[:len(ids)-1] {
				shard.EndJob(&left[id].Job, "", protocol.StatusDone, func() { ended++ })
				pass(2)
				same("after the end of " + id)
			}
			if created != 12 || ended != len(ids)-1 {
				t.Fatalf("%d of 12 are created, %d of %d ended", created, ended, len(ids)-1)
			}
			last := left[ids[len(ids)-1]]
			shard.EndJob(&last.Job, "", protocol.StatusCancelled, func() { ended++ })
			for i := range 12 {
				shard.EndJob(smallJob(500+i), fmt.Sprint("c", i), protocol.StatusDone, func() { ended++ })
			}
			pass(40)
			for k := range s.keys {
				if strings.HasPrefix(k, "own/") || strings.HasPrefix(k, "done/") {
					t.Fatalf("%s is left of jobs that are over", k)
				}
			}
		})
	}
}
