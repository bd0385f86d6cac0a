package coordination

import (
	"sort"
	"time"

	"github.com/cobaltvale/cobaltvale/internal/bookkeeping"
)

// The roster is the set of machines that may hold a task. Every machine is
// named in the state service, under the leader's fence, before it is given
// its first start; so the next leader knows at once which machines have to be
// heard of before recovered tasks may be placed, without waiting for the
// cloud's list, which lags, or for a lease time.

const namesPerRecord = 100

// recordMachines names the machines that report and have not been named yet.
// One that has not come up holds nothing, and is nothing to wait for.
func (l *leader) recordMachines() {
	if !l.c.session.mayAct(l.c.now()) {
		return
	}
	var names []string
	for name, m := range l.machines {
		if m.record == "" && !m.recording && !m.gone && m.reported {
			names = append(names, name)
		}
	}
	sort.Strings(names)
	for len(names) > 0 {
		n := min(len(names), namesPerRecord)
		l.writeRecord(names[:n])
		names = names[n:]
	}
}

func (l *leader) writeRecord(names []string) {
	for _, name := range names {
		l.machines[name].recording = true
	}
	l.records++
	l.c.store.RecordMachines(l.token, l.records, names, func(key string, r bookkeeping.TxnResult) {
		if l.c.leader != l {
			return
		}
		for _, name := range names {
			if m := l.machines[name]; m != nil {
				m.recording = false
				if r.Outcome == bookkeeping.Applied {
					m.record = key
				}
			}
		}
	})
}

// readRoster learns the machines that earlier leaders may have given tasks.
func (l *leader) readRoster() {
	l.c.store.RecordedMachines(func(records map[string][]string, ok bool) {
		if l.c.leader != l {
			return
		}
		if !ok {
			l.c.store.After(sessionRetry, func() {
				if l.c.leader == l {
					l.readRoster()
				}
			})
			return
		}
		for key, names := range records {
			for _, name := range names {
				m := l.machines[name]
				if m == nil {
					m = &machine{name: name}
					l.machines[name] = m
				}
				m.record = key
			}
		}
		l.roster = true
	})
}

// forgetMachines drops what is long gone, and brings the records of which
// machines are gone up to date, so that the next leader waits for none of
// them.
func (l *leader) forgetMachines(now time.Duration) {
	for name, m := range l.machines {
		if m.gone && m.record == "" && now-m.heard > tombstoneFor {
			delete(l.machines, name)
		}
	}
	left := make(map[string][]string)
	outdated := make(map[string]bool)
	for name, m := range l.machines {
		if m.record == "" {
			continue
		}
		if m.gone {
			outdated[m.record] = true
		} else {
			left[m.record] = append(left[m.record], name)
		}
	}
	for key := range outdated {
		if l.rewriting[key] {
			continue
		}
		l.rewriting[key] = true
		l.c.store.RewriteRecord(l.token, key, left[key], func(r bookkeeping.TxnResult) {
			if l.c.leader != l {
				return
			}
			delete(l.rewriting, key)
			if r.Outcome != bookkeeping.Applied {
				return
			}
			kept := make(map[string]bool, len(left[key]))
			for _, name := range left[key] {
				kept[name] = true
			}
			for name, m := range l.machines {
				if m.record == key && !kept[name] {
					m.record = ""
				}
			}
		})
	}
}

// vanished tells whether a machine that only an old record names is not to be
// found: it does not report, and no list has it. Most likely it was returned
// just before the last leader ended; returning it once more proves it gone.
func (l *leader) vanished(m *machine, now time.Duration) bool {
	return !m.reported && m.rentedAt == 0 && m.record != "" &&
		now-l.since > l.c.silenceAfter() && l.c.fleet.listedAt > l.since
}
