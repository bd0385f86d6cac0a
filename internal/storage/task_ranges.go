package storage

import (
	"encoding/base64"
	"fmt"
	"strconv"
	"strings"

	"github.com/cobaltvale/cobaltvale/internal/protocol"
)

const (
	// tasksPerRange is the number of tasks that one bit set of finished tasks covers. The
	// encoded form then takes at most about 1.5 kilobytes.
	tasksPerRange = 8192
	// taskRangeOverheadBytes is added to the size of an encoded bit set for its entry in a
	// record.
	taskRangeOverheadBytes = 64
)

// taskRangeKey identifies a range of a job's tasks: up to tasksPerRange tasks from index times
// tasksPerRange on.
type taskRangeKey struct {
	job   string
	index int
}

// rangeOfTask returns the key of the range that contains a task.
func rangeOfTask(jobID string, task int) taskRangeKey {
	return taskRangeKey{jobID, task / tasksPerRange}
}

// entryName returns the name of the range's entry in a record.
func (k taskRangeKey) entryName() string { return k.job + "/" + strconv.Itoa(k.index) }

// parseEntryName is the inverse of entryName.
func parseEntryName(name string) (taskRangeKey, error) {
	job, suffix, _ := strings.Cut(name, "/")
	index, err := strconv.Atoi(suffix)
	if err != nil {
		return taskRangeKey{}, fmt.Errorf("index of task range %q: %w", name, err)
	}
	return taskRangeKey{job, index}, nil
}

// taskRange has the finished tasks of one range of a job's tasks.
type taskRange struct {
	tasks    bitSet
	page     *finishedTaskPage
	maxSize  int      // upper bound of its size in the record, in bytes
	waiters  []func() // callbacks for the next write
	jobEnded bool
	// oversizedPage is a page that can't be rewritten and whose entry for the range may be out
	// of date, see moveOffOversizedPage; nil if there is none.
	oversizedPage *finishedTaskPage
}

// maxTaskRangeSize returns an upper bound of the size of a job's task range in a record, in
// bytes.
func maxTaskRangeSize(job *protocol.Job, index int) int {
	tasks := min(job.Tasks-index*tasksPerRange, tasksPerRange)
	return (tasks+7)/8*4/3 + taskRangeOverheadBytes
}

// bitSet is a set of small numbers, with the lowest number in the lowest bit of the first byte.
type bitSet []byte

// set adds a number to the set.
func (s *bitSet) set(n int) {
	for len(*s) <= n/8 {
		*s = append(*s, 0)
	}
	(*s)[n/8] |= 1 << (n % 8)
}

// has reports whether a number is in the set. The number must be below the capacity.
func (s bitSet) has(n int) bool { return s[n/8]&(1<<(n%8)) != 0 }

// capacity returns the lowest number that the allocated bytes can't hold. All numbers in the
// set are below it.
func (s bitSet) capacity() int { return len(s) * 8 }

// union returns the union of two sets. It may change both.
func union(a, b bitSet) bitSet {
	if len(a) < len(b) {
		a, b = b, a
	}
	for i := range b {
		a[i] |= b[i]
	}
	return a
}

// encode returns the set as it is written in records.
func (s bitSet) encode() string { return base64.StdEncoding.EncodeToString(s) }

// decodeBitSet is the inverse of encode.
func decodeBitSet(text string) (bitSet, error) {
	bits, err := base64.StdEncoding.DecodeString(text)
	if err != nil {
		return nil, fmt.Errorf("decode bit set of tasks: %w", err)
	}
	return bits, nil
}
