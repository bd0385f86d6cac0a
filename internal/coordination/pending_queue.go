package coordination

import (
	"sort"
	"time"

	"github.com/cobaltvale/cobaltvale/internal/priority"
	"github.com/cobaltvale/cobaltvale/internal/protocol"
)

const (
	rebuildInterval         = 500 * time.Millisecond // the order changes with time alone
	minRebuildInterval      = 50 * time.Millisecond  // however much new waits
	queueLookAhead          = 8                      // jobs of one queue that an offer looks at
	maxFetchCandidates      = 8                      // images that an offer considers fetching
	maxReservedMachines     = 16                     // machines whose room gathers for such jobs
	reservedMachinesDivisor = 8                      // and the part of all machines that they are at the most
)

// orderKeyOf returns a job's position in the order of service at a Unix time in
// milliseconds.
func (l *leader) orderKeyOf(j *trackedJob, wallMs int64) priority.Key {
	return priority.KeyOf(priority.Job{
		Class:       j.spec.Class,
		Priority:    j.priority,
		Started:     j.started,
		SubmittedMs: j.spec.SubmittedMs,
		DeadlineMs:  j.spec.DeadlineMs,
		RunTime:     l.runTime(j.spec),
	}, wallMs, l.c.cfg.Settings.Objectives)
}

// pendingQueue is what waits, in the order of service: for each kind of machine and
// each image a queue for each team. A report finds its machine's next tasks
// at the heads of a few queues, however many jobs wait.
type pendingQueue struct {
	dirty          bool // something new waits
	rebuiltAt      time.Duration
	byKind         map[machineKind]*machineKindQueue
	jobs           []*trackedJob   // all that wait, ordered as if every team used the same share
	exclusiveTypes map[string]bool // types that some waiting job needs, as it fits on no other
	inspected      uint64          // jobs and queues that reports have looked at
}

// machineKindQueue is what a kind of machine may take.
type machineKindQueue struct {
	images       []*imageQueue // by the rank of what is first in them
	byImage      map[*image]*imageQueue
	jobCount     int
	smallestTask resources // what the smallest task of each resource needs
}

type imageQueue struct {
	image           *image
	mayFetch        bool              // some machine of the kind might fetch it for what waits
	mayPreempt      bool              // urgent work is in it that may stop others on machines of the kind
	highestPriority protocol.Priority // the highest in it
	teams           []*teamQueue
}

type teamQueue struct {
	team *teamUsage
	jobs []*trackedJob
}

// head is the job that a team's queue offers next to a machine, looking only
// at the first few; what waits no more is dropped on the way.
func (q *teamQueue) head(l *leader, m *machine, free resources, now time.Duration) *trackedJob {
	for len(q.jobs) > 0 && q.jobs[0].unoffered() == 0 {
		q.jobs = q.jobs[1:]
		l.pendingQueue.inspected++
	}
	for i := 0; i < len(q.jobs) && i < queueLookAhead; i++ {
		l.pendingQueue.inspected++
		if l.placement.canOffer(q.jobs[i], m, free, now) {
			return q.jobs[i]
		}
	}
	return nil
}

// rebuildPendingQueue puts the jobs that wait in order.
func (l *leader) rebuildPendingQueue(now time.Duration) {
	d := &l.pendingQueue
	if since := now - d.rebuiltAt; since < minRebuildInterval || (!d.dirty && since < rebuildInterval) {
		return
	}
	d.dirty, d.rebuiltAt = false, now
	l.updateImageDemand(now)
	wall := l.c.env.Wall().UnixMilli()
	d.jobs = d.jobs[:0]
	for _, g := range l.shards.byName {
		for _, j := range g.jobs {
			if j.unoffered() > 0 {
				j.orderKey = l.orderKeyOf(j, wall)
				d.jobs = append(d.jobs, j)
			}
		}
	}
	sort.Slice(d.jobs, func(i, k int) bool {
		a, b := d.jobs[i], d.jobs[k]
		if a.orderKey == b.orderKey {
			return a.id < b.id
		}
		return a.orderKey.Before(0, b.orderKey, 0)
	})
	d.exclusiveTypes = make(map[string]bool)
	for _, j := range d.jobs {
		d.exclusiveTypes[j.onlyType] = true
	}
	d.byKind = make(map[machineKind]*machineKindQueue)
	for name, t := range l.c.cloud.Catalog() {
		whole := capacityOf(t)
		for _, zone := range t.Zones {
			for _, spot := range []bool{true, false} {
				v := machineKind{name, zone, spot}
				k := &machineKindQueue{byImage: make(map[*image]*imageQueue), smallestTask: whole}
				for _, j := range d.jobs {
					if whole.fits(j.spec) && permits(j.spec, v) {
						if kept := l.kinds.reservedForOthers(j, name, now); !kept || !d.exclusiveTypes[name] {
							k.add(j, !kept)
						}
					}
				}
				for _, q := range k.images {
					fetch := fetchTime(q.image, t)
					q.mayFetch = q.mayFetch || fetchIsShort(fetch, l.runTime(q.teams[0].jobs[0].spec)) || q.image.expectedWait() > time.Duration(float64(fetch)*fetchPayoff)
				}
				d.byKind[v] = k
			}
		}
	}
	l.reserveForOverdue(now)
}

