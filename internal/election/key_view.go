package election

import (
	"errors"
	"iter"
	"maps"
	"time"

	"github.com/cobaltvale/cobaltvale/internal/protocol"
	"github.com/cobaltvale/cobaltvale/internal/storage"
)

// watchTimeout is how long the state service holds a watch that has nothing to tell.
const watchTimeout = 8 * time.Second

// observedKey is a leader or shard key as it was last seen.
type observedKey struct {
	present   bool
	holder    storage.Holder
	version   uint64
	changedAt time.Duration // when it was last seen to change
}

// heldBy tells whether a member, in this or an earlier process, holds the key.
func (k *observedKey) heldBy(member string) bool { return k.present && k.holder.Member == member }

// olderThan tells whether an observation of the key is newer than this one.
func (k *observedKey) olderThan(seen observedKey) bool {
	if seen.version == k.version {
		return seen.present != k.present
	}
	return seen.version > k.version
}

// keyView is what this process knows of the keys of all members.
type keyView struct {
	loaded   bool // it follows every change since a complete list
	loading  bool
	watching bool
	revision uint64
	leader   observedKey
	shards   map[string]*observedKey
}

// newKeyView is the view of a process that has not seen anything yet: every
// member has a shard.
func newKeyView(member string, peers peerTable, now time.Duration) keyView {
	v := keyView{shards: make(map[string]*observedKey)}
	v.shards[member] = &observedKey{changedAt: now}
	for name := range peers {
		v.shards[name] = &observedKey{changedAt: now}
	}
	v.leader.changedAt = now
	return v
}

// shard returns the view of a shard's key.
func (v *keyView) ensureShard(name string) *observedKey {
	k := v.shards[name]
	if k == nil {
		k = &observedKey{}
		v.shards[name] = k
	}
	return k
}

// holdsAny tells whether a member holds the leader key or the key of a shard.
func (v *keyView) holdsAny(member string) bool {
	if v.leader.heldBy(member) {
		return true
	}
	for _, k := range v.shards {
		if k.heldBy(member) {
			return true
		}
	}
	return false
}

// Leadership is a member's that holds the leader key.
type Leadership struct {
	Member       string
	FencingToken uint64 // the version of the leader key
}

// Leader returns the leadership as far as it is known; ok is false while nobody
// is thought to lead.
func (e *Election) Leader() (leadership Leadership, ok bool) {
	k := &e.view.leader
	if !k.present {
		return Leadership{}, false
	}
	return Leadership{Member: k.holder.Member, FencingToken: k.version}, true
}

// ShardHolder returns the member that is thought to hold a shard; ok is false
// while nobody is.
func (e *Election) ShardHolder(shard string) (member string, ok bool) {
	k := e.view.shards[shard]
	if k == nil || !k.present {
		return "", false
	}
	return k.holder.Member, true
}

// Shards yields the names of all shards, held or not.
func (e *Election) Shards() iter.Seq[string] { return maps.Keys(e.view.shards) }

// HoldsAnyKey tells whether a member holds the leader key or a shard.
func (e *Election) HoldsAnyKey(member string) bool { return e.view.holdsAny(member) }

// ViewLoaded tells whether the view follows every change of the keys.
func (e *Election) ViewLoaded() bool { return e.view.loaded }

// followKeys keeps the view up to date.
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

// observeList takes in a complete list of the keys.
func (e *Election) observeList(items []protocol.KeyValue) {
	e.peers.clearReleaseConfirmations() // what has happened since the last list is not known
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

// observe takes in one key as it was at a version.
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

// decodeKey reads a leader or shard key; ok is false if its value is malformed.
func (e *Election) decodeKey(value []byte, version uint64, present bool) (key observedKey, ok bool) {
	key = observedKey{present: present, version: version, changedAt: e.now()}
	if !present {
		return key, true
	}
	return key, e.env.Codec.Decode(value, &key.holder) == nil
}
