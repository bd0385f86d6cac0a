package coordination

import (
	"math"
	"time"

	"github.com/cobaltvale/cobaltvale/internal/bookkeeping"
	"github.com/cobaltvale/cobaltvale/internal/protocol"
	"github.com/cobaltvale/cobaltvale/internal/protocol/meshpb"
	"github.com/cobaltvale/cobaltvale/internal/settings"
)

const (
	tombstoneFor = 10 * time.Minute // how long the leader remembers a job that has ended
	maxClearing  = 300              // stops and forgets in one answer
)

// taskKey names one copy of a task.
type taskKey struct {
	job     string
	task    uint32
	attempt uint64
}

// placed is a copy that a machine lists, or that was sent there.
type placed struct {
	key     taskKey
	state   protocol.TaskState
	why     protocol.Why
	cpus    float64
	gpus    float64
	memory  float64
	since   time.Duration // when it was first seen to run
	job     *leaderJob    // nil if no joined owner knows it
	stopped bool          // told to stop, to make room
}

// machine is what the leader knows of one machine.
type machine struct {
	name         string
	typ          string
	zone         string
	spot         bool
	session, seq uint64
	reported     bool          // under this leader
	heard        time.Duration // last report
	currentAt    time.Duration // last report that carried this leader's token
	noticeAt     time.Duration // when the cloud takes it away; 0: no notice
	tasks        []placed
	sent         []placed // starts in the last answer, not yet listed
	orders       map[taskKey]*meshpb.Order
	idleSince    time.Duration
	rentedAt     time.Duration // 0: not known
	record       string        // state key that names it; without one it gets no starts
	recording    bool
	leaving      bool // being returned: no offers any more
	releasing    bool
	pending      *answer
	images       map[string]*cachedImage
	errors       map[string]int // failures since the last success, by job
	sick         bool
	gone         bool
}

// leaderJob is a job as its owner describes it.
type leaderJob struct {
	spec      *meshpb.JobDemand
	id        string
	ledger    *leaderLedger
	team      *teamState
	prio      protocol.Priority
	waiting   int
	located   int // absolute, by the owner
	offered   int // in offers that are not answered yet
	closed    bool
	closedAt  time.Duration
	errorsOn  map[string]bool
	succeeded bool
}

// leaderLedger is a ledger and the member that answers for it now.
type leaderLedger struct {
	name     string
	from     *peer // nil while nobody has joined for it
	link     Link
	stamp    uint64
	joinedAt time.Duration
	settled  bool
	counted  bool // its unfinished jobs are known, from its owner or by reading
	jobs     map[string]*leaderJob
	arriving map[string]*meshpb.JobDemand
}

// teamState is a team with what it uses.
type teamState struct {
	cfg  *settings.Team
	cpus float64
	gpus float64
	// stopping is the part of cpus that was told to stop.
	stopping float64
}

// leader exists while this process holds the leader key.
type leader struct {
	c         *Core
	token     uint64
	since     time.Duration
	machines  map[string]*machine
	jobs      map[string]*leaderJob
	ledgers   map[string]*leaderLedger
	teams     map[string]*teamState
	offers    map[uint64]*offer
	offerSeq  uint64
	reportAt  time.Duration // last report that was answered 200
	actingAt  time.Duration // since when this member may act without a break
	nextSlow  time.Duration
	roster    bool // every machine that may hold a task is known
	records   int
	rewriting map[string]bool
	rent      renting
	est       map[string]*estimate
	images    imageTable
}

// answer is a report's answer that waits for its owners' picks.
type answer struct {
	m            *machine
	reply        func(Response)
	at           time.Duration
	session, seq uint64
	commands     []protocol.Command
	open         map[uint64]*offer
	picks        []pickFrom
}

type pickFrom struct {
	from *leaderLedger
	pick *meshpb.Pick
}

// offer is room offered to one owner for one answer.
type offer struct {
	id    uint64
	ans   *answer
	link  Link
	items map[*leaderJob]int
}

