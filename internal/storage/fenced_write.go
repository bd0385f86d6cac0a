package storage

import (
	"time"

	"github.com/cobaltvale/cobaltvale/internal/protocol"
)

// rejectionPolicy determines how a fenced write is handled whose only attempts were not executed.
// Once an attempt got no answer, the write is sent again after a rejection under either policy.
type rejectionPolicy uint8

const (
	reportRejection rejectionPolicy = iota // the outcome is passed to the caller
	retryRejected                          // the write is sent again after retryDelay
)

// fencedWrite is a transaction of a shard's holder, which is sent until its outcome is certain.
type fencedWrite struct {
	fence     *fence
	class     Class
	txn       protocol.Transaction // without the condition on the shard's key
	rejection rejectionPolicy
	done      func(TxnResult)

	startedAt  time.Duration // on the client's clock
	attempts   int           // transactions sent, or queued, so far
	unanswered int           // attempts that got no answer
	rejected   int           // attempts that were rejected after one that got no answer
}

// write sends a transaction, again if necessary, until its outcome is certain. The outcome is that
// of all attempts together:
//
//   - Applied: an attempt was applied.
//   - Conflict, on a key other than the shard's: no later attempt can be applied. An earlier one
//     that got no answer may have been, and then the caller finds its records.
//   - Rejected (with reportRejection) and Invalid: none was executed, and none will be.
//   - Unknown: an attempt got no answer, and the service takes a later one for invalid. No attempt
//     can still be applied; whether one was, the caller has to read.
func (f *fence) write(class Class, t protocol.Transaction, rejection rejectionPolicy, done func(TxnResult)) {
	w := &fencedWrite{fence: f, class: class, txn: t, rejection: rejection, done: done, startedAt: f.client.Now()}
	w.send()
}

// send makes an attempt, once the version of the shard's key is known.
func (w *fencedWrite) send() {
	f := w.fence
	if f.lost {
		return
	}
	if f.resolvingVersion {
		f.blockedWrites = append(f.blockedWrites, w.send)
		return
	}
	w.attempts++
	sentVersion := f.version
	fenced := w.txn
	fenced.If = append([]protocol.Condition{{Key: f.key, Version: sentVersion}}, w.txn.If...)
	f.client.Txn(w.class, fenced, func(r TxnResult) {
		if !f.lost {
			w.handleResult(r, sentVersion)
		}
	})
}

// handleResult handles the result of an attempt that was sent under a version of the shard's key.
func (w *fencedWrite) handleResult(r TxnResult, sentVersion uint64) {
	f := w.fence
	if r.Outcome == Rejected && w.unanswered > 0 {
		w.rejected++
	}
	switch {
	case r.Outcome == Unknown:
		w.unanswered++
		f.blockedWrites = append(f.blockedWrites, w.send)
		f.resolveOutcome()
	case r.Outcome == Conflict && r.FailedOn(f.key):
		if f.version != sentVersion {
			w.send() // the outcome of another write was resolved meanwhile, by a new version
			return
		}
		f.blockedWrites = append(f.blockedWrites, w.send)
		f.verifyHolder()
	case r.Outcome == Rejected && (w.rejection == retryRejected || w.unanswered > 0):
		f.client.After(retryDelay, w.send)
	case r.Outcome == LeaseExpired:
		f.declareLost()
	case r.Outcome == Invalid && w.unanswered > 0:
		w.finish(TxnResult{Outcome: Unknown})
	default:
		w.finish(r)
	}
}

// finish passes the outcome of the write to the caller. It logs the outcome if an attempt got no
// answer.
func (w *fencedWrite) finish(r TxnResult) {
	if w.unanswered > 0 {
		client := w.fence.client
		client.log.Info().Str("shard", w.fence.shard).Int("changes", len(w.txn.Then)).
			Int("attempts", w.attempts).Int("unanswered", w.unanswered).Int("rejected", w.rejected).
			Stringer("outcome", r.Outcome).Int64("after_ms", (client.Now() - w.startedAt).Milliseconds()).
			Msg("unanswered write resolved")
	}
	w.done(r)
}
