package coordination

import (
	"math"
	"sort"
	"time"

	"github.com/cobaltvale/cobaltvale/internal/protocol"
)

// supply is the machines that pending tasks can be matched with, by kind, the
// fullest first.
type supply map[machineKind][]*supplyMachine

// supplyMachine is the room on a machine that is there or to come.
type supplyMachine struct {
	machine     *machine // nil: it is requested or planned
	free        resources
	partitioned bool // it is cut off, and should be back: work that is not urgent can wait for it
}

func (s supply) add(kind machineKind, m *supplyMachine) { s[kind] = append(s[kind], m) }

// shortfall is how many of a job's tasks find no room on machines there or to come.
type shortfall struct {
	job   *trackedJob
	tasks int
}

// collectSupply lists the machines that have room now or soon. It clears the mark
// needed of all machines.
func (a *autoscaler) collectSupply(in *autoscalerInput) supply {
	s := make(supply)
	smallest := smallestTaskCPUs(in.pendingJobs)
	for m := range a.machines.all {
		t := a.inventory.Type(m.typeName)
		if t == nil || m.terminated || m.terminating || m.quarantined {
			continue
		}
		m.neededByPendingTasks = false
		if found := a.supplyOf(m, t, in); found.free.cpus > 0 && found.free.cpus >= smallest {
			added := found // so that only what is added is allocated
			s.add(m.machineKind, &added)
		}
	}
	for kind, n := range in.requestedMachines {
		t := a.inventory.Type(kind.Type)
		if t == nil {
			continue
		}
		for range n {
			s.add(machineKindOf(kind), &supplyMachine{free: capacityOf(t)})
		}
	}
	for _, machines := range s {
		sort.SliceStable(machines, func(i, k int) bool { return machines[i].free.cpus < machines[k].free.cpus })
	}
	return s
}

// supplyOf is the room that a machine has, or will have soon.
func (a *autoscaler) supplyOf(m *machine, t *protocol.MachineType, in *autoscalerInput) supplyMachine {
	switch {
	case a.schedulable(m, in.now):
		return supplyMachine{machine: m, free: a.freeWithinBootTime(m, t, in.now)}
	case m.starting() && in.now-m.createdAt < bootTimeout(t):
		return supplyMachine{machine: m, free: capacityOf(t)}
	case m.heartbeatSeen && a.counts.partitionedZones[m.zone] && a.silenceBeyondLimit(m, in) > 0 && !a.missingFromList(m):
		free := m.free
		if a.leaseExpired(m, in.now) {
			free = capacityOf(t)
		}
		return supplyMachine{machine: m, free: free, partitioned: true}
	}
	return supplyMachine{machine: m}
}

func smallestTaskCPUs(jobs []*trackedJob) float64 {
	smallest := math.Inf(1)
	for _, job := range jobs {
		smallest = math.Min(smallest, job.spec.Cpus)
	}
	return smallest
}

// matchPending gives the supply to the pending tasks, in the order of service, and
// marks the machines that they need. Tasks that can take turns get what the
// others leave.
func (a *autoscaler) matchPending(in *autoscalerInput, s supply) []shortfall {
	var shortfalls []shortfall
	rest := make([]shortfall, 0, len(in.pendingJobs))
	for _, job := range in.pendingJobs {
		n := a.tasksNeedingSupply(job, in.wallMs)
		if short := a.allocateSupply(job, n, s, in.now); short > 0 {
			shortfalls = append(shortfalls, shortfall{job, short})
		} else if more := job.unoffered() - n; more > 0 {
			rest = append(rest, shortfall{job, more})
		}
	}
	for _, r := range rest {
		a.allocateSupply(r.job, r.tasks, s, in.now)
	}
	return shortfalls
}

// allocateSupply takes room for n tasks of a job and returns how many found none.
func (a *autoscaler) allocateSupply(job *trackedJob, n int, s supply, now time.Duration) int {
	for _, kind := range a.counts.creatableKinds {
		machines := s[kind]
		if n == 0 {
			break
		}
		if !permits(job.spec, kind) || a.kinds.reservedForOthers(job, kind.typeName, now) {
			continue
		}
		full := 0
		for _, m := range machines {
			if n == 0 {
				break
			}
			if m.machine != nil && m.machine.inWarmPool && !job.spec.Service {
				continue
			}
			n -= m.allocateTasks(job, n)
			if m.free.cpus <= 0 {
				full++
			}
		}
		// Full machines are passed over for each job: they go once they are many.
		if full > len(machines)/2 {
			s[kind] = removeFullMachines(machines)
		}
	}
	return n
}

// take takes room for up to n tasks of a job and returns for how many.
func (s *supplyMachine) allocateTasks(job *trackedJob, n int) int {
	taken := 0
	for taken < n && s.free.fits(job.spec) && !(s.partitioned && job.isUrgent()) {
		s.free.subtract(job.spec)
		taken++
		if s.machine != nil {
			s.machine.neededByPendingTasks = true
		}
	}
	return taken
}

// removeFullMachines drops the machines without free CPUs, in place.
func removeFullMachines(machines []*supplyMachine) []*supplyMachine {
	kept := machines[:0]
	for _, m := range machines {
		if m.free.cpus > 0 {
			kept = append(kept, m)
		}
	}
	return kept
}

// freeWithinBootTime is what a machine has free by the time that a new one would usually be
// up.
func (a *autoscaler) freeWithinBootTime(m *machine, t *protocol.MachineType, now time.Duration) resources {
	free := m.free
	boot := seconds(t.BootS)
	for i := range m.tasks {
		replica := &m.tasks[i]
		if replica.state != protocol.TaskRunning || !replica.requirementsKnown() {
			continue
		}
		if left := a.runTime(replica.job.spec) - (now - replica.stateSince); left < boot && left > -boot {
			free.add(replica.job.spec)
		}
	}
	return free
}
