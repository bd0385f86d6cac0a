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
	"github.com/cobaltvale/cobaltvale/internal/simtest"
	"github.com/cobaltvale/cobaltvale/internal/standin/kv"
	"github.com/cobaltvale/cobaltvale/internal/storage"
)

// What the far larger fleets brought to light. A machine whose lease is over
// stays known with the list that it last sent, for as long as the cloud does
// not return it. A shard that changes hands meanwhile must not be told of that
// list: its new holder would take the dead replica for the one that counts, have
// the live one stopped, and replicate the task while it still runs
// (ran_twice, 17 times on one day with 2,767 machines).
func TestStatusOfLostMachineIsNotForwarded(t *testing.T) {
	sim := newSimulation(t, "a", "b", "c")
	dead := sim.AddMachine("vm-1", "z1")
	sim.Run(2 * time.Second)
	owner := sim.Follower()
	want(t, "submit", owner.Submit(simtest.BatchJob("wk-1", 1)).Status, 201)
	sim.Run(3 * time.Second)
	want(t, "running", len(dead.Running()), 1)
	sim.Cloud.RefusesRelease = true
	dead.Silent = true
	agent2, agent3 := sim.AddMachine("vm-2", "z1"), sim.AddMachine("vm-3", "z1")
	dead.ExpireLease()
	sim.Run(beyondAnyLease)
	want(t, "replicas", len(agent2.Running())+len(agent3.Running()), 1)
	live, other := agent2, agent3
	if len(agent3.Running()) == 1 {
		live, other = agent3, agent2
	}
	sim.Crash(owner.Name)
	sim.Advance(500 * time.Millisecond)
	sim.Start(owner.Name)
	sim.Run(5 * time.Second)
	sim.wantStatus(sim.Nodes[owner.Name], "wk-1", 200, "running")
	want(t, "replicas left alone", len(live.Running()), 1)
	sim.Cloud.RefusesRelease = false
	sim.Run(10 * time.Second) // the dead machine is returned
	want(t, "second replicas", len(other.Running()), 0)
	live.FinishTasks("done")
	sim.Run(3 * time.Second)
	sim.wantStatus(sim.Nodes[owner.Name], "wk-1", 200, "done")
}

// A heartbeat of a later epoch proves what the machine held gone, although it
// does not carry the leader's fencing token. What it held before must not be told to a
// shard's next holder either.
func TestStatusOfEarlierEpochIsNotForwarded(t *testing.T) {
	sim := newSimulation(t, "a", "b", "c")
	agent := sim.AddMachine("vm-1", "z1")
	sim.Run(2 * time.Second)
	owner := sim.Follower()
	want(t, "submit", owner.Submit(simtest.BatchJob("wk-1", 1)).Status, 201)
	sim.Run(3 * time.Second)
	want(t, "running", len(agent.Running()), 1)
	agent2 := sim.AddMachine("vm-2", "z1")
	sim.Run(2 * time.Second)
	agent.ExpireLease()
	token := agent.FencingToken
	agent.FencingToken = 1
	agent.HeartbeatTo(sim.Leader())
	agent.FencingToken, agent.Silent = token, true
	sim.Cloud.RefusesRelease = true // nor does its return
	sim.Run(3 * time.Second)
	want(t, "replicas", len(agent2.Running()), 1)
	sim.Crash(owner.Name)
	sim.Advance(500 * time.Millisecond)
	sim.Start(owner.Name)
	sim.Run(5 * time.Second)
	want(t, "replicas left alone", len(agent2.Running()), 1)
	agent3 := sim.AddMachine("vm-3", "z1")
	agent2.Silent = true // before it could be told to stop
	sim.Run(4 * time.Second)
	want(t, "second replicas", len(agent3.Running()), 0)
}

