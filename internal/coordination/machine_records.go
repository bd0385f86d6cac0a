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
	nameOverheadBytes = 8                      // what a name takes in a record besides its letters, at the most
	recordInterval    = 250 * time.Millisecond // new machines gather for one record
	heartbeatJitter   = 1.25                   // times their interval, up to which reports come apart
	leaderSearchTime  = 2 * time.Second        // in which workers find a new leader
)

// requestRecord has a machine recorded that was not yet.
func (l *leader) requestRecord(m *machine) {
	if m.recordKey == "" && !m.recordPending {
		l.unrecordedMachines = append(l.unrecordedMachines, m)
		m.recordPending = true
	}
}

// recordMachines records the machines that report and have not been recorded yet.
// One that has not come up holds nothing, and is nothing to wait for.
func (l *leader) recordMachines(now time.Duration) {
	if l.recordingMachines || len(l.unrecordedMachines) == 0 || now < l.nextMachineRecord || !l.c.election.MayAct(now) {
		return
	}
	n, size := 0, 0
	for _, m := range l.unrecordedMachines[:min(len(l.unrecordedMachines), machinesPerRecord)] {
		if size += len(m.name) + nameOverheadBytes; n > 0 && size > l.recordBytes() {
			break
		}
		n++
	}
	batch := append([]*machine(nil), l.unrecordedMachines[:n]...)
	l.unrecordedMachines = append(l.unrecordedMachines[:0], l.unrecordedMachines[n:]...)
	names := make([]string, 0, n)
	for _, m := range batch {
		names = append(names, m.name)
	}
	sort.Strings(names)
	l.recordingMachines, l.nextMachineRecord = true, now+recordInterval
	l.machineRecordCount++
	l.c.store.RecordMachines(l.fencingToken, l.machineRecordCount, names, func(key string, r storage.TxnResult) {
		if l.c.leader != l {
			return
		}
		l.recordingMachines = false
		for _, m := range batch {
			m.recordPending = false // its next report asks again if need be
			if r.Outcome == storage.Applied {
				m.recordKey = key
			}
		}
	})
}

// recordBytes is what one record may take.
func (l *leader) recordBytes() int { return int(l.c.cfg.Settings.State.Effective().ValueKB * 1024) }

// readRecordedMachines learns the machines that earlier leaders may have given tasks.
func (l *leader) readRecordedMachines() {
	l.machineRecordReads++
	l.c.store.MachineRecords(func(records map[string][]string, revision uint64, ok bool) {
		if l.c.leader != l {
			return
		}
		if !ok {
			l.c.store.After(stateRetryInterval, func() {
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
					m.recordKey, m.fromEarlierLeader = key, true
					l.usage.updateUnreconciled(m, l.c.cloud.Catalog(), now)
				}
			}
		}
		l.machinesKnown = true
		l.c.log.Info().Int("records", len(records)).Uint64("revision", revision).Int("reads", l.machineRecordReads).Int64("after_ms", (now - l.electedAt).Milliseconds()).
			Msg("records of machines read")
	})
}

// removeTerminated drops what is long gone, and brings one record at a time up
// to date where machines are gone, so that the next leader waits for none of
// them.
func (l *leader) removeTerminated(now time.Duration) {
	left := make(map[string]int)
	size := make(map[string]int)
	gone := make(map[string]int)
	for m := range l.machines.all {
		switch {
		case m.terminated && m.recordKey == "" && now-m.lastHeartbeat > tombstoneTTL:
			l.machines.remove(m)
		case m.recordKey != "" && m.terminated:
			gone[m.recordKey]++
		case m.recordKey != "":
			left[m.recordKey]++
			size[m.recordKey] += len(m.name) + nameOverheadBytes
		}
	}
	if l.rewritingMachineRecords || !l.c.election.MayAct(now) {
		return
	}
	// A record that can be dropped comes first, then the one that names most
	// machines in vain.
	worst := ""
	for key, n := range gone {
		if size[key] > l.recordBytes() {
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
		if m.recordKey == key && m.terminated {
			gone = append(gone, m)
		} else if m.recordKey == key {
			names = append(names, m.name)
		}
	}
	sort.Strings(names)
	l.rewritingMachineRecords = true
	l.c.store.RewriteMachineRecord(l.fencingToken, key, names, func(r storage.TxnResult) {
		if l.c.leader != l {
			return
		}
		l.rewritingMachineRecords = false
		for _, m := range gone {
			if r.Outcome == storage.Applied {
				m.recordKey = ""
			}
		}
	})
}

// missingFromCloud tells whether a machine that only an old record names is not to be
// found: it has not reported within the time in which all others have, and the
// present list lacks it. Most likely it was returned or taken before the last
// leader ended; returning it once more proves it gone. Until then a recovered
// ledger's tasks wait for it.
func (l *leader) missingFromCloud(m *machine, now time.Duration) bool {
	if m.heartbeatSeen || !m.fromEarlierLeader || l.c.cloud.ListedAt() <= l.electedAt {
		return false
	}
	_, inList := l.c.cloud.Listed(m.name)
	return !inList && now-l.electedAt > seconds(heartbeatJitter*l.c.cfg.Settings.Workers.HeartbeatIntervalS)+leaderSearchTime
}
