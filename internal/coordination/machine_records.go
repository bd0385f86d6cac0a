package coordination

import (
	"sort"
	"time"

	"github.com/cobaltvale/cobaltvale/internal/storage"
)

const (
	machinesPerRecord = 100
	nameOverheadBytes = 8                      // encoding overhead of a name in a record, at most
	recordInterval    = 250 * time.Millisecond // between writes; machines requested meanwhile share a record
)

// machineRecordStore is the part of the state service that holds machine records.
type machineRecordStore interface {
	RecordMachines(fencingToken uint64, number int, names []string, done func(key string, r storage.TxnResult))
	RewriteMachineRecord(fencingToken uint64, key string, names []string, done func(storage.TxnResult))
	MachineRecords(done func(records map[string][]string, revision uint64, err error))
	After(delay time.Duration, fn func())
}

// machineRecorder maintains the machine records, which name all machines that may hold a
// task. Every machine is named in the state service, in a write guarded by the leader's
// fencing token, before it is sent its first start. So the next leader knows at once which
// machines need a proof before it may place recovered tasks, and need not wait for the
// cloud's list, which lags, or for the lease timeout.
//
// It owns machine.recordKey and recordPending. After stop it changes nothing: the next
// leader reads the result of a write that is in flight then.
type machineRecorder struct {
	store        machineRecordStore
	machines     *machineTable
	fencingToken uint64
	maxBytes     int // limit of one record's size

	unrecorded   []*machine
	nextWrite    time.Duration
	writing      bool
	unanswered   *recordWrite // the write to repeat, as an attempt got no answer; nil: none
	recordCount  int          // new records so far, including those that were not written; numbers the records
	rewriting    bool
	loadAttempts int  // reads of the earlier leaders' records
	loaded       bool // see machinesKnown
	stopped      bool
}

// recordWrite is the write of a new record.
type recordWrite struct {
	number   int // of the record in this term
	machines []*machine
}

// names returns the sorted names of the machines.
func (w *recordWrite) names() []string {
	names := make([]string, 0, len(w.machines))
	for _, m := range w.machines {
		names = append(names, m.name)
	}
	sort.Strings(names)
	return names
}

// loadedRecords is the result of a read of all machine records.
type loadedRecords struct {
	recordCount int
	revision    uint64
	attempts    int // reads, including the failed ones
	machines    []*machine
}

// machinesKnown reports whether all machines that may hold a task are known: the earlier
// leaders' records have been read.
func (r *machineRecorder) machinesKnown() bool { return r.loaded }

// stop ends the recorder when its leader's term ends.
func (r *machineRecorder) stop() { r.stopped = true }

// load reads the machines on which earlier leaders may have started tasks. It retries until a
// read succeeds, then calls done.
func (r *machineRecorder) load(done func(loadedRecords)) {
	r.loadAttempts++
	r.store.MachineRecords(func(records map[string][]string, revision uint64, err error) {
		if r.stopped {
			return
		}
		if err != nil {
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

// addRecorded adds the machines that records name to the machine table and returns them.
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

// requestRecord queues a machine to be recorded, unless it is recorded or queued already.
func (r *machineRecorder) requestRecord(m *machine) {
	if m.recordKey == "" && !m.recordPending {
		r.unrecorded = append(r.unrecorded, m)
		m.recordPending = true
	}
}

// writeIfDue writes a record of requested machines if recordInterval has passed and no write
// is in flight. A machine is requested only once it has sent a heartbeat: one that has not
// booted holds no task, and the next leader need not wait for it.
func (r *machineRecorder) writeIfDue(now time.Duration) {
	if r.writing || now < r.nextWrite {
		return
	}
	write := r.unanswered
	if write == nil {
		write = r.nextRecord()
	}
	if write == nil {
		return
	}
	r.writing, r.nextWrite = true, now+recordInterval
	r.store.RecordMachines(r.fencingToken, write.number, write.names(), func(key string, result storage.TxnResult) {
		if !r.stopped {
			r.handleWritten(write, key, result.Outcome)
		}
	})
}

// nextRecord returns the write of a record of machines that are requested, or nil.
func (r *machineRecorder) nextRecord() *recordWrite {
	if len(r.unrecorded) == 0 {
		return nil
	}
	r.recordCount++
	return &recordWrite{number: r.recordCount, machines: r.takeBatch()}
}

// handleWritten handles the outcome of an attempt to write a record. Once an attempt got no answer,
// the record may exist, and only under its own key is it rewritten when machines are gone. So a
// rejection is not taken for the outcome then.
func (r *machineRecorder) handleWritten(write *recordWrite, key string, outcome storage.Outcome) {
	r.writing = false
	if outcome == storage.Unknown || (outcome == storage.Rejected && r.unanswered == write) {
		r.unanswered = write
		return
	}
	r.unanswered = nil
	for _, m := range write.machines {
		m.recordPending = false // after a failed write its next heartbeat requests it again
		if outcome == storage.Applied {
			m.recordKey = key
		}
	}
}

// takeBatch removes and returns as many of the requested machines as fit into one record.
func (r *machineRecorder) takeBatch() []*machine {
	count, size := 0, 0
	for _, m := range r.unrecorded[:min(len(r.unrecorded), machinesPerRecord)] {
		if size += len(m.name) + nameOverheadBytes; count > 0 && size > r.maxBytes {
			break
		}
		count++
	}
	batch := append([]*machine(nil), r.unrecorded[:count]...)
	r.unrecorded = append(r.unrecorded[:0], r.unrecorded[count:]...)
	return batch
}

// recordCounts counts the live and the terminated machines that a record names.
type recordCounts struct {
	live, terminated int
	liveBytes        int // size of the record without the terminated machines, at most
}

// countByRecord counts the machines that each record names, by record key.
func (r *machineRecorder) countByRecord() map[string]recordCounts {
	byRecord := make(map[string]recordCounts)
	for m := range r.machines.all {
		if m.recordKey == "" {
			continue
		}
		c := byRecord[m.recordKey]
		if m.terminated {
			c.terminated++
		} else {
			c.live++
			c.liveBytes += len(m.name) + nameOverheadBytes
		}
		byRecord[m.recordKey] = c
	}
	return byRecord
}

// compact rewrites one record that names terminated machines, so that the next leader does not
// wait for them. A record that names only terminated machines comes first, as it can be
// deleted; then the one with the most terminated machines.
func (r *machineRecorder) compact() {
	if r.rewriting {
		return
	}
	bestKey, best := "", recordCounts{}
	for key, c := range r.countByRecord() {
		if c.terminated == 0 || c.liveBytes > r.maxBytes {
			continue // written under a larger limit; it stays until its live machines fit
		}
		if bestKey == "" || c.compactsBefore(key, best, bestKey) {
			bestKey, best = key, c
		}
	}
	if bestKey != "" {
		r.rewrite(bestKey)
	}
}

// compactsBefore reports whether a record is compacted before another.
func (c recordCounts) compactsBefore(key string, other recordCounts, otherKey string) bool {
	switch deletable, otherDeletable := c.live == 0, other.live == 0; {
	case deletable != otherDeletable:
		return deletable
	case c.terminated != other.terminated:
		return c.terminated > other.terminated
	}
	return key < otherKey
}

// rewrite writes a record without its terminated machines.
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
