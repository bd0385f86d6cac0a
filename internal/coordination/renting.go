package coordination

import (
	"fmt"
	"sort"
	"time"

	"github.com/cobaltvale/cobaltvale/internal/protocol"
	"github.com/cobaltvale/cobaltvale/internal/storage"
)

const (
	maxRent      = 50  // machines in one request
	maxRelease   = 100 // names in one request
	refusedPause = 12 * time.Second
	minCharge    = 60 * time.Second // what a machine costs at the least
	bootFactor   = 3.0              // a boot this many times longer than usual has failed
	bootGrace    = 10 * time.Second
	settleIn     = 6 * time.Second // a new leader looks before it rents
	rentTries    = 20
	listDoubt    = 4.0  // times the lag that lists are said to have
	waveShare    = 0.25 // of a deadline's slack that waiting in line may take
)

// rentRequest is repeated under its name until it is answered: a repeated
// request rents nothing more.
type rentRequest struct {
	protocol.ScaleOutRequest
	v     variant
	tries int
	busy  bool
	next  time.Duration
}

// renting sizes the fleet.
type renting struct {
	l        *leader
	seq      int
	refused  map[variant]time.Duration
	requests []*rentRequest
	trouble  time.Duration // no requests before
	needs    map[string]time.Duration
	busy     int // release calls in flight
	inZone   map[string]int
	cutOff   map[string]bool // zones in which so many are silent that it must be a cut
	booting  map[variant]int // machines that are to come
	there    int             // machines that have reported
	cpus     float64         // of these
	variants []variant       // all that can be rented, spot ones first
	ofType   map[string]int  // machines of each type, there or to come
	warm     map[string]int  // and how many there should be at the least
}

func (r *renting) init(l *leader) {
	r.l = l
	r.refused = make(map[variant]time.Duration)
	r.needs = make(map[string]time.Duration)
}

// onList takes in what a list says of machines that have not reported.
func (r *renting) onList(now time.Duration) {
	for name, e := range r.l.c.fleet.listed {
		if m := r.l.machines.get(name); m != nil && m.rentedAt == 0 {
			m.rentedAt = now - seconds(e.AgeS)
		}
	}
}

func (r *renting) tick(now time.Duration) {
	types := r.l.c.fleet.types
	if len(types) == 0 {
		return
	}
	for _, g := range r.l.ledgers {
		for _, j := range g.jobs {
			if j.spec != nil && j.waiting+j.located > 0 {
				j.only = r.onlyType(j.spec)
				if j.only != "" {
					r.needs[j.only] = now
				}
			}
		}
	}
	r.l.demand.stale = true
	r.l.arrange(now)
	r.count(now)
	r.l.standby.weigh(now)
	have := r.supplies(now)
	shortfalls := r.match(have, now)
	r.release(now)
	r.resend(now)
	if r.settled(now) && now >= r.trouble {
		r.rent(shortfalls, have, now)
	}
}

func (r *renting) bootLimit(t *protocol.MachineType) time.Duration {
	return seconds(t.BootS*bootFactor) + bootGrace
}

// rent asks for machines for the waiting tasks that no machine, there or to
// come, has room for.
func (r *renting) rent(shortfalls []shortfall, have map[variant][]*supply, now time.Duration) {
	ask := make(map[variant]int)
	left := r.perTick()
	for _, k := range shortfalls {
		j, n := k.job, k.n
		var last *supply
		for n > 0 && left > 0 {
			if last != nil && last.room.fits(j.spec) {
				last.room.take(j.spec)
				n--
				continue
			}
			if n = r.place(j, n, have); n == 0 {
				break // what was asked for a job before has room left
			}
			v, ok := r.best(j, now, ask)
			if !ok {
				break
			}
			last = &supply{room: capacityOf(r.l.c.fleet.types[v.typ])}
			have[v] = append(have[v], last)
			ask[v]++
			r.ofType[v.typ]++
			left--
		}
	}
	r.l.standby.ask(ask, left, now)
	r.keepWarm(ask, left, now)
	for v, n := range ask {
		for n > 0 {
			k := min(n, maxRent)
			r.seq++
			r.requests = append(r.requests, &rentRequest{v: v, ScaleOutRequest: protocol.ScaleOutRequest{
				RequestID: fmt.Sprintf("r-%d-%d", r.l.token, r.seq), Type: v.typ, Zone: v.zone, Spot: v.spot, Count: k}})
			n -= k
		}
	}
	r.resend(now)
}

