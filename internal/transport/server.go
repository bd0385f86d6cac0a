package transport

import (
	"sync"
	"sync/atomic"
	"time"

	"github.com/panjf2000/gnet/v2"
)

// Request is what a handler gets.
type Request struct {
	Method string
	Path   string
	Body   []byte
	ConnID uint64 // numbers the connection, from 1
}

// Response is what it answers with. RetryAfterS is sent when it is above 0. An
// answer that has not been written by Until, unless that is zero, becomes a 503.
type Response struct {
	Status      int
	Body        []byte
	RetryAfterS int
	Close       bool
	ValidUntil  time.Time
}

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
