package shard

import "github.com/cobaltvale/cobaltvale/internal/protocol/meshpb"

// Bind binds pending tasks to the machine of an offer. It appends the new bindings and a
// summary of each offered job to bindings.
func (o *Owner) Bind(offer *meshpb.Offer, bindings *meshpb.Bindings) {
	machine := o.machines.localIndex(offer.MachineIndex)
	if machine == unknownMachine {
		return
	}
	for _, item := range offer.Items {
		job := o.jobs[item.Job]
		if job == nil {
			continue
		}
		bindings.Bindings = o.bindTasks(bindings.Bindings, job, int(item.Count), offer, machine)
		bindings.Jobs = append(bindings.Jobs, o.summarize(job))
	}
}

// bindTasks binds up to limit pending tasks of a job to an offered machine and appends
// their bindings. It binds none before the registration of the job's shard was sent to the
// leader.
func (o *Owner) bindTasks(bindings []*meshpb.Binding, job *Job, limit int, offer *meshpb.Offer, machine int32) []*meshpb.Binding {
	if !job.shard.registration.sent {
		return bindings
	}
	zone := o.machines.zoneOf(machine)
	for limit = min(limit, o.admissibleTasks(job)); limit > 0; limit-- {
		task, found := job.nextPending()
		if !found || !job.allowsZone(zone) || !o.admission.Admit(&job.claim, task, job.shard.lastReplica+1) {
			break
		}
		job.pendingQueue = job.pendingQueue[1:]
		job.shard.lastReplica++
		t := &job.tasks[task]
		t.replica, t.epoch, t.sequence = job.shard.lastReplica, offer.Epoch, offer.Seq
		o.setMachine(job, task, machine, TaskAssigned)
		bindings = append(bindings, &meshpb.Binding{Job: job.id, Task: uint32(task), Replica: t.replica})
	}
	return bindings
}

// ReturnBindings handles bindings that the leader returns because they were never sent to
// their machines: their replicas do not exist.
func (o *Owner) ReturnBindings(bindings []*meshpb.Binding) {
	for _, binding := range bindings {
		job := o.jobs[binding.Job]
		if job == nil || int(binding.Task) >= len(job.tasks) {
			o.orphans.releaseUnsent(binding)
			continue
		}
		if t := &job.tasks[binding.Task]; t.state == TaskAssigned && t.replica == binding.Replica {
			o.recordReplicaLost(job, int32(binding.Task), lossNotSent)
		}
	}
}
