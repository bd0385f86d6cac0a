package standin

import (
	"fmt"
	"sync"
	"time"
)

// Job is what the stand-ins know of a job that a user submits.
type Job struct {
	ID, Team string
	Tasks    int
	CPUs     float64
	Runs     time.Duration // each task
	At       time.Time     // when it was first sent
}

// History is what happens on the machines, independent of what controllers say of it.
type History struct {
	limits map[string]float64

	mu          sync.Mutex
	jobs        map[string]*Job
	usage       map[string]float64
	peakUsage   map[string]float64
	runningOn   map[string]string // machine by task
	started     map[string]int
	waits       []time.Duration // from a job's submission to each of its tasks' starts
	firstStarts map[string]time.Time
	violations  []string
}

// NewHistory makes one that knows the teams' limits in CPUs.
func NewHistory(limits map[string]float64) *History {
	return &History{limits: limits, jobs: make(map[string]*Job), usage: make(map[string]float64), peakUsage: make(map[string]float64),
		runningOn: make(map[string]string), started: make(map[string]int), firstStarts: make(map[string]time.Time)}
}

// Submit makes a job known.
func (h *History) Submit(j *Job) {
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
func (h *History) start(j *Job, task, machine string) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if on := h.runningOn[task]; on != "" {
		h.addViolation("%s starts on %s while it runs on %s", task, machine, on)
	}
	h.runningOn[task] = machine
	h.usage[j.Team] += j.CPUs
	h.peakUsage[j.Team] = max(h.peakUsage[j.Team], h.usage[j.Team])
	if limit := h.limits[j.Team]; limit > 0 && h.usage[j.Team] > limit {
		h.addViolation("team %s uses %v CPUs of %v", j.Team, h.usage[j.Team], limit)
	}
	h.started[j.Team]++
	h.waits = append(h.waits, time.Since(j.At))
	if h.firstStarts[j.ID].IsZero() {
		h.firstStarts[j.ID] = time.Now()
	}
}

func (h *History) end(j *Job, task string) {
	h.mu.Lock()
	defer h.mu.Unlock()
	delete(h.runningOn, task)
	h.usage[j.Team] -= j.CPUs
}

const maxViolations = 20

func (h *History) addViolation(format string, args ...any) {
	if len(h.violations) < maxViolations {
		h.violations = append(h.violations, fmt.Sprintf(format, args...))
	}
}

// Summary is what the machines have seen so far.
type Summary struct {
	Started  map[string]int
	Highest  map[string]float64
	Waits    []time.Duration
	Firsts   map[string]time.Time
	Problems []string
}

// Summary returns it.
func (h *History) Summary() Summary {
	h.mu.Lock()
	defer h.mu.Unlock()
	out := Summary{Started: make(map[string]int), Highest: make(map[string]float64), Firsts: make(map[string]time.Time)}
	for team, n := range h.started {
		out.Started[team] = n
	}
	for team, v := range h.peakUsage {
		out.Highest[team] = v
	}
	for id, at := range h.firstStarts {
		out.Firsts[id] = at
	}
	out.Waits = append(out.Waits, h.waits...)
	out.Problems = append(out.Problems, h.violations...)
	return out
}
