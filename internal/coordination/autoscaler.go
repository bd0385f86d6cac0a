package coordination

import (
	"fmt"
	"sort"
	"time"

	"github.com/cobaltvale/cobaltvale/internal/cloud"
	"github.com/cobaltvale/cobaltvale/internal/protocol"
	"github.com/cobaltvale/cobaltvale/internal/storage"
)

const (
	maxMachinesPerRequest = 50  // machines in one request
	maxMachinesPerScaleIn = 100 // names in one request
	capacityBackoff       = 12 * time.Second
	minChargedTime        = 60 * time.Second // what a machine costs at the least
	bootTimeoutFactor     = 3.0              // a boot this many times longer than usual has failed
	bootTimeoutGrace      = 10 * time.Second
	observationTime       = 6 * time.Second // a new leader looks before it rents
	maxScaleOutAttempts   = 20
	listLagFactor         = 4.0  // times the lag that lists are said to have
	queueingSlackShare    = 0.25 // of a deadline's slack that waiting in line may take
)

// scaleOutRequest is repeated under its name until it is answered: a repeated
// request rents nothing more.
type scaleOutRequest struct {
	protocol.ScaleOutRequest
	kind        machineKind
	attempts    int
	inFlight    bool
	nextAttempt time.Duration
}

// autoscaler sizes the fleet.
type autoscaler struct {
	leader           *leader
	requestSequence  int
	refusedUntil     map[machineKind]time.Duration
	requests         []*scaleOutRequest
	blockedUntil     time.Duration // no requests before
	exclusiveNeedAt  map[string]time.Duration
	scaleInsInFlight int // release calls in flight
	machinesPerZone  map[string]int
	partitionedZones map[string]bool     // zones in which so many are silent that it must be a cut
	booting          map[machineKind]int // machines that are to come
	reportedMachines int                 // machines that have reported
	reportedCPUs     float64             // of these
	kinds            []machineKind       // all that can be rented, spot ones first
	machinesPerType  map[string]int      // machines of each type, there or to come
	forecastPerType  map[string]int      // and how many there should be at the least
}

func (r *autoscaler) init(l *leader) {
	r.leader = l
	r.refusedUntil = make(map[machineKind]time.Duration)
	r.exclusiveNeedAt = make(map[string]time.Duration)
}

// onMachineList takes in what a list says of machines that have not reported.
func (r *autoscaler) onMachineList(now time.Duration) {
	for name, e := range r.leader.c.cloud.AllListed() {
		if m := r.leader.machines.get(name); m != nil && m.createdAt == 0 {
			m.createdAt = now - seconds(e.AgeS)
		}
	}
}

func (r *autoscaler) tick(now time.Duration) {
	types := r.leader.c.cloud.Catalog()
	if len(types) == 0 {
		return
	}
	for _, g := range r.leader.shards.byName {
		for _, j := range g.jobs {
			if j.spec != nil && j.pending+j.placed > 0 {
				j.onlyType = r.onlyFittingType(j.spec)
				if j.onlyType != "" {
					r.exclusiveNeedAt[j.onlyType] = now
				}
			}
		}
	}
	r.leader.pendingQueue.dirty = true
	r.leader.rebuildPendingQueue(now)
	r.countMachines(now)
	r.leader.warmPool.resize(now)
	have := r.collectSupply(now)
	shortfalls := r.matchPending(have, now)
	r.scaleIn(now)
	r.sendRequests(now)
	if r.observedLongEnough(now) && now >= r.blockedUntil {
		r.scaleOut(shortfalls, have, now)
	}
}

func (r *autoscaler) bootTimeout(t *protocol.MachineType) time.Duration {
	return seconds(t.BootS*bootTimeoutFactor) + bootTimeoutGrace
}

// scaleOut asks for machines for the waiting tasks that no machine, there or to
// come, has room for.
func (r *autoscaler) scaleOut(shortfalls []shortfall, have map[machineKind][]*supply, now time.Duration) {
	ask := make(map[machineKind]int)
	left := r.maxMachinesPerTick()
	for _, k := range shortfalls {
		j, n := k.job, k.tasks
		var last *supply
		for n > 0 && left > 0 {
			if last != nil && last.free.fits(j.spec) {
				last.free.subtract(j.spec)
				n--
				continue
			}
			if n = r.takeSupply(j, n, have); n == 0 {
				break // what was asked for a job before has room left
			}
			v, ok := r.bestKind(j, now, ask)
			if !ok {
				break
			}
			last = &supply{free: capacityOf(r.leader.c.cloud.Type(v.typeName))}
			have[v] = append(have[v], last)
			ask[v]++
			r.machinesPerType[v.typeName]++
			left--
		}
	}
	r.leader.warmPool.requestMachines(ask, left, now)
	r.scaleOutForForecast(ask, left, now)
	for v, n := range ask {
		for n > 0 {
			k := min(n, maxMachinesPerRequest)
			r.requestSequence++
			r.requests = append(r.requests, &scaleOutRequest{kind: v, ScaleOutRequest: protocol.ScaleOutRequest{
				RequestID: fmt.Sprintf("r-%d-%d", r.leader.fencingToken, r.requestSequence), Type: v.typeName, Zone: v.zone, Spot: v.spot, Count: k}})
			n -= k
		}
	}
	r.sendRequests(now)
}

