package coordination

import (
	"github.com/cobaltvale/cobaltvale/internal/protocol"
	"github.com/cobaltvale/cobaltvale/internal/protocol/meshpb"
)

const maxCleanupCommands = 300 // in one response, which is limited in size

// handleMachineCommands handles an owner's requests to stop or reap replicas. Those of a
// member that does not own the job's shard are dropped.
func (l *leader) handleMachineCommands(p *peer, commands *meshpb.MachineCommands) {
	for _, command := range commands.Commands {
		m, job := l.machines.at(command.MachineIndex), l.jobs.get(command.Job)
		if m == nil || job == nil || job.shard == nil || job.shard.owner != p {
			continue
		}
		m.setOwnerCommand(command)
	}
}

// setOwnerCommand records an owner's command to stop or reap a listed replica. It is sent
// with every response until the machine's list shows that it is done.
func (m *machine) setOwnerCommand(command *meshpb.MachineCommand) {
	key := replicaKey{command.Job, command.Task, command.Replica}
	if !m.listsReplica(key) {
		return
	}
	if m.ownerCommands == nil {
		m.ownerCommands = make(map[replicaKey]*meshpb.MachineCommand)
	}
	m.ownerCommands[key] = command
}

// removeDoneOwnerCommands removes the commands whose replicas are no longer listed.
func (m *machine) removeDoneOwnerCommands() {
	for key := range m.ownerCommands {
		if !m.listsReplica(key) {
			delete(m.ownerCommands, key)
		}
	}
}

// cleanupCommands returns the stop and reap commands for the replicas on the machine that are
// not to run or to be kept any more: those of ended, cancelled or unknown jobs, and those that
// owners named in commands. Replicas of unknown jobs are included only while every shard is
// registered. The commands are repeated until the machine's list shows them done.
func (m *machine) cleanupCommands(shards *shardRegistry) []protocol.Command {
	if len(m.tasks) == 0 {
		return nil
	}
	allRegistered := shards.allRegistered()
	var commands []protocol.Command
	for i := range m.tasks {
		if len(commands) >= maxCleanupCommands {
			break // the rest follows with the next response
		}
		replica := &m.tasks[i]
		command := m.ownerCommands[replica.key]
		ended := (replica.job == nil && allRegistered) || (replica.job != nil && replica.job.ended)
		ending := ended || (replica.job != nil && replica.job.cancelling)
		exited := replica.state == protocol.TaskExited
		switch {
		case exited && (ended || (command != nil && command.Reap)):
			commands = append(commands, replica.newCommand(protocol.CommandReap))
		case !exited && (ending || (command != nil && !command.Reap)):
			grace := 0.0
			if command != nil && !ending {
				grace = command.GraceS
			}
			stop := replica.newCommand(protocol.CommandStop)
			stop.GraceS = &grace
			commands = append(commands, stop)
		}
	}
	return commands
}

// newCommand returns a command for a replica, as it is sent to the machine.
func (r *replicaOnMachine) newCommand(op string) protocol.Command {
	return protocol.Command{Op: op, Task: protocol.TaskName(r.key.job, int(r.key.task)), Replica: r.key.replica}
}
