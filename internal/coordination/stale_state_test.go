package coordination

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/cobaltvale/cobaltvale/internal/election"
	"github.com/cobaltvale/cobaltvale/internal/forecast"
	"github.com/cobaltvale/cobaltvale/internal/protocol"
	"github.com/cobaltvale/cobaltvale/internal/protocol/meshpb"
	"github.com/cobaltvale/cobaltvale/internal/settings"
	"github.com/cobaltvale/cobaltvale/internal/storage"
)

// What the far larger fleets brought to light. A machine whose lease is over
// stays known with the list that it last sent, for as long as the cloud does
// not return it. A ledger that changes hands meanwhile must not be told of that
// list: its new holder would take the dead copy for the one that counts, have
// the live one stopped, and replicate the task while it still runs
// (ran_twice, 17 times on one day with 2,767 machines).
func TestStatusOfLostMachineIsNotForwarded(t *testing.T) {
	sim := newSimulation(t, "a", "b", "c")
	dead := sim.addMachine("vm-1", "z1")
	sim.run(2 * time.Second)
	owner := sim.follower()
	want(t, "submit", owner.submit(batchJob("wk-1", 1)).Status, 201)
	sim.run(3 * time.Second)
	want(t, "running", len(dead.running()), 1)
	sim.cloud.refusesRelease = true
	dead.silent = true
	agent2, agent3 := sim.addMachine("vm-2", "z1"), sim.addMachine("vm-3", "z1")
	dead.expireLease()
	sim.run(beyondAnyLease)
	want(t, "replicas", len(agent2.running())+len(agent3.running()), 1)
	live, other := agent2, agent3
	if len(agent3.running()) == 1 {
		live, other = agent3, agent2
	}
	sim.crash(owner.name)
	sim.advance(500 * time.Millisecond)
	sim.start(owner.name)
	sim.run(5 * time.Second)
	sim.wantStatus(sim.nodes[owner.name], "wk-1", 200, "running")
	want(t, "copies left alone", len(live.running()), 1)
	sim.cloud.refusesRelease = false
	sim.run(10 * time.Second) // the dead machine is returned
	want(t, "second copies", len(other.running()), 0)
	live.finishTasks("done")
	sim.run(3 * time.Second)
	sim.wantStatus(sim.nodes[owner.name], "wk-1", 200, "done")
}

// A report of a later session proves what the machine held gone, although it
// does not carry the leader's token. What it held before must not be told to a
// ledger's next holder either.
func TestStatusOfEarlierEpochIsNotForwarded(t *testing.T) {
	sim := newSimulation(t, "a", "b", "c")
	agent := sim.addMachine("vm-1", "z1")
	sim.run(2 * time.Second)
	owner := sim.follower()
	want(t, "submit", owner.submit(batchJob("wk-1", 1)).Status, 201)
	sim.run(3 * time.Second)
	want(t, "running", len(agent.running()), 1)
	agent2 := sim.addMachine("vm-2", "z1")
	sim.run(2 * time.Second)
	agent.expireLease()
	token := agent.fencingToken
	agent.fencingToken = 1
	agent.heartbeatTo(sim.leader())
	agent.fencingToken, agent.silent = token, true
	sim.cloud.refusesRelease = true // nor does its return
	sim.run(3 * time.Second)
	want(t, "replicas", len(agent2.running()), 1)
	sim.crash(owner.name)
	sim.advance(500 * time.Millisecond)
	sim.start(owner.name)
	sim.run(5 * time.Second)
	want(t, "copies left alone", len(agent2.running()), 1)
	agent3 := sim.addMachine("vm-3", "z1")
	agent2.silent = true // before it could be told to stop
	sim.run(4 * time.Second)
	want(t, "second copies", len(agent3.running()), 0)
}

