package forecast

import (
	"math"
	"time"
)

const (
	// ServiceWindow is for how long a service's arrival counts for the largest of
	// its like.
	ServiceWindow = 10 * time.Minute

	// slowBootFactor is how many times the usual boot time one may take.
	slowBootFactor = 1.5
)

// Services holds the recent arrivals of services that need the same of a machine.
type ServiceArrivals struct {
	arrivals []serviceArrival
}

type serviceArrival struct {
	at       time.Duration
	replicas int
}

// ServiceDemand is what services of one kind are expected to need.
type ServiceDemand struct {
	LargestReplicas  float64 // replicas of the largest within ServiceWindow
	RequiredReplicas float64 // that room should be free for
}

// Observe takes in a service that was submitted at a time.
func (s *ServiceArrivals) Observe(at time.Duration, replicas int) {
	if len(s.arrivals) < maxArrivals {
		s.arrivals = append(s.arrivals, serviceArrival{at, replicas})
	}
}

// Expire drops the arrivals that are older than ServiceWindow and tells whether
// any are left.
func (s *ServiceArrivals) Expire(now time.Duration) bool {
	recent := s.arrivals[:0]
	for _, a := range s.arrivals {
		if now-a.at <= ServiceWindow {
			recent = append(recent, a)
		}
	}
	s.arrivals = recent
	return len(recent) > 0
}

// Demand returns the replicas that should find room on machines that are there:
// those of the largest service, and those that arrive while a machine boots,
// with as much above their mean as chance may account for. observed is for how
// long arrivals have been seen, bootSeconds the usual boot time.
func (s *ServiceArrivals) Demand(now, observed time.Duration, bootSeconds float64) ServiceDemand {
	largest, sum, squares := 0.0, 0.0, 0.0
	for _, a := range s.arrivals {
		n := float64(a.replicas)
		largest = math.Max(largest, n)
		if now-a.at <= ArrivalWindow {
			sum += n
			squares += n * n
		}
	}
	boots := bootSeconds * slowBootFactor / spanSeconds(observed)
	return ServiceDemand{
		LargestReplicas:  largest,
		RequiredReplicas: largest + sum*boots + randomDeviations*math.Sqrt(squares*boots),
	}
}
