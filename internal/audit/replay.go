package audit

import (
	"fmt"
	"time"

	"github.com/cobaltvale/cobaltvale/internal/quota"
)

// replay applies one team's events in the merged history of all controllers, and finds
// violations.
type replay struct {
	team          string
	guaranteeWait time.Duration
	usage         TeamUsage
	findings      []Finding
	findingCounts map[FindingKind]int
	running       map[taskKey]runningReplica
	inUse         quota.Amount // sum of running
	// lastAdmittedReplicas has the number of each task's latest replica that was admitted.
	lastAdmittedReplicas map[taskKey]uint64
	recoveredJobs        map[holderKey]map[string]bool // jobs that a holder has read, by name
	spent                map[holderKey]quota.Amount    // according to the holder's last record
	blocked              map[holderKey]*blockedState
	lastTimeMs           int64 // highest time of an event
}

// taskKey identifies a task, which has at most one replica at a time.
type taskKey struct {
	job  string
	task uint32
}

// runningReplica is a replica that was admitted and not released, with its holder.
type runningReplica struct {
	shard        string
	fencingToken uint64
	amount       quota.Amount
}

// holderKey identifies one holder of a shard.
type holderKey struct {
	shard        string
	fencingToken uint64
}

// blockedState is the state of a team that is blocked at a shard.
type blockedState struct {
	smallestPending, guarantee quota.Amount
	withinGuaranteeSinceMs     int64 // since when its smallest pending task has fit its guarantee; 0: it does not
	reported                   bool  // a finding was added for this state
}

// newReplay returns a replay that starts with no running replicas.
func newReplay(team string, guaranteeWait time.Duration) *replay {
	return &replay{
		team: team, guaranteeWait: guaranteeWait, usage: TeamUsage{Team: team},
		findingCounts:        make(map[FindingKind]int),
		running:              make(map[taskKey]runningReplica),
		lastAdmittedReplicas: make(map[taskKey]uint64),
		recoveredJobs:        make(map[holderKey]map[string]bool),
		spent:                make(map[holderKey]quota.Amount),
		blocked:              make(map[holderKey]*blockedState),
	}
}

// addFinding adds a finding, unless there are maxFindingsPerKind of its kind; it counts all.
func (r *replay) addFinding(kind FindingKind, event historyEvent, format string, args ...any) {
	r.findingCounts[kind]++
	if r.findingCounts[kind] <= maxFindingsPerKind {
		r.findings = append(r.findings, Finding{Kind: kind, Team: r.team, TimeMs: event.TimeMs, Text: fmt.Sprintf(format, args...)})
	}
}

// apply applies the next event.
func (r *replay) apply(event historyEvent) {
	holder := holderKey{event.Shard, event.FencingToken}
	if r.usage.Limit.IsZero() {
		r.usage.Limit = event.Limit
	}
	r.usage.Limit = r.usage.Limit.Min(event.Limit)
	if before, ok := r.spent[holder]; ok && before != event.SpentBefore {
		r.addFinding(Gap, event, "record %d of stream %d begins with %v spent at %s, the one before ended with %v", event.Seq, event.stream, event.SpentBefore, event.Shard, before)
	}
	r.spent[holder] = event.SpentAfter
	r.lastTimeMs = max(r.lastTimeMs, event.TimeMs)
	switch event.Kind {
	case Admitted, AdmittedUnenforced:
		r.applyAdmitted(event, holder)
	case Released:
		r.applyReleased(event, holder)
	case JobRecovered:
		if r.recoveredJobs[holder] == nil {
			r.recoveredJobs[holder] = make(map[string]bool)
		}
		r.recoveredJobs[holder][event.Job] = true
	case ReplicaFound:
		r.applyReplicaFound(event, holder)
	case ShardReconciled:
		r.applyShardReconciled(holder)
	case Blocked:
		r.blocked[holder] = &blockedState{smallestPending: event.Amount, guarantee: event.Guarantee}
	case Unblocked:
		delete(r.blocked, holder)
	default:
		r.addFinding(Gap, event, "record %d of stream %d is of an unknown kind", event.Seq, event.stream)
	}
	r.checkGuarantees(event)
}

// applyAdmitted adds a replica. Its task must have no other replica, and the holder must stay
// within the allocation.
func (r *replay) applyAdmitted(event historyEvent, holder holderKey) {
	r.usage.Admissions++
	key := taskKey{event.Job, event.Task}
	if earlier, ok := r.running[key]; ok {
		r.addFinding(Overshoot, event, "%s/%d is admitted at %s while its copy admitted at %s is not released", event.Job, event.Task, event.Shard, earlier.shard)
		r.inUse = r.inUse.Sub(earlier.amount)
	}
	r.running[key] = runningReplica{holder.shard, holder.fencingToken, event.Amount}
	r.lastAdmittedReplicas[key] = event.Replica
	r.inUse = r.inUse.Add(event.Amount)
	if event.Kind == Admitted && !event.SpentAfter.Within(event.Allocation) {
		r.addFinding(Overshoot, event, "%s spends %v of an allocation of %v", event.Shard, event.SpentAfter, event.Allocation)
	}
	r.recordPeak(event)
}

