package coordination

import (
	"math"
	"time"

	"github.com/cobaltvale/cobaltvale/internal/protocol"
	"github.com/cobaltvale/cobaltvale/internal/protocol/meshpb"
)

// maxMachines bounds the machines that a controller knows: three times a fleet of
// 6,000, as one that was returned is remembered for tombstoneFor and may have been
// replaced twice meanwhile. More are refused at once.
const maxMachines = 20000

// taskKey names one copy of a task.
type taskKey struct {
	job     string
	task    uint32
	attempt uint64
}

// placed is a copy that a machine lists, or that was sent there.
type placed struct {
	key     taskKey
	state   protocol.TaskState
	why     protocol.ExitReason
	since   time.Duration // when it was first seen in its state
	job     *leaderJob    // nil if no joined owner knows it
	stopped bool          // told to stop, to make room
	owed    bool          // it is not, see stoppable
}

// known tells whether the size of a copy is known.
func (p *placed) known() bool { return p.job != nil && p.job.spec != nil }

// variant is a kind of machine that can be rented.
type variant struct {
	typ, zone string
	spot      bool
}

// machine is what the leader knows of one machine.
type machine struct {
	name  string
	index uint32 // on this leader's streams
	variant
	session, seq uint64
	reported     bool          // under this leader
	heard        time.Duration // last report
	currentAt    time.Duration // last report that carried this leader's token
	conn         uint64        // the connection that the last answered report came on
	reached      time.Duration // last report that showed that an answer had arrived
	presumed     bool          // that one showed it only by how late it came
	noticeAt     time.Duration // when the cloud takes it away; 0: no notice
	tasks        []placed
	sent         []placed // starts in the last answer, not yet listed
	listing      bool     // its copies are counted as listed, see enlist
	free         room     // what tasks and sent leave
	orders       map[taskKey]*meshpb.MachineCommand
	idleSince    time.Duration
	rentedAt     time.Duration // 0: not known
	record       string        // state key that names it; without one it gets no starts
	recording    bool
	inherited    bool // an earlier leader named it, and may have given it tasks
	leaving      bool // being returned: no offers any more
	releasing    bool
	pending      *answer
	images       []cachedImage
	wanted       int            // of the images, how many have work waiting
	errors       map[string]int // failures since the last success, by job
	sick         bool
	gone         bool
	unaccounted  room       // what may run on it that no owner accounts for, see countUnaccounted
	heldFor      *leaderJob // its room gathers for this job
	kept         bool       // waiting tasks can use it, see match
	standby      bool       // its room is kept for services
	offering     *answer    // that offers are being made for
	told         []uint64   // by member: the stream on which its last list was passed on
	toldAt       time.Duration
	cachedAnew   bool // its images have changed since they were passed on
}

// machineTable holds the leader's machines, by name and by dense index.
type machineTable struct {
	byName  map[string]*machine
	byIndex []*machine // nil where an index is free
	free    []uint32
	cursor  int // of the work that goes through all machines in slices
}

func (t *machineTable) init() { t.byName = make(map[string]*machine) }

func (t *machineTable) get(name string) *machine { return t.byName[name] }

func (t *machineTable) at(index uint32) *machine {
	if int(index) >= len(t.byIndex) {
		return nil
	}
	return t.byIndex[index]
}

// add makes a machine known; there is no room for more than maxMachines.
func (t *machineTable) add(name string) *machine {
	if m := t.byName[name]; m != nil {
		return m
	}
	if len(t.byName) >= maxMachines {
		return nil
	}
	m := &machine{name: name}
	if n := len(t.free); n > 0 {
		m.index = t.free[n-1]
		t.free = t.free[:n-1]
		t.byIndex[m.index] = m
	} else {
		m.index = uint32(len(t.byIndex))
		t.byIndex = append(t.byIndex, m)
	}
	t.byName[name] = m
	return m
}

func (t *machineTable) remove(m *machine) {
	delete(t.byName, m.name)
	t.byIndex[m.index] = nil
	t.free = append(t.free, m.index)
}

// all yields every machine.
func (t *machineTable) all(yield func(*machine) bool) {
	for _, m := range t.byIndex {
		if m != nil && !yield(m) {
			return
		}
	}
}

// slice yields the next part of all machines; parts calls go through them all.
func (t *machineTable) slice(parts int, yield func(*machine)) {
	n := len(t.byIndex)
	for range (n + parts - 1) / parts {
		t.cursor++
		if t.cursor >= n {
			t.cursor = 0
		}
		if m := t.byIndex[t.cursor]; m != nil {
			yield(m)
		}
	}
}

