package api

import (
	"github.com/cobaltvale/cobaltvale/internal/protocol"
	"github.com/cobaltvale/cobaltvale/internal/storage"
)

const (
	maxFinalStatuses     = 20000
	maxUnfinishedRecords = 20000
)

// finalStatus is the final status of a job; it never changes.
type finalStatus struct {
	status string
	tasks  int // of the job
}

// doneTasks returns the number of completed tasks that users are shown.
func (f finalStatus) doneTasks() int {
	if f.status == protocol.StatusDone {
		return f.tasks
	}
	return 0
}

// StatusCache caches the final statuses of ended jobs and the last read records of unfinished
// ones.
type StatusCache struct {
	final      map[string]finalStatus
	finalOrder []string // keys of final, oldest first
	// records has the last read record of unfinished jobs. It provides the job's shard, which
	// never changes, and the version with which a later read detects a change.
	records map[string]storage.VersionedJobRecord
}

// NewStatusCache returns an empty cache.
func NewStatusCache() *StatusCache {
	return &StatusCache{final: make(map[string]finalStatus), records: make(map[string]storage.VersionedJobRecord)}
}

// Ended reports whether a job is known to have ended.
func (s *StatusCache) Ended(job string) bool {
	_, ended := s.final[job]
	return ended
}

// AddFinal adds the final status of an ended job; the oldest one is evicted if the cache is full.
func (s *StatusCache) AddFinal(job, status string, tasks int) {
	delete(s.records, job)
	if s.Ended(job) {
		return
	}
	if len(s.finalOrder) >= maxFinalStatuses {
		delete(s.final, s.finalOrder[0])
		s.finalOrder = s.finalOrder[1:]
	}
	s.final[job] = finalStatus{status, tasks}
	s.finalOrder = append(s.finalOrder, job)
}

// addRecord adds the record of an unfinished job. If the table of records is full, it is
// cleared first.
func (s *StatusCache) addRecord(job string, record storage.VersionedJobRecord) {
	if len(s.records) >= maxUnfinishedRecords {
		clear(s.records)
	}
	s.records[job] = record
}
