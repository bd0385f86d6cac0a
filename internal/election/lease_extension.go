package election

import (
	"math"
	"time"

	"github.com/cobaltvale/cobaltvale/internal/protocol/meshpb"
	"github.com/cobaltvale/cobaltvale/internal/storage"
)

// While the state service is away nobody can renew a lease, yet no lease
// ends. A holder cannot tell that from being refused alone, so it may go on
// past its own count of its lease only while every other member keeps
// extending it, which is to say that it will not claim the holder's keys. An
// extension binds its granter for a fixed time, counted by the holder from when
// it asked; a restarted member, which may have forgotten one, claims nothing of
// others for that long.

const (
	// ExtensionDuration is how long an extension binds the member that granted it.
	ExtensionDuration = 2 * time.Second

	extensionClockDrift      = 5 * time.Millisecond // more than two clocks differ by in that time
	extensionRequestInterval = 400 * time.Millisecond
	extensionRequestDelay    = 1500 * time.Millisecond // without a successful renewal
	maxRetainedRounds        = 16                      // remembered
)

// leaseExtensions is what this member has asked the others for, and what it is
// bound by itself.
type leaseExtensions struct {
	// claimsBlockedUntil is before when this member claims nothing of others.
	claimsBlockedUntil time.Duration
	// blockedByPredecessorOnly is true until this process grants an extension.
	blockedByPredecessorOnly bool
	roundSentAt              map[uint64]time.Duration // by round
	lastRound                uint64
	nextRequestAt            time.Duration
}

func newLeaseExtensions(now time.Duration) leaseExtensions {
	return leaseExtensions{
		claimsBlockedUntil:       now + ExtensionDuration + extensionClockDrift,
		blockedByPredecessorOnly: true,
		roundSentAt:              make(map[uint64]time.Duration),
	}
}

// clearPredecessorBlock notes that this is the member's first process ever, so
// that none before it can have granted anything.
func (x *leaseExtensions) clearPredecessorBlock() {
	if x.blockedByPredecessorOnly {
		x.claimsBlockedUntil = 0
	}
}

// bind notes that this process has granted an extension.
func (x *leaseExtensions) recordGrant(now time.Duration) {
	x.blockedByPredecessorOnly = false
	x.claimsBlockedUntil = max(x.claimsBlockedUntil, now+ExtensionDuration+extensionClockDrift)
}

// beginRound returns the number of a new round of requests.
func (x *leaseExtensions) beginRound(now time.Duration) uint64 {
	x.nextRequestAt = now + extensionRequestInterval
	x.lastRound++
	x.roundSentAt[x.lastRound] = now
	delete(x.roundSentAt, x.lastRound-maxRetainedRounds)
	return x.lastRound
}

// extensionsAllowClaim tells whether no extension, granted or perhaps forgotten, binds this
// member. An earlier process of it cannot have granted one to processes that
// started after this one.
func (e *Election) extensionsAllowClaim(now time.Duration) bool {
	if now > e.extensions.claimsBlockedUntil {
		return true
	}
	return e.extensions.blockedByPredecessorOnly && e.peers.allStartedAfterThisProcess()
}

// extensionsAllowOwnShardClaim is the same for this member's own shard: nobody goes on with
// that by an extension once everybody has been asked for it, see requestReleases.
func (e *Election) extensionsAllowOwnShardClaim(now time.Duration) bool {
	return e.extensionsAllowClaim(now) || e.peers.allReleasesConfirmed()
}

// extendedUntil is up to when every other member is bound. To a leader
// extensions are worth something only while every shard has registered with it:
// whoever confirms a cancellation then tells it on the stream that brings the
// extension, or grants none any more. The last holder of a shard that nobody
// answers for may have confirmed one and ended before it could tell
// (ran_cancelled).
func (e *Election) extendedUntil() time.Duration {
	if !e.env.Registrations.AllShardsRegistered() {
		return 0
	}
	until := time.Duration(math.MaxInt64) // a member alone needs nobody's
	for _, peer := range e.peers {
		if !peer.everExtended {
			return 0
		}
		until = min(until, peer.lastGrantRequestedAt+ExtensionDuration-2*extensionClockDrift-leaseSafetyMargin/2)
	}
	return until
}

// requestExtensions asks the others to extend the lease once renewals fail.
func (e *Election) requestExtensions(now time.Duration) {
	if !e.extensionsNeeded(now) {
		return
	}
	request := &meshpb.LeaseExtensionRequest{Round: e.extensions.beginRound(now), Keys: e.heldKeys()}
	if len(request.Keys) == 0 {
		return
	}
	for _, peer := range e.peers {
		peer.RequestLeaseExtension(request)
	}
}

func (e *Election) extensionsNeeded(now time.Duration) bool {
	if !e.lease.open() || len(e.peers) == 0 || now < e.extensions.nextRequestAt {
		return false
	}
	return now-e.lease.lastSuccessSentAt >= min(extensionRequestDelay, e.config.LeaseTTL/2)
}

// heldKeys are the keys that this process holds.
func (e *Election) heldKeys() []*meshpb.HeldKey {
	var keys []*meshpb.HeldKey
	for shard, version := range e.env.Shards.Held() {
		keys = append(keys, &meshpb.HeldKey{Key: storage.ShardKey(shard), Version: version})
	}
	if e.Leading() {
		keys = append(keys, &meshpb.HeldKey{Key: storage.LeaderKey, Version: e.fencingToken})
	}
	return keys
}

// HandleExtensionRequest decides whether this member extends another's lease:
// unless it has seen that a key is not the other's any more, or a claim of its
// own is under way.
func (e *Election) HandleExtensionRequest(from string, request *meshpb.LeaseExtensionRequest) *meshpb.LeaseExtension {
	granted := e.view.loaded && e.Registered() && len(request.Keys) > 0
	for _, key := range request.Keys {
		if granted && key.Key == storage.LeaderKey {
			e.ObserveLeader(from, key.Version)
		}
		granted = granted && e.mayExtend(from, key)
	}
	if granted {
		e.extensions.recordGrant(e.now())
	}
	return &meshpb.LeaseExtension{Round: request.Round, Granted: granted}
}

// mayExtend tells whether a key may still be the other member's.
func (e *Election) mayExtend(from string, key *meshpb.HeldKey) bool {
	known, claiming := &e.view.leader, e.leaderClaimPending
	if key.Key != storage.LeaderKey {
		shard, _ := storage.ShardOfKey(key.Key)
		known, claiming = e.view.shards[shard], e.pendingShards[shard]
	}
	if known == nil || claiming {
		return false
	}
	// A newer version was written after what this member last saw of the key,
	// which may be long ago if the state service refuses it. It knows of no
	// newer claim, and whoever made one refuses by itself.
	return key.Version > known.version || known.heldBy(from)
}

// HandleExtension takes in another member's answer.
func (e *Election) HandleExtension(from string, answer *meshpb.LeaseExtension) {
	peer := e.peers[from]
	requestedAt, remembered := e.extensions.roundSentAt[answer.Round]
	if peer == nil || !remembered || !answer.Granted {
		return
	}
	peer.everExtended = true
	peer.lastGrantRequestedAt = max(peer.lastGrantRequestedAt, requestedAt)
}
