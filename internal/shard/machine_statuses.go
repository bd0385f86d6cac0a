package shard

import "github.com/cobaltvale/cobaltvale/internal/protocol/meshpb"

// HandleMachineStatuses handles the statuses of machines that the leader passes on.
func (o *Owner) HandleMachineStatuses(message *meshpb.MachineStatuses) {
	for _, name := range message.Names {
		o.machines.setLeaderIndex(name)
	}
	now := o.now()
	for _, status := range message.Statuses {
		machine := o.machines.localIndex(status.MachineIndex)
		if machine == unknownMachine {
			continue
		}
		o.machines.recordStatus(machine, status, message.ClockUs, now)
		o.handleMachineStatus(machine, status)
	}
}

// handleMachineStatus handles the status of a machine that the leader passes on. Only a
// current status shows what is on the machine, as it was sent by an agent that follows the
// current leader; machineObservation determines what the absence of a replica from it
// proves. A status of a later epoch, however old, proves that everything that the machine
// held before is gone.
func (o *Owner) handleMachineStatus(machine int32, status *meshpb.MachineStatus) {
	var listed map[taskRef]bool
	if status.Current && !status.Unchanged && len(status.Tasks) > 0 {
		listed = make(map[taskRef]bool, len(status.Tasks))
		o.handleTaskStatuses(machine, status, listed)
	}
	observation := machineObservation{machine: machine, status: status,
		heartbeatSinceRegistration: sentHeartbeatSince(o.lastRegisteredAtUs, o.machines.entry(machine).previousHeartbeatUs)}
	o.orphans.handleMachineStatus(&observation)
	refs := o.tasksByMachine[machine]
	for k := len(refs) - 1; k >= 0; k-- {
		ref := refs[k]
		t := &ref.job.tasks[ref.task]
		if status.Epoch <= t.epoch && listed[ref] {
			continue
		}
		switch reason := observation.proveLoss(t, &ref.job.shard.registration); reason {
		case notLost:
		case lossUnproven:
			o.lossCounter.Add(int(lossUnproven))
			o.log.Debug().Str("shard", ref.job.shard.name).Str("job", ref.job.id).Int32("task", ref.task).Uint64("replica", t.replica).
				Msg("replica missing from a status that may be incomplete")
		default:
			o.recordReplicaLost(ref.job, ref.task, reason)
		}
	}
}

// handleTaskStatuses handles the tasks that a machine lists, and adds to listed the tasks
// whose current replica the machine lists.
func (o *Owner) handleTaskStatuses(machine int32, status *meshpb.MachineStatus, listed map[taskRef]bool) {
	for _, s := range status.Tasks {
		job := o.jobs[s.Job]
		if job == nil {
			o.handleTaskOfUnknownJob(machine, s)
			continue
		}
		if int(s.Task) >= len(job.tasks) {
			continue
		}
		ref := taskRef{job, int32(s.Task)}
		o.handleTaskStatus(&listedTask{ref: ref, machine: machine, epoch: status.Epoch, status: s})
		if s.Replica == job.tasks[ref.task].replica {
			listed[ref] = true
		}
	}
}

// handleTaskOfUnknownJob cleans up a replica of a job that is known to have ended. The
// leader should know that the job has ended; in case it does not, its tasks still have to
// be stopped (rule ran_cancelled).
func (o *Owner) handleTaskOfUnknownJob(machine int32, s *meshpb.TaskStatus) {
	if o.config.FinalStatuses.Ended(s.Job) {
		o.queueCommand(machine, s.Job, s.Task, s.Replica, commandFor(s))
	}
}
