package coordination

import (
	"fmt"
	"math/rand/v2"
	"strings"
	"testing"
	"time"

	"github.com/cobaltvale/cobaltvale/internal/protocol"
	"github.com/cobaltvale/cobaltvale/internal/storage"
)

// What the users added to the protocol when their deployments grew: jobs stay
// known, every class is served, answers are lost, copies come late, a
// controller is alone with its workers, processes are back at once.

// An earlier process's claim, held by the network, must not be applied once the
// next process of the member can extend anything: with the holder's key gone
// meanwhile, it would make a second holder.
func TestDelayedClaimOfAnEarlierProcessIsFenced(t *testing.T) {
	sim := newSimulation(t, "a", "b", "c")
	var held func() storage.Response
	claimer := ""
	sim.state.onTransaction = func(from string, q *protocol.Transaction, apply func() storage.Response, done func(storage.Response)) bool {
		if held == nil && len(q.Then) == 1 && q.Then[0].Put == storage.LeaderKey {
			held, claimer = apply, from
			return true
		}
		return false
	}
	sim.crash(sim.leader().name)
	sim.advance(6 * time.Second)
	if held == nil {
		t.Fatal("nobody claimed the leader key")
	}
	sim.crash(claimer)
	sim.start(claimer)
	sim.advance(time.Second)
	want(t, "registered", sim.nodes[claimer].controller.election.Registered(), true)
	sim.state.deleteKey(storage.LeaderKey)
	want(t, "held claim", held().Status, 409)
	want(t, "leader key", sim.state.keys[storage.LeaderKey] == nil, true)
}

// A process that is not certain that its predecessor's claims are dead
// extends nothing: one of them might still be applied in spite of it.
func TestNoLeaseExtensionBeforeTheMemberKey(t *testing.T) {
	sim := newSimulation(t, "a", "b", "c")
	sim.addMachine("vm-1", "z1")
	sim.run(2 * time.Second)
	lead, follower := sim.leader(), sim.follower()
	sim.state.onTransaction = func(from string, q *protocol.Transaction, _ func() storage.Response, done func(storage.Response)) bool {
		return from == follower.name && len(q.Then) == 1 && q.Then[0].Put == storage.ProcessKey(follower.name)
	}
	sim.crash(follower.name)
	sim.start(follower.name)
	sim.advance(3 * time.Second)
	want(t, "view of the restarted member", follower.controller.election.ViewLoaded(), true)
	sim.state.unavailable[""] = true
	sim.run(6 * time.Second)
	want(t, "acts on a extension of a member that can't give one", lead.controller.election.MayAct(sim.now), false)
}

