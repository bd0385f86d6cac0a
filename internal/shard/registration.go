package shard

import (
	"iter"

	"github.com/cobaltvale/cobaltvale/internal/protocol/meshpb"
)

// registrationRequested is the value of registration.registeredAtUs until the leader
// answers.
const registrationRequested = -1

// registration is the state of a shard's registration with the current leader.
type registration struct {
	sent           bool   // the shard and its jobs were sent to the leader
	registeredAtUs int64  // on the leader's clock; 0: not requested; see also registrationRequested
	shardNumber    uint32 // in the leader's statuses, see MachineStatus.complete_for_shards; 0: the leader gave none
	// reconciledByOlderLeader is set once a leader that does not say which statuses are
	// complete has reported the shard as reconciled.
	reconciledByOlderLeader bool
}

// confirmed reports whether the leader has answered, which confirms the registration.
func (r *registration) confirmed() bool { return r.registeredAtUs > 0 }

// markRequested resets the registration to requested.
func (r *registration) markRequested() {
	*r = registration{sent: true, registeredAtUs: registrationRequested}
}

// UnregisteredShards yields the recovered shards whose registration was not sent to the
// current leader.
func (o *Owner) UnregisteredShards() iter.Seq[*Shard] {
	return func(yield func(*Shard) bool) {
		for _, shard := range o.shards {
			if r := &shard.registration; shard.recovered && !r.sent && r.registeredAtUs == 0 && !yield(shard) {
				return
			}
		}
	}
}

// UnconfirmedShards yields the recovered shards for which the current leader has not
// answered.
func (o *Owner) UnconfirmedShards() iter.Seq[*Shard] {
	return func(yield func(*Shard) bool) {
		for _, shard := range o.shards {
			if r := &shard.registration; shard.recovered && (!r.sent || !r.confirmed()) && !yield(shard) {
				return
			}
		}
	}
}

// AllRegistrationsConfirmed reports whether the leader has answered for every recovered
// shard.
func (o *Owner) AllRegistrationsConfirmed() bool {
	for range o.UnconfirmedShards() {
		return false
	}
	return true
}

// ResetStream handles the end of the leader's stream. It discards the registrations, the
// times on the leader's clock and the queued commands, because every clock starts again
// with the next stream.
func (o *Owner) ResetStream() {
	o.lastRegisteredAtUs = 0
	o.commands = nil
	o.machines.resetStream()
	for _, shard := range o.shards {
		shard.registration = registration{}
	}
	o.orphans.markAllUnknownToLeader()
}

// BeginRegistration begins the registration of a shard and returns the summaries of its
// jobs for the leader.
func (o *Owner) BeginRegistration(shard *Shard) []*meshpb.JobSummary {
	shard.registration.markRequested()
	jobs := make([]*meshpb.JobSummary, 0, len(shard.jobs))
	for _, job := range shard.jobs {
		jobs = append(jobs, o.summarizeWithSpec(job))
		job.specUnsent = false
	}
	return jobs
}

// ConfirmRegistration handles the leader's answer to a registration.
func (o *Owner) ConfirmRegistration(answer *meshpb.ShardRegistered) {
	shard := o.shards[answer.Shard]
	if shard == nil || shard.registration.registeredAtUs == 0 {
		return
	}
	shard.registration.registeredAtUs, shard.registration.shardNumber = answer.ClockUs, answer.ShardNumber
	o.lastRegisteredAtUs = max(o.lastRegisteredAtUs, answer.ClockUs)
}
