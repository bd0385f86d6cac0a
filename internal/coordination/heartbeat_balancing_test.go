package coordination

import (
	"testing"
	"time"

	"github.com/cobaltvale/cobaltvale/internal/protocol/meshpb"
)

// connectedPeer returns a peer with an open stream.
func connectedPeer(member string) *peer {
	return &peer{member: member, link: loopbackLink{}}
}

func TestMachinesAreRedirectedToLessLoadedMember(t *testing.T) {
	for _, test := range []struct {
		name   string
		rate   float64 // heartbeats a second at this member
		leads  bool
		load   float64 // reported by the peer
		target string
		budget float64
	}{
		{"even", 100, false, 100, "", 0},
		{"little load", 20, false, 1, "", 0},
		{"uneven", 300, false, 100, "b", 20},
		{"a leader's heartbeats cost more", 100, true, 100, "b", 10},
		{"the peer receives none", 300, false, 0, "b", 1},
	} {
		t.Run(test.name, func(t *testing.T) {
			b := newHeartbeatBalancer(0)
			b.receiveRate, b.receivedHeartbeats = test.rate, int(test.rate)
			b.observeLoad(connectedPeer("b"), test.load)
			b.rebalance(time.Second, test.leads)
			requireEqual(t, "budget", b.redirectBudget, test.budget)
			requireEqual(t, "target", b.redirectTarget(), test.target)
		})
	}
}

func TestRedirectsToAMemberWithoutHeartbeatsBackOff(t *testing.T) {
	b := newHeartbeatBalancer(0)
	other := connectedPeer("b")
	b.observeLoad(other, 0)
	var at []time.Duration
	for now := time.Second; now <= 20*time.Second; now += time.Second {
		b.receiveRate, b.receivedHeartbeats = 100, 100
		b.rebalance(now, false)
		for b.redirectTarget() != "" {
			at = append(at, now)
		}
	}
	requireEqual(t, "redirects within 20 s", len(at), 5) // at 1, 2, 4, 8 and 16 s
	requireEqual(t, "time of the last redirect", at[len(at)-1], 16*time.Second)
	b.handlePeerDown(other)
	b.observeLoad(other, 0)
	b.receiveRate, b.receivedHeartbeats = 100, 100
	b.rebalance(21*time.Second, false)
	requireEqual(t, "redirect target after the peer's stream has ended", b.redirectTarget(), "b")
}

type fixedClock time.Duration

func (c *fixedClock) Now() time.Duration { return time.Duration(*c) }

func TestForwardedHeartbeatIsAnsweredOnce(t *testing.T) {
	for _, test := range []struct {
		name   string
		answer func(f *heartbeatForwarder, leader, other *peer)
		status int
	}{
		{"by the leader", func(f *heartbeatForwarder, leader, _ *peer) {
			f.handleResponses(leader, &meshpb.HeartbeatResponses{Responses: []*meshpb.HeartbeatResponse{{Id: 1, HttpStatus: 200}}})
		}, 200},
		{"by another peer", func(f *heartbeatForwarder, _, other *peer) {
			f.handleResponses(other, &meshpb.HeartbeatResponses{Responses: []*meshpb.HeartbeatResponse{{Id: 1, HttpStatus: 200}}})
		}, 0},
		{"stream ended", func(f *heartbeatForwarder, leader, _ *peer) { f.handlePeerDown(leader) }, 503},
		{"before the timeout", func(f *heartbeatForwarder, _, _ *peer) { f.tick(forwardTimeout) }, 0},
		{"after the timeout", func(f *heartbeatForwarder, _, _ *peer) { f.tick(forwardTimeout + 1) }, 503},
	} {
		t.Run(test.name, func(t *testing.T) {
			var clock fixedClock
			f := newHeartbeatForwarder(&clock, func(string) Response { return Response{Status: 503} })
			leader, other := connectedPeer("a"), connectedPeer("b")
			answers, last := 0, 0
			f.forward(leader, &Request{Body: []byte{1}}, func(r Response) { answers, last = answers+1, r.Status })
			requireEqual(t, "frames to the leader", len(leader.forwardedHeartbeats), 1)
			test.answer(&f, leader, other)
			test.answer(&f, leader, other)
			requireEqual(t, "status of the answer", last, test.status)
			requireEqual(t, "number of answers", answers, min(test.status, 1))
		})
	}
}
