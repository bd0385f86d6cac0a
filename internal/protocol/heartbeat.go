package protocol

import (
	"errors"
	"fmt"
	"math"
)

// Wire words of the commands that a response to a heartbeat has for a machine.
const (
	CommandStart = "launch"
	CommandStop  = "kill"
	CommandReap  = "reap" // forget a task that has exited
)

// TaskState is the state of a task on a machine. Controllers exchange its numbers, so
// they don't change.
type TaskState uint8

// The task states that a machine's heartbeat names.
const (
	TaskFetching TaskState = iota + 1 // its image is being fetched
	TaskRunning
	TaskCheckpointing // it saves a checkpoint before it stops
	TaskExited
)

// String returns the state's wire word.
func (s TaskState) String() string {
	switch s {
	case TaskFetching:
		return "fetching"
	case TaskRunning:
		return "running"
	case TaskCheckpointing:
		return "flushing"
	case TaskExited:
		return "ended"
	}
	return fmt.Sprintf("TaskState(%d)", uint8(s))
}

// parseTaskState returns the state of a wire word, and whether there is one.
func parseTaskState(s string) (TaskState, bool) {
	switch s {
	case "fetching":
		return TaskFetching, true
	case "running":
		return TaskRunning, true
	case "flushing":
		return TaskCheckpointing, true
	case "ended":
		return TaskExited, true
	}
	return 0, false
}

// ExitReason tells how an exited task ended. Controllers exchange its numbers, so they
// don't change.
type ExitReason uint8

// The exit reasons that a machine's heartbeat names.
const (
	ExitReasonNone        ExitReason = iota // it has not exited, or its machine gave no known reason
	ExitReasonDone                          // it completed
	ExitReasonStopped                       // it was stopped by a command
	ExitReasonError                         // it failed
	ExitReasonNoResources                   // not started: the machine has too few free resources
	ExitReasonInUse                         // not started: the machine has another replica of the task
	ExitReasonNoSuchTask                    // not started: there is no such job or task
)

// String returns the reason's wire word.
func (r ExitReason) String() string {
	switch r {
	case ExitReasonNone:
		return "none"
	case ExitReasonDone:
		return "done"
	case ExitReasonStopped:
		return "halted"
	case ExitReasonError:
		return "error"
	case ExitReasonNoResources:
		return "full"
	case ExitReasonInUse:
		return "in_use"
	case ExitReasonNoSuchTask:
		return "no_such"
	}
	return fmt.Sprintf("ExitReason(%d)", uint8(r))
}

// parseExitReason returns the reason of a wire word, and whether there is one.
func parseExitReason(s string) (ExitReason, bool) {
	switch s {
	case "done":
		return ExitReasonDone, true
	case "halted":
		return ExitReasonStopped, true
	case "error":
		return ExitReasonError, true
	case "full":
		return ExitReasonNoResources, true
	case "in_use":
		return ExitReasonInUse, true
	case "no_such":
		return ExitReasonNoSuchTask, true
	}
	return ExitReasonNone, false
}

// Redirect names the controller that takes a worker's heartbeats.
type Redirect struct {
	HeartbeatTo string `cbor:"editor,omitempty"`
}

// WireTaskStatus is one task in a worker's heartbeat as it arrives.
type WireTaskStatus struct {
	Task       string `cbor:"page"`
	Replica    uint64 `cbor:"try"`
	State      string `cbor:"status"`
	ExitReason string `cbor:"cause"`
}

// WireHeartbeat is a worker's heartbeat as it arrives, before Validate. Pointers tell a
// missing field from a zero one.
type WireHeartbeat struct {
	Machine        *string          `cbor:"roost"`
	Addr           string           `cbor:"address"`
	Type           *string          `cbor:"breed"`
	Zone           *string          `cbor:"hall"`
	Spot           bool             `cbor:"loaners"`
	Epoch          *uint64          `cbor:"perch"`
	Seq            *uint64          `cbor:"tick"`
	FencingToken   *uint64          `cbor:"baton"`
	TerminationInS *float64         `cbor:"recallInS"`
	Tasks          []WireTaskStatus `cbor:"pages"`
}