func (c *Core) becomeLeader(token uint64) {
	now := c.now()
	l := &leader{
		c: c, token: token, since: now, reportAt: now, actingAt: now, machines: make(map[string]*machine),
		jobs: make(map[string]*leaderJob), ledgers: make(map[string]*leaderLedger),
		teams: make(map[string]*teamState), offers: make(map[uint64]*offer), est: make(map[string]*estimate), rewriting: make(map[string]bool),
	}
	for i := range c.cfg.Settings.Teams {
		t := &c.cfg.Settings.Teams[i]
		l.teams[t.Name] = &teamState{cfg: t}
	}
	for name := range c.session.ledgers {
		l.ledgers[name] = &leaderLedger{name: name, jobs: make(map[string]*leaderJob)}
	}
	l.rent.init(l)
	c.leader = l
	c.fleet.nextAsk, c.fleet.nextList = min(c.fleet.nextAsk, now), now // prices and machines as they are now
	c.log.Info().Uint64("token", token).Msg("leading")
	c.stream.join()
	for _, g := range l.ledgers {
		l.countLedger(g)
	}
	l.readRoster()
	c.beat(now)
}

func (c *Core) dropLeadership() {
	if c.leader == nil {
		return
	}
	l := c.leader
	c.leader = nil
	for _, m := range l.machines {
		if m.pending != nil {
			m.pending.reply(Response{Status: 503, RetryAfterS: 1})
		}
	}
	c.log.Info().Msg("leading no more")
	c.stream.join()
}

// countLedger reads the unfinished jobs of a ledger that nobody has joined
// for yet: all their tasks may be running and count against their teams.
func (l *leader) countLedger(g *leaderLedger) {
	l.c.store.Unfinished(g.name, func(jobs []bookkeeping.RecoveredJob, ok bool) {
		if l.c.leader != l || g.counted {
			return
		}
		if !ok {
			l.c.store.After(sessionRetry, func() {
				if l.c.leader == l && !g.counted {
					l.countLedger(g)
				}
			})
			return
		}
		for i := range jobs {
			s := &jobs[i].Job
			l.putJob(g, &meshpb.JobDemand{Job: s.ID, Team: s.Team, Cpus: s.CPUs, Gpus: s.GPUs, MemoryGb: s.MemoryGB,
				Priority: uint32(s.Priority), Class: s.Class, Located: uint32(s.Tasks), Spec: true})
		}
		g.counted = true
	})
}

func (l *leader) putJob(g *leaderLedger, d *meshpb.JobDemand) {
	j := l.jobs[d.Job]
	if j == nil {
		if !d.Spec || d.Closed {
			if d.Closed {
				l.jobs[d.Job] = &leaderJob{id: d.Job, spec: d, ledger: g, closed: true, closedAt: l.c.now(), team: l.teams[d.Team]}
			}
			return
		}
		j = &leaderJob{id: d.Job, errorsOn: make(map[string]bool)}
		l.jobs[d.Job] = j
	}
	if d.Spec {
		j.spec, j.team, j.prio = d, l.teams[d.Team], protocol.Priority(d.Priority)
	}
	j.ledger = g
	g.jobs[d.Job] = j
	j.waiting, j.located = int(d.Waiting), int(d.Located)
	if d.Closed {
		j.closed, j.closedAt, j.waiting = true, l.c.now(), 0
		delete(g.jobs, d.Job)
	}
}

// onJoin takes up an owner's ledger with all its unfinished jobs.
func (l *leader) onJoin(p *peer, f *meshpb.Join) {
	if f.Token != l.token {
		return
	}
	g := l.ledgers[f.Ledger]
	if g == nil {
		g = &leaderLedger{name: f.Ledger, jobs: make(map[string]*leaderJob)}
		l.ledgers[f.Ledger] = g
	}
	if f.Stamp < g.stamp {
		return
	}
	if g.arriving == nil {
		g.arriving = make(map[string]*meshpb.JobDemand)
	}
	for _, d := range f.Jobs {
		g.arriving[d.Job] = d
	}
	if f.More {
		return
	}
	now := l.c.now()
	l.cancelOffers(g)
	for id, j := range g.jobs {
		if g.arriving[id] == nil {
			j.closed, j.closedAt, j.waiting = true, now, 0
			delete(g.jobs, id)
		}
	}
	g.from, g.link, g.stamp, g.joinedAt, g.settled, g.counted = p, p.link, f.Stamp, now, false, true
	for _, d := range g.arriving {
		l.putJob(g, d)
	}
	g.arriving = nil
	p.link.Send(&meshpb.Frame{Body: &meshpb.Frame_Joined{Joined: &meshpb.Joined{Ledger: f.Ledger, Token: l.token, ClockUs: now.Microseconds()}}})
}

