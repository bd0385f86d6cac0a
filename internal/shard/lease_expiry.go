package shard

import "time"

// machineSweepInterval is the minimum time between two sweeps for machines that only
// earlier leaders reported.
const machineSweepInterval = time.Minute

// ExpireLeases determines lost replicas as of clockUs, in microseconds on the leader's
// clock. The leader has already passed on every heartbeat that it answered before that
// time, so a machine whose last heartbeat on this stream is older by more than
// Config.MachineLeaseTimeout has lost its lease.
func (o *Owner) ExpireLeases(clockUs int64) {
	timeout := o.config.MachineLeaseTimeout.Microseconds()
	machines, tasks := 0, 0
	for machine, refs := range o.tasksByMachine {
		lastHeartbeatUs := o.machines.entry(machine).lastHeartbeatUs
		if clockUs-lastHeartbeatUs <= timeout {
			continue
		}
		var lost []taskRef
		for _, ref := range refs {
			if ref.job.shard.registration.leaseExpired(lastHeartbeatUs, clockUs, timeout) {
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
	if machines > 0 { // one log line for all, as hundreds may expire together
		o.log.Info().Int("machines", machines).Int("tasks", tasks).Msg("machine leases expired")
	}
	o.removeStaleMachines()
}

// leaseExpired reports whether a machine's lease is guaranteed to have ended as far as a
// shard is concerned. All times are on the leader's clock.
func (r *registration) leaseExpired(lastHeartbeatUs, clockUs, timeoutUs int64) bool {
	return r.confirmed() && clockUs-max(lastHeartbeatUs, r.registeredAtUs) > timeoutUs
}

// HandleMachineTerminated handles the leader's message that a machine was terminated.
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

// removeStaleMachines removes machines that only earlier leaders reported, once
// Config.MachineTTL has passed since their last status, unless they may hold replicas.
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
