//go:build review

package main

import (
	"context"
	"net/http"
	"strings"
	"time"

	"math/rand/v2"

	"github.com/cobaltvale/cobaltvale/internal/protocol"
)

// task is one attempt of a task on a machine.
type task struct {
	job    *job
	page   string
	try    uint64
	status string // fetching, running, ended
	cause  string
	began  time.Time // of its run
}

// machine is a machine with its worker. Its fields are guarded by world.mu.
type machine struct {
	w                *world
	name             string
	kind             *machineType
	zone             string
	spot             bool
	initial          bool // up before the start
	hiredAt, upAt    time.Time
	goneAt           time.Time // stopped, taken or released
	released, failed bool
	hung             bool
	sick             bool // fails every task that it starts
	cut              bool // its reports reach no controller

	perch, tick, baton uint64
	sessionAt          time.Time // start of the session, or when the last answered report was sent
	tasks              []*task
	images             map[string]bool
	fetches            map[string]time.Time // end of the fetch, by image
	changed            bool
	member             int
	tokenChangeAt      time.Time
}

// gone ends a machine with all that is on it. The caller holds world.mu.
func (m *machine) gone(why string) {
	if !m.goneAt.IsZero() {
		return
	}
	m.goneAt = time.Now()
	m.w.logf("%s is gone: %s; tasks on it: %v", m.name, why, m.pages())
	m.tasks = nil
}

func (m *machine) pages() []string {
	out := []string{}
	for _, t := range m.tasks {
		if t.status != "ended" {
			out = append(out, t.page+" "+t.status)
		}
	}
	return out
}

// unlistedBy reports whether the list as of a time lacks the machine because it is gone.
func (m *machine) unlistedBy(at time.Time) bool {
	return !m.goneAt.IsZero() && (m.released || !m.failed) && m.goneAt.Add(m.listedAfterEnd()).Before(at)
}

func (m *machine) listedAfterEnd() time.Duration {
	if m.failed && !m.released {
		return 30 * time.Second
	}
	return 0
}

func (m *machine) failedBy(at time.Time) bool {
	return m.failed && !m.released && m.goneAt.Add(m.listedAfterEnd()).Before(at)
}

// free returns the free resources; tasks that fetch count.
func (m *machine) free() (cpus, memGB float64) {
	cpus, memGB = m.kind.cpus, m.kind.memGB
	for _, t := range m.tasks {
		if t.status != "ended" {
			cpus -= t.job.cpus
			memGB -= t.job.memGB
		}
	}
	return cpus, memGB
}

// up reports whether the worker runs. The caller holds world.mu.
func (m *machine) up() bool { return m.goneAt.IsZero() && time.Now().After(m.upAt) && !m.hung }

type reportResult struct {
	sentAt time.Time
	perch  uint64
	status int
	body   []byte
	member int
}

// run is the worker.
func (m *machine) run() {
	w := m.w
	client := &http.Client{Transport: &http.Transport{MaxConnsPerHost: 1}}
	ticker := time.NewTicker(20 * time.Millisecond)
	defer ticker.Stop()
	results := make(chan reportResult, 1)
	inFlight := false
	var next, lastSent time.Time
	began := false
	for {
		var result *reportResult
		select {
		case <-w.stopped:
			return
		case r := <-results:
			result = &r
		case <-ticker.C:
		}
		w.mu.Lock()
		if !m.goneAt.IsZero() {
			w.mu.Unlock()
			client.CloseIdleConnections()
			return
		}
		if !m.up() {
			if result != nil { // it hangs; the response is lost
				inFlight = false
			}
			w.mu.Unlock()
			continue
		}
		now := time.Now()
		if !began {
			began, m.perch, m.sessionAt, m.member = true, 1, now, rand.IntN(3)
			w.logf("%s (%s) is up", m.name, kindOf(m.kind.name, m.zone, m.spot))
			next = now
		}
		if now.Sub(m.sessionAt) > time.Duration(w.site.leaseS*float64(time.Second)) {
			w.logf("%s: lease over, ends %v, next session", m.name, m.pages())
			m.perch++
			m.sessionAt, m.tasks, m.changed = now, nil, true
		}
		m.step(now)
		if result != nil {
			inFlight = false
			next = lastSent.Add(time.Duration(w.site.reportS * (0.75 + rand.Float64()/2) * float64(time.Second)))
			if delay := m.handle(result, now); delay > 0 {
				next = now.Add(delay)
			}
		}
		due := next
		if m.changed {
			if early := lastSent.Add(500 * time.Millisecond); early.Before(due) {
				due = early
			}
		}
		if inFlight || now.Before(due) {
			w.mu.Unlock()
			continue
		}
		inFlight, lastSent, m.changed = true, now, false
		next = now.Add(time.Hour)
		body := m.report()
		r := reportResult{sentAt: now, perch: m.perch, member: m.member}
		cut := m.cut
		w.mu.Unlock()
		go func() {
			if cut {
				time.Sleep(4 * time.Second)
			} else {
				r.status, r.body = callWith(context.Background(), client, http.MethodPost, "http://"+w.api[w.members[r.member]]+"/checkin", body, 4*time.Second)
			}
			results <- r
		}()
	}
}

