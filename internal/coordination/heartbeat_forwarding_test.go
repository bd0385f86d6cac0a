package coordination

import (
	"fmt"
	"testing"
	"time"

	"github.com/cobaltvale/cobaltvale/internal/protocol"
	"github.com/cobaltvale/cobaltvale/internal/simtest"
)

func (sim *simulation) statusAndRedirect(r *simtest.HTTPResponse) string {
	var to protocol.Redirect
	if r.Status == 421 {
		if err := sim.Codec.Decode(r.Body, &to); err != nil {
			sim.T.Fatal(err)
		}
	}
	return fmt.Sprintf("%d %s", r.Status, to.HeartbeatTo)
}

// A member that does not lead forwards heartbeats, and the answers back.
func TestFollowersForwardHeartbeats(t *testing.T) {
	sim := newSimulation(t, "a", "b", "c")
	lead, follower := sim.Leader(), sim.Follower()
	agent := sim.AddMachine("vm-1", "z1")
	for range 3 {
		want(t, "heartbeat to a follower", agent.HeartbeatTo(follower).Status, 200)
		sim.Advance(time.Second)
	}
	want(t, "submit", follower.Submit(simtest.BatchJob("wk-1", 2)).Status, 201)
	agent.HeartbeatTo(follower)
	want(t, "running", len(agent.Running()), 2)
	sim.wantStatus(lead, "wk-1", 200, "pending")
	agent.HeartbeatTo(follower)
	sim.wantStatus(lead, "wk-1", 200, "running")
	agent.FinishTasks("done")
	for range 3 {
		agent.HeartbeatTo(follower)
		sim.Advance(time.Second)
	}
	sim.wantStatus(lead, "wk-1", 200, "done")

	// The answer that a heartbeat waits for when the stream breaks comes at once:
	// held back until its end, it would keep the worker from the next member.
	body := agent.HeartbeatBody()
	out := &Response{}
	controllerOf(follower).HandleHTTP(&Request{Method: "POST", Path: "/checkin", Body: body, Conn: agent.Connection}, func(r Response) { *out = r })
	want(t, "answers before the stream breaks", out.Status, 0)
	sim.Disconnect(follower.Name, lead.Name)
	want(t, "answer when the stream breaks", out.Status, 503)
	want(t, "without a stream to the leader", sim.statusAndRedirect(follower.Call("POST", "/checkin", agent.HeartbeatBody())), "421 "+lead.Name)
}

// A member that gets a forwarded heartbeat and does not lead forwards it no
// further: two members that each take the other for the leader would send it
// back and forth for ever.
func TestHeartbeatIsForwardedOnce(t *testing.T) {
	sim := newSimulation(t, "a", "b", "c")
	lead, follower := sim.Leader(), sim.Follower()
	agent := sim.AddMachine("vm-1", "z1")
	want(t, "before", agent.HeartbeatTo(follower).Status, 200)
	controllerOf(lead).election.Abstain(sim.Now() + time.Minute)
	controllerOf(lead).endLeadership()
	want(t, "leader that leads no more", agent.HeartbeatTo(follower).Status, 503)
}

// Workers that all come to one member are shared out, a few at a time.
func TestWorkersAreBalancedAcrossMembers(t *testing.T) {
	sim := newSimulation(t, "a", "b", "c")
	at := make(map[*simtest.Agent]*simtest.Node)
	for i := range 90 {
		agent := sim.AddMachine(fmt.Sprintf("vm-%d", i), "z1")
		at[agent] = sim.Leader()
	}
	most := 0
	for range 60 {
		moved := 0
		for _, name := range sim.AgentNames() {
			agent := sim.Agents[name]
			if r := agent.HeartbeatTo(at[agent]); r.Status == 421 {
				var to protocol.Redirect
				if err := sim.Codec.Decode(r.Body, &to); err != nil {
					t.Fatal(err)
				}
				at[agent] = sim.Nodes[to.HeartbeatTo]
				moved++
			}
		}
		most = max(most, moved)
		sim.Advance(time.Second)
	}
	for name, n := range sim.Nodes {
		served := 0
		for _, m := range at {
			if m == n {
				served++
			}
		}
		if served < 10 || served > 50 {
			t.Fatalf("%s serves %d of 90 workers", name, served)
		}
	}
	if most > 30 {
		t.Fatalf("%d workers were sent elsewhere in one second", most)
	}
}

