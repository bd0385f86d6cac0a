package coordination

import "iter"

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

// unregistered yields the recovered shards of which the present leader was not told.
func (o *owner) unregistered() iter.Seq[*ownedShard] {
	return func(yield func(*ownedShard) bool) {
		for _, shard := range o.shards {
			if r := &shard.registration; shard.recovered && !r.sent && r.atUs == 0 && !yield(shard) {
				return
			}
		}
	}
}

// unconfirmed yields the recovered shards for which the present leader has not answered.
func (o *owner) unconfirmed() iter.Seq[*ownedShard] {
	return func(yield func(*ownedShard) bool) {
		for _, shard := range o.shards {
			if r := &shard.registration; shard.recovered && (!r.sent || !r.confirmed()) && !yield(shard) {
				return
			}
		}
	}
}

// allConfirmed tells whether the leader has answered for every recovered shard.
func (o *owner) allConfirmed() bool {
	for range o.unconfirmed() {
		return false
	}
	return true
}
