package coordination

import (
	"math"
	"sort"
	"time"

	"github.com/cobaltvale/cobaltvale/internal/protocol"
	"github.com/cobaltvale/cobaltvale/internal/protocol/meshpb"
)

const (
	weighEvery = 300 * time.Millisecond
	almostDone = 3 * time.Second // a task this close to its end is not stopped for another
	moveBefore = 4 * time.Second // the end of a machine, a service's task is stopped there whatever comes
	saveSpare  = 1.0             // seconds that a task may take longer to save than is said
)

// shortage is how much room is lacking for what may stop other tasks, beyond
// what is free or about to be. It is worked out a few times a second; the
// reports in between share what it says.
type shortage struct {
	at             time.Duration
	urgent         float64       // CPUs for urgent tasks; by image in image.urgent
	dear           time.Duration // what the dearest task costs that has to be stopped for them
	teams          float64       // CPUs that teams lack of their guarantees
	back           time.Duration // what the dearest task costs that has to be given back
	belowGuarantee []*leaderJob  // the jobs that lack their team's guarantee
	idle           float64       // CPUs for standard tasks that find no machine; by image in image.idle
	cheap          time.Duration // what the dearest idle-time task costs that has to be stopped for them
}

// preempt stops tasks of lower priority on a reporting machine while urgent
// tasks wait that no free room will take, or of teams that use more than their
// guarantee while another lacks its own.
func (l *leader) preempt(m *machine, a *answer, now time.Duration) {
	if !l.usable(m, now) {
		l.drain(m, a, now)
		return
	}
	l.weigh(now)
	s := &l.short
	if k := l.demand.kinds[m.variant]; s.urgent > 0 && k != nil {
		for _, q := range k.images {
			if q.stops && q.image.urgent > 0 && (q.fetch || m.has(q.image)) {
				got := l.makeRoom(m, a, math.Min(q.image.urgent, s.urgent), s.dear, now, q.isLower)
				q.image.urgent -= got
				s.urgent -= got
			}
		}
		return
	}
	if s.idle > 0 {
		for i := range m.images {
			if im := m.images[i].image; im.idle > 0 {
				got := l.makeRoomFor(m, a, im.idleFor, math.Min(im.idle, s.idle), now)
				im.idle -= got
				s.idle -= got
			}
		}
	}
	if s.teams > 0 {
		for _, j := range s.belowGuarantee {
			if l.couldTake(m, j) {
				s.teams -= l.makeRoom(m, a, s.teams, s.back, now, l.isBorrowed)
				return
			}
		}
	}
}

// isLower tells whether a task may be stopped for what waits in a queue.
func (q *imageQueue) isLower(t *placed) bool { return t.job.prio < q.top }

// givesWayTo tells whether a task only runs in idle time, and so that its job
// would not be served before the one that it makes room for.
func (t *placed) givesWayTo(j *leaderJob) bool {
	return t.job.prio == protocol.PriorityBestEffort && t.job.team != nil && (t.job.team == j.team || t.job.team.share() > j.team.share())
}

// isBorrowed tells whether a task uses what its team has beyond its guarantee;
// a team gives back what it has borrowed, and no more.
func (l *leader) isBorrowed(t *placed) bool {
	team := t.job.team
	if t.job.spec.Service && t.job.prio == protocol.PriorityProduction {
		return false // a service is the last to be stopped for a guarantee
	}
	return team != nil && team.cpus-team.stopping-t.job.spec.Cpus >= team.cfg.CPUs
}

// makeRoom stops tasks on a reporting machine, those first that lose least,
// and none that costs more than what has to be stopped anywhere. It returns
// the CPUs that this frees.
func (l *leader) makeRoom(m *machine, a *answer, short float64, limit, now time.Duration, may func(*placed) bool) float64 {
	got := 0.0
	for got < short {
		var victim *placed
		cost := limit
		for i := range m.tasks {
			if t := &m.tasks[i]; l.stoppable(m, t, now) && may(t) {
				if c := stopCost(m, t, now); c <= cost {
					victim, cost = t, c
				}
			}
		}
		if victim == nil {
			break
		}
		victim.stopped = true
		victim.job.stops++
		if victim.job.team != nil {
			victim.job.team.stopping += victim.job.spec.Cpus
		}
		got += victim.job.spec.Cpus
		l.stopTask(m, a, victim)
	}
	return got
}

