package coordination

import (
	"math"
	"time"

	"github.com/cobaltvale/cobaltvale/internal/forecast"
)

// observeArrival tells the forecasts of a job that has just become known. Only
// jobs that should start sooner than a machine boots concern them.
func (l *leader) observeArrival(j *trackedJob, now time.Duration) {
	l.warmPool.classSeen(j.spec.Class)
	age := time.Duration(l.wallMs()-j.spec.SubmittedMs) * time.Millisecond
	submitted := now - max(0, age)
	if j.spec.Service {
		l.warmPool.observe(j, submitted)
		return
	}
	objective := forecast.StartObjectiveOf(l.env.settings.Objectives, j.spec.Class)
	if objective.Share == 0 || l.forecast.Full() {
		return
	}
	kind, ok := l.kinds.best(kindQuery{job: j, now: now})
	if !ok {
		return
	}
	machineType := l.env.cloud.Type(kind.typeName)
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
		MeanRunTime:  func() time.Duration { return l.runTimes.Mean(estimateTaskOf(spec)) },
	})
}

// arrivalObservationTime is for how long a leader elected at a time counts as having
// seen arrivals: somewhat longer than it has, so that the first few don't make a
// high rate.
func arrivalObservationTime(electedAt, now time.Duration) time.Duration {
	return now - electedAt + observationTime
}