// Of several copies that are listed of a recovered task, the one with the
// highest number counts, in whatever order the machines are heard of: earlier
// holders gave it out only once the others were proven gone.
func TestHighestReplicaNumberCounts(t *testing.T) {
	sim := newSimulation(t, "a", "b", "c")
	old, live := sim.addMachine("vm-1", "z1"), sim.addMachine("vm-2", "z1")
	old.silent = true
	sim.run(2 * time.Second)
	old.silent = false
	want(t, "submit", sim.nodes["a"].submit(batchJob("wk-1", 1)).Status, 201)
	live.heartbeat()
	sim.advance(time.Second)
	live.heartbeat()
	want(t, "running", len(live.running()), 1)
	for _, task := range live.tasks {
		// An earlier copy, as a late report of its machine might list it.
		old.tasks["old"] = &agentTask{name: task.name, replica: task.replica - 1, state: "fetching"}
	}
	for _, name := range sim.names {
		sim.crash(name)
	}
	sim.advance(10 * time.Second)
	for _, name := range sim.names {
		sim.start(name)
	}
	sim.advance(3 * time.Second)
	for range 3 {
		old.heartbeat()
		sim.advance(time.Second)
	}
	sim.run(3 * time.Second)
	want(t, "copies that count", len(live.running()), 1)
	old.tasks = make(map[string]*agentTask)
	sim.run(3 * time.Second)
	want(t, "second copies", len(old.running()), 0)
	live.finishTasks("done")
	sim.run(3 * time.Second)
	sim.wantStatus(sim.nodes["a"], "wk-1", 200, "done")
}

// A leader that stood still while its clock ran on wakes up with reports and
// requests from before in its sockets. Its authority has ended: it answers no
// report, tells nobody an older state, and neither writes nor calls the cloud
// as a leader. The others have replaced it as fast as after a crash.
func TestPausedLeaderDoesNotAct(t *testing.T) {
	sim := newSimulation(t, "a", "b", "c")
	agent := sim.addMachine("vm-1", "z1")
	sim.run(2 * time.Second)
	old, owner := sim.leader(), sim.follower()
	want(t, "submit", owner.submit(batchJob("wk-1", 2)).Status, 201)
	want(t, "submit to the leader", old.submit(batchJob("wk-2", 1)).Status, 201)
	sim.run(3 * time.Second)
	want(t, "running", len(agent.running()), 3)
	early := agent.heartbeatBody()
	old.paused = true
	sim.advance(5 * time.Second)
	if sim.leader() == old {
		t.Fatal("nobody replaces the leader")
	}
	sim.pause(old.name, 8*time.Second)
	sim.run(20 * time.Second)
	agent.finishTasks("done")
	sim.run(4 * time.Second)
	late := agent.heartbeatBody()
	for _, id := range []string{"wk-1", "wk-2"} {
		sim.wantStatus(owner, id, 200, "done")
	}
	calls := len(sim.cloud.scaleOutRequests) + len(sim.cloud.releaseSizes)
	sim.state.onTransaction = func(from string, txn *protocol.Transaction, apply func() storage.Response, _ func(storage.Response)) bool {
		for _, c := range txn.Then {
			if from == old.name && !strings.HasPrefix(c.Put, storage.MemberPrefix) {
				if r := apply(); r.Status == 200 {
					t.Errorf("%s has changed %s%s", from, c.Put, c.Delete)
				}
			}
		}
		return false
	}
	for _, body := range [][]byte{early, late} {
		got := old.call("POST", "/checkin", body)
		if got.Status == 200 || got.Status == 0 {
			t.Fatalf("a report was answered %d", got.Status)
		}
	}
	for _, id := range []string{"wk-1", "wk-2"} {
		if code, s := old.status(id); code == 200 && s.Status != "done" {
			t.Fatalf("%s was said to be %q", id, s.Status)
		}
	}
	sim.resume(old.name)
	for range 3 {
		old.controller.Tick()
		old.controller.EndBatch()
	}
	want(t, "calls to the cloud", len(sim.cloud.scaleOutRequests)+len(sim.cloud.releaseSizes), calls)
	sim.reconnect(old.name)
	sim.state.onTransaction = nil
	sim.run(6 * time.Second)
	want(t, "its own ledger taken up again", old.controller.owner.Shard(old.name) != nil, true)
	sim.wantStatus(old, "wk-2", 200, "done")
}

