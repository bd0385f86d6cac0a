package coordination

import (
	"io"
	"testing"
	"time"

	"github.com/rs/zerolog"

	"github.com/cobaltvale/cobaltvale/internal/estimate"
	"github.com/cobaltvale/cobaltvale/internal/protocol"
	"github.com/cobaltvale/cobaltvale/internal/protocol/meshpb"
)

const (
	intakeFencingToken = 7
	intakeElectedAt    = time.Minute
)

// intakeFixture is a heartbeatIntake with one machine and one job, outside any simulation.
type intakeFixture struct {
	heartbeatIntake
	machines           machineTable
	machine            *machine
	job                *trackedJob
	presumedDeliveries int
	sequence           uint64
}

func newIntakeFixture(t *testing.T) *intakeFixture {
	t.Helper()
	log := zerolog.New(io.Discard)
	f := &intakeFixture{}
	f.machines.init()
	f.machine = f.machines.add("vm-1")
	leases := machineLeases{electedAt: intakeElectedAt, timeout: time.Minute}
	usage := newUsageAccounting(nil, leases)
	f.job = &trackedJob{id: "wk-1", spec: &meshpb.JobSummary{Cpus: 2, Class: "c", EstimateS: 10}, image: &image{name: "img", sizeGB: 1}}
	jobs := map[string]*trackedJob{f.job.id: f.job}
	f.heartbeatIntake = heartbeatIntake{
		fencingToken: intakeFencingToken, electedAt: intakeElectedAt, jobs: &jobTable{byID: jobs}, catalog: fixedCatalog{"m8": {Name: "m8", CPUs: 8, MemoryGB: 64, CacheGB: 50, FetchRate: 1}},
		images: &imageTable{}, usage: &usage, records: &machineRecorder{machines: &f.machines},
		publisher: &statusPublisher{memberCount: 1}, deliveries: &deliveryTracker{},
		quarantine: &quarantine{machines: &f.machines, jobs: jobs}, runTimes: &estimate.RunTimes{},
		counts: &fleetCounts{reportedMachines: 10}, log: &log,
		cachedImages: func(string) []*meshpb.CachedImage {
			return []*meshpb.CachedImage{{Name: "old", SizeGb: 2}}
		},
		countResponse: func(e responseEvent) {
			if e == startDeliveryPresumed {
				f.presumedDeliveries++
			}
		},
	}
	return f
}

// heartbeat applies the machine's next heartbeat and reports whether it shows that responses
// reach the machine.
func (f *intakeFixture) heartbeat(token, epoch uint64, now time.Duration, tasks ...protocol.TaskStatus) bool {
	f.sequence++
	return f.apply(f.machine, &protocol.Heartbeat{Machine: "vm-1", Epoch: epoch, Seq: f.sequence, FencingToken: token, Type: "m8", Zone: "z1", Tasks: tasks}, 0, now)
}

func taskStatus(state protocol.TaskState, reason protocol.ExitReason) protocol.TaskStatus {
	return protocol.TaskStatus{Job: "wk-1", Replica: 1, State: state, ExitReason: reason}
}

func TestHeartbeatWithoutFencingTokenShowsOnlyPresence(t *testing.T) {
	f := newIntakeFixture(t)
	now := 2 * time.Minute
	requireEqual(t, "reachable", f.heartbeat(intakeFencingToken-1, 1, now, taskStatus(protocol.TaskRunning, 0)), false)
	requireEqual(t, "heartbeat seen", f.machine.heartbeatSeen, true)
	requireEqual(t, "last current heartbeat", f.machine.lastCurrentHeartbeat, 0)
	requireEqual(t, "tasks", len(f.machine.tasks), 0)
	requireEqual(t, "image reported by an earlier leader", f.machine.images[0].name, "old")
	requireEqual(t, "reachable with the token", f.heartbeat(intakeFencingToken, 1, now+time.Second, taskStatus(protocol.TaskRunning, 0)), true)
	requireEqual(t, "tasks with the token", len(f.machine.tasks), 1)
	requireEqual(t, "free CPUs", f.machine.free.cpus, 6)
	requireEqual(t, "live replicas", f.job.liveReplicas, 1)
	requireEqual(t, "image of the task", f.machine.hasImage(f.job.image), true)
	requireEqual(t, "record pending", f.machine.recordPending, true)
}

