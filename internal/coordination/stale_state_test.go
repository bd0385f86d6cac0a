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

// A machine whose lease has expired stays in the leader's table, with the list that it last
// sent, until the cloud has released it. If that list is published to a member that acquires
// a shard meanwhile, the member takes the lost replica for the current one, has the live one
// stopped, and starts the task again while the live one still runs. That broke the rule ran_twice 17
// times within one day with 2,767 machines.
func TestStatusOfLostMachineIsNotForwarded(t *testing.T) {
	sim := newSimulation(t, "a", "b", "c")
	dead := sim.AddMachine("vm-1", "z1")
	sim.Run(2 * time.Second)
	owner := sim.Follower()
	requireEqual(t, "submit", owner.Submit(simtest.BatchJob("wk-1", 1)).Status, 201)
	sim.Run(3 * time.Second)
	requireEqual(t, "running", len(dead.Running()), 1)
	sim.Cloud.RejectsRelease = true
	dead.Silent = true
	agent2, agent3 := sim.AddMachine("vm-2", "z1"), sim.AddMachine("vm-3", "z1")
	dead.ExpireLease()
	sim.Run(longerThanAnyLease)
	requireEqual(t, "replicas on the other machines", len(agent2.Running())+len(agent3.Running()), 1)
	live, other := agent2, agent3
	if len(agent3.Running()) == 1 {
		live, other = agent3, agent2
	}
	sim.Crash(owner.Name)
	sim.Advance(500 * time.Millisecond)
	sim.Start(owner.Name)
	sim.Run(5 * time.Second)
	sim.requireStatus(sim.Nodes[owner.Name], "wk-1", 200, "running")
	requireEqual(t, "live replicas after the shard was acquired", len(live.Running()), 1)
	sim.Cloud.RejectsRelease = false
	sim.Run(10 * time.Second) // the lost machine is released
	requireEqual(t, "second replicas", len(other.Running()), 0)
	live.FinishTasks("done")
	sim.Run(3 * time.Second)
	sim.requireStatus(sim.Nodes[owner.Name], "wk-1", 200, "done")
}

// A heartbeat of a later epoch proves lost what the machine held, even without the leader's
// fencing token. What the machine listed in the earlier epoch must not be published to the
// shard's next owner either.
func TestStatusOfEarlierEpochIsNotForwarded(t *testing.T) {
	sim := newSimulation(t, "a", "b", "c")
	agent := sim.AddMachine("vm-1", "z1")
	sim.Run(2 * time.Second)
	owner := sim.Follower()
	requireEqual(t, "submit", owner.Submit(simtest.BatchJob("wk-1", 1)).Status, 201)
	sim.Run(3 * time.Second)
	requireEqual(t, "running", len(agent.Running()), 1)
	agent2 := sim.AddMachine("vm-2", "z1")
	sim.Run(2 * time.Second)
	agent.ExpireLease()
	token := agent.FencingToken
	agent.FencingToken = 1
	agent.HeartbeatTo(sim.Leader())
	agent.FencingToken, agent.Silent = token, true
	sim.Cloud.RejectsRelease = true // so that a release does not prove the loss
	sim.Run(3 * time.Second)
	requireEqual(t, "replicas on the second machine", len(agent2.Running()), 1)
	sim.Crash(owner.Name)
	sim.Advance(500 * time.Millisecond)
	sim.Start(owner.Name)
	sim.Run(5 * time.Second)
	requireEqual(t, "live replicas after the shard was acquired", len(agent2.Running()), 1)
	agent3 := sim.AddMachine("vm-3", "z1")
	agent2.Silent = true // before it can receive a stop command
	sim.Run(4 * time.Second)
	requireEqual(t, "second replicas", len(agent3.Running()), 0)
}

