package shard

import (
	"errors"
	"testing"
	"time"

	"github.com/rs/zerolog"

	"github.com/cobaltvale/cobaltvale/internal/admission"
	"github.com/cobaltvale/cobaltvale/internal/protocol"
	"github.com/cobaltvale/cobaltvale/internal/protocol/meshpb"
	"github.com/cobaltvale/cobaltvale/internal/storage"
)

const (
	leaseTimeout = 10 * time.Second
	shardNumber  = 3
	machineName  = "vm-1"
	machineIndex = 4 // the leader's index of the machine
)

// fixture is an owner of the shard "a". It simulates the owner's clock, leader and records,
// and one machine.
type fixture struct {
	*Owner
	t       *testing.T
	now     time.Duration
	records *memoryRecords
	ended   map[string]string
}

// Now implements storage.Clock.
func (f *fixture) Now() time.Duration { return f.now }

// RegisterShards implements LeaderStream. The leader answers immediately.
func (f *fixture) RegisterShards() {
	for shard := range f.UnregisteredShards() {
		f.RegisterShard(shard)
	}
}

// RegisterShard implements LeaderStream.
func (f *fixture) RegisterShard(shard *Shard) {
	f.BeginRegistration(shard)
	f.ConfirmRegistration(&meshpb.ShardRegistered{Shard: shard.Name(), ClockUs: f.now.Microseconds(), ShardNumber: shardNumber})
}

// PublishSummaries implements LeaderStream.
func (f *fixture) PublishSummaries(string, []*meshpb.JobSummary) {}

// Ended implements FinalStatuses.
func (f *fixture) Ended(job string) bool { return f.ended[job] != "" }

// AddFinal implements FinalStatuses.
func (f *fixture) AddFinal(job, status string, _ int) { f.ended[job] = status }

// memoryRecords are records in memory that become durable when flushed.
type memoryRecords struct {
	Records
	version        uint64
	jobs           []storage.RecoveredJob
	unflushedTasks []func()
	unflushedEnds  []func()
}

func (r *memoryRecords) Recover(done func([]storage.RecoveredJob)) { done(r.jobs) }
func (r *memoryRecords) RecoveryAttempts() int                     { return 1 }
func (r *memoryRecords) UnreadableKeys() []string                  { return nil }
func (r *memoryRecords) Version() uint64                           { return r.version }
func (r *memoryRecords) Close()                                    {}
func (r *memoryRecords) EndJob(_ *protocol.Job, _, _ string, done func()) {
	r.unflushedEnds = append(r.unflushedEnds, done)
}
func (r *memoryRecords) FinishTask(_ *protocol.Job, _ int, done func()) {
	r.unflushedTasks = append(r.unflushedTasks, done)
}
func (r *memoryRecords) FlushJobs()          { callAll(&r.unflushedEnds) }
func (r *memoryRecords) FlushFinishedTasks() { callAll(&r.unflushedTasks) }
func (r *memoryRecords) CreateJob(_ *protocol.Job, _ int64, _ string, _ time.Duration, done func(storage.CreateResult)) {
	done(storage.Created)
}

func callAll(list *[]func()) {
	for _, fn := range *list {
		fn()
	}
	*list = nil
}

// newFixture returns a fixture that has acquired the shard under a fencing token, with the
// given jobs in its records.
func newFixture(t *testing.T, fencingToken uint64, jobs ...storage.RecoveredJob) *fixture {
	t.Helper()
	f := &fixture{t: t, now: time.Second, ended: make(map[string]string)}
	control, err := admission.New(admission.Config{})
	if err != nil {
		t.Fatal(err)
	}
	f.records = &memoryRecords{version: fencingToken, jobs: jobs}
	f.Owner = NewOwner(Config{Member: "a", ProcessNonce: "n", MemoryLimit: 1 << 20, MachineLeaseTimeout: leaseTimeout,
		MachineTTL: time.Hour, MaxMachines: 100, Clock: f, Log: zerolog.Nop(), Leader: f, FinalStatuses: f, Admission: control,
		OpenRecords: func(string, uint64, uint64, func()) Records { return f.records }})
	f.AcquireShard("a", 1, fencingToken)
	f.reportStatus(&meshpb.MachineStatus{Epoch: 1, Seq: 1})
	return f
}

