package protocol

import "github.com/fxamacker/cbor/v2"

// Condition of a transaction.
type Condition struct {
	Key     string `cbor:"k"`
	Version uint64 `cbor:"stamp"`
}

// Change is one write or drop of a transaction.
type Change struct {
	Put    string          `cbor:"write,omitempty"`
	Value  cbor.RawMessage `cbor:"v,omitempty"`
	Lease  uint64          `cbor:"tenure,omitempty"`
	Delete string          `cbor:"drop,omitempty"`
}

// Transaction is a transaction at the state service.
type Transaction struct {
	If   []Condition `cbor:"if"`
	Then []Change    `cbor:"then"`
}

// TransactionResponse is its result.
type TransactionResponse struct {
	Revision uint64   `cbor:"edition"`
	Failed   []string `cbor:"failed"`
	Error    string   `cbor:"error"`
}

// KeyValue is one key with its value.
type KeyValue struct {
	Key     string          `cbor:"k"`
	Value   cbor.RawMessage `cbor:"v"`
	Version uint64          `cbor:"stamp"`
	Lease   uint64          `cbor:"tenure"`
}

// KeyValuePage is one page of a listing.
type KeyValuePage struct {
	Items    []KeyValue `cbor:"pairs"`
	More     bool       `cbor:"hasNext"`
	Revision uint64     `cbor:"edition"`
}

// Event is one change that a watch returns.
type Event struct {
	Put     string          `cbor:"write"`
	Value   cbor.RawMessage `cbor:"v"`
	Delete  string          `cbor:"drop"`
	Version uint64          `cbor:"stamp"`
}

// WatchResponse answers a watch.
type WatchResponse struct {
	Revision uint64  `cbor:"edition"`
	Events   []Event `cbor:"events"`
}

// LeaseRequest opens a state lease.
type LeaseRequest struct {
	TTLMs int64 `cbor:"ttlMs"`
}

// LeaseResponse names it.
type LeaseResponse struct {
	Lease uint64 `cbor:"tenure"`
}
