package coordination

import (
	"time"

	"github.com/cobaltvale/cobaltvale/internal/election"
)

// leader exists while this process holds the leader key.
type leader struct {
	c                       *Controller
	fencingToken            uint64
	electedAt               time.Duration
	machines                machineTable
	jobs                    map[string]*trackedJob
	shards                  map[string]*shardState
	teams                   map[string]*teamUsage
	unreconciled            resources // what may run that no owner accounts for
	subscribers             []*subscriber
	lastStream              uint64
	offers                  map[uint64]*offer
	lastOfferID             uint64
	pendingResponses        []*pendingResponse // that wait for picks, the oldest first
	lastDeliveryAt          time.Duration      // last report that showed that an answer had arrived
	actingSince             time.Duration      // since when this member may act without a break
	nextSlowTick            time.Duration
	machinesKnown           bool // every machine that may hold a task is known
	machineRecordReads      int  // how often the records that tell were asked for
	unrecordedMachines      []*machine
	nextMachineRecord       time.Duration
	recordingMachines       bool
	machineRecordCount      int
	rewritingMachineRecords bool
	pendingQueue            pendingQueue
	shortage                shortage
	autoscaler              autoscaler
	forecast                arrivalForecast
	warmPool                warmPool
	estimates               map[string]*runTimeEstimate
	images                  imageTable
}

// sweepParts is in how many parts the work that concerns all machines is done: one
// a tick, all of them in a second.
const sweepParts = int(time.Second / tickInterval)

// becomeLeader begins to lead under a fencing token.
func (c *Controller) becomeLeader(fencingToken uint64) {
	now := c.now()
	l := &leader{
		c: c, fencingToken: fencingToken, electedAt: now, lastDeliveryAt: now, actingSince: now,
		jobs: make(map[string]*trackedJob), shards: make(map[string]*shardState),
		teams: make(map[string]*teamUsage), offers: make(map[uint64]*offer), estimates: make(map[string]*runTimeEstimate),
	}
	l.machines.init()
	for i := range c.cfg.Settings.Teams {
		t := &c.cfg.Settings.Teams[i]
		l.teams[t.Name] = &teamUsage{cfg: t}
	}
	for name := range c.election.Shards() {
		l.addShard(name)
	}
	l.autoscaler.init(l)
	l.forecast.leader = l
	l.warmPool.init(l)
	c.leader = l
	c.fleet.nextCatalog, c.fleet.nextList = min(c.fleet.nextCatalog, now), now // prices and machines as they are now
	c.subscription.registerShards()
	for _, shard := range l.shards {
		l.readUnfinishedJobs(shard)
	}
	l.readRecordedMachines()
	c.sendPeerHeartbeats(now)
}

// endLeadership ends this process's leadership.
func (c *Controller) endLeadership() {
	l := c.leader
	c.leader = nil
	for _, pending := range l.pendingResponses {
		if !pending.finished {
			pending.reply(Response{Status: 503, RetryAfterS: 1})
		}
	}
	c.subscription.registerShards()
}

// subscriberDown forgets a member whose stream has ended.
func (l *leader) subscriberDown(p *peer) {
	for i, s := range l.subscribers {
		if s.peer == p {
			l.subscribers = append(l.subscribers[:i], l.subscribers[i+1:]...)
			break
		}
	}
	l.unregisterShards(p)
}

func (l *leader) tick(now time.Duration) {
	l.expireResponses(now)
	if !l.c.election.MayAct(now) {
		// Reports are refused meanwhile, so silence means nothing.
		l.actingSince, l.lastDeliveryAt = now, now
	}
	l.machines.nextSlice(sweepParts, func(m *machine) { l.updateUnreconciled(m, now) })
	l.recordMachines(now)
	if now < l.nextSlowTick {
		return
	}
	l.nextSlowTick = now + time.Second
	l.slowTick(now)
}

// slowTick does what has to be done once a second.
func (l *leader) slowTick(now time.Duration) {
	leaseTimeout := l.c.workerLeaseTimeout()
	l.removeTerminated(now)
	l.removeUnusedImages()
	l.removeTombstones(now)
	l.recomputeUsage()
	l.reconcileShards(now, leaseTimeout)
	if l.c.election.MayAct(now) {
		l.autoscaler.tick(now)
		if !l.reachesWorkers(now) {
			l.c.election.Resign(election.WorkersUnreachable)
		}
	}
}

// reachesWorkers tells whether workers still get answers from here. Without it
// the answers that name this member would keep every worker trying in vain.
func (l *leader) reachesWorkers(now time.Duration) bool {
	limit := max(seconds(4*l.c.cfg.Settings.Workers.HeartbeatIntervalS), 10*time.Second)
	if now-l.lastDeliveryAt < limit || len(l.c.peers) == 0 {
		return true
	}
	for m := range l.machines.all {
		if !m.terminated && l.c.fleet.runningFor(m.name, now) > limit {
			return false
		}
	}
	return true
}
