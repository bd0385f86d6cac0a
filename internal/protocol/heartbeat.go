package protocol

import (
	"errors"
	"fmt"
	"math"
)

// Wire words of machine commands.
const (
	CommandStart = "launch"
	CommandStop  = "kill"
	CommandReap  = "reap"
)

// TaskState is the state of a task on a machine.
type TaskState uint8

// The task states that a worker reports.
const (
	TaskFetching TaskState = iota + 1
	TaskRunning
	TaskCheckpointing
	TaskExited
)

// ExitReason tells how an exited task ended.
type ExitReason uint8

// The ends that a worker reports.
const (
	ExitReasonNone ExitReason = iota
	ExitReasonDone
	ExitReasonStopped
	ExitReasonError
	ExitReasonNoResources
	ExitReasonInUse
	ExitReasonNoSuchTask
)

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

// Redirect names the node that takes reports.
type Redirect struct {
	HeartbeatTo string `cbor:"editor,omitempty"`
}

// WireTaskStatus is one task in a worker's report.
type WireTaskStatus struct {
	Task       string `cbor:"page"`
	Replica    uint64 `cbor:"try"`
	State      string `cbor:"status"`
	ExitReason string `cbor:"cause"`
}

// WireHeartbeat is a worker's report as it arrives.
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

// Command is one order to a worker.
type Command struct {
	Op      string   `cbor:"verb"`
	Task    string   `cbor:"page"`
	Replica uint64   `cbor:"try"`
	GraceS  *float64 `cbor:"windDownS,omitempty"`
}

// HeartbeatResponse answers a report.
type HeartbeatResponse struct {
	FencingToken uint64    `cbor:"baton"`
	Commands     []Command `cbor:"orders"`
}

// TaskStatus is one task of a checked report.
type TaskStatus struct {
	Job        string
	Task       int
	Replica    uint64
	State      TaskState
	ExitReason ExitReason
}

// Heartbeat is a worker's report that passed the checks.
type Heartbeat struct {
	Machine, Type, Zone      string
	Spot                     bool
	Epoch, Seq, FencingToken uint64
	TerminationNotice        bool
	TerminationInS           float64
	Tasks                    []TaskStatus
}

// Validate turns a wire report into a Report or says what is wrong in it.
func (w *WireHeartbeat) Validate() (*Heartbeat, error) {
	if err := errors.Join(checkLabel("roost", w.Machine), checkLabel("breed", w.Type), checkLabel("hall", w.Zone)); err != nil {
		return nil, err
	}
	if w.Epoch == nil || w.Seq == nil || w.FencingToken == nil {
		return nil, errors.New("perch, tick or baton is missing")
	}
	r := &Heartbeat{
		Machine: *w.Machine, Type: *w.Type, Zone: *w.Zone, Spot: w.Spot,
		Epoch: *w.Epoch, Seq: *w.Seq, FencingToken: *w.FencingToken,
		Tasks: make([]TaskStatus, 0, len(w.Tasks)),
	}
	if w.TerminationInS != nil {
		if math.IsNaN(*w.TerminationInS) || math.IsInf(*w.TerminationInS, 0) {
			return nil, errors.New("recallInS is out of range")
		}
		r.TerminationNotice, r.TerminationInS = true, *w.TerminationInS
	}
	for _, t := range w.Tasks {
		job, n, ok := ParseTaskName(t.Task)
		state, known := parseTaskState(t.State)
		if !ok || !known {
			return nil, fmt.Errorf("pages holds a bad task %.40q", t.Task)
		}
		why, known := parseExitReason(t.ExitReason)
		if state == TaskExited && !known {
			return nil, errors.New("an ended page has no known cause")
		}
		r.Tasks = append(r.Tasks, TaskStatus{Job: job, Task: n, Replica: t.Replica, State: state, ExitReason: why})
	}
	return r, nil
}
