package audit

import (
	"fmt"
	"time"

	"github.com/cobaltvale/cobaltvale/internal/quota"
)

// replay follows one team through the merged history.
type replay struct {
	team     string
	patience time.Duration
	use      TeamUse
	findings []Finding
	told     map[FindingKind]int
	running  map[copyKey]runningCopy
	sum      quota.Amount
	// admissions holds the number of each task's latest copy that was admitted.
	admissions map[copyKey]uint64
	counted    map[holderKey]map[string]bool // jobs that a holder has read
	spent      map[holderKey]quota.Amount    // as its last record says
	blocked    map[holderKey]*blockedTime
	lastMs     int64
}

// copyKey names a task: it has one copy at a time.
type copyKey struct {
	job  string
	task uint32
}

type runningCopy struct {
	ledger string
	token  uint64
	amount quota.Amount
}

// holderKey names one holder of a ledger.
type holderKey struct {
	ledger string
	token  uint64
}

// blockedTime is since when a blocked team has been within its guarantee.
type blockedTime struct {
	least, guarantee quota.Amount
	withinMs         int64 // 0: it is not
	told             bool
}

func newReplay(team string, patience time.Duration) *replay {
	return &replay{team: team, patience: patience, use: TeamUse{Team: team}, told: make(map[FindingKind]int), running: make(map[copyKey]runningCopy), admissions: make(map[copyKey]uint64),
		counted: make(map[holderKey]map[string]bool), spent: make(map[holderKey]quota.Amount), blocked: make(map[holderKey]*blockedTime)}
}

func (p *replay) find(kind FindingKind, e event, format string, args ...any) {
	p.told[kind]++
	if p.told[kind] <= maxFindings {
		p.findings = append(p.findings, Finding{Kind: kind, Team: p.team, TimeMs: e.TimeMs, Text: fmt.Sprintf(format, args...)})
	}
}

func (p *replay) step(e event) {
	holder := holderKey{e.Ledger, e.Token}
	if p.use.Limit.IsZero() {
		p.use.Limit = e.Limit
	}
	p.use.Limit = p.use.Limit.Min(e.Limit)
	if before, ok := p.spent[holder]; ok && before != e.Before {
		p.find(Gap, e, "record %d of stream %d begins with %v spent at %s, the one before ended with %v", e.Seq, e.stream, e.Before, e.Ledger, before)
	}
	p.spent[holder] = e.After
	p.lastMs = max(p.lastMs, e.TimeMs)
	switch e.Kind {
	case Admitted, AdmittedUnbound:
		p.admitted(e, holder)
	case Released:
		p.released(e, holder)
	case Counted:
		if p.counted[holder] == nil {
			p.counted[holder] = make(map[string]bool)
		}
		p.counted[holder][e.Job] = true
	case Found:
		p.found(e, holder)
	case Completed:
		p.completed(holder)
	case Blocked:
		p.blocked[holder] = &blockedTime{least: e.Amount, guarantee: e.Guarantee}
	case Unblocked:
		delete(p.blocked, holder)
	default:
		p.find(Gap, e, "record %d of stream %d is of an unknown kind", e.Seq, e.stream)
	}
	p.checkGuarantees(e)
}

func (p *replay) admitted(e event, holder holderKey) {
	p.use.Admissions++
	key := copyKey{e.Job, e.Task}
	if old, ok := p.running[key]; ok {
		p.find(Overshoot, e, "%s/%d is admitted at %s while its copy admitted at %s is not released", e.Job, e.Task, e.Ledger, old.ledger)
		p.sum = p.sum.Minus(old.amount)
	}
	p.running[key] = runningCopy{holder.ledger, holder.token, e.Amount}
	p.admissions[key] = e.Attempt
	p.sum = p.sum.Plus(e.Amount)
	if e.Kind == Admitted && !e.After.Within(e.Allowed) {
		p.find(Overshoot, e, "%s spends %v of an allocation of %v", e.Ledger, e.After, e.Allowed)
	}
	p.raise(e)
}

// raise notes the use after something was added.
func (p *replay) raise(e event) {
	if p.sum.CPUs > p.use.Highest.CPUs {
		p.use.HighestAtMs = e.TimeMs
	}
	p.use.Highest = p.use.Highest.Max(p.sum)
	if !p.sum.Within(e.Limit) {
		p.find(Overshoot, e, "%v is used in all, the limit is %v, after %s/%d at %s", p.sum, e.Limit, e.Job, e.Task, e.Ledger)
	}
}

func (p *replay) released(e event, holder holderKey) {
	p.use.Releases++
	key := copyKey{e.Job, e.Task}
	old, ok := p.running[key]
	if !ok {
		if !p.counted[holder][e.Job] { // a recovered task of which there may have been no copy
			p.find(Gap, e, "%s/%d is released at %s, which nobody admitted", e.Job, e.Task, e.Ledger)
		}
		return
	}
	p.sum = p.sum.Minus(old.amount)
	delete(p.running, key)
}

func (p *replay) found(e event, holder holderKey) {
	key := copyKey{e.Job, e.Task}
	if old, ok := p.running[key]; ok { // nothing is added, and the limit may have been lowered
		p.running[key] = runningCopy{holder.ledger, holder.token, old.amount}
		return
	}
	// A holder that does not know yet that it was replaced may have recorded the end
	// of a copy that the next one still finds.
	if attempt, ok := p.admissions[key]; !ok || attempt != e.Attempt {
		p.find(Gap, e, "%s/%d runs, which nobody admitted", e.Job, e.Task)
	}
	p.running[key] = runningCopy{holder.ledger, holder.token, e.Amount}
	p.sum = p.sum.Plus(e.Amount)
	p.raise(e)
}

// completed takes out what earlier holders of a ledger admitted and the present one
// does not know of.
func (p *replay) completed(holder holderKey) {
	for key, c := range p.running {
		if c.ledger == holder.ledger && c.token < holder.token && !p.counted[holder][key.job] {
			p.sum = p.sum.Minus(c.amount)
			delete(p.running, key)
		}
	}
	for other := range p.blocked {
		if other.ledger == holder.ledger && other.token < holder.token {
			delete(p.blocked, other)
		}
	}
}

// checkGuarantees finds teams that are blocked for too long though they use less
// than their guarantee.
func (p *replay) checkGuarantees(e event) {
	for holder, b := range p.blocked {
		if !p.sum.Plus(b.least).Within(b.guarantee.Min(e.Limit)) {
			b.withinMs = 0
			continue
		}
		if b.withinMs == 0 {
			b.withinMs = e.TimeMs
		}
		if waited := time.Duration(e.TimeMs-b.withinMs) * time.Millisecond; waited > p.patience && !b.told {
			b.told = true
			p.find(GuaranteeUnmet, e, "tasks of %v wait at %s for %s while the team uses %v of its guarantee of %v",
				b.least, holder.ledger, waited, p.sum, b.guarantee)
		}
	}
}

// end concludes the replay.
func (p *replay) end() {
	p.checkGuarantees(event{Record: &Record{TimeMs: p.lastMs, Limit: p.use.Limit}})
	for kind, n := range p.told {
		if n > maxFindings {
			p.findings = append(p.findings, Finding{Kind: kind, Team: p.team, TimeMs: p.lastMs, Text: fmt.Sprintf("%d more of this kind", n-maxFindings)})
		}
	}
}
