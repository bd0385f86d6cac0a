package coordination

import (
	"slices"
	"time"

	"github.com/cobaltvale/cobaltvale/internal/protocol/meshpb"
)

const (
	peerHeartbeatInterval = time.Second

	// maxHeartbeatsPerFrame is how many forwarded heartbeats or responses go into
	// one frame, so that it stays within its size however long they are.
	maxHeartbeatsPerFrame = 12
)

// Link is an ordered stream of frames to another member, until it is down. It
// is closed by whoever opened it, and here only if it is not wanted.
type Link interface {
	Send(*meshpb.Frame)
	// Flush sends what has been buffered.
	Flush()
	Close()
}

// peer is a member as this one sees it. The member itself is one of them,
// reached by a link that loops back.
type peer struct {
	member      string
	index       int    // dense; this member's own is 0
	link        Link   // nil while down
	streamCount uint64 // streams so far

	// Gathered until the next flush.
	machineStatuses     *meshpb.MachineStatuses
	batchedItems        int // in machineStatuses
	forwardedHeartbeats []*meshpb.ForwardedHeartbeat
	heartbeatResponses  []*meshpb.HeartbeatResponse

	stateServiceReachable bool   // as it said last
	lastQuotaSequence     uint64 // of its last quota demands on this stream
}

// send sends a frame after all that has been gathered.
func (p *peer) send(frame *meshpb.Frame) {
	p.flush()
	if p.link != nil {
		p.link.Send(frame)
	}
}

// statusBatch returns the machine statuses that go out together, to add one to.
// Their clock is that of the last.
func (p *peer) statusBatch(now time.Duration) *meshpb.MachineStatuses {
	if p.machineStatuses == nil {
		p.machineStatuses = &meshpb.MachineStatuses{}
	}
	p.machineStatuses.ClockUs = now.Microseconds()
	return p.machineStatuses
}

// flush sends what has been gathered.
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

// discardBatch forgets what has been gathered.
func (p *peer) discardBatch() {
	p.machineStatuses, p.forwardedHeartbeats, p.heartbeatResponses = nil, nil, nil
}

func (p *peer) sendUptime(uptime time.Duration) {
	p.send(&meshpb.Frame{Body: &meshpb.Frame_UptimeResponse{UptimeResponse: &meshpb.UptimeResponse{UptimeUs: uptime.Microseconds()}}})
}

func (p *peer) sendLeaseExtension(extension *meshpb.LeaseExtension) {
	p.send(&meshpb.Frame{Body: &meshpb.Frame_LeaseExtension{LeaseExtension: extension}})
}

// loopbackLink delivers frames to this very process, once the command that sent
// them is done.
type loopbackLink struct{ controller *Controller }

func (l loopbackLink) Send(frame *meshpb.Frame) {
	l.controller.loopbackFrames = append(l.controller.loopbackFrames, frame)
}

func (loopbackLink) Flush() {}

func (loopbackLink) Close() {}

// LinkUp tells that a stream to a member has begun.
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

// LinkDown tells that a stream has ended.
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
	c.userAPI.MemberDown(p.member)
	c.balancer.handlePeerDown(p)
	c.forwarder.handlePeerDown(p)
}

// LinkFrame takes one frame of a stream.
func (c *Controller) LinkFrame(link Link, frame *meshpb.Frame) {
	if p := c.peerByLink[link]; p != nil {
		c.dispatch(p, frame)
	}
}

// sendPeerHeartbeats tells every member that this one lives and, from a leader
// that may act, up to when all that machines have reported has been passed on.
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

// activeMembers counts the members that use the state service: those in reach,
// and those that hold a key although they are not.
func (c *Controller) activeMembers() int {
	n := 1
	for _, p := range c.peers {
		if p.link != nil || c.election.HoldsAnyKey(p.member) {
			n++
		}
	}
	return n
}

// stateServiceShare is this member's part of the state service's rates if as
// many members use it.
func (c *Controller) stateServiceShare(members int) (rps, writeRPS float64) {
	share := c.tuning.WriteShare / float64(members)
	limits := c.cfg.Settings.State.Effective()
	return limits.RPS * share, limits.WriteRPS * share
}
