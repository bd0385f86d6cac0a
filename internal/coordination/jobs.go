package coordination

import (
	"math"
	"time"

	"github.com/cobaltvale/cobaltvale/internal/protocol"
	"github.com/cobaltvale/cobaltvale/internal/protocol/meshpb"
	"github.com/cobaltvale/cobaltvale/internal/settings"
	"github.com/cobaltvale/cobaltvale/internal/storage"
)

const tombstoneFor = 10 * time.Minute // how long the leader remembers what has ended

// leaderJob is a job as its owner describes it.
type leaderJob struct {
	spec      *meshpb.JobSummary
	id        string
	ledger    *leaderLedger
	team      *teamState
	prio      protocol.Priority
	image     *image
	only      string // the one type that its tasks fit on, or none
	waiting   int
	located   int  // absolute, by the owner
	offered   int  // in offers that are not answered yet
	listed    int  // live copies that machines list, or were sent
	used      int  // how many its team's use holds for it
	ending    bool // its user wants it cancelled: nothing is started, what runs is stopped
	closed    bool
	omitted   bool // closed only because its ledger's owner did not list it when it joined
	closedAt  time.Duration
	begun     bool // a task of it was located
	first     bool // this leader has sent a start of it
	owed      int  // starts on their way that it gets only because it waited for too long
	stops     int  // how often a task of it made room for others
	rank      rank
	errorsOn  map[string]bool
	succeeded bool
}

// unserved is how many tasks wait and are not on offer.
func (j *leaderJob) unserved() int {
	if j.closed || j.ending || j.team == nil || j.ledger.from == nil {
		return 0
	}
	return max(0, j.waiting-j.offered)
}

// leaderLedger is a ledger and the member that answers for it now.
type leaderLedger struct {
	name     string
	number   uint32 // in the lists that are passed on, from 1
	from     *peer  // nil while nobody has joined for it; see setHolder
	link     Link
	stamp    uint64
	joinedAt time.Duration
	settled  bool
	clean    bool // and its owner was told that nothing else is left of it, see settleClean
	counted  bool // its unfinished jobs are known, from its owner or by reading
	reads    int  // how often they were asked for
	jobs     map[string]*leaderJob
	arriving map[string]*meshpb.JobSummary
}

// teamState is a team with what it uses: what its owners have located, what is
// on offer, and what is left of jobs that are over. It is kept up to date with
// every change, see recount.
type teamState struct {
	cfg  *settings.Team
	cpus float64
	gpus float64
	// stopping is the part of cpus that was told to stop.
	stopping float64
}

// share is how much of its guarantee a team uses; the lowest is served first.
func (t *teamState) share() float64 {
	s := t.cpus / math.Max(t.cfg.CPUs, 1)
	if t.cfg.GPUs > 0 {
		s = math.Max(s, t.gpus/t.cfg.GPUs)
	}
	return s
}

// recount brings what a job's team uses up to date after a change of the job.
func (l *leader) recount(j *leaderJob) {
	n := j.located + j.offered
	if j.closed {
		n = j.listed
	}
	if d := float64(n - j.used); d != 0 && j.team != nil && j.spec != nil {
		j.team.cpus += d * j.spec.Cpus
		j.team.gpus += d * j.spec.Gpus
	}
	j.used = n
}

// recountAll adds every team's use up anew, so that rounding errors of many
// small changes cannot gather.
func (l *leader) recountAll() {
	for _, t := range l.teams {
		t.cpus, t.gpus = 0, 0
	}
	for _, j := range l.jobs {
		if j.team != nil && j.spec != nil {
			j.team.cpus += float64(j.used) * j.spec.Cpus
			j.team.gpus += float64(j.used) * j.spec.Gpus
		}
	}
	l.unaccounted = room{}
	for m := range l.machines.all {
		l.unaccounted.cpus += m.unaccounted.cpus
		l.unaccounted.gpus += m.unaccounted.gpus
	}
}

