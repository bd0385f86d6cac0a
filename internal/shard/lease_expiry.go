package shard

import "time"

// machineSweepInterval is the least time between two looks for machines that only
// earlier leaders told of.
const machineSweepInterval = time.Minute

// ExpireLeases judges losses by the leader's clock: every heartbeat that the leader
// answered before it has been passed on already. A machine whose last heartbeat
// on this stream lies more than a lease before it has lost its lease.
func (o *Owner) ExpireLeases(clockUs int64) {
	timeout := o.config.WorkerLeaseTimeout.Microseconds()
	machines, tasks := 0, 0
	for machine, refs := range o.tasksByMachine {
		last := o.machines.entry(machine).lastHeartbeatUs
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
			o.recordReplicaLost(ref.job, ref.task, lossLeaseExpired)
		}
		if len(lost) > 0 {
			machines++
			tasks += len(lost)
		}
	}
	o.reconcileForOlderLeader(clockUs, timeout)
	o.orphans.releaseExpired(&o.machines, clockUs, timeout)
	if machines > 0 { // hundreds may be lost together: one line for all
		o.log.Info().Int("machines", machines).Int("tasks", tasks).Msg("machine leases expired")
	}
	o.removeStaleMachines()
}

// leaseExpired tells whether a machine's lease is surely over as far as a shard is
// concerned, times being on the leader's clock.
func (r *registration) leaseExpired(heardAtUs, clockUs, timeoutUs int64) bool {
	return r.confirmed() && clockUs-max(heardAtUs, r.registeredAtUs) > timeoutUs
}

// HandleMachineTerminated takes the leader's word that a machine has ended for good.
func (o *Owner) HandleMachineTerminated(name string) {
	machine, known := o.machines.byName(name)
	if !known {
		return
	}
	o.orphans.releaseTerminated(machine)
	for _, ref := range append([]taskRef(nil), o.tasksByMachine[machine]...) {
		o.recordReplicaLost(ref.job, ref.task, lossMachineTerminated)
	}
	o.machines.remove(name, machine)
}

// removeStaleMachines forgets machines that only earlier leaders told of.
func (o *Owner) removeStaleMachines() {
	now := o.now()
	if now < o.nextMachineSweepAt {
		return
	}
	o.nextMachineSweepAt = now + machineSweepInterval
	for name, machine := range o.machines.indices.byName {
		m := o.machines.entry(machine)
		if m.hasLeaderIndex || now-m.lastSeenAt <= o.config.MachineTTL {
			continue
		}
		if len(o.tasksByMachine[machine]) == 0 && !o.orphans.mayExistOn(machine) {
			o.machines.remove(name, machine)
		}
	}
}