func (l *leader) onDemand(p *peer, f *meshpb.Demand) {
	g := l.ledgers[f.Ledger]
	if g == nil || g.from != p {
		return
	}
	for _, d := range f.Jobs {
		l.putJob(g, d)
	}
}

// peerDown keeps what a member's ledgers had, all of it counted as located,
// until somebody joins for them again.
func (l *leader) peerDown(p *peer) {
	for _, g := range l.ledgers {
		if g.from != p {
			continue
		}
		l.cancelOffers(g)
		g.from, g.link, g.arriving = nil, nil, nil
		for _, j := range g.jobs {
			j.located += j.waiting
			j.waiting = 0
		}
	}
}

// cancelOffers withdraws the offers and unsent picks of a ledger whose owner
// is being replaced: what it picked but was not sent yet never will be.
func (l *leader) cancelOffers(g *leaderLedger) {
	for _, m := range l.machines {
		a := m.pending
		if a == nil {
			continue
		}
		kept := a.picks[:0]
		for _, p := range a.picks {
			if p.from != g {
				kept = append(kept, p)
			}
		}
		a.picks = kept
		for id, o := range a.open {
			if o.link == g.link && g.link != nil {
				l.closeOffer(o)
				delete(a.open, id)
			}
		}
		if len(a.open) == 0 {
			l.finish(a)
		}
	}
}

func (l *leader) closeOffer(o *offer) {
	delete(l.offers, o.id)
	for j, n := range o.items {
		j.offered -= n
	}
}

func (l *leader) allJoined() bool {
	for _, g := range l.ledgers {
		if g.from == nil {
			return false
		}
	}
	return true
}

// checkin handles a worker's report.
func (c *Core) checkin(body []byte, reply func(Response)) {
	var w protocol.WireReport
	if err := c.codec.Decode(body, &w); err != nil {
		reply(c.refusal(400, err.Error(), 0))
		return
	}
	r, err := w.Check()
	if err != nil {
		reply(c.refusal(400, err.Error(), 0))
		return
	}
	now := c.now()
	l := c.leader
	if l == nil {
		if to := c.session.leaderMember(); to != "" && to != c.cfg.Member {
			reply(Response{Status: 421, Body: c.codec.Encode(protocol.Redirect{ReportTo: to})})
			return
		}
		reply(c.refusal(503, "no leader is known", 1))
		return
	}
	if !c.session.mayAct(now) || r.Token > l.token {
		reply(c.refusal(503, "not entitled to act at present", 1))
		return
	}
	l.onReport(r, now, reply)
}

func (l *leader) onReport(r *protocol.Report, now time.Duration, reply func(Response)) {
	m := l.machines[r.Machine]
	if m == nil {
		if len(l.machines) >= maxMachines {
			reply(l.c.refusal(503, "too many machines", 1))
			return
		}
		m = &machine{name: r.Machine}
		l.machines[r.Machine] = m
	}
	if m.gone {
		reply(l.c.refusal(503, "machine was returned", 1))
		return
	}
	if m.reported && (r.Session < m.session || (r.Session == m.session && r.Seq <= m.seq)) {
		// A late or repeated report says nothing new, and no start may go
		// into its answer.
		reply(l.answerWith(nil))
		return
	}
	if m.pending != nil {
		l.giveUp(m.pending)
	}
	l.note(m, r, now)
	if m.record == "" && !m.recording {
		l.recordMachines()
	}
	l.passOn(m, r, now)
	a := &answer{m: m, reply: reply, at: now, session: r.Session, seq: r.Seq, open: make(map[uint64]*offer)}
	a.commands = l.clearing(m)
	if r.Token == l.token {
		l.preempt(m, a, now)
		l.makeOffers(m, a, now)
	}
	if len(a.open) == 0 {
		l.finish(a)
		return
	}
	m.pending = a
}

