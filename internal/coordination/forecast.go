package coordination

import (
	"math"
	"time"

	"github.com/cobaltvale/cobaltvale/internal/protocol"
	"github.com/cobaltvale/cobaltvale/internal/protocol/meshpb"
)

const (
	forecastWindow   = 150 * time.Second // arrivals that the forecast goes by
	maxArrivals      = 1024
	minArrivals      = 5                // below that nothing is forecast
	recentWindow     = 40 * time.Second // what has changed shows in what came since
	chanceDeviations = 2.0              // standard deviations that chance may account for
)

// arrivalForecast sizes the fleet for classes whose starts the users want sooner than
// a machine boots. What is to come is unknown, but how much came of late says
// how many machines such work holds on average, and how far it swings above
// that: arrivals that know nothing of each other make a Poisson stream, and
// what they hold has a mean of rate times work, and a variance of rate times
// work times size.
type arrivalForecast struct {
	leader   *leader
	arrivals []arrival
}

// arrival is one job of such a class.
type arrival struct {
	at           time.Duration
	machineType  string
	machines     float64 // that its tasks fill
	job          *meshpb.JobSummary
	fetchSeconds float64 // seconds
	startShare   float64 // of starts that the users want in time
}

// observe takes in a new job.
func (f *arrivalForecast) observe(j *trackedJob, now time.Duration) {
	delete(f.leader.warmPool.expectedClasses, j.spec.Class)
	if j.spec.Service {
		f.leader.warmPool.observe(j, now)
		return
	}
	share, within := f.startObjective(j.spec.Class)
	if share == 0 || len(f.arrivals) >= maxArrivals {
		return
	}
	v, ok := f.leader.autoscaler.bestKind(j, now, nil)
	if !ok {
		return
	}
	t := f.leader.c.cloud.Type(v.typeName)
	if t.BootS <= within {
		return
	}
	age := time.Duration(f.leader.c.env.Wall().UnixMilli()-j.spec.SubmittedMs) * time.Millisecond
	f.arrivals = append(f.arrivals, arrival{at: now - max(0, age), machineType: v.typeName, startShare: share,
		machines: math.Ceil(float64(j.spec.Tasks) / math.Max(1, tasksPerMachine(t, j))), job: j.spec, fetchSeconds: fetchTime(j.image, t).Seconds()})
}

// startObjective is the share of a class's starts that the users want within a
// time; of several such aims the one that leaves the least.
func (f *arrivalForecast) startObjective(class string) (share, within float64) {
	for _, o := range f.leader.c.cfg.Settings.Objectives {
		if o.Kind == "wait" && o.Class == class && o.Share > 0 && o.Share < 1 && (share == 0 || o.WithinS < within) {
			share, within = o.Share, o.WithinS
		}
	}
	return share, within
}

// tasksPerMachine is how many of a job's tasks a machine takes at once.
func tasksPerMachine(t *protocol.MachineType, j *trackedJob) float64 {
	n := math.Inf(1)
	for _, r := range [][2]float64{{t.CPUs, j.spec.Cpus}, {t.GPUs, j.spec.Gpus}, {t.MemoryGB, j.spec.MemoryGb}} {
		if r[1] > 0 {
			n = math.Min(n, math.Floor(r[0]/r[1]+1e-9))
		}
	}
	if math.IsInf(n, 1) {
		return 1
	}
	return n
}

// machinesWanted returns how many machines of each type should be there, whether or not
// there is work for them now.
func (f *arrivalForecast) machinesWanted(now time.Duration) map[string]int {
	kept := f.arrivals[:0]
	for _, a := range f.arrivals {
		if now-a.at <= forecastWindow {
			kept = append(kept, a)
		}
	}
	f.arrivals = kept
	type sums struct{ n, late, mean, variance, share float64 }
	by := make(map[string]*sums)
	span := math.Min(forecastWindow.Seconds(), (now - f.leader.electedAt + observationTime).Seconds())
	for _, a := range f.arrivals {
		s := by[a.machineType]
		if s == nil {
			s = &sums{}
			by[a.machineType] = s
		}
		run := f.leader.runTimes.Mean(estimatedTask(a.job)).Seconds() + a.fetchSeconds
		s.n++
		if now-a.at <= recentWindow {
			s.late++
		}
		s.mean += a.machines * run / span
		s.variance += a.machines * a.machines * run / span
		s.share = math.Max(s.share, a.startShare)
	}
	out := make(map[string]int, len(by))
	for typ, s := range by {
		if s.n >= minArrivals {
			z := math.Sqrt2 * math.Erfinv(2*s.share-1)
			f := rateChange(s.n/span, s.late)
			out[typ] = int(math.Ceil(f*s.mean + math.Max(0, z)*math.Sqrt(f*s.variance)))
		}
	}
	return out
}

// rateChange is by how much the rate of arrivals differs by now from what it was
// on average: as far as what came lately goes beyond chance.
func rateChange(rate, late float64) float64 {
	span := recentWindow.Seconds()
	swing := chanceDeviations * math.Sqrt(late)
	return math.Min((late+swing+1)/span, math.Max((late-swing)/span, rate)) / rate
}