// Once all troubles are over, every accepted job is answered for, whichever
// member is asked and whoever owned it, and its tasks run to their end.
func TestAcceptedJobsStayKnown(t *testing.T) {
	for seed := range uint64(25) {
		r := rand.New(rand.NewPCG(seed, 11))
		sim := newSimulation(t, "a", "b", "c")
		for i := range 4 {
			sim.addMachine(fmt.Sprintf("vm-%d", i), []string{"z1", "z2"}[i%2]).taskDuration = 3 * time.Second
		}
		type event struct {
			at time.Duration
			do func()
		}
		var late []event
		sim.state.onTransaction = func(_ string, _ *protocol.Transaction, apply func() storage.Response, done func(storage.Response)) bool {
			if r.IntN(40) > 0 {
				return false
			}
			// Held by the network: given up after a while, applied sooner or later.
			late = append(late, event{sim.now + 1500*time.Millisecond, func() { done(storage.Response{}) }},
				event{sim.now + time.Duration(r.IntN(8000))*time.Millisecond, func() { apply() }})
			return true
		}
		var accepted []string
		for step := range 120 {
			name := sim.names[r.IntN(3)]
			switch r.IntN(16) {
			case 0:
				sim.state.unavailable[name] = !sim.state.unavailable[name]
			case 1:
				sim.state.unavailable[""] = !sim.state.unavailable[""]
			case 2:
				if sim.nodes[name].up {
					sim.crash(name)
				}
			case 3:
				if sim.nodes[name].up {
					sim.crash(name)
				}
				sim.start(name)
			case 4:
				if other := sim.names[r.IntN(3)]; other != name && sim.nodes[name].up && sim.nodes[other].up {
					if sim.nodes[name].links[other] != nil {
						sim.disconnect(name, other)
					} else {
						sim.connect(name, other)
					}
				}
			case 5, 6, 7:
				if id := fmt.Sprintf("wk-%d", step); sim.nodes[name].up {
					if q := sim.nodes[name].submit(batchJob(id, 3)); q.Status == 201 {
						accepted = append(accepted, id)
					}
				}
			}
			due := late
			late = nil
			for _, e := range due {
				if sim.now >= e.at {
					e.do()
				} else {
					late = append(late, e)
				}
			}
			sim.bootMachines(3 * time.Second)
			sim.run(time.Second)
		}
		sim.state.onTransaction = nil
		for _, e := range late {
			e.do()
		}
		clear(sim.state.unavailable)
		for _, name := range sim.names {
			if !sim.nodes[name].up {
				sim.start(name)
			}
		}
		for i, a := range sim.names {
			for _, b := range sim.names[i+1:] {
				if sim.nodes[a].links[b] == nil {
					sim.connect(a, b)
				}
			}
		}
		sim.run(20 * time.Second)
		for _, id := range accepted {
			for _, name := range sim.names {
				if code, _ := sim.nodes[name].status(id); code != 200 {
					t.Fatalf("seed %d: %s asked for %s answers %d", seed, name, id, code)
				}
			}
		}
		for range 55 {
			sim.bootMachines(3 * time.Second)
			sim.run(time.Second)
		}
		for _, id := range accepted {
			for _, name := range sim.names {
				if code, s := sim.nodes[name].status(id); code != 200 || s.Status != "done" {
					t.Fatalf("seed %d: %s says %d %q of %s", seed, name, code, s.Status, id)
				}
			}
		}
	}
}

// A machine whose reports arrive but which no answer reaches gets no starts,
// holds nothing up, and is returned if that lasts.
func TestMachineWithoutResponsesIsReturned(t *testing.T) {
	sim := newSimulation(t, "a", "b", "c")
	deaf, other := sim.addMachine("vm-1", "z1"), sim.addMachine("vm-2", "z1")
	sim.run(3 * time.Second)
	lead := sim.leader()
	want(t, "submit", lead.submit(batchJob("wk-1", 2).with("crew", "red")).Status, 201)
	deaf.heartbeat()
	want(t, "running", len(deaf.running()), 2)
	deaf.heartbeat()

	deaf.losesResponses = true
	deaf.heartbeat() // its answer is lost; the worker closes the connection
	want(t, "more", lead.submit(batchJob("wk-2", 2)).Status, 201)
	m := lead.controller.leader.machines.get("vm-1")
	for range 3 {
		deaf.heartbeat()
		want(t, "starts sent to a machine that hears nothing", len(m.sentStarts), 0)
	}
	other.heartbeat()
	want(t, "running elsewhere", len(other.running()), 2)
	want(t, "its use of a limit", lead.controller.leader.usage.teams["red"].cpus, 4)

	// Its new session proves that its tasks are gone, whatever token it bears.
	deaf.expireLease()
	deaf.heartbeat()
	sim.advance(tickInterval)
	other.heartbeat()
	want(t, "running elsewhere", strings.Join(other.running(), " "), "wk-1/0 wk-1/1 wk-2/0 wk-2/1")
	for range 30 {
		deaf.heartbeat()
		other.heartbeat()
		sim.advance(time.Second)
	}
	want(t, "returned", fmt.Sprint(sim.cloud.released), "[vm-1]")
}