// note takes a report into the machine's record.
func (l *leader) note(m *machine, r *protocol.Report, now time.Duration) {
	m.typ, m.zone, m.spot = r.Type, r.Zone, r.Spot
	first := !m.reported
	if first {
		if typ := l.c.fleet.types[r.Type]; typ != nil {
			for _, im := range l.c.stream.imagesOf(m.name) {
				m.useImage(im.Name, im.Gb, typ.CacheGB, l.since)
			}
		}
	}
	m.session, m.seq, m.reported, m.heard = r.Session, r.Seq, true, now
	l.reportAt = now
	current := r.Token == l.token
	if current {
		m.currentAt = now
	}
	if r.Notice && m.noticeAt == 0 {
		m.noticeAt = now + seconds(math.Max(0, r.NoticeS))
	} else if !r.Notice {
		m.noticeAt = 0
	}
	before := make(map[taskKey]*placed, len(m.tasks)+len(m.sent))
	for i := range m.tasks {
		before[m.tasks[i].key] = &m.tasks[i]
	}
	for i := range m.sent { // a task may have ended before it was ever listed
		before[m.sent[i].key] = &m.sent[i]
	}
	tasks := make([]placed, 0, len(r.Tasks))
	busy := false
	for _, t := range r.Tasks {
		key := taskKey{t.Job, uint32(t.Task), t.Attempt}
		p := placed{key: key, state: t.State, why: t.Why, since: now, job: l.jobs[t.Job]}
		old := before[key]
		if old != nil {
			p.stopped = old.stopped
			if old.state == t.State {
				p.since = old.since
			}
		}
		if p.job != nil && p.job.spec != nil {
			p.cpus, p.gpus, p.memory = p.job.spec.Cpus, p.job.spec.Gpus, p.job.spec.MemoryGb
			if typ := l.c.fleet.types[m.typ]; typ != nil && t.State != protocol.TaskExited {
				m.useImage(p.job.spec.Image, p.job.spec.ImageGb, typ.CacheGB, now)
			}
		}
		if t.State != protocol.TaskExited {
			busy = true
		} else if old != nil && old.state != protocol.TaskExited {
			l.noteEnd(m, &p, old, now)
		}
		tasks = append(tasks, p)
	}
	m.tasks = tasks
	if current {
		m.sent = nil
	}
	for key := range m.orders {
		if !m.lists(key) {
			delete(m.orders, key)
		}
	}
	if busy || first {
		m.idleSince = now
	}
}

func (m *machine) lists(key taskKey) bool {
	for i := range m.tasks {
		if m.tasks[i].key == key {
			return true
		}
	}
	return false
}

// passOn writes the report to every joined owner, before it is answered.
func (l *leader) passOn(m *machine, r *protocol.Report, now time.Duration) {
	links := make(map[Link]*meshpb.Report)
	images := make([]*meshpb.Image, 0, len(m.images))
	for name, im := range m.images {
		images = append(images, &meshpb.Image{Name: name, Gb: im.gb})
	}
	for _, g := range l.ledgers {
		if g.from != nil && links[g.link] == nil {
			links[g.link] = &meshpb.Report{Machine: m.name, Session: r.Session, Seq: r.Seq, Current: r.Token == l.token,
				ClockUs: now.Microseconds(), Type: m.typ, Zone: m.zone, Spot: m.spot, Images: images}
		}
	}
	for i := range m.tasks {
		t := &m.tasks[i]
		if t.job == nil || t.job.ledger == nil || t.job.ledger.from == nil {
			continue
		}
		rep := links[t.job.ledger.link]
		rep.Tasks = append(rep.Tasks, &meshpb.TaskState{Job: t.key.job, Task: t.key.task, Attempt: t.key.attempt,
			State: uint32(t.state), Why: uint32(t.why)})
	}
	for link, rep := range links {
		link.Send(&meshpb.Frame{Body: &meshpb.Frame_Report{Report: rep}})
	}
}

