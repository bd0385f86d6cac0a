package coordination

import (
	"fmt"
	"os"
	"strconv"
	"testing"
	"time"

	"github.com/cobaltvale/cobaltvale/internal/election"
)

// takeoverSeeds is how many days TestTakeoverDays plays; TAKEOVER_DAYS asks for
// more, for a long run by hand.
const takeoverSeeds = 48

// Leaders and owners change while the state service is slow, refuses some reads or
// one member, streams between members come up late, and members stand still. The
// rules are looked at ten times a second, and every list that is passed on. Each
// seed draws its own meetings; every fourth has members of the version before.
func TestTakeoverScenarios(t *testing.T) {
	seeds := takeoverSeeds
	if n, err := strconv.Atoi(os.Getenv("TAKEOVER_DAYS")); err == nil {
		seeds = n
	}
	for seed := range uint64(seeds) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			t.Parallel()
			playTakeovers(t, seed)
		})
	}
}

func playTakeovers(t *testing.T, seed uint64) {
	t.Helper()
	names := []string{"a", "b", "c"}
	var before []string
	if seed%4 == 3 {
		before = names[:1+seed/4%3]
	}
	sim := prepareSimulation(t, "", before, names...)
	sim.tuning.QuotaEscrow = seed%3 == 1 && len(before) == 0
	sim.startAll()
	scenario := &takeoverScenario{faultScenario: newFaultScenarioIn(t, sim, seed, 8)}
	scenario.setTaskDuration(time.Duration(10+scenario.rand.IntN(30)) * time.Second)
	scenario.play(70, func(s int) {
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
			scenario.slowTakeover()
		case s%9 < 3:
			scenario.randomFault()
		}
	})
	scenario.state.hiddenPrefix, scenario.state.responseDelay = "", nil
	scenario.resumeAll()
	scenario.recoverAndCheck()
}

// takeoverScenario draws the troubles of one such day.
type takeoverScenario struct{ *faultScenario }

// after has something happen between the two times from now on.
func (scenario *takeoverScenario) after(least, most time.Duration, fn func()) {
	scenario.delayedCalls = append(scenario.delayedCalls, delayedCall{scenario.now + least + time.Duration(scenario.rand.Int64N(int64(most-least)+1)), fn})
}

// slowTakeover ends the leader, all members or just a leadership, while the reads of
// whoever takes over are late and streams between members are cut.
func (scenario *takeoverScenario) slowTakeover() {
	if scenario.rand.IntN(2) == 0 {
		scenario.hideListings()
	} else {
		scenario.delayStateResponses()
	}
	for range scenario.rand.IntN(3) {
		scenario.disconnectLink()
	}
	lead := scenario.activeLeader()
	switch scenario.rand.IntN(4) {
	case 0:
		for _, name := range scenario.names {
			scenario.crashForSeconds(name)
		}
	case 1:
		if lead != nil {
			lead.controller.election.Resign(election.WorkersUnreachable)
		}
	default:
		if lead != nil {
			scenario.crashForSeconds(lead.name)
		}
	}
}

// randomFault begins one that is drawn, and has it end some seconds later.
func (scenario *takeoverScenario) randomFault() {
	switch scenario.rand.IntN(8) {
	case 0:
		scenario.crashForSeconds(scenario.names[scenario.rand.IntN(len(scenario.names))])
	case 1:
		if lead := scenario.activeLeader(); lead != nil {
			scenario.crashForSeconds(lead.name)
		}
	case 2:
		for _, name := range scenario.names {
			scenario.crashForSeconds(name)
		}
	case 3:
		scenario.hideListings()
	case 4:
		scenario.delayStateResponses()
	case 5:
		scenario.refuseState()
	case 6:
		scenario.disconnectLink()
	case 7:
		if scenario.rand.IntN(3) == 0 {
			if lead := scenario.activeLeader(); lead != nil { // it keeps its ledgers
				lead.controller.election.Resign(election.WorkersUnreachable)
			}
			return
		}
		scenario.pauseMember()
	}
}

// crashForSeconds ends a member, which is back some seconds later.
func (scenario *takeoverScenario) crashForSeconds(name string) {
	if !scenario.nodes[name].up {
		return
	}
	scenario.nodes[name].paused = false
	scenario.crash(name)
	scenario.after(200*time.Millisecond, 6*time.Second, scenario.restoreAll)
}

// hideListings has one member, or all, refused the listings of some records.
func (scenario *takeoverScenario) hideListings() {
	scenario.state.hiddenPrefix = []string{"own/", "own/", "fleet/", "done/"}[scenario.rand.IntN(4)]
	scenario.state.hiddenFrom = append([]string{""}, scenario.names...)[scenario.rand.IntN(4)]
	scenario.after(time.Second, 6*time.Second, func() { scenario.state.hiddenPrefix, scenario.state.hiddenFrom = "", "" })
}

// delayStateResponses has answers come late, for one member or all.
func (scenario *takeoverScenario) delayStateResponses() {
	most := time.Duration(1+scenario.rand.IntN(5)) * time.Second
	member := append([]string{""}, scenario.names...)[scenario.rand.IntN(4)]
	scenario.state.responseDelay = func(to string) time.Duration {
		if member != "" && member != to {
			return 0
		}
		return time.Duration(scenario.rand.Int64N(int64(most)))
	}
	scenario.after(time.Second, 8*time.Second, func() { scenario.state.responseDelay = nil })
}

// refuseState has the state service refuse one member, or be away for all.
func (scenario *takeoverScenario) refuseState() {
	who := append([]string{""}, scenario.names...)[scenario.rand.IntN(4)]
	scenario.state.unavailable[who] = true
	scenario.after(time.Second, 8*time.Second, func() { delete(scenario.state.unavailable, who) })
}

func (scenario *takeoverScenario) disconnectLink() {
	a := scenario.rand.IntN(len(scenario.names))
	scenario.disconnect(scenario.names[a], scenario.names[(a+1)%len(scenario.names)])
	scenario.after(500*time.Millisecond, 6*time.Second, scenario.restoreAll)
}

// pauseMember has a member stand still; the others take it for cut off after a while.
func (scenario *takeoverScenario) pauseMember() {
	name := scenario.names[scenario.rand.IntN(len(scenario.names))]
	n := scenario.nodes[name]
	if !n.up || n.paused {
		return
	}
	n.paused = true
	controller := n.controller
	scenario.after(4*time.Second, 4*time.Second, func() {
		for _, other := range scenario.names {
			if l := scenario.nodes[other].links[name]; other != name && scenario.nodes[other].up && n.paused && n.controller == controller && l != nil {
				scenario.nodes[other].controller.LinkDown(l)
			}
		}
	})
	scenario.after(500*time.Millisecond, 9*time.Second, func() {
		if n.paused && n.controller == controller {
			scenario.resume(name)
			scenario.reconnectAll(name)
		}
	})
}

// reconnectAll ends a member's streams and begins new ones.
func (scenario *takeoverScenario) reconnectAll(name string) {
	for _, other := range scenario.names {
		if other != name {
			scenario.disconnect(name, other)
		}
	}
	scenario.restoreAll()
}

// resumeAll has all members that stand still go on.
func (scenario *takeoverScenario) resumeAll() {
	for _, name := range scenario.names {
		if scenario.nodes[name].paused {
			scenario.resume(name)
			scenario.reconnectAll(name)
		}
	}
}
