package election

import (
	"time"

	"github.com/cobaltvale/cobaltvale/internal/protocol"
	"github.com/cobaltvale/cobaltvale/internal/storage"
)

const (
	// takeoverDelay is how long the leader leaves a free shard to the member that it
	// is named after, while that member is not connected.
	takeoverDelay = 1500 * time.Millisecond
	// connectedTakeoverDelay is the same while that member is connected.
	connectedTakeoverDelay = 3 * takeoverDelay
	// handoverInterval is the time between requests for this member's own shard.
	handoverInterval = time.Second
	// leaderContactTimeout is how long a holder keeps its shards while no leader
	// confirms their registration.
	leaderContactTimeout = 6 * time.Second
)

// claimStep is the next action for a shard that this process does not hold. A
// member's own shard is the one that bears the member's name.
type claimStep uint8

const (
	stepNone            claimStep = iota
	stepClaimHeldKey              // an earlier process of this member holds the shard
	stepClaimFreeKey              // the shard has no holder
	stepRequestHandover           // another member holds this member's own shard
	stepRequestReleases           // own shard without holder; a member may still act for it by an extension
)

func (s claimStep) String() string {
	switch s {
	case stepNone:
		return "none"
	case stepClaimHeldKey:
		return "claim held key"
	case stepClaimFreeKey:
		return "claim free key"
	case stepRequestHandover:
		return "request handover"
	case stepRequestReleases:
		return "request releases"
	}
	return "unknown"
}

// claimShards claims this member's own shard and, if this process leads, the
// shards that have been free for long enough.
func (e *Election) claimShards(now time.Duration) {
	for name, key := range e.view.shards {
		if e.pendingShards[name] || e.holds(name) {
			continue
		}
		switch e.nextClaimStep(name, key, now) {
		case stepNone:
		case stepClaimHeldKey:
			e.claimShard(name, key.version)
		case stepClaimFreeKey:
			e.claimShard(name, 0)
		case stepRequestHandover:
			e.requestHandover(key.holder.Member, now)
		case stepRequestReleases:
			e.requestReleases(now)
		}
	}
}

func (e *Election) holds(shard string) bool {
	_, held := e.env.Shards.KeyVersion(shard)
	return held
}

// nextClaimStep returns the next action for a shard that this process does not
// hold, based on the last observation of its key.
func (e *Election) nextClaimStep(name string, key *observedKey, now time.Duration) claimStep {
	own := name == e.member()
	switch {
	case key.present && key.holder == e.config.Identity && !e.extensionsAllowClaim(now):
		// A claim of this process was applied late. This member may since have
		// extended another member's lease on the key.
		return stepNone
	case key.heldBy(e.member()):
		// The holder is an earlier process of this member, which has ended, or
		// this process, by a claim whose answer was lost.
		return stepClaimHeldKey
	case key.present && own:
		return stepRequestHandover
	case key.present:
		return stepNone
	case own && e.extensionsAllowOwnShardClaim(now):
		return stepClaimFreeKey
	case own:
		return stepRequestReleases
	case e.Leading() && e.takeoverDue(name, now-key.changedAt) && e.extensionsAllowClaim(now):
		return stepClaimFreeKey
	}
	return stepNone
}

// takeoverDue reports whether a shard has been free for long enough that the
// leader may claim it in place of the member that it is named after.
func (e *Election) takeoverDue(shard string, freeFor time.Duration) bool {
	if peer := e.peers[shard]; peer == nil || !peer.Connected() {
		return freeFor > takeoverDelay
	}
	return freeFor > connectedTakeoverDelay
}

// requestHandover asks the holder of this member's own shard to release it, at
// most once in a handoverInterval.
func (e *Election) requestHandover(holder string, now time.Duration) {
	peer := e.peers[holder]
	if peer == nil || !peer.Connected() || now < e.nextHandoverRequestAt {
		return
	}
	e.nextHandoverRequestAt = now + handoverInterval
	peer.RequestHandover(e.member())
}

// requestReleases asks every member to release this member's own shard, in case
// one still acts for it by an extension although its key is gone. Frames are
// delivered in order, so a member that answers a request sent after this one has
// released the shard.
func (e *Election) requestReleases(now time.Duration) {
	if now < e.nextHandoverRequestAt {
		return
	}
	e.nextHandoverRequestAt = now + handoverInterval
	for _, peer := range e.peers {
		peer.requestRelease(e.member(), now)
	}
}

