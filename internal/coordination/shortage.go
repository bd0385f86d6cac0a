package coordination

import (
	"math"
	"sort"
	"time"

	"github.com/cobaltvale/cobaltvale/internal/protocol"
)

// shortageInterval is how often the shortage is computed; the heartbeats in
// between share the result.
const shortageInterval = 300 * time.Millisecond

// shortage is how many CPUs are lacking for what may preempt other tasks, beyond
// what is free or about to be, and the most work that has to be lost on any
// machine for it.
type shortage struct {
	computedAt         time.Duration
	urgentCPUs         float64 // for urgent tasks; by image in image.urgentCPUs
	urgentCostLimit    time.Duration
	guaranteeCPUs      float64 // that teams lack of their guarantees
	guaranteeCostLimit time.Duration
	jobsBelowGuarantee []*trackedJob // the jobs of these teams
	standardCPUs       float64       // for standard tasks that find no machine; by image in image.standardCPUs
	standardCostLimit  time.Duration
}

// shortageDue tells whether the shortage is to be computed.
func (p *preemptor) shortageDue(now time.Duration) bool {
	return now-p.shortage.computedAt >= shortageInterval
}

// findShortage computes the shortage. While urgent tasks lack room nothing else
// preempts.
func (p *preemptor) findShortage(now time.Duration) {
	p.shortage = shortage{computedAt: now}
	p.findUrgentShortage(now)
	if p.shortage.urgentCPUs <= 0 {
		p.findStandardShortage(now)
		p.findGuaranteeShortage(now)
	}
}

// findUrgentShortage finds the urgent tasks that lack room where they could be
// placed: on machines that have their image, or on any if they would rather have
// it fetched than wait.
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
	left := make(map[*teamUsage]float64) // of the teams' limits
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

// subtractUrgentSupply takes off the shortage what a machine has free or soon will
// have, and returns the queue of the highest priority that may preempt there, if
// any may.
func (p *preemptor) subtractUrgentSupply(m *machine, now time.Duration) *imageQueue {
	queue := p.queue.byKind[m.machineKind]
	if queue == nil {
		return nil
	}
	free := p.soonFreeCPUs(m, now)
	var highest *imageQueue
	serve := func(im *image) {
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
		serve(m.images[i].image)
	}
	for _, q := range queue.images {
		if q.mayFetch {
			serve(q.image)
		}
	}
	return highest
}

// soonFreeCPUs is what a machine has free once the tasks have ended that are being
// stopped or nearly finished.
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

// findStandardShortage finds the standard tasks that are pending while tasks that
// should only run in idle time run on machines that have their image. They get the
// place of these if that loses less than a new machine takes to be ready, or if
// none is to be had.
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

// findGuaranteeShortage finds how many CPUs teams lack that have pending tasks, use
// less than their guarantee and can get no more machines.
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

// sumBelowGuarantee lists the jobs whose teams use less than their guarantee and
// returns the CPUs that they lack.
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

// subtractGuaranteeSupply takes off the shortage what a machine has free or soon
// will have, and notes what teams are giving back there.
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

// preemptionCandidate is a task that could be preempted: the work that would be
// lost and the CPUs that would become free.
type preemptionCandidate struct {
	cost time.Duration
	cpus float64
}

func (p *preemptor) appendCandidates(candidates []preemptionCandidate, m *machine, now time.Duration, eligible victimFilter) []preemptionCandidate {
	for i := range m.tasks {
		if replica := &m.tasks[i]; p.preemptible(m, replica, now) && eligible(replica) {
			candidates = append(candidates, preemptionCandidate{preemptionCost(m, replica, now), replica.job.spec.Cpus})
		}
	}
	return candidates
}

// costLimit is the most that any of the cheapest candidates costs that free the
// CPUs needed.
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
