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
	"github.com/cobaltvale/cobaltvale/internal/storage"
)

// A start that a worker was given by a leader that is no more must be proven
// absent to the new one before another copy goes out.
func TestStartOfACrashedLeaderIsProvenAbsent(t *testing.T) {
	sim := newSimulation(t, "a", "b", "c")
	agent1, agent2 := sim.addMachine("vm-1", "z1"), sim.addMachine("vm-2", "z2")
	sim.run(2 * time.Second)
	lead := sim.leader()
	want(t, "submit at the leader", lead.submit(batchJob("wk-1", 4)).Status, 201)
	want(t, "submit elsewhere", sim.follower().submit(batchJob("wk-2", 4)).Status, 201)
	sim.run(4 * time.Second)
	want(t, "running", sim.runningTasks(), 8)
	old := lead.controller.leader.fencingToken
	sim.crash(lead.name)
	sim.run(9 * time.Second)
	next := sim.leader()
	if next == lead || next.controller.leader.fencingToken <= old {
		t.Fatalf("token %d does not follow %d", next.controller.leader.fencingToken, old)
	}
	want(t, "running on", sim.runningTasks(), 8)
	agent1.finishTasks("done")
	agent2.finishTasks("done")
	sim.run(20 * time.Second)
	sim.wantStatus(next, "wk-1", 200, "done")
	sim.wantStatus(next, "wk-2", 200, "done")
	want(t, "starts", agent1.starts+agent2.starts, 8)
}

// A restarted member gets its ledger back, also when the leader has it.
func TestShardReturnsToItsMember(t *testing.T) {
	sim := newSimulation(t, "a", "b", "c")
	sim.addMachine("vm-1", "z1")
	follower := sim.follower()
	want(t, "submit", follower.submit(batchJob("wk-1", 2)).Status, 201)
	sim.crash(follower.name)
	sim.run(10 * time.Second)
	if sim.leader().controller.owner.Shard(follower.name) == nil {
		t.Fatal("the leader did not take the ledger")
	}
	want(t, "running", sim.runningTasks(), 2)
	sim.start(follower.name)
	sim.run(10 * time.Second)
	if sim.leader().controller.owner.Shard(follower.name) != nil || follower.controller.owner.Shard(follower.name) == nil {
		t.Fatal("the ledger did not go back")
	}
	want(t, "running on", sim.runningTasks(), 2)
}

// A restart faster than the lease: the ledger and the leader key are taken
// over at once, and the new token is higher.
func TestQuickRestartReacquiresItsKeys(t *testing.T) {
	sim := newSimulation(t, "a", "b", "c")
	lead := sim.leader()
	old := lead.controller.leader.fencingToken
	sim.crash(lead.name)
	sim.start(lead.name)
	sim.advance(1500 * time.Millisecond)
	if lead.controller.leader == nil || lead.controller.leader.fencingToken <= old {
		t.Fatal("the restarted leader does not lead under a new token")
	}
	if shard := lead.controller.owner.Shard(lead.name); shard == nil || !shard.Recovered() {
		t.Fatal("the restarted member has no ledger")
	}
}

// A transaction that is applied after its sender was replaced must not count.
func TestLateTransactionIsFenced(t *testing.T) {
	sim := newSimulation(t, "a", "b", "c")
	follower := sim.follower()
	var late func() storage.Response
	sim.state.onTransaction = func(from string, txn *protocol.Transaction, apply func() storage.Response, _ func(storage.Response)) bool {
		if late == nil && len(txn.Then) > 0 && strings.HasPrefix(txn.Then[0].Put, "job/") {
			late = apply
			return true
		}
		return false
	}
	r := follower.submit(batchJob("wk-1", 2))
	want(t, "answered while its fate is open", r.Status, 0)
	sim.crash(follower.name)
	sim.run(10 * time.Second)
	want(t, "late transaction", late().Status, 409)
	code, _ := sim.leader().status("wk-1")
	want(t, "poll", code, 404)
}

// One member alone is refused by the state service: it must stop acting
// before another takes its keys.
func TestRefusedMemberStopsActing(t *testing.T) {
	sim := newSimulation(t, "a", "b", "c")
	agent := sim.addMachine("vm-1", "z1")
	sim.run(2 * time.Second)
	lead := sim.leader()
	sim.state.unavailable[lead.name] = true
	for range 100 {
		sim.advance(100 * time.Millisecond)
		acting := 0
		for _, name := range sim.names {
			if c := sim.nodes[name].controller; c.leader != nil && c.election.MayAct(sim.now) {
				acting++
			}
		}
		if acting > 1 {
			t.Fatal("two members act as leader")
		}
	}
	if sim.leader() == lead {
		t.Fatal("the refused member still leads")
	}
	// It has heard from the next leader and passes reports on to it; it answers
	// none by itself.
	agent.fencingToken = 0
	if r := agent.heartbeatTo(lead); r.Status == 200 {
		want(t, "token of the answer", agent.fencingToken, sim.leader().controller.leader.fencingToken)
	}
	lead.call("GET", "/ready", nil)
	sim.advance(4 * time.Second)
	want(t, "ready", lead.call("GET", "/ready", nil).Status, 503)
	sim.state.unavailable[lead.name] = false
	sim.advance(5 * time.Second)
	want(t, "ready again", lead.call("GET", "/ready", nil).Status, 200)
}

