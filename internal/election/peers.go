package election

import "time"

// peer is another member with what its answers have shown.
type peer struct {
	Peer

	// On the present stream.
	firstUptimeRequestAt time.Duration
	uptimeRequests       int
	uptimeResponses      int
	releaseConfirmedBy   int  // the response that shows that it does not hold this member's shard; 0: none
	releasedOwnShard     bool // that response has come
	startedLater         bool // its process surely started after this one

	extended             bool // it has ever extended this member's lease
	extensionRequestedAt time.Duration
}

// peerTable holds the other members by name.
type peerTable map[string]*peer

func newPeerTable(members []Peer) peerTable {
	t := make(peerTable, len(members))
	for _, member := range members {
		t[member.Member()] = &peer{Peer: member}
	}
	return t
}

// forgetReleases notes that whoever gave this member's own shard up may hold it
// again.
func (t peerTable) forgetReleases() {
	for _, p := range t {
		p.releaseConfirmedBy = 0
		p.releasedOwnShard = false
	}
}

func (t peerTable) allStartedLater() bool {
	for _, p := range t {
		if !p.startedLater {
			return false
		}
	}
	return true
}

func (t peerTable) allReleasedOwnShard() bool {
	for _, p := range t {
		if !p.releasedOwnShard {
			return false
		}
	}
	return true
}

// requestUptime asks how long the peer's process has been up. Its age is judged
// by the first request of a stream; later ones only tell that frames before
// them have been dealt with.
func (p *peer) requestUptime(now time.Duration) {
	p.uptimeRequests++
	if p.uptimeRequests == 1 {
		p.firstUptimeRequestAt = now
	}
	p.RequestUptime()
}

// requestRelease asks the peer to give up this member's own shard, and notes
// which response will show that it has.
func (p *peer) requestRelease(shard string, now time.Duration) {
	p.RequestHandover(shard)
	p.requestUptime(now)
	p.releaseConfirmedBy = p.uptimeRequests
}

// PeerConnected tells that a stream to another member has begun.
func (e *Election) PeerConnected(member string) {
	p := e.peers[member]
	p.uptimeRequests, p.uptimeResponses = 0, 0
	p.releaseConfirmedBy, p.releasedOwnShard = 0, false
	p.startedLater = false
	p.requestUptime(e.now())
}

// PeerDisconnected tells that it has ended.
func (e *Election) PeerDisconnected(member string) {
	p := e.peers[member]
	p.releasedOwnShard = false
	p.startedLater = false
}

// HandleUptime takes in how long a peer's process had been up. That was measured
// after the request went out, however late either was on its way.
func (e *Election) HandleUptime(from string, uptime time.Duration) {
	p := e.peers[from]
	if p == nil {
		return
	}
	p.uptimeResponses++
	if p.uptimeResponses == 1 {
		p.startedLater = uptime+extensionClockDrift < p.firstUptimeRequestAt-e.config.StartedAt
	}
	if p.releaseConfirmedBy > 0 && p.uptimeResponses >= p.releaseConfirmedBy {
		p.releasedOwnShard = true
	}
}
