package shard

import "github.com/cobaltvale/cobaltvale/internal/protocol/meshpb"

// Bind adds to the bindings the tasks that go to an offered machine, and how the jobs
// stand then.
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

// bindTasks appends bindings of up to n pending tasks of a job to an offered machine.
func (o *Owner) bindTasks(bindings []*meshpb.Binding, job *Job, n int, offer *meshpb.Offer, machine int32) []*meshpb.Binding {
	if !job.shard.registration.sent {
		return bindings
	}
	zone := o.machines.zoneOf(machine)
	for n = min(n, o.admissibleTasks(job)); n > 0; n-- {
		i, found := job.nextPending()
		if !found || !job.allowsZone(zone) || !o.admission.Admit(&job.claim, i, job.shard.lastReplica+1) {
			break
		}
		job.pendingQueue = job.pendingQueue[1:]
		job.shard.lastReplica++
		t := &job.tasks[i]
		t.replica, t.epoch, t.sequence = job.shard.lastReplica, offer.Epoch, offer.Seq
		o.setMachine(job, i, machine, TaskAssigned)
		bindings = append(bindings, &meshpb.Binding{Job: job.id, Task: uint32(i), Replica: t.replica})
	}
	return bindings
}

// ReturnBindings takes back bindings that were never sent to their machines.
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
