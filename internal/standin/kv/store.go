// Package kv holds the in-memory data of a state service: keys with versions, leases, and the
// history of changes, by the rules of the protocol. It decides what is stored and which
// leases have expired. It has no clock, no limits and no simulated faults, is not safe for
// concurrent use and never calls back; the server built on it adds these.
package kv

import (
	"net/http"
	"slices"
	"strings"
	"time"

	"github.com/fxamacker/cbor/v2"

	"github.com/cobaltvale/cobaltvale/internal/protocol"
)

// Entry is what is stored for a key.
type Entry struct {
	Value   []byte
	Version uint64 // the revision of the last write
	Lease   uint64 // the lease that the key is deleted with; 0: none
}

// Event is one change that a watch returns: a write (Put) or a deletion (Delete).
type Event struct {
	Put     string          `cbor:"write,omitempty"`
	Value   cbor.RawMessage `cbor:"v,omitempty"`
	Delete  string          `cbor:"drop,omitempty"`
	Version uint64          `cbor:"stamp"`
}

func (e *Event) key() string {
	if e.Put != "" {
		return e.Put
	}
	return e.Delete
}

// WatchResponse answers a watch with the changes up to a revision.
type WatchResponse struct {
	Revision uint64  `cbor:"edition"`
	Events   []Event `cbor:"events"`
}

// Store is the data of one state service. All times that its methods take are readings of
// one monotonic clock of the caller's choice.
type Store struct {
	Revision uint64 // incremented by each transaction with changes, each other write and each expired lease
	Keys     map[string]*Entry

	leases    map[uint64]*lease
	lastLease uint64
	events    []Event // all since the start, in the order of their versions
}

type lease struct {
	ttl, expiresAt time.Duration // expiresAt is on the caller's clock
}

// New returns an empty store.
func New() *Store {
	return &Store{Keys: make(map[string]*Entry), leases: make(map[uint64]*lease)}
}

// KeyValue returns a key with its value, version and lease, or nil if it does not exist.
func (s *Store) KeyValue(key string) *protocol.KeyValue {
	entry := s.Keys[key]
	if entry == nil {
		return nil
	}
	return &protocol.KeyValue{Key: key, Value: entry.Value, Version: entry.Version, Lease: entry.Lease}
}

// Page lists at most limit keys that have a prefix and sort after the key after, in order.
func (s *Store) Page(prefix, after string, limit int) protocol.KeyValuePage {
	var names []string
	for name := range s.Keys {
		if strings.HasPrefix(name, prefix) && name > after {
			names = append(names, name)
		}
	}
	slices.Sort(names)
	page := protocol.KeyValuePage{Items: []protocol.KeyValue{}, Revision: s.Revision, More: len(names) > limit}
	for _, name := range names[:min(limit, len(names))] {
		page.Items = append(page.Items, *s.KeyValue(name))
	}
	return page
}

// Transact applies a transaction if all its conditions hold, and returns the HTTP status and
// the response. All its changes have the same revision.
func (s *Store) Transact(t *protocol.Transaction) (int, protocol.TransactionResponse) {
	for _, change := range t.Then {
		if change.Put != "" && change.Lease != 0 && s.leases[change.Lease] == nil {
			return http.StatusBadRequest, protocol.TransactionResponse{Error: "no such lease"}
		}
	}
	if failed := s.failedKeys(t.If); len(failed) > 0 {
		return http.StatusConflict, protocol.TransactionResponse{Failed: failed, Revision: s.Revision}
	}
	if len(t.Then) > 0 {
		s.Revision++
	}
	for _, change := range t.Then {
		if change.Put != "" {
			s.put(change.Put, change.Value, change.Lease)
		} else {
			s.DeleteKey(change.Delete)
		}
	}
	return http.StatusOK, protocol.TransactionResponse{Revision: s.Revision}
}

// failedKeys returns the keys whose version differs from that of their condition.
func (s *Store) failedKeys(conditions []protocol.Condition) []string {
	var failed []string
	for _, condition := range conditions {
		version := uint64(0)
		if entry := s.Keys[condition.Key]; entry != nil {
			version = entry.Version
		}
		if version != condition.Version {
			failed = append(failed, condition.Key)
		}
	}
	return failed
}

// Put writes a key without conditions and without a lease.
func (s *Store) Put(key string, value []byte) {
	s.Revision++
	s.put(key, value, 0)
}

func (s *Store) put(key string, value []byte, lease uint64) {
	s.Keys[key] = &Entry{Value: slices.Clone(value), Version: s.Revision, Lease: lease}
	s.events = append(s.events, Event{Put: key, Value: slices.Clone(value), Version: s.Revision})
}

// Announce adds the event of a write without writing the key, for tests of the effects of
// watch events alone.
func (s *Store) Announce(key string, value []byte) {
	s.Revision++
	s.events = append(s.events, Event{Put: key, Value: slices.Clone(value), Version: s.Revision})
}

// DeleteKey deletes a key, if it exists, at the current revision.
func (s *Store) DeleteKey(key string) {
	if s.Keys[key] == nil {
		return
	}
	delete(s.Keys, key)
	s.events = append(s.events, Event{Delete: key, Version: s.Revision})
}

// OpenLease opens a lease and returns its ID.
func (s *Store) OpenLease(ttl, now time.Duration) uint64 {
	s.lastLease++
	s.leases[s.lastLease] = &lease{ttl: ttl, expiresAt: now + ttl}
	return s.lastLease
}

// RenewLease extends a lease to its full TTL from now, and reports whether it exists.
func (s *Store) RenewLease(id uint64, now time.Duration) bool {
	l := s.leases[id]
	if l == nil {
		return false
	}
	l.expiresAt = now + l.ttl
	return true
}

// RenewAll extends all leases to their full TTL from now, as a state service does after an
// outage.
func (s *Store) RenewAll(now time.Duration) {
	for _, l := range s.leases {
		l.expiresAt = now + l.ttl
	}
}

// ExpireLeases ends the leases whose TTL has passed and reports whether there were any. Each
// makes a revision of its own, at which its keys are deleted.
func (s *Store) ExpireLeases(now time.Duration) bool {
	anyExpired := false
	for id, l := range s.leases {
		if now < l.expiresAt {
			continue
		}
		anyExpired = true
		delete(s.leases, id)
		s.Revision++
		for key, entry := range s.Keys {
			if entry.Lease == id {
				s.DeleteKey(key)
			}
		}
	}
	return anyExpired
}

// EventsSince returns the events of keys with a prefix after a revision.
func (s *Store) EventsSince(prefix string, revision uint64) []Event {
	first, _ := slices.BinarySearchFunc(s.events, revision, func(e Event, revision uint64) int {
		if e.Version <= revision {
			return -1
		}
		return 1
	})
	matching := []Event{}
	for _, e := range s.events[first:] {
		if strings.HasPrefix(e.key(), prefix) {
			matching = append(matching, e)
		}
	}
	return matching
}

// ChangeCount returns how many changes the keys with a prefix have had.
func (s *Store) ChangeCount(prefix string) int {
	return len(s.EventsSince(prefix, 0))
}
