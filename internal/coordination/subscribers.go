package coordination

import (
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
	fullStatusInterval  = 10 * time.Second // an unchanged list is passed on whole again
	maxMachinesPerFrame = 250              // machines in one frame
	maxItemsPerFrame    = 5000             // tasks and images in one frame, but for its last machine's
)

// subscriber is a member that ledgers have joined for, and thus one that reports
// are passed on to.
type subscriber struct {
	peer        *peer
	stream      uint64   // changes whenever it has to be told everything anew
	completeFor []uint32 // numbers of the ledgers that it has joined for, see setHolder
}

// setShardOwner notes which member has joined for a ledger; nil: none has. No other
// place changes it, as the lists that go out from now on say so.
func (l *leader) setShardOwner(shard *shardState, p *peer) {
	l.shards.setOwner(shard, p)
	for _, subscriber := range l.subscribers {
		subscriber.completeFor = l.shards.numbersOwnedBy(subscriber.peer)
	}
}

// ownedByAnother tells whether another member than p has joined for a copy's
// ledger. Of a copy whose job is not known that can't be said.
func (t *replicaOnMachine) ownedByAnother(p *peer) bool {
	return t.job != nil && t.job.shard != nil && t.job.shard.owner != nil && t.job.shard.owner != p
}

// publishStatus writes a report to every member that ledgers have joined for, before
// it is answered.
func (l *leader) publishStatus(m *machine, current, changed bool, now time.Duration) {
	full := changed || now-m.lastFullStatus > fullStatusInterval
	if current && full {
		m.lastFullStatus = now
	}
	for _, subscriber := range l.subscribers {
		l.writeStatus(subscriber, m, current, full, now)
	}
	m.imagesChanged = false
}

// writeStatus writes what is new of a machine to one member. The first that a stream
// hears of a machine is its name and, once that is current, its whole list.
func (l *leader) writeStatus(subscriber *subscriber, m *machine, current, full bool, now time.Duration) {
	for len(m.statusStreams) < len(l.c.peers)+1 {
		m.statusStreams = append(m.statusStreams, 0)
	}
	out := subscriber.peer.statusBatch(now)
	fresh := m.statusStreams[subscriber.peer.index] != subscriber.stream
	status := &meshpb.MachineStatus{MachineIndex: m.index, Epoch: m.epoch, Seq: m.sequence, Current: current}
	if fresh {
		out.Names = append(out.Names, &meshpb.MachineName{MachineIndex: m.index, Name: m.name, Zone: m.zone})
	}
	if (fresh && current) || m.imagesChanged {
		status.ImagesIncluded, status.Images = true, m.imageStatuses()
	}
	if current {
		status.Unchanged = !fresh && !full
		status.CompleteForShards = subscriber.completeFor
		m.statusStreams[subscriber.peer.index] = subscriber.stream
	}
	if current && !status.Unchanged {
		status.Tasks = m.taskStatusesFor(subscriber.peer)
	}
	out.Statuses = append(out.Statuses, status)
	// However long workers' lists are, a frame stays within its size.
	if subscriber.peer.batchedTasks += len(status.Tasks) + len(status.Images); subscriber.peer.batchedTasks >= maxItemsPerFrame || len(out.Statuses) >= maxMachinesPerFrame {
		subscriber.peer.flush()
	}
}

// taskStatusesFor returns what a machine lists and is not surely another member's.
func (m *machine) taskStatusesFor(p *peer) []*meshpb.TaskStatus {
	var tasks []*meshpb.TaskStatus
	for i := range m.tasks {
		t := &m.tasks[i]
		if t.ownedByAnother(p) {
			continue
		}
		tasks = append(tasks, &meshpb.TaskStatus{Job: t.key.job, Task: t.key.task, Replica: t.key.replica,
			State: uint32(t.state), ExitReason: uint32(t.exitReason)})
	}
	return tasks
}

// subscribe writes what every machine last listed to a member whose ledger has
// just joined, and counts the machines and their tasks of jobs that this leader did
// not know when they reported. What a machine listed whose lease is over is gone,
// see emptied.
func (l *leader) subscribe(p *peer) (machines, unknown int) {
	now := l.c.now()
	l.lastStream++
	var target *subscriber
	for _, subscriber := range l.subscribers {
		if subscriber.peer == p {
			target = subscriber
		}
	}
	if target == nil {
		target = &subscriber{peer: p, completeFor: l.shards.numbersOwnedBy(p)}
		l.subscribers = append(l.subscribers, target)
	}
	target.stream = l.lastStream
	for m := range l.machines.all {
		if m.lastCurrentHeartbeat > 0 && !m.terminated && !l.leases.expired(m, now) {
			l.writeStatus(target, m, true, true, now)
			machines++
			unknown += m.unknownReplicas()
		}
	}
	return machines, unknown
}

// unknownReplicas counts the listed copies whose jobs are not known.
func (m *machine) unknownReplicas() int {
	n := 0
	for i := range m.tasks {
		if m.tasks[i].job == nil {
			n++
		}
	}
	return n
}
