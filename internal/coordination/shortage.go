package coordination

import (
	"math"
	"sort"
	"time"

	"github.com/cobaltvale/cobaltvale/internal/protocol"
)

// shortageInterval is the least time between two computations of the shortage. The
// heartbeats that arrive meanwhile use the same result.
const shortageInterval = 300 * time.Millisecond

// shortage holds how many CPUs the tasks that may preempt others lack, beyond those that
// are free or will be soon, and for each group of tasks the cost limit: the most work, as a
// run time, that may be lost by preempting one task for them.
type shortage struct {
	computedAt         time.Duration
	urgentCPUs         float64 // for urgent tasks; by image in image.urgentCPUs
	urgentCostLimit    time.Duration
	guaranteeCPUs      float64 // for teams that use less than their guarantee
	guaranteeCostLimit time.Duration
	jobsBelowGuarantee []*trackedJob // pending jobs of these teams
	standardCPUs       float64       // for pending standard tasks; by image in image.standardCPUs
	standardCostLimit  time.Duration // for the best-effort tasks that are preempted for them
}

// shortageDue reports whether it is time to compute the shortage.
func (p *preemptor) shortageDue(now time.Duration) bool {
	return now-p.shortage.computedAt >= shortageInterval
}

// findShortage computes the shortage. While urgent tasks lack room, no other tasks preempt.
func (p *preemptor) findShortage(now time.Duration) {
	p.shortage = shortage{computedAt: now}
	p.findUrgentShortage(now)
	if p.shortage.urgentCPUs <= 0 {
		p.findStandardShortage(now)
		p.findGuaranteeShortage(now)
	}
}

// findUrgentShortage computes the shortage of urgent tasks: those that lack room on the
// machines that have their image, or on any machine if their image may be fetched.
func (p *preemptor) findUrgentShortage(now time.Duration) {
	for _, im := range p.images.byName {
		im.urgentCPUs = 0
	}
	s := &p.shortage
	s.urgentCPUs = p.sumUrgentByImage()
	if s.urgentCPUs <= 0 {
		return
	}
	var candidates []preemptionCandidate
	for m := range p.machines.all {
		if !p.schedulable(m, now) {
			continue
		}
		if queue := p.subtractUrgentSupply(m, now); queue != nil {
			candidates = p.appendCandidates(candidates, m, now, queue.outranks)
		}
	}
	s.urgentCostLimit = costLimit(candidates, s.urgentCPUs)
}

// sumUrgentByImage adds up by image the CPUs of the pending urgent tasks, as far as
// the limits of their teams allow them to run, and returns the sum of all.
func (p *preemptor) sumUrgentByImage() float64 {
	total := 0.0
	left := make(map[*teamUsage]float64) // CPUs that the teams' limits leave
	for _, job := range p.queue.jobs {
		if !job.isUrgent() || job.unoffered() == 0 || !p.withinTeamLimit(job) {
			continue
		}
		cpus := float64(job.unoffered()) * job.spec.Cpus
		if limit := job.team.cfg.CPUsMax; limit > 0 {
			if _, ok := left[job.team]; !ok {
				left[job.team] = limit - job.team.cpus
			}
			cpus = math.Min(cpus, math.Max(0, left[job.team]))
			left[job.team] -= cpus
		}
		job.image.urgentCPUs += cpus
		total += cpus
	}
	return total
}

// subtractUrgentSupply subtracts from the shortage the CPUs that a machine has free or will
// have soon. It returns the queue of the highest priority that may preempt there, or nil.
func (p *preemptor) subtractUrgentSupply(m *machine, now time.Duration) *imageQueue {
	queue := p.queue.byKind[m.machineKind]
	if queue == nil {
		return nil
	}
	free := p.soonFreeCPUs(m, now)
	var highest *imageQueue
	allocate := func(im *image) {
		q := queue.byImage[im]
		if im.urgentCPUs <= 0 || q == nil || (m.inWarmPool && q.highestPriority < protocol.PriorityProduction) {
			return
		}
		if q.mayPreempt && (highest == nil || q.highestPriority > highest.highestPriority) {
			highest = q
		}
		cpus := math.Min(free, im.urgentCPUs)
		im.urgentCPUs -= cpus
		p.shortage.urgentCPUs -= cpus
		free -= cpus
	}
	for i := range m.images {
		allocate(m.images[i].image)
	}
	for _, q := range queue.images {
		if q.mayFetch {
			allocate(q.image)
		}
	}
	return highest
}

// soonFreeCPUs returns the CPUs that a machine has free once the tasks that are being
// stopped or are nearly finished have ended.
func (p *preemptor) soonFreeCPUs(m *machine, now time.Duration) float64 {
	free := math.Max(0, m.free.cpus)
	for i := range m.tasks {
		replica := &m.tasks[i]
		if replica.state != protocol.TaskExited && replica.requirementsKnown() && (replica.stopRequested || p.endsSoon(replica, now)) {
			free += replica.job.spec.Cpus
		}
	}
	return free
}

