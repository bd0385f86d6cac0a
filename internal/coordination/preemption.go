package coordination

import (
	"math"
	"sort"
	"time"

	"github.com/cobaltvale/cobaltvale/internal/protocol"
	"github.com/cobaltvale/cobaltvale/internal/protocol/meshpb"
)

const (
	shortageInterval  = 300 * time.Millisecond
	nearlyFinished    = 3 * time.Second // a task this close to its end is not stopped for another
	forcedDrainLead   = 4 * time.Second // the end of a machine, a service's task is stopped there whatever comes
	checkpointMarginS = 1.0             // seconds that a task may take longer to save than is said
)

// shortage is how much room is lacking for what may stop other tasks, beyond
// what is free or about to be. It is worked out a few times a second; the
// reports in between share what it says.
type shortage struct {
	computedAt         time.Duration
	urgentCPUs         float64       // CPUs for urgent tasks; by image in image.urgent
	urgentCostLimit    time.Duration // what the dearest task costs that has to be stopped for them
	guaranteeCPUs      float64       // CPUs that teams lack of their guarantees
	guaranteeCostLimit time.Duration // what the dearest task costs that has to be given back
	belowGuarantee     []*trackedJob // the jobs that lack their team's guarantee
	standardCPUs       float64       // CPUs for standard tasks that find no machine; by image in image.idle
	idleCostLimit      time.Duration // what the dearest idle-time task costs that has to be stopped for them
}

// preempt stops tasks of lower priority on a reporting machine while urgent
// tasks wait that no free room will take, or of teams that use more than their
// guarantee while another lacks its own.
func (l *leader) preempt(m *machine, a *pendingResponse, now time.Duration) {
	if !l.schedulable(m, now) {
		l.drain(m, a, now)
		return
	}
	l.updateShortage(now)
	s := &l.shortage
	if k := l.pendingQueue.byKind[m.machineKind]; s.urgentCPUs > 0 && k != nil {
		for _, q := range k.images {
			if q.mayPreempt && q.image.urgentCPUs > 0 && (q.mayFetch || m.hasImage(q.image)) {
				got := l.preemptTasks(m, a, math.Min(q.image.urgentCPUs, s.urgentCPUs), s.urgentCostLimit, now, q.outranks)
				q.image.urgentCPUs -= got
				s.urgentCPUs -= got
			}
		}
		return
	}
	if s.standardCPUs > 0 {
		for i := range m.images {
			if im := m.images[i].image; im.standardCPUs > 0 {
				got := l.preemptIdleTasks(m, a, im.standardJob, math.Min(im.standardCPUs, s.standardCPUs), now)
				im.standardCPUs -= got
				s.standardCPUs -= got
			}
		}
	}
	if s.guaranteeCPUs > 0 {
		for _, j := range s.belowGuarantee {
			if l.placement.suitsWhenEmpty(m, j, now) {
				s.guaranteeCPUs -= l.preemptTasks(m, a, s.guaranteeCPUs, s.guaranteeCostLimit, now, l.exceedsGuarantee)
				return
			}
		}
	}
}

// outranks tells whether a task may be stopped for what waits in a queue.
func (q *imageQueue) outranks(t *replicaOnMachine) bool { return t.job.priority < q.highestPriority }

// yieldsTo tells whether a task only runs in idle time, and so that its job
// would not be served before the one that it makes room for.
func (t *replicaOnMachine) yieldsTo(j *trackedJob) bool {
	return t.job.priority == protocol.PriorityBestEffort && t.job.team != nil && (t.job.team == j.team || t.job.team.dominantShare() > j.team.dominantShare())
}

// exceedsGuarantee tells whether a task uses what its team has beyond its guarantee;
// a team gives back what it has borrowed, and no more.
func (l *leader) exceedsGuarantee(t *replicaOnMachine) bool {
	team := t.job.team
	if t.job.spec.Service && t.job.priority == protocol.PriorityProduction {
		return false // a service is the last to be stopped for a guarantee
	}
	return team != nil && team.cpus-team.stopping-t.job.spec.Cpus >= team.cfg.CPUs
}