// The same at a new leader, whose token the machine never sees: its new session
// is proof all the same, as sessions end only with all their tasks.
func TestNewEpochWithoutFencingTokenIsProofOfLoss(t *testing.T) {
	sim := newSimulation(t, "a", "b", "c")
	deaf, other := sim.addMachine("vm-1", "z1"), sim.addMachine("vm-2", "z1")
	sim.run(3 * time.Second)
	lead, follower := sim.leader(), sim.follower()
	want(t, "submit", follower.submit(batchJob("wk-1", 2)).Status, 201)
	deaf.heartbeat()
	want(t, "running", len(deaf.running()), 2)
	deaf.heartbeat()
	deaf.losesResponses = true
	sim.crash(lead.name)
	sim.run(10 * time.Second)
	want(t, "running elsewhere before the lease is over", len(other.running()), 0)
	deaf.expireLease()
	sim.run(3 * time.Second)
	want(t, "running elsewhere", len(other.running()), 2)
}

// Reports with very many tasks, all at once, keep the mesh's frames and the
// answers within their sizes: a frame that is too large would end the stream.
func TestLargeHeartbeatsStayWithinSizeLimits(t *testing.T) {
	sim := newSimulation(t, "a", "b", "c")
	lead, follower := sim.leader(), sim.follower()
	want(t, "submit", follower.submit(batchJob("wk-1", 3000)).Status, 201)
	var answers []*Response
	for i := range 40 {
		agent := sim.addMachine(fmt.Sprintf("vm-%d", i), "z1")
		agent.heartbeat()
		for n := range 1500 {
			name := fmt.Sprintf("wk-1/%d", n)
			agent.tasks[name] = &agentTask{name: name, replica: uint64(1 + i), state: "ended", cause: "halted"}
		}
		out := &Response{}
		lead.controller.HandleHTTP(&Request{Method: "POST", Path: "/checkin", Body: agent.heartbeatBody(), Conn: agent.connection}, func(r Response) { *out = r })
		answers = append(answers, out)
	}
	sim.deliverAll()
	sim.advance(time.Second)
	code, _ := follower.cancel("wk-1")
	want(t, "abort", code, 200)
	for _, name := range sim.agentNames() {
		lead.controller.forwarder.redirectBudget = 0 // none is sent elsewhere
		r := sim.agents[name].heartbeat()
		if r.Status != 200 || len(r.Body) > 64<<10 {
			t.Fatalf("answered %d with %d bytes", r.Status, len(r.Body))
		}
	}
	for _, r := range answers {
		want(t, "answer", r.Status, 200)
	}
}

// A machine that was out of reach for longer than a worker waits for an answer gets
// starts with its first report, on whatever connection; one that reports as a worker
// does that gets no answers still gets none.
func TestReconnectedMachineGetsStartsAtOnce(t *testing.T) {
	for _, c := range []struct {
		pause  time.Duration
		starts bool
	}{{5 * time.Second, false}, {8 * time.Second, true}} {
		sim := newSimulation(t, "a", "b", "c")
		sim.cloud.refusesScaleOut = true
		for _, name := range sim.names {
			tune := &sim.nodes[name].controller.tuning // it is not returned for its pauses
			tune.SilenceHeartbeats, tune.IdleBeforeScaleIn = 20, time.Hour
		}
		agent, other := sim.addMachine("vm-1", "z1"), sim.addMachine("vm-2", "z2")
		pause := func(d time.Duration) { // the leader hears of others meanwhile
			for end := sim.now + d; sim.now < end; {
				sim.advance(time.Second)
				other.heartbeat()
			}
		}
		sim.run(4 * time.Second)
		n := sim.leader()
		agent.heartbeatTo(n)
		pause(c.pause)
		want(t, "submit", n.submit(batchJob("wk-1", 2).with("hall", "z1")).Status, 201)
		agent.connectedTo = nil // its connection is gone
		agent.heartbeatTo(n)
		want(t, fmt.Sprint("started after ", c.pause), sim.runningTasks() > 0, c.starts)
		agent.heartbeatTo(n)
		want(t, "started by the next report", sim.runningTasks(), 2)
		agent.finishTasks("done")
		for range 3 { // until its results are written and cleared
			agent.heartbeatTo(n)
			sim.advance(time.Second)
		}
		agent.losesResponses = true // it hears nothing, and pauses again: it gets nothing twice
		sent := func() int { return len(n.controller.leader.machines.get("vm-1").sentStarts) }
		agent.connectedTo = nil
		pause(8 * time.Second)
		want(t, "more", n.submit(batchJob("wk-2", 2).with("hall", "z1")).Status, 201)
		agent.heartbeatTo(n)
		first := sent()
		for range 2 { // the first shows that its starts are lost
			pause(8 * time.Second)
			agent.heartbeatTo(n)
		}
		want(t, fmt.Sprint("sent to one that hears nothing, away for ", c.pause), fmt.Sprint(first, " ", sent()), "2 0")
	}
}

