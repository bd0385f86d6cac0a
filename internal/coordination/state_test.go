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
	w     *world
	n     *node
	run   uint64
	serve func(from string, method, path string, body []byte, done func(storage.Response))
}

func (f *fakeCaller) Call(method, path string, body []byte, timeout time.Duration, done func(storage.Response)) {
	core := f.n.core
	answer := func(r storage.Response) {
		if f.n.up && f.n.core != nil && (core == nil || f.n.core == core) {
			f.n.core.later(func() { done(r) })
		}
	}
	f.serve(f.n.name, method, path, body, func(r storage.Response) { f.w.state.deliver(f.n.name, path, timeout, r, answer) })
}

// deliver hands an answer over, at once or as late as the service is slow. A caller
// that has waited for too long has no answer, though the request was carried out.
func (s *fakeState) deliver(to, path string, timeout time.Duration, r storage.Response, answer func(storage.Response)) {
	if s.slow == nil || strings.HasPrefix(path, "/watch") {
		answer(r)
		return
	}
	after := s.slow(to)
	if after > timeout {
		after, r = timeout, storage.Response{}
	}
	if after == 0 {
		answer(r)
		return
	}
	s.answers = append(s.answers, lateCall{s.w.now + after, func() { answer(r) }})
}

// deliverLate hands over the late answers that have come due.
func (s *fakeState) deliverLate() {
	waiting := s.answers
	s.answers = nil
	for _, a := range waiting {
		if s.w.now >= a.at {
			a.fn()
		} else {
			s.answers = append(s.answers, a)
		}
	}
}

// fakeState is the state service.
type fakeState struct {
	w             *world
	rev           uint64
	keys          map[string]*stateKey
	leases        map[uint64]*stateLease
	leaseN        uint64
	changes       []stateChange
	watches       []*stateWatch
	away          map[string]bool               // members that get 503; "" is all of them
	hidden        string                        // a prefix whose listings get 503
	hiddenFrom    string                        // the member that gets it; "" is all of them
	silentWatches map[string]bool               // members whose watches tell nothing
	slow          func(to string) time.Duration // how late an answer to a member is; nil: not at all
	answers       []lateCall                    // late ones
	// onTxn may take a transaction over: it returns true to swallow it, and
	// may apply it later.
	onTxn  func(from string, t *protocol.Transaction, apply func() storage.Response, done func(storage.Response)) bool
	limits *stateLimits // beyond them it refuses; nil: none
	txns   int
	writes int // changes that were asked for
	asked  int // requests, but for watches and renewals
}

type stateKey struct {
	value []byte
	stamp uint64
	lease uint64
}

type stateLease struct {
	ttl, end time.Duration
}

type stateChange struct {
	rev uint64
	ev  map[string]any
	key string
}

type stateWatch struct {
	of     string // a member; while it is refused its watches wait
	prefix string
	from   uint64
	until  time.Duration
	done   func(storage.Response)
}

func newFakeState(w *world) *fakeState {
	return &fakeState{w: w, keys: make(map[string]*stateKey), leases: make(map[uint64]*stateLease), away: make(map[string]bool), silentWatches: make(map[string]bool)}
}

func (s *fakeState) answer(done func(storage.Response), status int, v any) {
	done(storage.Response{Status: status, Body: s.w.codec.Encode(v)})
}

func (s *fakeState) serve(from, method, path string, body []byte, done func(storage.Response)) {
	if (s.away[from] || s.away[""]) && !strings.HasPrefix(path, "/watch") {
		s.answer(done, 503, map[string]any{"error": "trouble"})
		return
	}
	u, err := url.Parse(path)
	if err != nil {
		s.w.t.Fatal(err)
	}
	if u.Path != "/watch" && !strings.HasPrefix(path, "/leases") {
		s.asked++
	}
	switch {
	case path == "/multi":
		var t protocol.Transaction
		if err := s.w.codec.Decode(body, &t); err != nil {
			s.w.t.Fatal(err)
		}
		apply := func() storage.Response {
			var out storage.Response
			s.txn(&t, func(r storage.Response) { out = r })
			return out
		}
		s.txns++
		s.writes += len(t.Then)
		if refused := s.beyondLimits(from, &t); refused != 0 {
			s.answer(done, refused, map[string]any{"error": "limits"})
			return
		}
		if s.onTxn != nil && s.onTxn(from, &t, apply, done) {
			return
		}
		done(apply())
	case path == "/leases":
		var q protocol.LeaseRequest
		if err := s.w.codec.Decode(body, &q); err != nil {
			s.w.t.Fatal(err)
		}
		s.leaseN++
		ttl := time.Duration(q.TTLMs) * time.Millisecond
		s.leases[s.leaseN] = &stateLease{ttl: ttl, end: s.w.now + ttl}
		s.answer(done, 200, protocol.LeaseResponse{Lease: s.leaseN})
	case strings.HasSuffix(path, "/touch"):
		id, err := strconv.ParseUint(strings.Split(path, "/")[2], 10, 64)
		if err != nil {
			s.w.t.Fatal(err)
		}
		l := s.leases[id]
		if l == nil {
			s.answer(done, 404, map[string]any{})
			return
		}
		l.end = s.w.now + l.ttl
		s.answer(done, 200, map[string]any{})
	case u.Path == "/kv":
		s.list(from, u.Query(), done)
	case u.Path == "/watch":
		since, err := strconv.ParseUint(u.Query().Get("from"), 10, 64)
		if err != nil {
			s.w.t.Fatal(err)
		}
		s.watches = append(s.watches, &stateWatch{from, u.Query().Get("under"), since, s.w.now + 8*time.Second, done})
		s.pumpWatches()
	case method == "GET":
		key := strings.TrimPrefix(path, "/kv/")
		k := s.keys[key]
		if k == nil {
			s.answer(done, 404, map[string]any{"edition": s.rev})
			return
		}
		s.answer(done, 200, protocol.KeyValue{Key: key, Value: k.value, Version: k.stamp, Lease: k.lease})
	default:
		s.w.t.Fatalf("state service was asked for %s %s", method, path)
	}
}

