package coordination

import (
	"time"

	"github.com/cobaltvale/cobaltvale/internal/protocol/meshpb"
	"github.com/cobaltvale/cobaltvale/internal/storage"
)

const (
	forwardTimeout         = 3500 * time.Millisecond // workers give up after 4 s
	maxForwardedHeartbeats = maxMachines             // each machine has one heartbeat in flight
)

// heartbeatForwarder takes heartbeats on the leader's behalf.
type heartbeatForwarder struct {
	clock       storage.Clock
	unavailable func(why string) Response // for now
	pending     map[uint64]forwardedHeartbeat
	lastID      uint64
}

// forwardedHeartbeat is a heartbeat whose answer is awaited from the leader.
type forwardedHeartbeat struct {
	reply  func(Response)
	to     *peer
	sentAt time.Duration
}

func newHeartbeatForwarder(clock storage.Clock, refuse func(why string) Response) heartbeatForwarder {
	return heartbeatForwarder{clock: clock, unavailable: refuse, pending: make(map[uint64]forwardedHeartbeat)}
}

// forward sends a heartbeat on to the member that leads.
func (forwarder *heartbeatForwarder) forward(to *peer, req *Request, reply func(Response)) {
	if len(forwarder.pending) >= maxForwardedHeartbeats {
		reply(forwarder.unavailable("too many reports"))
		return
	}
	forwarder.lastID++
	forwarder.pending[forwarder.lastID] = forwardedHeartbeat{reply, to, forwarder.clock.Now()}
	to.forwardedHeartbeats = append(to.forwardedHeartbeats, &meshpb.ForwardedHeartbeat{Id: forwarder.lastID, ConnectionId: req.Conn, Body: req.Body})
}

// handleResponses passes the leader's responses on to those who wait for them.
func (forwarder *heartbeatForwarder) handleResponses(p *peer, f *meshpb.HeartbeatResponses) {
	for _, a := range f.Responses {
		if forwarded, ok := forwarder.pending[a.Id]; ok && forwarded.to == p {
			delete(forwarder.pending, a.Id)
			forwarded.reply(Response{Status: int(a.HttpStatus), Body: a.Body, RetryAfterS: int(a.RetryAfterS), ValidUntil: forwarded.sentAt + forwardTimeout})
		}
	}
}

// handlePeerDown answers what was sent to a member whose stream has ended.
func (forwarder *heartbeatForwarder) handlePeerDown(p *peer) {
	forwarder.failPending(func(forwarded forwardedHeartbeat) bool { return forwarded.to == p }, "the leader is out of reach")
}

// tick answers what has waited for too long.
func (forwarder *heartbeatForwarder) tick(now time.Duration) {
	forwarder.failPending(func(forwarded forwardedHeartbeat) bool { return now-forwarded.sentAt > forwardTimeout }, "the leader does not answer")
}

// failPending answers the heartbeats that will get no answer from the leader any more.
func (forwarder *heartbeatForwarder) failPending(which func(forwardedHeartbeat) bool, why string) {
	for id, forwarded := range forwarder.pending {
		if which(forwarded) {
			delete(forwarder.pending, id)
			forwarded.reply(forwarder.unavailable(why))
		}
	}
}