// preemptTasks stops tasks on a reporting machine, those first that lose least,
// and none that costs more than what has to be stopped anywhere. It returns
// the CPUs that this frees.
func (l *leader) preemptTasks(m *machine, a *pendingResponse, short float64, limit, now time.Duration, may func(*replicaOnMachine) bool) float64 {
	got := 0.0
	for got < short {
		var victim *replicaOnMachine
		cost := limit
		for i := range m.tasks {
			if t := &m.tasks[i]; l.preemptible(m, t, now) && may(t) {
				if c := preemptionCost(m, t, now); c <= cost {
					victim, cost = t, c
				}
			}
		}
		if victim == nil {
			break
		}
		victim.stopRequested = true
		victim.job.preemptions++
		if victim.job.team != nil {
			victim.job.team.stopping += victim.job.spec.Cpus
		}
		got += victim.job.spec.Cpus
		l.stopTask(m, a, victim)
	}
	return got
}

// preemptIdleTasks stops idle-time tasks on a reporting machine as far as whole tasks
// of a job find room in their place, and returns the CPUs of these.
func (l *leader) preemptIdleTasks(m *machine, a *pendingResponse, j *trackedJob, short float64, now time.Duration) float64 {
	free := m.free
	var idle []*replicaOnMachine
	for i := range m.tasks {
		t := &m.tasks[i]
		if t.sizeKnown() && t.stopRequested && t.state != protocol.TaskExited {
			free.add(t.job.spec)
		} else if l.preemptible(m, t, now) && t.yieldsTo(j) && preemptionCost(m, t, now) <= l.shortage.idleCostLimit {
			idle = append(idle, t)
		}
	}
	sort.SliceStable(idle, func(i, k int) bool { return preemptionCost(m, idle[i], now) < preemptionCost(m, idle[k], now) })
	got := 0.0
	for got < short {
		room, n := free, 0
		for ; n < len(idle) && !room.fits(j.spec); n++ {
			room.add(idle[n].job.spec)
		}
		if !room.fits(j.spec) {
			break
		}
		for _, t := range idle[:n] {
			t.stopRequested = true
			t.job.preemptions++
			l.stopTask(m, a, t)
		}
		idle, free = idle[n:], room
		free.subtract(j.spec)
		got += j.spec.Cpus
	}
	return got
}

// preemptible tells whether a task can be stopped to make room. A task that was
// started only because its job had waited for too long is left alone, and the
// first of an idle-time job, so that it has begun; and so is a job whose tasks
// made room as often as it has tasks, unless they save what they did: they would
// give way for ever.
func (l *leader) preemptible(m *machine, t *replicaOnMachine, now time.Duration) bool {
	if t.stopRequested || !t.sizeKnown() || t.job.ended || m.commands[t.key] != nil || t.preemptionExempt || (t.job.preemptions >= int(t.job.spec.Tasks) && t.job.spec.CheckpointIntervalS <= 0) {
		return false
	}
	return t.state == protocol.TaskFetching || (t.state == protocol.TaskRunning && !l.endsSoon(t, now))
}

