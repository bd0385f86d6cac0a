// Package coordination is the inside of a controller: the shards that it holds
// with the jobs in them, leadership of the fleet, placement, autoscaling, users'
// requests and recovery.
//
// It owns all of a controller's state but for what it holds at the state service
// and may act on, which package election decides. It promises that all of its
// state belongs to one goroutine: the world reaches it as commands on an
// EventLoop, and it reaches the world through the interfaces of Env.
//
// It never opens a connection, starts a goroutine or waits.
package coordination

import (
	"math/rand/v2"
	"strconv"
	"time"

	"github.com/rs/zerolog"

	"github.com/cobaltvale/cobaltvale/internal/admission"
	"github.com/cobaltvale/cobaltvale/internal/api"
	"github.com/cobaltvale/cobaltvale/internal/audit"
	"github.com/cobaltvale/cobaltvale/internal/cloud"
	"github.com/cobaltvale/cobaltvale/internal/election"
	"github.com/cobaltvale/cobaltvale/internal/eventcount"
	"github.com/cobaltvale/cobaltvale/internal/protocol"
	"github.com/cobaltvale/cobaltvale/internal/protocol/meshpb"
	"github.com/cobaltvale/cobaltvale/internal/settings"
	"github.com/cobaltvale/cobaltvale/internal/shard"
	"github.com/cobaltvale/cobaltvale/internal/storage"
)

const (
	responseLifetime   = 4 * time.Second        // agents of machines drop responses that are older
	stateRetryInterval = 400 * time.Millisecond // after a read that the state service did not answer

	// burstShare is the part of the state service's bursts that one controller uses.
	burstShare = 0.5
)

// Env is the outside world.
type Env struct {
	Clock storage.Clock    // steady; all spans and deadlines are on it
	Wall  func() time.Time // for what users see
	Rand  *rand.Rand
	State storage.Caller // of the state service
	Cloud storage.Caller // of the cloud
	Log   zerolog.Logger
	Audit func(audit.Record) // takes records of admissions without waiting; nil: none are kept
}

// Controller is the state of one controller. Only the goroutine that runs its
// EventLoop may call its methods.
type Controller struct {
	env    Env
	cfg    *settings.File
	tuning settings.Tuning
	codec  *protocol.Codec
	store  *storage.Store
	log    zerolog.Logger

	startedAt time.Duration
	identity  storage.Holder // of this process, in the keys that it holds

	deferredCalls  []func()        // to be called before the batch ends
	loopbackFrames []*meshpb.Frame // to this very process, the same

	election   *election.Election
	peers      map[string]*peer // every other member
	selfPeer   *peer            // this member
	peerByLink map[Link]*peer

	owner        *shard.Owner
	admission    *admission.Control
	statuses     *api.StatusCache
	userAPI      *api.API
	leader       *leader // nil unless this process leads
	subscription subscription
	forwarder    heartbeatForwarder
	balancer     heartbeatBalancer
	cloud        *cloud.Inventory // every member keeps the catalogue

	responseEvents        eventcount.Counter // by responseEvent
	lastPeerHeartbeat     time.Duration
	lastFinishedTaskFlush time.Duration
}

// New builds a controller. incarnation tells this process from earlier ones of
// the same member. It fails if the settings can't be served.
func New(cfg *settings.File, tuning settings.Tuning, env Env, incarnation uint64) (*Controller, error) {
	codec, err := protocol.NewCodec()
	if err != nil {
		return nil, err
	}
	c := &Controller{
		env:            env,
		cfg:            cfg,
		tuning:         tuning,
		codec:          codec,
		log:            env.Log,
		startedAt:      env.Clock.Now(),
		identity:       newIdentity(cfg.Member, incarnation),
		peers:          make(map[string]*peer),
		peerByLink:     make(map[Link]*peer),
		responseEvents: newResponseEventCounter(),
	}
	c.store = storage.NewStore(env.State, env.Clock, codec, c.stateServiceLimits(), c.runLater)
	for i, p := range cfg.Peers {
		c.peers[p.Member] = &peer{member: p.Member, index: i + 1}
	}
	c.selfPeer = &peer{member: cfg.Member, link: loopbackLink{c}, stateServiceReachable: true}
	if c.admission, err = c.newAdmission(); err != nil {
		return nil, err
	}
	c.statuses = api.NewStatusCache()
	c.owner = c.newOwner()
	c.userAPI = c.newUserAPI()
	c.forwarder = newHeartbeatForwarder(env.Clock, c.unavailableResponse)
	c.balancer = newHeartbeatBalancer(c.now())
	c.subscription.controller = c
	c.subscription.reset()
	c.cloud = cloud.NewInventory(cloud.Config{
		API:         env.Cloud,
		Clock:       env.Clock,
		Codec:       codec,
		Settings:    cfg.Settings.Cloud,
		Peers:       len(cfg.Peers),
		MaxMachines: maxMachines,
	})
	c.election = newElection(c)
	return c, nil
}

