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
	StatusWithdrawn = "withdrawn"
)

// Wire words of machine commands.
const (
	VerbStart  = "launch"
	VerbStop   = "kill"
	VerbForget = "reap"
)

// TaskState is the state of a task on a machine.
type TaskState uint8

// The task states that a worker reports.
const (
	TaskFetching TaskState = iota + 1
	TaskRunning
	TaskSaving
	TaskExited
)

// Why tells how an exited task ended.
type Why uint8

// The ends that a worker reports.
const (
	WhyNone Why = iota
	WhyDone
	WhyStopped
	WhyError
	WhyNoRoom
	WhyBusy
	WhyUnknown
)

// Priority orders jobs; a higher one may preempt a lower one.
type Priority uint8

// The priorities, lowest first.
const (
	PriorityLow Priority = iota
	PriorityNormal
	PriorityHigh
	PriorityProduction
)

func parseTaskState(s string) (TaskState, bool) {
	switch s {
	case "fetching":
		return TaskFetching, true
	case "running":
		return TaskRunning, true
	case "flushing":
		return TaskSaving, true
	case "ended":
		return TaskExited, true
	}
	return 0, false
}

func parseWhy(s string) (Why, bool) {
	switch s {
	case "done":
		return WhyDone, true
	case "halted":
		return WhyStopped, true
	case "error":
		return WhyError, true
	case "full":
		return WhyNoRoom, true
	case "in_use":
		return WhyBusy, true
	case "no_such":
		return WhyUnknown, true
	}
	return WhyNone, false
}

func parsePriority(s string) (Priority, bool) {
	switch s {
	case "best_effort":
		return PriorityLow, true
	case "standard":
		return PriorityNormal, true
	case "urgent":
		return PriorityHigh, true
	case "production":
		return PriorityProduction, true
	}
	return 0, false
}

// Submission is a job as its user describes it. Pointers tell a missing
// field from a zero one.
type Submission struct {
	ID          *string  `cbor:"nameId"`
	Class       *string  `cbor:"desk"`
	Team        *string  `cbor:"crew"`
	Kind        *string  `cbor:"form"`
	Priority    *string  `cbor:"urgency"`
	Tasks       *uint64  `cbor:"pages"`
	CPUs        *float64 `cbor:"vcpus"`
	GPUs        *float64 `cbor:"cards"`
	MemoryGB    *float64 `cbor:"ramGb"`
	Image       *string  `cbor:"plate"`
	ImageGB     *float64 `cbor:"imageGb"`
	Types       []string `cbor:"breeds"`
	Zone        *string  `cbor:"hall"`
	OneZone     *bool    `cbor:"together"`
	Spread      *bool    `cbor:"apart"`
	Spot        *bool    `cbor:"loaners"`
	EstimateS   *float64 `cbor:"expectedS"`
	CheckpointS *float64 `cbor:"proofEveryS"`
	SaveS       *float64 `cbor:"proofS"`
	DeadlineS   *float64 `cbor:"pressByS"`
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
	ReportTo string `cbor:"editor,omitempty"`
}

// WireTask is one task in a worker's report.
type WireTask struct {
	Task    string `cbor:"page"`
	Attempt uint64 `cbor:"try"`
	State   string `cbor:"status"`
	Why     string `cbor:"cause"`
}

// WireReport is a worker's report as it arrives.
type WireReport struct {
	Machine *string    `cbor:"roost"`
	Addr    string     `cbor:"address"`
	Type    *string    `cbor:"breed"`
	Zone    *string    `cbor:"hall"`
	Spot    bool       `cbor:"loaners"`
	Session *uint64    `cbor:"perch"`
	Seq     *uint64    `cbor:"tick"`
	Token   *uint64    `cbor:"baton"`
	NoticeS *float64   `cbor:"recallInS"`
	Tasks   []WireTask `cbor:"pages"`
}

