package coordination

import (
	"math"
	"time"

	"github.com/cobaltvale/cobaltvale/internal/forecast"
)

// observeArrival updates the forecasts when a job becomes known. A service counts in the warm
// pool's forecast; another job counts in the forecast of machines if it should start sooner
// than a machine boots.
func (l *leader) observeArrival(job *trackedJob, now time.Duration) {
	l.warmPool.recordClass(job.spec.Class)
	age := time.Duration(l.wallMs()-job.spec.SubmittedMs) * time.Millisecond
	submitted := now - max(0, age)
	if job.spec.Service {
		l.warmPool.observeService(job, submitted)
		return
	}
	objective := forecast.StartObjectiveOf(l.env.settings.Objectives, job.spec.Class)
	if objective.Share == 0 || l.forecast.Full() {
		return
	}
	kind, ok := l.kinds.bestKind(kindQuery{job: job, now: now})
	if !ok {
		return
	}
	machineType := l.env.cloud.Type(kind.typeName)
	if machineType.BootS <= objective.WithinS {
		return
	}
	spec := job.spec
	l.forecast.Observe(forecast.Arrival{
		At:           submitted,
		MachineType:  kind.typeName,
		Machines:     math.Ceil(float64(spec.Tasks) / math.Max(1, tasksPerMachine(machineType, spec))),
		FetchSeconds: fetchTime(job.image, machineType).Seconds(),
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
