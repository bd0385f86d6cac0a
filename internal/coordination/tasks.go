package coordination

import (
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
		j.ledger.unlocated--
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
		j.ledger.unlocated--
	case inTransit, onMachine:
		o.unhold(j, i)
	default:
		return
	}
	o.setRunning(j, i, false)
	j.nLoc--
	o.c.admission.release(j, i)
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
func (o *owner) lost(j *ownedJob, i int32, why lossReason) {
	t := &j.tasks[i]
	o.losses.add(int(why))
	o.c.log.Debug().Str("job", j.id).Int32("task", i).Uint64("attempt", t.attempt).Str("why", o.losses.kinds[why]).Msg("copy is gone")
	o.lift(j, i)
	if !j.ledger.settled && t.attempt <= j.ledger.lastInherited {
		t.place = unplaced
		j.nLoc++
		j.ledger.unlocated++
		o.c.admission.count(j, 1)
		return
	}
	o.requeue(j, i)
}

func (o *owner) machineGone(m int32) {
	o.c.admission.lingering.machineGone(m)
	refs := append([]taskRef(nil), o.held[m]...)
	for _, r := range refs {
		o.lost(r.job, r.task, lossMachineGone)
	}
}

// settled puts every recovered task that no machine listed back in line.
func (o *owner) settled(l *ownedLedger) {
	l.settled = true
	o.c.log.Info().Str("ledger", l.name).Int("unlisted", l.unlocated).Msg("ledger settled")
	if l.unlocated == 0 {
		return
	}
	for _, j := range l.jobs {
		for i := range j.tasks {
			if j.tasks[i].place == unplaced {
				o.lost(j, int32(i), lossSettled)
			}
		}
	}
}

// reported takes what the leader passes on of a machine. Only a current report
// tells what is on it, as it was sent by a worker that follows the present leader;
// what its absence proves is told by absence. One of a later session, however old,
// proves that all that the machine held before is gone.
func (o *owner) reported(m int32, r *meshpb.MachineStatus) {
	whole := r.Current && !r.Unchanged
	var listed map[taskRef]bool
	if whole && len(r.Tasks) > 0 {
		listed = make(map[taskRef]bool, len(r.Tasks))
		for _, s := range r.Tasks {
			j := o.jobs[s.Job]
			if _, over := o.c.users.finals[s.Job]; j == nil && over {
				// The leader should know that the job is over; in case it does
				// not, what is left of it must still go (ran_cancelled).
				o.c.subscription.order(m, s.Job, s.Task, s.Replica, protocol.TaskState(s.State) == protocol.TaskExited)
			}
			if j == nil || int(s.Task) >= len(j.tasks) {
				continue
			}
			i := int32(s.Task)
			o.listed(&listing{task: taskRef{j, i}, machine: m, session: r.Epoch, state: s})
			if s.Replica == j.tasks[i].attempt {
				listed[taskRef{j, i}] = true
			}
		}
	}
	o.c.admission.lingering.reported(m, r)
	refs := o.held[m]
	for k := len(refs) - 1; k >= 0; k-- {
		ref := refs[k]
		if r.Epoch <= ref.job.tasks[ref.task].session && listed[ref] {
			continue
		}
		if gone, why := o.judge(m, r, ref); gone {
			o.lost(ref.job, ref.task, why)
		}
	}
}

// listing is one task as a machine lists it.
type listing struct {
	task    taskRef
	machine int32
	session uint64
	state   *meshpb.TaskStatus
}

func (s *listing) exited() bool { return protocol.TaskState(s.state.State) == protocol.TaskExited }

func (s *listing) why() protocol.ExitReason { return protocol.ExitReason(s.state.ExitReason) }

// clear has the machine stop or forget the copy that it lists.
func (o *owner) clear(s *listing) {
	o.c.subscription.order(s.machine, s.task.job.id, s.state.Task, s.state.Replica, s.exited())
}

// listed takes one listed task.
func (o *owner) listed(s *listing) {
	j, i := s.task.job, s.task.task
	if j.ending != "" && j.tasks[i].place != written {
		o.arrived(s)
		return // the leader clears machines of jobs that are over
	}
	if !o.acknowledge(s) {
		return
	}
	if !s.exited() {
		o.setRunning(j, i, protocol.TaskState(s.state.State) != protocol.TaskFetching)
		return
	}
	o.exited(s)
}

// arrived notes that the copy of a job that is ending is on its machine. Without
// that the next report, whose list is the same, would be taken for proof that the
// start never arrived, and the copy's use given to others while it still runs.
func (o *owner) arrived(s *listing) {
	t := &s.task.job.tasks[s.task.task]
	if t.place == inTransit && t.machine == s.machine && t.attempt == s.state.Replica && !s.exited() {
		t.place, t.session = onMachine, s.session
	}
}

