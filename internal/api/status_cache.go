package api

import (
	"github.com/cobaltvale/cobaltvale/internal/protocol"
	"github.com/cobaltvale/cobaltvale/internal/storage"
)

const (
	maxFinalStatuses     = 20000
	maxUnfinishedRecords = 20000
)

// finalStatus is how a job has ended, which never changes.
type finalStatus struct {
	status string
	tasks  int
}

// done is how many tasks of the job ended well, as users are told.
func (f finalStatus) doneTasks() int {
	if f.status == protocol.StatusDone {
		return f.tasks
	}
	return 0
}

// StatusCache remembers what is known of jobs for certain: how they have ended, and
// what the records of unfinished ones have said.
type StatusCache struct {
	final      map[string]finalStatus
	finalOrder []string // of final, the oldest first
	// records remembers what was read of unfinished jobs: to which shard each belongs,
	// which never changes, and the version by which a change would show.
	records map[string]storage.VersionedJobRecord
}

// NewStatusCache makes an empty cache.
func NewStatusCache() *StatusCache {
	return &StatusCache{final: make(map[string]finalStatus), records: make(map[string]storage.VersionedJobRecord)}
}

// Ended tells whether a job is known to have ended.
func (s *StatusCache) Ended(job string) bool {
	_, ended := s.final[job]
	return ended
}

// Remember keeps how a job has ended, as long as there is room for it.
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

// addRecord keeps what the record of an unfinished job has said.
func (s *StatusCache) addRecord(job string, record storage.VersionedJobRecord) {
	if len(s.records) >= maxUnfinishedRecords {
		clear(s.records)
	}
	s.records[job] = record
}