// Command asks a machine to start, stop or forget a replica of a task.
type Command struct {
	Op      string   `cbor:"verb"` // CommandStart, CommandStop or CommandReap
	Task    string   `cbor:"page"` // see TaskName
	Replica uint64   `cbor:"try"`
	GraceS  *float64 `cbor:"windDownS,omitempty"` // of a stop, in seconds
}

// HeartbeatResponse answers a heartbeat.
type HeartbeatResponse struct {
	FencingToken uint64    `cbor:"baton"` // of the leader that answers
	Commands     []Command `cbor:"orders"`
}

// TaskStatus is one task in a valid heartbeat.
type TaskStatus struct {
	Job        string
	Task       int
	Replica    uint64
	State      TaskState
	ExitReason ExitReason // if State is TaskExited
}

// Heartbeat is a worker's heartbeat that passed Validate.
type Heartbeat struct {
	Machine, Type, Zone string
	Spot                bool
	Epoch               uint64 // grows each time the machine's lease expires
	Seq                 uint64 // of all that the machine has said within the epoch
	FencingToken        uint64 // the highest that the machine has seen
	TerminationNotice   bool   // the cloud takes the machine back
	TerminationInS      float64
	Tasks               []TaskStatus
}

// Validate returns the heartbeat that a message holds. Its errors are FieldErrors, or
// several of them joined.
func (w *WireHeartbeat) Validate() (*Heartbeat, error) {
	if err := w.checkRequired(); err != nil {
		return nil, err
	}
	heartbeat := &Heartbeat{
		Machine: *w.Machine, Type: *w.Type, Zone: *w.Zone, Spot: w.Spot,
		Epoch: *w.Epoch, Seq: *w.Seq, FencingToken: *w.FencingToken,
		Tasks: make([]TaskStatus, 0, len(w.Tasks)),
	}
	if w.TerminationInS != nil {
		if math.IsNaN(*w.TerminationInS) || math.IsInf(*w.TerminationInS, 0) {
			return nil, fieldError("recallInS", "is out of range")
		}
		heartbeat.TerminationNotice, heartbeat.TerminationInS = true, *w.TerminationInS
	}
	for i := range w.Tasks {
		status, err := w.Tasks[i].validate(i)
		if err != nil {
			return nil, err
		}
		heartbeat.Tasks = append(heartbeat.Tasks, status)
	}
	return heartbeat, nil
}

// checkRequired checks the fields that every heartbeat has.
func (w *WireHeartbeat) checkRequired() error {
	if err := errors.Join(checkName("roost", w.Machine), checkName("breed", w.Type), checkName("hall", w.Zone)); err != nil {
		return err
	}
	for _, field := range [...]struct {
		path  string
		value *uint64
	}{{"perch", w.Epoch}, {"tick", w.Seq}, {"baton", w.FencingToken}} {
		if field.value == nil {
			return &FieldError{Path: field.path, Text: "perch, tick or baton is missing"}
		}
	}
	return nil
}

// validate returns the status of the task that is at index in a heartbeat.
func (w *WireTaskStatus) validate(index int) (TaskStatus, error) {
	job, task, ok := ParseTaskName(w.Task)
	if !ok {
		return TaskStatus{}, taskFieldError(index, "page", fmt.Sprintf("pages holds a bad task %.40q", w.Task))
	}
	state, ok := parseTaskState(w.State)
	if !ok {
		return TaskStatus{}, taskFieldError(index, "status", fmt.Sprintf("pages holds a bad task %.40q", w.Task))
	}
	reason, known := parseExitReason(w.ExitReason)
	if state == TaskExited && !known {
		return TaskStatus{}, taskFieldError(index, "cause", "an ended page has no known cause")
	}
	return TaskStatus{Job: job, Task: task, Replica: w.Replica, State: state, ExitReason: reason}, nil
}