// preemptionCost is the work that stopping a task loses. A fetch that another task
// on the machine waits for goes on.
func preemptionCost(m *machine, t *replicaOnMachine, now time.Duration) time.Duration {
	if t.state == protocol.TaskFetching {
		for i := range m.tasks {
			o := &m.tasks[i]
			if o != t && o.state == protocol.TaskFetching && !o.stopRequested && o.sizeKnown() && o.job.image == t.job.image {
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
func (l *leader) stopTask(m *machine, a *pendingResponse, t *replicaOnMachine) {
	grace := 0.0
	if t.job.spec.CheckpointIntervalS > 0 {
		grace = t.job.spec.CheckpointDurationS + checkpointMarginS
	}
	m.setCommand(&meshpb.MachineCommand{MachineIndex: m.index, Job: t.key.job, Task: t.key.task, Replica: t.key.replica, GraceS: grace})
	a.commands = append(a.commands, protocol.Command{Op: protocol.CommandStop,
		Task: protocol.TaskName(t.key.job, int(t.key.task)), Replica: t.key.replica, GraceS: &grace})
}

// updateShortage works the shortage out anew if it is old.
func (l *leader) updateShortage(now time.Duration) {
	s := &l.shortage
	if now-s.computedAt < shortageInterval {
		return
	}
	l.rebuildPendingQueue(now)
	*s = shortage{computedAt: now}
	l.findUrgentShortage(now)
	if s.urgentCPUs <= 0 {
		l.findStandardShortage(now)
		l.findGuaranteeShortage(now)
	}
}

// findStandardShortage finds the standard tasks that wait while on machines that have their
// image what was only to run in idle time goes on. They get its place if that
// loses less than a new machine would take to come, or if none is to be had.
func (l *leader) findStandardShortage(now time.Duration) {
	s := &l.shortage
	for _, im := range l.images.byName {
		im.standardCPUs, im.standardJob = 0, nil
	}
	for _, j := range l.pendingQueue.jobs {
		if j.priority != protocol.PriorityStandard || j.unoffered() == 0 || !l.withinTeamLimit(j) {
			continue
		}
		if j.image.standardJob == nil {
			j.image.standardJob = j
		}
		n := float64(j.unoffered()) * j.spec.Cpus
		j.image.standardCPUs += n
		s.standardCPUs += n
		if l.autoscaler.obtainable(j, now) {
			s.idleCostLimit = max(s.idleCostLimit, l.kinds.leadTime(j))
		} else {
			s.idleCostLimit = time.Duration(math.MaxInt64)
		}
	}
}

// findUrgentShortage finds the urgent tasks that lack room where they could go: on
// machines that have their image, or on any if they would rather have it
// fetched than wait.
func (l *leader) findUrgentShortage(now time.Duration) {
	for _, im := range l.images.byName {
		im.urgentCPUs = 0
	}
	s := &l.shortage
	s.urgentCPUs = l.sumUrgentByImage()
	if s.urgentCPUs <= 0 {
		return
	}
	var victims []victim
	for m := range l.machines.all {
		if !l.schedulable(m, now) {
			continue
		}
		if could := l.subtractUrgentSupply(m, now); could != nil {
			victims = l.appendVictims(victims, m, now, could.outranks)
		}
	}
	s.urgentCostLimit = costLimit(victims, s.urgentCPUs)
}

// sumUrgentByImage adds up by image the CPUs of the urgent tasks that wait, as far as the
// limits of their teams allow them to run.
func (l *leader) sumUrgentByImage() float64 {
	total := 0.0
	room := make(map[*teamUsage]float64)
	for _, j := range l.pendingQueue.jobs {
		if j.priority < protocol.PriorityUrgent || j.unoffered() == 0 || !l.withinTeamLimit(j) {
			continue
		}
		n := float64(j.unoffered()) * j.spec.Cpus
		if limit := j.team.cfg.CPUsMax; limit > 0 {
			if _, ok := room[j.team]; !ok {
				room[j.team] = limit - j.team.cpus
			}
			n = math.Min(n, math.Max(0, room[j.team]))
			room[j.team] -= n
		}
		j.image.urgentCPUs += n
		total += n
	}
	return total
}

// subtractUrgentSupply takes off the urgent work what a machine has room for or soon will
// have, and returns the highest queue that may stop others there, if any may.
func (l *leader) subtractUrgentSupply(m *machine, now time.Duration) *imageQueue {
	k := l.pendingQueue.byKind[m.machineKind]
	if k == nil {
		return nil
	}
	frees := math.Max(0, m.free.cpus)
	for i := range m.tasks {
		t := &m.tasks[i]
		if t.state != protocol.TaskExited && t.sizeKnown() && (t.stopRequested || l.endsSoon(t, now)) {
			frees += t.job.spec.Cpus
		}
	}
	var could *imageQueue
	serve := func(im *image) {
		q := k.byImage[im]
		if im.urgentCPUs <= 0 || q == nil || (m.inWarmPool && q.highestPriority < protocol.PriorityProduction) {
			return
		}
		if q.mayPreempt && (could == nil || q.highestPriority > could.highestPriority) {
			could = q
		}
		n := math.Min(frees, im.urgentCPUs)
		im.urgentCPUs -= n
		l.shortage.urgentCPUs -= n
		frees -= n
	}
	for i := range m.images {
		serve(m.images[i].image)
	}
	for _, q := range k.images {
		if q.mayFetch {
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

func (l *leader) appendVictims(all []victim, m *machine, now time.Duration, may func(*replicaOnMachine) bool) []victim {
	for i := range m.tasks {
		if t := &m.tasks[i]; l.preemptible(m, t, now) && may(t) {
			all = append(all, victim{preemptionCost(m, t, now), t.job.spec.Cpus})
		}
	}
	return all
}

// costLimit is what the dearest task costs that has to be stopped anywhere to
// make up for a shortage, if the cheapest are taken.
func costLimit(all []victim, short float64) time.Duration {
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
func (l *leader) endsSoon(t *replicaOnMachine, now time.Duration) bool {
	if t.state != protocol.TaskRunning || !t.sizeKnown() {
		return false
	}
	left := l.runTime(t.job.spec) - (now - t.since)
	return left < nearlyFinished && left > -nearlyFinished/2
}

// findGuaranteeShortage finds how many CPUs teams lack that have work waiting, use less
// than their guarantee, and can get no more machines.
func (l *leader) findGuaranteeShortage(now time.Duration) {
	s := &l.shortage
	need := make(map[*teamUsage]float64)
	for _, j := range l.pendingQueue.jobs {
		if j.unoffered() > 0 && j.team.cfg.CPUs > j.team.cpus && !l.autoscaler.obtainable(j, now) {
			need[j.team] += float64(j.unoffered()) * j.spec.Cpus
			s.belowGuarantee = append(s.belowGuarantee, j)
		}
	}
	for t, n := range need {
		s.guaranteeCPUs += math.Max(0, math.Min(n, t.cfg.CPUs-t.cpus))
	}
	if s.guaranteeCPUs <= 0 {
		return
	}
	for _, t := range l.usage.teams {
		t.stopping = 0
	}
	var victims []victim
	for m := range l.machines.all {
		if !l.schedulable(m, now) {
			continue
		}
		s.guaranteeCPUs -= math.Max(0, m.free.cpus)
		for i := range m.tasks {
			t := &m.tasks[i]
			if t.state == protocol.TaskExited || !t.sizeKnown() {
				continue
			}
			if t.stopRequested && t.job.team != nil {
				t.job.team.stopping += t.job.spec.Cpus
			}
			if t.stopRequested || l.endsSoon(t, now) {
				s.guaranteeCPUs -= t.job.spec.Cpus
			}
		}
	}
	if s.guaranteeCPUs <= 0 {
		return
	}
	for m := range l.machines.all {
		if l.schedulable(m, now) {
			victims = l.appendVictims(victims, m, now, l.exceedsGuarantee)
		}
	}
	s.guaranteeCostLimit = costLimit(victims, s.guaranteeCPUs)
}

// drain stops, on a machine that the cloud takes back soon, what cannot end
// in time: it may start elsewhere as soon as the machine confirms the stop,
// not only after a lease.
func (l *leader) drain(m *machine, a *pendingResponse, now time.Duration) {
	if m.reclaimAt == 0 && !m.quarantined {
		return
	}
	for i := range m.tasks {
		t := &m.tasks[i]
		if t.stopRequested || !t.sizeKnown() || t.job.ended || t.state == protocol.TaskExited || m.commands[t.key] != nil {
			continue
		}
		left := l.runTime(t.job.spec)
		if t.state == protocol.TaskRunning {
			left -= now - t.since
		}
		if m.reclaimAt > 0 && now+max(left, 0) < m.reclaimAt-time.Second {
			continue
		}
		if t.job.spec.Service && (t.job.pending > 0 || m.isStoppingTaskOf(t.job) || !l.warmPool.hasRoomElsewhere(t.job, m, now)) && (m.reclaimAt == 0 || now < m.reclaimAt-forcedDrainLead) {
			continue // it moves once there is room, and one replica after another
		}
		t.stopRequested = true
		l.stopTask(m, a, t)
	}
}

// isStoppingTaskOf tells whether a machine still lists a task of a job that was told to stop:
// one that has ended is listed until its owner knows, and has it start elsewhere.
func (m *machine) isStoppingTaskOf(j *trackedJob) bool {
	for i := range m.tasks {
		if t := &m.tasks[i]; t.job == j && t.stopRequested {
			return true
		}
	}
	return false
}
