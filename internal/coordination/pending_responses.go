package coordination

import (
	"time"

	"github.com/cobaltvale/cobaltvale/internal/protocol"
	"github.com/cobaltvale/cobaltvale/internal/protocol/meshpb"
)

// pendingResponse is a response to a heartbeat. It is held back while offers made for it await
// bindings, and while it is unjudged.
type pendingResponse struct {
	machine         *machine
	reply           func(Response)
	receivedAt      time.Duration // arrival of the heartbeat
	connection      uint64        // that the heartbeat arrived on; 0: unknown
	epoch, sequence uint64
	replicas        []replicaOnMachine // that the heartbeat lists
	unjudged        bool               // a live one of them is of an unknown job that may be unfinished
	commands        []protocol.Command
	openOffers      []*offer
	bindings        []shardBinding
	closed          bool // sent or abandoned
}

// shardBinding is a binding with the shard whose owner made it.
type shardBinding struct {
	shard   *shardState
	binding *meshpb.Binding
}

// sendResponse sends a response with the starts that were bound for it. If this member may no
// longer act or the machine is terminated, it returns the bindings and responds 503. It also
// responds 503 if the leader can't tell whether all that the machine runs may run: a 200 would renew
// the machine's lease, which is the last means to end a cancelled task.
func (l *leader) sendResponse(response *pendingResponse) {
	m := response.machine
	if m.pendingResponse == response {
		m.pendingResponse = nil
	}
	l.scheduler.offers.closeAll(response)
	response.closed = true
	now := l.now()
	if l.ended || !l.env.authority.MayAct(now) || m.terminated {
		l.returnBindings(response)
		l.countResponse(responseNotAuthorized)
		response.reply(l.env.errorResponse(503, "not entitled to act at present", 1))
		return
	}
	if response.unjudged {
		l.judgeReplicas(response, now)
	}
	if response.unjudged {
		l.countResponse(responseUnjudged)
		response.reply(l.env.errorResponse(503, "the jobs of some tasks are not known yet", 1))
		return
	}
	if m.terminating || now-response.receivedAt > responseLifetime/2 {
		l.returnBindings(response)
	}
	for _, b := range response.bindings {
		if job := l.jobs.get(b.binding.Job); job != nil && !job.ended && !job.cancelling {
			l.addStart(response, job, b.binding, now)
		}
	}
	m.responseConnection = response.connection
	response.reply(l.heartbeatResponse(response.commands, min(response.receivedAt+responseLifetime, l.env.authority.MayActUntil())))
}

// addStart adds a start to a response and records it as sent to the machine.
func (l *leader) addStart(response *pendingResponse, job *trackedJob, binding *meshpb.Binding, now time.Duration) {
	m := response.machine
	start := replicaOnMachine{
		key:   replicaKey{binding.Job, binding.Task, binding.Replica},
		state: protocol.TaskFetching, job: job, stateSince: now,
		preemptionExempt: job.unsentOverdueStarts > 0 || (job.priority == protocol.PriorityBestEffort && !job.startSent),
	}
	response.commands = append(response.commands, start.newCommand(protocol.CommandStart))
	m.sentStarts = append(m.sentStarts, start)
	job.unsentOverdueStarts, job.startSent = max(0, job.unsentOverdueStarts-1), true
	if m.replicasCounted {
		job.liveReplicas++
	}
	m.free.subtract(job.spec)
	m.idleSince = now
}

// heartbeatResponse encodes a response that may be sent until validUntil.
func (l *leader) heartbeatResponse(commands []protocol.Command, validUntil time.Duration) Response {
	if commands == nil {
		commands = []protocol.Command{}
	}
	body := l.env.codec.Encode(protocol.HeartbeatResponse{FencingToken: l.fencingToken, Commands: commands})
	return Response{Status: 200, Body: body, ValidUntil: validUntil}
}

// abandonResponse closes a response that its machine no longer waits for and returns its
// bindings.
func (l *leader) abandonResponse(response *pendingResponse) {
	l.scheduler.offers.closeAll(response)
	response.closed = true
	response.machine.pendingResponse = nil
	l.returnBindings(response)
	l.countResponse(responseSuperseded)
	response.reply(l.env.errorResponse(503, "superseded", 1))
}

// sendDueResponses sends the responses that have waited for longer than OfferWait, and those that
// can be judged now.
func (l *leader) sendDueResponses(now time.Duration) {
	remaining := l.pendingResponses[:0]
	for _, response := range l.pendingResponses {
		judgeable := response.unjudged && l.shards.allJobsKnown()
		if !response.closed && (judgeable || now-response.receivedAt > l.env.tuning.OfferWait) {
			l.sendResponse(response)
		}
		if !response.closed {
			remaining = append(remaining, response)
		}
	}
	clear(l.pendingResponses[len(remaining):])
	l.pendingResponses = remaining
}

// returnBindings tells owners that their bindings of a response were not sent and never will
// be.
func (l *leader) returnBindings(response *pendingResponse) {
	for len(response.bindings) > 0 {
		owner := response.bindings[0].shard.owner
		returned := response.takeBindingsOf(owner)
		for range returned {
			l.countResponse(startNotSent)
		}
		sendReturnedBindings(owner, returned)
	}
}

// takeBindingsOf removes and returns the bindings that an owner made.
func (r *pendingResponse) takeBindingsOf(owner *peer) []*meshpb.Binding {
	var taken []*meshpb.Binding
	remaining := r.bindings[:0]
	for _, b := range r.bindings {
		if b.shard.owner == owner {
			taken = append(taken, b.binding)
		} else {
			remaining = append(remaining, b)
		}
	}
	r.bindings = remaining
	return taken
}

// sendReturnedBindings returns bindings to their owner, if the shard still has one.
func sendReturnedBindings(owner *peer, bindings []*meshpb.Binding) {
	if len(bindings) > 0 && owner != nil {
		owner.send(&meshpb.Frame{Body: &meshpb.Frame_ReturnedBindings{ReturnedBindings: &meshpb.ReturnedBindings{Bindings: bindings}}})
	}
}
