package coordination

import (
	"github.com/cobaltvale/cobaltvale/internal/protocol"
	"github.com/cobaltvale/cobaltvale/internal/protocol/meshpb"
)

// handleForwardedHeartbeats handles, as the leader, the heartbeats that a peer forwards. It
// sends the responses only on the stream on which the heartbeats arrived.
func (c *Controller) handleForwardedHeartbeats(p *peer, f *meshpb.ForwardedHeartbeats) {
	link := p.link
	for _, forwarded := range f.Heartbeats {
		c.handleHeartbeatAsLeader(forwarded.Body, p.connectionID(forwarded.ConnectionId), func(r Response) {
			if p.link == link {
				p.heartbeatResponses = append(p.heartbeatResponses, &meshpb.HeartbeatResponse{Id: forwarded.Id, HttpStatus: uint32(r.Status), Body: r.Body, RetryAfterS: uint32(r.RetryAfterS)})
			}
		})
	}
}

// connectionID returns an id of a machine's connection to a peer that is distinct from those
// of other members' connections and of the same peer's connections on earlier streams.
// 0 means an unknown connection.
func (p *peer) connectionID(conn uint64) uint64 {
	if conn == 0 {
		return 0
	}
	return uint64(p.index)<<56 | (p.streamCount&0xffff)<<40 | conn&(1<<40-1)
}

// handleHeartbeat handles a heartbeat that a machine sent to this controller: as the leader,
// by forwarding it to the leader, or by redirecting the machine to another member.
func (c *Controller) handleHeartbeat(req *Request, reply func(Response)) {
	c.balancer.receivedHeartbeats++
	if req.ReceivedAt > 0 && c.now()-req.ReceivedAt > forwardTimeout {
		// The machine has timed out already.
		reply(c.errorResponse(503, "the report has waited for too long", 1))
		return
	}
	if c.leader != nil {
		if target := c.balancer.redirectTarget(); target != "" {
			reply(c.redirectResponse(target))
			return
		}
		c.handleHeartbeatAsLeader(req.Body, req.Conn, reply)
		return
	}
	leadership, _ := c.election.Leader()
	leaderMember := leadership.Member
	leaderPeer := c.peers[leaderMember]
	switch {
	case leaderPeer == nil:
		reply(c.errorResponse(503, "no leader is known", 1))
	case leaderPeer.link == nil:
		reply(c.redirectResponse(leaderMember))
	default:
		if target := c.balancer.redirectTarget(); target != "" {
			reply(c.redirectResponse(target))
			return
		}
		c.forwarder.forward(leaderPeer, req, reply)
	}
}

// redirectResponse tells a machine to send its heartbeats to another member.
func (c *Controller) redirectResponse(member string) Response {
	return Response{Status: 421, Body: c.codec.Encode(protocol.Redirect{HeartbeatTo: member})}
}

// handleHeartbeatAsLeader handles a heartbeat, direct or forwarded, as the leader. It rejects
// the heartbeat if this controller does not lead or may not act, or if the heartbeat carries
// the fencing token of a later leader.
func (c *Controller) handleHeartbeatAsLeader(body []byte, conn uint64, reply func(Response)) {
	var wire protocol.WireHeartbeat
	if err := c.codec.Decode(body, &wire); err != nil {
		reply(c.errorResponse(400, err.Error(), 0))
		return
	}
	heartbeat, err := wire.Validate()
	if err != nil {
		reply(c.errorResponse(400, err.Error(), 0))
		return
	}
	now := c.now()
	if c.leader == nil || !c.election.MayAct(now) || heartbeat.FencingToken > c.leader.fencingToken {
		reply(c.errorResponse(503, "not entitled to act at present", 1))
		return
	}
	c.leader.handleHeartbeat(heartbeat, conn, now, reply)
}
