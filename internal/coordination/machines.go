package coordination

import (
	"math"
	"time"

	"github.com/cobaltvale/cobaltvale/internal/cloud"
	"github.com/cobaltvale/cobaltvale/internal/protocol"
	"github.com/cobaltvale/cobaltvale/internal/protocol/meshpb"
)

// maxMachines bounds the machines that a controller knows: three times a fleet of
// 6,000, as one that was returned is remembered for tombstoneFor and may have been
// replaced twice meanwhile. More are refused at once.
const maxMachines = 20000

// replicaKey names one copy of a task.
type replicaKey struct {
	job     string
	task    uint32
	replica uint64
}

// replicaOnMachine is a copy that a machine lists, or that was sent there.
type replicaOnMachine struct {
	key              replicaKey
	state            protocol.TaskState
	exitReason       protocol.ExitReason
	since            time.Duration // when it was first seen in its state
	job              *trackedJob   // nil if no joined owner knows it
	stopRequested    bool          // told to stop, to make room
	preemptionExempt bool          // it is not, see stoppable
}

// sizeKnown tells whether the size of a copy is known.
func (p *replicaOnMachine) sizeKnown() bool { return p.job != nil && p.job.spec != nil }

// machineKind is a kind of machine that can be rented.
type machineKind struct {
	typeName, zone string
	spot           bool
}

// machine is what the leader knows of one machine.
type machine struct {
	name  string
	index uint32 // on this leader's streams
	machineKind
	epoch, sequence      uint64
	heartbeatSeen        bool          // under this leader
	lastHeartbeat        time.Duration // last report
	lastCurrentHeartbeat time.Duration // last report that carried this leader's token
	connection           uint64        // the connection that the last answered report came on
	lastReachable        time.Duration // last report that showed that an answer had arrived
	reachPresumed        bool          // that one showed it only by how late it came
	reclaimAt            time.Duration // when the cloud takes it away; 0: no notice
	tasks                []replicaOnMachine
	sentStarts           []replicaOnMachine // starts in the last answer, not yet listed
	replicasCounted      bool               // its copies are counted as listed, see enlist
	free                 resources          // what tasks and sent leave
	commands             map[replicaKey]*meshpb.MachineCommand
	idleSince            time.Duration
	createdAt            time.Duration // 0: not known
	recordKey            string        // state key that names it; without one it gets no starts
	recordPending        bool
	fromEarlierLeader    bool // an earlier leader named it, and may have given it tasks
	terminating          bool // being returned: no offers any more
	terminateInFlight    bool
	pending              *pendingResponse
	images               []cachedImage
	wantedImages         int            // of the images, how many have work waiting
	failuresByJob        map[string]int // failures since the last success, by job
	quarantined          bool
	terminated           bool
	unreconciled         resources        // what may run on it that no owner accounts for, see countUnaccounted
	reservedFor          *trackedJob      // its room gathers for this job
	needed               bool             // waiting tasks can use it, see match
	inWarmPool           bool             // its room is kept for services
	offeringFor          *pendingResponse // that offers are being made for
	statusStreams        []uint64         // by member: the stream on which its last list was passed on
	lastFullStatus       time.Duration
	imagesChanged        bool // its images have changed since they were passed on
}

// machineTable holds the leader's machines, by name and by dense index.
type machineTable struct {
	byName      map[string]*machine
	byIndex     []*machine // nil where an index is free
	freeIndexes []uint32
	cursor      int // of the work that goes through all machines in slices
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
	if n := len(t.freeIndexes); n > 0 {
		m.index = t.freeIndexes[n-1]
		t.freeIndexes = t.freeIndexes[:n-1]
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
	t.freeIndexes = append(t.freeIndexes, m.index)
}

// all yields every machine.
func (t *machineTable) all(yield func(*machine) bool) {
	for _, m := range t.byIndex {
		if m != nil && !yield(m) {
			return
		}
	}
}

// nextSlice yields the next part of all machines; parts calls go through them all.
func (t *machineTable) nextSlice(parts int, yield func(*machine)) {
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

// resources is what a machine has free.
type resources struct{ cpus, gpus, memory float64 }

func (r resources) fits(s *meshpb.JobSummary) bool {
	const slack = 1e-9
	return s.Cpus <= r.cpus+slack && s.Gpus <= r.gpus+slack && s.MemoryGb <= r.memory+slack
}

func (r *resources) subtract(s *meshpb.JobSummary) {
	r.cpus -= s.Cpus
	r.gpus -= s.Gpus
	r.memory -= s.MemoryGb
}

func (r *resources) add(s *meshpb.JobSummary) {
	r.cpus += s.Cpus
	r.gpus += s.Gpus
	r.memory += s.MemoryGb
}

func capacityOf(t *protocol.MachineType) resources { return resources{t.CPUs, t.GPUs, t.MemoryGB} }

// updateFree works out what a machine's reports and the starts on their way to
// it leave free.
func (l *leader) updateFree(m *machine) {
	m.free = resources{}
	machineType := l.c.cloud.Type(m.typeName)
	if machineType == nil {
		return
	}
	free := capacityOf(machineType)
	for i := range m.tasks {
		replica := &m.tasks[i]
		if replica.state == protocol.TaskExited {
			continue
		}
		if !replica.sizeKnown() {
			return // a task of unknown size
		}
		free.subtract(replica.job.spec)
	}
	for i := range m.sentStarts {
		free.subtract(m.sentStarts[i].job.spec)
	}
	m.free = free
}

// schedulable tells whether a machine may get starts at all. It may not while no
// report shows that answers reach it: what it is sent might never arrive.
func (l *leader) schedulable(m *machine, now time.Duration) bool {
	return m.lastCurrentHeartbeat > 0 && m.recordKey != "" && !m.terminated && !m.terminating && !m.quarantined && m.reclaimAt == 0 && now-m.lastReachable <= l.c.silenceAfter()
}

// largestCapacity is the size of a type, or of the largest one while a machine's type
// is not known.
func largestCapacity(catalog cloud.Catalog, typeName string) resources {
	if t := catalog[typeName]; t != nil {
		return capacityOf(t)
	}
	var r resources
	for _, t := range catalog {
		r.cpus, r.gpus = math.Max(r.cpus, t.CPUs), math.Max(r.gpus, t.GPUs)
	}
	return r
}

// mayRunUnreconciled tells whether replicas may run on a machine that no owner
// accounts for: it lists some of unknown jobs, or an earlier leader may have given
// it some and it has not responded to this one yet.
func (m *machine) mayRunUnreconciled() bool {
	if m.lastCurrentHeartbeat == 0 && m.fromEarlierLeader {
		return true
	}
	for i := range m.tasks {
		if m.tasks[i].job == nil && m.tasks[i].state != protocol.TaskExited {
			return true
		}
	}
	return false
}

func (m *machine) listsReplica(key replicaKey) bool {
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
	return len(m.tasks)+len(m.sentStarts) == 0 && m.pending == nil
}

// starting tells whether a machine has not come so far that it may get starts.
func (m *machine) starting() bool { return m.lastCurrentHeartbeat == 0 || m.recordKey == "" }
