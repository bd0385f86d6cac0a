package protocol

import "github.com/fxamacker/cbor/v2"

// Condition is one of a transaction: the key has that version. 0: it does not exist.
type Condition struct {
	Key     string `cbor:"k"`
	Version uint64 `cbor:"stamp"`
}

// Change is one write (Put, Value, Lease) or deletion (Delete) of a transaction. A key
// that is written with a lease is deleted when the lease ends; 0: none.
type Change struct {
	Put    string          `cbor:"write,omitempty"`
	Value  cbor.RawMessage `cbor:"v,omitempty"`
	Lease  uint64          `cbor:"tenure,omitempty"`
	Delete string          `cbor:"drop,omitempty"`
}

// Transaction asks the state service for a compare-and-swap: all changes are made if
// all conditions hold, else none.
type Transaction struct {
	If   []Condition `cbor:"if"`
	Then []Change    `cbor:"then"`
}

// TransactionResponse answers a transaction with the revision that it made, or with
// the keys whose conditions failed.
type TransactionResponse struct {
	Revision uint64   `cbor:"edition"`
	Failed   []string `cbor:"failed"`
	Error    string   `cbor:"error"`
}

// KeyValue is one key with its value, its version (the revision of its last write) and
// its lease.
type KeyValue struct {
	Key     string          `cbor:"k"`
	Value   cbor.RawMessage `cbor:"v"`
	Version uint64          `cbor:"stamp"`
	Lease   uint64          `cbor:"tenure"`
}

// KeyValuePage is one page of a range of keys, as of a revision.
type KeyValuePage struct {
	Items    []KeyValue `cbor:"pairs"`
	More     bool       `cbor:"hasNext"`
	Revision uint64     `cbor:"edition"`
}

// Event is one change that a watch returns: a write (Put) or a deletion (Delete).
type Event struct {
	Put     string          `cbor:"write"`
	Value   cbor.RawMessage `cbor:"v"`
	Delete  string          `cbor:"drop"`
	Version uint64          `cbor:"stamp"`
}

// WatchResponse answers a watch with the changes up to a revision.
type WatchResponse struct {
	Revision uint64  `cbor:"edition"`
	Events   []Event `cbor:"events"`
}

// LeaseRequest asks the state service for a lease.
type LeaseRequest struct {
	TTLMs int64 `cbor:"ttlMs"`
}

// LeaseResponse names the lease.
type LeaseResponse struct {
	Lease uint64 `cbor:"tenure"`
}