func (s *fakeState) list(from string, q url.Values, done func(storage.Response)) {
	if s.hidden != "" && (s.hiddenFrom == "" || s.hiddenFrom == from) && strings.HasPrefix(q.Get("under"), s.hidden) {
		s.answer(done, 503, map[string]any{"error": "trouble"})
		return
	}
	var names []string
	for n := range s.keys {
		if strings.HasPrefix(n, q.Get("under")) && n > q.Get("from") {
			names = append(names, n)
		}
	}
	sort.Strings(names)
	out := protocol.KeyValuePage{Items: []protocol.KeyValue{}, Revision: s.rev}
	for _, n := range names {
		if len(out.Items) == 3 { // small pages, so that paging is put to use
			out.More = true
			break
		}
		k := s.keys[n]
		out.Items = append(out.Items, protocol.KeyValue{Key: n, Value: k.value, Version: k.stamp, Lease: k.lease})
	}
	s.answer(done, 200, out)
}

func (s *fakeState) txn(t *protocol.Transaction, done func(storage.Response)) {
	for _, c := range t.Then {
		if c.Put != "" && c.Lease != 0 && s.leases[c.Lease] == nil {
			s.answer(done, 400, map[string]any{"error": "no such lease"})
			return
		}
	}
	var failed []string
	for _, c := range t.If {
		stamp := uint64(0)
		if k := s.keys[c.Key]; k != nil {
			stamp = k.stamp
		}
		if stamp != c.Version {
			failed = append(failed, c.Key)
		}
	}
	if len(failed) > 0 {
		s.answer(done, 409, protocol.TransactionResponse{Failed: failed, Revision: s.rev})
		return
	}
	s.rev++
	for _, c := range t.Then {
		if c.Put != "" {
			s.keys[c.Put] = &stateKey{append([]byte(nil), c.Value...), s.rev, c.Lease}
			s.changes = append(s.changes, stateChange{s.rev, map[string]any{"write": c.Put, "v": c.Value, "stamp": s.rev}, c.Put})
		} else {
			s.remove(c.Delete)
		}
	}
	s.answer(done, 200, protocol.TransactionResponse{Revision: s.rev})
	s.pumpWatches()
}

func (s *fakeState) remove(key string) {
	if s.keys[key] != nil {
		delete(s.keys, key)
		s.changes = append(s.changes, stateChange{s.rev, map[string]any{"drop": key, "stamp": s.rev}, key})
	}
}

func (s *fakeState) pumpWatches() {
	kept := s.watches[:0]
	var ready []func()
	for _, w := range s.watches {
		if s.away[w.of] || s.silentWatches[w.of] {
			kept = append(kept, w)
			continue
		}
		events := []any{}
		for _, c := range s.changes {
			if c.rev > w.from && strings.HasPrefix(c.key, w.prefix) {
				events = append(events, c.ev)
			}
		}
		if len(events) == 0 && s.w.now < w.until {
			kept = append(kept, w)
			continue
		}
		ready = append(ready, func() { s.answer(w.done, 200, map[string]any{"edition": s.rev, "events": events}) })
	}
	s.watches = kept
	for _, fn := range ready {
		fn()
	}
}

func (s *fakeState) tick() {
	s.deliverLate()
	if s.away[""] {
		for _, l := range s.leases { // an outage gives all leases their full time again
			l.end = s.w.now + l.ttl
		}
		return
	}
	for id, l := range s.leases {
		if s.w.now >= l.end {
			delete(s.leases, id)
			s.rev++
			for key, k := range s.keys {
				if k.lease == id {
					s.remove(key)
				}
			}
		}
	}
	s.pumpWatches()
}
