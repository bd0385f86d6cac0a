package coordination

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/cobaltvale/cobaltvale/internal/election"
	"github.com/cobaltvale/cobaltvale/internal/protocol"
	"github.com/cobaltvale/cobaltvale/internal/simtest"
	"github.com/cobaltvale/cobaltvale/internal/storage"
)

// A leader sends starts to machines and crashes. The new leader must not start another
// replica of a task before it has proof that the crashed leader's start is absent.
func TestCrashedLeadersStartsAreNotRepeated(t *testing.T) {
	sim := newSimulation(t, "a", "b", "c")
	agent1, agent2 := sim.AddMachine("vm-1", "z1"), sim.AddMachine("vm-2", "z2")
	sim.Run(2 * time.Second)
	lead := sim.Leader()
	requireEqual(t, "submit at the leader", lead.Submit(simtest.BatchJob("wk-1", 4)).Status, 201)
	requireEqual(t, "submit elsewhere", sim.Follower().Submit(simtest.BatchJob("wk-2", 4)).Status, 201)
	sim.Run(4 * time.Second)
	requireEqual(t, "running", sim.runningTasks(), 8)
	old := controllerOf(lead).leader.fencingToken
	sim.Crash(lead.Name)
	sim.Run(9 * time.Second)
	next := sim.Leader()
	if next == lead || controllerOf(next).leader.fencingToken <= old {
		t.Fatalf("fencing token %d does not follow %d", controllerOf(next).leader.fencingToken, old)
	}
	requireEqual(t, "tasks that still run", sim.runningTasks(), 8)
	agent1.FinishTasks("done")
	agent2.FinishTasks("done")
	sim.Run(20 * time.Second)
	sim.requireStatus(next, "wk-1", 200, "done")
	sim.requireStatus(next, "wk-2", 200, "done")
	requireEqual(t, "starts", agent1.Starts+agent2.Starts, 8)
}

// A restarted member gets its shard back, also when the leader has acquired it.
func TestShardReturnsToItsMember(t *testing.T) {
	sim := newSimulation(t, "a", "b", "c")
	sim.AddMachine("vm-1", "z1")
	follower := sim.Follower()
	requireEqual(t, "submit", follower.Submit(simtest.BatchJob("wk-1", 2)).Status, 201)
	sim.Crash(follower.Name)
	sim.Run(10 * time.Second)
	if controllerOf(sim.Leader()).owner.Shard(follower.Name) == nil {
		t.Fatal("the leader did not acquire the crashed member's shard")
	}
	requireEqual(t, "running", sim.runningTasks(), 2)
	sim.Start(follower.Name)
	sim.Run(10 * time.Second)
	if controllerOf(sim.Leader()).owner.Shard(follower.Name) != nil || controllerOf(follower).owner.Shard(follower.Name) == nil {
		t.Fatal("the shard did not return to the restarted member")
	}
	requireEqual(t, "tasks that still run", sim.runningTasks(), 2)
}

// A leader restarts before its lease expires: the new process acquires the shard and the
// leader key at once, under a higher fencing token.
func TestQuickRestartReacquiresItsKeys(t *testing.T) {
	sim := newSimulation(t, "a", "b", "c")
	lead := sim.Leader()
	old := controllerOf(lead).leader.fencingToken
	sim.Crash(lead.Name)
	sim.Start(lead.Name)
	sim.Advance(1500 * time.Millisecond)
	if controllerOf(lead).leader == nil || controllerOf(lead).leader.fencingToken <= old {
		t.Fatal("the restarted leader does not lead under a new fencing token")
	}
	if shard := controllerOf(lead).owner.Shard(lead.Name); shard == nil || !shard.Recovered() {
		t.Fatal("the restarted member has not recovered its shard")
	}
}

// A transaction that arrives at the state service after its sender was replaced must fail.
func TestLateTransactionIsFenced(t *testing.T) {
	sim := newSimulation(t, "a", "b", "c")
	follower := sim.Follower()
	var late func() storage.Response
	sim.State.OnTransaction = func(from string, txn *protocol.Transaction, apply func() storage.Response, _ func(storage.Response)) bool {
		if late == nil && len(txn.Then) > 0 && strings.HasPrefix(txn.Then[0].Put, "job/") {
			late = apply
			return true
		}
		return false
	}
	r := follower.Submit(simtest.BatchJob("wk-1", 2))
	requireEqual(t, "answered while its outcome is unknown", r.Status, 0)
	sim.Crash(follower.Name)
	sim.Run(10 * time.Second)
	requireEqual(t, "late transaction", late().Status, 409)
	code, _ := sim.Leader().Status("wk-1")
	requireEqual(t, "status query", code, 404)
}

