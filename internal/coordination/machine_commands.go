package coordination

import (
	"time"

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
// owners named in commands. The commands are repeated until the machine's list shows them done.
//
// A replica of an unknown job is included once the unfinished jobs of every shard are known,
// whether the shards have owners or not. Its job was written before its start was sent, and the
// start was sent before this term began, because this leader starts tasks of known jobs only. So
// a job that a read of this term lacks has ended.
func (l *leader) cleanupCommands(m *machine, now time.Duration) []protocol.Command {
	if len(m.tasks) == 0 {
		return nil
	}
	allJobsKnown := l.shards.allJobsKnown()
	var commands []protocol.Command
	for i := range m.tasks {
		if len(commands) >= maxCleanupCommands {
			break // the rest follows with the next response
		}
		replica := &m.tasks[i]
		command := m.ownerCommands[replica.key]
		if replica.state == protocol.TaskExited {
			if replica.isReapable(command, allJobsKnown) {
				commands = append(commands, replica.newCommand(protocol.CommandReap))
			}
			continue
		}
		reason, grace := replica.stopReason(command, allJobsKnown)
		if reason == stopNotRequired {
			if replica.job == nil {
				l.reportUnjudged(m, replica, now)
			}
			continue
		}
		l.env.stops.Add(int(reason))
		stop := replica.newCommand(protocol.CommandStop)
		stop.GraceS = &grace
		commands = append(commands, stop)
	}
	return commands
}

// isReapable reports whether an exited replica's result is not needed any more: its job has
// ended, or its owner has requested to reap it.
func (r *replicaOnMachine) isReapable(command *meshpb.MachineCommand, unknownJobsEnded bool) bool {
	if command != nil && command.Reap {
		return true
	}
	return (r.job == nil && unknownJobsEnded) || (r.job != nil && r.job.ended)
}

// stopReason returns why a live replica has to stop, and how long it may save its progress, in
// seconds.
func (r *replicaOnMachine) stopReason(command *meshpb.MachineCommand, unknownJobsEnded bool) (reason stopReason, graceS float64) {
	switch {
	case r.job == nil && unknownJobsEnded:
		return stopJobUnknown, 0
	case r.job != nil && r.job.ended:
		return stopJobEnded, 0
	case r.job != nil && r.job.cancelling:
		return stopJobCancelling, 0
	case command != nil && !command.Reap:
		return stopOwnerCommand, command.GraceS
	}
	return stopNotRequired, 0
}

// newCommand returns a command for a replica, as it is sent to the machine.
func (r *replicaOnMachine) newCommand(op string) protocol.Command {
	return protocol.Command{Op: op, Task: protocol.TaskName(r.key.job, int(r.key.task)), Replica: r.key.replica}
}
