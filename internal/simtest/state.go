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

// nodeCaller passes the calls of one member's processes to the stand-in for the state service
// or for the cloud, which serves them at once.
type nodeCaller struct {
	node  *Node
	serve func(from string, method, path string, body []byte, done func(storage.Response))
}

// Call implements storage.Caller. Responses to a process that has ended are dropped.
// State.ResponseDelay applies to calls of the cloud, too.
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

// deliverResponse passes a response to its caller at once, or after ResponseDelay. If the delay
// exceeds the caller's timeout, the caller gets an empty response at the timeout, although the
// request was carried out. Watches are not delayed.
func (s *State) deliverResponse(to, path string, timeout time.Duration, r storage.Response, answer func(storage.Response)) {
	if s.ResponseDelay == nil || strings.HasPrefix(path, "/watch") {
		answer(r)
		return
	}
	delay := s.ResponseDelay(to)
	if delay > timeout {
		delay, r = timeout, storage.Response{}
	}
	if delay == 0 {
		answer(r)
		return
	}
	s.delayedResponses = append(s.delayedResponses, delayedResponse{s.deployment.now + delay, func() { answer(r) }})
}

// deliverDueResponses delivers the delayed responses that are due.
func (s *State) deliverDueResponses() {
	delayed := s.delayedResponses
	s.delayedResponses = nil
	for _, response := range delayed {
		if s.deployment.now >= response.dueAt {
			response.deliver()
		} else {
			s.delayedResponses = append(s.delayedResponses, response)
		}
	}
}

// State is the stand-in for the state service, with faults that a test sets.
type State struct {
	*kv.Store
	Unavailable    map[string]bool               // members that get 503, except for watches; "": all
	HiddenPrefix   string                        // prefix of keys whose listings get 503; "": none
	HiddenFrom     string                        // member that gets these 503s; "": all
	StalledWatches map[string]bool               // members whose watches get no response
	ResponseDelay  func(to string) time.Duration // delay of each response to a member; nil: no delay
	// OnTransaction is called for each transaction within the limits. If it returns true, it
	// has taken the transaction over: apply carries it out and done answers it, at any time
	// or never. It may be nil.
	OnTransaction func(from string, t *protocol.Transaction, apply func() storage.Response, done func(storage.Response)) bool
	Limits        *StateLimits // larger or more frequent transactions are rejected; nil: no limits
	Transactions  int          // transactions served
	Writes        int          // changes in these transactions
	Requests      int          // requests served, except watches and requests on leases

	deployment       *Deployment
	watches          []*stateWatch
	delayedResponses []delayedResponse
}

type stateWatch struct {
	member       string // gets no response while it is in Unavailable or StalledWatches
	prefix       string
	fromRevision uint64
	expiresAt    time.Duration
	done         func(storage.Response)
}

// delayedResponse is a response that is delivered at dueAt, on the deployment's clock.
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
		s.respond(done, http.StatusServiceUnavailable, protocol.ErrorBody{Error: "unavailable"})
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

// transact carries out a transaction, unless it exceeds the limits or OnTransaction takes it
// over.
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
	if rejected := s.checkLimits(from, &t); rejected != 0 {
		s.respond(done, rejected, protocol.ErrorBody{Error: "limits"})
		return
	}
	if s.OnTransaction != nil && s.OnTransaction(from, &t, apply, done) {
		return
	}
	done(apply())
}

const (
	pageLimit    = 3               // keys in a page of a listing; few, so that tests use several pages
	watchTimeout = 8 * time.Second // a watch without events is answered after this time
)

func (s *State) list(from string, q url.Values, done func(storage.Response)) {
	if s.HiddenPrefix != "" && (s.HiddenFrom == "" || s.HiddenFrom == from) && strings.HasPrefix(q.Get("under"), s.HiddenPrefix) {
		s.respond(done, http.StatusServiceUnavailable, protocol.ErrorBody{Error: "unavailable"})
		return
	}
	s.respond(done, http.StatusOK, s.Page(q.Get("under"), q.Get("from"), pageLimit))
}

// Announce sends watches the event of a write that the stored value of the key does not show.
func (s *State) Announce(key string, value []byte) {
	s.Store.Announce(key, value)
	s.NotifyWatches()
}

// NotifyWatches answers the watches for which there are events or whose time is over.
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
