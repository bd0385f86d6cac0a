package shard

import (
	"slices"
	"strconv"

	"github.com/cobaltvale/cobaltvale/internal/eventcount"
	"github.com/cobaltvale/cobaltvale/internal/protocol/meshpb"
)

// An owner replaces a task's replica only once the replica is proven lost. This file
// defines what a status that the leader passes on proves by not listing a replica, and the
// reasons why replicas are judged lost. Its functions depend on their arguments only.

// absenceProof is what the absence of a replica from a machine's status proves.
type absenceProof uint8

const (
	absenceProvesNothing   absenceProof = iota // the status may lack replicas of the shard
	absenceProvesNoArrival                     // the status is complete and equal to the previous one: a start sent in between did not arrive
	absenceProvesEnd                           // the status is complete: the replica no longer exists
)

// machineObservation is a machine's status as the leader passed it on, with what determines
// whether the status is complete.
type machineObservation struct {
	machine int32
	status  *meshpb.MachineStatus
	// heartbeatSinceRegistration reports whether the machine is guaranteed to have sent a
	// heartbeat since the last registration of a shard of this process, see
	// sentHeartbeatSince.
	heartbeatSinceRegistration bool
}

// sentHeartbeatSince reports whether a machine is guaranteed to have sent a heartbeat since
// the last registration of a shard of this process, both times being on the leader's clock.
// The guarantee requires that the leader has reported the machine twice since then, at
// different times.
func sentHeartbeatSince(lastRegisteredAtUs, previousHeartbeatUs int64) bool {
	return lastRegisteredAtUs > 0 && previousHeartbeatUs >= lastRegisteredAtUs
}

// completeFor reports whether the status lists every replica of a shard that the machine
// holds. A leader of an older version does not say so, and omits the tasks of jobs that it
// did not know when the machine sent the status. It knows the jobs of a shard once the shard
// is registered, so the status is complete if the machine has sent a heartbeat since then.
// The first status that the leader passes on after the registration may have been sent
// before the registration.
func (o *machineObservation) completeFor(r *registration) bool {
	if !r.confirmed() {
		return false
	}
	if r.shardNumber != 0 {
		return slices.Contains(o.status.CompleteForShards, r.shardNumber)
	}
	return o.heartbeatSinceRegistration
}

// proofOfAbsence returns what the absence of a replica of a shard from the status proves.
// No other code draws conclusions from such an absence.
func (o *machineObservation) proofOfAbsence(r *registration) absenceProof {
	switch {
	case !o.status.Current || !o.completeFor(r):
		return absenceProvesNothing
	case o.status.Unchanged:
		return absenceProvesNoArrival
	}
	return absenceProvesEnd
}

// proveLoss returns the reason why the status proves that the replica of an assigned or
// placed task is lost, given that the status does not list the replica. It returns notLost
// or lossUnproven if there is no proof.
func (o *machineObservation) proveLoss(t *supervisedTask, r *registration) lossReason {
	status := o.status
	if status.Epoch > t.epoch {
		return lossLaterEpoch
	}
	if !status.Current || (status.Unchanged && t.state == TaskPlaced) {
		return notLost // not current, or equal to the previous list, which has the replica
	}
	if o.proofOfAbsence(r) == absenceProvesNothing {
		if status.Unchanged {
			return notLost
		}
		return lossUnproven
	}
	// A status proves nothing about a start in flight unless it was sent after the start.
	sentBefore := status.Epoch < t.epoch || status.Seq <= t.sequence
	if t.state == TaskPlaced || !sentBefore {
		return lossNotListed
	}
	return notLost
}

// lossReason is the reason why a replica was judged lost, or was not.
type lossReason int

const (
	lossLeaseExpired lossReason = iota
	lossReconciled
	lossNotListed
	lossLaterEpoch
	lossMachineTerminated
	lossNotSent
	lossStopped
	lossUnproven // not lost: a status lacked the replica, but proved nothing
	notLost      // not lost; not counted
)

// lossReasonNames are field names and values in log lines.
var lossReasonNames = [...]string{"lease_expired", "reconciled", "not_listed", "later_epoch", "machine_terminated", "not_sent", "stopped", "unproven"}

func (r lossReason) String() string {
	if r >= 0 && int(r) < len(lossReasonNames) {
		return lossReasonNames[r]
	}
	return "lossReason(" + strconv.Itoa(int(r)) + ")"
}

// newLossCounter returns a counter of the replicas that were judged lost, by reason.
func newLossCounter() eventcount.Counter {
	return eventcount.New("replicas lost", notLost)
}
