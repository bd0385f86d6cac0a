package storage

import (
	"time"

	"github.com/rs/zerolog"

	"github.com/cobaltvale/cobaltvale/internal/protocol"
)

// retryDelay is the time after a rejection or a missing answer until a request that has to
// succeed is sent again.
const retryDelay = 300 * time.Millisecond

// Store gives access to the state service. It is created by NewStore.
type Store struct {
	*client
	lookups jobLookups
}

// NewStore returns a store. runLater runs a function after the current one has returned, so
// that no callback runs inside the call that caused it.
func NewStore(caller Caller, clock Clock, codec *protocol.Codec, limits Limits, runLater func(func()), log *zerolog.Logger) *Store {
	s := &Store{client: newClient(caller, clock, codec, limits, runLater, log)}
	s.lookups = jobLookups{client: s.client, byID: make(map[string]*jobLookup)}
	return s
}

// Poll runs the functions that are due and sends what the rates allow now. It is called on
// every tick.
func (s *Store) Poll() {
	s.client.Poll()
	s.lookups.startRounds()
}