// Command is one order to a worker.
type Command struct {
	Op      string   `cbor:"verb"`
	Task    string   `cbor:"page"`
	Attempt uint64   `cbor:"try"`
	GraceS  *float64 `cbor:"windDownS,omitempty"`
}

// ReportAnswer answers a report.
type ReportAnswer struct {
	Token    uint64    `cbor:"baton"`
	Commands []Command `cbor:"orders"`
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

// RentRequest asks the cloud for machines.
type RentRequest struct {
	Request string `cbor:"hire"`
	Type    string `cbor:"breed"`
	Zone    string `cbor:"hall"`
	Spot    bool   `cbor:"loaners"`
	Count   int    `cbor:"howMany"`
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
	Key   string `cbor:"k"`
	Stamp uint64 `cbor:"stamp"`
}

// Change is one write or drop of a transaction.
type Change struct {
	Put    string          `cbor:"write,omitempty"`
	Value  cbor.RawMessage `cbor:"v,omitempty"`
	Lease  uint64          `cbor:"tenure,omitempty"`
	Delete string          `cbor:"drop,omitempty"`
}

// Txn is a transaction at the state service.
type Txn struct {
	If   []Condition `cbor:"if"`
	Then []Change    `cbor:"then"`
}

// TxnAnswer is its result.
type TxnAnswer struct {
	Revision uint64   `cbor:"edition"`
	Failed   []string `cbor:"failed"`
	Error    string   `cbor:"error"`
}

// Pair is one key with its value.
type Pair struct {
	Key   string          `cbor:"k"`
	Value cbor.RawMessage `cbor:"v"`
	Stamp uint64          `cbor:"stamp"`
	Lease uint64          `cbor:"tenure"`
}

// Pairs is one page of a listing.
type Pairs struct {
	Items    []Pair `cbor:"pairs"`
	More     bool   `cbor:"hasNext"`
	Revision uint64 `cbor:"edition"`
}

// Event is one change that a watch returns.
type Event struct {
	Put    string          `cbor:"write"`
	Value  cbor.RawMessage `cbor:"v"`
	Delete string          `cbor:"drop"`
	Stamp  uint64          `cbor:"stamp"`
}

// Events answers a watch.
type Events struct {
	Revision uint64  `cbor:"edition"`
	Events   []Event `cbor:"events"`
}

// LeaseRequest opens a state lease.
type LeaseRequest struct {
	TTLMs int64 `cbor:"ttlMs"`
}

// LeaseAnswer names it.
type LeaseAnswer struct {
	Lease uint64 `cbor:"tenure"`
}

// Codec encodes and decodes CBOR within fixed bounds, so that no message
// from outside can make the process grow.
type Codec struct {
	enc cbor.EncMode
	dec cbor.DecMode
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
	return &Codec{enc: enc, dec: dec}, nil
}

// Encode returns v in CBOR. The types of this package always encode.
func (c *Codec) Encode(v any) []byte {
	b, err := c.enc.Marshal(v)
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
	if err := c.dec.Unmarshal(b, v); err != nil {
		return fmt.Errorf("cbor: %w", err)
	}
	return nil
}

// Text reads a CBOR text; anything else reads as empty.
func (c *Codec) Text(b []byte) string {
	var s string
	if err := c.dec.Unmarshal(b, &s); err != nil {
		return ""
	}
	return s
}

// Texts reads a CBOR list of texts.
func (c *Codec) Texts(b []byte) ([]string, error) {
	var s []string
	if err := c.dec.Unmarshal(b, &s); err != nil {
		return nil, fmt.Errorf("cbor: %w", err)
	}
	return s, nil
}

// TextMap reads a CBOR map of texts.
func (c *Codec) TextMap(b []byte) (map[string]string, error) {
	var m map[string]string
	if err := c.dec.Unmarshal(b, &m); err != nil {
		return nil, fmt.Errorf("cbor: %w", err)
	}
	return m, nil
}
