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

// What the users added to the protocol when their deployments grew: jobs stay
// known, every class is served, answers are lost, copies of heartbeats come late, a
// controller is alone with its workers, processes are back at once.

// An earlier process's claim, held by the network, must not be applied once the
// next process of the member can extend anything: with the holder's key gone
// meanwhile, it would make a second holder.
func TestDelayedClaimOfAnEarlierProcessIsFenced(t *testing.T) {
	sim := newSimulation(t, "a", "b", "c")
	var held func() storage.Response
	claimer := ""
	sim.State.OnTransaction = func(from string, q *protocol.Transaction, apply func() storage.Response, done func(storage.Response)) bool {
		if held == nil && len(q.Then) == 1 && q.Then[0].Put == storage.LeaderKey {
			held, claimer = apply, from
			return true
		}
		return false
	}
	sim.Crash(sim.Leader().Name)
	sim.Advance(6 * time.Second)
	if held == nil {
		t.Fatal("nobody claimed the leader key")
	}
	sim.Crash(claimer)
	sim.Start(claimer)
	sim.Advance(time.Second)
	requireEqual(t, "registered", controllerOf(sim.Nodes[claimer]).election.Registered(), true)
	sim.State.DeleteKey(storage.LeaderKey)
	requireEqual(t, "held claim", held().Status, 409)
	requireEqual(t, "leader key", sim.State.Keys[storage.LeaderKey] == nil, true)
}

// A process that is not certain that its predecessor's claims are dead
// extends nothing: one of them might still be applied in spite of it.
func TestNoLeaseExtensionBeforeMemberKeyIsWritten(t *testing.T) {
	sim := newSimulation(t, "a", "b", "c")
	sim.AddMachine("vm-1", "z1")
	sim.Run(2 * time.Second)
	lead, follower := sim.Leader(), sim.Follower()
	sim.State.OnTransaction = func(from string, q *protocol.Transaction, _ func() storage.Response, done func(storage.Response)) bool {
		return from == follower.Name && len(q.Then) == 1 && q.Then[0].Put == storage.ProcessKey(follower.Name)
	}
	sim.Crash(follower.Name)
	sim.Start(follower.Name)
	sim.Advance(3 * time.Second)
	requireEqual(t, "view of the restarted member", controllerOf(follower).election.ViewLoaded(), true)
	sim.State.Unavailable[""] = true
	sim.Run(6 * time.Second)
	requireEqual(t, "acts on a extension of a member that can't give one", controllerOf(lead).election.MayAct(sim.Now()), false)
}

// Once all faults are over, every accepted job is answered for, whichever
// member is asked and whoever owned it, and its tasks run to their end.
func TestAcceptedJobsStayKnown(t *testing.T) {
	for seed := range uint64(25) {
		r := rand.New(rand.NewPCG(seed, 11))
		sim := newSimulation(t, "a", "b", "c")
		for i := range 4 {
			sim.AddMachine(fmt.Sprintf("vm-%d", i), []string{"z1", "z2"}[i%2]).TaskDuration = 3 * time.Second
		}
		type event struct {
			at time.Duration
			do func()
		}
		var late []event
		sim.State.OnTransaction = func(_ string, _ *protocol.Transaction, apply func() storage.Response, done func(storage.Response)) bool {
			if r.IntN(40) > 0 {
				return false
			}
			// Held by the network: given up after a while, applied sooner or later.
			late = append(late, event{sim.Now() + 1500*time.Millisecond, func() { done(storage.Response{}) }},
				event{sim.Now() + time.Duration(r.IntN(8000))*time.Millisecond, func() { apply() }})
			return true
		}
		var accepted []string
		for step := range 120 {
			name := sim.Members[r.IntN(3)]
			switch r.IntN(16) {
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
				if other := sim.Members[r.IntN(3)]; other != name && sim.Nodes[name].Up && sim.Nodes[other].Up {
					if sim.Nodes[name].Links[other] != nil {
						sim.Disconnect(name, other)
					} else {
						sim.Connect(name, other)
					}
				}
			case 5, 6, 7:
				if id := fmt.Sprintf("wk-%d", step); sim.Nodes[name].Up {
					if q := sim.Nodes[name].Submit(simtest.BatchJob(id, 3)); q.Status == 201 {
						accepted = append(accepted, id)
					}
				}
			}
			due := late
			late = nil
			for _, e := range due {
				if sim.Now() >= e.at {
					e.do()
				} else {
					late = append(late, e)
				}
			}
			sim.BootMachines(3 * time.Second)
			sim.Run(time.Second)
		}
		sim.State.OnTransaction = nil
		for _, e := range late {
			e.do()
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
					t.Fatalf("seed %d: %s asked for %s answers %d", seed, name, id, code)
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
					t.Fatalf("seed %d: %s says %d %q of %s", seed, name, code, s.Status, id)
				}
			}
		}
	}
}

