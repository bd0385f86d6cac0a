package storage

import "github.com/cobaltvale/cobaltvale/internal/protocol"

// rejectionPolicy determines how a fenced write that was not executed is handled.
type rejectionPolicy uint8

const (
	reportRejection rejectionPolicy = iota // the outcome is passed to the caller
	retryRejected                          // the write is sent again after retryDelay
)

// fence makes the writes of a shard's holder. Each write is a compare-and-swap on the version
// of the shard's key, so that it is applied only while this process still holds the shard. Once
// another process holds it, the fence is lost for good.
type fence struct {
	client  *client
	key     string // of the shard
	holder  Holder // this process, as named in the key
	lease   uint64 // lease of the state service to which the key is bound
	version uint64 // version of the key that fences the writes
	onLost  func()

	lost             bool
	resolvingVersion bool     // the version is being determined, see resolveOutcome
	blockedWrites    []func() // to run once the version is determined
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

// write sends a transaction, again if necessary, until its outcome is certain. The result is
// Applied, Conflict (on a key other than the shard's), Invalid, or with reportRejection
// Rejected.
func (f *fence) write(class Class, t protocol.Transaction, rejection rejectionPolicy, done func(TxnResult)) {
	if f.lost {
		return
	}
	retry := func() { f.write(class, t, rejection, done) }
	if f.resolvingVersion {
		f.blockedWrites = append(f.blockedWrites, retry)
		return
	}
	sentVersion := f.version
	fenced := t
	fenced.If = append([]protocol.Condition{{Key: f.key, Version: sentVersion}}, t.If...)
	f.client.Txn(class, fenced, func(r TxnResult) {
		if f.lost {
			return
		}
		switch {
		case r.Outcome == Unknown:
			f.blockedWrites = append(f.blockedWrites, retry)
			f.resolveOutcome()
		case r.Outcome == Conflict && r.FailedOn(f.key):
			if f.version != sentVersion {
				retry() // the outcome of another write was resolved meanwhile, by a new version
				return
			}
			f.blockedWrites = append(f.blockedWrites, retry)
			f.verifyHolder()
		case r.Outcome == Rejected && rejection == retryRejected:
			f.client.After(retryDelay, retry)
		case r.Outcome == LeaseExpired:
			f.declareLost()
		default:
			done(r)
		}
	})
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
