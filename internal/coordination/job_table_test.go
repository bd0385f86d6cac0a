package coordination

import (
	"testing"
	"time"

	"github.com/cobaltvale/cobaltvale/internal/protocol/meshpb"
	"github.com/cobaltvale/cobaltvale/internal/settings"
)

// jobTableFixture is a job table with one shard, and the numbers of calls to its callbacks.
type jobTableFixture struct {
	*jobTable
	shard        *shardState
	arrivalCalls int
	pendingCalls int // of onPending
}

func newJobTableFixture() *jobTableFixture {
	usage := newUsageAccounting([]settings.Team{{Name: "red", CPUs: 100}}, machineLeases{})
	f := &jobTableFixture{shard: &shardState{name: "a", owner: &peer{member: "a"}, jobs: make(map[string]*trackedJob)}}
	f.jobTable = &jobTable{
		byID: make(map[string]*trackedJob), images: &imageTable{}, usage: &usage,
		onlyFittingType: func(*meshpb.JobSummary) string { return "" },
		onArrival:       func(*trackedJob, time.Duration) { f.arrivalCalls++ },
		onPending:       func() { f.pendingCalls++ },
	}
	return f
}

func redJob(cpus float64, pending, assigned uint32) *meshpb.JobSummary {
	return &meshpb.JobSummary{Job: "wk-1", Team: "red", Cpus: cpus, HasSpec: true, SubmittedMs: 1, Pending: pending, Assigned: assigned}
}

func TestJobSummaries(t *testing.T) {
	f := newJobTableFixture()
	red := f.usage.teams["red"]
	f.apply(f.shard, &meshpb.JobSummary{Job: "wk-1", Pending: 5}, time.Second)
	requireEqual(t, "known before its spec", f.get("wk-1") == nil, true)
	f.apply(f.shard, redJob(2, 3, 1), time.Second)
	job := f.get("wk-1")
	requireEqual(t, "pending", job.unoffered(), 3)
	requireEqual(t, "use of its team", red.cpus, 2)
	requireEqual(t, "arrivals", f.arrivalCalls, 1)
	f.apply(f.shard, &meshpb.JobSummary{Job: "wk-1", Pending: 1, Assigned: 3}, 2*time.Second)
	requireEqual(t, "use after its counts changed", red.cpus, 6)
	requireEqual(t, "reports of pending tasks", f.pendingCalls, 1)
	f.apply(f.shard, redJob(4, 1, 3), 3*time.Second)
	requireEqual(t, "use with another spec", red.cpus, 12)
	requireEqual(t, "arrivals of the same job", f.arrivalCalls, 1)
	f.apply(f.shard, &meshpb.JobSummary{Job: "wk-1", Ended: true}, 4*time.Second)
	requireEqual(t, "use after it has ended", red.cpus, 0)
	requireEqual(t, "jobs of the shard", len(f.shard.jobs), 0)
	f.apply(f.shard, redJob(4, 1, 3), 5*time.Second)
	requireEqual(t, "still ended after a late summary", job.ended, true)
	f.removeTombstones(4*time.Second + tombstoneTTL)
	requireEqual(t, "kept until the TTL", f.get("wk-1") == job, true)
	f.removeTombstones(4*time.Second + tombstoneTTL + 1)
	requireEqual(t, "removed after the TTL", f.get("wk-1") == nil, true)
}

func TestRecordsReportNoArrival(t *testing.T) {
	f := newJobTableFixture()
	recovered := redJob(2, 0, 4)
	recovered.SubmittedMs = 0
	f.apply(f.shard, recovered, time.Second)
	requireEqual(t, "arrivals", f.arrivalCalls, 0)
	f.apply(f.shard, redJob(2, 3, 1), 2*time.Second)
	requireEqual(t, "arrivals after its owner has reported it", f.arrivalCalls, 1)
}

func TestOmittedJobReturnsIfItWasBeingCreated(t *testing.T) {
	f := newJobTableFixture()
	f.apply(f.shard, redJob(2, 3, 1), time.Second)
	f.endOmittedJobs(f.shard, 2*time.Second)
	job := f.get("wk-1")
	requireEqual(t, "ended", job.ended, true)
	f.apply(f.shard, &meshpb.JobSummary{Job: "wk-1", Pending: 3}, 3*time.Second)
	requireEqual(t, "ended after a summary without spec", job.ended, true)
	f.apply(f.shard, redJob(2, 3, 1), 4*time.Second)
	requireEqual(t, "ended after its spec", job.ended, false)
	requireEqual(t, "pending", job.unoffered(), 3)
}
