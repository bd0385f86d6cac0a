package coordination

import (
	"time"

	"github.com/cobaltvale/cobaltvale/internal/protocol/meshpb"
)

// Link is an ordered stream of frames to another member, until it is down.
type Link interface {
	Send(*meshpb.Frame)
	Flush() // what was sent goes out at the latest now
	Close()
}

// peer is a member as this one sees it; self is one of them, reached by a
// link that loops back.
type peer struct {
	member                string
	index                 int                     // dense; this member's own is 0
	streamCount           uint64                  // streams so far
	link                  Link                    // nil while down
	machineStatuses       *meshpb.MachineStatuses // gathered for it, see flush
	batchedTasks          int                     // tasks in them
	forwardedHeartbeats   []*meshpb.ForwardedHeartbeat
	heartbeatResponses    []*meshpb.HeartbeatResponse
	stateServiceReachable bool
	quotaSequence         uint64 // of its last demands on this stream
}

// send sends a frame after all reports that have gathered.
func (p *peer) send(f *meshpb.Frame) {
	p.flush()
	if p.link != nil {
		p.link.Send(f)
	}
}

// statusBatch returns the reports that go out together, to add one to. Their
// clock is that of the last.
func (p *peer) statusBatch(now time.Duration) *meshpb.MachineStatuses {
	if p.machineStatuses == nil {
		p.machineStatuses = &meshpb.MachineStatuses{}
	}
	p.machineStatuses.ClockUs = now.Microseconds()
	return p.machineStatuses
}

// flush sends what has gathered.
func (p *peer) flush() {
	machineStatuses, heartbeats, responses := p.machineStatuses, p.forwardedHeartbeats, p.heartbeatResponses
	p.machineStatuses, p.forwardedHeartbeats, p.heartbeatResponses, p.batchedTasks = nil, nil, nil, 0
	if p.link == nil {
		return
	}
	if machineStatuses != nil {
		p.link.Send(&meshpb.Frame{Body: &meshpb.Frame_MachineStatuses{MachineStatuses: machineStatuses}})
	}
	for ; len(heartbeats) > 0; heartbeats = heartbeats[min(len(heartbeats), heartbeatsPerFrame):] {
		p.link.Send(&meshpb.Frame{Body: &meshpb.Frame_ForwardedHeartbeats{ForwardedHeartbeats: &meshpb.ForwardedHeartbeats{Heartbeats: heartbeats[:min(len(heartbeats), heartbeatsPerFrame)]}}})
	}
	for ; len(responses) > 0; responses = responses[min(len(responses), heartbeatsPerFrame):] {
		p.link.Send(&meshpb.Frame{Body: &meshpb.Frame_HeartbeatResponses{HeartbeatResponses: &meshpb.HeartbeatResponses{Responses: responses[:min(len(responses), heartbeatsPerFrame)]}}})
	}
}

// heartbeatsPerFrame is how many reports or answers go into one frame, so that it
// stays within its size whatever they are.
const heartbeatsPerFrame = 12

type loopbackFrame struct {
	f *meshpb.Frame
}

// loopbackLink delivers frames to this very process, after the command that
// sent them.
type loopbackLink struct{ c *Controller }

func (l loopbackLink) Send(f *meshpb.Frame) { l.c.loopback = append(l.c.loopback, loopbackFrame{f}) }

func (loopbackLink) Flush() {}

func (loopbackLink) Close() {}

// sendPeerHeartbeats tells every member that this one lives and, from a leader that may
// act, up to when all its reports have been passed on.
func (c *Controller) sendPeerHeartbeats(now time.Duration) {
	c.forwarder.balance(now)
	c.store.SetRates(c.stateServiceShare(c.activeMembers()))
	heartbeat := &meshpb.PeerHeartbeat{StateOk: c.election.LeaseValid(now), Load: c.forwarder.load()}
	if c.leader != nil && c.election.MayAct(now) {
		heartbeat.FencingToken, heartbeat.ClockUs, heartbeat.LeaderOk = c.leader.fencingToken, now.Microseconds(), true
	}
	frame := &meshpb.Frame{Body: &meshpb.Frame_PeerHeartbeat{PeerHeartbeat: heartbeat}}
	for _, p := range c.peers {
		p.send(frame)
	}
	c.selfPeer.send(frame)
}

// LinkUp tells that a stream to a member has begun.
func (c *Controller) LinkUp(l Link, member string) {
	p := c.peers[member]
	if p == nil {
		l.Close()
		return
	}
	if p.link != nil {
		c.LinkDown(p.link)
	}
	p.streamCount++
	p.link, p.machineStatuses, p.forwardedHeartbeats, p.heartbeatResponses = l, nil, nil, nil
	p.quotaSequence = 0
	c.election.PeerConnected(member)
	c.peerByLink[l] = p
	c.subscription.registerShards()
}

// LinkDown tells that a stream has ended.
func (c *Controller) LinkDown(l Link) {
	p := c.peerByLink[l]
	if p == nil {
		return
	}
	delete(c.peerByLink, l)
	p.link, p.machineStatuses, p.forwardedHeartbeats, p.heartbeatResponses = nil, nil, nil, nil
	p.stateServiceReachable = false
	c.election.PeerDisconnected(p.member)
	if c.leader != nil {
		c.leader.subscriberDown(p)
	}
	if c.subscription.leader == p {
		c.subscription.reset()
	}
	c.userAPI.peerDown(p)
	c.forwarder.peerDown(p)
}

// LinkFrame takes one frame of a stream.
func (c *Controller) LinkFrame(l Link, f *meshpb.Frame) {
	if p := c.peerByLink[l]; p != nil {
		c.dispatch(p, f)
	}
}

// activeMembers counts the members that use the state service: those in reach, and
// those that hold a key although they are not.
func (c *Controller) activeMembers() int {
	n := 1
	for _, p := range c.peers {
		if p.link != nil || c.election.HoldsAnyKey(p.member) {
			n++
		}
	}
	return n
}
