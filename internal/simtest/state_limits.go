package simtest

import (
	"encoding/json"
	"net/http"
	"time"

	"github.com/cobaltvale/cobaltvale/internal/protocol"
)

// StateLimits are what the stand-in of the state service takes.
type StateLimits struct {
	MaxValueBytes, MaxOperations int
	WriteRPS                     float64
	WriteBudget                  float64 // changes that the rate allows now
	BudgetUpdatedAt              time.Duration
	rateLimitedTransactions      int // requests, for the rate
}

// checkLimits is the status of a transaction that goes beyond the limits, or 0.
// Only the version before may write what is too large.
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
		s.deployment.T.Errorf("%s writes %d changes, some value of which is too large or they are too many", from, len(t.Then))
	}
	return http.StatusBadRequest
}

// jsonSize is what the value of a change counts as.
func (s *State) jsonSize(c protocol.Change) int {
	var v map[string]any // a codec takes maps only
	if err := s.deployment.Codec.Decode(s.deployment.Codec.Encode(map[string]any{"v": c.Value}), &v); err != nil {
		s.deployment.T.Fatal(err)
	}
	b, err := json.Marshal(withStringKeys(v["v"]))
	if err != nil {
		s.deployment.T.Fatal(err)
	}
	return len(b)
}

// withStringKeys makes a decoded value fit for JSON.
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
