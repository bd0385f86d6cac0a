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
	"github.com/cobaltvale/cobaltvale/internal/election"
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
	ReceivedAt   time.Duration // when it came; 0: just now
}

// IsHeartbeat tells whether a request is a worker's report.
func (r *Request) IsHeartbeat() bool { return r.Path == heartbeatPath }

const heartbeatPath = "/checkin"

// Response is its answer. It may be sent up to Until, or at any time if that is
// 0: what entitles this node to it ends then.
type Response struct {
	Status      int
	Body        []byte
	RetryAfterS int
	ValidUntil  time.Duration
}

// Margins of time.
const (
	responseLifetime      = 4 * time.Second // workers drop answers that are older
	peerHeartbeatInterval = time.Second
	stateRetryInterval    = 400 * time.Millisecond // after a read that the state service did not answer
)

// burstShare is what one controller uses of the state service's bursts.
const burstShare = 0.5

// Controller is the state of one controller.
type Controller struct {
	env    Env
	cfg    *settings.File
	tuning settings.Tuning
	codec  *protocol.Codec
	store  *storage.Store
	log    zerolog.Logger

	startedAt time.Duration
	identity  storage.Holder

	deferred []func()
	loopback []loopbackFrame

	election   *election.Election
	peers      map[string]*peer
	selfPeer   *peer
	peerByLink map[Link]*peer

	owner        owner
	admission    admission
	userAPI      userAPI
	leader       *leader // nil unless this process holds the leader key
	subscription subscription
	forwarder    heartbeatForwarder
	fleet        cloudInventory // what the cloud says; every node keeps the catalogue

	responseEvents    eventCounter // by answerEvent
	lastPeerHeartbeat time.Duration
	lastFlush         time.Duration
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

// New builds a core. incarnation tells this process from earlier ones of the
// same member.
func New(cfg *settings.File, tune settings.Tuning, env Env, incarnation uint64) (*Controller, error) {
	codec, err := protocol.NewCodec()
	if err != nil {
		return nil, err
	}
	controller := &Controller{
		env: env, cfg: cfg, tuning: tune, codec: codec, log: env.Log, startedAt: env.Clock.Now(),
		identity:   storage.Holder{Member: cfg.Member, Nonce: strconv.FormatUint(incarnation, 36), RecordFormat: storage.CurrentRecordFormat},
		peers:      make(map[string]*peer),
		peerByLink: make(map[Link]*peer),
	}
	rps, writeRPS := controller.stateServiceShare(1 + len(cfg.Peers))
	stateLimits := cfg.Settings.State.Effective()
	controller.store = storage.NewStore(env.State, env.Clock, codec, storage.Limits{
		RPS: rps, WriteRPS: writeRPS,
		BurstRPS: stateLimits.RPS * burstShare, BurstWrites: stateLimits.WriteRPS * burstShare,
		TxnOps: stateLimits.TxnOps, ValueBytes: int(stateLimits.ValueKB * 1024), Timeout: tune.RequestTimeout,
	}, controller.runLater)
	for i, p := range cfg.Peers {
		controller.peers[p.Member] = &peer{member: p.Member, index: i + 1}
	}
	controller.selfPeer = &peer{member: cfg.Member, link: loopbackLink{controller}, stateServiceReachable: true}
	controller.responseEvents = newResponseCounter()
	controller.owner.init(controller)
	if err := controller.admission.init(controller); err != nil {
		return nil, err
	}
	controller.userAPI.init(controller)
	controller.forwarder.init(controller)
	controller.subscription.c = controller
	controller.subscription.reset()
	controller.fleet.init(controller)
	controller.election = newElection(controller)
	return controller, nil
}

// stateServiceShare is this member's part of the state service's rates if as many use it.
func (c *Controller) stateServiceShare(members int) (rps, writeRPS float64) {
	share := c.tuning.WriteShare / float64(members)
	return c.cfg.Settings.State.Effective().RPS * share, c.cfg.Settings.State.Effective().WriteRPS * share
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

func (c *Controller) now() time.Duration { return c.env.Clock.Now() }

func (c *Controller) runLater(fn func()) { c.deferred = append(c.deferred, fn) }

// EndBatch runs what the commands of a batch left to do, and sends what they
// gathered for other members.
func (c *Controller) EndBatch() {
	for len(c.deferred) > 0 || len(c.loopback) > 0 || len(c.owner.changed) > 0 || len(c.subscription.commands) > 0 || c.selfPeer.machineStatuses != nil {
		for len(c.deferred) > 0 || len(c.loopback) > 0 {
			if len(c.loopback) > 0 {
				f := c.loopback[0]
				c.loopback = c.loopback[1:]
				c.dispatch(c.selfPeer, f.f)
				continue
			}
			fn := c.deferred[0]
			c.deferred = c.deferred[1:]
			fn()
		}
		c.owner.publish()
		c.subscription.flushCommands()
		c.selfPeer.flush()
	}
	c.loopback, c.deferred = nil, nil
	for _, p := range c.peers {
		p.flush()
		if p.link != nil {
			p.link.Flush()
		}
	}
}

// Tick does what time asks for. It is called about ten times a second.
func (c *Controller) Tick() {
	now := c.now()
	c.store.Poll()
	c.election.Tick(now)
	if now-c.lastPeerHeartbeat >= peerHeartbeatInterval {
		c.lastPeerHeartbeat = now
		c.subscription.registerShards() // whatever event was missed, the ledgers join
		c.sendPeerHeartbeats(now)
	}
	if now-c.lastFlush >= storage.FlushInterval {
		c.lastFlush = now
		c.owner.flushRecords()
	}
	c.owner.tick(now)
	c.admission.tick(now)
	c.userAPI.tick(now)
	c.forwarder.tick(now)
	c.fleet.tick(now)
	c.responseEvents.log(now, &c.log)
	if c.leader != nil {
		c.leader.tick(now)
	}
}

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

func (c *Controller) dispatch(p *peer, f *meshpb.Frame) {
	switch b := f.Body.(type) {
	case *meshpb.Frame_PeerHeartbeat:
		p.stateServiceReachable = b.PeerHeartbeat.StateOk
		if p != c.selfPeer {
			c.forwarder.peerLoad[p] = b.PeerHeartbeat.Load
		}
		if b.PeerHeartbeat.LeaderOk {
			c.election.ObserveLeader(p.member, b.PeerHeartbeat.FencingToken)
			c.subscription.onPeerHeartbeat(p, b.PeerHeartbeat)
		}
	case *meshpb.Frame_ShardRegistered:
		c.subscription.onShardRegistered(p, b.ShardRegistered)
	case *meshpb.Frame_MachineStatuses:
		c.subscription.onMachineStatuses(p, b.MachineStatuses)
	case *meshpb.Frame_Offer:
		c.subscription.onOffer(p, b.Offer)
	case *meshpb.Frame_ReturnedBindings:
		c.subscription.onReturnedBindings(p, b.ReturnedBindings)
	case *meshpb.Frame_MachineTerminated:
		c.subscription.onMachineTerminated(p, b.MachineTerminated)
	case *meshpb.Frame_Reconciled:
		c.subscription.onReconciled(p, b.Reconciled)
	case *meshpb.Frame_RegisterShard:
		if c.leader != nil {
			c.leader.onRegisterShard(p, b.RegisterShard)
		}
	case *meshpb.Frame_JobSummaries:
		if c.leader != nil {
			c.leader.onJobSummaries(p, b.JobSummaries)
		}
	case *meshpb.Frame_Bindings:
		if c.leader != nil {
			c.leader.onBindings(p, b.Bindings)
		}
	case *meshpb.Frame_MachineCommands:
		if c.leader != nil {
			c.leader.onMachineCommands(p, b.MachineCommands)
		}
	case *meshpb.Frame_JobQuery:
		c.userAPI.onJobQuery(p, b.JobQuery)
	case *meshpb.Frame_JobQueryResult:
		c.userAPI.onJobQueryResult(p, b.JobQueryResult)
	case *meshpb.Frame_Handover:
		c.election.HandleHandover(p.member, b.Handover.Shard)
	case *meshpb.Frame_UptimeRequest:
		p.send(&meshpb.Frame{Body: &meshpb.Frame_UptimeResponse{UptimeResponse: &meshpb.UptimeResponse{UptimeUs: (c.now() - c.startedAt).Microseconds()}}})
	case *meshpb.Frame_UptimeResponse:
		c.election.HandleUptime(p.member, time.Duration(b.UptimeResponse.UptimeUs)*time.Microsecond)
	case *meshpb.Frame_LeaseExtensionRequest:
		extension := c.election.HandleExtensionRequest(p.member, b.LeaseExtensionRequest)
		p.send(&meshpb.Frame{Body: &meshpb.Frame_LeaseExtension{LeaseExtension: extension}})
	case *meshpb.Frame_ForwardedHeartbeats:
		c.onForwardedHeartbeats(p, b.ForwardedHeartbeats)
	case *meshpb.Frame_HeartbeatResponses:
		c.forwarder.onResponses(p, b.HeartbeatResponses)
	case *meshpb.Frame_QuotaDemands:
		c.admission.onDemands(p, b.QuotaDemands)
	case *meshpb.Frame_LeaseExtension:
		c.election.HandleExtension(p.member, b.LeaseExtension)
	}
}

// team returns the settings of a team.
func (c *Controller) team(name string) *settings.Team {
	for i := range c.cfg.Settings.Teams {
		if c.cfg.Settings.Teams[i].Name == name {
			return &c.cfg.Settings.Teams[i]
		}
	}
	return nil
}

func seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }

// workerLeaseTimeout is how long after a report's arrival its worker's lease has
// surely ended.
func (c *Controller) workerLeaseTimeout() time.Duration {
	return seconds(c.cfg.Settings.Workers.LeaseS*election.ClockDriftFactor) + responseLifetime
}
