// Package forecast estimates how many machines future work will need, from the
// arrivals of the last minutes.
//
// It holds these arrivals and does the arithmetic. Arrivals that are independent
// of each other form a Poisson process; the number of machines in use at a time then
// has a mean of rate times work and a variance of rate times work times size, where
// work is machines times holding time and size the machines of one arrival. The package
// reads no clock and makes no decisions: callers record arrivals, request a forecast
// and decide how to act on it.
package forecast

import (
	"math"
	"time"

	"github.com/cobaltvale/cobaltvale/internal/settings"
)

const (
	// ArrivalWindow is the period before now over which the mean arrival rate is measured.
	ArrivalWindow = 150 * time.Second

	maxArrivals = 1024
	// minArrivals is the number of arrivals below which no forecast is made.
	minArrivals = 5
	// recentArrivalWindow is the period before now over which a change of the arrival
	// rate is detected.
	recentArrivalWindow = 40 * time.Second
	// randomDeviations is the number of standard deviations up to which a difference
	// from the mean is attributed to chance.
	randomDeviations = 2.0
)

// objectiveWait is the kind of objectives that limit the time until a job starts.
const objectiveWait = "wait"

// StartObjective requires that a share of a class's jobs starts within a time of
// their submission.
type StartObjective struct {
	Share   float64 // above 0, below 1; 0: the class has no such objective
	WithinS float64 // seconds from the submission
}

// StartObjectiveOf returns a class's start objective. If there are several, it is
// the one with the shortest time.
func StartObjectiveOf(objectives []settings.Objective, class string) StartObjective {
	var least StartObjective
	for _, o := range objectives {
		if o.Kind != objectiveWait || o.Class != class || o.Share <= 0 || o.Share >= 1 {
			continue
		}
		if least.Share == 0 || o.WithinS < least.WithinS {
			least = StartObjective{Share: o.Share, WithinS: o.WithinS}
		}
	}
	return least
}

// Arrival is a job whose start objective is shorter than the boot time of a machine.
type Arrival struct {
	At           time.Duration // time of submission, on the clock of MachinesWanted's now
	MachineType  string        // the type on which its tasks would run
	Machines     float64       // how many of them its tasks fill
	FetchSeconds float64       // time to fetch its image
	StartShare   float64       // the Share of its StartObjective
	// MeanRunTime returns the mean run time of its tasks. It is called for each
	// forecast, because the mean becomes more accurate as more tasks of the class end.
	MeanRunTime func() time.Duration
}

// JobArrivals holds the recent arrivals of jobs with start objectives.
type JobArrivals struct {
	arrivals []Arrival
}

// Full reports whether maxArrivals arrivals are recorded, so that Observe ignores
// further ones until some have expired.
func (s *JobArrivals) Full() bool { return len(s.arrivals) >= maxArrivals }

// Observe records an arrival, unless Full.
func (s *JobArrivals) Observe(a Arrival) {
	if !s.Full() {
		s.arrivals = append(s.arrivals, a)
	}
}

// demand is the sum of the arrivals for one machine type.
type demand struct {
	arrivals, recentArrivals float64 // number within ArrivalWindow and within recentArrivalWindow
	meanMachines, variance   float64 // of the number of machines in use by them
	startShare               float64 // the highest StartShare
}

// requiredMachines returns the number of machines that suffices for the demand in at
// least the share of cases that the objective requires: the startShare quantile of a
// normal distribution with the demand's mean and variance, both scaled to the current
// arrival rate, but at least that mean. spanS is the time over which the arrivals came,
// in seconds.
func (d *demand) requiredMachines(spanS float64) int {
	deviations := math.Sqrt2 * math.Erfinv(2*d.startShare-1)
	factor := rateFactor(d.arrivals/spanS, d.recentArrivals)
	return int(math.Ceil(factor*d.meanMachines + math.Max(0, deviations)*math.Sqrt(factor*d.variance)))
}

// MachinesWanted returns how many machines of each type should be running, whether or
// not there is work for them now. Types with fewer than minArrivals arrivals are left
// out. observed is how long arrivals have been recorded.
func (s *JobArrivals) MachinesWanted(now, observed time.Duration) map[string]int {
	s.expire(now)
	byType := make(map[string]*demand)
	spanS := spanSeconds(observed)
	for _, a := range s.arrivals {
		d := byType[a.MachineType]
		if d == nil {
			d = &demand{}
			byType[a.MachineType] = d
		}
		d.add(a, now, spanS)
	}
	wanted := make(map[string]int, len(byType))
	for machineType, d := range byType {
		if d.arrivals >= minArrivals {
			wanted[machineType] = d.requiredMachines(spanS)
		}
	}
	return wanted
}

func (d *demand) add(a Arrival, now time.Duration, spanS float64) {
	holdS := a.MeanRunTime().Seconds() + a.FetchSeconds
	d.arrivals++
	if now-a.At <= recentArrivalWindow {
		d.recentArrivals++
	}
	d.meanMachines += a.Machines * holdS / spanS
	d.variance += a.Machines * a.Machines * holdS / spanS
	d.startShare = math.Max(d.startShare, a.StartShare)
}

// expire removes the arrivals that are older than ArrivalWindow.
func (s *JobArrivals) expire(now time.Duration) {
	recent := s.arrivals[:0]
	for _, a := range s.arrivals {
		if now-a.At <= ArrivalWindow {
			recent = append(recent, a)
		}
	}
	s.arrivals = recent
}

// spanSeconds returns the time, in seconds, over which the arrivals within ArrivalWindow
// came: less than the window if arrivals have been recorded for less.
func spanSeconds(observed time.Duration) float64 {
	return math.Min(ArrivalWindow.Seconds(), observed.Seconds())
}

// rateFactor returns the ratio of the current arrival rate to the mean rate, given in
// arrivals per second. recent is the number of arrivals within recentArrivalWindow. The
// ratio differs from 1 only as far as recent differs from the mean by more than is
// attributed to chance.
func rateFactor(rate, recent float64) float64 {
	spanS := recentArrivalWindow.Seconds()
	margin := randomDeviations * math.Sqrt(recent)
	return math.Min((recent+margin+1)/spanS, math.Max((recent-margin)/spanS, rate)) / rate
}
