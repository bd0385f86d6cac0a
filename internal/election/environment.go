package election

import (
	"iter"
	"time"

	"github.com/cobaltvale/cobaltvale/internal/protocol"
	"github.com/cobaltvale/cobaltvale/internal/protocol/meshpb"
	"github.com/cobaltvale/cobaltvale/internal/storage"
)

// StateService is the part of the state service's client that an election
// needs. Callbacks come on the goroutine that calls Tick, after the call that
// caused them has returned.
type StateService interface {
	Get(class storage.Class, key string, done func(storage.GetResult))
	Txn(class storage.Class, transaction protocol.Transaction, done func(storage.TxnResult))
	List(prefix string, done storage.ListDone)
	Watch(prefix string, from uint64, hold time.Duration, done func(changes protocol.WatchResponse, err error))
	OpenLease(ttl time.Duration, done func(lease uint64))
	RenewLease(lease uint64, timeout time.Duration, done func(renewed, expired bool))
	After(pause time.Duration, fn func())
}

// Peer is another member. What is asked of it goes out in the order of the
// calls; nothing goes out while it is not connected.
type Peer interface {
	Member() string
	Connected() bool
	RequestHandover(shard string)
	RequestUptime()
	RequestLeaseExtension(request *meshpb.LeaseExtensionRequest)
}

// Shards are the shards that this process holds.
type Shards interface {
	// Held yields the shards held with the versions of their keys.
	Held() iter.Seq2[string, uint64]
	// Version is the version of a held shard's key.
	KeyVersion(shard string) (version uint64, held bool)
	// Acquire takes a shard over whose key this process has just written.
	Acquire(shard string, lease, version uint64)
	// Release deletes the key of a held shard and forgets the shard.
	Release(shard string, done func(storage.TxnResult))
	// Lose forgets a shard whose key is another's.
	RemoveLost(shard string)
	// RemoveAll forgets every shard.
	RemoveAll()
}

// Registrations tells which shards have been registered with a leader.
type Registrations interface {
	// Confirmed tells whether the leader has confirmed the registration of every
	// shard of this process that is ready.
	HeldShardsConfirmed() bool
	// Complete tells whether every shard has registered with this process; true
	// unless this process leads.
	AllShardsRegistered() bool
}

// Observer is told of what an election has decided or seen.
type Observer interface {
	// LeadershipAcquired comes once this process holds the leader key.
	LeadershipAcquired(fencingToken uint64)
	// LeadershipLost comes once it may not act as leader any more.
	LeadershipLost()
	// ViewChanged comes whenever the view of the keys may have changed.
	ViewChanged()
	// QuotaRecordChanged passes on a quota record, which lies among the keys watched.
	QuotaRecordChanged(team string, value []byte, version uint64, present bool)
	// KeysListed passes on a complete list of the keys watched.
	KeysListed(items []protocol.KeyValue)
}
