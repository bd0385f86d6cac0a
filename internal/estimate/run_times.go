// Package estimate predicts how long tasks run.
//
// It keeps statistics, for each class of tasks, of those that ended, and returns
// an expected run time for every task, also of a class without statistics. It is
// arithmetic only: it has no clock, reads no settings and never changes its
// arguments.
package estimate

import (
	"math"
	"time"
)

// Unbounded is the run time that is assumed for a task of a service, which does
// not end by itself.
const Unbounded = 24 * time.Hour

const (
	sampleDecay     = 0.998 // factor by which each new sample reduces the weight of earlier ones
	minSampleWeight = 5     // total weight below which a class's samples are not used
	minLogVariance  = 1e-6  // variance of the estimates' logarithms below which no slope is fitted
)

// Task describes a task as far as its expected run time depends on it.
type Task struct {
	Class     string
	EstimateS float64 // the user's estimate of the run time, in seconds; 0: none
	Service   bool    // runs until it is cancelled
}

// RunTimes holds the run time statistics of all classes. The zero value is empty.
type RunTimes struct {
	classes map[string]*samples
}

// samples holds exponentially decayed sums over a class's samples. A sample has
// two coordinates: x is the natural logarithm of the user's estimate, y that of the
// run time, both in seconds.
type samples struct {
	weight, sumX, sumY, sumXX, sumXY float64
	sumRunTimeS                      float64 // of the run times themselves, in seconds
}

// Expected returns the expected run time of a task: the user's estimate,
// corrected by a linear regression of the logarithms of the run times of its class
// on those of the estimates. If the estimates do not correlate with the run times,
// the line is flat and yields the typical run time of the class. With too few samples
// the estimate is returned as it is, and without an estimate 0.
func (r *RunTimes) Expected(t Task) time.Duration {
	if t.Service {
		return Unbounded
	}
	s := r.classes[t.Class]
	if s == nil || s.weight < minSampleWeight || t.EstimateS <= 0 {
		return seconds(t.EstimateS)
	}
	return s.expected(t.EstimateS)
}

// Mean returns the average run time of the tasks of t's class, or the expected
// run time of t while the class has too few samples.
func (r *RunTimes) Mean(t Task) time.Duration {
	if t.Service {
		return Unbounded
	}
	if s := r.classes[t.Class]; s != nil && s.weight >= minSampleWeight {
		return seconds(s.sumRunTimeS / s.weight)
	}
	return r.Expected(t)
}

// Observe records the run time of a task that ended successfully. A task without
// an estimate is ignored.
func (r *RunTimes) Observe(t Task, runTime time.Duration) {
	if t.EstimateS <= 0 || runTime <= 0 {
		return
	}
	s := r.classes[t.Class]
	if s == nil {
		s = &samples{}
		if r.classes == nil {
			r.classes = make(map[string]*samples)
		}
		r.classes[t.Class] = s
	}
	s.add(t.EstimateS, runTime.Seconds())
}

func (s *samples) add(estimateS, runTimeS float64) {
	x, y := math.Log(estimateS), math.Log(runTimeS)
	s.weight = s.weight*sampleDecay + 1
	s.sumX = s.sumX*sampleDecay + x
	s.sumY = s.sumY*sampleDecay + y
	s.sumXX = s.sumXX*sampleDecay + x*x
	s.sumXY = s.sumXY*sampleDecay + x*y
	s.sumRunTimeS = s.sumRunTimeS*sampleDecay + runTimeS
}

// expected fits the regression line and evaluates it at an estimate. The slope is
// limited to the range from 0 (estimates do not predict run times) to 1 (estimates are
// off by a constant factor).
func (s *samples) expected(estimateS float64) time.Duration {
	meanX, meanY := s.sumX/s.weight, s.sumY/s.weight
	slope := 1.0
	if variance := s.sumXX/s.weight - meanX*meanX; variance > minLogVariance {
		slope = math.Min(1, math.Max(0, (s.sumXY/s.weight-meanX*meanY)/variance))
	}
	return seconds(math.Exp(meanY + slope*(math.Log(estimateS)-meanX)))
}

func seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }
