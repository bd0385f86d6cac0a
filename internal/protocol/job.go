package protocol

import (
	"strconv"
	"strings"
)

// MaxTasks is the largest array a job may have.
const MaxTasks = 100_000

// Wire words of job states.
const (
	StatusPending   = "pending"
	StatusRunning   = "running"
	StatusDone      = "done"
	StatusCancelled = "withdrawn"
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

// JobStatus answers a user.
type JobStatus struct {
	ID      string `cbor:"nameId"`
	Status  string `cbor:"status"`
	Done    *int   `cbor:"done,omitempty"`
	Running *int   `cbor:"running,omitempty"`
}