// Of several replicas that are listed of a recovered task, the one with the
// highest number counts, in whatever order the machines are heard of: earlier
// holders gave it out only once the others were proven gone.
func TestHighestReplicaNumberCounts(t *testing.T) {
	sim := newSimulation(t, "a", "b", "c")
	old, live := sim.AddMachine("vm-1", "z1"), sim.AddMachine("vm-2", "z1")
	old.Silent = true
	sim.Run(2 * time.Second)
	old.Silent = false
	want(t, "submit", sim.Nodes["a"].Submit(simtest.BatchJob("wk-1", 1)).Status, 201)
	live.Heartbeat()
	sim.Advance(time.Second)
	live.Heartbeat()
	want(t, "running", len(live.Running()), 1)
	for _, task := range live.Tasks {
		// An earlier replica, as a late heartbeat of its machine might list it.
		old.Tasks["old"] = &simtest.AgentTask{Name: task.Name, Replica: task.Replica - 1, State: "fetching"}
	}
	sim.CrashAll()
	sim.Advance(10 * time.Second)
	sim.StartMembers()
	sim.Advance(3 * time.Second)
	sim.HeartbeatFor(3, old)
	sim.Run(3 * time.Second)
	want(t, "replicas that count", len(live.Running()), 1)
	old.Tasks = make(map[string]*simtest.AgentTask)
	sim.Run(3 * time.Second)
	want(t, "second replicas", len(old.Running()), 0)
	live.FinishTasks("done")
	sim.Run(3 * time.Second)
	sim.wantStatus(sim.Nodes["a"], "wk-1", 200, "done")
}

// A leader that was paused while its clock ran on wakes up with heartbeats and
// requests from before in its sockets. Its authority has ended: it answers no
// heartbeat, tells nobody an older state, and neither writes nor calls the cloud
// as a leader. The others have replaced it as fast as after a crash.
func TestPausedLeaderDoesNotAct(t *testing.T) {
	sim := newSimulation(t, "a", "b", "c")
	agent := sim.AddMachine("vm-1", "z1")
	sim.Run(2 * time.Second)
	old, owner := sim.Leader(), sim.Follower()
	want(t, "submit", owner.Submit(simtest.BatchJob("wk-1", 2)).Status, 201)
	want(t, "submit to the leader", old.Submit(simtest.BatchJob("wk-2", 1)).Status, 201)
	sim.Run(3 * time.Second)
	want(t, "running", len(agent.Running()), 3)
	early := agent.HeartbeatBody()
	old.Paused = true
	sim.Advance(5 * time.Second)
	if sim.Leader() == old {
		t.Fatal("nobody replaces the leader")
	}
	sim.Pause(old.Name, 8*time.Second)
	sim.Run(20 * time.Second)
	agent.FinishTasks("done")
	sim.Run(4 * time.Second)
	late := agent.HeartbeatBody()
	for _, id := range []string{"wk-1", "wk-2"} {
		sim.wantStatus(owner, id, 200, "done")
	}
	calls := len(sim.Cloud.ScaleOutRequests) + len(sim.Cloud.ReleaseSizes)
	sim.State.OnTransaction = func(from string, txn *protocol.Transaction, apply func() storage.Response, _ func(storage.Response)) bool {
		for _, c := range txn.Then {
			if from == old.Name && !strings.HasPrefix(c.Put, storage.WatchedPrefix) {
				if r := apply(); r.Status == 200 {
					t.Errorf("%s has changed %s%s", from, c.Put, c.Delete)
				}
			}
		}
		return false
	}
	for _, body := range [][]byte{early, late} {
		got := old.Call("POST", "/checkin", body)
		if got.Status == 200 || got.Status == 0 {
			t.Fatalf("a heartbeat was answered %d", got.Status)
		}
	}
	for _, id := range []string{"wk-1", "wk-2"} {
		if code, s := old.Status(id); code == 200 && s.Status != "done" {
			t.Fatalf("%s was said to be %q", id, s.Status)
		}
	}
	sim.Resume(old.Name)
	for range 3 {
		controllerOf(old).Tick()
		controllerOf(old).EndBatch()
	}
	want(t, "calls to the cloud", len(sim.Cloud.ScaleOutRequests)+len(sim.Cloud.ReleaseSizes), calls)
	sim.Reconnect(old.Name)
	sim.State.OnTransaction = nil
	sim.Run(6 * time.Second)
	want(t, "its own shard acquired again", controllerOf(old).owner.Shard(old.Name) != nil, true)
	sim.wantStatus(old, "wk-2", 200, "done")
}

