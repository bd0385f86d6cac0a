// Package election decides for one process what it holds at the state service
// and until when it may act on it.
//
// It owns the process's lease session, its view of the leader key and the shard
// keys, the campaign for leadership and its fencing token, the claims of
// shards, the extensions of the lease that members grant each other while the
// state service is away, and the record formats of the members' processes.
//
// It promises that MayAct is true only while no other process can hold this
// one's keys, provided that clocks run within the drift that is allowed for.
//
// It never opens a connection, starts a goroutine or reads a clock of its own:
// all of it runs on the goroutine that calls Tick, and everything outside is
// reached through the interfaces of Environment. It knows nothing of what a
// leader or the holder of a shard does.
package election

import (
	"math/rand/v2"
	"time"

	"github.com/rs/zerolog"

	"github.com/cobaltvale/cobaltvale/internal/protocol"
	"github.com/cobaltvale/cobaltvale/internal/storage"
)

// Config is what does not change while the process lives.
type Config struct {
	Identity  storage.Holder // of this process, as it is written into its keys
	StartedAt time.Duration  // on Environment.Clock
	LeaseTTL  time.Duration  // of the lease at the state service
}

// Environment is everything outside that this package uses.
type Environment struct {
	Clock         storage.Clock
	Rand          *rand.Rand
	Codec         *protocol.Codec
	Log           zerolog.Logger
	State         StateService
	Peers         []Peer // every other member
	Shards        Shards
	Registrations Registrations
	Observer      Observer
}

// Election is this process's part in the election of a leader and in the
// distribution of the shards. It is not safe for concurrent use.
type Election struct {
	config Config
	env    Environment
	peers  peerTable

	lease      leaseSession
	view       keyView
	formats    recordFormats
	extensions leaseExtensions

	retryAt            time.Duration // no registration, lease or watch is tried before
	processKeyVersion  uint64        // of the key that names this process; 0: not certainly written
	registeringProcess bool

	fencingToken       uint64 // 0 unless this process leads
	leaderClaimPending bool   // the outcome of a claim of the leader key is open
	campaignAt         time.Duration
	abstainUntil       time.Duration

	pendingShards         map[string]bool // shards the outcome of whose claim or release is open
	nextHandoverRequestAt time.Duration   // for this member's own shard
	lastLeaderContactAt   time.Duration   // when every shard was last registered with a leader
}

// retryInterval is the pause after a request that the state service did not answer.
const retryInterval = 400 * time.Millisecond

// New prepares the part of a process that has just started. It sends nothing.
func New(config Config, env Environment) *Election {
	now := env.Clock.Now()
	peers := newPeerTable(env.Peers)
	return &Election{
		config:        config,
		env:           env,
		peers:         peers,
		view:          newKeyView(config.Identity.Member, peers, now),
		formats:       newRecordFormats(),
		extensions:    newLeaseExtensions(now),
		pendingShards: make(map[string]bool),
	}
}

// Tick does what time asks for. It is called about ten times a second.
func (e *Election) Tick(now time.Duration) {
	e.maintainLease(now)
	e.trackUnreachableMembers(now)
	e.followKeys(now)
	e.registerProcess(now)
	e.requestExtensions(now)
	if !e.readyToClaim(now) {
		return
	}
	if e.inContactWithLeader() {
		e.lastLeaderContactAt = now
	}
	if now-e.lastLeaderContactAt > leaderContactTimeout {
		e.releaseAllShards()
	} else {
		e.claimShards(now)
	}
	e.campaign(now)
}

// readyToClaim tells whether a claim could succeed and what it rests on is known.
func (e *Election) readyToClaim(now time.Duration) bool {
	return e.Registered() && e.view.loaded && e.LeaseValid(now)
}

// MayAct tells whether the keys attached to the lease are surely still this
// process's.
func (e *Election) MayAct(now time.Duration) bool { return now < e.MayActUntil() }

// MayActUntil is up to when they surely are: by the lease, or because every
// other member has extended it.
func (e *Election) MayActUntil() time.Duration {
	if !e.lease.open() {
		return 0
	}
	return max(e.leaseValidUntil(), e.extendedUntil())
}

// member is the name of the member that this process belongs to.
func (e *Election) member() string { return e.config.Identity.Member }

func (e *Election) now() time.Duration { return e.env.Clock.Now() }

// pauseRequests puts the next registration, lease or watch off.
func (e *Election) pauseRequests() { e.retryAt = e.now() + retryInterval }

// encodedIdentity is the value of every key that this process holds.
func (e *Election) encodedIdentity() []byte { return e.env.Codec.Encode(e.config.Identity) }
