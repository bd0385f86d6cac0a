// Package standin provides stand-ins for the controllers' environment, served on loopback: a
// state service, a cloud with a fixed set of machines, workers and users. Tests and
// benchmarks run real controllers against them.
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

// State is an in-memory state service without limits on rates or sizes.
type State struct {
	codec     *protocol.Codec
	stop      chan struct{}
	startedAt time.Time

	mu       sync.Mutex // guards all fields below
	store    *kv.Store
	changed  chan struct{} // closed and replaced at the next change
	requests int
}

// NewState returns an empty state service, which expires leases until Close.
func NewState(codec *protocol.Codec) *State {
	s := &State{codec: codec, stop: make(chan struct{}), startedAt: time.Now(), store: kv.New(), changed: make(chan struct{})}
	go s.expireLeases()
	return s
}

// Close stops the expiry of leases and cuts off all watches. It must be called only once.
func (s *State) Close() { close(s.stop) }

// Changes returns how many changes the keys with a prefix have had, and how many requests
// of any kind the service has received.
func (s *State) Changes(prefix string) (changes, requests int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.store.ChangeCount(prefix), s.requests
}

// expireLeases ends the leases that were not renewed in time, until Close.
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

// now is the time on the leases' clock, which starts at 0 with the service.
func (s *State) now() time.Duration { return time.Since(s.startedAt) }

// notifyWatches wakes up all watches. It must be called with mu held.
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
		var request protocol.LeaseRequest
		if s.codec.Decode(body, &request) != nil {
			reply(w, s.codec, 400, protocol.ErrorBody{Error: "malformed"})
			return
		}
		s.openLease(w, time.Duration(request.TTLMs)*time.Millisecond)
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
	// A write error means that the client has closed the connection.
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
	query := r.URL.Query()
	limit, err := strconv.Atoi(query.Get("limit"))
	if err != nil {
		limit = 1000
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	reply(w, s.codec, 200, s.store.Page(query.Get("under"), query.Get("from"), limit))
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

// watch answers with the changes under a prefix after a revision: as soon as there is one,
// or with none when the request's holding time is over.
func (s *State) watch(w http.ResponseWriter, r *http.Request) {
	query := r.URL.Query()
	from, err := strconv.ParseUint(query.Get("from"), 10, 64)
	holdMs, holdErr := strconv.Atoi(query.Get("holdMs"))
	if err != nil || holdErr != nil {
		reply(w, s.codec, 400, protocol.ErrorBody{Error: "malformed"})
		return
	}
	timeout := time.NewTimer(time.Duration(holdMs) * time.Millisecond)
	defer timeout.Stop()
	for timedOut := false; ; {
		s.mu.Lock()
		response := kv.WatchResponse{Revision: s.store.Revision, Events: s.store.EventsSince(query.Get("under"), from)}
		changed := s.changed
		s.mu.Unlock()
		if len(response.Events) > 0 || timedOut {
			reply(w, s.codec, 200, response)
			return
		}
		select {
		case <-changed:
		case <-timeout.C:
			timedOut = true
		case <-r.Context().Done():
			return
		case <-s.stop:
			return
		}
	}
}