// perTick is how many machines can be asked for in a second.
func (r *renting) perTick() int {
	return maxRent * max(1, int(r.l.c.cfg.Settings.Cloud.RPS*leaderShare))
}

// resend sends the requests that wait for an answer.
func (r *renting) resend(now time.Duration) {
	for _, q := range r.requests {
		if q.busy || now < q.next || now < r.trouble || !r.l.c.fleet.allow(now) {
			continue
		}
		q.busy = true
		q.tries++
		r.l.c.env.Cloud.Call("POST", "/hosts", r.l.c.codec.Encode(q.ScaleOutRequest), cloudTimeout, func(res storage.Response) {
			if r.l.c.leader == r.l {
				r.answered(q, res)
			}
		})
	}
}

func (r *renting) answered(q *rentRequest, res storage.Response) {
	now := r.l.c.now()
	q.busy = false
	done := true
	switch res.Status {
	case 200:
		var names protocol.MachineNames
		if r.l.c.codec.Decode(res.Body, &names) != nil {
			break
		}
		for _, n := range names.Machines {
			m := r.l.machines.add(n)
			if m == nil {
				continue
			}
			if !m.reported {
				m.variant = q.v
			}
			if m.rentedAt == 0 {
				m.rentedAt = now
			}
		}
		if len(names.Machines) < q.Count {
			r.refused[q.v] = now + refusedPause
		}
	case 400:
		r.refused[q.v] = now + 10*refusedPause
		r.l.c.log.Error().Str("type", q.v.typ).Str("zone", q.v.zone).Msg("cloud calls a rental request malformed")
	case 503:
		var e protocol.ErrorBody
		if r.l.c.codec.Decode(res.Body, &e) == nil && e.Error == "no capacity" {
			r.refused[q.v] = now + refusedPause
			break
		}
		r.trouble = now + cloudRetry
	case 429:
		q.next = now + cloudRetry
		done = false
	default:
		// It may have been carried out: the same name asks what came of it.
		q.next = now + cloudRetry
		done = q.tries >= rentTries
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

// release returns machines: idle ones, sick and noticed ones once they are
// empty, boots that failed, and silent ones, whose end is proof sooner than
// their lease.
func (r *renting) release(now time.Duration) {
	var names []string
	for m := range r.l.machines.all {
		if m.gone {
			if e, ok := r.l.c.fleet.listed[m.name]; ok && e.Status == "failed" && !m.releasing {
				names = append(names, m.name)
			}
			continue
		}
		if !m.leaving && r.unwanted(m, now) {
			m.leaving = true
		}
		if m.leaving && !m.releasing && m.pending == nil {
			names = append(names, m.name)
		}
	}
	sort.Strings(names)
	for len(names) > 0 && r.busy < 2 && now >= r.trouble && r.l.c.fleet.allow(now) {
		n := min(len(names), maxRelease)
		r.send(names[:n])
		names = names[n:]
	}
}

func (r *renting) send(names []string) {
	r.busy++
	for _, n := range names {
		r.l.machines.get(n).releasing = true
	}
	r.l.c.env.Cloud.Call("POST", "/hosts/release", r.l.c.codec.Encode(protocol.MachineNames{Machines: names}), cloudTimeout, func(res storage.Response) {
		if r.l.c.leader != r.l {
			return
		}
		r.busy--
		for _, n := range names {
			m := r.l.machines.get(n)
			if m == nil {
				continue
			}
			if res.Status == 200 {
				r.l.goneForGood(m)
				continue
			}
			m.releasing = false
		}
		if res.Status != 200 {
			r.trouble = r.l.c.now() + cloudRetry
		}
	})
}

// silence is how long beyond the limit a machine has said nothing that shows
// that answers reach it.
func (r *renting) silence(m *machine, now time.Duration) time.Duration {
	return now - max(m.reached, r.l.actingAt) - r.l.c.silenceAfter()
}

// firstReportsTake is the time in which machines that are up have reported to a new
// leader. With long report intervals it is more than a boot's grace: machines that
// had not reported by then were taken for failed boots, and returned with their tasks.
func (r *renting) firstReportsTake() time.Duration {
	return max(bootGrace, seconds(reportVaries*r.l.c.cfg.Settings.Workers.HeartbeatIntervalS)+triesAgain)
}

func (r *renting) unwanted(m *machine, now time.Duration) bool {
	t := r.l.c.fleet.types[m.typ]
	if r.l.vanished(m, now) {
		return true
	}
	if !m.reported {
		// A boot that failed is charged until it is returned.
		return t != nil && m.rentedAt != 0 && now-m.rentedAt > r.bootLimit(t) && now-r.l.since > r.firstReportsTake()
	}
	if r.holdsEnded(m, now) {
		return true
	}
	if quiet := r.silence(m, now); quiet > 0 {
		if r.delisted(m) {
			return true
		}
		if now-m.heard <= r.l.c.silenceAfter() {
			// It reports, but nothing shows that answers arrive. Most such
			// machines only try one controller after another and are well in a
			// moment; with its lease a deaf one loses its tasks anyhow.
			return quiet > r.l.c.leaseSpan()
		}
		if !r.cutOff[m.zone] {
			return len(m.tasks)+len(m.sent) > 0 || quiet > r.l.c.leaseSpan()
		}
		return quiet > r.l.c.leaseSpan()+r.replacedIn(m, t)
	}
	if !m.empty() {
		return false
	}
	if m.sick || m.noticeAt > 0 {
		return true
	}
	idle := r.l.c.tune.IdleBeforeScaleIn
	if !m.spot {
		idle /= 2 // it costs several times as much
	}
	if m.kept || m.standby || now-m.idleSince <= idle || now-m.rentedAt <= minCharge || (m.spot && r.ofType[m.typ] <= r.warm[m.typ]) {
		return false
	}
	r.ofType[m.typ]--
	return true
}

// delisted tells whether the cloud's list lacks a machine that it should have by
// now: most likely it was taken away without a word. That is no proof, since
// lists may be older than is said; but returning it is, sooner than its lease.
func (r *renting) delisted(m *machine) bool {
	f := &r.l.c.fleet
	if _, ok := f.listed[m.name]; ok || m.rentedAt == 0 || f.listedAt <= max(m.heard, r.l.since) {
		return false
	}
	return f.listedAt-m.rentedAt > seconds(listDoubt*f.c.cfg.Settings.Cloud.ListLagS)
}

// replacedIn is how long a machine that is rented now would take to be what a
// silent one is: it boots and fetches what that has cached and work waits for.
// When many fall silent together they are most likely cut off, and so long they
// are cheaper to wait for than to replace.
func (r *renting) replacedIn(m *machine, t *protocol.MachineType) time.Duration {
	if t == nil {
		return 0
	}
	in := seconds(t.BootS)
	for i := range m.images {
		if im := m.images[i].image; im.waits {
			in = max(in, seconds(t.BootS)+fetchTime(im, t))
		}
	}
	return in
}

// holdsEnded tells whether a machine still holds a task of a job that was over
// long ago, although every answer to it asks for the task's end: whatever the
// cause, returning the machine ends the task in time (ran_cancelled).
func (r *renting) holdsEnded(m *machine, now time.Duration) bool {
	limit := seconds(r.l.c.cfg.Settings.Workers.CancelS / 3)
	for i := range m.tasks {
		t := &m.tasks[i]
		if t.state != protocol.TaskExited && t.job != nil && t.job.closed && now-t.job.closedAt > limit {
			return true
		}
	}
	return false
}