// A machine whose heartbeats arrive but which no answer reaches gets no starts,
// holds nothing up, and is returned if that lasts.
func TestMachineWithoutResponsesIsReturned(t *testing.T) {
	sim := newSimulation(t, "a", "b", "c")
	deaf, other := sim.AddMachine("vm-1", "z1"), sim.AddMachine("vm-2", "z1")
	sim.Run(3 * time.Second)
	lead := sim.Leader()
	requireEqual(t, "submit", lead.Submit(simtest.BatchJob("wk-1", 2).With("crew", "red")).Status, 201)
	deaf.Heartbeat()
	requireEqual(t, "running", len(deaf.Running()), 2)
	deaf.Heartbeat()

	deaf.LosesResponses = true
	deaf.Heartbeat() // its answer is lost; the worker closes the connection
	requireEqual(t, "more", lead.Submit(simtest.BatchJob("wk-2", 2)).Status, 201)
	m := controllerOf(lead).leader.machines.get("vm-1")
	for range 3 {
		deaf.Heartbeat()
		requireEqual(t, "starts sent to a machine that gets no responses", len(m.sentStarts), 0)
	}
	other.Heartbeat()
	requireEqual(t, "running elsewhere", len(other.Running()), 2)
	requireEqual(t, "its use of a limit", controllerOf(lead).leader.usage.teams["red"].cpus, 4)

	// Its new epoch proves that its tasks are gone, whatever fencing token it bears.
	deaf.ExpireLease()
	deaf.Heartbeat()
	sim.Advance(tickInterval)
	other.Heartbeat()
	requireEqual(t, "running elsewhere", strings.Join(other.Running(), " "), "wk-1/0 wk-1/1 wk-2/0 wk-2/1")
	for range 30 {
		deaf.Heartbeat()
		other.Heartbeat()
		sim.Advance(time.Second)
	}
	requireEqual(t, "returned", fmt.Sprint(sim.Cloud.ReleasedMachines), "[vm-1]")
}

// The same at a new leader, whose fencing token the machine never sees: its new epoch
// is proof all the same, as epochs end only with all their tasks.
func TestNewEpochWithOldFencingTokenIsProofOfLoss(t *testing.T) {
	sim := newSimulation(t, "a", "b", "c")
	deaf, other := sim.AddMachine("vm-1", "z1"), sim.AddMachine("vm-2", "z1")
	sim.Run(3 * time.Second)
	lead, follower := sim.Leader(), sim.Follower()
	requireEqual(t, "submit", follower.Submit(simtest.BatchJob("wk-1", 2)).Status, 201)
	deaf.Heartbeat()
	requireEqual(t, "running", len(deaf.Running()), 2)
	deaf.Heartbeat()
	deaf.LosesResponses = true
	sim.Crash(lead.Name)
	sim.Run(10 * time.Second)
	requireEqual(t, "running elsewhere before the lease is over", len(other.Running()), 0)
	deaf.ExpireLease()
	sim.Run(3 * time.Second)
	requireEqual(t, "running elsewhere", len(other.Running()), 2)
}

// Heartbeats with very many tasks, all at once, keep the mesh's frames and the
// answers within their sizes: a frame that is too large would end the stream.
func TestLargeHeartbeatsStayWithinSizeLimits(t *testing.T) {
	sim := newSimulation(t, "a", "b", "c")
	lead, follower := sim.Leader(), sim.Follower()
	requireEqual(t, "submit", follower.Submit(simtest.BatchJob("wk-1", 3000)).Status, 201)
	var answers []*Response
	for i := range 40 {
		agent := sim.AddMachine(fmt.Sprintf("vm-%d", i), "z1")
		agent.Heartbeat()
		for n := range 1500 {
			name := fmt.Sprintf("wk-1/%d", n)
			agent.Tasks[name] = &simtest.AgentTask{Name: name, Replica: uint64(1 + i), State: "ended", Cause: "halted"}
		}
		out := &Response{}
		controllerOf(lead).HandleHTTP(&Request{Method: "POST", Path: "/checkin", Body: agent.HeartbeatBody(), Conn: agent.Connection}, func(r Response) { *out = r })
		answers = append(answers, out)
	}
	sim.DeliverAll()
	sim.Advance(time.Second)
	code, _ := follower.Cancel("wk-1")
	requireEqual(t, "abort", code, 200)
	for _, name := range sim.AgentNames() {
		controllerOf(lead).balancer.redirectBudget = 0 // none is sent elsewhere
		r := sim.Agents[name].Heartbeat()
		if r.Status != 200 || len(r.Body) > 64<<10 {
			t.Fatalf("answered %d with %d bytes", r.Status, len(r.Body))
		}
	}
	for _, r := range answers {
		requireEqual(t, "answer", r.Status, 200)
	}
}

