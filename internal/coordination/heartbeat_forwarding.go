package coordination

import (
	"time"

	"github.com/cobaltvale/cobaltvale/internal/protocol/meshpb"
	"github.com/cobaltvale/cobaltvale/internal/storage"
)

const (
	forwardTimeout         = 3500 * time.Millisecond // machines time out after 4 s
	maxForwardedHeartbeats = maxMachines             // each machine has one heartbeat in flight
)

// heartbeatForwarder forwards machines' heartbeats to the leader and passes the leader's
// responses back.
type heartbeatForwarder struct {
	clock       storage.Clock
	unavailable func(reason string) Response  // builds a 503 response that asks the machine to retry
	pending     map[uint64]forwardedHeartbeat // by the id sent to the leader
	lastID      uint64
}

// forwardedHeartbeat is a heartbeat that awaits the leader's response.
type forwardedHeartbeat struct {
	reply  func(Response)
	to     *peer
	sentAt time.Duration
}

func newHeartbeatForwarder(clock storage.Clock, unavailable func(reason string) Response) heartbeatForwarder {
	return heartbeatForwarder{clock: clock, unavailable: unavailable, pending: make(map[uint64]forwardedHeartbeat)}
}

// forward sends a heartbeat to the leader.
func (forwarder *heartbeatForwarder) forward(to *peer, req *Request, reply func(Response)) {
	if len(forwarder.pending) >= maxForwardedHeartbeats {
		reply(forwarder.unavailable("too many reports"))
		return
	}
	forwarder.lastID++
	forwarder.pending[forwarder.lastID] = forwardedHeartbeat{reply, to, forwarder.clock.Now()}
	to.forwardedHeartbeats = append(to.forwardedHeartbeats, &meshpb.ForwardedHeartbeat{Id: forwarder.lastID, ConnectionId: req.Conn, Body: req.Body})
}

// handleResponses passes the leader's responses to the machines that wait for them.
func (forwarder *heartbeatForwarder) handleResponses(p *peer, f *meshpb.HeartbeatResponses) {
	for _, response := range f.Responses {
		if forwarded, ok := forwarder.pending[response.Id]; ok && forwarded.to == p {
			delete(forwarder.pending, response.Id)
			forwarded.reply(Response{Status: int(response.HttpStatus), Body: response.Body, RetryAfterS: int(response.RetryAfterS), ValidUntil: forwarded.sentAt + forwardTimeout})
		}
	}
}

// handlePeerDown fails the heartbeats sent to a peer whose stream has ended.
func (forwarder *heartbeatForwarder) handlePeerDown(p *peer) {
	forwarder.failPending(func(forwarded forwardedHeartbeat) bool { return forwarded.to == p }, "the leader is out of reach")
}

// tick fails the heartbeats that have waited longer than forwardTimeout.
func (forwarder *heartbeatForwarder) tick(now time.Duration) {
	forwarder.failPending(func(forwarded forwardedHeartbeat) bool { return now-forwarded.sentAt > forwardTimeout }, "the leader does not answer")
}

// failPending responds 503, with a reason, to the selected heartbeats and no longer awaits the
// leader's responses to them.
func (forwarder *heartbeatForwarder) failPending(selected func(forwardedHeartbeat) bool, reason string) {
	for id, forwarded := range forwarder.pending {
		if selected(forwarded) {
			delete(forwarder.pending, id)
			forwarded.reply(forwarder.unavailable(reason))
		}
	}
}
