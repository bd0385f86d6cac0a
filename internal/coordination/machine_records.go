package coordination

import (
	"sort"
	"time"

	"github.com/cobaltvale/cobaltvale/internal/storage"
)

const (
	machinesPerRecord = 100
	nameOverheadBytes = 8                      // what a name takes in a record besides its letters, at the most
	recordInterval    = 250 * time.Millisecond // new machines gather for one record
)

// machineRecordStore is the part of the state service that holds machine records.
type machineRecordStore interface {
	RecordMachines(fencingToken uint64, number int, names []string, done func(key string, r storage.TxnResult))
	RewriteMachineRecord(fencingToken uint64, key string, names []string, done func(storage.TxnResult))
	MachineRecords(done func(records map[string][]string, revision uint64, ok bool))
	After(delay time.Duration, fn func())
}

// machineRecorder keeps the machine records, which name all machines that may hold a
// task. Every machine is named in the state service, under the leader's fencing
// token, before it is given its first start; so the next leader knows at once which
// machines have to be heard of before recovered tasks may be placed, without waiting
// for the cloud's list, which lags, or for a lease time.
//
// It owns machine.recordKey and recordPending. After stop it changes nothing any
// more: what is on its way then is the next leader's to read.
type machineRecorder struct {
	store        machineRecordStore
	machines     *machineTable
	fencingToken uint64
	maxBytes     int // of one record

	unrecorded     []*machine
	nextWrite      time.Duration
	writing        bool
	recordsWritten int // records so far, which numbers them
	rewriting      bool
	loadAttempts   int  // how often earlier leaders' records were asked for
	loaded         bool // see machinesKnown
	stopped        bool
}

// loadedRecords is what a read of all machine records found.
type loadedRecords struct {
	recordCount int
	revision    uint64
	attempts    int // that it took
	machines    []*machine
}

// machinesKnown tells whether every machine is known that may hold a task.
func (r *machineRecorder) machinesKnown() bool { return r.loaded }

// stop ends the recorder with its leader's term.
func (r *machineRecorder) stop() { r.stopped = true }

// load learns the machines that earlier leaders may have given tasks. It tries until
// it has read them and then calls done.
func (r *machineRecorder) load(done func(loadedRecords)) {
	r.loadAttempts++
	r.store.MachineRecords(func(records map[string][]string, revision uint64, ok bool) {
		if r.stopped {
			return
		}
		if !ok {
			r.store.After(stateRetryInterval, func() {
				if !r.stopped {
					r.load(done)
				}
			})
			return
		}
		found := r.addRecorded(records)
		r.loaded = true
		done(loadedRecords{recordCount: len(records), revision: revision, attempts: r.loadAttempts, machines: found})
	})
}

// addRecorded makes the machines known that records name.
func (r *machineRecorder) addRecorded(records map[string][]string) (found []*machine) {
	for key, names := range records {
		for _, name := range names {
			if m := r.machines.add(name); m != nil {
				m.recordKey, m.recordedByEarlierLeader = key, true
				found = append(found, m)
			}
		}
	}
	return found
}

// request has a machine recorded that was not yet.
func (r *machineRecorder) requestRecord(m *machine) {
	if m.recordKey == "" && !m.recordPending {
		r.unrecorded = append(r.unrecorded, m)
		m.recordPending = true
	}
}

// writeIfDue records the machines that were requested, when a record is due. One that
// has not come up holds nothing, and is nothing to wait for.
func (r *machineRecorder) writeIfDue(now time.Duration) {
	if r.writing || len(r.unrecorded) == 0 || now < r.nextWrite {
		return
	}
	batch := r.takeBatch()
	names := make([]string, 0, len(batch))
	for _, m := range batch {
		names = append(names, m.name)
	}
	sort.Strings(names)
	r.writing, r.nextWrite = true, now+recordInterval
	r.recordsWritten++
	r.store.RecordMachines(r.fencingToken, r.recordsWritten, names, func(key string, result storage.TxnResult) {
		if r.stopped {
			return
		}
		r.writing = false
		for _, m := range batch {
			m.recordPending = false // its next heartbeat asks again if need be
			if result.Outcome == storage.Applied {
				m.recordKey = key
			}
		}
	})
}

// takeBatch removes as many of the requested machines as fit into one record.
func (r *machineRecorder) takeBatch() []*machine {
	n, size := 0, 0
	for _, m := range r.unrecorded[:min(len(r.unrecorded), machinesPerRecord)] {
		if size += len(m.name) + nameOverheadBytes; n > 0 && size > r.maxBytes {
			break
		}
		n++
	}
	batch := append([]*machine(nil), r.unrecorded[:n]...)
	r.unrecorded = append(r.unrecorded[:0], r.unrecorded[n:]...)
	return batch
}

// recordCounts is how many machines a record names that are there, and how many
// that are terminated.
type recordCounts struct {
	live, terminated int
	liveBytes        int // of the record without the terminated ones
}

// contents counts what each record names.
func (r *machineRecorder) countByRecord() map[string]recordCounts {
	contents := make(map[string]recordCounts)
	for m := range r.machines.all {
		if m.recordKey == "" {
			continue
		}
		c := contents[m.recordKey]
		if m.terminated {
			c.terminated++
		} else {
			c.live++
			c.liveBytes += len(m.name) + nameOverheadBytes
		}
		contents[m.recordKey] = c
	}
	return contents
}

// compact brings one record up to date that names terminated machines, so that the
// next leader waits for none of them. A record that can be dropped comes first, then
// the one that names most machines in vain.
func (r *machineRecorder) compact() {
	if r.rewriting {
		return
	}
	worst, of := "", recordCounts{}
	for key, c := range r.countByRecord() {
		if c.terminated == 0 || c.liveBytes > r.maxBytes {
			continue // written under larger limits, it stays until fewer are left
		}
		if worst == "" || c.compactsBefore(key, of, worst) {
			worst, of = key, c
		}
	}
	if worst != "" {
		r.rewrite(worst)
	}
}

// before tells whether a record is compacted before another.
func (c recordCounts) compactsBefore(key string, other recordCounts, otherKey string) bool {
	switch droppable, otherDroppable := c.live == 0, other.live == 0; {
	case droppable != otherDroppable:
		return droppable
	case c.terminated != other.terminated:
		return c.terminated > other.terminated
	}
	return key < otherKey
}

// rewrite leaves out of a record the machines that are terminated.
func (r *machineRecorder) rewrite(key string) {
	var names []string
	var terminated []*machine
	for m := range r.machines.all {
		if m.recordKey == key && m.terminated {
			terminated = append(terminated, m)
		} else if m.recordKey == key {
			names = append(names, m.name)
		}
	}
	sort.Strings(names)
	r.rewriting = true
	r.store.RewriteMachineRecord(r.fencingToken, key, names, func(result storage.TxnResult) {
		if r.stopped {
			return
		}
		r.rewriting = false
		for _, m := range terminated {
			if result.Outcome == storage.Applied {
				m.recordKey = ""
			}
		}
	})
}