// countLedger reads the unfinished jobs of a ledger that nobody has joined
// for yet: all their tasks may be running and count against their teams.
func (l *leader) countLedger(g *leaderLedger) {
	g.reads++
	l.c.store.UnfinishedJobs(g.name, func(jobs []storage.RecoveredJob, revision uint64, ok bool) {
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
			l.putJob(g, &meshpb.JobSummary{Job: s.ID, Team: s.Team, Cpus: s.CPUs, Gpus: s.GPUs, MemoryGb: s.MemoryGB,
				Priority: uint32(s.Priority), Class: s.Class, Assigned: uint32(s.Tasks), HasSpec: true})
		}
		g.counted = true
		l.c.log.Info().Str("ledger", g.name).Int("jobs", len(jobs)).Uint64("revision", revision).Int("reads", g.reads).
			Int64("after_ms", (l.c.now() - l.since).Milliseconds()).Msg("unfinished jobs read")
	})
}

func (l *leader) putJob(g *leaderLedger, d *meshpb.JobSummary) {
	j := l.jobs[d.Job]
	if j == nil {
		if !d.HasSpec || d.Ended {
			if d.Ended {
				l.jobs[d.Job] = &leaderJob{id: d.Job, ledger: g, closed: true, closedAt: l.c.now(), team: l.teams[d.Team]}
			}
			return
		}
		j = &leaderJob{id: d.Job, errorsOn: make(map[string]bool)}
		l.jobs[d.Job] = j
	}
	j.ledger = g
	if j.omitted && d.HasSpec && !d.Ended {
		// It was being created: this leader had read its record already when the
		// owner, which had no answer yet, joined. Closed for good it never ran.
		j.closed, j.omitted = false, false
	}
	if d.HasSpec && !j.closed {
		told := j.spec != nil && j.spec.SubmittedMs > 0
		l.describe(j, d)
		if !told && d.SubmittedMs > 0 {
			l.forecast.note(j, l.c.now())
		}
	}
	if j.closed {
		return // it stays over, whatever a late message says
	}
	g.jobs[d.Job] = j
	l.setNumbers(j, d)
	if d.Ended {
		l.closeJob(j)
	}
}

// describe takes a job's description.
func (l *leader) describe(j *leaderJob, d *meshpb.JobSummary) {
	used := j.used
	if j.spec != nil && j.team != nil { // what is counted for it was of the old size
		j.team.cpus -= float64(used) * j.spec.Cpus
		j.team.gpus -= float64(used) * j.spec.Gpus
	}
	j.used = 0
	j.spec, j.team, j.prio = d, l.teams[d.Team], protocol.Priority(d.Priority)
	j.image = l.images.of(d.Image, d.ImageGb)
	j.only = l.rent.onlyType(d)
	l.recount(j)
}

// setNumbers takes what the owner says of a job: how many tasks wait, and how
// many may be on machines.
func (l *leader) setNumbers(j *leaderJob, d *meshpb.JobSummary) {
	if int(d.Pending) > j.waiting {
		l.demand.stale = true
	}
	j.waiting, j.located, j.ending = int(d.Pending), int(d.Assigned), d.Cancelling
	j.begun = j.begun || j.located > 0
	l.recount(j)
}

// closeJob notes that a job is over: what is left of it has to go.
func (l *leader) closeJob(j *leaderJob) {
	j.closed, j.closedAt, j.waiting = true, l.c.now(), 0
	delete(j.ledger.jobs, j.id)
	l.recount(j)
}

// onJoin takes up an owner's ledger with all its unfinished jobs.
func (l *leader) onJoin(p *peer, f *meshpb.RegisterShard) {
	if f.FencingToken != l.token {
		return
	}
	g := l.ledgers[f.Shard]
	if g == nil {
		g = l.addLedger(f.Shard)
	}
	if f.Version < g.stamp {
		return
	}
	if g.arriving == nil {
		g.arriving = make(map[string]*meshpb.JobSummary)
	}
	for _, d := range f.Jobs {
		g.arriving[d.Job] = d
	}
	if f.More {
		return
	}
	now, read := l.c.now(), g.counted
	l.cancelOffers(g)
	for id, j := range g.jobs {
		if g.arriving[id] == nil {
			l.closeJob(j)
			j.omitted = true
		}
	}
	l.setHolder(g, p)
	g.stamp, g.joinedAt, g.settled, g.clean, g.counted = f.Version, now, false, false, true
	for _, d := range g.arriving {
		l.putJob(g, d)
	}
	g.arriving = nil
	l.demand.stale = true
	p.send(&meshpb.Frame{Body: &meshpb.Frame_ShardRegistered{ShardRegistered: &meshpb.ShardRegistered{
		Shard: f.Shard, FencingToken: l.token, ClockUs: now.Microseconds(), ShardNumber: g.number}}})
	machines, unknown := l.tellAll(p)
	l.c.log.Info().Str("ledger", g.name).Str("owner", p.member).Uint64("stamp", g.stamp).Int("jobs", len(g.jobs)).
		Int("machines_told", machines).Int("unknown_tasks", unknown).Bool("jobs_read", read).Int("reads", g.reads).Msg("ledger joined")
}