// An owner that stood still finds offers, made before, among its frames. It
// must give nothing away for them, and its polls come after those that the
// ledger's new holder has answered.
func TestPausedOwnerDoesNotAct(t *testing.T) {
	sim := newSimulation(t, "a", "b", "c")
	agent1 := sim.addMachine("vm-1", "z1")
	sim.run(2 * time.Second)
	owner, lead := sim.follower(), sim.leader()
	want(t, "submit", owner.submit(batchJob("wk-1", 1)).Status, 201)
	owner.paused = true
	agent1.heartbeatTo(lead) // the offer waits at the owner
	want(t, "running", len(agent1.running()), 0)
	sim.pause(owner.name, 30*time.Second)
	want(t, "running for the new holder", len(agent1.running()), 1)
	sim.addMachine("vm-2", "z1")
	sim.resume(owner.name)
	if _, s := owner.status("wk-1"); s.Status == "pending" {
		t.Fatal("an older state was told")
	}
	sim.run(2 * time.Second)
	agent1.finishTasks("done")
	sim.run(2 * time.Second)
	sim.wantStatus(lead, "wk-1", 200, "done")
	if code, s := owner.status("wk-1"); code == 200 && s.Status != "done" {
		t.Fatalf("after done it was said to be %q", s.Status)
	}
	sim.reconnect(owner.name)
	sim.run(4 * time.Second)
	sim.wantStatus(owner, "wk-1", 200, "done")
}

// In an outage a leader goes on only while every member keeps promising. One
// that stands still extends nothing, and what it says late, on waking, counts
// from when it was asked.
func TestPausedMemberGrantsNoLeaseExtension(t *testing.T) {
	sim := newSimulation(t, "a", "b", "c")
	agent := sim.addMachine("vm-1", "z1")
	sim.run(2 * time.Second)
	lead, other := sim.leader(), sim.follower()
	sim.state.unavailable[""] = true
	sim.run(6 * time.Second)
	want(t, "a report in the outage", agent.heartbeatTo(lead).Status, 200)
	other.paused = true
	sim.advance(3 * time.Second)
	want(t, "a report without all extensions", agent.heartbeatTo(lead).Status, 503)
	asked := lead.links[other.name]
	for i, f := range asked.queue { // only the first question has come through
		if f.GetLeaseExtensionRequest() != nil {
			asked.queue = asked.queue[i : i+1]
			break
		}
	}
	want(t, "questions", len(asked.queue), 1)
	other.paused = false
	sim.deliverAll()
	want(t, "a report after late extensions", agent.heartbeatTo(lead).Status, 503)
	sim.advance(time.Second)
	want(t, "a report with fresh extensions", agent.heartbeatTo(lead).Status, 200)
}

// A relay that stood still with a leader's answer in hand says up to when it
// may be sent, and so do a leader and an owner; see also TestNothingLateIsSent.
func TestResponsesCarryTheirExpiry(t *testing.T) {
	sim := newSimulation(t, "a", "b", "c")
	agent := sim.addMachine("vm-1", "z1")
	sim.run(2 * time.Second)
	lead, relay := sim.leader(), sim.follower()
	began := sim.now
	r := agent.heartbeatTo(relay)
	want(t, "report", r.Status, 200)
	if r.ValidUntil < began || r.ValidUntil > began+responseLifetime {
		t.Fatalf("a relay's answer holds for %v", r.ValidUntil-began)
	}
	r = agent.heartbeatTo(lead)
	want(t, "report", r.Status, 200)
	if r.ValidUntil <= sim.now || r.ValidUntil > sim.now+lead.controller.tuning.StateLease {
		t.Fatalf("a leader's answer holds for %v", r.ValidUntil-sim.now)
	}
	want(t, "submit", relay.submit(batchJob("wk-1", 1)).Status, 201)
	r = relay.call("GET", "/submissions/wk-1", nil)
	want(t, "poll", r.Status, 200)
	if r.ValidUntil <= sim.now || r.ValidUntil > sim.now+relay.controller.tuning.StateLease {
		t.Fatalf("an owner's answer holds for %v", r.ValidUntil-sim.now)
	}
}