func (e *Election) claimShard(name string, version uint64) {
	e.pendingShards[name] = true
	lease := e.lease.id
	key := storage.ShardKey(name)
	e.claimKey(key, version, func(result storage.TxnResult) {
		if lease != e.lease.id {
			return
		}
		switch result.Outcome {
		case storage.Applied:
			delete(e.pendingShards, name)
			e.observeKey(key, e.encodedIdentity(), result.Revision, true)
			e.env.Log.Info().Str("shard", name).Uint64("version", result.Revision).Uint64("previous_version", version).Msg("shard acquired")
			e.env.Shards.Acquire(name, lease, result.Revision)
		case storage.LeaseExpired:
			e.endLease(LeaseSessionUnknown)
		default:
			e.readKeyAfterClaim(key, func() { delete(e.pendingShards, name) })
		}
	})
}

// claimKey writes this process's identity to a key, on the condition that the key
// still has the given version (0: does not exist) and that no newer process of
// this member has registered.
func (e *Election) claimKey(key string, version uint64, done func(storage.TxnResult)) {
	processKey := storage.ProcessKey(e.member())
	e.env.State.Txn(storage.Urgent, protocol.Transaction{
		If:   []protocol.Condition{{Key: key, Version: version}, {Key: processKey, Version: e.processKeyVersion}},
		Then: []protocol.Change{{Put: key, Value: e.encodedIdentity(), Lease: e.lease.id}},
	}, func(result storage.TxnResult) {
		if result.FailedOn(processKey) {
			e.processKeyVersion = 0
		}
		done(result)
	})
}

// readKeyAfterClaim reads a key after a claim that failed or got no answer, because
// the claim may still have been applied. It then calls finished and records the
// observation, which determines the next step. If the claim is applied only after
// this read, a later observation shows the key as held by this member.
func (e *Election) readKeyAfterClaim(key string, finished func()) {
	lease := e.lease.id
	e.env.State.Get(storage.Urgent, key, func(current storage.GetResult) {
		if lease != e.lease.id {
			return
		}
		finished()
		if current.Found {
			e.observeKey(key, current.KeyValue.Value, current.KeyValue.Version, true)
		}
	})
}

// observeShardKey records an observation of a shard's key. If this process holds
// the shard and a newer version of the key is not its own, the shard is lost.
func (e *Election) observeShardKey(name string, known *observedKey, seen observedKey) {
	if !known.olderThan(seen) {
		return
	}
	*known = seen
	if name == e.member() && seen.present && seen.holder.Member != e.member() {
		e.peers.clearReleaseConfirmations()
	}
	if seen.present && seen.holder == e.config.Identity {
		return
	}
	if version, held := e.env.Shards.KeyVersion(name); held && seen.version > version {
		e.env.Log.Info().Str("shard", name).Str("holder", seen.holder.Member).Uint64("version", seen.version).
			Str("reason", "its key has changed").Msg("shard lost")
		e.env.Shards.RemoveLost(name)
	}
}

// HandleHandover handles a request of the member from to release a shard to it.
// The request has effect only if this process holds the shard and the shard is
// named after that member.
func (e *Election) HandleHandover(from, shard string) {
	if shard == from && e.holds(shard) {
		e.ReleaseShard(shard, ReleasedToOwnMember)
	}
}

// inContactWithLeader reports whether cancellations by users reach the controller
// that answers the machines: the leader has confirmed every shard of this process,
// or no other member is known to lead.
func (e *Election) inContactWithLeader() bool {
	return e.env.Registrations.HeldShardsConfirmed() || !e.view.leader.present || e.view.leader.heldBy(e.member())
}

// releaseAllShards releases every shard of this process when it is out of contact
// with the leader: none of their tasks could be started, and tasks of jobs that
// users cancel here would continue to run.
func (e *Election) releaseAllShards() {
	for name := range e.env.Shards.Held() {
		e.ReleaseShard(name, ReleasedWithoutLeader)
	}
}

// ReleaseShard releases a shard that this process holds: the process stops acting
// for it at once and deletes its key. The reason is logged.
func (e *Election) ReleaseShard(name string, reason ReleaseReason) {
	e.env.Log.WithLevel(reason.level()).Str("shard", name).Stringer("reason", reason).Msg("shard released")
	e.pendingShards[name] = true
	e.env.Shards.Release(name, func(result storage.TxnResult) {
		delete(e.pendingShards, name)
		if result.Outcome == storage.Applied {
			e.observeKey(storage.ShardKey(name), nil, result.Revision, false)
		}
	})
}
