// Package protocol holds the messages that cobaltvale exchanges with users,
// workers, the cloud and the state service, and the checks on them. Outside
// interfaces speak CBOR; the controllers speak protobuf (package meshpb).
package protocol

import (
	"fmt"

	"github.com/fxamacker/cbor/v2"
)

// Wire words of job states.
const (
	StatusPending   = "pending"
	StatusRunning   = "running"
	StatusDone      = "done"
	StatusCancelled = "withdrawn"
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

// Priority orders jobs; a higher one may preempt a lower one.
type Priority uint8

// The priorities, lowest first.
const (
	PriorityBestEffort Priority = iota
	PriorityStandard
	PriorityUrgent
	PriorityProduction
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

func parsePriority(s string) (Priority, bool) {
	switch s {
	case "best_effort":
		return PriorityBestEffort, true
	case "standard":
		return PriorityStandard, true
	case "urgent":
		return PriorityUrgent, true
	case "production":
		return PriorityProduction, true
	}
	return 0, false
}

// Submission is a job as its user describes it. Pointers tell a missing
// field from a zero one.
type Submission struct {
	ID                  *string  `cbor:"nameId"`
	Class               *string  `cbor:"desk"`
	Team                *string  `cbor:"crew"`
	Kind                *string  `cbor:"form"`
	Priority            *string  `cbor:"urgency"`
	Tasks               *uint64  `cbor:"pages"`
	CPUs                *float64 `cbor:"vcpus"`
	GPUs                *float64 `cbor:"cards"`
	MemoryGB            *float64 `cbor:"ramGb"`
	Image               *string  `cbor:"plate"`
	ImageGB             *float64 `cbor:"imageGb"`
	Types               []string `cbor:"breeds"`
	Zone                *string  `cbor:"hall"`
	SingleZone          *bool    `cbor:"together"`
	SpreadZones         *bool    `cbor:"apart"`
	Spot                *bool    `cbor:"loaners"`
	EstimateS           *float64 `cbor:"expectedS"`
	CheckpointIntervalS *float64 `cbor:"proofEveryS"`
	CheckpointDurationS *float64 `cbor:"proofS"`
	DeadlineS           *float64 `cbor:"pressByS"`
}

// JobStatus answers a user.
type JobStatus struct {
	ID      string `cbor:"nameId"`
	Status  string `cbor:"status"`
	Done    *int   `cbor:"done,omitempty"`
	Running *int   `cbor:"running,omitempty"`
}

// ErrorBody is the body of a refusal.
type ErrorBody struct {
	Error string `cbor:"error"`
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

// MachineType is one row of the cloud's catalogue.
type MachineType struct {
	Name      string   `cbor:"label"`
	CPUs      float64  `cbor:"vcpus"`
	GPUs      float64  `cbor:"cards"`
	MemoryGB  float64  `cbor:"ramGb"`
	CacheGB   float64  `cbor:"localGb"`
	FetchRate float64  `cbor:"fetchGbPerS"`
	Price     float64  `cbor:"price"`
	SpotPrice float64  `cbor:"spotPrice"`
	BootS     float64  `cbor:"readyS"`
	Zones     []string `cbor:"halls"`
}

// Catalog is the cloud's list of machine types.
type Catalog struct {
	Types []MachineType `cbor:"breeds"`
}

// ScaleOutRequest asks the cloud for machines.
type ScaleOutRequest struct {
	RequestID string `cbor:"hire"`
	Type      string `cbor:"breed"`
	Zone      string `cbor:"hall"`
	Spot      bool   `cbor:"loaners"`
	Count     int    `cbor:"howMany"`
}

// MachineNames is a list of machines by name.
type MachineNames struct {
	Machines []string `cbor:"roosts"`
}

// ListedMachine is one row of the cloud's list.
type ListedMachine struct {
	ID     string  `cbor:"nameId"`
	Addr   string  `cbor:"address"`
	Type   string  `cbor:"breed"`
	Zone   string  `cbor:"hall"`
	Spot   bool    `cbor:"loaners"`
	Status string  `cbor:"status"`
	AgeS   float64 `cbor:"heldS"`
}

// MachineList is one page of the cloud's list.
type MachineList struct {
	Machines []ListedMachine `cbor:"roosts"`
	More     bool            `cbor:"hasNext"`
}

// Condition of a transaction.
type Condition struct {
	Key     string `cbor:"k"`
	Version uint64 `cbor:"stamp"`
}

// Change is one write or drop of a transaction.
type Change struct {
	Put    string          `cbor:"write,omitempty"`
	Value  cbor.RawMessage `cbor:"v,omitempty"`
	Lease  uint64          `cbor:"tenure,omitempty"`
	Delete string          `cbor:"drop,omitempty"`
}

// Transaction is a transaction at the state service.
type Transaction struct {
	If   []Condition `cbor:"if"`
	Then []Change    `cbor:"then"`
}

// TransactionResponse is its result.
type TransactionResponse struct {
	Revision uint64   `cbor:"edition"`
	Failed   []string `cbor:"failed"`
	Error    string   `cbor:"error"`
}

// KeyValue is one key with its value.
type KeyValue struct {
	Key     string          `cbor:"k"`
	Value   cbor.RawMessage `cbor:"v"`
	Version uint64          `cbor:"stamp"`
	Lease   uint64          `cbor:"tenure"`
}

// KeyValuePage is one page of a listing.
type KeyValuePage struct {
	Items    []KeyValue `cbor:"pairs"`
	More     bool       `cbor:"hasNext"`
	Revision uint64     `cbor:"edition"`
}

// Event is one change that a watch returns.
type Event struct {
	Put     string          `cbor:"write"`
	Value   cbor.RawMessage `cbor:"v"`
	Delete  string          `cbor:"drop"`
	Version uint64          `cbor:"stamp"`
}

// WatchResponse answers a watch.
type WatchResponse struct {
	Revision uint64  `cbor:"edition"`
	Events   []Event `cbor:"events"`
}

// LeaseRequest opens a state lease.
type LeaseRequest struct {
	TTLMs int64 `cbor:"ttlMs"`
}

// LeaseResponse names it.
type LeaseResponse struct {
	Lease uint64 `cbor:"tenure"`
}

// Codec encodes and decodes CBOR within fixed bounds, so that no message
// from outside can make the process grow.
type Codec struct {
	encoder cbor.EncMode
	decoder cbor.DecMode
}

// NewCodec builds the codec.
func NewCodec() (*Codec, error) {
	enc, err := cbor.EncOptions{}.EncMode()
	if err != nil {
		return nil, fmt.Errorf("cbor encoder: %w", err)
	}
	dec, err := cbor.DecOptions{
		MaxNestedLevels:  12,
		MaxArrayElements: 20000,
		MaxMapPairs:      4096,
	}.DecMode()
	if err != nil {
		return nil, fmt.Errorf("cbor decoder: %w", err)
	}
	return &Codec{encoder: enc, decoder: dec}, nil
}

// Encode returns v in CBOR. The types of this package always encode.
func (c *Codec) Encode(v any) []byte {
	b, err := c.encoder.Marshal(v)
	if err != nil {
		panic(fmt.Sprintf("protocol: encoding %T: %v", v, err))
	}
	return b
}

// Decode reads one CBOR map into v, which points to a struct.
func (c *Codec) Decode(b []byte, v any) error {
	if len(b) == 0 || b[0]>>5 != 5 {
		return fmt.Errorf("body is not a CBOR map")
	}
	if err := c.decoder.Unmarshal(b, v); err != nil {
		return fmt.Errorf("cbor: %w", err)
	}
	return nil
}

// DecodeText reads a CBOR text; anything else reads as empty.
func (c *Codec) DecodeText(b []byte) string {
	var s string
	if err := c.decoder.Unmarshal(b, &s); err != nil {
		return ""
	}
	return s
}

// DecodeTexts reads a CBOR list of texts.
func (c *Codec) DecodeTexts(b []byte) ([]string, error) {
	var s []string
	if err := c.decoder.Unmarshal(b, &s); err != nil {
		return nil, fmt.Errorf("cbor: %w", err)
	}
	return s, nil
}

// DecodeTextMap reads a CBOR map of texts.
func (c *Codec) DecodeTextMap(b []byte) (map[string]string, error) {
	var m map[string]string
	if err := c.decoder.Unmarshal(b, &m); err != nil {
		return nil, fmt.Errorf("cbor: %w", err)
	}
	return m, nil
}