// findStandardShortage computes the shortage of pending standard tasks, which may preempt
// best-effort tasks on machines that have their image: if that loses less work, as a run
// time, than a new machine takes to be ready, or if no machine can be obtained.
func (p *preemptor) findStandardShortage(now time.Duration) {
	s := &p.shortage
	for _, im := range p.images.byName {
		im.standardCPUs, im.standardJob = 0, nil
	}
	for _, job := range p.queue.jobs {
		if job.priority != protocol.PriorityStandard || job.unoffered() == 0 || !p.withinTeamLimit(job) {
			continue
		}
		if job.image.standardJob == nil {
			job.image.standardJob = job
		}
		cpus := float64(job.unoffered()) * job.spec.Cpus
		job.image.standardCPUs += cpus
		s.standardCPUs += cpus
		if p.machineObtainable(job, now) {
			s.standardCostLimit = max(s.standardCostLimit, p.kinds.leadTime(job))
		} else {
			s.standardCostLimit = noCostLimit
		}
	}
}

// findGuaranteeShortage computes the shortage of teams that have pending tasks, use less than
// their guarantee and can obtain no more machines.
func (p *preemptor) findGuaranteeShortage(now time.Duration) {
	s := &p.shortage
	s.guaranteeCPUs = p.sumBelowGuarantee(now)
	if s.guaranteeCPUs <= 0 {
		return
	}
	for _, team := range p.teams {
		team.stoppingCPUs = 0
	}
	for m := range p.machines.all {
		if p.schedulable(m, now) {
			p.subtractGuaranteeSupply(m, now)
		}
	}
	if s.guaranteeCPUs <= 0 {
		return
	}
	var candidates []preemptionCandidate
	for m := range p.machines.all {
		if p.schedulable(m, now) {
			candidates = p.appendCandidates(candidates, m, now, exceedsGuarantee)
		}
	}
	s.guaranteeCostLimit = costLimit(candidates, s.guaranteeCPUs)
}

// sumBelowGuarantee lists the pending jobs whose teams use less than their guarantee and
// returns the CPUs that the teams lack: at most those of the pending tasks.
func (p *preemptor) sumBelowGuarantee(now time.Duration) float64 {
	pending := make(map[*teamUsage]float64)
	for _, job := range p.queue.jobs {
		if job.unoffered() > 0 && job.team.cfg.CPUs > job.team.cpus && !p.machineObtainable(job, now) {
			pending[job.team] += float64(job.unoffered()) * job.spec.Cpus
			p.shortage.jobsBelowGuarantee = append(p.shortage.jobsBelowGuarantee, job)
		}
	}
	total := 0.0
	for team, cpus := range pending {
		total += math.Max(0, math.Min(cpus, team.cfg.CPUs-team.cpus))
	}
	return total
}

// subtractGuaranteeSupply subtracts from the shortage the CPUs that a machine has free or
// will have soon, and adds those of the tasks that are being stopped to their teams'
// stoppingCPUs.
func (p *preemptor) subtractGuaranteeSupply(m *machine, now time.Duration) {
	s := &p.shortage
	s.guaranteeCPUs -= math.Max(0, m.free.cpus)
	for i := range m.tasks {
		replica := &m.tasks[i]
		if replica.state == protocol.TaskExited || !replica.requirementsKnown() {
			continue
		}
		if replica.stopRequested && replica.job.team != nil {
			replica.job.team.stoppingCPUs += replica.job.spec.Cpus
		}
		if replica.stopRequested || p.endsSoon(replica, now) {
			s.guaranteeCPUs -= replica.job.spec.Cpus
		}
	}
}

// preemptionCandidate is a task that could be preempted.
type preemptionCandidate struct {
	cost time.Duration // see preemptionCost
	cpus float64       // that would become free
}

func (p *preemptor) appendCandidates(candidates []preemptionCandidate, m *machine, now time.Duration, eligible victimFilter) []preemptionCandidate {
	for i := range m.tasks {
		if replica := &m.tasks[i]; p.preemptible(m, replica, now) && eligible(replica) {
			candidates = append(candidates, preemptionCandidate{preemptionCost(m, replica, now), replica.job.spec.Cpus})
		}
	}
	return candidates
}

// costLimit returns the highest cost among the cheapest candidates that together free the
// needed CPUs, or noCostLimit if all candidates free fewer.
func costLimit(candidates []preemptionCandidate, neededCPUs float64) time.Duration {
	if neededCPUs <= 0 {
		return 0
	}
	sort.Slice(candidates, func(i, k int) bool { return candidates[i].cost < candidates[k].cost })
	for _, c := range candidates {
		if neededCPUs -= c.cpus; neededCPUs <= 0 {
			return c.cost
		}
	}
	return noCostLimit
}
