package protocol

import "github.com/fxamacker/cbor/v2"

// Condition is a condition of a transaction: the key has this version; version 0 means that the
// key does not exist.
type Condition struct {
	Key     string `cbor:"k"`
	Version uint64 `cbor:"stamp"`
}

// Change is one write (Put, Value, Lease) or deletion (Delete) of a transaction. A key written
// with a lease is deleted when the lease ends; lease 0 means no lease.
type Change struct {
	Put    string          `cbor:"write,omitempty"`
	Value  cbor.RawMessage `cbor:"v,omitempty"`
	Lease  uint64          `cbor:"tenure,omitempty"`
	Delete string          `cbor:"drop,omitempty"`
}

// Transaction requests an atomic compare-and-swap from the state service: all changes are applied
// if all conditions hold, otherwise none is.
type Transaction struct {
	If   []Condition `cbor:"if"`
	Then []Change    `cbor:"then"`
}

// TransactionResponse is the response to a transaction: the revision that it created, or the keys
// whose conditions failed.
type TransactionResponse struct {
	Revision uint64   `cbor:"edition"`
	Failed   []string `cbor:"failed"`
	Error    string   `cbor:"error"`
}

// KeyValue is a key with its value, its version (the revision of its last write) and its lease.
type KeyValue struct {
	Key     string          `cbor:"k"`
	Value   cbor.RawMessage `cbor:"v"`
	Version uint64          `cbor:"stamp"`
	Lease   uint64          `cbor:"tenure"`
}

// KeyValuePage is one page of a range read, as of Revision.
type KeyValuePage struct {
	Items    []KeyValue `cbor:"pairs"`
	More     bool       `cbor:"hasNext"`
	Revision uint64     `cbor:"edition"`
}

// Event is one change reported by a watch: a write (Put) or a deletion (Delete).
type Event struct {
	Put     string          `cbor:"write"`
	Value   cbor.RawMessage `cbor:"v"`
	Delete  string          `cbor:"drop"`
	Version uint64          `cbor:"stamp"`
}

// WatchResponse is the response to a watch request: the changes up to Revision.
type WatchResponse struct {
	Revision uint64  `cbor:"edition"`
	Events   []Event `cbor:"events"`
}

// LeaseRequest requests a lease from the state service.
type LeaseRequest struct {
	TTLMs int64 `cbor:"ttlMs"`
}

// LeaseResponse is the response to a lease request, with the ID of the lease.
type LeaseResponse struct {
	Lease uint64 `cbor:"tenure"`
}
