package shard

import (
	"time"

	"github.com/cobaltvale/cobaltvale/internal/protocol"
	"github.com/cobaltvale/cobaltvale/internal/protocol/meshpb"
)

// forgetMachinesInterval is the least time between two looks for machines that only
// earlier leaders told of.
const forgetMachinesInterval = time.Minute

// ResetStream notes that the leader's stream has ended: the next one starts every
// clock anew.
func (o *Owner) ResetStream() {
	o.lastRegisteredAtUs = 0
	o.commands = nil
	o.machines.resetStream()
	for _, shard := range o.shards {
		shard.registration = registration{}
	}
	o.orphans.detachAll()
}

// BeginRegistration returns what the leader has to know of a shard's jobs as it is
// registered.
func (o *Owner) BeginRegistration(shard *Shard) []*meshpb.JobSummary {
	shard.registration.request()
	jobs := make([]*meshpb.JobSummary, 0, len(shard.jobs))
	for _, job := range shard.jobs {
		jobs = append(jobs, o.describe(job))
		job.specUnsent = false
	}
	return jobs
}

// ConfirmRegistration takes the leader's answer to a registration.
func (o *Owner) ConfirmRegistration(answer *meshpb.ShardRegistered) {
	shard := o.shards[answer.Shard]
	if shard == nil || shard.registration.atUs == 0 {
		return
	}
	shard.registration.atUs, shard.registration.number = answer.ClockUs, answer.ShardNumber
	o.lastRegisteredAtUs = max(o.lastRegisteredAtUs, answer.ClockUs)
}

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
		listed = o.onTaskStatuses(machine, status)
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

// onTaskStatuses takes the tasks that a machine lists, and returns those whose listed
// replica is the one that counts.
func (o *Owner) onTaskStatuses(machine int32, status *meshpb.MachineStatus) map[taskRef]bool {
	listed := make(map[taskRef]bool, len(status.Tasks))
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
	return listed
}

// onTaskOfUnknownJob has what is left of a job that has ended cleared. The leader should
// know that it has; in case it does not, its tasks must still go (ran_cancelled).
func (o *Owner) onTaskOfUnknownJob(machine int32, s *meshpb.TaskStatus) {
	if o.config.FinalStatuses.Ended(s.Job) {
		o.command(machine, s.Job, s.Task, s.Replica, clearingOf(s))
	}
}

// clearing is how a replica is taken off its machine.
type clearing bool

const (
	stopReplica   clearing = false // it may still run
	forgetReplica clearing = true  // it has exited: its end was taken note of
)

func clearingOf(s *meshpb.TaskStatus) clearing {
	return clearing(protocol.TaskState(s.State) == protocol.TaskExited)
}

// command asks the leader to have a replica stopped or forgotten.
func (o *Owner) command(machine int32, job string, task uint32, replica uint64, how clearing) {
	if m := o.machines.at(machine); m.named {
		o.commands = append(o.commands, &meshpb.MachineCommand{MachineIndex: m.leaderIndex, Job: job, Task: task, Replica: replica, Reap: bool(how)})
	}
}

// ExpireLeases judges losses by the leader's clock: every heartbeat that the leader
// answered before it has been passed on already. A machine whose last heartbeat
// on this stream lies more than a lease before it has lost its lease.
func (o *Owner) ExpireLeases(clockUs int64) {
	timeout := o.config.WorkerLeaseTimeout.Microseconds()
	machines, tasks := 0, 0
	for machine, refs := range o.replicas {
		last := o.machines.at(machine).heardAtUs
		if clockUs-last <= timeout {
			continue
		}
		var lost []taskRef
		for _, ref := range refs {
			if ref.job.shard.registration.leaseExpired(last, clockUs, timeout) {
				lost = append(lost, ref)
			}
		}
		for _, ref := range lost {
			o.replicaLost(ref.job, ref.task, lossLeaseExpired)
		}
		if len(lost) > 0 {
			machines++
			tasks += len(lost)
		}
	}
	o.reconcileUnchecked(clockUs, timeout)
	o.orphans.releaseExpired(&o.machines, clockUs, timeout)
	if machines > 0 { // hundreds may be lost together: one line for all
		o.log.Info().Int("machines", machines).Int("tasks", tasks).Msg("machine leases expired")
	}
	o.forgetUnnamedMachines()
}

