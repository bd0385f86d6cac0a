package simtest

import (
	"encoding/json"
	"net/http"
	"time"

	"github.com/cobaltvale/cobaltvale/internal/protocol"
)

// StateLimits are the limits that the stand-in for the state service enforces.
type StateLimits struct {
	MaxValueBytes, MaxOperations int
	WriteRPS                     float64 // changes per second
	WriteBudget                  float64 // changes that the rate allows now
	BudgetUpdatedAt              time.Duration
	rateLimitedTransactions      int // transactions rejected because of the rate
}

// checkLimits returns the HTTP status for a transaction that exceeds the limits, or 0 for one
// that is within them. A transaction that is too large fails the test, unless its sender is of
// the previous version.
func (s *State) checkLimits(from string, t *protocol.Transaction) int {
	l := s.Limits
	if l == nil {
		return 0
	}
	l.WriteBudget = min(l.WriteRPS, l.WriteBudget+l.WriteRPS*(s.deployment.Now()-l.BudgetUpdatedAt).Seconds())
	l.BudgetUpdatedAt = s.deployment.Now()
	if l.WriteBudget < float64(len(t.Then)) {
		l.rateLimitedTransactions++
		return http.StatusTooManyRequests
	}
	l.WriteBudget -= float64(len(t.Then))
	large := len(t.Then) > l.MaxOperations
	for _, c := range t.Then {
		large = large || (c.Put != "" && s.jsonSize(c) > l.MaxValueBytes)
	}
	if !large {
		return 0
	}
	if !s.deployment.PreviousVersion[from] {
		s.deployment.T.Errorf("%s sends %d changes, which are too many or include a value that is too large", from, len(t.Then))
	}
	return http.StatusBadRequest
}

// jsonSize returns the size of the value of a change as JSON, which is what the limit counts.
func (s *State) jsonSize(c protocol.Change) int {
	var v map[string]any // the codec encodes maps only
	if err := s.deployment.Codec.Decode(s.deployment.Codec.Encode(map[string]any{"v": c.Value}), &v); err != nil {
		s.deployment.T.Fatal(err)
	}
	b, err := json.Marshal(withStringKeys(v["v"]))
	if err != nil {
		s.deployment.T.Fatal(err)
	}
	return len(b)
}

// withStringKeys converts the maps of a decoded value to ones with string keys, as JSON
// requires. It changes lists in place.
func withStringKeys(v any) any {
	switch v := v.(type) {
	case map[any]any:
		out := make(map[string]any, len(v))
		for k, x := range v {
			name, _ := k.(string)
			out[name] = withStringKeys(x)
		}
		return out
	case []any:
		for i := range v {
			v[i] = withStringKeys(v[i])
		}
	}
	return v
}
