package transport

import (
	"errors"
	"fmt"
	"sync"
	"sync/atomic"
	"time"

	"github.com/panjf2000/gnet/v2"
)

// Handler takes one request and calls reply exactly once, from any goroutine.
type Handler func(req *Request, reply func(Response))

// ServerConfig bounds a server.
type ServerConfig struct {
	Addr        string
	MaxConns    int
	MaxInFlight int
	IdleTimeout time.Duration // a connection without a request
	ReadTimeout time.Duration // a request that does not become complete
}

// Server answers HTTP requests on one address.
type Server struct {
	gnet.BuiltinEventEngine
	cfg      ServerConfig
	handler  Handler
	eng      gnet.Engine
	inFlight atomic.Int64
	mu       sync.Mutex
	conns    map[gnet.Conn]*serverConn
	ready    chan struct{}
}

type serverConn struct {
	busy  bool // a request is with the handler
	since time.Time
	part  time.Time // when the request that is arriving began; zero: none is
	cont  bool      // "100 Continue" was sent for it
	skip  int       // bytes of a request that is refused, still to come
	mu    sync.Mutex
}

// NewServer prepares a server.
func NewServer(cfg ServerConfig, h Handler) *Server {
	return &Server{cfg: cfg, handler: h, conns: make(map[gnet.Conn]*serverConn), ready: make(chan struct{})}
}

// Run serves until Stop.
func (s *Server) Run() error {
	err := gnet.Run(s, "tcp://"+s.cfg.Addr,
		gnet.WithNumEventLoop(1), gnet.WithTicker(true), gnet.WithReuseAddr(true),
		gnet.WithTCPNoDelay(gnet.TCPNoDelay), gnet.WithReadBufferCap(16<<10),
		gnet.WithLogger(quiet{}))
	if err != nil {
		return fmt.Errorf("serving %s: %w", s.cfg.Addr, err)
	}
	return nil
}

// OnBoot implements gnet.EventHandler.
func (s *Server) OnBoot(eng gnet.Engine) gnet.Action {
	s.eng = eng
	close(s.ready)
	return gnet.None
}

// OnOpen implements gnet.EventHandler.
func (s *Server) OnOpen(c gnet.Conn) ([]byte, gnet.Action) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(s.conns) >= s.cfg.MaxConns {
		return nil, gnet.Close
	}
	sc := &serverConn{since: time.Now()}
	s.conns[c] = sc
	c.SetContext(sc)
	return nil, gnet.None
}

// OnClose implements gnet.EventHandler.
func (s *Server) OnClose(c gnet.Conn, _ error) gnet.Action {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.conns, c)
	return gnet.None
}

// OnTick closes connections that sit idle or send a request too slowly.
func (s *Server) OnTick() (time.Duration, gnet.Action) {
	now := time.Now()
	s.mu.Lock()
	var stale []gnet.Conn
	for c, sc := range s.conns {
		sc.mu.Lock()
		slow := !sc.part.IsZero() && now.Sub(sc.part) > s.cfg.ReadTimeout
		if !sc.busy && (slow || now.Sub(sc.since) > s.cfg.IdleTimeout) {
			stale = append(stale, c)
		}
		sc.mu.Unlock()
	}
	s.mu.Unlock()
	for _, c := range stale {
		// An error means that the connection is closed already.
		_ = c.Close()
	}
	return min(5*time.Second, s.cfg.ReadTimeout), gnet.None
}

// OnTraffic implements gnet.EventHandler.
func (s *Server) OnTraffic(c gnet.Conn) gnet.Action {
	sc, ok := c.Context().(*serverConn)
	if !ok {
		return gnet.Close
	}
	sc.mu.Lock()
	busy := sc.busy
	sc.mu.Unlock()
	if busy {
		if c.InboundBuffered() > maxHead+maxBody {
			return gnet.Close
		}
		return gnet.None
	}
	if sc.skip > 0 {
		return s.refuse(c, sc, 0)
	}
	buf, err := c.Peek(-1)
	if err != nil || len(buf) == 0 {
		return gnet.None
	}
	m, err := parseMessage(buf, false, maxBody)
	switch {
	case errors.Is(err, errTooLarge) && m.size > 0 && m.size <= maxSkip && !m.expect:
		return s.refuse(c, sc, m.size)
	case errors.Is(err, errIncomplete):
		if m.expect && !sc.cont {
			sc.cont = true
			if _, err := c.Write([]byte("HTTP/1.1 100 Continue\r\n\r\n")); err != nil {
				return gnet.Close
			}
		}
		if len(buf) > 2*maxBody+maxHead {
			return gnet.Close
		}
		sc.mu.Lock()
		if sc.part.IsZero() {
			sc.part = time.Now()
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
	sc.busy, sc.cont, sc.since, sc.part = true, false, time.Now(), time.Time{}
	sc.mu.Unlock()
	req := &Request{Method: m.first[0], Path: m.first[1], Body: m.body}
	reply := s.replier(c, sc, m.close)
	if s.inFlight.Add(1) > int64(s.cfg.MaxInFlight) {
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
	sc.skip += size
	n, err := c.Discard(min(sc.skip, c.InboundBuffered()))
	if err != nil {
		return gnet.Close
	}
	if sc.skip -= n; sc.skip > 0 {
		sc.mu.Lock()
		if sc.part.IsZero() {
			sc.part = time.Now()
		}
		sc.mu.Unlock()
		return gnet.None
	}
	if _, err := c.Write(appendResponse(nil, &Response{Status: 400, Close: true})); err != nil {
		return gnet.Close
	}
	return gnet.Close
}

func (s *Server) replier(c gnet.Conn, sc *serverConn, closing bool) func(Response) {
	var once sync.Once
	return func(r Response) {
		once.Do(func() {
			s.inFlight.Add(-1)
			r.Close = r.Close || closing
			out := appendResponse(make([]byte, 0, 192+len(r.Body)), &r)
			// An error means that the connection is gone; the peer asks again.
			_ = c.AsyncWrite(out, func(c gnet.Conn, err error) error {
				sc.mu.Lock()
				sc.busy, sc.since = false, time.Now()
				sc.mu.Unlock()
				if err != nil || r.Close {
					return c.Close()
				}
				if c.InboundBuffered() > 0 {
					return c.Wake(nil)
				}
				return nil
			})
		})
	}
}

// Stop ends the server.
func (s *Server) Stop(timeout time.Duration) error {
	<-s.ready
	return stopEngine(s.eng, timeout)
}
