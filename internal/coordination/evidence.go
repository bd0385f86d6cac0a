package coordination

import (
	"slices"

	"github.com/cobaltvale/cobaltvale/internal/protocol/meshpb"
)

// An owner replaces a task's copy only once the copy is proven gone. This file
// holds what a report that the leader passes on proves by not listing a copy, and
// the reasons for which copies were judged gone.

// absence is what it proves that a machine's report does not list a copy.
type absence uint8

const (
	absenceProvesNothing   absence = iota // the list may lack copies of the ledger
	absenceProvesNoArrival                // the list is the one before, and complete: a start sent in between did not arrive
	absenceProvesEnd                      // the list is complete: the copy is gone
)

// absence tells what a report proves by what it does not list of a ledger. Nothing
// else concludes from a list that lacks a copy.
func (s *subscription) absence(m int32, r *meshpb.MachineStatus, l *ownedLedger) absence {
	switch {
	case !r.Current || !s.complete(m, r, l):
		return absenceProvesNothing
	case r.Unchanged:
		return absenceProvesNoArrival
	}
	return absenceProvesEnd
}

// complete tells whether a machine's list has all that the machine holds of a
// ledger. A leader of a version that does not say so leaves out tasks of jobs that
// it did not know when the machine reported. It knows those of a ledger once that
// has joined, so a list of its is complete if the machine has reported since; what
// it tells of a machine first may be from before the join, see reportedSince.
func (s *subscription) complete(m int32, r *meshpb.MachineStatus, l *ownedLedger) bool {
	if s.start[l.name] <= 0 {
		return false
	}
	if l.number != 0 {
		return slices.Contains(r.CompleteForShards, l.number)
	}
	return s.reportedSince(m)
}

// reportedSince tells whether a machine has surely reported since the last ledger of
// this process joined: the leader has told of it twice since, at different times.
func (s *subscription) reportedSince(m int32) bool {
	return s.lastStart > 0 && s.machine(m).before >= s.lastStart
}

// allReportedSince tells whether every machine that the leader has told of has
// reported since the last ledger joined, or has lost its lease.
func (s *subscription) allReportedSince(clockUs int64) bool {
	span := s.c.leaseSpan().Microseconds()
	for _, m := range s.names {
		if m != nobody && !s.reportedSince(m) && clockUs-max(s.machine(m).at, s.lastStart) <= span {
			return false
		}
	}
	return true
}

// checkSettled takes a leader's word that a ledger is settled, which a leader of a
// version that does not say which lists are complete gives too early, once every
// machine has reported since the ledger joined.
func (s *subscription) checkSettled(clockUs int64) {
	for _, l := range s.c.owner.ledgers {
		if l.settledUnchecked && !l.settled && s.allReportedSince(clockUs) {
			s.c.owner.settled(l)
		}
	}
}

// lossReason is why a copy was judged gone.
type lossReason int

const (
	lossLeaseOver lossReason = iota
	lossSettled
	lossNotListed
	lossLaterSession
	lossMachineGone
	lossNotSent
	lossStopped
	unprovenAbsence // none: a list lacked the copy, but proved nothing
)

// newLossTally counts the tasks that were placed anew, by reason.
func newLossTally() tally {
	return newTally("tasks placed anew", "lease_over", "settled", "not_listed", "later_session", "machine_gone", "not_sent", "stopped",
		"unproven")
}

// judge tells whether a report proves that the copy of a task which it does not
// list is gone, and why.
func (o *owner) judge(m int32, r *meshpb.MachineStatus, ref taskRef) (gone bool, why lossReason) {
	t := &ref.job.tasks[ref.task]
	if r.Epoch > t.session {
		return true, lossLaterSession
	}
	if !r.Current || (r.Unchanged && t.place == onMachine) {
		return false, lossNotListed // listed as it was before
	}
	if o.c.subscription.absence(m, r, ref.job.ledger) == absenceProvesNothing {
		if !r.Unchanged {
			o.losses.add(int(unprovenAbsence))
			o.c.log.Debug().Str("job", ref.job.id).Int32("task", ref.task).Uint64("attempt", t.attempt).Msg("a list that may be incomplete lacks a task")
		}
		return false, lossNotListed
	}
	// Of a start on its way only a report that was sent after it says anything.
	sentBefore := r.Epoch < t.session || r.Seq <= t.seq
	return t.place == onMachine || !sentBefore, lossNotListed
}
