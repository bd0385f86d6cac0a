package coordination

import (
	"math"
	"sort"
	"time"

	"github.com/cobaltvale/cobaltvale/internal/protocol"
	"github.com/cobaltvale/cobaltvale/internal/protocol/meshpb"
)

const (
	maxMachines    = 20000
	almostDone     = 3 * time.Second // a task this close to its end is not stopped for another
	keptFor        = 3 * time.Minute // how long a type stays reserved for the jobs that need it
	sickErrors     = 3
	estimateWeight = 0.2
)

// room is what a machine has free.
type room struct{ cpus, gpus, memory float64 }

func (r room) fits(s *meshpb.JobDemand) bool {
	const slack = 1e-9
	return s.Cpus <= r.cpus+slack && s.Gpus <= r.gpus+slack && s.MemoryGb <= r.memory+slack
}

func (r *room) take(s *meshpb.JobDemand) {
	r.cpus -= s.Cpus
	r.gpus -= s.Gpus
	r.memory -= s.MemoryGb
}

// free is the room that a machine's reports and the starts on their way to it leave.
func (l *leader) free(m *machine) room {
	t := l.c.fleet.types[m.typ]
	if t == nil {
		return room{}
	}
	r := room{t.CPUs, t.GPUs, t.MemoryGB}
	for i := range m.tasks {
		p := &m.tasks[i]
		if p.state == protocol.TaskExited {
			continue
		}
		if p.job == nil || p.job.spec == nil {
			return room{} // a task of unknown size
		}
		r.cpus -= p.cpus
		r.gpus -= p.gpus
		r.memory -= p.memory
	}
	for i := range m.sent {
		r.cpus -= m.sent[i].cpus
		r.gpus -= m.sent[i].gpus
		r.memory -= m.sent[i].memory
	}
	return r
}

// usable tells whether a machine may get starts at all.
func (l *leader) usable(m *machine, now time.Duration) bool {
	return m.reported && m.record != "" && !m.gone && !m.leaving && !m.sick && m.noticeAt == 0 && now-m.heard <= l.c.silenceAfter()
}

// allows tells whether a job may run on a machine.
func allows(s *meshpb.JobDemand, typ, zone string, spot bool) bool {
	if (spot && !s.Spot) || (s.Zone != "" && s.Zone != zone) {
		return false
	}
	if s.AnyType {
		return true
	}
	for _, t := range s.Types {
		if t == typ {
			return true
		}
	}
	return false
}

// countTeams adds up what every team uses: what its owners have located, what
// is on offer, and all that may be running unseen.
func (l *leader) countTeams() {
	for _, t := range l.teams {
		t.cpus, t.gpus = 0, 0
	}
	for _, j := range l.jobs {
		if j.team != nil && j.spec != nil {
			n := float64(j.located + j.offered)
			j.team.cpus += n * j.spec.Cpus
			j.team.gpus += n * j.spec.Gpus
		}
	}
}

// unseen is how much may run that no owner accounts for: copies of unknown
// jobs, and whatever is on machines that have not reported to this leader.
func (l *leader) unseen(now time.Duration) (cpus, gpus float64, blocked bool) {
	span := l.c.leaseSpan()
	for _, g := range l.ledgers {
		if !g.counted {
			return 0, 0, true
		}
	}
	for _, m := range l.machines {
		if m.gone || now-max(m.heard, l.since) > span {
			continue
		}
		t := l.c.fleet.types[m.typ]
		if t == nil {
			continue
		}
		dark := m.currentAt == 0 && m.record != ""
		for i := range m.tasks {
			dark = dark || (m.tasks[i].job == nil && m.tasks[i].state != protocol.TaskExited)
		}
		if dark {
			cpus += t.CPUs
			gpus += t.GPUs
		}
	}
	return cpus, gpus, false
}

// withinLimit tells whether one more task keeps its team inside its limit.
func (l *leader) withinLimit(j *leaderJob, unseenCPUs, unseenGPUs float64, blocked bool) bool {
	t := j.team.cfg
	check := func(limit, used, unseen, need float64) bool {
		if limit <= 0 || need == 0 {
			return true
		}
		if blocked {
			return false
		}
		if !l.roster {
			// Machines may exist that this leader has never heard of.
			unseen += limit / 2
		}
		return used+unseen+need <= limit+1e-9
	}
	return check(t.CPUsMax, j.team.cpus, unseenCPUs, j.spec.Cpus) && check(t.GPUsMax, j.team.gpus, unseenGPUs, j.spec.Gpus)
}

