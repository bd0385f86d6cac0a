package coordination

import (
	"time"

	"github.com/cobaltvale/cobaltvale/internal/protocol/meshpb"
)

const (
	fullStatusInterval  = 10 * time.Second // after this time an unchanged status is published in full again
	maxMachinesPerFrame = 250
	maxItemsPerFrame    = 5000 // tasks and images; a frame's last machine may exceed it
)

// statusPublisher publishes the statuses of machines to the members that own shards.
// It owns the streams to them, and the fields statusStreams, lastFullStatus and
// imagesChanged of every machine.
//
// An owner concludes that a task is not on a machine if the status does not list it.
// Therefore each status names the shards for which its list of tasks is complete:
// those that its receiver has registered.
//
// The list is complete for them because the leader leaves out only tasks of jobs whose
// shard another member has registered. A shard is registered by one member at a time,
// so no task of the receiver's own shards is left out. Tasks of jobs that this leader
// does not know, because it has not finished reading the unfinished jobs, and tasks of
// shards that no member has registered go to every subscriber.
type statusPublisher struct {
	memberCount      int // of the deployment, this one included
	subscribers      []*subscriber
	lastStreamNumber uint64
}

// subscriber is a member that owns shards, so machine statuses are published to it.
type subscriber struct {
	peer              *peer
	streamNumber      uint64   // a new number means that every machine has to be published again
	completeForShards []uint32 // numbers of the shards that it owns
}

// statusContent is how much a published status contains about its machine.
type statusContent int

const (
	statusPresence  statusContent = iota // only that a heartbeat came; it lacked this leader's fencing token
	statusUnchanged                      // the tasks are those of the last status
	statusFull
)

// subscriptionSummary counts what a new subscriber was sent.
type subscriptionSummary struct {
	machines        int
	unknownReplicas int // whose jobs the leader did not know when the machine listed them
}

// publish writes a machine's status to every subscriber. It must be called before the
// response to the machine's heartbeat is sent.
func (p *statusPublisher) publish(m *machine, content statusContent, now time.Duration) {
	if content == statusUnchanged && now-m.lastFullStatus > fullStatusInterval {
		content = statusFull
	}
	if content == statusFull {
		m.lastFullStatus = now
	}
	for _, s := range p.subscribers {
		p.write(s, m, content, now)
	}
	m.imagesChanged = false
}

// write writes a machine's status to one subscriber. The first status of a machine on
// a stream comes with the machine's name, and the first current one lists all of its
// tasks and images.
func (p *statusPublisher) write(s *subscriber, m *machine, content statusContent, now time.Duration) {
	for len(m.statusStreams) < p.memberCount {
		m.statusStreams = append(m.statusStreams, 0)
	}
	batch := s.peer.statusBatch(now)
	current := content != statusPresence
	first := m.statusStreams[s.peer.index] != s.streamNumber
	status := &meshpb.MachineStatus{MachineIndex: m.index, Epoch: m.epoch, Seq: m.sequence, Current: current}
	if first {
		batch.Names = append(batch.Names, &meshpb.MachineName{MachineIndex: m.index, Name: m.name, Zone: m.zone})
	}
	if (first && current) || m.imagesChanged {
		status.ImagesIncluded, status.Images = true, m.imageStatuses()
	}
	if current {
		status.Unchanged = !first && content == statusUnchanged
		status.CompleteForShards = s.completeForShards
		m.statusStreams[s.peer.index] = s.streamNumber
	}
	if current && !status.Unchanged {
		status.Tasks = m.taskStatusesFor(s.peer)
	}
	batch.Statuses = append(batch.Statuses, status)
	s.peer.batchedItems += len(status.Tasks) + len(status.Images)
	// Keeps the frame within its maximum size however long machines' lists are.
	if s.peer.batchedItems >= maxItemsPerFrame || len(batch.Statuses) >= maxMachinesPerFrame {
		s.peer.flush()
	}
}

// subscribe writes what every machine last listed to a member that has just registered
// a shard. Machines whose lease has expired are left out, because what they listed no
// longer runs. What a machine listed in an earlier epoch has been removed by endEpoch.
func (p *statusPublisher) subscribe(to *peer, completeFor []uint32, machines *machineTable, leases machineLeases, now time.Duration) subscriptionSummary {
	p.lastStreamNumber++
	target := p.subscriber(to)
	if target == nil {
		target = &subscriber{peer: to, completeForShards: completeFor}
		p.subscribers = append(p.subscribers, target)
	}
	target.streamNumber = p.lastStreamNumber
	var summary subscriptionSummary
	for m := range machines.all {
		if m.lastCurrentHeartbeat > 0 && !m.terminated && !leases.expired(m, now) {
			p.write(target, m, statusFull, now)
			summary.machines++
			summary.unknownReplicas += m.unknownReplicas()
		}
	}
	return summary
}

// subscriber returns the subscriber of a member, or nil.
func (p *statusPublisher) subscriber(of *peer) *subscriber {
	for _, s := range p.subscribers {
		if s.peer == of {
			return s
		}
	}
	return nil
}

// unsubscribe removes a member whose stream has ended.
func (p *statusPublisher) unsubscribe(of *peer) {
	for i, s := range p.subscribers {
		if s.peer == of {
			p.subscribers = append(p.subscribers[:i], p.subscribers[i+1:]...)
			return
		}
	}
}

// setCompleteForShards updates which shards each subscriber owns. It must be called
// whenever an owner changes, because the statuses sent from then on name these shards.
func (p *statusPublisher) setCompleteForShards(numbersOwnedBy func(*peer) []uint32) {
	for _, s := range p.subscribers {
		s.completeForShards = numbersOwnedBy(s.peer)
	}
}

// broadcast sends a frame to every subscriber.
func (p *statusPublisher) broadcast(f *meshpb.Frame) {
	for _, s := range p.subscribers {
		s.peer.send(f)
	}
}

// ownedByAnother reports whether a member other than p is known to own the replica's
// shard. It returns false for a replica whose job is not known.
func (r *replicaOnMachine) ownedByAnother(p *peer) bool {
	return r.job != nil && r.job.shard != nil && r.job.shard.owner != nil && r.job.shard.owner != p
}

// taskStatusesFor returns the statuses of the replicas that the machine lists, except
// those that are known to be another member's.
func (m *machine) taskStatusesFor(p *peer) []*meshpb.TaskStatus {
	var tasks []*meshpb.TaskStatus
	for i := range m.tasks {
		replica := &m.tasks[i]
		if replica.ownedByAnother(p) {
			continue
		}
		tasks = append(tasks, &meshpb.TaskStatus{Job: replica.key.job, Task: replica.key.task, Replica: replica.key.replica,
			State: uint32(replica.state), ExitReason: uint32(replica.exitReason)})
	}
	return tasks
}

// unknownReplicas returns how many replicas of unknown jobs the machine lists.
func (m *machine) unknownReplicas() int {
	count := 0
	for i := range m.tasks {
		if m.tasks[i].job == nil {
			count++
		}
	}
	return count
}
