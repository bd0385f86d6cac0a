package storage

import (
	"testing"
	"time"

	"github.com/cobaltvale/cobaltvale/internal/protocol"
)

// A write without an answer is applied exactly once, whether it was carried out, never,
// or later than its answer was waited for; the shard's key has another version by then.
func TestFenceResolvesUnknownOutcome(t *testing.T) {
	for _, c := range []struct {
		name string
		lose func(apply func()) (late func())
	}{
		{"carried out", func(apply func()) func() { apply(); return nil }},
		{"never carried out", func(func()) func() { return nil }},
		{"carried out too late", func(apply func()) func() { return apply }},
	} {
		t.Run(c.name, func(t *testing.T) {
			s, store := newFakeStateService(t)
			s.versions = make(map[string]uint64)
			shard := s.acquireShard(t, store, "x")
			before := shard.Version()
			var late func()
			s.loseAnswer = func(apply func()) bool {
				s.loseAnswer = nil
				late = c.lose(apply)
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
					t.Errorf("failed on %v", r.FailedKeys)
				}
			})
			for range 20 {
				s.now += time.Second
				store.Poll()
			}
			written := s.versions["a"]
			if late != nil {
				late()
			}
			if results != 1 || written == 0 || s.versions["a"] != written {
				t.Fatalf("%d results; written as version %d, %d in the end", results, written, s.versions["a"])
			}
			if shard.Version() == before {
				t.Fatal("the shard's key has its version of before")
			}
		})
	}
}

// A shard whose key another process holds is lost, once, and writes nothing more.
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
		t.Fatalf("lost %d times; %d keys", lost, len(s.keys))
	}
}