// share is how much of its guarantee a team uses; the lowest is served first.
func (t *teamState) share() float64 {
	s := t.cpus / math.Max(t.cfg.CPUs, 1)
	if t.cfg.GPUs > 0 {
		s = math.Max(s, t.gpus/t.cfg.GPUs)
	}
	return s
}

// rank orders waiting jobs. Urgent work of any team comes first: it could
// stop whatever else is started in its place. Then teams take turns by
// shares; within a team come priority and the latest start that still meets
// the deadline, with jobs that cannot meet it any more behind those that can.
type rank struct {
	urgent int
	share  float64
	prio   protocol.Priority
	late   bool
	start  float64
}

func (a rank) before(b rank) bool {
	switch {
	case a.urgent != b.urgent:
		return a.urgent > b.urgent
	case a.urgent > 0 && a.late != b.late:
		return b.late
	case a.share != b.share:
		return a.share < b.share
	case a.prio != b.prio:
		return a.prio > b.prio
	case a.late != b.late:
		return b.late
	}
	return a.start < b.start
}

func (l *leader) rankOf(j *leaderJob, wallMs int64) rank {
	r := rank{share: j.team.share(), prio: j.prio}
	if j.prio >= protocol.PriorityHigh {
		r.urgent = int(j.prio)
	}
	need := l.runTime(j.spec).Seconds()
	if j.spec.DeadlineMs > 0 {
		r.start = float64(j.spec.DeadlineMs)/1000 - need
		r.late = r.start < float64(wallMs)/1000-2
	} else {
		r.start = float64(j.spec.SubmittedMs)/1000 + 3600
	}
	return r
}

// estimate learns how far the users' estimates of a class are off.
type estimate struct {
	ratio float64
	n     int
}

// runTime is the expected run time of a task, corrected by what tasks of its
// class took.
func (l *leader) runTime(s *meshpb.JobDemand) time.Duration {
	f := 1.0
	if e := l.est[s.Class]; e != nil && e.n >= 5 {
		f = e.ratio
	}
	return seconds(s.EstimateS * f)
}

func (l *leader) learn(s *meshpb.JobDemand, took time.Duration) {
	if s.EstimateS <= 0 {
		return
	}
	ratio := math.Min(4, math.Max(0.25, took.Seconds()/s.EstimateS))
	e := l.est[s.Class]
	if e == nil {
		e = &estimate{ratio: ratio}
		l.est[s.Class] = e
	}
	e.n++
	w := math.Max(estimateWeight/4, 1/float64(e.n))
	e.ratio += (ratio - e.ratio) * w
}

// noteEnd draws conclusions from a task that has just ended on a machine.
func (l *leader) noteEnd(m *machine, p, old *placed, now time.Duration) {
	if p.job == nil {
		return
	}
	switch p.why {
	case protocol.WhyDone:
		m.errors = nil
		p.job.succeeded = true
		p.job.errorsOn = nil
		if old.state == protocol.TaskRunning && p.job.spec != nil {
			l.learn(p.job.spec, now-old.since)
		}
	case protocol.WhyError:
		if m.errors == nil {
			m.errors = make(map[string]int)
		}
		m.errors[p.key.job]++
		if p.job.errorsOn == nil {
			p.job.errorsOn = make(map[string]bool)
		}
		p.job.errorsOn[m.name] = true
		l.judgeSick(m)
	}
}

// judgeSick sets a machine aside that fails the tasks of several jobs, or
// again and again those of one that does well elsewhere. A job that fails
// everywhere does not count against any machine.
func (l *leader) judgeSick(m *machine) {
	jobs, errs := 0, 0
	for id, n := range m.errors {
		if j := l.jobs[id]; j != nil && !j.succeeded && len(j.errorsOn) >= 3 {
			continue
		}
		jobs++
		if j := l.jobs[id]; j != nil && j.succeeded {
			errs += n
		}
	}
	if !m.sick && (jobs >= 2 || errs >= sickErrors) {
		m.sick = true
		l.c.log.Info().Str("machine", m.name).Int("errors", errs).Msg("machine fails its tasks, set aside")
	}
}