// maxMachinesPerTick is how many machines can be asked for in a second.
func (r *autoscaler) maxMachinesPerTick() int {
	return maxMachinesPerRequest * max(1, int(cloud.LeaderCallsPerSecond(r.leader.c.cfg.Settings.Cloud.RPS)))
}

// sendRequests sends the requests that wait for an answer.
func (r *autoscaler) sendRequests(now time.Duration) {
	for _, q := range r.requests {
		if q.inFlight || now < q.nextAttempt || now < r.blockedUntil || !r.leader.c.cloud.AllowCall(now) {
			continue
		}
		q.inFlight = true
		q.attempts++
		r.leader.c.env.Cloud.Call("POST", "/hosts", r.leader.c.codec.Encode(q.ScaleOutRequest), cloud.CallTimeout, func(res storage.Response) {
			if r.leader.c.leader == r.leader {
				r.onScaleOutResponse(q, res)
			}
		})
	}
}

func (r *autoscaler) onScaleOutResponse(q *scaleOutRequest, res storage.Response) {
	now := r.leader.c.now()
	q.inFlight = false
	done := true
	switch res.Status {
	case 200:
		var names protocol.MachineNames
		if r.leader.c.codec.Decode(res.Body, &names) != nil {
			break
		}
		for _, n := range names.Machines {
			m := r.leader.machines.add(n)
			if m == nil {
				continue
			}
			if !m.heartbeatSeen {
				m.machineKind = q.kind
			}
			if m.createdAt == 0 {
				m.createdAt = now
			}
		}
		if len(names.Machines) < q.Count {
			r.refusedUntil[q.kind] = now + capacityBackoff
		}
	case 400:
		r.refusedUntil[q.kind] = now + 10*capacityBackoff
		r.leader.c.log.Error().Str("type", q.kind.typeName).Str("zone", q.kind.zone).Msg("cloud calls a rental request malformed")
	case 503:
		var e protocol.ErrorBody
		if r.leader.c.codec.Decode(res.Body, &e) == nil && e.Error == "no capacity" {
			r.refusedUntil[q.kind] = now + capacityBackoff
			break
		}
		r.blockedUntil = now + cloud.RetryDelay
	case 429:
		q.nextAttempt = now + cloud.RetryDelay
		done = false
	default:
		// It may have been carried out: the same name asks what came of it.
		q.nextAttempt = now + cloud.RetryDelay
		done = q.attempts >= maxScaleOutAttempts
	}
	if !done {
		return
	}
	for i, x := range r.requests {
		if x == q {
			r.requests = append(r.requests[:i], r.requests[i+1:]...)
			break
		}
	}
}

// scaleIn returns machines: idle ones, sick and noticed ones once they are
// empty, boots that failed, and silent ones, whose end is proof sooner than
// their lease.
func (r *autoscaler) scaleIn(now time.Duration) {
	var names []string
	for m := range r.leader.machines.all {
		if m.terminated {
			if e, ok := r.leader.c.cloud.Listed(m.name); ok && e.Status == cloud.StatusFailed && !m.terminateInFlight {
				names = append(names, m.name)
			}
			continue
		}
		if !m.terminating && r.shouldScaleIn(m, now) {
			m.terminating = true
		}
		if m.terminating && !m.terminateInFlight && m.pending == nil {
			names = append(names, m.name)
		}
	}
	sort.Strings(names)
	for len(names) > 0 && r.scaleInsInFlight < 2 && now >= r.blockedUntil && r.leader.c.cloud.AllowCall(now) {
		n := min(len(names), maxMachinesPerScaleIn)
		r.sendScaleIn(names[:n])
		names = names[n:]
	}
}

func (r *autoscaler) sendScaleIn(names []string) {
	r.scaleInsInFlight++
	for _, n := range names {
		r.leader.machines.get(n).terminateInFlight = true
	}
	r.leader.c.env.Cloud.Call("POST", "/hosts/release", r.leader.c.codec.Encode(protocol.MachineNames{Machines: names}), cloud.CallTimeout, func(res storage.Response) {
		if r.leader.c.leader != r.leader {
			return
		}
		r.scaleInsInFlight--
		for _, n := range names {
			m := r.leader.machines.get(n)
			if m == nil {
				continue
			}
			if res.Status == 200 {
				r.leader.markTerminated(m)
				continue
			}
			m.terminateInFlight = false
		}
		if res.Status != 200 {
			r.blockedUntil = r.leader.c.now() + cloud.RetryDelay
		}
	})
}

