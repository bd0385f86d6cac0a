package coordination

import (
	"fmt"
	"time"

	"github.com/cobaltvale/cobaltvale/internal/protocol"
	"github.com/cobaltvale/cobaltvale/internal/simtest"
	"github.com/cobaltvale/cobaltvale/internal/storage"
)

// The scripts of TestFaultScenarios: each prepares a scenario and returns what happens in its
// seconds.

// submitRandomJob comes at about one job a second.
func (scenario *faultScenario) submitRandomJob() {
	crew := []string{"red", "blue", "guest"}[scenario.rand.IntN(3)]
	if n := scenario.randomNode(); n.Up {
		scenario.submit(n, 1+scenario.rand.IntN(4), "crew", crew, "urgency", []string{"urgent", "standard"}[scenario.rand.IntN(2)])
	}
}

// users ask everywhere as jobs begin, end and are cancelled.
func queryAllControllers(scenario *faultScenario) func(int) {
	scenario.setTaskDurations(2 * time.Second)
	return func(s int) {
		scenario.submitRandomJob()
		id := scenario.submit(scenario.randomNode(), 1)
		scenario.DeliverAll()
		if s%3 == 0 { // some cancel at once
			scenario.query(scenario.randomNode(), "ABORT", id)
		}
		if s%4 == 0 {
			scenario.cancelRandomJobs(1)
		}
	}
}

// only the answers are lost, others read what was written.
func loseTransactionResponses(scenario *faultScenario) func(int) {
	scenario.setTaskDurations(2 * time.Second)
	scenario.loseTransactions(0.3, true)
	return func(s int) {
		scenario.submitRandomJob()
		if s%3 == 0 {
			scenario.cancelRandomJobs(1)
		}
		if s == 20 {
			scenario.restart(scenario.Leader().Name)
		}
	}
}

// transactions are carried out late.
func delayTransactions(scenario *faultScenario) func(int) {
	scenario.setTaskDurations(2 * time.Second)
	scenario.loseTransactions(0.2, false)
	return func(s int) {
		scenario.submitRandomJob()
		if s%3 == 0 {
			scenario.cancelRandomJobs(1)
		}
		if s == 15 {
			scenario.restart(scenario.Leader().Name)
		}
	}
}

