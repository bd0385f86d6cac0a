package storage

import (
	"net/http"
	"slices"
	"time"

	"github.com/cobaltvale/cobaltvale/internal/protocol"
)

// errorNoSuchLease is the service's error for a lease that has ended.
const errorNoSuchLease = "no such lease"

// Outcome is the result of a transaction.
type Outcome uint8

// The outcomes.
const (
	Applied      Outcome = iota + 1
	Conflict             // a condition was not met: a key has a different version
	LeaseExpired         // not applied, as the lease of a key has ended
	Rejected             // not executed; the same transaction may be sent again
	Unknown              // may have been executed, or may be later
	Invalid              // not executed, and never will be in this form
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

// TxnResult is the outcome of a transaction with the details of the service's answer.
type TxnResult struct {
	Outcome    Outcome
	Revision   uint64   // if Applied, the version of the keys that were written
	FailedKeys []string // if Conflict, the keys whose versions are different
}

// FailedOn reports whether the condition on key was not met.
func (r TxnResult) FailedOn(key string) bool { return slices.Contains(r.FailedKeys, key) }

// Txn sends a transaction.
func (c *client) Txn(class Class, t protocol.Transaction, done func(TxnResult)) {
	c.TxnWithDeadline(class, noDeadline, t, done)
}

// TxnWithDeadline sends a transaction. One that is still queued at the deadline (on the
// client's clock; noDeadline for none) is not sent.
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

// txnResult decodes the response to a transaction. If the body can't be decoded, the outcome is
// Unknown wherever the body would have decided it.
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