// Heartbeats that all come at once let everything else pass, and one that waited
// until its worker gave up is answered without any more work.
func TestHeartbeatBurstDoesNotDelayOtherRequests(t *testing.T) {
	q := NewEventLoop()
	var got []string
	for range 3 {
		want(t, "a heartbeat is taken", q.TryPost(ClassHeartbeat, func() { got = append(got, "report") }), true)
	}
	q.Post(func() { got = append(got, "health check") })
	q.drain()
	want(t, "order", fmt.Sprint(got), "[health check report report report]")
	for range heartbeatQueueLength {
		q.TryPost(ClassHeartbeat, func() {})
	}
	want(t, "a heartbeat beyond the queue's length", q.TryPost(ClassHeartbeat, func() {}), false)
	want(t, "a user's request beside it", q.TryPost(ClassOther, func() {}), true)

	sim := newSimulation(t, "a")
	agent := sim.AddMachine("vm-1", "z1")
	want(t, "heartbeat", agent.Heartbeat().Status, 200)
	m := controllerOf(sim.Leader()).leader.machines.get("vm-1")
	seq := m.sequence
	out := &Response{}
	controllerOf(sim.Nodes["a"]).HandleHTTP(&Request{Method: "POST", Path: "/checkin", Body: agent.HeartbeatBody(), Conn: agent.Connection, ReceivedAt: sim.Now() - 4*time.Second},
		func(r Response) { *out = r })
	want(t, "heartbeat that waited for 4 s", out.Status, 503)
	want(t, "last heartbeat taken", m.sequence, seq)
}

// A member that workers can't reach, while other members can, takes no heartbeats:
// hardly any workers are sent there. Each that is loses seconds; sent there again
// and again, most machines were silent for so long that they were returned with
// all their tasks (incidents/inc-f551.md).
func TestFewRedirectsToMemberWithoutHeartbeats(t *testing.T) {
	sim := newSimulation(t, "a", "b", "c")
	at := make(map[*simtest.Agent]*simtest.Node)
	for i := range 90 {
		agent := sim.AddMachine(fmt.Sprintf("vm-%d", i), "z1")
		at[agent] = sim.Leader()
	}
	want(t, "submit", sim.Leader().Submit(simtest.BatchJob("wk-1", 90).With("vcpus", 8.0)).Status, 201) // none of them is idle
	cut := sim.Follower()
	sent := 0
	second := func() {
		for _, name := range sim.AgentNames() {
			agent := sim.Agents[name]
			r := agent.HeartbeatTo(at[agent])
			if r.Status != 421 {
				continue
			}
			var to protocol.Redirect
			if err := sim.Codec.Decode(r.Body, &to); err != nil {
				t.Fatal(err)
			}
			if to.HeartbeatTo == cut.Name {
				sent++
				continue // it tries in vain, and comes back
			}
			at[agent] = sim.Nodes[to.HeartbeatTo]
		}
		sim.Advance(time.Second)
	}
	for range 60 {
		second()
	}
	if sent == 0 || sent > 12 {
		t.Fatalf("%d workers were sent in a minute to a member that takes no heartbeats", sent)
	}
	// Once they reach it again it soon has its share.
	here := cut
	cut = &simtest.Node{}
	for range 90 {
		second()
	}
	served := 0
	for _, n := range at {
		if n == here {
			served++
		}
	}
	if served < 10 {
		t.Fatalf("%d of 90 workers are served by the member that is back", served)
	}
}
