package audit

import (
	"fmt"

	"github.com/cobaltvale/cobaltvale/internal/quota"
)

// Kind is the kind of an event. The numbers are stored in the files and must not change.
type Kind uint8

// The kinds of events.
const (
	// Admitted means that a replica may run from now on, out of an allocation.
	Admitted Kind = iota + 1
	// AdmittedUnenforced means the same as Admitted while not all members divide limits.
	AdmittedUnenforced
	// Released means that a replica is proven lost, or will never be started.
	Released
	// JobRecovered means that a new holder has read a job whose tasks may run.
	JobRecovered
	// ReplicaFound means that a machine lists a replica that an earlier holder admitted.
	ReplicaFound
	// ShardReconciled means that every replica that an earlier holder admitted and that is unknown
	// to this one is proven lost.
	ShardReconciled
	// Blocked means that tasks are pending and none fits the allocation.
	Blocked
	// Unblocked means that the state recorded by Blocked has ended.
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

// Record is one event of a team at a shard. It is stored as a CBOR array: the order and types of
// its fields must not change.
type Record struct {
	_            struct{} `cbor:",toarray"`
	Seq          uint64   // number in the stream, from 1; a missing number is a missing record
	TimeMs       int64    // by the controller's wall clock, in ms since 1970
	Kind         Kind
	Shard        string
	FencingToken uint64 // version of the shard's key when its holder acquired it
	Team         string
	Revision     uint64 // of the state service; all changes up to it that concern the controller were observed
	Job          string
	Task         uint32
	Replica      uint64
	Amount       quota.Amount // of the replica
	SpentBefore  quota.Amount // by the team at the shard, before the event
	SpentAfter   quota.Amount // by the team at the shard, after the event
	Allocation   quota.Amount // the shard's part of the limit
	Limit        quota.Amount // the team's limit in force
	Guarantee    quota.Amount // the team's guarantee
}

// Header identifies the process that wrote a stream.
type Header struct {
	Member    string `cbor:"m"`
	Process   string `cbor:"p"`
	StartedMs int64  `cbor:"t"` // wall clock time, in ms since 1970
}

// segment is a part of a stream that is written at once.
type segment struct {
	Header  *Header  `cbor:"h,omitempty"` // only in the first segment
	Dropped uint64   `cbor:"d,omitempty"` // number of records dropped since the start of the stream
	Records []Record `cbor:"r"`
	Last    bool     `cbor:"l,omitempty"`
}

// A stream begins with fileMagic. Each segment consists of the length of its compressed content
// (big endian), the hash of this content and of all segments before it, and the content.
const (
	fileMagic               = "CVAUDIT1"
	lengthBytes             = 4
	hashBytes               = 32
	maxSegmentBytes         = 16 << 20  // of compressed content
	maxExpandedSegmentBytes = 256 << 20 // of expanded content
)