// requestExtension passes a request of another member for one key on to a node.
func (n *node) requestExtension(from *node, key string) {
	request := &meshpb.LeaseExtensionRequest{Round: 1, Keys: []*meshpb.HeldKey{{Key: key}}}
	n.controller.dispatch(n.controller.peers[from.name],
		&meshpb.Frame{Body: &meshpb.Frame_LeaseExtensionRequest{LeaseExtensionRequest: request}})
}

// A member that has granted not to claim its own ledger, which another holds,
// must keep to that when the key vanishes: the holder may act until the extension
// ends.
func TestLeaseExtensionBindsForTheOwnShard(t *testing.T) {
	sim := newSimulation(t, "a", "b", "c")
	sim.run(2 * time.Second)
	lead, back := sim.leader(), sim.follower()
	sim.crash(back.name)
	sim.advance(8 * time.Second)
	key := storage.ShardKey(back.name)
	want(t, "taken over", lead.controller.owner.Shard(back.name) != nil, true)
	sim.start(back.name)
	lead.paused = true // it is slow to hear that the ledger is asked for
	for !back.controller.election.Registered() || !back.controller.election.ViewLoaded() {
		sim.advance(tickInterval)
	}
	back.requestExtension(lead, key)
	granted := sim.now
	sim.state.revision++
	sim.state.deleteKey(key) // the holder's lease has ended
	sim.state.notifyWatches()
	for sim.now < granted+election.ExtensionDuration {
		sim.deliverAll()
		if back.controller.owner.Shard(back.name) != nil {
			t.Fatalf("taken %v after the extension", sim.now-granted)
		}
		sim.advance(tickInterval)
	}
	sim.advance(time.Second)
	want(t, "taken after the extension", back.controller.owner.Shard(back.name) != nil, true)
	want(t, "by the extension alone", lead.controller.owner.Shard(back.name) != nil, true)
}

// Back at once, with its ledger's key gone, a member need not wait for extensions
// that an earlier process may have given: it asks the others, and who answers
// has given the ledger up.
func TestRestartedMemberRequestsItsShard(t *testing.T) {
	sim := newSimulation(t, "a", "b", "c")
	sim.run(2 * time.Second)
	lead, back := sim.leader(), sim.follower()
	sim.crash(back.name)
	sim.advance(8 * time.Second)
	want(t, "taken over", lead.controller.owner.Shard(back.name) != nil, true)
	key := storage.ShardKey(back.name)
	sim.state.revision++
	sim.state.deleteKey(key) // the holder's lease has ended, and it has not heard of it
	sim.start(back.name)
	for range 8 {
		sim.advance(tickInterval)
		if back.controller.owner.Shard(back.name) != nil {
			want(t, "still held by the other", lead.controller.owner.Shard(back.name) != nil, false)
		}
	}
	want(t, "taken at once", back.controller.owner.Shard(back.name) != nil, true)
}

// A claim of the leader key that the network held is applied after its sender
// has granted the key's holder not to claim it. Seeing itself named it must
// not lead before that extension has ended.
func TestLateClaimWaitsForTheLeaseExtension(t *testing.T) {
	sim := newSimulation(t, "a", "b", "c")
	sim.run(2 * time.Second)
	lead, other := sim.leader(), sim.follower()
	other.requestExtension(lead, storage.LeaderKey)
	granted := sim.now
	for _, name := range sim.names { // only the sender sees the claim applied
		sim.state.stalledWatches[name] = name != other.name
	}
	lease := sim.state.keys[storage.ShardKey(other.name)].lease
	sim.state.announce(storage.LeaderKey, other.controller.identity)
	sim.state.keys[storage.LeaderKey] = &stateKey{value: sim.codec.Encode(other.controller.identity), version: sim.state.revision, lease: lease}
	for sim.now < granted+election.ExtensionDuration {
		if other.controller.leader != nil {
			t.Fatalf("leads %v after the extension", sim.now-granted)
		}
		sim.advance(tickInterval)
	}
	sim.advance(time.Second)
	want(t, "leads after the extension", other.controller.leader != nil, true)
}