func TestTaskListSettlesSentStarts(t *testing.T) {
	f := newIntakeFixture(t)
	now := 2 * time.Minute
	f.heartbeat(intakeFencingToken, 1, now)
	f.machine.sentStarts = []replicaOnMachine{{key: replicaKey{"wk-1", 0, 1}, job: f.job, state: protocol.TaskFetching, stateSince: now, preemptionExempt: true}}
	f.heartbeat(intakeFencingToken, 1, now+time.Second, taskStatus(protocol.TaskFetching, 0))
	requireEqual(t, "sent starts after the list", len(f.machine.sentStarts), 0)
	requireEqual(t, "time since which the task is fetching: when its start was sent", f.machine.tasks[0].stateSince, now)
	requireEqual(t, "exempt from preemption as when sent", f.machine.tasks[0].preemptionExempt, true)
	f.machine.sentStarts = []replicaOnMachine{{key: replicaKey{"wk-1", 1, 1}, job: f.job, state: protocol.TaskFetching, stateSince: now}}
	f.heartbeat(intakeFencingToken, 1, now+2*time.Second, taskStatus(protocol.TaskFetching, 0))
	requireEqual(t, "sent starts after a list without them", len(f.machine.sentStarts), 0)
	requireEqual(t, "free CPUs", f.machine.free.cpus, 6)
}

func TestNewEpochRemovesListedTasks(t *testing.T) {
	f := newIntakeFixture(t)
	now := 2 * time.Minute
	f.heartbeat(intakeFencingToken, 1, now, taskStatus(protocol.TaskRunning, 0))
	f.machine.ownerCommands = map[replicaKey]*meshpb.MachineCommand{{"wk-1", 0, 1}: {}}
	f.heartbeat(intakeFencingToken-1, 2, now+time.Second)
	requireEqual(t, "tasks", len(f.machine.tasks), 0)
	requireEqual(t, "commands", len(f.machine.ownerCommands), 0)
	requireEqual(t, "live replicas", f.job.liveReplicas, 0)
	requireEqual(t, "free CPUs", f.machine.free.cpus, 8)
}

func TestRunTimeIsObservedWhenTaskExits(t *testing.T) {
	f := newIntakeFixture(t)
	now := 2 * time.Minute
	for range 10 {
		f.heartbeat(intakeFencingToken, 1, now, taskStatus(protocol.TaskRunning, 0))
		f.heartbeat(intakeFencingToken, 1, now+30*time.Second, taskStatus(protocol.TaskExited, protocol.ExitReasonDone))
		f.heartbeat(intakeFencingToken, 1, now+31*time.Second)
		now += time.Minute
	}
	mean := f.runTimes.Mean(estimateTaskOf(f.job.spec)).Round(time.Second)
	requireEqual(t, "mean run time", mean, 30*time.Second)
	requireEqual(t, "the job has succeeded", f.job.taskSucceeded, true)
}

func TestReclaimNoticeHoldsUntilWithdrawn(t *testing.T) {
	now := time.Minute
	notice := func(in float64) *protocol.Heartbeat {
		return &protocol.Heartbeat{TerminationNotice: true, TerminationInS: in}
	}
	m := &machine{}
	m.setReclaimNotice(notice(30), now)
	requireEqual(t, "reclaimed at", m.reclaimAt, now+30*time.Second)
	m.setReclaimNotice(notice(30), now+time.Second)
	requireEqual(t, "reclaimed at, after the same notice again", m.reclaimAt, now+30*time.Second)
	m.setReclaimNotice(&protocol.Heartbeat{}, now)
	requireEqual(t, "reclaimed at, after the withdrawal", m.reclaimAt, 0)
	m.setReclaimNotice(notice(-5), now)
	requireEqual(t, "reclaimed at, after a late notice", m.reclaimAt, now)
}
