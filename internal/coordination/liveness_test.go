package coordination

import (
	"fmt"
	"math/rand/v2"
	"strings"
	"testing"
	"time"

	"github.com/cobaltvale/cobaltvale/internal/cloud"
	"github.com/cobaltvale/cobaltvale/internal/protocol"
	"github.com/cobaltvale/cobaltvale/internal/simtest"
	"github.com/cobaltvale/cobaltvale/internal/storage"
)

// Tests of liveness and fencing in large deployments: accepted jobs stay known, responses to
// machines are lost, copies of heartbeats arrive late, a controller can reach only its machines,
// processes restart at once.

// A claim of an earlier process, delayed by the network, must not be applied once the next process
// of the member can grant lease extensions. If the holder's key is deleted meanwhile, the claim
// would create a second holder.
func TestDelayedClaimOfAnEarlierProcessIsFenced(t *testing.T) {
	sim := newSimulation(t, "a", "b", "c")
	var delayedClaim func() storage.Response
	claimer := ""
	sim.State.OnTransaction = func(from string, txn *protocol.Transaction, apply func() storage.Response, done func(storage.Response)) bool {
		if delayedClaim == nil && len(txn.Then) == 1 && txn.Then[0].Put == storage.LeaderKey {
			delayedClaim, claimer = apply, from
			return true
		}
		return false
	}
	sim.Crash(sim.Leader().Name)
	sim.Advance(6 * time.Second)
	if delayedClaim == nil {
		t.Fatal("no member claimed the leader key")
	}
	sim.Crash(claimer)
	sim.Start(claimer)
	sim.Advance(time.Second)
	requireEqual(t, "registered", controllerOf(sim.Nodes[claimer]).election.Registered(), true)
	sim.State.DeleteKey(storage.LeaderKey)
	requireEqual(t, "delayed claim", delayedClaim().Status, 409)
	requireEqual(t, "leader key is absent", sim.State.Keys[storage.LeaderKey] == nil, true)
}

// A process must not extend the leader's lease before its member key is written. Until then, a
// claim of the member's previous process might still be applied in spite of the extension.
func TestNoLeaseExtensionBeforeMemberKeyIsWritten(t *testing.T) {
	sim := newSimulation(t, "a", "b", "c")
	sim.AddMachine("vm-1", "z1")
	sim.Run(2 * time.Second)
	leader, follower := sim.Leader(), sim.Follower()
	sim.State.OnTransaction = func(from string, txn *protocol.Transaction, _ func() storage.Response, done func(storage.Response)) bool {
		return from == follower.Name && len(txn.Then) == 1 && txn.Then[0].Put == storage.ProcessKey(follower.Name)
	}
	sim.Crash(follower.Name)
	sim.Start(follower.Name)
	sim.Advance(3 * time.Second)
	requireEqual(t, "view of the restarted member", controllerOf(follower).election.ViewLoaded(), true)
	sim.State.Unavailable[""] = true
	sim.Run(6 * time.Second)
	requireEqual(t, "leader acts by the extension of an unregistered member", controllerOf(leader).election.MayAct(sim.Now()), false)
}

