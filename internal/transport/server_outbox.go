package transport

import (
	"sync"
	"time"

	"github.com/panjf2000/gnet/v2"
)

// queuedResponse is a response on its way to the event loop, which alone writes to
// connections.
type queuedResponse struct {
	netConn    gnet.Conn
	serverConn *serverConn
	response   Response
}

// replier returns what answers a request of that size: the first call does, further ones
// do nothing.
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

// writeOutbox writes the responses that have gathered. Whether each may still be sent is
// decided here, at the last moment: the process may have stood still since it was made,
// and what entitled it to the response may have ended.
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

// write writes a response, or 503 in its place if it is late. The connection then takes
// its next request.
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
		return // the connection is gone; the peer asks again
	}
	if response.Close {
		// An error means that it is closed already.
		_ = q.netConn.Close()
	} else if q.netConn.InboundBuffered() > 0 {
		// As above.
		_ = q.netConn.Wake(nil)
	}
}