// Among several listed replicas of a recovered task the one with the highest number counts, in
// whatever order the machines' heartbeats arrive: an earlier owner assigned that number only
// after the other replicas were proven lost.
func TestHighestReplicaNumberCounts(t *testing.T) {
	sim := newSimulation(t, "a", "b", "c")
	old, live := sim.AddMachine("vm-1", "z1"), sim.AddMachine("vm-2", "z1")
	old.Silent = true
	sim.Run(2 * time.Second)
	old.Silent = false
	requireEqual(t, "submit", sim.Nodes["a"].Submit(simtest.BatchJob("wk-1", 1)).Status, 201)
	live.Heartbeat()
	sim.Advance(time.Second)
	live.Heartbeat()
	requireEqual(t, "running", len(live.Running()), 1)
	for _, task := range live.Tasks {
		// An earlier replica, as a delayed heartbeat of its machine might list it.
		old.Tasks["old"] = &simtest.AgentTask{Name: task.Name, Replica: task.Replica - 1, State: "fetching"}
	}
	sim.CrashAll()
	sim.Advance(10 * time.Second)
	sim.StartMembers()
	sim.Advance(3 * time.Second)
	sim.HeartbeatFor(3, old)
	sim.Run(3 * time.Second)
	requireEqual(t, "replicas with the highest number", len(live.Running()), 1)
	old.Tasks = make(map[string]*simtest.AgentTask)
	sim.Run(3 * time.Second)
	requireEqual(t, "second replicas", len(old.Running()), 0)
	live.FinishTasks("done")
	sim.Run(3 * time.Second)
	sim.requireStatus(sim.Nodes["a"], "wk-1", 200, "done")
}

// A leader that was paused while its clock kept running resumes with older heartbeats and
// requests in its sockets. Its authority has ended, so it must not answer a heartbeat with
// success, report an older state of a job, write to the state service or call the cloud as
// the leader. The other members replace it as fast as after a crash.
func TestPausedLeaderDoesNotAct(t *testing.T) {
	sim := newSimulation(t, "a", "b", "c")
	agent := sim.AddMachine("vm-1", "z1")
	sim.Run(2 * time.Second)
	old, owner := sim.Leader(), sim.Follower()
	requireEqual(t, "submit", owner.Submit(simtest.BatchJob("wk-1", 2)).Status, 201)
	requireEqual(t, "submit to the leader", old.Submit(simtest.BatchJob("wk-2", 1)).Status, 201)
	sim.Run(3 * time.Second)
	requireEqual(t, "running", len(agent.Running()), 3)
	early := agent.HeartbeatBody()
	old.Paused = true
	sim.Advance(5 * time.Second)
	if sim.Leader() == old {
		t.Fatal("no other member has replaced the paused leader after 5 s")
	}
	sim.Pause(old.Name, 8*time.Second)
	sim.Run(20 * time.Second)
	agent.FinishTasks("done")
	sim.Run(4 * time.Second)
	late := agent.HeartbeatBody()
	for _, id := range []string{"wk-1", "wk-2"} {
		sim.requireStatus(owner, id, 200, "done")
	}
	calls := len(sim.Cloud.ScaleOutRequests) + len(sim.Cloud.ReleaseSizes)
	sim.State.OnTransaction = func(from string, txn *protocol.Transaction, apply func() storage.Response, _ func(storage.Response)) bool {
		for _, c := range txn.Then {
			if from == old.Name && !strings.HasPrefix(c.Put, storage.WatchedPrefix) {
				if r := apply(); r.Status == 200 {
					t.Errorf("the paused leader %s has changed %s%s", from, c.Put, c.Delete)
				}
			}
		}
		return false
	}
	for _, body := range [][]byte{early, late} {
		got := old.Call("POST", "/checkin", body)
		if got.Status == 200 || got.Status == 0 {
			t.Fatalf("the paused leader answered a heartbeat with status %d, want a failure", got.Status)
		}
	}
	for _, id := range []string{"wk-1", "wk-2"} {
		if code, s := old.Status(id); code == 200 && s.Status != "done" {
			t.Fatalf("the paused leader reported %s as %q, want done or a failure", id, s.Status)
		}
	}
	sim.Resume(old.Name)
	for range 3 {
		controllerOf(old).Tick()
		controllerOf(old).EndBatch()
	}
	requireEqual(t, "calls to the cloud", len(sim.Cloud.ScaleOutRequests)+len(sim.Cloud.ReleaseSizes), calls)
	sim.Reconnect(old.Name)
	sim.State.OnTransaction = nil
	sim.Run(6 * time.Second)
	requireEqual(t, "own shard acquired again", controllerOf(old).owner.Shard(old.Name) != nil, true)
	sim.requireStatus(old, "wk-2", 200, "done")
}

