package shard

// setMachineTasks sets which tasks have a replica on a machine.
func (o *Owner) setMachineTasks(machine int32, refs []taskRef) {
	if len(refs) == 0 {
		delete(o.tasksByMachine, machine)
		return
	}
	o.tasksByMachine[machine] = refs
}

// place notes that a replica of a task is on its way to, or on, a machine.
func (o *Owner) setMachine(job *Job, i int32, machine int32, state TaskState) {
	t := &job.tasks[i]
	switch t.state {
	case TaskFinished, TaskDurable:
		return
	case TaskAssigned, TaskPlaced:
		if t.machine == machine {
			job.setState(i, state)
			return
		}
		o.removeFromMachine(job, i)
	}
	job.setState(i, state)
	t.machine = machine
	o.tasksByMachine[machine] = append(o.tasksByMachine[machine], taskRef{job, i})
	if job.activeByZone != nil {
		job.activeByZone[o.machines.zoneOf(machine)]++
	}
	o.MarkChanged(job)
}

// removeFromMachine takes an assigned or placed task off its machine.
func (o *Owner) removeFromMachine(job *Job, i int32) {
	t := &job.tasks[i]
	refs := o.tasksByMachine[t.machine]
	for k, r := range refs {
		if r.job == job && r.task == i {
			refs[k] = refs[len(refs)-1]
			o.setMachineTasks(t.machine, refs[:len(refs)-1])
			break
		}
	}
	if job.activeByZone != nil {
		job.activeByZone[o.machines.zoneOf(t.machine)]--
	}
}

// unassign takes an active task off wherever it was, into the given state: the caller
// has proof that no replica of it is left.
func (o *Owner) unassign(job *Job, i int32, state TaskState) {
	if s := job.tasks[i].state; s == TaskAssigned || s == TaskPlaced {
		o.removeFromMachine(job, i)
	}
	job.markNotRunning(i)
	job.setState(i, state)
	o.admission.Release(&job.claim, i, job.tasks[i].replica)
	o.MarkChanged(job)
}

// recordReplicaLost replicates a task whose replica is proven lost. Was it started by an
// earlier holder of the shard, there may be a newer one somewhere, until every
// machine is reconciled.
func (o *Owner) recordReplicaLost(job *Job, i int32, reason lossReason) {
	t := &job.tasks[i]
	o.lossCounter.Add(int(reason))
	o.log.Debug().Str("shard", job.shard.name).Str("job", job.id).Int32("task", i).Uint64("replica", t.replica).Stringer("reason", reason).Msg("replica lost")
	if !job.shard.reconciled && t.replica <= job.shard.lastInheritedReplica {
		o.unassign(job, i, TaskUnreconciled)
		o.admission.ChargeInherited(&job.claim, 1)
		return
	}
	o.unassign(job, i, TaskPending)
}
