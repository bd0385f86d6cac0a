// Package coordination implements a controller: the shards that it holds with their
// jobs, leadership of the fleet, placement, autoscaling, users' requests and
// recovery.
//
// It owns all of a controller's state except which keys of the state service the
// controller holds and may act on; package election decides that. All of its state
// belongs to one goroutine: input reaches it as commands on an EventLoop, and it
// reaches the outside through the interfaces of Env.
//
// It never opens a connection, starts a goroutine or blocks.
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
	responseLifetime   = 4 * time.Second        // agents on machines drop responses that are older
	stateRetryInterval = 400 * time.Millisecond // before a read that the state service did not answer is repeated

	// burstShare is the fraction of the state service's burst limits that one controller
	// uses.
	burstShare = 0.5
)

// Env has the interfaces through which a Controller reaches the outside.
type Env struct {
	Clock storage.Clock    // monotonic; the clock of all durations and deadlines
	Wall  func() time.Time // the time of day, for what users see
	Rand  *rand.Rand
	State storage.Caller // sends requests to the state service
	Cloud storage.Caller // sends requests to the cloud
	Log   zerolog.Logger
	Audit func(audit.Record) // writes a record of an admission without blocking; nil: none are written
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
	identity  storage.Holder // written into the keys that this process holds

	deferredCalls  []func()        // called before the batch ends
	loopbackFrames []*meshpb.Frame // sent to this process itself; delivered before the batch ends

	election   *election.Election
	peers      map[string]*peer // every other member, by name
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
	cloud        *cloud.Inventory // every member reads the catalog, leader or not

	responseEvents        eventcount.Counter // by responseEvent
	stopCommands          eventcount.Counter // by stopReason
	lastPeerHeartbeat     time.Duration
	lastFinishedTaskFlush time.Duration
}

// New returns a controller. incarnation distinguishes this process from earlier
// processes of the same member. New fails if the settings can't be supported.
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
		stopCommands:   newStopCounter(),
	}
	c.store = storage.NewStore(env.State, env.Clock, codec, c.stateServiceLimits(), c.runLater, &c.log)
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

// newIdentity returns what a process of a member writes into the keys that it holds.
func newIdentity(member string, incarnation uint64) storage.Holder {
	return storage.Holder{
		Member:       member,
		Nonce:        strconv.FormatUint(incarnation, 36),
		RecordFormat: storage.CurrentRecordFormat,
	}
}

// stateServiceLimits returns the limits of this process's use of the state service
// from its start on. Until the rates are set again, the process assumes that all
// members use the state service.
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

// Tick does the periodic work and handles timeouts. It is called about ten times a
// second.
func (c *Controller) Tick() {
	now := c.now()
	c.store.Poll()
	c.election.Tick(now)
	if now-c.lastPeerHeartbeat >= peerHeartbeatInterval {
		c.lastPeerHeartbeat = now
		c.subscription.registerShards() // in case an event that should have caused it was missed
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
	c.stopCommands.Log(now, &c.log)
	if c.leader != nil {
		c.leader.tick(now)
	}
}

// EndBatch completes the work that the commands of a batch deferred, and sends what
// they queued for other members.
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

// batchPending reports whether the batch has left work to do in this process.
func (c *Controller) batchPending() bool {
	return len(c.deferredCalls) > 0 || len(c.loopbackFrames) > 0 ||
		c.owner.HasUnpublished() || c.selfPeer.machineStatuses != nil
}

// runDeferred delivers the frames that this process sent to itself and calls the
// deferred functions. A function is called only while no such frame is left.
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

// runLater defers a function: it is called before the present batch ends, but only
// after the caller of runLater has returned.
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

// machineLeaseTimeout returns how long after the arrival of a machine's heartbeat the
// machine's lease is guaranteed to have ended.
func (c *Controller) machineLeaseTimeout() time.Duration {
	return seconds(c.cfg.Settings.Workers.LeaseS*election.ClockDriftFactor) + responseLifetime
}

func seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }
