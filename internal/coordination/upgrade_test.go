package coordination

import (
	"fmt"
	"testing"
	"time"
)

// lowerLimits are the limits that the state service has from some moment on, as the
// settings of this version announce them.
const lowerLimits = `
[settings.state.next]
write_rps = 60.0
value_kb = 1.0
txn_ops = 3
`

// lower has the state service hold to lowerLimits from now on.
func (d *day) lower() {
	d.state.limits = &stateLimits{valueBytes: 1024, ops: 3, writeRPS: 60, level: 60, at: d.now}
}

// upgrade ends a member and starts it with this version.
func (d *day) upgrade(name string) {
	d.crash(name)
	d.run(2 * time.Second)
	delete(d.before, name)
	d.start(name)
}

// arrays comes with a job or two a second, some large, and some cancellations.
func (d *day) arrays(second int) {
	d.submit(d.anyNode(), 1+d.rand.IntN(6), "crew", []string{"red", "blue"}[second%2])
	if second%7 == 0 {
		d.submit(d.anyNode(), 40, "crew", "blue", "vcpus", 1.0)
	}
	if second%4 == 0 {
		d.cancelSome(1)
	}
}

// Old and new version side by side: the old one leads, owns and relays, and so does
// the new one; each takes up what the other wrote. A process that ends before its
// turn comes back old, also after its neighbours were replaced. Once all are new
// the state service lowers its limits, and services come.
func TestVersionsSideBySide(t *testing.T) {
	for seed := range uint64(6) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			t.Parallel()
			versionsSideBySide(t, seed)
		})
	}
}

func versionsSideBySide(t *testing.T, seed uint64) {
	t.Helper()
	names := []string{"a", "b", "c"}
	d := newDayIn(t, newWorldOf(t, lowerLimits, names, names...), seed, 8)
	d.takesAll(2 * time.Second)
	oldLed, newLed := false, false
	order := []string{d.follower().name, "", ""}
	if seed%2 == 0 {
		order[0] = d.leader().name
	}
	for _, name := range names {
		if name != order[0] {
			order = append(order[:1], append([]string{name}, order[1:2]...)...)
		}
	}
	script := func(s int) {
		if lead := d.leads(); lead != nil {
			for _, o := range d.names {
				beside := d.nodes[o].up && d.before[o] != d.before[lead.name]
				oldLed = oldLed || (beside && d.before[lead.name])
				newLed = newLed || (beside && !d.before[lead.name])
			}
		}
		if s < 64 {
			d.arrays(s)
		}
		switch s {
		case 8:
			d.upgrade(order[0])
		case 14: // one ends before its turn, and comes back old
			d.restart(order[1])
		case 18:
			d.lose(0.2, seed%3 == 0)
		case 20:
			d.upgrade(order[1])
		case 24:
			d.lose(0, true)
		case 26: // the last old one ends, so that a new one leads
			d.crash(order[2])
		case 32: // it is back beside new neighbours, and for a while alone
			d.start(order[2])
		case 36:
			d.crash(order[0])
			d.crash(order[1])
		case 42:
			d.start(order[0])
			d.start(order[1])
		case 48:
			d.upgrade(order[2])
		case 56:
			d.lower()
		case 60:
			d.restart(d.anyNode().name)
		}
		if s >= 54 && s < 68 && s%3 == 0 {
			d.submitService(d.anyNode(), 1+d.rand.IntN(3), "crew", "blue", "apart", s%2 == 0)
		}
	}
	d.play(76, script)
	d.end()
	services := 0
	for id := range d.told {
		if d.isService(id) {
			services++
		}
	}
	if !oldLed || !newLed || services == 0 {
		t.Fatalf("an old member led beside new ones: %v, a new one beside old ones: %v, services: %d", oldLed, newLed, services)
	}
}

// The limits fall while jobs begin, finish and end, and while a ledger is taken up:
// nothing that this version writes is beyond them, nothing that it has begun to
// write gets stuck, and the rate's refusals cost nobody a job.
func TestLimitsFallInTheMiddle(t *testing.T) {
	for _, takeover := range []bool{false, true} {
		for step := range 6 {
			t.Run(fmt.Sprint("takeover ", takeover, ", step ", step), func(t *testing.T) {
				t.Parallel()
				d := newDayIn(t, newWorldOf(t, lowerLimits, nil, "a", "b", "c"), uint64(step), 8)
				d.takesAll(time.Second)
				d.play(16, func(s int) {
					for range 5 {
						d.arrays(s)
					}
					if s%4 == 1 {
						d.submitService(d.anyNode(), 2, "crew", "blue")
					}
					if s != 8 {
						return
					}
					if takeover {
						d.crash(d.leader().name)
						d.advance(2 * time.Second) // others take its ledger up about now
					}
					d.advance(time.Duration(step) * 100 * time.Millisecond)
					d.lower()
				})
				d.end()
				want(t, "limits hold", d.state.limits != nil, true)
			})
		}
	}
}