// failsHere tells whether a job has failed on a machine and should rather be
// tried on others, of which there are enough.
func (l *leader) failsHere(j *leaderJob, m *machine) bool {
	return j.errorsOn[m.name] && len(j.errorsOn) < 3 && 2*len(j.errorsOn) <= len(l.machines)
}

// keptForOthers tells whether machines of a type are kept for jobs that can
// run nowhere else, while this job can.
func (l *leader) keptForOthers(s *meshpb.JobDemand, typ string) bool {
	if !l.rent.scarce(typ, l.c.now()) {
		return false
	}
	other := false
	for name, t := range l.c.fleet.types {
		if name == typ || s.Cpus > t.CPUs || s.Gpus > t.GPUs || s.MemoryGb > t.MemoryGB {
			continue
		}
		if s.AnyType || allows(s, name, s.Zone, s.Spot) {
			other = true
		}
	}
	return other
}

// othersWait tells whether a task waits that can run on no other type.
func (l *leader) othersWait(typ string) bool {
	for _, j := range l.jobs {
		if !j.closed && j.spec != nil && j.waiting > 0 && l.rent.onlyType(j.spec) == typ {
			return true
		}
	}
	return false
}

// cheaperRoom tells whether spot machines that have a job's image have room
// for all of its waiting tasks, so that an empty ordinary machine can go back.
func (l *leader) cheaperRoom(j *leaderJob, m *machine, now time.Duration) bool {
	n := j.waiting - j.offered
	for _, o := range l.machines {
		if o == m || !o.spot || !l.usable(o, now) || o.images[j.spec.Image] == nil || !allows(j.spec, o.typ, o.zone, o.spot) {
			continue
		}
		for free := l.free(o); n > 0 && free.fits(j.spec); n-- {
			free.take(j.spec)
		}
		if n <= 0 {
			return true
		}
	}
	return false
}

// makeOffers offers a machine's free room to the owners of waiting tasks.
func (l *leader) makeOffers(m *machine, a *answer, now time.Duration) {
	if !l.usable(m, now) {
		return
	}
	free := l.free(m)
	if free.cpus <= 0 || free.memory <= 0 {
		return
	}
	l.countTeams()
	l.refreshImages(now)
	uc, ug, blocked := l.unseen(now)
	wall := l.c.env.Wall().UnixMilli()
	byLink := make(map[Link]*offer)
	dear := !m.spot && m.empty()
	refused := make(map[*leaderJob]bool)
	for range l.c.tune.StartsPerReply {
		var best *leaderJob
		var bestRank rank
		for _, j := range l.jobs {
			if j.closed || j.waiting-j.offered <= 0 || j.team == nil || j.ledger.from == nil || refused[j] {
				continue
			}
			if !free.fits(j.spec) || !allows(j.spec, m.typ, m.zone, m.spot) || l.failsHere(j, m) {
				refused[j] = true
				continue
			}
			if !l.withinLimit(j, uc, ug, blocked) || (l.keptForOthers(j.spec, m.typ) && l.othersWait(m.typ)) {
				refused[j] = true
				continue
			}
			if dear && j.prio < protocol.PriorityHigh && l.cheaperRoom(j, m, now) {
				refused[j] = true
				continue
			}
			if m.images[j.spec.Image] == nil && !l.worthFetching(j, m) {
				refused[j] = true
				continue
			}
			if r := l.rankOf(j, wall); best == nil || r.before(bestRank) || (r == bestRank && j.id < best.id) {
				best, bestRank = j, r
			}
		}
		if best == nil {
			break
		}
		free.take(best.spec)
		best.offered++
		best.team.cpus += best.spec.Cpus
		best.team.gpus += best.spec.Gpus
		o := byLink[best.ledger.link]
		if o == nil {
			l.offerSeq++
			o = &offer{id: l.offerSeq, ans: a, link: best.ledger.link, items: make(map[*leaderJob]int)}
			byLink[best.ledger.link] = o
		}
		o.items[best]++
	}
	for link, o := range byLink {
		l.offers[o.id] = o
		a.open[o.id] = o
		f := &meshpb.Offer{Id: o.id, Machine: m.name, Session: a.session, Seq: a.seq, Zone: m.zone}
		for j, n := range o.items {
			f.Items = append(f.Items, &meshpb.OfferItem{Job: j.id, Count: uint32(n)})
		}
		link.Send(&meshpb.Frame{Body: &meshpb.Frame_Offer{Offer: f}})
	}
}

