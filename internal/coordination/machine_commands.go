package coordination

import (
	"github.com/cobaltvale/cobaltvale/internal/protocol"
	"github.com/cobaltvale/cobaltvale/internal/protocol/meshpb"
)

const maxCleanupCommands = 300 // in one response

// handleMachineCommands takes an owner's requests to stop or reap replicas.
func (l *leader) handleMachineCommands(p *peer, commands *meshpb.MachineCommands) {
	for _, command := range commands.Commands {
		m, job := l.machines.at(command.MachineIndex), l.jobs.get(command.Job)
		if m == nil || job == nil || job.shard == nil || job.shard.owner != p {
			continue
		}
		m.setOwnerCommand(command)
	}
}

// setOwnerCommand has a listed replica stopped or reaped. The command is repeated until
// the machine's list shows its end.
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

// removeDoneOwnerCommands forgets the commands whose replicas are not listed any more.
func (m *machine) removeDoneOwnerCommands() {
	for key := range m.ownerCommands {
		if !m.listsReplica(key) {
			delete(m.ownerCommands, key)
		}
	}
}

// cleanupCommands returns the commands that remove what should not be, or no longer
// need be, on the machine. They are repeated until its list shows the end.
func (m *machine) cleanupCommands(shards *shardRegistry) []protocol.Command {
	if len(m.tasks) == 0 {
		return nil
	}
	allRegistered := shards.allRegistered()
	var commands []protocol.Command
	for i := range m.tasks {
		if len(commands) >= maxCleanupCommands {
			break // a response is limited in size; the rest follows with the next
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

// command is a command for a replica, as it goes to its machine.
func (r *replicaOnMachine) newCommand(op string) protocol.Command {
	return protocol.Command{Op: op, Task: protocol.TaskName(r.key.job, int(r.key.task)), Replica: r.key.replica}
}
