// Package coordination is the core of a controller: leadership, ownership of
// jobs, placement, renting and recovery. All of its state belongs to one
// goroutine; the world reaches it as commands on a queue and it reaches the
// world through the interfaces of Env. It knows nothing of sockets.
package coordination

import (
	"math/rand/v2"
	"strconv"
	"time"

	"github.com/rs/zerolog"

	"github.com/cobaltvale/cobaltvale/internal/audit"
	"github.com/cobaltvale/cobaltvale/internal/protocol"
	"github.com/cobaltvale/cobaltvale/internal/protocol/meshpb"
	"github.com/cobaltvale/cobaltvale/internal/settings"
	"github.com/cobaltvale/cobaltvale/internal/storage"
)

// Link is an ordered stream of frames to another member, until it is down.
type Link interface {
	Send(*meshpb.Frame)
	Flush() // what was sent goes out at the latest now
	Close()
}

// Env is the outside world.
type Env struct {
	Clock storage.Clock
	Wall  func() time.Time
	Rand  *rand.Rand
	State storage.Caller
	Cloud storage.Caller
	Log   zerolog.Logger
	Audit func(audit.Record) // takes records of admissions without waiting; nil: none are kept
}

// Request is one HTTP request to this node.
type Request struct {
	Method, Path string
	Body         []byte
	Conn         uint64        // the connection that it came on; 0: not known
	At           time.Duration // when it came; 0: just now
}

// IsReport tells whether a request is a worker's report.
func (r *Request) IsReport() bool { return r.Path == reportPath }

const reportPath = "/checkin"

// Response is its answer. It may be sent up to Until, or at any time if that is
// 0: what entitles this node to it ends then.
type Response struct {
	Status      int
	Body        []byte
	RetryAfterS int
	Until       time.Duration
}

// Margins of time.
const (
	actMargin         = 400 * time.Millisecond // a holder stops this long before its lease may end
	driftFactor       = 1.0015                 // two clocks, each up to 0.05% off, with room to spare
	answerTime        = 4 * time.Second        // workers drop answers that are older
	heartbeatInterval = time.Second
)

// burstShare is what one controller uses of the state service's bursts.
const burstShare = 0.5

// Core is the state of one controller.
type Core struct {
	env   Env
	cfg   *settings.File
	tune  settings.Tuning
	codec *protocol.Codec
	store *storage.Store
	log   zerolog.Logger

	started time.Duration
	me      storage.Holder

	deferred []func()
	inbox    []localFrame

	session session
	peers   map[string]*peer
	self    *peer
	byLink  map[Link]*peer

	owner        owner
	admission    admission
	users        users
	leader       *leader // nil unless this process holds the leader key
	subscription subscription
	relay        relay
	fleet        fleet // what the cloud says; every node keeps the catalogue

	answerEvents  tally // by answerEvent
	lastHeartbeat time.Duration
	lastFlush     time.Duration
}

// peer is a member as this one sees it; self is one of them, reached by a
// link that loops back.
type peer struct {
	member      string
	index       int                     // dense; this member's own is 0
	ups         uint64                  // streams so far
	link        Link                    // nil while down
	reports     *meshpb.MachineStatuses // gathered for it, see flush
	listed      int                     // tasks in them
	checkins    []*meshpb.ForwardedHeartbeat
	answers     []*meshpb.HeartbeatResponse
	askedUptime time.Duration // first, on this stream
	asked       int           // for its uptime, on this stream
	answered    int           // of these
	yieldsWith  int           // the question whose answer tells that it does not hold this member's ledger; 0: none
	yielded     bool          // it has answered that
	younger     bool          // its process surely started after this one did
	stateOK     bool
	quotaSeq    uint64 // of its last demands on this stream
}

// askUptime asks how long the peer's process has been up. Its age is judged by
// the first question of a stream; later ones only tell that frames before them
// have been dealt with.
func (p *peer) askUptime(now time.Duration) {
	if p.asked++; p.asked == 1 {
		p.askedUptime = now
	}
	p.send(&meshpb.Frame{Body: &meshpb.Frame_UptimeRequest{UptimeRequest: &meshpb.UptimeRequest{}}})
}

