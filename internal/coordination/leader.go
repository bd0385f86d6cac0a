package coordination

import (
	"time"
)

// leader exists while this process holds the leader key.
type leader struct {
	c             *Core
	token         uint64
	since         time.Duration
	machines      machineTable
	jobs          map[string]*leaderJob
	ledgers       map[string]*leaderLedger
	teams         map[string]*teamState
	unaccounted   room // what may run that no owner accounts for
	listeners     []*listener
	streams       uint64
	offers        map[uint64]*offer
	offerSeq      uint64
	answers       []*answer     // that wait for picks, the oldest first
	reportAt      time.Duration // last report that showed that an answer had arrived
	actingAt      time.Duration // since when this member may act without a break
	nextSlow      time.Duration
	machinesKnown bool // every machine that may hold a task is known
	recordReads   int  // how often the records that tell were asked for
	unrecorded    []*machine
	nextRecord    time.Duration
	recording     bool
	records       int
	rewriting     bool
	demand        demand
	short         shortage
	rent          renting
	forecast      forecast
	standby       standby
	est           map[string]*estimate
	images        imageTable
}

// tickParts is in how many parts the work that concerns all machines is done: one
// a tick, all of them in a second.
const tickParts = int(time.Second / tickEvery)

// becomeLeader begins to lead under a token; why says how the key came to be free.
func (c *Core) becomeLeader(token uint64, why string) {
	now := c.now()
	l := &leader{
		c: c, token: token, since: now, reportAt: now, actingAt: now,
		jobs: make(map[string]*leaderJob), ledgers: make(map[string]*leaderLedger),
		teams: make(map[string]*teamState), offers: make(map[uint64]*offer), est: make(map[string]*estimate),
	}
	l.machines.init()
	for i := range c.cfg.Settings.Teams {
		t := &c.cfg.Settings.Teams[i]
		l.teams[t.Name] = &teamState{cfg: t}
	}
	for name := range c.session.ledgers {
		l.addLedger(name)
	}
	l.rent.init(l)
	l.forecast.l = l
	l.standby.init(l)
	c.leader = l
	c.fleet.nextAsk, c.fleet.nextList = min(c.fleet.nextAsk, now), now // prices and machines as they are now
	c.log.Info().Uint64("token", token).Str("why", why).Msg("leading")
	c.subscription.join()
	for _, g := range l.ledgers {
		l.countLedger(g)
	}
	l.readRecordedMachines()
	c.sendHeartbeat(now)
}

// dropLeadership ends this process's leadership, if it leads.
func (c *Core) dropLeadership(why string) {
	if c.leader == nil {
		return
	}
	l := c.leader
	c.leader = nil
	for _, a := range l.answers {
		if !a.over {
			a.reply(Response{Status: 503, RetryAfterS: 1})
		}
	}
	c.log.Info().Uint64("token", l.token).Str("why", why).Msg("leading no more")
	c.subscription.join()
}

// peerGone forgets a member whose stream has ended.
func (l *leader) peerGone(p *peer) {
	for i, s := range l.listeners {
		if s.p == p {
			l.listeners = append(l.listeners[:i], l.listeners[i+1:]...)
			break
		}
	}
	l.peerDown(p)
}

func (l *leader) tick(now time.Duration) {
	l.expireAnswers(now)
	if !l.c.session.mayAct(now) {
		// Reports are refused meanwhile, so silence means nothing.
		l.actingAt, l.reportAt = now, now
	}
	l.machines.slice(tickParts, func(m *machine) { l.countUnaccounted(m, now) })
	l.recordMachines(now)
	if now < l.nextSlow {
		return
	}
	l.nextSlow = now + time.Second
	l.slow(now)
}

// slow does what has to be done once a second.
func (l *leader) slow(now time.Duration) {
	span := l.c.leaseSpan()
	l.forgetMachines(now)
	l.forgetImages()
	l.sweepClosed(now)
	l.recountAll()
	l.settle(now, span)
	if l.c.session.mayAct(now) {
		l.rent.tick(now)
		if !l.reachesWorkers(now) {
			l.c.session.resign("no worker reaches this member")
		}
	}
}

// reachesWorkers tells whether workers still get answers from here. Without it
// the answers that name this member would keep every worker trying in vain.
func (l *leader) reachesWorkers(now time.Duration) bool {
	limit := max(seconds(4*l.c.cfg.Settings.Workers.HeartbeatIntervalS), 10*time.Second)
	if now-l.reportAt < limit || len(l.c.peers) == 0 {
		return true
	}
	for m := range l.machines.all {
		if !m.gone && l.c.fleet.runningFor(m.name, now) > limit {
			return false
		}
	}
	return true
}
