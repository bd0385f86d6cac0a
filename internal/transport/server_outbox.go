package transport

import (
	"sync"
	"time"

	"github.com/panjf2000/gnet/v2"
)

// queuedResponse is a response on its way to the loop.
type queuedResponse struct {
	conn     gnet.Conn
	state    *serverConn
	response Response
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
