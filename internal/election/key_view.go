package election

import (
	"errors"
	"iter"
	"maps"
	"time"

	"github.com/cobaltvale/cobaltvale/internal/protocol"
	"github.com/cobaltvale/cobaltvale/internal/storage"
)

// watchTimeout is how long the state service holds a watch while nothing changes.
const watchTimeout = 8 * time.Second

// observedKey is the last observation of the leader key or of a shard's key.
type observedKey struct {
	present   bool
	holder    storage.Holder
	version   uint64
	changedAt time.Duration // when this process last observed a change
}

// heldBy reports whether any process of a member, current or earlier, holds the key.
func (k *observedKey) heldBy(member string) bool { return k.present && k.holder.Member == member }

// olderThan reports whether the observation seen is newer than this one. At equal
// versions, one that differs in the key's presence counts as newer.
func (k *observedKey) olderThan(seen observedKey) bool {
	if seen.version == k.version {
		return seen.present != k.present
	}
	return seen.version > k.version
}

// keyView is this process's view of the leader key and of all shard keys.
type keyView struct {
	loaded   bool   // a complete list was read and every change since is being watched
	loading  bool   // a list request is in flight
	watching bool   // a watch request is in flight
	revision uint64 // of the state service, up to which changes have been applied
	leader   observedKey
	shards   map[string]*observedKey // by shard name
}

// newKeyView returns the view of a process that has not observed any key yet. It
// has one shard for each member, named after the member.
func newKeyView(member string, peers peerTable, now time.Duration) keyView {
	v := keyView{shards: make(map[string]*observedKey)}
	v.shards[member] = &observedKey{changedAt: now}
	for name := range peers {
		v.shards[name] = &observedKey{changedAt: now}
	}
	v.leader.changedAt = now
	return v
}

// ensureShard returns the observed key of a shard, which it adds if the shard was
// unknown.
func (v *keyView) ensureShard(name string) *observedKey {
	key := v.shards[name]
	if key == nil {
		key = &observedKey{}
		v.shards[name] = key
	}
	return key
}

// holdsAny reports whether a member holds the leader key or the key of a shard.
func (v *keyView) holdsAny(member string) bool {
	if v.leader.heldBy(member) {
		return true
	}
	for _, key := range v.shards {
		if key.heldBy(member) {
			return true
		}
	}
	return false
}

// Leadership names a leader and its fencing token.
type Leadership struct {
	Member       string
	FencingToken uint64 // version of the leader key
}

// Leader returns the current leadership as last observed; ok is false if no member
// was observed to lead. The observation may be out of date; only MayAct decides
// whether this process itself may act as leader.
func (e *Election) Leader() (leadership Leadership, ok bool) {
	key := &e.view.leader
	if !key.present {
		return Leadership{}, false
	}
	return Leadership{Member: key.holder.Member, FencingToken: key.version}, true
}

// ShardHolder returns the member last observed to hold a shard; ok is false if
// there is none. The observation may be out of date.
func (e *Election) ShardHolder(shard string) (member string, ok bool) {
	key := e.view.shards[shard]
	if key == nil || !key.present {
		return "", false
	}
	return key.holder.Member, true
}

// Shards yields the names of all shards, held or not.
func (e *Election) Shards() iter.Seq[string] { return maps.Keys(e.view.shards) }

// HoldsAnyKey reports whether a member was last observed to hold the leader key or
// the key of a shard.
func (e *Election) HoldsAnyKey(member string) bool { return e.view.holdsAny(member) }

// ViewLoaded reports whether the view was read completely and is being kept up to
// date by a watch.
func (e *Election) ViewLoaded() bool { return e.view.loaded }

// followKeys starts the next list or watch request that keeps the view up to date,
// if none is in flight.
func (e *Election) followKeys(now time.Duration) {
	if now < e.retryAt {
		return
	}
	switch {
	case !e.view.loaded && !e.view.loading:
		e.listKeys()
	case e.view.loaded && !e.view.watching:
		e.watchKeys()
	}
}

func (e *Election) listKeys() {
	e.view.loading = true
	e.env.State.List(storage.WatchedPrefix, func(items []protocol.KeyValue, revision uint64, err error) {
		e.view.loading = false
		if err != nil {
			e.pauseRequests()
			return
		}
		e.view.revision = revision
		e.observeList(items)
		e.view.loaded = true
	})
}

func (e *Election) watchKeys() {
	e.view.watching = true
	e.env.State.Watch(storage.WatchedPrefix, e.view.revision, watchTimeout, func(changes protocol.WatchResponse, err error) {
		e.view.watching = false
		if err != nil {
			e.pauseRequests()
			e.view.loaded = e.view.loaded && !errors.Is(err, storage.ErrRevisionTooOld)
			return
		}
		e.observeEvents(changes)
		e.env.Observer.ViewChanged()
		e.followKeys(e.now())
		e.Tick(e.now())
	})
}

func (e *Election) observeEvents(changes protocol.WatchResponse) {
	for _, event := range changes.Events {
		if event.Put != "" {
			e.observeKey(event.Put, event.Value, event.Version, true)
		} else {
			e.observeKey(event.Delete, nil, event.Version, false)
		}
	}
	e.view.revision = max(e.view.revision, changes.Revision)
}

// observeList records a complete list of the keys as of view.revision. A leader or
// shard key that is not listed is recorded as absent.
func (e *Election) observeList(items []protocol.KeyValue) {
	e.peers.clearReleaseConfirmations() // changes since the last list may have been missed
	listed := make(map[string]bool, len(items))
	for _, item := range items {
		listed[item.Key] = true
		e.observeKey(item.Key, item.Value, item.Version, true)
	}
	e.env.Observer.KeysListed(items)
	if !listed[storage.LeaderKey] {
		e.observeKey(storage.LeaderKey, nil, e.view.revision, false)
	}
	for name := range e.view.shards {
		if key := storage.ShardKey(name); !listed[key] {
			e.observeKey(key, nil, e.view.revision, false)
		}
	}
	e.env.Observer.ViewChanged()
}

// observeKey records an observation of one key at a version.
func (e *Election) observeKey(key string, value []byte, version uint64, present bool) {
	if member, ok := storage.MemberOfProcessKey(key); ok {
		e.observeProcessKey(member, value, present)
		return
	}
	if team, ok := storage.TeamOfQuotaKey(key); ok {
		e.env.Observer.QuotaRecordChanged(team, value, version, present)
		return
	}
	if key == storage.LeaderKey {
		if seen, ok := e.decodeKey(value, version, present); ok {
			e.observeLeaderKey(seen)
		}
		return
	}
	if shard, ok := storage.ShardOfKey(key); ok {
		known := e.view.ensureShard(shard)
		if seen, ok := e.decodeKey(value, version, present); ok {
			e.observeShardKey(shard, known, seen)
		}
	}
}

// decodeKey decodes a leader or shard key; ok is false if its value is malformed.
func (e *Election) decodeKey(value []byte, version uint64, present bool) (key observedKey, ok bool) {
	key = observedKey{present: present, version: version, changedAt: e.now()}
	if !present {
		return key, true
	}
	return key, e.env.Codec.Decode(value, &key.holder) == nil
}
