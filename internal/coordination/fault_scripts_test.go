package coordination

import (
	"fmt"
	"time"

	"github.com/cobaltvale/cobaltvale/internal/protocol"
	"github.com/cobaltvale/cobaltvale/internal/simtest"
	"github.com/cobaltvale/cobaltvale/internal/storage"
)

// The scripts of TestFaultScenarios. Each prepares a scenario and returns the function that is
// called at the start of each second.

// submitRandomJob submits a job of a random size, team and urgency at a random node, if the node
// is up. Most scripts call it once a second.
func (scenario *faultScenario) submitRandomJob() {
	crew := []string{"red", "blue", "guest"}[scenario.rand.IntN(3)]
	if n := scenario.randomNode(); n.Up {
		scenario.submit(n, 1+scenario.rand.IntN(4), "crew", crew, "urgency", []string{"urgent", "standard"}[scenario.rand.IntN(2)])
	}
}

// queryAllControllers submits and cancels jobs at random controllers. At each change of a job's
// status faultScenario queries it at all of them.
func queryAllControllers(scenario *faultScenario) func(int) {
	scenario.setTaskDurations(2 * time.Second)
	return func(second int) {
		scenario.submitRandomJob()
		id := scenario.submit(scenario.randomNode(), 1)
		scenario.DeliverAll()
		if second%3 == 0 { // cancelled at once
			scenario.query(scenario.randomNode(), "ABORT", id)
		}
		if second%4 == 0 {
			scenario.cancelRandomJobs(1)
		}
	}
}

// loseTransactionResponses loses the responses to transactions that were applied, so that other
// controllers read values whose writer doesn't know that they were written.
func loseTransactionResponses(scenario *faultScenario) func(int) {
	scenario.setTaskDurations(2 * time.Second)
	scenario.loseTransactions(0.3, true)
	return func(second int) {
		scenario.submitRandomJob()
		if second%3 == 0 {
			scenario.cancelRandomJobs(1)
		}
		if second == 20 {
			scenario.restart(scenario.Leader().Name)
		}
	}
}

// delayTransactions gives some transactions no response and applies them later.
func delayTransactions(scenario *faultScenario) func(int) {
	scenario.setTaskDurations(2 * time.Second)
	scenario.loseTransactions(0.2, false)
	return func(second int) {
		scenario.submitRandomJob()
		if second%3 == 0 {
			scenario.cancelRandomJobs(1)
		}
		if second == 15 {
			scenario.restart(scenario.Leader().Name)
		}
	}
}

// rejectRetries loses the responses to transactions, of which some are applied, and rejects most
// repetitions. Users repeat the submissions that were not accepted.
func rejectRetries(scenario *faultScenario) func(int) {
	scenario.setTaskDurations(2 * time.Second)
	scenario.loseTransactionsAndRejectRetries(0.2)
	return func(second int) {
		scenario.submitRandomJob()
		scenario.resubmitUnknownJobs()
		if second%3 == 0 {
			scenario.cancelRandomJobs(1)
		}
		if second == 20 {
			scenario.restart(scenario.Leader().Name)
		}
	}
}

// cancelAtTeamLimits cancels jobs of a team at its limit while some of their machines send no
// heartbeats or get no responses, crashes the leader and submits more jobs of the team.
func cancelAtTeamLimits(scenario *faultScenario) func(int) {
	for range 3 {
		scenario.submit(scenario.randomNode(), 8, "crew", "red")
	}
	var unreachable []*simtest.Agent
	return func(second int) {
		switch second {
		case 6:
			unreachable = scenario.busyMachines(3)
			for i, agent := range unreachable {
				agent.Silent, agent.LosesResponses = i != 1, i == 1
			}
			for _, id := range scenario.unfinishedJobs() {
				scenario.query(scenario.randomNode(), "ABORT", id)
			}
		case 7:
			scenario.Crash(scenario.Leader().Name)
			for _, name := range scenario.Members {
				if n := scenario.Nodes[name]; n.Up {
					scenario.submit(n, 16, "crew", "red")
				}
			}
		case 17:
			for _, agent := range unreachable {
				agent.Silent, agent.LosesResponses = false, false
			}
		}
	}
}

