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

// judgeReplicas decides which of the replicas that a heartbeat lists are not to run or to be kept any
// more: those of ended, cancelled or unknown jobs, and those that owners named in commands. It sets
// the response's stop and reap commands, which are repeated until the machine's list shows them done.
//
// A replica of an unknown job has to stop once the unfinished jobs of every shard are known, whether
// the shards have owners or not. Its job was written before its start was sent, and the start was
// sent before this term began, because this leader starts tasks of known jobs only. So a job that a
// read of this term lacks has ended. Until then the response is unjudged.
func (l *leader) judgeReplicas(response *pendingResponse, now time.Duration) {
	response.commands, response.unjudged = nil, false
	allJobsKnown := l.shards.allJobsKnown()
	for i := range response.replicas {
		if len(response.commands) >= maxCleanupCommands {
			break // the rest follows with the next response
		}
		replica := &response.replicas[i]
		job, command := replica.job, response.machine.ownerCommands[replica.key]
		if job == nil {
			job = l.jobs.get(replica.key.job) // it may have become known since the heartbeat arrived
		}
		if replica.state == protocol.TaskExited {
			if isReapable(job, command, allJobsKnown) {
				response.commands = append(response.commands, replica.newCommand(protocol.CommandReap))
			}
			continue
		}
		reason, grace := stopReasonFor(job, command, allJobsKnown)
		switch {
		case reason != stopNotRequired:
			l.env.stops.Add(int(reason))
			response.commands = append(response.commands, replica.newStop(grace))
		case job == nil:
			response.unjudged = true
			l.reportUnjudged(response.machine, replica, now)
		}
	}
}

// isReapable reports whether the result of an exited replica of a job is not needed any more: the
// job has ended, or its owner has requested to reap the replica. job is nil if it is unknown.
func isReapable(job *trackedJob, command *meshpb.MachineCommand, unknownJobsEnded bool) bool {
	if command != nil && command.Reap {
		return true
	}
	return (job == nil && unknownJobsEnded) || (job != nil && job.ended)
}

// stopReasonFor returns why a live replica of a job has to stop, and how long it may save its
// progress, in seconds. job is nil if it is unknown.
func stopReasonFor(job *trackedJob, command *meshpb.MachineCommand, unknownJobsEnded bool) (reason stopReason, graceS float64) {
	switch {
	case job == nil && unknownJobsEnded:
		return stopJobUnknown, 0
	case job != nil && job.ended:
		return stopJobEnded, 0
	case job != nil && job.cancelling:
		return stopJobCancelling, 0
	case command != nil && !command.Reap:
		return stopOwnerCommand, command.GraceS
	}
	return stopNotRequired, 0
}

// newStop returns the command to stop a replica, which may save its progress for graceS seconds.
func (r *replicaOnMachine) newStop(graceS float64) protocol.Command {
	stop := r.newCommand(protocol.CommandStop)
	stop.GraceS = &graceS
	return stop
}

// newCommand returns a command for a replica, as it is sent to the machine.
func (r *replicaOnMachine) newCommand(op string) protocol.Command {
	return protocol.Command{Op: op, Task: protocol.TaskName(r.key.job, int(r.key.task)), Replica: r.key.replica}
}
