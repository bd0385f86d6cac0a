package coordination

import (
	"strconv"
	"time"

	"github.com/cobaltvale/cobaltvale/internal/protocol"
	"github.com/cobaltvale/cobaltvale/internal/protocol/meshpb"
	"github.com/cobaltvale/cobaltvale/internal/storage"
)

// ownedJob is an unfinished job of one of this process's ledgers.
type ownedJob struct {
	id      string
	ledger  *ownedLedger
	spec    *protocol.Job
	atMs    int64
	nonce   string
	tasks   []task
	queue   []int32 // waiting tasks, in order; may hold ones that wait no more
	cool    []int32
	zones   map[string]int // located tasks by zone, for together and apart
	nWait   int
	nLoc    int
	nRun    int
	nDone   int // completed or written
	nWrit   int
	ending  string // the final status that is being written
	final   bool
	fails   int // in a row
	breaker circuitBreaker
	dirty   bool
	fresh   bool // its description has not been sent to the present leader
	onFinal []func(status string)
	told    int // waiting tasks that the leader was told of last
}

// ownedLedger is a ledger that this process holds.
type ownedLedger struct {
	name          string
	records       *storage.Shard
	ready         bool   // recovered
	joined        bool   // the present leader counts it
	number        uint32 // in the present leader's lists, see Report.complete_for; 0: it gave none
	jobs          map[string]*ownedJob
	complete      bool   // all of earlier holders is counted or proven gone
	token         uint64 // the stamp that it was taken with
	lastAttempt   uint64 // the highest replica number of the ledger
	lastInherited uint64 // copies up to this number were given out by earlier holders
	settled       bool   // no copy of earlier holders is left that is not known of
	// A leader that does not say which lists are complete has called it settled.
	settledUnchecked bool
	unlocated        int // recovered tasks that may be anywhere
	creates          map[string]*creation
}

type creation struct {
	nonce   string
	waiters []func(storage.CreateResult)
}

// owner holds what this process owns.
type owner struct {
	c        *Core
	ledgers  map[string]*ownedLedger
	jobs     map[string]*ownedJob
	machines registry // names of machines, dense
	held     map[int32][]taskRef
	changed  []*ownedJob
	nonces   uint64
	losses   tally // by lossReason
	bytes    int64 // what the unfinished jobs take, roughly
}

// attemptBits is how many replica numbers a holder of a ledger has, as a power of
// two. Each holder's begin at its stamp, so they go up from holder to holder.
const attemptBits = 20

const (
	jobBytes  = 4 << 10
	taskBytes = 72
)

func jobSize(spec *protocol.Job) int64 { return jobBytes + taskBytes*int64(spec.Tasks) }

// full tells whether one more job would take more than a quarter of this
// process's memory; ledgers that are taken over need room too.
func (o *owner) full(spec *protocol.Job) bool {
	return o.bytes+jobSize(spec) > int64(o.c.cfg.Settings.Limits.MemMB*float64(1<<20)/4)
}

// registry maps names to dense indices, which are used again once released.
type registry struct {
	byName map[string]int32
	names  []string
	free   []int32
}

func (r *registry) index(name string) int32 {
	if r.byName == nil {
		r.byName = make(map[string]int32)
	}
	i, ok := r.byName[name]
	switch {
	case ok:
		return i
	case len(r.free) > 0:
		i = r.free[len(r.free)-1]
		r.free = r.free[:len(r.free)-1]
		r.names[i] = name
	default:
		i = int32(len(r.names))
		r.names = append(r.names, name)
	}
	r.byName[name] = i
	return i
}

func (r *registry) release(name string) {
	if i, ok := r.byName[name]; ok {
		delete(r.byName, name)
		r.free = append(r.free, i)
	}
}

func (o *owner) init(c *Core) {
	o.c = c
	o.ledgers = make(map[string]*ownedLedger)
	o.jobs = make(map[string]*ownedJob)
	o.held = make(map[int32][]taskRef)
	o.losses = newLossTally()
}