// A member that is silent on the mesh grants no extension: in an outage the
// holder then stops with its lease, as that member may claim its keys.
func TestLeaseEndsWithoutAllExtensions(t *testing.T) {
	sim := newSimulation(t, "a", "b", "c")
	sim.addMachine("vm-1", "z1")
	sim.run(2 * time.Second)
	lead := sim.leader()
	want(t, "submit", lead.submit(batchJob("wk-1", 2)).Status, 201)
	sim.run(2 * time.Second)
	sim.state.unavailable[""] = true
	sim.run(10 * time.Second)
	want(t, "acts while all extend", lead.controller.election.MayAct(sim.now), true)
	sim.disconnect(lead.name, sim.follower().name)
	sim.advance(2500 * time.Millisecond)
	want(t, "acts without a extension", lead.controller.election.MayAct(sim.now), false)
	// Reports are refused meanwhile; that is not the machines' silence.
	sim.run(12 * time.Second)
	sim.connect(lead.name, sim.follower().name)
	sim.state.unavailable[""] = false
	sim.run(8 * time.Second)
	want(t, "machines returned for the outage", len(sim.cloud.released), 0)
	want(t, "running on", sim.runningTasks(), 2)
}

// The state service refuses the leader alone, and then everybody: the next
// leader goes on, although the first has not seen it take the key. Refused its
// extension, nobody acted until the end of the outage, and nothing was cancelled
// in time.
func TestOutageAfterTheLeaderWasRefused(t *testing.T) {
	sim := newSimulation(t, "a", "b", "c")
	agent := sim.addMachine("vm-1", "z1")
	sim.run(2 * time.Second)
	first := sim.leader()
	want(t, "submit", sim.follower().submit(batchJob("wk-1", 2)).Status, 201)
	sim.state.unavailable[first.name] = true
	sim.run(10 * time.Second)
	second := sim.leader()
	want(t, "another leads", second != first, true)
	sim.state.unavailable[""] = true
	for range 50 { // longer than a cancellation has
		sim.run(time.Second)
		if !second.controller.election.MayAct(sim.now) {
			t.Fatal("the leader stops in an outage although everybody extends")
		}
		want(t, "acts that lost its key", first.controller.election.MayAct(sim.now), false)
	}
	want(t, "running", len(agent.running()), 2)
	sim.state.unavailable[""], sim.state.unavailable[first.name] = false, false
	sim.run(5 * time.Second)
	code, status := first.status("wk-1")
	want(t, "known to the first", fmt.Sprint(code, status.Status == "running" || status.Status == "pending"), "200 true")
}

