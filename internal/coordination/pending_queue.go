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
	// rebuildInterval is how often the order is rebuilt while no task becomes pending,
	// since the order also changes with time.
	rebuildInterval = 500 * time.Millisecond
	// minRebuildInterval is the least time between two rebuilds.
	minRebuildInterval = 50 * time.Millisecond
	// queueLookAhead is how many jobs of one team's queue are considered for an offer.
	queueLookAhead = 8
	// maxFetchCandidates is how many images that the machine does not have are considered
	// for an offer.
	maxFetchCandidates = 8
)

// pendingQueue holds the jobs with pending tasks in the scheduling order: for each kind
// of machine and each image it has one queue for each team. The next tasks for a machine
// that sends a heartbeat are found at the heads of a few queues, however many jobs are
// pending.
//
// It owns the queues and the order. Whether a job from a queue may be placed on a machine
// is decided by placement.
type pendingQueue struct {
	catalog    catalog
	kinds      *kindSelector
	orderKeyOf func(*trackedJob, int64) priority.Key
	runTime    func(*meshpb.JobSummary) time.Duration

	dirty            bool // a task became pending since the last rebuild
	rebuiltAt        time.Duration
	byKind           map[machineKind]*machineKindQueue
	jobs             []*trackedJob   // with unoffered tasks, ordered as if all teams had the same share
	exclusiveTypes   map[string]bool // types that a pending job needs because it fits on no other
	entriesInspected uint64          // jobs and queue heads that were examined for heartbeats
}

// machineKindQueue holds the pending jobs that may run on a kind of machine.
type machineKindQueue struct {
	images       []*imageQueue // in the order of their first jobs
	byImage      map[*image]*imageQueue
	jobCount     int
	smallestTask resources // for each resource, the least that any task needs
}

// imageQueue holds the jobs that need one image.
type imageQueue struct {
	image           *image
	mayFetch        bool              // machines of the kind may fetch the image for these jobs
	mayPreempt      bool              // some jobs are urgent and may preempt others on machines of the kind
	highestPriority protocol.Priority // of any job in the queue
	teams           []*teamQueue
}

// teamQueue holds the jobs of one team in the scheduling order.
type teamQueue struct {
	team *teamUsage
	jobs []*trackedJob
}

// markDirty records that a task became pending.
func (p *pendingQueue) markDirty() { p.dirty = true }

// rebuildDue reports whether it is time to rebuild the order.
func (p *pendingQueue) rebuildDue(now time.Duration) bool {
	age := now - p.rebuiltAt
	return age >= minRebuildInterval && (p.dirty || age >= rebuildInterval)
}

// rebuild orders those of the unfinished jobs that have pending tasks, and queues them
// for each kind of machine.
func (p *pendingQueue) rebuild(unfinished iter.Seq[*trackedJob], wallMs int64, now time.Duration) {
	p.dirty, p.rebuiltAt = false, now
	p.collectPending(unfinished, wallMs)
	p.exclusiveTypes = make(map[string]bool)
	for _, job := range p.jobs {
		p.exclusiveTypes[job.onlyFittingType] = true
	}
	p.byKind = make(map[machineKind]*machineKindQueue)
	for name, t := range p.catalog.Catalog() {
		for _, zone := range t.Zones {
			for _, spot := range []bool{true, false} {
				kind := machineKind{name, zone, spot}
				p.byKind[kind] = p.queueFor(kind, t, now)
			}
		}
	}
}

// collectPending sorts the jobs with pending tasks by their order keys.
func (p *pendingQueue) collectPending(unfinished iter.Seq[*trackedJob], wallMs int64) {
	p.jobs = p.jobs[:0]
	for job := range unfinished {
		if job.unoffered() > 0 {
			job.orderKey = p.orderKeyOf(job, wallMs)
			p.jobs = append(p.jobs, job)
		}
	}
	sort.Slice(p.jobs, func(i, k int) bool {
		a, b := p.jobs[i], p.jobs[k]
		if a.orderKey == b.orderKey {
			return a.id < b.id
		}
		return a.orderKey.Before(0, b.orderKey, 0)
	})
}