// silenceBeyondLimit is how long beyond the limit a machine has said nothing that shows
// that answers reach it.
func (r *autoscaler) silenceBeyondLimit(m *machine, now time.Duration) time.Duration {
	return now - max(m.lastReachable, r.leader.actingSince) - r.leader.c.silenceAfter()
}

// firstHeartbeatsTime is the time in which machines that are up have reported to a new
// leader. With long report intervals it is more than a boot's grace: machines that
// had not reported by then were taken for failed boots, and returned with their tasks.
func (r *autoscaler) firstHeartbeatsTime() time.Duration {
	return max(bootTimeoutGrace, seconds(heartbeatJitter*r.leader.c.cfg.Settings.Workers.HeartbeatIntervalS)+leaderSearchTime)
}

func (r *autoscaler) shouldScaleIn(m *machine, now time.Duration) bool {
	t := r.leader.c.cloud.Type(m.typeName)
	if r.leader.missingFromCloud(m, now) {
		return true
	}
	if !m.heartbeatSeen {
		// A boot that failed is charged until it is returned.
		return t != nil && m.createdAt != 0 && now-m.createdAt > r.bootTimeout(t) && now-r.leader.electedAt > r.firstHeartbeatsTime()
	}
	if r.runsClosedJob(m, now) {
		return true
	}
	if quiet := r.silenceBeyondLimit(m, now); quiet > 0 {
		if r.missingFromList(m) {
			return true
		}
		if now-m.lastHeartbeat <= r.leader.c.silenceAfter() {
			// It reports, but nothing shows that answers arrive. Most such
			// machines only try one controller after another and are well in a
			// moment; with its lease a deaf one loses its tasks anyhow.
			return quiet > r.leader.c.workerLeaseTimeout()
		}
		if !r.partitionedZones[m.zone] {
			return len(m.tasks)+len(m.sentStarts) > 0 || quiet > r.leader.c.workerLeaseTimeout()
		}
		return quiet > r.leader.c.workerLeaseTimeout()+r.replacementTime(m, t)
	}
	if !m.empty() {
		return false
	}
	if m.quarantined || m.reclaimAt > 0 {
		return true
	}
	idle := r.leader.c.tuning.IdleBeforeScaleIn
	if !m.spot {
		idle /= 2 // it costs several times as much
	}
	if m.needed || m.inWarmPool || now-m.idleSince <= idle || now-m.createdAt <= minChargedTime || (m.spot && r.machinesPerType[m.typeName] <= r.forecastPerType[m.typeName]) {
		return false
	}
	r.machinesPerType[m.typeName]--
	return true
}

// missingFromList tells whether the cloud's list lacks a machine that it should have by
// now: most likely it was taken away without a word. That is no proof, since
// lists may be older than is said; but returning it is, sooner than its lease.
func (r *autoscaler) missingFromList(m *machine) bool {
	c := r.leader.c
	if _, ok := c.cloud.Listed(m.name); ok || m.createdAt == 0 || c.cloud.ListedAt() <= max(m.lastHeartbeat, r.leader.electedAt) {
		return false
	}
	return c.cloud.ListedAt()-m.createdAt > seconds(listLagFactor*c.cfg.Settings.Cloud.ListLagS)
}

// replacementTime is how long a machine that is rented now would take to be what a
// silent one is: it boots and fetches what that has cached and work waits for.
// When many fall silent together they are most likely cut off, and so long they
// are cheaper to wait for than to replace.
func (r *autoscaler) replacementTime(m *machine, t *protocol.MachineType) time.Duration {
	if t == nil {
		return 0
	}
	in := seconds(t.BootS)
	for i := range m.images {
		if im := m.images[i].image; im.hasPending {
			in = max(in, seconds(t.BootS)+fetchTime(im, t))
		}
	}
	return in
}

// runsClosedJob tells whether a machine still holds a task of a job that was over
// long ago, although every answer to it asks for the task's end: whatever the
// cause, returning the machine ends the task in time (ran_cancelled).
func (r *autoscaler) runsClosedJob(m *machine, now time.Duration) bool {
	limit := seconds(r.leader.c.cfg.Settings.Workers.CancelS / 3)
	for i := range m.tasks {
		t := &m.tasks[i]
		if t.state != protocol.TaskExited && t.job != nil && t.job.ended && now-t.job.endedAt > limit {
			return true
		}
	}
	return false
}
