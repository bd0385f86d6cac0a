package coordination

import (
	"fmt"
	"testing"
	"time"

	"github.com/cobaltvale/cobaltvale/internal/protocol"
	"github.com/cobaltvale/cobaltvale/internal/simtest"
	"github.com/cobaltvale/cobaltvale/internal/storage"
)

// The tests of this file guard against a sequence of faults: the state service rejects only
// the leader's requests, another member confirms a cancellation, and then the state service is down for
// all members for longer than cancel_s, while machines send heartbeats to any member that
// answers. A member that answers heartbeats must then know of the cancellation, or stop
// answering. checkInvariants fails a test if a task of the job is left after cancel_s.

// newLongJobScenario returns a scenario in which two long jobs run: one with 8 tasks, whose
// owner doesn't lead and whose id it returns, and one with 4 tasks, which the leader owns.
func newLongJobScenario(t *testing.T, seed uint64) (scenario *faultScenario, lead, owner *simtest.Node, id string) {
	t.Helper()
	scenario = newFaultScenario(t, seed, 4)
	lead, owner = scenario.Leader(), scenario.Follower()
	id = scenario.submit(owner, 8)
	scenario.submit(lead, 4)
	scenario.runScript(4, func(int) {})
	requireEqual(t, "running", scenario.runningTasks(), 12)
	return scenario, lead, owner, id
}

// otherNode returns the first node that is neither a nor b.
func (scenario *faultScenario) otherNode(a, b *simtest.Node) *simtest.Node {
	for _, name := range scenario.Members {
		if n := scenario.Nodes[name]; n != a && n != b {
			return n
		}
	}
	return nil
}

// runOutageAfterCancellation makes the state service unavailable to all members for longer
// than cancel_s. The cancelled job's tasks must be gone by then.
func (scenario *faultScenario) runOutageAfterCancellation(id string) {
	scenario.T.Helper()
	if scenario.knownStatus[id] != protocol.StatusCancelled {
		scenario.T.Fatalf("the cancellation was not confirmed: %q", scenario.knownStatus[id])
	}
	scenario.State.Unavailable[""] = true
	scenario.runScript(50, func(int) {}) // checkInvariants fails the test if a cancelled task still runs
	scenario.recoverAndCheck()
}

// The sequence described above, for several durations of the rejection, with each member as the
// job's owner, with and without a broken stream between members, and for arrays and services.
func TestCancellationBetweenLeaderRejectionAndOutage(t *testing.T) {
	for _, rejectedFor := range []time.Duration{500 * time.Millisecond, 4 * time.Second, 10 * time.Second} {
		for _, owns := range []string{"leader", "confirming", "third"} {
			t.Run(fmt.Sprint(rejectedFor, " before, owner ", owns), func(t *testing.T) {
				t.Parallel()
				for _, mesh := range []string{"whole", "cut from the owner", "cut from the third"} {
					for _, service := range []bool{false, true} {
						cancelBetweenRejectionAndOutage(t, rejectedFor, owns, mesh, service)
					}
				}
			})
		}
	}
}

func cancelBetweenRejectionAndOutage(t *testing.T, rejectedFor time.Duration, owns, mesh string, service bool) {
	t.Helper()
	scenario := newFaultScenario(t, uint64(rejectedFor), 4)
	lead := scenario.Leader()
	confirming := scenario.Follower()
	third := scenario.otherNode(lead, confirming)
	owner := map[string]*simtest.Node{"leader": lead, "confirming": confirming, "third": third}[owns]
	submit := scenario.submit
	if service {
		submit = scenario.submitService
	}
	id := submit(owner, 8)
	scenario.runScript(4, func(int) {})
	requireEqual(t, "running", scenario.runningTasks(), 8)
	scenario.State.Unavailable[lead.Name] = true
	switch mesh {
	case "cut from the owner":
		scenario.Disconnect(lead.Name, confirming.Name)
	case "cut from the third":
		scenario.Disconnect(lead.Name, third.Name)
	}
	for end := scenario.Now() + rejectedFor; scenario.Now() < end; {
		scenario.query(confirming, "ABORT", id)
		scenario.Advance(100 * time.Millisecond)
	}
	if owns == "third" {
		scenario.restart(third.Name) // its next process does not know of the cancellation
	}
	if rejectedFor >= 10*time.Second && owns != "third" && mesh == "whole" {
		requireEqual(t, "confirmed before the outage", scenario.knownStatus[id], protocol.StatusCancelled)
	}
	scenario.State.Unavailable[""] = true
	scenario.runScript(50, func(int) {})
	scenario.recoverAndCheck()
}

// An owner's write of a job's end is applied, but the owner gets no answer. Other members
// read the record and confirm the cancellation while the owner does not know of it. The
// cancellation must not depend on the owner.
func TestCancellationUnknownToItsOwner(t *testing.T) {
	scenario, _, owner, id := newLongJobScenario(t, 1)
	scenario.State.OnTransaction = func(from string, txn *protocol.Transaction, apply func() storage.Response, done func(storage.Response)) bool {
		if from != owner.Name {
			return false
		}
		apply()
		done(storage.Response{})
		return true
	}
	scenario.query(owner, "ABORT", id)
	scenario.DeliverAll()
	scenario.query(scenario.Leader(), "ABORT", id) // reads the written record
	scenario.DeliverAll()
	scenario.runOutageAfterCancellation(id)
}

// An owner confirms a cancellation and crashes before it can report that to the leader. It restarts
// before the outage but can't acquire its shard. Its new process grants lease extensions like any
// other member, and no running process knows of the cancellation.
func TestCancellationSurvivesOwnerCrash(t *testing.T) {
	scenario, lead, owner, id := newLongJobScenario(t, 2)
	scenario.Disconnect(lead.Name, owner.Name)
	scenario.query(owner, "ABORT", id)
	scenario.Advance(400 * time.Millisecond)
	scenario.Crash(owner.Name)
	scenario.State.OnTransaction = func(from string, txn *protocol.Transaction, _ func() storage.Response, done func(storage.Response)) bool {
		for _, c := range txn.Then {
			if from == owner.Name && c.Put == storage.ShardKey(owner.Name) {
				done(storage.Response{}) // lost
				return true
			}
		}
		return false
	}
	scenario.Start(owner.Name)
	scenario.Advance(300 * time.Millisecond)
	requireEqual(t, "the owner's next process is known", controllerOf(owner).election.Registered(), true)
	scenario.runOutageAfterCancellation(id)
}

// An owner's watch reports nothing, so it does not see that another member leads now, and it
// would report a cancellation to the old leader. The owner must accept the new leader from that
// leader's own messages, so that the new leader can continue in the outage. Otherwise all leases
// would end.
func TestOwnerUnawareOfTheNextLeader(t *testing.T) {
	scenario, lead, owner, id := newLongJobScenario(t, 3)
	scenario.submit(owner, 2)
	scenario.runScript(4, func(int) {})
	scenario.State.StalledWatches[owner.Name] = true
	scenario.State.Unavailable[lead.Name] = true
	scenario.runScript(9, func(int) {})
	if scenario.Leader() == lead || scenario.Leader() == owner {
		t.Fatal("the third member does not lead")
	}
	scenario.query(owner, "ABORT", id)
	scenario.Advance(400 * time.Millisecond)
	started := scenario.startedTasks
	scenario.State.Unavailable[""] = true
	scenario.runScript(50, func(int) {})
	requireEqual(t, "running tasks, tasks started in the outage", fmt.Sprint(scenario.runningTasks(), " ", scenario.startedTasks-started), "6 0")
	scenario.runOutageAfterCancellation(id)
}