// Once all faults are over, every member answers requests about every accepted job, no
// matter which member owned it, and the job's tasks complete.
func TestAcceptedJobsStayKnown(t *testing.T) {
	for seed := range uint64(25) {
		random := rand.New(rand.NewPCG(seed, 11))
		sim := newSimulation(t, "a", "b", "c")
		for i := range 4 {
			sim.AddMachine(fmt.Sprintf("vm-%d", i), []string{"z1", "z2"}[i%2]).TaskDuration = 3 * time.Second
		}
		type delayedEvent struct {
			dueAt time.Duration
			call  func()
		}
		var delayed []delayedEvent
		sim.State.OnTransaction = func(_ string, _ *protocol.Transaction, apply func() storage.Response, done func(storage.Response)) bool {
			if random.IntN(40) > 0 {
				return false
			}
			// Delayed by the network: the caller gives up after 1.5 s, and the transaction is
			// applied within 8 s.
			delayed = append(delayed, delayedEvent{sim.Now() + 1500*time.Millisecond, func() { done(storage.Response{}) }},
				delayedEvent{sim.Now() + time.Duration(random.IntN(8000))*time.Millisecond, func() { apply() }})
			return true
		}
		var accepted []string
		for step := range 120 {
			name := sim.Members[random.IntN(3)]
			switch random.IntN(16) {
			case 0:
				sim.State.Unavailable[name] = !sim.State.Unavailable[name]
			case 1:
				sim.State.Unavailable[""] = !sim.State.Unavailable[""]
			case 2:
				if sim.Nodes[name].Up {
					sim.Crash(name)
				}
			case 3:
				if sim.Nodes[name].Up {
					sim.Crash(name)
				}
				sim.Start(name)
			case 4:
				if other := sim.Members[random.IntN(3)]; other != name && sim.Nodes[name].Up && sim.Nodes[other].Up {
					if sim.Nodes[name].Links[other] != nil {
						sim.Disconnect(name, other)
					} else {
						sim.Connect(name, other)
					}
				}
			case 5, 6, 7:
				if id := fmt.Sprintf("wk-%d", step); sim.Nodes[name].Up {
					if r := sim.Nodes[name].Submit(simtest.BatchJob(id, 3)); r.Status == 201 {
						accepted = append(accepted, id)
					}
				}
			}
			pending := delayed
			delayed = nil
			for _, event := range pending {
				if sim.Now() >= event.dueAt {
					event.call()
				} else {
					delayed = append(delayed, event)
				}
			}
			sim.BootMachines(3 * time.Second)
			sim.Run(time.Second)
		}
		sim.State.OnTransaction = nil
		for _, event := range delayed {
			event.call()
		}
		clear(sim.State.Unavailable)
		for _, name := range sim.Members {
			if !sim.Nodes[name].Up {
				sim.Start(name)
			}
		}
		for i, a := range sim.Members {
			for _, b := range sim.Members[i+1:] {
				if sim.Nodes[a].Links[b] == nil {
					sim.Connect(a, b)
				}
			}
		}
		sim.Run(20 * time.Second)
		for _, id := range accepted {
			for _, name := range sim.Members {
				if code, _ := sim.Nodes[name].Status(id); code != 200 {
					t.Fatalf("seed %d: %s answers a query of %s with %d, want 200", seed, name, id, code)
				}
			}
		}
		for range 55 {
			sim.BootMachines(3 * time.Second)
			sim.Run(time.Second)
		}
		for _, id := range accepted {
			for _, name := range sim.Members {
				if code, s := sim.Nodes[name].Status(id); code != 200 || s.Status != "done" {
					t.Fatalf("seed %d: %s answers %d %q for %s, want 200 and done", seed, name, code, s.Status, id)
				}
			}
		}
	}
}

// A machine whose heartbeats arrive but which gets no responses is sent no starts, does not delay
// pending tasks, and is released if that lasts.
func TestMachineWithoutResponsesIsReleased(t *testing.T) {
	sim := newSimulation(t, "a", "b", "c")
	unreachable, other := sim.AddMachine("vm-1", "z1"), sim.AddMachine("vm-2", "z1")
	sim.Run(3 * time.Second)
	leader := sim.Leader()
	requireEqual(t, "submit", leader.Submit(simtest.BatchJob("wk-1", 2).With("crew", "red")).Status, 201)
	unreachable.Heartbeat()
	requireEqual(t, "running", len(unreachable.Running()), 2)
	unreachable.Heartbeat()

	unreachable.LosesResponses = true
	unreachable.Heartbeat() // the response is lost; the agent closes the connection
	requireEqual(t, "second submit", leader.Submit(simtest.BatchJob("wk-2", 2)).Status, 201)
	m := controllerOf(leader).leader.machines.get("vm-1")
	for range 3 {
		unreachable.Heartbeat()
		requireEqual(t, "starts sent to a machine that gets no responses", len(m.sentStarts), 0)
	}
	other.Heartbeat()
	requireEqual(t, "running elsewhere", len(other.Running()), 2)
	requireEqual(t, "its CPUs counted against the team limit", controllerOf(leader).leader.usage.teams["red"].cpus, 4)

	// Its new epoch proves its tasks lost, whatever fencing token its heartbeats carry.
	unreachable.ExpireLease()
	unreachable.Heartbeat()
	sim.Advance(tickInterval)
	other.Heartbeat()
	requireEqual(t, "running elsewhere", strings.Join(other.Running(), " "), "wk-1/0 wk-1/1 wk-2/0 wk-2/1")
	for range 30 {
		unreachable.Heartbeat()
		other.Heartbeat()
		sim.Advance(time.Second)
	}
	requireEqual(t, "released machines", fmt.Sprint(sim.Cloud.ReleasedMachines), "[vm-1]")
}

