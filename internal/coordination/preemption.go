package coordination

import (
	"math"
	"sort"
	"time"

	"github.com/cobaltvale/cobaltvale/internal/protocol"
	"github.com/cobaltvale/cobaltvale/internal/protocol/meshpb"
)

const (
	// nearlyFinishedWindow is how close to its end a task is not preempted any more.
	nearlyFinishedWindow = 3 * time.Second
	// checkpointMarginS is how many seconds longer than stated a checkpoint may
	// take.
	checkpointMarginS = 1.0
)

// noCostLimit lets any task be preempted, whatever it loses.
const noCostLimit = time.Duration(math.MaxInt64)

// preemptor chooses the tasks that are stopped to make room for others: tasks of
// lower priority for urgent ones, tasks that only run in idle time for standard
// ones, and tasks of teams that use more than their guarantee for teams that lack
// theirs.
//
// It owns the shortage, and with each victim the mark stopRequested, the job's
// preemptions and the team's use that is being stopped. Stopping is left to the
// caller.
type preemptor struct {
	queue             *pendingQueue
	placement         *placement
	kinds             *kindSelector
	machines          *machineTable
	images            *imageTable
	teams             map[string]*teamUsage
	schedulable       func(*machine, time.Duration) bool
	runTime           func(*meshpb.JobSummary) time.Duration
	withinTeamLimit   func(*trackedJob) bool
	machineObtainable func(*trackedJob, time.Duration) bool

	shortage shortage
}

// victimFilter tells whether a task may be preempted for the work at hand.
type victimFilter func(*replicaOnMachine) bool

// victims chooses the tasks to stop on a machine that sends a heartbeat, and marks
// them so.
func (p *preemptor) chooseVictims(m *machine, now time.Duration) []*replicaOnMachine {
	if queue := p.queue.byKind[m.machineKind]; p.shortage.urgentCPUs > 0 && queue != nil {
		return p.victimsForUrgent(m, queue, now)
	}
	victims := p.victimsForStandard(m, now)
	return append(victims, p.victimsForGuarantee(m, now)...)
}

func (p *preemptor) victimsForUrgent(m *machine, queue *machineKindQueue, now time.Duration) []*replicaOnMachine {
	var victims []*replicaOnMachine
	s := &p.shortage
	for _, q := range queue.images {
		if !q.mayPreempt || q.image.urgentCPUs <= 0 || (!q.mayFetch && !m.hasImage(q.image)) {
			continue
		}
		chosen, cpus := p.chooseCheapest(m, math.Min(q.image.urgentCPUs, s.urgentCPUs), s.urgentCostLimit, now, q.outranks)
		q.image.urgentCPUs -= cpus
		s.urgentCPUs -= cpus
		victims = append(victims, chosen...)
	}
	return victims
}

func (p *preemptor) victimsForStandard(m *machine, now time.Duration) []*replicaOnMachine {
	var victims []*replicaOnMachine
	s := &p.shortage
	if s.standardCPUs <= 0 {
		return nil
	}
	for i := range m.images {
		im := m.images[i].image
		if im.standardCPUs <= 0 {
			continue
		}
		chosen, cpus := p.chooseBestEffort(m, im.standardJob, math.Min(im.standardCPUs, s.standardCPUs), now)
		im.standardCPUs -= cpus
		s.standardCPUs -= cpus
		victims = append(victims, chosen...)
	}
	return victims
}

func (p *preemptor) victimsForGuarantee(m *machine, now time.Duration) []*replicaOnMachine {
	s := &p.shortage
	if s.guaranteeCPUs <= 0 {
		return nil
	}
	for _, job := range s.belowGuarantee {
		if p.placement.canOfferWhenEmpty(m, job, now) {
			victims, cpus := p.chooseCheapest(m, s.guaranteeCPUs, s.guaranteeCostLimit, now, exceedsGuarantee)
			s.guaranteeCPUs -= cpus
			return victims
		}
	}
	return nil
}

// yieldsTo tells whether a task only runs in idle time, and its job would not be
// served before the one that it makes room for.
func (r *replicaOnMachine) yieldsTo(job *trackedJob) bool {
	team := r.job.team
	return r.job.priority == protocol.PriorityBestEffort && team != nil && (team == job.team || team.dominantShare() > job.team.dominantShare())
}

// exceedsGuarantee tells whether a task uses what its team has beyond its
// guarantee: a team gives back what it has borrowed, and no more. Production
// services are never stopped for a guarantee.
func exceedsGuarantee(r *replicaOnMachine) bool {
	if r.job.spec.Service && r.job.priority == protocol.PriorityProduction {
		return false
	}
	team := r.job.team
	return team != nil && team.cpus-team.stoppingCPUs-r.job.spec.Cpus >= team.cfg.CPUs
}

