package forecast

import (
	"math"
	"time"
)

const (
	// ServiceWindow is how long the arrival of a service counts when the largest
	// recent service of its kind is determined.
	ServiceWindow = 10 * time.Minute

	// slowBootFactor is the ratio of a slow boot's duration to the usual boot time.
	slowBootFactor = 1.5
)

// ServiceArrivals holds the recent arrivals of services whose replicas need the same
// resources of a machine.
type ServiceArrivals struct {
	arrivals []serviceArrival
}

type serviceArrival struct {
	at       time.Duration // time of submission, on the clock of now in the methods
	replicas int
}

// ServiceDemand is the expected demand of services of one kind.
type ServiceDemand struct {
	LargestReplicas  float64 // of the largest service within the last ServiceWindow
	RequiredReplicas float64 // for which capacity should be free
}

// Observe records a service that was submitted at a time. Beyond maxArrivals recorded
// arrivals it does nothing.
func (s *ServiceArrivals) Observe(at time.Duration, replicas int) {
	if len(s.arrivals) < maxArrivals {
		s.arrivals = append(s.arrivals, serviceArrival{at, replicas})
	}
}

// Expire removes the arrivals that are older than ServiceWindow and reports whether
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

// Demand returns the replicas for which running machines should have free capacity:
// those of the largest service, plus those expected to arrive while a machine boots
// slowly, with a margin of randomDeviations standard deviations for random variation.
// observed is how long arrivals have been recorded, bootSeconds the usual boot time.
func (s *ServiceArrivals) Demand(now, observed time.Duration, bootSeconds float64) ServiceDemand {
	largest, sum, squares := 0.0, 0.0, 0.0
	for _, a := range s.arrivals {
		count := float64(a.replicas)
		largest = math.Max(largest, count)
		if now-a.at <= ArrivalWindow {
			sum += count
			squares += count * count
		}
	}
	bootShare := bootSeconds * slowBootFactor / spanSeconds(observed)
	return ServiceDemand{
		LargestReplicas:  largest,
		RequiredReplicas: largest + sum*bootShare + randomDeviations*math.Sqrt(squares*bootShare),
	}
}
