package coordination

import (
	"time"

	"github.com/cobaltvale/cobaltvale/internal/protocol"
	"github.com/cobaltvale/cobaltvale/internal/protocol/meshpb"
)

const (
	forwardTimeout       = 3500 * time.Millisecond // workers give up after 4 s
	maxForwarded         = maxMachines             // each machine has one heartbeat in flight
	leaderCostFactor     = 2.0                     // what a heartbeat costs the leader, in heartbeats of a member that forwards
	imbalanceFactor      = 1.5                     // times another's load, from which on workers are sent there
	minimumLoad          = 20.0                    // heartbeats a second that nobody minds
	redirectShare        = 0.1                     // of the difference, each second
	firstRedirectDelay   = time.Second             // until another worker is sent to a member that takes no heartbeats
	longestRedirectDelay = 30 * time.Second        // it doubles up to this
)

// heartbeatForwarder takes heartbeats on the leader's behalf and shares them out among the
// members; see "Who takes heartbeats" in docs/design.md.
type heartbeatForwarder struct {
	controller *Controller
	pending    map[uint64]forwardedHeartbeat
	lastID     uint64

	received         int // since the last heartbeat to the peers
	receiveRate      float64
	countedAt        time.Duration
	redirectBudget   float64 // workers that may be sent elsewhere by now
	lessLoaded       *peer   // the member that they are sent to
	peerLoad         map[*peer]float64
	redirectBackoffs map[*peer]*redirectBackoff
}

// redirectBackoff is when a worker may next be sent to a member that takes no heartbeats:
// workers may be cut off from it while other members are not.
type redirectBackoff struct {
	delay, nextAttempt time.Duration
}

// forwardedHeartbeat is a heartbeat whose answer is awaited from the leader.
type forwardedHeartbeat struct {
	reply  func(Response)
	to     *peer
	sentAt time.Duration
}

func (forwarder *heartbeatForwarder) init(c *Controller) {
	forwarder.controller = c
	forwarder.pending = make(map[uint64]forwardedHeartbeat)
	forwarder.peerLoad = make(map[*peer]float64)
	forwarder.redirectBackoffs = make(map[*peer]*redirectBackoff)
	forwarder.countedAt = c.now()
}

// forward sends a heartbeat on to the member that leads.
func (forwarder *heartbeatForwarder) forward(to *peer, req *Request, reply func(Response)) {
	if len(forwarder.pending) >= maxForwarded {
		reply(forwarder.controller.errorResponse(503, "too many reports", 1))
		return
	}
	forwarder.lastID++
	forwarder.pending[forwarder.lastID] = forwardedHeartbeat{reply, to, forwarder.controller.now()}
	to.forwardedHeartbeats = append(to.forwardedHeartbeats, &meshpb.ForwardedHeartbeat{Id: forwarder.lastID, ConnectionId: req.Conn, Body: req.Body})
}

