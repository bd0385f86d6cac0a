// Package kv is the data of a state service in memory: keys with versions, leases, and
// the changes in their order, by the protocol's rules for it. It owns what is stored and
// which leases have ended. It has no clock, no limits and no faults of its own, is not
// safe for concurrent use and never calls back: whoever serves it adds those.
package kv

import (
	"net/http"
	"slices"
	"strings"
	"time"

	"github.com/fxamacker/cbor/v2"

	"github.com/cobaltvale/cobaltvale/internal/protocol"
)

// Entry is what is stored of a key.
type Entry struct {
	Value   []byte
	Version uint64 // the revision of its last change
	Lease   uint64 // 0: none
}

// Event is a change as a watch tells it: a write, or a deletion.
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

// WatchResponse answers a watch.
type WatchResponse struct {
	Revision uint64  `cbor:"edition"`
	Events   []Event `cbor:"events"`
}

// Store is what a state service holds. Times are those of any steady clock.
type Store struct {
	Revision uint64 // counts the changes
	Keys     map[string]*Entry

	leases    map[uint64]*lease
	lastLease uint64
	events    []Event
}

type lease struct {
	ttl, expiresAt time.Duration
}

// New makes an empty store.
func New() *Store {
	return &Store{Keys: make(map[string]*Entry), leases: make(map[uint64]*lease)}
}

// KeyValue is what is stored of a key, or nil.
func (s *Store) KeyValue(key string) *protocol.KeyValue {
	entry := s.Keys[key]
	if entry == nil {
		return nil
	}
	return &protocol.KeyValue{Key: key, Value: entry.Value, Version: entry.Version, Lease: entry.Lease}
}

// Page lists the keys with a prefix that come after one, limit of them at the most.
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

// Transact carries out a transaction, and returns the status code and the response.
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

// failed names the keys that have not the version of their condition.
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

// Put writes a key without conditions or a lease.
func (s *Store) Put(key string, value []byte) {
	s.Revision++
	s.put(key, value, 0)
}

func (s *Store) put(key string, value []byte, lease uint64) {
	s.Keys[key] = &Entry{Value: slices.Clone(value), Version: s.Revision, Lease: lease}
	s.events = append(s.events, Event{Put: key, Value: slices.Clone(value), Version: s.Revision})
}

// Announce makes an event of a write that does not take place, for tests of what a
// watch alone brings about.
func (s *Store) Announce(key string, value []byte) {
	s.Revision++
	s.events = append(s.events, Event{Put: key, Value: slices.Clone(value), Version: s.Revision})
}

// DeleteKey removes a key, if there is one, as of the present revision.
func (s *Store) DeleteKey(key string) {
	if s.Keys[key] == nil {
		return
	}
	delete(s.Keys, key)
	s.events = append(s.events, Event{Delete: key, Version: s.Revision})
}

// OpenLease opens a lease and returns its number.
func (s *Store) OpenLease(ttl, now time.Duration) uint64 {
	s.lastLease++
	s.leases[s.lastLease] = &lease{ttl: ttl, expiresAt: now + ttl}
	return s.lastLease
}

// RenewLease gives a lease its full time again, and tells whether there is one.
func (s *Store) RenewLease(id uint64, now time.Duration) bool {
	l := s.leases[id]
	if l == nil {
		return false
	}
	l.expiresAt = now + l.ttl
	return true
}

// RenewAll gives all leases their full time again, as after an outage.
func (s *Store) RenewAll(now time.Duration) {
	for _, l := range s.leases {
		l.expiresAt = now + l.ttl
	}
}

// ExpireLeases ends the leases whose time is over, each as a change that removes its
// keys, and tells whether any has ended.
func (s *Store) ExpireLeases(now time.Duration) bool {
	ended := false
	for id, l := range s.leases {
		if now < l.expiresAt {
			continue
		}
		ended = true
		delete(s.leases, id)
		s.Revision++
		for key, entry := range s.Keys {
			if entry.Lease == id {
				s.DeleteKey(key)
			}
		}
	}
	return ended
}

// EventsSince returns the changes of keys with a prefix after a revision.
func (s *Store) EventsSince(prefix string, revision uint64) []Event {
	first, _ := slices.BinarySearchFunc(s.events, revision, func(e Event, revision uint64) int {
		if e.Version <= revision {
			return -1
		}
		return 1
	})
	out := []Event{}
	for _, e := range s.events[first:] {
		if strings.HasPrefix(e.key(), prefix) {
			out = append(out, e)
		}
	}
	return out
}

// ChangeCount is how many changes keys with a prefix have had.
func (s *Store) ChangeCount(prefix string) int {
	return len(s.EventsSince(prefix, 0))
}
