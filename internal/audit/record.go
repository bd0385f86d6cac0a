package audit

import (
	"fmt"

	"github.com/cobaltvale/cobaltvale/internal/quota"
)

// Kind is what a record tells. Its numbers are in the files, so they don't change.
type Kind uint8

// The kinds.
const (
	// Admitted says that a replica may run from now on, out of an allocation.
	Admitted Kind = iota + 1
	// AdmittedUnenforced says the same while not all members divide limits.
	AdmittedUnenforced
	// Released says that a replica is proven lost, or will never be started.
	Released
	// JobRecovered says that a new holder has read a job whose tasks may run.
	JobRecovered
	// ReplicaFound says that a machine lists a replica that an earlier holder admitted.
	ReplicaFound
	// ShardReconciled says that whatever the earlier holder admitted and this one does
	// not know of is proven lost.
	ShardReconciled
	// Blocked says that tasks are pending and none fits the allocation.
	Blocked
	// Unblocked says that this is over.
	Unblocked
)

var kindNames = [...]string{
	Admitted: "admitted", AdmittedUnenforced: "admitted unenforced", Released: "released", JobRecovered: "job recovered",
	ReplicaFound: "replica found", ShardReconciled: "shard reconciled", Blocked: "blocked", Unblocked: "unblocked",
}

// String returns the kind's name.
func (k Kind) String() string {
	if k < Admitted || k > Unblocked {
		return fmt.Sprintf("Kind(%d)", uint8(k))
	}
	return kindNames[k]
}

// Record is one event of a team at a shard. It is stored as an array: the order and the
// types of its fields don't change.
type Record struct {
	_            struct{} `cbor:",toarray"`
	Seq          uint64   // within the stream, without gaps
	TimeMs       int64    // the controller's time of day, since 1970
	Kind         Kind
	Shard        string
	FencingToken uint64 // version of the shard's key when its holder acquired it
	Team         string
	Revision     uint64 // of the state service, up to which the controller certainly knew what concerns it
	Job          string
	Task         uint32
	Replica      uint64
	Amount       quota.Amount // of the replica
	SpentBefore  quota.Amount // of the allocation, before the event
	SpentAfter   quota.Amount
	Allocation   quota.Amount // what the shard has of the limit
	Limit        quota.Amount // the team's, as in force
	Guarantee    quota.Amount // the team's
}

// Header names the process that writes a stream.
type Header struct {
	Member    string `cbor:"m"`
	Process   string `cbor:"p"`
	StartedMs int64  `cbor:"t"` // since 1970
}

// segment is what one write appends.
type segment struct {
	Header  *Header  `cbor:"h,omitempty"` // in the first
	Dropped uint64   `cbor:"d,omitempty"` // records that there was no room for, in all
	Records []Record `cbor:"r"`
	Last    bool     `cbor:"l,omitempty"`
}

// A stream begins with fileMagic. Each segment then has the length of its compressed
// content (big endian), the hash of it and of all segments before it, and the content.
const (
	fileMagic               = "CVAUDIT1"
	lengthBytes             = 4
	hashBytes               = 32
	maxSegmentBytes         = 16 << 20  // compressed
	maxExpandedSegmentBytes = 256 << 20 // expanded
)
