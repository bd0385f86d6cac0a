package coordination

import (
	"sort"
	"time"

	"github.com/cobaltvale/cobaltvale/internal/protocol"
	"github.com/cobaltvale/cobaltvale/internal/protocol/meshpb"
)

const (
	arrangeEvery = 500 * time.Millisecond // the order changes with time alone
	arrangeRest  = 50 * time.Millisecond  // however much new waits
	lookAhead    = 8                      // jobs of one queue that an offer looks at
	maxFetches   = 8                      // images that an offer considers fetching
	beginWithin  = 2 * time.Minute        // a job that has not begun by then comes first
	maxHeld      = 16                     // machines whose room gathers for such jobs
	heldPart     = 8                      // and the part of all machines that they are at the most
)

// rank orders waiting jobs. A job that has not begun for long comes first:
// neither urgent work nor images, packing or shares may keep it out for ever.
// Then comes urgent work of any team, which could stop whatever else is
// started in its place. Then teams take turns by shares; within a team come
// priority and the latest start that still meets the deadline or, once that is
// missed, the next of the users' aims, with jobs that can meet none any more
// behind those that can.
type rank struct {
	overdue bool
	urgent  int
	prio    protocol.Priority
	late    bool
	start   float64
}

// before compares jobs of teams that use the given shares of their guarantees.
func (a rank) before(aShare float64, b rank, bShare float64) bool {
	switch {
	case a.overdue != b.overdue:
		return a.overdue
	case a.overdue:
		return a.start < b.start // the oldest, whatever its priority
	case a.urgent != b.urgent:
		return a.urgent > b.urgent
	case a.urgent > 0 && a.late != b.late:
		return b.late
	case aShare != bShare:
		return aShare < bShare
	case a.prio != b.prio:
		return a.prio > b.prio
	case a.late != b.late:
		return b.late
	}
	return a.start < b.start
}

func (l *leader) rankOf(j *leaderJob, wallMs int64) rank {
	r := rank{prio: j.prio}
	if j.prio >= protocol.PriorityUrgent {
		r.urgent = int(j.prio)
	}
	r.overdue = !j.begun && wallMs-j.spec.SubmittedMs > beginWithin.Milliseconds()
	need, earliest := l.runTime(j.spec).Seconds(), float64(wallMs)/1000-2
	r.start = float64(j.spec.SubmittedMs)/1000 + 3600
	if j.spec.DeadlineMs > 0 {
		r.start = float64(j.spec.DeadlineMs)/1000 - need
		r.late = r.start < earliest
	}
	if r.late {
		if end := l.nextAim(j.spec, earliest+need); end > 0 {
			r.start, r.late = end-need, false
		}
	}
	if r.overdue {
		r.start = float64(j.spec.SubmittedMs) / 1000
	}
	return r
}

// nextAim is the soonest time by which the users would still count a job that
// has missed its deadline, if that is no sooner than the given one: a multiple
// of the deadline, or a time from its submission. 0: there is none.
func (l *leader) nextAim(s *meshpb.JobSummary, soonest float64) float64 {
	best := 0.0
	from := float64(s.SubmittedMs) / 1000
	for _, o := range l.c.cfg.Settings.Objectives {
		if o.Class != s.Class {
			continue
		}
		end := 0.0
		switch o.Kind {
		case "deadline":
			end = from + o.Times*float64(s.DeadlineMs-s.SubmittedMs)/1000
		case "finished":
			end = from + o.WithinS
		}
		if end >= soonest && (best == 0 || end < best) {
			best = end
		}
	}
	return best
}

// demand is what waits, in the order of service: for each kind of machine and
// each image a queue for each team. A report finds its machine's next tasks
// at the heads of a few queues, however many jobs wait.
type demand struct {
	stale  bool // something new waits
	at     time.Duration
	kinds  map[variant]*kindQueue
	jobs   []*leaderJob    // all that wait, ordered as if every team used the same share
	others map[string]bool // types that some waiting job needs, as it fits on no other
	looked uint64          // jobs and queues that reports have looked at
}

// kindQueue is what a kind of machine may take.
type kindQueue struct {
	images  []*imageQueue // by the rank of what is first in them
	byImage map[*image]*imageQueue
	jobs    int
	least   room // what the smallest task of each resource needs
}

type imageQueue struct {
	image *image
	fetch bool              // some machine of the kind might fetch it for what waits
	stops bool              // urgent work is in it that may stop others on machines of the kind
	top   protocol.Priority // the highest in it
	teams []*teamQueue
}

type teamQueue struct {
	team *teamState
	jobs []*leaderJob
}

// first is the job that a team's queue offers next to a machine, looking only
// at the first few; what waits no more is dropped on the way.
func (q *teamQueue) first(l *leader, m *machine, free room) *leaderJob {
	for len(q.jobs) > 0 && q.jobs[0].unserved() == 0 {
		q.jobs = q.jobs[1:]
		l.demand.looked++
	}
	for i := 0; i < len(q.jobs) && i < lookAhead; i++ {
		l.demand.looked++
		if l.offerable(q.jobs[i], m, free) {
			return q.jobs[i]
		}
	}
	return nil
}

