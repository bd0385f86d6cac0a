package coordination

import (
	"net/url"
	"sort"
	"strconv"
	"strings"
	"time"

	"github.com/cobaltvale/cobaltvale/internal/protocol"
	"github.com/cobaltvale/cobaltvale/internal/storage"
)

// fakeCaller serves calls at once, unless the node is cut off.
type fakeCaller struct {
	sim     *simulation
	node    *node
	process uint64
	serve   func(from string, method, path string, body []byte, done func(storage.Response))
}

func (f *fakeCaller) Call(method, path string, body []byte, timeout time.Duration, done func(storage.Response)) {
	controller := f.node.controller
	answer := func(r storage.Response) {
		if f.node.up && f.node.controller != nil && (controller == nil || f.node.controller == controller) {
			f.node.controller.runLater(func() { done(r) })
		}
	}
	f.serve(f.node.name, method, path, body, func(r storage.Response) { f.sim.state.deliver(f.node.name, path, timeout, r, answer) })
}

// deliver hands an answer over, at once or as late as the service is slow. A caller
// that has waited for too long has no answer, though the request was carried out.
func (s *fakeState) deliver(to, path string, timeout time.Duration, r storage.Response, answer func(storage.Response)) {
	if s.responseDelay == nil || strings.HasPrefix(path, "/watch") {
		answer(r)
		return
	}
	after := s.responseDelay(to)
	if after > timeout {
		after, r = timeout, storage.Response{}
	}
	if after == 0 {
		answer(r)
		return
	}
	s.lateResponses = append(s.lateResponses, delayedCall{s.sim.now + after, func() { answer(r) }})
}

// deliverLate hands over the late answers that have come due.
func (s *fakeState) deliverLate() {
	waiting := s.lateResponses
	s.lateResponses = nil
	for _, a := range waiting {
		if s.sim.now >= a.at {
			a.run()
		} else {
			s.lateResponses = append(s.lateResponses, a)
		}
	}
}

// fakeState is the state service.
type fakeState struct {
	sim            *simulation
	revision       uint64
	keys           map[string]*stateKey
	leases         map[uint64]*stateLease
	lastLease      uint64
	changes        []stateChange
	watches        []*stateWatch
	unavailable    map[string]bool               // members that get 503; "" is all of them
	hiddenPrefix   string                        // a prefix whose listings get 503
	hiddenFrom     string                        // the member that gets it; "" is all of them
	stalledWatches map[string]bool               // members whose watches tell nothing
	responseDelay  func(to string) time.Duration // how late an answer to a member is; nil: not at all
	lateResponses  []delayedCall                 // late ones
	// onTxn may take a transaction over: it returns true to swallow it, and
	// may apply it later.
	onTransaction func(from string, t *protocol.Transaction, apply func() storage.Response, done func(storage.Response)) bool
	limits        *stateLimits // beyond them it refuses; nil: none
	transactions  int
	writes        int // changes that were asked for
	requests      int // requests, but for watches and renewals
}

type stateKey struct {
	value   []byte
	version uint64
	lease   uint64
}

type stateLease struct {
	ttl, end time.Duration
}

type stateChange struct {
	revision uint64
	event    map[string]any
	key      string
}

type stateWatch struct {
	member string // a member; while it is refused its watches wait
	prefix string
	from   uint64
	until  time.Duration
	done   func(storage.Response)
}

func newFakeState(sim *simulation) *fakeState {
	return &fakeState{sim: sim, keys: make(map[string]*stateKey), leases: make(map[uint64]*stateLease), unavailable: make(map[string]bool), stalledWatches: make(map[string]bool)}
}

func (s *fakeState) respond(done func(storage.Response), status int, v any) {
	done(storage.Response{Status: status, Body: s.sim.codec.Encode(v)})
}

func (s *fakeState) serve(from, method, path string, body []byte, done func(storage.Response)) {
	if (s.unavailable[from] || s.unavailable[""]) && !strings.HasPrefix(path, "/watch") {
		s.respond(done, 503, map[string]any{"error": "trouble"})
		return
	}
	u, err := url.Parse(path)
	if err != nil {
		s.sim.t.Fatal(err)
	}
	if u.Path != "/watch" && !strings.HasPrefix(path, "/leases") {
		s.requests++
	}
	switch {
	case path == "/multi":
		var t protocol.Transaction
		if err := s.sim.codec.Decode(body, &t); err != nil {
			s.sim.t.Fatal(err)
		}
		apply := func() storage.Response {
			var out storage.Response
			s.transact(&t, func(r storage.Response) { out = r })
			return out
		}
		s.transactions++
		s.writes += len(t.Then)
		if refused := s.checkLimits(from, &t); refused != 0 {
			s.respond(done, refused, map[string]any{"error": "limits"})
			return
		}
		if s.onTransaction != nil && s.onTransaction(from, &t, apply, done) {
			return
		}
		done(apply())
	case path == "/leases":
		var q protocol.LeaseRequest
		if err := s.sim.codec.Decode(body, &q); err != nil {
			s.sim.t.Fatal(err)
		}
		s.lastLease++
		ttl := time.Duration(q.TTLMs) * time.Millisecond
		s.leases[s.lastLease] = &stateLease{ttl: ttl, end: s.sim.now + ttl}
		s.respond(done, 200, protocol.LeaseResponse{Lease: s.lastLease})
	case strings.HasSuffix(path, "/touch"):
		id, err := strconv.ParseUint(strings.Split(path, "/")[2], 10, 64)
		if err != nil {
			s.sim.t.Fatal(err)
		}
		lease := s.leases[id]
		if lease == nil {
			s.respond(done, 404, map[string]any{})
			return
		}
		lease.end = s.sim.now + lease.ttl
		s.respond(done, 200, map[string]any{})
	case u.Path == "/kv":
		s.list(from, u.Query(), done)
	case u.Path == "/watch":
		since, err := strconv.ParseUint(u.Query().Get("from"), 10, 64)
		if err != nil {
			s.sim.t.Fatal(err)
		}
		s.watches = append(s.watches, &stateWatch{from, u.Query().Get("under"), since, s.sim.now + 8*time.Second, done})
		s.notifyWatches()
	case method == "GET":
		key := strings.TrimPrefix(path, "/kv/")
		entry := s.keys[key]
		if entry == nil {
			s.respond(done, 404, map[string]any{"edition": s.revision})
			return
		}
		s.respond(done, 200, protocol.KeyValue{Key: key, Value: entry.value, Version: entry.version, Lease: entry.lease})
	default:
		s.sim.t.Fatalf("state service was asked for %s %s", method, path)
	}
}

