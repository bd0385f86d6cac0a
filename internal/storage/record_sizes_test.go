package storage

import (
	"slices"
	"strings"
	"testing"

	"github.com/cobaltvale/cobaltvale/internal/protocol"
)

// Fits distinguishes jobs whose records can be written from those whose records are too large.
func TestJobFitsItsRecords(t *testing.T) {
	_, store := newFakeStateService(t)
	long := strings.Repeat("x", 120)
	longLabels := protocol.Job{ID: "wk-1", Class: long, Team: long, Image: long, Zone: long, Tasks: 1}
	manyTasks := protocol.Job{ID: "wk-1", Tasks: protocol.MaxTasks}
	manyTypes := protocol.Job{ID: "wk-1", Tasks: 1, Types: slices.Repeat([]string{long}, 14)}
	for _, c := range []struct {
		name       string
		valueBytes int
		job        protocol.Job
		fits       bool
	}{
		{"small", 2048, *smallJob(1), true},
		{"small under a lower limit", 1024, *smallJob(1), true},
		{"long labels", 2048, longLabels, true},
		{"long labels under a lower limit", 1024, longLabels, false},
		{"many tasks", 2048, manyTasks, true},
		{"many tasks under a lower limit", 1024, manyTasks, false},
		{"many types", 2048, manyTypes, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			store.limits.ValueBytes = c.valueBytes
			if got := store.Fits(&c.job); got != c.fits {
				t.Errorf("limit of %d bytes, class %.30s, %d tasks: Fits returned %v, want the opposite", c.valueBytes, c.job.Class, c.job.Tasks, got)
			}
		})
	}
}
