package storage

import (
	"net/http"
	"testing"

	"github.com/cobaltvale/cobaltvale/internal/protocol"
)

// The service's answer determines the outcome. A transaction that may have been executed is
// never reported as rejected.
func TestTransactionOutcomes(t *testing.T) {
	s, client := newFakeCaller(t)
	body := func(r protocol.TransactionResponse) []byte { return s.codec.Encode(r) }
	applied := body(protocol.TransactionResponse{Revision: 7})
	conflict := body(protocol.TransactionResponse{Revision: 7, Failed: []string{"a"}})
	unreadable := []byte{0xff}
	for _, c := range []struct {
		name     string
		response Response
		want     Outcome
	}{
		{"applied", Response{Status: http.StatusOK, Body: applied}, Applied},
		{"applied, answer unreadable", Response{Status: http.StatusOK, Body: unreadable}, Unknown},
		{"conflict", Response{Status: http.StatusConflict, Body: conflict}, Conflict},
		{"conflict, answer unreadable", Response{Status: http.StatusConflict, Body: unreadable}, Unknown},
		{"no lease", Response{Status: http.StatusBadRequest, Body: body(protocol.TransactionResponse{Error: "no such lease"})}, LeaseExpired},
		{"bad request", Response{Status: http.StatusBadRequest, Body: body(protocol.TransactionResponse{Error: "value is too large"})}, Invalid},
		{"bad request, answer unreadable", Response{Status: http.StatusBadRequest, Body: unreadable}, Invalid},
		{"too many requests", Response{Status: http.StatusTooManyRequests}, Rejected},
		{"unavailable", Response{Status: http.StatusServiceUnavailable}, Rejected},
		{"not sent", Response{NotSent: true}, Rejected},
		{"no answer", Response{}, Unknown},
		{"internal error", Response{Status: http.StatusInternalServerError}, Unknown},
	} {
		t.Run(c.name, func(t *testing.T) {
			got := client.txnResult(c.response)
			if got.Outcome != c.want {
				t.Fatalf("outcome %v, want %v", got.Outcome, c.want)
			}
			if got.Outcome == Conflict && (!got.FailedOn("a") || got.FailedOn("b")) {
				t.Fatalf("conflict on %v, want only on a", got.FailedKeys)
			}
		})
	}
}
