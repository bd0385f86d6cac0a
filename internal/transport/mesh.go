package transport

import (
	"encoding/binary"
	"fmt"
	"sync"
	"time"

	"github.com/panjf2000/gnet/v2"
	"google.golang.org/protobuf/proto"

	"github.com/cobaltvale/cobaltvale/internal/protocol/meshpb"
)

const (
	maxFrame       = 1 << 20
	maxMeshBacklog = 4 << 20
)

// MeshLink is one connection to another member. Frames arrive in the order
// in which they were sent, until the link is down; a new link is a new stream.
type MeshLink struct {
	mesh   *Mesh
	member string
	c      gnet.Conn
	mu     sync.Mutex
	up     bool
	closed bool
	heard  time.Time
}

// MeshEvents takes what happens on the mesh. Calls come from event loops and
// must not block for long.
type MeshEvents interface {
	MeshUp(l *MeshLink, member string)
	MeshFrame(l *MeshLink, f *meshpb.Frame)
	MeshDown(l *MeshLink)
}

// MeshPeer is another member's address.
type MeshPeer struct{ Member, Addr string }

// MeshConfig describes this member's side.
type MeshConfig struct {
	Self    string
	Addr    string
	Peers   []MeshPeer
	Silence time.Duration // a link that says nothing for so long is cut
}

// Mesh keeps one link to each other member. The member whose name sorts
// first dials.
type Mesh struct {
	gnet.BuiltinEventEngine
	cfg    MeshConfig
	dialer *Dialer
	events MeshEvents

	mu    sync.Mutex
	links map[string]*MeshLink
	all   map[*MeshLink]struct{}
	stop  chan struct{}
	eng   gnet.Engine
	ready chan struct{}
}

// NewMesh prepares the mesh.
func NewMesh(cfg MeshConfig, d *Dialer, ev MeshEvents) *Mesh {
	return &Mesh{cfg: cfg, dialer: d, events: ev, links: make(map[string]*MeshLink),
		all: make(map[*MeshLink]struct{}), stop: make(chan struct{}), ready: make(chan struct{})}
}

// Run dials the members that are this one's to dial and serves the others.
func (m *Mesh) Run() error {
	for _, p := range m.cfg.Peers {
		if m.cfg.Self < p.Member {
			go m.keepDialling(p)
		}
	}
	err := gnet.Run(m, "tcp://"+m.cfg.Addr, gnet.WithNumEventLoop(1), gnet.WithTicker(true),
		gnet.WithReuseAddr(true), gnet.WithTCPNoDelay(gnet.TCPNoDelay), gnet.WithReadBufferCap(32<<10),
		gnet.WithLogger(quiet{}))
	if err != nil {
		return fmt.Errorf("serving the mesh on %s: %w", m.cfg.Addr, err)
	}
	return nil
}

// Stop ends the mesh.
func (m *Mesh) Stop(timeout time.Duration) error {
	<-m.ready
	close(m.stop)
	return stopEngine(m.eng, timeout)
}

func (m *Mesh) keepDialling(p MeshPeer) {
	const pause = 400 * time.Millisecond
	timer := time.NewTimer(0)
	defer timer.Stop()
	for {
		select {
		case <-m.stop:
			return
		case <-timer.C:
		}
		timer.Reset(pause)
		m.mu.Lock()
		_, have := m.links[p.Member]
		m.mu.Unlock()
		if have {
			continue
		}
		l := &MeshLink{mesh: m, member: p.Member, heard: time.Now()}
		m.mu.Lock()
		m.links[p.Member] = l
		m.all[l] = struct{}{}
		m.mu.Unlock()
		c, err := m.dialer.dial(p.Addr, l)
		if err != nil {
			m.forget(l)
			continue
		}
		l.mu.Lock()
		l.c = c
		l.mu.Unlock()
		l.Send(m.hello())
	}
}

func (m *Mesh) hello() *meshpb.Frame {
	return &meshpb.Frame{Body: &meshpb.Frame_Hello{Hello: &meshpb.Hello{Member: m.cfg.Self}}}
}

func (m *Mesh) forget(l *MeshLink) {
	m.mu.Lock()
	defer m.mu.Unlock()
	delete(m.all, l)
	if m.links[l.member] == l {
		delete(m.links, l.member)
	}
}

// OnBoot implements gnet.EventHandler.
func (m *Mesh) OnBoot(e gnet.Engine) gnet.Action {
	m.eng = e
	close(m.ready)
	return gnet.None
}

// OnOpen implements gnet.EventHandler.
func (m *Mesh) OnOpen(c gnet.Conn) ([]byte, gnet.Action) {
	l := &MeshLink{mesh: m, c: c, heard: time.Now()}
	m.mu.Lock()
	full := len(m.all) > 4*len(m.cfg.Peers)+16
	if !full {
		m.all[l] = struct{}{}
	}
	m.mu.Unlock()
	if full {
		return nil, gnet.Close
	}
	c.SetContext(l)
	return nil, gnet.None
}

