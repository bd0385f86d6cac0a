package coordination

const (
	quarantineJobThreshold     = 2 // jobs whose tasks a machine fails, at which it is quarantined
	quarantineFailureThreshold = 3 // failures there of jobs that do well elsewhere
)

// quarantine decides which machines get no more tasks because they fail them: those
// that fail the tasks of several jobs, or again and again those of one that does well
// elsewhere. A job that fails everywhere does not count against any machine, nor one
// that has failed on most of the few that there are: once that shows, machines that
// were quarantined for it come back.
//
// It owns machine.failuresByJob and quarantined, and trackedJob.failedMachines and succeeded.
type quarantine struct {
	machines *machineTable
	jobs     map[string]*trackedJob // the leader's
}

// recordSuccess notes that a task has ended well on a machine.
func (q *quarantine) recordSuccess(m *machine, job *trackedJob) {
	m.failuresByJob = nil
	job.taskSucceeded = true
	job.failedMachines = nil
}

// recordServiceEnd notes that a service's task has ended by itself. The machine keeps
// the result: started there again the task would end at once.
func (q *quarantine) recordServiceEnd(m *machine, job *trackedJob) { job.recordFailedMachine(m) }

// recordFailure notes that a task has failed on a machine, of as many as have sent
// heartbeats. It tells whether the machine has just been quarantined, and for how
// many failures of jobs that do well elsewhere.
func (q *quarantine) recordFailure(m *machine, job *trackedJob, heardMachines int) (failures int, quarantined bool) {
	if m.failuresByJob == nil {
		m.failuresByJob = make(map[string]int)
	}
	m.failuresByJob[job.id]++
	known := job.failedMachines[m.name]
	job.recordFailedMachine(m)
	before := m.quarantined
	failures = q.update(m, heardMachines)
	quarantined = m.quarantined && !before
	if !known && !job.taskSucceeded && job.failsEverywhere(heardMachines) {
		q.reconsider(job, heardMachines)
	}
	return failures, quarantined
}

// reconsider decides anew on the quarantined machines that a job has failed on.
func (q *quarantine) reconsider(job *trackedJob, heardMachines int) {
	for name := range job.failedMachines {
		if m := q.machines.get(name); m != nil && m.quarantined {
			q.update(m, heardMachines)
		}
	}
}

// update decides on a machine, and returns its failures of jobs that do well
// elsewhere.
func (q *quarantine) update(m *machine, heardMachines int) (failures int) {
	jobs := 0
	for id, n := range m.failuresByJob {
		job := q.jobs[id]
		if job != nil && !job.taskSucceeded && job.failsEverywhere(heardMachines) {
			continue
		}
		jobs++
		if job != nil && job.taskSucceeded {
			failures += n
		}
	}
	m.quarantined = jobs >= quarantineJobThreshold || failures >= quarantineFailureThreshold
	return failures
}

// recordFailedMachine notes a machine on which a job should not be started again.
func (j *trackedJob) recordFailedMachine(m *machine) {
	if j.failedMachines == nil {
		j.failedMachines = make(map[string]bool)
	}
	j.failedMachines[m.name] = true
}

// failsEverywhere tells whether a job has failed on so many machines, or so great a
// part of them, that the fault is its own.
func (j *trackedJob) failsEverywhere(machines int) bool {
	return len(j.failedMachines) >= minMachinesForJobFault || (len(j.failedMachines) > 1 && 2*len(j.failedMachines) > machines)
}
