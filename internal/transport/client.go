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
	queue   []*call
}

type call struct {
	method, path string
	body         []byte
	done         func(HTTPResult)
	until        time.Time
	timer        *time.Timer
	conn         *httpConn
	sent         bool
	over         bool
}

type httpConn struct {
	client *HTTPClient
	c      gnet.Conn
	cur    *call
	dead   bool
}

// NewHTTPClient prepares a client for one address.
func NewHTTPClient(l *Loop, addr string, maxConns, maxQueue int) *HTTPClient {
	return &HTTPClient{loop: l, addr: addr, maxConns: maxConns, maxQueue: maxQueue}
}

// Do sends one request; done is called once, on another goroutine.
func (h *HTTPClient) Do(method, path string, body []byte, timeout time.Duration, done func(HTTPResult)) {
	k := &call{method: method, path: path, body: body, done: done, until: time.Now().Add(timeout)}
	h.mu.Lock()
	if len(h.queue) >= h.maxQueue {
		h.mu.Unlock()
		go done(HTTPResult{Err: fmt.Errorf("queue is full: %w", ErrNotSent)})
		return
	}
	k.timer = time.AfterFunc(timeout, func() { h.expire(k) })
	h.queue = append(h.queue, k)
	h.pump()
	h.mu.Unlock()
}

// pump hands queued calls to idle connections and dials for the rest. A call
// whose time is up is not sent any more: after a standstill of the process its
// timer may be later than the connection that it has waited for. The lock is
// held.
func (h *HTTPClient) pump() {
	if now := time.Now(); len(h.queue) > 0 && now.After(h.queue[0].until) {
		kept := h.queue[:0]
		for _, k := range h.queue {
			if now.After(k.until) {
				go h.finish(k, HTTPResult{Err: fmt.Errorf("timed out: %w", ErrNotSent)})
			} else {
				kept = append(kept, k)
			}
		}
		clear(h.queue[len(kept):])
		h.queue = kept
	}
	for len(h.queue) > 0 && len(h.idle) > 0 {
		hc := h.idle[len(h.idle)-1]
		h.idle = h.idle[:len(h.idle)-1]
		if hc.dead {
			continue
		}
		k := h.queue[0]
		h.queue = h.queue[1:]
		hc.cur, k.conn, k.sent = k, hc, true
		out := appendRequest(make([]byte, 0, 160+len(k.body)), k.method, k.path, h.addr, k.body)
		if err := hc.c.AsyncWrite(out, nil); err != nil {
			hc.dead = true
			h.open--
			go h.finish(k, HTTPResult{Err: fmt.Errorf("writing: %w", ErrNoAnswer)})
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
			for _, k := range h.queue {
				go h.finish(k, HTTPResult{Err: fmt.Errorf("%w: %w", err, ErrNotSent)})
			}
			h.queue = nil
		}
		return
	}
	hc.c = c
	if hc.dead {
		return
	}
	h.open++
	h.idle = append(h.idle, hc)
	h.pump()
}

func (h *HTTPClient) finish(k *call, r HTTPResult) {
	h.mu.Lock()
	if k.over {
		h.mu.Unlock()
		return
	}
	k.over = true
	k.timer.Stop()
	h.mu.Unlock()
	k.done(r)
}

func (h *HTTPClient) expire(k *call) {
	h.mu.Lock()
	err := fmt.Errorf("timed out: %w", ErrNoAnswer)
	if k.conn != nil {
		if !k.over && k.conn.cur == k && !k.conn.dead {
			k.conn.dead = true
			h.open--
			// An error means that it is closed already.
			_ = k.conn.c.Close()
		}
	} else if !k.over {
		err = fmt.Errorf("timed out: %w", ErrNotSent)
		for i, q := range h.queue {
			if q == k {
				h.queue = append(h.queue[:i], h.queue[i+1:]...)
				break
			}
		}
	}
	h.pump()
	h.mu.Unlock()
	h.finish(k, HTTPResult{Err: err})
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
	status, err := strconv.Atoi(m.first[1])
	if err != nil {
		return gnet.Close
	}
	if status == 100 {
		return gnet.None
	}
	retry, err := strconv.Atoi(m.retry)
	if err != nil {
		retry = 0
	}
	h := hc.client
	h.mu.Lock()
	k := hc.cur
	hc.cur = nil
	if k == nil || m.close {
		if !hc.dead {
			hc.dead = true
			h.open--
		}
	} else if !hc.dead {
		h.idle = append(h.idle, hc)
	}
	closing := hc.dead
	h.pump()
	h.mu.Unlock()
	if k != nil {
		h.finish(k, HTTPResult{Status: status, Body: m.body, RetryAfterS: retry})
	}
	if closing {
		return gnet.Close
	}
	return gnet.None
}

func (hc *httpConn) onClose(gnet.Conn) {
	h := hc.client
	h.mu.Lock()
	if !hc.dead {
		hc.dead = true
		if hc.c != nil {
			h.open--
		}
	}
	k := hc.cur
	hc.cur = nil
	for i, x := range h.idle {
		if x == hc {
			h.idle = append(h.idle[:i], h.idle[i+1:]...)
			break
		}
	}
	h.pump()
	h.mu.Unlock()
	if k != nil {
		h.finish(k, HTTPResult{Err: fmt.Errorf("connection closed: %w", ErrNoAnswer)})
	}
}
