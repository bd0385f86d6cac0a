package transport

import (
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/panjf2000/gnet/v2"
)

// overloadRetryAfterS is the Retry-After value, in seconds, for a request that was not
// handled for lack of memory, or whose response was late.
const overloadRetryAfterS = 1

// Request is an HTTP request as passed to a Handler.
type Request struct {
	Method string
	Path   string
	Body   []byte
	ConnID uint64 // number of the connection it came on, counted from 1 per server
}

// Response is a Handler's answer to a request.
type Response struct {
	Status      int
	Body        []byte // CBOR; empty: no body
	RetryAfterS int    // Retry-After header in seconds, sent if above 0
	Close       bool   // close the connection after the response
	// ValidUntil is the latest time at which the response may be written; after it the
	// request is answered with 503 instead. Zero: no limit.
	ValidUntil time.Time
}

// Unavailable returns the response (503) to a request that was not executed and may be
// retried.
func Unavailable() Response {
	return Response{Status: http.StatusServiceUnavailable, RetryAfterS: overloadRetryAfterS}
}

// Handler handles one request and calls reply exactly once, from any goroutine. It runs on
// the event loop's goroutine and must not block.
type Handler func(req *Request, reply func(Response))

// ServerConfig holds a server's address and limits.
type ServerConfig struct {
	Addr                   string // host:port
	MaxConns               int
	MaxPendingRequestBytes int64         // total size of requests without an answer yet
	IdleTimeout            time.Duration // after which a connection without a request is closed
	ReadTimeout            time.Duration // after which the connection of an incomplete request is closed
}

// Server answers HTTP requests on one address. The event loop to whose Run method it is
// passed drives it.
type Server struct {
	cfg                 ServerConfig
	loop                *Loop
	handler             Handler
	pendingRequestBytes atomic.Int64

	mu            sync.Mutex // guards conns and acceptedConns
	conns         map[gnet.Conn]*serverConn
	acceptedConns uint64 // number of connections accepted so far

	outboxMu sync.Mutex
	outbox   []queuedResponse // responses for the event loop to write
}

// NewServer returns a server, which listens once it is passed to Loop.Run.
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

// tick closes connections that have been idle for too long or send a request too slowly.
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
		// An error means that the connection is already closed.
		_ = c.Close()
	}
}