// clearing returns the commands that remove what should not be, or no longer
// need be, on the machine. They are repeated until the report shows the end.
func (l *leader) clearing(m *machine) []protocol.Command {
	all := l.allJoined()
	var cmds []protocol.Command
	for i := range m.tasks {
		if len(cmds) >= maxClearing {
			break // an answer is limited in size; the rest follows with the next
		}
		t := &m.tasks[i]
		order := m.orders[t.key]
		over := (t.job == nil && all) || (t.job != nil && t.job.closed)
		exited := t.state == protocol.TaskExited
		switch {
		case exited && (over || (order != nil && order.Reap)):
			cmds = append(cmds, protocol.Command{Op: protocol.VerbForget, Task: protocol.TaskName(t.key.job, int(t.key.task)), Attempt: t.key.attempt})
		case !exited && (over || (order != nil && !order.Reap)):
			grace := 0.0
			if order != nil && !over {
				grace = order.GraceS
			}
			cmds = append(cmds, protocol.Command{Op: protocol.VerbStop, Task: protocol.TaskName(t.key.job, int(t.key.task)), Attempt: t.key.attempt, GraceS: &grace})
		}
	}
	return cmds
}

// onOrders takes an owner's wishes to stop or forget copies.
func (l *leader) onOrders(p *peer, f *meshpb.Orders) {
	for _, o := range f.Orders {
		m, j := l.machines[o.Machine], l.jobs[o.Job]
		if m == nil || j == nil || j.ledger == nil || j.ledger.from != p {
			continue
		}
		l.order(m, o)
	}
}

func (l *leader) order(m *machine, o *meshpb.Order) {
	key := taskKey{o.Job, o.Task, o.Attempt}
	if !m.lists(key) {
		return
	}
	if m.orders == nil {
		m.orders = make(map[taskKey]*meshpb.Order)
	}
	m.orders[key] = o
}

// onPicks takes an owner's answer to an offer.
func (l *leader) onPicks(p *peer, f *meshpb.Picks) {
	o := l.offers[f.Id]
	if o == nil || o.link != p.link {
		// Too late: the answer has gone out without them.
		l.unplace(p.link, f.Id, "", f.Picks)
		return
	}
	l.closeOffer(o)
	for _, d := range f.Jobs {
		if j := l.jobs[d.Job]; j != nil && j.ledger != nil && j.ledger.from == p && !j.closed {
			j.waiting, j.located = int(d.Waiting), int(d.Located)
		}
	}
	a := o.ans
	for _, k := range f.Picks {
		j := l.jobs[k.Job]
		if j == nil || j.ledger == nil || j.ledger.from != p {
			continue // its owner was replaced, the new one knows nothing of it
		}
		a.picks = append(a.picks, pickFrom{j.ledger, k})
	}
	delete(a.open, o.id)
	if len(a.open) == 0 {
		l.finish(a)
	}
}

func (l *leader) unplace(link Link, id uint64, m string, picks []*meshpb.Pick) {
	if len(picks) > 0 && link != nil {
		link.Send(&meshpb.Frame{Body: &meshpb.Frame_Unplaced{Unplaced: &meshpb.Unplaced{Id: id, Machine: m, Picks: picks}}})
	}
}

// finish sends a report's answer with the starts that were picked for it.
func (l *leader) finish(a *answer) {
	m := a.m
	if m.pending == a {
		m.pending = nil
	}
	for _, o := range a.open {
		l.closeOffer(o)
	}
	a.open = nil
	now := l.c.now()
	if l.c.leader != l || !l.c.session.mayAct(now) || m.gone {
		l.returnPicks(a)
		a.reply(l.c.refusal(503, "not entitled to act at present", 1))
		return
	}
	if m.leaving || now-a.at > answerTime/2 {
		l.returnPicks(a)
	}
	for _, p := range a.picks {
		j := l.jobs[p.pick.Job]
		if j == nil || j.closed {
			continue
		}
		a.commands = append(a.commands, protocol.Command{Op: protocol.VerbStart,
			Task: protocol.TaskName(p.pick.Job, int(p.pick.Task)), Attempt: p.pick.Attempt})
		m.sent = append(m.sent, placed{key: taskKey{p.pick.Job, p.pick.Task, p.pick.Attempt}, state: protocol.TaskFetching,
			cpus: j.spec.Cpus, gpus: j.spec.Gpus, memory: j.spec.MemoryGb, job: j, since: now})
		m.idleSince = now
	}
	a.reply(l.answerWith(a.commands))
}

func (l *leader) answerWith(cmds []protocol.Command) Response {
	if cmds == nil {
		cmds = []protocol.Command{}
	}
	return Response{Status: 200, Body: l.c.codec.Encode(protocol.ReportAnswer{Token: l.token, Commands: cmds})}
}

