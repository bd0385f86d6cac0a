package coordination

import (
	"math"
	"time"

	"github.com/cobaltvale/cobaltvale/internal/protocol"
	"github.com/cobaltvale/cobaltvale/internal/protocol/meshpb"
)

const maxClearing = 300 // stops and forgets in one answer

func (l *leader) onReport(r *protocol.Heartbeat, conn uint64, now time.Duration, reply func(Response)) {
	m := l.machines.add(r.Machine)
	switch {
	case m == nil:
		reply(l.c.refusal(503, "too many machines", 1))
		return
	case m.gone:
		l.c.noteAnswer(answerMachineReturned)
		reply(l.c.refusal(503, "machine was returned", 1))
		return
	case m.reported && (r.Epoch < m.session || (r.Epoch == m.session && r.Seq <= m.seq)):
		// A late copy. It says nothing new, and an answer that a worker took
		// for a new one would renew its lease.
		l.c.noteAnswer(answerLateReport)
		reply(l.c.refusal(503, "report is older than one before", 1))
		return
	}
	if m.pending != nil {
		l.giveUp(m.pending)
	}
	arrives := l.note(m, r, conn, now)
	a := &answer{m: m, reply: reply, at: now, conn: conn, session: r.Epoch, seq: r.Seq}
	a.commands = l.clearing(m)
	if arrives {
		l.preempt(m, a, now)
		l.makeOffers(m, a, now)
	}
	if len(a.open) == 0 {
		l.finish(a)
		return
	}
	m.pending = a
	l.answers = append(l.answers, a)
}

// triesWithin is how soon a worker surely reports again that got no answer.
const triesWithin = answerTime + 2*time.Second

// note takes a report into the machine's record and passes it on. A report
// without this leader's token may be a copy from long ago, or the first that a
// worker sends here: it says only that the machine may be there. The worker's
// next one, half a second after it has seen the token, says the rest. It
// returns whether the report shows that answers arrive.
func (l *leader) note(m *machine, r *protocol.Heartbeat, conn uint64, now time.Duration) (arrives bool) {
	first := !m.reported
	anew := m.currentAt == 0 || r.Epoch != m.session
	if m.variant != (variant{r.Type, r.Zone, r.Spot}) {
		m.variant = variant{r.Type, r.Zone, r.Spot}
		l.measure(m)
	}
	if first {
		l.inherit(m)
		m.idleSince, m.reached, l.reportAt = now, now, now
	}
	if m.reported && r.Epoch > m.session {
		l.emptied(m)
	}
	gap := now - m.heard
	m.session, m.seq, m.reported, m.heard = r.Epoch, r.Seq, true, now
	if r.FencingToken != l.token {
		if m.rentedAt != 0 {
			l.requestRecord(m) // so that its next report, half a second on, gets starts
		}
		l.countUnaccounted(m, now)
		l.passOn(m, false, false, now)
		return false
	}
	arrives = l.answersArrive(m, conn, gap, now)
	m.currentAt = now
	if r.TerminationNotice && m.noticeAt == 0 {
		m.noticeAt = now + seconds(math.Max(0, r.TerminationInS))
	} else if !r.TerminationNotice {
		m.noticeAt = 0
	}
	changed := anew || !m.sameList(r.Tasks)
	if changed || len(m.sent) > 0 {
		l.unlist(m)
		if changed {
			l.takeList(m, r.Tasks, now)
		}
		m.sent = nil
		l.measure(m)
	}
	l.enlist(m)
	for i := range m.tasks {
		if m.tasks[i].state != protocol.TaskExited {
			m.idleSince = now
			break
		}
	}
	l.requestRecord(m)
	l.countUnaccounted(m, now)
	l.passOn(m, true, changed, now)
	return arrives
}

