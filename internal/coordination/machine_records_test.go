package coordination

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/cobaltvale/cobaltvale/internal/protocol"
	"github.com/cobaltvale/cobaltvale/internal/simtest"
	"github.com/cobaltvale/cobaltvale/internal/storage"
)

const machineRecordPrefix = "fleet/" // of the keys in the state service

// fakeRecordStore holds calls until the test completes them.
type fakeRecordStore struct {
	writes        []string
	pendingWrites []func(storage.TxnResult)
	pendingReads  []func(map[string][]string, uint64, error)
	delayedCalls  []func()
}

func (s *fakeRecordStore) RecordMachines(_ uint64, number int, names []string, done func(string, storage.TxnResult)) {
	key := fmt.Sprint("record-", number)
	s.writes = append(s.writes, key+": "+strings.Join(names, " "))
	s.pendingWrites = append(s.pendingWrites, func(r storage.TxnResult) { done(key, r) })
}

func (s *fakeRecordStore) RewriteMachineRecord(_ uint64, key string, names []string, done func(storage.TxnResult)) {
	s.writes = append(s.writes, key+": "+strings.Join(names, " "))
	s.pendingWrites = append(s.pendingWrites, done)
}

func (s *fakeRecordStore) MachineRecords(done func(map[string][]string, uint64, error)) {
	s.pendingReads = append(s.pendingReads, done)
}

func (s *fakeRecordStore) After(_ time.Duration, fn func()) {
	s.delayedCalls = append(s.delayedCalls, fn)
}

func (s *fakeRecordStore) complete(outcome storage.Outcome) {
	done := s.pendingWrites[0]
	s.pendingWrites = s.pendingWrites[1:]
	done(storage.TxnResult{Outcome: outcome})
}

func newTestRecorder(maxBytes int) (*machineRecorder, *fakeRecordStore) {
	var machines machineTable
	machines.init()
	store := &fakeRecordStore{}
	return &machineRecorder{store: store, machines: &machines, fencingToken: 7, maxBytes: maxBytes}, store
}

func TestMachinesAreRecordedInBatchesThatFitOneRecord(t *testing.T) {
	r, store := newTestRecorder(2 * (len("vm-1") + nameOverheadBytes))
	for _, name := range []string{"vm-3", "vm-1", "vm-2"} {
		r.requestRecord(r.machines.add(name))
		r.requestRecord(r.machines.get(name)) // a second request has no effect
	}
	now := time.Minute
	r.writeIfDue(now)
	r.writeIfDue(now + time.Hour) // one write at a time
	requireEqual(t, "writes", fmt.Sprint(store.writes), "[record-1: vm-1 vm-3]")
	store.complete(storage.Applied)
	requireEqual(t, "record of the first", r.machines.get("vm-1").recordKey, "record-1")
	r.writeIfDue(now + recordInterval - 1)
	requireEqual(t, "writes within the interval", len(store.writes), 1)
	r.writeIfDue(now + recordInterval)
	requireEqual(t, "last write", store.writes[len(store.writes)-1], "record-2: vm-2")
	store.complete(storage.Rejected)
	requireEqual(t, "record after a rejected write", r.machines.get("vm-2").recordKey, "")
	r.requestRecord(r.machines.get("vm-2"))
	r.writeIfDue(now + 2*recordInterval)
	requireEqual(t, "write after it is requested again", store.writes[len(store.writes)-1], "record-3: vm-2")
}

// A record stays after its machines are gone, and makes the next leader wait for them: the answer to
// its write is lost, the machines are recorded under another key, and only that record is rewritten.
func TestUnansweredMachineRecordIsWrittenAgainUnderItsKey(t *testing.T) {
	for name, retries := range map[string][]storage.Outcome{
		"answered at the second attempt": {storage.Unknown, storage.Applied},
		"rejected after that":            {storage.Unknown, storage.Rejected, storage.Unknown, storage.Rejected, storage.Applied},
	} {
		t.Run(name, func(t *testing.T) {
			r, store := newTestRecorder(1000)
			first, second := r.machines.add("vm-1"), r.machines.add("vm-2")
			r.requestRecord(first)
			now := time.Minute
			for attempt, outcome := range retries {
				r.writeIfDue(now)
				requireEqual(t, "writes", len(store.writes), attempt+1)
				requireEqual(t, "write", store.writes[attempt], "record-1: vm-1")
				store.complete(outcome)
				r.requestRecord(first) // by its next heartbeat
				r.requestRecord(second)
				now += recordInterval
			}
			requireEqual(t, "record", first.recordKey, "record-1")
			r.writeIfDue(now)
			requireEqual(t, "next write", store.writes[len(store.writes)-1], "record-2: vm-2")
		})
	}
}