// submit creates a job with a number of tasks.
func (f *fixture) submit(tasks int) *Job {
	f.t.Helper()
	f.CreateJob(&protocol.Job{ID: "wk-1", Tasks: tasks}, 0, time.Second, func(r storage.CreateResult) {
		if r != storage.Created {
			f.t.Fatalf("submission: %v", r)
		}
	})
	return f.Job("wk-1")
}

// bindOffered offers the machine for up to count tasks of the job, after its heartbeat seq,
// and returns the bindings.
func (f *fixture) bindOffered(count, seq int) []*meshpb.Binding {
	var bindings meshpb.Bindings
	f.Bind(&meshpb.Offer{MachineIndex: machineIndex, Epoch: 1, Seq: uint64(seq),
		Items: []*meshpb.OfferItem{{Job: "wk-1", Count: uint32(count)}}}, &bindings)
	return bindings.Bindings
}

// reportStatus passes on a status of the machine, one second after the previous one.
func (f *fixture) reportStatus(status *meshpb.MachineStatus) {
	f.now += time.Second
	status.MachineIndex, status.Current = machineIndex, true
	f.HandleMachineStatuses(&meshpb.MachineStatuses{ClockUs: f.now.Microseconds(), Statuses: []*meshpb.MachineStatus{status},
		Names: []*meshpb.MachineName{{MachineIndex: machineIndex, Name: machineName, Zone: "z1"}}})
}

// completeStatus returns a complete status of the machine that lists the given tasks.
func completeStatus(seq int, tasks ...*meshpb.TaskStatus) *meshpb.MachineStatus {
	return &meshpb.MachineStatus{Epoch: 1, Seq: uint64(seq), CompleteForShards: []uint32{shardNumber}, Tasks: tasks}
}

func taskStatusOf(binding *meshpb.Binding, state protocol.TaskState, reason protocol.ExitReason) *meshpb.TaskStatus {
	return &meshpb.TaskStatus{Job: binding.Job, Task: binding.Task, Replica: binding.Replica, State: uint32(state), ExitReason: uint32(reason)}
}

func (f *fixture) checkState(when string, job *Job, want TaskState) {
	f.t.Helper()
	if got := job.TaskState(0); got != want {
		f.t.Errorf("%s: the task is %v, want %v", when, got, want)
	}
}

func TestTaskFromSubmissionToDurableEnd(t *testing.T) {
	f := newFixture(t, 1)
	job := f.submit(2)
	f.checkState("submitted", job, TaskPending)
	bindings := f.bindOffered(2, 1)
	f.checkState("bound", job, TaskAssigned)
	f.reportStatus(completeStatus(2, taskStatusOf(bindings[0], protocol.TaskRunning, 0), taskStatusOf(bindings[1], protocol.TaskRunning, 0)))
	f.checkState("listed", job, TaskPlaced)
	if job.Running() != 2 {
		t.Errorf("%d tasks run, want 2", job.Running())
	}
	f.reportStatus(completeStatus(3, taskStatusOf(bindings[0], protocol.TaskExited, protocol.ExitReasonDone), taskStatusOf(bindings[1], protocol.TaskRunning, 0)))
	f.checkState("exited", job, TaskFinished)
	f.FlushFinishedTasks()
	f.checkState("written", job, TaskDurable)
	if commands := f.TakeCommands(); len(commands) != 1 || !commands[0].Reap || commands[0].Replica != bindings[0].Replica {
		t.Errorf("commands %v, want one that reaps the durable replica", commands)
	}
	f.reportStatus(completeStatus(4, taskStatusOf(bindings[1], protocol.TaskExited, protocol.ExitReasonDone)))
	if f.ended["wk-1"] != "" {
		t.Error("the job is reported as ended before its end is durable")
	}
	f.Tick(f.now)
	if f.ended["wk-1"] != protocol.StatusDone || f.Job("wk-1") != nil {
		t.Errorf("the job ended as %q, want StatusDone and the job removed", f.ended["wk-1"])
	}
}

