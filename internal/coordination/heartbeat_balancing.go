package coordination

import (
	"time"
)

const (
	leaderCostFactor     = 2.0              // what a heartbeat costs the leader, in heartbeats of a member that forwards
	imbalanceFactor      = 1.5              // times another's load, from which on workers are sent there
	minLoadToRedirect    = 20.0             // heartbeats a second that nobody minds
	redirectedLoadShare  = 0.1              // of the difference, each second
	initialRedirectDelay = time.Second      // until another worker is sent to a member that takes no heartbeats
	maxRedirectDelay     = 30 * time.Second // it doubles up to this
)

// heartbeatBalancer shares workers out among the members by the heartbeats that each
// takes; see "Who takes heartbeats" in docs/design.md.
type heartbeatBalancer struct {
	receivedHeartbeats int // since the last heartbeat to the peers
	receiveRate        float64
	rebalancedAt       time.Duration
	redirectBudget     float64 // workers that may be sent elsewhere by now
	redirectPeer       *peer   // the member that they are sent to
	peerLoad           map[*peer]float64
	redirectBackoffs   map[*peer]*redirectBackoff
}

// redirectBackoff is when a worker may next be sent to a member that takes no heartbeats:
// workers may be cut off from it while other members are not.
type redirectBackoff struct {
	delay, nextAttempt time.Duration
}

func newHeartbeatBalancer(now time.Duration) heartbeatBalancer {
	return heartbeatBalancer{rebalancedAt: now, peerLoad: make(map[*peer]float64), redirectBackoffs: make(map[*peer]*redirectBackoff)}
}

// observeLoad takes what another member says that its heartbeats cost it.
func (b *heartbeatBalancer) observeLoad(p *peer, load float64) { b.peerLoad[p] = load }

// handlePeerDown forgets a member whose stream has ended.
func (b *heartbeatBalancer) handlePeerDown(p *peer) {
	delete(b.peerLoad, p)
	delete(b.redirectBackoffs, p)
	if b.redirectPeer == p {
		b.redirectPeer = nil
	}
}

// load is what taking heartbeats costs this member at present.
func (b *heartbeatBalancer) load(leads bool) float64 {
	if leads {
		return b.receiveRate * leaderCostFactor
	}
	return b.receiveRate
}

// rebalance counts the heartbeats taken, with each sent to the peers, and finds out whether
// another member has far fewer.
func (b *heartbeatBalancer) rebalance(now time.Duration, leads bool) {
	span := (now - b.rebalancedAt).Seconds()
	if span <= 0 {
		return
	}
	const smooth = 0.3
	b.receiveRate += smooth * (float64(b.receivedHeartbeats)/span - b.receiveRate)
	if b.receivedHeartbeats == 0 {
		b.receiveRate = 0 // nobody should count on heartbeats that come no more
	}
	b.receivedHeartbeats, b.rebalancedAt = 0, now
	b.redirectPeer, b.redirectBudget = nil, 0
	mine := b.load(leads)
	for p, load := range b.peerLoad {
		if p.link != nil && mine > minLoadToRedirect && mine > imbalanceFactor*load && b.mayRedirect(p, load, now) &&
			(b.redirectPeer == nil || load < b.peerLoad[b.redirectPeer]) {
			b.redirectPeer = p
		}
	}
	if b.redirectPeer == nil {
		return
	}
	other := b.peerLoad[b.redirectPeer]
	if other > 0 {
		b.redirectBudget = max(1, (mine-other)*redirectedLoadShare)
		return
	}
	t := b.redirectBackoffs[b.redirectPeer]
	t.nextAttempt = now + t.delay
	t.delay = min(2*t.delay, maxRedirectDelay)
	b.redirectBudget = 1
}

// mayRedirect tells whether workers may be sent to a member. One that takes no heartbeats
// may have just come back, or workers can't reach it although this member can:
// whoever is sent there loses its lease's better part, so only one at a time
// finds out, ever more seldom.
func (b *heartbeatBalancer) mayRedirect(p *peer, load float64, now time.Duration) bool {
	if load > 0 {
		delete(b.redirectBackoffs, p)
		return true
	}
	t := b.redirectBackoffs[p]
	if t == nil {
		t = &redirectBackoff{delay: initialRedirectDelay}
		b.redirectBackoffs[p] = t
	}
	return now >= t.nextAttempt
}

// statusAndRedirect names the member that a worker should rather send heartbeats to, if any.
// A member that can't forward heartbeats to the leader gets none.
func (b *heartbeatBalancer) redirectTarget() string {
	if b.redirectBudget < 1 || b.redirectPeer == nil || b.redirectPeer.link == nil {
		return ""
	}
	b.redirectBudget--
	return b.redirectPeer.member
}
