package standin

import (
	"fmt"
	"sync"
	"time"
)

// Job is a batch job that a user submits.
type Job struct {
	ID, Team     string
	Tasks        int           // number of tasks
	CPUs         float64       // of each task
	TaskDuration time.Duration // run time of each task
	SubmittedAt  time.Time     // when Submit was called, before the first attempt
}

// History records what happens on the machines, independent of what the controllers report,
// and finds violations: a team above its limit, or a task that runs twice at a time. It is
// safe for concurrent use.
type History struct {
	limits map[string]float64 // CPUs by team; 0: none

	mu            sync.Mutex         // guards all fields below
	jobs          map[string]*Job    // by ID
	cpusInUse     map[string]float64 // by team
	peakCPUs      map[string]float64 // by team
	machineByTask map[string]string
	startedTasks  map[string]int       // by team
	startDelays   []time.Duration      // from a job's submission to each of its tasks' starts
	firstStarts   map[string]time.Time // of any task, by job ID
	violations    []string
}

// NewHistory returns an empty history for teams with the given limits in CPUs.
func NewHistory(limits map[string]float64) *History {
	return &History{limits: limits, jobs: make(map[string]*Job), cpusInUse: make(map[string]float64), peakCPUs: make(map[string]float64),
		machineByTask: make(map[string]string), startedTasks: make(map[string]int), firstStarts: make(map[string]time.Time)}
}

// AddJob adds a job, so that its tasks can be started. It must be called before the job is
// submitted.
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

// recordStart records that a task starts on a machine, and any violations that this causes.
func (h *History) recordStart(j *Job, task, machine string) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if previous := h.machineByTask[task]; previous != "" {
		h.addViolation("%s starts on %s while it runs on %s", task, machine, previous)
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

// addViolation adds a violation unless there are maxViolations already. It must be called
// with mu held.
func (h *History) addViolation(format string, args ...any) {
	if len(h.violations) < maxViolations {
		h.violations = append(h.violations, fmt.Sprintf(format, args...))
	}
}

// Summary is a copy of what happened on the machines so far.
type Summary struct {
	StartedTasks map[string]int       // by team
	PeakCPUs     map[string]float64   // by team
	StartDelays  []time.Duration      // from a job's submission to each of its tasks' starts
	FirstStarts  map[string]time.Time // by job ID
	Violations   []string             // texts, at most maxViolations
}

// Summary returns a copy of the present state.
func (h *History) Summary() Summary {
	h.mu.Lock()
	defer h.mu.Unlock()
	summary := Summary{StartedTasks: make(map[string]int), PeakCPUs: make(map[string]float64), FirstStarts: make(map[string]time.Time)}
	for team, count := range h.startedTasks {
		summary.StartedTasks[team] = count
	}
	for team, cpus := range h.peakCPUs {
		summary.PeakCPUs[team] = cpus
	}
	for id, start := range h.firstStarts {
		summary.FirstStarts[id] = start
	}
	summary.StartDelays = append(summary.StartDelays, h.startDelays...)
	summary.Violations = append(summary.Violations, h.violations...)
	return summary
}
