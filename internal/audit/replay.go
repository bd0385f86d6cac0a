package audit

import (
	"fmt"
	"time"

	"github.com/cobaltvale/cobaltvale/internal/quota"
)

// replay follows one team through the merged history.
type replay struct {
	team          string
	guaranteeWait time.Duration
	usage         TeamUsage
	findings      []Finding
	findingCounts map[FindingKind]int
	running       map[taskKey]runningReplica
	inUse         quota.Amount
	// admissions holds the number of each task's latest copy that was admitted.
	admissions    map[taskKey]uint64
	recoveredJobs map[holderKey]map[string]bool // jobs that a holder has read
	spent         map[holderKey]quota.Amount    // as its last record says
	blocked       map[holderKey]*blockedSpan
	lastMs        int64
}

// taskKey names a task: it has one copy at a time.
type taskKey struct {
	job  string
	task uint32
}

type runningReplica struct {
	shard        string
	fencingToken uint64
	amount       quota.Amount
}

// holderKey names one holder of a ledger.
type holderKey struct {
	shard        string
	fencingToken uint64
}

// blockedSpan is since when a blocked team has been within its guarantee.
type blockedSpan struct {
	smallestPending, guarantee quota.Amount
	withinMs                   int64 // 0: it is not
	reported                   bool
}

func newReplay(team string, guaranteeWait time.Duration) *replay {
	return &replay{team: team, guaranteeWait: guaranteeWait, usage: TeamUsage{Team: team}, findingCounts: make(map[FindingKind]int), running: make(map[taskKey]runningReplica), admissions: make(map[taskKey]uint64),
		recoveredJobs: make(map[holderKey]map[string]bool), spent: make(map[holderKey]quota.Amount), blocked: make(map[holderKey]*blockedSpan)}
}

func (p *replay) addFinding(kind FindingKind, event historyEvent, format string, args ...any) {
	p.findingCounts[kind]++
	if p.findingCounts[kind] <= maxFindings {
		p.findings = append(p.findings, Finding{Kind: kind, Team: p.team, TimeMs: event.TimeMs, Text: fmt.Sprintf(format, args...)})
	}
}

func (p *replay) apply(event historyEvent) {
	holder := holderKey{event.Shard, event.FencingToken}
	if p.usage.Limit.IsZero() {
		p.usage.Limit = event.Limit
	}
	p.usage.Limit = p.usage.Limit.Min(event.Limit)
	if before, ok := p.spent[holder]; ok && before != event.SpentBefore {
		p.addFinding(Gap, event, "record %d of stream %d begins with %v spent at %s, the one before ended with %v", event.Seq, event.stream, event.SpentBefore, event.Shard, before)
	}
	p.spent[holder] = event.SpentAfter
	p.lastMs = max(p.lastMs, event.TimeMs)
	switch event.Kind {
	case Admitted, AdmittedUnenforced:
		p.applyAdmitted(event, holder)
	case Released:
		p.applyReleased(event, holder)
	case JobRecovered:
		if p.recoveredJobs[holder] == nil {
			p.recoveredJobs[holder] = make(map[string]bool)
		}
		p.recoveredJobs[holder][event.Job] = true
	case ReplicaFound:
		p.applyReplicaFound(event, holder)
	case ShardReconciled:
		p.applyShardReconciled(holder)
	case Blocked:
		p.blocked[holder] = &blockedSpan{smallestPending: event.Amount, guarantee: event.Guarantee}
	case Unblocked:
		delete(p.blocked, holder)
	default:
		p.addFinding(Gap, event, "record %d of stream %d is of an unknown kind", event.Seq, event.stream)
	}
	p.checkGuarantees(event)
}

func (p *replay) applyAdmitted(event historyEvent, holder holderKey) {
	p.usage.Admissions++
	key := taskKey{event.Job, event.Task}
	if earlier, ok := p.running[key]; ok {
		p.addFinding(Overshoot, event, "%s/%d is admitted at %s while its copy admitted at %s is not released", event.Job, event.Task, event.Shard, earlier.shard)
		p.inUse = p.inUse.Sub(earlier.amount)
	}
	p.running[key] = runningReplica{holder.shard, holder.fencingToken, event.Amount}
	p.admissions[key] = event.Replica
	p.inUse = p.inUse.Add(event.Amount)
	if event.Kind == Admitted && !event.SpentAfter.Within(event.Allocation) {
		p.addFinding(Overshoot, event, "%s spends %v of an allocation of %v", event.Shard, event.SpentAfter, event.Allocation)
	}
	p.recordPeak(event)
}

