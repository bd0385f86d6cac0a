package coordination

import (
	"slices"
	"time"

	"github.com/cobaltvale/cobaltvale/internal/protocol/meshpb"
)

// shardState is the leader's state of a shard.
type shardState struct {
	name              string
	number            uint32 // identifies the shard in published statuses; from 1
	owner             *peer  // nil while no member has registered it; see leader.setShardOwner
	link              Link   // the owner's stream at the registration
	version           uint64 // of the shard's key, as the owner reported it
	registeredAt      time.Duration
	reconciled        bool                          // its owner was told of all replicas left of its recovered tasks
	noUnknownReplicas bool                          // its owner was told that no unknown replica is left
	jobsKnown         bool                          // its unfinished jobs are known, from its owner or a read
	registrations     int                           // how often a member has registered it
	readAttempts      int                           // reads of its unfinished jobs from the state service
	readInFlight      bool                          // such a read has no answer yet
	nextReadAt        time.Duration                 // of the next such read, while it has no owner
	jobs              map[string]*trackedJob        // the unfinished ones, by id
	registrationJobs  map[string]*meshpb.JobSummary // of a registration whose last frame has not arrived
}

// shardRegistry holds the leader's shards and their owners.
type shardRegistry struct {
	byName                map[string]*shardState
	shardsWithUnknownJobs int
}

// newShardRegistry returns an empty registry.
func newShardRegistry() shardRegistry {
	return shardRegistry{byName: make(map[string]*shardState)}
}

// get returns a shard, or nil if it is not known.
func (r *shardRegistry) get(name string) *shardState { return r.byName[name] }

// add adds a shard that no member has registered yet.
func (r *shardRegistry) add(name string) *shardState {
	shard := &shardState{name: name, number: uint32(len(r.byName) + 1), jobs: make(map[string]*trackedJob)}
	r.byName[name] = shard
	r.shardsWithUnknownJobs++
	return shard
}

// setOwner records the member that has registered a shard; nil: none.
func (r *shardRegistry) setOwner(shard *shardState, owner *peer) {
	shard.owner, shard.link = owner, nil
	if owner != nil {
		shard.link = owner.link
	}
}

// setJobsKnown records that a shard's unfinished jobs are known.
func (r *shardRegistry) setJobsKnown(shard *shardState) {
	if !shard.jobsKnown {
		shard.jobsKnown = true
		r.shardsWithUnknownJobs--
	}
}

// allJobsKnown reports whether the unfinished jobs of every shard are known.
func (r *shardRegistry) allJobsKnown() bool { return r.shardsWithUnknownJobs == 0 }

// allRegistered reports whether every shard has an owner.
func (r *shardRegistry) allRegistered() bool {
	for _, shard := range r.byName {
		if shard.owner == nil {
			return false
		}
	}
	return true
}

// firstWithUnknownJobs returns, in the order of names, the first shard whose unfinished jobs are
// not known, or nil.
func (r *shardRegistry) firstWithUnknownJobs() *shardState {
	var first *shardState
	for _, shard := range r.byName {
		if !shard.jobsKnown && (first == nil || shard.name < first.name) {
			first = shard
		}
	}
	return first
}

// numbersOwnedBy returns the numbers of the shards that a member has registered, in ascending
// order. Messages share the slice, so it must not be modified.
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
