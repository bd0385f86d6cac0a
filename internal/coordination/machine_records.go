package coordination

import (
	"sort"
	"time"

	"github.com/cobaltvale/cobaltvale/internal/storage"
)

// The machine records name all machines that may hold a task. Every machine is
// named in the state service, under the leader's fence, before it is given
// its first start; so the next leader knows at once which machines have to be
// heard of before recovered tasks may be placed, without waiting for the
// cloud's list, which lags, or for a lease time.

const (
	machinesPerRecord = 100
	nameRoom          = 8                      // what a name takes in a record besides its letters, at the most
	recordInterval    = 250 * time.Millisecond // new machines gather for one record
	reportVaries      = 1.25                   // times their interval, up to which reports come apart
	triesAgain        = 2 * time.Second        // in which workers find a new leader
)

// requestRecord has a machine recorded that was not yet.
func (l *leader) requestRecord(m *machine) {
	if m.record == "" && !m.recording {
		l.unrecorded = append(l.unrecorded, m)
		m.recording = true
	}
}

// recordMachines records the machines that report and have not been recorded yet.
// One that has not come up holds nothing, and is nothing to wait for.
func (l *leader) recordMachines(now time.Duration) {
	if l.recording || len(l.unrecorded) == 0 || now < l.nextRecord || !l.c.session.mayAct(now) {
		return
	}
	n, size := 0, 0
	for _, m := range l.unrecorded[:min(len(l.unrecorded), machinesPerRecord)] {
		if size += len(m.name) + nameRoom; n > 0 && size > l.recordRoom() {
			break
		}
		n++
	}
	batch := append([]*machine(nil), l.unrecorded[:n]...)
	l.unrecorded = append(l.unrecorded[:0], l.unrecorded[n:]...)
	names := make([]string, 0, n)
	for _, m := range batch {
		names = append(names, m.name)
	}
	sort.Strings(names)
	l.recording, l.nextRecord = true, now+recordInterval
	l.records++
	l.c.store.RecordMachines(l.token, l.records, names, func(key string, r storage.TxnResult) {
		if l.c.leader != l {
			return
		}
		l.recording = false
		for _, m := range batch {
			m.recording = false // its next report asks again if need be
			if r.Outcome == storage.Applied {
				m.record = key
			}
		}
	})
}

// recordRoom is what one record may take.
func (l *leader) recordRoom() int { return int(l.c.cfg.Settings.State.Effective().ValueKB * 1024) }

// readRecordedMachines learns the machines that earlier leaders may have given tasks.
func (l *leader) readRecordedMachines() {
	l.recordReads++
	l.c.store.MachineRecords(func(records map[string][]string, revision uint64, ok bool) {
		if l.c.leader != l {
			return
		}
		if !ok {
			l.c.store.After(sessionRetry, func() {
				if l.c.leader == l {
					l.readRecordedMachines()
				}
			})
			return
		}
		now := l.c.now()
		for key, names := range records {
			for _, name := range names {
				if m := l.machines.add(name); m != nil {
					m.record, m.inherited = key, true
					l.countUnaccounted(m, now)
				}
			}
		}
		l.machinesKnown = true
		l.c.log.Info().Int("records", len(records)).Uint64("revision", revision).Int("reads", l.recordReads).Int64("after_ms", (now - l.since).Milliseconds()).
			Msg("records of machines read")
	})
}

// forgetMachines drops what is long gone, and brings one record at a time up
// to date where machines are gone, so that the next leader waits for none of
// them.
func (l *leader) forgetMachines(now time.Duration) {
	left := make(map[string]int)
	size := make(map[string]int)
	gone := make(map[string]int)
	for m := range l.machines.all {
		switch {
		case m.gone && m.record == "" && now-m.heard > tombstoneFor:
			l.machines.remove(m)
		case m.record != "" && m.gone:
			gone[m.record]++
		case m.record != "":
			left[m.record]++
			size[m.record] += len(m.name) + nameRoom
		}
	}
	if l.rewriting || !l.c.session.mayAct(now) {
		return
	}
	// A record that can be dropped comes first, then the one that names most
	// machines in vain.
	worst := ""
	for key, n := range gone {
		if size[key] > l.recordRoom() {
			continue // written under larger limits, it stays until fewer are left
		}
		a, b := left[key] == 0, left[worst] == 0
		if worst == "" || (a && !b) || (a == b && (n > gone[worst] || (n == gone[worst] && key < worst))) {
			worst = key
		}
	}
	if worst != "" {
		l.rewriteRecord(worst)
	}
}

func (l *leader) rewriteRecord(key string) {
	var names []string
	var gone []*machine
	for m := range l.machines.all {
		if m.record == key && m.gone {
			gone = append(gone, m)
		} else if m.record == key {
			names = append(names, m.name)
		}
	}
	sort.Strings(names)
	l.rewriting = true
	l.c.store.RewriteMachineRecord(l.token, key, names, func(r storage.TxnResult) {
		if l.c.leader != l {
			return
		}
		l.rewriting = false
		for _, m := range gone {
			if r.Outcome == storage.Applied {
				m.record = ""
			}
		}
	})
}

// vanished tells whether a machine that only an old record names is not to be
// found: it has not reported within the time in which all others have, and the
// present list lacks it. Most likely it was returned or taken before the last
// leader ended; returning it once more proves it gone. Until then a recovered
// ledger's tasks wait for it.
func (l *leader) vanished(m *machine, now time.Duration) bool {
	if m.reported || !m.inherited || l.c.fleet.listedAt <= l.since {
		return false
	}
	_, listed := l.c.fleet.listed[m.name]
	return !listed && now-l.since > seconds(reportVaries*l.c.cfg.Settings.Workers.HeartbeatIntervalS)+triesAgain
}
