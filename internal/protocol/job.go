package protocol

import (
	"fmt"
	"slices"
	"strconv"
	"strings"
)

// MaxTasks is the maximum number of tasks of a job.
const MaxTasks = 100_000

// The states of a job, as encoded in JobStatus.Status.
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

// Priority is the priority of a job; a job may preempt jobs of lower priority. Job records and
// messages between controllers contain the numeric values, so they must not change.
type Priority uint8

// The priorities, in ascending order.
const (
	PriorityBestEffort Priority = iota
	PriorityStandard
	PriorityUrgent
	PriorityProduction
)

// String returns the priority as encoded in a submission.
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

// parsePriority parses a priority as encoded in a submission and reports whether it is known.
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

// Job is the specification of a job: a submission that passed Validate. It is stored in this
// form in the state service, so its tags must not change. Resource amounts are per task; fields
// whose names end in S are in seconds.
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
	Service             bool     `cbor:"svc,omitempty"` // the tasks run until the job is cancelled
}

// ValidJobID reports whether id has the form of a job ID: "wk-" and digits, such as wk-000412.
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

// TaskName returns the name of a task in messages, such as wk-000412/3.
func TaskName(job string, task int) string { return job + "/" + strconv.Itoa(task) }

// ParseTaskName splits the name of a task in messages into its job and its task number.
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

// Fits reports whether one task of the job can run on an empty machine of the type.
func (j *Job) Fits(machine *MachineType) bool {
	if j.CPUs > machine.CPUs || j.GPUs > machine.GPUs || j.MemoryGB > machine.MemoryGB {
		return false
	}
	if j.Zone != "" && !slices.Contains(machine.Zones, j.Zone) {
		return false
	}
	return j.AllowsType(machine.Name)
}

// AllowsType reports whether the job may run on the named machine type.
func (j *Job) AllowsType(name string) bool {
	return j.AnyType || slices.Contains(j.Types, name)
}

// JobStatus is the response to a user's status query. Done and Running are the numbers of tasks
// that have completed and that are running; nil omits the field.
type JobStatus struct {
	ID      string `cbor:"nameId"`
	Status  string `cbor:"status"`
	Done    *int   `cbor:"done,omitempty"`
	Running *int   `cbor:"running,omitempty"`
}
