//go:build review

package main

import (
	"encoding/json"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/fxamacker/cbor/v2"

	"github.com/cobaltvale/cobaltvale/internal/protocol"
	"github.com/cobaltvale/cobaltvale/internal/standin/kv"
)

// verdict is what the state service does with one request.
type verdict struct {
	refuse     bool          // 503, not executed
	loseAnswer bool          // executed at once, no answer
	applyLate  time.Duration // no answer, executed after this time
	delay      time.Duration // answer delayed by this time
}

// stateService is a state service by the rules of PROTOCOL, with the rates and limits of the
// settings. Each controller reaches it at an address of its own, so that one alone can be refused.
type stateService struct {
	lab *lab

	mu           sync.Mutex
	store        *kv.Store
	changed      chan struct{}
	outage       bool
	refused      map[int]bool // by controller
	judge        func(node int, r *http.Request, t *protocol.Transaction) verdict
	reqTokens    float64
	writeTokens  float64
	refilledAt   time.Time
	startedAt    time.Time
	rejectedRate int
	servers      []*http.Server
}

func newStateService(l *lab) *stateService {
	s := &stateService{lab: l, store: kv.New(), changed: make(chan struct{}), refused: map[int]bool{},
		startedAt: time.Now(), refilledAt: time.Now(), reqTokens: l.cfg.stateRPS, writeTokens: l.cfg.stateWriteRPS}
	go s.sweep()
	return s
}

func (s *stateService) now() time.Duration { return time.Since(s.startedAt) }

func (s *stateService) notify() {
	close(s.changed)
	s.changed = make(chan struct{})
}

// sweep ends leases that were not renewed in time: late by up to 50 ms, never early, and none
// during an outage.
func (s *stateService) sweep() {
	for range time.Tick(50 * time.Millisecond) {
		s.mu.Lock()
		if !s.outage && s.store.ExpireLeases(s.now()) {
			s.notify()
		}
		s.mu.Unlock()
	}
}

func (s *stateService) setOutage(on bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.outage && !on {
		s.store.RenewAll(s.now())
	}
	s.outage = on
	s.notify()
	s.lab.record("state service outage: %v", on)
}

func (s *stateService) setRefused(node int, on bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.refused[node] = on
	s.notify()
	s.lab.record("state service refuses controller %d alone: %v", node, on)
}

// setJudge sets what decides on requests; nil executes all.
func (s *stateService) setJudge(judge func(node int, r *http.Request, t *protocol.Transaction) verdict) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.judge = judge
}

func (s *stateService) down(node int) bool { return s.outage || s.refused[node] }

// listen serves one controller and returns the address.
func (s *stateService) listen(node int) (string, error) {
	ln, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		return "", err
	}
	server := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) { s.serve(node, w, r) })}
	s.servers = append(s.servers, server)
	go server.Serve(ln)
	return ln.Addr().String(), nil
}

func (s *stateService) reply(w http.ResponseWriter, status int, v any) {
	body := s.lab.codec.Encode(v)
	w.Header().Set("Content-Length", strconv.Itoa(len(body)))
	w.WriteHeader(status)
	_, _ = w.Write(body)
}

// withinRates takes from the rates, or reports that they are exceeded.
func (s *stateService) withinRates(writes int) bool {
	now := time.Now()
	d := now.Sub(s.refilledAt).Seconds()
	s.refilledAt = now
	s.reqTokens = min(s.lab.cfg.stateRPS, s.reqTokens+d*s.lab.cfg.stateRPS)
	s.writeTokens = min(s.lab.cfg.stateWriteRPS, s.writeTokens+d*s.lab.cfg.stateWriteRPS)
	if s.reqTokens < 1 || (writes > 0 && s.writeTokens < float64(writes)) {
		s.rejectedRate++
		return false
	}
	s.reqTokens--
	s.writeTokens -= float64(writes)
	return true
}

// noAnswer holds the connection without an answer until the client gives up.
func noAnswer(w http.ResponseWriter) {
	conn, _, err := w.(http.Hijacker).Hijack()
	if err != nil {
		return
	}
	defer conn.Close()
	_ = conn.SetReadDeadline(time.Now().Add(30 * time.Second))
	_, _ = conn.Read(make([]byte, 1))
}

func (s *stateService) serve(node int, w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(io.LimitReader(r.Body, 1<<20))
	if err != nil {
		return
	}
	time.Sleep(3 * time.Millisecond)
	var t *protocol.Transaction
	if r.URL.Path == "/multi" {
		t = &protocol.Transaction{}
		if s.lab.codec.Decode(body, t) != nil {
			s.reply(w, 400, protocol.ErrorBody{Error: "malformed"})
			return
		}
	}
	s.mu.Lock()
	if s.down(node) && r.URL.Path != "/watch" {
		s.mu.Unlock()
		s.reply(w, 503, protocol.ErrorBody{Error: "unavailable"})
		return
	}
	var v verdict
	if s.judge != nil {
		v = s.judge(node, r, t)
	}
	if v.refuse {
		s.mu.Unlock()
		s.reply(w, 503, protocol.ErrorBody{Error: "unavailable"})
		return
	}
	writes := 0
	if t != nil {
		writes = len(t.Then)
	}
	if !s.withinRates(writes) {
		s.mu.Unlock()
		s.reply(w, 429, protocol.ErrorBody{Error: "rate"})
		return
	}
	if r.URL.Path == "/watch" {
		s.mu.Unlock()
		s.watch(node, w, r)
		return
	}
	if v.applyLate > 0 && t != nil {
		s.mu.Unlock()
		time.AfterFunc(v.applyLate, func() {
			s.mu.Lock()
			defer s.mu.Unlock()
			status, _ := s.store.Transact(t)
			s.notify()
			s.lab.record("late transaction of controller %d: %d", node, status)
		})
		noAnswer(w)
		return
	}
	status, response := s.execute(r, t, body)
	s.mu.Unlock()
	if v.loseAnswer {
		noAnswer(w)
		return
	}
	if v.delay > 0 {
		time.Sleep(v.delay)
	}
	s.reply(w, status, response)
}