// The state service rejects a single member's requests. That member must stop acting before
// another member claims its keys.
func TestMemberRejectedByStateServiceStopsActing(t *testing.T) {
	sim := newSimulation(t, "a", "b", "c")
	agent := sim.AddMachine("vm-1", "z1")
	sim.Run(2 * time.Second)
	lead := sim.Leader()
	sim.State.Unavailable[lead.Name] = true
	for range 100 {
		sim.Advance(100 * time.Millisecond)
		acting := 0
		for _, name := range sim.Members {
			if c := controllerOf(sim.Nodes[name]); c.leader != nil && c.election.MayAct(sim.Now()) {
				acting++
			}
		}
		if acting > 1 {
			t.Fatal("two members act as leader")
		}
	}
	if sim.Leader() == lead {
		t.Fatal("the member whose requests the state service rejects still leads")
	}
	// The member knows the next leader and forwards heartbeats to it. It must not answer
	// them itself.
	agent.FencingToken = 0
	if r := agent.HeartbeatTo(lead); r.Status == 200 {
		requireEqual(t, "fencing token of the answer", agent.FencingToken, controllerOf(sim.Leader()).leader.fencingToken)
	}
	lead.Call("GET", "/ready", nil)
	sim.Advance(4 * time.Second)
	requireEqual(t, "ready", lead.Call("GET", "/ready", nil).Status, 503)
	sim.State.Unavailable[lead.Name] = false
	sim.Advance(5 * time.Second)
	requireEqual(t, "ready again", lead.Call("GET", "/ready", nil).Status, 200)
}

// A disconnected member can't grant a lease extension. In an outage of the state service
// a holder must then stop acting when its lease ends, because that member may claim its
// keys.
func TestLeaseEndsWithoutAllExtensions(t *testing.T) {
	sim := newSimulation(t, "a", "b", "c")
	sim.AddMachine("vm-1", "z1")
	sim.Run(2 * time.Second)
	lead := sim.Leader()
	requireEqual(t, "submit", lead.Submit(simtest.BatchJob("wk-1", 2)).Status, 201)
	sim.Run(2 * time.Second)
	sim.State.Unavailable[""] = true
	sim.Run(10 * time.Second)
	requireEqual(t, "acts while all extend", controllerOf(lead).election.MayAct(sim.Now()), true)
	sim.Disconnect(lead.Name, sim.Follower().Name)
	sim.Advance(2500 * time.Millisecond)
	requireEqual(t, "acts without the extension of one member", controllerOf(lead).election.MayAct(sim.Now()), false)
	// Heartbeats are rejected meanwhile. That must not count as silence of the machines.
	sim.Run(12 * time.Second)
	sim.Connect(lead.Name, sim.Follower().Name)
	sim.State.Unavailable[""] = false
	sim.Run(8 * time.Second)
	requireEqual(t, "machines released because of the outage", len(sim.Cloud.ReleasedMachines), 0)
	requireEqual(t, "tasks that still run", sim.runningTasks(), 2)
}

// The state service first rejects only the leader's requests, and then those of all
// members. The second leader must continue in the outage, although the first leader has not
// seen it claim the key and still has to grant it extensions. Without that extension no
// member would act until the end of the outage, and tasks would not be cancelled in time.
func TestOutageAfterStateServiceRejectedTheLeader(t *testing.T) {
	sim := newSimulation(t, "a", "b", "c")
	agent := sim.AddMachine("vm-1", "z1")
	sim.Run(2 * time.Second)
	first := sim.Leader()
	requireEqual(t, "submit", sim.Follower().Submit(simtest.BatchJob("wk-1", 2)).Status, 201)
	sim.State.Unavailable[first.Name] = true
	sim.Run(10 * time.Second)
	second := sim.Leader()
	requireEqual(t, "another member leads", second != first, true)
	sim.State.Unavailable[""] = true
	for range 50 { // seconds; longer than cancel_s
		sim.Run(time.Second)
		if !controllerOf(second).election.MayAct(sim.Now()) {
			t.Fatal("the leader stops acting in an outage although all members grant extensions")
		}
		requireEqual(t, "the first leader acts without its key", controllerOf(first).election.MayAct(sim.Now()), false)
	}
	requireEqual(t, "running", len(agent.Running()), 2)
	sim.State.Unavailable[""], sim.State.Unavailable[first.Name] = false, false
	sim.Run(5 * time.Second)
	code, status := first.Status("wk-1")
	requireEqual(t, "the job is known to the first leader", fmt.Sprint(code, status.Status == "running" || status.Status == "pending"), "200 true")
}

