package coordination

import (
	"time"

	"github.com/cobaltvale/cobaltvale/internal/protocol"
)

const (
	// spreadMachinesPerZone is over how many machines of a zone the replicas of a service
	// are spread at the least.
	spreadMachinesPerZone = 3
	// promptSpreadMachinesPerZone is the same where starts are wanted within a heartbeat
	// interval: the last replica waits for as many heartbeats.
	promptSpreadMachinesPerZone = 2
	// heartbeatWaitDivisor: another machine's heartbeat is waited for rather than an
	// image fetched if it is due within this part of the fetch.
	heartbeatWaitDivisor = 2
)

// minSpreadPerZone is over how many machines of a zone a service's replicas are spread
// at the least.
func (p *warmPool) minSpreadPerZone(class string) int {
	if within := p.startWithin(class); within > 0 && within < p.settings.Workers.HeartbeatIntervalS {
		return promptSpreadMachinesPerZone
	}
	return spreadMachinesPerZone
}

// hasRoomFor tells whether a machine could be offered to a replica of a service
// next.
func (p *warmPool) hasRoomFor(job *trackedJob, m *machine, now time.Duration) bool {
	return m.free.fits(job.spec) && permits(job.spec, m.machineKind) && p.schedulable(m, now) && !job.shouldAvoid(m, p.counts.reportedMachines)
}

// hasRoomElsewhere tells whether a member besides the given machine has room for
// a service's replica.
func (p *warmPool) hasRoomElsewhere(job *trackedJob, m *machine, now time.Duration) bool {
	for _, other := range p.members {
		if other != m && p.hasRoomFor(job, other, now) {
			return true
		}
	}
	return false
}

// shouldWaitForImage tells whether a service's replica should rather wait for the
// heartbeat of another member of the zone, which has its image, than have the
// image fetched here: a fetch takes longer than all heartbeats come apart, or the
// other's next one is due within a part of the fetch.
func (p *warmPool) shouldWaitForImage(job *trackedJob, m *machine, now time.Duration) bool {
	if !job.spec.Service || m.hasImage(job.image) {
		return false
	}
	fetch := fetchTime(job.image, p.catalog.Type(m.typeName))
	interval := seconds(p.settings.Workers.HeartbeatIntervalS)
	for _, other := range p.members {
		if other == m || other.zone != m.zone || !other.hasImage(job.image) {
			continue
		}
		if !p.hasRoomFor(job, other, now) || p.exceedsSpread(job, other, now) {
			continue
		}
		if fetch > interval || other.lastHeartbeat+interval-now < fetch/heartbeatWaitDivisor {
			return true
		}
	}
	return false
}

// exceedsSpread tells whether a machine has its part of a service's tasks while
// others of its zone have room too: the loss of one machine should not take most
// of them.
func (p *warmPool) exceedsSpread(job *trackedJob, m *machine, now time.Duration) bool {
	if !job.spec.Service {
		return false
	}
	machines, enough := 1, p.minSpreadPerZone(job.spec.Class)
	for _, other := range p.serviceCapable {
		if machines == enough {
			break
		}
		if other != m && other.zone == m.zone && p.hasRoomFor(job, other, now) {
			machines++
		}
	}
	if machines == 1 {
		return false
	}
	return m.replicasOf(job) >= divideUp(int(job.spec.Tasks), machines)
}

// replicasOf counts the live replicas of a job on a machine, on their way to it
// and in the offers that are being made for it.
func (m *machine) replicasOf(job *trackedJob) int {
	n := 0
	for _, replicas := range [][]replicaOnMachine{m.tasks, m.sentStarts} {
		for i := range replicas {
			if replicas[i].job == job && replicas[i].state != protocol.TaskExited {
				n++
			}
		}
	}
	if m.offeringFor == nil {
		return n
	}
	for _, o := range m.offeringFor.openOffers {
		for _, item := range o.items {
			if item.job == job {
				n += item.count
			}
		}
	}
	return n
}
