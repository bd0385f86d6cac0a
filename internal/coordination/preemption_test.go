package coordination

import (
	"fmt"
	"testing"
	"time"

	"github.com/cobaltvale/cobaltvale/internal/protocol"
	"github.com/cobaltvale/cobaltvale/internal/protocol/meshpb"
	"github.com/cobaltvale/cobaltvale/internal/settings"
)

// preemptionFixture returns a preemptor and a machine with one running task for each given
// duration, which has run for that long at the given time.
func preemptionFixture(now time.Duration, priority protocol.Priority, ranFor ...time.Duration) (*preemptor, *machine) {
	p := &preemptor{runTime: func(*meshpb.JobSummary) time.Duration { return time.Hour }}
	m := &machine{name: "vm-1"}
	for i, ran := range ranFor {
		job := testJob(&meshpb.JobSummary{Cpus: 2, Tasks: 10, Priority: uint32(priority)})
		job.team = &teamUsage{cfg: &settings.Team{}}
		m.tasks = append(m.tasks, replicaOnMachine{key: replicaKey{task: uint32(i)}, state: protocol.TaskRunning, stateSince: now - ran, job: job})
	}
	return p, m
}

func TestCheapestVictimsAreChosen(t *testing.T) {
	const now = time.Hour
	anyTask := func(*replicaOnMachine) bool { return true }
	for _, test := range []struct {
		name       string
		neededCPUs float64
		limit      time.Duration
		want       []uint32
		cpus       float64
	}{
		{"the cheapest one is enough", 2, noCostLimit, []uint32{1}, 2},
		{"two are needed", 3, noCostLimit, []uint32{1, 2}, 4},
		{"the third one costs more than the limit", 6, 20 * time.Second, []uint32{1, 2}, 4},
		{"nothing is needed", 0, noCostLimit, nil, 0},
	} {
		t.Run(test.name, func(t *testing.T) {
			p, m := preemptionFixture(now, protocol.PriorityStandard, 30*time.Second, 10*time.Second, 20*time.Second)
			victims, cpus := p.chooseCheapest(m, test.neededCPUs, test.limit, now, anyTask)
			var got []uint32
			for _, victim := range victims {
				got = append(got, victim.key.task)
				requireEqual(t, "stop requested", victim.stopRequested, true)
				requireEqual(t, "preemptions", victim.job.preemptions, 1)
				requireEqual(t, "CPUs that are being stopped", victim.job.team.stoppingCPUs, 2.0)
			}
			requireEqual(t, "victims", fmt.Sprint(got), fmt.Sprint(test.want))
			requireEqual(t, "CPUs", cpus, test.cpus)
		})
	}
}

func TestPreemptible(t *testing.T) {
	const now = time.Hour
	for _, test := range []struct {
		name   string
		change func(*preemptor, *machine, *replicaOnMachine)
		want   bool
	}{
		{"a running task", func(*preemptor, *machine, *replicaOnMachine) {}, true},
		{"one that is being stopped", func(_ *preemptor, _ *machine, r *replicaOnMachine) { r.stopRequested = true }, false},
		{"one that is exempt", func(_ *preemptor, _ *machine, r *replicaOnMachine) { r.preemptionExempt = true }, false},
		{"of an ended job", func(_ *preemptor, _ *machine, r *replicaOnMachine) { r.job.ended = true }, false},
		{"of a job that was preempted as often as it has tasks", func(_ *preemptor, _ *machine, r *replicaOnMachine) { r.job.preemptions = 10 }, false},
		{"the same with checkpoints", func(_ *preemptor, _ *machine, r *replicaOnMachine) {
			r.job.preemptions, r.job.spec.CheckpointIntervalS = 10, 30
		}, true},
		{"one with a command", func(_ *preemptor, m *machine, r *replicaOnMachine) {
			m.ownerCommands = map[replicaKey]*meshpb.MachineCommand{r.key: {}}
		}, false},
		{"one that is writing its checkpoint", func(_ *preemptor, _ *machine, r *replicaOnMachine) { r.state = protocol.TaskCheckpointing }, false},
		{"one that is nearly finished", func(p *preemptor, _ *machine, _ *replicaOnMachine) {
			p.runTime = func(*meshpb.JobSummary) time.Duration { return 12 * time.Second }
		}, false},
		{"one that is overdue", func(p *preemptor, _ *machine, _ *replicaOnMachine) {
			p.runTime = func(*meshpb.JobSummary) time.Duration { return 5 * time.Second }
		}, true},
	} {
		t.Run(test.name, func(t *testing.T) {
			p, m := preemptionFixture(now, protocol.PriorityStandard, 10*time.Second)
			test.change(p, m, &m.tasks[0])
			requireEqual(t, "preemptible", p.preemptible(m, &m.tasks[0], now), test.want)
		})
	}
}

func TestPreemptionCost(t *testing.T) {
	const now = time.Hour
	_, m := preemptionFixture(now, protocol.PriorityStandard, 50*time.Second, 20*time.Second)
	running, other := &m.tasks[0], &m.tasks[1]
	requireEqual(t, "its run time", preemptionCost(m, running, now), 50*time.Second)
	running.job.spec.CheckpointIntervalS, running.job.spec.CheckpointDurationS = 60, 3
	requireEqual(t, "its checkpoint and the margin", preemptionCost(m, running, now), 4*time.Second)
	other.state = protocol.TaskFetching
	requireEqual(t, "a fetch for this task alone", preemptionCost(m, other, now), 20*time.Second)
	running.state, running.job.image = protocol.TaskFetching, other.job.image
	requireEqual(t, "a fetch that another task also waits for", preemptionCost(m, other, now), time.Duration(0))
}

func TestCostLimit(t *testing.T) {
	candidates := []preemptionCandidate{{3, 2}, {1, 2}, {2, 2}}
	for _, test := range []struct {
		name       string
		neededCPUs float64
		want       time.Duration
	}{
		{"nothing is needed", 0, 0},
		{"the cheapest frees enough", 2, 1},
		{"the second one is needed too", 2.5, 2},
		{"all are needed", 6, 3},
		{"all are not enough", 7, noCostLimit},
	} {
		t.Run(test.name, func(t *testing.T) {
			requireEqual(t, "limit", costLimit(candidates, test.neededCPUs), test.want)
		})
	}
}
