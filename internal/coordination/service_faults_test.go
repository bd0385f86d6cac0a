package coordination

import (
	"fmt"
	"testing"

	"github.com/cobaltvale/cobaltvale/internal/simtest"
)

// A service is cancelled at a node that does not lead while machines that run its replicas
// are unreachable, and in some cases the leader restarts. The machines become reachable again
// after some time. faultScenario checks that no replica is left after cancel_s and that none
// starts.
func TestCancelledServiceOnUnreachableMachines(t *testing.T) {
	for name, fault := range map[string]func(agent *simtest.Agent, on bool){
		"silent":          func(agent *simtest.Agent, on bool) { agent.Silent = on },
		"loses responses": func(agent *simtest.Agent, on bool) { agent.LosesResponses = on },
		"loses responses and starts": func(agent *simtest.Agent, on bool) {
			agent.LosesResponses, agent.DropsStarts = on, on
		},
	} {
		for _, faultSeconds := range []int{6, 30} {
			for _, leaderRestarts := range []bool{false, true} {
				t.Run(fmt.Sprint(name, " for ", faultSeconds, " s, leader restarts ", leaderRestarts), func(t *testing.T) {
					t.Parallel()
					scenario := newFaultScenario(t, uint64(faultSeconds), 6)
					id := scenario.submitService(scenario.Follower(), 6)
					other := scenario.submitService(scenario.Leader(), 2)
					scenario.runScript(5, func(int) {})
					requireEqual(t, "replicas", len(scenario.machinesByTask(id)), 6)
					agents := scenario.busyMachines(4)
					for _, agent := range agents {
						fault(agent, true)
					}
					scenario.query(scenario.Follower(), "ABORT", id)
					scenario.runScript(faultSeconds, func(s int) {
						if s == 2 && leaderRestarts {
							scenario.restart(scenario.Leader().Name)
						}
					})
					for _, agent := range agents {
						fault(agent, false)
					}
					scenario.runScript(25, func(int) {})
					requireEqual(t, "replicas left of the cancelled service", len(scenario.machinesByTask(id)), 0)
					scenario.recoverAndCheck()
					requireEqual(t, "replicas of the other service", len(scenario.machinesByTask(other)), 2)
				})
			}
		}
	}
}

// A replica of a service exits on its own at the same time as another event: its service is
// cancelled, its owner, the leader or all controllers restart, its machine is about to be
// preempted, or a response to its machine is lost.
func TestReplicaEndsDuringOtherFaults(t *testing.T) {
	for _, cause := range []string{"done", "error"} {
		for name, event := range map[string]func(scenario *faultScenario, owner *simtest.Node, id string, on *simtest.Agent){
			"cancelled": func(scenario *faultScenario, owner *simtest.Node, id string, _ *simtest.Agent) {
				scenario.query(owner, "ABORT", id)
			},
			"cancelled at another node": func(scenario *faultScenario, owner *simtest.Node, id string, _ *simtest.Agent) {
				scenario.query(scenario.otherNode(owner, scenario.Leader()), "ABORT", id)
			},
			"the owner restarts": func(scenario *faultScenario, owner *simtest.Node, _ string, _ *simtest.Agent) {
				scenario.restart(owner.Name)
			},
			"the leader restarts": func(scenario *faultScenario, _ *simtest.Node, _ string, _ *simtest.Agent) {
				scenario.restart(scenario.Leader().Name)
			},
			"all restart": func(scenario *faultScenario, _ *simtest.Node, _ string, _ *simtest.Agent) {
				scenario.restart("a")
				scenario.restart("b")
				scenario.restart("c")
			},
			"its machine is preempted": func(_ *faultScenario, _ *simtest.Node, _ string, on *simtest.Agent) { on.PreemptionNotice = 8.0 },
			"responses are lost":       func(_ *faultScenario, _ *simtest.Node, _ string, on *simtest.Agent) { on.LosesResponses = true },
		} {
			for _, reportedBefore := range []bool{false, true} {
				t.Run(fmt.Sprint(cause, ", ", name, ", reported before ", reportedBefore), func(t *testing.T) {
					t.Parallel()
					scenario := newFaultScenario(t, 5, 6)
					owner := scenario.Follower()
					id := scenario.submitService(owner, 4)
					scenario.runScript(25, func(int) {})
					requireEqual(t, "replicas", len(scenario.machinesByTask(id)), 4)
					on := scenario.Agents[scenario.machinesByTask(id)[id+"/0"]]
					for _, task := range on.Tasks {
						if task.Name == id+"/0" {
							task.State, task.Cause = "ended", cause
						}
					}
					if reportedBefore {
						on.Heartbeat()
					}
					event(scenario, owner, id, on)
					if !reportedBefore {
						on.Heartbeat()
					}
					scenario.runScript(20, func(int) {})
					on.LosesResponses = false
					scenario.recoverAndCheck()
					left := 4
					if scenario.cancelRequested[id] {
						left = 0
					}
					requireEqual(t, "replicas at the end", len(scenario.machinesByTask(id)), left)
				})
			}
		}
	}
}
