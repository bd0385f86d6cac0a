package coordination

import (
	"math"
	"time"

	"github.com/cobaltvale/cobaltvale/internal/forecast"
	"github.com/cobaltvale/cobaltvale/internal/protocol"
	"github.com/cobaltvale/cobaltvale/internal/protocol/meshpb"
)

// observeArrival tells the forecasts of a job that has just become known. Only
// jobs that should start sooner than a machine boots concern them.
func (l *leader) observeArrival(j *trackedJob, now time.Duration) {
	l.warmPool.classSeen(j.spec.Class)
	age := time.Duration(l.c.env.Wall().UnixMilli()-j.spec.SubmittedMs) * time.Millisecond
	submitted := now - max(0, age)
	if j.spec.Service {
		l.warmPool.observe(j, submitted)
		return
	}
	objective := forecast.StartObjectiveOf(l.c.cfg.Settings.Objectives, j.spec.Class)
	if objective.Share == 0 || l.forecast.Full() {
		return
	}
	kind, ok := l.autoscaler.bestKind(j, now, nil)
	if !ok {
		return
	}
	machineType := l.c.cloud.Type(kind.typeName)
	if machineType.BootS <= objective.WithinS {
		return
	}
	spec := j.spec
	l.forecast.Observe(forecast.Arrival{
		At:           submitted,
		MachineType:  kind.typeName,
		Machines:     math.Ceil(float64(spec.Tasks) / math.Max(1, tasksPerMachine(machineType, spec))),
		FetchSeconds: fetchTime(j.image, machineType).Seconds(),
		StartShare:   objective.Share,
		MeanRunTime:  func() time.Duration { return l.runTimes.Mean(estimatedTask(spec)) },
	})
}

// arrivalsObserved is for how long a leader elected at a time counts as having
// seen arrivals: somewhat longer than it has, so that the first few don't make a
// high rate.
func arrivalsObserved(electedAt, now time.Duration) time.Duration {
	return now - electedAt + observationTime
}

// tasksPerMachine is how many tasks of a job a machine holds at once.
func tasksPerMachine(t *protocol.MachineType, s *meshpb.JobSummary) float64 {
	n := math.Inf(1)
	for _, r := range []struct{ capacity, request float64 }{{t.CPUs, s.Cpus}, {t.GPUs, s.Gpus}, {t.MemoryGB, s.MemoryGb}} {
		if r.request > 0 {
			n = math.Min(n, math.Floor(r.capacity/r.request+1e-9))
		}
	}
	if math.IsInf(n, 1) {
		return 1
	}
	return n
}