// cheapest chooses the tasks on a machine that lose least until enough CPUs become
// free, and none that loses more than has to be lost on any machine. It returns
// the CPUs that become free, too.
func (p *preemptor) chooseCheapest(m *machine, neededCPUs float64, costLimit, now time.Duration, eligible victimFilter) ([]*replicaOnMachine, float64) {
	var victims []*replicaOnMachine
	cpus := 0.0
	for cpus < neededCPUs {
		victim := p.cheapestVictim(m, costLimit, now, eligible)
		if victim == nil {
			break
		}
		victim.stopRequested = true
		victim.job.preemptions++
		if victim.job.team != nil {
			victim.job.team.stoppingCPUs += victim.job.spec.Cpus
		}
		cpus += victim.job.spec.Cpus
		victims = append(victims, victim)
	}
	return victims, cpus
}

func (p *preemptor) cheapestVictim(m *machine, costLimit, now time.Duration, eligible victimFilter) *replicaOnMachine {
	var victim *replicaOnMachine
	least := costLimit
	for i := range m.tasks {
		replica := &m.tasks[i]
		if !p.preemptible(m, replica, now) || !eligible(replica) {
			continue
		}
		if cost := preemptionCost(m, replica, now); cost <= least {
			victim, least = replica, cost
		}
	}
	return victim
}

// chooseBestEffort chooses tasks that only run in idle time, as far as whole tasks of a
// job find room in their place, and returns the CPUs of these tasks, too.
func (p *preemptor) chooseBestEffort(m *machine, job *trackedJob, neededCPUs float64, now time.Duration) ([]*replicaOnMachine, float64) {
	var victims []*replicaOnMachine
	free, idle := p.bestEffortTasks(m, job, now)
	cpus := 0.0
	for cpus < neededCPUs {
		room, n := free, 0
		for ; n < len(idle) && !room.fits(job.spec); n++ {
			room.add(idle[n].job.spec)
		}
		if !room.fits(job.spec) {
			break
		}
		for _, replica := range idle[:n] {
			replica.stopRequested = true
			replica.job.preemptions++
		}
		victims = append(victims, idle[:n]...)
		idle, free = idle[n:], room
		free.subtract(job.spec)
		cpus += job.spec.Cpus
	}
	return victims, cpus
}

// bestEffortTasks returns what a machine has free once the tasks that are being stopped
// have ended, and the tasks that may be preempted for a standard job, those first
// that lose least.
func (p *preemptor) bestEffortTasks(m *machine, job *trackedJob, now time.Duration) (resources, []*replicaOnMachine) {
	free := m.free
	var idle []*replicaOnMachine
	for i := range m.tasks {
		replica := &m.tasks[i]
		if replica.sizeKnown() && replica.stopRequested && replica.state != protocol.TaskExited {
			free.add(replica.job.spec)
			continue
		}
		if p.preemptible(m, replica, now) && replica.yieldsTo(job) && preemptionCost(m, replica, now) <= p.shortage.idleCostLimit {
			idle = append(idle, replica)
		}
	}
	sort.SliceStable(idle, func(i, k int) bool { return preemptionCost(m, idle[i], now) < preemptionCost(m, idle[k], now) })
	return free, idle
}

// preemptible tells whether a task can be stopped to make room. Left alone are
// tasks that were started out of turn, since their jobs had waited too long or had
// not begun, and tasks of jobs that made room as often as they have tasks, which
// would otherwise make room for ever; unless they save their progress.
func (p *preemptor) preemptible(m *machine, r *replicaOnMachine, now time.Duration) bool {
	if r.stopRequested || !r.sizeKnown() || r.job.ended || m.commands[r.key] != nil || r.preemptionExempt {
		return false
	}
	if r.job.preemptions >= int(r.job.spec.Tasks) && r.job.spec.CheckpointIntervalS <= 0 {
		return false
	}
	return r.state == protocol.TaskFetching || (r.state == protocol.TaskRunning && !p.endsSoon(r, now))
}

// endsSoon tells whether a task is expected to end within moments. One that should
// have ended a while ago may run for long.
func (p *preemptor) endsSoon(r *replicaOnMachine, now time.Duration) bool {
	if r.state != protocol.TaskRunning || !r.sizeKnown() {
		return false
	}
	left := p.runTime(r.job.spec) - (now - r.since)
	return left < nearlyFinishedWindow && left > -nearlyFinishedWindow/2
}

// preemptionCost is the work that is lost if a task is stopped. A fetch that
// another task on the machine waits for goes on, and a task with checkpoints
// saves its progress first.
func preemptionCost(m *machine, r *replicaOnMachine, now time.Duration) time.Duration {
	if r.state == protocol.TaskFetching && m.fetchesImageForAnother(r) {
		return 0
	}
	lost := now - r.since
	if r.job.spec.CheckpointIntervalS <= 0 {
		return lost
	}
	return min(lost, seconds(r.job.spec.CheckpointDurationS+checkpointMarginS))
}

// fetchesImageForAnother tells whether a machine fetches a task's image for another task, too.
func (m *machine) fetchesImageForAnother(r *replicaOnMachine) bool {
	for i := range m.tasks {
		other := &m.tasks[i]
		if other != r && other.state == protocol.TaskFetching && !other.stopRequested && other.sizeKnown() && other.job.image == r.job.image {
			return true
		}
	}
	return false
}
