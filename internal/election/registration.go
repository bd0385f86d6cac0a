package election

import (
	"time"

	"github.com/cobaltvale/cobaltvale/internal/protocol"
	"github.com/cobaltvale/cobaltvale/internal/storage"
)

// Registered tells whether the key that names this process is certainly written.
func (e *Election) Registered() bool { return e.processKeyVersion != 0 }

// registerProcess writes the key that names this process. Before that is certain
// it neither claims nor grants anything: claims of an earlier process of this
// member may still be on their way, and only this write puts an end to them.
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
			// An earlier write of ours that got no answer. Others of ours have
			// the same condition and fail from now on.
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
