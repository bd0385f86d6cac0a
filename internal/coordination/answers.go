package coordination

import (
	"time"

	"github.com/cobaltvale/cobaltvale/internal/protocol"
	"github.com/cobaltvale/cobaltvale/internal/protocol/meshpb"
)

// answer is a report's answer that waits for its owners' picks.
type answer struct {
	m            *machine
	reply        func(Response)
	at           time.Duration
	conn         uint64
	session, seq uint64
	commands     []protocol.Command
	open         []*offer
	picks        []pickFrom
	over         bool
}

type pickFrom struct {
	from *leaderLedger
	pick *meshpb.Binding
}

// finish sends a report's answer with the starts that were picked for it.
func (l *leader) finish(a *answer) {
	m := a.m
	if m.pending == a {
		m.pending = nil
	}
	l.closeOffers(a)
	a.over = true
	now := l.c.now()
	if l.c.leader != l || !l.c.session.mayAct(now) || m.gone {
		l.returnPicks(a)
		l.c.noteAnswer(answerNotEntitled)
		a.reply(l.c.refusal(503, "not entitled to act at present", 1))
		return
	}
	if m.leaving || now-a.at > answerTime/2 {
		l.returnPicks(a)
	}
	for _, p := range a.picks {
		j := l.jobs[p.pick.Job]
		if j == nil || j.closed || j.ending {
			continue
		}
		a.commands = append(a.commands, protocol.Command{Op: protocol.CommandStart,
			Task: protocol.TaskName(p.pick.Job, int(p.pick.Task)), Replica: p.pick.Replica})
		m.sent = append(m.sent, placed{key: taskKey{p.pick.Job, p.pick.Task, p.pick.Replica}, state: protocol.TaskFetching,
			job: j, since: now, owed: j.owed > 0 || (j.prio == protocol.PriorityBestEffort && !j.first)})
		j.owed, j.first = max(0, j.owed-1), true
		if m.listing {
			j.listed++
		}
		m.free.take(j.spec)
		m.idleSince = now
	}
	m.conn = a.conn
	a.reply(l.answerWith(a.commands, min(a.at+answerTime, l.c.session.actsUntil())))
}

func (l *leader) answerWith(cmds []protocol.Command, until time.Duration) Response {
	if cmds == nil {
		cmds = []protocol.Command{}
	}
	return Response{Status: 200, Body: l.c.codec.Encode(protocol.HeartbeatResponse{FencingToken: l.token, Commands: cmds}), Until: until}
}

// giveUp ends an answer that its worker no longer waits for.
func (l *leader) giveUp(a *answer) {
	l.closeOffers(a)
	a.over = true
	a.m.pending = nil
	l.returnPicks(a)
	l.c.noteAnswer(answerSuperseded)
	a.reply(l.c.refusal(503, "superseded", 1))
}

// expireAnswers sends the answers that have waited long enough for picks.
func (l *leader) expireAnswers(now time.Duration) {
	kept := l.answers[:0]
	for _, a := range l.answers {
		if !a.over && now-a.at > l.c.tune.OfferWait {
			l.finish(a)
		}
		if !a.over {
			kept = append(kept, a)
		}
	}
	clear(l.answers[len(kept):])
	l.answers = kept
}

// returnPicks tells owners that their picks were not sent and never will be.
func (l *leader) returnPicks(a *answer) {
	for len(a.picks) > 0 {
		to := a.picks[0].from.from
		var picks []*meshpb.Binding
		kept := a.picks[:0]
		for _, p := range a.picks {
			if p.from.from == to {
				l.c.noteAnswer(startNotSent)
				picks = append(picks, p.pick)
			} else {
				kept = append(kept, p)
			}
		}
		a.picks = kept
		l.unplace(to, picks)
	}
}

func (l *leader) unplace(p *peer, picks []*meshpb.Binding) {
	if len(picks) > 0 && p != nil {
		p.send(&meshpb.Frame{Body: &meshpb.Frame_ReturnedBindings{ReturnedBindings: &meshpb.ReturnedBindings{Bindings: picks}}})
	}
}