// As above with a new leader, whose fencing token never reaches the machine. The machine's new
// epoch still proves its tasks lost, as an epoch ends only when all its tasks have ended.
func TestNewEpochWithOldFencingTokenIsProofOfLoss(t *testing.T) {
	sim := newSimulation(t, "a", "b", "c")
	unreachable, other := sim.AddMachine("vm-1", "z1"), sim.AddMachine("vm-2", "z1")
	sim.Run(3 * time.Second)
	leader, follower := sim.Leader(), sim.Follower()
	requireEqual(t, "submit", follower.Submit(simtest.BatchJob("wk-1", 2)).Status, 201)
	unreachable.Heartbeat()
	requireEqual(t, "running", len(unreachable.Running()), 2)
	unreachable.Heartbeat()
	unreachable.LosesResponses = true
	sim.Crash(leader.Name)
	sim.Run(10 * time.Second)
	requireEqual(t, "running elsewhere before the lease expires", len(other.Running()), 0)
	unreachable.ExpireLease()
	sim.Run(3 * time.Second)
	requireEqual(t, "running elsewhere", len(other.Running()), 2)
}

// Many heartbeats with 1500 tasks each arrive at once. The frames between members and the responses
// must stay within their size limits: a frame that is too large would end the stream.
func TestLargeHeartbeatsStayWithinSizeLimits(t *testing.T) {
	sim := newSimulation(t, "a", "b", "c")
	leader, follower := sim.Leader(), sim.Follower()
	requireEqual(t, "submit", follower.Submit(simtest.BatchJob("wk-1", 3000)).Status, 201)
	var responses []*Response
	for i := range 40 {
		agent := sim.AddMachine(fmt.Sprintf("vm-%d", i), "z1")
		agent.Heartbeat()
		for n := range 1500 {
			name := fmt.Sprintf("wk-1/%d", n)
			agent.Tasks[name] = &simtest.AgentTask{Name: name, Replica: uint64(1 + i), State: "ended", Cause: "halted"}
		}
		response := &Response{}
		controllerOf(leader).HandleHTTP(&Request{Method: "POST", Path: "/checkin", Body: agent.HeartbeatBody(), Conn: agent.Connection}, func(r Response) { *response = r })
		responses = append(responses, response)
	}
	sim.DeliverAll()
	sim.Advance(time.Second)
	code, _ := follower.Cancel("wk-1")
	requireEqual(t, "cancellation", code, 200)
	for _, name := range sim.AgentNames() {
		controllerOf(leader).balancer.redirectBudget = 0 // no machine is redirected
		r := sim.Agents[name].Heartbeat()
		if r.Status != 200 || len(r.Body) > 64<<10 {
			t.Fatalf("answered %d with %d bytes, want 200 with at most 64 KiB", r.Status, len(r.Body))
		}
	}
	for _, r := range responses {
		requireEqual(t, "response", r.Status, 200)
	}
}

// A machine that was silent for longer than an agent waits for a response gets starts in response
// to its first heartbeat, on any connection. A machine that was silent for less may have sent
// heartbeats whose responses were lost: it gets none on a new connection.
func TestReconnectedMachineGetsStartsAtOnce(t *testing.T) {
	for _, c := range []struct {
		pause        time.Duration
		startsAtOnce bool
	}{{5 * time.Second, false}, {8 * time.Second, true}} {
		t.Run(fmt.Sprint("silent for ", c.pause), func(t *testing.T) {
			sim := newSimulation(t, "a", "b", "c")
			sim.Cloud.RejectsScaleOut = true
			for _, name := range sim.Members {
				tuning := &controllerOf(sim.Nodes[name]).tuning // so that silent machines are not released
				tuning.MaxMissedHeartbeats, tuning.IdleBeforeScaleIn = 20, time.Hour
			}
			agent, other := sim.AddMachine("vm-1", "z1"), sim.AddMachine("vm-2", "z2")
			pause := func(d time.Duration) { // the leader gets heartbeats of the other machine meanwhile
				for end := sim.Now() + d; sim.Now() < end; {
					sim.Advance(time.Second)
					other.Heartbeat()
				}
			}
			sim.Run(4 * time.Second)
			n := sim.Leader()
			agent.HeartbeatTo(n)
			pause(c.pause)
			requireEqual(t, "submit", n.Submit(simtest.BatchJob("wk-1", 2).With("hall", "z1")).Status, 201)
			agent.ConnectedTo = nil // its connection is closed
			agent.HeartbeatTo(n)
			requireEqual(t, fmt.Sprint("started after ", c.pause), sim.runningTasks() > 0, c.startsAtOnce)
			agent.HeartbeatTo(n)
			requireEqual(t, "started by the next heartbeat", sim.runningTasks(), 2)
			agent.FinishTasks("done")
			for range 3 { // until the end of its tasks is written and they are reaped
				agent.HeartbeatTo(n)
				sim.Advance(time.Second)
			}
			agent.LosesResponses = true // and it is silent again: starts that were lost once are not sent again
			sentStarts := func() int { return len(controllerOf(n).leader.machines.get("vm-1").sentStarts) }
			agent.ConnectedTo = nil
			pause(8 * time.Second)
			requireEqual(t, "second submit", n.Submit(simtest.BatchJob("wk-2", 2).With("hall", "z1")).Status, 201)
			agent.HeartbeatTo(n)
			first := sentStarts()
			for range 2 { // the first heartbeat shows that the starts were lost
				pause(8 * time.Second)
				agent.HeartbeatTo(n)
			}
			requireEqual(t, fmt.Sprint("starts sent to a machine without responses, silent for ", c.pause), fmt.Sprint(first, " ", sentStarts()), "2 0")
		})
	}
}

