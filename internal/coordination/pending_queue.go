package coordination

import (
	"iter"
	"sort"
	"time"

	"github.com/cobaltvale/cobaltvale/internal/priority"
	"github.com/cobaltvale/cobaltvale/internal/protocol"
	"github.com/cobaltvale/cobaltvale/internal/protocol/meshpb"
)

const (
	// rebuildInterval is how often the order is rebuilt though no task became
	// pending: it changes with time alone.
	rebuildInterval = 500 * time.Millisecond
	// minRebuildInterval is how often it is rebuilt at the most.
	minRebuildInterval = 50 * time.Millisecond
	// queueLookAhead is how many jobs of one team's queue an offer looks at.
	queueLookAhead = 8
	// maxFetchCandidates is how many images an offer considers having fetched.
	maxFetchCandidates = 8
)

// pendingQueue holds the jobs with pending tasks in the order of service: for each
// kind of machine and each image a queue for each team. A heartbeat finds its
// machine's next tasks at the heads of a few queues, however many jobs are
// pending.
//
// It owns the queues and the order. Whether a job's head of a queue may be placed
// on a machine is for placement to say.
type pendingQueue struct {
	catalog    catalog
	kinds      *kindSelector
	orderKeyOf func(*trackedJob, int64) priority.Key
	runTime    func(*meshpb.JobSummary) time.Duration

	dirty            bool // a task has become pending
	rebuiltAt        time.Duration
	byKind           map[machineKind]*machineKindQueue
	jobs             []*trackedJob   // all that are pending, ordered as if every team used the same share
	exclusiveTypes   map[string]bool // types that some pending job needs, as it fits on no other
	entriesInspected uint64          // jobs and queues that heartbeats have looked at
}

// machineKindQueue holds the jobs that a kind of machine may take.
type machineKindQueue struct {
	images       []*imageQueue // in the order of the first job in them
	byImage      map[*image]*imageQueue
	jobCount     int
	smallestTask resources // of each resource, what the least demanding task needs
}

// imageQueue holds the jobs of one image.
type imageQueue struct {
	image           *image
	mayFetch        bool              // a machine of the kind might fetch the image for them
	mayPreempt      bool              // some are urgent, and may preempt others on machines of the kind
	highestPriority protocol.Priority // of any of them
	teams           []*teamQueue
}

// teamQueue holds the jobs of one team, the first to be served first.
type teamQueue struct {
	team *teamUsage
	jobs []*trackedJob
}

// markDirty notes that a task has become pending.
func (d *pendingQueue) markDirty() { d.dirty = true }

// rebuildDue tells whether the order is to be rebuilt.
func (d *pendingQueue) rebuildDue(now time.Duration) bool {
	age := now - d.rebuiltAt
	return age >= minRebuildInterval && (d.dirty || age >= rebuildInterval)
}

// rebuild takes the pending ones of the unfinished jobs, orders them and queues
// them for each kind of machine.
func (d *pendingQueue) rebuild(unfinished iter.Seq[*trackedJob], wallMs int64, now time.Duration) {
	d.dirty, d.rebuiltAt = false, now
	d.collectPending(unfinished, wallMs)
	d.exclusiveTypes = make(map[string]bool)
	for _, job := range d.jobs {
		d.exclusiveTypes[job.onlyMachineType] = true
	}
	d.byKind = make(map[machineKind]*machineKindQueue)
	for name, t := range d.catalog.Catalog() {
		for _, zone := range t.Zones {
			for _, spot := range []bool{true, false} {
				kind := machineKind{name, zone, spot}
				d.byKind[kind] = d.queueFor(kind, t, now)
			}
		}
	}
}

// collectPending sorts the jobs with pending tasks by their order keys.
func (d *pendingQueue) collectPending(unfinished iter.Seq[*trackedJob], wallMs int64) {
	d.jobs = d.jobs[:0]
	for job := range unfinished {
		if job.unoffered() > 0 {
			job.orderKey = d.orderKeyOf(job, wallMs)
			d.jobs = append(d.jobs, job)
		}
	}
	sort.Slice(d.jobs, func(i, k int) bool {
		a, b := d.jobs[i], d.jobs[k]
		if a.orderKey == b.orderKey {
			return a.id < b.id
		}
		return a.orderKey.Before(0, b.orderKey, 0)
	})
}