// adopt takes up a ledger whose key this process has just written, and reads
// what is unfinished in it.
func (o *owner) adopt(name string, lease, stamp uint64) {
	o.drop(name)
	claimed := o.c.now()
	l := &ownedLedger{name: name, jobs: make(map[string]*ownedJob), creates: make(map[string]*creation)}
	l.records = storage.NewShard(o.c.store, name, o.c.me, lease, stamp, func() {
		o.c.log.Error().Str("ledger", name).Msg("ledger lost")
		o.drop(name)
	})
	l.token = stamp
	l.lastAttempt = stamp << attemptBits
	l.lastInherited = l.lastAttempt
	o.ledgers[name] = l
	o.c.admission.open(l, stamp)
	l.records.Recover(func(jobs []storage.RecoveredJob) {
		for i := range jobs {
			o.recovered(l, &jobs[i])
		}
		l.ready = true
		if unread := l.records.Unreadable(); len(unread) > 0 {
			o.c.log.Error().Strs("keys", unread).Msg("records of unknown shape are left alone")
		}
		o.c.log.Info().Str("ledger", name).Int("jobs", len(jobs)).Uint64("stamp", stamp).Int("reads", l.records.RecoveryReads()).
			Int64("after_ms", (o.c.now() - claimed).Milliseconds()).Msg("ledger taken up")
		for _, j := range l.jobs {
			o.checkEnd(j)
		}
		o.c.subscription.join()
	})
}

func (o *owner) recovered(l *ownedLedger, r *storage.RecoveredJob) {
	j := o.newJob(l, &r.Job, r.SubmittedAtMs, "")
	for i, done := range r.Done {
		if done {
			j.tasks[i].place = written
			j.nDone++
			j.nWrit++
		} else {
			j.tasks[i].place = unplaced
			j.nLoc++
			l.unlocated++
		}
	}
	o.c.admission.count(j, j.nLoc)
	j.nWait, j.queue = 0, nil
}

// newJob adds a job whose tasks all wait.
func (o *owner) newJob(l *ownedLedger, spec *protocol.Job, atMs int64, nonce string) *ownedJob {
	j := &ownedJob{id: spec.ID, ledger: l, spec: spec, atMs: atMs, nonce: nonce, fresh: true,
		tasks: make([]task, spec.Tasks), queue: make([]int32, spec.Tasks), nWait: spec.Tasks}
	for i := range j.queue {
		j.queue[i] = int32(i)
	}
	if spec.SingleZone || spec.SpreadZones {
		j.zones = make(map[string]int)
	}
	l.jobs[j.id] = j
	o.jobs[j.id] = j
	o.bytes += jobSize(spec)
	o.touch(j)
	return j
}

// drop forgets a ledger that is held no more.
func (o *owner) drop(name string) {
	l := o.ledgers[name]
	if l == nil {
		return
	}
	l.records.Close()
	delete(o.ledgers, name)
	o.c.admission.close(name)
	// Taken up again under the same leader, it has to join again.
	delete(o.c.subscription.start, name)
	for _, j := range l.jobs {
		j.final = true
		delete(o.jobs, j.id)
		o.bytes -= jobSize(j.spec)
		for _, fn := range j.onFinal {
			fn("")
		}
		j.onFinal = nil
	}
	for _, cr := range l.creates {
		for _, fn := range cr.waiters {
			fn(storage.Unavailable)
		}
	}
	for m, refs := range o.held {
		kept := refs[:0]
		for _, r := range refs {
			if r.job.ledger != l {
				kept = append(kept, r)
			}
		}
		o.setHeld(m, kept)
	}
}

func (o *owner) dropAll() {
	for name := range o.ledgers {
		o.drop(name)
	}
}

// create writes a new job to this member's own ledger.
func (o *owner) create(spec *protocol.Job, atMs int64, until time.Duration, done func(storage.CreateResult)) {
	l := o.ledgers[o.c.cfg.Member]
	if l == nil || !l.ready {
		done(storage.Unavailable)
		return
	}
	if o.jobs[spec.ID] != nil {
		// A repeat while the end is being written: in one batch with the end it
		// ended the process.
		done(storage.AlreadyExists)
		return
	}
	if cr := l.creates[spec.ID]; cr != nil {
		cr.waiters = append(cr.waiters, done)
		return
	}
	o.nonces++
	cr := &creation{nonce: o.c.me.Nonce + "-" + strconv.FormatUint(o.nonces, 36), waiters: []func(storage.CreateResult){done}}
	l.creates[spec.ID] = cr
	l.records.CreateJob(spec, atMs, cr.nonce, until, func(r storage.CreateResult) {
		delete(l.creates, spec.ID)
		if r == storage.Created && l.jobs[spec.ID] == nil {
			o.newJob(l, spec, atMs, cr.nonce)
		}
		for _, fn := range cr.waiters {
			fn(r)
		}
	})
}

// withdraw ends a job as its user asks; done gets its final status, or none
// if that cannot be said here. The leader stops its tasks from now on: the end
// may be written without this owner learning of it for as long as an outage
// lasts, while others read it and tell the user (ran_cancelled).
func (o *owner) withdraw(j *ownedJob, done func(status string)) {
	j.onFinal = append(j.onFinal, done)
	o.end(j, protocol.StatusCancelled)
}

