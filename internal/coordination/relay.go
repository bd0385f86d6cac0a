package coordination

import (
	"time"

	"github.com/cobaltvale/cobaltvale/internal/protocol"
	"github.com/cobaltvale/cobaltvale/internal/protocol/meshpb"
)

const (
	relayTimeout = 3500 * time.Millisecond // workers give up after 4 s
	maxRelayed   = maxMachines             // each machine has one report in flight
	leaderBurden = 2.0                     // what a report costs the leader, in reports of a relay
	uneven       = 1.5                     // times another's load, from which on workers are sent there
	leastLoad    = 20.0                    // reports a second that nobody minds
	moveShare    = 0.1                     // of the difference, each second
	firstTry     = time.Second             // until another worker is sent to a member that takes no reports
	lastTry      = 30 * time.Second        // it doubles up to this
)

// relay takes reports on the leader's behalf and shares them out among the
// members; see "Who takes reports" in docs/design.md.
type relay struct {
	c       *Core
	waiting map[uint64]relayed
	seq     uint64

	taken    int // reports since the last heartbeat
	rate     float64
	countAt  time.Duration
	moves    float64 // workers that may be sent elsewhere by now
	lighter  *peer   // the member that they are sent to
	peerLoad map[*peer]float64
	tries    map[*peer]*attempts
}

// attempts is when a worker may next be sent to a member that takes no reports:
// workers may be cut off from it while other members are not.
type attempts struct {
	pause, next time.Duration
}

// relayed is a report whose answer is awaited from the leader.
type relayed struct {
	reply func(Response)
	to    *peer
	at    time.Duration
}

func (r *relay) init(c *Core) {
	r.c = c
	r.waiting = make(map[uint64]relayed)
	r.peerLoad = make(map[*peer]float64)
	r.tries = make(map[*peer]*attempts)
	r.countAt = c.now()
}

// pass sends a report on to the member that leads.
func (r *relay) pass(to *peer, req *Request, reply func(Response)) {
	if len(r.waiting) >= maxRelayed {
		reply(r.c.refusal(503, "too many reports", 1))
		return
	}
	r.seq++
	r.waiting[r.seq] = relayed{reply, to, r.c.now()}
	to.checkins = append(to.checkins, &meshpb.ForwardedHeartbeat{Id: r.seq, ConnectionId: req.Conn, Body: req.Body})
}

// onCheckins decides, as the leader, on reports that a member passes on.
func (c *Core) onCheckins(p *peer, f *meshpb.ForwardedHeartbeats) {
	link := p.link
	for _, k := range f.Heartbeats {
		c.decide(k.Body, p.connOf(k.ConnectionId), func(r Response) {
			if p.link == link {
				p.answers = append(p.answers, &meshpb.HeartbeatResponse{Id: k.Id, HttpStatus: uint32(r.Status), Body: r.Body, RetryAfterS: uint32(r.RetryAfterS)})
			}
		})
	}
}

// connOf tells a member's connections from those of others, and from its own
// of an earlier stream.
func (p *peer) connOf(conn uint64) uint64 {
	if conn == 0 {
		return 0
	}
	return uint64(p.index)<<56 | (p.ups&0xffff)<<40 | conn&(1<<40-1)
}

func (r *relay) onAnswers(p *peer, f *meshpb.HeartbeatResponses) {
	for _, a := range f.Responses {
		if w, ok := r.waiting[a.Id]; ok && w.to == p {
			delete(r.waiting, a.Id)
			w.reply(Response{Status: int(a.HttpStatus), Body: a.Body, RetryAfterS: int(a.RetryAfterS), Until: w.at + relayTimeout})
		}
	}
}

func (r *relay) peerDown(p *peer) {
	delete(r.peerLoad, p)
	delete(r.tries, p)
	if r.lighter == p {
		r.lighter = nil
	}
	r.end(func(w relayed) bool { return w.to == p }, "the leader is out of reach")
}

func (r *relay) tick(now time.Duration) {
	r.end(func(w relayed) bool { return now-w.at > relayTimeout }, "the leader does not answer")
}