// cancelDuringHandover cancels jobs while shards change owners, as controllers crash when they
// confirm a cancellation.
func cancelDuringHandover(scenario *faultScenario) func(int) {
	for range 6 {
		scenario.submit(scenario.randomNode(), 2)
	}
	return func(second int) {
		if second%12 == 5 || second%12 == 7 {
			scenario.crashOnConfirmedCancellation = true // before the confirming node can send anything else
		}
		if second%12 == 9 {
			scenario.crashOnConfirmedCancellation = false
			for _, name := range scenario.Members {
				if !scenario.Nodes[name].Up {
					scenario.Start(name)
				}
			}
		}
		scenario.submitRandomJob()
		for range 10 { // also at the ticks of the handover
			scenario.cancelRandomJobs(1)
			scenario.Advance(100 * time.Millisecond)
		}
	}
}

// startOnNewMachinesDuringSlowWrites adds a machine and a job each second, answers transactions
// after 1 s, and restarts the leader.
func startOnNewMachinesDuringSlowWrites(scenario *faultScenario) func(int) {
	return func(second int) {
		if second < 20 {
			scenario.AddMachine(fmt.Sprintf("vm-1%02d", second), "z1").TaskDuration = 4 * time.Second
			scenario.submit(scenario.randomNode(), 4)
		}
		if second == 4 {
			scenario.State.OnTransaction = func(_ string, _ *protocol.Transaction, apply func() storage.Response, done func(storage.Response)) bool {
				r := apply()
				scenario.delayedCalls = append(scenario.delayedCalls, delayedCall{scenario.Now() + time.Second, func() { done(r) }})
				return true
			}
		}
		if second == 8 || second == 14 {
			scenario.restart(scenario.Leader().Name)
		}
	}
}

// replayOldHeartbeats sends old heartbeats to all controllers: after newer ones, and as the first
// ones that a new leader gets. Machines also begin new epochs.
func replayOldHeartbeats(scenario *faultScenario) func(int) {
	scenario.setTaskDurations(5 * time.Second)
	var recorded map[*simtest.Agent][]byte
	return func(second int) {
		scenario.submitRandomJob()
		scenario.submitRandomJob()
		switch second % 8 {
		case 0:
			recorded = scenario.recordHeartbeats()
		case 2: // newer ones have arrived
			scenario.replayHeartbeats(recorded)
		case 4:
			leader := scenario.Leader()
			scenario.restart(leader.Name)
			for i := 0; i < 80 && (scenario.actingLeader() == nil || controllerOf(scenario.actingLeader()) == controllerOf(leader)); i++ {
				scenario.Advance(100 * time.Millisecond)
			}
			scenario.replayHeartbeats(recorded) // before any machine sends a new one
		case 7: // a busy machine begins a new epoch
			for _, agent := range scenario.busyMachines(1) {
				agent.ExpireLease()
			}
		}
	}
}

// submitOneTaskJobs submits four jobs of one task each second and cancels a quarter of them.
// Controllers restart twice.
func submitOneTaskJobs(scenario *faultScenario) func(int) {
	scenario.setTaskDurations(2 * time.Second)
	return func(second int) {
		for i := range 4 {
			id := scenario.submit(scenario.randomNode(), 1, "vcpus", 1.0)
			scenario.DeliverAll()
			if i == second%4 {
				scenario.delayedCalls = append(scenario.delayedCalls, delayedCall{scenario.Now() + time.Duration(second%5)*700*time.Millisecond, func() { scenario.query(scenario.randomNode(), "ABORT", id) }})
			}
		}
		if second == 20 || second == 30 { // ended jobs must stay ended
			scenario.restart(scenario.Members[second/10%3])
		}
	}
}

// changeLeaders restarts the controllers in turn, one every 5 s, also during an outage of the
// state service.
func changeLeaders(scenario *faultScenario) func(int) {
	scenario.setTaskDurations(4 * time.Second)
	return func(second int) {
		scenario.submitRandomJob()
		if second%5 == 2 {
			scenario.restart(scenario.Members[second/5%3])
		}
		scenario.State.Unavailable[""] = second >= 22 && second < 30
		if second%7 == 0 {
			scenario.cancelRandomJobs(1)
		}
	}
}

