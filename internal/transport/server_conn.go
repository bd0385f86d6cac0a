package transport

import (
	"errors"
	"net/http"
	"sync"
	"time"

	"github.com/panjf2000/gnet/v2"
)

// requestOverheadBytes is added to the length of a request's body when its size is counted
// against MaxPendingRequestBytes.
const requestOverheadBytes = 1 << 10

// serverConn is one connection of a server. It handles one request at a time.
type serverConn struct {
	server *Server
	id     uint64

	// Accessed only by the event loop's goroutine.
	closed         bool
	continueSent   bool // "100 Continue" was sent for the incomplete request
	bytesToDiscard int  // bytes of a rejected request that are still to be read

	mu                  sync.Mutex // guards the fields below
	busy                bool       // the handler has not yet answered a request
	lastActive          time.Time
	partialRequestSince time.Time // arrival of the incomplete request's first part; zero: none
}

// isStale reports whether the connection has been idle for too long or sends a request too
// slowly.
func (sc *serverConn) isStale(now time.Time) bool {
	sc.mu.Lock()
	defer sc.mu.Unlock()
	if sc.busy {
		return false
	}
	slow := !sc.partialRequestSince.IsZero() && now.Sub(sc.partialRequestSince) > sc.server.cfg.ReadTimeout
	return slow || now.Sub(sc.lastActive) > sc.server.cfg.IdleTimeout
}

// isBusy reports whether the handler has not yet answered a request.
func (sc *serverConn) isBusy() bool {
	sc.mu.Lock()
	defer sc.mu.Unlock()
	return sc.busy
}

// recordPartialRequest records that part of a request has arrived.
func (sc *serverConn) recordPartialRequest() {
	sc.mu.Lock()
	defer sc.mu.Unlock()
	if sc.partialRequestSince.IsZero() {
		sc.partialRequestSince = time.Now()
	}
}

// onClose implements connection. Responses still queued are dropped.
func (sc *serverConn) onClose(c gnet.Conn) {
	sc.closed = true
	sc.server.mu.Lock()
	defer sc.server.mu.Unlock()
	delete(sc.server.conns, c)
}

// onTraffic implements connection. It reads a request, if it has arrived completely and the
// previous one has been answered, and passes it to the handler.
func (sc *serverConn) onTraffic(c gnet.Conn) gnet.Action {
	if sc.isBusy() {
		if c.InboundBuffered() > maxHeadBytes+maxBodyBytes {
			return gnet.Close
		}
		return gnet.None
	}
	if sc.bytesToDiscard > 0 {
		return sc.reject(c, 0)
	}
	buf, err := c.Peek(-1)
	if err != nil || len(buf) == 0 {
		return gnet.None
	}
	m, err := parseMessage(buf, requestMessage, maxBodyBytes)
	switch {
	case errors.Is(err, errTooLarge) && m.size > 0 && m.size <= maxDiscardBytes && !m.expectContinue:
		return sc.reject(c, m.size)
	case errors.Is(err, errIncomplete):
		return sc.awaitRemainder(c, len(buf), m.expectContinue)
	case err != nil:
		return sc.reject(c, len(buf))
	}
	if _, err := c.Discard(m.size); err != nil {
		return gnet.Close
	}
	sc.serve(c, &m)
	return gnet.None
}

// awaitRemainder leaves an incomplete request in the buffer until more of it arrives. arrived
// is the number of bytes in the buffer. If the client expects "100 Continue", it is sent once.
func (sc *serverConn) awaitRemainder(c gnet.Conn, arrived int, expectsContinue bool) gnet.Action {
	if expectsContinue && !sc.continueSent {
		sc.continueSent = true
		if _, err := c.Write([]byte("HTTP/1.1 100 Continue\r\n\r\n")); err != nil {
			return gnet.Close
		}
	}
	if arrived > 2*maxBodyBytes+maxHeadBytes {
		return gnet.Close
	}
	sc.recordPartialRequest()
	return gnet.None
}

// serve passes a request to the handler, or answers 503 if the requests without an answer
// would exceed MaxPendingRequestBytes.
func (sc *serverConn) serve(c gnet.Conn, m *message) {
	sc.continueSent = false
	sc.mu.Lock()
	sc.busy, sc.lastActive, sc.partialRequestSince = true, time.Now(), time.Time{}
	sc.mu.Unlock()
	request := &Request{Method: m.startLine[0], Path: m.startLine[1], Body: m.body, ConnID: sc.id}
	size := requestOverheadBytes + int64(len(m.body))
	reply := sc.server.newReply(c, sc, size, m.close)
	if sc.server.pendingRequestBytes.Add(size) > sc.server.cfg.MaxPendingRequestBytes {
		reply(Unavailable())
		return
	}
	sc.server.handler(request, reply)
}

// reject answers 400 and closes the connection, because its stream can't be parsed any
// further. The size bytes of the rejected request are read first: closing with unread
// bytes would reset the connection, and the client would lose the answer. size is 0 in the
// calls after the first, when more of the request has arrived.
func (sc *serverConn) reject(c gnet.Conn, size int) gnet.Action {
	sc.bytesToDiscard += size
	n, err := c.Discard(min(sc.bytesToDiscard, c.InboundBuffered()))
	if err != nil {
		return gnet.Close
	}
	if sc.bytesToDiscard -= n; sc.bytesToDiscard > 0 {
		sc.recordPartialRequest()
		return gnet.None
	}
	// The connection is closed whether or not the answer can be written.
	_, _ = c.Write(appendResponse(nil, &Response{Status: http.StatusBadRequest, Close: true}))
	return gnet.Close
}
