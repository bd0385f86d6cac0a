package coordination

import (
	"math"
	"time"

	"github.com/cobaltvale/cobaltvale/internal/cloud"
	"github.com/cobaltvale/cobaltvale/internal/protocol"
	"github.com/cobaltvale/cobaltvale/internal/settings"
)

// limitTolerance is how far a team's use may exceed its limit because of rounding errors.
const limitTolerance = 1e-9

// unknownMachinesShare is the part of a team's limit that counts as used while machines
// may exist that the leader does not know.
const unknownMachinesShare = 0.5

// recoveryProgress states what a leader knows of the work that earlier leaders may have
// left behind.
type recoveryProgress struct {
	jobsKnown     bool // it knows all unfinished jobs
	machinesKnown bool // it knows every machine that may hold a task
}

// usageAccounting records what teams use, and the resources of replicas that may run but
// that no owner accounts for. Its methods are called at every change of a job or a
// machine. It owns the fields that hold what it has counted already:
// trackedJob.countedTasks and liveReplicas, and machine.replicasCounted and unreconciled.
type usageAccounting struct {
	leases       machineLeases
	teams        map[string]*teamUsage
	unreconciled resources // sum of machine.unreconciled
}

// teamUsage is a team and what it uses: tasks of its jobs that owners have placed, tasks
// on offer, and live replicas of jobs that have ended.
type teamUsage struct {
	cfg  *settings.Team
	cpus float64
	gpus float64
	// stoppingCPUs is the part of cpus whose tasks were told to stop.
	stoppingCPUs float64
}

// newUsageAccounting returns the accounting for teams that use nothing yet.
func newUsageAccounting(teams []settings.Team, leases machineLeases) usageAccounting {
	u := usageAccounting{leases: leases, teams: make(map[string]*teamUsage)}
	for i := range teams {
		u.teams[teams[i].Name] = &teamUsage{cfg: &teams[i]}
	}
	return u
}

// dominantShare is the part of its guarantee that a team uses, of CPUs or of GPUs,
// whichever is larger. Teams with a lower share come first in the scheduling order.
func (t *teamUsage) dominantShare() float64 {
	share := t.cpus / math.Max(t.cfg.CPUs, 1)
	if t.cfg.GPUs > 0 {
		share = math.Max(share, t.gpus/t.cfg.GPUs)
	}
	return share
}

// charge adds what a number of a job's tasks use. The number may be negative.
func (t *teamUsage) charge(job *trackedJob, tasks float64) {
	t.cpus += tasks * job.spec.Cpus
	t.gpus += tasks * job.spec.Gpus
}

// update adjusts the use of a job's team after the job's task counts have changed.
func (u *usageAccounting) update(job *trackedJob) {
	n := job.assigned + job.offered
	if job.ended {
		n = job.liveReplicas
	}
	if change := float64(n - job.countedTasks); change != 0 && job.team != nil && job.spec != nil {
		job.team.charge(job, change)
	}
	job.countedTasks = n
}

// remove subtracts what is counted for a job. It is called before the job's spec or team
// changes.
func (u *usageAccounting) remove(job *trackedJob) {
	if job.spec != nil && job.team != nil {
		job.team.cpus -= float64(job.countedTasks) * job.spec.Cpus
		job.team.gpus -= float64(job.countedTasks) * job.spec.Gpus
	}
	job.countedTasks = 0
}

// recompute computes all sums from scratch, so that the rounding errors of many small
// changes do not accumulate.
func (u *usageAccounting) recompute(jobs map[string]*trackedJob, machines *machineTable) {
	for _, team := range u.teams {
		team.cpus, team.gpus = 0, 0
	}
	for _, job := range jobs {
		if job.team != nil && job.spec != nil {
			job.team.charge(job, float64(job.countedTasks))
		}
	}
	u.unreconciled = resources{}
	for m := range machines.all {
		u.unreconciled.cpus += m.unreconciled.cpus
		u.unreconciled.gpus += m.unreconciled.gpus
	}
}

// countReplicas adds the live replicas that a machine lists, or was sent, to the counts of
// their jobs. For a job that has ended, its live replicas are what its team still uses.
func (u *usageAccounting) countReplicas(m *machine) {
	if !m.replicasCounted {
		m.replicasCounted = true
		u.addLiveReplicas(m, 1)
	}
}

// uncountReplicas subtracts the live replicas of a machine again: before the machine's list
// changes, or once the machine is terminated or its lease is guaranteed to have expired.
func (u *usageAccounting) uncountReplicas(m *machine) {
	if m.replicasCounted {
		m.replicasCounted = false
		u.addLiveReplicas(m, -1)
	}
}

// addLiveReplicas adds 1 or -1 to a job's count of live replicas for each replica of it on
// a machine.
func (u *usageAccounting) addLiveReplicas(m *machine, by int) {
	for _, replicas := range [...][]replicaOnMachine{m.tasks, m.sentStarts} {
		for i := range replicas {
			replica := &replicas[i]
			if replica.job == nil || replica.state == protocol.TaskExited {
				continue
			}
			replica.job.liveReplicas += by
			if replica.job.ended {
				u.update(replica.job)
			}
		}
	}
}

// updateUnreconciled records how much may run on a machine that no owner accounts for:
// its whole capacity if it lists replicas of unknown jobs, or if an earlier leader may have
// started tasks on it and it has sent no heartbeat with this leader's fencing token yet.
func (u *usageAccounting) updateUnreconciled(m *machine, catalog cloud.Catalog, now time.Duration) {
	mayRun := resources{}
	if !m.terminated && !u.leases.expired(m, now) {
		if m.mayRunUnreconciled() {
			mayRun = capacityOrLargest(catalog, m.typeName)
		}
	} else {
		u.uncountReplicas(m)
	}
	u.unreconciled.cpus += mayRun.cpus - m.unreconciled.cpus
	u.unreconciled.gpus += mayRun.gpus - m.unreconciled.gpus
	m.unreconciled = mayRun
}

// hasTeamLimit reports whether a limit of its team applies to a job. Most teams have no
// limit, so this cheap check, made for each examined job, saves the full one.
func (j *trackedJob) hasTeamLimit() bool {
	return (j.team.cfg.CPUsMax > 0 && j.spec.Cpus != 0) || (j.team.cfg.GPUsMax > 0 && j.spec.Gpus != 0)
}

// withinLimit reports whether a job's team stays within its limit with one more task,
// even if all replicas do run that may run and that no owner accounts for. It returns false
// for a limited resource while not all unfinished jobs are known, since the limit can't
// be guaranteed then.
func (u *usageAccounting) withinLimit(job *trackedJob, progress recoveryProgress) bool {
	within := func(limit, used, unreconciled, need float64) bool {
		if limit <= 0 || need == 0 {
			return true
		}
		if !progress.jobsKnown {
			return false
		}
		if !progress.machinesKnown {
			unreconciled += limit * unknownMachinesShare
		}
		return used+unreconciled+need <= limit+limitTolerance
	}
	team := job.team
	return within(team.cfg.CPUsMax, team.cpus, u.unreconciled.cpus, job.spec.Cpus) &&
		within(team.cfg.GPUsMax, team.gpus, u.unreconciled.gpus, job.spec.Gpus)
}
