// Package estimate learns how long tasks run.
//
// It owns, for each class of tasks, what was learnt from those that ended, and
// promises an expectation for every task, also of a class of which nothing is
// known. It is arithmetic only: it has no clock, reads no settings and never
// changes what it is given.
package estimate

import (
	"math"
	"time"
)

// Unbounded stands for the run time of a service's task, which does not end by
// itself.
const Unbounded = 24 * time.Hour

const (
	sampleDecay     = 0.998 // what each sample leaves of the weight of those before
	minSampleWeight = 5     // weight below which a class's samples are not used
	minLogVariance  = 1e-6  // of the estimates' logarithms, below which no slope is fitted
)

// Task is what the run time of a task is expected by.
type Task struct {
	Class     string
	EstimateS float64 // the user's estimate in seconds; 0: none
	Service   bool    // runs until it is cancelled
}

// RunTimes is what was learnt, by class. The zero value has learnt nothing.
type RunTimes struct {
	classes map[string]*samples
}

// samples are the decayed sums of a class's samples. A sample is a pair of the
// logarithms of the user's estimate, x, and of the time that the task took, y.
type samples struct {
	weight, sumX, sumY, sumXX, sumXY float64
	sumRunTimeS                      float64 // seconds
}

// Expected is the expected run time of a task: its user's estimate, corrected by
// a straight line through the logarithms of the estimates and run times of its
// class. Where estimates are wild the line is flat, and the class's usual time
// counts.
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

// Mean is how long a task of a class runs on average, or what is expected of the
// given one while that is not known.
func (r *RunTimes) Mean(t Task) time.Duration {
	if t.Service {
		return Unbounded
	}
	if s := r.classes[t.Class]; s != nil && s.weight >= minSampleWeight {
		return seconds(s.sumRunTimeS / s.weight)
	}
	return r.Expected(t)
}

// Observe takes in how long a task ran that ended well. One without an estimate
// is left out.
func (r *RunTimes) Observe(t Task, took time.Duration) {
	if t.EstimateS <= 0 || took <= 0 {
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
	s.add(t.EstimateS, took.Seconds())
}

func (s *samples) add(estimateS, tookS float64) {
	x, y := math.Log(estimateS), math.Log(tookS)
	s.weight = s.weight*sampleDecay + 1
	s.sumX = s.sumX*sampleDecay + x
	s.sumY = s.sumY*sampleDecay + y
	s.sumXX = s.sumXX*sampleDecay + x*x
	s.sumXY = s.sumXY*sampleDecay + x*y
	s.sumRunTimeS = s.sumRunTimeS*sampleDecay + tookS
}

// expected fits the line and reads it at an estimate. Its slope stays between
// 0, where estimates say nothing, and 1, where they are off by a factor.
func (s *samples) expected(estimateS float64) time.Duration {
	meanX, meanY := s.sumX/s.weight, s.sumY/s.weight
	slope := 1.0
	if variance := s.sumXX/s.weight - meanX*meanX; variance > minLogVariance {
		slope = math.Min(1, math.Max(0, (s.sumXY/s.weight-meanX*meanY)/variance))
	}
	return seconds(math.Exp(meanY + slope*(math.Log(estimateS)-meanX)))
}

func seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }
