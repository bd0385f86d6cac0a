package estimate

import (
	"testing"
	"time"
)

const tolerance = 100 * time.Millisecond // needed because later samples weigh slightly more

func withinTolerance(got, want time.Duration) bool {
	return got > want-tolerance && got < want+tolerance
}

type sample struct {
	estimateS float64 // seconds
	took      time.Duration
}

func observe(r *RunTimes, class string, samples ...sample) {
	for range 10 {
		for _, s := range samples {
			r.Observe(Task{Class: class, EstimateS: s.estimateS}, s.took)
		}
	}
}

func TestExpectedRunTime(t *testing.T) {
	var runTimes RunTimes
	observe(&runTimes, "doubles", sample{10, 20 * time.Second}, sample{100, 200 * time.Second})
	observe(&runTimes, "uncorrelated", sample{10, 200 * time.Second}, sample{100, 20 * time.Second})
	observe(&runTimes, "constant", sample{30, 12 * time.Second})
	runTimes.Observe(Task{Class: "rare", EstimateS: 10}, time.Hour)
	runTimes.Observe(Task{Class: "unestimated"}, time.Hour)
	for _, c := range []struct {
		name       string
		task       Task
		want, mean time.Duration
	}{
		{"service", Task{Class: "doubles", EstimateS: 10, Service: true}, Unbounded, Unbounded},
		{"unknown class", Task{Class: "new", EstimateS: 15}, 15 * time.Second, 15 * time.Second},
		{"too few samples", Task{Class: "rare", EstimateS: 15}, 15 * time.Second, 15 * time.Second},
		{"samples without estimates", Task{Class: "unestimated", EstimateS: 15}, 15 * time.Second, 15 * time.Second},
		{"no estimate", Task{Class: "doubles"}, 0, 110 * time.Second},
		{"estimates are half", Task{Class: "doubles", EstimateS: 50}, 100 * time.Second, 110 * time.Second},
		{"estimates of one value", Task{Class: "constant", EstimateS: 30}, 12 * time.Second, 12 * time.Second},
	} {
		t.Run(c.name, func(t *testing.T) {
			if got := runTimes.Expected(c.task); !withinTolerance(got, c.want) {
				t.Errorf("expected %v, want %v", got, c.want)
			}
			if got := runTimes.Mean(c.task); !withinTolerance(got, c.mean) {
				t.Errorf("mean %v, want %v", got, c.mean)
			}
		})
	}
	// Where estimates do not correlate with run times, the regression line is flat.
	if a, b := runTimes.Expected(Task{Class: "uncorrelated", EstimateS: 10}), runTimes.Expected(Task{Class: "uncorrelated", EstimateS: 100}); a != b {
		t.Errorf("tasks with uncorrelated estimates are expected to run %v and %v, want equal times", a, b)
	}
}

func TestLaterSamplesWeighMore(t *testing.T) {
	var runTimes RunTimes
	task := Task{Class: "c", EstimateS: 10}
	for range 1000 {
		runTimes.Observe(task, 10*time.Second)
	}
	for range 1000 {
		runTimes.Observe(task, 30*time.Second)
	}
	if got := runTimes.Mean(task); got < 25*time.Second || got > 29*time.Second {
		t.Errorf("mean %v, want between 25 s and 29 s", got)
	}
}
