package coordination

import (
	"testing"
	"time"

	"github.com/cobaltvale/cobaltvale/internal/simtest"
)

// In these tests a user cancels a job whose tasks run for a long time, and controllers keep ending
// afterwards, while some leader answers each machine. checkInvariants fails a test if a task of the
// job is left after cancel_s.

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