// A machine that hears again is served again.
func TestMachineWithRestoredResponsesIsServed(t *testing.T) {
	sim := newSimulation(t, "a")
	agent := sim.addMachine("vm-1", "z1")
	sim.run(3 * time.Second)
	agent.losesResponses = true
	agent.heartbeat()
	agent.heartbeat()
	agent.losesResponses = false
	want(t, "submit", sim.nodes["a"].submit(batchJob("wk-1", 2)).Status, 201)
	agent.heartbeat()
	want(t, "starts in answer to the first report on a new connection", len(agent.running()), 0)
	agent.heartbeat()
	want(t, "starts once an answer has arrived", len(agent.running()), 2)
}

// A machine that reports on another connection each time, as it does while it
// tries one controller after another, keeps its tasks until its lease is over:
// returned at once, it lost them although it was well a moment later.
func TestMachineThatTriesOtherControllersKeepsItsTasks(t *testing.T) {
	sim := newSimulation(t, "a", "b", "c")
	agent := sim.addMachine("vm-1", "z1")
	for i := range 10 {
		sim.addMachine(fmt.Sprintf("vm-2%d", i), "z1")
	}
	sim.run(10 * time.Second)
	want(t, "submit", sim.leader().submit(batchJob("wk-1", 44)).Status, 201)
	sim.run(2 * time.Second)
	want(t, "running", len(agent.running()), 4)
	agent.losesResponses = true
	sim.run(14 * time.Second)
	agent.losesResponses = false
	sim.run(10 * time.Second)
	want(t, "returned", len(sim.cloud.released), 0)
	want(t, "running", len(agent.running()), 4)
}

// What is cancelled on a machine that hears nothing ends in time, and such
// machines do not keep a leader believing that it reaches its workers.
func TestCancellationWhenNoMachineGetsResponses(t *testing.T) {
	sim := newSimulation(t, "a", "b", "c")
	var deaf []*machineAgent
	for i := range 10 {
		deaf = append(deaf, sim.addMachine(fmt.Sprintf("vm-%d", i), "z1"))
	}
	sim.run(10 * time.Second)
	lead := sim.leader()
	want(t, "submit", lead.submit(batchJob("wk-1", 2)).Status, 201)
	sim.run(2 * time.Second)
	want(t, "running", sim.runningTasks(), 2)
	code, _ := lead.cancel("wk-1")
	want(t, "abort", code, 200)
	for _, agent := range deaf {
		agent.losesResponses = true
	}
	sim.run(17 * time.Second)
	if lead.controller.leader != nil {
		t.Fatal("the leader believes that it reaches its workers")
	}
	for _, agent := range deaf {
		agent.expireLease() // their leases are over
	}
	sim.run(20 * time.Second)
	want(t, "left of the cancelled job", sim.runningTasks(), 0)
}

