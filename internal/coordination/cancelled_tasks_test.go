package coordination

import (
	"slices"
	"testing"
	"time"

	"github.com/cobaltvale/cobaltvale/internal/protocol"
	"github.com/cobaltvale/cobaltvale/internal/simtest"
	"github.com/cobaltvale/cobaltvale/internal/storage"
)

// cancelUnseenByMachines cancels the job at its owner, which confirms it, and crashes the leader
// before any machine has been told to stop.
func (scenario *faultScenario) cancelUnseenByMachines(t *testing.T, lead, owner *simtest.Node, id string) {
	t.Helper()
	scenario.query(owner, "ABORT", id)
	scenario.Advance(400 * time.Millisecond)
	requireEqual(t, "confirmed status", scenario.knownStatus[id], "withdrawn")
	requireEqual(t, "running tasks", scenario.runningTasks(), 12)
	scenario.crashFor(lead.Name, time.Second)
}

// crashFor crashes a member and schedules its restart.
func (scenario *faultScenario) crashFor(name string, span time.Duration) {
	scenario.Crash(name)
	scenario.delayedCalls = append(scenario.delayedCalls, delayedCall{scenario.Now() + span, func() { scenario.Start(name) }})
}

// sendHeartbeats has every machine send one heartbeat.
func (scenario *faultScenario) sendHeartbeats() {
	for _, name := range scenario.AgentNames() {
		scenario.Agents[name].Heartbeat()
	}
}

// crashOneOwner crashes a member that owns a shard, other than the leader if there is one.
func (scenario *faultScenario) crashOneOwner(leader *simtest.Node) {
	crashed := leader.Name
	for _, name := range scenario.Members {
		if owner := controllerOf(leader).leader.shards.get(name).owner.member; owner != leader.Name {
			crashed = owner
		}
	}
	scenario.crashFor(crashed, time.Second)
}

// Whenever a machine sends a heartbeat, some shard has just lost its owner.
func TestCancelledTaskStopsWhileShardsKeepLosingTheirOwners(t *testing.T) {
	scenario, lead, owner, id := newLongJobScenario(t, 5)
	scenario.cancelUnseenByMachines(t, lead, owner, id)
	for end := scenario.Now() + cancellationTimeout + 5*time.Second; scenario.Now() < end; {
		scenario.Advance(500 * time.Millisecond)
		if leader := scenario.actingLeader(); leader != nil && controllerOf(leader).leader.shards.allRegistered() {
			scenario.crashOneOwner(leader)
		}
		scenario.sendHeartbeats()
	}
	requireEqual(t, "running tasks of the other job", scenario.runningTasks(), 4)
	scenario.recoverAndCheck()
}

// Each leader ends when it has answered a machine once, so that no heartbeat carries its token.
func TestCancelledTaskStopsThoughEachLeaderAnswersOneHeartbeat(t *testing.T) {
	scenario, lead, owner, id := newLongJobScenario(t, 6)
	scenario.cancelUnseenByMachines(t, lead, owner, id)
	for end := scenario.Now() + cancellationTimeout + 5*time.Second; scenario.Now() < end; {
		scenario.Advance(500 * time.Millisecond)
		leader := scenario.actingLeader()
		scenario.sendHeartbeats()
		if leader != nil {
			scenario.crashFor(leader.Name, time.Second)
		}
	}
	requireEqual(t, "running tasks of the other job", scenario.runningTasks(), 4)
	scenario.recoverAndCheck()
}

// The leader can renew its own lease, but can read no shard's jobs.
func TestMachineLeaseEndsWhileTheLeaderCannotReadTheJobs(t *testing.T) {
	scenario, lead, owner, id := newLongJobScenario(t, 7)
	scenario.State.HiddenPrefix = "own/"
	scenario.cancelUnseenByMachines(t, lead, owner, id)
	scenario.crashFor(owner.Name, time.Second)
	scenario.crashFor(scenario.otherNode(lead, owner).Name, time.Second)
	scenario.Run(cancellationTimeout + 5*time.Second)
	scenario.State.HiddenPrefix = ""
	scenario.recoverAndCheck()
}

// The owner confirms the cancellation out of the leader's reach and ends; its shard can't be claimed.
func TestCancelledTaskStopsThoughNoOwnerTellsTheLeader(t *testing.T) {
	scenario, lead, owner, id := newLongJobScenario(t, 8)
	scenario.Disconnect(lead.Name, owner.Name)
	scenario.query(owner, "ABORT", id)
	scenario.Advance(400 * time.Millisecond)
	requireEqual(t, "confirmed status", scenario.knownStatus[id], "withdrawn")
	scenario.crashFor(owner.Name, time.Second)
	scenario.loseClaims(owner.Name)
	scenario.Run(cancellationTimeout + 5*time.Second)
	requireEqual(t, "leader", scenario.Leader().Name, lead.Name)
	requireEqual(t, "running tasks of the other job", scenario.runningTasks(), 4)
	scenario.recoverAndCheck()
}

// A member of a later version has described the job in a record that the leader can't read.
func TestTaskOfAJobInAnUnreadableRecordIsNotStopped(t *testing.T) {
	scenario, lead, owner, _ := newLongJobScenario(t, 9)
	scenario.State.Put("own/"+owner.Name+"/99", scenario.Codec.Encode("later format"))
	agent := scenario.Agents["vm-00"]
	agent.Tasks["wk-99/0#1"] = &simtest.AgentTask{Name: "wk-99/0", Replica: 1, State: "running"}
	scenario.jobs["wk-99"] = simtest.BatchJob("wk-99", 1)
	scenario.loseClaims(owner.Name)
	scenario.Crash(owner.Name)
	scenario.crashFor(lead.Name, time.Second)
	scenario.Run(10 * time.Second)
	if scenario.Leader().Name == owner.Name {
		t.Fatal("the job's owner leads")
	}
	requireEqual(t, "the task runs", slices.Contains(agent.Running(), "wk-99/0"), true)
}

// The answer to a read arrives after its shard was registered, got a job and lost its owner again.
func TestTaskOfAJobAcceptedAfterTheReadIsNotStopped(t *testing.T) {
	scenario, lead, owner, _ := newLongJobScenario(t, 10)
	scenario.Disconnect(lead.Name, owner.Name)
	readDelay := time.Second
	scenario.State.ResponseDelay = func(to string) time.Duration {
		if to == lead.Name {
			return readDelay
		}
		return 0
	}
	scenario.Advance(100 * time.Millisecond) // the leader reads the jobs of the shard
	readDelay = 0
	scenario.Connect(lead.Name, owner.Name)
	scenario.Advance(200 * time.Millisecond)
	id := scenario.submit(owner, 2)
	scenario.Advance(400 * time.Millisecond)
	scenario.sendHeartbeats()
	requireEqual(t, "running tasks", scenario.runningTasks(), 14)
	scenario.Disconnect(lead.Name, owner.Name)
	scenario.Run(time.Second)
	job := controllerOf(lead).leader.jobs.get(id)
	requireEqual(t, "the leader takes the job for ended", job == nil || job.ended, false)
	scenario.Run(2 * time.Second)
	requireEqual(t, "running tasks", scenario.runningTasks(), 14)
}

// loseClaims loses all claims of a shard.
func (scenario *faultScenario) loseClaims(shard string) {
	scenario.State.OnTransaction = func(_ string, txn *protocol.Transaction, _ func() storage.Response, done func(storage.Response)) bool {
		lost := len(txn.Then) == 1 && txn.Then[0].Put == storage.ShardKey(shard)
		if lost {
			done(storage.Response{})
		}
		return lost
	}
}