// An owner that was paused finds offers, made before, among its frames. It
// must give nothing away for them, and its polls come after those that the
// shard's new holder has answered.
func TestPausedOwnerDoesNotAct(t *testing.T) {
	sim := newSimulation(t, "a", "b", "c")
	agent1 := sim.AddMachine("vm-1", "z1")
	sim.Run(2 * time.Second)
	owner, lead := sim.Follower(), sim.Leader()
	want(t, "submit", owner.Submit(simtest.BatchJob("wk-1", 1)).Status, 201)
	owner.Paused = true
	agent1.HeartbeatTo(lead) // the offer waits at the owner
	want(t, "running", len(agent1.Running()), 0)
	sim.Pause(owner.Name, 30*time.Second)
	want(t, "running for the new holder", len(agent1.Running()), 1)
	sim.AddMachine("vm-2", "z1")
	sim.Resume(owner.Name)
	if _, s := owner.Status("wk-1"); s.Status == "pending" {
		t.Fatal("an older state was told")
	}
	sim.Run(2 * time.Second)
	agent1.FinishTasks("done")
	sim.Run(2 * time.Second)
	sim.wantStatus(lead, "wk-1", 200, "done")
	if code, s := owner.Status("wk-1"); code == 200 && s.Status != "done" {
		t.Fatalf("after done it was said to be %q", s.Status)
	}
	sim.Reconnect(owner.Name)
	sim.Run(4 * time.Second)
	sim.wantStatus(owner, "wk-1", 200, "done")
}

// In an outage a leader goes on only while every member keeps promising. One
// that is paused extends nothing, and what it says late, on waking, counts
// from when it was asked.
func TestPausedMemberGrantsNoLeaseExtension(t *testing.T) {
	sim := newSimulation(t, "a", "b", "c")
	agent := sim.AddMachine("vm-1", "z1")
	sim.Run(2 * time.Second)
	lead, other := sim.Leader(), sim.Follower()
	sim.State.Unavailable[""] = true
	sim.Run(6 * time.Second)
	want(t, "a heartbeat in the outage", agent.HeartbeatTo(lead).Status, 200)
	other.Paused = true
	sim.Advance(3 * time.Second)
	want(t, "a heartbeat without all extensions", agent.HeartbeatTo(lead).Status, 503)
	asked := lead.Links[other.Name]
	for i, f := range asked.Queue { // only the first question has come through
		if f.GetLeaseExtensionRequest() != nil {
			asked.Queue = asked.Queue[i : i+1]
			break
		}
	}
	want(t, "questions", len(asked.Queue), 1)
	other.Paused = false
	sim.DeliverAll()
	want(t, "a heartbeat after late extensions", agent.HeartbeatTo(lead).Status, 503)
	sim.Advance(time.Second)
	want(t, "a heartbeat with fresh extensions", agent.HeartbeatTo(lead).Status, 200)
}

// A follower that was paused with a leader's answer in hand says up to when it
// may be sent, and so do a leader and an owner; see also TestNothingLateIsSent.
func TestResponsesCarryTheirExpiry(t *testing.T) {
	sim := newSimulation(t, "a", "b", "c")
	agent := sim.AddMachine("vm-1", "z1")
	sim.Run(2 * time.Second)
	lead, relay := sim.Leader(), sim.Follower()
	began := sim.Now()
	r := agent.HeartbeatTo(relay)
	want(t, "heartbeat", r.Status, 200)
	if r.ValidUntil < began || r.ValidUntil > began+responseLifetime {
		t.Fatalf("a follower's answer holds for %v", r.ValidUntil-began)
	}
	r = agent.HeartbeatTo(lead)
	want(t, "heartbeat", r.Status, 200)
	if r.ValidUntil <= sim.Now() || r.ValidUntil > sim.Now()+controllerOf(lead).tuning.StateLease {
		t.Fatalf("a leader's answer holds for %v", r.ValidUntil-sim.Now())
	}
	want(t, "submit", relay.Submit(simtest.BatchJob("wk-1", 1)).Status, 201)
	r = relay.Call("GET", "/submissions/wk-1", nil)
	want(t, "poll", r.Status, 200)
	if r.ValidUntil <= sim.Now() || r.ValidUntil > sim.Now()+controllerOf(relay).tuning.StateLease {
		t.Fatalf("an owner's answer holds for %v", r.ValidUntil-sim.Now())
	}
}

// requestExtension passes a request of another member for one key on to a node.
func requestExtension(n, from *simtest.Node, key string) {
	request := &meshpb.LeaseExtensionRequest{Round: 1, Keys: []*meshpb.HeldKey{{Key: key}}}
	controllerOf(n).dispatch(controllerOf(n).peers[from.Name],
		&meshpb.Frame{Body: &meshpb.Frame_LeaseExtensionRequest{LeaseExtensionRequest: request}})
}