// makeRoomFor stops idle-time tasks on a reporting machine as far as whole tasks
// of a job find room in their place, and returns the CPUs of these.
func (l *leader) makeRoomFor(m *machine, a *answer, j *leaderJob, short float64, now time.Duration) float64 {
	free := m.free
	var idle []*placed
	for i := range m.tasks {
		t := &m.tasks[i]
		if t.known() && t.stopped && t.state != protocol.TaskExited {
			free.give(t.job.spec)
		} else if l.stoppable(m, t, now) && t.givesWayTo(j) && stopCost(m, t, now) <= l.short.cheap {
			idle = append(idle, t)
		}
	}
	sort.SliceStable(idle, func(i, k int) bool { return stopCost(m, idle[i], now) < stopCost(m, idle[k], now) })
	got := 0.0
	for got < short {
		room, n := free, 0
		for ; n < len(idle) && !room.fits(j.spec); n++ {
			room.give(idle[n].job.spec)
		}
		if !room.fits(j.spec) {
			break
		}
		for _, t := range idle[:n] {
			t.stopped = true
			t.job.stops++
			l.stopTask(m, a, t)
		}
		idle, free = idle[n:], room
		free.take(j.spec)
		got += j.spec.Cpus
	}
	return got
}

// stoppable tells whether a task can be stopped to make room. A task that was
// started only because its job had waited for too long is left alone, and the
// first of an idle-time job, so that it has begun; and so is a job whose tasks
// made room as often as it has tasks, unless they save what they did: they would
// give way for ever.
func (l *leader) stoppable(m *machine, t *placed, now time.Duration) bool {
	if t.stopped || !t.known() || t.job.closed || m.orders[t.key] != nil || t.owed || (t.job.stops >= int(t.job.spec.Tasks) && t.job.spec.CheckpointIntervalS <= 0) {
		return false
	}
	return t.state == protocol.TaskFetching || (t.state == protocol.TaskRunning && !l.endsSoon(t, now))
}

// stopCost is the work that stopping a task loses. A fetch that another task
// on the machine waits for goes on.
func stopCost(m *machine, t *placed, now time.Duration) time.Duration {
	if t.state == protocol.TaskFetching {
		for i := range m.tasks {
			o := &m.tasks[i]
			if o != t && o.state == protocol.TaskFetching && !o.stopped && o.known() && o.job.image == t.job.image {
				return 0
			}
		}
	}
	if lost := now - t.since; t.job.spec.CheckpointIntervalS <= 0 {
		return lost
	} else {
		return min(lost, seconds(t.job.spec.CheckpointDurationS+1)) // it saves first
	}
}

// stopTask orders a task to save if it can and to stop.
func (l *leader) stopTask(m *machine, a *answer, t *placed) {
	grace := 0.0
	if t.job.spec.CheckpointIntervalS > 0 {
		grace = t.job.spec.CheckpointDurationS + saveSpare
	}
	l.order(m, &meshpb.MachineCommand{MachineIndex: m.index, Job: t.key.job, Task: t.key.task, Replica: t.key.attempt, GraceS: grace})
	a.commands = append(a.commands, protocol.Command{Op: protocol.CommandStop,
		Task: protocol.TaskName(t.key.job, int(t.key.task)), Replica: t.key.attempt, GraceS: &grace})
}

// weigh works the shortage out anew if it is old.
func (l *leader) weigh(now time.Duration) {
	s := &l.short
	if now-s.at < weighEvery {
		return
	}
	l.arrange(now)
	*s = shortage{at: now}
	l.weighUrgent(now)
	if s.urgent <= 0 {
		l.weighIdle(now)
		l.weighTeams(now)
	}
}