// Whatever is refused to whom, whoever restarts, and whatever transactions are
// carried out late, two processes never act on the same key.
func TestKeyNeverHasTwoHolders(t *testing.T) {
	for seed := range uint64(40) {
		r := rand.New(rand.NewPCG(seed, 7))
		sim := newSimulation(t, "a", "b", "c")
		type late struct {
			at    time.Duration
			apply func() storage.Response
		}
		var unanswered []late
		lateOnes := 0 // of 10
		sim.state.onTransaction = func(from string, txn *protocol.Transaction, apply func() storage.Response, done func(storage.Response)) bool {
			if r.IntN(10) >= lateOnes {
				return false
			}
			unanswered = append(unanswered, late{sim.now + time.Duration(2000+r.IntN(10000))*time.Millisecond, apply})
			done(storage.Response{})
			return true
		}
		for range 250 {
			kept := unanswered[:0]
			for _, l := range unanswered {
				if l.at <= sim.now && !sim.state.unavailable[""] {
					l.apply()
					continue
				}
				kept = append(kept, l)
			}
			unanswered = kept
			if r.IntN(20) == 0 {
				lateOnes = max(0, r.IntN(12)-6)
			}
			n := sim.names[r.IntN(3)]
			switch r.IntN(30) {
			case 0:
				sim.state.unavailable[n] = !sim.state.unavailable[n]
			case 1:
				sim.state.unavailable[""] = !sim.state.unavailable[""]
			case 2:
				if sim.nodes[n].up {
					sim.crash(n)
				} else {
					sim.start(n)
				}
			case 3:
				other := sim.names[r.IntN(3)]
				if other != n && sim.nodes[n].up && sim.nodes[other].up {
					if sim.nodes[n].links[other] != nil {
						sim.disconnect(n, other)
					} else {
						sim.connect(n, other)
					}
				}
			}
			sim.advance(200 * time.Millisecond)
			leaders := 0
			held := make(map[string]int)
			for _, name := range sim.names {
				x := sim.nodes[name]
				if !x.up || !x.controller.election.MayAct(sim.now) {
					continue
				}
				if x.controller.leader != nil {
					leaders++
				}
				for shard := range x.controller.owner.Shards() {
					held[shard.Name()]++
				}
			}
			for l, k := range held {
				if k > 1 {
					t.Fatalf("seed %d: %d members act on ledger %s", seed, k, l)
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
	sim.addMachine("vm-1", "z1")
	sim.run(2 * time.Second)
	want(t, "submit", sim.nodes["a"].submit(batchJob("wk-1", 2)).Status, 201)
	sim.run(2 * time.Second)
	token := sim.leader().controller.leader.fencingToken
	agent := sim.agents["vm-1"]
	want(t, "more", sim.nodes["a"].submit(batchJob("wk-3", 6)).Status, 201)
	sim.run(2 * time.Second)
	sim.state.unavailable[""] = true
	sim.run(12 * time.Second)
	agent.finishTasks("done")
	sim.run(12 * time.Second)
	want(t, "running after new starts in the outage", len(agent.running()), 4)
	want(t, "results kept for the write", len(agent.tasks), 8)
	r := sim.nodes["b"].submit(batchJob("wk-2", 2))
	want(t, "submit in the outage", fmt.Sprint(r.Status, r.RetryAfterS > 0), "503 true")
	code, _ := sim.nodes["b"].status("wk-77")
	want(t, "unknown job in the outage", code, 503)
	for _, name := range sim.names {
		want(t, "ready", sim.nodes[name].call("GET", "/ready", nil).Status, 200)
	}
	sim.state.unavailable[""] = false
	sim.run(4 * time.Second)
	want(t, "token", sim.leader().controller.leader.fencingToken, token)
	want(t, "running on", sim.runningTasks(), 4)
	want(t, "results written and cleared", len(agent.tasks), 4)
	want(t, "submit after", sim.nodes["b"].submit(batchJob("wk-2", 2)).Status, 201)
}

// The answers that name a leader which no worker reaches would lead every
// worker back to it.
func TestLeaderWithoutHeartbeatsResigns(t *testing.T) {
	sim := newSimulation(t, "a", "b", "c")
	sim.addMachine("vm-1", "z1")
	sim.run(10 * time.Second)
	lead := sim.leader()
	sim.advance(20 * time.Second)
	if lead.controller.leader != nil {
		t.Fatal("still leading")
	}
	next := sim.leader()
	sim.run(10 * time.Second)
	if sim.leader() != next {
		t.Fatal("leadership does not rest")
	}
}

// An owner that the leader cannot reach gives its ledger up: users who cancel
// there would be told so while the tasks run on.
func TestOwnerPartitionedFromTheLeaderYields(t *testing.T) {
	sim := newSimulation(t, "a", "b", "c")
	sim.addMachine("vm-1", "z1")
	sim.run(2 * time.Second)
	follower, lead := sim.follower(), sim.leader()
	want(t, "submit", follower.submit(batchJob("wk-1", 2)).Status, 201)
	sim.run(2 * time.Second)
	sim.disconnect(follower.name, lead.name)
	sim.run(15 * time.Second)
	if len(slices.Collect(follower.controller.owner.Shards())) != 0 || lead.controller.owner.Shard(follower.name) == nil {
		t.Fatal("the ledger did not move to the leader")
	}
	want(t, "running on", sim.runningTasks(), 2)
	sim.connect(follower.name, lead.name)
	sim.run(8 * time.Second)
	if follower.controller.owner.Shard(follower.name) == nil {
		t.Fatal("the ledger did not come back")
	}
	want(t, "running on", sim.runningTasks(), 2)
}

// A ledger that is taken up again under the same leader joins again: else its
// jobs would wait for ever, and their ends would not reach the leader.
func TestReacquiredShardRegistersAgain(t *testing.T) {
	sim := newSimulation(t, "a", "b", "c")
	agent := sim.addMachine("vm-1", "z1")
	sim.run(2 * time.Second)
	follower := sim.follower()
	want(t, "submit", follower.submit(batchJob("wk-1", 2)).Status, 201)
	sim.run(3 * time.Second)
	want(t, "running", len(agent.running()), 2)
	follower.controller.election.ReleaseShard(follower.name, election.ReleasedToOwnMember)
	sim.run(8 * time.Second)
	if shard := follower.controller.owner.Shard(follower.name); shard == nil || !shard.Registered() {
		t.Fatal("the ledger has not joined")
	}
	code, status := follower.cancel("wk-1")
	want(t, "abort", fmt.Sprintf("%d %s", code, status), "200 withdrawn")
	sim.run(4 * time.Second)
	want(t, "running", len(agent.running()), 0)
	want(t, "submit", follower.submit(batchJob("wk-2", 2)).Status, 201)
	sim.run(4 * time.Second)
	want(t, "running", len(agent.running()), 2)
}
