package shard

import (
	"github.com/cobaltvale/cobaltvale/internal/protocol"
	"github.com/cobaltvale/cobaltvale/internal/protocol/meshpb"
)

// clearing is how a replica is taken off its machine.
type replicaCommand bool

const (
	stopCommand replicaCommand = false // it may still run
	reapCommand replicaCommand = true  // it has exited: its end was taken note of
)

func commandFor(s *meshpb.TaskStatus) replicaCommand {
	return replicaCommand(protocol.TaskState(s.State) == protocol.TaskExited)
}

// command asks the leader to have a replica stopped or forgotten.
func (o *Owner) queueCommand(machine int32, job string, task uint32, replica uint64, how replicaCommand) {
	if m := o.machines.entry(machine); m.hasLeaderIndex {
		o.commands = append(o.commands, &meshpb.MachineCommand{MachineIndex: m.leaderIndex, Job: job, Task: task, Replica: replica, Reap: bool(how)})
	}
}

// TakeCommands returns the commands to machines that have gathered for the leader.
func (o *Owner) TakeCommands() []*meshpb.MachineCommand {
	commands := o.commands
	o.commands = nil
	return commands
}
