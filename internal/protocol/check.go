package protocol

import (
	"errors"
	"fmt"
	"math"
	"strconv"
	"strings"
)

// MaxTasks is the largest array a job may have.
const MaxTasks = 100_000

const maxNameLength = 120

// Wire words of the forms of a job.
const (
	kindBatch   = "batch"
	kindService = "service"
)

// Job is a submission that passed the checks, in the field's terms. It is
// also the form in which the state service keeps it.
type Job struct {
	ID                  string   `cbor:"id"`
	Class               string   `cbor:"class"`
	Team                string   `cbor:"team"`
	Priority            Priority `cbor:"prio"`
	Tasks               int      `cbor:"tasks"`
	CPUs                float64  `cbor:"cpus"`
	GPUs                float64  `cbor:"gpus"`
	MemoryGB            float64  `cbor:"mem"`
	Image               string   `cbor:"image"`
	ImageGB             float64  `cbor:"imgGb"`
	Types               []string `cbor:"types"`
	AnyType             bool     `cbor:"any"`
	Zone                string   `cbor:"zone"`
	SingleZone          bool     `cbor:"one"`
	SpreadZones         bool     `cbor:"spread"`
	Spot                bool     `cbor:"spot"`
	EstimateS           float64  `cbor:"est"`
	CheckpointIntervalS float64  `cbor:"ckpt"`
	CheckpointDurationS float64  `cbor:"save"`
	DeadlineS           float64  `cbor:"due"`
	HasDeadline         bool     `cbor:"hasDue"`
	Service             bool     `cbor:"svc,omitempty"` // its tasks run until it is cancelled
}

// ValidJobID tells whether id has the form that users always give it.
func ValidJobID(id string) bool {
	digits, ok := strings.CutPrefix(id, "wk-")
	if !ok || digits == "" || len(digits) > 24 {
		return false
	}
	for _, r := range digits {
		if r < '0' || r > '9' {
			return false
		}
	}
	return true
}

// TaskName is the wire name of a task.
func TaskName(job string, task int) string { return job + "/" + strconv.Itoa(task) }

// ParseTaskName splits the wire name of a task.
func ParseTaskName(s string) (job string, task int, ok bool) {
	i := strings.LastIndexByte(s, '/')
	if i < 0 || !ValidJobID(s[:i]) {
		return "", 0, false
	}
	n, err := strconv.ParseUint(s[i+1:], 10, 32)
	if err != nil || n >= MaxTasks {
		return "", 0, false
	}
	return s[:i], int(n), true
}

func checkAmount(name string, v *float64, atLeast float64) error {
	switch {
	case v == nil:
		return fmt.Errorf("%s is missing", name)
	case math.IsNaN(*v) || math.IsInf(*v, 0) || *v < atLeast || *v > 1e12:
		return fmt.Errorf("%s is out of range", name)
	}
	return nil
}

func checkLabel(name string, v *string) error {
	switch {
	case v == nil:
		return fmt.Errorf("%s is missing", name)
	case *v == "" || len(*v) > maxNameLength:
		return fmt.Errorf("%s has a bad length", name)
	}
	return nil
}

// Validate turns a submission into a Job or says what is malformed in it.
func (s *Submission) Validate() (*Job, error) {
	if s.ID == nil || !ValidJobID(*s.ID) {
		return nil, errors.New("nameId is missing or not of the form wk-000412")
	}
	if s.Kind == nil || (*s.Kind != kindBatch && *s.Kind != kindService) {
		return nil, errors.New("form is missing or unknown")
	}
	if s.Priority == nil {
		return nil, errors.New("urgency is missing")
	}
	prio, ok := parsePriority(*s.Priority)
	if !ok {
		return nil, errors.New("urgency is unknown")
	}
	if s.Tasks == nil || *s.Tasks == 0 || *s.Tasks > MaxTasks {
		return nil, errors.New("pages is missing or out of range")
	}
	if s.SingleZone == nil || s.SpreadZones == nil || s.Spot == nil {
		return nil, errors.New("together, apart or loaners is missing")
	}
	if s.Zone != nil && (*s.Zone == "" || len(*s.Zone) > maxNameLength) {
		return nil, errors.New("hall has a bad length")
	}
	if len(s.Types) > 100 {
		return nil, errors.New("breeds is too long")
	}
	for _, t := range s.Types {
		if t == "" || len(t) > maxNameLength {
			return nil, errors.New("breeds holds a bad name")
		}
	}
	if s.DeadlineS != nil {
		if err := checkAmount("pressByS", s.DeadlineS, 0); err != nil {
			return nil, err
		}
	}
	if err := errors.Join(
		checkLabel("desk", s.Class), checkLabel("crew", s.Team), checkLabel("plate", s.Image),
		checkAmount("vcpus", s.CPUs, 0), checkAmount("cards", s.GPUs, 0), checkAmount("ramGb", s.MemoryGB, 0),
		checkAmount("imageGb", s.ImageGB, 0), checkAmount("expectedS", s.EstimateS, 0),
		checkAmount("proofEveryS", s.CheckpointIntervalS, 0), checkAmount("proofS", s.CheckpointDurationS, 0),
	); err != nil {
		return nil, err
	}
	j := &Job{
		ID: *s.ID, Class: *s.Class, Team: *s.Team, Priority: prio, Tasks: int(*s.Tasks),
		CPUs: *s.CPUs, GPUs: *s.GPUs, MemoryGB: *s.MemoryGB, Image: *s.Image, ImageGB: *s.ImageGB,
		Types: s.Types, AnyType: s.Types == nil, SingleZone: *s.SingleZone, SpreadZones: *s.SpreadZones, Spot: *s.Spot,
		EstimateS: *s.EstimateS, CheckpointIntervalS: *s.CheckpointIntervalS, CheckpointDurationS: *s.CheckpointDurationS, Service: *s.Kind == kindService,
	}
	if j.Service && j.EstimateS != 0 {
		return nil, errors.New("expectedS of a service is not 0")
	}
	if s.Zone != nil {
		j.Zone = *s.Zone
	}
	if s.DeadlineS != nil && !j.Service {
		j.DeadlineS, j.HasDeadline = *s.DeadlineS, true
	}
	return j, nil
}

// Fits tells whether one task of the job can run on a machine of type t.
func (j *Job) Fits(t *MachineType) bool {
	if j.CPUs > t.CPUs || j.GPUs > t.GPUs || j.MemoryGB > t.MemoryGB {
		return false
	}
	if j.Zone != "" {
		found := false
		for _, z := range t.Zones {
			found = found || z == j.Zone
		}
		if !found {
			return false
		}
	}
	return j.AllowsType(t.Name)
}

// AllowsType tells whether the job names type t, or any.
func (j *Job) AllowsType(t string) bool {
	if j.AnyType {
		return true
	}
	for _, n := range j.Types {
		if n == t {
			return true
		}
	}
	return false
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
