package storage

import "github.com/cobaltvale/cobaltvale/internal/protocol"

// maxTxnBytes limits the values in one transaction, in bytes. The service's limit is 64 KiB;
// the rest is left to keys and conditions.
const maxTxnBytes = 48 << 10

// The service measures sizes as JSON. A value counts at most jsonPercent percent of its encoded
// bytes plus jsonOverheadBytes.
const (
	jsonOverheadBytes = 64
	jsonPercent       = 150
)

// maxJSONSize returns an upper bound of the size of an encoded value as JSON, in bytes.
func maxJSONSize(encoded []byte) int { return len(encoded)*jsonPercent/100 + jsonOverheadBytes }

// maxSharedRecordSize returns the maximum size of a record with several entries, in bytes.
func (c *client) maxSharedRecordSize() int { return c.limits.ValueBytes * 3 / 4 }

// Fits reports whether the records of a job stay within the state service's limit of a value.
func (s *Store) Fits(job *protocol.Job) bool {
	description := s.codec.Encode(DescriptionRecord{Job: *job})
	return maxJSONSize(description) <= s.limits.ValueBytes && maxTaskRangeSize(job, 0) <= s.limits.ValueBytes
}