// end answers the reports that will get no answer from the leader any more.
func (r *relay) end(which func(relayed) bool, why string) {
	for id, w := range r.waiting {
		if which(w) {
			delete(r.waiting, id)
			w.reply(r.c.refusal(503, why, 1))
		}
	}
}

// load is what taking reports costs this member at present.
func (r *relay) load() float64 {
	if r.c.leader != nil {
		return r.rate * leaderBurden
	}
	return r.rate
}

// balance counts the reports taken, with every heartbeat, and finds out whether
// another member has far fewer.
func (r *relay) balance(now time.Duration) {
	span := (now - r.countAt).Seconds()
	if span <= 0 {
		return
	}
	const smooth = 0.3
	r.rate += smooth * (float64(r.taken)/span - r.rate)
	if r.taken == 0 {
		r.rate = 0 // nobody should count on reports that come no more
	}
	r.taken, r.countAt = 0, now
	r.lighter, r.moves = nil, 0
	mine := r.load()
	for p, load := range r.peerLoad {
		if p.link != nil && mine > leastLoad && mine > uneven*load && r.mayTry(p, load, now) &&
			(r.lighter == nil || load < r.peerLoad[r.lighter]) {
			r.lighter = p
		}
	}
	if r.lighter == nil {
		return
	}
	other := r.peerLoad[r.lighter]
	if other > 0 {
		r.moves = max(1, (mine-other)*moveShare)
		return
	}
	t := r.tries[r.lighter]
	t.next = now + t.pause
	t.pause = min(2*t.pause, lastTry)
	r.moves = 1
}

// mayTry tells whether workers may be sent to a member. One that takes no reports
// may have just come back, or workers can't reach it although this member can:
// whoever is sent there loses its lease's better part, so only one at a time
// finds out, ever more seldom.
func (r *relay) mayTry(p *peer, load float64, now time.Duration) bool {
	if load > 0 {
		delete(r.tries, p)
		return true
	}
	t := r.tries[p]
	if t == nil {
		t = &attempts{pause: firstTry}
		r.tries[p] = t
	}
	return now >= t.next
}

// elsewhere names the member that a worker should rather report to, if any.
// A member that can't pass reports on to the leader gets none.
func (r *relay) elsewhere() string {
	if r.moves < 1 || r.lighter == nil || r.lighter.link == nil {
		return ""
	}
	r.moves--
	return r.lighter.member
}

// checkin handles a worker's report that came in here.
func (c *Core) checkin(req *Request, reply func(Response)) {
	r := &c.relay
	r.taken++
	if req.At > 0 && c.now()-req.At > relayTimeout {
		reply(c.refusal(503, "the report has waited for too long", 1)) // its worker has given up
		return
	}
	if c.leader != nil {
		if to := r.elsewhere(); to != "" {
			reply(c.sendTo(to))
			return
		}
		c.decide(req.Body, req.Conn, reply)
		return
	}
	to := c.session.leaderMember()
	p := c.peers[to]
	switch {
	case p == nil:
		reply(c.refusal(503, "no leader is known", 1))
	case p.link == nil:
		reply(c.sendTo(to))
	default:
		if other := r.elsewhere(); other != "" {
			reply(c.sendTo(other))
			return
		}
		r.pass(p, req, reply)
	}
}

func (c *Core) sendTo(member string) Response {
	return Response{Status: 421, Body: c.codec.Encode(protocol.Redirect{HeartbeatTo: member})}
}

// decide handles a report as the leader, wherever it came in.
func (c *Core) decide(body []byte, conn uint64, reply func(Response)) {
	var w protocol.WireHeartbeat
	if err := c.codec.Decode(body, &w); err != nil {
		reply(c.refusal(400, err.Error(), 0))
		return
	}
	r, err := w.Validate()
	if err != nil {
		reply(c.refusal(400, err.Error(), 0))
		return
	}
	now := c.now()
	if c.leader == nil || !c.session.mayAct(now) || r.FencingToken > c.leader.token {
		reply(c.refusal(503, "not entitled to act at present", 1))
		return
	}
	c.leader.onReport(r, conn, now, reply)
}
