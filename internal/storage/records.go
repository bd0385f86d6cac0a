package storage

import "github.com/cobaltvale/cobaltvale/internal/protocol"

// The record formats that a process can read, see Holder.
const (
	// CurrentRecordFormat is what this version reads.
	CurrentRecordFormat = 1
	// QuotaRecordFormat is what a process writes in place of CurrentRecordFormat that
	// also divides teams' quotas among the shards.
	QuotaRecordFormat = 2
)

// Holder is the value of a shard or leader key: a member, and by the nonce
// the one process of it that holds the key.
type Holder struct {
	Member string `cbor:"m"`
	Nonce  string `cbor:"n"`
	// RecordFormat tells which records the process can read: 0, before there were
	// services, no job that does not end by itself.
	RecordFormat int `cbor:"r,omitempty"`
}

// JobRecord is the value of a job's key, which stays after its end.
type JobRecord struct {
	Shard  string `cbor:"l"`
	Nonce  string `cbor:"n"` // of the creation that wrote the record
	Status string `cbor:"s"` // empty until the job has come to its end
	Tasks  int    `cbor:"t"`
}

// DescriptionRecord describes an unfinished job of a shard.
type DescriptionRecord struct {
	Job           protocol.Job `cbor:"j"`
	SubmittedAtMs int64        `cbor:"at"` // wall clock, since 1970
}

// descriptionPageRecord is the value of a description page.
type descriptionPageRecord struct {
	Jobs     []DescriptionRecord `cbor:"j"`
	EndedIDs []string            `cbor:"o"` // jobs that have ended, whatever other pages say
}

// valid tells whether every job of a record has tasks, as all have.
func (r *descriptionPageRecord) valid() bool {
	for i := range r.Jobs {
		if n := r.Jobs[i].Job.Tasks; n < 1 || n > protocol.MaxTasks {
			return false
		}
	}
	return true
}

// finishedTaskRecord is the value of a finished-task page: bit sets in base64, by the
// job's id and the number of the task range.
type finishedTaskRecord map[string]string

// RecoveredJob is an unfinished job as the state service has it.
type RecoveredJob struct {
	Job           protocol.Job
	SubmittedAtMs int64  // wall clock, since 1970
	FinishedTasks []bool // by task
}
