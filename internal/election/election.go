// Package election decides, for one process, which keys of the state service the
// process claims (the leader key and the keys of shards) and until when it may
// act as their holder.
//
// It maintains the process's lease session, its view of the leader key and the
// shard keys, the campaign for leadership and the resulting fencing token, the
// claims of shards, the lease extensions that members grant each other while the
// state service is unavailable, and the record formats of the members' processes.
//
// It guarantees that Election.MayAct returns true only while no other process can
// hold this process's keys, provided that clocks drift by no more than
// ClockDriftFactor allows.
//
// The package opens no connection, starts no goroutine and reads no clock
// directly: all of it runs on the goroutine that calls Election.Tick, and it
// reaches everything outside through the interfaces in Environment. What a leader
// or the holder of a shard does is outside its scope.
package election

import (
	"math/rand/v2"
	"time"

	"github.com/rs/zerolog"

	"github.com/cobaltvale/cobaltvale/internal/protocol"
	"github.com/cobaltvale/cobaltvale/internal/storage"
)

// Config holds the parameters of an Election that stay constant while the process runs.
type Config struct {
	Identity  storage.Holder // this process, as written to the keys that it holds
	StartedAt time.Duration  // start time of this process on Environment.Clock
	LeaseTTL  time.Duration  // time to live of the lease at the state service
}

// Environment holds the external dependencies of an Election.
type Environment struct {
	Clock         storage.Clock // monotonic; every time in this package is on this clock
	Rand          *rand.Rand    // used for the random delay of campaigns
	Codec         *protocol.Codec
	Log           zerolog.Logger
	State         StateService
	Peers         []Peer // all other members
	Shards        Shards
	Registrations Registrations
	Observer      Observer
}

// Election takes part, for this process, in the election of the leader and the
// distribution of the shards. It is not safe for concurrent use.
type Election struct {
	config Config
	env    Environment
	peers  peerTable

	lease      leaseSession
	view       keyView
	formats    recordFormats
	extensions leaseExtensions

	retryAt            time.Duration // earliest time of the next registration, OpenLease, List or Watch
	processKeyVersion  uint64        // version of this process's process key; 0: not known to be written
	registeringProcess bool

	fencingToken       uint64        // 0 unless this process leads
	leaderClaimPending bool          // the outcome of a claim of the leader key is not known yet
	campaignAt         time.Duration // time of the scheduled campaign; 0: none is scheduled
	abstainUntil       time.Duration // no campaign before this time

	pendingShards         map[string]bool // shards with a claim or release whose outcome is not known yet
	nextHandoverRequestAt time.Duration   // earliest time of the next request for this member's own shard
	lastLeaderContactAt   time.Duration   // last time at which inContactWithLeader was true
}

// retryInterval is the pause after an unsuccessful request to the state service.
const retryInterval = 400 * time.Millisecond

// New returns the Election of a process that has just started. New itself sends
// nothing.
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

// Tick does the work that is due at now, which must be the current time on
// Environment.Clock: it renews the lease, follows the keys, claims or releases
// shards and campaigns. The caller calls it about ten times a second, always on the
// same goroutine.
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

// readyToClaim reports whether this process may claim keys: it is registered and its
// lease is valid, as claims would otherwise fail, and the view of the keys on which
// claims are based is loaded.
func (e *Election) readyToClaim(now time.Duration) bool {
	return e.Registered() && e.view.loaded && e.LeaseValid(now)
}

// MayAct reports whether the keys attached to this process's lease are guaranteed
// to be still its own at now. The caller must not act as leader or as holder of a
// shard while it returns false.
func (e *Election) MayAct(now time.Duration) bool { return now < e.MayActUntil() }

// MayActUntil returns the time on Environment.Clock before which the keys are
// guaranteed to be still this process's, either by the lease itself or because
// every other member has extended it. It returns 0 if no lease is open.
func (e *Election) MayActUntil() time.Duration {
	if !e.lease.open() {
		return 0
	}
	return max(e.leaseValidUntil(), e.extendedUntil())
}

// member returns the name of the member that this process belongs to.
func (e *Election) member() string { return e.config.Identity.Member }

func (e *Election) now() time.Duration { return e.env.Clock.Now() }

// pauseRequests delays the next registration, lease opening, list or watch by
// retryInterval.
func (e *Election) pauseRequests() { e.retryAt = e.now() + retryInterval }

// encodedIdentity returns the value of every key that this process holds.
func (e *Election) encodedIdentity() []byte { return e.env.Codec.Encode(e.config.Identity) }
