package coordination

import (
	"time"

	"github.com/cobaltvale/cobaltvale/internal/protocol"
	"github.com/cobaltvale/cobaltvale/internal/protocol/meshpb"
)

// replicaKey identifies one replica of a task.
type replicaKey struct {
	job     string
	task    uint32
	replica uint64
}

// replicaOnMachine is a replica that a machine lists or was sent a start of.
type replicaOnMachine struct {
	key              replicaKey
	state            protocol.TaskState
	exitReason       protocol.ExitReason
	stateSince       time.Duration // when the leader first observed its state or sent its start
	job              *trackedJob   // nil if the leader does not know the job
	stopRequested    bool          // to make room for other tasks, or to drain the machine
	preemptionExempt bool          // see preemptible
}

// requirementsKnown reports whether the resources that a replica needs are known.
func (r *replicaOnMachine) requirementsKnown() bool { return r.job != nil && r.job.spec != nil }

// machineKind is a combination of machine type, zone and spot or on-demand that the cloud
// offers.
type machineKind struct {
	typeName, zone string
	spot           bool
}

// machine is the leader's state of one machine. Its fields are grouped by the component that
// changes them. Times are on this process's monotonic clock.
type machine struct {
	name  string
	index uint32 // in the machine table, and on this leader's streams

	// From the last heartbeat; see heartbeatIntake.
	machineKind
	epoch, sequence      uint64
	heartbeatSeen        bool          // by this leader, with any fencing token
	lastHeartbeat        time.Duration // its arrival; for a terminated machine, when the termination was observed
	lastCurrentHeartbeat time.Duration // arrival of the last one with this leader's fencing token; 0: none
	reclaimAt            time.Duration // when the cloud reclaims the machine; 0: no notice
	tasks                []replicaOnMachine
	idleSince            time.Duration // since it last ran a replica or was sent a start

	// From the last response.
	responseConnection uint64                                // that the heartbeat last responded to arrived on; 0: unknown
	sentStarts         []replicaOnMachine                    // starts that no heartbeat has confirmed or disproved yet
	pendingResponse    *pendingResponse                      // waiting for bindings; nil: none
	free               resources                             // capacity less what tasks and sentStarts take
	ownerCommands      map[replicaKey]*meshpb.MachineCommand // stops and reaps, repeated until the machine's list shows them done

	// See deliveryTracker.
	lastReachable        time.Duration // last heartbeat that showed the arrival of a response
	reachabilityPresumed bool          // only the delay of that heartbeat showed the arrival

	// See usageAccounting.
	replicasCounted bool      // its replicas are included in their jobs' liveReplicas
	unreconciled    resources // upper bound of what may run on it that no owner accounts for

	// See machineRecorder.
	recordKey               string // key of the machine record that names it; "": none, and it gets no starts
	recordPending           bool   // requested or being written
	recordedByEarlierLeader bool   // an earlier leader may have started tasks on it

	// See statusPublisher.
	statusStreams  []uint64      // by peer index: the stream on which its last status was published
	lastFullStatus time.Duration // when its status was last published in full
	imagesChanged  bool          // since the last status

	// See imageTable.
	images                 []cachedImage
	imagesWithPendingTasks int // how many of these images pending tasks need

	// See quarantine.
	failuresByJob map[string]int // by job id, since the last success on the machine
	quarantined   bool           // it fails tasks, so it gets no starts

	// Changed by the autoscaler, the warm pool and the scheduler.
	createdAt            time.Duration    // 0: unknown
	terminating          bool             // to be released to the cloud, so it gets no more offers
	terminateInFlight    bool             // a release request awaits the cloud's answer
	terminated           bool             // as reported by the cloud, which proves its tasks lost
	neededByPendingTasks bool             // pending tasks can use it
	inWarmPool           bool             // its free resources are kept for services
	reservedFor          *trackedJob      // its resources are kept free for this job as they become free
	offeringResponse     *pendingResponse // the response for which offers are being made at present; nil: none
}

// listsReplica reports whether a machine's last list contains a replica, exited or not.
func (m *machine) listsReplica(key replicaKey) bool {
	for i := range m.tasks {
		if m.tasks[i].key == key {
			return true
		}
	}
	return false
}

// empty reports whether the machine lists no task, was sent no start and awaits no response.
// An exited task counts as one it lists: its result may not be durable yet.
func (m *machine) empty() bool {
	return len(m.tasks)+len(m.sentStarts) == 0 && m.pendingResponse == nil
}

// starting reports whether a machine can't get starts yet: it has sent no heartbeat with this
// leader's fencing token, or no machine record names it.
func (m *machine) starting() bool { return m.lastCurrentHeartbeat == 0 || m.recordKey == "" }

// runsAnyReplica reports whether the machine lists a replica that has not exited.
func (m *machine) runsAnyReplica() bool {
	for i := range m.tasks {
		if m.tasks[i].state != protocol.TaskExited {
			return true
		}
	}
	return false
}

// mayRunUnreconciled reports whether replicas that no owner accounts for may run on a machine:
// it lists some of unknown jobs, or an earlier leader may have started some on it and it has
// not yet sent a heartbeat with this leader's fencing token.
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

// updateFree computes the resources that the listed replicas and the sent starts leave free:
// none while the machine's type or the requirements of a replica are unknown.
func (m *machine) updateFree(machineType *protocol.MachineType) {
	m.free = resources{}
	if machineType == nil {
		return
	}
	free := capacityOf(machineType)
	for i := range m.tasks {
		replica := &m.tasks[i]
		if replica.state == protocol.TaskExited {
			free.listedTasks++
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

// endEpoch removes what a machine listed or was sent in an epoch that has ended: all of it is
// proven lost. It must not be published any more: a member that acquires a shard would consider
// a lost replica its task's current one and the running replica superseded, and the task would
// run twice (rule ran_twice).
func (m *machine) endEpoch(machineType *protocol.MachineType) {
	m.tasks, m.sentStarts, m.ownerCommands = nil, nil, nil
	m.updateFree(machineType)
}

// clear removes what was on a machine that is terminated.
func (m *machine) clear() {
	m.tasks, m.sentStarts, m.ownerCommands, m.images, m.reservedFor = nil, nil, nil, nil, nil
	m.free = resources{}
}