func (l *leader) onDemand(p *peer, f *meshpb.JobSummaries) {
	g := l.ledgers[f.Shard]
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
		l.setHolder(g, nil)
		g.arriving = nil
		for _, j := range g.jobs {
			j.located += j.waiting
			j.waiting = 0
			l.recount(j)
		}
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

// sweepClosed forgets the jobs that were over long ago.
func (l *leader) sweepClosed(now time.Duration) {
	for id, j := range l.jobs {
		if j.closed && j.listed == 0 && j.offered == 0 && now-j.closedAt > tombstoneFor {
			delete(l.jobs, id)
		}
	}
}

// allows tells whether a job may run on a machine.
func allows(s *meshpb.JobSummary, v variant) bool {
	if (v.spot && !s.Spot) || (s.Zone != "" && s.Zone != v.zone) {
		return false
	}
	if s.AnyType {
		return true
	}
	for _, t := range s.Types {
		if t == v.typ {
			return true
		}
	}
	return false
}

// withinLimit tells whether one more task keeps its team inside its limit,
// whatever may be running that no owner accounts for.
func (l *leader) withinLimit(j *leaderJob) bool {
	t := j.team.cfg
	check := func(limit, used, unaccounted, need float64) bool {
		if limit <= 0 || need == 0 {
			return true
		}
		for _, g := range l.ledgers {
			if !g.counted {
				return false
			}
		}
		if !l.machinesKnown {
			// Machines may exist that this leader has never heard of.
			unaccounted += limit / 2
		}
		return used+unaccounted+need <= limit+1e-9
	}
	return check(t.CPUsMax, j.team.cpus, l.unaccounted.cpus, j.spec.Cpus) && check(t.GPUsMax, j.team.gpus, l.unaccounted.gpus, j.spec.Gpus)
}

// estimate learns how long the tasks of a class run, and how much the users'
// estimates say of that: a straight line through the logarithms of both. Where
// estimates are wild the line is flat, and the class's usual time counts.
type estimate struct {
	n, x, y, xx, xy float64 // decayed sums; x is the estimate, y the time it took
	took            float64 // seconds, on average
}

// noEnd stands for the run time of a service's task, which does not end by itself.
const noEnd = 24 * time.Hour

const (
	estimateDecay = 0.998 // each task that ends leaves that much of those before
	minEstimates  = 5
)

// runTime is the expected run time of a task, by what tasks of its class took.
func (l *leader) runTime(s *meshpb.JobSummary) time.Duration {
	if s.Service {
		return noEnd
	}
	e := l.est[s.Class]
	if e == nil || e.n < minEstimates || s.EstimateS <= 0 {
		return seconds(s.EstimateS)
	}
	mx, my := e.x/e.n, e.y/e.n
	slope := 1.0
	if spread := e.xx/e.n - mx*mx; spread > 1e-6 {
		slope = math.Min(1, math.Max(0, (e.xy/e.n-mx*my)/spread))
	}
	return seconds(math.Exp(my + slope*(math.Log(s.EstimateS)-mx)))
}

// usualTime is how long a task of a class runs on average, or what is expected
// of the given job while that is not known.
func (l *leader) usualTime(s *meshpb.JobSummary) time.Duration {
	if s.Service {
		return noEnd
	}
	if e := l.est[s.Class]; e != nil && e.n >= minEstimates {
		return seconds(e.took / e.n)
	}
	return l.runTime(s)
}

func (l *leader) learn(s *meshpb.JobSummary, took time.Duration) {
	if s.EstimateS <= 0 || took <= 0 {
		return
	}
	e := l.est[s.Class]
	if e == nil {
		e = &estimate{}
		l.est[s.Class] = e
	}
	x, y := math.Log(s.EstimateS), math.Log(took.Seconds())
	e.n = e.n*estimateDecay + 1
	e.x = e.x*estimateDecay + x
	e.y = e.y*estimateDecay + y
	e.xx = e.xx*estimateDecay + x*x
	e.xy = e.xy*estimateDecay + x*y
	e.took = e.took*estimateDecay + took.Seconds()
}
