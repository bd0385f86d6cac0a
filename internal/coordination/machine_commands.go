package coordination

import (
	"github.com/cobaltvale/cobaltvale/internal/protocol"
	"github.com/cobaltvale/cobaltvale/internal/protocol/meshpb"
)

const maxCleanupCommands = 300 // in one response

// onMachineCommands takes an owner's requests to stop or reap replicas.
func (l *leader) onMachineCommands(p *peer, commands *meshpb.MachineCommands) {
	for _, command := range commands.Commands {
		m, job := l.machines.at(command.MachineIndex), l.jobs.get(command.Job)
		if m == nil || job == nil || job.shard == nil || job.shard.owner != p {
			continue
		}
		m.setCommand(command)
	}
}

// setCommand has a listed replica stopped or reaped. The command is repeated until
// the machine's list shows its end.
func (m *machine) setCommand(command *meshpb.MachineCommand) {
	key := replicaKey{command.Job, command.Task, command.Replica}
	if !m.listsReplica(key) {
		return
	}
	if m.commands == nil {
		m.commands = make(map[replicaKey]*meshpb.MachineCommand)
	}
	m.commands[key] = command
}

// removeDoneCommands forgets the commands whose replicas are not listed any more.
func (m *machine) removeDoneCommands() {
	for key := range m.commands {
		if !m.listsReplica(key) {
			delete(m.commands, key)
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
		command := m.commands[replica.key]
		ended := (replica.job == nil && allRegistered) || (replica.job != nil && replica.job.ended)
		ending := ended || (replica.job != nil && replica.job.cancelling)
		exited := replica.state == protocol.TaskExited
		switch {
		case exited && (ended || (command != nil && command.Reap)):
			commands = append(commands, replica.command(protocol.CommandReap))
		case !exited && (ending || (command != nil && !command.Reap)):
			grace := 0.0
			if command != nil && !ending {
				grace = command.GraceS
			}
			stop := replica.command(protocol.CommandStop)
			stop.GraceS = &grace
			commands = append(commands, stop)
		}
	}
	return commands
}

// command is a command for a replica, as it goes to its machine.
func (r *replicaOnMachine) command(op string) protocol.Command {
	return protocol.Command{Op: op, Task: protocol.TaskName(r.key.job, int(r.key.task)), Replica: r.key.replica}
}
