// Package audit keeps a history of admissions: what each controller admitted,
// refused and released of which team's limit. A controller writes its records to a
// bounded, compressed stream whose segments are chained by a hash; Verify replays the
// streams of all controllers together and tells whether any limit was exceeded, any
// guarantee unmet, or any part of the history is missing.
package audit

import "github.com/cobaltvale/cobaltvale/internal/quota"

// Kind is what a record tells.
type Kind uint8

// The kinds.
const (
	// Admitted: a task's copy may run from now on, out of an allocation.
	Admitted Kind = iota + 1
	// AdmittedUnbound: the same while not all members divided limits.
	AdmittedUnenforced
	// Released: a copy is proven gone, or will never be started.
	Released
	// Counted: a new holder has read a job whose tasks may run.
	JobRecovered
	// Found: a machine lists a copy that an earlier holder admitted.
	ReplicaFound
	// Completed: whatever the earlier holder admitted and this one does not know of
	// is proven gone.
	ShardReconciled
	// Blocked: tasks wait and none fits the allocation.
	Blocked
	// Unblocked: that is over.
	Unblocked
)

// Record is one event of a team at a ledger.
type Record struct {
	_            struct{} `cbor:",toarray"`
	Seq          uint64   // within the stream, without gaps
	TimeMs       int64    // the controller's time of day
	Kind         Kind
	Shard        string
	FencingToken uint64 // the stamp that the ledger was taken with
	Team         string
	Revision     uint64 // of the state service, up to which the controller surely knew what concerns it
	Job          string
	Task         uint32
	Replica      uint64
	Amount       quota.Amount
	SpentBefore  quota.Amount // spent
	SpentAfter   quota.Amount
	Allocation   quota.Amount // the allocation
	Limit        quota.Amount // in force
	Guarantee    quota.Amount
}

// Header names a stream's writer.
type Header struct {
	Member    string `cbor:"m"`
	Process   string `cbor:"p"`
	StartedMs int64  `cbor:"t"`
}

// segment is what one write brings.
type segment struct {
	Header  *Header  `cbor:"h,omitempty"` // in the first
	Dropped uint64   `cbor:"d,omitempty"` // records that there was no room for, in all
	Records []Record `cbor:"r"`
	Last    bool     `cbor:"l,omitempty"`
}

const (
	fileMagic       = "CVAUDIT1"
	lengthBytes     = 4
	hashBytes       = 32
	maxSegmentBytes = 16 << 20 // compressed, and as much again by a factor of maxExpansion
)
