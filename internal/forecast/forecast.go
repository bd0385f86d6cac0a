// Package forecast estimates how many machines work that has not arrived yet
// will need, from the arrivals of the last minutes.
//
// It owns these arrivals and the arithmetic. Arrivals that are independent of
// each other form a Poisson process, and what they hold at a time has a mean of
// rate times work and a variance of rate times work times size. The package
// reads no clock and decides nothing: callers say what arrived, ask for an
// estimate, and choose what to do about it.
package forecast

import (
	"math"
	"time"

	"github.com/cobaltvale/cobaltvale/internal/settings"
)

const (
	// Window is how far back arrivals count for the mean rate.
	ArrivalWindow = 150 * time.Second

	maxArrivals = 1024
	// minArrivals is how many arrivals a forecast takes; with fewer there is none.
	minArrivals = 5
	// recentArrivalWindow is how far back arrivals count for a change of the rate.
	recentArrivalWindow = 40 * time.Second
	// randomDeviations is how many standard deviations chance may account for.
	randomDeviations = 2.0
)

// objectiveWait is the kind of objectives that want a job's start within a time.
const objectiveWait = "wait"

// StartObjective is the share of a class's jobs that the users want started
// within a time.
type StartObjective struct {
	Share   float64 // above 0, below 1; 0: the class has no such objective
	WithinS float64 // seconds from the submission
}

// StartObjectiveOf returns a class's start objective, the one that leaves the
// least time if there are several.
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

// Arrival is a job whose start is wanted sooner than a machine boots.
type Arrival struct {
	At           time.Duration // when it was submitted
	MachineType  string        // that its tasks would get
	Machines     float64       // that its tasks fill
	FetchSeconds float64       // that its image takes to fetch
	StartShare   float64       // see StartObjective
	// MeanRunTime is asked at each forecast, since it is better known as more
	// tasks of the class end.
	MeanRunTime func() time.Duration
}

// Starts holds the recent arrivals of jobs with start objectives.
type JobArrivals struct {
	arrivals []Arrival
}

// Full tells whether no more arrivals are taken for now.
func (s *JobArrivals) Full() bool { return len(s.arrivals) >= maxArrivals }

// Observe takes an arrival in.
func (s *JobArrivals) Observe(a Arrival) {
	if !s.Full() {
		s.arrivals = append(s.arrivals, a)
	}
}

// demand sums up the arrivals for one type of machine.
type demand struct {
	arrivals, recentArrivals float64 // how many, and how many of them within recentArrivalWindow
	meanMachines, variance   float64 // of the machines that they hold
	startShare               float64 // the highest StartShare
}

// machines is how many machines suffice for the demand in all but the share of
// cases that the objective allows to be late.
func (d *demand) requiredMachines(span float64) int {
	deviations := math.Sqrt2 * math.Erfinv(2*d.startShare-1)
	change := rateFactor(d.arrivals/span, d.recentArrivals)
	return int(math.Ceil(change*d.meanMachines + math.Max(0, deviations)*math.Sqrt(change*d.variance)))
}

// MachinesWanted returns how many machines of each type should be there,
// whether or not there is work for them now. observed is for how long arrivals
// have been seen.
func (s *JobArrivals) MachinesWanted(now, observed time.Duration) map[string]int {
	s.expire(now)
	byType := make(map[string]*demand)
	span := spanSeconds(observed)
	for _, a := range s.arrivals {
		d := byType[a.MachineType]
		if d == nil {
			d = &demand{}
			byType[a.MachineType] = d
		}
		d.add(a, now, span)
	}
	wanted := make(map[string]int, len(byType))
	for machineType, d := range byType {
		if d.arrivals >= minArrivals {
			wanted[machineType] = d.requiredMachines(span)
		}
	}
	return wanted
}

func (d *demand) add(a Arrival, now time.Duration, span float64) {
	hold := a.MeanRunTime().Seconds() + a.FetchSeconds
	d.arrivals++
	if now-a.At <= recentArrivalWindow {
		d.recentArrivals++
	}
	d.meanMachines += a.Machines * hold / span
	d.variance += a.Machines * a.Machines * hold / span
	d.startShare = math.Max(d.startShare, a.StartShare)
}

// expire drops the arrivals that are older than Window.
func (s *JobArrivals) expire(now time.Duration) {
	recent := s.arrivals[:0]
	for _, a := range s.arrivals {
		if now-a.At <= ArrivalWindow {
			recent = append(recent, a)
		}
	}
	s.arrivals = recent
}

// spanSeconds is the time, in seconds, over which the arrivals within Window came.
func spanSeconds(observed time.Duration) float64 {
	return math.Min(ArrivalWindow.Seconds(), observed.Seconds())
}

// rateFactor is by what factor the present rate of arrivals differs from the
// mean rate, in arrivals a second: as far as the recent ones go beyond chance.
func rateFactor(rate, recent float64) float64 {
	span := recentArrivalWindow.Seconds()
	swing := randomDeviations * math.Sqrt(recent)
	return math.Min((recent+swing+1)/span, math.Max((recent-swing)/span, rate)) / rate
}