// queueFor queues the jobs that may run on a kind of machine. A type that is reserved for
// jobs that fit on no other still accepts other jobs while none of the former is pending;
// these others may not preempt there.
func (p *pendingQueue) queueFor(kind machineKind, t *protocol.MachineType, now time.Duration) *machineKindQueue {
	capacity := capacityOf(t)
	q := &machineKindQueue{byImage: make(map[*image]*imageQueue), smallestTask: capacity}
	for _, job := range p.jobs {
		if !capacity.fits(job.spec) || !permits(job.spec, kind) {
			continue
		}
		reserved := p.kinds.reservedForOthers(job, kind.typeName, now)
		if !reserved || !p.exclusiveTypes[kind.typeName] {
			q.add(job, !reserved)
		}
	}
	for _, forImage := range q.images {
		fetch := fetchTime(forImage.image, t)
		short := fetchIsShort(fetch, p.runTime(forImage.teams[0].jobs[0].spec))
		paysOff := forImage.image.expectedWait() > time.Duration(float64(fetch)*fetchPayoffFactor)
		forImage.mayFetch = forImage.mayFetch || short || paysOff
	}
	return q
}

// add appends a job, which comes after all earlier ones in the order.
func (q *machineKindQueue) add(job *trackedJob, mayPreempt bool) {
	q.jobCount++
	q.smallestTask.cpus = min(q.smallestTask.cpus, job.spec.Cpus)
	q.smallestTask.gpus = min(q.smallestTask.gpus, job.spec.Gpus)
	q.smallestTask.memoryGB = min(q.smallestTask.memoryGB, job.spec.MemoryGb)
	forImage := q.byImage[job.image]
	if forImage == nil {
		forImage = &imageQueue{image: job.image}
		q.byImage[job.image] = forImage
		q.images = append(q.images, forImage)
	}
	forImage.add(job, mayPreempt)
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

// outranks reports whether a task has a lower priority than some job of the queue.
func (q *imageQueue) outranks(replica *replicaOnMachine) bool {
	return replica.job.priority < q.highestPriority
}

// mayFit reports whether some task of the queue may fit into free resources.
func (q *machineKindQueue) mayFit(free resources) bool {
	return q.jobCount > 0 && free.listedTasks < maxTasksPerMachine && free.cpus >= q.smallestTask.cpus && free.memoryGB >= q.smallestTask.memoryGB
}

// candidateQueues returns the queues whose jobs a machine may be offered to: those of the
// images that it has, and those of the first maxFetchCandidates images that it may fetch.
func (q *machineKindQueue) candidateQueues(m *machine) []*teamQueue {
	var queues []*teamQueue
	for i := range m.images {
		if forImage := q.byImage[m.images[i].image]; forImage != nil {
			queues = append(queues, forImage.teams...)
		}
	}
	fetches := 0
	for _, forImage := range q.images {
		if fetches == maxFetchCandidates {
			break
		}
		if !forImage.mayFetch || m.hasImage(forImage.image) {
			continue
		}
		fetches++
		queues = append(queues, forImage.teams...)
	}
	return queues
}

// firstOfferable returns the first job among the first queueLookAhead of a team's queue
// to which a machine's free resources can be offered, or nil. It removes jobs without
// unoffered tasks from the head of the queue.
func (p *pendingQueue) firstOfferable(q *teamQueue, rules *placement, m *machine, free resources, now time.Duration) *trackedJob {
	for len(q.jobs) > 0 && q.jobs[0].unoffered() == 0 {
		q.jobs = q.jobs[1:]
		p.entriesInspected++
	}
	for i := 0; i < len(q.jobs) && i < queueLookAhead; i++ {
		p.entriesInspected++
		if rules.canOffer(q.jobs[i], m, free, now) {
			return q.jobs[i]
		}
	}
	return nil
}

// overdueJobs yields the overdue jobs, the oldest first.
func (p *pendingQueue) overdueJobs(yield func(*trackedJob) bool) {
	for _, job := range p.jobs {
		if !job.orderKey.Overdue || !yield(job) {
			return
		}
	}
}

// servedBefore reports whether a job precedes another in the scheduling order, given
// what their teams use now.
func (j *trackedJob) servedBefore(other *trackedJob) bool {
	if j.orderKey == other.orderKey && j.team == other.team {
		return j.id < other.id
	}
	return j.orderKey.Before(j.team.dominantShare(), other.orderKey, other.team.dominantShare())
}