// A machine that was out of reach for longer than a worker waits for an answer gets
// starts with its first heartbeat, on whatever connection; one that sends heartbeats as a worker
// does that gets no answers still gets none.
func TestReconnectedMachineGetsStartsAtOnce(t *testing.T) {
	for _, c := range []struct {
		pause  time.Duration
		starts bool
	}{{5 * time.Second, false}, {8 * time.Second, true}} {
		t.Run(fmt.Sprint("silent for ", c.pause), func(t *testing.T) {
			sim := newSimulation(t, "a", "b", "c")
			sim.Cloud.RejectsScaleOut = true
			for _, name := range sim.Members {
				tune := &controllerOf(sim.Nodes[name]).tuning // it is not returned for its pauses
				tune.MaxMissedHeartbeats, tune.IdleBeforeScaleIn = 20, time.Hour
			}
			agent, other := sim.AddMachine("vm-1", "z1"), sim.AddMachine("vm-2", "z2")
			pause := func(d time.Duration) { // the leader hears of others meanwhile
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
			agent.ConnectedTo = nil // its connection is gone
			agent.HeartbeatTo(n)
			requireEqual(t, fmt.Sprint("started after ", c.pause), sim.runningTasks() > 0, c.starts)
			agent.HeartbeatTo(n)
			requireEqual(t, "started by the next heartbeat", sim.runningTasks(), 2)
			agent.FinishTasks("done")
			for range 3 { // until its results are written and cleared
				agent.HeartbeatTo(n)
				sim.Advance(time.Second)
			}
			agent.LosesResponses = true // it hears nothing, and pauses again: it gets nothing twice
			sent := func() int { return len(controllerOf(n).leader.machines.get("vm-1").sentStarts) }
			agent.ConnectedTo = nil
			pause(8 * time.Second)
			requireEqual(t, "more", n.Submit(simtest.BatchJob("wk-2", 2).With("hall", "z1")).Status, 201)
			agent.HeartbeatTo(n)
			first := sent()
			for range 2 { // the first shows that its starts are lost
				pause(8 * time.Second)
				agent.HeartbeatTo(n)
			}
			requireEqual(t, fmt.Sprint("sent to one that gets no responses, away for ", c.pause), fmt.Sprint(first, " ", sent()), "2 0")
		})
	}
}

// A machine that gets responses again is served again.
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
	requireEqual(t, "starts in answer to the first heartbeat on a new connection", len(agent.Running()), 0)
	agent.Heartbeat()
	requireEqual(t, "starts once an answer has arrived", len(agent.Running()), 2)
}

// A machine that sends heartbeats on another connection each time, as it does while it
// tries one controller after another, keeps its tasks until its lease is over:
// returned at once, it lost them although it was well a moment later.
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
	requireEqual(t, "returned", len(sim.Cloud.ReleasedMachines), 0)
	requireEqual(t, "running", len(agent.Running()), 4)
}

// What is cancelled on a machine that gets no responses ends in time, and such
// machines do not keep a leader believing that it reaches its workers.
func TestCancellationWhenNoMachineGetsResponses(t *testing.T) {
	sim := newSimulation(t, "a", "b", "c")
	var deaf []*simtest.Agent
	for i := range 10 {
		deaf = append(deaf, sim.AddMachine(fmt.Sprintf("vm-%d", i), "z1"))
	}
	sim.Run(10 * time.Second)
	lead := sim.Leader()
	requireEqual(t, "submit", lead.Submit(simtest.BatchJob("wk-1", 2)).Status, 201)
	sim.Run(2 * time.Second)
	requireEqual(t, "running", sim.runningTasks(), 2)
	code, _ := lead.Cancel("wk-1")
	requireEqual(t, "abort", code, 200)
	for _, agent := range deaf {
		agent.LosesResponses = true
	}
	sim.Run(17 * time.Second)
	if controllerOf(lead).leader != nil {
		t.Fatal("the leader believes that it reaches its workers")
	}
	for _, agent := range deaf {
		agent.ExpireLease() // their leases are over
	}
	sim.Run(20 * time.Second)
	requireEqual(t, "left of the cancelled job", sim.runningTasks(), 0)
}

