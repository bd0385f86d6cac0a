package coordination

import (
	"time"

	"github.com/cobaltvale/cobaltvale/internal/protocol"
	"github.com/cobaltvale/cobaltvale/internal/protocol/meshpb"
)

// settle tells a new owner when no copy of its recovered tasks can be left
// that it has not been told of.
func (l *leader) settle(now, span time.Duration) {
	for _, g := range l.ledgers {
		if g.from == nil || g.settled {
			l.settleClean(g, now)
			continue
		}
		ok := l.machinesKnown || now-g.joinedAt > span
		for m := range l.machines.all {
			if !ok {
				break
			}
			ok = m.gone || m.record == "" || l.accounted(m, g) || now-max(m.heard, g.joinedAt) > span
		}
		if ok {
			g.settled = true
			g.from.send(&meshpb.Frame{Body: &meshpb.Frame_Settled{Settled: &meshpb.Settled{Ledger: g.name, Token: l.token}}})
		}
	}
}

// accounted tells whether a ledger's present owner has been told all that may
// be on a machine: by a report since it joined, or by the last one before if
// nothing of the ledger was sent to the machine after that. One that this leader
// was the first to name, and that has not had its token, holds nothing: waited
// for, the machines that come up all the time kept a ledger from being settled.
func (l *leader) accounted(m *machine, g *leaderLedger) bool {
	switch {
	case m.currentAt == 0:
		return !m.inherited
	case m.currentAt > g.joinedAt:
		return true
	}
	for i := range m.sent {
		if m.sent[i].job.ledger == g {
			return false
		}
	}
	return true
}

// settleClean tells a settled ledger's owner, once, when no machine holds a copy of
// the ledger that the owner does not know of: what is left of jobs that were over
// when it took the ledger counts for their team as long as it is there.
func (l *leader) settleClean(g *leaderLedger, now time.Duration) {
	if !l.c.tune.QuotaEscrow || g.from == nil || g.clean {
		return
	}
	for m := range l.machines.all {
		if !m.gone && !l.leaseOver(m, now) && (holdsOver(m.tasks, g) || holdsOver(m.sent, g)) {
			return
		}
	}
	g.clean = true
	g.from.send(&meshpb.Frame{Body: &meshpb.Frame_Settled{Settled: &meshpb.Settled{Ledger: g.name, Token: l.token, Clean: true}}})
}

// holdsOver tells whether a list has live copies of unknown jobs, or of jobs of a
// ledger that are over.
func holdsOver(list []placed, g *leaderLedger) bool {
	for i := range list {
		p := &list[i]
		if p.state != protocol.TaskExited && (p.job == nil || (p.job.closed && p.job.ledger == g)) {
			return true
		}
	}
	return false
}
