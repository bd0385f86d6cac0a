package shard

import (
	"github.com/cobaltvale/cobaltvale/internal/protocol"
	"github.com/cobaltvale/cobaltvale/internal/protocol/meshpb"
)

// replicaCommand is what a machine has to do with a replica. Its values are those of
// MachineCommand.Reap.
type replicaCommand bool

const (
	stopCommand replicaCommand = false // stop a replica that may still run
	reapCommand replicaCommand = true  // remove a replica that has exited and whose end is recorded
)

func commandFor(status *meshpb.TaskStatus) replicaCommand {
	return replicaCommand(protocol.TaskState(status.State) == protocol.TaskExited)
}

// queueCommand queues a command about a replica on a machine for the leader. It drops the
// command if the current leader has not named the machine.
func (o *Owner) queueCommand(machine int32, job string, task uint32, replica uint64, command replicaCommand) {
	if m := o.machines.entry(machine); m.hasLeaderIndex {
		o.commands = append(o.commands, &meshpb.MachineCommand{MachineIndex: m.leaderIndex, Job: job, Task: task, Replica: replica, Reap: bool(command)})
	}
}

// TakeCommands removes and returns the commands that are queued for the leader.
func (o *Owner) TakeCommands() []*meshpb.MachineCommand {
	commands := o.commands
	o.commands = nil
	return commands
}