// One member alone takes everybody's users and jobs. It must have the whole of
// the state service's rates then: with a third of them, what is submitted in a
// burst queues behind the writes until users give up.
func TestStateRatesAreSharedByActiveMembers(t *testing.T) {
	sim := newSimulation(t, "a", "b", "c")
	sim.run(2 * time.Second)
	last := sim.leader()
	want(t, "active", last.controller.activeMembers(), 3)
	for _, name := range sim.names {
		if name != last.name {
			sim.crash(name)
		}
	}
	want(t, "active while the others hold keys", last.controller.activeMembers(), 3)
	sim.advance(10 * time.Second)
	want(t, "active", last.controller.activeMembers(), 1)
	before, accepted := sim.state.writes, 0
	const jobs = 1200 // of one change each, and a shared one; the burst is 150, the rate 300 * 0.8
	for i := range jobs {
		body := sim.codec.Encode(map[string]any(batchJob(fmt.Sprint("wk-", i+1), 1)))
		last.controller.HandleHTTP(&Request{Method: "POST", Path: "/submissions", Body: body}, func(r Response) {
			if r.Status == 201 {
				accepted++
			}
		})
		if i%100 == 99 {
			sim.advance(tickInterval)
		}
	}
	sim.advance(time.Second)
	made := sim.state.writes - before
	if most := 150 + 240*22/10; made < most*8/10 || made > most+1 {
		t.Fatalf("%d changes were made in 2.2 s", made)
	}
	if accepted < 500 { // four changes each would have left room for 340
		t.Fatalf("%d jobs were accepted in 2.2 s", accepted)
	}
}

// When a whole room falls silent its machines are most likely cut off. They are
// waited for as long as new ones would take to boot and fetch: returning them,
// moments before the cut ended, made 320 of them start anew. One that the
// cloud's list lacks meanwhile is gone, and returned to prove that.
func TestPartitionedMachinesAreWaitedFor(t *testing.T) {
	sim := newSimulation(t, "a", "b", "c")
	for i := range 9 { // as many as one member takes without sending some elsewhere
		sim.addMachine(fmt.Sprintf("vm-%02d", i), "z1")
	}
	sim.run(2 * time.Second)
	want(t, "submit", sim.nodes["a"].submit(batchJob("wk-1", 36)).Status, 201)
	sim.run(28 * time.Second) // the list has them all for long
	silent := sim.now
	for i := range 6 {
		sim.agents[fmt.Sprintf("vm-%02d", i)].silent = true
	}
	gone := sim.cloud.machines[0].name
	sim.cloud.machines = sim.cloud.machines[1:]
	sim.run(15 * time.Second)
	want(t, "returned after the limit of silence", fmt.Sprint(sim.cloud.released), fmt.Sprint([]string{gone}))
	sim.run(20 * time.Second) // their leases are over by now
	for name, agent := range sim.agents {
		if agent.silent {
			agent.expireLease()
		}
		if name == gone {
			delete(sim.agents, name)
		}
	}
	want(t, "returned when their leases are over", len(sim.cloud.released), 1)
	// What they held waits for them, but for the room that is gone; urgent work
	// gets machines of its own.
	want(t, "rented for what waits", sim.cloud.created, 1)
	want(t, "submit", sim.nodes["a"].submit(batchJob("wk-2", 8).with("urgency", "urgent").with("vcpus", 8.0)).Status, 201)
	sim.run(3 * time.Second)
	want(t, "rented with urgent work", sim.cloud.created > 5, true)
	for len(sim.cloud.released) < 6 && sim.now < silent+2*time.Minute {
		sim.run(time.Second)
	}
	want(t, "returned in the end", len(sim.cloud.released) >= 6, true)
	want(t, "long after", sim.now-silent > 50*time.Second, true)
}

