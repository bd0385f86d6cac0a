package coordination

import (
	"fmt"
	"os"
	"strconv"
	"testing"
	"time"

	"github.com/cobaltvale/cobaltvale/internal/election"
)

// takeoverSeeds is the number of scenarios that TestTakeoverScenarios runs. The environment
// variable TAKEOVER_DAYS overrides it, for long runs by hand.
const takeoverSeeds = 48

// Leaders and owners change while the state service is slow, rejects some reads or all requests of
// one member, streams between members open late, and members are paused. All rules are checked ten
// times a second, and each forwarded status for completeness. Each seed draws its own combination
// of faults; every fourth has members of the previous version.
func TestTakeoverScenarios(t *testing.T) {
	runSeeds(t, "TAKEOVER_DAYS", takeoverSeeds, runTakeoverScenario)
}

// runSeeds runs a scenario with the seeds from 0 on, each as a parallel subtest. The environment
// variable overrides the number of seeds.
func runSeeds(t *testing.T, variable string, seeds int, run func(*testing.T, uint64)) {
	t.Helper()
	if n, err := strconv.Atoi(os.Getenv(variable)); err == nil {
		seeds = n
	}
	for seed := range uint64(seeds) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			t.Parallel()
			run(t, seed)
		})
	}
}

func runTakeoverScenario(t *testing.T, seed uint64) {
	t.Helper()
	names := []string{"a", "b", "c"}
	var previousVersion []string
	if seed%4 == 3 {
		previousVersion = names[:1+seed/4%3]
	}
	sim := prepareSimulation(t, "", previousVersion, names...)
	sim.Tuning.QuotaEscrow = seed%3 == 1 && len(previousVersion) == 0
	sim.StartAll()
	scenario := &takeoverScenario{faultScenario: newFaultScenarioIn(t, sim, seed, 8)}
	scenario.setTaskDurations(time.Duration(10+scenario.rand.IntN(30)) * time.Second)
	scenario.runScript(70, func(second int) {
		if second < 40 && second%2 == 0 {
			scenario.submit(scenario.randomNode(), 1+scenario.rand.IntN(4), "crew", []string{"red", "blue"}[second/2%2])
		}
		if second%8 == 7 {
			scenario.submitService(scenario.randomNode(), 1, "crew", "blue")
		}
		if second%6 == 5 {
			scenario.cancelRandomJobs(1)
		}
		switch {
		case second < 6 || second >= 60:
		case second%9 == 0:
			scenario.beginSlowTakeover()
		case second%9 < 3:
			scenario.beginRandomFault()
		}
	})
	scenario.State.HiddenPrefix, scenario.State.ResponseDelay = "", nil
	scenario.resumeAll()
	scenario.recoverAndCheck()
}

// takeoverScenario is a scenario of TestTakeoverScenarios, with methods that begin random faults
// and schedule their ends.
type takeoverScenario struct{ *faultScenario }

// callAfter schedules a call after a random delay from minDelay to maxDelay.
func (scenario *takeoverScenario) callAfter(minDelay, maxDelay time.Duration, fn func()) {
	scenario.delayedCalls = append(scenario.delayedCalls, delayedCall{scenario.Now() + minDelay + time.Duration(scenario.rand.Int64N(int64(maxDelay-minDelay)+1)), fn})
}

// beginSlowTakeover crashes the leader or all members, or has the leader resign, while reads of
// the next leader are slow or rejected and streams between members are closed.
func (scenario *takeoverScenario) beginSlowTakeover() {
	if scenario.rand.IntN(2) == 0 {
		scenario.hideListings()
	} else {
		scenario.delayStateResponses()
	}
	for range scenario.rand.IntN(3) {
		scenario.disconnectLink()
	}
	leader := scenario.actingLeader()
	switch scenario.rand.IntN(4) {
	case 0:
		for _, name := range scenario.Members {
			scenario.crashForSeconds(name)
		}
	case 1:
		if leader != nil {
			controllerOf(leader).election.Resign(election.MachinesUnreachable)
		}
	default:
		if leader != nil {
			scenario.crashForSeconds(leader.Name)
		}
	}
}

