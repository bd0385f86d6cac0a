package storage

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/rs/zerolog"

	"github.com/cobaltvale/cobaltvale/internal/protocol"
)

// fakeStateService is a state service in memory that records the sizes of transactions. It is
// its own clock.
type fakeStateService struct {
	t            *testing.T
	codec        *protocol.Codec
	now          time.Duration
	revision     uint64
	keys         map[string][]byte
	txnSizes     []int // number of changes of each transaction
	totalChanges int

	versions map[string]uint64 // of keys; nil: all conditions of transactions hold
	// loseAnswer reports whether a transaction gets no answer. It may call apply at once, later
	// or never.
	loseAnswer func(apply func()) bool
	// reject returns the response with which a transaction is rejected instead of being executed,
	// and whether it is.
	reject func(t *protocol.Transaction) (Response, bool)
	// checkPut is called for every value that is written.
	checkPut func(key string, value []byte)
}

func (s *fakeStateService) Now() time.Duration { return s.now }

func (s *fakeStateService) Call(_, path string, body []byte, _ time.Duration, done func(Response)) {
	if key, ok := strings.CutPrefix(path, "/kv/"); ok {
		if v := s.keys[key]; v != nil {
			done(Response{Status: 200, Body: s.codec.Encode(protocol.KeyValue{Key: key, Value: v, Version: s.versions[key]})})
			return
		}
		done(Response{Status: 404, Body: s.codec.Encode(protocol.TransactionResponse{Revision: s.revision})})
		return
	}
	if path != "/multi" {
		out := protocol.KeyValuePage{Items: []protocol.KeyValue{}}
		under, _, _ := strings.Cut(strings.TrimPrefix(path, "/kv?under="), "&")
		for k, v := range s.keys {
			if strings.HasPrefix(k, under) {
				out.Items = append(out.Items, protocol.KeyValue{Key: k, Value: v})
			}
		}
		done(Response{Status: 200, Body: s.codec.Encode(out)})
		return
	}
	var t protocol.Transaction
	if err := s.codec.Decode(body, &t); err != nil {
		s.t.Fatal(err)
	}
	s.txnSizes = append(s.txnSizes, len(t.Then))
	s.totalChanges += len(t.Then)
	if s.reject != nil {
		if response, rejected := s.reject(&t); rejected {
			done(response)
			return
		}
	}
	if s.loseAnswer != nil && s.loseAnswer(func() { s.apply(&t) }) {
		done(Response{})
		return
	}
	if failed := s.apply(&t); len(failed) > 0 {
		done(Response{Status: 409, Body: s.codec.Encode(protocol.TransactionResponse{Revision: s.revision, Failed: failed})})
		return
	}
	done(Response{Status: 200, Body: s.codec.Encode(protocol.TransactionResponse{Revision: s.revision})})
}

// apply executes a transaction if its conditions are met, and otherwise returns the keys whose
// conditions are not.
func (s *fakeStateService) apply(t *protocol.Transaction) (failed []string) {
	for _, c := range t.If {
		if s.versions != nil && s.versions[c.Key] != c.Version {
			failed = append(failed, c.Key)
		}
	}
	if len(failed) > 0 {
		return failed
	}
	s.revision++
	for _, c := range t.Then {
		if c.Put == "" {
			delete(s.keys, c.Delete)
			delete(s.versions, c.Delete)
			continue
		}
		if len(c.Value) > 8192 {
			s.t.Fatalf("%s is written with %d bytes, the limit is 8192", c.Put, len(c.Value))
		}
		if s.checkPut != nil {
			s.checkPut(c.Put, c.Value)
		}
		s.keys[c.Put] = append([]byte(nil), c.Value...)
		if s.versions != nil {
			s.versions[c.Put] = s.revision
		}
	}
	return nil
}

// newFakeStateService returns a fake state service and a store that uses it.
func newFakeStateService(t *testing.T) (*fakeStateService, *Store) {
	t.Helper()
	codec, err := protocol.NewCodec()
	if err != nil {
		t.Fatal(err)
	}
	log := zerolog.Nop()
	s := &fakeStateService{t: t, codec: codec, now: time.Minute, keys: make(map[string][]byte)}
	store := NewStore(s, s, codec, Limits{RPS: 50, WriteRPS: 10, TxnOps: 4, ValueBytes: 8192, Timeout: time.Second}, func(fn func()) { fn() }, &log)
	return s, store
}

// acquireShard writes the key of shard "n" for a holder, as the election does, and returns the
// shard.
func (s *fakeStateService) acquireShard(t *testing.T, store *Store, nonce string) *Shard {
	t.Helper()
	s.revision++
	me := Holder{Member: "n", Nonce: nonce}
	s.keys[ShardKey("n")], s.versions[ShardKey("n")] = s.codec.Encode(me), s.revision
	return NewShard(store, "n", me, 1, s.revision, func() { t.Fatal("the shard was lost") })
}

// smallJob returns a job of one task.
func smallJob(i int) *protocol.Job {
	return &protocol.Job{ID: fmt.Sprintf("wk-%06d", i), Class: "photo-verify", Team: "vogeluni", Tasks: 1, CPUs: 0.25, MemoryGB: 0.9,
		Image: "img-04", ImageGB: 0.5, AnyType: true, Spot: true, EstimateS: 150}
}
