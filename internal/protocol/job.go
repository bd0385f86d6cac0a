package protocol

import (
	"fmt"
	"slices"
	"strconv"
	"strings"
)

// MaxTasks is how many tasks a job may have.
const MaxTasks = 100_000

// Wire words of job states, in JobStatus.
const (
	StatusPending   = "pending"
	StatusRunning   = "running"
	StatusDone      = "done"
	StatusCancelled = "withdrawn"
)

const (
	jobIDPrefix    = "wk-"
	maxJobIDDigits = 24
)

// Priority orders jobs; a higher one may preempt a lower one. Records and controllers
// hold its numbers, so they don't change.
type Priority uint8

// The priorities, lowest first.
const (
	PriorityBestEffort Priority = iota
	PriorityStandard
	PriorityUrgent
	PriorityProduction
)

// String returns the priority's wire word.
func (p Priority) String() string {
	switch p {
	case PriorityBestEffort:
		return "best_effort"
	case PriorityStandard:
		return "standard"
	case PriorityUrgent:
		return "urgent"
	case PriorityProduction:
		return "production"
	}
	return fmt.Sprintf("Priority(%d)", uint8(p))
}

// parsePriority returns the priority of a wire word, and whether there is one.
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

// Job is a submission that passed Validate, in the field's terms. It is also the form
// in which the state service keeps it, so its tags don't change. Amounts are those of
// one task; fields whose names end in S are seconds.
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

// ValidJobID tells whether id has the form that users always give it, such as wk-000412.
func ValidJobID(id string) bool {
	digits, ok := strings.CutPrefix(id, jobIDPrefix)
	if !ok || digits == "" || len(digits) > maxJobIDDigits {
		return false
	}
	for _, digit := range digits {
		if digit < '0' || digit > '9' {
			return false
		}
	}
	return true
}

// TaskName is the wire name of a task, such as wk-000412/3.
func TaskName(job string, task int) string { return job + "/" + strconv.Itoa(task) }

// ParseTaskName splits the wire name of a task.
func ParseTaskName(name string) (job string, task int, ok bool) {
	slash := strings.LastIndexByte(name, '/')
	if slash < 0 || !ValidJobID(name[:slash]) {
		return "", 0, false
	}
	number, err := strconv.ParseUint(name[slash+1:], 10, 32)
	if err != nil || number >= MaxTasks {
		return "", 0, false
	}
	return name[:slash], int(number), true
}

// Fits tells whether one task of the job can run on an empty machine of a type.
func (j *Job) Fits(machine *MachineType) bool {
	if j.CPUs > machine.CPUs || j.GPUs > machine.GPUs || j.MemoryGB > machine.MemoryGB {
		return false
	}
	if j.Zone != "" && !slices.Contains(machine.Zones, j.Zone) {
		return false
	}
	return j.AllowsType(machine.Name)
}

// AllowsType tells whether the job may run on the machine type of that name.
func (j *Job) AllowsType(name string) bool {
	return j.AnyType || slices.Contains(j.Types, name)
}

// JobStatus answers a user's question about a job. The numbers of tasks are those that
// have completed and that run; without them they are not told.
type JobStatus struct {
	ID      string `cbor:"nameId"`
	Status  string `cbor:"status"`
	Done    *int   `cbor:"done,omitempty"`
	Running *int   `cbor:"running,omitempty"`
}