// giveUp ends an answer that its worker no longer waits for.
func (l *leader) giveUp(a *answer) {
	for _, o := range a.open {
		l.closeOffer(o)
	}
	a.open = nil
	a.m.pending = nil
	l.returnPicks(a)
	a.reply(l.c.refusal(503, "superseded", 1))
}

// returnPicks tells owners that their picks were not sent and never will be.
func (l *leader) returnPicks(a *answer) {
	by := make(map[Link][]*meshpb.Pick)
	for _, p := range a.picks {
		if p.from.from != nil {
			by[p.from.link] = append(by[p.from.link], p.pick)
		}
	}
	for link, picks := range by {
		l.unplace(link, 0, a.m.name, picks)
	}
	a.picks = nil
}

// goneForGood ends a machine that the cloud says is no more.
func (l *leader) goneForGood(m *machine) {
	if m.gone {
		return
	}
	m.gone = true
	if m.pending != nil {
		l.giveUp(m.pending)
	}
	m.tasks, m.sent, m.orders, m.images = nil, nil, nil, nil
	m.heard = l.c.now()
	f := &meshpb.Frame{Body: &meshpb.Frame_Gone{Gone: &meshpb.Gone{Machine: m.name}}}
	sent := make(map[Link]bool)
	for _, g := range l.ledgers {
		if g.from != nil && !sent[g.link] {
			sent[g.link] = true
			g.link.Send(f)
		}
	}
}

func (l *leader) tick(now time.Duration) {
	for _, m := range l.machines {
		if m.pending != nil && now-m.pending.at > l.c.tune.OfferWait {
			l.finish(m.pending)
		}
	}
	if !l.c.session.mayAct(now) {
		// Reports are refused meanwhile, so silence means nothing.
		l.actingAt, l.reportAt = now, now
	}
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
	l.recordMachines()
	l.sweepClosed(now, span)
	l.settle(now, span)
	if l.c.session.mayAct(now) {
		l.rent.tick(now)
		if !l.reached(now) {
			l.c.session.resign("no worker reaches this member")
		}
	}
}

// reached tells whether workers still report here. Without it the answers
// that name this member would keep every worker trying in vain.
func (l *leader) reached(now time.Duration) bool {
	limit := max(seconds(4*l.c.cfg.Settings.Workers.ReportS), 10*time.Second)
	if now-l.reportAt < limit || len(l.c.peers) == 0 {
		return true
	}
	up := 0
	for _, m := range l.machines {
		if !m.gone && l.c.fleet.runningFor(m.name, now) > limit {
			up++
		}
	}
	return up == 0
}

// sweepClosed counts what is left on machines of jobs that are over, and
// forgets them in time.
func (l *leader) sweepClosed(now time.Duration, span time.Duration) {
	for _, j := range l.jobs {
		if j.closed {
			j.located = 0
		}
	}
	for _, m := range l.machines {
		if m.gone || now-max(m.heard, l.since) > span {
			continue
		}
		for i := range m.tasks {
			if t := &m.tasks[i]; t.job != nil && t.job.closed && t.state != protocol.TaskExited {
				t.job.located++
			}
		}
		for i := range m.sent {
			if t := &m.sent[i]; t.job.closed {
				t.job.located++
			}
		}
	}
	for id, j := range l.jobs {
		if j.closed && j.located == 0 && j.offered == 0 && now-j.closedAt > tombstoneFor {
			delete(l.jobs, id)
		}
	}
}

// settle tells a new owner when no copy of its recovered tasks can be left
// that it has not been told of.
func (l *leader) settle(now time.Duration, span time.Duration) {
	for _, g := range l.ledgers {
		if g.from == nil || g.settled {
			continue
		}
		ok := l.roster || now-g.joinedAt > span
		for _, m := range l.machines {
			if !ok {
				break
			}
			ok = m.gone || m.record == "" || m.currentAt > g.joinedAt || now-max(m.heard, g.joinedAt) > span
		}
		if ok {
			g.settled = true
			g.link.Send(&meshpb.Frame{Body: &meshpb.Frame_Settled{Settled: &meshpb.Settled{Ledger: g.name, Token: l.token}}})
		}
	}
}
