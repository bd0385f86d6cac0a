package coordination

import (
	"time"

	"github.com/cobaltvale/cobaltvale/internal/protocol"
	"github.com/cobaltvale/cobaltvale/internal/protocol/meshpb"
)

// replicaKey names one replica of a task.
type replicaKey struct {
	job     string
	task    uint32
	replica uint64
}

// replicaOnMachine is a replica that a machine lists, or that was sent there.
type replicaOnMachine struct {
	key              replicaKey
	state            protocol.TaskState
	exitReason       protocol.ExitReason
	stateSince       time.Duration // when it was first seen in its state
	job              *trackedJob   // nil if no registered owner knows it
	stopRequested    bool          // to make room for others, or as the machine is to go
	preemptionExempt bool          // see preemptible
}

// requirementsKnown tells whether it is known what a replica needs.
func (r *replicaOnMachine) requirementsKnown() bool { return r.job != nil && r.job.spec != nil }

// machineKind is a kind of machine that the cloud offers.
type machineKind struct {
	typeName, zone string
	spot           bool
}

// machine is what the leader knows of one machine. Its fields are grouped by the
// component that changes them.
type machine struct {
	name  string
	index uint32 // in the machine table, and on this leader's streams

	// Of the last heartbeat.
	machineKind
	epoch, sequence      uint64
	heartbeatSeen        bool          // under this leader
	lastHeartbeat        time.Duration // when it came
	lastCurrentHeartbeat time.Duration // the last with this leader's fencing token
	reclaimAt            time.Duration // when the cloud takes the machine away; 0: no notice
	tasks                []replicaOnMachine
	idleSince            time.Duration

	// Of the last response.
	responseConnection uint64             // that the heartbeat came on
	sentStarts         []replicaOnMachine // not yet listed
	pendingResponse    *pendingResponse   // nil: none waits for bindings
	free               resources          // what tasks and sentStarts leave
	ownerCommands      map[replicaKey]*meshpb.MachineCommand

	// See deliveryTracker.
	lastReachable        time.Duration // last heartbeat that showed that a response had arrived
	reachabilityPresumed bool          // it showed that only by how late it came

	// See usageAccounting.
	replicasCounted bool      // its replicas are counted with their jobs
	unreconciled    resources // what may run on it that no owner accounts for

	// See machineRecorder.
	recordKey               string // of the record that names it; without one it gets no starts
	recordPending           bool
	recordedByEarlierLeader bool // an earlier leader named it, and may have given it tasks

	// See statusPublisher.
	statusStreams  []uint64 // by member: the stream on which its last status was published
	lastFullStatus time.Duration
	imagesChanged  bool // since the last status

	// See imageTable.
	images                 []cachedImage
	imagesWithPendingTasks int // of these, how many have work waiting

	// See quarantine.
	failuresByJob map[string]int // since the last success
	quarantined   bool

	// Of the autoscaler, the warm pool and the scheduler.
	createdAt            time.Duration // 0: not known
	terminating          bool          // it gets no offers any more
	terminateInFlight    bool
	terminated           bool
	neededByPendingTasks bool             // waiting tasks can use it
	inWarmPool           bool             // its room is kept for services
	reservedFor          *trackedJob      // its room gathers for this job
	offeringResponse     *pendingResponse // that offers are being made for
}

// listsReplica tells whether a machine lists a replica, ended or not.
func (m *machine) listsReplica(key replicaKey) bool {
	for i := range m.tasks {
		if m.tasks[i].key == key {
			return true
		}
	}
	return false
}

// empty tells whether nothing is on the machine or on its way there. An ended task
// counts: its result may not be durable yet.
func (m *machine) empty() bool {
	return len(m.tasks)+len(m.sentStarts) == 0 && m.pendingResponse == nil
}

// starting tells whether a machine has not come so far that it may get starts.
func (m *machine) starting() bool { return m.lastCurrentHeartbeat == 0 || m.recordKey == "" }

// runsAnyReplica tells whether the machine lists a replica that has not ended.
func (m *machine) runsAnyReplica() bool {
	for i := range m.tasks {
		if m.tasks[i].state != protocol.TaskExited {
			return true
		}
	}
	return false
}

// mayRunUnreconciled tells whether replicas may run on a machine that no owner
// accounts for: it lists some of unknown jobs, or an earlier leader may have given
// it some and it has not responded to this one yet.
func (m *machine) mayRunUnreconciled() bool {
	if m.lastCurrentHeartbeat == 0 && m.recordedByEarlierLeader {
		return true
	}
	for i := range m.tasks {
		if m.tasks[i].job == nil && m.tasks[i].state != protocol.TaskExited {
			return true
		}
	}
	return false
}

// updateFree works out what the listed replicas and the starts on their way leave
// free: nothing while the machine's type or the size of a replica is unknown.
func (m *machine) updateFree(machineType *protocol.MachineType) {
	m.free = resources{}
	if machineType == nil {
		return
	}
	free := capacityOf(machineType)
	for i := range m.tasks {
		replica := &m.tasks[i]
		if replica.state == protocol.TaskExited {
			continue
		}
		if !replica.requirementsKnown() {
			return
		}
		free.subtract(replica.job.spec)
	}
	for i := range m.sentStarts {
		free.subtract(m.sentStarts[i].job.spec)
	}
	m.free = free
}

// endEpoch forgets what a machine listed or was sent in an epoch that has ended: all
// of it is gone. Nobody may be told of it any more: who acquires a shard would think
// that it counts, and that the replica does not (ran_twice).
func (m *machine) endEpoch(machineType *protocol.MachineType) {
	m.tasks, m.sentStarts, m.ownerCommands = nil, nil, nil
	m.updateFree(machineType)
}

// clear forgets what was on a machine that is terminated.
func (m *machine) clear() {
	m.tasks, m.sentStarts, m.ownerCommands, m.images, m.reservedFor = nil, nil, nil, nil, nil
	m.free = resources{}
}
