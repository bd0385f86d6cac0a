package coordination

import (
	"math"
	"time"

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
	readyAt time.Duration // cooling: when it waits again; running: since when it is seen to
}

type taskRef struct {
	job  *ownedJob
	task int32
}

func (o *owner) setHeld(m int32, refs []taskRef) {
	if len(refs) == 0 {
		delete(o.held, m)
		return
	}
	o.held[m] = refs
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
		j.zones[o.c.subscription.zoneOf(m)]++
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
		j.zones[o.c.subscription.zoneOf(t.machine)]--
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
			t.readyAt = o.c.now()
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

// lost replicates a task whose copy is proven gone. Was it given out by an
// earlier holder of the ledger, there may be a newer one somewhere, until every
// machine is accounted for.
func (o *owner) lost(j *ownedJob, i int32) {
	t := &j.tasks[i]
	o.lift(j, i)
	if !j.ledger.settled && t.attempt <= j.ledger.before {
		t.place = unplaced
		j.nLoc++
		j.ledger.stillUn++
		return
	}
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
	l.settled = true
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
				o.c.subscription.order(m, s.Job, s.Task, s.Attempt, protocol.TaskState(s.State) == protocol.TaskExited)
			}
			if j == nil || int(s.Task) >= len(j.tasks) {
				continue
			}
			i := int32(s.Task)
			o.listed(j, i, m, r.Session, s)
			if s.Attempt == j.tasks[i].attempt {
				listed[taskRef{j, i}] = true
			}
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
	clear := func() { o.c.subscription.order(m, j.id, s.Task, s.Attempt, exited) }
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
		if s.Attempt < t.attempt {
			clear() // a newer one was proven gone already
			return
		}
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
		if s.Attempt > t.attempt && (!exited || protocol.Why(s.Why) == protocol.WhyDone) {
			// Of a recovered task an older copy was heard of first. Earlier
			// holders gave this one out once that was proven gone.
			o.setRunning(j, i, false)
			t.attempt = s.Attempt
			j.ledger.tries = max(j.ledger.tries, s.Attempt)
		} else if s.Attempt != t.attempt || t.machine != m {
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
	why := protocol.Why(s.Why)
	if j.spec.Service && (why == protocol.WhyDone || why == protocol.WhyError) {
		o.replicaEnded(j, i, m)
		clear()
		return
	}
	switch why {
	case protocol.WhyDone:
		o.lift(j, i)
		j.fails = 0
		o.closeBreaker(j)
		t.place = completed
		j.nDone++
		o.finishTask(j, i)
	case protocol.WhyError:
		o.lift(j, i)
		clear()
		o.recordFailure(j, m, o.c.now())
		t.place = cooling
		t.readyAt = o.c.now() + failPause(min(j.fails, mostPaused))
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

// replicaEnded has a service's task run again, though it ended by itself. One that
// ran for a while before is back at once; one that ends again and again waits as a
// task that fails does, and its job tries one task at a time, see circuitBreaker.
func (o *owner) replicaEnded(j *ownedJob, i, m int32) {
	t, now := &j.tasks[i], o.c.now()
	ran := t.running && now-t.readyAt > steadyAfter
	o.lift(j, i)
	if ran {
		j.fails = 0
		o.closeBreaker(j)
		o.requeue(j, i)
		return
	}
	o.recordFailure(j, m, now)
	t.place = cooling
	t.readyAt = now + failPause(min(j.fails, mostPaused))
	j.cool = append(j.cool, i)
}

// failPause grows with the failures in a row.
func failPause(fails int) time.Duration {
	return time.Duration(math.Min(60, 0.5*math.Pow(1.5, float64(min(fails, 20)))) * float64(time.Second))
}

// mostPaused is up to which of a job's failures in a row the pauses of its tasks
// grow: they may be due to a few machines, while its other tasks run.
const mostPaused = 8

// steadyAfter is for how long a service's task has to run until its end says
// nothing against its job.
const steadyAfter = 20 * time.Second

const (
	closeBreakerAfter = 5 * time.Second // that a task has to run until its job is trusted again, at first
)

// circuitBreaker is open while a job seems to have been submitted with a mistake:
// its tasks have failed on several machines, or often where there are few, and none
// of it runs. Then one task at a time is tried, after a pause that grows: all at
// once, again and again, they would keep machines busy and have more rented for
// them.
type circuitBreaker struct {
	on        map[int32]bool // machines that it has failed on since a task ended well
	open      bool
	tries     int           // failed since then, one at a time
	retryAt   time.Duration // when the next task may start
	running   time.Duration // since when one of it has been seen to run; 0: none
	steadyFor time.Duration // how long that has to last
}

// startable is how many tasks may be started now.
func (j *ownedJob) startable() int {
	switch {
	case j.ending != "":
		return 0
	case !j.breaker.open:
		return j.nWait
	case j.nLoc > 0 || j.breaker.retryAt > 0:
		return 0
	}
	return min(1, j.nWait)
}

// recordFailure notes that a task of a job has failed on a machine.
func (o *owner) recordFailure(j *ownedJob, m int32, now time.Duration) {
	j.fails++
	d := &j.breaker
	if d.on == nil {
		d.on = make(map[int32]bool)
	}
	if len(d.on) < failsOn {
		d.on[m] = true
	}
	if (len(d.on) == failsOn || j.fails >= 2*failsOn) && j.nRun == 0 {
		d.open, d.running = true, 0
	}
	if d.open && j.nLoc == 0 {
		d.tries++
		d.retryAt = now + failPause(d.tries)
	}
}

// closeBreaker lets all tasks of a job start again.
func (o *owner) closeBreaker(j *ownedJob) {
	if j.breaker.open {
		o.touch(j)
	}
	j.breaker = circuitBreaker{steadyFor: j.breaker.steadyFor}
}

// probe lets a job whose breaker is open try again once its pause is over, and trusts it
// once a task of it has run for a while. If it fails after that all the same, the
// next has to run for longer.
func (o *owner) probe(j *ownedJob, now time.Duration) {
	d := &j.breaker
	if !d.open {
		return
	}
	if d.retryAt > 0 && now >= d.retryAt {
		d.retryAt = 0
		o.touch(j)
	}
	switch {
	case j.nRun == 0:
		d.running = 0
	case d.running == 0:
		d.running = now
	case now-d.running > max(d.steadyFor, closeBreakerAfter):
		d.steadyFor = 2 * max(d.steadyFor, closeBreakerAfter)
		o.closeBreaker(j)
	}
}

// finishTask has a finished task written, or the whole job when it was the
// last one.
func (o *owner) finishTask(j *ownedJob, i int32) {
	o.touch(j)
	if j.nDone == len(j.tasks) {
		o.checkEnd(j)
		return
	}
	j.ledger.records.TaskDone(j.spec, int(i), func() {
		if t := &j.tasks[i]; t.place == completed {
			t.place = written
			j.nWrit++
			o.c.subscription.order(t.machine, j.id, uint32(i), t.attempt, true)
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
	if !j.ledger.joined {
		return nil
	}
	n = min(n, j.startable())
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

// zoneAllows keeps to together and apart, given where the job's
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
