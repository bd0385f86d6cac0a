package transport

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/panjf2000/gnet/v2"

	"github.com/cobaltvale/cobaltvale/internal/protocol/meshpb"
)

const (
	// redialInterval is the least time between two attempts to connect to a member.
	redialInterval = 400 * time.Millisecond
	// Connections that may be open at once, for links that replace others and for those
	// that have not said yet whose they are.
	maxConnsPerPeer = 4
	spareConns      = 16
)

// MeshEvents takes what happens on the mesh. Calls come from the event loop and must not
// block for long. Of each link MeshUp comes first, and MeshDown last.
type MeshEvents interface {
	MeshUp(l *MeshLink, member string)
	MeshFrames(l *MeshLink, frames []*meshpb.Frame)
	MeshDown(l *MeshLink)
}

// MeshPeer is another member with its address.
type MeshPeer struct {
	Member string
	Addr   string // host:port
}

// MeshConfig describes this member's side.
type MeshConfig struct {
	Self  string
	Addr  string // host:port that other members dial
	Peers []MeshPeer
	// IdleTimeout is after how long without a byte from the other side a link is closed.
	IdleTimeout time.Duration
	// MaxBacklogBytes is how much may wait to be written on a link; one that can't keep up
	// is closed.
	MaxBacklogBytes int
}

// Mesh keeps one link to each other member. Of two members the one whose name sorts first
// dials. The event loop that it is given to (Loop.Run) drives its links.
type Mesh struct {
	cfg    MeshConfig
	loop   *Loop
	events MeshEvents

	mu           sync.Mutex             // of all below
	linkByMember map[string]*MeshLink   // the latest to each member, by its name
	openLinks    map[*MeshLink]struct{} // all whose connections have not closed
}

// NewMesh prepares the mesh.
func NewMesh(cfg MeshConfig, l *Loop, events MeshEvents) *Mesh {
	return &Mesh{cfg: cfg, loop: l, events: events, linkByMember: make(map[string]*MeshLink), openLinks: make(map[*MeshLink]struct{})}
}

// Start dials the members that are this one's to dial, and again after a link has closed,
// until ctx ends. The event loop serves those that dial this one. Start returns at once.
func (m *Mesh) Start(ctx context.Context) {
	for _, peer := range m.cfg.Peers {
		if m.cfg.Self < peer.Member {
			// One goroutine a peer: it ends with ctx, after the attempt that it is in if
			// any. Nobody waits for it, since it holds nothing but links, which end with
			// the event loop.
			go m.keepDialing(ctx, peer)
		}
	}
}

// keepDialing dials a peer whenever there is no link to it.
func (m *Mesh) keepDialing(ctx context.Context, peer MeshPeer) {
	timer := time.NewTimer(0)
	defer timer.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-timer.C:
		}
		timer.Reset(redialInterval)
		if !m.isLinked(peer.Member) {
			m.dial(peer)
		}
	}
}

// isLinked tells whether there is a link to a member, or one is being dialed.
func (m *Mesh) isLinked(member string) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	_, linked := m.linkByMember[member]
	return linked
}

// dial opens a link to a peer and sends the hello.
func (m *Mesh) dial(peer MeshPeer) {
	l := &MeshLink{mesh: m, member: peer.Member, lastReceived: time.Now()}
	m.mu.Lock()
	m.linkByMember[peer.Member] = l
	m.openLinks[l] = struct{}{}
	m.mu.Unlock()
	conn, err := m.loop.dial(peer.Addr, l)
	if err != nil {
		// The next attempt follows after the pause; that the link is missing is what the
		// controller sees.
		m.removeLink(l)
		return
	}
	l.mu.Lock()
	l.conn = conn
	l.mu.Unlock()
	l.Send(m.helloFrame())
	l.Flush()
}

// hello is the first frame of a link.
func (m *Mesh) helloFrame() *meshpb.Frame {
	return &meshpb.Frame{Body: &meshpb.Frame_Hello{Hello: &meshpb.Hello{Member: m.cfg.Self}}}
}

// removeLink forgets a link whose connection has closed, or was never opened.
func (m *Mesh) removeLink(l *MeshLink) {
	m.mu.Lock()
	defer m.mu.Unlock()
	delete(m.openLinks, l)
	if m.linkByMember[l.member] == l {
		delete(m.linkByMember, l.member)
	}
}

// address implements service.
func (m *Mesh) address() string { return m.cfg.Addr }

// accept implements service.
func (m *Mesh) accept(c gnet.Conn) connection {
	l := &MeshLink{mesh: m, conn: c, lastReceived: time.Now()}
	m.mu.Lock()
	defer m.mu.Unlock()
	if len(m.openLinks) > maxConnsPerPeer*len(m.cfg.Peers)+spareConns {
		return nil
	}
	m.openLinks[l] = struct{}{}
	return l
}

// tick closes links that have gone silent: a partition between zones shows no error.
func (m *Mesh) tick(now time.Time) {
	m.mu.Lock()
	var stale []*MeshLink
	for l := range m.openLinks {
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

// isPeer tells whether a member is one of the configured peers.
func (m *Mesh) isPeer(member string) bool {
	return slices.ContainsFunc(m.cfg.Peers, func(peer MeshPeer) bool { return peer.Member == member })
}