// newIdentity is what a process of a member writes into the keys that it holds.
func newIdentity(member string, incarnation uint64) storage.Holder {
	return storage.Holder{
		Member:       member,
		Nonce:        strconv.FormatUint(incarnation, 36),
		RecordFormat: storage.CurrentRecordFormat,
	}
}

// stateServiceLimits are what this process uses of the state service at first,
// when all members are thought to use it.
func (c *Controller) stateServiceLimits() storage.Limits {
	rps, writeRPS := c.stateServiceShare(1 + len(c.cfg.Peers))
	limits := c.cfg.Settings.State.Effective()
	return storage.Limits{
		RPS:         rps,
		WriteRPS:    writeRPS,
		BurstRPS:    limits.RPS * burstShare,
		BurstWrites: limits.WriteRPS * burstShare,
		TxnOps:      limits.TxnOps,
		ValueBytes:  int(limits.ValueKB * 1024),
		Timeout:     c.tuning.RequestTimeout,
	}
}

// Tick does what time asks for. It is called about ten times a second.
func (c *Controller) Tick() {
	now := c.now()
	c.store.Poll()
	c.election.Tick(now)
	if now-c.lastPeerHeartbeat >= peerHeartbeatInterval {
		c.lastPeerHeartbeat = now
		c.subscription.registerShards() // whatever event was missed
		c.sendPeerHeartbeats(now)
	}
	if now-c.lastFinishedTaskFlush >= storage.FlushInterval {
		c.lastFinishedTaskFlush = now
		c.owner.FlushFinishedTasks()
	}
	c.owner.Tick(now)
	c.tickAdmission(now)
	c.userAPI.Tick(now)
	c.forwarder.tick(now)
	c.cloud.Tick(now)
	c.responseEvents.Log(now, &c.log)
	if c.leader != nil {
		c.leader.tick(now)
	}
}

// EndBatch does what the commands of a batch left to do, and sends what they
// gathered for other members.
func (c *Controller) EndBatch() {
	for c.batchPending() {
		c.runDeferred()
		c.owner.PublishChangedJobs()
		c.subscription.flushCommands()
		c.selfPeer.flush()
	}
	c.loopbackFrames, c.deferredCalls = nil, nil
	for _, p := range c.peers {
		p.flush()
		if p.link != nil {
			p.link.Flush()
		}
	}
}

// batchPending tells whether the batch has left anything to do in this process.
func (c *Controller) batchPending() bool {
	return len(c.deferredCalls) > 0 || len(c.loopbackFrames) > 0 ||
		c.owner.HasUnpublished() || c.selfPeer.machineStatuses != nil
}

// runDeferred delivers the frames to this very process and calls what was put
// off, frames first.
func (c *Controller) runDeferred() {
	for len(c.deferredCalls) > 0 || len(c.loopbackFrames) > 0 {
		if len(c.loopbackFrames) > 0 {
			frame := c.loopbackFrames[0]
			c.loopbackFrames = c.loopbackFrames[1:]
			c.dispatch(c.selfPeer, frame)
			continue
		}
		fn := c.deferredCalls[0]
		c.deferredCalls = c.deferredCalls[1:]
		fn()
	}
}

// runLater calls a function before the present batch ends, but not within the
// call that asked for it.
func (c *Controller) runLater(fn func()) { c.deferredCalls = append(c.deferredCalls, fn) }

func (c *Controller) now() time.Duration { return c.env.Clock.Now() }

// team returns the settings of a team; nil if there is no such team.
func (c *Controller) team(name string) *settings.Team {
	for i := range c.cfg.Settings.Teams {
		if c.cfg.Settings.Teams[i].Name == name {
			return &c.cfg.Settings.Teams[i]
		}
	}
	return nil
}

// workerLeaseTimeout is how long after the arrival of a machine's heartbeat its
// lease has surely ended.
func (c *Controller) workerLeaseTimeout() time.Duration {
	return seconds(c.cfg.Settings.Workers.LeaseS*election.ClockDriftFactor) + responseLifetime
}

func seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }
