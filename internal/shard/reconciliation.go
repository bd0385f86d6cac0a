package shard

import "github.com/cobaltvale/cobaltvale/internal/protocol/meshpb"

// HandleReconciled takes the leader's word that no machine holds a replica of a shard's
// recovered tasks that it has not told of, or none at all that is not known of.
func (o *Owner) HandleReconciled(word *meshpb.Reconciled) {
	shard := o.shards[word.Shard]
	if shard == nil || !shard.registration.confirmed() {
		return
	}
	shard.registration.reconciledByOlderLeader = shard.registration.shardNumber == 0
	if !shard.reconciled && !shard.registration.reconciledByOlderLeader {
		o.reconcile(shard)
	}
	if word.NoUnknownReplicas {
		o.handleNoUnknownReplicas(shard)
	}
}

// handleNoUnknownReplicas takes the leader's word that no machine holds a replica of a shard
// that is not known of.
func (o *Owner) handleNoUnknownReplicas(shard *Shard) {
	if !o.admission.Enabled() {
		return
	}
	if o.orphans.markUnreconciledUnknownToLeader(shard.name) {
		o.config.Leader.RegisterShard(shard)
		return
	}
	o.orphans.releaseReconciled(shard.name)
	o.admission.Complete(shard.name)
}

// reconcileForOlderLeader takes a leader's word that a shard is reconciled, which a leader of
// a version that does not say which statuses are complete gives too early, once every
// machine has sent a heartbeat since the shard was registered.
func (o *Owner) reconcileForOlderLeader(clockUs, timeoutUs int64) {
	for _, shard := range o.shards {
		if shard.registration.reconciledByOlderLeader && !shard.reconciled && o.allMachinesReportedSinceRegistration(clockUs, timeoutUs) {
			o.reconcile(shard)
		}
	}
}

// allMachinesReportedSinceRegistration tells whether every machine that the leader has told of
// has sent a heartbeat since the last shard was registered, or has lost its lease.
func (o *Owner) allMachinesReportedSinceRegistration(clockUs, timeoutUs int64) bool {
	last := o.lastRegisteredAtUs
	for _, machine := range o.machines.byLeaderIndex {
		if machine == unknownMachine {
			continue
		}
		m := o.machines.entry(machine)
		if !sentHeartbeatSince(last, m.previousHeartbeatUs) && clockUs-max(m.lastHeartbeatUs, last) <= timeoutUs {
			return false
		}
	}
	return true
}

// reconcile makes every recovered task pending that no machine listed.
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