// recordPeak notes the use after something was added.
func (p *replay) recordPeak(event historyEvent) {
	if p.inUse.CPUs > p.usage.Peak.CPUs {
		p.usage.PeakAtMs = event.TimeMs
	}
	p.usage.Peak = p.usage.Peak.Max(p.inUse)
	if !p.inUse.Within(event.Limit) {
		p.addFinding(Overshoot, event, "%v is used in all, the limit is %v, after %s/%d at %s", p.inUse, event.Limit, event.Job, event.Task, event.Shard)
	}
}

func (p *replay) applyReleased(event historyEvent, holder holderKey) {
	p.usage.Releases++
	key := taskKey{event.Job, event.Task}
	earlier, ok := p.running[key]
	if !ok {
		if !p.recoveredJobs[holder][event.Job] { // a recovered task of which there may have been no copy
			p.addFinding(Gap, event, "%s/%d is released at %s, which nobody admitted", event.Job, event.Task, event.Shard)
		}
		return
	}
	p.inUse = p.inUse.Sub(earlier.amount)
	delete(p.running, key)
}

func (p *replay) applyReplicaFound(event historyEvent, holder holderKey) {
	key := taskKey{event.Job, event.Task}
	if earlier, ok := p.running[key]; ok { // nothing is added, and the limit may have been lowered
		p.running[key] = runningReplica{holder.shard, holder.fencingToken, earlier.amount}
		return
	}
	// A holder that does not know yet that it was replaced may have recorded the end
	// of a copy that the next one still finds.
	if admittedReplica, ok := p.admissions[key]; !ok || admittedReplica != event.Replica {
		p.addFinding(Gap, event, "%s/%d runs, which nobody admitted", event.Job, event.Task)
	}
	p.running[key] = runningReplica{holder.shard, holder.fencingToken, event.Amount}
	p.inUse = p.inUse.Add(event.Amount)
	p.recordPeak(event)
}

// applyShardReconciled takes out what earlier holders of a ledger admitted and the present one
// does not know of.
func (p *replay) applyShardReconciled(holder holderKey) {
	for key, replica := range p.running {
		if replica.shard == holder.shard && replica.fencingToken < holder.fencingToken && !p.recoveredJobs[holder][key.job] {
			p.inUse = p.inUse.Sub(replica.amount)
			delete(p.running, key)
		}
	}
	for other := range p.blocked {
		if other.shard == holder.shard && other.fencingToken < holder.fencingToken {
			delete(p.blocked, other)
		}
	}
}

// checkGuarantees finds teams that are blocked for too long though they use less
// than their guarantee.
func (p *replay) checkGuarantees(event historyEvent) {
	for holder, blocked := range p.blocked {
		if !p.inUse.Add(blocked.smallestPending).Within(blocked.guarantee.Min(event.Limit)) {
			blocked.withinMs = 0
			continue
		}
		if blocked.withinMs == 0 {
			blocked.withinMs = event.TimeMs
		}
		if waited := time.Duration(event.TimeMs-blocked.withinMs) * time.Millisecond; waited > p.guaranteeWait && !blocked.reported {
			blocked.reported = true
			p.addFinding(GuaranteeUnmet, event, "tasks of %v wait at %s for %s while the team uses %v of its guarantee of %v",
				blocked.smallestPending, holder.shard, waited, p.inUse, blocked.guarantee)
		}
	}
}

// finish concludes the replay.
func (p *replay) finish() {
	p.checkGuarantees(historyEvent{Record: &Record{TimeMs: p.lastMs, Limit: p.usage.Limit}})
	for kind, n := range p.findingCounts {
		if n > maxFindings {
			p.findings = append(p.findings, Finding{Kind: kind, Team: p.team, TimeMs: p.lastMs, Text: fmt.Sprintf("%d more of this kind", n-maxFindings)})
		}
	}
}
