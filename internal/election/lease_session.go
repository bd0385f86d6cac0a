package election

import (
	"time"

	"github.com/cobaltvale/cobaltvale/internal/storage"
)

const (
	// ClockDriftFactor is an upper bound of the ratio between the lengths of a time
	// span on two clocks. Each clock may be up to 0.05% off; the rest is a margin.
	ClockDriftFactor = 1.0015

	// leaseSafetyMargin is how long before the possible end of its lease a holder
	// stops acting.
	leaseSafetyMargin = 400 * time.Millisecond

	renewalsPerLease    = 5 // renewals sent per Config.LeaseTTL
	maxRenewalsInFlight = 3
)

// leaseSession is this process's only lease at the state service. All keys that the
// process holds are attached to it and exist only as long as it does.
type leaseSession struct {
	id                uint64        // 0: no lease is open
	opening           bool          // a request to open a lease is in flight
	lastSuccessSentAt time.Duration // when the last successful renewal, or the opening, was sent
	nextRenewalAt     time.Duration
	renewalsInFlight  int
}

func (l *leaseSession) open() bool { return l.id != 0 }

func (l *leaseSession) renewalDue(now time.Duration) bool {
	return now >= l.nextRenewalAt && l.renewalsInFlight < maxRenewalsInFlight
}

// LeaseValid reports whether this process's lease is guaranteed not to have ended at
// now, on Environment.Clock. Unlike MayAct, it does not consider lease extensions.
func (e *Election) LeaseValid(now time.Duration) bool { return now < e.leaseValidUntil() }

// leaseValidUntil returns the time before which the lease is guaranteed not to have
// ended, or 0 if none is open. The lease is counted from when its last successful
// renewal was sent, however late the answer came.
func (e *Election) leaseValidUntil() time.Duration {
	if !e.lease.open() {
		return 0
	}
	return e.lease.lastSuccessSentAt + time.Duration(float64(e.config.LeaseTTL)/ClockDriftFactor) - leaseSafetyMargin
}

func (e *Election) maintainLease(now time.Duration) {
	if !e.lease.open() {
		e.openLease(now)
	} else if e.lease.renewalDue(now) {
		e.renewLease(now)
	}
}

func (e *Election) openLease(now time.Duration) {
	if e.lease.opening || now < e.retryAt {
		return
	}
	e.lease.opening = true
	e.env.State.OpenLease(e.config.LeaseTTL, func(id uint64) {
		e.lease.opening = false
		if id == 0 {
			e.pauseRequests()
			return
		}
		e.lease.id = id
		e.lease.lastSuccessSentAt = now
		e.lease.nextRenewalAt = now + e.config.LeaseTTL/renewalsPerLease
		e.env.Log.Info().Uint64("lease", id).Msg("lease session opened")
	})
}

func (e *Election) renewLease(now time.Duration) {
	id := e.lease.id
	e.lease.nextRenewalAt = now + e.config.LeaseTTL/renewalsPerLease
	e.lease.renewalsInFlight++
	e.env.State.RenewLease(id, e.config.LeaseTTL/2, func(renewal storage.LeaseRenewal) {
		e.lease.renewalsInFlight--
		switch {
		case id != e.lease.id:
		case renewal == storage.LeaseRenewed:
			e.lease.lastSuccessSentAt = max(e.lease.lastSuccessSentAt, now)
		case renewal == storage.LeaseEnded:
			e.env.Log.Error().Uint64("lease", id).Msg("lease session expired")
			e.endLease(LeaseSessionExpired)
		}
	})
}

// endLease closes the lease session, whose lease has ended, and with it this
// process's leadership and all of its shards.
func (e *Election) endLease(reason LossReason) {
	e.lease.id = 0
	e.leaderClaimPending = false
	e.pendingShards = make(map[string]bool)
	e.endLeadership(reason)
	e.env.Shards.RemoveAll()
}
