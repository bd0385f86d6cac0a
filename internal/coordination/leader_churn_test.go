package coordination

import (
	"strings"
	"testing"
	"time"

	"github.com/cobaltvale/cobaltvale/internal/simtest"
)

// leaderChurnSeeds is the number of scenarios that TestJobsAreCancelledWhileControllersKeepEnding
// runs. The environment variable LEADER_CHURN_DAYS overrides it, for long runs by hand.
const leaderChurnSeeds = 48

// A machine sends a heartbeat every 4 s on average, often the first that a leader receives of it.
func TestJobsAreCancelledWhileControllersKeepEnding(t *testing.T) {
	runSeeds(t, "LEADER_CHURN_DAYS", leaderChurnSeeds, runLeaderChurn)
}

// runLeaderChurn has controllers, mostly the leader, end every 1 to 6 s for longer than cancel_s.
// Users cancel jobs at the beginning, and with odd seeds all along.
func runLeaderChurn(t *testing.T, seed uint64) {
	t.Helper()
	names := []string{"a", "b", "c"}
	var previousVersion []string
	if seed%4 == 3 {
		previousVersion = names[:1+seed/4%2]
	}
	sim := prepareSimulation(t, "", previousVersion, names...)
	sim.StartAll()
	scenario := &leaderChurnScenario{takeoverScenario{newFaultScenarioIn(t, sim, seed, 10)}, make(map[string]time.Duration)}
	scenario.OnStop = func(agent *simtest.Agent, task *simtest.AgentTask) {
		if id, _, _ := strings.Cut(task.Name, "/"); !scenario.cancelRequested[id] {
			t.Fatalf("%s stops %s, whose job nobody has cancelled", agent.Name, task.Name)
		}
	}
	for i := range 9 {
		scenario.submit(scenario.Nodes[names[i%3]], 2+scenario.rand.IntN(4), "crew", "blue")
	}
	scenario.runScript(6, func(int) {})
	scenario.cancelRandomJobs(4)
	var nextFaultAt, nextCancellationAt time.Duration
	for end := scenario.Now() + cancellationTimeout + 20*time.Second; scenario.Now() < end; {
		if scenario.Now() >= nextFaultAt {
			scenario.endControllers()
			nextFaultAt = scenario.Now() + scenario.randomSpan(time.Second, 6*time.Second)
		}
		if seed%2 == 1 && scenario.Now() >= nextCancellationAt {
			scenario.cancelRandomJobs(1)
			nextCancellationAt = scenario.Now() + scenario.randomSpan(4*time.Second, 10*time.Second)
		}
		scenario.retryCancellations()
		scenario.Advance(200 * time.Millisecond)
		scenario.sendDueHeartbeats()
	}
	scenario.State.HiddenPrefix, scenario.State.ResponseDelay = "", nil
	scenario.resumeAll()
	scenario.recoverAndCheck()
}

// leaderChurnScenario is a scenario of TestJobsAreCancelledWhileControllersKeepEnding.
type leaderChurnScenario struct {
	takeoverScenario
	nextHeartbeatAt map[string]time.Duration // by machine
}

// randomSpan draws a duration from minSpan to maxSpan.
func (scenario *leaderChurnScenario) randomSpan(minSpan, maxSpan time.Duration) time.Duration {
	return minSpan + time.Duration(scenario.rand.Int64N(int64(maxSpan-minSpan)))
}

// endControllers ends the leader, one member or all members, or begins another fault.
func (scenario *leaderChurnScenario) endControllers() {
	leader := scenario.actingLeader()
	switch draw := scenario.rand.IntN(20); {
	case draw < 11 && leader != nil:
		scenario.crashForSeconds(leader.Name)
	case draw < 15:
		scenario.crashForSeconds(scenario.Members[scenario.rand.IntN(len(scenario.Members))])
	case draw < 17:
		for _, name := range scenario.Members {
			scenario.crashForSeconds(name)
		}
	default:
		scenario.beginRandomFault()
	}
}

// sendDueHeartbeats has the machines send the heartbeats that are due. A machine whose heartbeat
// was rejected sends the next one a second later.
func (scenario *leaderChurnScenario) sendDueHeartbeats() {
	for _, name := range scenario.AgentNames() {
		if scenario.Now() < scenario.nextHeartbeatAt[name] {
			continue
		}
		interval := time.Second
		if r := scenario.Agents[name].Heartbeat(); r != nil && r.Status == 200 {
			interval = scenario.randomSpan(3*time.Second, 5*time.Second)
		}
		scenario.nextHeartbeatAt[name] = scenario.Now() + interval
	}
}
