package transport

import (
	"errors"
	"fmt"
	"net/http"
	"slices"
	"strconv"
	"sync"
	"time"

	"github.com/panjf2000/gnet/v2"
)

var (
	// ErrNotSent says that a request certainly never left this process: it may be repeated.
	ErrNotSent = errors.New("request was not sent")
	// ErrNoAnswer says that a request may have been executed, or may still be executed
	// later.
	ErrNoAnswer = errors.New("request got no answer")
)

// HTTPResult is the outcome of a request: a response, or an error that wraps ErrNotSent
// or ErrNoAnswer.
type HTTPResult struct {
	Status      int
	Body        []byte
	RetryAfterS int // seconds; 0: the response has no Retry-After
	Err         error
}

// HTTPClient calls one address over a bounded set of kept connections. Any number of
// goroutines may use it.
type HTTPClient struct {
	loop           *Loop
	addr           string
	maxConns       int
	maxQueuedCalls int

	mu           sync.Mutex // of all below, and of the connections and calls
	idleConns    []*httpConn
	openConns    int // connections
	dialingConns int
	queue        []*pendingCall // not sent yet
}

// pendingCall is a request whose outcome has not been told yet.
type pendingCall struct {
	method, path string
	body         []byte
	onResult     func(HTTPResult)
	deadline     time.Time
	timer        *time.Timer // calls expire
	conn         *httpConn   // that it was sent on; nil: it is in the queue
	finished     bool
}

// httpConn is one connection of a client. It carries one request at a time.
type httpConn struct {
	client      *HTTPClient
	conn        gnet.Conn
	currentCall *pendingCall // nil: it is idle
	closed      bool         // it takes no further request
}

// NewHTTPClient prepares a client for one address. It opens no more than maxConns
// connections, each when it is needed, and holds no more than maxQueuedCalls requests that wait
// for one.
func NewHTTPClient(l *Loop, addr string, maxConns, maxQueue int) *HTTPClient {
	return &HTTPClient{loop: l, addr: addr, maxConns: maxConns, maxQueuedCalls: maxQueue}
}

// Do sends one request. done is called exactly once, on another goroutine and within the
// timeout, and must not block for long.
func (h *HTTPClient) Do(method, path string, body []byte, timeout time.Duration, done func(HTTPResult)) {
	call := &pendingCall{method: method, path: path, body: body, onResult: done, deadline: time.Now().Add(timeout)}
	h.mu.Lock()
	if len(h.queue) >= h.maxQueuedCalls {
		h.mu.Unlock()
		// Ends with done, which nobody waits for.
		go done(HTTPResult{Err: fmt.Errorf("queue of %d requests is full: %w", h.maxQueuedCalls, ErrNotSent)})
		return
	}
	call.timer = time.AfterFunc(timeout, func() { h.expire(call) })
	h.queue = append(h.queue, call)
	h.dispatch()
	h.mu.Unlock()
}

// dispatch hands queued calls to idle connections and dials for the rest. The lock is
// held.
func (h *HTTPClient) dispatch() {
	h.failExpired()
	for len(h.queue) > 0 && len(h.idleConns) > 0 {
		last := len(h.idleConns) - 1
		conn := h.idleConns[last]
		h.idleConns = h.idleConns[:last]
		if conn.closed {
			continue
		}
		call := h.queue[0]
		h.queue = h.queue[1:]
		h.send(call, conn)
	}
	for h.dialingConns < len(h.queue) && h.openConns+h.dialingConns < h.maxConns {
		h.dialingConns++
		// Ends within the dial timeout; its connection, or its failure, goes to the queue's
		// calls. Nobody waits for it.
		go h.connect()
	}
}

