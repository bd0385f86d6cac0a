package storage

import (
	"strings"
	"testing"

	"github.com/cobaltvale/cobaltvale/internal/protocol"
)

// A job whose records can't be written is told from one whose can.
func TestJobFitsItsRecords(t *testing.T) {
	_, store := newFakeStateService(t)
	long := strings.Repeat("x", 120)
	for _, c := range []struct {
		bytes int
		job   protocol.Job
		fits  bool
	}{
		{2048, *smallJob(1), true},
		{1024, *smallJob(1), true},
		{2048, protocol.Job{ID: "wk-1", Class: long, Team: long, Image: long, Zone: long, Tasks: 1}, true},
		{1024, protocol.Job{ID: "wk-1", Class: long, Team: long, Image: long, Zone: long, Tasks: 1}, false},
		{2048, protocol.Job{ID: "wk-1", Tasks: protocol.MaxTasks}, true},
		{1024, protocol.Job{ID: "wk-1", Tasks: protocol.MaxTasks}, false},
		{2048, protocol.Job{ID: "wk-1", Tasks: 1, Types: []string{long, long, long, long, long, long, long, long, long, long, long, long, long, long}}, false},
	} {
		store.limits.ValueBytes = c.bytes
		if got := store.Fits(&c.job); got != c.fits {
			t.Errorf("%d bytes, %.30s of %d tasks: %v", c.bytes, c.job.Class, c.job.Tasks, got)
		}
	}
}