// A record names a machine that is gone, for which the next leader then waits: the answer to its write
// was lost, and the leader, which did not know the record, could not remove it with the machine.
func TestUnansweredMachineRecordIsRemovedWithItsMachines(t *testing.T) {
	sim := newSimulation(t, "a", "b", "c")
	lost := false
	sim.State.OnTransaction = func(_ string, txn *protocol.Transaction, apply func() storage.Response, done func(storage.Response)) bool {
		if lost || len(txn.Then) == 0 || !strings.HasPrefix(txn.Then[0].Put, machineRecordPrefix) {
			return false
		}
		lost = true
		apply()
		done(storage.Response{})
		return true
	}
	agent := sim.AddMachine("vm-1", "z1")
	sim.Run(2 * time.Second)
	requireEqual(t, "submission", sim.Follower().Submit(simtest.BatchJob("wk-1", 2)).Status, 201)
	sim.Run(5 * time.Second)
	requireEqual(t, "running tasks", len(agent.Running()), 2)
	sim.FinishAllTasks()
	sim.Run(200 * time.Second)
	requireEqual(t, "lost answers", lost, true)
	requireEqual(t, "machines", len(sim.Agents), 0)
	requireEqual(t, "machine records", len(sim.State.Page(machineRecordPrefix, "", 10).Items), 0)
}

func TestMachineRecordsAreReadUntilLoaded(t *testing.T) {
	r, store := newTestRecorder(1000)
	var loaded []loadedRecords
	r.load(func(l loadedRecords) { loaded = append(loaded, l) })
	store.pendingReads[0](nil, 0, storage.ErrNoAnswer)
	requireEqual(t, "machines known after a failed read", r.machinesKnown(), false)
	store.delayedCalls[0]()
	store.pendingReads[1](map[string][]string{"record-9": {"vm-1", "vm-2"}}, 5, nil)
	requireEqual(t, "machines known", r.machinesKnown(), true)
	requireEqual(t, "reads", loaded[0].attempts, 2)
	requireEqual(t, "machines", len(loaded[0].machines), 2)
	requireEqual(t, "recorded by an earlier leader", r.machines.get("vm-2").recordedByEarlierLeader, true)
	requireEqual(t, "record", r.machines.get("vm-2").recordKey, "record-9")
}

func TestStoppedRecorderChangesNothing(t *testing.T) {
	r, store := newTestRecorder(1000)
	m := r.machines.add("vm-1")
	r.requestRecord(m)
	r.writeIfDue(time.Minute)
	r.load(func(loadedRecords) { t.Error("records are loaded after the recorder was stopped") })
	r.stop()
	store.complete(storage.Applied)
	store.pendingReads[0](map[string][]string{"record-9": {"vm-2"}}, 5, nil)
	requireEqual(t, "record", m.recordKey, "")
	requireEqual(t, "machine of an old record is unknown", r.machines.get("vm-2") == nil, true)
	requireEqual(t, "machines known", r.machinesKnown(), false)
}

func TestDeletableRecordsAreCompactedFirst(t *testing.T) {
	r, store := newTestRecorder(1000)
	for name, key := range map[string]string{"a1": "record-a", "a2": "record-a", "a3": "record-a", "b1": "record-b", "c1": "record-c", "c2": "record-c"} {
		m := r.machines.add(name)
		m.recordKey = key
		m.terminated = name != "a3" && name != "c1"
	}
	for _, write := range []string{"record-b: ", "record-a: a3", "record-c: c1"} {
		r.compact()
		r.compact() // one rewrite at a time
		requireEqual(t, "last write", store.writes[len(store.writes)-1], write)
		store.complete(storage.Applied)
	}
	requireEqual(t, "record of a terminated machine", r.machines.get("a1").recordKey, "")
	requireEqual(t, "record of a live machine", r.machines.get("a3").recordKey, "record-a")
	r.compact()
	requireEqual(t, "writes", len(store.writes), 3)
}