// Under random rejections by the state service, restarts, disconnections and transactions
// that are applied late, two processes never act on the same key at the same time.
func TestKeyNeverHasTwoHolders(t *testing.T) {
	for seed := range uint64(40) {
		r := rand.New(rand.NewPCG(seed, 7))
		sim := newSimulation(t, "a", "b", "c")
		type lateTransaction struct {
			at    time.Duration
			apply func() storage.Response
		}
		var unanswered []lateTransaction
		lateOfTen := 0 // how many transactions of 10 are applied late, on average
		sim.State.OnTransaction = func(from string, txn *protocol.Transaction, apply func() storage.Response, done func(storage.Response)) bool {
			if r.IntN(10) >= lateOfTen {
				return false
			}
			unanswered = append(unanswered, lateTransaction{sim.Now() + time.Duration(2000+r.IntN(10000))*time.Millisecond, apply})
			done(storage.Response{})
			return true
		}
		for range 250 {
			waiting := unanswered[:0]
			for _, transaction := range unanswered {
				if transaction.at <= sim.Now() && !sim.State.Unavailable[""] {
					transaction.apply()
					continue
				}
				waiting = append(waiting, transaction)
			}
			unanswered = waiting
			if r.IntN(20) == 0 {
				lateOfTen = max(0, r.IntN(12)-6)
			}
			member := sim.Members[r.IntN(3)]
			switch r.IntN(30) {
			case 0:
				sim.State.Unavailable[member] = !sim.State.Unavailable[member]
			case 1:
				sim.State.Unavailable[""] = !sim.State.Unavailable[""]
			case 2:
				if sim.Nodes[member].Up {
					sim.Crash(member)
				} else {
					sim.Start(member)
				}
			case 3:
				other := sim.Members[r.IntN(3)]
				if other != member && sim.Nodes[member].Up && sim.Nodes[other].Up {
					if sim.Nodes[member].Links[other] != nil {
						sim.Disconnect(member, other)
					} else {
						sim.Connect(member, other)
					}
				}
			}
			sim.Advance(200 * time.Millisecond)
			leaders := 0
			holders := make(map[string]int)
			for _, name := range sim.Members {
				node := sim.Nodes[name]
				if !node.Up || !controllerOf(node).election.MayAct(sim.Now()) {
					continue
				}
				if controllerOf(node).leader != nil {
					leaders++
				}
				for shard := range controllerOf(node).owner.Shards() {
					holders[shard.Name()]++
				}
			}
			for shard, count := range holders {
				if count > 1 {
					t.Fatalf("seed %d: %d members act on shard %s", seed, count, shard)
				}
			}
			if leaders > 1 {
				t.Fatalf("seed %d: %d members act as leader", seed, leaders)
			}
		}
	}
}

func TestStateServiceOutage(t *testing.T) {
	sim := newSimulation(t, "a", "b", "c")
	sim.AddMachine("vm-1", "z1")
	sim.Run(2 * time.Second)
	requireEqual(t, "submit", sim.Nodes["a"].Submit(simtest.BatchJob("wk-1", 2)).Status, 201)
	sim.Run(2 * time.Second)
	token := controllerOf(sim.Leader()).leader.fencingToken
	agent := sim.Agents["vm-1"]
	requireEqual(t, "second submit", sim.Nodes["a"].Submit(simtest.BatchJob("wk-3", 6)).Status, 201)
	sim.Run(2 * time.Second)
	sim.State.Unavailable[""] = true
	sim.Run(12 * time.Second)
	agent.FinishTasks("done")
	sim.Run(12 * time.Second)
	requireEqual(t, "running after new starts in the outage", len(agent.Running()), 4)
	requireEqual(t, "results kept for the write", len(agent.Tasks), 8)
	r := sim.Nodes["b"].Submit(simtest.BatchJob("wk-2", 2))
	requireEqual(t, "submit in the outage", fmt.Sprint(r.Status, r.RetryAfterS > 0), "503 true")
	code, _ := sim.Nodes["b"].Status("wk-77")
	requireEqual(t, "unknown job in the outage", code, 503)
	for _, name := range sim.Members {
		requireEqual(t, "ready", sim.Nodes[name].Call("GET", "/ready", nil).Status, 200)
	}
	sim.State.Unavailable[""] = false
	sim.Run(4 * time.Second)
	requireEqual(t, "fencing token", controllerOf(sim.Leader()).leader.fencingToken, token)
	requireEqual(t, "tasks that still run", sim.runningTasks(), 4)
	requireEqual(t, "results written and cleared", len(agent.Tasks), 4)
	requireEqual(t, "submit after the outage", sim.Nodes["b"].Submit(simtest.BatchJob("wk-2", 2)).Status, 201)
}