// An owner that was paused finds, among its queued frames, offers that were made before the pause.
// It must not bind tasks to them. Its answers to status queries come after those of the shard's new
// owner, so they must not report an older state.
func TestPausedOwnerDoesNotAct(t *testing.T) {
	sim := newSimulation(t, "a", "b", "c")
	agent1 := sim.AddMachine("vm-1", "z1")
	sim.Run(2 * time.Second)
	owner, lead := sim.Follower(), sim.Leader()
	requireEqual(t, "submit", owner.Submit(simtest.BatchJob("wk-1", 1)).Status, 201)
	owner.Paused = true
	agent1.HeartbeatTo(lead) // the offer stays queued at the owner
	requireEqual(t, "running", len(agent1.Running()), 0)
	sim.Pause(owner.Name, 30*time.Second)
	requireEqual(t, "running for the new owner", len(agent1.Running()), 1)
	sim.AddMachine("vm-2", "z1")
	sim.Resume(owner.Name)
	if _, s := owner.Status("wk-1"); s.Status == "pending" {
		t.Fatal("the paused owner reported wk-1 as pending, which is an older state")
	}
	sim.Run(2 * time.Second)
	agent1.FinishTasks("done")
	sim.Run(2 * time.Second)
	sim.requireStatus(lead, "wk-1", 200, "done")
	if code, s := owner.Status("wk-1"); code == 200 && s.Status != "done" {
		t.Fatalf("the paused owner reported wk-1 as %q after it was done", s.Status)
	}
	sim.Reconnect(owner.Name)
	sim.Run(4 * time.Second)
	sim.requireStatus(owner, "wk-1", 200, "done")
}

// During an outage of the state service a leader acts only while every member keeps extending
// its lease. A paused member grants no extension, and one that it grants late, after it has
// resumed, counts from the time of the request.
func TestPausedMemberGrantsNoLeaseExtension(t *testing.T) {
	sim := newSimulation(t, "a", "b", "c")
	agent := sim.AddMachine("vm-1", "z1")
	sim.Run(2 * time.Second)
	lead, other := sim.Leader(), sim.Follower()
	sim.State.Unavailable[""] = true
	sim.Run(6 * time.Second)
	requireEqual(t, "heartbeat during the outage", agent.HeartbeatTo(lead).Status, 200)
	other.Paused = true
	sim.Advance(3 * time.Second)
	requireEqual(t, "heartbeat without all extensions", agent.HeartbeatTo(lead).Status, 503)
	stream := lead.Links[other.Name]
	for i, f := range stream.Queue { // only the first request has arrived
		if f.GetLeaseExtensionRequest() != nil {
			stream.Queue = stream.Queue[i : i+1]
			break
		}
	}
	requireEqual(t, "queued extension requests", len(stream.Queue), 1)
	other.Paused = false
	sim.DeliverAll()
	requireEqual(t, "heartbeat after late extensions", agent.HeartbeatTo(lead).Status, 503)
	sim.Advance(time.Second)
	requireEqual(t, "heartbeat with new extensions", agent.HeartbeatTo(lead).Status, 200)
}

