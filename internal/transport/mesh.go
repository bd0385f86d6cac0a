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
	// redialInterval is the minimum time between two attempts to connect to a peer.
	redialInterval = 400 * time.Millisecond
	// maxConnsPerPeer and spareConns limit the open connections: maxConnsPerPeer for each
	// peer, since a new link may open before the one it replaces has closed, plus
	// spareConns in total, for connections whose hello has not arrived yet.
	maxConnsPerPeer = 4
	spareConns      = 16
)

// MeshEvents receives the events of the mesh. Its methods are called by the event loop and
// must not block for long. For each link MeshUp is the first call and MeshDown the last.
type MeshEvents interface {
	MeshUp(l *MeshLink, member string)
	MeshFrames(l *MeshLink, frames []*meshpb.Frame)
	MeshDown(l *MeshLink)
}

// MeshPeer is the member name and address of a peer.
type MeshPeer struct {
	Member string
	Addr   string // host:port
}

// MeshConfig holds the settings of one controller's mesh.
type MeshConfig struct {
	Self  string // this controller's member name
	Addr  string // host:port on which peers connect
	Peers []MeshPeer
	// IdleTimeout is the time without a byte from the peer after which a link is closed.
	IdleTimeout time.Duration
	// MaxBacklogBytes limits the unwritten bytes of a link; a link that exceeds it is
	// closed.
	MaxBacklogBytes int
}

// Mesh maintains one link to each peer. Of two members, the one whose name sorts first
// dials. The event loop to whose Run method the mesh is passed drives its links.
type Mesh struct {
	cfg    MeshConfig
	loop   *Loop
	events MeshEvents

	mu           sync.Mutex             // guards the fields below
	linkByMember map[string]*MeshLink   // the latest link to each peer, by member name
	openLinks    map[*MeshLink]struct{} // links whose connections have not closed
}

// NewMesh returns a mesh, which listens once it is passed to Loop.Run and dials after Start.
func NewMesh(cfg MeshConfig, l *Loop, events MeshEvents) *Mesh {
	return &Mesh{cfg: cfg, loop: l, events: events, linkByMember: make(map[string]*MeshLink), openLinks: make(map[*MeshLink]struct{})}
}

// Start begins to dial the peers whose names sort after this member's, and redials them
// after their link has closed, until ctx is done. The event loop accepts connections from
// the other peers. Start returns immediately.
func (m *Mesh) Start(ctx context.Context) {
	for _, peer := range m.cfg.Peers {
		if m.cfg.Self < peer.Member {
			// One goroutine per peer. It ends when ctx is done, after an attempt in
			// progress. It is not waited for, because it holds only links, which end with
			// the event loop.
			go m.keepDialing(ctx, peer)
		}
	}
}

// keepDialing dials a peer whenever there is no link to it, until ctx is done.
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

// isLinked reports whether a link to a member is open or being dialed.
func (m *Mesh) isLinked(member string) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	_, linked := m.linkByMember[member]
	return linked
}

// dial opens a link to a peer and sends the hello frame.
func (m *Mesh) dial(peer MeshPeer) {
	l := &MeshLink{mesh: m, member: peer.Member, lastReceived: time.Now()}
	m.mu.Lock()
	m.linkByMember[peer.Member] = l
	m.openLinks[l] = struct{}{}
	m.mu.Unlock()
	conn, err := m.loop.dial(peer.Addr, l)
	if err != nil {
		// keepDialing retries after redialInterval. The error is not reported; the controller
		// sees only that the link is missing.
		m.removeLink(l)
		return
	}
	l.mu.Lock()
	l.conn = conn
	l.mu.Unlock()
	l.Send(m.helloFrame())
	l.Flush()
}

// helloFrame returns the first frame that is sent on a link, with this member's name.
func (m *Mesh) helloFrame() *meshpb.Frame {
	return &meshpb.Frame{Body: &meshpb.Frame_Hello{Hello: &meshpb.Hello{Member: m.cfg.Self}}}
}

// removeLink removes a link whose connection has closed or could not be opened.
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

// tick closes links on which nothing was received for IdleTimeout, because a network
// partition between zones causes no error on a connection.
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

// isPeer reports whether a member is one of the configured peers.
func (m *Mesh) isPeer(member string) bool {
	return slices.ContainsFunc(m.cfg.Peers, func(peer MeshPeer) bool { return peer.Member == member })
}
