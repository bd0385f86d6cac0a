package transport

import (
	"errors"
	"sync"
	"sync/atomic"
	"time"

	"github.com/panjf2000/gnet/v2"
)

// Handler takes one request and calls reply exactly once, from any goroutine.
type Handler func(req *Request, reply func(Response))

// ServerConfig bounds a server.
type ServerConfig struct {
	Addr         string
	MaxConns     int
	MaxHeldBytes int64         // bytes of requests that wait for their answers
	IdleTimeout  time.Duration // a connection without a request
	ReadTimeout  time.Duration // a request that does not become complete
}

// Server answers HTTP requests on one address.
type Server struct {
	cfg       ServerConfig
	loop      *Loop
	handler   Handler
	heldBytes atomic.Int64
	mu        sync.Mutex
	conns     map[gnet.Conn]*serverConn
	opened    uint64 // connections so far
	outboxMu  sync.Mutex
	outbox    []queuedResponse // that the loop is to write
}

// queuedResponse is a response on its way to the loop.
type queuedResponse struct {
	conn     gnet.Conn
	state    *serverConn
	response Response
}

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

// NewServer prepares a server.
func NewServer(cfg ServerConfig, l *Loop, h Handler) *Server {
	return &Server{cfg: cfg, loop: l, handler: h, conns: make(map[gnet.Conn]*serverConn)}
}

func (s *Server) address() string { return s.cfg.Addr }

func (s *Server) accept(c gnet.Conn) connection {
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(s.conns) >= s.cfg.MaxConns {
		return nil
	}
	s.opened++
	sc := &serverConn{server: s, id: s.opened, lastActive: time.Now()}
	s.conns[c] = sc
	return sc
}

func (sc *serverConn) onClose(c gnet.Conn) {
	sc.closed = true
	sc.server.mu.Lock()
	defer sc.server.mu.Unlock()
	delete(sc.server.conns, c)
}

// tick closes connections that sit idle or send a request too slowly.
func (s *Server) tick(now time.Time) {
	s.mu.Lock()
	var stale []gnet.Conn
	for c, sc := range s.conns {
		sc.mu.Lock()
		slow := !sc.partialSince.IsZero() && now.Sub(sc.partialSince) > s.cfg.ReadTimeout
		if !sc.busy && (slow || now.Sub(sc.lastActive) > s.cfg.IdleTimeout) {
			stale = append(stale, c)
		}
		sc.mu.Unlock()
	}
	s.mu.Unlock()
	for _, c := range stale {
		// An error means that the connection is closed already.
		_ = c.Close()
	}
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

// requestOverheadBytes is what a request is counted as besides its body.
const requestOverheadBytes = 1 << 10

func (s *Server) replier(c gnet.Conn, sc *serverConn, size int64, closing bool) func(Response) {
	var once sync.Once
	return func(r Response) {
		once.Do(func() {
			s.heldBytes.Add(-size)
			r.Close = r.Close || closing
			s.outboxMu.Lock()
			s.outbox = append(s.outbox, queuedResponse{c, sc, r})
			first := len(s.outbox) == 1
			s.outboxMu.Unlock()
			if first {
				s.loop.execute(s.writeOutbox)
			}
		})
	}
}

// writeOutbox writes the answers that have gathered. How long each may be sent is
// judged here, at the last moment: the process may have stood still since it
// was made, and what entitled it to the answer may have ended.
func (s *Server) writeOutbox() {
	s.outboxMu.Lock()
	out := s.outbox
	s.outbox = nil
	s.outboxMu.Unlock()
	now := time.Now()
	for i := range out {
		a := &out[i]
		if a.state.closed {
			continue
		}
		r := a.response
		if !r.ValidUntil.IsZero() && now.After(r.ValidUntil) {
			r = Response{Status: 503, RetryAfterS: 1, Close: r.Close}
		}
		a.state.mu.Lock()
		a.state.busy, a.state.lastActive = false, now
		a.state.mu.Unlock()
		if _, err := a.conn.Write(appendResponse(make([]byte, 0, 192+len(r.Body)), &r)); err != nil {
			continue // the connection is gone; the peer asks again
		}
		if r.Close {
			// An error means that it is closed already.
			_ = a.conn.Close()
		} else if a.conn.InboundBuffered() > 0 {
			// As above.
			_ = a.conn.Wake(nil)
		}
	}
}
