package simtest

import (
	"net/http"
	"net/url"
	"strconv"
	"strings"
	"time"

	"github.com/cobaltvale/cobaltvale/internal/protocol"
	"github.com/cobaltvale/cobaltvale/internal/standin/kv"
	"github.com/cobaltvale/cobaltvale/internal/storage"
)

// caller serves the calls of one member's processes at once, unless the member is cut
// off.
type nodeCaller struct {
	node  *Node
	serve func(from string, method, path string, body []byte, done func(storage.Response))
}

// Call implements storage.Caller. A process gets no answers to the calls of an earlier
// one.
func (c *nodeCaller) Call(method, path string, body []byte, timeout time.Duration, done func(storage.Response)) {
	process := c.node.Process
	answer := func(r storage.Response) {
		if c.node.Up && c.node.Process != nil && (process == nil || c.node.Process == process) {
			c.node.Process.RunLater(func() { done(r) })
		}
	}
	c.serve(c.node.Name, method, path, body, func(r storage.Response) {
		c.node.deployment.State.deliverResponse(c.node.Name, path, timeout, r, answer)
	})
}

// deliver hands an answer over, at once or as late as the service is slow. A caller
// that has waited for too long has no answer, though the request was carried out.
func (s *State) deliverResponse(to, path string, timeout time.Duration, r storage.Response, answer func(storage.Response)) {
	if s.ResponseDelay == nil || strings.HasPrefix(path, "/watch") {
		answer(r)
		return
	}
	after := s.ResponseDelay(to)
	if after > timeout {
		after, r = timeout, storage.Response{}
	}
	if after == 0 {
		answer(r)
		return
	}
	s.delayedResponses = append(s.delayedResponses, delayedResponse{s.deployment.now + after, func() { answer(r) }})
}

// deliverDueResponses hands over the late answers that have come due.
func (s *State) deliverDueResponses() {
	waiting := s.delayedResponses
	s.delayedResponses = nil
	for _, a := range waiting {
		if s.deployment.now >= a.dueAt {
			a.deliver()
		} else {
			s.delayedResponses = append(s.delayedResponses, a)
		}
	}
}

// State is the state service, with the faults that a test asks for.
type State struct {
	*kv.Store
	Unavailable    map[string]bool               // members that get 503; "" is all of them
	HiddenPrefix   string                        // a prefix whose listings get 503
	HiddenFrom     string                        // the member that gets it; "" is all of them
	StalledWatches map[string]bool               // members whose watches tell nothing
	ResponseDelay  func(to string) time.Duration // how late an answer to a member is; nil: not at all
	// OnTransaction may take a transaction over: it returns true to swallow it, and
	// may apply it later.
	OnTransaction func(from string, t *protocol.Transaction, apply func() storage.Response, done func(storage.Response)) bool
	Limits        *StateLimits // beyond them it refuses; nil: none
	Transactions  int
	Writes        int // changes that were asked for
	Requests      int // requests, but for watches and renewals

	deployment       *Deployment
	watches          []*stateWatch
	delayedResponses []delayedResponse
}

type stateWatch struct {
	member       string // a member; while it is refused its watches wait
	prefix       string
	fromRevision uint64
	expiresAt    time.Duration
	done         func(storage.Response)
}

// delayedResponse is delivered once its time has come.
type delayedResponse struct {
	dueAt   time.Duration
	deliver func()
}

func newState(d *Deployment) *State {
	return &State{Store: kv.New(), deployment: d, Unavailable: make(map[string]bool), StalledWatches: make(map[string]bool)}
}

func (s *State) respond(done func(storage.Response), status int, v any) {
	done(storage.Response{Status: status, Body: s.deployment.Codec.Encode(v)})
}

