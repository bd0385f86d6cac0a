package standin

import (
	"fmt"
	"sync"
	"time"
)

// Job is what the stand-ins know of a job that a user submits.
type Job struct {
	ID, Team     string
	Tasks        int
	CPUs         float64
	TaskDuration time.Duration // each task
	SubmittedAt  time.Time     // when it was first sent
}

// History is what happens on the machines, independent of what controllers say of it.
type History struct {
	limits map[string]float64

	mu            sync.Mutex
	jobs          map[string]*Job
	cpusInUse     map[string]float64
	peakCPUs      map[string]float64
	machineByTask map[string]string // machine by task
	startedTasks  map[string]int
	startDelays   []time.Duration // from a job's submission to each of its tasks' starts
	firstStarts   map[string]time.Time
	violations    []string
}

// NewHistory makes one that knows the teams' limits in CPUs.
func NewHistory(limits map[string]float64) *History {
	return &History{limits: limits, jobs: make(map[string]*Job), cpusInUse: make(map[string]float64), peakCPUs: make(map[string]float64),
		machineByTask: make(map[string]string), startedTasks: make(map[string]int), firstStarts: make(map[string]time.Time)}
}

// Submit makes a job known.
func (h *History) AddJob(j *Job) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.jobs[j.ID] = j
}

func (h *History) job(id string) *Job {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.jobs[id]
}

// start notes that a task starts on a machine.
func (h *History) recordStart(j *Job, task, machine string) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if on := h.machineByTask[task]; on != "" {
		h.addViolation("%s starts on %s while it runs on %s", task, machine, on)
	}
	h.machineByTask[task] = machine
	h.cpusInUse[j.Team] += j.CPUs
	h.peakCPUs[j.Team] = max(h.peakCPUs[j.Team], h.cpusInUse[j.Team])
	if limit := h.limits[j.Team]; limit > 0 && h.cpusInUse[j.Team] > limit {
		h.addViolation("team %s uses %v CPUs of %v", j.Team, h.cpusInUse[j.Team], limit)
	}
	h.startedTasks[j.Team]++
	h.startDelays = append(h.startDelays, time.Since(j.SubmittedAt))
	if h.firstStarts[j.ID].IsZero() {
		h.firstStarts[j.ID] = time.Now()
	}
}

func (h *History) recordEnd(j *Job, task string) {
	h.mu.Lock()
	defer h.mu.Unlock()
	delete(h.machineByTask, task)
	h.cpusInUse[j.Team] -= j.CPUs
}

const maxViolations = 20

func (h *History) addViolation(format string, args ...any) {
	if len(h.violations) < maxViolations {
		h.violations = append(h.violations, fmt.Sprintf(format, args...))
	}
}

// Summary is what the machines have seen so far.
type Summary struct {
	StartedTasks map[string]int
	PeakCPUs     map[string]float64
	StartDelays  []time.Duration
	FirstStarts  map[string]time.Time
	Violations   []string
}

// Summary returns it.
func (h *History) Summary() Summary {
	h.mu.Lock()
	defer h.mu.Unlock()
	out := Summary{StartedTasks: make(map[string]int), PeakCPUs: make(map[string]float64), FirstStarts: make(map[string]time.Time)}
	for team, n := range h.startedTasks {
		out.StartedTasks[team] = n
	}
	for team, v := range h.peakCPUs {
		out.PeakCPUs[team] = v
	}
	for id, at := range h.firstStarts {
		out.FirstStarts[id] = at
	}
	out.StartDelays = append(out.StartDelays, h.startDelays...)
	out.Violations = append(out.Violations, h.violations...)
	return out
}
