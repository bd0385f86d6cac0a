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
	// frameHeaderBytes is the size of the header of each frame: the frame's length, a
	// big-endian integer.
	frameHeaderBytes = 4
)

// MeshLink is one connection to a peer. Frames arrive in the order in which they were
// sent, until the link is down; a new link is a new stream. It is safe for concurrent use.
type MeshLink struct {
	mesh   *Mesh
	member string // the peer's; empty: its hello has not arrived yet

	mu           sync.Mutex // guards the fields below
	conn         gnet.Conn  // nil: the peer is being dialed
	up           bool       // the peer's hello has arrived
	closed       bool       // the link is down: replaced, or its connection has closed
	lastReceived time.Time
	outbound     []byte // queued frames with their headers, not written yet
}

// Send queues a frame until Flush. If the frame can't be queued, the link is closed, so that
// no frame is ever missing in the middle of a stream. MeshDown reports that it is down.
func (l *MeshLink) Send(f *meshpb.Frame) {
	if !l.enqueue(f) {
		l.Close()
	}
}

// enqueue appends a frame to outbound, or drops it if the link is not open. It returns false
// if an open link can't queue the frame; the link must then be closed.
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

// Flush writes all queued frames in one write.
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

// Close closes the link's connection, if it has one.
func (l *MeshLink) Close() {
	l.mu.Lock()
	conn := l.conn
	l.mu.Unlock()
	if conn != nil {
		// An error means that it is already closed.
		_ = conn.Close()
	}
}

// onTraffic implements connection. It reads the frames that have arrived completely, and
// reports them in one call of MeshFrames.
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

// readFrame reads one frame from a connection, or returns nil while it is incomplete. ok is
// false if the bytes can't be a valid frame.
func readFrame(c gnet.Conn) (f *meshpb.Frame, ok bool) {
	head, err := c.Peek(frameHeaderBytes)
	if err != nil {
		return nil, true // the header is incomplete
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

// handleHello handles the first frame of a link and reports whether it is valid: it must be
// the hello of a configured peer and, on a link that this member dialed, of the dialed peer.
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

// retire closes a link that another replaces. It is reported as down before its connection
// has closed, so that the streams of the two links don't overlap.
func (l *MeshLink) retire() {
	l.reportDown()
	l.Close()
}

// onClose implements connection.
func (l *MeshLink) onClose(gnet.Conn) {
	l.mesh.removeLink(l)
	l.reportDown()
}

// reportDown marks the link as closed. The first call reports it as down if it was up.
func (l *MeshLink) reportDown() {
	l.mu.Lock()
	first := l.up && !l.closed
	l.closed = true
	l.mu.Unlock()
	if first {
		l.mesh.events.MeshDown(l)
	}
}
