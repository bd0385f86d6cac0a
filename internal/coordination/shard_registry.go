package coordination

import (
	"slices"
	"time"

	"github.com/cobaltvale/cobaltvale/internal/protocol/meshpb"
)

// shardState is what the leader knows of a shard, and the member that owns it now.
type shardState struct {
	name              string
	number            uint32 // in the statuses that are published, from 1
	owner             *peer  // nil while nobody has registered it; see shardRegistry.setOwner
	link              Link
	version           uint64
	registeredAt      time.Duration
	reconciled        bool // its owner was told of all replicas that may be left of it
	noUnknownReplicas bool // and that no machine holds any that it does not know of
	jobsKnown         bool // its unfinished jobs are known, from its owner or by reading
	readAttempts      int  // how often they were asked for
	jobs              map[string]*trackedJob
	registrationJobs  map[string]*meshpb.JobSummary
}

// shardRegistry owns the leader's shards: which there are, and who owns them.
type shardRegistry struct {
	byName                map[string]*shardState
	shardsWithUnknownJobs int // shards whose unfinished jobs are not known
}

// newShardRegistry returns a registry without shards.
func newShardRegistry() shardRegistry {
	return shardRegistry{byName: make(map[string]*shardState)}
}

// get returns a shard, or nil if it is not known.
func (r *shardRegistry) get(name string) *shardState { return r.byName[name] }

// add makes a shard known that nobody has registered yet.
func (r *shardRegistry) add(name string) *shardState {
	shard := &shardState{name: name, number: uint32(len(r.byName) + 1), jobs: make(map[string]*trackedJob)}
	r.byName[name] = shard
	r.shardsWithUnknownJobs++
	return shard
}

// setOwner notes which member has registered a shard; nil: none has.
func (r *shardRegistry) setOwner(shard *shardState, owner *peer) {
	shard.owner, shard.link = owner, nil
	if owner != nil {
		shard.link = owner.link
	}
}

// setJobsKnown notes that a shard's unfinished jobs are known from now on.
func (r *shardRegistry) setJobsKnown(shard *shardState) {
	if !shard.jobsKnown {
		shard.jobsKnown = true
		r.shardsWithUnknownJobs--
	}
}

// allJobsKnown tells whether the unfinished jobs of every shard are known.
func (r *shardRegistry) allJobsKnown() bool { return r.shardsWithUnknownJobs == 0 }

// allRegistered tells whether every shard has an owner.
func (r *shardRegistry) allRegistered() bool {
	for _, shard := range r.byName {
		if shard.owner == nil {
			return false
		}
	}
	return true
}

// numbersOwnedBy returns the numbers of the shards that a member has registered, in
// order. Messages share the slice; nobody changes it.
func (r *shardRegistry) numbersOwnedBy(p *peer) []uint32 {
	var numbers []uint32
	for _, shard := range r.byName {
		if shard.owner == p {
			numbers = append(numbers, shard.number)
		}
	}
	slices.Sort(numbers)
	return numbers
}
