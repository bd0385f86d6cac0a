package transport

import (
	"sync"
	"time"

	"github.com/panjf2000/gnet/v2"

	"github.com/cobaltvale/cobaltvale/internal/protocol/meshpb"
)

// MeshEvents takes what happens on the mesh. Calls come from event loops and
// must not block for long.
type MeshEvents interface {
	MeshUp(l *MeshLink, member string)
	MeshFrames(l *MeshLink, frames []*meshpb.Frame)
	MeshDown(l *MeshLink)
}

// MeshPeer is another member's address.
type MeshPeer struct{ Member, Addr string }

// MeshConfig describes this member's side.
type MeshConfig struct {
	Self        string
	Addr        string
	Peers       []MeshPeer
	IdleTimeout time.Duration // a link that says nothing for so long is cut
	// MaxBacklog is how many bytes may wait to be written on a link; one that
	// can't keep up is closed.
	MaxBacklogBytes int
}

// Mesh keeps one link to each other member. The member whose name sorts
// first dials.
type Mesh struct {
	cfg    MeshConfig
	loop   *Loop
	events MeshEvents

	mu    sync.Mutex
	links map[string]*MeshLink
	open  map[*MeshLink]struct{}
	stop  chan struct{}
}

// NewMesh prepares the mesh.
func NewMesh(cfg MeshConfig, l *Loop, ev MeshEvents) *Mesh {
	return &Mesh{cfg: cfg, loop: l, events: ev, links: make(map[string]*MeshLink),
		open: make(map[*MeshLink]struct{}), stop: make(chan struct{})}
}

// Start dials the members that are this one's to dial; the others are served
// by the loop.
func (m *Mesh) Start() {
	for _, p := range m.cfg.Peers {
		if m.cfg.Self < p.Member {
			go m.keepDialing(p)
		}
	}
}

// Stop ends the dialling.
func (m *Mesh) Stop() { close(m.stop) }

func (m *Mesh) keepDialing(peer MeshPeer) {
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
		_, have := m.links[peer.Member]
		m.mu.Unlock()
		if have {
			continue
		}
		l := &MeshLink{mesh: m, member: peer.Member, lastReceived: time.Now()}
		m.mu.Lock()
		m.links[peer.Member] = l
		m.open[l] = struct{}{}
		m.mu.Unlock()
		c, err := m.loop.dial(peer.Addr, l)
		if err != nil {
			m.removeLink(l)
			continue
		}
		l.mu.Lock()
		l.conn = c
		l.mu.Unlock()
		l.Send(m.hello())
		l.Flush()
	}
}

func (m *Mesh) hello() *meshpb.Frame {
	return &meshpb.Frame{Body: &meshpb.Frame_Hello{Hello: &meshpb.Hello{Member: m.cfg.Self}}}
}

func (m *Mesh) removeLink(l *MeshLink) {
	m.mu.Lock()
	defer m.mu.Unlock()
	delete(m.open, l)
	if m.links[l.member] == l {
		delete(m.links, l.member)
	}
}

func (m *Mesh) address() string { return m.cfg.Addr }

func (m *Mesh) accept(c gnet.Conn) connection {
	l := &MeshLink{mesh: m, conn: c, lastReceived: time.Now()}
	m.mu.Lock()
	defer m.mu.Unlock()
	if len(m.open) > 4*len(m.cfg.Peers)+16 {
		return nil
	}
	m.open[l] = struct{}{}
	return l
}

// tick cuts links that have gone silent: a cut between rooms shows no error.
func (m *Mesh) tick(now time.Time) {
	m.mu.Lock()
	var stale []*MeshLink
	for l := range m.open {
		l.mu.Lock()
		if l.conn != nil && now.Sub(l.lastReceived) > m.cfg.IdleTimeout {
			stale = append(stale, l)
		}
		l.mu.Unlock()
	}
	m.mu.Unlock()
	for _, l := range stale {
		l.Close()
	}
}

func (m *Mesh) isPeer(member string) bool {
	for _, peer := range m.cfg.Peers {
		if peer.Member == member {
			return true
		}
	}
	return false
}
