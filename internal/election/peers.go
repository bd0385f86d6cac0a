package election

import "time"

// peer is another member with what its answers have shown.
type peer struct {
	Peer

	// On the present stream.
	firstUptimeRequestAt      time.Duration
	uptimeRequests            int
	uptimeResponses           int
	releaseConfirmingResponse int  // the response that shows that it does not hold this member's shard; 0: none
	releaseConfirmed          bool // that response has come
	startedAfterThisProcess   bool // its process surely started after this one

	everExtended         bool // it has ever extended this member's lease
	lastGrantRequestedAt time.Duration
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

// clearReleaseConfirmations notes that whoever gave this member's own shard up may hold it
// again.
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
	p.releaseConfirmingResponse = p.uptimeRequests
}

// PeerConnected tells that a stream to another member has begun.
func (e *Election) PeerConnected(member string) {
	p := e.peers[member]
	p.uptimeRequests, p.uptimeResponses = 0, 0
	p.releaseConfirmingResponse, p.releaseConfirmed = 0, false
	p.startedAfterThisProcess = false
	p.requestUptime(e.now())
}

// PeerDisconnected tells that it has ended.
func (e *Election) PeerDisconnected(member string) {
	p := e.peers[member]
	p.releaseConfirmed = false
	p.startedAfterThisProcess = false
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
		p.startedAfterThisProcess = uptime+extensionClockDrift < p.firstUptimeRequestAt-e.config.StartedAt
	}
	if p.releaseConfirmingResponse > 0 && p.uptimeResponses >= p.releaseConfirmingResponse {
		p.releaseConfirmed = true
	}
}