// execute runs with mu held.
func (s *stateService) execute(r *http.Request, t *protocol.Transaction, body []byte) (int, any) {
	path, query := r.URL.Path, r.URL.Query()
	switch {
	case t != nil:
		if len(t.Then) > s.lab.cfg.txnOps || len(t.If) > 4*s.lab.cfg.txnOps {
			s.lab.record("transaction too large: %d changes, %d conditions", len(t.Then), len(t.If))
			return 400, protocol.ErrorBody{Error: "too many operations"}
		}
		if why := s.tooLarge(t); why != "" {
			s.lab.mu.Lock()
			s.lab.fault("%s", why)
			s.lab.mu.Unlock()
			return 400, protocol.ErrorBody{Error: why}
		}
		status, response := s.store.Transact(t)
		if status == 200 && len(t.Then) > 0 {
			s.notify()
		}
		return status, response
	case path == "/leases":
		var request protocol.LeaseRequest
		if s.lab.codec.Decode(body, &request) != nil {
			return 400, protocol.ErrorBody{Error: "malformed"}
		}
		return 200, protocol.LeaseResponse{Lease: s.store.OpenLease(time.Duration(request.TTLMs)*time.Millisecond, s.now())}
	case strings.HasPrefix(path, "/leases/"):
		id, err := strconv.ParseUint(strings.Split(path, "/")[2], 10, 64)
		if err != nil || !s.store.RenewLease(id, s.now()) {
			return 404, protocol.ErrorBody{Error: "no such lease"}
		}
		return 200, protocol.ErrorBody{}
	case path == "/kv":
		limit, err := strconv.Atoi(query.Get("limit"))
		if err != nil {
			limit = 1000
		}
		return 200, s.store.Page(query.Get("under"), query.Get("from"), limit)
	}
	if entry := s.store.KeyValue(strings.TrimPrefix(path, "/kv/")); entry != nil {
		return 200, entry
	}
	return 404, protocol.TransactionResponse{Revision: s.store.Revision}
}

// tooLarge checks the limits of values and transactions, which count the JSON form.
func (s *stateService) tooLarge(t *protocol.Transaction) string {
	total := 0
	for _, c := range t.Then {
		if c.Put == "" {
			continue
		}
		var v any
		if cbor.Unmarshal(c.Value, &v) != nil {
			return "a value is not CBOR"
		}
		b, err := json.Marshal(textKeys(v))
		if err != nil {
			return "a value has no JSON form: " + err.Error()
		}
		if len(b) > int(s.lab.cfg.valueKB*1024) {
			return "the value of " + c.Put + " has " + strconv.Itoa(len(b)) + " bytes"
		}
		total += len(b) + len(c.Put) + 32
	}
	if total > 64<<10 {
		return "a transaction has " + strconv.Itoa(total) + " bytes"
	}
	return ""
}

// textKeys converts maps for JSON.
func textKeys(v any) any {
	switch v := v.(type) {
	case map[any]any:
		out := make(map[string]any, len(v))
		for k, e := range v {
			text, _ := k.(string)
			out[text] = textKeys(e)
		}
		return out
	case []any:
		for i := range v {
			v[i] = textKeys(v[i])
		}
	}
	return v
}

func (s *stateService) watch(node int, w http.ResponseWriter, r *http.Request) {
	query := r.URL.Query()
	from, _ := strconv.ParseUint(query.Get("from"), 10, 64)
	holdMs, _ := strconv.Atoi(query.Get("holdMs"))
	end := time.Now().Add(time.Duration(holdMs) * time.Millisecond)
	for {
		s.mu.Lock()
		events := []kv.Event{}
		down := s.down(node)
		if !down {
			events = s.store.EventsSince(query.Get("under"), from)
		}
		response := kv.WatchResponse{Revision: s.store.Revision, Events: events}
		changed := s.changed
		s.mu.Unlock()
		if len(events) > 0 || (!down && !time.Now().Before(end)) {
			s.reply(w, 200, response)
			return
		}
		select {
		case <-changed:
		case <-time.After(min(max(time.Until(end), 20*time.Millisecond), 200*time.Millisecond)):
		case <-r.Context().Done():
			return
		}
	}
}

// holder returns the member that holds a key, or "".
func (s *stateService) holder(key string) string {
	s.mu.Lock()
	defer s.mu.Unlock()
	entry := s.store.Keys[key]
	if entry == nil {
		return ""
	}
	var h struct {
		Member string `cbor:"m"`
	}
	_ = s.lab.codec.Decode(entry.Value, &h)
	return h.Member
}
