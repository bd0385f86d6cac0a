package coordination

import (
	"fmt"
	"testing"
	"time"

	"github.com/cobaltvale/cobaltvale/internal/simtest"
)

// loweredStateLimits are the limits that the state service has from some moment on, as the
// settings of this version announce them.
const loweredStateLimits = `
[settings.state.next]
write_rps = 60.0
value_kb = 1.0
txn_ops = 3
`

// lowerStateLimits has the state service hold to lowerLimits from now on.
func (scenario *faultScenario) lowerStateLimits() {
	scenario.State.Limits = &simtest.StateLimits{ValueBytes: 1024, Operations: 3, WriteRPS: 60, WriteBudget: 60, BudgetAt: scenario.Now()}
}

// upgrade ends a member and starts it with this version.
func (scenario *faultScenario) upgrade(name string) {
	scenario.Crash(name)
	scenario.Run(2 * time.Second)
	delete(scenario.PreviousVersion, name)
	scenario.Start(name)
}

// submitArrays comes with a job or two a second, some large, and some cancellations.
func (scenario *faultScenario) submitArrays(second int) {
	scenario.submit(scenario.randomNode(), 1+scenario.rand.IntN(6), "crew", []string{"red", "blue"}[second%2])
	if second%7 == 0 {
		scenario.submit(scenario.randomNode(), 40, "crew", "blue", "vcpus", 1.0)
	}
	if second%4 == 0 {
		scenario.cancelRandomJobs(1)
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
			testVersionsSideBySide(t, seed)
		})
	}
}

func testVersionsSideBySide(t *testing.T, seed uint64) {
	t.Helper()
	names := []string{"a", "b", "c"}
	scenario := newFaultScenarioIn(t, newUpgradeSimulation(t, loweredStateLimits, names, names...), seed, 8)
	scenario.setTaskDuration(2 * time.Second)
	oldLed, newLed := false, false
	order := []string{scenario.Follower().Name, "", ""}
	if seed%2 == 0 {
		order[0] = scenario.Leader().Name
	}
	for _, name := range names {
		if name != order[0] {
			order = append(order[:1], append([]string{name}, order[1:2]...)...)
		}
	}
	script := func(s int) {
		if lead := scenario.activeLeader(); lead != nil {
			for _, other := range scenario.Names {
				beside := scenario.Nodes[other].Up && scenario.PreviousVersion[other] != scenario.PreviousVersion[lead.Name]
				oldLed = oldLed || (beside && scenario.PreviousVersion[lead.Name])
				newLed = newLed || (beside && !scenario.PreviousVersion[lead.Name])
			}
		}
		if s < 64 {
			scenario.submitArrays(s)
		}
		switch s {
		case 8:
			scenario.upgrade(order[0])
		case 14: // one ends before its turn, and comes back old
			scenario.restart(order[1])
		case 18:
			scenario.loseTransactions(0.2, seed%3 == 0)
		case 20:
			scenario.upgrade(order[1])
		case 24:
			scenario.loseTransactions(0, true)
		case 26: // the last old one ends, so that a new one leads
			scenario.Crash(order[2])
		case 32: // it is back beside new neighbours, and for a while alone
			scenario.Start(order[2])
		case 36:
			scenario.Crash(order[0])
			scenario.Crash(order[1])
		case 42:
			scenario.Start(order[0])
			scenario.Start(order[1])
		case 48:
			scenario.upgrade(order[2])
		case 56:
			scenario.lowerStateLimits()
		case 60:
			scenario.restart(scenario.randomNode().Name)
		}
		if s >= 54 && s < 68 && s%3 == 0 {
			scenario.submitService(scenario.randomNode(), 1+scenario.rand.IntN(3), "crew", "blue", "apart", s%2 == 0)
		}
	}
	scenario.play(76, script)
	scenario.recoverAndCheck()
	services := 0
	for id := range scenario.knownStatus {
		if scenario.isService(id) {
			services++
		}
	}
	if !oldLed || !newLed || services == 0 {
		t.Fatalf("an old member led beside new ones: %v, a new one beside old ones: %v, services: %d", oldLed, newLed, services)
	}
}

// The limits fall while jobs begin, finish and end, and while a shard is acquired:
// nothing that this version writes is beyond them, nothing that it has begun to
// write gets stuck, and the rate's refusals cost nobody a job.
func TestStateLimitsLoweredDuringOperation(t *testing.T) {
	for _, takeover := range []bool{false, true} {
		for step := range 6 {
			t.Run(fmt.Sprint("takeover ", takeover, ", step ", step), func(t *testing.T) {
				t.Parallel()
				scenario := newFaultScenarioIn(t, newUpgradeSimulation(t, loweredStateLimits, nil, "a", "b", "c"), uint64(step), 8)
				scenario.setTaskDuration(time.Second)
				scenario.play(16, func(s int) {
					for range 5 {
						scenario.submitArrays(s)
					}
					if s%4 == 1 {
						scenario.submitService(scenario.randomNode(), 2, "crew", "blue")
					}
					if s != 8 {
						return
					}
					if takeover {
						scenario.Crash(scenario.Leader().Name)
						scenario.Advance(2 * time.Second) // others acquire its shard about now
					}
					scenario.Advance(time.Duration(step) * 100 * time.Millisecond)
					scenario.lowerStateLimits()
				})
				scenario.recoverAndCheck()
				requireEqual(t, "limits hold", scenario.State.Limits != nil, true)
			})
		}
	}
}