// A job that has missed its deadline is still worth something to the users if it
// is done by the next of their aims; only one that can meet none goes last.
func TestOverdueJobIsOrderedByItsNextObjective(t *testing.T) {
	sim := newSimulation(t, "a")
	sim.run(2 * time.Second)
	l := sim.nodes["a"].controller.leader
	l.env.settings.Objectives = []settings.Objective{
		{Kind: "wait", Class: "d", WithinS: 50, Share: 0.99}, {Kind: "wait", Class: "d", WithinS: 12, Share: 0.98},
		{Kind: "finished", Class: "d", WithinS: 200, Share: 0.9}, {Kind: "deadline", Class: "d", Times: 1.5, Share: 0.9},
		{Kind: "finished", Class: "other", WithinS: 1000, Share: 0.9},
	}
	objective := forecast.StartObjectiveOf(l.env.settings.Objectives, "d")
	want(t, "the aim that leaves least", [2]float64{objective.Share, objective.WithinS}, [2]float64{0.98, 12})
	const sent = int64(1e12)
	job := &trackedJob{spec: &meshpb.JobSummary{Class: "d", EstimateS: 30, SubmittedMs: sent, DeadlineMs: sent + 100_000}, started: true}
	for _, test := range []struct {
		after int64 // seconds
		start float64
		late  bool
	}{{50, 70, false}, {72, 70, false}, {73, 120, false}, {122, 120, false}, {123, 170, false}, {173, 70, true}} {
		r := l.orderKeyOf(job, sent+test.after*1000)
		if r.LatestStart-float64(sent)/1000 != test.start || r.MissesDeadline != test.late {
			t.Fatalf("after %d s: latest start %v, late %v", test.after, r.LatestStart-float64(sent)/1000, r.MissesDeadline)
		}
	}
}

// Machines' names may be long: a record of them must stay within the state
// service's limit of a value, or none of its machines would ever get a start.
func TestMachineRecordsStayWithinTheValueLimit(t *testing.T) {
	sim := newSimulation(t, "a")
	largest := 0
	sim.state.onTransaction = func(_ string, txn *protocol.Transaction, _ func() storage.Response, done func(storage.Response)) bool {
		for _, c := range txn.Then {
			largest = max(largest, len(c.Value))
			if len(c.Value) > 8<<10 {
				done(storage.Response{Status: 400, Body: sim.codec.Encode(map[string]any{"error": "value is too large"})})
				return true
			}
		}
		return false
	}
	for i := range 90 {
		sim.addMachine(fmt.Sprintf("vm-%02d-%s", i, strings.Repeat("n", 105)), "z1")
	}
	sim.run(3 * time.Second)
	for range 4 {
		sim.advance(recordInterval)
	}
	want(t, "submit", sim.nodes["a"].submit(batchJob("wk-1", 360)).Status, 201)
	sim.run(3 * time.Second)
	want(t, "running", sim.runningTasks(), 360)
	if largest < 4<<10 {
		t.Fatalf("the largest record takes %d bytes, which tries nothing", largest)
	}
}

