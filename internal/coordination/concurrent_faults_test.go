package coordination

import (
	"fmt"
	"testing"
	"time"

	"github.com/cobaltvale/cobaltvale/internal/simtest"
)

// Scenarios of faults that begin and end at set times. faultScenario checks all rules throughout,
// and that every job is known and ends once the faults are over.

// busyMachines returns up to n machines that run tasks.
func (scenario *faultScenario) busyMachines(n int) []*simtest.Agent {
	var out []*simtest.Agent
	for _, name := range scenario.AgentNames() {
		if agent := scenario.Agents[name]; len(out) < n && len(agent.Running()) > 0 {
			out = append(out, agent)
		}
	}
	return out
}

// restart crashes a node and starts it again at once.
func (scenario *faultScenario) restart(name string) {
	scenario.Crash(name)
	scenario.Start(name)
}

// actingLeader returns the node that leads and may act, or nil.
func (scenario *faultScenario) actingLeader() *simtest.Node {
	for _, name := range scenario.Members {
		if n := scenario.Nodes[name]; n.Up && controllerOf(n).leader != nil && controllerOf(n).election.MayAct(scenario.Now()) {
			return n
		}
	}
	return nil
}

// recordHeartbeats returns the last heartbeat of each machine, for replayHeartbeats.
func (scenario *faultScenario) recordHeartbeats() map[*simtest.Agent][]byte {
	out := make(map[*simtest.Agent][]byte)
	for _, agent := range scenario.Agents {
		out[agent] = append([]byte(nil), agent.LastHeartbeat...)
	}
	return out
}

// replayHeartbeats sends old heartbeats to every node and discards the responses.
func (scenario *faultScenario) replayHeartbeats(old map[*simtest.Agent][]byte) {
	for _, body := range old {
		for _, name := range scenario.Members {
			if n := scenario.Nodes[name]; n.Up && !n.Paused {
				controllerOf(n).HandleHTTP(&Request{Method: "POST", Path: "/checkin", Body: body, Conn: 1 << 30}, func(Response) {})
			}
		}
	}
	scenario.DeliverAll()
}

func TestFaultScenarios(t *testing.T) {
	for name, script := range map[string]func(scenario *faultScenario) func(second int){
		"jobs are queried at all controllers as they start, end and are cancelled":     queryAllControllers,
		"responses to transactions that were applied are lost":                         loseTransactionResponses,
		"transactions without a response are applied late":                             delayTransactions,
		"responses to transactions are lost, and the repetitions are rejected":         rejectRetries,
		"jobs on silent machines are cancelled at a team limit as the leader changes":  cancelAtTeamLimits,
		"jobs are cancelled while their shard changes owner":                           cancelDuringHandover,
		"new machines start tasks while writes are slow, and the leader crashes":       startOnNewMachinesDuringSlowWrites,
		"old heartbeats reach every controller as a new leader takes over":             replayOldHeartbeats,
		"four one-task jobs are submitted each second, a quarter cancelled":            submitOneTaskJobs,
		"controllers restart one after another, also in an outage":                     changeLeaders,
		"all controllers are down for longer than a machine lease":                     stopAllControllers,
		"a zone with its machines and a controller is partitioned":                     partitionZone,
		"the leader can reach only machines and users":                                 isolateLeader,
		"machines fail while all jobs require one zone":                                failMachinesOfOneZone,
		"cancellations, queries and repeated submissions arrive as the last task ends": cancelAsLastTaskEnds,
		"machines can't reach any controller":                                          silenceMachines,
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			for seed := range uint64(2) {
				scenario := newFaultScenario(t, seed, 8)
				scenario.runScript(45, script(scenario))
				scenario.recoverAndCheck()
				if scenario.submittedJobs == 0 || len(scenario.knownStatus) < scenario.submittedJobs/3 {
					t.Fatalf("%d of %d jobs were accepted, want at least a third", len(scenario.knownStatus), scenario.submittedJobs)
				}
			}
		})
	}
}

// setTaskDurations sets the time after which tasks complete on all present machines: duration
// and up to six quarters of it more, depending on the replica.
func (scenario *faultScenario) setTaskDurations(duration time.Duration) {
	for _, agent := range scenario.Agents {
		agent.TaskDuration, agent.DurationSpread = duration, duration/4
	}
}

// failMachine removes a machine's agent with its tasks and has the cloud list the machine as
// failed.
func (scenario *faultScenario) failMachine(agent *simtest.Agent) {
	delete(scenario.Agents, agent.Name)
	for i := range scenario.Cloud.Machines {
		if scenario.Cloud.Machines[i].Name == agent.Name {
			scenario.Cloud.Machines[i].Status = "failed"
		}
	}
}