// stopAllControllers stops all controllers for longer than a machine lease.
func stopAllControllers(scenario *faultScenario) func(int) {
	scenario.setTaskDurations(6 * time.Second)
	return func(second int) {
		switch {
		case second < 10 || second > 35:
			scenario.submitRandomJob()
		case second == 12:
			scenario.CrashAll()
		case second == 34:
			scenario.StartMembers()
		}
	}
}

// partitionZone disconnects controller a from the state service and its peers, and the machines
// of zone z2 from all controllers.
func partitionZone(scenario *faultScenario) func(int) {
	scenario.setTaskDurations(6 * time.Second)
	return func(second int) {
		scenario.submitRandomJob()
		if second == 8 {
			scenario.Disconnect("a", "b")
			scenario.Disconnect("a", "c")
			scenario.State.Unavailable["a"] = true
			for _, agent := range scenario.Agents {
				agent.Silent = agent.Zone == "z2"
			}
		}
		if second == 28 {
			delete(scenario.State.Unavailable, "a")
			scenario.Connect("a", "b")
			scenario.Connect("a", "c")
			for _, agent := range scenario.Agents {
				agent.Silent = false
			}
		}
		if second%6 == 0 {
			scenario.cancelRandomJobs(1)
		}
	}
}

// isolateLeader disconnects the leader from the state service and its peers, but not from machines
// and users.
func isolateLeader(scenario *faultScenario) func(int) {
	scenario.setTaskDurations(20 * time.Second)
	var leader *simtest.Node
	return func(second int) {
		scenario.submitRandomJob()
		if second == 8 {
			leader = scenario.Leader()
			scenario.State.Unavailable[leader.Name] = true
			for _, other := range scenario.Members {
				if other != leader.Name {
					scenario.Disconnect(leader.Name, other)
				}
			}
		}
		if second > 8 && second < 30 {
			scenario.cancelRandomJobs(1)
		}
		if second == 30 {
			delete(scenario.State.Unavailable, leader.Name)
			for _, other := range scenario.Members {
				if other != leader.Name {
					scenario.Connect(leader.Name, other)
				}
			}
		}
	}
}

// failMachinesOfOneZone submits jobs that require zone z2, fails busy machines and restarts the
// leader.
func failMachinesOfOneZone(scenario *faultScenario) func(int) {
	scenario.setTaskDurations(6 * time.Second)
	return func(second int) {
		scenario.submit(scenario.randomNode(), 3, "hall", "z2")
		if second == 10 || second == 20 {
			for _, agent := range scenario.busyMachines(2) {
				scenario.failMachine(agent)
			}
		}
		if second == 11 {
			scenario.restart(scenario.Leader().Name)
		}
	}
}

// cancelAsLastTaskEnds queries, submits again and cancels each job whose last task has just
// completed.
func cancelAsLastTaskEnds(scenario *faultScenario) func(int) {
	scenario.setTaskDurations(2 * time.Second)
	return func(int) {
		scenario.submitRandomJob()
		for _, id := range scenario.unfinishedJobs() {
			unfinishedTasks := 0
			for i := range scenario.jobs[id]["pages"].(int) {
				if !scenario.completedTasks[fmt.Sprintf("%s/%d", id, i)] {
					unfinishedTasks++
				}
			}
			if unfinishedTasks == 0 {
				scenario.queryEverywhere(id)
				scenario.query(scenario.randomNode(), "ABORT", id)
			}
		}
	}
}

// silenceMachines disconnects machines from all controllers, cancels jobs and restarts the
// leader.
func silenceMachines(scenario *faultScenario) func(int) {
	scenario.setTaskDurations(6 * time.Second)
	return func(second int) {
		scenario.submitRandomJob()
		if second == 8 {
			for _, agent := range scenario.busyMachines(3) {
				agent.Silent = true // it gets no commands either: they are sent only in responses
			}
			scenario.cancelRandomJobs(2)
		}
		if second == 20 {
			scenario.restart(scenario.Leader().Name)
		}
	}
}
