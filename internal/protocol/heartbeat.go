package protocol

import (
	"errors"
	"fmt"
	"math"
)

// The commands to a machine in a heartbeat response, as encoded in Command.Op.
const (
	CommandStart = "launch"
	CommandStop  = "kill"
	CommandReap  = "reap" // remove an exited replica from the machine's list
)

// TaskState is the state of a task on a machine. Controllers of different versions exchange the
// numeric values, so they must not change.
type TaskState uint8

// The task states that a machine reports in a heartbeat.
const (
	TaskFetching TaskState = iota + 1 // the machine is fetching the task's image
	TaskRunning
	TaskCheckpointing // the task is saving a checkpoint before it stops
	TaskExited
)

// String returns the state as encoded in a heartbeat.
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

// parseTaskState parses a state as encoded in a heartbeat and reports whether it is known.
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

// ExitReason is why a task exited or was not started. Controllers of different versions exchange
// the numeric values, so they must not change.
type ExitReason uint8

// The exit reasons that a machine reports in a heartbeat.
const (
	ExitReasonNone        ExitReason = iota // not exited, or the machine reported no known reason
	ExitReasonDone                          // completed
	ExitReasonStopped                       // stopped by a command
	ExitReasonError                         // failed
	ExitReasonNoResources                   // not started: the machine lacks free resources
	ExitReasonInUse                         // not started: another replica of the task is on the machine
	ExitReasonNoSuchTask                    // not started: the job or task does not exist
)

// String returns the reason as encoded in a heartbeat.
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

// parseExitReason parses a reason as encoded in a heartbeat and reports whether it is known.
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

// Redirect names the controller to which a machine has to send its heartbeats.
type Redirect struct {
	HeartbeatTo string `cbor:"editor,omitempty"`
}

// WireTaskStatus is one task in a received heartbeat that has not been validated.
type WireTaskStatus struct {
	Task       string `cbor:"page"`
	Replica    uint64 `cbor:"try"`
	State      string `cbor:"status"`
	ExitReason string `cbor:"cause"`
}

// WireHeartbeat is a received heartbeat that has not been validated. Pointer fields distinguish
// a missing field from a zero value.
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

// Command asks a machine to start, stop or reap a replica of a task.
type Command struct {
	Op      string   `cbor:"verb"` // CommandStart, CommandStop or CommandReap
	Task    string   `cbor:"page"` // task name, see TaskName
	Replica uint64   `cbor:"try"`
	GraceS  *float64 `cbor:"windDownS,omitempty"` // CommandStop only: time to stop, in seconds
}

// HeartbeatResponse is the response to a heartbeat.
type HeartbeatResponse struct {
	FencingToken uint64    `cbor:"baton"` // of the leader that sends the response
	Commands     []Command `cbor:"orders"`
}

// TaskStatus is one task in a heartbeat that passed Validate.
type TaskStatus struct {
	Job        string
	Task       int
	Replica    uint64
	State      TaskState
	ExitReason ExitReason // meaningful if State is TaskExited
}

// Heartbeat is a machine's heartbeat that passed Validate.
type Heartbeat struct {
	Machine, Type, Zone string
	Spot                bool
	Epoch               uint64  // increases each time the machine's lease expires
	Seq                 uint64  // sequence number of the heartbeat within the epoch
	FencingToken        uint64  // highest that the machine has received
	TerminationNotice   bool    // the cloud has announced that it will terminate the machine
	TerminationInS      float64 // seconds until the termination, if TerminationNotice
	Tasks               []TaskStatus
}

// Validate checks the message and returns it as a Heartbeat. Its error is a *FieldError, or
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

// checkRequired checks the fields that every heartbeat must have.
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

// validate checks the task status at index in a heartbeat and returns it as a TaskStatus.
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
