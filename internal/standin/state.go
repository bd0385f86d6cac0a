// Package standin has small stand-ins for what surrounds the controllers, served on
// loopback: a state service, a cloud with a fixed fleet, workers and users. Tests and
// measuring tools run real controllers against them.
package standin

import (
	"io"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/cobaltvale/cobaltvale/internal/protocol"
)

const (
	maxBody    = 1 << 20
	sweepEvery = 50 * time.Millisecond
)

// State is a state service in memory, without limits of its own.
type State struct {
	codec *protocol.Codec
	stop  chan struct{}

	mu           sync.Mutex
	revision     uint64
	keys         map[string]*stateKey
	leases       map[uint64]*stateLease
	events       []stateEvent
	changed      chan struct{} // closed at the next change
	changeCounts map[string]int
	requests     int
}

type stateKey struct {
	value   []byte
	version uint64
	lease   uint64
}

type stateLease struct {
	ttl     time.Duration
	renewed time.Time
}

type stateEvent struct {
	key     string
	value   []byte // nil: it was dropped
	version uint64
}

// NewState makes an empty state service.
func NewState(codec *protocol.Codec) *State {
	s := &State{codec: codec, stop: make(chan struct{}), keys: make(map[string]*stateKey), leases: make(map[uint64]*stateLease),
		changed: make(chan struct{}), changeCounts: make(map[string]int)}
	go s.sweep()
	return s
}

// Close ends the leases' clock and all watches.
func (s *State) Close() { close(s.stop) }

// Changes is how many changes keys with a prefix have had, and how many requests
// there were in all.
func (s *State) Changes(prefix string) (changes, requests int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for key, n := range s.changeCounts {
		if strings.HasPrefix(key, prefix) {
			changes += n
		}
	}
	return changes, s.requests
}

// sweep ends leases that were not renewed.
func (s *State) sweep() {
	ticker := time.NewTicker(sweepEvery)
	defer ticker.Stop()
	for {
		select {
		case <-s.stop:
			return
		case now := <-ticker.C:
			s.mu.Lock()
			for id, lease := range s.leases {
				if now.Sub(lease.renewed) > lease.ttl {
					s.expireLease(id)
				}
			}
			s.mu.Unlock()
		}
	}
}

func (s *State) expireLease(id uint64) {
	delete(s.leases, id)
	s.revision++
	for key, entry := range s.keys {
		if entry.lease == id {
			s.deleteKey(key)
		}
	}
	s.notifyWatches()
}

func (s *State) deleteKey(key string) {
	delete(s.keys, key)
	s.changeCounts[key]++
	s.events = append(s.events, stateEvent{key: key, version: s.revision})
}

func (s *State) notifyWatches() {
	close(s.changed)
	s.changed = make(chan struct{})
}

// ServeHTTP implements http.Handler.
func (s *State) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(io.LimitReader(r.Body, maxBody))
	if err != nil {
		return
	}
	s.mu.Lock()
	s.requests++
	s.mu.Unlock()
	path := r.URL.Path
	switch {
	case path == "/watch":
		s.watch(w, r)
	case path == "/multi":
		var t protocol.Transaction
		if s.codec.Decode(body, &t) != nil {
			reply(w, s.codec, 400, protocol.ErrorBody{Error: "malformed"})
			return
		}
		s.transact(w, &t)
	case path == "/leases":
		var q protocol.LeaseRequest
		if s.codec.Decode(body, &q) != nil {
			reply(w, s.codec, 400, protocol.ErrorBody{Error: "malformed"})
			return
		}
		s.openLease(w, time.Duration(q.TTLMs)*time.Millisecond)
	case strings.HasPrefix(path, "/leases/"):
		s.renewLease(w, path)
	case path == "/kv":
		s.list(w, r)
	default:
		s.get(w, strings.TrimPrefix(path, "/kv/"))
	}
}

func reply(w http.ResponseWriter, codec *protocol.Codec, status int, v any) {
	w.WriteHeader(status)
	// A client that has gone away is not told.
	_, _ = w.Write(codec.Encode(v))
}

func (s *State) openLease(w http.ResponseWriter, ttl time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.revision++
	s.leases[s.revision] = &stateLease{ttl: ttl, renewed: time.Now()}
	reply(w, s.codec, 200, protocol.LeaseResponse{Lease: s.revision})
}