// A lost replica is replaced by one with a higher number. A late status of the lost replica
// causes a command to remove it, and changes nothing else.
func TestLostReplicaIsReplacedAndCleanedUp(t *testing.T) {
	f := newFixture(t, 1)
	job := f.submit(1)
	lost := f.bindOffered(1, 1)[0]
	f.reportStatus(completeStatus(2, taskStatusOf(lost, protocol.TaskRunning, 0)))
	f.reportStatus(completeStatus(3))
	f.checkState("no longer listed", job, TaskPending)
	next := f.bindOffered(1, 4)[0]
	if next.Replica <= lost.Replica {
		t.Errorf("replica %d follows %d, want a higher number", next.Replica, lost.Replica)
	}
	f.reportStatus(completeStatus(5, taskStatusOf(lost, protocol.TaskExited, protocol.ExitReasonDone), taskStatusOf(next, protocol.TaskRunning, 0)))
	f.checkState("listed with the lost one", job, TaskPlaced)
	if commands := f.TakeCommands(); len(commands) != 1 || commands[0].Replica != lost.Replica {
		t.Errorf("commands %v, want one about replica %d", commands, lost.Replica)
	}
}

func TestLeaseExpiryOfASilentMachine(t *testing.T) {
	f := newFixture(t, 1)
	job := f.submit(1)
	binding := f.bindOffered(1, 1)[0]
	f.reportStatus(completeStatus(2, taskStatusOf(binding, protocol.TaskRunning, 0)))
	lastHeartbeatUs := f.now.Microseconds()
	f.ExpireLeases(lastHeartbeatUs + leaseTimeout.Microseconds())
	f.checkState("after a lease", job, TaskPlaced)
	f.ExpireLeases(lastHeartbeatUs + leaseTimeout.Microseconds() + 1)
	f.checkState("after more than a lease", job, TaskPending)
}

// After the end of its stream, an owner treats no replica as lost until the next leader has
// confirmed the registration, and binds no task before the registration.
func TestNoReplicaIsLostWithoutALeader(t *testing.T) {
	f := newFixture(t, 1)
	job := f.submit(1)
	binding := f.bindOffered(1, 1)[0]
	f.reportStatus(completeStatus(2, taskStatusOf(binding, protocol.TaskRunning, 0)))
	f.ResetStream()
	f.reportStatus(completeStatus(3))
	f.ExpireLeases(time.Hour.Microseconds())
	f.checkState("without an answer", job, TaskPlaced)
	if bindings := f.bindOffered(1, 4); bindings != nil {
		t.Errorf("bindings %v without a registration, want none", bindings)
	}
}

func recoveredJob(tasks int) storage.RecoveredJob {
	return storage.RecoveredJob{Job: protocol.Job{ID: "wk-1", Tasks: tasks}, FinishedTasks: make([]bool, tasks)}
}

// A recovered task that no machine lists is started only once the leader reports the shard
// as reconciled.
func TestRecoveredTaskWaitsForReconciliation(t *testing.T) {
	f := newFixture(t, 2, recoveredJob(1))
	job := f.Job("wk-1")
	f.reportStatus(completeStatus(2))
	f.ExpireLeases(time.Hour.Microseconds())
	f.checkState("before the reconciliation", job, TaskUnreconciled)
	if bindings := f.bindOffered(1, 3); len(bindings) > 0 {
		t.Errorf("bindings %v before the reconciliation, want none", bindings)
	}
	f.HandleReconciled(&meshpb.Reconciled{Shard: "a"})
	f.checkState("after the reconciliation", job, TaskPending)
}

