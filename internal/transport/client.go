package transport

import (
	"errors"
	"fmt"
	"strconv"
	"sync"
	"time"

	"github.com/panjf2000/gnet/v2"
)

// ErrNotSent says that a request surely never left this process; ErrNoAnswer
// that it may have been executed, or may still be executed later.
var (
	ErrNotSent  = errors.New("request was not sent")
	ErrNoAnswer = errors.New("request got no answer")
)

// HTTPResult is the outcome of a call.
type HTTPResult struct {
	Status      int
	Body        []byte
	RetryAfterS int
	Err         error
}

// HTTPClient calls one address over a bounded set of kept connections.
type HTTPClient struct {
	loop     *Loop
	addr     string
	maxConns int
	maxQueue int

	mu      sync.Mutex
	idle    []*httpConn
	open    int
	dialing int
	queue   []*pendingCall
}

type pendingCall struct {
	method, path string
	body         []byte
	done         func(HTTPResult)
	deadline     time.Time
	timer        *time.Timer
	conn         *httpConn
	sent         bool
	finished     bool
}

type httpConn struct {
	client  *HTTPClient
	conn    gnet.Conn
	current *pendingCall
	closed  bool
}

// NewHTTPClient prepares a client for one address.
func NewHTTPClient(l *Loop, addr string, maxConns, maxQueue int) *HTTPClient {
	return &HTTPClient{loop: l, addr: addr, maxConns: maxConns, maxQueue: maxQueue}
}

// Do sends one request; done is called once, on another goroutine.
func (h *HTTPClient) Do(method, path string, body []byte, timeout time.Duration, done func(HTTPResult)) {
	call := &pendingCall{method: method, path: path, body: body, done: done, deadline: time.Now().Add(timeout)}
	h.mu.Lock()
	if len(h.queue) >= h.maxQueue {
		h.mu.Unlock()
		go done(HTTPResult{Err: fmt.Errorf("queue is full: %w", ErrNotSent)})
		return
	}
	call.timer = time.AfterFunc(timeout, func() { h.expire(call) })
	h.queue = append(h.queue, call)
	h.dispatch()
	h.mu.Unlock()
}

// dispatch hands queued calls to idle connections and dials for the rest. A call
// whose time is up is not sent any more: after a standstill of the process its
// timer may be later than the connection that it has waited for. The lock is
// held.
func (h *HTTPClient) dispatch() {
	if now := time.Now(); len(h.queue) > 0 && now.After(h.queue[0].deadline) {
		kept := h.queue[:0]
		for _, call := range h.queue {
			if now.After(call.deadline) {
				go h.finish(call, HTTPResult{Err: fmt.Errorf("timed out: %w", ErrNotSent)})
			} else {
				kept = append(kept, call)
			}
		}
		clear(h.queue[len(kept):])
		h.queue = kept
	}
	for len(h.queue) > 0 && len(h.idle) > 0 {
		hc := h.idle[len(h.idle)-1]
		h.idle = h.idle[:len(h.idle)-1]
		if hc.closed {
			continue
		}
		call := h.queue[0]
		h.queue = h.queue[1:]
		hc.current, call.conn, call.sent = call, hc, true
		out := appendRequest(make([]byte, 0, 160+len(call.body)), call.method, call.path, h.addr, call.body)
		if err := hc.conn.AsyncWrite(out, nil); err != nil {
			hc.closed = true
			h.open--
			go h.finish(call, HTTPResult{Err: fmt.Errorf("writing: %w", ErrNoAnswer)})
		}
	}
	for h.dialing < len(h.queue) && h.open+h.dialing < h.maxConns {
		h.dialing++
		go h.connect()
	}
}

func (h *HTTPClient) connect() {
	hc := &httpConn{client: h}
	c, err := h.loop.dial(h.addr, hc)
	h.mu.Lock()
	defer h.mu.Unlock()
	h.dialing--
	if err != nil {
		if len(h.queue) > 0 && h.open == 0 && h.dialing == 0 {
			for _, call := range h.queue {
				go h.finish(call, HTTPResult{Err: fmt.Errorf("%w: %w", err, ErrNotSent)})
			}
			h.queue = nil
		}
		return
	}
	hc.conn = c
	if hc.closed {
		return
	}
	h.open++
	h.idle = append(h.idle, hc)
	h.dispatch()
}

func (h *HTTPClient) finish(call *pendingCall, r HTTPResult) {
	h.mu.Lock()
	if call.finished {
		h.mu.Unlock()
		return
	}
	call.finished = true
	call.timer.Stop()
	h.mu.Unlock()
	call.done(r)
}

func (h *HTTPClient) expire(call *pendingCall) {
	h.mu.Lock()
	err := fmt.Errorf("timed out: %w", ErrNoAnswer)
	if call.conn != nil {
		if !call.finished && call.conn.current == call && !call.conn.closed {
			call.conn.closed = true
			h.open--
			// An error means that it is closed already.
			_ = call.conn.conn.Close()
		}
	} else if !call.finished {
		err = fmt.Errorf("timed out: %w", ErrNotSent)
		for i, queued := range h.queue {
			if queued == call {
				h.queue = append(h.queue[:i], h.queue[i+1:]...)
				break
			}
		}
	}
	h.dispatch()
	h.mu.Unlock()
	h.finish(call, HTTPResult{Err: err})
}

func (hc *httpConn) onTraffic(c gnet.Conn) gnet.Action {
	buf, err := c.Peek(-1)
	if err != nil || len(buf) == 0 {
		return gnet.None
	}
	m, err := parseMessage(buf, true, maxResponse)
	if errors.Is(err, errIncomplete) {
		return gnet.None
	}
	if err != nil {
		return gnet.Close
	}
	if _, err := c.Discard(m.size); err != nil {
		return gnet.Close
	}
	status, err := strconv.Atoi(m.startLine[1])
	if err != nil {
		return gnet.Close
	}
	if status == 100 {
		return gnet.None
	}
	retry, err := strconv.Atoi(m.retryAfter)
	if err != nil {
		retry = 0
	}
	h := hc.client
	h.mu.Lock()
	call := hc.current
	hc.current = nil
	if call == nil || m.close {
		if !hc.closed {
			hc.closed = true
			h.open--
		}
	} else if !hc.closed {
		h.idle = append(h.idle, hc)
	}
	closing := hc.closed
	h.dispatch()
	h.mu.Unlock()
	if call != nil {
		h.finish(call, HTTPResult{Status: status, Body: m.body, RetryAfterS: retry})
	}
	if closing {
		return gnet.Close
	}
	return gnet.None
}

func (hc *httpConn) onClose(gnet.Conn) {
	h := hc.client
	h.mu.Lock()
	if !hc.closed {
		hc.closed = true
		if hc.conn != nil {
			h.open--
		}
	}
	call := hc.current
	hc.current = nil
	for i, x := range h.idle {
		if x == hc {
			h.idle = append(h.idle[:i], h.idle[i+1:]...)
			break
		}
	}
	h.dispatch()
	h.mu.Unlock()
	if call != nil {
		h.finish(call, HTTPResult{Err: fmt.Errorf("connection closed: %w", ErrNoAnswer)})
	}
}