// A member that has granted not to claim its own shard, which another holds,
// must keep to that when the key vanishes: the holder may act until the extension
// ends.
func TestLeaseExtensionBindsForTheOwnShard(t *testing.T) {
	sim := newSimulation(t, "a", "b", "c")
	sim.Run(2 * time.Second)
	lead, back := sim.Leader(), sim.Follower()
	sim.Crash(back.Name)
	sim.Advance(8 * time.Second)
	key := storage.ShardKey(back.Name)
	want(t, "taken over", controllerOf(lead).owner.Shard(back.Name) != nil, true)
	sim.Start(back.Name)
	lead.Paused = true // it is slow to hear that the shard is asked for
	for !controllerOf(back).election.Registered() || !controllerOf(back).election.ViewLoaded() {
		sim.Advance(tickInterval)
	}
	requestExtension(back, lead, key)
	granted := sim.Now()
	sim.State.Revision++
	sim.State.DeleteKey(key) // the holder's lease has ended
	sim.State.NotifyWatches()
	for sim.Now() < granted+election.ExtensionDuration {
		sim.DeliverAll()
		if controllerOf(back).owner.Shard(back.Name) != nil {
			t.Fatalf("taken %v after the extension", sim.Now()-granted)
		}
		sim.Advance(tickInterval)
	}
	sim.Advance(time.Second)
	want(t, "taken after the extension", controllerOf(back).owner.Shard(back.Name) != nil, true)
	want(t, "by the extension alone", controllerOf(lead).owner.Shard(back.Name) != nil, true)
}

// Back at once, with its shard's key gone, a member need not wait for extensions
// that an earlier process may have given: it asks the others, and who answers
// has given the shard up.
func TestRestartedMemberRequestsItsShard(t *testing.T) {
	sim := newSimulation(t, "a", "b", "c")
	sim.Run(2 * time.Second)
	lead, back := sim.Leader(), sim.Follower()
	sim.Crash(back.Name)
	sim.Advance(8 * time.Second)
	want(t, "taken over", controllerOf(lead).owner.Shard(back.Name) != nil, true)
	key := storage.ShardKey(back.Name)
	sim.State.Revision++
	sim.State.DeleteKey(key) // the holder's lease has ended, and it has not heard of it
	sim.Start(back.Name)
	for range 8 {
		sim.Advance(tickInterval)
		if controllerOf(back).owner.Shard(back.Name) != nil {
			want(t, "still held by the other", controllerOf(lead).owner.Shard(back.Name) != nil, false)
		}
	}
	want(t, "taken at once", controllerOf(back).owner.Shard(back.Name) != nil, true)
}

// A claim of the leader key that the network held is applied after its sender
// has granted the key's holder not to claim it. Seeing itself named it must
// not lead before that extension has ended.
func TestLateClaimWaitsForTheLeaseExtension(t *testing.T) {
	sim := newSimulation(t, "a", "b", "c")
	sim.Run(2 * time.Second)
	lead, other := sim.Leader(), sim.Follower()
	requestExtension(other, lead, storage.LeaderKey)
	granted := sim.Now()
	for _, name := range sim.Names { // only the sender sees the claim applied
		sim.State.StalledWatches[name] = name != other.Name
	}
	lease := sim.State.Keys[storage.ShardKey(other.Name)].Lease
	sim.State.Announce(storage.LeaderKey, sim.Codec.Encode(controllerOf(other).identity))
	sim.State.Keys[storage.LeaderKey] = &kv.Entry{Value: sim.Codec.Encode(controllerOf(other).identity), Version: sim.State.Revision, Lease: lease}
	for sim.Now() < granted+election.ExtensionDuration {
		if controllerOf(other).leader != nil {
			t.Fatalf("leads %v after the extension", sim.Now()-granted)
		}
		sim.Advance(tickInterval)
	}
	sim.Advance(time.Second)
	want(t, "leads after the extension", controllerOf(other).leader != nil, true)
}

