package coordination

import (
	"slices"

	"github.com/cobaltvale/cobaltvale/internal/protocol/meshpb"
)

// An owner replaces a task's copy only once the copy is proven gone. This file
// holds what a report that the leader passes on proves by not listing a copy, and
// the reasons for which copies were judged gone.

// absenceProof is what it proves that a machine's report does not list a copy.
type absenceProof uint8

const (
	absenceProvesNothing   absenceProof = iota // the list may lack copies of the ledger
	absenceProvesNoArrival                     // the list is the one before, and complete: a start sent in between did not arrive
	absenceProvesEnd                           // the list is complete: the copy is gone
)

// absenceProof tells what a report proves by what it does not list of a ledger. Nothing
// else concludes from a list that lacks a copy.
func (s *subscription) absenceProof(machine int32, r *meshpb.MachineStatus, shard *ownedShard) absenceProof {
	switch {
	case !r.Current || !s.listComplete(machine, r, shard):
		return absenceProvesNothing
	case r.Unchanged:
		return absenceProvesNoArrival
	}
	return absenceProvesEnd
}

// listComplete tells whether a machine's list has all that the machine holds of a
// ledger. A leader of a version that does not say so leaves out tasks of jobs that
// it did not know when the machine reported. It knows those of a ledger once that
// has joined, so a list of its is complete if the machine has reported since; what
// it tells of a machine first may be from before the join, see reportedSince.
func (s *subscription) listComplete(machine int32, r *meshpb.MachineStatus, shard *ownedShard) bool {
	if s.registeredAtUs[shard.name] <= 0 {
		return false
	}
	if shard.leaderNumber != 0 {
		return slices.Contains(r.CompleteForShards, shard.leaderNumber)
	}
	return s.heardSinceRegistration(machine)
}

// heardSinceRegistration tells whether a machine has surely reported since the last ledger of
// this process joined: the leader has told of it twice since, at different times.
func (s *subscription) heardSinceRegistration(machine int32) bool {
	return s.lastRegisteredAtUs > 0 && s.machine(machine).heardBeforeUs >= s.lastRegisteredAtUs
}

// allHeardSinceRegistration tells whether every machine that the leader has told of has
// reported since the last ledger joined, or has lost its lease.
func (s *subscription) allHeardSinceRegistration(clockUs int64) bool {
	span := s.c.workerLeaseTimeout().Microseconds()
	for _, machine := range s.localIndexes {
		if machine != unknownMachine && !s.heardSinceRegistration(machine) && clockUs-max(s.machine(machine).heardAtUs, s.lastRegisteredAtUs) <= span {
			return false
		}
	}
	return true
}

// checkReconciled takes a leader's word that a ledger is settled, which a leader of a
// version that does not say which lists are complete gives too early, once every
// machine has reported since the ledger joined.
func (s *subscription) checkReconciled(clockUs int64) {
	for _, shard := range s.c.owner.shards {
		if shard.reconciledUnchecked && !shard.reconciled && s.allHeardSinceRegistration(clockUs) {
			s.c.owner.reconciled(shard)
		}
	}
}

// lossReason is why a copy was judged gone.
type lossReason int

const (
	lossLeaseExpired lossReason = iota
	lossReconciled
	lossNotListed
	lossLaterEpoch
	lossMachineTerminated
	lossNotSent
	lossStopped
	unprovenAbsence // none: a list lacked the copy, but proved nothing
)

// newLossCounter counts the tasks that were placed anew, by reason.
func newLossCounter() eventCounter {
	return newEventCounter("tasks placed anew", "lease_over", "settled", "not_listed", "later_session", "machine_gone", "not_sent", "stopped",
		"unproven")
}

// proveLoss tells whether a report proves that the copy of a task which it does not
// list is gone, and why.
func (o *owner) proveLoss(machine int32, r *meshpb.MachineStatus, ref taskRef) (gone bool, reason lossReason) {
	t := &ref.job.tasks[ref.task]
	if r.Epoch > t.epoch {
		return true, lossLaterEpoch
	}
	if !r.Current || (r.Unchanged && t.state == taskPlaced) {
		return false, lossNotListed // listed as it was before
	}
	if o.c.subscription.absenceProof(machine, r, ref.job.shard) == absenceProvesNothing {
		if !r.Unchanged {
			o.losses.add(int(unprovenAbsence))
			o.c.log.Debug().Str("job", ref.job.id).Int32("task", ref.task).Uint64("attempt", t.replica).Msg("a list that may be incomplete lacks a task")
		}
		return false, lossNotListed
	}
	// Of a start on its way only a report that was sent after it says anything.
	sentBefore := r.Epoch < t.epoch || r.Seq <= t.sequence
	return t.state == taskPlaced || !sentBefore, lossNotListed
}