// answersArrive tells whether a current report, that came a while after the one
// before, shows that answers reach its worker.
func (l *leader) answersArrive(m *machine, conn uint64, gap, now time.Duration) bool {
	// A worker that knows this leader's token for the first time, or has stayed
	// on the connection of its last report, has had an answer.
	proven := m.currentAt == 0 || (conn != 0 && conn == m.conn)
	// One that had none tries again sooner: one that comes later was away, or has
	// lost its connection since. That holds once, until there is better proof.
	if !proven && (gap <= triesWithin || m.presumed) {
		return false
	}
	m.presumed = !proven
	if !proven {
		l.c.noteAnswer(startPresumed)
	}
	m.reached = now
	if proven {
		l.reportAt = now
	}
	return true
}

// emptied notes that a machine's session is over: whatever it listed or was
// sent in it is gone. Nobody may be told of it any more: who takes a ledger up
// anew would think that it counts, and that the replica does not (ran_twice).
func (l *leader) emptied(m *machine) {
	l.unlist(m)
	m.tasks, m.sent, m.orders = nil, nil, nil
	l.measure(m)
}

// sameList tells whether a report lists what the one before did, and nothing
// in it was unknown then.
func (m *machine) sameList(tasks []protocol.TaskStatus) bool {
	if len(tasks) != len(m.tasks) {
		return false
	}
	for i := range tasks {
		t, p := &tasks[i], &m.tasks[i]
		if p.job == nil || p.key.job != t.Job || p.key.task != uint32(t.Task) || p.key.attempt != t.Replica || p.state != t.State || p.why != t.ExitReason {
			return false
		}
	}
	return true
}

// takeList takes a changed list of tasks.
func (l *leader) takeList(m *machine, reported []protocol.TaskStatus, now time.Duration) {
	find := func(list []placed, key taskKey) *placed {
		for i := range list {
			if list[i].key == key {
				return &list[i]
			}
		}
		return nil
	}
	before := m.tasks
	m.tasks = make([]placed, 0, len(reported))
	typ := l.c.fleet.types[m.typ]
	for _, t := range reported {
		key := taskKey{t.Job, uint32(t.Task), t.Replica}
		p := placed{key: key, state: t.State, why: t.ExitReason, since: now, job: l.jobs[t.Job]}
		old := find(before, key)
		if old == nil {
			old = find(m.sent, key) // it may have ended before it was ever listed
		}
		if old != nil {
			p.stopped, p.owed = old.stopped, old.owed
			if old.state == t.State {
				p.since = old.since
			}
		}
		if p.job != nil && p.job.image != nil && typ != nil && t.State != protocol.TaskExited {
			m.useImage(p.job.image, typ.CacheGB, now)
		}
		if t.State == protocol.TaskExited && old != nil && old.state != protocol.TaskExited {
			l.noteEnd(m, &p, old, now)
		}
		m.tasks = append(m.tasks, p)
	}
	for key := range m.orders {
		if !m.lists(key) {
			delete(m.orders, key)
		}
	}
}

// clearing returns the commands that remove what should not be, or no longer
// need be, on the machine. They are repeated until the report shows the end.
func (l *leader) clearing(m *machine) []protocol.Command {
	if len(m.tasks) == 0 {
		return nil
	}
	all := l.allJoined()
	var cmds []protocol.Command
	for i := range m.tasks {
		if len(cmds) >= maxClearing {
			break // an answer is limited in size; the rest follows with the next
		}
		t := &m.tasks[i]
		order := m.orders[t.key]
		over := (t.job == nil && all) || (t.job != nil && t.job.closed)
		ending := over || (t.job != nil && t.job.ending)
		exited := t.state == protocol.TaskExited
		switch {
		case exited && (over || (order != nil && order.Reap)):
			cmds = append(cmds, protocol.Command{Op: protocol.CommandReap, Task: protocol.TaskName(t.key.job, int(t.key.task)), Replica: t.key.attempt})
		case !exited && (ending || (order != nil && !order.Reap)):
			grace := 0.0
			if order != nil && !ending {
				grace = order.GraceS
			}
			cmds = append(cmds, protocol.Command{Op: protocol.CommandStop, Task: protocol.TaskName(t.key.job, int(t.key.task)), Replica: t.key.attempt, GraceS: &grace})
		}
	}
	return cmds
}

