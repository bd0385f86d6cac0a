package coordination

import (
	"testing"

	"google.golang.org/protobuf/proto"

	"github.com/cobaltvale/cobaltvale/internal/protocol/meshpb"
	"github.com/cobaltvale/cobaltvale/internal/simtest"
)

// withoutUnknownTasks is what the version before makes of the lists in a frame: it
// leaves out the tasks of jobs that the leader did not know when the machine
// reported, and those of shards that the receiver has not registered for.
func withoutUnknownTasks(from *Controller, to string, f *meshpb.Frame) *meshpb.Frame {
	l := from.leader
	if l == nil || f.GetMachineStatuses() == nil {
		return f
	}
	f = proto.Clone(f).(*meshpb.Frame)
	for _, r := range f.GetMachineStatuses().Statuses {
		m := l.machines.at(r.MachineIndex)
		if m == nil {
			continue
		}
		var kept []*meshpb.TaskStatus
		for _, t := range r.Tasks {
			if p := m.listedReplica(t); p != nil && p.job != nil && p.job.shard != nil && p.job.shard.owner == from.peers[to] {
				kept = append(kept, t)
			}
		}
		r.Tasks = kept
	}
	return f
}

// listedReplica finds a task in what a machine last listed.
func (m *machine) listedReplica(t *meshpb.TaskStatus) *replicaOnMachine {
	for i := range m.tasks {
		if p := &m.tasks[i]; p.key == (replicaKey{t.Job, t.Task, t.Replica}) {
			return p
		}
	}
	return nil
}

// checkStatusesComplete looks at every list that a leader forwards: it has whatever the
// machine last listed of the jobs that the receiver owns, unless another member
// has registered for them. The version before takes each list for that much.
func (sim *simulation) checkStatusesComplete(from *Controller, to *simtest.Node, f *meshpb.Frame) {
	l := from.leader
	if _, bench := sim.T.(*testing.B); bench || l == nil || f.GetMachineStatuses() == nil {
		return // in a benchmark it would cost more than what is measured
	}
	last := make(map[uint32]*meshpb.MachineStatus)
	for _, r := range f.GetMachineStatuses().Statuses {
		last[r.MachineIndex] = r
	}
	for index, r := range last {
		m := l.machines.at(index)
		if m == nil || !r.Current || r.Unchanged || r.Seq != m.sequence {
			continue
		}
		has := make(map[replicaKey]bool, len(r.Tasks))
		for _, t := range r.Tasks {
			has[replicaKey{t.Job, t.Task, t.Replica}] = true
		}
		for i := range m.tasks {
			key := m.tasks[i].key
			j := controllerOf(to).owner.Job(key.job)
			if j == nil || has[key] {
				continue
			}
			if g := l.shards.get(j.Shard().Name()); g == nil || g.owner == nil || g.owner == from.peers[to.Name] {
				sim.T.Errorf("%s is told what %s lists without %s/%d, which it owns", to.Name, m.name, key.job, key.task)
			}
		}
	}
}