// OnTraffic implements gnet.EventHandler.
func (m *Mesh) OnTraffic(c gnet.Conn) gnet.Action {
	if l, ok := c.Context().(*MeshLink); ok {
		return l.onTraffic(c)
	}
	return gnet.Close
}

// OnClose implements gnet.EventHandler.
func (m *Mesh) OnClose(c gnet.Conn, _ error) gnet.Action {
	if l, ok := c.Context().(*MeshLink); ok {
		l.onClose(c)
	}
	return gnet.None
}

// OnTick cuts links that have gone silent: a cut between rooms shows no error.
func (m *Mesh) OnTick() (time.Duration, gnet.Action) {
	now := time.Now()
	m.mu.Lock()
	var stale []*MeshLink
	for l := range m.all {
		l.mu.Lock()
		if l.c != nil && now.Sub(l.heard) > m.cfg.Silence {
			stale = append(stale, l)
		}
		l.mu.Unlock()
	}
	m.mu.Unlock()
	for _, l := range stale {
		l.Close()
	}
	return 500 * time.Millisecond, gnet.None
}

// Send queues a frame. A link that cannot take it is closed, so that no frame
// is ever missing in the middle of a stream.
func (l *MeshLink) Send(f *meshpb.Frame) {
	body, err := proto.Marshal(f)
	if err != nil || len(body) > maxFrame {
		l.Close()
		return
	}
	out := make([]byte, 4, 4+len(body))
	binary.BigEndian.PutUint32(out, uint32(len(body)))
	out = append(out, body...)
	l.mu.Lock()
	c, closed := l.c, l.closed
	l.mu.Unlock()
	if c == nil || closed {
		return
	}
	err = c.AsyncWrite(out, func(c gnet.Conn, err error) error {
		if err == nil && c.OutboundBuffered() > maxMeshBacklog {
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
	c := l.c
	l.mu.Unlock()
	if c != nil {
		// An error means that it is closed already.
		_ = c.Close()
	}
}

func (l *MeshLink) onTraffic(c gnet.Conn) gnet.Action {
	l.mu.Lock()
	l.heard = time.Now()
	l.mu.Unlock()
	for {
		head, err := c.Peek(4)
		if err != nil {
			return gnet.None // fewer than four bytes so far
		}
		n := int(binary.BigEndian.Uint32(head))
		if n > maxFrame {
			return gnet.Close
		}
		if c.InboundBuffered() < 4+n {
			return gnet.None
		}
		buf, err := c.Peek(4 + n)
		if err != nil {
			return gnet.Close
		}
		var f meshpb.Frame
		err = proto.Unmarshal(buf[4:], &f)
		if _, derr := c.Discard(4 + n); err != nil || derr != nil {
			return gnet.Close
		}
		if !l.take(c, &f) {
			return gnet.Close
		}
	}
}

// take handles one frame: the first on a link must be the hello.
func (l *MeshLink) take(c gnet.Conn, f *meshpb.Frame) bool {
	m := l.mesh
	l.mu.Lock()
	up := l.up
	l.mu.Unlock()
	if up {
		m.events.MeshFrame(l, f)
		return true
	}
	h := f.GetHello()
	if h == nil || !m.knows(h.Member) {
		return false
	}
	incoming := l.member == ""
	m.mu.Lock()
	old := m.links[h.Member]
	if incoming {
		l.member = h.Member
		m.links[h.Member] = l
	}
	m.mu.Unlock()
	if l.member != h.Member {
		return false
	}
	l.mu.Lock()
	l.up = true
	if l.c == nil {
		l.c = c
	}
	l.mu.Unlock()
	if incoming {
		if old != nil && old != l {
			old.drop()
		}
		l.Send(m.hello())
	}
	m.events.MeshUp(l, h.Member)
	return true
}

// drop reports the link as down before its connection has closed, so that
// the stream which replaces it never overlaps it.
func (l *MeshLink) drop() {
	l.mu.Lock()
	first := l.up && !l.closed
	l.closed = true
	l.mu.Unlock()
	if first {
		l.mesh.events.MeshDown(l)
	}
	l.Close()
}

func (l *MeshLink) onClose(gnet.Conn) {
	l.mesh.forget(l)
	l.mu.Lock()
	first := l.up && !l.closed
	l.closed = true
	l.mu.Unlock()
	if first {
		l.mesh.events.MeshDown(l)
	}
}

func (m *Mesh) knows(member string) bool {
	for _, p := range m.cfg.Peers {
		if p.Member == member {
			return true
		}
	}
	return false
}
