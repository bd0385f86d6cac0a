package storage

import "github.com/cobaltvale/cobaltvale/internal/protocol"

// The record formats that a process can read, see Holder.RecordFormat.
const (
	// CurrentRecordFormat is the format that this version reads.
	CurrentRecordFormat = 1
	// QuotaRecordFormat is written in place of CurrentRecordFormat by a process that also
	// divides teams' quotas among the shards.
	QuotaRecordFormat = 2
)

// Holder is the value of a shard or leader key. It identifies the member, and by the nonce the
// process of the member that holds the key.
type Holder struct {
	Member string `cbor:"m"`
	Nonce  string `cbor:"n"`
	// RecordFormat says which records the process can read. Format 0 precedes services: such a
	// process can't read jobs that do not end by themselves.
	RecordFormat int `cbor:"r,omitempty"`
}

// JobRecord is the value of a job's key, which is kept after the job has ended.
type JobRecord struct {
	Shard  string `cbor:"l"`
	Nonce  string `cbor:"n"` // of the creation that wrote the record
	Status string `cbor:"s"` // empty until the job has ended
	Tasks  int    `cbor:"t"`
}

// DescriptionRecord describes an unfinished job of a shard.
type DescriptionRecord struct {
	Job           protocol.Job `cbor:"j"`
	SubmittedAtMs int64        `cbor:"at"` // wall clock, milliseconds since 1970
}

// descriptionPageRecord is the value of a description page.
type descriptionPageRecord struct {
	Jobs     []DescriptionRecord `cbor:"j"`
	EndedIDs []string            `cbor:"o"` // jobs that have ended, even if other pages describe them
}

// valid reports whether every job of the record has a valid number of tasks.
func (r *descriptionPageRecord) valid() bool {
	for i := range r.Jobs {
		if n := r.Jobs[i].Job.Tasks; n < 1 || n > protocol.MaxTasks {
			return false
		}
	}
	return true
}

// finishedTaskRecord is the value of a finished-task page: bit sets in base64, keyed by the
// job's ID and the index of the task range, see taskRangeKey.entryName.
type finishedTaskRecord map[string]string

// RecoveredJob is an unfinished job as read from the state service.
type RecoveredJob struct {
	Job           protocol.Job
	SubmittedAtMs int64  // wall clock, milliseconds since 1970
	FinishedTasks []bool // by task
}
