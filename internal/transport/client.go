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
	// ErrNotSent means that a request is guaranteed not to have left this process, and may
	// be retried.
	ErrNotSent = errors.New("request was not sent")
	// ErrNoAnswer means that a request may have been executed, or may still be executed
	// later.
	ErrNoAnswer = errors.New("request got no answer")
)

// HTTPResult is the result of a request: a response, or an error that wraps ErrNotSent or
// ErrNoAnswer.
type HTTPResult struct {
	Status      int
	Body        []byte
	RetryAfterS int // Retry-After header in seconds; 0: none
	Err         error
}

// HTTPClient sends requests to one address over a limited number of persistent connections.
// It is safe for concurrent use.
type HTTPClient struct {
	loop           *Loop
	addr           string
	maxConns       int
	maxQueuedCalls int

	mu           sync.Mutex // guards the fields below, and those of the connections and calls
	idleConns    []*httpConn
	openConns    int            // number of open connections
	dialingConns int            // number of connections being opened
	queue        []*pendingCall // calls not sent yet, oldest first
}

// pendingCall is a request whose result has not been reported yet.
type pendingCall struct {
	method, path string
	body         []byte
	onResult     func(HTTPResult)
	deadline     time.Time
	timer        *time.Timer // calls expire
	conn         *httpConn   // the connection it was sent on; nil: not sent
	finished     bool        // the result was passed to onResult, or is about to be
}

// httpConn is one connection of a client. It carries one request at a time.
type httpConn struct {
	client      *HTTPClient
	conn        gnet.Conn
	currentCall *pendingCall // nil: the connection is idle
	closed      bool         // no further request is sent on it
}

// NewHTTPClient returns a client for one address. It opens at most maxConns connections,
// each when it is needed, and queues at most maxQueuedCalls requests that wait for one.
func NewHTTPClient(l *Loop, addr string, maxConns, maxQueuedCalls int) *HTTPClient {
	return &HTTPClient{loop: l, addr: addr, maxConns: maxConns, maxQueuedCalls: maxQueuedCalls}
}

// Do sends one request. onResult is called exactly once, on another goroutine and within
// the timeout, and must not block for long.
func (h *HTTPClient) Do(method, path string, body []byte, timeout time.Duration, onResult func(HTTPResult)) {
	call := &pendingCall{method: method, path: path, body: body, onResult: onResult, deadline: time.Now().Add(timeout)}
	h.mu.Lock()
	if len(h.queue) >= h.maxQueuedCalls {
		h.mu.Unlock()
		// The goroutine ends with onResult and is not waited for.
		go onResult(HTTPResult{Err: fmt.Errorf("queue of %d requests is full: %w", h.maxQueuedCalls, ErrNotSent)})
		return
	}
	call.timer = time.AfterFunc(timeout, func() { h.expire(call) })
	h.queue = append(h.queue, call)
	h.dispatch()
	h.mu.Unlock()
}

// dispatch sends queued calls on idle connections and opens connections for the rest. The
// caller holds the lock.
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
		// The goroutine ends within dialTimeout and is not waited for. Its connection, or
		// its failure, is passed to the queued calls.
		go h.connect()
	}
}

// failExpired removes calls after their deadline from the queue and fails them with
// ErrNotSent: after a pause of the process the connection that they wait for may become
// available before their timers fire. The caller holds the lock.
func (h *HTTPClient) failExpired() {
	now := time.Now()
	if len(h.queue) == 0 || !now.After(h.queue[0].deadline) {
		return
	}
	remaining := h.queue[:0]
	for _, call := range h.queue {
		if now.After(call.deadline) {
			go h.finish(call, HTTPResult{Err: fmt.Errorf("timed out: %w", ErrNotSent)})
		} else {
			remaining = append(remaining, call)
		}
	}
	clear(h.queue[len(remaining):])
	h.queue = remaining
}

// send writes a call's request to an idle connection. The caller holds the lock.
func (h *HTTPClient) send(call *pendingCall, conn *httpConn) {
	conn.currentCall, call.conn = call, conn
	out := appendRequest(make([]byte, 0, requestHeadBytes+len(call.body)), call.method, call.path, h.addr, call.body)
	if err := conn.conn.AsyncWrite(out, nil); err != nil {
		conn.closed = true
		h.openConns--
		go h.finish(call, HTTPResult{Err: fmt.Errorf("writing: %w", ErrNoAnswer)})
	}
}

// connect opens a connection. If that fails and no other connection is open or being
// opened, it fails all queued calls with ErrNotSent.
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

// finish passes a call's result to onResult, unless that was done already.
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

// expire fails a call at its deadline. If it was sent on a connection, the connection is
// closed, since the response may still arrive.
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
		// An error means that it is already closed.
		_ = conn.conn.Close()
	}
	h.dispatch()
	h.mu.Unlock()
	h.finish(call, HTTPResult{Err: fmt.Errorf("timed out: %w", cause)})
}

// onTraffic implements connection. It reads a response, if it has arrived completely.
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

// detachCurrentCall removes the call whose response has arrived from the connection, and
// returns it. closing reports whether the connection must be closed: it must be after a
// response without a request, and if lastResponse is set.
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

// onClose implements connection. It fails the connection's current call with ErrNoAnswer.
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