// room is what a machine has free.
type room struct{ cpus, gpus, memory float64 }

func (r room) fits(s *meshpb.JobSummary) bool {
	const slack = 1e-9
	return s.Cpus <= r.cpus+slack && s.Gpus <= r.gpus+slack && s.MemoryGb <= r.memory+slack
}

func (r *room) take(s *meshpb.JobSummary) {
	r.cpus -= s.Cpus
	r.gpus -= s.Gpus
	r.memory -= s.MemoryGb
}

func (r *room) give(s *meshpb.JobSummary) {
	r.cpus += s.Cpus
	r.gpus += s.Gpus
	r.memory += s.MemoryGb
}

func capacityOf(t *protocol.MachineType) room { return room{t.CPUs, t.GPUs, t.MemoryGB} }

// measure works out what a machine's reports and the starts on their way to
// it leave free.
func (l *leader) measure(m *machine) {
	m.free = room{}
	t := l.c.fleet.types[m.typ]
	if t == nil {
		return
	}
	r := capacityOf(t)
	for i := range m.tasks {
		p := &m.tasks[i]
		if p.state == protocol.TaskExited {
			continue
		}
		if !p.known() {
			return // a task of unknown size
		}
		r.take(p.job.spec)
	}
	for i := range m.sent {
		r.take(m.sent[i].job.spec)
	}
	m.free = r
}

// usable tells whether a machine may get starts at all. It may not while no
// report shows that answers reach it: what it is sent might never arrive.
func (l *leader) usable(m *machine, now time.Duration) bool {
	return m.currentAt > 0 && m.record != "" && !m.gone && !m.leaving && !m.sick && m.noticeAt == 0 && now-m.reached <= l.c.silenceAfter()
}

// enlist counts the live copies that a machine lists, or was sent, with their
// jobs: of a job that is over, they are what its team still uses.
func (l *leader) enlist(m *machine) {
	if !m.listing {
		m.listing = true
		l.countListed(m, 1)
	}
}

// unlist takes them out again: before the list changes, or when the machine's
// lease is surely over.
func (l *leader) unlist(m *machine) {
	if m.listing {
		m.listing = false
		l.countListed(m, -1)
	}
}

func (l *leader) countListed(m *machine, by int) {
	count := func(list []placed) {
		for i := range list {
			if p := &list[i]; p.job != nil && p.state != protocol.TaskExited {
				p.job.listed += by
				if p.job.closed {
					l.recount(p.job)
				}
			}
		}
	}
	count(m.tasks)
	count(m.sent)
}

// leaseOver tells whether a machine's lease has surely ended, whoever answered
// its worker.
func (l *leader) leaseOver(m *machine, now time.Duration) bool {
	return now-max(m.heard, l.since) > l.c.leaseSpan()
}

// countUnaccounted notes how much may run on a machine that no owner accounts for:
// copies of unknown jobs, or whatever is on a machine that has not yet
// answered to this leader.
func (l *leader) countUnaccounted(m *machine, now time.Duration) {
	most := room{}
	if !m.gone && !l.leaseOver(m, now) {
		unknown := m.currentAt == 0 && m.inherited
		for i := range m.tasks {
			unknown = unknown || (m.tasks[i].job == nil && m.tasks[i].state != protocol.TaskExited)
		}
		if unknown {
			most = l.largest(m.typ)
		}
	} else {
		l.unlist(m)
	}
	l.unaccounted.cpus += most.cpus - m.unaccounted.cpus
	l.unaccounted.gpus += most.gpus - m.unaccounted.gpus
	m.unaccounted = most
}

// largest is the size of a type, or of the largest one while a machine's type
// is not known.
func (l *leader) largest(typ string) room {
	if t := l.c.fleet.types[typ]; t != nil {
		return capacityOf(t)
	}
	var r room
	for _, t := range l.c.fleet.types {
		r.cpus, r.gpus = math.Max(r.cpus, t.CPUs), math.Max(r.gpus, t.GPUs)
	}
	return r
}

func (m *machine) lists(key taskKey) bool {
	for i := range m.tasks {
		if m.tasks[i].key == key {
			return true
		}
	}
	return false
}

// empty tells whether nothing is on the machine or on its way there. An
// ended task counts: its result may not be written yet.
func (m *machine) empty() bool {
	return len(m.tasks)+len(m.sent) == 0 && m.pending == nil
}

// comes tells whether a machine has not come so far that it may get starts.
func (m *machine) comes() bool { return m.currentAt == 0 || m.record == "" }