// preempt stops tasks of lower priority on a reporting machine, the youngest
// first, while urgent tasks wait that no free room will take.
func (l *leader) preempt(m *machine, a *answer, now time.Duration) {
	if !l.usable(m, now) {
		l.drain(m, a, now)
		return
	}
	if short := l.urgentShort(m, now); short > 0 {
		l.makeRoom(m, a, short, now, func(t *placed) bool { return t.job.prio < protocol.PriorityHigh })
		return
	}
	if short := l.guaranteeShort(m, now); short > 0 {
		// A team gives back what it has borrowed, and no more.
		l.makeRoom(m, a, short, now, func(t *placed) bool {
			team := t.job.team
			return team != nil && team.cpus-team.stopping-t.cpus >= team.cfg.CPUs
		})
	}
}

// makeRoom stops tasks on a reporting machine, those first that lose least,
// and none that costs more than what has to be stopped anywhere.
func (l *leader) makeRoom(m *machine, a *answer, short float64, now time.Duration, may func(*placed) bool) {
	limit := l.victimLimit(short, now, may)
	for short > 0 {
		var victim *placed
		cost := limit
		for i := range m.tasks {
			if t := &m.tasks[i]; l.stoppable(m, t, now) && may(t) {
				if c := l.stopCost(m, t, now); c <= cost {
					victim, cost = t, c
				}
			}
		}
		if victim == nil {
			return
		}
		victim.stopped = true
		if victim.job.team != nil {
			victim.job.team.stopping += victim.cpus
		}
		short -= victim.cpus
		l.stopTask(m, a, victim)
	}
}

// stoppable tells whether a task can be stopped to make room.
func (l *leader) stoppable(m *machine, t *placed, now time.Duration) bool {
	if t.stopped || t.job == nil || t.job.closed || t.job.spec == nil || m.orders[t.key] != nil {
		return false
	}
	return t.state == protocol.TaskFetching || (t.state == protocol.TaskRunning && !l.endsSoon(t, now))
}

// stopCost is the work that stopping a task loses. A fetch that another task
// on the machine waits for goes on.
func (l *leader) stopCost(m *machine, t *placed, now time.Duration) time.Duration {
	if t.state == protocol.TaskFetching {
		for i := range m.tasks {
			o := &m.tasks[i]
			if o != t && o.state == protocol.TaskFetching && !o.stopped && o.job != nil && o.job.spec != nil && o.job.spec.Image == t.job.spec.Image {
				return 0
			}
		}
	}
	return now - t.since
}

// victimLimit is what the dearest task costs that has to be stopped anywhere
// to make up for a shortage, if the cheapest are taken.
func (l *leader) victimLimit(short float64, now time.Duration, may func(*placed) bool) time.Duration {
	type victim struct {
		cost time.Duration
		cpus float64
	}
	var all []victim
	for _, m := range l.machines {
		if !l.usable(m, now) {
			continue
		}
		for i := range m.tasks {
			if t := &m.tasks[i]; l.stoppable(m, t, now) && may(t) {
				all = append(all, victim{l.stopCost(m, t, now), t.cpus})
			}
		}
	}
	sort.Slice(all, func(i, k int) bool { return all[i].cost < all[k].cost })
	for _, v := range all {
		if short -= v.cpus; short <= 0 {
			return v.cost
		}
	}
	return time.Duration(math.MaxInt64)
}

// stopTask orders a task to save if it can and to stop.
func (l *leader) stopTask(m *machine, a *answer, t *placed) {
	grace := 0.0
	if t.job.spec.CheckpointS > 0 {
		grace = t.job.spec.SaveS + 1
	}
	l.order(m, &meshpb.Order{Machine: m.name, Job: t.key.job, Task: t.key.task, Attempt: t.key.attempt, GraceS: grace})
	a.commands = append(a.commands, protocol.Command{Op: protocol.VerbStop,
		Task: protocol.TaskName(t.key.job, int(t.key.task)), Attempt: t.key.attempt, GraceS: &grace})
}

