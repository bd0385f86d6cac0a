package coordination

import (
	"sort"
	"time"

	"github.com/cobaltvale/cobaltvale/internal/protocol/meshpb"
)

// The leader passes every report on to the members that ledgers have joined for.
// Owners conclude from what a list lacks, so each list names the ledgers for which
// it is complete (Report.complete_for): those that the member has joined for.
//
// Why a list is complete for them. The leader leaves out only tasks of jobs whose
// ledger another member has joined for. A ledger has one such member at a time, so
// no task of the receiver's own ledgers is left out. Tasks of jobs that this leader
// does not know, because its read of the unfinished jobs is late, and tasks of
// ledgers that nobody has joined for go to every member.

const (
	toldEvery = 10 * time.Second // an unchanged list is passed on whole again
	tellChunk = 250              // machines in one frame
	maxListed = 5000             // tasks and images in one frame, but for its last machine's
)

// listener is a member that ledgers have joined for, and thus one that reports
// are passed on to.
type listener struct {
	p           *peer
	stream      uint64   // changes whenever it has to be told everything anew
	completeFor []uint32 // numbers of the ledgers that it has joined for, see setHolder
}

// setHolder notes which member has joined for a ledger; nil: none has. No other
// place changes it, as the lists that go out from now on say so.
func (l *leader) setHolder(g *leaderLedger, p *peer) {
	g.from, g.link = p, nil
	if p != nil {
		g.link = p.link
	}
	for _, s := range l.listeners {
		s.completeFor = l.joinedFor(s.p)
	}
}

// joinedFor returns the numbers of the ledgers that a member has joined for. The
// slice is shared by messages and never changed.
func (l *leader) joinedFor(p *peer) []uint32 {
	var numbers []uint32
	for _, g := range l.ledgers {
		if g.from == p {
			numbers = append(numbers, g.number)
		}
	}
	sort.Slice(numbers, func(a, b int) bool { return numbers[a] < numbers[b] })
	return numbers
}

// addLedger makes a ledger known that nobody has joined for yet.
func (l *leader) addLedger(name string) *leaderLedger {
	g := &leaderLedger{name: name, number: uint32(len(l.ledgers) + 1), jobs: make(map[string]*leaderJob)}
	l.ledgers[name] = g
	return g
}

// heldByAnother tells whether another member than p has joined for a copy's
// ledger. Of a copy whose job is not known that can't be said.
func (t *placed) heldByAnother(p *peer) bool {
	return t.job != nil && t.job.ledger != nil && t.job.ledger.from != nil && t.job.ledger.from != p
}

// passOn writes a report to every member that ledgers have joined for, before
// it is answered.
func (l *leader) passOn(m *machine, current, changed bool, now time.Duration) {
	whole := changed || now-m.toldAt > toldEvery
	if current && whole {
		m.toldAt = now
	}
	for _, s := range l.listeners {
		l.tell(s, m, current, whole, now)
	}
	m.cachedAnew = false
}

// tell writes what is new of a machine to one member. The first that a stream
// hears of a machine is its name and, once that is current, its whole list.
func (l *leader) tell(s *listener, m *machine, current, whole bool, now time.Duration) {
	for len(m.told) < len(l.c.peers)+1 {
		m.told = append(m.told, 0)
	}
	out := s.p.gathered(now)
	fresh := m.told[s.p.index] != s.stream
	r := &meshpb.MachineStatus{MachineIndex: m.index, Epoch: m.session, Seq: m.seq, Current: current}
	if fresh {
		out.Names = append(out.Names, &meshpb.MachineName{MachineIndex: m.index, Name: m.name, Zone: m.zone})
	}
	if (fresh && current) || m.cachedAnew {
		r.ImagesIncluded, r.Images = true, m.imagesToTell()
	}
	if current {
		r.Unchanged = !fresh && !whole
		r.CompleteForShards = s.completeFor
		m.told[s.p.index] = s.stream
	}
	if current && !r.Unchanged {
		r.Tasks = m.tasksFor(s.p)
	}
	out.Statuses = append(out.Statuses, r)
	// However long workers' lists are, a frame stays within its size.
	if s.p.listed += len(r.Tasks) + len(r.Images); s.p.listed >= maxListed || len(out.Statuses) >= tellChunk {
		s.p.flush()
	}
}

// tasksFor returns what a machine lists and is not surely another member's.
func (m *machine) tasksFor(p *peer) []*meshpb.TaskStatus {
	var tasks []*meshpb.TaskStatus
	for i := range m.tasks {
		t := &m.tasks[i]
		if t.heldByAnother(p) {
			continue
		}
		tasks = append(tasks, &meshpb.TaskStatus{Job: t.key.job, Task: t.key.task, Replica: t.key.attempt,
			State: uint32(t.state), ExitReason: uint32(t.why)})
	}
	return tasks
}

// tellAll writes what every machine last listed to a member whose ledger has
// just joined, and counts the machines and their tasks of jobs that this leader did
// not know when they reported. What a machine listed whose lease is over is gone,
// see emptied.
func (l *leader) tellAll(p *peer) (machines, unknown int) {
	now := l.c.now()
	l.streams++
	var to *listener
	for _, s := range l.listeners {
		if s.p == p {
			to = s
		}
	}
	if to == nil {
		to = &listener{p: p, completeFor: l.joinedFor(p)}
		l.listeners = append(l.listeners, to)
	}
	to.stream = l.streams
	for m := range l.machines.all {
		if m.currentAt > 0 && !m.gone && !l.leaseOver(m, now) {
			l.tell(to, m, true, true, now)
			machines++
			unknown += m.unknownTasks()
		}
	}
	return machines, unknown
}

// unknownTasks counts the listed copies whose jobs are not known.
func (m *machine) unknownTasks() int {
	n := 0
	for i := range m.tasks {
		if m.tasks[i].job == nil {
			n++
		}
	}
	return n
}
