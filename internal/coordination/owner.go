package coordination

import (
	"math"
	"strconv"
	"time"

	"github.com/cobaltvale/cobaltvale/internal/bookkeeping"
	"github.com/cobaltvale/cobaltvale/internal/protocol"
	"github.com/cobaltvale/cobaltvale/internal/protocol/meshpb"
)

// place is where the owner knows a task to be (the paper's OnNode and
// InTransition, section 4.2), with what lies before and after.
type place uint8

const (
	waiting   place = iota // no copy exists anywhere
	unplaced               // recovered: a copy may be on any machine
	inTransit              // a start was handed to a machine's answer
	onMachine              // the machine's report lists it
	cooling                // failed; waits for its pause to end
	completed              // its result is there but not yet written
	written                // its end is durable
)

// task is one task's supervision state (the paper's SupervisedTaskState).
type task struct {
	place   place
	running bool
	machine int32
	attempt uint64 // replica number of the copy that counts
	session uint64 // of the report whose answer carried the start
	seq     uint64
	readyAt time.Duration // cooling
}

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
	fails   int
	dirty   bool
	fresh   bool // its description has not been sent to the present leader
	onFinal []func(status string)
}

// ownedLedger is a ledger that this process holds.
type ownedLedger struct {
	name    string
	book    *bookkeeping.Ledger
	ready   bool // recovered
	joined  bool // the present leader counts it
	jobs    map[string]*ownedJob
	tries   uint64
	stillUn int // recovered tasks that are not yet settled
	creates map[string]*creation
}

type creation struct {
	nonce   string
	waiters []func(bookkeeping.CreateResult)
}

type taskRef struct {
	job  *ownedJob
	task int32
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
	bytes    int64 // what the unfinished jobs take, roughly
}

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
}

// adopt takes up a ledger whose key this process has just written, and reads
// what is unfinished in it.
func (o *owner) adopt(name string, lease, stamp uint64) {
	o.drop(name)
	l := &ownedLedger{name: name, jobs: make(map[string]*ownedJob), creates: make(map[string]*creation)}
	l.book = bookkeeping.NewLedger(o.c.store, name, o.c.me, lease, stamp, func() {
		o.c.log.Error().Str("ledger", name).Msg("ledger lost")
		o.drop(name)
	})
	// Replica numbers go up from holder to holder, since stamps do.
	l.tries = stamp << 20
	o.ledgers[name] = l
	l.book.Recover(func(jobs []bookkeeping.RecoveredJob) {
		for i := range jobs {
			o.recovered(l, &jobs[i])
		}
		l.ready = true
		o.c.log.Info().Str("ledger", name).Int("jobs", len(jobs)).Msg("ledger taken up")
		for _, j := range l.jobs {
			o.checkEnd(j)
		}
		o.c.stream.join()
	})
}

func (o *owner) recovered(l *ownedLedger, r *bookkeeping.RecoveredJob) {
	j := o.newJob(l, &r.Job, r.AtMs, "")
	for i, done := range r.Done {
		if done {
			j.tasks[i].place = written
			j.nDone++
			j.nWrit++
		} else {
			j.tasks[i].place = unplaced
			j.nLoc++
			l.stillUn++
		}
	}
	j.nWait, j.queue = 0, nil
}