// weighIdle finds the standard tasks that wait while on machines that have their
// image what was only to run in idle time goes on. They get its place if that
// loses less than a new machine would take to come, or if none is to be had.
func (l *leader) weighIdle(now time.Duration) {
	s := &l.short
	for _, im := range l.images.byName {
		im.idle, im.idleFor = 0, nil
	}
	for _, j := range l.demand.jobs {
		if j.prio != protocol.PriorityStandard || j.unserved() == 0 || !l.withinLimit(j) {
			continue
		}
		if j.image.idleFor == nil {
			j.image.idleFor = j
		}
		n := float64(j.unserved()) * j.spec.Cpus
		j.image.idle += n
		s.idle += n
		if l.rent.available(j, now) {
			s.cheap = max(s.cheap, l.rent.lead(j))
		} else {
			s.cheap = time.Duration(math.MaxInt64)
		}
	}
}

// weighUrgent finds the urgent tasks that lack room where they could go: on
// machines that have their image, or on any if they would rather have it
// fetched than wait.
func (l *leader) weighUrgent(now time.Duration) {
	for _, im := range l.images.byName {
		im.urgent = 0
	}
	s := &l.short
	s.urgent = l.sumUrgent()
	if s.urgent <= 0 {
		return
	}
	var victims []victim
	for m := range l.machines.all {
		if !l.usable(m, now) {
			continue
		}
		if could := l.serveUrgent(m, now); could != nil {
			victims = l.addVictims(victims, m, now, could.isLower)
		}
	}
	s.dear = limitOf(victims, s.urgent)
}

// sumUrgent adds up by image the CPUs of the urgent tasks that wait, as far as the
// limits of their teams allow them to run.
func (l *leader) sumUrgent() float64 {
	total := 0.0
	room := make(map[*teamState]float64)
	for _, j := range l.demand.jobs {
		if j.prio < protocol.PriorityUrgent || j.unserved() == 0 || !l.withinLimit(j) {
			continue
		}
		n := float64(j.unserved()) * j.spec.Cpus
		if limit := j.team.cfg.CPUsMax; limit > 0 {
			if _, ok := room[j.team]; !ok {
				room[j.team] = limit - j.team.cpus
			}
			n = math.Min(n, math.Max(0, room[j.team]))
			room[j.team] -= n
		}
		j.image.urgent += n
		total += n
	}
	return total
}

// serveUrgent takes off the urgent work what a machine has room for or soon will
// have, and returns the highest queue that may stop others there, if any may.
func (l *leader) serveUrgent(m *machine, now time.Duration) *imageQueue {
	k := l.demand.kinds[m.variant]
	if k == nil {
		return nil
	}
	frees := math.Max(0, m.free.cpus)
	for i := range m.tasks {
		t := &m.tasks[i]
		if t.state != protocol.TaskExited && t.known() && (t.stopped || l.endsSoon(t, now)) {
			frees += t.job.spec.Cpus
		}
	}
	var could *imageQueue
	serve := func(im *image) {
		q := k.byImage[im]
		if im.urgent <= 0 || q == nil || (m.standby && q.top < protocol.PriorityProduction) {
			return
		}
		if q.stops && (could == nil || q.top > could.top) {
			could = q
		}
		n := math.Min(frees, im.urgent)
		im.urgent -= n
		l.short.urgent -= n
		frees -= n
	}
	for i := range m.images {
		serve(m.images[i].image)
	}
	for _, q := range k.images {
		if q.fetch {
			serve(q.image)
		}
	}
	return could
}

// victim is a task that could be stopped, and what that would lose.
type victim struct {
	cost time.Duration
	cpus float64
}

func (l *leader) addVictims(all []victim, m *machine, now time.Duration, may func(*placed) bool) []victim {
	for i := range m.tasks {
		if t := &m.tasks[i]; l.stoppable(m, t, now) && may(t) {
			all = append(all, victim{stopCost(m, t, now), t.job.spec.Cpus})
		}
	}
	return all
}

