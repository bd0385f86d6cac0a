package coordination

import (
	"fmt"
	"testing"
	"time"

	"github.com/cobaltvale/cobaltvale/internal/protocol"
	"github.com/cobaltvale/cobaltvale/internal/simtest"
	"github.com/cobaltvale/cobaltvale/internal/storage"
)

// The meeting before all others: the state service refuses the leader alone,
// another member confirms a cancellation, then the state service is down for
// everybody, for longer than a cancellation has, while workers send heartbeats to whoever
// answers them. Whoever answers a heartbeat must then know of the cancellation, or
// cease to answer. checkInvariants looks for what is left of it after cancel_s.

// newLongJobScenario starts a long job of an owner that doesn't lead, and returns both.
func newLongJobScenario(t *testing.T, seed uint64) (scenario *faultScenario, lead, owner *simtest.Node, id string) {
	t.Helper()
	scenario = newFaultScenario(t, seed, 4)
	lead, owner = scenario.Leader(), scenario.Follower()
	id = scenario.submit(owner, 8)
	scenario.submit(lead, 4)
	scenario.play(4, func(int) {})
	requireEqual(t, "running", scenario.runningTasks(), 12)
	return scenario, lead, owner, id
}

// otherNode is the member that is neither.
func (scenario *faultScenario) otherNode(a, b *simtest.Node) *simtest.Node {
	for _, name := range scenario.Names {
		if n := scenario.Nodes[name]; n != a && n != b {
			return n
		}
	}
	return nil
}

// playOutageAfterCancellation lets the state service be down for everybody for longer than a
// cancellation has, and wants the cancelled job's tasks gone by then.
func (scenario *faultScenario) playOutageAfterCancellation(id string) {
	scenario.T.Helper()
	if scenario.knownStatus[id] != protocol.StatusCancelled {
		scenario.T.Fatalf("the cancellation was not confirmed: %q", scenario.knownStatus[id])
	}
	scenario.State.Unavailable[""] = true
	scenario.play(50, func(int) {}) // check fails the test if something runs on
	scenario.recoverAndCheck()
}

// As on the page, at several lengths of the refusal, whoever owns the job and
// whoever confirms.
func TestCancellationBetweenLeaderRefusalAndOutage(t *testing.T) {
	for _, refused := range []time.Duration{500 * time.Millisecond, 4 * time.Second, 10 * time.Second} {
		for _, owns := range []string{"leader", "confirming", "third"} {
			t.Run(fmt.Sprint(refused, " before, owner ", owns), func(t *testing.T) {
				t.Parallel()
				for _, mesh := range []string{"whole", "cut from the owner", "cut from the third"} {
					for _, service := range []bool{false, true} {
						cancelBetweenRefusalAndOutage(t, refused, owns, mesh, service)
					}
				}
			})
		}
	}
}

func cancelBetweenRefusalAndOutage(t *testing.T, refused time.Duration, owns, mesh string, service bool) {
	t.Helper()
	scenario := newFaultScenario(t, uint64(refused), 4)
	lead := scenario.Leader()
	confirming := scenario.Follower()
	third := scenario.otherNode(lead, confirming)
	owner := map[string]*simtest.Node{"leader": lead, "confirming": confirming, "third": third}[owns]
	submit := scenario.submit
	if service {
		submit = scenario.submitService
	}
	id := submit(owner, 8)
	scenario.play(4, func(int) {})
	requireEqual(t, "running", scenario.runningTasks(), 8)
	scenario.State.Unavailable[lead.Name] = true
	switch mesh {
	case "cut from the owner":
		scenario.Disconnect(lead.Name, confirming.Name)
	case "cut from the third":
		scenario.Disconnect(lead.Name, third.Name)
	}
	for end := scenario.Now() + refused; scenario.Now() < end; {
		scenario.query(confirming, "ABORT", id)
		scenario.Advance(100 * time.Millisecond)
	}
	if owns == "third" {
		scenario.restart(third.Name) // it ends with what it knows
	}
	if refused >= 10*time.Second && owns != "third" && mesh == "whole" {
		requireEqual(t, "confirmed before the outage", scenario.knownStatus[id], protocol.StatusCancelled)
	}
	scenario.State.Unavailable[""] = true
	scenario.play(50, func(int) {})
	scenario.recoverAndCheck()
}

// The end is written and read by others, who confirm it; its writer alone gets no
// answer, and so does not know. Nothing may wait for that.
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
	scenario.query(scenario.Leader(), "ABORT", id) // reads what is written
	scenario.DeliverAll()
	scenario.playOutageAfterCancellation(id)
}

// The owner confirms a cancellation and ends before the leader has heard of it;
// it is back before the outage, but not with its shard. Its process extends as
// others do, and nobody is left who knows.
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
	scenario.playOutageAfterCancellation(id)
}

// An owner has not seen that another member leads now, since its watch tells
// nothing: it would tell the old leader what is cancelled. It believes the next
// one, so that this one may go on in the outage; without that all leases would end.
func TestOwnerUnawareOfTheNextLeader(t *testing.T) {
	scenario, lead, owner, id := newLongJobScenario(t, 3)
	scenario.submit(owner, 2)
	scenario.play(4, func(int) {})
	scenario.State.StalledWatches[owner.Name] = true
	scenario.State.Unavailable[lead.Name] = true
	scenario.play(9, func(int) {})
	if scenario.Leader() == lead || scenario.Leader() == owner {
		t.Fatal("the third member does not lead")
	}
	scenario.query(owner, "ABORT", id)
	scenario.Advance(400 * time.Millisecond)
	started := scenario.startedTasks
	scenario.State.Unavailable[""] = true
	scenario.play(50, func(int) {})
	requireEqual(t, "running, started anew", fmt.Sprint(scenario.runningTasks(), " ", scenario.startedTasks-started), "6 0")
	scenario.playOutageAfterCancellation(id)
}
