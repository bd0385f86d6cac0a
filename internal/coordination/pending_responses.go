package coordination

import (
	"time"

	"github.com/cobaltvale/cobaltvale/internal/protocol"
	"github.com/cobaltvale/cobaltvale/internal/protocol/meshpb"
)

// pendingResponse is a report's answer that waits for its owners' picks.
type pendingResponse struct {
	machine         *machine
	reply           func(Response)
	receivedAt      time.Duration
	connection      uint64
	epoch, sequence uint64
	commands        []protocol.Command
	openOffers      []*offer
	bindings        []shardBinding
	finished        bool
}

type shardBinding struct {
	shard   *shardState
	binding *meshpb.Binding
}

// sendResponse sends a report's answer with the starts that were picked for it.
func (l *leader) sendResponse(response *pendingResponse) {
	m := response.machine
	if m.pending == response {
		m.pending = nil
	}
	l.closeOffers(response)
	response.finished = true
	now := l.c.now()
	if l.c.leader != l || !l.c.election.MayAct(now) || m.terminated {
		l.returnBindings(response)
		l.c.countResponse(responseNotAuthorized)
		response.reply(l.c.errorResponse(503, "not entitled to act at present", 1))
		return
	}
	if m.terminating || now-response.receivedAt > responseLifetime/2 {
		l.returnBindings(response)
	}
	for _, binding := range response.bindings {
		job := l.jobs[binding.binding.Job]
		if job == nil || job.ended || job.cancelling {
			continue
		}
		response.commands = append(response.commands, protocol.Command{Op: protocol.CommandStart,
			Task: protocol.TaskName(binding.binding.Job, int(binding.binding.Task)), Replica: binding.binding.Replica})
		m.sentStarts = append(m.sentStarts, replicaOnMachine{key: replicaKey{binding.binding.Job, binding.binding.Task, binding.binding.Replica}, state: protocol.TaskFetching,
			job: job, since: now, preemptionExempt: job.overdueStarts > 0 || (job.priority == protocol.PriorityBestEffort && !job.startSent)})
		job.overdueStarts, job.startSent = max(0, job.overdueStarts-1), true
		if m.replicasCounted {
			job.liveReplicas++
		}
		m.free.subtract(job.spec)
		m.idleSince = now
	}
	m.connection = response.connection
	response.reply(l.heartbeatResponse(response.commands, min(response.receivedAt+responseLifetime, l.c.election.MayActUntil())))
}

func (l *leader) heartbeatResponse(cmds []protocol.Command, until time.Duration) Response {
	if cmds == nil {
		cmds = []protocol.Command{}
	}
	return Response{Status: 200, Body: l.c.codec.Encode(protocol.HeartbeatResponse{FencingToken: l.fencingToken, Commands: cmds}), ValidUntil: until}
}

// abandonResponse ends an answer that its worker no longer waits for.
func (l *leader) abandonResponse(response *pendingResponse) {
	l.closeOffers(response)
	response.finished = true
	response.machine.pending = nil
	l.returnBindings(response)
	l.c.countResponse(responseSuperseded)
	response.reply(l.c.errorResponse(503, "superseded", 1))
}

// expireResponses sends the answers that have waited long enough for picks.
func (l *leader) expireResponses(now time.Duration) {
	kept := l.pendingResponses[:0]
	for _, response := range l.pendingResponses {
		if !response.finished && now-response.receivedAt > l.c.tuning.OfferWait {
			l.sendResponse(response)
		}
		if !response.finished {
			kept = append(kept, response)
		}
	}
	clear(l.pendingResponses[len(kept):])
	l.pendingResponses = kept
}

// returnBindings tells owners that their picks were not sent and never will be.
func (l *leader) returnBindings(response *pendingResponse) {
	for len(response.bindings) > 0 {
		to := response.bindings[0].shard.owner
		var bindings []*meshpb.Binding
		kept := response.bindings[:0]
		for _, binding := range response.bindings {
			if binding.shard.owner == to {
				l.c.countResponse(startNotSent)
				bindings = append(bindings, binding.binding)
			} else {
				kept = append(kept, binding)
			}
		}
		response.bindings = kept
		l.sendReturnedBindings(to, bindings)
	}
}

func (l *leader) sendReturnedBindings(p *peer, bindings []*meshpb.Binding) {
	if len(bindings) > 0 && p != nil {
		p.send(&meshpb.Frame{Body: &meshpb.Frame_ReturnedBindings{ReturnedBindings: &meshpb.ReturnedBindings{Bindings: bindings}}})
	}
}