// send sends a frame after all reports that have gathered.
func (p *peer) send(f *meshpb.Frame) {
	p.flush()
	if p.link != nil {
		p.link.Send(f)
	}
}

// gathered returns the reports that go out together, to add one to. Their
// clock is that of the last.
func (p *peer) gathered(now time.Duration) *meshpb.MachineStatuses {
	if p.reports == nil {
		p.reports = &meshpb.MachineStatuses{}
	}
	p.reports.ClockUs = now.Microseconds()
	return p.reports
}

// flush sends what has gathered.
func (p *peer) flush() {
	r, k, a := p.reports, p.checkins, p.answers
	p.reports, p.checkins, p.answers, p.listed = nil, nil, nil, 0
	if p.link == nil {
		return
	}
	if r != nil {
		p.link.Send(&meshpb.Frame{Body: &meshpb.Frame_MachineStatuses{MachineStatuses: r}})
	}
	for ; len(k) > 0; k = k[min(len(k), checkinChunk):] {
		p.link.Send(&meshpb.Frame{Body: &meshpb.Frame_ForwardedHeartbeats{ForwardedHeartbeats: &meshpb.ForwardedHeartbeats{Heartbeats: k[:min(len(k), checkinChunk)]}}})
	}
	for ; len(a) > 0; a = a[min(len(a), checkinChunk):] {
		p.link.Send(&meshpb.Frame{Body: &meshpb.Frame_HeartbeatResponses{HeartbeatResponses: &meshpb.HeartbeatResponses{Responses: a[:min(len(a), checkinChunk)]}}})
	}
}

// checkinChunk is how many reports or answers go into one frame, so that it
// stays within its size whatever they are.
const checkinChunk = 12

type localFrame struct {
	f *meshpb.Frame
}

// localLink delivers frames to this very process, after the command that
// sent them.
type localLink struct{ c *Core }

func (l localLink) Send(f *meshpb.Frame) { l.c.inbox = append(l.c.inbox, localFrame{f}) }

func (localLink) Flush() {}

func (localLink) Close() {}

// New builds a core. incarnation tells this process from earlier ones of the
// same member.
func New(cfg *settings.File, tune settings.Tuning, env Env, incarnation uint64) (*Core, error) {
	codec, err := protocol.NewCodec()
	if err != nil {
		return nil, err
	}
	c := &Core{
		env: env, cfg: cfg, tune: tune, codec: codec, log: env.Log, started: env.Clock.Now(),
		me:     storage.Holder{Member: cfg.Member, Nonce: strconv.FormatUint(incarnation, 36), RecordFormat: storage.CurrentRecordFormat},
		peers:  make(map[string]*peer),
		byLink: make(map[Link]*peer),
	}
	rps, writeRPS := c.stateShare(1 + len(cfg.Peers))
	kept := cfg.Settings.State.Effective()
	c.store = storage.NewStore(env.State, env.Clock, codec, storage.Limits{
		RPS: rps, WriteRPS: writeRPS,
		BurstRPS: kept.RPS * burstShare, BurstWrites: kept.WriteRPS * burstShare,
		TxnOps: kept.TxnOps, ValueBytes: int(kept.ValueKB * 1024), Timeout: tune.RequestTimeout,
	}, c.later)
	for i, p := range cfg.Peers {
		c.peers[p.Member] = &peer{member: p.Member, index: i + 1}
	}
	c.self = &peer{member: cfg.Member, link: localLink{c}, stateOK: true}
	c.answerEvents = newAnswerTally()
	c.owner.init(c)
	if err := c.admission.init(c); err != nil {
		return nil, err
	}
	c.users.init(c)
	c.relay.init(c)
	c.subscription.c = c
	c.subscription.reset()
	c.fleet.init(c)
	c.session.init(c)
	return c, nil
}

// stateShare is this member's part of the state service's rates if as many use it.
func (c *Core) stateShare(members int) (rps, writeRPS float64) {
	part := c.tune.WriteShare / float64(members)
	return c.cfg.Settings.State.Effective().RPS * part, c.cfg.Settings.State.Effective().WriteRPS * part
}

