package shard

import "github.com/cobaltvale/cobaltvale/internal/protocol/meshpb"

// HandleReconciled handles the leader's message that it has reported every replica of a
// shard's recovered tasks that a machine may hold. With NoUnknownReplicas set, this process
// knows every replica of the shard that a machine may hold.
func (o *Owner) HandleReconciled(message *meshpb.Reconciled) {
	shard := o.shards[message.Shard]
	if shard == nil || !shard.registration.confirmed() {
		return
	}
	shard.registration.reconciledByOlderLeader = shard.registration.shardNumber == 0
	if !shard.reconciled && !shard.registration.reconciledByOlderLeader {
		o.reconcile(shard)
	}
	if message.NoUnknownReplicas {
		o.handleNoUnknownReplicas(shard)
	}
}

// handleNoUnknownReplicas handles the leader's report that this process knows every replica
// of a shard that a machine may hold. If the report does not cover some jobs because they
// ended meanwhile, the shard is registered again, for another report.
func (o *Owner) handleNoUnknownReplicas(shard *Shard) {
	if !o.admission.Enabled() {
		return
	}
	if o.orphans.markUnreconciledUnknownToLeader(shard.name) {
		o.config.Leader.RegisterShard(shard)
		return
	}
	o.orphans.releaseReconciled(shard.name)
	o.admission.MarkReconciled(shard.name)
}

// reconcileForOlderLeader reconciles the shards that a leader of an older version has
// reported as reconciled. Such a leader does not say which statuses are complete, and it
// reports shards as reconciled too early. So this waits until every machine has sent a
// heartbeat since the shard was registered, or has lost its lease.
func (o *Owner) reconcileForOlderLeader(clockUs, timeoutUs int64) {
	for _, shard := range o.shards {
		if shard.registration.reconciledByOlderLeader && !shard.reconciled && o.allMachinesReportedSinceRegistration(clockUs, timeoutUs) {
			o.reconcile(shard)
		}
	}
}

// allMachinesReportedSinceRegistration reports whether every machine that the leader has
// named has sent a heartbeat since the last shard was registered, or has lost its lease.
func (o *Owner) allMachinesReportedSinceRegistration(clockUs, timeoutUs int64) bool {
	registeredAtUs := o.lastRegisteredAtUs
	for _, machine := range o.machines.byLeaderIndex {
		if machine == unknownMachine {
			continue
		}
		m := o.machines.entry(machine)
		if !sentHeartbeatSince(registeredAtUs, m.previousHeartbeatUs) && clockUs-max(m.lastHeartbeatUs, registeredAtUs) <= timeoutUs {
			return false
		}
	}
	return true
}

// reconcile marks a shard as reconciled, and makes every recovered task pending that no
// machine has listed.
func (o *Owner) reconcile(shard *Shard) {
	shard.reconciled = true
	o.log.Info().Str("shard", shard.name).Uint64("fencing_token", shard.fencingToken).Int("unlisted", shard.unreconciledTasks).Msg("shard reconciled")
	if shard.unreconciledTasks == 0 {
		return
	}
	for _, job := range shard.jobs {
		for i := range job.tasks {
			if job.tasks[i].state == TaskUnreconciled {
				o.recordReplicaLost(job, int32(i), lossReconciled)
			}
		}
	}
}
