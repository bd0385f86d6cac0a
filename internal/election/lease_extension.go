package election

import (
	"math"
	"time"

	"github.com/cobaltvale/cobaltvale/internal/protocol/meshpb"
	"github.com/cobaltvale/cobaltvale/internal/storage"
)

// During an outage of the state service no lease can be renewed, but no lease ends
// either. A holder cannot distinguish an outage from a failure of its own requests
// only, after which its lease does end. It may therefore act past the end of its
// lease, as calculated from its last renewal, only while every other member keeps
// extending the lease, that is, promises not to claim the holder's keys.
//
// An extension blocks the claims of the member that granted it for a fixed time,
// which the holder counts from when it sent the request. A restarted member may
// have lost the record of an extension that it granted, so it claims no keys that
// other members may hold for the same time after its start.

const (
	// ExtensionDuration is how long an extension blocks the claims of the member
	// that granted it.
	ExtensionDuration = 2 * time.Second

	// extensionClockDrift is an upper bound of how far two clocks drift apart in
	// ExtensionDuration.
	extensionClockDrift = 5 * time.Millisecond
	// extensionRequestInterval is the time between two rounds of requests.
	extensionRequestInterval = 400 * time.Millisecond
	// extensionRequestDelay is the time without a successful renewal after which
	// extensions are requested.
	extensionRequestDelay = 1500 * time.Millisecond
	// maxRetainedRounds is the number of rounds whose answers are accepted.
	maxRetainedRounds = 16
)

// leaseExtensions holds this member's requests for lease extensions, and the block
// on its own claims by the extensions that it granted. Times are on
// Environment.Clock.
type leaseExtensions struct {
	// claimsBlockedUntil is the time up to which this member claims no keys that
	// another member may still hold by an extension.
	claimsBlockedUntil time.Duration
	// blockedByPredecessorOnly is true until this process grants an extension: only
	// an earlier process of this member can have granted one.
	blockedByPredecessorOnly bool
	roundSentAt              map[uint64]time.Duration // by round, for the last maxRetainedRounds
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

// clearPredecessorBlock records that this is the first process of the member, so
// that no earlier process can have granted an extension.
func (x *leaseExtensions) clearPredecessorBlock() {
	if x.blockedByPredecessorOnly {
		x.claimsBlockedUntil = 0
	}
}

// recordGrant records that this process has granted an extension.
func (x *leaseExtensions) recordGrant(now time.Duration) {
	x.blockedByPredecessorOnly = false
	x.claimsBlockedUntil = max(x.claimsBlockedUntil, now+ExtensionDuration+extensionClockDrift)
}

// beginRound starts a new round of requests and returns its number.
func (x *leaseExtensions) beginRound(now time.Duration) uint64 {
	x.nextRequestAt = now + extensionRequestInterval
	x.lastRound++
	x.roundSentAt[x.lastRound] = now
	delete(x.roundSentAt, x.lastRound-maxRetainedRounds)
	return x.lastRound
}

// extensionsAllowClaim reports whether no extension blocks the claims of this
// member, be it one that this process granted or one that an earlier process of
// this member may have granted. An earlier process cannot have granted extensions
// to processes that started after this one.
func (e *Election) extensionsAllowClaim(now time.Duration) bool {
	if now > e.extensions.claimsBlockedUntil {
		return true
	}
	return e.extensions.blockedByPredecessorOnly && e.peers.allStartedAfterThisProcess()
}

// extensionsAllowOwnShardClaim is extensionsAllowClaim for this member's own shard:
// no member acts for that shard by an extension once every other member has
// confirmed its release, see requestReleases.
func (e *Election) extensionsAllowOwnShardClaim(now time.Duration) bool {
	return e.extensionsAllowClaim(now) || e.peers.allReleasesConfirmed()
}

// extendedUntil returns the time before which the extensions of all other members
// keep them from claiming this process's keys. It returns 0 if a member has granted
// none or if they do not count.
//
// For a leader they count only while every shard is registered with it. A holder
// that confirms a cancellation to a user then reports it to the leader on the
// stream that carries its extensions, or no longer grants any. If a shard is not
// registered, its last holder may have confirmed a cancellation and ended before
// it could report it, and the cancelled tasks would continue to run (rule
// ran_cancelled).
func (e *Election) extendedUntil() time.Duration {
	if !e.env.Registrations.AllShardsRegistered() {
		return 0
	}
	until := time.Duration(math.MaxInt64) // a deployment of one member needs no extensions
	for _, peer := range e.peers {
		if !peer.everExtended {
			return 0
		}
		until = min(until, peer.lastGrantRequestedAt+ExtensionDuration-2*extensionClockDrift-leaseSafetyMargin/2)
	}
	return until
}

// requestExtensions asks the other members to extend this process's lease, once
// renewals have failed for long enough and the next round of requests is due.
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

// heldKeys returns the keys that this process holds, with their versions.
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

// HandleExtensionRequest handles the request of the member from to extend its lease,
// and returns the answer to send. The extension is granted if this process is
// registered, its view is loaded, the request names at least one key, and for each
// key this process has neither observed that the other member no longer holds it
// nor a claim or release of its own pending. A granted extension blocks the claims
// of this member for ExtensionDuration. A leader key in the request, unless the
// request was already rejected for one of these reasons, is also recorded as a report
// of leadership, see ObserveLeader.
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

// mayExtend reports whether the other member may still hold a key, and no claim or
// release of the key by this process is pending.
func (e *Election) mayExtend(from string, key *meshpb.HeldKey) bool {
	known, pending := &e.view.leader, e.leaderClaimPending
	if key.Key != storage.LeaderKey {
		shard, _ := storage.ShardOfKey(key.Key)
		known, pending = e.view.shards[shard], e.pendingShards[shard]
	}
	if known == nil || pending {
		return false
	}
	// A version newer than the one observed was written after the observation,
	// which may be long ago if the state service rejects this member's requests.
	// This member knows of no later claim, and a member that made one rejects the
	// holder's request, too.
	return key.Version > known.version || known.heldBy(from)
}

// HandleExtension handles the answer of the member from to an extension request of
// this process. An answer that grants nothing is ignored, and so is one to a round
// that is no longer retained.
func (e *Election) HandleExtension(from string, answer *meshpb.LeaseExtension) {
	peer := e.peers[from]
	requestedAt, retained := e.extensions.roundSentAt[answer.Round]
	if peer == nil || !retained || !answer.Granted {
		return
	}
	peer.everExtended = true
	peer.lastGrantRequestedAt = max(peer.lastGrantRequestedAt, requestedAt)
}