// add appends a job, the last in order so far. It may stop others if machines
// of the kind are not kept for them.
func (k *machineKindQueue) add(j *trackedJob, stops bool) {
	k.jobCount++
	k.smallestTask.cpus = min(k.smallestTask.cpus, j.spec.Cpus)
	k.smallestTask.gpus = min(k.smallestTask.gpus, j.spec.Gpus)
	k.smallestTask.memory = min(k.smallestTask.memory, j.spec.MemoryGb)
	q := k.byImage[j.image]
	if q == nil {
		q = &imageQueue{image: j.image}
		k.byImage[j.image] = q
		k.images = append(k.images, q)
	}
	q.mayFetch = q.mayFetch || j.orderKey.Overdue
	q.highestPriority = max(q.highestPriority, j.priority)
	q.mayPreempt = q.mayPreempt || (stops && j.priority >= protocol.PriorityUrgent)
	for _, t := range q.teams {
		if t.team == j.team {
			t.jobs = append(t.jobs, j)
			return
		}
	}
	q.teams = append(q.teams, &teamQueue{team: j.team, jobs: []*trackedJob{j}})
}

// candidateQueues are the queues that a machine may be served from: those of the
// images it has, and the first of those that it might fetch.
func (l *leader) candidateQueues(m *machine, k *machineKindQueue) []*teamQueue {
	var out []*teamQueue
	for i := range m.images {
		if q := k.byImage[m.images[i].image]; q != nil {
			out = append(out, q.teams...)
		}
	}
	fetches := 0
	for _, q := range k.images {
		if fetches == maxFetchCandidates {
			break
		}
		if !q.mayFetch || m.hasImage(q.image) {
			continue
		}
		fetches++
		out = append(out, q.teams...)
	}
	return out
}

// overdue yields the jobs that should have begun long ago.
func (d *pendingQueue) overdue(yield func(*trackedJob) bool) {
	for _, j := range d.jobs {
		if !j.orderKey.Overdue || !yield(j) {
			return
		}
	}
}

// reserveForOverdue holds a machine for each job that should have begun long ago and
// finds no room: room that frees bit by bit would go to smaller tasks for ever.
func (l *leader) reserveForOverdue(now time.Duration) {
	for m := range l.machines.all {
		m.reservedFor = nil
	}
	n := 0
	for j := range l.pendingQueue.overdue {
		if n++; n > min(maxReservedMachines, 1+len(l.machines.byName)/reservedMachinesDivisor) {
			return
		}
		var best *machine
		soonest := time.Duration(-1)
		for m := range l.machines.all {
			if m.reservedFor != nil || !l.schedulable(m, now) || !l.placement.suitsWhenEmpty(m, j, now) {
				continue
			}
			if in := l.timeUntilFits(m, j, now); best == nil || in < soonest || (in == soonest && m.index < best.index) {
				best, soonest = m, in
			}
		}
		if best != nil {
			best.reservedFor = j
		}
	}
}

// timeUntilFits is how long it should take until a machine has room for a task, if
// nothing else is started there.
func (l *leader) timeUntilFits(m *machine, j *trackedJob, now time.Duration) time.Duration {
	free := m.free
	if free.fits(j.spec) {
		return 0
	}
	left := make([]*replicaOnMachine, 0, len(m.tasks))
	for i := range m.tasks {
		if t := &m.tasks[i]; t.state != protocol.TaskExited && t.sizeKnown() {
			left = append(left, t)
		}
	}
	ends := func(t *replicaOnMachine) time.Duration {
		in := l.runTime(t.job.spec)
		if t.state == protocol.TaskRunning {
			in -= now - t.since
		}
		return max(in, time.Second)
	}
	sort.Slice(left, func(i, k int) bool { return ends(left[i]) < ends(left[k]) })
	for _, t := range left {
		free.add(t.job.spec)
		if free.fits(j.spec) {
			return ends(t)
		}
	}
	return time.Hour
}
