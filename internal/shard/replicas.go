package shard

// setMachineTasks sets which tasks have a replica on a machine.
func (o *Owner) setMachineTasks(machine int32, refs []taskRef) {
	if len(refs) == 0 {
		delete(o.tasksByMachine, machine)
		return
	}
	o.tasksByMachine[machine] = refs
}

// setMachine records that a replica of a task is on its way to a machine, or on it.
func (o *Owner) setMachine(job *Job, task int32, machine int32, state TaskState) {
	t := &job.tasks[task]
	switch t.state {
	case TaskFinished, TaskDurable:
		return
	case TaskAssigned, TaskPlaced:
		if t.machine == machine {
			job.setState(task, state)
			return
		}
		o.removeFromMachine(job, task)
	}
	job.setState(task, state)
	t.machine = machine
	o.tasksByMachine[machine] = append(o.tasksByMachine[machine], taskRef{job, task})
	if job.activeByZone != nil {
		job.activeByZone[o.machines.zoneOf(machine)]++
	}
	o.MarkChanged(job)
}

// removeFromMachine removes an assigned or placed task from its machine's tasks.
func (o *Owner) removeFromMachine(job *Job, task int32) {
	t := &job.tasks[task]
	refs := o.tasksByMachine[t.machine]
	for k, ref := range refs {
		if ref.job == job && ref.task == task {
			refs[k] = refs[len(refs)-1]
			o.setMachineTasks(t.machine, refs[:len(refs)-1])
			break
		}
	}
	if job.activeByZone != nil {
		job.activeByZone[o.machines.zoneOf(t.machine)]--
	}
}

// unassign moves an active task to the given state and releases what its replica uses of
// the allocation. The caller has proof that no replica of the task is left, unless the
// state is TaskUnreconciled.
func (o *Owner) unassign(job *Job, task int32, state TaskState) {
	if s := job.tasks[task].state; s == TaskAssigned || s == TaskPlaced {
		o.removeFromMachine(job, task)
	}
	job.markNotRunning(task)
	job.setState(task, state)
	o.admission.Release(&job.claim, task, job.tasks[task].replica)
	o.MarkChanged(job)
}

// recordReplicaLost makes a task whose replica is proven lost pending again. If an earlier
// holder of the shard started that replica, a newer one may exist on some machine until
// every machine is reconciled, so until then the task becomes unreconciled instead.
func (o *Owner) recordReplicaLost(job *Job, task int32, reason lossReason) {
	t := &job.tasks[task]
	o.lossCounter.Add(int(reason))
	o.log.Debug().Str("shard", job.shard.name).Str("job", job.id).Int32("task", task).Uint64("replica", t.replica).Stringer("reason", reason).Msg("replica lost")
	if !job.shard.reconciled && t.replica <= job.shard.lastInheritedReplica {
		o.unassign(job, task, TaskUnreconciled)
		o.admission.ChargeInherited(&job.claim, 1)
		return
	}
	o.unassign(job, task, TaskPending)
}
