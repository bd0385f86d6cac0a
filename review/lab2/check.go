//go:build review

package main

import (
	"fmt"
	"time"
)

// violate records a violation of a rule; the first one decides the result.
func (w *world) violate(format string, args ...any) {
	text := fmt.Sprintf(format, args...)
	w.logf("BROKEN: %s", text)
	if w.broken == "" {
		w.broken = text
	}
}

// checkStart checks the rules for a task that starts on a machine. The caller holds world.mu.
func (w *world) checkStart(m *machine, started *task) {
	for _, other := range w.machines {
		if other == m || !other.goneAt.IsZero() {
			continue
		}
		for _, t := range other.tasks {
			if t.page == started.page && t.status == "running" {
				w.violate("ran_twice: %s starts on %s while it is on %s", t.page, m.name, other.name)
			}
		}
	}
	j := started.job
	if hall, ok := j.hall.(string); (ok && hall != m.zone) || (m.spot && !j.loaners) {
		w.violate("wrong_place: %s starts on %s", started.page, m.name)
	}
	use, on := 0.0, []string{}
	for _, other := range w.machines {
		for _, t := range other.tasks {
			if other.withinLease() && t.status == "running" && t.job.team == j.team {
				use += t.job.cpus
				on = append(on, t.page+" on "+other.name)
			}
		}
	}
	for _, t := range w.site.teams {
		if t.name == j.team && t.most > 0 && use > t.most+1e-9 {
			w.violate("quota: %s uses %v CPUs of %v: %v", t.name, use, t.most, on)
		}
	}
}

// withinLease reports whether what a machine runs counts: it is not gone, and its lease has not
// ended. The worker of a machine that hangs ends its tasks only when the machine goes on.
func (m *machine) withinLease() bool {
	return m.goneAt.IsZero() && time.Since(m.sessionAt) < time.Duration(m.w.site.leaseS*float64(time.Second))
}

// teamUse returns the CPUs of the tasks of a team that are on machines or on their way.
func (w *world) teamUse(name string) (used, most float64) {
	for _, m := range w.machines {
		for _, t := range m.tasks {
			if m.goneAt.IsZero() && t.status != "ended" && t.job.team == name {
				used += t.job.cpus
			}
		}
	}
	for _, t := range w.site.teams {
		if t.name == name {
			most = t.most
		}
	}
	return used, most
}

// hasTask reports whether a task of the job is on a machine or fetches its image there.
func (w *world) hasTask(j *job) bool {
	for _, m := range w.machines {
		for _, t := range m.tasks {
			if m.goneAt.IsZero() && t.job == j && t.status != "ended" {
				return true
			}
		}
	}
	return false
}

// fits reports whether a machine that reports has room for a task of a job, and is of a type,
// zone and kind that the job allows.
func (m *machine) fits(j *job) bool {
	if !m.up() || m.cut || m.sick || m.perch == 0 {
		return false
	}
	if hall, ok := j.hall.(string); (ok && hall != m.zone) || (m.spot && !j.loaners) {
		return false
	}
	cpus, mem := m.free()
	return cpus >= j.cpus-1e-9 && mem >= j.memGB-1e-9
}

// waiting watches one job: from the end of the troubles on, it must not be left waiting for 90 s
// while, all the time, a machine that fits has room and its team is under its limit. over is when
// the troubles ended. It returns an error if the rest of the time is too short to see.
func (w *world) waiting(j *job, over, until time.Time) error {
	const bound = 90 * time.Second
	if left := time.Until(until); left < bound+time.Second {
		return fmt.Errorf("only %.0f s are left", left.Seconds())
	}
	var since time.Time // since when the job waits and some machine has room; zero: not now
	withRoom := ""
	lastNote := time.Now()
	for time.Now().Before(until) {
		time.Sleep(50 * time.Millisecond)
		w.mu.Lock()
		now := time.Now()
		used, most := w.teamUse(j.team)
		waits := now.After(over) && !j.accepted.IsZero() && j.final.IsZero() && !w.hasTask(j) && (most <= 0 || used+j.cpus <= most)
		names := []string{}
		for _, m := range w.machines {
			if waits && m.fits(j) {
				names = append(names, m.name)
			}
		}
		if len(names) == 0 {
			since = time.Time{}
		} else if since.IsZero() {
			since = now
		}
		if text := fmt.Sprint(names); text != withRoom {
			withRoom = text
			w.logf("check: %s waits: %v, machines that fit and have room: %v", j.id, waits, names)
		}
		if !since.IsZero() && now.Sub(since) >= bound {
			w.violate("%s is left waiting for %.1f s (its user is told %q) while %v have room; %s uses %v of %v CPUs", j.id,
				now.Sub(since).Seconds(), j.status, names, j.team, used, most)
			w.mu.Unlock()
			return nil
		}
		if !since.IsZero() && now.Sub(lastNote) > 15*time.Second {
			lastNote = now
			w.logf("check: %s has been waiting for %.0f s while a machine has room", j.id, now.Sub(since).Seconds())
		}
		ended := !j.final.IsZero()
		w.mu.Unlock()
		if ended {
			return nil
		}
	}
	return nil
}
