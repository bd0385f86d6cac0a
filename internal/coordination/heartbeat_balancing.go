package coordination

import (
	"time"
)

const (
	leaderCostFactor     = 2.0              // what a heartbeat costs the leader, in heartbeats of a member that forwards
	imbalanceFactor      = 1.5              // times another's load, from which on workers are sent there
	minimumLoad          = 20.0             // heartbeats a second that nobody minds
	redirectShare        = 0.1              // of the difference, each second
	firstRedirectDelay   = time.Second      // until another worker is sent to a member that takes no heartbeats
	longestRedirectDelay = 30 * time.Second // it doubles up to this
)

// heartbeatBalancer shares workers out among the members by the heartbeats that each
// takes; see "Who takes heartbeats" in docs/design.md.
type heartbeatBalancer struct {
	received         int // since the last heartbeat to the peers
	receiveRate      float64
	countedAt        time.Duration
	redirectBudget   float64 // workers that may be sent elsewhere by now
	lessLoaded       *peer   // the member that they are sent to
	peerLoad         map[*peer]float64
	redirectBackoffs map[*peer]*redirectBackoff
}

// redirectBackoff is when a worker may next be sent to a member that takes no heartbeats:
// workers may be cut off from it while other members are not.
type redirectBackoff struct {
	delay, nextAttempt time.Duration
}

func newHeartbeatBalancer(now time.Duration) heartbeatBalancer {
	return heartbeatBalancer{countedAt: now, peerLoad: make(map[*peer]float64), redirectBackoffs: make(map[*peer]*redirectBackoff)}
}

// observeLoad takes what another member says that its heartbeats cost it.
func (b *heartbeatBalancer) observeLoad(p *peer, load float64) { b.peerLoad[p] = load }

// peerDown forgets a member whose stream has ended.
func (b *heartbeatBalancer) peerDown(p *peer) {
	delete(b.peerLoad, p)
	delete(b.redirectBackoffs, p)
	if b.lessLoaded == p {
		b.lessLoaded = nil
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
	span := (now - b.countedAt).Seconds()
	if span <= 0 {
		return
	}
	const smooth = 0.3
	b.receiveRate += smooth * (float64(b.received)/span - b.receiveRate)
	if b.received == 0 {
		b.receiveRate = 0 // nobody should count on heartbeats that come no more
	}
	b.received, b.countedAt = 0, now
	b.lessLoaded, b.redirectBudget = nil, 0
	mine := b.load(leads)
	for p, load := range b.peerLoad {
		if p.link != nil && mine > minimumLoad && mine > imbalanceFactor*load && b.mayRedirect(p, load, now) &&
			(b.lessLoaded == nil || load < b.peerLoad[b.lessLoaded]) {
			b.lessLoaded = p
		}
	}
	if b.lessLoaded == nil {
		return
	}
	other := b.peerLoad[b.lessLoaded]
	if other > 0 {
		b.redirectBudget = max(1, (mine-other)*redirectShare)
		return
	}
	t := b.redirectBackoffs[b.lessLoaded]
	t.nextAttempt = now + t.delay
	t.delay = min(2*t.delay, longestRedirectDelay)
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
		t = &redirectBackoff{delay: firstRedirectDelay}
		b.redirectBackoffs[p] = t
	}
	return now >= t.nextAttempt
}

// redirectTarget names the member that a worker should rather send heartbeats to, if any.
// A member that can't forward heartbeats to the leader gets none.
func (b *heartbeatBalancer) redirectTarget() string {
	if b.redirectBudget < 1 || b.lessLoaded == nil || b.lessLoaded.link == nil {
		return ""
	}
	b.redirectBudget--
	return b.lessLoaded.member
}