// A response states until when it may be sent, so that a controller that was paused in between
// does not send it late. This holds for a follower that passes on the leader's response, for
// a leader and for an owner; see also TestNothingLateIsSent.
func TestResponsesCarryTheirExpiry(t *testing.T) {
	sim := newSimulation(t, "a", "b", "c")
	agent := sim.AddMachine("vm-1", "z1")
	sim.Run(2 * time.Second)
	lead, follower := sim.Leader(), sim.Follower()
	startedAt := sim.Now()
	r := agent.HeartbeatTo(follower)
	requireEqual(t, "heartbeat", r.Status, 200)
	if r.ValidUntil < startedAt || r.ValidUntil > startedAt+responseLifetime {
		t.Fatalf("a follower's response is valid for %v, want at most responseLifetime", r.ValidUntil-startedAt)
	}
	r = agent.HeartbeatTo(lead)
	requireEqual(t, "heartbeat", r.Status, 200)
	if r.ValidUntil <= sim.Now() || r.ValidUntil > sim.Now()+controllerOf(lead).tuning.StateLease {
		t.Fatalf("a leader's response is valid for %v, want at most the state lease", r.ValidUntil-sim.Now())
	}
	requireEqual(t, "submit", follower.Submit(simtest.BatchJob("wk-1", 1)).Status, 201)
	r = follower.Call("GET", "/submissions/wk-1", nil)
	requireEqual(t, "status query", r.Status, 200)
	if r.ValidUntil <= sim.Now() || r.ValidUntil > sim.Now()+controllerOf(follower).tuning.StateLease {
		t.Fatalf("an owner's response is valid for %v, want at most the state lease", r.ValidUntil-sim.Now())
	}
}

// requestExtension delivers to a node another member's request to extend its lease on a key.
func requestExtension(n, from *simtest.Node, key string) {
	request := &meshpb.LeaseExtensionRequest{Round: 1, Keys: []*meshpb.HeldKey{{Key: key}}}
	controllerOf(n).dispatch(controllerOf(n).peers[from.Name],
		&meshpb.Frame{Body: &meshpb.Frame_LeaseExtensionRequest{LeaseExtensionRequest: request}})
}

// A member that has granted an extension for its own shard, which another member holds, must
// not claim the shard before the extension ends, even if the key is deleted: the holder may
// act until then.
func TestLeaseExtensionHoldsForOwnShard(t *testing.T) {
	sim := newSimulation(t, "a", "b", "c")
	sim.Run(2 * time.Second)
	lead, back := sim.Leader(), sim.Follower()
	sim.Crash(back.Name)
	sim.Advance(8 * time.Second)
	key := storage.ShardKey(back.Name)
	requireEqual(t, "shard acquired by the leader", controllerOf(lead).owner.Shard(back.Name) != nil, true)
	sim.Start(back.Name)
	lead.Paused = true // so that it learns late that the shard is requested
	for !controllerOf(back).election.Registered() || !controllerOf(back).election.ViewLoaded() {
		sim.Advance(tickInterval)
	}
	requestExtension(back, lead, key)
	granted := sim.Now()
	sim.State.Revision++
	sim.State.DeleteKey(key) // the holder's lease has expired
	sim.State.NotifyWatches()
	for sim.Now() < granted+election.ExtensionDuration {
		sim.DeliverAll()
		if controllerOf(back).owner.Shard(back.Name) != nil {
			t.Fatalf("shard acquired %v after the extension was granted", sim.Now()-granted)
		}
		sim.Advance(tickInterval)
	}
	sim.Advance(time.Second)
	requireEqual(t, "shard acquired after the extension has ended", controllerOf(back).owner.Shard(back.Name) != nil, true)
	requireEqual(t, "shard still held by the leader, so only the extension was waited for", controllerOf(lead).owner.Shard(back.Name) != nil, true)
}

// A member that restarts and finds its shard's key deleted need not wait for extensions that
// its earlier process may have granted: it requests the shard from the other members, and a
// member that answers has released the shard.
func TestRestartedMemberRequestsItsShard(t *testing.T) {
	sim := newSimulation(t, "a", "b", "c")
	sim.Run(2 * time.Second)
	lead, back := sim.Leader(), sim.Follower()
	sim.Crash(back.Name)
	sim.Advance(8 * time.Second)
	requireEqual(t, "shard acquired by the leader", controllerOf(lead).owner.Shard(back.Name) != nil, true)
	key := storage.ShardKey(back.Name)
	sim.State.Revision++
	sim.State.DeleteKey(key) // the holder's lease has expired, and it does not know yet
	sim.Start(back.Name)
	for range 8 {
		sim.Advance(tickInterval)
		if controllerOf(back).owner.Shard(back.Name) != nil {
			requireEqual(t, "shard still held by the leader", controllerOf(lead).owner.Shard(back.Name) != nil, false)
		}
	}
	requireEqual(t, "shard acquired at once", controllerOf(back).owner.Shard(back.Name) != nil, true)
}