func (s *State) renewLease(w http.ResponseWriter, path string) {
	id, err := strconv.ParseUint(strings.Split(path, "/")[2], 10, 64)
	s.mu.Lock()
	defer s.mu.Unlock()
	lease := s.leases[id]
	if err != nil || lease == nil {
		reply(w, s.codec, 404, protocol.ErrorBody{Error: "no such lease"})
		return
	}
	lease.renewed = time.Now()
	reply(w, s.codec, 200, protocol.ErrorBody{})
}

func (s *State) get(w http.ResponseWriter, key string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	entry := s.keys[key]
	if entry == nil {
		reply(w, s.codec, 404, protocol.TransactionResponse{Revision: s.revision})
		return
	}
	reply(w, s.codec, 200, protocol.KeyValue{Key: key, Value: entry.value, Version: entry.version, Lease: entry.lease})
}

func (s *State) list(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	limit, err := strconv.Atoi(q.Get("limit"))
	if err != nil {
		limit = 1000
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	var names []string
	for key := range s.keys {
		if strings.HasPrefix(key, q.Get("under")) && key > q.Get("from") {
			names = append(names, key)
		}
	}
	slices.Sort(names)
	out := protocol.KeyValuePage{Items: []protocol.KeyValue{}, Revision: s.revision, More: len(names) > limit}
	for _, key := range names[:min(limit, len(names))] {
		entry := s.keys[key]
		out.Items = append(out.Items, protocol.KeyValue{Key: key, Value: entry.value, Version: entry.version, Lease: entry.lease})
	}
	reply(w, s.codec, 200, out)
}

func (s *State) transact(w http.ResponseWriter, txn *protocol.Transaction) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, c := range txn.Then {
		if c.Put != "" && c.Lease != 0 && s.leases[c.Lease] == nil {
			reply(w, s.codec, 400, protocol.ErrorBody{Error: "no such lease"})
			return
		}
	}
	var failed []string
	for _, c := range txn.If {
		stamp := uint64(0)
		if entry := s.keys[c.Key]; entry != nil {
			stamp = entry.version
		}
		if stamp != c.Version {
			failed = append(failed, c.Key)
		}
	}
	if len(failed) > 0 {
		reply(w, s.codec, 409, protocol.TransactionResponse{Failed: failed, Revision: s.revision})
		return
	}
	if len(txn.Then) > 0 {
		s.revision++
		for _, c := range txn.Then {
			s.applyChange(&c)
		}
		s.notifyWatches()
	}
	reply(w, s.codec, 200, protocol.TransactionResponse{Revision: s.revision})
}

func (s *State) applyChange(c *protocol.Change) {
	if c.Put == "" {
		if s.keys[c.Delete] != nil {
			s.deleteKey(c.Delete)
		}
		return
	}
	value := slices.Clone([]byte(c.Value))
	s.keys[c.Put] = &stateKey{value: value, version: s.revision, lease: c.Lease}
	s.changeCounts[c.Put]++
	s.events = append(s.events, stateEvent{key: c.Put, value: value, version: s.revision})
}

// watch answers once something under a prefix has changed after a revision.
func (s *State) watch(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	from, err := strconv.ParseUint(q.Get("from"), 10, 64)
	hold, herr := strconv.Atoi(q.Get("holdMs"))
	if err != nil || herr != nil {
		reply(w, s.codec, 400, protocol.ErrorBody{Error: "malformed"})
		return
	}
	timeout := time.NewTimer(time.Duration(hold) * time.Millisecond)
	defer timeout.Stop()
	for over := false; ; {
		s.mu.Lock()
		out := protocol.WatchResponse{Revision: s.revision, Events: s.eventsSince(q.Get("under"), from)}
		changed := s.changed
		s.mu.Unlock()
		if len(out.Events) > 0 || over {
			reply(w, s.codec, 200, out)
			return
		}
		select {
		case <-changed:
		case <-timeout.C:
			over = true
		case <-r.Context().Done():
			return
		case <-s.stop:
			return
		}
	}
}

func (s *State) eventsSince(prefix string, from uint64) []protocol.Event {
	out := []protocol.Event{}
	first, _ := slices.BinarySearchFunc(s.events, from+1, func(e stateEvent, stamp uint64) int {
		if e.version < stamp {
			return -1
		}
		return 1
	})
	for _, e := range s.events[first:] {
		switch {
		case !strings.HasPrefix(e.key, prefix):
		case e.value != nil:
			out = append(out, protocol.Event{Put: e.key, Value: e.value, Version: e.version})
		default:
			out = append(out, protocol.Event{Delete: e.key, Version: e.version, Value: []byte{nullCBOR}})
		}
	}
	return out
}

// nullCBOR is null: an empty value would not encode.
const nullCBOR = 0xf6
