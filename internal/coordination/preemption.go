package coordination

import (
	"math"
	"sort"
	"time"

	"github.com/cobaltvale/cobaltvale/internal/protocol"
	"github.com/cobaltvale/cobaltvale/internal/protocol/meshpb"
)

const (
	// nearlyFinishedWindow is the expected remaining run time below which a task is not
	// preempted.
	nearlyFinishedWindow = 3 * time.Second
	// checkpointMarginS, in seconds, is how much longer than stated in the job's spec a
	// checkpoint may take.
	checkpointMarginS = 1.0
)

// noCostLimit allows a task to be preempted however much work is lost.
const noCostLimit = time.Duration(math.MaxInt64)

// preemptor chooses the victims, which are the tasks that are stopped to make room for
// others: tasks of lower priority for urgent ones, best-effort tasks for standard ones,
// and tasks of teams that use more than their guarantee for teams that use less than
// theirs.
//
// It owns the shortage, the mark stopRequested of its victims, the jobs' counts of
// preemptions and the teams' stoppingCPUs. The caller sends the stop commands.
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

// victimFilter reports whether a task may be preempted for the work that lacks room.
type victimFilter func(*replicaOnMachine) bool

// chooseVictims chooses the tasks to stop on a machine that sends a heartbeat, and sets
// their mark stopRequested.
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
	for _, job := range s.jobsBelowGuarantee {
		if p.placement.canOfferWhenEmpty(m, job, now) {
			victims, cpus := p.chooseCheapest(m, s.guaranteeCPUs, s.guaranteeCostLimit, now, exceedsGuarantee)
			s.guaranteeCPUs -= cpus
			return victims
		}
	}
	return nil
}

// yieldsTo reports whether a task is best-effort and may be preempted for a standard job:
// its team is the same or has the higher dominant share. Otherwise its job would be
// scheduled before the job that it made room for.
func (r *replicaOnMachine) yieldsTo(job *trackedJob) bool {
	team := r.job.team
	return r.job.priority == protocol.PriorityBestEffort && team != nil && (team == job.team || team.dominantShare() > job.team.dominantShare())
}

// exceedsGuarantee reports whether a task can be stopped without taking its team below
// its guarantee: a team releases what it has borrowed, and no more. Production services
// are never stopped for a guarantee.
func exceedsGuarantee(r *replicaOnMachine) bool {
	if r.job.spec.Service && r.job.priority == protocol.PriorityProduction {
		return false
	}
	team := r.job.team
	return team != nil && team.cpus-team.stoppingCPUs-r.job.spec.Cpus >= team.cfg.CPUs
}

// chooseCheapest chooses and marks the tasks on a machine that lose the least work, until
// enough CPUs become free. It chooses none that loses more than costLimit: more doesn't have
// to be lost on any machine. It returns the tasks and the CPUs that become free.
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

// chooseBestEffort chooses and marks best-effort tasks to stop for a standard job, only
// as far as whole tasks of the job fit in their place. It returns them and the CPUs of
// the tasks that fit.
func (p *preemptor) chooseBestEffort(m *machine, job *trackedJob, neededCPUs float64, now time.Duration) ([]*replicaOnMachine, float64) {
	var victims []*replicaOnMachine
	free, tasks := p.bestEffortTasks(m, job, now)
	cpus := 0.0
	for cpus < neededCPUs {
		room, n := free, 0
		for ; n < len(tasks) && !room.fits(job.spec); n++ {
			room.add(tasks[n].job.spec)
		}
		if !room.fits(job.spec) {
			break
		}
		for _, replica := range tasks[:n] {
			replica.stopRequested = true
			replica.job.preemptions++
		}
		victims = append(victims, tasks[:n]...)
		tasks, free = tasks[n:], room
		free.subtract(job.spec)
		cpus += job.spec.Cpus
	}
	return victims, cpus
}

// bestEffortTasks returns what a machine has free once the tasks that are being stopped
// have ended, and the best-effort tasks that may be preempted for a standard job, ordered
// by the work that they would lose, least first.
func (p *preemptor) bestEffortTasks(m *machine, job *trackedJob, now time.Duration) (resources, []*replicaOnMachine) {
	free := m.free
	var tasks []*replicaOnMachine
	for i := range m.tasks {
		replica := &m.tasks[i]
		if replica.requirementsKnown() && replica.stopRequested && replica.state != protocol.TaskExited {
			free.add(replica.job.spec)
			continue
		}
		if p.preemptible(m, replica, now) && replica.yieldsTo(job) && preemptionCost(m, replica, now) <= p.shortage.standardCostLimit {
			tasks = append(tasks, replica)
		}
	}
	sort.SliceStable(tasks, func(i, k int) bool { return preemptionCost(m, tasks[i], now) < preemptionCost(m, tasks[k], now) })
	return free, tasks
}

// preemptible reports whether a task can be stopped to make room. Two groups are exempt:
// tasks marked preemptionExempt, which are those started out of turn because their jobs were
// overdue, and of each best-effort job the first task that this leader started; and tasks of
// jobs that were preempted as often as they have tasks and write no checkpoints, since these
// jobs could otherwise be preempted forever.
func (p *preemptor) preemptible(m *machine, r *replicaOnMachine, now time.Duration) bool {
	if r.stopRequested || !r.requirementsKnown() || r.job.ended || m.ownerCommands[r.key] != nil || r.preemptionExempt {
		return false
	}
	if r.job.preemptions >= int(r.job.spec.Tasks) && r.job.spec.CheckpointIntervalS <= 0 {
		return false
	}
	return r.state == protocol.TaskFetching || (r.state == protocol.TaskRunning && !p.endsSoon(r, now))
}

// endsSoon reports whether a running task is expected to end within
// nearlyFinishedWindow. A task whose expected end passed half of that window ago or earlier
// does not count, since it may run for long.
func (p *preemptor) endsSoon(r *replicaOnMachine, now time.Duration) bool {
	if r.state != protocol.TaskRunning || !r.requirementsKnown() {
		return false
	}
	left := p.runTime(r.job.spec) - (now - r.stateSince)
	return left < nearlyFinishedWindow && left > -nearlyFinishedWindow/2
}

// preemptionCost is the work, as a run time, that is lost if a task is stopped. A fetch
// that another task on the machine also waits for continues and costs nothing. A task
// with checkpoints writes one before it stops, and loses at most the time for that.
func preemptionCost(m *machine, r *replicaOnMachine, now time.Duration) time.Duration {
	if r.state == protocol.TaskFetching && m.fetchesImageForAnother(r) {
		return 0
	}
	lost := now - r.stateSince
	if r.job.spec.CheckpointIntervalS <= 0 {
		return lost
	}
	return min(lost, seconds(r.job.spec.CheckpointDurationS+checkpointMarginS))
}

// fetchesImageForAnother reports whether a machine fetches a task's image for another
// task as well.
func (m *machine) fetchesImageForAnother(r *replicaOnMachine) bool {
	for i := range m.tasks {
		other := &m.tasks[i]
		if other != r && other.state == protocol.TaskFetching && !other.stopRequested && other.requirementsKnown() && other.job.image == r.job.image {
			return true
		}
	}
	return false
}