// A replica that an earlier holder started becomes the current replica of its task,
// although that holder has ended. Its number is below all numbers of this holder's
// replicas.
func TestInheritedReplicaBecomesCurrent(t *testing.T) {
	f := newFixture(t, 2, recoveredJob(2))
	job := f.Job("wk-1")
	inherited := &meshpb.Binding{Job: "wk-1", Task: 0, Replica: 1<<replicaBits + 5}
	f.reportStatus(completeStatus(2, taskStatusOf(inherited, protocol.TaskRunning, 0)))
	f.checkState("listed", job, TaskPlaced)
	f.HandleReconciled(&meshpb.Reconciled{Shard: "a"})
	f.checkState("reconciled", job, TaskPlaced)
	next := f.bindOffered(1, 3)
	if len(next) != 1 || next[0].Task != 1 || next[0].Replica <= inherited.Replica {
		t.Errorf("bindings %v, want task 1 with a number above %d", next, inherited.Replica)
	}
}

// When an inherited replica is lost before the reconciliation, a newer one may exist, so
// the task becomes unreconciled.
func TestLostInheritedReplicaIsUnreconciled(t *testing.T) {
	f := newFixture(t, 2, recoveredJob(1))
	job := f.Job("wk-1")
	inherited := &meshpb.Binding{Job: "wk-1", Task: 0, Replica: 1<<replicaBits + 5}
	f.reportStatus(completeStatus(2, taskStatusOf(inherited, protocol.TaskRunning, 0)))
	f.reportStatus(completeStatus(3))
	f.checkState("lost", job, TaskUnreconciled)
	older := &meshpb.Binding{Job: "wk-1", Task: 0, Replica: 1<<replicaBits + 4}
	f.reportStatus(completeStatus(4, taskStatusOf(older, protocol.TaskRunning, 0)))
	f.checkState("an older one is listed", job, TaskUnreconciled)
}

func TestReturnedBindingIsPendingAgain(t *testing.T) {
	f := newFixture(t, 1)
	job := f.submit(1)
	bindings := f.bindOffered(1, 1)
	f.ReturnBindings(bindings)
	f.checkState("returned", job, TaskPending)
	next := f.bindOffered(1, 2)
	f.ReturnBindings(bindings) // a repeated return does not affect the next replica
	f.checkState("previous binding returned again", job, TaskAssigned)
	if next[0].Replica <= bindings[0].Replica {
		t.Errorf("replica %d follows %d, want a higher number", next[0].Replica, bindings[0].Replica)
	}
}

// Those who wait for a job's end receive ErrShardLost once the shard is removed.
func TestRemovedShardAnswersPendingCancellations(t *testing.T) {
	f := newFixture(t, 1)
	job := f.submit(1)
	var received []error
	f.Cancel(job, func(_ string, err error) { received = append(received, err) })
	f.RemoveShard("a")
	f.records.FlushJobs()
	if len(received) != 1 || !errors.Is(received[0], ErrShardLost) {
		t.Errorf("the callback received %v, want ErrShardLost once", received)
	}
	if f.Job("wk-1") != nil || f.Shard("a") != nil || f.estimatedMemoryBytes != 0 {
		t.Errorf("the removed shard or its job is still held, or %d bytes are still counted for it", f.estimatedMemoryBytes)
	}
}

func TestMemoryLimit(t *testing.T) {
	f := newFixture(t, 1)
	maxTasks := (1<<20 - bytesPerJob) / bytesPerTask
	for tasks, want := range map[int]bool{maxTasks: false, maxTasks + 1: true} {
		if got := f.MemoryFull(&protocol.Job{Tasks: tasks}); got != want {
			t.Errorf("%d tasks: memory full is %v, want the opposite", tasks, got)
		}
	}
}