// One member alone takes everybody's users and jobs. It must have the whole of
// the state service's rates then: with a third of them, what is submitted in a
// burst queues behind the writes until users give up.
func TestStateRatesAreSharedByActiveMembers(t *testing.T) {
	sim := newSimulation(t, "a", "b", "c")
	sim.Run(2 * time.Second)
	last := sim.Leader()
	want(t, "active", controllerOf(last).activeMembers(), 3)
	for _, name := range sim.Names {
		if name != last.Name {
			sim.Crash(name)
		}
	}
	want(t, "active while the others hold keys", controllerOf(last).activeMembers(), 3)
	sim.Advance(10 * time.Second)
	want(t, "active", controllerOf(last).activeMembers(), 1)
	before, accepted := sim.State.Writes, 0
	const jobs = 1200 // of one change each, and a shared one; the burst is 150, the rate 300 * 0.8
	for i := range jobs {
		body := sim.Codec.Encode(map[string]any(simtest.BatchJob(fmt.Sprint("wk-", i+1), 1)))
		controllerOf(last).HandleHTTP(&Request{Method: "POST", Path: "/submissions", Body: body}, func(r Response) {
			if r.Status == 201 {
				accepted++
			}
		})
		if i%100 == 99 {
			sim.Advance(tickInterval)
		}
	}
	sim.Advance(time.Second)
	made := sim.State.Writes - before
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
		sim.AddMachine(fmt.Sprintf("vm-%02d", i), "z1")
	}
	sim.Run(2 * time.Second)
	want(t, "submit", sim.Nodes["a"].Submit(simtest.BatchJob("wk-1", 36)).Status, 201)
	sim.Run(28 * time.Second) // the list has them all for long
	silent := sim.Now()
	for i := range 6 {
		sim.Agents[fmt.Sprintf("vm-%02d", i)].Silent = true
	}
	gone := sim.Cloud.Machines[0].Name
	sim.Cloud.Machines = sim.Cloud.Machines[1:]
	sim.Run(15 * time.Second)
	want(t, "returned after the limit of silence", fmt.Sprint(sim.Cloud.Released), fmt.Sprint([]string{gone}))
	sim.Run(20 * time.Second) // their leases are over by now
	for name, agent := range sim.Agents {
		if agent.Silent {
			agent.ExpireLease()
		}
		if name == gone {
			delete(sim.Agents, name)
		}
	}
	want(t, "returned when their leases are over", len(sim.Cloud.Released), 1)
	// What they held waits for them, but for the room that is gone; urgent work
	// gets machines of its own.
	want(t, "rented for what waits", sim.Cloud.Created, 1)
	want(t, "submit", sim.Nodes["a"].Submit(simtest.BatchJob("wk-2", 8).With("urgency", "urgent").With("vcpus", 8.0)).Status, 201)
	sim.Run(3 * time.Second)
	want(t, "rented with urgent work", sim.Cloud.Created > 5, true)
	for len(sim.Cloud.Released) < 6 && sim.Now() < silent+2*time.Minute {
		sim.Run(time.Second)
	}
	want(t, "returned in the end", len(sim.Cloud.Released) >= 6, true)
	want(t, "long after", sim.Now()-silent > 50*time.Second, true)
}

// A job that has missed its deadline is still worth something to the users if it
// is done by the next of their aims; only one that can meet none goes last.
func TestOverdueJobIsOrderedByItsNextObjective(t *testing.T) {
	sim := newSimulation(t, "a")
	sim.Run(2 * time.Second)
	l := controllerOf(sim.Nodes["a"]).leader
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
		r := l.scheduler.orderKeyOf(job, sent+test.after*1000)
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
	sim.State.OnTransaction = func(_ string, txn *protocol.Transaction, _ func() storage.Response, done func(storage.Response)) bool {
		for _, c := range txn.Then {
			largest = max(largest, len(c.Value))
			if len(c.Value) > 8<<10 {
				done(storage.Response{Status: 400, Body: sim.Codec.Encode(map[string]any{"error": "value is too large"})})
				return true
			}
		}
		return false
	}
	for i := range 90 {
		sim.AddMachine(fmt.Sprintf("vm-%02d-%s", i, strings.Repeat("n", 105)), "z1")
	}
	sim.Run(3 * time.Second)
	for range 4 {
		sim.Advance(recordInterval)
	}
	want(t, "submit", sim.Nodes["a"].Submit(simtest.BatchJob("wk-1", 360)).Status, 201)
	sim.Run(3 * time.Second)
	want(t, "running", sim.runningTasks(), 360)
	if largest < 4<<10 {
		t.Fatalf("the largest record takes %d bytes, which tries nothing", largest)
	}
}

