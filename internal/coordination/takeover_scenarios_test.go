package coordination

import (
	"fmt"
	"os"
	"strconv"
	"testing"
	"time"

	"github.com/cobaltvale/cobaltvale/internal/election"
)

// takeoverSeeds is how many scenarios TestTakeoverScenarios plays; TAKEOVER_DAYS asks for
// more, for a long run by hand.
const takeoverSeeds = 48

// Leaders and owners change while the state service is slow, refuses some reads or
// one member, streams between members come up late, and members are paused. The
// rules are looked at ten times a second, and every list that is forwarded. Each
// seed draws its own meetings; every fourth has members of the version before.
func TestTakeoverScenarios(t *testing.T) {
	seeds := takeoverSeeds
	if n, err := strconv.Atoi(os.Getenv("TAKEOVER_DAYS")); err == nil {
		seeds = n
	}
	for seed := range uint64(seeds) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			t.Parallel()
			runTakeoverScenario(t, seed)
		})
	}
}

func runTakeoverScenario(t *testing.T, seed uint64) {
	t.Helper()
	names := []string{"a", "b", "c"}
	var before []string
	if seed%4 == 3 {
		before = names[:1+seed/4%3]
	}
	sim := prepareSimulation(t, "", before, names...)
	sim.Tuning.QuotaEscrow = seed%3 == 1 && len(before) == 0
	sim.StartAll()
	scenario := &takeoverScenario{faultScenario: newFaultScenarioIn(t, sim, seed, 8)}
	scenario.setTaskDurations(time.Duration(10+scenario.rand.IntN(30)) * time.Second)
	scenario.runScript(70, func(s int) {
		if s < 40 && s%2 == 0 {
			scenario.submit(scenario.randomNode(), 1+scenario.rand.IntN(4), "crew", []string{"red", "blue"}[s/2%2])
		}
		if s%8 == 7 {
			scenario.submitService(scenario.randomNode(), 1, "crew", "blue")
		}
		if s%6 == 5 {
			scenario.cancelRandomJobs(1)
		}
		switch {
		case s < 6 || s >= 60:
		case s%9 == 0:
			scenario.beginSlowTakeover()
		case s%9 < 3:
			scenario.beginRandomFault()
		}
	})
	scenario.State.HiddenPrefix, scenario.State.ResponseDelay = "", nil
	scenario.resumeAll()
	scenario.recoverAndCheck()
}

// takeoverScenario draws the faults of one such scenario.
type takeoverScenario struct{ *faultScenario }

// after has something happen between the two times from now on.
func (scenario *takeoverScenario) callAfter(least, most time.Duration, fn func()) {
	scenario.delayedCalls = append(scenario.delayedCalls, delayedCall{scenario.Now() + least + time.Duration(scenario.rand.Int64N(int64(most-least)+1)), fn})
}

// beginSlowTakeover ends the leader, all members or just a leadership, while the reads of
// whoever takes over are late and streams between members are cut.
func (scenario *takeoverScenario) beginSlowTakeover() {
	if scenario.rand.IntN(2) == 0 {
		scenario.hideListings()
	} else {
		scenario.delayStateResponses()
	}
	for range scenario.rand.IntN(3) {
		scenario.disconnectLink()
	}
	lead := scenario.actingLeader()
	switch scenario.rand.IntN(4) {
	case 0:
		for _, name := range scenario.Members {
			scenario.crashForSeconds(name)
		}
	case 1:
		if lead != nil {
			controllerOf(lead).election.Resign(election.MachinesUnreachable)
		}
	default:
		if lead != nil {
			scenario.crashForSeconds(lead.Name)
		}
	}
}

// beginRandomFault begins one that is drawn, and has it end some seconds later.
func (scenario *takeoverScenario) beginRandomFault() {
	switch scenario.rand.IntN(8) {
	case 0:
		scenario.crashForSeconds(scenario.Members[scenario.rand.IntN(len(scenario.Members))])
	case 1:
		if lead := scenario.actingLeader(); lead != nil {
			scenario.crashForSeconds(lead.Name)
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
			if lead := scenario.actingLeader(); lead != nil { // it keeps its shards
				controllerOf(lead).election.Resign(election.MachinesUnreachable)
			}
			return
		}
		scenario.pauseMember()
	}
}

// crashForSeconds ends a member, which is back some seconds later.
func (scenario *takeoverScenario) crashForSeconds(name string) {
	if !scenario.Nodes[name].Up {
		return
	}
	scenario.Nodes[name].Paused = false
	scenario.Crash(name)
	scenario.callAfter(200*time.Millisecond, 6*time.Second, scenario.restoreAll)
}

// hideListings has one member, or all, refused the listings of some records.
func (scenario *takeoverScenario) hideListings() {
	scenario.State.HiddenPrefix = []string{"own/", "own/", "fleet/", "done/"}[scenario.rand.IntN(4)]
	scenario.State.HiddenFrom = append([]string{""}, scenario.Members...)[scenario.rand.IntN(4)]
	scenario.callAfter(time.Second, 6*time.Second, func() { scenario.State.HiddenPrefix, scenario.State.HiddenFrom = "", "" })
}

// delayStateResponses has answers come late, for one member or all.
func (scenario *takeoverScenario) delayStateResponses() {
	most := time.Duration(1+scenario.rand.IntN(5)) * time.Second
	member := append([]string{""}, scenario.Members...)[scenario.rand.IntN(4)]
	scenario.State.ResponseDelay = func(to string) time.Duration {
		if member != "" && member != to {
			return 0
		}
		return time.Duration(scenario.rand.Int64N(int64(most)))
	}
	scenario.callAfter(time.Second, 8*time.Second, func() { scenario.State.ResponseDelay = nil })
}

// makeStateUnavailable has the state service refuse one member, or be away for all.
func (scenario *takeoverScenario) makeStateUnavailable() {
	who := append([]string{""}, scenario.Members...)[scenario.rand.IntN(4)]
	scenario.State.Unavailable[who] = true
	scenario.callAfter(time.Second, 8*time.Second, func() { delete(scenario.State.Unavailable, who) })
}

func (scenario *takeoverScenario) disconnectLink() {
	a := scenario.rand.IntN(len(scenario.Members))
	scenario.Disconnect(scenario.Members[a], scenario.Members[(a+1)%len(scenario.Members)])
	scenario.callAfter(500*time.Millisecond, 6*time.Second, scenario.restoreAll)
}

// pauseMember pauses a member; the others take it for disconnected after a while.
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

// reconnectAll ends a member's streams and begins new ones.
func (scenario *takeoverScenario) reconnectAll(name string) {
	for _, other := range scenario.Members {
		if other != name {
			scenario.Disconnect(name, other)
		}
	}
	scenario.restoreAll()
}

// resumeAll has all members that are paused go on.
func (scenario *takeoverScenario) resumeAll() {
	for _, name := range scenario.Members {
		if scenario.Nodes[name].Paused {
			scenario.Resume(name)
			scenario.reconnectAll(name)
		}
	}
}