// A late copy of a heartbeat renews nothing, proves nothing, changes no task and
// brings back no machine: at the same leader, at a new one, after a release.
func TestLateHeartbeatCopiesChangeNothing(t *testing.T) {
	sim := newSimulation(t, "a", "b", "c")
	agent, other := sim.AddMachine("vm-1", "z1"), sim.AddMachine("vm-2", "z2")
	sim.Run(3 * time.Second)
	lead := sim.Leader()
	requireEqual(t, "submit", lead.Submit(simtest.BatchJob("wk-1", 1)).Status, 201)
	agent.Heartbeat()
	requireEqual(t, "running", len(agent.Running()), 1)
	agent.Heartbeat()
	old := append([]byte(nil), agent.LastHeartbeat...) // lists wk-1/0, with the present fencing token
	sim.Run(time.Second)
	m := controllerOf(lead).leader.machines.get("vm-1")
	before := *m
	sim.Advance(900 * time.Millisecond)
	requireEqual(t, "copy at the same leader", lead.CallOnConnection(agent.Connection, "POST", "/checkin", old).Status, 503)
	if m.lastHeartbeat != before.lastHeartbeat || m.lastReachable != before.lastReachable || m.lastCurrentHeartbeat != before.lastCurrentHeartbeat || m.sequence != before.sequence {
		t.Fatal("a late copy renewed what is known of its machine")
	}

	// The machine fails the task; its replica runs on the other one. Then the
	// leader and owner ends, and the copy is the first that the next one hears.
	agent.FinishTasks("error")
	agent.Heartbeat()
	agent.Heartbeat()
	for range 4 {
		sim.Advance(time.Second)
		other.Heartbeat()
	}
	requireEqual(t, "replica", strings.Join(other.Running(), " "), "wk-1/0")
	requireEqual(t, "left on the first", len(agent.Tasks), 0)
	sim.Crash(lead.Name)
	sim.Advance(8 * time.Second)
	next := sim.Leader()
	requireEqual(t, "copy at a new leader", next.Call("POST", "/checkin", old).Status, 200)
	sim.HeartbeatFor(6, other)
	agent.Heartbeat()
	requireEqual(t, "replica runs on", strings.Join(other.Running(), " "), "wk-1/0")
	requireEqual(t, "starts", agent.Starts+other.Starts, 2)

	// A machine that is gone stays gone, here and at the next leader.
	sim.Run(2 * time.Second)
	last := agent.HeartbeatBody() // newer than any that has arrived
	controllerOf(next).leader.markTerminated(controllerOf(next).leader.machines.get("vm-1"))
	delete(sim.Agents, "vm-1")
	gone := controllerOf(next).leader.machines.get("vm-1")
	at := gone.lastHeartbeat
	sim.Advance(time.Second)
	requireEqual(t, "copy of a machine that is gone", next.Call("POST", "/checkin", last).Status, 503)
	requireEqual(t, "last heard of it", gone.lastHeartbeat, at)
	sim.Cloud.Machines = sim.Cloud.Machines[1:]
	sim.Run(3 * time.Second)
	sim.Crash(next.Name)
	sim.Start(lead.Name)
	sim.Advance(8 * time.Second)
	third := sim.Leader()
	third.Call("POST", "/checkin", last)
	requireEqual(t, "more", third.Submit(simtest.BatchJob("wk-2", 8)).Status, 201)
	for range 4 {
		third.Call("POST", "/checkin", last)
		sim.Run(time.Second)
	}
	g := controllerOf(third).leader.machines.get("vm-1")
	if g == nil || controllerOf(third).leader.schedulable(g, sim.Now()) || g.recordKey != "" || len(g.sentStarts) > 0 {
		t.Fatal("a late copy made a machine of one that is gone")
	}
}

