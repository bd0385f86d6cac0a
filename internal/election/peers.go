package election

import "time"

// peer is another member and what its messages have shown about it.
type peer struct {
	Peer

	// On the current stream to the peer:
	firstUptimeRequestAt time.Duration
	uptimeRequests       int // sent
	uptimeResponses      int // received
	// releaseConfirmingResponse is the number of the uptime response which shows
	// that the peer does not hold this member's own shard; 0: none is expected.
	releaseConfirmingResponse int
	releaseConfirmed          bool // that response has arrived
	startedAfterThisProcess   bool // the peer's process is proven to have started after this one

	// On any stream:
	everExtended         bool          // the peer has extended this process's lease at least once
	lastGrantRequestedAt time.Duration // when the newest request that it granted was sent
}

// peerTable holds all other members by name.
type peerTable map[string]*peer

func newPeerTable(members []Peer) peerTable {
	t := make(peerTable, len(members))
	for _, member := range members {
		t[member.Member()] = &peer{Peer: member}
	}
	return t
}

// clearReleaseConfirmations discards the confirmations that the peers released this
// member's own shard, as one of them may hold it again.
func (t peerTable) clearReleaseConfirmations() {
	for _, p := range t {
		p.releaseConfirmingResponse = 0
		p.releaseConfirmed = false
	}
}

func (t peerTable) allStartedAfterThisProcess() bool {
	for _, p := range t {
		if !p.startedAfterThisProcess {
			return false
		}
	}
	return true
}

func (t peerTable) allReleasesConfirmed() bool {
	for _, p := range t {
		if !p.releaseConfirmed {
			return false
		}
	}
	return true
}

// requestUptime asks how long the peer's process has been running. Only the first
// request on a stream serves to compare the start times of the two processes; the
// responses to later ones only confirm that the peer has handled the frames sent
// before them.
func (p *peer) requestUptime(now time.Duration) {
	p.uptimeRequests++
	if p.uptimeRequests == 1 {
		p.firstUptimeRequestAt = now
	}
	p.RequestUptime()
}

// requestRelease asks the peer to release this member's own shard, and records which
// uptime response will confirm that it has.
func (p *peer) requestRelease(shard string, now time.Duration) {
	p.RequestHandover(shard)
	p.requestUptime(now)
	p.releaseConfirmingResponse = p.uptimeRequests
}

// PeerConnected records that a stream to another member was opened. The caller must
// call it before it passes on any message of that stream. The member must be one
// of Environment.Peers.
func (e *Election) PeerConnected(member string) {
	p := e.peers[member]
	p.uptimeRequests, p.uptimeResponses = 0, 0
	p.releaseConfirmingResponse, p.releaseConfirmed = 0, false
	p.startedAfterThisProcess = false
	p.requestUptime(e.now())
}

// PeerDisconnected records that the stream to another member, which must be one of
// Environment.Peers, has ended.
func (e *Election) PeerDisconnected(member string) {
	p := e.peers[member]
	p.releaseConfirmed = false
	p.startedAfterThisProcess = false
}

// HandleUptime handles the response of the member from to a RequestUptime: how long
// its process had been running. The peer measured that after the request was sent,
// so a delay of either message cannot make its process appear to have started later
// than it did.
func (e *Election) HandleUptime(from string, uptime time.Duration) {
	p := e.peers[from]
	if p == nil {
		return
	}
	p.uptimeResponses++
	if p.uptimeResponses == 1 {
		p.startedAfterThisProcess = uptime+extensionClockDrift < p.firstUptimeRequestAt-e.config.StartedAt
	}
	if p.releaseConfirmingResponse > 0 && p.uptimeResponses >= p.releaseConfirmingResponse {
		p.releaseConfirmed = true
	}
}
