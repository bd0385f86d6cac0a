package coordination

import (
	"time"

	"github.com/cobaltvale/cobaltvale/internal/protocol"
	"github.com/cobaltvale/cobaltvale/internal/protocol/meshpb"
)

// accounting is why a ledger's owner need not wait for a machine any more.
type accounting int

const (
	notAccounted       accounting = iota
	accountedGone                 // it has ended for good
	accountedLeaseOver            // its lease is over
	accountedReported             // it has reported since the ledger joined
	accountedTold                 // the owner was told its last list, and it was sent nothing of the ledger since
	accountedEmpty                // no earlier leader can have given it tasks
	accountings
)

// settle tells a new owner when no copy of its recovered tasks can be left
// that it has not been told of.
func (l *leader) settle(now, span time.Duration) {
	for _, g := range l.ledgers {
		if g.from == nil || g.settled {
			l.settleClean(g, now)
			continue
		}
		if machines, all := l.accountForAll(g, now, span); all {
			g.settled = true
			l.logSettled(g, &machines, now)
			g.from.send(&meshpb.Frame{Body: &meshpb.Frame_Reconciled{Reconciled: &meshpb.Reconciled{Shard: g.name, FencingToken: l.token}}})
		}
	}
}

// accountForAll counts the machines by why they are accounted for. It stops at the
// first that is not.
func (l *leader) accountForAll(g *leaderLedger, now, span time.Duration) (machines [accountings]int, all bool) {
	if !l.machinesKnown && now-g.joinedAt <= span {
		return machines, false // there may be more machines than it knows of
	}
	for m := range l.machines.all {
		why := l.account(m, g, now, span)
		if why == notAccounted {
			return machines, false
		}
		machines[why]++
	}
	return machines, true
}

// account tells why a ledger's present owner has been told all that may be on a
// machine: by a report since it joined, or by the last one before if nothing of
// the ledger was sent to the machine after that. One that this leader was the
// first to name, and that has not had its token, holds nothing: waited for, the
// machines that come up all the time kept a ledger from being settled. Which
// machines those are is known only once the records of earlier leaders were read.
func (l *leader) account(m *machine, g *leaderLedger, now, span time.Duration) accounting {
	switch {
	case m.gone:
		return accountedGone
	case now-max(m.heard, g.joinedAt) > span:
		return accountedLeaseOver
	case m.currentAt > g.joinedAt:
		return accountedReported
	case m.currentAt == 0 && l.machinesKnown && !m.inherited:
		return accountedEmpty
	case m.currentAt == 0 || m.sentOf(g):
		return notAccounted
	}
	return accountedTold
}

// sentOf tells whether a machine was sent starts of a ledger that its list does
// not answer yet.
func (m *machine) sentOf(g *leaderLedger) bool {
	for i := range m.sent {
		if m.sent[i].job.ledger == g {
			return true
		}
	}
	return false
}

func (l *leader) logSettled(g *leaderLedger, machines *[accountings]int, now time.Duration) {
	l.c.log.Info().Str("ledger", g.name).Str("owner", g.from.member).Int64("after_ms", (now-g.joinedAt).Milliseconds()).
		Int("reported", machines[accountedReported]).Int("told", machines[accountedTold]).Int("empty", machines[accountedEmpty]).
		Int("lease_over", machines[accountedLeaseOver]).Int("gone", machines[accountedGone]).Bool("machines_known", l.machinesKnown).
		Msg("machines accounted for")
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
	g.from.send(&meshpb.Frame{Body: &meshpb.Frame_Reconciled{Reconciled: &meshpb.Reconciled{Shard: g.name, FencingToken: l.token, NoUnknownReplicas: true}}})
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
