package shard

import (
	"slices"
	"strconv"

	"github.com/cobaltvale/cobaltvale/internal/eventcount"
	"github.com/cobaltvale/cobaltvale/internal/protocol/meshpb"
)

// An owner replaces a task's replica only once the replica is proven lost. This file
// holds what a status that the leader passes on proves by not listing a replica, and
// the reasons for which replicas were judged lost. Its functions go by values alone.

// absenceProof is what it proves that a machine's status does not list a replica.
type absenceProof uint8

const (
	absenceProvesNothing   absenceProof = iota // the status may lack replicas of the shard
	absenceProvesNoArrival                     // the status is the one before, and complete: a start sent in between did not arrive
	absenceProvesEnd                           // the status is complete: the replica is gone
)

// machineObservation is a machine's status as the leader passed it on, with what bears
// on its completeness.
type machineObservation struct {
	machine int32
	status  *meshpb.MachineStatus
	// heartbeatSinceRegistration tells whether the machine has surely sent a heartbeat since
	// the last shard of this process was registered, see sentHeartbeatSince.
	heartbeatSinceRegistration bool
}

// sentHeartbeatSince tells whether a machine has surely sent a heartbeat since the last shard
// of this process was registered, by the leader's clock: the leader has told of it twice
// since, at different times.
func sentHeartbeatSince(lastRegisteredAtUs, heardBeforeUs int64) bool {
	return lastRegisteredAtUs > 0 && heardBeforeUs >= lastRegisteredAtUs
}

// completeFor tells whether a status lists all that the machine holds of a shard. A
// leader of a version that does not say so leaves out tasks of jobs that it did not know
// when the machine sent it. It knows those of a shard once that is registered, so a
// status of its is complete if the machine has sent one since; what it tells of a
// machine first may be from before the registration.
func (o *machineObservation) completeFor(r *registration) bool {
	if !r.confirmed() {
		return false
	}
	if r.shardNumber != 0 {
		return slices.Contains(o.status.CompleteForShards, r.shardNumber)
	}
	return o.heartbeatSinceRegistration
}

// absence tells what a status proves by what it does not list of a shard. Nothing
// else concludes from a status that lacks a replica.
func (o *machineObservation) proofOfAbsence(r *registration) absenceProof {
	switch {
	case !o.status.Current || !o.completeFor(r):
		return absenceProvesNothing
	case o.status.Unchanged:
		return absenceProvesNoArrival
	}
	return absenceProvesEnd
}

// proveLoss tells whether a status proves that the replica of an assigned or placed task
// which it does not list is lost, and by what.
func (o *machineObservation) proveLoss(t *supervisedTask, r *registration) lossReason {
	status := o.status
	if status.Epoch > t.epoch {
		return lossLaterEpoch
	}
	if !status.Current || (status.Unchanged && t.state == TaskPlaced) {
		return notLost // listed as it was before
	}
	if o.proofOfAbsence(r) == absenceProvesNothing {
		if status.Unchanged {
			return notLost
		}
		return lossUnproven
	}
	// Of a start on its way only a status that was sent after it says anything.
	sentBefore := status.Epoch < t.epoch || status.Seq <= t.sequence
	if t.state == TaskPlaced || !sentBefore {
		return lossNotListed
	}
	return notLost
}

// lossReason is why a replica was judged lost, or was not.
type lossReason int

const (
	lossLeaseExpired lossReason = iota
	lossReconciled
	lossNotListed
	lossLaterEpoch
	lossMachineTerminated
	lossNotSent
	lossStopped
	lossUnproven // none: a status lacked the replica, but proved nothing
	notLost      // none; not counted
)

// lossReasonNames are keys of log lines.
var lossReasonNames = [...]string{"lease_expired", "reconciled", "not_listed", "later_epoch", "machine_terminated", "not_sent", "stopped", "unproven"}

func (r lossReason) String() string {
	if r >= 0 && int(r) < len(lossReasonNames) {
		return lossReasonNames[r]
	}
	return "lossReason(" + strconv.Itoa(int(r)) + ")"
}

// newLossCounter counts the replicas that were judged lost, by reason.
func newLossCounter() eventcount.Counter {
	return eventcount.New("replicas lost", lossReasonNames[:]...)
}
