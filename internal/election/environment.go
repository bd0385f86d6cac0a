package election

import (
	"iter"
	"time"

	"github.com/cobaltvale/cobaltvale/internal/protocol"
	"github.com/cobaltvale/cobaltvale/internal/protocol/meshpb"
	"github.com/cobaltvale/cobaltvale/internal/storage"
)

// StateService is the part of the state service's client that an Election uses.
// An implementation calls the callbacks on the goroutine that calls Election.Tick,
// after the method that they were passed to has returned.
type StateService interface {
	// Get reads one key.
	Get(class storage.Class, key string, done func(storage.GetResult))
	// Txn sends a transaction.
	Txn(class storage.Class, transaction protocol.Transaction, done func(storage.TxnResult))
	// List reads all keys with a prefix.
	List(prefix string, done storage.ListDone)
	// Watch waits at most hold for changes under a prefix after the revision from.
	// done gets no changes if there were none, or storage.ErrRevisionTooOld if the
	// keys must be listed again.
	Watch(prefix string, from uint64, hold time.Duration, done func(changes protocol.WatchResponse, err error))
	// OpenLease opens a lease; done gets its ID, or 0 if none was opened.
	OpenLease(ttl time.Duration, done func(lease uint64))
	// RenewLease renews a lease. The result is storage.RenewalUnknown if no answer came within
	// the timeout.
	RenewLease(lease uint64, timeout time.Duration, done func(storage.LeaseRenewal))
	// After calls fn once the pause has passed.
	After(pause time.Duration, fn func())
}

// Peer is another member. Its requests are sent in the order of the calls; a request
// made while the peer is not connected is dropped.
type Peer interface {
	// Member returns the peer's name.
	Member() string
	// Connected reports whether there is a stream to the peer.
	Connected() bool
	// RequestHandover asks the peer to release a shard to this member.
	RequestHandover(shard string)
	// RequestUptime asks how long the peer's process has been running.
	RequestUptime()
	// RequestLeaseExtension asks the peer to extend this process's lease.
	RequestLeaseExtension(request *meshpb.LeaseExtensionRequest)
}

// Shards is the set of shards that this process holds.
type Shards interface {
	// Held yields the held shards with the versions of their keys.
	Held() iter.Seq2[string, uint64]
	// KeyVersion returns the version of a held shard's key.
	KeyVersion(shard string) (version uint64, held bool)
	// Acquire adds a shard whose key this process has just written, at version and
	// attached to lease.
	Acquire(shard string, lease, version uint64)
	// Release deletes the key of a held shard and removes the shard from the set.
	Release(shard string, done func(storage.TxnResult))
	// RemoveLost removes a shard whose key is no longer this process's.
	RemoveLost(shard string)
	// RemoveAll removes every shard; the lease that kept their keys alive has ended.
	RemoveAll()
}

// Registrations reports which shards are registered with a leader.
type Registrations interface {
	// HeldShardsConfirmed reports whether this process knows a leader that has confirmed
	// the registration of every shard that the process has recovered.
	HeldShardsConfirmed() bool
	// AllShardsRegistered reports whether every shard of the deployment is registered
	// with this process as leader. It is always true while this process does not lead.
	AllShardsRegistered() bool
}

// Observer receives the decisions and observations of an Election.
type Observer interface {
	// LeadershipAcquired is called once this process holds the leader key.
	LeadershipAcquired(fencingToken uint64)
	// LeadershipLost is called once this process may no longer act as leader.
	LeadershipLost()
	// ViewChanged is called whenever the view of the keys may have changed.
	ViewChanged()
	// QuotaRecordChanged passes on an observed quota record. Quota records share the
	// prefix of the watched keys.
	QuotaRecordChanged(team string, value []byte, version uint64, present bool)
	// KeysListed passes on a complete list of the watched keys.
	KeysListed(items []protocol.KeyValue)
}