// In each of three periods two or three random faults begin within 4 s of each other. Each lasts
// for a random time.
func TestConcurrentFaults(t *testing.T) {
	for seed := range uint64(16) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			t.Parallel()
			runConcurrentFaults(newFaultScenario(t, seed, 8))
		})
	}
}

func runConcurrentFaults(scenario *faultScenario) {
	scenario.T.Helper()
	scenario.setTaskDurations(time.Duration(1+scenario.rand.IntN(20)) * time.Second)
	random := scenario.rand
	faultSeconds := func() int { return 1 + random.IntN(25) }
	var leader *simtest.Node
	faults := []func() (begin, end func()){
		func() (func(), func()) {
			return func() { scenario.State.Unavailable[""] = true }, func() { scenario.State.Unavailable[""] = false }
		},
		func() (func(), func()) { // the state service is unavailable to the leader only
			return func() {
				if leader = scenario.actingLeader(); leader != nil {
					scenario.State.Unavailable[leader.Name] = true
				}
			}, func() { clear(scenario.State.Unavailable) }
		},
		func() (func(), func()) { // as above, and the leader is also disconnected from its peers
			return func() {
				if leader = scenario.actingLeader(); leader == nil {
					return
				}
				scenario.State.Unavailable[leader.Name] = true
				for _, other := range scenario.Members {
					if other != leader.Name {
						scenario.Disconnect(leader.Name, other)
					}
				}
			}, func() { clear(scenario.State.Unavailable); scenario.restoreAll() }
		},
		func() (func(), func()) {
			a, b := random.IntN(3), random.IntN(3)
			return func() {
				if a != b {
					scenario.Disconnect(scenario.Members[a], scenario.Members[b])
				}
			}, scenario.restoreAll
		},
		func() (func(), func()) {
			return func() { scenario.loseTransactions(0.3, true) }, func() { scenario.loseTransactions(0, true) }
		},
		func() (func(), func()) {
			return func() { scenario.loseTransactions(0.2, false) }, func() { scenario.loseTransactions(0, true) }
		},
		func() (func(), func()) {
			name := scenario.Members[random.IntN(3)]
			return func() { scenario.Crash(name) }, scenario.restoreAll
		},
		func() (func(), func()) {
			return func() { scenario.crashOnConfirmedCancellation = true }, func() { scenario.crashOnConfirmedCancellation = false; scenario.restoreAll() }
		},
		func() (func(), func()) { // all controllers restart at once
			return func() {
				scenario.CrashAll()
				scenario.restoreAll()
			}, func() {}
		},
		func() (func(), func()) {
			var agents []*simtest.Agent
			return func() {
					agents = scenario.busyMachines(1 + random.IntN(5))
					for i, agent := range agents {
						agent.Silent, agent.LosesResponses = i%2 == 0, i%2 == 1
					}
				}, func() {
					for _, agent := range agents {
						agent.Silent, agent.LosesResponses = false, false
					}
				}
		},
		func() (func(), func()) {
			old := scenario.recordHeartbeats()
			return func() { old = scenario.recordHeartbeats() }, func() { scenario.replayHeartbeats(old) }
		},
		func() (func(), func()) {
			return func() { scenario.cancelRandomJobs(6) }, func() { scenario.cancelRandomJobs(6) }
		},
		func() (func(), func()) {
			return func() { scenario.State.StalledWatches[scenario.Members[random.IntN(3)]] = true }, func() { clear(scenario.State.StalledWatches) }
		},
		func() (func(), func()) {
			return func() {
				for _, agent := range scenario.busyMachines(2) {
					scenario.failMachine(agent)
				}
			}, func() {}
		},
	}
	callsBySecond := make(map[int][]func())
	for range 3 {
		periodStart := 4 + random.IntN(20)
		for range 2 + random.IntN(2) {
			begin, end := faults[random.IntN(len(faults))]()
			second := periodStart + random.IntN(4)
			callsBySecond[second] = append(callsBySecond[second], begin)
			second += faultSeconds()
			callsBySecond[second] = append(callsBySecond[second], end)
		}
	}
	scenario.runScript(60, func(second int) {
		if second < 45 {
			n := scenario.randomNode()
			if second%5 == 4 {
				scenario.submitService(n, 1+random.IntN(2), "crew", "blue", "apart", second%2 == 0)
			} else {
				scenario.submit(n, 1+random.IntN(4), "crew", []string{"red", "blue"}[second%2], "urgency", []string{"urgent", "standard"}[random.IntN(2)])
			}
		}
		if second%4 == 0 {
			scenario.cancelRandomJobs(1)
		}
		for _, fn := range callsBySecond[second] {
			fn()
		}
	})
	scenario.recoverAndCheck()
}
