package transport

import (
	"encoding/binary"
	"sync"
	"time"

	"github.com/panjf2000/gnet/v2"
	"google.golang.org/protobuf/proto"

	"github.com/cobaltvale/cobaltvale/internal/protocol/meshpb"
)

const maxFrameBytes = 1 << 20

// MeshLink is one connection to another member. Frames arrive in the order
// in which they were sent, until the link is down; a new link is a new stream.
type MeshLink struct {
	mesh         *Mesh
	member       string
	conn         gnet.Conn
	mu           sync.Mutex
	up           bool
	closed       bool
	lastReceived time.Time
	outbound     []byte // framed, not yet written
}

// Send queues a frame until Flush. A link that cannot take it is closed, so
// that no frame is ever missing in the middle of a stream.
func (l *MeshLink) Send(f *meshpb.Frame) {
	l.mu.Lock()
	if l.conn == nil || l.closed {
		l.mu.Unlock()
		return
	}
	at := len(l.outbound)
	out, err := proto.MarshalOptions{}.MarshalAppend(append(l.outbound, 0, 0, 0, 0), f)
	n := len(out) - at - 4
	if err == nil && n <= maxFrameBytes && len(out) <= l.mesh.cfg.MaxBacklogBytes {
		binary.BigEndian.PutUint32(out[at:], uint32(n))
		l.outbound = out
		l.mu.Unlock()
		return
	}
	l.mu.Unlock()
	l.Close()
}

// Flush writes what has been queued in one go.
func (l *MeshLink) Flush() {
	l.mu.Lock()
	c, out := l.conn, l.outbound
	l.outbound = nil
	l.mu.Unlock()
	if c == nil || len(out) == 0 {
		return
	}
	err := c.AsyncWrite(out, func(c gnet.Conn, err error) error {
		if err == nil && c.OutboundBuffered() > l.mesh.cfg.MaxBacklogBytes {
			return c.Close()
		}
		return nil
	})
	if err != nil {
		l.Close()
	}
}

// Close ends the link.
func (l *MeshLink) Close() {
	l.mu.Lock()
	c := l.conn
	l.mu.Unlock()
	if c != nil {
		// An error means that it is closed already.
		_ = c.Close()
	}
}

func (l *MeshLink) onTraffic(c gnet.Conn) gnet.Action {
	l.mu.Lock()
	l.lastReceived = time.Now()
	up := l.up
	l.mu.Unlock()
	var frames []*meshpb.Frame
	action := gnet.None
	for action == gnet.None {
		f, ok := readFrame(c)
		if !ok {
			action = gnet.Close
		}
		if f == nil {
			break
		}
		if up {
			frames = append(frames, f)
		} else if up = l.acceptHello(c, f); !up {
			action = gnet.Close
		}
	}
	if len(frames) > 0 {
		l.mesh.events.MeshFrames(l, frames)
	}
	return action
}

// readFrame takes one frame off a connection, or none while it is incomplete.
func readFrame(c gnet.Conn) (f *meshpb.Frame, ok bool) {
	head, err := c.Peek(4)
	if err != nil {
		return nil, true // fewer than four bytes so far
	}
	n := int(binary.BigEndian.Uint32(head))
	if n > maxFrameBytes {
		return nil, false
	}
	if c.InboundBuffered() < 4+n {
		return nil, true
	}
	buf, err := c.Peek(4 + n)
	if err != nil {
		return nil, false
	}
	f = &meshpb.Frame{}
	err = proto.Unmarshal(buf[4:], f)
	if _, derr := c.Discard(4 + n); err != nil || derr != nil {
		return nil, false
	}
	return f, true
}

// acceptHello takes the first frame of a link, which must be the hello.
func (l *MeshLink) acceptHello(c gnet.Conn, f *meshpb.Frame) bool {
	m := l.mesh
	hello := f.GetHello()
	if hello == nil || !m.isPeer(hello.Member) {
		return false
	}
	incoming := l.member == ""
	m.mu.Lock()
	previous := m.links[hello.Member]
	if incoming {
		l.member = hello.Member
		m.links[hello.Member] = l
	}
	m.mu.Unlock()
	if l.member != hello.Member {
		return false
	}
	l.mu.Lock()
	l.up = true
	if l.conn == nil {
		l.conn = c
	}
	l.mu.Unlock()
	if incoming {
		if previous != nil && previous != l {
			previous.replace()
		}
		l.Send(m.hello())
		l.Flush()
	}
	m.events.MeshUp(l, hello.Member)
	return true
}

// replace ends a link that another replaces. It is reported as down before its
// connection has closed, so that the streams never overlap.
func (l *MeshLink) replace() {
	l.down()
	l.Close()
}

func (l *MeshLink) onClose(gnet.Conn) {
	l.mesh.removeLink(l)
	l.down()
}

// down reports the link as down, once.
func (l *MeshLink) down() {
	l.mu.Lock()
	first := l.up && !l.closed
	l.closed = true
	l.mu.Unlock()
	if first {
		l.mesh.events.MeshDown(l)
	}
}
