package shard

import (
	"strconv"
	"time"
)

// TaskState is where the owner knows a task to be (the paper's OnNode and
// InTransition, section 4.2), with what lies before and after.
type TaskState uint8

// The states of a task.
const (
	TaskPending      TaskState = iota // no replica exists anywhere
	TaskUnreconciled                  // recovered: a replica may be on any machine
	TaskAssigned                      // a start was handed to a machine's heartbeat response
	TaskPlaced                        // the machine's status lists it
	TaskBackingOff                    // failed; waits for its pause to end
	TaskFinished                      // its result is there but not yet written
	TaskDurable                       // its end is durable
)

var taskStateNames = [...]string{"pending", "unreconciled", "assigned", "placed", "backing_off", "finished", "durable"}

func (s TaskState) String() string {
	if int(s) < len(taskStateNames) {
		return taskStateNames[s]
	}
	return "TaskState(" + strconv.Itoa(int(s)) + ")"
}

// task is one task's supervision state (the paper's SupervisedTaskState).
type supervisedTask struct {
	state            TaskState
	running          bool
	machine          int32
	replica          uint64        // replica number of the replica that counts
	epoch            uint64        // of the heartbeat whose response carried the start
	sequence         uint64        // the same heartbeat's
	readyOrRunningAt time.Duration // backing off: when it is pending again; running: since when it is seen to
}

// taskRef names a task of a job in memory.
type taskRef struct {
	job  *Job
	task int32
}