// beginRandomFault begins a random fault, which ends some seconds later.
func (scenario *takeoverScenario) beginRandomFault() {
	switch scenario.rand.IntN(8) {
	case 0:
		scenario.crashForSeconds(scenario.Members[scenario.rand.IntN(len(scenario.Members))])
	case 1:
		if leader := scenario.actingLeader(); leader != nil {
			scenario.crashForSeconds(leader.Name)
		}
	case 2:
		for _, name := range scenario.Members {
			scenario.crashForSeconds(name)
		}
	case 3:
		scenario.hideListings()
	case 4:
		scenario.delayStateResponses()
	case 5:
		scenario.makeStateUnavailable()
	case 6:
		scenario.disconnectLink()
	case 7:
		if scenario.rand.IntN(3) == 0 {
			if leader := scenario.actingLeader(); leader != nil { // its process keeps running and keeps its shards
				controllerOf(leader).election.Resign(election.MachinesUnreachable)
			}
			return
		}
		scenario.pauseMember()
	}
}

// crashForSeconds crashes a member and schedules its restart after 0.2 to 6 s.
func (scenario *takeoverScenario) crashForSeconds(name string) {
	if !scenario.Nodes[name].Up {
		return
	}
	scenario.Nodes[name].Paused = false
	scenario.Crash(name)
	scenario.callAfter(200*time.Millisecond, 6*time.Second, scenario.restoreAll)
}

// hideListings has the state service reject listings of a kind of records, for one member or all.
func (scenario *takeoverScenario) hideListings() {
	scenario.State.HiddenPrefix = []string{"own/", "own/", "fleet/", "done/"}[scenario.rand.IntN(4)]
	scenario.State.HiddenFrom = append([]string{""}, scenario.Members...)[scenario.rand.IntN(4)]
	scenario.callAfter(time.Second, 6*time.Second, func() { scenario.State.HiddenPrefix, scenario.State.HiddenFrom = "", "" })
}

// delayStateResponses delays the responses of the state service to one member or all.
func (scenario *takeoverScenario) delayStateResponses() {
	maxDelay := time.Duration(1+scenario.rand.IntN(5)) * time.Second
	member := append([]string{""}, scenario.Members...)[scenario.rand.IntN(4)]
	scenario.State.ResponseDelay = func(to string) time.Duration {
		if member != "" && member != to {
			return 0
		}
		return time.Duration(scenario.rand.Int64N(int64(maxDelay)))
	}
	scenario.callAfter(time.Second, 8*time.Second, func() { scenario.State.ResponseDelay = nil })
}

// makeStateUnavailable makes the state service unavailable to one member or all.
func (scenario *takeoverScenario) makeStateUnavailable() {
	member := append([]string{""}, scenario.Members...)[scenario.rand.IntN(4)]
	scenario.State.Unavailable[member] = true
	scenario.callAfter(time.Second, 8*time.Second, func() { delete(scenario.State.Unavailable, member) })
}

func (scenario *takeoverScenario) disconnectLink() {
	a := scenario.rand.IntN(len(scenario.Members))
	scenario.Disconnect(scenario.Members[a], scenario.Members[(a+1)%len(scenario.Members)])
	scenario.callAfter(500*time.Millisecond, 6*time.Second, scenario.restoreAll)
}

// pauseMember pauses a random member for 0.5 to 9 s. If it is still paused after 4 s, its peers
// treat their streams to it as broken.
func (scenario *takeoverScenario) pauseMember() {
	name := scenario.Members[scenario.rand.IntN(len(scenario.Members))]
	n := scenario.Nodes[name]
	if !n.Up || n.Paused {
		return
	}
	n.Paused = true
	controller := controllerOf(n)
	scenario.callAfter(4*time.Second, 4*time.Second, func() {
		for _, other := range scenario.Members {
			if l := scenario.Nodes[other].Links[name]; other != name && scenario.Nodes[other].Up && n.Paused && controllerOf(n) == controller && l != nil {
				controllerOf(scenario.Nodes[other]).LinkDown(l)
			}
		}
	})
	scenario.callAfter(500*time.Millisecond, 9*time.Second, func() {
		if n.Paused && controllerOf(n) == controller {
			scenario.Resume(name)
			scenario.reconnectAll(name)
		}
	})
}

// reconnectAll closes a member's streams and opens new ones.
func (scenario *takeoverScenario) reconnectAll(name string) {
	for _, other := range scenario.Members {
		if other != name {
			scenario.Disconnect(name, other)
		}
	}
	scenario.restoreAll()
}

// resumeAll resumes all paused members.
func (scenario *takeoverScenario) resumeAll() {
	for _, name := range scenario.Members {
		if scenario.Nodes[name].Paused {
			scenario.Resume(name)
			scenario.reconnectAll(name)
		}
	}
}