// report encodes the next report.
func (m *machine) report() []byte {
	m.tick++
	pages := []any{}
	for _, t := range m.tasks {
		entry := map[string]any{"page": t.page, "try": t.try, "status": t.status}
		if t.status == "ended" {
			entry["cause"] = t.cause
		}
		pages = append(pages, entry)
	}
	return m.w.codec.Encode(map[string]any{"roost": m.name, "address": "127.0.0.1:1", "breed": m.kind.name, "hall": m.zone, "loaners": m.spot,
		"perch": m.perch, "tick": m.tick, "baton": m.baton, "recallInS": nil, "pages": pages})
}

// handle handles a response, and returns the delay of the next report, or 0 for the usual one.
func (m *machine) handle(r *reportResult, now time.Time) time.Duration {
	w := m.w
	switch r.status {
	case 200:
		var response protocol.HeartbeatResponse
		if w.codec.Decode(r.body, &response) != nil || response.FencingToken < m.baton || r.perch != m.perch {
			return 0
		}
		if response.FencingToken > m.baton {
			m.baton = response.FencingToken
			if now.Sub(m.tokenChangeAt) > time.Duration(w.site.leaseS/2*float64(time.Second)) {
				m.tokenChangeAt, m.changed = now, true
			}
		}
		m.sessionAt = r.sentAt
		for _, c := range response.Commands {
			m.execute(&c, now)
		}
		return 0
	case 421:
		var redirect protocol.Redirect
		if w.codec.Decode(r.body, &redirect) == nil && redirect.HeartbeatTo != "" && redirect.HeartbeatTo != w.members[r.member] {
			for i, member := range w.members {
				if member == redirect.HeartbeatTo {
					m.member = i
					return 10 * time.Millisecond
				}
			}
		}
	}
	m.member = (m.member + 1) % len(w.members)
	return time.Second
}

// execute executes one command.
func (m *machine) execute(c *protocol.Command, now time.Time) {
	w := m.w
	var known, other *task
	for _, t := range m.tasks {
		if t.page == c.Task {
			if t.try == c.Replica {
				known = t
			} else if t.status != "ended" {
				other = t
			}
		}
	}
	switch c.Op {
	case "launch":
		if known != nil {
			return
		}
		id, _, _ := strings.Cut(c.Task, "/")
		j := w.jobs[id]
		t := &task{job: j, page: c.Task, try: c.Replica, status: "fetching"}
		m.changed = true
		if j == nil {
			t.job, t.status, t.cause = &job{id: id}, "ended", "no_such"
		} else if cpus, mem := m.free(); cpus < j.cpus-1e-9 || mem < j.memGB-1e-9 {
			t.status, t.cause = "ended", "full"
		} else if other != nil {
			t.status, t.cause = "ended", "in_use"
		}
		m.tasks = append(m.tasks, t)
		w.logf("%s: launch %s try %d: %s %s", m.name, c.Task, c.Replica, t.status, t.cause)
	case "kill":
		if known != nil && known.status != "ended" {
			w.logf("%s: kill %s try %d", m.name, c.Task, c.Replica)
			known.status, known.cause, m.changed = "ended", "halted", true
		}
	case "reap":
		if known != nil && known.status == "ended" {
			for i, t := range m.tasks {
				if t == known {
					m.tasks = append(m.tasks[:i], m.tasks[i+1:]...)
					break
				}
			}
			m.changed = true
		}
	}
}

// step lets the fetches and tasks go on.
func (m *machine) step(now time.Time) {
	w := m.w
	for image, end := range m.fetches {
		if now.After(end) {
			delete(m.fetches, image)
			m.images[image] = true
		}
	}
	for _, t := range m.tasks {
		switch t.status {
		case "fetching":
			if !m.images[t.job.image] {
				if m.fetches[t.job.image].IsZero() {
					m.fetches[t.job.image] = now.Add(time.Duration(t.job.imageGB / m.kind.fetchGBPerS * float64(time.Second)))
				}
				continue
			}
			t.status, t.began, m.changed = "running", now, true
			w.logf("%s: %s try %d runs", m.name, t.page, t.try)
			w.checkStart(m, t)
		case "running":
			if m.sick && now.Sub(t.began) > time.Second {
				t.status, t.cause, m.changed = "ended", "error", true
				w.logf("%s: %s try %d fails", m.name, t.page, t.try)
			} else if now.Sub(t.began) > time.Duration(t.job.runS*float64(time.Second)) {
				t.status, t.cause, m.changed = "ended", "done", true
				w.logf("%s: %s try %d is done", m.name, t.page, t.try)
			}
		}
	}
}