// A claim of the leader key, delayed by the network, is applied after its sender has granted
// the key's holder an extension. The sender sees itself named in the key, but must not lead
// before the extension has ended.
func TestLateClaimWaitsForTheLeaseExtension(t *testing.T) {
	sim := newSimulation(t, "a", "b", "c")
	sim.Run(2 * time.Second)
	lead, other := sim.Leader(), sim.Follower()
	requestExtension(other, lead, storage.LeaderKey)
	granted := sim.Now()
	for _, name := range sim.Members { // only the sender sees the claim applied
		sim.State.StalledWatches[name] = name != other.Name
	}
	lease := sim.State.Keys[storage.ShardKey(other.Name)].Lease
	sim.State.Announce(storage.LeaderKey, sim.Codec.Encode(controllerOf(other).identity))
	sim.State.Keys[storage.LeaderKey] = &kv.Entry{Value: sim.Codec.Encode(controllerOf(other).identity), Version: sim.State.Revision, Lease: lease}
	for sim.Now() < granted+election.ExtensionDuration {
		if controllerOf(other).leader != nil {
			t.Fatalf("leads %v after the extension was granted", sim.Now()-granted)
		}
		sim.Advance(tickInterval)
	}
	sim.Advance(time.Second)
	requireEqual(t, "leads after the extension has ended", controllerOf(other).leader != nil, true)
}

// A member that runs alone serves all users and jobs, so it must use the state service's whole
// rate limits. With a third of them a burst of submissions queues behind the writes until
// the users' requests time out.
func TestStateRatesAreSharedByActiveMembers(t *testing.T) {
	sim := newSimulation(t, "a", "b", "c")
	sim.Run(2 * time.Second)
	last := sim.Leader()
	requireEqual(t, "active members", controllerOf(last).activeMembers(), 3)
	for _, name := range sim.Members {
		if name != last.Name {
			sim.Crash(name)
		}
	}
	requireEqual(t, "active members while the others hold keys", controllerOf(last).activeMembers(), 3)
	sim.Advance(10 * time.Second)
	requireEqual(t, "active members once their keys are gone", controllerOf(last).activeMembers(), 1)
	before, accepted := sim.State.Writes, 0
	// Each submission takes one change, and all share another. The burst is 150 changes, the
	// rate 300 * 0.8 changes a second.
	const jobs = 1200
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
		t.Fatalf("%d changes were made within 2.2 s, want 542 to 679", made)
	}
	if accepted < 500 { // with four changes a job only 340 would fit
		t.Fatalf("%d jobs were accepted within 2.2 s, want at least 500", accepted)
	}
}

// When many machines of a zone fall silent at once, most likely a partition cuts them off. They
// are kept for as long as new machines would take to boot and fetch images: releasing them
// moments before the end of a partition made 320 machines start again. A machine that the
// cloud's list lacks meanwhile is gone, and is released to prove that.
func TestPartitionedMachinesAreNotReleasedEarly(t *testing.T) {
	sim := newSimulation(t, "a", "b", "c")
	for i := range 9 { // as many as one member serves without redirecting some
		sim.AddMachine(fmt.Sprintf("vm-%02d", i), "z1")
	}
	sim.Run(2 * time.Second)
	requireEqual(t, "submit", sim.Nodes["a"].Submit(simtest.BatchJob("wk-1", 36)).Status, 201)
	sim.Run(28 * time.Second) // by then the cloud's list has had all of them for a while
	silentSince := sim.Now()
	for i := range 6 {
		sim.Agents[fmt.Sprintf("vm-%02d", i)].Silent = true
	}
	gone := sim.Cloud.Machines[0].Name
	sim.Cloud.Machines = sim.Cloud.Machines[1:]
	sim.Run(15 * time.Second)
	requireEqual(t, "released after the silence limit", fmt.Sprint(sim.Cloud.ReleasedMachines), fmt.Sprint([]string{gone}))
	sim.Run(20 * time.Second) // by then their leases have expired
	for name, agent := range sim.Agents {
		if agent.Silent {
			agent.ExpireLease()
		}
		if name == gone {
			delete(sim.Agents, name)
		}
	}
	requireEqual(t, "released when their leases have expired", len(sim.Cloud.ReleasedMachines), 1)
	// Their tasks wait for them, so only the missing machine is replaced. Urgent tasks get
	// machines of their own.
	requireEqual(t, "machines created for the waiting tasks", sim.Cloud.CreatedMachines, 1)
	requireEqual(t, "submit", sim.Nodes["a"].Submit(simtest.BatchJob("wk-2", 8).With("urgency", "urgent").With("vcpus", 8.0)).Status, 201)
	sim.Run(3 * time.Second)
	requireEqual(t, "more than 5 machines created with urgent tasks", sim.Cloud.CreatedMachines > 5, true)
	for len(sim.Cloud.ReleasedMachines) < 6 && sim.Now() < silentSince+2*time.Minute {
		sim.Run(time.Second)
	}
	requireEqual(t, "at least 6 machines released in the end", len(sim.Cloud.ReleasedMachines) >= 6, true)
	requireEqual(t, "more than 50 s after they fell silent", sim.Now()-silentSince > 50*time.Second, true)
}