// limitOf is what the dearest task costs that has to be stopped anywhere to
// make up for a shortage, if the cheapest are taken.
func limitOf(all []victim, short float64) time.Duration {
	if short <= 0 {
		return 0
	}
	sort.Slice(all, func(i, k int) bool { return all[i].cost < all[k].cost })
	for _, v := range all {
		if short -= v.cpus; short <= 0 {
			return v.cost
		}
	}
	return time.Duration(math.MaxInt64)
}

// endsSoon tells whether a task is expected to end within moments. One that
// should have ended a while ago may go on for long.
func (l *leader) endsSoon(t *placed, now time.Duration) bool {
	if t.state != protocol.TaskRunning || !t.known() {
		return false
	}
	left := l.runTime(t.job.spec) - (now - t.since)
	return left < almostDone && left > -almostDone/2
}

// weighTeams finds how many CPUs teams lack that have work waiting, use less
// than their guarantee, and can get no more machines.
func (l *leader) weighTeams(now time.Duration) {
	s := &l.short
	need := make(map[*teamState]float64)
	for _, j := range l.demand.jobs {
		if j.unserved() > 0 && j.team.cfg.CPUs > j.team.cpus && !l.rent.available(j, now) {
			need[j.team] += float64(j.unserved()) * j.spec.Cpus
			s.belowGuarantee = append(s.belowGuarantee, j)
		}
	}
	for t, n := range need {
		s.teams += math.Max(0, math.Min(n, t.cfg.CPUs-t.cpus))
	}
	if s.teams <= 0 {
		return
	}
	for _, t := range l.teams {
		t.stopping = 0
	}
	var victims []victim
	for m := range l.machines.all {
		if !l.usable(m, now) {
			continue
		}
		s.teams -= math.Max(0, m.free.cpus)
		for i := range m.tasks {
			t := &m.tasks[i]
			if t.state == protocol.TaskExited || !t.known() {
				continue
			}
			if t.stopped && t.job.team != nil {
				t.job.team.stopping += t.job.spec.Cpus
			}
			if t.stopped || l.endsSoon(t, now) {
				s.teams -= t.job.spec.Cpus
			}
		}
	}
	if s.teams <= 0 {
		return
	}
	for m := range l.machines.all {
		if l.usable(m, now) {
			victims = l.addVictims(victims, m, now, l.isBorrowed)
		}
	}
	s.back = limitOf(victims, s.teams)
}

// couldTake tells whether an empty machine would be offered to a job.
func (l *leader) couldTake(m *machine, j *leaderJob) bool {
	t := l.c.fleet.types[m.typ]
	if t == nil || !allows(j.spec, m.variant) || l.failsHere(j, m) || l.keptForOthers(j, m.typ) {
		return false
	}
	return capacityOf(t).fits(j.spec) && (m.has(j.image) || l.worthFetching(j, m))
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
		if t.stopped || !t.known() || t.job.closed || t.state == protocol.TaskExited || m.orders[t.key] != nil {
			continue
		}
		left := l.runTime(t.job.spec)
		if t.state == protocol.TaskRunning {
			left -= now - t.since
		}
		if m.noticeAt > 0 && now+max(left, 0) < m.noticeAt-time.Second {
			continue
		}
		if t.job.spec.Service && (t.job.waiting > 0 || m.stops(t.job) || !l.standby.takes(t.job, m, now)) && (m.noticeAt == 0 || now < m.noticeAt-moveBefore) {
			continue // it moves once there is room, and one replica after another
		}
		t.stopped = true
		l.stopTask(m, a, t)
	}
}

// stops tells whether a machine still lists a task of a job that was told to stop:
// one that has ended is listed until its owner knows, and has it start elsewhere.
func (m *machine) stops(j *leaderJob) bool {
	for i := range m.tasks {
		if t := &m.tasks[i]; t.job == j && t.stopped {
			return true
		}
	}
	return false
}
