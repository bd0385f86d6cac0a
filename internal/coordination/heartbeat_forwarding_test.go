package coordination

import (
	"fmt"
	"testing"
	"time"

	"github.com/cobaltvale/cobaltvale/internal/protocol"
	"github.com/cobaltvale/cobaltvale/internal/simtest"
)

// statusAndRedirect returns a response's status and the member that it redirects to, if any.
func (sim *simulation) statusAndRedirect(r *simtest.HTTPResponse) string {
	var to protocol.Redirect
	if r.Status == 421 {
		if err := sim.Codec.Decode(r.Body, &to); err != nil {
			sim.T.Fatal(err)
		}
	}
	return fmt.Sprintf("%d %s", r.Status, to.HeartbeatTo)
}

// A member that does not lead forwards heartbeats to the leader and its responses back.
func TestFollowersForwardHeartbeats(t *testing.T) {
	sim := newSimulation(t, "a", "b", "c")
	lead, follower := sim.Leader(), sim.Follower()
	agent := sim.AddMachine("vm-1", "z1")
	for range 3 {
		requireEqual(t, "heartbeat to a follower", agent.HeartbeatTo(follower).Status, 200)
		sim.Advance(time.Second)
	}
	requireEqual(t, "submit", follower.Submit(simtest.BatchJob("wk-1", 2)).Status, 201)
	agent.HeartbeatTo(follower)
	requireEqual(t, "running", len(agent.Running()), 2)
	sim.requireStatus(lead, "wk-1", 200, "pending")
	agent.HeartbeatTo(follower)
	sim.requireStatus(lead, "wk-1", 200, "running")
	agent.FinishTasks("done")
	for range 3 {
		agent.HeartbeatTo(follower)
		sim.Advance(time.Second)
	}
	sim.requireStatus(lead, "wk-1", 200, "done")

	// A heartbeat that is pending when the stream breaks is answered at once. Otherwise its
	// machine would not try the next member before its timeout.
	body := agent.HeartbeatBody()
	response := &Response{}
	controllerOf(follower).HandleHTTP(&Request{Method: "POST", Path: "/checkin", Body: body, Conn: agent.Connection}, func(r Response) { *response = r })
	requireEqual(t, "status before the stream breaks", response.Status, 0)
	sim.Disconnect(follower.Name, lead.Name)
	requireEqual(t, "status when the stream breaks", response.Status, 503)
	requireEqual(t, "without a stream to the leader", sim.statusAndRedirect(follower.Call("POST", "/checkin", agent.HeartbeatBody())), "421 "+lead.Name)
}

// A member that receives a forwarded heartbeat and does not lead must not forward it again:
// two members that each take the other for the leader would forward it back and forth
// forever.
func TestHeartbeatIsForwardedOnce(t *testing.T) {
	sim := newSimulation(t, "a", "b", "c")
	lead, follower := sim.Leader(), sim.Follower()
	agent := sim.AddMachine("vm-1", "z1")
	requireEqual(t, "heartbeat while the leader leads", agent.HeartbeatTo(follower).Status, 200)
	controllerOf(lead).election.Abstain(sim.Now() + time.Minute)
	controllerOf(lead).endLeadership()
	requireEqual(t, "heartbeat after the leader's term has ended", agent.HeartbeatTo(follower).Status, 503)
}

// Machines that all send to one member are redirected to the others, a few at a time.
func TestMachinesAreBalancedAcrossMembers(t *testing.T) {
	sim := newSimulation(t, "a", "b", "c")
	serving := make(map[*simtest.Agent]*simtest.Node)
	for i := range 90 {
		agent := sim.AddMachine(fmt.Sprintf("vm-%d", i), "z1")
		serving[agent] = sim.Leader()
	}
	maxMoved := 0
	for range 60 {
		moved := 0
		for _, name := range sim.AgentNames() {
			agent := sim.Agents[name]
			if r := agent.HeartbeatTo(serving[agent]); r.Status == 421 {
				var to protocol.Redirect
				if err := sim.Codec.Decode(r.Body, &to); err != nil {
					t.Fatal(err)
				}
				serving[agent] = sim.Nodes[to.HeartbeatTo]
				moved++
			}
		}
		maxMoved = max(maxMoved, moved)
		sim.Advance(time.Second)
	}
	for name, n := range sim.Nodes {
		served := 0
		for _, m := range serving {
			if m == n {
				served++
			}
		}
		if served < 10 || served > 50 {
			t.Fatalf("%s serves %d of 90 machines, want 10 to 50", name, served)
		}
	}
	if maxMoved > 30 {
		t.Fatalf("%d machines were redirected within one second, want at most 30", maxMoved)
	}
}