func (s *State) serve(from, method, path string, body []byte, done func(storage.Response)) {
	if (s.Unavailable[from] || s.Unavailable[""]) && !strings.HasPrefix(path, "/watch") {
		s.respond(done, http.StatusServiceUnavailable, protocol.ErrorBody{Error: "trouble"})
		return
	}
	u, err := url.Parse(path)
	if err != nil {
		s.deployment.T.Fatal(err)
	}
	if u.Path != "/watch" && !strings.HasPrefix(path, "/leases") {
		s.Requests++
	}
	switch {
	case path == "/multi":
		s.transact(from, body, done)
	case path == "/leases":
		var request protocol.LeaseRequest
		s.decode(body, &request)
		id := s.OpenLease(time.Duration(request.TTLMs)*time.Millisecond, s.deployment.now)
		s.respond(done, http.StatusOK, protocol.LeaseResponse{Lease: id})
	case strings.HasSuffix(path, "/touch"):
		status := http.StatusNotFound
		if s.RenewLease(s.parseNumber(strings.Split(path, "/")[2]), s.deployment.now) {
			status = http.StatusOK
		}
		s.respond(done, status, map[string]any{})
	case u.Path == "/kv":
		s.list(from, u.Query(), done)
	case u.Path == "/watch":
		since := s.parseNumber(u.Query().Get("from"))
		s.watches = append(s.watches, &stateWatch{from, u.Query().Get("under"), since, s.deployment.now + watchTimeout, done})
		s.NotifyWatches()
	case method == "GET":
		entry := s.KeyValue(strings.TrimPrefix(path, "/kv/"))
		if entry == nil {
			s.respond(done, http.StatusNotFound, protocol.TransactionResponse{Revision: s.Revision})
			return
		}
		s.respond(done, http.StatusOK, entry)
	default:
		s.deployment.T.Fatalf("state service was asked for %s %s", method, path)
	}
}

func (s *State) decode(body []byte, v any) {
	if err := s.deployment.Codec.Decode(body, v); err != nil {
		s.deployment.T.Fatal(err)
	}
}

func (s *State) parseNumber(number string) uint64 {
	n, err := strconv.ParseUint(number, 10, 64)
	if err != nil {
		s.deployment.T.Fatal(err)
	}
	return n
}

// transact carries a transaction out, unless it is beyond the limits or the test takes
// it over.
func (s *State) transact(from string, body []byte, done func(storage.Response)) {
	var t protocol.Transaction
	s.decode(body, &t)
	apply := func() storage.Response {
		status, response := s.Transact(&t)
		if status == http.StatusOK {
			s.NotifyWatches()
		}
		return storage.Response{Status: status, Body: s.deployment.Codec.Encode(response)}
	}
	s.Transactions++
	s.Writes += len(t.Then)
	if refused := s.checkLimits(from, &t); refused != 0 {
		s.respond(done, refused, protocol.ErrorBody{Error: "limits"})
		return
	}
	if s.OnTransaction != nil && s.OnTransaction(from, &t, apply, done) {
		return
	}
	done(apply())
}

const (
	pageLimit    = 3               // small pages, so that paging is put to use
	watchTimeout = 8 * time.Second // a watch is answered then at the latest
)

func (s *State) list(from string, q url.Values, done func(storage.Response)) {
	if s.HiddenPrefix != "" && (s.HiddenFrom == "" || s.HiddenFrom == from) && strings.HasPrefix(q.Get("under"), s.HiddenPrefix) {
		s.respond(done, http.StatusServiceUnavailable, protocol.ErrorBody{Error: "trouble"})
		return
	}
	s.respond(done, http.StatusOK, s.Page(q.Get("under"), q.Get("from"), pageLimit))
}

// Announce tells the watches of a value that a key does not have.
func (s *State) Announce(key string, value []byte) {
	s.Store.Announce(key, value)
	s.NotifyWatches()
}

// NotifyWatches answers the watches for which something has changed or whose time is over.
func (s *State) NotifyWatches() {
	kept := s.watches[:0]
	var ready []func()
	for _, w := range s.watches {
		if s.Unavailable[w.member] || s.StalledWatches[w.member] {
			kept = append(kept, w)
			continue
		}
		events := s.EventsSince(w.prefix, w.fromRevision)
		if len(events) == 0 && s.deployment.now < w.expiresAt {
			kept = append(kept, w)
			continue
		}
		ready = append(ready, func() { s.respond(w.done, http.StatusOK, kv.WatchResponse{Revision: s.Revision, Events: events}) })
	}
	s.watches = kept
	for _, fn := range ready {
		fn()
	}
}

func (s *State) tick() {
	s.deliverDueResponses()
	if s.Unavailable[""] {
		s.RenewAll(s.deployment.now)
		return
	}
	s.ExpireLeases(s.deployment.now)
	s.NotifyWatches()
}