// A late copy of a report renews nothing, proves nothing, changes no task and
// brings back no machine: at the same leader, at a new one, after a release.
func TestLateHeartbeatCopiesChangeNothing(t *testing.T) {
	sim := newSimulation(t, "a", "b", "c")
	agent, other := sim.addMachine("vm-1", "z1"), sim.addMachine("vm-2", "z2")
	sim.run(3 * time.Second)
	lead := sim.leader()
	want(t, "submit", lead.submit(batchJob("wk-1", 1)).Status, 201)
	agent.heartbeat()
	want(t, "running", len(agent.running()), 1)
	agent.heartbeat()
	old := append([]byte(nil), agent.lastHeartbeat...) // lists wk-1/0, with the present token
	sim.run(time.Second)
	m := lead.controller.leader.machines.get("vm-1")
	before := *m
	sim.advance(900 * time.Millisecond)
	want(t, "copy at the same leader", lead.callOnConnection(agent.connection, "POST", "/checkin", old).Status, 503)
	if m.lastHeartbeat != before.lastHeartbeat || m.lastReachable != before.lastReachable || m.lastCurrentHeartbeat != before.lastCurrentHeartbeat || m.sequence != before.sequence {
		t.Fatal("a late copy renewed what is known of its machine")
	}

	// The machine fails the task; its replica runs on the other one. Then the
	// leader and owner ends, and the copy is the first that the next one hears.
	agent.finishTasks("error")
	agent.heartbeat()
	agent.heartbeat()
	for range 4 {
		sim.advance(time.Second)
		other.heartbeat()
	}
	want(t, "replica", strings.Join(other.running(), " "), "wk-1/0")
	want(t, "left on the first", len(agent.tasks), 0)
	sim.crash(lead.name)
	sim.advance(8 * time.Second)
	next := sim.leader()
	want(t, "copy at a new leader", next.call("POST", "/checkin", old).Status, 200)
	for range 6 {
		other.heartbeat()
		sim.advance(time.Second)
	}
	agent.heartbeat()
	want(t, "replica runs on", strings.Join(other.running(), " "), "wk-1/0")
	want(t, "starts", agent.starts+other.starts, 2)

	// A machine that is gone stays gone, here and at the next leader.
	sim.run(2 * time.Second)
	last := agent.heartbeatBody() // newer than any that has arrived
	next.controller.leader.markTerminated(next.controller.leader.machines.get("vm-1"))
	delete(sim.agents, "vm-1")
	gone := next.controller.leader.machines.get("vm-1")
	at := gone.lastHeartbeat
	sim.advance(time.Second)
	want(t, "copy of a machine that is gone", next.call("POST", "/checkin", last).Status, 503)
	want(t, "last heard of it", gone.lastHeartbeat, at)
	sim.cloud.machines = sim.cloud.machines[1:]
	sim.run(3 * time.Second)
	sim.crash(next.name)
	sim.start(lead.name)
	sim.advance(8 * time.Second)
	third := sim.leader()
	third.call("POST", "/checkin", last)
	want(t, "more", third.submit(batchJob("wk-2", 8)).Status, 201)
	for range 4 {
		third.call("POST", "/checkin", last)
		sim.run(time.Second)
	}
	g := third.controller.leader.machines.get("vm-1")
	if g == nil || third.controller.leader.schedulable(g, sim.now) || g.recordKey != "" || len(g.sentStarts) > 0 {
		t.Fatal("a late copy made a machine of one that is gone")
	}
}

