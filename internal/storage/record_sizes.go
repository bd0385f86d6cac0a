package storage

import "github.com/cobaltvale/cobaltvale/internal/protocol"

// maxTxnBytes is what one transaction takes of the service's 64 KiB; the rest
// is left to keys and conditions.
const maxTxnBytes = 48 << 10

// The service counts sizes as JSON: this much above the encoded bytes at the most.
const (
	jsonOverheadBytes = 64
	jsonPercent       = 150
)

// maxJSONSize is what an encoded value counts as at the most.
func maxJSONSize(encoded []byte) int { return len(encoded)*jsonPercent/100 + jsonOverheadBytes }

// maxSharedRecordSize is what a record with several entries may take.
func (c *client) maxSharedRecordSize() int { return c.limits.ValueBytes * 3 / 4 }

// Fits tells whether what the records say of a job stays within the state
// service's limit of a value.
func (s *Store) Fits(job *protocol.Job) bool {
	description := s.codec.Encode(DescriptionRecord{Job: *job})
	return maxJSONSize(description) <= s.limits.ValueBytes && maxTaskRangeSize(job, 0) <= s.limits.ValueBytes
}
