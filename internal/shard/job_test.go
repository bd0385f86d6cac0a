package shard

import (
	"math/rand/v2"
	"testing"

	"github.com/cobaltvale/cobaltvale/internal/protocol"
)

// A job's counts match the states of its tasks after any sequence of transitions.
func TestTaskCountsMatchStates(t *testing.T) {
	random := rand.New(rand.NewPCG(1, 1))
	s := &Shard{name: "a"}
	job := newJob(s, &protocol.Job{ID: "wk-1", Tasks: 20}, 0, "")
	for range 2000 {
		job.setState(int32(random.IntN(len(job.tasks))), TaskState(random.IntN(int(TaskDurable)+1)))
		counts := make(map[TaskState]int)
		for i := range job.tasks {
			counts[job.TaskState(i)]++
		}
		active := counts[TaskUnreconciled] + counts[TaskAssigned] + counts[TaskPlaced]
		finished := counts[TaskFinished] + counts[TaskDurable]
		if job.pending != counts[TaskPending] || job.Active() != active || job.Finished() != finished || s.unreconciledTasks != counts[TaskUnreconciled] {
			t.Fatalf("%d pending, %d active, %d finished and %d unreconciled tasks, but states %v", job.pending, job.Active(), job.Finished(), s.unreconciledTasks, counts)
		}
		if _, found := job.nextPending(); found != (counts[TaskPending] > 0) {
			t.Fatalf("nextPending found a task: %v, of %d pending", found, counts[TaskPending])
		}
	}
}

// Each state and reason has a distinct name in the log.
func TestNamesInTheLog(t *testing.T) {
	seen := make(map[string]bool)
	for s := TaskPending; s <= TaskDurable; s++ {
		seen[s.String()] = true
	}
	if len(seen) != int(TaskDurable)+1 {
		t.Errorf("%d distinct names of %d states, want one each", len(seen), TaskDurable+1)
	}
	clear(seen)
	for r := lossLeaseExpired; r < notLost; r++ {
		seen[r.String()] = true
	}
	if len(seen) != int(notLost) {
		t.Errorf("%d distinct names of %d reasons, want one each", len(seen), int(notLost))
	}
	if got := TaskState(200).String(); got != "TaskState(200)" {
		t.Error(got)
	}
}

func TestZoneConstraints(t *testing.T) {
	for _, test := range []struct {
		name         string
		spec         protocol.Job
		zones        []string // of the placed tasks
		unreconciled int      // tasks with an unknown location
		zone         string
		want         bool
	}{
		{"no zone constraint", protocol.Job{Tasks: 4}, []string{"z1", "z2"}, 1, "z3", true},
		{"single zone, the first task", protocol.Job{Tasks: 4, SingleZone: true}, nil, 0, "z1", true},
		{"single zone, the same", protocol.Job{Tasks: 4, SingleZone: true}, []string{"z1"}, 0, "z1", true},
		{"single zone, another", protocol.Job{Tasks: 4, SingleZone: true}, []string{"z1"}, 0, "z2", false},
		{"single zone, unknown location of a task", protocol.Job{Tasks: 4, SingleZone: true}, []string{"z1"}, 1, "z1", false},
		{"spread, up to half", protocol.Job{Tasks: 4, SpreadZones: true}, []string{"z1"}, 0, "z1", true},
		{"spread, more than half", protocol.Job{Tasks: 4, SpreadZones: true}, []string{"z1", "z1"}, 0, "z1", false},
	} {
		t.Run(test.name, func(t *testing.T) {
			job := newJob(&Shard{}, &test.spec, 0, "")
			for i, zone := range test.zones {
				job.setState(int32(i), TaskPlaced)
				if job.activeByZone != nil {
					job.activeByZone[zone]++
				}
			}
			for i := range test.unreconciled {
				job.setState(int32(len(test.zones)+i), TaskUnreconciled)
			}
			if got := job.allowsZone(test.zone); got != test.want {
				t.Errorf("allowed: %v, want %v", got, test.want)
			}
		})
	}
}