// active counts the members that use the state service: those in reach, and
// those that hold a key although they are not.
func (c *Core) active() int {
	n := 1
	for _, p := range c.peers {
		if p.link != nil || c.session.holdsAny(p.member) {
			n++
		}
	}
	return n
}

func (c *Core) now() time.Duration { return c.env.Clock.Now() }

func (c *Core) later(fn func()) { c.deferred = append(c.deferred, fn) }

// EndBatch runs what the commands of a batch left to do, and sends what they
// gathered for other members.
func (c *Core) EndBatch() {
	for len(c.deferred) > 0 || len(c.inbox) > 0 || len(c.owner.changed) > 0 || len(c.subscription.orders) > 0 || c.self.reports != nil {
		for len(c.deferred) > 0 || len(c.inbox) > 0 {
			if len(c.inbox) > 0 {
				f := c.inbox[0]
				c.inbox = c.inbox[1:]
				c.onFrame(c.self, f.f)
				continue
			}
			fn := c.deferred[0]
			c.deferred = c.deferred[1:]
			fn()
		}
		c.owner.publish()
		c.subscription.flushOrders()
		c.self.flush()
	}
	c.inbox, c.deferred = nil, nil
	for _, p := range c.peers {
		p.flush()
		if p.link != nil {
			p.link.Flush()
		}
	}
}

// Tick does what time asks for. It is called about ten times a second.
func (c *Core) Tick() {
	now := c.now()
	c.store.Poll()
	c.session.tick(now)
	if now-c.lastHeartbeat >= heartbeatInterval {
		c.lastHeartbeat = now
		c.subscription.join() // whatever event was missed, the ledgers join
		c.sendHeartbeat(now)
	}
	if now-c.lastFlush >= storage.FlushInterval {
		c.lastFlush = now
		c.owner.flush()
	}
	c.owner.tick(now)
	c.admission.tick(now)
	c.users.tick(now)
	c.relay.tick(now)
	c.fleet.tick(now)
	c.answerEvents.log(now, &c.log)
	if c.leader != nil {
		c.leader.tick(now)
	}
}

// sendHeartbeat tells every member that this one lives and, from a leader that may
// act, up to when all its reports have been passed on.
func (c *Core) sendHeartbeat(now time.Duration) {
	c.relay.balance(now)
	c.store.SetRates(c.stateShare(c.active()))
	b := &meshpb.PeerHeartbeat{StateOk: c.session.leaseHolds(now), Load: c.relay.load()}
	if c.leader != nil && c.session.mayAct(now) {
		b.FencingToken, b.ClockUs, b.LeaderOk = c.leader.token, now.Microseconds(), true
	}
	f := &meshpb.Frame{Body: &meshpb.Frame_PeerHeartbeat{PeerHeartbeat: b}}
	for _, p := range c.peers {
		p.send(f)
	}
	c.self.send(f)
}

// LinkUp tells that a stream to a member has begun.
func (c *Core) LinkUp(l Link, member string) {
	p := c.peers[member]
	if p == nil {
		l.Close()
		return
	}
	if p.link != nil {
		c.LinkDown(p.link)
	}
	p.ups++
	p.link, p.reports, p.checkins, p.answers = l, nil, nil, nil
	p.asked, p.answered, p.yieldsWith, p.yielded, p.younger = 0, 0, 0, false, false
	p.quotaSeq = 0
	p.askUptime(c.now())
	c.byLink[l] = p
	c.subscription.join()
}

// LinkDown tells that a stream has ended.
func (c *Core) LinkDown(l Link) {
	p := c.byLink[l]
	if p == nil {
		return
	}
	delete(c.byLink, l)
	p.link, p.reports, p.checkins, p.answers = nil, nil, nil, nil
	p.stateOK, p.younger, p.yielded = false, false, false
	if c.leader != nil {
		c.leader.peerGone(p)
	}
	if c.subscription.from == p {
		c.subscription.reset()
	}
	c.users.peerDown(p)
	c.relay.peerDown(p)
}

