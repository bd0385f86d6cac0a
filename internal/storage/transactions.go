package storage

import (
	"net/http"
	"slices"
	"time"

	"github.com/cobaltvale/cobaltvale/internal/protocol"
)

// errorNoSuchLease is the service's word for a lease that has ended.
const errorNoSuchLease = "no such lease"

// Outcome is what became of a transaction.
type Outcome uint8

// The outcomes.
const (
	Applied      Outcome = iota + 1
	Conflict             // compare-and-swap failed: a key has another version
	LeaseExpired         // not applied, as the lease of a key has ended
	Rejected             // surely not executed; the same may be sent again
	Unknown              // may have been executed, or may be later
	Invalid              // not executed, and never will be as it is
)

// String returns the name of the outcome.
func (o Outcome) String() string {
	switch o {
	case Applied:
		return "applied"
	case Conflict:
		return "conflict"
	case LeaseExpired:
		return "lease expired"
	case Rejected:
		return "refused"
	case Unknown:
		return "unknown"
	case Invalid:
		return "invalid"
	}
	return "none"
}

// TxnResult is a transaction's outcome with what the service said of it.
type TxnResult struct {
	Outcome    Outcome
	Revision   uint64   // the version of the keys that were written, if Applied
	FailedKeys []string // whose versions are others, if Conflict
}

// FailedOn tells whether the condition on key was among those not met.
func (r TxnResult) FailedOn(key string) bool { return slices.Contains(r.FailedKeys, key) }

// Txn sends a transaction.
func (c *client) Txn(class Class, t protocol.Transaction, done func(TxnResult)) {
	c.TxnWithDeadline(class, noDeadline, t, done)
}

// TxnWithDeadline sends a transaction unless it still waits at the deadline; 0 is none.
func (c *client) TxnWithDeadline(class Class, deadline time.Duration, t protocol.Transaction, done func(TxnResult)) {
	if t.If == nil {
		t.If = []protocol.Condition{}
	}
	if t.Then == nil {
		t.Then = []protocol.Change{}
	}
	c.enqueue(request{
		class: class, deadline: deadline, method: http.MethodPost, path: "/multi", body: c.codec.Encode(t), writes: len(t.Then),
		done: func(r Response) { done(c.txnResult(r)) },
	})
}

// txnResult reads the response to a transaction. An answer that can't be read leaves
// the outcome unknown where a readable one would decide it.
func (c *client) txnResult(r Response) TxnResult {
	if r.NotSent {
		return TxnResult{Outcome: Rejected}
	}
	var body protocol.TransactionResponse
	unreadable := c.codec.Decode(r.Body, &body) != nil
	switch r.Status {
	case http.StatusOK:
		if unreadable {
			return TxnResult{Outcome: Unknown}
		}
		return TxnResult{Outcome: Applied, Revision: body.Revision}
	case http.StatusConflict:
		if unreadable {
			return TxnResult{Outcome: Unknown}
		}
		return TxnResult{Outcome: Conflict, Revision: body.Revision, FailedKeys: body.Failed}
	case http.StatusBadRequest:
		if body.Error == errorNoSuchLease {
			return TxnResult{Outcome: LeaseExpired}
		}
		return TxnResult{Outcome: Invalid}
	case http.StatusTooManyRequests, http.StatusServiceUnavailable:
		return TxnResult{Outcome: Rejected}
	}
	return TxnResult{Outcome: Unknown}
}
