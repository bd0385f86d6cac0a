package storage

import (
	"encoding/base64"
	"fmt"
	"strconv"
	"strings"

	"github.com/cobaltvale/cobaltvale/internal/protocol"
)

const (
	// tasksPerRange is how many tasks one bit set of finished tasks covers: about
	// a kilobyte and a half in the longest form.
	tasksPerRange = 8192
	// taskRangeOverheadBytes is what a bit set is counted as besides its bits.
	taskRangeOverheadBytes = 64
)

// taskRangeKey names a part of a job's tasks: those from index times tasksPerRange on.
type taskRangeKey struct {
	job   string
	index int
}

// rangeOfTask names the range that a task is in.
func rangeOfTask(jobID string, task int) taskRangeKey {
	return taskRangeKey{jobID, task / tasksPerRange}
}

// entryName is the name of the range's entry in a record.
func (k taskRangeKey) entryName() string { return k.job + "/" + strconv.Itoa(k.index) }

// parseEntryName is the inverse of entryName.
func parseEntryName(name string) (taskRangeKey, error) {
	job, suffix, _ := strings.Cut(name, "/")
	index, err := strconv.Atoi(suffix)
	if err != nil {
		return taskRangeKey{}, fmt.Errorf("the number of task range %q: %w", name, err)
	}
	return taskRangeKey{job, index}, nil
}

// taskRange is the finished tasks of a part of a job.
type taskRange struct {
	tasks    bitSet
	page     *finishedTaskPage
	maxSize  int      // that it takes in the record at the most
	waiters  []func() // for the next write
	jobEnded bool
	// oversizedPage is one that can't be rewritten and says less of it, see
	// moveOffOversizedPage; nil: there is none.
	oversizedPage *finishedTaskPage
}

// maxTaskRangeSize is what a range of a job takes in a record at the most.
func maxTaskRangeSize(job *protocol.Job, index int) int {
	tasks := min(job.Tasks-index*tasksPerRange, tasksPerRange)
	return (tasks+7)/8*4/3 + taskRangeOverheadBytes
}

// bitSet is a set of small numbers, the lowest in the lowest bit of the first byte.
type bitSet []byte

// set puts a number into the set.
func (s *bitSet) set(n int) {
	for len(*s) <= n/8 {
		*s = append(*s, 0)
	}
	(*s)[n/8] |= 1 << (n % 8)
}

// has tells whether a number below the capacity is in the set.
func (s bitSet) has(n int) bool { return s[n/8]&(1<<(n%8)) != 0 }

// capacity is the first number that surely is not in the set.
func (s bitSet) capacity() int { return len(s) * 8 }

// union is what either of two sets has. It may change both.
func union(a, b bitSet) bitSet {
	if len(a) < len(b) {
		a, b = b, a
	}
	for i := range b {
		a[i] |= b[i]
	}
	return a
}

// encode is the set's form in records.
func (s bitSet) encode() string { return base64.StdEncoding.EncodeToString(s) }

// decodeBitSet is the inverse of encode.
func decodeBitSet(text string) (bitSet, error) {
	bits, err := base64.StdEncoding.DecodeString(text)
	if err != nil {
		return nil, fmt.Errorf("a bit set of tasks: %w", err)
	}
	return bits, nil
}
