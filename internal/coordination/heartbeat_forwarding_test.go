package coordination

import (
	"fmt"
	"testing"
	"time"

	"github.com/cobaltvale/cobaltvale/internal/protocol"
)

func (sim *simulation) redirectTarget(r *Response) string {
	var to protocol.Redirect
	if r.Status == 421 {
		if err := sim.codec.Decode(r.Body, &to); err != nil {
			sim.t.Fatal(err)
		}
	}
	return fmt.Sprintf("%d %s", r.Status, to.HeartbeatTo)
}

// A member that does not lead passes reports on, and the answers back.
func TestFollowersForwardHeartbeats(t *testing.T) {
	sim := newSimulation(t, "a", "b", "c")
	lead, follower := sim.leader(), sim.follower()
	agent := sim.addMachine("vm-1", "z1")
	for range 3 {
		want(t, "report to a follower", agent.heartbeatTo(follower).Status, 200)
		sim.advance(time.Second)
	}
	want(t, "submit", follower.submit(batchJob("wk-1", 2)).Status, 201)
	agent.heartbeatTo(follower)
	want(t, "running", len(agent.running()), 2)
	sim.wantStatus(lead, "wk-1", 200, "pending")
	agent.heartbeatTo(follower)
	sim.wantStatus(lead, "wk-1", 200, "running")
	agent.finishTasks("done")
	for range 3 {
		agent.heartbeatTo(follower)
		sim.advance(time.Second)
	}
	sim.wantStatus(lead, "wk-1", 200, "done")

	// The answer that a report waits for when the stream breaks comes at once:
	// held back until its end, it would keep the worker from the next member.
	body := agent.heartbeatBody()
	out := &Response{}
	follower.controller.HandleHTTP(&Request{Method: "POST", Path: "/checkin", Body: body, Conn: agent.connection}, func(r Response) { *out = r })
	want(t, "answers before the stream breaks", out.Status, 0)
	sim.disconnect(follower.name, lead.name)
	want(t, "answer when the stream breaks", out.Status, 503)
	want(t, "without a stream to the leader", sim.redirectTarget(follower.call("POST", "/checkin", agent.heartbeatBody())), "421 "+lead.name)
}

// A member that gets a passed-on report and does not lead passes it no
// further: two members that each take the other for the leader would send it
// back and forth for ever.
func TestHeartbeatIsForwardedOnce(t *testing.T) {
	sim := newSimulation(t, "a", "b", "c")
	lead, follower := sim.leader(), sim.follower()
	agent := sim.addMachine("vm-1", "z1")
	want(t, "before", agent.heartbeatTo(follower).Status, 200)
	lead.controller.election.Abstain(sim.now + time.Minute)
	lead.controller.endLeadership()
	want(t, "leader that leads no more", agent.heartbeatTo(follower).Status, 503)
}

// Workers that all come to one member are shared out, a few at a time.
func TestWorkersAreBalancedAcrossMembers(t *testing.T) {
	sim := newSimulation(t, "a", "b", "c")
	at := make(map[*machineAgent]*node)
	for i := range 90 {
		agent := sim.addMachine(fmt.Sprintf("vm-%d", i), "z1")
		at[agent] = sim.leader()
	}
	most := 0
	for range 60 {
		moved := 0
		for _, name := range sim.agentNames() {
			agent := sim.agents[name]
			if r := agent.heartbeatTo(at[agent]); r.Status == 421 {
				var to protocol.Redirect
				if err := sim.codec.Decode(r.Body, &to); err != nil {
					t.Fatal(err)
				}
				at[agent] = sim.nodes[to.HeartbeatTo]
				moved++
			}
		}
		most = max(most, moved)
		sim.advance(time.Second)
	}
	for name, n := range sim.nodes {
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

// Reports that all come at once let everything else pass, and one that waited
// until its worker gave up is answered without any more work.
func TestHeartbeatBurstDoesNotDelayOtherRequests(t *testing.T) {
	q := NewEventLoop()
	var got []string
	for range 3 {
		want(t, "a report is taken", q.TryPost(ClassHeartbeat, func() { got = append(got, "report") }), true)
	}
	q.Post(func() { got = append(got, "health check") })
	q.drain()
	want(t, "order", fmt.Sprint(got), "[health check report report report]")
	for range heartbeatQueueLength {
		q.TryPost(ClassHeartbeat, func() {})
	}
	want(t, "a report beyond the queue's length", q.TryPost(ClassHeartbeat, func() {}), false)
	want(t, "a user's request beside it", q.TryPost(ClassOther, func() {}), true)

	sim := newSimulation(t, "a")
	agent := sim.addMachine("vm-1", "z1")
	want(t, "report", agent.heartbeat().Status, 200)
	m := sim.leader().controller.leader.machines.get("vm-1")
	seq := m.sequence
	out := &Response{}
	sim.nodes["a"].controller.HandleHTTP(&Request{Method: "POST", Path: "/checkin", Body: agent.heartbeatBody(), Conn: agent.connection, ReceivedAt: sim.now - 4*time.Second},
		func(r Response) { *out = r })
	want(t, "report that waited for 4 s", out.Status, 503)
	want(t, "last report taken", m.sequence, seq)
}

// A member that workers can't reach, while other members can, takes no reports:
// hardly any workers are sent there. Each that is loses seconds; sent there again
// and again, most machines were silent for so long that they were returned with
// all their tasks (incidents/inc-f551.md).
func TestFewRedirectsToMemberWithoutHeartbeats(t *testing.T) {
	sim := newSimulation(t, "a", "b", "c")
	at := make(map[*machineAgent]*node)
	for i := range 90 {
		agent := sim.addMachine(fmt.Sprintf("vm-%d", i), "z1")
		at[agent] = sim.leader()
	}
	want(t, "submit", sim.leader().submit(batchJob("wk-1", 90).with("vcpus", 8.0)).Status, 201) // none of them is idle
	cut := sim.follower()
	sent := 0
	second := func() {
		for _, name := range sim.agentNames() {
			agent := sim.agents[name]
			r := agent.heartbeatTo(at[agent])
			if r.Status != 421 {
				continue
			}
			var to protocol.Redirect
			if err := sim.codec.Decode(r.Body, &to); err != nil {
				t.Fatal(err)
			}
			if to.HeartbeatTo == cut.name {
				sent++
				continue // it tries in vain, and comes back
			}
			at[agent] = sim.nodes[to.HeartbeatTo]
		}
		sim.advance(time.Second)
	}
	for range 60 {
		second()
	}
	if sent == 0 || sent > 12 {
		t.Fatalf("%d workers were sent in a minute to a member that takes no reports", sent)
	}
	// Once they reach it again it soon has its share.
	here := cut
	cut = &node{}
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