// A member that loses the state service and the other members, but not its
// workers and users, stops before another acts, and says so.
func TestIsolatedMemberStopsActing(t *testing.T) {
	sim := newSimulation(t, "a", "b", "c")
	agent := sim.AddMachine("vm-1", "z1")
	sim.Run(3 * time.Second)
	lead := sim.Leader()
	requireEqual(t, "submit", lead.Submit(simtest.BatchJob("wk-1", 2)).Status, 201)
	sim.Run(3 * time.Second)
	sim.requireStatus(lead, "wk-1", 200, "running")
	sim.State.Unavailable[lead.Name] = true
	for _, name := range sim.Members {
		if name != lead.Name {
			sim.Disconnect(lead.Name, name)
		}
	}
	lead.Call("GET", "/ready", nil)
	for range 80 {
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
	requireEqual(t, "ready", lead.Call("GET", "/ready", nil).Status, 503)
	if r := agent.HeartbeatTo(lead); r.Status != 503 {
		t.Fatalf("a worker is answered %d", r.Status)
	}
	requireEqual(t, "submission", lead.Submit(simtest.BatchJob("wk-2", 1)).Status, 503)
	next := sim.Leader()
	for range 10 {
		sim.Advance(time.Second)
		agent.HeartbeatTo(next)
	}
	code, status := next.Cancel("wk-1")
	requireEqual(t, "withdrawn elsewhere", fmt.Sprintf("%d %s", code, status), "200 withdrawn")
	if code, s := lead.Status("wk-1"); code == 200 && s.Status != "withdrawn" {
		t.Fatalf("an older answer: %q", s.Status)
	}
	clear(sim.State.Unavailable)
	for _, name := range sim.Members {
		if name != lead.Name {
			sim.Connect(lead.Name, name)
		}
	}
	sim.Run(10 * time.Second)
	requireEqual(t, "leader after the return", sim.Leader().Name, next.Name)
	requireEqual(t, "ready after the return", lead.Call("GET", "/ready", nil).Status, 200)
	sim.requireStatus(lead, "wk-1", 200, "withdrawn")
	requireEqual(t, "submission after the return", lead.Submit(simtest.BatchJob("wk-3", 2)).Status, 201)
	sim.Run(5 * time.Second)
	requireEqual(t, "running", strings.Join(agent.Running(), " "), "wk-3/0 wk-3/1")
}

// Hundreds of machines are rented and returned within what one request takes,
// also if requests are filled in part; and a list that is older than the one
// before neither loses a machine nor brings back one that is gone.
func TestScaleOutAndScaleInOfHundredsOfMachines(t *testing.T) {
	sim := newSimulation(t, "a")
	sim.Cloud.MaxMachinesPerRequest = 40
	n := sim.Nodes["a"]
	requireEqual(t, "submit", n.Submit(simtest.BatchJob("wk-1", 480).With("vcpus", 8.0).With("ramGb", 60.0)).Status, 201)
	for s := 0; len(sim.Cloud.Machines) < 480 && s < 200; s++ {
		sim.Advance(time.Second)
	}
	requireEqual(t, "machines rented", len(sim.Cloud.Machines), 480)
	for _, request := range sim.Cloud.ScaleOutRequests {
		if request.Count > cloud.MaxMachinesPerScaleOut {
			t.Fatalf("a request for %d machines", request.Count)
		}
	}
	sim.Advance(6 * time.Second)
	sim.BootMachines(2 * time.Second)
	for range 12 {
		sim.Run(time.Second)
	}
	sim.requireStatus(n, "wk-1", 200, "done")
	before := append([]simtest.CloudMachine(nil), sim.Cloud.Machines...)
	known := len(controllerOf(n).leader.machines.byName)
	sim.Cloud.StaleList = before[:100]
	sim.Run(5 * time.Second)
	requireEqual(t, "machines known by an older list", len(controllerOf(n).leader.machines.byName), known)
	sim.Cloud.StaleList = nil
	sim.Run(90 * time.Second)
	requireEqual(t, "machines returned", len(sim.Cloud.ReleasedMachines), 480)
	for _, k := range sim.Cloud.ReleaseSizes {
		if k > cloud.MaxMachinesPerScaleIn {
			t.Fatalf("a release of %d machines", k)
		}
	}
	sim.Cloud.StaleList = before
	sim.Run(10 * time.Second)
	for m := range controllerOf(n).leader.machines.all {
		if !m.terminated {
			t.Fatalf("%s is back by an older list", m.name)
		}
	}
	requireEqual(t, "machines rented in all", sim.Cloud.CreatedMachines, 480)
}
