package storage

import "github.com/cobaltvale/cobaltvale/internal/protocol"

// fence makes the writes of a shard's holder. Each write is a compare-and-swap on the version
// of the shard's key, so that it is applied only while this process still holds the shard. Once
// another process holds it, the fence is lost for good.
type fence struct {
	client  *client
	shard   string // name of the shard
	key     string // of the shard
	holder  Holder // this process, as named in the key
	lease   uint64 // lease of the state service to which the key is bound
	version uint64 // version of the key that fences the writes
	onLost  func()

	lost             bool
	resolvingVersion bool     // the version is being determined, see resolveOutcome
	blockedWrites    []func() // to continue once the version is determined
}

// isOpen reports whether writes are sent at once.
func (f *fence) isOpen() bool { return !f.lost && !f.resolvingVersion }

// close stops all writing. Callbacks of unfinished writes are never called.
func (f *fence) close() {
	f.lost = true
	f.blockedWrites = nil
}

// declareLost closes the fence and calls onLost, as this process no longer holds the shard.
func (f *fence) declareLost() {
	if f.lost {
		return
	}
	f.close()
	f.onLost()
}

// resolveOutcome ensures that no write of this process that got no answer can still be applied:
// it gives the shard's key a new version. A write sent under the old version either has been
// applied by then or never will be.
func (f *fence) resolveOutcome() {
	if f.resolvingVersion || f.lost {
		return
	}
	f.resolvingVersion = true
	f.renewVersion()
}

// verifyHolder finds out why the shard's key has a different version.
func (f *fence) verifyHolder() {
	if f.resolvingVersion || f.lost {
		return
	}
	f.resolvingVersion = true
	f.readHolder(Conflict)
}

// renewVersion rewrites the shard's key with the same value, which gives it a new version.
func (f *fence) renewVersion() {
	if f.lost {
		return
	}
	t := protocol.Transaction{
		If:   []protocol.Condition{{Key: f.key, Version: f.version}},
		Then: []protocol.Change{{Put: f.key, Value: f.client.codec.Encode(f.holder), Lease: f.lease}},
	}
	f.client.Txn(Urgent, t, func(r TxnResult) {
		if f.lost {
			return
		}
		switch r.Outcome {
		case Applied:
			f.resumeWrites(r.Revision)
		case Conflict, Unknown:
			f.readHolder(r.Outcome)
		case LeaseExpired:
			f.declareLost()
		default:
			f.client.After(retryDelay, f.renewVersion)
		}
	})
}

// readHolder reads who holds the shard and under which version. renewal is the outcome of the
// last write of the key, or Conflict if there was none.
func (f *fence) readHolder(renewal Outcome) {
	if f.lost {
		return
	}
	f.client.Get(Urgent, f.key, func(r GetResult) {
		if f.lost {
			return
		}
		if r.Err != nil {
			f.client.After(retryDelay, func() { f.readHolder(renewal) })
			return
		}
		var holder Holder
		if !r.Found || f.client.codec.Decode(r.KeyValue.Value, &holder) != nil || holder != f.holder {
			f.declareLost()
			return
		}
		if r.KeyValue.Version == f.version && renewal == Unknown {
			// The write of the new version has not been applied yet, but may still be.
			f.client.After(retryDelay, f.renewVersion)
			return
		}
		f.resumeWrites(r.KeyValue.Version)
	})
}

// resumeWrites runs the blocked writes under the current version of the key.
func (f *fence) resumeWrites(version uint64) {
	f.version = version
	f.resolvingVersion = false
	blocked := f.blockedWrites
	f.blockedWrites = nil
	for _, fn := range blocked {
		fn()
	}
}

// release deletes the shard's key and closes the fence.
func (f *fence) release(done func(TxnResult)) {
	t := protocol.Transaction{
		If:   []protocol.Condition{{Key: f.key, Version: f.version}},
		Then: []protocol.Change{{Delete: f.key}},
	}
	f.close()
	f.client.Txn(Urgent, t, done)
}
