package storage

import (
	"time"

	"github.com/cobaltvale/cobaltvale/internal/protocol"
)

// retryDelay is how long after a refusal or a missing answer a request that has to
// succeed is sent again.
const retryDelay = 300 * time.Millisecond

// Store is the state service as seen from this process. NewStore prepares it.
type Store struct {
	*client
	lookups jobLookups
}

// NewStore prepares a store. runLater runs a function after the present one has
// returned, so that no callback runs inside the call that caused it.
func NewStore(caller Caller, clock Clock, codec *protocol.Codec, limits Limits, runLater func(func())) *Store {
	s := &Store{client: newClient(caller, clock, codec, limits, runLater)}
	s.lookups = jobLookups{client: s.client, byID: make(map[string]*jobLookup)}
	return s
}

// Poll runs what is due and sends what the rates allow by now. It is called on every
// tick.
func (s *Store) Poll() {
	s.client.Poll()
	s.lookups.startRounds()
}
