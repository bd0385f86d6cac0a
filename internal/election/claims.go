package election

import (
	"time"

	"github.com/cobaltvale/cobaltvale/internal/protocol"
	"github.com/cobaltvale/cobaltvale/internal/storage"
)

const (
	takeoverDelay          = 1500 * time.Millisecond // a free shard is left this long to its own member
	connectedTakeoverDelay = 3 * takeoverDelay       // the same while its member is connected
	handoverInterval       = time.Second
	leaderContactTimeout   = 6 * time.Second // without a leader's confirmation, a holder releases its shards
)

// claimStep is what this process does about a shard that it does not hold.
type claimStep uint8

const (
	stepNone            claimStep = iota
	stepClaimHeldKey              // an earlier process of this member holds it
	stepClaimFreeKey              // nobody holds it
	stepRequestHandover           // another member holds this member's own
	stepRequestReleases           // nobody holds this member's own, but one may go on with it by an extension
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

// claimShards takes this member's own shard, and as leader also those whose
// holders are gone.
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

// nextClaimStep decides what is to be done about a shard that this process does
// not hold, by the key as it was last seen.
func (e *Election) nextClaimStep(name string, key *observedKey, now time.Duration) claimStep {
	own := name == e.member()
	switch {
	case key.present && key.holder == e.config.Identity && !e.extensionsAllowClaim(now):
		// A claim of ours that was applied late; it may have been granted away since.
		return stepNone
	case key.heldBy(e.member()):
		// An earlier process of this member held it; that one has ended.
		// (A claim of this process whose answer was lost also ends up here.)
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

// takeoverDue tells whether a shard has been free for long enough to be taken
// from its own member.
func (e *Election) takeoverDue(shard string, free time.Duration) bool {
	if peer := e.peers[shard]; peer == nil || !peer.Connected() {
		return free > takeoverDelay
	}
	return free > connectedTakeoverDelay
}

// requestHandover asks the holder of this member's own shard to give it back.
func (e *Election) requestHandover(holder string, now time.Duration) {
	peer := e.peers[holder]
	if peer == nil || !peer.Connected() || now < e.nextHandoverRequestAt {
		return
	}
	e.nextHandoverRequestAt = now + handoverInterval
	peer.RequestHandover(e.member())
}

// requestReleases asks every member to give this one's own shard up, in case it
// goes on with it although the key has vanished. Frames keep their order: a
// member that then answers another request has done so.
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

// claimKey writes this process's identity to a key, on condition of the key's
// version and of this process not having been replaced.
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

// readKeyAfterClaim reads a key whose claim failed or was not answered: it may
// or may not be ours. The fresh view decides, and a claim of ours that is
// applied later shows there as held by this member.
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

// observeShardKey takes in a shard's key, and loses the shard if it was this
// process's and is another's now.
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

// HandleHandover gives a shard back to the member whose name it bears.
func (e *Election) HandleHandover(from, shard string) {
	if shard == from && e.holds(shard) {
		e.ReleaseShard(shard, ReleasedToOwnMember)
	}
}

// inContactWithLeader tells whether users' cancellations reach whoever answers
// the machines: every shard here is registered with the leader, or there is no
// other leader.
func (e *Election) inContactWithLeader() bool {
	return e.env.Registrations.HeldShardsConfirmed() || !e.view.leader.present || e.view.leader.heldBy(e.member())
}

// releaseAllShards gives up every shard of a process that the leader cannot
// reach: nothing of them could be started, and tasks of jobs that users cancel
// here would go on running.
func (e *Election) releaseAllShards() {
	for name := range e.env.Shards.Held() {
		e.ReleaseShard(name, ReleasedWithoutLeader)
	}
}

// ReleaseShard gives up a shard that this process holds.
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
