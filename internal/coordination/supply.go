package coordination

import (
	"math"
	"sort"
	"time"

	"github.com/cobaltvale/cobaltvale/internal/protocol"
)

// supply holds the machines that pending tasks can be matched with, by kind. Those of a
// kind are ordered by their free CPUs, least first.
type supply map[machineKind][]*supplyMachine

// supplyMachine holds the free resources of an existing, requested or planned machine.
type supplyMachine struct {
	machine     *machine // nil: the machine is requested or planned
	free        resources
	partitioned bool // in a partitioned zone; tasks that are not urgent can wait for its return
}

func (s supply) add(kind machineKind, m *supplyMachine) { s[kind] = append(s[kind], m) }

// shortfall is the number of a job's tasks that no machine of the supply has room for.
type shortfall struct {
	job   *trackedJob
	tasks int
}

// collectSupply returns the machines that have room now or soon. It clears the mark
// neededByPendingTasks of the machines that it considers.
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
			added := found // a copy, so that only machines that are added are allocated on the heap
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

// supplyOf returns the resources that are free on a machine now or will be soon.
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

// matchPending allocates the supply to the pending tasks in the scheduling order, marks
// the machines that they need and returns the tasks that need more machines. Tasks that
// can wait until others have ended are allocated what remains.
func (a *autoscaler) matchPending(in *autoscalerInput, s supply) []shortfall {
	var shortfalls []shortfall
	deferrable := make([]shortfall, 0, len(in.pendingJobs))
	for _, job := range in.pendingJobs {
		n := a.tasksNeedingSupply(job, in.wallMs)
		if short := a.allocateSupply(job, n, s, in.now); short > 0 {
			shortfalls = append(shortfalls, shortfall{job, short})
		} else if more := job.unoffered() - n; more > 0 {
			deferrable = append(deferrable, shortfall{job, more})
		}
	}
	for _, d := range deferrable {
		a.allocateSupply(d.job, d.tasks, s, in.now)
	}
	return shortfalls
}

// allocateSupply allocates room for n tasks of a job and returns how many found none.
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
			if m.free.exhausted() {
				full++
			}
		}
		// Each job has to skip the full machines, so these are removed once they are more
		// than half.
		if full > len(machines)/2 {
			s[kind] = removeFullMachines(machines)
		}
	}
	return n
}

// allocateTasks allocates room for at most n tasks of a job and returns for how many it did.
func (s *supplyMachine) allocateTasks(job *trackedJob, n int) int {
	allocated := 0
	for allocated < n && s.free.fits(job.spec) && !(s.partitioned && job.isUrgent()) {
		s.free.subtract(job.spec)
		allocated++
		if s.machine != nil {
			s.machine.neededByPendingTasks = true
		}
	}
	return allocated
}

// removeFullMachines removes the machines without free CPUs, in place.
func removeFullMachines(machines []*supplyMachine) []*supplyMachine {
	remaining := machines[:0]
	for _, m := range machines {
		if !m.free.exhausted() {
			remaining = append(remaining, m)
		}
	}
	return remaining
}

// freeWithinBootTime returns the resources that are expected to be free on a machine within
// the boot time of a new one. A task whose expected end passed longer ago than the boot time
// does not count as ending, since it may run for long.
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
