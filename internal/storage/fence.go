package storage

import "github.com/cobaltvale/cobaltvale/internal/protocol"

// rejectionPolicy is what becomes of a fenced write that was surely not executed.
type rejectionPolicy uint8

const (
	reportRejection rejectionPolicy = iota // its caller is told
	retryRejected                          // it is sent again
)

// fence makes the writes of a shard's holder. Each is a compare-and-swap on the
// version of the shard's key: it is applied only while this process still holds the
// shard. The fence is lost for good once another does.
type fence struct {
	client  *client
	key     string // of the shard
	holder  Holder // this process
	lease   uint64
	version uint64 // of the key, which fences the writes
	onLost  func()

	lost             bool
	resolvingVersion bool     // the outcome of a write without an answer
	blockedWrites    []func() // to run once that is resolved
}

// open tells whether writes go out at once.
func (f *fence) isOpen() bool { return !f.lost && !f.resolvingVersion }

// close stops all writing; callbacks of unfinished writes never come.
func (f *fence) close() {
	f.lost = true
	f.blockedWrites = nil
}

// lose closes the fence, as this process no longer holds the shard.
func (f *fence) declareLost() {
	if f.lost {
		return
	}
	f.close()
	f.onLost()
}

// write makes a transaction until its outcome is certain. The result is Applied,
// Conflict (on a key other than the shard's), Invalid, or with reportRejection Refused.
func (f *fence) write(class Class, t protocol.Transaction, refusal rejectionPolicy, done func(TxnResult)) {
	if f.lost {
		return
	}
	again := func() { f.write(class, t, refusal, done) }
	if f.resolvingVersion {
		f.blockedWrites = append(f.blockedWrites, again)
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
			f.blockedWrites = append(f.blockedWrites, again)
			f.resolveOutcome()
		case r.Outcome == Conflict && r.FailedOn(f.key):
			if f.version != sentVersion {
				again() // the outcome of another write was resolved meanwhile, by a new version
				return
			}
			f.blockedWrites = append(f.blockedWrites, again)
			f.verifyHolder()
		case r.Outcome == Rejected && refusal == retryRejected:
			f.client.After(retryDelay, again)
		case r.Outcome == LeaseExpired:
			f.declareLost()
		default:
			done(r)
		}
	})
}

// resolveOutcome makes sure that no write of ours which got no answer can still be
// applied: it gives the shard's key a new version. A write sent under the old one has
// either been applied by then or never will be.
func (f *fence) resolveOutcome() {
	if f.resolvingVersion || f.lost {
		return
	}
	f.resolvingVersion = true
	f.renewVersion()
}

// verifyHolder finds out why the shard's key has another version.
func (f *fence) verifyHolder() {
	if f.resolvingVersion || f.lost {
		return
	}
	f.resolvingVersion = true
	f.readHolder(Conflict)
}

// renewVersion writes the shard's key anew, as it is.
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

// readHolder reads who holds the shard and under which version. renewal is the
// outcome of the last write of the key, Conflict if there was none.
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
			// The new version has not been written yet, but may be later.
			f.client.After(retryDelay, f.renewVersion)
			return
		}
		f.resumeWrites(r.KeyValue.Version)
	})
}

// resolved goes on with what was blocked, under the key's present version.
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
