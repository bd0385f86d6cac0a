package coordination

import (
	"time"

	"github.com/cobaltvale/cobaltvale/internal/protocol"
)

const (
	// spreadMachinesPerZone is the least number of machines of a zone over which the
	// replicas of a service are spread, if as many have room.
	spreadMachinesPerZone = 3
	// promptSpreadMachinesPerZone replaces spreadMachinesPerZone for classes whose tasks
	// should start in less than a heartbeat interval, since the last replica has to wait
	// for the heartbeats of that many machines.
	promptSpreadMachinesPerZone = 2
	// heartbeatWaitDivisor limits the wait for the heartbeat of a machine that has an
	// image: it must be due within the fetch time of the image divided by this.
	heartbeatWaitDivisor = 2
)

// minSpreadPerZone is the least number of machines of a zone over which the replicas of
// a service of a class are spread.
func (p *warmPool) minSpreadPerZone(class string) int {
	if within := p.startObjectiveS(class); within > 0 && within < p.settings.Workers.HeartbeatIntervalS {
		return promptSpreadMachinesPerZone
	}
	return spreadMachinesPerZone
}

// hasRoomFor reports whether a machine could be offered to another replica of a service
// now.
func (p *warmPool) hasRoomFor(job *trackedJob, m *machine, now time.Duration) bool {
	return m.free.fits(job.spec) && permits(job.spec, m.machineKind) && p.schedulable(m, now) && !job.shouldAvoid(m, p.counts.reportedMachines)
}

// hasRoomElsewhere reports whether a machine of the warm pool other than the given one
// has room for a service's replica.
func (p *warmPool) hasRoomElsewhere(job *trackedJob, m *machine, now time.Duration) bool {
	for _, other := range p.poolMachines {
		if other != m && p.hasRoomFor(job, other, now) {
			return true
		}
	}
	return false
}

// shouldWaitForImage reports whether a service's replica should wait for the heartbeat
// of another machine of the warm pool in the zone that has the image, instead of having
// the image fetched by this machine: the fetch takes longer than the heartbeat interval,
// or the other machine's next heartbeat is due within a part of the fetch time.
func (p *warmPool) shouldWaitForImage(job *trackedJob, m *machine, now time.Duration) bool {
	if !job.spec.Service || m.hasImage(job.image) {
		return false
	}
	fetch := fetchTime(job.image, p.catalog.Type(m.typeName))
	interval := seconds(p.settings.Workers.HeartbeatIntervalS)
	for _, other := range p.poolMachines {
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

// exceedsSpread reports whether a machine already has its part of a service's tasks while
// other machines of its zone have room: the loss of one machine should not stop most of
// the tasks.
func (p *warmPool) exceedsSpread(job *trackedJob, m *machine, now time.Duration) bool {
	if !job.spec.Service {
		return false
	}
	machines, minSpread := 1, p.minSpreadPerZone(job.spec.Class)
	for _, other := range p.machinesWithRoom {
		if machines == minSpread {
			break
		}
		if other != m && other.zone == m.zone && p.hasRoomFor(job, other, now) {
			machines++
		}
	}
	if machines == 1 {
		return false
	}
	return m.replicasOf(job) >= ceilDiv(int(job.spec.Tasks), machines)
}

// replicasOf counts the replicas of a job that are live on a machine, were sent to it, or
// are in the offers that are being made for it.
func (m *machine) replicasOf(job *trackedJob) int {
	n := 0
	for _, replicas := range [][]replicaOnMachine{m.tasks, m.sentStarts} {
		for i := range replicas {
			if replicas[i].job == job && replicas[i].state != protocol.TaskExited {
				n++
			}
		}
	}
	if m.offeringResponse == nil {
		return n
	}
	for _, o := range m.offeringResponse.openOffers {
		for _, item := range o.items {
			if item.job == job {
				n += item.count
			}
		}
	}
	return n
}
