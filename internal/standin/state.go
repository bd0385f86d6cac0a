// Package standin has small stand-ins for what surrounds the controllers, served on
// loopback: a state service, a cloud with a fixed fleet, workers and users. Tests and
// measuring tools run real controllers against them.
package standin

import (
	"io"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/cobaltvale/cobaltvale/internal/protocol"
	"github.com/cobaltvale/cobaltvale/internal/standin/kv"
)

const (
	maxBodyBytes       = 1 << 20
	leaseSweepInterval = 50 * time.Millisecond
)

// State is a state service in memory, without limits of its own.
type State struct {
	codec     *protocol.Codec
	stop      chan struct{}
	startedAt time.Time

	mu       sync.Mutex
	store    *kv.Store
	changed  chan struct{} // closed at the next change
	requests int
}

// NewState makes an empty state service.
func NewState(codec *protocol.Codec) *State {
	s := &State{codec: codec, stop: make(chan struct{}), startedAt: time.Now(), store: kv.New(), changed: make(chan struct{})}
	go s.expireLeases()
	return s
}

// Close ends the leases' clock and all watches.
func (s *State) Close() { close(s.stop) }

// Changes is how many changes keys with a prefix have had, and how many requests
// there were in all.
func (s *State) Changes(prefix string) (changes, requests int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.store.ChangeCount(prefix), s.requests
}

// sweep ends leases that were not renewed.
func (s *State) expireLeases() {
	ticker := time.NewTicker(leaseSweepInterval)
	defer ticker.Stop()
	for {
		select {
		case <-s.stop:
			return
		case <-ticker.C:
			s.mu.Lock()
			if s.store.ExpireLeases(s.now()) {
				s.notifyWatches()
			}
			s.mu.Unlock()
		}
	}
}

// now is the leases' clock.
func (s *State) now() time.Duration { return time.Since(s.startedAt) }

func (s *State) notifyWatches() {
	close(s.changed)
	s.changed = make(chan struct{})
}

// ServeHTTP implements http.Handler.
func (s *State) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(io.LimitReader(r.Body, maxBodyBytes))
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
	reply(w, s.codec, 200, protocol.LeaseResponse{Lease: s.store.OpenLease(ttl, s.now())})
}

func (s *State) renewLease(w http.ResponseWriter, path string) {
	id, err := strconv.ParseUint(strings.Split(path, "/")[2], 10, 64)
	s.mu.Lock()
	defer s.mu.Unlock()
	if err != nil || !s.store.RenewLease(id, s.now()) {
		reply(w, s.codec, 404, protocol.ErrorBody{Error: "no such lease"})
		return
	}
	reply(w, s.codec, 200, protocol.ErrorBody{})
}

func (s *State) get(w http.ResponseWriter, key string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	entry := s.store.KeyValue(key)
	if entry == nil {
		reply(w, s.codec, 404, protocol.TransactionResponse{Revision: s.store.Revision})
		return
	}
	reply(w, s.codec, 200, entry)
}

func (s *State) list(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	limit, err := strconv.Atoi(q.Get("limit"))
	if err != nil {
		limit = 1000
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	reply(w, s.codec, 200, s.store.Page(q.Get("under"), q.Get("from"), limit))
}

func (s *State) transact(w http.ResponseWriter, t *protocol.Transaction) {
	s.mu.Lock()
	defer s.mu.Unlock()
	status, response := s.store.Transact(t)
	if status == 200 && len(t.Then) > 0 {
		s.notifyWatches()
	}
	reply(w, s.codec, status, response)
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
		out := kv.WatchResponse{Revision: s.store.Revision, Events: s.store.EventsSince(q.Get("under"), from)}
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