// LinkFrame takes one frame of a stream.
func (c *Core) LinkFrame(l Link, f *meshpb.Frame) {
	if p := c.byLink[l]; p != nil {
		c.onFrame(p, f)
	}
}

func (c *Core) onFrame(p *peer, f *meshpb.Frame) {
	switch b := f.Body.(type) {
	case *meshpb.Frame_PeerHeartbeat:
		p.stateOK = b.PeerHeartbeat.StateOk
		if p != c.self {
			c.relay.peerLoad[p] = b.PeerHeartbeat.Load
		}
		if b.PeerHeartbeat.LeaderOk {
			c.session.leads(p, b.PeerHeartbeat.FencingToken)
			c.subscription.onHeartbeat(p, b.PeerHeartbeat)
		}
	case *meshpb.Frame_ShardRegistered:
		c.subscription.onJoined(p, b.ShardRegistered)
	case *meshpb.Frame_MachineStatuses:
		c.subscription.onReports(p, b.MachineStatuses)
	case *meshpb.Frame_Offer:
		c.subscription.onOffer(p, b.Offer)
	case *meshpb.Frame_ReturnedBindings:
		c.subscription.onUnplaced(p, b.ReturnedBindings)
	case *meshpb.Frame_MachineTerminated:
		c.subscription.onGone(p, b.MachineTerminated)
	case *meshpb.Frame_Reconciled:
		c.subscription.onSettled(p, b.Reconciled)
	case *meshpb.Frame_RegisterShard:
		if c.leader != nil {
			c.leader.onJoin(p, b.RegisterShard)
		}
	case *meshpb.Frame_JobSummaries:
		if c.leader != nil {
			c.leader.onDemand(p, b.JobSummaries)
		}
	case *meshpb.Frame_Bindings:
		if c.leader != nil {
			c.leader.onPicks(p, b.Bindings)
		}
	case *meshpb.Frame_MachineCommands:
		if c.leader != nil {
			c.leader.onOrders(p, b.MachineCommands)
		}
	case *meshpb.Frame_JobQuery:
		c.users.onAsk(p, b.JobQuery)
	case *meshpb.Frame_JobQueryResult:
		c.users.onAnswer(p, b.JobQueryResult)
	case *meshpb.Frame_Handover:
		c.session.onHandover(p, b.Handover)
	case *meshpb.Frame_UptimeRequest:
		p.send(&meshpb.Frame{Body: &meshpb.Frame_UptimeResponse{UptimeResponse: &meshpb.UptimeResponse{UptimeUs: (c.now() - c.started).Microseconds()}}})
	case *meshpb.Frame_UptimeResponse:
		// It was measured after the question went out, however late either
		// was on its way.
		if p.answered++; p.answered == 1 {
			p.younger = time.Duration(b.UptimeResponse.UptimeUs)*time.Microsecond+extensionDrift < p.askedUptime-c.started
		}
		p.yielded = p.yielded || (p.yieldsWith > 0 && p.answered >= p.yieldsWith)
	case *meshpb.Frame_LeaseExtensionRequest:
		c.session.onExtensionRequest(p, b.LeaseExtensionRequest)
	case *meshpb.Frame_ForwardedHeartbeats:
		c.onCheckins(p, b.ForwardedHeartbeats)
	case *meshpb.Frame_HeartbeatResponses:
		c.relay.onAnswers(p, b.HeartbeatResponses)
	case *meshpb.Frame_QuotaDemands:
		c.admission.onDemands(p, b.QuotaDemands)
	case *meshpb.Frame_LeaseExtension:
		c.session.onExtensionGrant(p, b.LeaseExtension)
	}
}

// team returns the settings of a team.
func (c *Core) team(name string) *settings.Team {
	for i := range c.cfg.Settings.Teams {
		if c.cfg.Settings.Teams[i].Name == name {
			return &c.cfg.Settings.Teams[i]
		}
	}
	return nil
}

func seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }

// leaseSpan is how long after a report's arrival its worker's lease has
// surely ended.
func (c *Core) leaseSpan() time.Duration {
	return seconds(c.cfg.Settings.Workers.LeaseS*driftFactor) + answerTime
}