// recordPeak records the use after an addition, which must be within the limit.
func (r *replay) recordPeak(event historyEvent) {
	if r.inUse.CPUs > r.usage.Peak.CPUs {
		r.usage.PeakAtMs = event.TimeMs
	}
	r.usage.Peak = r.usage.Peak.Max(r.inUse)
	if !r.inUse.Within(event.Limit) {
		r.addFinding(Overshoot, event, "%v is used in all, the limit is %v, after %s/%d at %s", r.inUse, event.Limit, event.Job, event.Task, event.Shard)
	}
}

// applyReleased removes a replica.
func (r *replay) applyReleased(event historyEvent, holder holderKey) {
	r.usage.Releases++
	key := taskKey{event.Job, event.Task}
	earlier, ok := r.running[key]
	if !ok {
		// A task of a recovered job was counted, but may have had no replica.
		if !r.recoveredJobs[holder][event.Job] {
			r.addFinding(Gap, event, "%s/%d is released at %s, which nobody admitted", event.Job, event.Task, event.Shard)
		}
		return
	}
	r.inUse = r.inUse.Sub(earlier.amount)
	delete(r.running, key)
}

// applyReplicaFound moves an earlier holder's replica to the current holder.
func (r *replay) applyReplicaFound(event historyEvent, holder holderKey) {
	key := taskKey{event.Job, event.Task}
	if earlier, ok := r.running[key]; ok {
		// Nothing is added, so the limit is not checked: it may have been lowered.
		r.running[key] = runningReplica{holder.shard, holder.fencingToken, earlier.amount}
		return
	}
	// An earlier holder that had not observed yet that it was replaced may have recorded the
	// release of a replica that the next holder still finds.
	if admittedReplica, ok := r.lastAdmittedReplicas[key]; !ok || admittedReplica != event.Replica {
		r.addFinding(Gap, event, "%s/%d runs, which nobody admitted", event.Job, event.Task)
	}
	r.running[key] = runningReplica{holder.shard, holder.fencingToken, event.Amount}
	r.inUse = r.inUse.Add(event.Amount)
	r.recordPeak(event)
}

// applyShardReconciled removes replicas that earlier holders of a shard admitted and that are
// unknown to the present one.
func (r *replay) applyShardReconciled(holder holderKey) {
	for key, replica := range r.running {
		if replica.shard == holder.shard && replica.fencingToken < holder.fencingToken && !r.recoveredJobs[holder][key.job] {
			r.inUse = r.inUse.Sub(replica.amount)
			delete(r.running, key)
		}
	}
	for other := range r.blocked {
		if other.shard == holder.shard && other.fencingToken < holder.fencingToken {
			delete(r.blocked, other)
		}
	}
}

// checkGuarantees reports teams that are blocked for longer than guaranteeWait although their
// smallest pending task fits their guarantee.
func (r *replay) checkGuarantees(event historyEvent) {
	for holder, blocked := range r.blocked {
		if !r.inUse.Add(blocked.smallestPending).Within(blocked.guarantee.Min(event.Limit)) {
			blocked.withinGuaranteeSinceMs = 0
			continue
		}
		if blocked.withinGuaranteeSinceMs == 0 {
			blocked.withinGuaranteeSinceMs = event.TimeMs
		}
		if waited := time.Duration(event.TimeMs-blocked.withinGuaranteeSinceMs) * time.Millisecond; waited > r.guaranteeWait && !blocked.reported {
			blocked.reported = true
			r.addFinding(GuaranteeUnmet, event, "tasks of %v wait at %s for %s while the team uses %v of its guarantee of %v",
				blocked.smallestPending, holder.shard, waited, r.inUse, blocked.guarantee)
		}
	}
}

// finish checks the guarantees a last time, and adds a finding with the number of those left out
// for each kind.
func (r *replay) finish() {
	r.checkGuarantees(historyEvent{Record: &Record{TimeMs: r.lastTimeMs, Limit: r.usage.Limit}})
	for kind, n := range r.findingCounts {
		if n > maxFindingsPerKind {
			r.findings = append(r.findings, Finding{Kind: kind, Team: r.team, TimeMs: r.lastTimeMs, Text: fmt.Sprintf("%d more of this kind", n-maxFindingsPerKind)})
		}
	}
}
