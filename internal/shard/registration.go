package shard

import (
	"iter"

	"github.com/cobaltvale/cobaltvale/internal/protocol/meshpb"
)

// registrationRequested is where a registration's time stands until the leader answers.
const registrationRequested = -1

// registration is how far the present leader counts a shard.
type registration struct {
	sent   bool   // the leader was told of the shard and its jobs
	atUs   int64  // on the leader's clock; 0: it was not asked, see registrationRequested
	number uint32 // in the leader's statuses, see MachineStatus.complete_for_shards; 0: it gave none
	// reconciledUnchecked: a leader that does not say which statuses are complete has
	// called the shard reconciled.
	reconciledUnchecked bool
}

// confirmed tells whether the leader has answered.
func (r *registration) confirmed() bool { return r.atUs > 0 }

// request begins a registration anew.
func (r *registration) request() {
	*r = registration{sent: true, atUs: registrationRequested}
}

// Unregistered yields the recovered shards of which the present leader was not told.
func (o *Owner) Unregistered() iter.Seq[*Shard] {
	return func(yield func(*Shard) bool) {
		for _, shard := range o.shards {
			if r := &shard.registration; shard.recovered && !r.sent && r.atUs == 0 && !yield(shard) {
				return
			}
		}
	}
}

// Unconfirmed yields the recovered shards for which the present leader has not answered.
func (o *Owner) Unconfirmed() iter.Seq[*Shard] {
	return func(yield func(*Shard) bool) {
		for _, shard := range o.shards {
			if r := &shard.registration; shard.recovered && (!r.sent || !r.confirmed()) && !yield(shard) {
				return
			}
		}
	}
}

// AllConfirmed tells whether the leader has answered for every recovered shard.
func (o *Owner) AllConfirmed() bool {
	for range o.Unconfirmed() {
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