// A machine that gets responses again gets starts again.
func TestMachineWithRestoredResponsesIsServed(t *testing.T) {
	sim := newSimulation(t, "a")
	agent := sim.AddMachine("vm-1", "z1")
	sim.Run(3 * time.Second)
	agent.LosesResponses = true
	agent.Heartbeat()
	agent.Heartbeat()
	agent.LosesResponses = false
	requireEqual(t, "submit", sim.Nodes["a"].Submit(simtest.BatchJob("wk-1", 2)).Status, 201)
	agent.Heartbeat()
	requireEqual(t, "starts in response to the first heartbeat on a new connection", len(agent.Running()), 0)
	agent.Heartbeat()
	requireEqual(t, "starts once a response has arrived", len(agent.Running()), 2)
}

// A machine that sends each heartbeat on a new connection, as an agent does while it tries one
// controller after another, keeps its tasks until its lease expires. If it were released at once,
// it would lose them although it recovers soon after.
func TestMachineThatTriesOtherControllersKeepsTasks(t *testing.T) {
	sim := newSimulation(t, "a", "b", "c")
	agent := sim.AddMachine("vm-1", "z1")
	for i := range 10 {
		sim.AddMachine(fmt.Sprintf("vm-2%d", i), "z1")
	}
	sim.Run(10 * time.Second)
	requireEqual(t, "submit", sim.Leader().Submit(simtest.BatchJob("wk-1", 44)).Status, 201)
	sim.Run(2 * time.Second)
	requireEqual(t, "running", len(agent.Running()), 4)
	agent.LosesResponses = true
	sim.Run(14 * time.Second)
	agent.LosesResponses = false
	sim.Run(10 * time.Second)
	requireEqual(t, "released machines", len(sim.Cloud.ReleasedMachines), 0)
	requireEqual(t, "running", len(agent.Running()), 4)
}

// The tasks of a cancelled job on a machine that gets no responses end in time, and heartbeats of
// such machines do not count as proof that the leader reaches its machines.
func TestCancellationWhenNoMachineGetsResponses(t *testing.T) {
	sim := newSimulation(t, "a", "b", "c")
	var agents []*simtest.Agent
	for i := range 10 {
		agents = append(agents, sim.AddMachine(fmt.Sprintf("vm-%d", i), "z1"))
	}
	sim.Run(10 * time.Second)
	leader := sim.Leader()
	requireEqual(t, "submit", leader.Submit(simtest.BatchJob("wk-1", 2)).Status, 201)
	sim.Run(2 * time.Second)
	requireEqual(t, "running", sim.runningTasks(), 2)
	code, _ := leader.Cancel("wk-1")
	requireEqual(t, "cancellation", code, 200)
	for _, agent := range agents {
		agent.LosesResponses = true
	}
	sim.Run(17 * time.Second)
	if controllerOf(leader).leader != nil {
		t.Fatal("the leader leads although no machine gets its responses")
	}
	for _, agent := range agents {
		agent.ExpireLease()
	}
	sim.Run(20 * time.Second)
	requireEqual(t, "running tasks of the cancelled job", sim.runningTasks(), 0)
}

