package shard

import (
	"strconv"
	"time"
)

// TaskState is the state of a task as its owner knows it: where its replica is (the paper's
// OnNode and InTransition, section 4.2), and the states before and after that.
type TaskState uint8

// The states of a task.
const (
	TaskPending      TaskState = iota // no replica exists
	TaskUnreconciled                  // recovered: a replica may be on any machine
	TaskAssigned                      // its start was added to a machine's heartbeat response
	TaskPlaced                        // the machine's status lists its replica
	TaskBackingOff                    // failed; waits for its back-off to end
	TaskFinished                      // succeeded, but its result is not yet written
	TaskDurable                       // its end is durable
)

var taskStateNames = [...]string{"pending", "unreconciled", "assigned", "placed", "backing_off", "finished", "durable"}

func (s TaskState) String() string {
	if int(s) < len(taskStateNames) {
		return taskStateNames[s]
	}
	return "TaskState(" + strconv.Itoa(int(s)) + ")"
}

// supervisedTask is the supervision state of one task (the paper's SupervisedTaskState).
type supervisedTask struct {
	state            TaskState
	running          bool
	machine          int32
	replica          uint64        // number of the current replica
	epoch            uint64        // of the heartbeat whose response carried the start, then of the last status that listed it
	sequence         uint64        // of the heartbeat whose response carried the start
	readyOrRunningAt time.Duration // backing off: when it becomes pending again; running: when that was first observed
}

// taskRef refers to a task of a job in memory.
type taskRef struct {
	job  *Job
	task int32
}
