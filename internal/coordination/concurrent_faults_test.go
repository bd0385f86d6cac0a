package coordination

import (
	"fmt"
	"testing"
	"time"

	"github.com/cobaltvale/cobaltvale/internal/simtest"
)

// The meetings of the operators' page that need no script of their own beyond
// faults at set times: faultScenario checks every rule all the while, and that everything
// is known and done once the faults are over.

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

// restart ends a node and starts it again at once.
func (scenario *faultScenario) restart(name string) {
	scenario.Crash(name)
	scenario.Start(name)
}

// actingLeader returns who leads, if anybody does.
func (scenario *faultScenario) actingLeader() *simtest.Node {
	for _, name := range scenario.Members {
		if n := scenario.Nodes[name]; n.Up && controllerOf(n).leader != nil && controllerOf(n).election.MayAct(scenario.Now()) {
			return n
		}
	}
	return nil
}

// recordHeartbeats keeps the machines' heartbeats, to be sent again later.
func (scenario *faultScenario) recordHeartbeats() map[*simtest.Agent][]byte {
	out := make(map[*simtest.Agent][]byte)
	for _, agent := range scenario.Agents {
		out[agent] = append([]byte(nil), agent.LastHeartbeat...)
	}
	return out
}

// replayHeartbeats sends old heartbeats to every node; their answers reach nobody.
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
		"users ask everywhere as jobs begin, end and are cancelled":                       queryAllControllers,
		"only the answers are lost, others read what was written":                         loseTransactionResponses,
		"transactions are carried out late":                                               delayTransactions,
		"teams at their limits, cancelled jobs on machines that hang, the leader changes": cancelAtTeamLimits,
		"jobs are cancelled while a shard changes hands":                                  cancelDuringHandover,
		"machines up at once get work while writes lag, and the leader ends":              startOnNewMachinesDuringSlowWrites,
		"old heartbeats reach every controller as a new leader begins":                    replayOldHeartbeats,
		"one-task jobs come four a second, a quarter cancelled":                           submitOneTaskJobs,
		"leaders change ten times, also in an outage":                                     changeLeaders,
		"all controllers are away for longer than a lease":                                stopAllControllers,
		"a zone with its workers and a controller is cut off":                             partitionZone,
		"a leader keeps its workers and users alone":                                      isolateLeader,
		"jobs of one zone lose machines":                                                  failMachinesOfOneZone,
		"cancellations, questions and repeats meet the end of the last task":              cancelAsLastTaskEnds,
		"machines can't reach any controller":                                             silenceMachines,
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			for seed := range uint64(2) {
				scenario := newFaultScenario(t, seed, 8)
				scenario.runScript(45, script(scenario))
				scenario.recoverAndCheck()
				if scenario.submittedJobs == 0 || len(scenario.knownStatus) < scenario.submittedJobs/3 {
					t.Fatalf("%d of %d jobs were accepted", len(scenario.knownStatus), scenario.submittedJobs)
				}
			}
		})
	}
}

// setTaskDurations has the tasks of all machines take some time.
func (scenario *faultScenario) setTaskDurations(takes time.Duration) {
	for _, agent := range scenario.Agents {
		agent.TaskDuration, agent.DurationSpread = takes, takes/4
	}
}

// failMachine ends a machine and all on it.
func (scenario *faultScenario) failMachine(agent *simtest.Agent) {
	delete(scenario.Agents, agent.Name)
	for i := range scenario.Cloud.Machines {
		if scenario.Cloud.Machines[i].Name == agent.Name {
			scenario.Cloud.Machines[i].Status = "failed"
		}
	}
}

// Two or three faults at a time, whichever they are, for as long as they last
// and at whatever time they begin.
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
	r := scenario.rand
	pause := func() int { return 1 + r.IntN(25) }
	var lead *simtest.Node
	faults := []func() (begin, end func()){
		func() (func(), func()) {
			return func() { scenario.State.Unavailable[""] = true }, func() { scenario.State.Unavailable[""] = false }
		},
		func() (func(), func()) { // the leader is refused alone
			return func() {
				if lead = scenario.actingLeader(); lead != nil {
					scenario.State.Unavailable[lead.Name] = true
				}
			}, func() { clear(scenario.State.Unavailable) }
		},
		func() (func(), func()) { // and cut from the other controllers
			return func() {
				if lead = scenario.actingLeader(); lead == nil {
					return
				}
				scenario.State.Unavailable[lead.Name] = true
				for _, other := range scenario.Members {
					if other != lead.Name {
						scenario.Disconnect(lead.Name, other)
					}
				}
			}, func() { clear(scenario.State.Unavailable); scenario.restoreAll() }
		},
		func() (func(), func()) {
			a, b := r.IntN(3), r.IntN(3)
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
			name := scenario.Members[r.IntN(3)]
			return func() { scenario.Crash(name) }, scenario.restoreAll
		},
		func() (func(), func()) {
			return func() { scenario.crashOnConfirmedCancellation = true }, func() { scenario.crashOnConfirmedCancellation = false; scenario.restoreAll() }
		},
		func() (func(), func()) { // all are back at once
			return func() {
				scenario.CrashAll()
				scenario.restoreAll()
			}, func() {}
		},
		func() (func(), func()) {
			var agents []*simtest.Agent
			return func() {
					agents = scenario.busyMachines(1 + r.IntN(5))
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
			return func() { scenario.State.StalledWatches[scenario.Members[r.IntN(3)]] = true }, func() { clear(scenario.State.StalledWatches) }
		},
		func() (func(), func()) {
			return func() {
				for _, agent := range scenario.busyMachines(2) {
					scenario.failMachine(agent)
				}
			}, func() {}
		},
	}
	at := make(map[int][]func())
	for range 3 {
		from := 4 + r.IntN(20)
		for range 2 + r.IntN(2) {
			begin, end := faults[r.IntN(len(faults))]()
			s := from + r.IntN(4)
			at[s] = append(at[s], begin)
			s += pause()
			at[s] = append(at[s], end)
		}
	}
	scenario.runScript(60, func(s int) {
		if s < 45 {
			n := scenario.randomNode()
			if s%5 == 4 {
				scenario.submitService(n, 1+r.IntN(2), "crew", "blue", "apart", s%2 == 0)
			} else {
				scenario.submit(n, 1+r.IntN(4), "crew", []string{"red", "blue"}[s%2], "urgency", []string{"urgent", "standard"}[r.IntN(2)])
			}
		}
		if s%4 == 0 {
			scenario.cancelRandomJobs(1)
		}
		for _, fn := range at[s] {
			fn()
		}
	})
	scenario.recoverAndCheck()
}
