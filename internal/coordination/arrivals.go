package coordination

import (
	"math"
	"time"

	"github.com/cobaltvale/cobaltvale/internal/forecast"
)

// observeArrival reports a job that has just become known to the forecasts: services to
// the warm pool, and of the other jobs those that should start sooner than a machine boots
// to the forecast of machines.
func (l *leader) observeArrival(j *trackedJob, now time.Duration) {
	l.warmPool.recordClass(j.spec.Class)
	age := time.Duration(l.wallMs()-j.spec.SubmittedMs) * time.Millisecond
	submitted := now - max(0, age)
	if j.spec.Service {
		l.warmPool.observeService(j, submitted)
		return
	}
	objective := forecast.StartObjectiveOf(l.env.settings.Objectives, j.spec.Class)
	if objective.Share == 0 || l.forecast.Full() {
		return
	}
	kind, ok := l.kinds.bestKind(kindQuery{job: j, now: now})
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

// arrivalObservationTime is the time for which a leader elected at a time is assumed to
// have observed arrivals. It is longer by fleetObservationTime than the actual time, so that
// the first few arrivals do not yield a high rate.
func arrivalObservationTime(electedAt, now time.Duration) time.Duration {
	return now - electedAt + fleetObservationTime
}