// What the loss of hundreds of machines at once costs, in counts: a few writes, few
// calls to the cloud, no more orders than there are copies to stop, and as many
// starts as there were tasks; and what a takeover of their jobs costs: reads by
// the page, a handful of writes.
func TestCostOfLosingHundredsOfMachines(t *testing.T) {
	sim := newSimulation(t, "a", "b", "c")
	const machines, hung = 240, 120
	for i := range machines {
		sim.addMachine(fmt.Sprintf("vm-%03d", i), []string{"z1", "z2"}[i%2]).connection = 1
	}
	sim.run(4 * time.Second)
	owner := sim.follower()
	for i := range 8 {
		want(t, "submit", owner.submit(batchJob(fmt.Sprint("wk-", i+1), 60)).Status, 201)
	}
	sim.run(6 * time.Second)
	want(t, "running", sim.runningTasks(), 480)
	all := make([]*machineAgent, 0, machines) // those that are returned too
	for _, agent := range sim.agents {
		all = append(all, agent)
	}
	starts := func() (n int) {
		for _, agent := range all {
			n += agent.starts
		}
		return n
	}
	lost := 0
	for i := range hung {
		agent := sim.agents[fmt.Sprintf("vm-%03d", 2*i)] // one room
		lost += len(agent.running())
		agent.silent = true
		agent.expireLease() // it has lost power
	}
	writes, calls, begun := sim.state.transactions, len(sim.cloud.releaseSizes), starts()
	sim.run(beyondAnyLease)
	want(t, "running after the loss", sim.runningTasks(), 480)
	want(t, "starts", starts()-begun, lost)
	if n := sim.state.transactions - writes; n > 6 { // records of machines that no longer name those returned
		t.Fatalf("%d writes", n)
	}
	if n := len(sim.cloud.releaseSizes) - calls; n > 2 {
		t.Fatalf("%d calls return machines", n)
	}
	before := sim.state.transactions
	sim.crash(owner.name)
	sim.run(8 * time.Second)
	want(t, "running after the takeover", sim.runningTasks(), 480)
	if n := sim.state.transactions - before; n > 4 {
		t.Fatalf("a takeover takes %d writes", n)
	}
}

// Machines come up all the time, and each has been heard of before it has had the
// leader's token. They hold nothing, so a ledger that changes hands does not wait
// for them: waited for, there was always one, and recovered tasks did not start.
func TestBootingMachinesDoNotDelayReconciliation(t *testing.T) {
	sim := newSimulation(t, "a", "b", "c")
	for i := range 3 {
		sim.addMachine(fmt.Sprintf("vm-%d", i), "z1")
		sim.addMachine(fmt.Sprintf("vm-4%d", i), "z1").losesResponses = true // its first report, as often as need be
	}
	sim.run(10 * time.Second)
	follower := sim.follower()
	want(t, "submit", follower.submit(batchJob("wk-1", 30)).Status, 201)
	sim.run(3 * time.Second)
	sim.crash(follower.name)
	lead := sim.leader()
	settled := func() bool {
		shard := lead.controller.owner.Shard(follower.name)
		return shard != nil && shard.Reconciled()
	}
	waited := 0
	for ; !settled() && waited < 30; waited++ {
		sim.addMachine(fmt.Sprintf("vm-5%d", waited), "z1").losesResponses = true
		sim.run(time.Second)
	}
	if waited > 8 {
		t.Fatalf("the ledger is settled after %d s", waited)
	}
}

// Machines that were returned or taken before the last leader ended are named in
// its records still. They are returned once more, as proof, as soon as all others
// have had time to report, also if the list showed them for a while.
func TestVanishedMachinesAreProvenLostSoon(t *testing.T) {
	sim := newSimulation(t, "a", "b", "c")
	for i := range 6 {
		sim.addMachine(fmt.Sprintf("vm-%d", i), "z1")
	}
	sim.run(8 * time.Second)
	lead := sim.leader()
	want(t, "submit", lead.submit(batchJob("wk-1", 40)).Status, 201)
	sim.run(3 * time.Second)
	lost := []string{"vm-1", "vm-3"}
	old := append([]cloudMachine(nil), sim.cloud.machines...)
	for _, name := range lost {
		delete(sim.agents, name)
	}
	sim.crash(lead.name)
	sim.cloud.staleList = old // for a while the list has them still
	sim.run(4 * time.Second)
	sim.cloud.staleList = nil
	kept := sim.cloud.machines[:0]
	for _, m := range sim.cloud.machines {
		if m.name != lost[0] && m.name != lost[1] {
			kept = append(kept, m)
		}
	}
	sim.cloud.machines = kept
	sim.run(6 * time.Second)
	next := sim.leader().controller
	want(t, "settled", next.owner.Shard(lead.name).Reconciled(), true)
	want(t, "returned", fmt.Sprint(sim.cloud.released), "[vm-1 vm-3]")
}