// onOrders takes an owner's requests to stop or forget copies.
func (l *leader) onOrders(p *peer, f *meshpb.MachineCommands) {
	for _, o := range f.Commands {
		m, j := l.machines.at(o.MachineIndex), l.jobs[o.Job]
		if m == nil || j == nil || j.ledger == nil || j.ledger.from != p {
			continue
		}
		l.order(m, o)
	}
}

func (l *leader) order(m *machine, o *meshpb.MachineCommand) {
	key := taskKey{o.Job, o.Task, o.Replica}
	if !m.lists(key) {
		return
	}
	if m.orders == nil {
		m.orders = make(map[taskKey]*meshpb.MachineCommand)
	}
	m.orders[key] = o
}

// goneForGood ends a machine that the cloud says is no more.
func (l *leader) goneForGood(m *machine) {
	if m.gone {
		return
	}
	m.gone = true
	if m.pending != nil {
		l.giveUp(m.pending)
	}
	l.unlist(m)
	m.tasks, m.sent, m.orders, m.images, m.heldFor = nil, nil, nil, nil, nil
	m.free = room{}
	m.heard = l.c.now()
	l.countUnaccounted(m, m.heard)
	f := &meshpb.Frame{Body: &meshpb.Frame_MachineTerminated{MachineTerminated: &meshpb.MachineTerminated{Name: m.name}}}
	for _, s := range l.listeners {
		s.p.send(f)
	}
}

// noteEnd draws conclusions from a task that has just ended on a machine.
func (l *leader) noteEnd(m *machine, p, old *placed, now time.Duration) {
	if p.job == nil {
		return
	}
	switch {
	case p.why == protocol.ExitReasonDone && p.job.spec != nil && p.job.spec.Service:
		// The machine keeps the result: started there again it would end at once.
		if p.job.errorsOn == nil {
			p.job.errorsOn = make(map[string]bool)
		}
		p.job.errorsOn[m.name] = true
	case p.why == protocol.ExitReasonDone:
		m.errors = nil
		p.job.succeeded = true
		p.job.errorsOn = nil
		if old.state == protocol.TaskRunning && p.job.spec != nil {
			l.learn(p.job.spec, now-old.since)
		}
	case p.why == protocol.ExitReasonError:
		if m.errors == nil {
			m.errors = make(map[string]int)
		}
		m.errors[p.key.job]++
		if p.job.errorsOn == nil {
			p.job.errorsOn = make(map[string]bool)
		}
		known := p.job.errorsOn[m.name]
		p.job.errorsOn[m.name] = true
		l.judgeSick(m)
		if known || p.job.succeeded || !p.job.failsAnywhere(l.rent.there) {
			return
		}
		for name := range p.job.errorsOn {
			if o := l.machines.get(name); o != nil && o.sick {
				l.judgeSick(o)
			}
		}
	}
}

// judgeSick sets a machine aside that fails the tasks of several jobs, or again
// and again those of one that does well elsewhere. A job that fails everywhere
// does not count against any machine, nor one that has failed on most of the few
// that there are: once that shows, machines set aside for it come back.
func (l *leader) judgeSick(m *machine) {
	jobs, errs := 0, 0
	for id, n := range m.errors {
		j := l.jobs[id]
		if j != nil && !j.succeeded && j.failsAnywhere(l.rent.there) {
			continue
		}
		jobs++
		if j != nil && j.succeeded {
			errs += n
		}
	}
	sick := jobs >= 2 || errs >= sickErrors
	if sick && !m.sick {
		l.c.log.Info().Str("machine", m.name).Int("errors", errs).Msg("machine fails its tasks, set aside")
	}
	m.sick = sick
}

// failsAnywhere tells whether a job has failed on so many machines, or so great a
// part of them, that the mistake is its own.
func (j *leaderJob) failsAnywhere(machines int) bool {
	return len(j.errorsOn) >= failsOn || (len(j.errorsOn) > 1 && 2*len(j.errorsOn) > machines)
}
