package coordination

import (
	"slices"
	"time"

	"github.com/cobaltvale/cobaltvale/internal/protocol/meshpb"
)

const (
	peerHeartbeatInterval = time.Second

	// maxHeartbeatsPerFrame limits the forwarded heartbeats or responses in one frame,
	// so that the frame stays within its maximum size however long they are.
	maxHeartbeatsPerFrame = 12
)

// Link is an ordered stream of frames to another member, until it is down. The
// transport that opened it closes it; this package closes only links to unknown
// members.
type Link interface {
	Send(*meshpb.Frame)
	// Flush sends the buffered frames.
	Flush()
	Close()
}

// peer is another member, as this one sees it. This member is also a peer of itself,
// over a loopback link.
type peer struct {
	member      string
	index       int    // from 1 on without gaps; this member's own is 0
	link        Link   // nil while down
	streamCount uint64 // streams opened so far

	// Queued until the next flush.
	machineStatuses     *meshpb.MachineStatuses
	batchedItems        int // tasks and images in machineStatuses
	forwardedHeartbeats []*meshpb.ForwardedHeartbeat
	heartbeatResponses  []*meshpb.HeartbeatResponse

	stateServiceReachable bool   // as reported in its last heartbeat
	lastQuotaSequence     uint64 // sequence number of its last quota demands on this stream
}

// send sends a frame after everything that is queued for the peer.
func (p *peer) send(frame *meshpb.Frame) {
	p.flush()
	if p.link != nil {
		p.link.Send(frame)
	}
}

// statusBatch returns the queued frame of machine statuses, for the caller to add one.
// It sets the frame's clock to now, so a frame carries the time of its last status.
func (p *peer) statusBatch(now time.Duration) *meshpb.MachineStatuses {
	if p.machineStatuses == nil {
		p.machineStatuses = &meshpb.MachineStatuses{}
	}
	p.machineStatuses.ClockUs = now.Microseconds()
	return p.machineStatuses
}

// flush sends what is queued.
func (p *peer) flush() {
	statuses, heartbeats, responses := p.machineStatuses, p.forwardedHeartbeats, p.heartbeatResponses
	p.discardBatch()
	p.batchedItems = 0
	if p.link == nil {
		return
	}
	if statuses != nil {
		p.link.Send(&meshpb.Frame{Body: &meshpb.Frame_MachineStatuses{MachineStatuses: statuses}})
	}
	for chunk := range slices.Chunk(heartbeats, maxHeartbeatsPerFrame) {
		p.link.Send(&meshpb.Frame{Body: &meshpb.Frame_ForwardedHeartbeats{ForwardedHeartbeats: &meshpb.ForwardedHeartbeats{Heartbeats: chunk}}})
	}
	for chunk := range slices.Chunk(responses, maxHeartbeatsPerFrame) {
		p.link.Send(&meshpb.Frame{Body: &meshpb.Frame_HeartbeatResponses{HeartbeatResponses: &meshpb.HeartbeatResponses{Responses: chunk}}})
	}
}

// discardBatch discards what is queued.
func (p *peer) discardBatch() {
	p.machineStatuses, p.forwardedHeartbeats, p.heartbeatResponses = nil, nil, nil
}

func (p *peer) sendUptime(uptime time.Duration) {
	p.send(&meshpb.Frame{Body: &meshpb.Frame_UptimeResponse{UptimeResponse: &meshpb.UptimeResponse{UptimeUs: uptime.Microseconds()}}})
}

func (p *peer) sendLeaseExtension(extension *meshpb.LeaseExtension) {
	p.send(&meshpb.Frame{Body: &meshpb.Frame_LeaseExtension{LeaseExtension: extension}})
}

// loopbackLink delivers frames to this process itself, once the command that sent them
// has returned.
type loopbackLink struct{ controller *Controller }

func (l loopbackLink) Send(frame *meshpb.Frame) {
	l.controller.loopbackFrames = append(l.controller.loopbackFrames, frame)
}

func (loopbackLink) Flush() {}

func (loopbackLink) Close() {}

// LinkUp handles the start of a stream to a member.
func (c *Controller) LinkUp(link Link, member string) {
	p := c.peers[member]
	if p == nil {
		link.Close()
		return
	}
	if p.link != nil {
		c.LinkDown(p.link)
	}
	p.streamCount++
	p.link = link
	p.discardBatch()
	p.lastQuotaSequence = 0
	c.election.PeerConnected(member)
	c.peerByLink[link] = p
	c.subscription.registerShards()
}

// LinkDown handles the end of a stream.
func (c *Controller) LinkDown(link Link) {
	p := c.peerByLink[link]
	if p == nil {
		return
	}
	delete(c.peerByLink, link)
	p.link = nil
	p.discardBatch()
	p.stateServiceReachable = false
	c.election.PeerDisconnected(p.member)
	if c.leader != nil {
		c.leader.handleSubscriberDown(p)
	}
	if c.subscription.leader == p {
		c.subscription.reset()
	}
	c.userAPI.HandleMemberDisconnected(p.member)
	c.balancer.handlePeerDown(p)
	c.forwarder.handlePeerDown(p)
}

// LinkFrame handles a frame that arrived on a stream.
func (c *Controller) LinkFrame(link Link, frame *meshpb.Frame) {
	if p := c.peerByLink[link]; p != nil {
		c.dispatch(p, frame)
	}
}

// sendPeerHeartbeats sends a heartbeat to every member, including this one. The heartbeat
// of a leader that may act also carries the time, on the leader's clock, up to which the
// leader has passed on everything that machines have reported.
func (c *Controller) sendPeerHeartbeats(now time.Duration) {
	c.balancer.rebalance(now, c.leader != nil)
	c.store.SetRates(c.stateServiceShare(c.activeMembers()))
	heartbeat := &meshpb.PeerHeartbeat{StateOk: c.election.LeaseValid(now), Load: c.balancer.load(c.leader != nil)}
	if c.leader != nil && c.election.MayAct(now) {
		heartbeat.FencingToken = c.leader.fencingToken
		heartbeat.ClockUs = now.Microseconds()
		heartbeat.LeaderOk = true
	}
	frame := &meshpb.Frame{Body: &meshpb.Frame_PeerHeartbeat{PeerHeartbeat: heartbeat}}
	for _, p := range c.peers {
		p.send(frame)
	}
	c.selfPeer.send(frame)
}

func (c *Controller) handlePeerHeartbeat(from *peer, heartbeat *meshpb.PeerHeartbeat) {
	from.stateServiceReachable = heartbeat.StateOk
	if from != c.selfPeer {
		c.balancer.observeLoad(from, heartbeat.Load)
	}
	if heartbeat.LeaderOk {
		c.election.ObserveLeader(from.member, heartbeat.FencingToken)
		c.subscription.handlePeerHeartbeat(from, heartbeat)
	}
}

// activeMembers returns how many members use the state service: this one, those that
// are connected, and those that hold a key although they are not connected.
func (c *Controller) activeMembers() int {
	count := 1
	for _, p := range c.peers {
		if p.link != nil || c.election.HoldsAnyKey(p.member) {
			count++
		}
	}
	return count
}

// stateServiceShare returns this member's share of the state service's rates if the
// given number of members use it.
func (c *Controller) stateServiceShare(members int) (rps, writeRPS float64) {
	share := c.tuning.StateRateShare / float64(members)
	limits := c.cfg.Settings.State.Effective()
	return limits.RPS * share, limits.WriteRPS * share
}