// A burst of heartbeats does not delay other requests, and a heartbeat that was queued until
// its machine timed out is answered without being handled.
func TestHeartbeatBurstDoesNotDelayOtherRequests(t *testing.T) {
	loop := NewEventLoop()
	var handled []string
	for range 3 {
		requireEqual(t, "heartbeat accepted", loop.TryPost(ClassHeartbeat, func() { handled = append(handled, "report") }), true)
	}
	loop.Post(func() { handled = append(handled, "health check") })
	loop.drain()
	requireEqual(t, "order", fmt.Sprint(handled), "[health check report report report]")
	for range heartbeatQueueLength {
		loop.TryPost(ClassHeartbeat, func() {})
	}
	requireEqual(t, "heartbeat accepted beyond the queue's length", loop.TryPost(ClassHeartbeat, func() {}), false)
	requireEqual(t, "user's request accepted with a full heartbeat queue", loop.TryPost(ClassOther, func() {}), true)

	sim := newSimulation(t, "a")
	agent := sim.AddMachine("vm-1", "z1")
	requireEqual(t, "heartbeat", agent.Heartbeat().Status, 200)
	m := controllerOf(sim.Leader()).leader.machines.get("vm-1")
	lastSequence := m.sequence
	response := &Response{}
	controllerOf(sim.Nodes["a"]).HandleHTTP(&Request{Method: "POST", Path: "/checkin", Body: agent.HeartbeatBody(), Conn: agent.Connection, ReceivedAt: sim.Now() - 4*time.Second},
		func(r Response) { *response = r })
	requireEqual(t, "heartbeat that waited for 4 s", response.Status, 503)
	requireEqual(t, "sequence of the last heartbeat handled", m.sequence, lastSequence)
}

// A member that machines can't reach although the other members can receives no heartbeats.
// Few machines may be redirected there, as each of them loses seconds. When machines were
// redirected there again and again, most of them were silent for so long that they were
// released with all their tasks (incidents/inc-f551.md).
func TestFewRedirectsToMemberWithoutHeartbeats(t *testing.T) {
	sim := newSimulation(t, "a", "b", "c")
	serving := make(map[*simtest.Agent]*simtest.Node)
	for i := range 90 {
		agent := sim.AddMachine(fmt.Sprintf("vm-%d", i), "z1")
		serving[agent] = sim.Leader()
	}
	requireEqual(t, "submit", sim.Leader().Submit(simtest.BatchJob("wk-1", 90).With("vcpus", 8.0)).Status, 201) // so no machine is idle
	unreachable := sim.Follower()
	redirected := 0
	runSecond := func() {
		for _, name := range sim.AgentNames() {
			agent := sim.Agents[name]
			r := agent.HeartbeatTo(serving[agent])
			if r.Status != 421 {
				continue
			}
			var to protocol.Redirect
			if err := sim.Codec.Decode(r.Body, &to); err != nil {
				t.Fatal(err)
			}
			if to.HeartbeatTo == unreachable.Name {
				redirected++
				continue // the machine can't reach that member and keeps the one that serves it
			}
			serving[agent] = sim.Nodes[to.HeartbeatTo]
		}
		sim.Advance(time.Second)
	}
	for range 60 {
		runSecond()
	}
	if redirected == 0 || redirected > 12 {
		t.Fatalf("%d machines were redirected within a minute to a member that receives no heartbeats, want 1 to 12", redirected)
	}
	// Once machines reach it again, it soon serves its share.
	restored := unreachable
	unreachable = &simtest.Node{}
	for range 90 {
		runSecond()
	}
	served := 0
	for _, n := range serving {
		if n == restored {
			served++
		}
	}
	if served < 10 {
		t.Fatalf("%d of 90 machines are served by the member that is reachable again, want at least 10", served)
	}
}