// leaseExpired tells whether a machine's lease is surely over as far as a shard is
// concerned, times being on the leader's clock.
func (r *registration) leaseExpired(heardAtUs, clockUs, timeoutUs int64) bool {
	return r.confirmed() && clockUs-max(heardAtUs, r.atUs) > timeoutUs
}

// reconcileUnchecked takes a leader's word that a shard is reconciled, which a leader of
// a version that does not say which statuses are complete gives too early, once every
// machine has sent a heartbeat since the shard was registered.
func (o *Owner) reconcileUnchecked(clockUs, timeoutUs int64) {
	for _, shard := range o.shards {
		if shard.registration.reconciledUnchecked && !shard.reconciled && o.allObservedSinceRegistration(clockUs, timeoutUs) {
			o.reconcile(shard)
		}
	}
}

// allObservedSinceRegistration tells whether every machine that the leader has told of
// has sent a heartbeat since the last shard was registered, or has lost its lease.
func (o *Owner) allObservedSinceRegistration(clockUs, timeoutUs int64) bool {
	last := o.lastRegisteredAtUs
	for _, machine := range o.machines.byLeaderIndex {
		if machine == unknownMachine {
			continue
		}
		m := o.machines.at(machine)
		if !observedSince(last, m.heardBeforeUs) && clockUs-max(m.heardAtUs, last) <= timeoutUs {
			return false
		}
	}
	return true
}

// forgetUnnamedMachines forgets machines that only earlier leaders told of.
func (o *Owner) forgetUnnamedMachines() {
	now := o.now()
	if now < o.nextSweepAt {
		return
	}
	o.nextSweepAt = now + forgetMachinesInterval
	for name, machine := range o.machines.names.byName {
		m := o.machines.at(machine)
		if m.named || now-m.lastSeen <= o.config.MachineTTL {
			continue
		}
		if len(o.replicas[machine]) == 0 && !o.orphans.mayHold(machine) {
			o.machines.forget(name, machine)
		}
	}
}

// OnMachineTerminated takes the leader's word that a machine has ended for good.
func (o *Owner) OnMachineTerminated(name string) {
	machine, known := o.machines.byName(name)
	if !known {
		return
	}
	o.orphans.machineTerminated(machine)
	for _, ref := range append([]taskRef(nil), o.replicas[machine]...) {
		o.replicaLost(ref.job, ref.task, lossMachineTerminated)
	}
	o.machines.forget(name, machine)
}

// OnReconciled takes the leader's word that no machine holds a replica of a shard's
// recovered tasks that it has not told of, or none at all that is not known of.
func (o *Owner) OnReconciled(word *meshpb.Reconciled) {
	shard := o.shards[word.Shard]
	if shard == nil || !shard.registration.confirmed() {
		return
	}
	shard.registration.reconciledUnchecked = shard.registration.number == 0
	if !shard.reconciled && !shard.registration.reconciledUnchecked {
		o.reconcile(shard)
	}
	if word.NoUnknownReplicas {
		o.onNoUnknownReplicas(shard)
	}
}

// onNoUnknownReplicas takes the leader's word that no machine holds a replica of a shard
// that is not known of.
func (o *Owner) onNoUnknownReplicas(shard *Shard) {
	if !o.admission.Enabled() {
		return
	}
	if o.orphans.detachUnreconciled(shard.name) {
		o.config.Leader.RegisterShard(shard)
		return
	}
	o.orphans.releaseReconciled(shard.name)
	o.admission.Complete(shard.name)
}
