package storage

import (
	"testing"
	"time"

	"github.com/cobaltvale/cobaltvale/internal/protocol"
)

// A write without an answer must take effect exactly once, whether the service executed it,
// never executes it, or executes it after the wait for the answer has ended. By then the
// shard's key has a new version.
func TestFenceResolvesUnknownOutcome(t *testing.T) {
	for _, c := range []struct {
		name string
		lose func(apply func()) (executeLate func())
	}{
		{"executed", func(apply func()) func() { apply(); return nil }},
		{"never executed", func(func()) func() { return nil }},
		{"executed too late", func(apply func()) func() { return apply }},
	} {
		t.Run(c.name, func(t *testing.T) {
			s, store := newFakeStateService(t)
			s.versions = make(map[string]uint64)
			shard := s.acquireShard(t, store, "x")
			versionBefore := shard.Version()
			var executeLate func()
			s.loseAnswer = func(apply func()) bool {
				s.loseAnswer = nil
				executeLate = c.lose(apply)
				return true
			}
			results := 0
			write := protocol.Transaction{
				If:   []protocol.Condition{{Key: "a"}},
				Then: []protocol.Change{{Put: "a", Value: s.codec.Encode(1)}},
			}
			shard.fence.write(Foreground, write, reportRejection, func(r TxnResult) {
				results++
				if r.Outcome == Conflict && !r.FailedOn("a") {
					t.Errorf("conflict on %v, want none on other keys than a", r.FailedKeys)
				}
			})
			for range 20 {
				s.now += time.Second
				store.Poll()
			}
			written := s.versions["a"]
			if executeLate != nil {
				executeLate()
			}
			if results != 1 || written == 0 || s.versions["a"] != written {
				t.Fatalf("%d results, want 1; key a has version %d, and %d after the late execution", results, written, s.versions["a"])
			}
			if shard.Version() == versionBefore {
				t.Fatal("the shard's key still has its old version")
			}
		})
	}
}

// A shard whose key another process has acquired is lost: onLost is called once, and nothing
// more is written.
func TestFenceIsLostToAnotherHolder(t *testing.T) {
	s, store := newFakeStateService(t)
	s.versions = make(map[string]uint64)
	s.acquireShard(t, store, "x")
	lost := 0
	shard := NewShard(store, "n", Holder{Member: "n", Nonce: "x"}, 1, s.revision, func() { lost++ })
	s.acquireShard(t, store, "y")
	for i := range 3 {
		shard.CreateJob(smallJob(i), 0, "c", 0, func(r CreateResult) { t.Errorf("job %d: %v", i, r) })
	}
	if lost != 1 || len(s.keys) != 1 {
		t.Fatalf("onLost was called %d times, want 1; %d keys exist, want 1", lost, len(s.keys))
	}
}