// A member that loses the state service and the other members, but not its
// workers and users, stops before another acts, and says so.
func TestIsolatedMemberStopsActing(t *testing.T) {
	sim := newSimulation(t, "a", "b", "c")
	agent := sim.addMachine("vm-1", "z1")
	sim.run(3 * time.Second)
	lead := sim.leader()
	want(t, "submit", lead.submit(batchJob("wk-1", 2)).Status, 201)
	sim.run(3 * time.Second)
	sim.wantStatus(lead, "wk-1", 200, "running")
	sim.state.unavailable[lead.name] = true
	for _, name := range sim.names {
		if name != lead.name {
			sim.disconnect(lead.name, name)
		}
	}
	lead.call("GET", "/ready", nil)
	for range 80 {
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
	want(t, "ready", lead.call("GET", "/ready", nil).Status, 503)
	if r := agent.heartbeatTo(lead); r.Status != 503 {
		t.Fatalf("a worker is answered %d", r.Status)
	}
	want(t, "submission", lead.submit(batchJob("wk-2", 1)).Status, 503)
	next := sim.leader()
	for range 10 {
		sim.advance(time.Second)
		agent.heartbeatTo(next)
	}
	code, status := next.cancel("wk-1")
	want(t, "withdrawn elsewhere", fmt.Sprintf("%d %s", code, status), "200 withdrawn")
	if code, s := lead.status("wk-1"); code == 200 && s.Status != "withdrawn" {
		t.Fatalf("an older answer: %q", s.Status)
	}
	clear(sim.state.unavailable)
	for _, name := range sim.names {
		if name != lead.name {
			sim.connect(lead.name, name)
		}
	}
	sim.run(10 * time.Second)
	want(t, "leader after the return", sim.leader().name, next.name)
	want(t, "ready after the return", lead.call("GET", "/ready", nil).Status, 200)
	sim.wantStatus(lead, "wk-1", 200, "withdrawn")
	want(t, "submission after the return", lead.submit(batchJob("wk-3", 2)).Status, 201)
	sim.run(5 * time.Second)
	want(t, "running", strings.Join(agent.running(), " "), "wk-3/0 wk-3/1")
}

// Hundreds of machines are rented and returned within what one request takes,
// also if requests are filled in part; and a list that is older than the one
// before neither loses a machine nor brings back one that is gone.
func TestScaleOutAndScaleInOfHundredsOfMachines(t *testing.T) {
	sim := newSimulation(t, "a")
	sim.cloud.maxPerRequest = 40
	n := sim.nodes["a"]
	want(t, "submit", n.submit(batchJob("wk-1", 480).with("vcpus", 8.0).with("ramGb", 60.0)).Status, 201)
	for s := 0; len(sim.cloud.machines) < 480 && s < 200; s++ {
		sim.advance(time.Second)
	}
	want(t, "machines rented", len(sim.cloud.machines), 480)
	for _, request := range sim.cloud.scaleOutRequests {
		if request.Count > maxMachinesPerRequest {
			t.Fatalf("a request for %d machines", request.Count)
		}
	}
	sim.advance(6 * time.Second)
	sim.bootMachines(2 * time.Second)
	for range 12 {
		sim.run(time.Second)
	}
	sim.wantStatus(n, "wk-1", 200, "done")
	before := append([]cloudMachine(nil), sim.cloud.machines...)
	known := len(n.controller.leader.machines.byName)
	sim.cloud.staleList = before[:100]
	sim.run(5 * time.Second)
	want(t, "machines known by an older list", len(n.controller.leader.machines.byName), known)
	sim.cloud.staleList = nil
	sim.run(90 * time.Second)
	want(t, "machines returned", len(sim.cloud.released), 480)
	for _, k := range sim.cloud.releaseSizes {
		if k > maxMachinesPerScaleIn {
			t.Fatalf("a release of %d machines", k)
		}
	}
	sim.cloud.staleList = before
	sim.run(10 * time.Second)
	for m := range n.controller.leader.machines.all {
		if !m.terminated {
			t.Fatalf("%s is back by an older list", m.name)
		}
	}
	want(t, "machines rented in all", sim.cloud.created, 480)
}
