package coordination

import (
	"time"
)

const (
	// leaderCostFactor is the cost of a heartbeat to the leader, in heartbeats that a member
	// forwards.
	leaderCostFactor = 2.0
	// imbalanceFactor is the ratio of this member's load to a peer's above which machines are
	// redirected there.
	imbalanceFactor = 1.5
	// minLoadToRedirect is the load, in heartbeats a second, up to which no machines are
	// redirected.
	minLoadToRedirect = 20.0
	// redirectedLoadShare times the difference in load, in heartbeats a second, is the number of
	// machines that are redirected each second.
	redirectedLoadShare = 0.1
	// initialRedirectDelay is the time between the first two machines that are redirected to a
	// peer that receives no heartbeats. It doubles with each one, up to maxRedirectDelay.
	initialRedirectDelay = time.Second
	maxRedirectDelay     = 30 * time.Second
)

// heartbeatBalancer spreads machines over the members by redirecting some from this member
// to a peer with a much lower heartbeat load; see "Who takes heartbeats" in docs/design.md.
type heartbeatBalancer struct {
	receivedHeartbeats int     // since the last rebalance
	receiveRate        float64 // heartbeats a second, exponentially smoothed
	rebalancedAt       time.Duration
	redirectBudget     float64           // machines that may still be redirected until the next rebalance
	redirectPeer       *peer             // the peer that they are redirected to; nil: none
	peerLoad           map[*peer]float64 // as the peers reported it
	redirectBackoffs   map[*peer]*redirectBackoff
}

// redirectBackoff limits how often a machine is redirected to a peer that receives no
// heartbeats: machines may be cut off from a peer that other members can reach.
type redirectBackoff struct {
	delay, nextAttempt time.Duration
}

func newHeartbeatBalancer(now time.Duration) heartbeatBalancer {
	return heartbeatBalancer{rebalancedAt: now, peerLoad: make(map[*peer]float64), redirectBackoffs: make(map[*peer]*redirectBackoff)}
}

// observeLoad records the load that a peer reported.
func (b *heartbeatBalancer) observeLoad(p *peer, load float64) { b.peerLoad[p] = load }

// handlePeerDown removes a peer whose stream has ended.
func (b *heartbeatBalancer) handlePeerDown(p *peer) {
	delete(b.peerLoad, p)
	delete(b.redirectBackoffs, p)
	if b.redirectPeer == p {
		b.redirectPeer = nil
	}
}

// load returns the cost of this member's heartbeats, in forwarded heartbeats a second.
func (b *heartbeatBalancer) load(leads bool) float64 {
	if leads {
		return b.receiveRate * leaderCostFactor
	}
	return b.receiveRate
}

// rebalance updates the rate of received heartbeats, selects the peer to redirect machines to
// and sets the budget of redirects. It is called with each heartbeat to the peers, every
// peerHeartbeatInterval.
func (b *heartbeatBalancer) rebalance(now time.Duration, leads bool) {
	span := (now - b.rebalancedAt).Seconds()
	if span <= 0 {
		return
	}
	const smoothing = 0.3 // weight of the newest interval
	b.receiveRate += smoothing * (float64(b.receivedHeartbeats)/span - b.receiveRate)
	if b.receivedHeartbeats == 0 {
		b.receiveRate = 0 // at once, as peers back off only from a member with load 0; see mayRedirect
	}
	b.receivedHeartbeats, b.rebalancedAt = 0, now
	b.redirectPeer, b.redirectBudget = nil, 0
	ownLoad := b.load(leads)
	for p, load := range b.peerLoad {
		if p.link != nil && ownLoad > minLoadToRedirect && ownLoad > imbalanceFactor*load && b.mayRedirect(p, load, now) &&
			(b.redirectPeer == nil || load < b.peerLoad[b.redirectPeer]) {
			b.redirectPeer = p
		}
	}
	if b.redirectPeer == nil {
		return
	}
	otherLoad := b.peerLoad[b.redirectPeer]
	if otherLoad > 0 {
		b.redirectBudget = max(1, (ownLoad-otherLoad)*redirectedLoadShare)
		return
	}
	backoff := b.redirectBackoffs[b.redirectPeer]
	backoff.nextAttempt = now + backoff.delay
	backoff.delay = min(2*backoff.delay, maxRedirectDelay)
	b.redirectBudget = 1
}

// mayRedirect reports whether machines may be redirected to a peer. A peer that receives no
// heartbeats may just have restarted, or machines can't reach it although this member can.
// A machine redirected to an unreachable peer loses most of its lease time, so only one
// machine at a time is redirected there, at exponentially growing intervals.
func (b *heartbeatBalancer) mayRedirect(p *peer, load float64, now time.Duration) bool {
	if load > 0 {
		delete(b.redirectBackoffs, p)
		return true
	}
	backoff := b.redirectBackoffs[p]
	if backoff == nil {
		backoff = &redirectBackoff{delay: initialRedirectDelay}
		b.redirectBackoffs[p] = backoff
	}
	return now >= backoff.nextAttempt
}

// redirectTarget returns the member that a machine is to send its heartbeats to instead of
// this one, or "". It spends one unit of the budget. A peer without a stream to this member
// gets none: if this member leads, the peer can't forward heartbeats to it.
func (b *heartbeatBalancer) redirectTarget() string {
	if b.redirectBudget < 1 || b.redirectPeer == nil || b.redirectPeer.link == nil {
		return ""
	}
	b.redirectBudget--
	return b.redirectPeer.member
}