func (o *owner) end(j *ownedJob, status string) {
	if j.ending != "" {
		return
	}
	j.ending = status
	o.touch(j)
	j.ledger.records.EndJob(j.spec, j.nonce, status, func() {
		if j.final {
			return
		}
		j.final = true
		o.touch(j)
		o.forget(j)
		o.c.users.remember(j.id, status, j.spec.Tasks)
		for _, fn := range j.onFinal {
			fn(status)
		}
		j.onFinal = nil
	})
}

// forget takes a finished job out of the tables. What is left of it on
// machines is the leader's to clear.
func (o *owner) forget(j *ownedJob) {
	o.c.admission.jobEnded(j)
	for i := range j.tasks {
		switch j.tasks[i].place {
		case unplaced:
			j.ledger.unlocated--
		case inTransit, onMachine:
			o.unhold(j, int32(i))
		}
	}
	delete(j.ledger.jobs, j.id)
	delete(o.jobs, j.id)
	o.bytes -= jobSize(j.spec)
}

func (o *owner) touch(j *ownedJob) {
	if !j.dirty {
		j.dirty = true
		o.changed = append(o.changed, j)
	}
}

// admissible is how many tasks may be started now, and find room in the allocation of
// their team.
func (o *owner) admissible(j *ownedJob) int { return min(j.startable(), o.c.admission.fits(j)) }

// demandOf is what the leader has to know of a job.
func (o *owner) demandOf(j *ownedJob, spec bool) *meshpb.JobSummary {
	j.told = o.admissible(j)
	d := &meshpb.JobSummary{Job: j.id, Pending: uint32(j.told), Assigned: uint32(j.nLoc), Ended: j.final,
		Cancelling: j.ending == protocol.StatusCancelled}
	if !spec {
		return d
	}
	s := j.spec
	d.HasSpec, d.Team, d.Priority, d.Class = true, s.Team, uint32(s.Priority), s.Class
	d.Cpus, d.Gpus, d.MemoryGb = s.CPUs, s.GPUs, s.MemoryGB
	d.Image, d.ImageGb, d.Types, d.AnyType = s.Image, s.ImageGB, s.Types, s.AnyType
	d.Zone, d.SingleZone, d.SpreadZones, d.Spot = s.Zone, s.SingleZone, s.SpreadZones, s.Spot
	d.EstimateS, d.CheckpointDurationS, d.CheckpointIntervalS = s.EstimateS, s.CheckpointDurationS, s.CheckpointIntervalS
	d.SubmittedMs, d.Tasks, d.Service = j.atMs, uint32(s.Tasks), s.Service
	if s.HasDeadline {
		d.DeadlineMs = j.atMs + int64(s.DeadlineS*1000)
	}
	return d
}

// publish tells the leader what changed in this batch.
func (o *owner) publish() {
	if len(o.changed) == 0 {
		return
	}
	by := make(map[*ownedLedger][]*meshpb.JobSummary)
	for _, j := range o.changed {
		j.dirty = false
		if o.ledgers[j.ledger.name] != j.ledger {
			continue // dropped in this batch: the job goes on with the ledger's next holder
		}
		if j.ledger.joined {
			by[j.ledger] = append(by[j.ledger], o.demandOf(j, j.fresh))
			j.fresh = false
		}
	}
	o.changed = o.changed[:0]
	if o.c.subscription.from == nil || o.c.subscription.from.link == nil {
		return
	}
	for l, jobs := range by {
		for len(jobs) > 0 {
			n := firstChunk(jobs)
			o.c.subscription.from.send(&meshpb.Frame{Body: &meshpb.Frame_JobSummaries{JobSummaries: &meshpb.JobSummaries{Shard: l.name, Jobs: jobs[:n]}}})
			jobs = jobs[n:]
		}
	}
}

func (o *owner) flush() {
	for _, l := range o.ledgers {
		l.records.FlushFinishedTasks()
	}
}

// tick writes what has gathered, and ends the pauses of failed tasks.
func (o *owner) tick(now time.Duration) {
	o.losses.log(now, &o.c.log)
	for _, l := range o.ledgers {
		l.records.FlushJobs()
	}
	for _, j := range o.jobs {
		o.probe(j, now)
		if len(j.cool) == 0 {
			continue
		}
		kept := j.cool[:0]
		for _, i := range j.cool {
			t := &j.tasks[i]
			if t.place == cooling && t.readyAt > now {
				kept = append(kept, i)
			} else if t.place == cooling {
				o.requeue(j, i)
			}
		}
		j.cool = kept
	}
}
