package transport

import (
	"errors"
	"sync"
	"time"

	"github.com/panjf2000/gnet/v2"
)

type serverConn struct {
	server       *Server
	id           uint64
	closed       bool // closed; known to the loop alone
	busy         bool // a request is with the handler
	lastActive   time.Time
	partialSince time.Time // when the request that is arriving began; zero: none is
	continueSent bool      // "100 Continue" was sent for it
	discardLeft  int       // bytes of a request that is refused, still to come
	mu           sync.Mutex
}

func (sc *serverConn) onClose(c gnet.Conn) {
	sc.closed = true
	sc.server.mu.Lock()
	defer sc.server.mu.Unlock()
	delete(sc.server.conns, c)
}

func (sc *serverConn) onTraffic(c gnet.Conn) gnet.Action {
	s := sc.server
	sc.mu.Lock()
	busy := sc.busy
	sc.mu.Unlock()
	if busy {
		if c.InboundBuffered() > maxHead+maxBody {
			return gnet.Close
		}
		return gnet.None
	}
	if sc.discardLeft > 0 {
		return s.refuse(c, sc, 0)
	}
	buf, err := c.Peek(-1)
	if err != nil || len(buf) == 0 {
		return gnet.None
	}
	m, err := parseMessage(buf, false, maxBody)
	switch {
	case errors.Is(err, errTooLarge) && m.size > 0 && m.size <= maxDiscard && !m.expectContinue:
		return s.refuse(c, sc, m.size)
	case errors.Is(err, errIncomplete):
		if m.expectContinue && !sc.continueSent {
			sc.continueSent = true
			if _, err := c.Write([]byte("HTTP/1.1 100 Continue\r\n\r\n")); err != nil {
				return gnet.Close
			}
		}
		if len(buf) > 2*maxBody+maxHead {
			return gnet.Close
		}
		sc.mu.Lock()
		if sc.partialSince.IsZero() {
			sc.partialSince = time.Now()
		}
		sc.mu.Unlock()
		return gnet.None
	case err != nil:
		return s.refuse(c, sc, len(buf))
	}
	if _, err := c.Discard(m.size); err != nil {
		return gnet.Close
	}
	sc.mu.Lock()
	sc.busy, sc.continueSent, sc.lastActive, sc.partialSince = true, false, time.Now(), time.Time{}
	sc.mu.Unlock()
	req := &Request{Method: m.startLine[0], Path: m.startLine[1], Body: m.body, ConnID: sc.id}
	size := requestOverheadBytes + int64(len(m.body))
	reply := s.replier(c, sc, size, m.close)
	if s.heldBytes.Add(size) > s.cfg.MaxHeldBytes {
		reply(Response{Status: 503, RetryAfterS: 1})
		return gnet.None
	}
	s.handler(req, reply)
	return gnet.None
}

// refuse answers 400 and ends the connection, since the stream cannot be read
// on from here. What the peer has announced is read first: closing with unread
// bytes would reset the connection and lose the answer.
func (s *Server) refuse(c gnet.Conn, sc *serverConn, size int) gnet.Action {
	sc.discardLeft += size
	n, err := c.Discard(min(sc.discardLeft, c.InboundBuffered()))
	if err != nil {
		return gnet.Close
	}
	if sc.discardLeft -= n; sc.discardLeft > 0 {
		sc.mu.Lock()
		if sc.partialSince.IsZero() {
			sc.partialSince = time.Now()
		}
		sc.mu.Unlock()
		return gnet.None
	}
	if _, err := c.Write(appendResponse(nil, &Response{Status: 400, Close: true})); err != nil {
		return gnet.Close
	}
	return gnet.Close
}
