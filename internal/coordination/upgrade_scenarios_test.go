package coordination

import (
	"fmt"
	"testing"
	"time"

	"github.com/cobaltvale/cobaltvale/internal/simtest"
)

// loweredStateLimits announces, in the settings of this version, the limits that the state
// service will have later; see lowerStateLimits.
const loweredStateLimits = `
[settings.state.next]
write_rps = 60.0
value_kb = 1.0
txn_ops = 3
`

// lowerStateLimits makes the state service enforce loweredStateLimits from now on.
func (scenario *faultScenario) lowerStateLimits() {
	scenario.State.Limits = &simtest.StateLimits{MaxValueBytes: 1024, MaxOperations: 3, WriteRPS: 60, WriteBudget: 60, BudgetUpdatedAt: scenario.Now()}
}

// upgrade stops a member that runs the previous version and starts it with this version.
func (scenario *faultScenario) upgrade(name string) {
	scenario.Crash(name)
	scenario.Run(2 * time.Second)
	delete(scenario.PreviousVersion, name)
	scenario.Start(name)
}

// submitArrays submits one or two jobs a second, some of them large, and cancels some.
func (scenario *faultScenario) submitArrays(second int) {
	scenario.submit(scenario.randomNode(), 1+scenario.rand.IntN(6), "crew", []string{"red", "blue"}[second%2])
	if second%7 == 0 {
		scenario.submit(scenario.randomNode(), 40, "crew", "blue", "vcpus", 1.0)
	}
	if second%4 == 0 {
		scenario.cancelRandomJobs(1)
	}
}

// Members of the previous and of this version run together in an upgrade, one member after the
// other. Members of either version lead, own shards and forward heartbeats, and read what the
// other version wrote. A member that crashes before its upgrade restarts with the previous
// version, also after the others were upgraded. Once all run this version, the state service
// lowers its limits and services are submitted.
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
	scenario.setTaskDurations(2 * time.Second)
	previousLed, currentLed := false, false
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
		if lead := scenario.actingLeader(); lead != nil {
			for _, other := range scenario.Members {
				mixed := scenario.Nodes[other].Up && scenario.PreviousVersion[other] != scenario.PreviousVersion[lead.Name]
				previousLed = previousLed || (mixed && scenario.PreviousVersion[lead.Name])
				currentLed = currentLed || (mixed && !scenario.PreviousVersion[lead.Name])
			}
		}
		if s < 64 {
			scenario.submitArrays(s)
		}
		switch s {
		case 8:
			scenario.upgrade(order[0])
		case 14: // a crash before the upgrade: it restarts with the previous version
			scenario.restart(order[1])
		case 18:
			scenario.loseTransactions(0.2, seed%3 == 0)
		case 20:
			scenario.upgrade(order[1])
		case 24:
			scenario.loseTransactions(0, true)
		case 26: // the last member of the previous version stops, so that one of this version leads
			scenario.Crash(order[2])
		case 32: // it returns among members of this version, and from second 36 to 42 it is the only one up
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
	scenario.runScript(76, script)
	scenario.recoverAndCheck()
	services := 0
	for id := range scenario.knownStatus {
		if scenario.isService(id) {
			services++
		}
	}
	if !previousLed || !currentLed || services == 0 {
		t.Fatalf("while both versions ran, a member of the previous version led: %v, one of this version: %v; services: %d", previousLed, currentLed, services)
	}
}

// The state service lowers its limits while jobs are submitted, finish and are cancelled, and
// while a shard is acquired. Nothing that this version writes may exceed the new limits, no
// write that it has begun may get stuck, and no job may be lost to writes that the state
// service rejects for their rate.
func TestStateLimitsLoweredDuringOperation(t *testing.T) {
	for _, takeover := range []bool{false, true} {
		for step := range 6 {
			t.Run(fmt.Sprint("takeover ", takeover, ", step ", step), func(t *testing.T) {
				t.Parallel()
				scenario := newFaultScenarioIn(t, newUpgradeSimulation(t, loweredStateLimits, nil, "a", "b", "c"), uint64(step), 8)
				scenario.setTaskDurations(time.Second)
				scenario.runScript(16, func(s int) {
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
						scenario.Advance(2 * time.Second) // by now other members acquire its shard
					}
					scenario.Advance(time.Duration(step) * 100 * time.Millisecond)
					scenario.lowerStateLimits()
				})
				scenario.recoverAndCheck()
				requireEqual(t, "limits are enforced", scenario.State.Limits != nil, true)
			})
		}
	}
}