// arrange puts the jobs that wait in order.
func (l *leader) arrange(now time.Duration) {
	d := &l.demand
	if since := now - d.at; since < arrangeRest || (!d.stale && since < arrangeEvery) {
		return
	}
	d.stale, d.at = false, now
	l.weighImages(now)
	wall := l.c.env.Wall().UnixMilli()
	d.jobs = d.jobs[:0]
	for _, g := range l.ledgers {
		for _, j := range g.jobs {
			if j.unserved() > 0 {
				j.rank = l.rankOf(j, wall)
				d.jobs = append(d.jobs, j)
			}
		}
	}
	sort.Slice(d.jobs, func(i, k int) bool {
		a, b := d.jobs[i], d.jobs[k]
		if a.rank == b.rank {
			return a.id < b.id
		}
		return a.rank.before(0, b.rank, 0)
	})
	d.others = make(map[string]bool)
	for _, j := range d.jobs {
		d.others[j.only] = true
	}
	d.kinds = make(map[variant]*kindQueue)
	for name, t := range l.c.fleet.types {
		whole := capacityOf(t)
		for _, zone := range t.Zones {
			for _, spot := range []bool{true, false} {
				v := variant{name, zone, spot}
				k := &kindQueue{byImage: make(map[*image]*imageQueue), least: whole}
				for _, j := range d.jobs {
					if whole.fits(j.spec) && allows(j.spec, v) {
						if kept := l.keptForOthers(j, name); !kept || !d.others[name] {
							k.add(j, !kept)
						}
					}
				}
				for _, q := range k.images {
					fetch := fetchTime(q.image, t)
					q.fetch = q.fetch || l.fetchIsLow(q.teams[0].jobs[0], fetch) || q.image.wait() > time.Duration(float64(fetch)*fetchPays)
				}
				d.kinds[v] = k
			}
		}
	}
	l.gather(now)
}

// add appends a job, the last in order so far. It may stop others if machines
// of the kind are not kept for them.
func (k *kindQueue) add(j *leaderJob, stops bool) {
	k.jobs++
	k.least.cpus = min(k.least.cpus, j.spec.Cpus)
	k.least.gpus = min(k.least.gpus, j.spec.Gpus)
	k.least.memory = min(k.least.memory, j.spec.MemoryGb)
	q := k.byImage[j.image]
	if q == nil {
		q = &imageQueue{image: j.image}
		k.byImage[j.image] = q
		k.images = append(k.images, q)
	}
	q.fetch = q.fetch || j.rank.overdue
	q.top = max(q.top, j.prio)
	q.stops = q.stops || (stops && j.prio >= protocol.PriorityUrgent)
	for _, t := range q.teams {
		if t.team == j.team {
			t.jobs = append(t.jobs, j)
			return
		}
	}
	q.teams = append(q.teams, &teamQueue{team: j.team, jobs: []*leaderJob{j}})
}

// candidates are the queues that a machine may be served from: those of the
// images it has, and the first of those that it might fetch.
func (l *leader) candidates(m *machine, k *kindQueue) []*teamQueue {
	var out []*teamQueue
	for i := range m.images {
		if q := k.byImage[m.images[i].image]; q != nil {
			out = append(out, q.teams...)
		}
	}
	fetches := 0
	for _, q := range k.images {
		if fetches == maxFetches {
			break
		}
		if !q.fetch || m.has(q.image) {
			continue
		}
		fetches++
		out = append(out, q.teams...)
	}
	return out
}

// overdue yields the jobs that should have begun long ago.
func (d *demand) overdue(yield func(*leaderJob) bool) {
	for _, j := range d.jobs {
		if !j.rank.overdue || !yield(j) {
			return
		}
	}
}

// gather holds a machine for each job that should have begun long ago and
// finds no room: room that frees bit by bit would go to smaller tasks for ever.
func (l *leader) gather(now time.Duration) {
	for m := range l.machines.all {
		m.heldFor = nil
	}
	n := 0
	for j := range l.demand.overdue {
		if n++; n > min(maxHeld, 1+len(l.machines.byName)/heldPart) {
			return
		}
		var best *machine
		soonest := time.Duration(-1)
		for m := range l.machines.all {
			if m.heldFor != nil || !l.usable(m, now) || !l.couldTake(m, j) {
				continue
			}
			if in := l.readyIn(m, j, now); best == nil || in < soonest || (in == soonest && m.index < best.index) {
				best, soonest = m, in
			}
		}
		if best != nil {
			best.heldFor = j
		}
	}
}

// readyIn is how long it should take until a machine has room for a task, if
// nothing else is started there.
func (l *leader) readyIn(m *machine, j *leaderJob, now time.Duration) time.Duration {
	free := m.free
	if free.fits(j.spec) {
		return 0
	}
	left := make([]*placed, 0, len(m.tasks))
	for i := range m.tasks {
		if t := &m.tasks[i]; t.state != protocol.TaskExited && t.known() {
			left = append(left, t)
		}
	}
	ends := func(t *placed) time.Duration {
		in := l.runTime(t.job.spec)
		if t.state == protocol.TaskRunning {
			in -= now - t.since
		}
		return max(in, time.Second)
	}
	sort.Slice(left, func(i, k int) bool { return ends(left[i]) < ends(left[k]) })
	for _, t := range left {
		free.give(t.job.spec)
		if free.fits(j.spec) {
			return ends(t)
		}
	}
	return time.Hour
}
