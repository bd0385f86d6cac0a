package coordination

const (
	// quarantineJobThreshold is the number of jobs with failures on a machine at which it
	// is quarantined.
	quarantineJobThreshold = 2
	// quarantineFailureThreshold is the number of failures on a machine, of jobs that
	// succeed elsewhere, at which it is quarantined.
	quarantineFailureThreshold = 3
)

// quarantine decides which machines get no more tasks because tasks fail there: machines
// on which tasks of several jobs fail, or on which tasks of jobs that succeed elsewhere
// fail repeatedly. A job that fails everywhere does not count against any machine, nor
// does one that has failed on most machines of a small fleet. Once a job has failed on so
// many machines, those that were quarantined because of it are used again.
//
// It owns machine.failuresByJob and quarantined, and trackedJob.failedMachines and
// taskSucceeded.
type quarantine struct {
	machines *machineTable
	jobs     map[string]*trackedJob // the leader's jobs, by ID
}

// recordSuccess records that a task has succeeded on a machine.
func (q *quarantine) recordSuccess(m *machine, job *trackedJob) {
	m.failuresByJob = nil
	job.taskSucceeded = true
	job.failedMachines = nil
}

// recordServiceEnd records that a service's task has exited on a machine without being stopped.
// The machine keeps the result, so the task would end at once if it were started there again.
func (q *quarantine) recordServiceEnd(m *machine, job *trackedJob) { job.recordFailedMachine(m) }

// recordFailure records that a task has failed on a machine; reportedMachines is how many
// machines have sent heartbeats. It returns the number of failures on the machine of jobs
// that succeed elsewhere, and whether this failure has caused the machine's quarantine.
func (q *quarantine) recordFailure(m *machine, job *trackedJob, reportedMachines int) (failures int, quarantined bool) {
	if m.failuresByJob == nil {
		m.failuresByJob = make(map[string]int)
	}
	m.failuresByJob[job.id]++
	failedBefore := job.failedMachines[m.name]
	job.recordFailedMachine(m)
	wasQuarantined := m.quarantined
	failures = q.update(m, reportedMachines)
	quarantined = m.quarantined && !wasQuarantined
	if !failedBefore && !job.taskSucceeded && job.failsEverywhere(reportedMachines) {
		q.reconsider(job, reportedMachines)
	}
	return failures, quarantined
}

// reconsider repeats the decision for the quarantined machines on which a job has failed.
func (q *quarantine) reconsider(job *trackedJob, reportedMachines int) {
	for name := range job.failedMachines {
		if m := q.machines.get(name); m != nil && m.quarantined {
			q.update(m, reportedMachines)
		}
	}
}

// update decides whether a machine is quarantined, and returns the number of failures on
// it of jobs that succeed elsewhere.
func (q *quarantine) update(m *machine, reportedMachines int) (failures int) {
	jobs := 0
	for id, n := range m.failuresByJob {
		job := q.jobs[id]
		if job != nil && !job.taskSucceeded && job.failsEverywhere(reportedMachines) {
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

// recordFailedMachine records a machine on which a job should not be started again.
func (j *trackedJob) recordFailedMachine(m *machine) {
	if j.failedMachines == nil {
		j.failedMachines = make(map[string]bool)
	}
	j.failedMachines[m.name] = true
}

// failsEverywhere reports whether a job has failed on minMachinesForJobFault machines, or
// on more than one and more than half of all machines, so that the fault is its own.
func (j *trackedJob) failsEverywhere(machines int) bool {
	return len(j.failedMachines) >= minMachinesForJobFault || (len(j.failedMachines) > 1 && 2*len(j.failedMachines) > machines)
}