// What the loss of hundreds of machines at once costs, in counts: a few writes, few
// calls to the cloud, no more commands than there are replicas to stop, and as many
// starts as there were tasks; and what a takeover of their jobs costs: reads by
// the page, a handful of writes.
func TestCostOfLosingHundredsOfMachines(t *testing.T) {
	sim := newSimulation(t, "a", "b", "c")
	const machines, hung = 240, 120
	for i := range machines {
		sim.AddMachine(fmt.Sprintf("vm-%03d", i), []string{"z1", "z2"}[i%2]).Connection = 1
	}
	sim.Run(4 * time.Second)
	owner := sim.Follower()
	for i := range 8 {
		want(t, "submit", owner.Submit(simtest.BatchJob(fmt.Sprint("wk-", i+1), 60)).Status, 201)
	}
	sim.Run(6 * time.Second)
	want(t, "running", sim.runningTasks(), 480)
	all := make([]*simtest.Agent, 0, machines) // those that are returned too
	for _, agent := range sim.Agents {
		all = append(all, agent)
	}
	starts := func() (n int) {
		for _, agent := range all {
			n += agent.Starts
		}
		return n
	}
	lost := 0
	for i := range hung {
		agent := sim.Agents[fmt.Sprintf("vm-%03d", 2*i)] // one room
		lost += len(agent.Running())
		agent.Silent = true
		agent.ExpireLease() // it has lost power
	}
	writes, calls, begun := sim.State.Transactions, len(sim.Cloud.ReleaseSizes), starts()
	sim.Run(beyondAnyLease)
	want(t, "running after the loss", sim.runningTasks(), 480)
	want(t, "starts", starts()-begun, lost)
	if n := sim.State.Transactions - writes; n > 6 { // records of machines that no longer name those returned
		t.Fatalf("%d writes", n)
	}
	if n := len(sim.Cloud.ReleaseSizes) - calls; n > 2 {
		t.Fatalf("%d calls return machines", n)
	}
	before := sim.State.Transactions
	sim.Crash(owner.Name)
	sim.Run(8 * time.Second)
	want(t, "running after the takeover", sim.runningTasks(), 480)
	if n := sim.State.Transactions - before; n > 4 {
		t.Fatalf("a takeover takes %d writes", n)
	}
}

// Machines come up all the time, and each has been heard of before it has had the
// leader's fencing token. They hold nothing, so a shard that changes hands does not wait
// for them: waited for, there was always one, and recovered tasks did not start.
func TestBootingMachinesDoNotDelayReconciliation(t *testing.T) {
	sim := newSimulation(t, "a", "b", "c")
	for i := range 3 {
		sim.AddMachine(fmt.Sprintf("vm-%d", i), "z1")
		sim.AddMachine(fmt.Sprintf("vm-4%d", i), "z1").LosesResponses = true // its first heartbeat, as often as need be
	}
	sim.Run(10 * time.Second)
	follower := sim.Follower()
	want(t, "submit", follower.Submit(simtest.BatchJob("wk-1", 30)).Status, 201)
	sim.Run(3 * time.Second)
	sim.Crash(follower.Name)
	lead := sim.Leader()
	settled := func() bool {
		shard := controllerOf(lead).owner.Shard(follower.Name)
		return shard != nil && shard.Reconciled()
	}
	waited := 0
	for ; !settled() && waited < 30; waited++ {
		sim.AddMachine(fmt.Sprintf("vm-5%d", waited), "z1").LosesResponses = true
		sim.Run(time.Second)
	}
	if waited > 8 {
		t.Fatalf("the shard is reconciled after %d s", waited)
	}
}

// Machines that were returned or taken before the last leader ended are named in
// its records still. They are returned once more, as proof, as soon as all others
// have had time to send a heartbeat, also if the list showed them for a while.
func TestVanishedMachinesAreProvenLostSoon(t *testing.T) {
	sim := newSimulation(t, "a", "b", "c")
	sim.AddMachines(6)
	sim.Run(8 * time.Second)
	lead := sim.Leader()
	want(t, "submit", lead.Submit(simtest.BatchJob("wk-1", 40)).Status, 201)
	sim.Run(3 * time.Second)
	lost := []string{"vm-1", "vm-3"}
	old := append([]simtest.CloudMachine(nil), sim.Cloud.Machines...)
	for _, name := range lost {
		delete(sim.Agents, name)
	}
	sim.Crash(lead.Name)
	sim.Cloud.StaleList = old // for a while the list has them still
	sim.Run(4 * time.Second)
	sim.Cloud.StaleList = nil
	kept := sim.Cloud.Machines[:0]
	for _, m := range sim.Cloud.Machines {
		if m.Name != lost[0] && m.Name != lost[1] {
			kept = append(kept, m)
		}
	}
	sim.Cloud.Machines = kept
	sim.Run(6 * time.Second)
	next := controllerOf(sim.Leader())
	want(t, "reconciled", next.owner.Shard(lead.Name).Reconciled(), true)
	want(t, "returned", fmt.Sprint(sim.Cloud.Released), "[vm-1 vm-3]")
}