// urgentShort is how many CPUs the urgent waiting tasks that a machine could
// take lack, beyond what is free or about to be where they could go.
func (l *leader) urgentShort(m *machine, now time.Duration) float64 {
	l.refreshImages(now)
	var urgent []*leaderJob
	for _, j := range l.jobs {
		if !j.closed && j.prio >= protocol.PriorityHigh && j.waiting > j.offered && j.team != nil && j.ledger.from != nil && l.couldTake(m, j) {
			urgent = append(urgent, j)
		}
	}
	if len(urgent) == 0 {
		return 0
	}
	l.countTeams()
	uc, ug, blocked := l.unseen(now)
	need := 0.0
	for _, j := range urgent {
		if !l.withinLimit(j, uc, ug, blocked) {
			continue
		}
		n := float64(j.waiting-j.offered) * j.spec.Cpus
		if limit := j.team.cfg.CPUsMax; limit > 0 {
			n = math.Min(n, math.Max(0, limit-j.team.cpus))
		}
		need += n
	}
	for _, o := range l.machines {
		if need <= 0 {
			break
		}
		if !l.usable(o, now) {
			continue
		}
		takes := false
		for _, j := range urgent {
			takes = takes || l.couldTake(o, j)
		}
		if !takes {
			continue
		}
		need -= math.Max(0, l.free(o).cpus)
		for i := range o.tasks {
			t := &o.tasks[i]
			if t.state == protocol.TaskExited {
				continue
			}
			if t.stopped || l.endsSoon(t, now) {
				need -= t.cpus
			}
		}
	}
	return need
}

// endsSoon tells whether a task is expected to end within moments. One that
// should have ended a while ago may go on for long.
func (l *leader) endsSoon(t *placed, now time.Duration) bool {
	if t.state != protocol.TaskRunning || t.job == nil || t.job.spec == nil {
		return false
	}
	left := l.runTime(t.job.spec) - (now - t.since)
	return left < almostDone && left > -almostDone/2
}

// guaranteeShort is how many CPUs teams lack that have work waiting which this
// machine could take, use less than their guarantee, and can get no more
// machines.
func (l *leader) guaranteeShort(m *machine, now time.Duration) float64 {
	need := make(map[*teamState]float64)
	for _, j := range l.jobs {
		if !j.closed && j.waiting > j.offered && j.team != nil && j.ledger.from != nil && j.team.cfg.CPUs > 0 &&
			l.couldTake(m, j) && !l.rent.available(j.spec, now) {
			need[j.team] += float64(j.waiting-j.offered) * j.spec.Cpus
		}
	}
	if len(need) == 0 {
		return 0
	}
	l.countTeams()
	short := 0.0
	for t, n := range need {
		short += math.Max(0, math.Min(n, t.cfg.CPUs-t.cpus))
	}
	for _, t := range l.teams {
		t.stopping = 0
	}
	for _, o := range l.machines {
		if short <= 0 {
			return 0
		}
		if !l.usable(o, now) {
			continue
		}
		short -= math.Max(0, l.free(o).cpus)
		for i := range o.tasks {
			t := &o.tasks[i]
			if t.state == protocol.TaskExited {
				continue
			}
			if t.stopped && t.job != nil && t.job.team != nil {
				t.job.team.stopping += t.cpus
			}
			if t.stopped || l.endsSoon(t, now) {
				short -= t.cpus
			}
		}
	}
	return short
}

// couldTake tells whether an empty machine would be offered to a job.
func (l *leader) couldTake(m *machine, j *leaderJob) bool {
	t := l.c.fleet.types[m.typ]
	if t == nil || !allows(j.spec, m.typ, m.zone, m.spot) || l.failsHere(j, m) {
		return false
	}
	whole := room{t.CPUs, t.GPUs, t.MemoryGB}
	return whole.fits(j.spec) && !l.keptForOthers(j.spec, m.typ) &&
		(m.images[j.spec.Image] != nil || l.worthFetching(j, m))
}

// drain stops, on a machine that the cloud takes back soon, what cannot end
// in time: it may start elsewhere as soon as the machine confirms the stop,
// not only after a lease.
func (l *leader) drain(m *machine, a *answer, now time.Duration) {
	if m.noticeAt == 0 && !m.sick {
		return
	}
	for i := range m.tasks {
		t := &m.tasks[i]
		if t.stopped || t.job == nil || t.job.closed || t.job.spec == nil || t.state == protocol.TaskExited || m.orders[t.key] != nil {
			continue
		}
		left := l.runTime(t.job.spec)
		if t.state == protocol.TaskRunning {
			left -= now - t.since
		}
		if m.noticeAt > 0 && now+max(left, 0) < m.noticeAt-time.Second {
			continue
		}
		t.stopped = true
		l.stopTask(m, a, t)
	}
}
