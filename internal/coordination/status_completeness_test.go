package coordination

import (
	"testing"

	"google.golang.org/protobuf/proto"

	"github.com/cobaltvale/cobaltvale/internal/protocol/meshpb"
	"github.com/cobaltvale/cobaltvale/internal/simtest"
)

// withoutUnknownTasks returns a frame with the task lists that a leader of the previous version
// would send: without the tasks of jobs that it did not know when the machine reported them,
// and without those of shards that the receiver has not registered.
func withoutUnknownTasks(from *Controller, to string, f *meshpb.Frame) *meshpb.Frame {
	l := from.leader
	if l == nil || f.GetMachineStatuses() == nil {
		return f
	}
	f = proto.Clone(f).(*meshpb.Frame)
	for _, status := range f.GetMachineStatuses().Statuses {
		m := l.machines.at(status.MachineIndex)
		if m == nil {
			continue
		}
		var kept []*meshpb.TaskStatus
		for _, task := range status.Tasks {
			if replica := m.listedReplica(task); replica != nil && replica.job != nil && replica.job.shard != nil && replica.job.shard.owner == from.peers[to] {
				kept = append(kept, task)
			}
		}
		status.Tasks = kept
	}
	return f
}

// listedReplica returns the replica of a task status in the machine's last list, or nil.
func (m *machine) listedReplica(task *meshpb.TaskStatus) *replicaOnMachine {
	for i := range m.tasks {
		if replica := &m.tasks[i]; replica.key == (replicaKey{task.Job, task.Task, task.Replica}) {
			return replica
		}
	}
	return nil
}

// checkStatusesComplete checks every task list that a leader publishes: it must have all replicas
// that the machine last listed of the jobs that the receiver owns, unless another member has
// registered their shard. Owners of the previous version rely on that for every list.
func (sim *simulation) checkStatusesComplete(from *Controller, to *simtest.Node, f *meshpb.Frame) {
	l := from.leader
	if _, bench := sim.T.(*testing.B); bench || l == nil || f.GetMachineStatuses() == nil {
		return // in a benchmark it would cost more than what is measured
	}
	latest := make(map[uint32]*meshpb.MachineStatus)
	for _, status := range f.GetMachineStatuses().Statuses {
		latest[status.MachineIndex] = status
	}
	for index, status := range latest {
		m := l.machines.at(index)
		if m == nil || !status.Current || status.Unchanged || status.Seq != m.sequence {
			continue
		}
		published := make(map[replicaKey]bool, len(status.Tasks))
		for _, task := range status.Tasks {
			published[replicaKey{task.Job, task.Task, task.Replica}] = true
		}
		for i := range m.tasks {
			key := m.tasks[i].key
			job := controllerOf(to).owner.Job(key.job)
			if job == nil || published[key] {
				continue
			}
			if shard := l.shards.get(job.Shard().Name()); shard == nil || shard.owner == nil || shard.owner == from.peers[to.Name] {
				sim.T.Errorf("the status sent to %s of what %s lists lacks %s/%d, which the receiver owns", to.Name, m.name, key.job, key.task)
			}
		}
	}
}