// acknowledge notes where a listed copy is, and tells whether it is the replica
// that counts.
func (o *owner) acknowledge(s *listing) bool {
	j, i := s.task.job, s.task.task
	t, attempt := &j.tasks[i], s.state.Replica
	switch t.place {
	case written, waiting, cooling:
		// Its result is written, or every copy was proven gone and this is a late
		// list of one.
		o.clear(s)
		return false
	case completed:
		// Its own copy stays listed until the result is written.
		if attempt != t.attempt {
			o.clear(s)
		}
		return false
	case unplaced:
		// A newer copy was proven gone already; or an older one that ended says
		// nothing of a newer one, which may run on a machine that has not been
		// heard of yet.
		if attempt < t.attempt || (s.exited() && s.why() != protocol.ExitReasonDone) {
			o.clear(s)
			return false
		}
		t.attempt = attempt
		j.ledger.lastAttempt = max(j.ledger.lastAttempt, attempt)
		if !s.exited() {
			o.c.admission.found(j, i)
		}
	case inTransit, onMachine:
		if attempt > t.attempt && (!s.exited() || s.why() == protocol.ExitReasonDone) {
			// Of a recovered task an older copy was heard of first. Earlier
			// holders gave this one out once that was proven gone.
			o.setRunning(j, i, false)
			t.attempt = attempt
			j.ledger.lastAttempt = max(j.ledger.lastAttempt, attempt)
		} else if attempt != t.attempt || t.machine != s.machine {
			// Not the replica that counts: its result is ignored.
			if attempt < t.attempt || t.machine != s.machine {
				o.clear(s)
			}
			return false
		}
	}
	o.locate(j, i, s.machine, onMachine)
	t.session = s.session
	return true
}

// exited takes the end of the replica that counts.
func (o *owner) exited(s *listing) {
	j, i, why := s.task.job, s.task.task, s.why()
	if j.spec.Service && (why == protocol.ExitReasonDone || why == protocol.ExitReasonError) {
		o.replicaEnded(j, i, s.machine)
		o.clear(s)
		return
	}
	t := &j.tasks[i]
	switch why {
	case protocol.ExitReasonDone:
		o.lift(j, i)
		j.fails = 0
		o.closeBreaker(j)
		t.place = completed
		j.nDone++
		o.finishTask(j, i)
	case protocol.ExitReasonError:
		o.lift(j, i)
		o.clear(s)
		o.recordFailure(j, s.machine, o.c.now())
		o.cool(j, i, failPause(min(j.fails, mostPaused)))
	case protocol.ExitReasonNoResources, protocol.ExitReasonInUse, protocol.ExitReasonNoSuchTask:
		o.lift(j, i)
		o.clear(s)
		o.cool(j, i, refusedStartPause)
	default:
		o.clear(s)
		o.lost(j, i, lossStopped)
	}
}

// refusedStartPause is after how long a start that a machine refused is tried again.
const refusedStartPause = time.Second

// cool has a task wait for a while before it is placed anew.
func (o *owner) cool(j *ownedJob, i int32, pause time.Duration) {
	t := &j.tasks[i]
	t.place = cooling
	t.readyAt = o.c.now() + pause
	j.cool = append(j.cool, i)
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
	o.cool(j, i, failPause(min(j.fails, mostPaused)))
}

// finishTask has a finished task written, or the whole job when it was the
// last one.
func (o *owner) finishTask(j *ownedJob, i int32) {
	o.touch(j)
	if j.nDone == len(j.tasks) {
		o.checkEnd(j)
		return
	}
	j.ledger.records.FinishTask(j.spec, int(i), func() {
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
func (o *owner) pick(j *ownedJob, n int, m int32, zone string, session, seq uint64) []*meshpb.Binding {
	var picks []*meshpb.Binding
	if !j.ledger.joined {
		return nil
	}
	n = min(n, o.admissible(j))
	for len(picks) < n && len(j.queue) > 0 {
		i := j.queue[0]
		t := &j.tasks[i]
		if t.place != waiting {
			j.queue = j.queue[1:]
			continue
		}
		if !j.zoneAllows(zone) || !o.c.admission.admit(j, i, j.ledger.lastAttempt+1) {
			break
		}
		j.queue = j.queue[1:]
		j.ledger.lastAttempt++
		t.attempt, t.session, t.seq = j.ledger.lastAttempt, session, seq
		o.locate(j, i, m, inTransit)
		picks = append(picks, &meshpb.Binding{Job: j.id, Task: uint32(i), Replica: t.attempt})
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
		if j.spec.SingleZone && n > 0 && z != zone {
			return false
		}
	}
	if known != j.nLoc {
		return false
	}
	return !j.spec.SpreadZones || j.zones[zone]+1 <= (j.spec.Tasks+1)/2
}

// putBack returns picks that were never sent.
func (o *owner) putBack(picks []*meshpb.Binding) {
	for _, p := range picks {
		j := o.jobs[p.Job]
		if j == nil || int(p.Task) >= len(j.tasks) {
			o.c.admission.lingering.unplaced(p)
			continue
		}
		if t := &j.tasks[p.Task]; t.place == inTransit && t.attempt == p.Replica {
			o.lost(j, int32(p.Task), lossNotSent)
		}
	}
}
