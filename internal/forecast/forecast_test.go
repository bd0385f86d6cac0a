package forecast_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/cobaltvale/cobaltvale/internal/forecast"
	"github.com/cobaltvale/cobaltvale/internal/settings"
)

const observed = time.Hour // time for which arrivals have been recorded: longer than the window

func arrivalAt(at time.Duration) forecast.Arrival {
	return forecast.Arrival{At: at, MachineType: "m4", Machines: 2, FetchSeconds: 10, StartShare: 0.95,
		MeanRunTime: func() time.Duration { return 20 * time.Second }}
}

func observe(s *forecast.JobArrivals, n int, every time.Duration) time.Duration {
	for i := range n {
		s.Observe(arrivalAt(time.Duration(i) * every))
	}
	return time.Duration(n-1) * every
}

func TestTooFewArrivalsGiveNoForecast(t *testing.T) {
	var s forecast.JobArrivals
	now := observe(&s, 4, time.Second)
	if got := s.MachinesWanted(now, observed); len(got) != 0 {
		t.Errorf("forecast after 4 arrivals is %v, want none", got)
	}
}

// 15 arrivals in 150 s that each use two machines for 30 s use six on average; the
// margin for random variation is added.
func TestSteadyArrivalsGiveMeanPlusMargin(t *testing.T) {
	var s forecast.JobArrivals
	now := observe(&s, 15, 10*time.Second)
	got := s.MachinesWanted(now, observed)["m4"]
	// The variance is 12, and 1.645 standard deviations cover 95% of the cases.
	if want := 12; got != want {
		t.Errorf("forecast is %d machines, want %d", got, want)
	}
}

func TestExpiredArrivalsAreIgnored(t *testing.T) {
	var s forecast.JobArrivals
	now := observe(&s, 15, 10*time.Second)
	if got := s.MachinesWanted(now+forecast.ArrivalWindow+time.Second, observed); len(got) != 0 {
		t.Errorf("forecast after the window is %v, want none", got)
	}
}

func TestBurstRaisesTheForecast(t *testing.T) {
	var steady, burst forecast.JobArrivals
	now := observe(&steady, 15, 10*time.Second)
	for range 15 {
		burst.Observe(arrivalAt(now - time.Second))
	}
	a, b := steady.MachinesWanted(now, observed)["m4"], burst.MachinesWanted(now, observed)["m4"]
	if b <= a {
		t.Errorf("forecast after a burst is %d machines, want more than the %d after a steady stream", b, a)
	}
}

func TestArrivalsAreBounded(t *testing.T) {
	var s forecast.JobArrivals
	for i := 0; !s.Full(); i++ {
		if i > 1_000_000 {
			t.Fatal("1,000,000 arrivals were recorded without reaching a bound")
		}
		s.Observe(arrivalAt(0))
	}
	before := s.MachinesWanted(0, observed)["m4"]
	s.Observe(arrivalAt(0))
	if after := s.MachinesWanted(0, observed)["m4"]; after != before {
		t.Errorf("an arrival beyond the bound changed the forecast from %d to %d", before, after)
	}
}

func TestServiceDemand(t *testing.T) {
	const boot = 100.0 // seconds; a slow boot takes the whole window
	for _, test := range []struct {
		name string
		at   time.Duration // of the one arrival, of four replicas
		now  time.Duration
		want forecast.ServiceDemand
	}{
		{"within the window, arrivals during a boot are added", 0, time.Second, forecast.ServiceDemand{LargestReplicas: 4, RequiredReplicas: 4 + 4 + 2*4}},
		{"after the window, only the largest counts", 0, forecast.ArrivalWindow + time.Second, forecast.ServiceDemand{LargestReplicas: 4, RequiredReplicas: 4}},
	} {
		t.Run(test.name, func(t *testing.T) {
			var s forecast.ServiceArrivals
			s.Observe(test.at, 4)
			if got := s.Demand(test.now, observed, boot); got != test.want {
				t.Errorf("demand %+v, want %+v", got, test.want)
			}
		})
	}
}

func TestServicesExpire(t *testing.T) {
	var s forecast.ServiceArrivals
	s.Observe(0, 1)
	if !s.Expire(forecast.ServiceWindow) {
		t.Error("no arrival is left at the end of the window, want 1")
	}
	if s.Expire(forecast.ServiceWindow + 1) {
		t.Error("an arrival is left after the window, want none")
	}
}

// ExampleStartObjectiveOf shows that the objective with the shortest time is used.
func ExampleStartObjectiveOf() {
	objectives := []settings.Objective{
		{Kind: "wait", Class: "render", WithinS: 50, Share: 0.99},
		{Kind: "wait", Class: "render", WithinS: 12, Share: 0.98},
		{Kind: "finished", Class: "render", WithinS: 5, Share: 0.9},
	}
	o := forecast.StartObjectiveOf(objectives, "render")
	fmt.Println(o.Share, o.WithinS)
	// Output: 0.98 12
}
