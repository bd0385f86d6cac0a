package coordination

import (
	"github.com/cobaltvale/cobaltvale/internal/protocol"
	"github.com/cobaltvale/cobaltvale/internal/protocol/meshpb"
)

// handleForwardedHeartbeats decides, as the leader, on heartbeats that a member forwards.
func (c *Controller) handleForwardedHeartbeats(p *peer, f *meshpb.ForwardedHeartbeats) {
	link := p.link
	for _, k := range f.Heartbeats {
		c.handleHeartbeatAsLeader(k.Body, p.connectionID(k.ConnectionId), func(r Response) {
			if p.link == link {
				p.heartbeatResponses = append(p.heartbeatResponses, &meshpb.HeartbeatResponse{Id: k.Id, HttpStatus: uint32(r.Status), Body: r.Body, RetryAfterS: uint32(r.RetryAfterS)})
			}
		})
	}
}

// connectionID tells a member's connections from those of others, and from its own
// of an earlier stream.
func (p *peer) connectionID(conn uint64) uint64 {
	if conn == 0 {
		return 0
	}
	return uint64(p.index)<<56 | (p.streamCount&0xffff)<<40 | conn&(1<<40-1)
}

// handleHeartbeat handles a worker's heartbeat that came in here.
func (c *Controller) handleHeartbeat(req *Request, reply func(Response)) {
	c.balancer.receivedHeartbeats++
	if req.ReceivedAt > 0 && c.now()-req.ReceivedAt > forwardTimeout {
		reply(c.errorResponse(503, "the report has waited for too long", 1)) // its worker has given up
		return
	}
	if c.leader != nil {
		if to := c.balancer.redirectTarget(); to != "" {
			reply(c.redirectResponse(to))
			return
		}
		c.handleHeartbeatAsLeader(req.Body, req.Conn, reply)
		return
	}
	leadership, _ := c.election.Leader()
	to := leadership.Member
	p := c.peers[to]
	switch {
	case p == nil:
		reply(c.errorResponse(503, "no leader is known", 1))
	case p.link == nil:
		reply(c.redirectResponse(to))
	default:
		if other := c.balancer.redirectTarget(); other != "" {
			reply(c.redirectResponse(other))
			return
		}
		c.forwarder.forward(p, req, reply)
	}
}

// redirectResponse sends a worker to another member.
func (c *Controller) redirectResponse(member string) Response {
	return Response{Status: 421, Body: c.codec.Encode(protocol.Redirect{HeartbeatTo: member})}
}

// handleHeartbeatAsLeader handles a heartbeat as the leader, wherever it came in.
func (c *Controller) handleHeartbeatAsLeader(body []byte, conn uint64, reply func(Response)) {
	var w protocol.WireHeartbeat
	if err := c.codec.Decode(body, &w); err != nil {
		reply(c.errorResponse(400, err.Error(), 0))
		return
	}
	r, err := w.Validate()
	if err != nil {
		reply(c.errorResponse(400, err.Error(), 0))
		return
	}
	now := c.now()
	if c.leader == nil || !c.election.MayAct(now) || r.FencingToken > c.leader.fencingToken {
		reply(c.errorResponse(503, "not entitled to act at present", 1))
		return
	}
	c.leader.handleHeartbeat(r, conn, now, reply)
}