// queueFor queues the jobs that a kind of machine may take. Types that are
// reserved for jobs that fit on no other still take others while none of the
// former is pending, which then may not preempt.
func (d *pendingQueue) queueFor(kind machineKind, t *protocol.MachineType, now time.Duration) *machineKindQueue {
	whole := capacityOf(t)
	q := &machineKindQueue{byImage: make(map[*image]*imageQueue), smallestTask: whole}
	for _, job := range d.jobs {
		if !whole.fits(job.spec) || !permits(job.spec, kind) {
			continue
		}
		reserved := d.kinds.reservedForOthers(job, kind.typeName, now)
		if !reserved || !d.exclusiveTypes[kind.typeName] {
			q.add(job, !reserved)
		}
	}
	for _, images := range q.images {
		fetch := fetchTime(images.image, t)
		short := fetchIsShort(fetch, d.runTime(images.teams[0].jobs[0].spec))
		pays := images.image.expectedWait() > time.Duration(float64(fetch)*fetchPayoffFactor)
		images.mayFetch = images.mayFetch || short || pays
	}
	return q
}

// add appends a job, the last in order so far.
func (q *machineKindQueue) add(job *trackedJob, mayPreempt bool) {
	q.jobCount++
	q.smallestTask.cpus = min(q.smallestTask.cpus, job.spec.Cpus)
	q.smallestTask.gpus = min(q.smallestTask.gpus, job.spec.Gpus)
	q.smallestTask.memoryGB = min(q.smallestTask.memoryGB, job.spec.MemoryGb)
	images := q.byImage[job.image]
	if images == nil {
		images = &imageQueue{image: job.image}
		q.byImage[job.image] = images
		q.images = append(q.images, images)
	}
	images.add(job, mayPreempt)
}

func (q *imageQueue) add(job *trackedJob, mayPreempt bool) {
	q.mayFetch = q.mayFetch || job.orderKey.Overdue
	q.highestPriority = max(q.highestPriority, job.priority)
	q.mayPreempt = q.mayPreempt || (mayPreempt && job.isUrgent())
	for _, t := range q.teams {
		if t.team == job.team {
			t.jobs = append(t.jobs, job)
			return
		}
	}
	q.teams = append(q.teams, &teamQueue{team: job.team, jobs: []*trackedJob{job}})
}

// outranks tells whether a task may be preempted for a job of the queue.
func (q *imageQueue) outranks(replica *replicaOnMachine) bool {
	return replica.job.priority < q.highestPriority
}

// mayFit tells whether some task of the queue may fit into free resources.
func (q *machineKindQueue) mayFit(free resources) bool {
	return q.jobCount > 0 && free.cpus >= q.smallestTask.cpus && free.memoryGB >= q.smallestTask.memoryGB
}

// candidates are the queues that a machine may be served from: those of the images
// that it has, and the first of those that it might fetch.
func (q *machineKindQueue) candidateQueues(m *machine) []*teamQueue {
	var queues []*teamQueue
	for i := range m.images {
		if images := q.byImage[m.images[i].image]; images != nil {
			queues = append(queues, images.teams...)
		}
	}
	fetches := 0
	for _, images := range q.images {
		if fetches == maxFetchCandidates {
			break
		}
		if !images.mayFetch || m.hasImage(images.image) {
			continue
		}
		fetches++
		queues = append(queues, images.teams...)
	}
	return queues
}

// head returns the job of a team's queue that a machine is offered to next, if any
// of the first few suits it. Jobs that are no longer pending leave the queue.
func (d *pendingQueue) firstOfferable(q *teamQueue, rules *placement, m *machine, free resources, now time.Duration) *trackedJob {
	for len(q.jobs) > 0 && q.jobs[0].unoffered() == 0 {
		q.jobs = q.jobs[1:]
		d.entriesInspected++
	}
	for i := 0; i < len(q.jobs) && i < queueLookAhead; i++ {
		d.entriesInspected++
		if rules.canOffer(q.jobs[i], m, free, now) {
			return q.jobs[i]
		}
	}
	return nil
}

// overdue yields the overdue jobs, the oldest first.
func (d *pendingQueue) overdueJobs(yield func(*trackedJob) bool) {
	for _, job := range d.jobs {
		if !job.orderKey.Overdue || !yield(job) {
			return
		}
	}
}

// servedBefore tells whether a job is served before another by what their teams
// use now.
func (j *trackedJob) servedBefore(other *trackedJob) bool {
	if j.orderKey == other.orderKey && j.team == other.team {
		return j.id < other.id
	}
	return j.orderKey.Before(j.team.dominantShare(), other.orderKey, other.team.dominantShare())
}
