package coordination

import (
	"time"

	"github.com/cobaltvale/cobaltvale/internal/protocol"
	"github.com/cobaltvale/cobaltvale/internal/protocol/meshpb"
)

// minMachinesForJobFault is the number of machines on which a job must have failed for
// its failures to count as the job's own fault.
const minMachinesForJobFault = 3

// placement holds the rules by which tasks may be placed on machines. It owns no
// state: it reads jobs and machines, and changes neither.
type placement struct {
	catalog         catalog
	kinds           *kindSelector
	warmPool        *warmPool
	counts          *fleetCounts // read-only; the autoscaler updates it
	withinTeamLimit func(*trackedJob) bool
	runTime         func(*meshpb.JobSummary) time.Duration
}

// canOffer reports whether a machine's free resources may be offered to a task of a job.
func (p *placement) canOffer(job *trackedJob, m *machine, free resources, now time.Duration) bool {
	if job.unoffered() == 0 || !free.fits(job.spec) || job.shouldAvoid(m, p.counts.reportedMachines) || !p.withinTeamLimit(job) {
		return false
	}
	if m.reservedFor != nil && m.reservedFor != job {
		return false
	}
	if m.inWarmPool && !job.spec.Service {
		return false
	}
	if p.warmPool.exceedsSpread(job, m, now) || p.warmPool.shouldWaitForImage(job, m, now) {
		return false
	}
	if !m.spot && m.empty() && !job.isUrgent() && job.image.spotCapacityFits(job) {
		// Spot machines, which cost less, have the image and room for all pending tasks of
		// the job. This machine can be released.
		return false
	}
	return m.hasImage(job.image) || p.worthFetching(job, m)
}

// canOfferWhenEmpty reports whether a machine's resources could be offered to a job if
// all of them were free.
func (p *placement) canOfferWhenEmpty(m *machine, job *trackedJob, now time.Duration) bool {
	t := p.catalog.Type(m.typeName)
	if t == nil || !permits(job.spec, m.machineKind) || job.shouldAvoid(m, p.counts.reportedMachines) || p.kinds.reservedForOthers(job, m.typeName, now) {
		return false
	}
	return capacityOf(t).fits(job.spec) && (m.hasImage(job.image) || p.worthFetching(job, m))
}

// worthFetching reports whether a machine should fetch a job's image.
func (p *placement) worthFetching(job *trackedJob, m *machine) bool {
	return worthFetching(job, m, p.catalog.Type(m.typeName), p.runTime(job.spec))
}

// spotCapacityFits reports whether the spot machines that have an image have room, in
// sum, for all of a job's pending tasks.
func (im *image) spotCapacityFits(job *trackedJob) bool {
	n := float64(job.unoffered())
	return n*job.spec.Cpus <= im.spotFree.cpus && n*job.spec.Gpus <= im.spotFree.gpus && n*job.spec.MemoryGb <= im.spotFree.memoryGB
}

// shouldAvoid reports whether a job should not start on a machine because it has failed
// there. It returns false once the job has failed on so many machines that the fault is
// its own.
func (j *trackedJob) shouldAvoid(m *machine, reportedMachines int) bool {
	return j.failedMachines[m.name] && !j.failsEverywhere(reportedMachines)
}

// isUrgent reports whether a job may preempt tasks of lower priority.
func (j *trackedJob) isUrgent() bool { return j.priority >= protocol.PriorityUrgent }
