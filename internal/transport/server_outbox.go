package transport

import (
	"sync"
	"time"

	"github.com/panjf2000/gnet/v2"
)

// queuedResponse is a response that waits for the event loop. Only the event loop writes
// to connections.
type queuedResponse struct {
	netConn    gnet.Conn
	serverConn *serverConn
	response   Response
}

// newReply returns the function that answers a request of the given size, in bytes. Only
// its first call has an effect. closing is true if the connection ends with this request.
func (s *Server) newReply(c gnet.Conn, conn *serverConn, size int64, closing bool) func(Response) {
	var once sync.Once
	return func(r Response) {
		once.Do(func() {
			s.pendingRequestBytes.Add(-size)
			r.Close = r.Close || closing
			s.outboxMu.Lock()
			s.outbox = append(s.outbox, queuedResponse{c, conn, r})
			first := len(s.outbox) == 1
			s.outboxMu.Unlock()
			if first {
				s.loop.execute(s.writeOutbox)
			}
		})
	}
}

// writeOutbox writes the queued responses. ValidUntil is checked here, just before the
// write: the process may have been paused since the response was created, and what
// entitled it to give that response, such as a lease, may have expired.
func (s *Server) writeOutbox() {
	s.outboxMu.Lock()
	outbox := s.outbox
	s.outbox = nil
	s.outboxMu.Unlock()
	now := time.Now()
	for i := range outbox {
		outbox[i].write(now)
	}
}

// write writes the response, or 503 if it is no longer valid. The connection is then ready
// for its next request.
func (q *queuedResponse) write(now time.Time) {
	if q.serverConn.closed {
		return
	}
	response := q.response
	if !response.ValidUntil.IsZero() && now.After(response.ValidUntil) {
		response = Unavailable()
		response.Close = q.response.Close
	}
	q.serverConn.mu.Lock()
	q.serverConn.busy, q.serverConn.lastActive = false, now
	q.serverConn.mu.Unlock()
	if _, err := q.netConn.Write(appendResponse(make([]byte, 0, responseHeadBytes+len(response.Body)), &response)); err != nil {
		return // the connection is closed; the client retries
	}
	if response.Close {
		// An error means that it is already closed.
		_ = q.netConn.Close()
	} else if q.netConn.InboundBuffered() > 0 {
		// The next request has arrived already. An error means that the connection is closed.
		_ = q.netConn.Wake(nil)
	}
}
