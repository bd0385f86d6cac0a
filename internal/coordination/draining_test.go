package coordination

import (
	"testing"
	"time"

	"github.com/cobaltvale/cobaltvale/internal/protocol"
	"github.com/cobaltvale/cobaltvale/internal/protocol/meshpb"
)

// On a machine that is to be reclaimed, tasks that would not end in time are stopped.
// Replicas of services are stopped one at a time once another machine has room, or all of
// them when the reclaim is near.
func TestDrainerVictims(t *testing.T) {
	const now, run = time.Hour, time.Minute
	for _, test := range []struct {
		name      string
		service   bool
		spare     bool // another machine has room
		reclaimIn time.Duration
		want      int // victims among two tasks of one job
	}{
		{"no notice", false, false, 0, 0},
		{"tasks end in time", false, false, run + 2*time.Second, 0},
		{"tasks don't end in time", false, false, run / 2, 2},
		{"replicas without room elsewhere", true, false, run / 2, 0},
		{"replicas move one after another", true, true, run / 2, 1},
		{"the reclaim is near", true, false, forcedStopLead, 2},
	} {
		t.Run(test.name, func(t *testing.T) {
			pool := &warmPool{counts: &fleetCounts{}, schedulable: func(*machine, time.Duration) bool { return true }}
			if test.spare {
				pool.poolMachines = []*machine{{name: "vm-2", free: resources{cpus: 8, memoryGB: 64}}}
			}
			d := &drainer{warmPool: pool, runTime: func(*meshpb.JobSummary) time.Duration { return run }}
			job := testJob(&meshpb.JobSummary{Cpus: 2, Service: test.service})
			m := &machine{name: "vm-1"}
			if test.reclaimIn > 0 {
				m.reclaimAt = now + test.reclaimIn
			}
			for i := range 2 {
				m.tasks = append(m.tasks, replicaOnMachine{key: replicaKey{task: uint32(i)}, state: protocol.TaskRunning, stateSince: now, job: job})
			}
			victims := d.selectVictims(m, now)
			requireEqual(t, "victims", len(victims), test.want)
			for _, victim := range victims {
				requireEqual(t, "stop requested", victim.stopRequested, true)
			}
			requireEqual(t, "victims selected again", len(d.selectVictims(m, now)), 0)
		})
	}
}