// A leader that receives no heartbeats must resign. Otherwise the other members' responses
// would keep redirecting every machine to a leader that no machine reaches.
func TestLeaderWithoutHeartbeatsResigns(t *testing.T) {
	sim := newSimulation(t, "a", "b", "c")
	sim.AddMachine("vm-1", "z1")
	sim.Run(10 * time.Second)
	lead := sim.Leader()
	sim.Advance(20 * time.Second)
	if controllerOf(lead).leader != nil {
		t.Fatal("a leader that receives no heartbeats still leads")
	}
	next := sim.Leader()
	sim.Run(10 * time.Second)
	if sim.Leader() != next {
		t.Fatal("leadership changed again although heartbeats arrive")
	}
}

// An owner that is disconnected from the leader must release its shard. Otherwise it would
// confirm users' cancellations while the tasks continue to run.
func TestOwnerPartitionedFromTheLeaderReleasesItsShard(t *testing.T) {
	sim := newSimulation(t, "a", "b", "c")
	sim.AddMachine("vm-1", "z1")
	sim.Run(2 * time.Second)
	follower, lead := sim.Follower(), sim.Leader()
	requireEqual(t, "submit", follower.Submit(simtest.BatchJob("wk-1", 2)).Status, 201)
	sim.Run(2 * time.Second)
	sim.Disconnect(follower.Name, lead.Name)
	sim.Run(15 * time.Second)
	if len(slices.Collect(controllerOf(follower).owner.Shards())) != 0 || controllerOf(lead).owner.Shard(follower.Name) == nil {
		t.Fatal("the shard did not move to the leader")
	}
	requireEqual(t, "tasks that still run", sim.runningTasks(), 2)
	sim.Connect(follower.Name, lead.Name)
	sim.Run(8 * time.Second)
	if controllerOf(follower).owner.Shard(follower.Name) == nil {
		t.Fatal("the shard did not return to the reconnected member")
	}
	requireEqual(t, "tasks that still run", sim.runningTasks(), 2)
}

// A shard that is acquired again under the same leader must be registered again. Otherwise
// its jobs would stay pending forever, and their ends would not reach the leader.
func TestReacquiredShardRegistersAgain(t *testing.T) {
	sim := newSimulation(t, "a", "b", "c")
	agent := sim.AddMachine("vm-1", "z1")
	sim.Run(2 * time.Second)
	follower := sim.Follower()
	requireEqual(t, "submit", follower.Submit(simtest.BatchJob("wk-1", 2)).Status, 201)
	sim.Run(3 * time.Second)
	requireEqual(t, "running", len(agent.Running()), 2)
	controllerOf(follower).election.ReleaseShard(follower.Name, election.ReleasedToOwnMember)
	sim.Run(8 * time.Second)
	if shard := controllerOf(follower).owner.Shard(follower.Name); shard == nil || !shard.Registered() {
		t.Fatal("the reacquired shard is not registered")
	}
	code, status := follower.Cancel("wk-1")
	requireEqual(t, "cancellation", fmt.Sprintf("%d %s", code, status), "200 withdrawn")
	sim.Run(4 * time.Second)
	requireEqual(t, "running", len(agent.Running()), 0)
	requireEqual(t, "submit", follower.Submit(simtest.BatchJob("wk-2", 2)).Status, 201)
	sim.Run(4 * time.Second)
	requireEqual(t, "running", len(agent.Running()), 2)
}
