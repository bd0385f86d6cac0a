package election

import (
	"time"

	"github.com/cobaltvale/cobaltvale/internal/protocol"
	"github.com/cobaltvale/cobaltvale/internal/storage"
)

// Registered reports whether the key that names this process as the current process
// of its member is known to be written.
func (e *Election) Registered() bool { return e.processKeyVersion != 0 }

// registerProcess writes the key that names this process. Until the write is known
// to be applied, this process neither claims keys nor grants extensions: claims of
// an earlier process of this member may still be in flight, and only this write
// makes their conditions fail.
func (e *Election) registerProcess(now time.Duration) {
	if e.Registered() || e.registeringProcess || now < e.retryAt {
		return
	}
	e.registeringProcess = true
	key := storage.ProcessKey(e.member())
	e.env.State.Get(storage.Urgent, key, func(current storage.GetResult) {
		switch {
		case current.Err != nil:
			e.retryRegistration()
		case current.Found && e.namesThisProcess(current.KeyValue.Value):
			// An earlier write of this process was applied without an answer.
			// Other writes of the key by this process have the same condition and
			// can no longer succeed.
			e.recordRegistration(current.KeyValue.Version)
		default:
			e.writeProcessKey(key, current.KeyValue.Version, current.Found)
		}
	})
}

func (e *Election) namesThisProcess(value []byte) bool {
	var holder storage.Holder
	return e.env.Codec.Decode(value, &holder) == nil && holder == e.config.Identity
}

func (e *Election) writeProcessKey(key string, version uint64, hadPredecessor bool) {
	e.env.State.Txn(storage.Urgent, protocol.Transaction{
		If:   []protocol.Condition{{Key: key, Version: version}},
		Then: []protocol.Change{{Put: key, Value: e.encodedIdentity()}},
	}, func(result storage.TxnResult) {
		if result.Outcome != storage.Applied {
			e.retryRegistration()
			return
		}
		e.recordRegistration(result.Revision)
		if !hadPredecessor {
			e.extensions.clearPredecessorBlock()
		}
		e.Tick(e.now())
	})
}

func (e *Election) recordRegistration(version uint64) {
	e.processKeyVersion = version
	e.registeringProcess = false
}

func (e *Election) retryRegistration() {
	e.registeringProcess = false
	e.pauseRequests()
}
