package shard

import (
	"iter"

	"github.com/cobaltvale/cobaltvale/internal/protocol/meshpb"
)

// registrationRequested is where a registration's time stands until the leader answers.
const registrationRequested = -1

// registration is how far the present leader counts a shard.
type registration struct {
	sent           bool   // the leader was told of the shard and its jobs
	registeredAtUs int64  // on the leader's clock; 0: it was not asked, see registrationRequested
	shardNumber    uint32 // in the leader's statuses, see MachineStatus.complete_for_shards; 0: it gave none
	// reconciledByOlderLeader: a leader that does not say which statuses are complete has
	// called the shard reconciled.
	reconciledByOlderLeader bool
}

// confirmed tells whether the leader has answered.
func (r *registration) confirmed() bool { return r.registeredAtUs > 0 }

// request begins a registration anew.
func (r *registration) markRequested() {
	*r = registration{sent: true, registeredAtUs: registrationRequested}
}

// Unregistered yields the recovered shards of which the present leader was not told.
func (o *Owner) UnregisteredShards() iter.Seq[*Shard] {
	return func(yield func(*Shard) bool) {
		for _, shard := range o.shards {
			if r := &shard.registration; shard.recovered && !r.sent && r.registeredAtUs == 0 && !yield(shard) {
				return
			}
		}
	}
}

// Unconfirmed yields the recovered shards for which the present leader has not answered.
func (o *Owner) UnconfirmedShards() iter.Seq[*Shard] {
	return func(yield func(*Shard) bool) {
		for _, shard := range o.shards {
			if r := &shard.registration; shard.recovered && (!r.sent || !r.confirmed()) && !yield(shard) {
				return
			}
		}
	}
}

// AllRegistrationsConfirmed tells whether the leader has answered for every recovered shard.
func (o *Owner) AllRegistrationsConfirmed() bool {
	for range o.UnconfirmedShards() {
		return false
	}
	return true
}

// ResetStream notes that the leader's stream has ended: the next one starts every
// clock anew.
func (o *Owner) ResetStream() {
	o.lastRegisteredAtUs = 0
	o.commands = nil
	o.machines.resetStream()
	for _, shard := range o.shards {
		shard.registration = registration{}
	}
	o.orphans.markAllUnknownToLeader()
}

// BeginRegistration returns what the leader has to know of a shard's jobs as it is
// registered.
func (o *Owner) BeginRegistration(shard *Shard) []*meshpb.JobSummary {
	shard.registration.markRequested()
	jobs := make([]*meshpb.JobSummary, 0, len(shard.jobs))
	for _, job := range shard.jobs {
		jobs = append(jobs, o.summarizeWithSpec(job))
		job.specUnsent = false
	}
	return jobs
}

// ConfirmRegistration takes the leader's answer to a registration.
func (o *Owner) ConfirmRegistration(answer *meshpb.ShardRegistered) {
	shard := o.shards[answer.Shard]
	if shard == nil || shard.registration.registeredAtUs == 0 {
		return
	}
	shard.registration.registeredAtUs, shard.registration.shardNumber = answer.ClockUs, answer.ShardNumber
	o.lastRegisteredAtUs = max(o.lastRegisteredAtUs, answer.ClockUs)
}