// failExpired drops calls whose time is up: after a standstill of the process their timers
// may be later than the connection that they have waited for. The lock is held.
func (h *HTTPClient) failExpired() {
	now := time.Now()
	if len(h.queue) == 0 || !now.After(h.queue[0].deadline) {
		return
	}
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

// send writes a call's request to an idle connection. The lock is held.
func (h *HTTPClient) send(call *pendingCall, conn *httpConn) {
	conn.currentCall, call.conn = call, conn
	out := appendRequest(make([]byte, 0, requestHeadBytes+len(call.body)), call.method, call.path, h.addr, call.body)
	if err := conn.conn.AsyncWrite(out, nil); err != nil {
		conn.closed = true
		h.openConns--
		go h.finish(call, HTTPResult{Err: fmt.Errorf("writing: %w", ErrNoAnswer)})
	}
}

// connect opens a connection. If that fails, and there is none besides, the calls that
// wait for one fail too.
func (h *HTTPClient) connect() {
	conn := &httpConn{client: h}
	c, err := h.loop.dial(h.addr, conn)
	h.mu.Lock()
	defer h.mu.Unlock()
	h.dialingConns--
	if err != nil {
		if len(h.queue) > 0 && h.openConns == 0 && h.dialingConns == 0 {
			for _, call := range h.queue {
				go h.finish(call, HTTPResult{Err: fmt.Errorf("%w: %w", err, ErrNotSent)})
			}
			h.queue = nil
		}
		return
	}
	conn.conn = c
	if conn.closed {
		return
	}
	h.openConns++
	h.idleConns = append(h.idleConns, conn)
	h.dispatch()
}

// finish tells a call's outcome, unless it was told already.
func (h *HTTPClient) finish(call *pendingCall, result HTTPResult) {
	h.mu.Lock()
	if call.finished {
		h.mu.Unlock()
		return
	}
	call.finished = true
	call.timer.Stop()
	h.mu.Unlock()
	call.onResult(result)
}

// expire ends a call at its deadline. A connection that it was sent on is closed, since
// the answer may still come.
func (h *HTTPClient) expire(call *pendingCall) {
	h.mu.Lock()
	cause := ErrNoAnswer
	switch conn := call.conn; {
	case conn == nil && !call.finished:
		cause = ErrNotSent
		if i := slices.Index(h.queue, call); i >= 0 {
			h.queue = slices.Delete(h.queue, i, i+1)
		}
	case conn != nil && !call.finished && conn.currentCall == call && !conn.closed:
		conn.closed = true
		h.openConns--
		// An error means that it is closed already.
		_ = conn.conn.Close()
	}
	h.dispatch()
	h.mu.Unlock()
	h.finish(call, HTTPResult{Err: fmt.Errorf("timed out: %w", cause)})
}

// onTraffic takes a response, if all of it has arrived.
func (hc *httpConn) onTraffic(c gnet.Conn) gnet.Action {
	buf, err := c.Peek(-1)
	if err != nil || len(buf) == 0 {
		return gnet.None
	}
	m, err := parseMessage(buf, responseMessage, maxResponseBytes)
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
	if status == http.StatusContinue {
		return gnet.None
	}
	retryAfter, err := strconv.Atoi(m.retryAfter)
	if err != nil {
		retryAfter = 0
	}
	call, closing := hc.detachCurrentCall(m.close)
	if call != nil {
		hc.client.finish(call, HTTPResult{Status: status, Body: m.body, RetryAfterS: retryAfter})
	}
	if closing {
		return gnet.Close
	}
	return gnet.None
}

// detachCurrentCall frees the connection from the call whose response has arrived. An answer
// that nobody asked for ends the connection.
func (hc *httpConn) detachCurrentCall(lastResponse bool) (call *pendingCall, closing bool) {
	h := hc.client
	h.mu.Lock()
	defer h.mu.Unlock()
	call, hc.currentCall = hc.currentCall, nil
	switch {
	case hc.closed:
	case call == nil || lastResponse:
		hc.closed = true
		h.openConns--
	default:
		h.idleConns = append(h.idleConns, hc)
	}
	closing = hc.closed
	h.dispatch()
	return call, closing
}

// onClose fails the call that the connection carried.
func (hc *httpConn) onClose(gnet.Conn) {
	h := hc.client
	h.mu.Lock()
	if !hc.closed {
		hc.closed = true
		if hc.conn != nil {
			h.openConns--
		}
	}
	call := hc.currentCall
	hc.currentCall = nil
	if i := slices.Index(h.idleConns, hc); i >= 0 {
		h.idleConns = slices.Delete(h.idleConns, i, i+1)
	}
	h.dispatch()
	h.mu.Unlock()
	if call != nil {
		h.finish(call, HTTPResult{Err: fmt.Errorf("connection closed: %w", ErrNoAnswer)})
	}
}