func (s *fakeState) list(from string, q url.Values, done func(storage.Response)) {
	if s.hiddenPrefix != "" && (s.hiddenFrom == "" || s.hiddenFrom == from) && strings.HasPrefix(q.Get("under"), s.hiddenPrefix) {
		s.respond(done, 503, map[string]any{"error": "trouble"})
		return
	}
	var names []string
	for name := range s.keys {
		if strings.HasPrefix(name, q.Get("under")) && name > q.Get("from") {
			names = append(names, name)
		}
	}
	sort.Strings(names)
	out := protocol.KeyValuePage{Items: []protocol.KeyValue{}, Revision: s.revision}
	for _, name := range names {
		if len(out.Items) == 3 { // small pages, so that paging is put to use
			out.More = true
			break
		}
		entry := s.keys[name]
		out.Items = append(out.Items, protocol.KeyValue{Key: name, Value: entry.value, Version: entry.version, Lease: entry.lease})
	}
	s.respond(done, 200, out)
}

func (s *fakeState) transact(t *protocol.Transaction, done func(storage.Response)) {
	for _, c := range t.Then {
		if c.Put != "" && c.Lease != 0 && s.leases[c.Lease] == nil {
			s.respond(done, 400, map[string]any{"error": "no such lease"})
			return
		}
	}
	var failed []string
	for _, c := range t.If {
		stamp := uint64(0)
		if entry := s.keys[c.Key]; entry != nil {
			stamp = entry.version
		}
		if stamp != c.Version {
			failed = append(failed, c.Key)
		}
	}
	if len(failed) > 0 {
		s.respond(done, 409, protocol.TransactionResponse{Failed: failed, Revision: s.revision})
		return
	}
	s.revision++
	for _, c := range t.Then {
		if c.Put != "" {
			s.keys[c.Put] = &stateKey{append([]byte(nil), c.Value...), s.revision, c.Lease}
			s.changes = append(s.changes, stateChange{s.revision, map[string]any{"write": c.Put, "v": c.Value, "stamp": s.revision}, c.Put})
		} else {
			s.deleteKey(c.Delete)
		}
	}
	s.respond(done, 200, protocol.TransactionResponse{Revision: s.revision})
	s.notifyWatches()
}

func (s *fakeState) deleteKey(key string) {
	if s.keys[key] != nil {
		delete(s.keys, key)
		s.changes = append(s.changes, stateChange{s.revision, map[string]any{"drop": key, "stamp": s.revision}, key})
	}
}

// announce tells the watches of a value that a key does not have.
func (s *fakeState) announce(key string, value any) {
	s.revision++
	s.changes = append(s.changes, stateChange{s.revision, map[string]any{"write": key, "v": value, "stamp": s.revision}, key})
	s.notifyWatches()
}

func (s *fakeState) notifyWatches() {
	kept := s.watches[:0]
	var ready []func()
	for _, w := range s.watches {
		if s.unavailable[w.member] || s.stalledWatches[w.member] {
			kept = append(kept, w)
			continue
		}
		events := []any{}
		for _, c := range s.changes {
			if c.revision > w.from && strings.HasPrefix(c.key, w.prefix) {
				events = append(events, c.event)
			}
		}
		if len(events) == 0 && s.sim.now < w.until {
			kept = append(kept, w)
			continue
		}
		ready = append(ready, func() { s.respond(w.done, 200, map[string]any{"edition": s.revision, "events": events}) })
	}
	s.watches = kept
	for _, fn := range ready {
		fn()
	}
}

func (s *fakeState) tick() {
	s.deliverLate()
	if s.unavailable[""] {
		for _, lease := range s.leases { // an outage gives all leases their full time again
			lease.end = s.sim.now + lease.ttl
		}
		return
	}
	for id, lease := range s.leases {
		if s.sim.now >= lease.end {
			delete(s.leases, id)
			s.revision++
			for key, entry := range s.keys {
				if entry.lease == id {
					s.deleteKey(key)
				}
			}
		}
	}
	s.notifyWatches()
}