// teams at their limits, cancelled jobs on machines that hang, the leader changes.
func cancelAtTeamLimits(scenario *faultScenario) func(int) {
	for range 3 {
		scenario.submit(scenario.randomNode(), 8, "crew", "red")
	}
	var hung []*simtest.Agent
	return func(s int) {
		switch s {
		case 6:
			hung = scenario.busyMachines(3)
			for i, agent := range hung {
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
			for _, agent := range hung {
				agent.Silent, agent.LosesResponses = false, false
			}
		}
	}
}

// jobs are cancelled while a shard changes hands.
func cancelDuringHandover(scenario *faultScenario) func(int) {
	for range 6 {
		scenario.submit(scenario.randomNode(), 2)
	}
	return func(s int) {
		if s%12 == 5 || s%12 == 7 {
			scenario.crashOnConfirmedCancellation = true // with what it has confirmed and told nobody else
		}
		if s%12 == 9 {
			scenario.crashOnConfirmedCancellation = false
			for _, name := range scenario.Members {
				if !scenario.Nodes[name].Up {
					scenario.Start(name)
				}
			}
		}
		scenario.submitRandomJob()
		for range 10 { // in the very seconds
			scenario.cancelRandomJobs(1)
			scenario.Advance(100 * time.Millisecond)
		}
	}
}

// machines up at once get work while writes lag, and the leader ends.
func startOnNewMachinesDuringSlowWrites(scenario *faultScenario) func(int) {
	return func(s int) {
		if s < 20 {
			scenario.AddMachine(fmt.Sprintf("vm-1%02d", s), "z1").TaskDuration = 4 * time.Second
			scenario.submit(scenario.randomNode(), 4)
		}
		if s == 4 {
			scenario.State.OnTransaction = func(_ string, _ *protocol.Transaction, apply func() storage.Response, done func(storage.Response)) bool {
				r := apply()
				scenario.delayedCalls = append(scenario.delayedCalls, delayedCall{scenario.Now() + time.Second, func() { done(r) }})
				return true
			}
		}
		if s == 8 || s == 14 {
			scenario.restart(scenario.Leader().Name)
		}
	}
}

// old heartbeats reach every controller as a new leader begins.
func replayOldHeartbeats(scenario *faultScenario) func(int) {
	scenario.setTaskDurations(5 * time.Second)
	var old map[*simtest.Agent][]byte
	return func(s int) {
		scenario.submitRandomJob()
		scenario.submitRandomJob()
		switch s % 8 {
		case 0:
			old = scenario.recordHeartbeats()
		case 2: // after newer ones
			scenario.replayHeartbeats(old)
		case 4:
			lead := scenario.Leader()
			scenario.restart(lead.Name)
			for i := 0; i < 80 && (scenario.actingLeader() == nil || controllerOf(scenario.actingLeader()) == controllerOf(lead)); i++ {
				scenario.Advance(100 * time.Millisecond)
			}
			scenario.replayHeartbeats(old) // before any machine says anything new
		case 7: // of an earlier epoch
			for _, agent := range scenario.busyMachines(1) {
				agent.ExpireLease()
			}
		}
	}
}

// one-task jobs come four a second, a quarter cancelled.
func submitOneTaskJobs(scenario *faultScenario) func(int) {
	scenario.setTaskDurations(2 * time.Second)
	return func(s int) {
		for i := range 4 {
			id := scenario.submit(scenario.randomNode(), 1, "vcpus", 1.0)
			scenario.DeliverAll()
			if i == s%4 {
				scenario.delayedCalls = append(scenario.delayedCalls, delayedCall{scenario.Now() + time.Duration(s%5)*700*time.Millisecond, func() { scenario.query(scenario.randomNode(), "ABORT", id) }})
			}
		}
		if s == 20 || s == 30 { // what has ended stays so
			scenario.restart(scenario.Members[s/10%3])
		}
	}
}

// leaders change ten times, also in an outage.
func changeLeaders(scenario *faultScenario) func(int) {
	scenario.setTaskDurations(4 * time.Second)
	return func(s int) {
		scenario.submitRandomJob()
		if s%5 == 2 {
			scenario.restart(scenario.Members[s/5%3])
		}
		scenario.State.Unavailable[""] = s >= 22 && s < 30
		if s%7 == 0 {
			scenario.cancelRandomJobs(1)
		}
	}
}

// all controllers are away for longer than a lease.
func stopAllControllers(scenario *faultScenario) func(int) {
	scenario.setTaskDurations(6 * time.Second)
	return func(s int) {
		switch {
		case s < 10 || s > 35:
			scenario.submitRandomJob()
		case s == 12:
			scenario.CrashAll()
		case s == 34:
			scenario.StartMembers()
		}
	}
}

// a zone with its workers and a controller is cut off.
func partitionZone(scenario *faultScenario) func(int) {
	scenario.setTaskDurations(6 * time.Second)
	return func(s int) {
		scenario.submitRandomJob()
		if s == 8 {
			scenario.Disconnect("a", "b")
			scenario.Disconnect("a", "c")
			scenario.State.Unavailable["a"] = true
			for _, agent := range scenario.Agents {
				agent.Silent = agent.Zone == "z2"
			}
		}
		if s == 28 {
			delete(scenario.State.Unavailable, "a")
			scenario.Connect("a", "b")
			scenario.Connect("a", "c")
			for _, agent := range scenario.Agents {
				agent.Silent = false
			}
		}
		if s%6 == 0 {
			scenario.cancelRandomJobs(1)
		}
	}
}

// a leader keeps its workers and users alone.
func isolateLeader(scenario *faultScenario) func(int) {
	scenario.setTaskDurations(20 * time.Second)
	var lead *simtest.Node
	return func(s int) {
		scenario.submitRandomJob()
		if s == 8 {
			lead = scenario.Leader()
			scenario.State.Unavailable[lead.Name] = true
			for _, other := range scenario.Members {
				if other != lead.Name {
					scenario.Disconnect(lead.Name, other)
				}
			}
		}
		if s > 8 && s < 30 {
			scenario.cancelRandomJobs(1)
		}
		if s == 30 {
			delete(scenario.State.Unavailable, lead.Name)
			for _, other := range scenario.Members {
				if other != lead.Name {
					scenario.Connect(lead.Name, other)
				}
			}
		}
	}
}

// jobs of one zone lose machines.
func failMachinesOfOneZone(scenario *faultScenario) func(int) {
	scenario.setTaskDurations(6 * time.Second)
	return func(s int) {
		scenario.submit(scenario.randomNode(), 3, "hall", "z2")
		if s == 10 || s == 20 {
			for _, agent := range scenario.busyMachines(2) {
				scenario.failMachine(agent)
			}
		}
		if s == 11 {
			scenario.restart(scenario.Leader().Name)
		}
	}
}

// cancellations, questions and repeats meet the end of the last task.
func cancelAsLastTaskEnds(scenario *faultScenario) func(int) {
	scenario.setTaskDurations(2 * time.Second)
	return func(int) {
		scenario.submitRandomJob()
		for _, id := range scenario.unfinishedJobs() {
			left := 0
			for i := range scenario.jobs[id]["pages"].(int) {
				if !scenario.completedTasks[fmt.Sprintf("%s/%d", id, i)] {
					left++
				}
			}
			if left == 0 {
				scenario.queryEverywhere(id)
				scenario.query(scenario.randomNode(), "ABORT", id)
			}
		}
	}
}

// machines can't reach any controller.
func silenceMachines(scenario *faultScenario) func(int) {
	scenario.setTaskDurations(6 * time.Second)
	return func(s int) {
		scenario.submitRandomJob()
		if s == 8 {
			for _, agent := range scenario.busyMachines(3) {
				agent.Silent = true // nothing is sent to machines but answers
			}
			scenario.cancelRandomJobs(2)
		}
		if s == 20 {
			scenario.restart(scenario.Leader().Name)
		}
	}
}
