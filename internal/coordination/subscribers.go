package coordination

import (
	"time"

	"github.com/cobaltvale/cobaltvale/internal/protocol/meshpb"
)

const (
	fullStatusInterval  = 10 * time.Second // an unchanged status is published in full again
	maxMachinesPerFrame = 250
	maxItemsPerFrame    = 5000 // tasks and images, but for those of a frame's last machine
)

// statusPublisher passes the status of machines on to the members that own shards.
// It owns the streams to them, and of a machine statusStreams, lastFullStatus and
// imagesChanged.
//
// Owners conclude from what a status lacks, so each names the shards for which its
// list of tasks is complete: those that its receiver has registered.
//
// Why a list is complete for them. The leader leaves out only tasks of jobs whose
// shard another member has registered. A shard has one such member at a time, so no
// task of the receiver's own shards is left out. Tasks of jobs that this leader does
// not know, because its read of the unfinished jobs is late, and tasks of shards
// that nobody has registered go to every member.
type statusPublisher struct {
	memberCount      int // of the deployment
	subscribers      []*subscriber
	lastStreamNumber uint64
}

// subscriber is a member that owns shards, and so one that statuses are published to.
type subscriber struct {
	peer              *peer
	streamNumber      uint64   // changes whenever it has to be told everything anew
	completeForShards []uint32 // numbers of the shards that it owns
}

// statusContent is how much of a machine a published status says.
type statusContent int

const (
	statusPresence  statusContent = iota // a heartbeat came without this leader's fencing token
	statusUnchanged                      // the tasks are those of the last status
	statusFull
)

// subscriptionSummary is what a new subscriber was told.
type subscriptionSummary struct {
	machines        int
	unknownReplicas int // of jobs that the leader did not know when they were listed
}

// publish writes a machine's status to every subscriber, before its heartbeat is
// responded to.
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

// write writes what is new of a machine to one subscriber. The first that a stream
// hears of a machine is its name and, once that is current, its whole list.
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
	// However long machines' lists are, a frame stays within its size.
	if s.peer.batchedItems >= maxItemsPerFrame || len(batch.Statuses) >= maxMachinesPerFrame {
		s.peer.flush()
	}
}

// subscribe writes what every machine last listed to a member that has just
// registered a shard. What a machine listed whose lease has expired is gone; so is
// what it listed in an earlier epoch, see endEpoch.
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

// subscriber returns a member's subscription, or nil.
func (p *statusPublisher) subscriber(of *peer) *subscriber {
	for _, s := range p.subscribers {
		if s.peer == of {
			return s
		}
	}
	return nil
}

// unsubscribe forgets a member whose stream has ended.
func (p *statusPublisher) unsubscribe(of *peer) {
	for i, s := range p.subscribers {
		if s.peer == of {
			p.subscribers = append(p.subscribers[:i], p.subscribers[i+1:]...)
			return
		}
	}
}

// setCompleteForShards takes in anew which shards each subscriber owns. It is called
// whenever an owner changes, as the statuses that go out from then on say so.
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

// ownedByAnother tells whether another member than p owns a replica's shard. Of a
// replica whose job is not known that can't be said.
func (r *replicaOnMachine) ownedByAnother(p *peer) bool {
	return r.job != nil && r.job.shard != nil && r.job.shard.owner != nil && r.job.shard.owner != p
}

// taskStatusesFor returns what a machine lists that is not surely another member's.
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

// unknownReplicas counts the listed replicas whose jobs are not known.
func (m *machine) unknownReplicas() int {
	n := 0
	for i := range m.tasks {
		if m.tasks[i].job == nil {
			n++
		}
	}
	return n
}
