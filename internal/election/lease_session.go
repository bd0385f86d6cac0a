package election

import "time"

const (
	// ClockDriftFactor is by how much a span may differ between two clocks, each
	// up to 0.05% off, with room to spare.
	ClockDriftFactor = 1.0015

	leaseSafetyMargin   = 400 * time.Millisecond // a holder stops this long before its lease may end
	renewalsPerLease    = 5
	maxRenewalsInFlight = 3
)

// leaseSession is the process's one lease at the state service, which keeps all
// of its keys alive.
type leaseSession struct {
	id                uint64 // 0: none is open
	opening           bool
	lastSuccessSentAt time.Duration // of those that succeeded
	nextRenewalAt     time.Duration
	renewalsInFlight  int
}

func (l *leaseSession) open() bool { return l.id != 0 }

func (l *leaseSession) renewalDue(now time.Duration) bool {
	return now >= l.nextRenewalAt && l.renewalsInFlight < maxRenewalsInFlight
}

// LeaseValid tells whether the lease surely lasts.
func (e *Election) LeaseValid(now time.Duration) bool { return now < e.leaseValidUntil() }

// leaseValidUntil is up to when the lease surely lasts: it is counted from when
// its last successful renewal was sent.
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
	e.env.State.RenewLease(id, e.config.LeaseTTL/2, func(renewed, expired bool) {
		e.lease.renewalsInFlight--
		switch {
		case id != e.lease.id:
		case renewed:
			e.lease.lastSuccessSentAt = max(e.lease.lastSuccessSentAt, now)
		case expired:
			e.env.Log.Error().Uint64("lease", id).Msg("lease session expired")
			e.endLease(LeaseSessionExpired)
		}
	})
}

// endLease gives up everything that the lease kept alive.
func (e *Election) endLease(reason LossReason) {
	e.lease.id = 0
	e.leaderClaimPending = false
	e.pendingShards = make(map[string]bool)
	e.endLeadership(reason)
	e.env.Shards.RemoveAll()
}