// newJob adds a job whose tasks all wait.
func (o *owner) newJob(l *ownedLedger, spec *protocol.Job, atMs int64, nonce string) *ownedJob {
	j := &ownedJob{id: spec.ID, ledger: l, spec: spec, atMs: atMs, nonce: nonce, fresh: true,
		tasks: make([]task, spec.Tasks), queue: make([]int32, spec.Tasks), nWait: spec.Tasks}
	for i := range j.queue {
		j.queue[i] = int32(i)
	}
	if spec.OneZone || spec.Spread {
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
	l.book.Close()
	delete(o.ledgers, name)
	// Taken up again under the same leader, it has to join again.
	delete(o.c.stream.start, name)
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
			fn(bookkeeping.Unavailable)
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

func (o *owner) setHeld(m int32, refs []taskRef) {
	if len(refs) == 0 {
		delete(o.held, m)
		return
	}
	o.held[m] = refs
}

// create writes a new job to this member's own ledger.
func (o *owner) create(spec *protocol.Job, atMs int64, until time.Duration, done func(bookkeeping.CreateResult)) {
	l := o.ledgers[o.c.cfg.Member]
	if l == nil || !l.ready {
		done(bookkeeping.Unavailable)
		return
	}
	if cr := l.creates[spec.ID]; cr != nil {
		cr.waiters = append(cr.waiters, done)
		return
	}
	o.nonces++
	cr := &creation{nonce: o.c.me.Nonce + "-" + strconv.FormatUint(o.nonces, 36), waiters: []func(bookkeeping.CreateResult){done}}
	l.creates[spec.ID] = cr
	l.book.Create(spec, atMs, cr.nonce, until, func(r bookkeeping.CreateResult) {
		delete(l.creates, spec.ID)
		if r == bookkeeping.Created && l.jobs[spec.ID] == nil {
			o.newJob(l, spec, atMs, cr.nonce)
		}
		for _, fn := range cr.waiters {
			fn(r)
		}
	})
}

// withdraw ends a job as its user asks; done gets its final status, or none
// if that cannot be said here.
func (o *owner) withdraw(j *ownedJob, done func(status string)) {
	j.onFinal = append(j.onFinal, done)
	o.end(j, protocol.StatusWithdrawn)
}

func (o *owner) end(j *ownedJob, status string) {
	if j.ending != "" {
		return
	}
	j.ending = status
	o.touch(j)
	j.ledger.book.End(j.spec, j.nonce, status, func() {
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
	for i := range j.tasks {
		switch j.tasks[i].place {
		case unplaced:
			j.ledger.stillUn--
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

// demand is what the leader has to know of a job.
func (j *ownedJob) demand(spec bool) *meshpb.JobDemand {
	d := &meshpb.JobDemand{Job: j.id, Waiting: uint32(j.nWait), Located: uint32(j.nLoc),
		Closed: j.final}
	if j.ending != "" {
		d.Waiting = 0
	}
	if !spec {
		return d
	}
	s := j.spec
	d.Spec, d.Team, d.Priority, d.Class = true, s.Team, uint32(s.Priority), s.Class
	d.Cpus, d.Gpus, d.MemoryGb = s.CPUs, s.GPUs, s.MemoryGB
	d.Image, d.ImageGb, d.Types, d.AnyType = s.Image, s.ImageGB, s.Types, s.AnyType
	d.Zone, d.Together, d.Apart, d.Spot = s.Zone, s.OneZone, s.Spread, s.Spot
	d.EstimateS, d.SaveS, d.CheckpointS = s.EstimateS, s.SaveS, s.CheckpointS
	d.SubmittedMs, d.Tasks = j.atMs, uint32(s.Tasks)
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
	by := make(map[*ownedLedger][]*meshpb.JobDemand)
	for _, j := range o.changed {
		j.dirty = false
		if j.ledger.joined {
			by[j.ledger] = append(by[j.ledger], j.demand(j.fresh))
			j.fresh = false
		}
	}
	o.changed = o.changed[:0]
	if o.c.stream.from == nil || o.c.stream.from.link == nil {
		return
	}
	for l, jobs := range by {
		for len(jobs) > 0 {
			n := min(len(jobs), joinChunk)
			o.c.stream.from.send(&meshpb.Frame{Body: &meshpb.Frame_Demand{Demand: &meshpb.Demand{Ledger: l.name, Jobs: jobs[:n]}}})
			jobs = jobs[n:]
		}
	}
}

func (o *owner) flush() {
	for _, l := range o.ledgers {
		l.book.Flush()
	}
}

// tick ends the pauses of failed tasks.
func (o *owner) tick(now time.Duration) {
	for _, j := range o.jobs {
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

// locate notes that a copy of a task is on its way to, or on, a machine.
func (o *owner) locate(j *ownedJob, i int32, m int32, p place) {
	t := &j.tasks[i]
	switch t.place {
	case waiting:
		j.nWait--
		j.nLoc++
	case cooling:
		j.nLoc++
	case unplaced:
		j.ledger.stillUn--
	case inTransit, onMachine:
		if t.machine == m {
			t.place = p
			return
		}
		o.unhold(j, i)
	default:
		return
	}
	t.place, t.machine = p, m
	o.held[m] = append(o.held[m], taskRef{j, i})
	if j.zones != nil {
		j.zones[o.c.stream.zoneOf(m)]++
	}
	o.touch(j)
}

func (o *owner) unhold(j *ownedJob, i int32) {
	t := &j.tasks[i]
	refs := o.held[t.machine]
	for k, r := range refs {
		if r.job == j && r.task == i {
			refs[k] = refs[len(refs)-1]
			o.setHeld(t.machine, refs[:len(refs)-1])
			break
		}
	}
	if j.zones != nil {
		j.zones[o.c.stream.zoneOf(t.machine)]--
	}
}

// lift takes a located task off wherever it was: the caller has proof that no
// copy of it is left.
func (o *owner) lift(j *ownedJob, i int32) {
	t := &j.tasks[i]
	switch t.place {
	case unplaced:
		j.ledger.stillUn--
	case inTransit, onMachine:
		o.unhold(j, i)
	default:
		return
	}
	o.setRunning(j, i, false)
	j.nLoc--
	o.touch(j)
}

func (o *owner) setRunning(j *ownedJob, i int32, running bool) {
	t := &j.tasks[i]
	if t.running != running {
		t.running = running
		if running {
			j.nRun++
		} else {
			j.nRun--
		}
	}
}

// requeue makes a task that has no copy left wait for its next replica.
func (o *owner) requeue(j *ownedJob, i int32) {
	j.tasks[i].place = waiting
	j.nWait++
	j.queue = append(j.queue, i)
	o.touch(j)
}

// lost replicates a task whose copy is proven gone.
func (o *owner) lost(j *ownedJob, i int32) {
	o.lift(j, i)
	o.requeue(j, i)
}

func (o *owner) machineGone(m int32) {
	refs := append([]taskRef(nil), o.held[m]...)
	for _, r := range refs {
		o.lost(r.job, r.task)
	}
}

// settled puts every recovered task that no machine listed back in line.
func (o *owner) settled(l *ownedLedger) {
	if l.stillUn == 0 {
		return
	}
	for _, j := range l.jobs {
		for i := range j.tasks {
			if j.tasks[i].place == unplaced {
				o.lost(j, int32(i))
			}
		}
	}
}

// reported takes what the leader passes on of a machine. Only a current report
// tells what is on it: it was sent by a worker that follows the present leader,
// so that what it does not list is gone. One of a later session, however old,
// proves that all that the machine held before is gone.
func (o *owner) reported(m int32, r *meshpb.Report) {
	whole := r.Current && !r.Same
	var listed map[taskRef]bool
	if whole && len(r.Tasks) > 0 {
		listed = make(map[taskRef]bool, len(r.Tasks))
		for _, s := range r.Tasks {
			j := o.jobs[s.Job]
			if _, over := o.c.users.finals[s.Job]; j == nil && over {
				// The leader should know that the job is over; in case it does
				// not, what is left of it must still go (ran_cancelled).
				o.c.stream.order(m, s.Job, s.Task, s.Attempt, protocol.TaskState(s.State) == protocol.TaskExited)
			}
			if j == nil || int(s.Task) >= len(j.tasks) {
				continue
			}
			i := int32(s.Task)
			if t := &j.tasks[i]; s.Attempt == t.attempt || t.place == unplaced {
				listed[taskRef{j, i}] = true
			}
			o.listed(j, i, m, r.Session, s)
		}
	}
	refs := o.held[m]
	for k := len(refs) - 1; k >= 0; k-- {
		ref := refs[k]
		t := &ref.job.tasks[ref.task]
		switch {
		case r.Session > t.session:
		case !r.Current || listed[ref]:
			continue
		case t.place == onMachine && !whole:
			continue // listed as it was before
		case t.place == inTransit && (r.Session < t.session || r.Seq <= t.seq):
			continue // sent before the start was
		}
		o.lost(ref.job, ref.task)
	}
}

// listed takes one listed task.
func (o *owner) listed(j *ownedJob, i int32, m int32, session uint64, s *meshpb.TaskState) {
	t := &j.tasks[i]
	exited := protocol.TaskState(s.State) == protocol.TaskExited
	clear := func() { o.c.stream.order(m, j.id, s.Task, s.Attempt, exited) }
	if j.ending != "" && t.place != written {
		// The leader clears machines of jobs that are over.
		return
	}
	switch t.place {
	case written:
		clear()
		return
	case completed:
		// Its own copy stays listed until the result is written.
		if s.Attempt != t.attempt {
			clear()
		}
		return
	case unplaced:
		if exited && protocol.Why(s.Why) != protocol.WhyDone {
			// An older copy that ended says nothing of a newer one, which
			// may run on a machine that has not been heard of yet.
			clear()
			return
		}
		t.attempt = s.Attempt
		j.ledger.tries = max(j.ledger.tries, s.Attempt)
		o.locate(j, i, m, onMachine)
		t.session = session
	case waiting, cooling:
		// Every copy was proven gone, or this is a late list of one.
		clear()
		return
	case inTransit, onMachine:
		if s.Attempt != t.attempt || t.machine != m {
			// Not the replica that counts: its result is ignored.
			if s.Attempt < t.attempt || t.machine != m {
				clear()
			}
			return
		}
		o.locate(j, i, m, onMachine)
		t.session = session
	}
	if !exited {
		o.setRunning(j, i, protocol.TaskState(s.State) != protocol.TaskFetching)
		return
	}
	switch protocol.Why(s.Why) {
	case protocol.WhyDone:
		o.lift(j, i)
		j.fails = 0
		t.place = completed
		j.nDone++
		o.finishTask(j, i)
	case protocol.WhyError:
		o.lift(j, i)
		clear()
		j.fails++
		t.place = cooling
		t.readyAt = o.c.now() + failPause(j.fails)
		j.cool = append(j.cool, i)
	case protocol.WhyNoRoom, protocol.WhyBusy, protocol.WhyUnknown:
		o.lift(j, i)
		clear()
		t.place = cooling
		t.readyAt = o.c.now() + time.Second
		j.cool = append(j.cool, i)
	default:
		clear()
		o.lost(j, i)
	}
}

// failPause grows with the failures of a job in a row, so that one submitted
// with a mistake does not keep machines busy.
func failPause(fails int) time.Duration {
	return time.Duration(math.Min(60, 0.5*math.Pow(1.5, float64(min(fails, 20)))) * float64(time.Second))
}

// finishTask has a finished task written, or the whole job when it was the
// last one.
func (o *owner) finishTask(j *ownedJob, i int32) {
	o.touch(j)
	if j.nDone == len(j.tasks) {
		o.checkEnd(j)
		return
	}
	j.ledger.book.TaskDone(j.spec, int(i), func() {
		if t := &j.tasks[i]; t.place == completed {
			t.place = written
			j.nWrit++
			o.c.stream.order(t.machine, j.id, uint32(i), t.attempt, true)
		}
	})
}

func (o *owner) checkEnd(j *ownedJob) {
	if j.nDone == len(j.tasks) {
		o.end(j, protocol.StatusDone)
	}
}

// pick chooses up to n waiting tasks of a job for a machine.
func (o *owner) pick(j *ownedJob, n int, m int32, zone string, session, seq uint64) []*meshpb.Pick {
	var picks []*meshpb.Pick
	if j.ending != "" || !j.ledger.joined {
		return nil
	}
	for len(picks) < n && len(j.queue) > 0 {
		i := j.queue[0]
		t := &j.tasks[i]
		if t.place != waiting {
			j.queue = j.queue[1:]
			continue
		}
		if !j.zoneAllows(zone) {
			break
		}
		j.queue = j.queue[1:]
		j.ledger.tries++
		t.attempt, t.session, t.seq = j.ledger.tries, session, seq
		o.locate(j, i, m, inTransit)
		picks = append(picks, &meshpb.Pick{Job: j.id, Task: uint32(i), Attempt: t.attempt})
	}
	return picks
}

// zoneAllows keeps the promises of together and apart, given where the job's
// other tasks are. While some may be anywhere, nothing is placed.
func (j *ownedJob) zoneAllows(zone string) bool {
	if j.zones == nil {
		return true
	}
	known := 0
	for z, n := range j.zones {
		known += n
		if j.spec.OneZone && n > 0 && z != zone {
			return false
		}
	}
	if known != j.nLoc {
		return false
	}
	return !j.spec.Spread || j.zones[zone]+1 <= (j.spec.Tasks+1)/2
}

// putBack returns picks that were never sent.
func (o *owner) putBack(picks []*meshpb.Pick) {
	for _, p := range picks {
		j := o.jobs[p.Job]
		if j == nil || int(p.Task) >= len(j.tasks) {
			continue
		}
		if t := &j.tasks[p.Task]; t.place == inTransit && t.attempt == p.Attempt {
			o.lost(j, int32(p.Task))
		}
	}
}