// A late copy of a heartbeat must not renew a lease, prove a loss, change a task or add a machine
// that is gone: at the same leader, at a new leader, and after the machine was terminated.
func TestLateHeartbeatCopiesChangeNothing(t *testing.T) {
	sim := newSimulation(t, "a", "b", "c")
	agent, other := sim.AddMachine("vm-1", "z1"), sim.AddMachine("vm-2", "z2")
	sim.Run(3 * time.Second)
	leader := sim.Leader()
	requireEqual(t, "submit", leader.Submit(simtest.BatchJob("wk-1", 1)).Status, 201)
	agent.Heartbeat()
	requireEqual(t, "running", len(agent.Running()), 1)
	agent.Heartbeat()
	copied := append([]byte(nil), agent.LastHeartbeat...) // reports wk-1/0, with the current fencing token
	sim.Run(time.Second)
	m := controllerOf(leader).leader.machines.get("vm-1")
	before := *m
	sim.Advance(900 * time.Millisecond)
	requireEqual(t, "copy at the same leader", leader.CallOnConnection(agent.Connection, "POST", "/checkin", copied).Status, 503)
	if m.lastHeartbeat != before.lastHeartbeat || m.lastReachable != before.lastReachable || m.lastCurrentHeartbeat != before.lastCurrentHeartbeat || m.sequence != before.sequence {
		t.Fatal("a late copy changed the state of its machine")
	}

	// The task fails on the machine, and its next replica runs on the other one. Then the leader,
	// which also owns the job, crashes, and the next leader gets the copy as its first heartbeat.
	agent.FinishTasks("error")
	agent.Heartbeat()
	agent.Heartbeat()
	for range 4 {
		sim.Advance(time.Second)
		other.Heartbeat()
	}
	requireEqual(t, "replica", strings.Join(other.Running(), " "), "wk-1/0")
	requireEqual(t, "tasks on the first machine", len(agent.Tasks), 0)
	sim.Crash(leader.Name)
	sim.Advance(8 * time.Second)
	next := sim.Leader()
	requireEqual(t, "copy at a new leader", next.Call("POST", "/checkin", copied).Status, 200)
	sim.HeartbeatFor(6, other)
	agent.Heartbeat()
	requireEqual(t, "replica keeps running", strings.Join(other.Running(), " "), "wk-1/0")
	requireEqual(t, "starts", agent.Starts+other.Starts, 2)

	// A copy does not add a machine that is gone, at this leader or at the next one.
	sim.Run(2 * time.Second)
	newest := agent.HeartbeatBody() // newer than any that has arrived
	controllerOf(next).leader.markTerminated(controllerOf(next).leader.machines.get("vm-1"))
	delete(sim.Agents, "vm-1")
	gone := controllerOf(next).leader.machines.get("vm-1")
	lastHeartbeat := gone.lastHeartbeat
	sim.Advance(time.Second)
	requireEqual(t, "copy of a machine that is gone", next.Call("POST", "/checkin", newest).Status, 503)
	requireEqual(t, "time of its last heartbeat", gone.lastHeartbeat, lastHeartbeat)
	sim.Cloud.Machines = sim.Cloud.Machines[1:]
	sim.Run(3 * time.Second)
	sim.Crash(next.Name)
	sim.Start(leader.Name)
	sim.Advance(8 * time.Second)
	third := sim.Leader()
	third.Call("POST", "/checkin", newest)
	requireEqual(t, "second submit", third.Submit(simtest.BatchJob("wk-2", 8)).Status, 201)
	for range 4 {
		third.Call("POST", "/checkin", newest)
		sim.Run(time.Second)
	}
	atThird := controllerOf(third).leader.machines.get("vm-1")
	if atThird == nil || controllerOf(third).leader.schedulable(atThird, sim.Now()) || atThird.recordKey != "" || len(atThird.sentStarts) > 0 {
		t.Fatal("late copies made the next leader use a machine that is gone")
	}
}

