package shard

import "github.com/cobaltvale/cobaltvale/internal/protocol/meshpb"

// OnMachineStatuses takes what the leader passes on of machines.
func (o *Owner) OnMachineStatuses(f *meshpb.MachineStatuses) {
	for _, n := range f.Names {
		o.machines.name(n)
	}
	now := o.now()
	for _, status := range f.Statuses {
		machine := o.machines.local(status.MachineIndex)
		if machine == unknownMachine {
			continue
		}
		o.machines.observe(machine, status, f.ClockUs, now)
		o.onMachineStatus(machine, status)
	}
}

// onMachineStatus takes what the leader passes on of a machine. Only a current status
// tells what is on it, as it was sent by an agent that follows the present leader;
// what its absence proves is told by machineObservation. One of a later epoch, however
// old, proves that all that the machine held before is gone.
func (o *Owner) onMachineStatus(machine int32, status *meshpb.MachineStatus) {
	var listed map[taskRef]bool
	if status.Current && !status.Unchanged && len(status.Tasks) > 0 {
		listed = make(map[taskRef]bool, len(status.Tasks))
		o.onTaskStatuses(machine, status, listed)
	}
	observation := machineObservation{machine: machine, status: status,
		heardSinceRegistration: observedSince(o.lastRegisteredAtUs, o.machines.at(machine).heardBeforeUs)}
	o.orphans.onMachineStatus(&observation)
	refs := o.replicas[machine]
	for k := len(refs) - 1; k >= 0; k-- {
		ref := refs[k]
		t := &ref.job.tasks[ref.task]
		if status.Epoch <= t.epoch && listed[ref] {
			continue
		}
		switch reason := observation.proveLoss(t, &ref.job.shard.registration); reason {
		case notLost:
		case lossUnproven:
			o.losses.Add(int(lossUnproven))
			o.log.Debug().Str("shard", ref.job.shard.name).Str("job", ref.job.id).Int32("task", ref.task).Uint64("replica", t.replica).
				Msg("replica missing from a status that may be incomplete")
		default:
			o.replicaLost(ref.job, ref.task, reason)
		}
	}
}

// onTaskStatuses takes the tasks that a machine lists, and marks as listed those whose
// replica is the one that counts.
func (o *Owner) onTaskStatuses(machine int32, status *meshpb.MachineStatus, listed map[taskRef]bool) {
	for _, s := range status.Tasks {
		job := o.jobs[s.Job]
		if job == nil {
			o.onTaskOfUnknownJob(machine, s)
			continue
		}
		if int(s.Task) >= len(job.tasks) {
			continue
		}
		ref := taskRef{job, int32(s.Task)}
		o.onTaskStatus(&taskStatus{ref: ref, machine: machine, epoch: status.Epoch, status: s})
		if s.Replica == job.tasks[ref.task].replica {
			listed[ref] = true
		}
	}
}

// onTaskOfUnknownJob has what is left of a job that has ended cleared. The leader should
// know that it has; in case it does not, its tasks must still go (ran_cancelled).
func (o *Owner) onTaskOfUnknownJob(machine int32, s *meshpb.TaskStatus) {
	if o.config.FinalStatuses.Ended(s.Job) {
		o.command(machine, s.Job, s.Task, s.Replica, clearingOf(s))
	}
}