// A job that has missed its deadline still has value for the users if it is done by the next
// time that the objectives name. Only a job that can meet no objective is ordered last.
func TestOverdueJobIsOrderedByItsNextObjective(t *testing.T) {
	sim := newSimulation(t, "a")
	sim.Run(2 * time.Second)
	l := controllerOf(sim.Nodes["a"]).leader
	l.env.settings.Objectives = []settings.Objective{
		{Kind: "wait", Class: "d", WithinS: 50, Share: 0.99}, {Kind: "wait", Class: "d", WithinS: 12, Share: 0.98},
		{Kind: "finished", Class: "d", WithinS: 200, Share: 0.9}, {Kind: "deadline", Class: "d", DeadlineFactor: 1.5, Share: 0.9},
		{Kind: "finished", Class: "other", WithinS: 1000, Share: 0.9},
	}
	objective := forecast.StartObjectiveOf(l.env.settings.Objectives, "d")
	requireEqual(t, "share and time of the strictest start objective", [2]float64{objective.Share, objective.WithinS}, [2]float64{0.98, 12})
	const submitted = int64(1e12) // Unix time in ms
	job := &trackedJob{spec: &meshpb.JobSummary{Class: "d", EstimateS: 30, SubmittedMs: submitted, DeadlineMs: submitted + 100_000}, started: true}
	for _, test := range []struct {
		after int64   // seconds since the submission
		start float64 // latest start, in seconds since the submission
		late  bool
	}{{50, 70, false}, {72, 70, false}, {73, 120, false}, {122, 120, false}, {123, 170, false}, {173, 70, true}} {
		key := l.scheduler.orderKeyOf(job, submitted+test.after*1000)
		if key.LatestStart-float64(submitted)/1000 != test.start || key.MissesObjectives != test.late {
			t.Fatalf("after %d s: latest start %v, misses all objectives %v", test.after, key.LatestStart-float64(submitted)/1000, key.MissesObjectives)
		}
	}
}

// Machine names may be long. A machine record must stay within the state service's limit for a
// value, or it can't be written and none of its machines would ever get a start.
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
	requireEqual(t, "submit", sim.Nodes["a"].Submit(simtest.BatchJob("wk-1", 360)).Status, 201)
	sim.Run(3 * time.Second)
	requireEqual(t, "running", sim.runningTasks(), 360)
	if largest < 4<<10 {
		t.Fatalf("the largest record takes %d bytes, too few to test the limit", largest)
	}
}

