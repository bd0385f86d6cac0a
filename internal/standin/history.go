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

	mu       sync.Mutex
	jobs     map[string]*Job
	use      map[string]float64
	highest  map[string]float64
	live     map[string]string // machine by task
	started  map[string]int
	waits    []time.Duration // from a job's submission to each of its tasks' starts
	firsts   map[string]time.Time
	problems []string
}

// NewHistory makes one that knows the teams' limits in CPUs.
func NewHistory(limits map[string]float64) *History {
	return &History{limits: limits, jobs: make(map[string]*Job), use: make(map[string]float64), highest: make(map[string]float64),
		live: make(map[string]string), started: make(map[string]int), firsts: make(map[string]time.Time)}
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
	if on := h.live[task]; on != "" {
		h.problem("%s starts on %s while it runs on %s", task, machine, on)
	}
	h.live[task] = machine
	h.use[j.Team] += j.CPUs
	h.highest[j.Team] = max(h.highest[j.Team], h.use[j.Team])
	if limit := h.limits[j.Team]; limit > 0 && h.use[j.Team] > limit {
		h.problem("team %s uses %v CPUs of %v", j.Team, h.use[j.Team], limit)
	}
	h.started[j.Team]++
	h.waits = append(h.waits, time.Since(j.At))
	if h.firsts[j.ID].IsZero() {
		h.firsts[j.ID] = time.Now()
	}
}

func (h *History) end(j *Job, task string) {
	h.mu.Lock()
	defer h.mu.Unlock()
	delete(h.live, task)
	h.use[j.Team] -= j.CPUs
}

const mostProblems = 20

func (h *History) problem(format string, args ...any) {
	if len(h.problems) < mostProblems {
		h.problems = append(h.problems, fmt.Sprintf(format, args...))
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
	for team, v := range h.highest {
		out.Highest[team] = v
	}
	for id, at := range h.firsts {
		out.Firsts[id] = at
	}
	out.Waits = append(out.Waits, h.waits...)
	out.Problems = append(out.Problems, h.problems...)
	return out
}
