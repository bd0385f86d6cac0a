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
	"github.com/cobaltvale/cobaltvale/internal/settings"
	"github.com/cobaltvale/cobaltvale/internal/storage"
)

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