// A leader that loses the state service and its peers, but not machines and users, stops acting
// before another member acts, and reports that it is not ready.
func TestIsolatedMemberStopsActing(t *testing.T) {
	sim := newSimulation(t, "a", "b", "c")
	agent := sim.AddMachine("vm-1", "z1")
	sim.Run(3 * time.Second)
	leader := sim.Leader()
	requireEqual(t, "submit", leader.Submit(simtest.BatchJob("wk-1", 2)).Status, 201)
	sim.Run(3 * time.Second)
	sim.requireStatus(leader, "wk-1", 200, "running")
	sim.State.Unavailable[leader.Name] = true
	for _, name := range sim.Members {
		if name != leader.Name {
			sim.Disconnect(leader.Name, name)
		}
	}
	leader.Call("GET", "/ready", nil)
	for range 80 {
		sim.Advance(100 * time.Millisecond)
		actingLeaders := 0
		for _, name := range sim.Members {
			if c := controllerOf(sim.Nodes[name]); c.leader != nil && c.election.MayAct(sim.Now()) {
				actingLeaders++
			}
		}
		if actingLeaders > 1 {
			t.Fatal("two members act as leader")
		}
	}
	requireEqual(t, "ready", leader.Call("GET", "/ready", nil).Status, 503)
	if r := agent.HeartbeatTo(leader); r.Status != 503 {
		t.Fatalf("a heartbeat is answered %d, want 503", r.Status)
	}
	requireEqual(t, "submission", leader.Submit(simtest.BatchJob("wk-2", 1)).Status, 503)
	next := sim.Leader()
	for range 10 {
		sim.Advance(time.Second)
		agent.HeartbeatTo(next)
	}
	code, status := next.Cancel("wk-1")
	requireEqual(t, "cancellation at the next leader", fmt.Sprintf("%d %s", code, status), "200 withdrawn")
	if code, s := leader.Status("wk-1"); code == 200 && s.Status != "withdrawn" {
		t.Fatalf("the isolated member answers with the older status %q", s.Status)
	}
	clear(sim.State.Unavailable)
	for _, name := range sim.Members {
		if name != leader.Name {
			sim.Connect(leader.Name, name)
		}
	}
	sim.Run(10 * time.Second)
	requireEqual(t, "leader after the reconnection", sim.Leader().Name, next.Name)
	requireEqual(t, "ready after the reconnection", leader.Call("GET", "/ready", nil).Status, 200)
	sim.requireStatus(leader, "wk-1", 200, "withdrawn")
	requireEqual(t, "submission after the reconnection", leader.Submit(simtest.BatchJob("wk-3", 2)).Status, 201)
	sim.Run(5 * time.Second)
	requireEqual(t, "running", strings.Join(agent.Running(), " "), "wk-3/0 wk-3/1")
}

// Hundreds of machines are rented and released in requests within the cloud's limits, even if it
// fills requests only in part. A list of machines that is older than the previous one neither
// removes a machine nor adds one that is gone.
func TestScaleOutAndScaleInOfHundredsOfMachines(t *testing.T) {
	sim := newSimulation(t, "a")
	sim.Cloud.MaxMachinesPerRequest = 40
	n := sim.Nodes["a"]
	requireEqual(t, "submit", n.Submit(simtest.BatchJob("wk-1", 480).With("vcpus", 8.0).With("ramGb", 60.0)).Status, 201)
	for second := 0; len(sim.Cloud.Machines) < 480 && second < 200; second++ {
		sim.Advance(time.Second)
	}
	requireEqual(t, "machines rented", len(sim.Cloud.Machines), 480)
	for _, request := range sim.Cloud.ScaleOutRequests {
		if request.Count > cloud.MaxMachinesPerScaleOut {
			t.Fatalf("a request for %d machines, more than cloud.MaxMachinesPerScaleOut", request.Count)
		}
	}
	sim.Advance(6 * time.Second)
	sim.BootMachines(2 * time.Second)
	for range 12 {
		sim.Run(time.Second)
	}
	sim.requireStatus(n, "wk-1", 200, "done")
	oldList := append([]simtest.CloudMachine(nil), sim.Cloud.Machines...)
	known := len(controllerOf(n).leader.machines.byName)
	sim.Cloud.StaleList = oldList[:100]
	sim.Run(5 * time.Second)
	requireEqual(t, "machines known after an older list", len(controllerOf(n).leader.machines.byName), known)
	sim.Cloud.StaleList = nil
	sim.Run(90 * time.Second)
	requireEqual(t, "machines released", len(sim.Cloud.ReleasedMachines), 480)
	for _, size := range sim.Cloud.ReleaseSizes {
		if size > cloud.MaxMachinesPerScaleIn {
			t.Fatalf("a release of %d machines, more than cloud.MaxMachinesPerScaleIn", size)
		}
	}
	sim.Cloud.StaleList = oldList
	sim.Run(10 * time.Second)
	for m := range controllerOf(n).leader.machines.all {
		if !m.terminated {
			t.Fatalf("an older list added %s again", m.name)
		}
	}
	requireEqual(t, "machines rented in total", sim.Cloud.CreatedMachines, 480)
}
