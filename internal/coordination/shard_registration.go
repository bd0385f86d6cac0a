package coordination

import (
	"time"

	"github.com/cobaltvale/cobaltvale/internal/protocol/meshpb"
)

// handleRegisterShard handles an owner's registration of a shard with all its unfinished jobs,
// which may span several frames. A registration under another leader's fencing token, or by
// an earlier holder of the shard's key, is dropped.
func (l *leader) handleRegisterShard(p *peer, request *meshpb.RegisterShard) {
	if request.FencingToken != l.fencingToken {
		return
	}
	shard := l.shards.get(request.Shard)
	if shard == nil {
		shard = l.shards.add(request.Shard)
	}
	if request.Version < shard.version {
		return
	}
	shard.addRegistrationJobs(request.Jobs)
	if !request.More {
		l.registerShard(p, shard, request.Version)
	}
}

// addRegistrationJobs stores the jobs of a registration until its last frame has arrived.
func (s *shardState) addRegistrationJobs(jobs []*meshpb.JobSummary) {
	if s.registrationJobs == nil {
		s.registrationJobs = make(map[string]*meshpb.JobSummary)
	}
	for _, summary := range jobs {
		s.registrationJobs[summary.Job] = summary
	}
}

// registerShard makes a member the owner of a shard, sends it the confirmation, and then
// publishes to it what every machine last listed.
func (l *leader) registerShard(p *peer, shard *shardState, version uint64) {
	now, jobsKnown := l.now(), shard.jobsKnown
	l.withdrawOffers(shard)
	l.jobs.endOmittedJobs(shard, now)
	l.setShardOwner(shard, p)
	shard.version, shard.registeredAt = version, now
	shard.registrations++
	shard.reconciled, shard.noUnknownReplicas = false, false
	l.shards.setJobsKnown(shard)
	for _, summary := range shard.registrationJobs {
		l.jobs.apply(shard, summary, now)
	}
	shard.registrationJobs = nil
	l.scheduler.queue.markDirty()
	p.send(&meshpb.Frame{Body: &meshpb.Frame_ShardRegistered{ShardRegistered: &meshpb.ShardRegistered{
		Shard: shard.name, FencingToken: l.fencingToken, ClockUs: now.Microseconds(), ShardNumber: shard.number}}})
	published := l.publisher.subscribe(p, l.shards.numbersOwnedBy(p), &l.machines, l.leases, l.now())
	l.env.log.Info().Str("shard", shard.name).Str("owner", p.member).Uint64("version", shard.version).Int("jobs", len(shard.jobs)).
		Int("machines", published.machines).Int("unknown_replicas", published.unknownReplicas).Bool("jobs_known", jobsKnown).
		Int("reads", shard.readAttempts).Msg("shard registered")
}

// setShardOwner records the member that has registered a shard; nil: none. Owners are changed
// only here, because every status published after a change must name the shards that its
// receiver then owns.
func (l *leader) setShardOwner(shard *shardState, p *peer) {
	l.shards.setOwner(shard, p)
	l.publisher.setCompleteForShards(l.shards.numbersOwnedBy)
}

// handleSubscriberDown removes a member whose stream has ended.
func (l *leader) handleSubscriberDown(p *peer) {
	l.publisher.unsubscribe(p)
	l.unregisterShards(p)
}

// unregisterShards leaves a member's shards without an owner. Until they are registered again
// their jobs stay, and all their unfinished tasks count as placed.
func (l *leader) unregisterShards(p *peer) {
	for _, shard := range l.shards.byName {
		if shard.owner != p {
			continue
		}
		l.withdrawOffers(shard)
		l.setShardOwner(shard, nil)
		shard.registrationJobs = nil
		for _, job := range shard.jobs {
			job.assigned += job.pending
			job.pending = 0
			l.usage.update(job)
		}
	}
}

// reconcileShards tells owners which of their shards have become reconciled.
func (l *leader) reconcileShards(now time.Duration) {
	for _, decision := range l.reconciler.updateReconciled(&l.shards, l.recoveryProgress(), now) {
		shard := decision.shard
		if !decision.noUnknownReplicas {
			l.logReconciled(decision, now)
		}
		shard.owner.send(&meshpb.Frame{Body: &meshpb.Frame_Reconciled{Reconciled: &meshpb.Reconciled{
			Shard: shard.name, FencingToken: l.fencingToken, NoUnknownReplicas: decision.noUnknownReplicas}}})
	}
}

// logReconciled logs that a shard is reconciled, with the number of machines by proof.
func (l *leader) logReconciled(decision reconciliation, now time.Duration) {
	shard := decision.shard
	event := l.env.log.Info().Str("shard", shard.name).Str("owner", shard.owner.member).Int64("after_ms", (now - shard.registeredAt).Milliseconds())
	for proof := notProven + 1; proof < machineProofCount; proof++ {
		event.Int(proof.String(), decision.proofs[proof])
	}
	event.Bool("machines_known", l.records.machinesKnown()).Msg("all machines reconciled")
}

// recoveryProgress reports which records of the work of earlier leaders have been read.
func (l *leader) recoveryProgress() recoveryProgress {
	return recoveryProgress{jobsKnown: l.shards.allJobsKnown(), machinesKnown: l.records.machinesKnown()}
}
