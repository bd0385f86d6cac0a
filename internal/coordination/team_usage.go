package coordination

import (
	"math"
	"time"

	"github.com/cobaltvale/cobaltvale/internal/cloud"
	"github.com/cobaltvale/cobaltvale/internal/protocol"
	"github.com/cobaltvale/cobaltvale/internal/settings"
)

// limitTolerance is by how much rounding may carry a team's use over its limit.
const limitTolerance = 1e-9

// unknownMachinesShare is the part of a team's limit that counts as used while
// machines may exist that the leader has never heard of.
const unknownMachinesShare = 0.5

// knowledge is what a leader knows of the work that earlier ones may have left.
type recoveryProgress struct {
	jobsKnown     bool // all unfinished jobs
	machinesKnown bool // every machine that may hold a task
}

// usageAccounting keeps what teams use and what may run that no owner accounts for.
// It is told of every change of a job or a machine, and owns the counts by which it
// knows what it has counted already: trackedJob.countedTasks and liveReplicas, and
// machine.replicasCounted and unreconciled.
type usageAccounting struct {
	leases       machineLeases
	teams        map[string]*teamUsage
	unreconciled resources
}

// teamUsage is a team with what it uses: what its owners have placed, what is on
// offer, and what is left of jobs that have ended.
type teamUsage struct {
	cfg  *settings.Team
	cpus float64
	gpus float64
	// stopping is the part of cpus that was told to stop.
	stoppingCPUs float64
}

// newUsageAccounting returns an account of teams that use nothing yet.
func newUsageAccounting(teams []settings.Team, leases machineLeases) usageAccounting {
	u := usageAccounting{leases: leases, teams: make(map[string]*teamUsage)}
	for i := range teams {
		u.teams[teams[i].Name] = &teamUsage{cfg: &teams[i]}
	}
	return u
}

// dominantShare is how much of its guarantee a team uses; the lowest is served first.
func (t *teamUsage) dominantShare() float64 {
	share := t.cpus / math.Max(t.cfg.CPUs, 1)
	if t.cfg.GPUs > 0 {
		share = math.Max(share, t.gpus/t.cfg.GPUs)
	}
	return share
}

// charge adds the use of a number of a job's tasks, which may be negative.
func (t *teamUsage) charge(job *trackedJob, tasks float64) {
	t.cpus += tasks * job.spec.Cpus
	t.gpus += tasks * job.spec.Gpus
}

// update counts a job anew after its numbers have changed.
func (u *usageAccounting) update(job *trackedJob) {
	n := job.placed + job.offered
	if job.ended {
		n = job.liveReplicas
	}
	if change := float64(n - job.countedTasks); change != 0 && job.team != nil && job.spec != nil {
		job.team.charge(job, change)
	}
	job.countedTasks = n
}

// remove takes out what is counted for a job: before its spec or its team changes.
func (u *usageAccounting) remove(job *trackedJob) {
	if job.spec != nil && job.team != nil {
		job.team.cpus -= float64(job.countedTasks) * job.spec.Cpus
		job.team.gpus -= float64(job.countedTasks) * job.spec.Gpus
	}
	job.countedTasks = 0
}

// recompute adds everything up anew, so that rounding errors of many small changes
// cannot accumulate.
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

// countReplicas counts the live replicas that a machine lists, or was sent, with
// their jobs: of a job that has ended, they are what its team still uses.
func (u *usageAccounting) countReplicas(m *machine) {
	if !m.replicasCounted {
		m.replicasCounted = true
		u.addLiveReplicas(m, 1)
	}
}

// uncountReplicas takes them out again: before the list changes, or when the
// machine's lease has surely expired.
func (u *usageAccounting) uncountReplicas(m *machine) {
	if m.replicasCounted {
		m.replicasCounted = false
		u.addLiveReplicas(m, -1)
	}
}

// addLiveReplicas changes the numbers of live replicas of the jobs on a machine by
// 1 or -1 for each.
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

// updateUnreconciled notes how much may run on a machine that no owner accounts
// for: replicas of unknown jobs, or whatever is on a machine that has not yet
// responded to this leader.
func (u *usageAccounting) updateUnreconciled(m *machine, catalog cloud.Catalog, now time.Duration) {
	most := resources{}
	if !m.terminated && !u.leases.expired(m, now) {
		if m.mayRunUnreconciled() {
			most = capacityOrLargest(catalog, m.typeName)
		}
	} else {
		u.uncountReplicas(m)
	}
	u.unreconciled.cpus += most.cpus - m.unreconciled.cpus
	u.unreconciled.gpus += most.gpus - m.unreconciled.gpus
	m.unreconciled = most
}

// limited tells whether a limit of its team applies to a job: of most teams none does,
// and the question is asked for each job that is looked at.
func (j *trackedJob) hasTeamLimit() bool {
	return (j.team.cfg.CPUsMax > 0 && j.spec.Cpus != 0) || (j.team.cfg.GPUsMax > 0 && j.spec.Gpus != 0)
}

// withinLimit tells whether one more task keeps a job's team inside its limit,
// whatever may be running that no owner accounts for. While not all unfinished jobs
// are known, no limit can be kept for sure.
func (u *usageAccounting) withinLimit(job *trackedJob, known recoveryProgress) bool {
	within := func(limit, used, unreconciled, need float64) bool {
		if limit <= 0 || need == 0 {
			return true
		}
		if !known.jobsKnown {
			return false
		}
		if !known.machinesKnown {
			unreconciled += limit * unknownMachinesShare
		}
		return used+unreconciled+need <= limit+limitTolerance
	}
	team := job.team
	return within(team.cfg.CPUsMax, team.cpus, u.unreconciled.cpus, job.spec.Cpus) &&
		within(team.cfg.GPUsMax, team.gpus, u.unreconciled.gpus, job.spec.Gpus)
}
