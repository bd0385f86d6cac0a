package coordination

import (
	"time"

	"github.com/cobaltvale/cobaltvale/internal/protocol"
	"github.com/cobaltvale/cobaltvale/internal/protocol/meshpb"
)

// minMachinesForJobFault is on how many machines a job fails before the fault counts as
// its own.
const minMachinesForJobFault = 3

// placement holds the rules by which tasks may be placed on machines. It owns no
// state: it reads what is known of jobs and machines, and changes neither.
type placement struct {
	catalog         catalog
	kinds           *kindSelector
	warmPool        *warmPool
	counts          *fleetCounts // the autoscaler's last count, only read here
	withinTeamLimit func(*trackedJob) bool
	runTime         func(*meshpb.JobSummary) time.Duration
}

// canOffer tells whether a task of a job may be offered a machine's free resources.
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
		return false // the machine can be scaled in: cheaper ones that have the image hold all of it
	}
	return m.hasImage(job.image) || p.worthFetching(job, m)
}

// canOfferWhenEmpty tells whether a job would be offered a machine's resources if
// all of them were free.
func (p *placement) canOfferWhenEmpty(m *machine, job *trackedJob, now time.Duration) bool {
	t := p.catalog.Type(m.typeName)
	if t == nil || !permits(job.spec, m.machineKind) || job.shouldAvoid(m, p.counts.reportedMachines) || p.kinds.reservedForOthers(job, m.typeName, now) {
		return false
	}
	return capacityOf(t).fits(job.spec) && (m.hasImage(job.image) || p.worthFetching(job, m))
}

// worthFetching tells whether a machine should fetch a job's image.
func (p *placement) worthFetching(job *trackedJob, m *machine) bool {
	return worthFetching(job, m, p.catalog.Type(m.typeName), p.runTime(job.spec))
}

// spotCapacityFits tells whether the spot machines that have an image have room
// for all of a job's pending tasks.
func (im *image) spotCapacityFits(job *trackedJob) bool {
	n := float64(job.unoffered())
	return n*job.spec.Cpus <= im.spotFree.cpus && n*job.spec.Gpus <= im.spotFree.gpus && n*job.spec.MemoryGb <= im.spotFree.memoryGB
}

// shouldAvoid tells whether a job has failed on a machine and should rather be
// tried on others, of which there are enough.
func (j *trackedJob) shouldAvoid(m *machine, reportedMachines int) bool {
	return j.failedMachines[m.name] && !j.failsEverywhere(reportedMachines)
}

// isUrgent tells whether a job may preempt tasks of lower priority.
func (j *trackedJob) isUrgent() bool { return j.priority >= protocol.PriorityUrgent }