// onForwardedHeartbeats decides, as the leader, on heartbeats that a member forwards.
func (c *Controller) onForwardedHeartbeats(p *peer, f *meshpb.ForwardedHeartbeats) {
	link := p.link
	for _, k := range f.Heartbeats {
		c.handleAsLeader(k.Body, p.connectionID(k.ConnectionId), func(r Response) {
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

func (forwarder *heartbeatForwarder) onResponses(p *peer, f *meshpb.HeartbeatResponses) {
	for _, a := range f.Responses {
		if forwarded, ok := forwarder.pending[a.Id]; ok && forwarded.to == p {
			delete(forwarder.pending, a.Id)
			forwarded.reply(Response{Status: int(a.HttpStatus), Body: a.Body, RetryAfterS: int(a.RetryAfterS), ValidUntil: forwarded.sentAt + forwardTimeout})
		}
	}
}

func (forwarder *heartbeatForwarder) peerDown(p *peer) {
	delete(forwarder.peerLoad, p)
	delete(forwarder.redirectBackoffs, p)
	if forwarder.lessLoaded == p {
		forwarder.lessLoaded = nil
	}
	forwarder.failPending(func(forwarded forwardedHeartbeat) bool { return forwarded.to == p }, "the leader is out of reach")
}

func (forwarder *heartbeatForwarder) tick(now time.Duration) {
	forwarder.failPending(func(forwarded forwardedHeartbeat) bool { return now-forwarded.sentAt > forwardTimeout }, "the leader does not answer")
}

// failPending answers the heartbeats that will get no answer from the leader any more.
func (forwarder *heartbeatForwarder) failPending(which func(forwardedHeartbeat) bool, why string) {
	for id, forwarded := range forwarder.pending {
		if which(forwarded) {
			delete(forwarder.pending, id)
			forwarded.reply(forwarder.controller.errorResponse(503, why, 1))
		}
	}
}

// load is what taking heartbeats costs this member at present.
func (forwarder *heartbeatForwarder) load() float64 {
	if forwarder.controller.leader != nil {
		return forwarder.receiveRate * leaderCostFactor
	}
	return forwarder.receiveRate
}

// balance counts the heartbeats taken, with each sent to the peers, and finds out whether
// another member has far fewer.
func (forwarder *heartbeatForwarder) balance(now time.Duration) {
	span := (now - forwarder.countedAt).Seconds()
	if span <= 0 {
		return
	}
	const smooth = 0.3
	forwarder.receiveRate += smooth * (float64(forwarder.received)/span - forwarder.receiveRate)
	if forwarder.received == 0 {
		forwarder.receiveRate = 0 // nobody should count on heartbeats that come no more
	}
	forwarder.received, forwarder.countedAt = 0, now
	forwarder.lessLoaded, forwarder.redirectBudget = nil, 0
	mine := forwarder.load()
	for p, load := range forwarder.peerLoad {
		if p.link != nil && mine > minimumLoad && mine > imbalanceFactor*load && forwarder.mayRedirect(p, load, now) &&
			(forwarder.lessLoaded == nil || load < forwarder.peerLoad[forwarder.lessLoaded]) {
			forwarder.lessLoaded = p
		}
	}
	if forwarder.lessLoaded == nil {
		return
	}
	other := forwarder.peerLoad[forwarder.lessLoaded]
	if other > 0 {
		forwarder.redirectBudget = max(1, (mine-other)*redirectShare)
		return
	}
	t := forwarder.redirectBackoffs[forwarder.lessLoaded]
	t.nextAttempt = now + t.delay
	t.delay = min(2*t.delay, longestRedirectDelay)
	forwarder.redirectBudget = 1
}

// mayRedirect tells whether workers may be sent to a member. One that takes no heartbeats
// may have just come back, or workers can't reach it although this member can:
// whoever is sent there loses its lease's better part, so only one at a time
// finds out, ever more seldom.
func (forwarder *heartbeatForwarder) mayRedirect(p *peer, load float64, now time.Duration) bool {
	if load > 0 {
		delete(forwarder.redirectBackoffs, p)
		return true
	}
	t := forwarder.redirectBackoffs[p]
	if t == nil {
		t = &redirectBackoff{delay: firstRedirectDelay}
		forwarder.redirectBackoffs[p] = t
	}
	return now >= t.nextAttempt
}

// redirectTarget names the member that a worker should rather send heartbeats to, if any.
// A member that can't forward heartbeats to the leader gets none.
func (forwarder *heartbeatForwarder) redirectTarget() string {
	if forwarder.redirectBudget < 1 || forwarder.lessLoaded == nil || forwarder.lessLoaded.link == nil {
		return ""
	}
	forwarder.redirectBudget--
	return forwarder.lessLoaded.member
}

// handleHeartbeat handles a worker's heartbeat that came in here.
func (c *Controller) handleHeartbeat(req *Request, reply func(Response)) {
	forwarder := &c.forwarder
	forwarder.received++
	if req.ReceivedAt > 0 && c.now()-req.ReceivedAt > forwardTimeout {
		reply(c.errorResponse(503, "the report has waited for too long", 1)) // its worker has given up
		return
	}
	if c.leader != nil {
		if to := forwarder.redirectTarget(); to != "" {
			reply(c.redirectResponse(to))
			return
		}
		c.handleAsLeader(req.Body, req.Conn, reply)
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
		if other := forwarder.redirectTarget(); other != "" {
			reply(c.redirectResponse(other))
			return
		}
		forwarder.forward(p, req, reply)
	}
}

func (c *Controller) redirectResponse(member string) Response {
	return Response{Status: 421, Body: c.codec.Encode(protocol.Redirect{HeartbeatTo: member})}
}

// handleAsLeader handles a heartbeat as the leader, wherever it came in.
func (c *Controller) handleAsLeader(body []byte, conn uint64, reply func(Response)) {
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
	c.leader.onHeartbeat(r, conn, now, reply)
}
