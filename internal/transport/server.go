package transport

import (
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/panjf2000/gnet/v2"
)

// overloadRetryAfterS is after how many seconds a request may be repeated that was not
// answered for lack of memory, or in time.
const overloadRetryAfterS = 1

// Request is what a handler gets.
type Request struct {
	Method string
	Path   string
	Body   []byte
	ConnID uint64 // numbers the server's connections, from 1
}

// Response is what a handler answers with.
type Response struct {
	Status      int
	Body        []byte // CBOR; empty: none
	RetryAfterS int    // seconds, sent when above 0
	Close       bool   // ends the connection
	// ValidUntil is until when the response may be written; later the request is answered
	// with 503. Zero: without limit.
	ValidUntil time.Time
}

// Unavailable answers a request that was not carried out and may be repeated.
func Unavailable() Response {
	return Response{Status: http.StatusServiceUnavailable, RetryAfterS: overloadRetryAfterS}
}

// Handler takes one request and calls reply exactly once, from any goroutine. It runs on
// the event loop and must not block.
type Handler func(req *Request, reply func(Response))

// ServerConfig bounds a server.
type ServerConfig struct {
	Addr                   string // host:port
	MaxConns               int
	MaxPendingRequestBytes int64         // of requests that wait for their answers
	IdleTimeout            time.Duration // of a connection without a request
	ReadTimeout            time.Duration // of a request that does not become complete
}

// Server answers HTTP requests on one address. The event loop that it is given to
// (Loop.Run) drives it.
type Server struct {
	cfg                 ServerConfig
	loop                *Loop
	handler             Handler
	pendingRequestBytes atomic.Int64

	mu            sync.Mutex // of conns and opened
	conns         map[gnet.Conn]*serverConn
	acceptedConns uint64 // connections so far

	outboxMu sync.Mutex
	outbox   []queuedResponse // that the loop is to write
}

// NewServer prepares a server.
func NewServer(cfg ServerConfig, l *Loop, h Handler) *Server {
	return &Server{cfg: cfg, loop: l, handler: h, conns: make(map[gnet.Conn]*serverConn)}
}

// address implements service.
func (s *Server) address() string { return s.cfg.Addr }

// accept implements service.
func (s *Server) accept(c gnet.Conn) connection {
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(s.conns) >= s.cfg.MaxConns {
		return nil
	}
	s.acceptedConns++
	conn := &serverConn{server: s, id: s.acceptedConns, lastActive: time.Now()}
	s.conns[c] = conn
	return conn
}

// tick closes connections that sit idle or send a request too slowly.
func (s *Server) tick(now time.Time) {
	s.mu.Lock()
	var stale []gnet.Conn
	for c, conn := range s.conns {
		if conn.isStale(now) {
			stale = append(stale, c)
		}
	}
	s.mu.Unlock()
	for _, c := range stale {
		// An error means that the connection is closed already.
		_ = c.Close()
	}
}