// The loss of hundreds of machines at once must cost only a few writes and calls to the cloud,
// no more commands than there are replicas to stop, and as many starts as tasks were lost.
// A takeover of their jobs costs paged reads and a few writes.
func TestCostOfLosingHundredsOfMachines(t *testing.T) {
	sim := newSimulation(t, "a", "b", "c")
	const machines, hung = 240, 120
	for i := range machines {
		sim.AddMachine(fmt.Sprintf("vm-%03d", i), []string{"z1", "z2"}[i%2]).Connection = 1
	}
	sim.Run(4 * time.Second)
	owner := sim.Follower()
	for i := range 8 {
		requireEqual(t, "submit", owner.Submit(simtest.BatchJob(fmt.Sprint("wk-", i+1), 60)).Status, 201)
	}
	sim.Run(6 * time.Second)
	requireEqual(t, "running", sim.runningTasks(), 480)
	all := make([]*simtest.Agent, 0, machines) // including those that will be released
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
		agent := sim.Agents[fmt.Sprintf("vm-%03d", 2*i)] // all in one zone
		lost += len(agent.Running())
		agent.Silent = true
		agent.ExpireLease() // as after a power loss
	}
	writesBefore, callsBefore, startsBefore := sim.State.Transactions, len(sim.Cloud.ReleaseSizes), starts()
	sim.Run(longerThanAnyLease)
	requireEqual(t, "running after the loss", sim.runningTasks(), 480)
	requireEqual(t, "starts", starts()-startsBefore, lost)
	if n := sim.State.Transactions - writesBefore; n > 6 { // machine records are rewritten without the released ones
		t.Fatalf("the loss took %d writes, want at most 6", n)
	}
	if n := len(sim.Cloud.ReleaseSizes) - callsBefore; n > 2 {
		t.Fatalf("%d calls released machines, want at most 2", n)
	}
	before := sim.State.Transactions
	sim.Crash(owner.Name)
	sim.Run(8 * time.Second)
	requireEqual(t, "running after the takeover", sim.runningTasks(), 480)
	if n := sim.State.Transactions - before; n > 4 {
		t.Fatalf("the takeover took %d writes, want at most 4", n)
	}
}

// Machines boot all the time, and each sends a heartbeat before it has the leader's fencing
// token. They hold nothing, so a shard that changes hands must not wait for them: there is
// always such a machine, and recovered tasks would never start.
func TestBootingMachinesDoNotDelayReconciliation(t *testing.T) {
	sim := newSimulation(t, "a", "b", "c")
	for i := range 3 {
		sim.AddMachine(fmt.Sprintf("vm-%d", i), "z1")
		sim.AddMachine(fmt.Sprintf("vm-4%d", i), "z1").LosesResponses = true // it repeats its first heartbeat
	}
	sim.Run(10 * time.Second)
	follower := sim.Follower()
	requireEqual(t, "submit", follower.Submit(simtest.BatchJob("wk-1", 30)).Status, 201)
	sim.Run(3 * time.Second)
	sim.Crash(follower.Name)
	lead := sim.Leader()
	reconciled := func() bool {
		shard := controllerOf(lead).owner.Shard(follower.Name)
		return shard != nil && shard.Reconciled()
	}
	waited := 0
	for ; !reconciled() && waited < 30; waited++ {
		sim.AddMachine(fmt.Sprintf("vm-5%d", waited), "z1").LosesResponses = true
		sim.Run(time.Second)
	}
	if waited > 8 {
		t.Fatalf("the shard was not reconciled within 8 s, but after %d s", waited)
	}
}

// Machines that were released or reclaimed before the last leader's term ended may still be
// named in its records. They are released once more, as proof, as soon as all others have
// had time to send a heartbeat, even if the cloud's list still had them for a while.
func TestVanishedMachinesAreProvenLostSoon(t *testing.T) {
	sim := newSimulation(t, "a", "b", "c")
	sim.AddMachines(6)
	sim.Run(8 * time.Second)
	lead := sim.Leader()
	requireEqual(t, "submit", lead.Submit(simtest.BatchJob("wk-1", 40)).Status, 201)
	sim.Run(3 * time.Second)
	lost := []string{"vm-1", "vm-3"}
	old := append([]simtest.CloudMachine(nil), sim.Cloud.Machines...)
	for _, name := range lost {
		delete(sim.Agents, name)
	}
	sim.Crash(lead.Name)
	sim.Cloud.StaleList = old // for a while the list still has them
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
	requireEqual(t, "reconciled", next.owner.Shard(lead.Name).Reconciled(), true)
	requireEqual(t, "released machines", fmt.Sprint(sim.Cloud.ReleasedMachines), "[vm-1 vm-3]")
}
