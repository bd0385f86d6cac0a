package transport

import (
	"encoding/binary"
	"sync"
	"time"

	"github.com/panjf2000/gnet/v2"
	"google.golang.org/protobuf/proto"

	"github.com/cobaltvale/cobaltvale/internal/protocol/meshpb"
)

const (
	maxFrameBytes = 1 << 20
	// frameHeaderBytes is the length that precedes each frame, big endian.
	frameHeaderBytes = 4
)

// MeshLink is one connection to another member. Frames arrive in the order in which they
// were sent, until the link is down; a new link is a new stream. Any number of goroutines
// may use it.
type MeshLink struct {
	mesh   *Mesh
	member string // empty: its hello has not come in yet

	mu           sync.Mutex // of all below
	conn         gnet.Conn  // nil: it is being dialed
	up           bool       // its hello has come in
	closed       bool
	lastReceived time.Time
	outbound     []byte // framed, not yet written
}

// Send queues a frame until Flush. A link that can't take it is closed, so that no frame
// is ever missing in the middle of a stream; that the link is down is told by MeshDown.
func (l *MeshLink) Send(f *meshpb.Frame) {
	if !l.enqueue(f) {
		l.Close()
	}
}

// enqueue tells whether the link can go on: a link that is not open drops the frame.
func (l *MeshLink) enqueue(f *meshpb.Frame) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.conn == nil || l.closed {
		return true
	}
	start := len(l.outbound)
	out, err := proto.MarshalOptions{}.MarshalAppend(append(l.outbound, make([]byte, frameHeaderBytes)...), f)
	size := len(out) - start - frameHeaderBytes
	if err != nil || size > maxFrameBytes || len(out) > l.mesh.cfg.MaxBacklogBytes {
		return false
	}
	binary.BigEndian.PutUint32(out[start:], uint32(size))
	l.outbound = out
	return true
}

// Flush writes what has been queued in one go.
func (l *MeshLink) Flush() {
	l.mu.Lock()
	conn, out := l.conn, l.outbound
	l.outbound = nil
	l.mu.Unlock()
	if conn == nil || len(out) == 0 {
		return
	}
	err := conn.AsyncWrite(out, func(c gnet.Conn, err error) error {
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
	conn := l.conn
	l.mu.Unlock()
	if conn != nil {
		// An error means that it is closed already.
		_ = conn.Close()
	}
}

// onTraffic takes the frames that have arrived in full, and tells of them in one event.
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
		} else if up = l.handleHello(c, f); !up {
			action = gnet.Close
		}
	}
	if len(frames) > 0 {
		l.mesh.events.MeshFrames(l, frames)
	}
	return action
}

// readFrame takes one frame off a connection, or none while it is incomplete. What can't
// be a frame is not ok.
func readFrame(c gnet.Conn) (f *meshpb.Frame, ok bool) {
	head, err := c.Peek(frameHeaderBytes)
	if err != nil {
		return nil, true // fewer bytes than that so far
	}
	size := int(binary.BigEndian.Uint32(head))
	if size > maxFrameBytes {
		return nil, false
	}
	if c.InboundBuffered() < frameHeaderBytes+size {
		return nil, true
	}
	buf, err := c.Peek(frameHeaderBytes + size)
	if err != nil {
		return nil, false
	}
	f = &meshpb.Frame{}
	err = proto.Unmarshal(buf[frameHeaderBytes:], f)
	if _, discardErr := c.Discard(frameHeaderBytes + size); err != nil || discardErr != nil {
		return nil, false
	}
	return f, true
}

// handleHello takes the first frame of a link, which must be the hello of a peer: of the
// one that was dialed, or of one that dials.
func (l *MeshLink) handleHello(c gnet.Conn, f *meshpb.Frame) bool {
	m := l.mesh
	hello := f.GetHello()
	if hello == nil || !m.isPeer(hello.Member) {
		return false
	}
	incoming := l.member == ""
	m.mu.Lock()
	previous := m.linkByMember[hello.Member]
	if incoming {
		l.member = hello.Member
		m.linkByMember[hello.Member] = l
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
			previous.retire()
		}
		l.Send(m.helloFrame())
		l.Flush()
	}
	m.events.MeshUp(l, hello.Member)
	return true
}

// retire ends a link that another replaces. It is reported as down before its connection
// has closed, so that the streams never overlap.
func (l *MeshLink) retire() {
	l.reportDown()
	l.Close()
}

// onClose implements connection.
func (l *MeshLink) onClose(gnet.Conn) {
	l.mesh.removeLink(l)
	l.reportDown()
}

// reportDown reports the link as down, once, if it was up.
func (l *MeshLink) reportDown() {
	l.mu.Lock()
	first := l.up && !l.closed
	l.closed = true
	l.mu.Unlock()
	if first {
		l.mesh.events.MeshDown(l)
	}
}
