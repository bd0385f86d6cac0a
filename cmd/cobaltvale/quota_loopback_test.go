package main

import (
	"bytes"
	"context"
	"fmt"
	"math/rand/v2"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/rs/zerolog"

	"github.com/cobaltvale/cobaltvale/internal/audit"
	"github.com/cobaltvale/cobaltvale/internal/quota"
	"github.com/cobaltvale/cobaltvale/internal/settings"
	"github.com/cobaltvale/cobaltvale/internal/standin"
)

// loopbackTimeout is how long a test of real processes' parts may take.
const loopbackTimeout = 3 * time.Minute

// loopback is three controllers with their real transport in this process, and the
// stand-ins around them.
type loopbackDeployment struct {
	*standin.Deployment
	t         *testing.T
	ctx       context.Context
	auditDir  string
	stopFuncs map[string]func()
}

func newLoopbackDeployment(t *testing.T, machines int, teams []standin.Team) *loopbackDeployment {
	t.Helper()
	d, err := standin.NewDeployment(machines, teams)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(d.Close)
	ctx, cancel := context.WithTimeout(context.Background(), loopbackTimeout)
	t.Cleanup(cancel)
	l := &loopbackDeployment{Deployment: d, t: t, ctx: ctx, auditDir: t.TempDir(), stopFuncs: make(map[string]func())}
	for _, m := range d.Members {
		l.startController(m)
	}
	t.Cleanup(l.stopAllControllers)
	l.waitFor("every controller is ready", func() bool {
		for _, m := range d.Members {
			if !d.Ready(ctx, m) {
				return false
			}
		}
		return true
	})
	d.StartWorkers()
	return l
}

func (l *loopbackDeployment) waitFor(what string, holds func() bool) {
	l.t.Helper()
	if err := standin.WaitFor(l.ctx, what, holds); err != nil {
		l.t.Fatal(err)
	}
}

// start runs a controller until it is stopped.
func (l *loopbackDeployment) startController(member string) {
	l.t.Helper()
	file, err := settings.Parse([]byte(l.Settings(member)))
	if err != nil {
		l.t.Fatal(err)
	}
	tune := settings.DefaultTuning()
	tune.QuotaEscrow, tune.QuotaAudit = true, l.auditDir
	ctx, cancel := context.WithCancel(l.ctx)
	done := make(chan error, 1)
	go func() {
		done <- serve(ctx, processConfig{file: file, tuning: tune, log: zerolog.Nop(), incarnation: rand.Uint64(), start: time.Now()})
	}()
	var once sync.Once
	l.stopFuncs[member] = func() {
		once.Do(func() {
			cancel()
			if err := <-done; err != nil {
				l.t.Errorf("%s: %v", member, err)
			}
		})
	}
}

func (l *loopbackDeployment) stopAllControllers() {
	for _, stop := range l.stopFuncs {
		stop()
	}
}

// submitAll hands jobs in at all controllers at the same time.
func (l *loopbackDeployment) submitAll(jobs []*standin.Job) {
	l.t.Helper()
	const atOnce = 150 // users at each controller
	var users sync.WaitGroup
	for i, m := range l.Members {
		work := make(chan *standin.Job)
		go func() {
			defer close(work)
			for k := i; k < len(jobs); k += len(l.Members) {
				work <- jobs[k]
			}
		}()
		for range atOnce {
			users.Add(1)
			go func() {
				defer users.Done()
				for j := range work {
					if err := l.Submit(l.ctx, m, j); err != nil {
						l.t.Error(err)
					}
				}
			}()
		}
	}
	users.Wait()
}

// files names the histories of all processes.
func (l *loopbackDeployment) auditFiles() []string {
	names, err := filepath.Glob(filepath.Join(l.auditDir, "*.audit"))
	if err != nil {
		l.t.Fatal(err)
	}
	return names
}

func newJobs(n int, teams []standin.Team) ([]*standin.Job, map[string]int) {
	tasks := make(map[string]int)
	var jobs []*standin.Job
	for i := range n {
		team := teams[[]int{0, 1, 0, 1, 0, 2}[i%6]].Name
		j := &standin.Job{ID: fmt.Sprintf("wk-%06d", i), Team: team, Tasks: 1 + i%7/6, CPUs: float64(1 + i%2), TaskDuration: 600 * time.Millisecond}
		jobs = append(jobs, j)
		tasks[team] += j.Tasks
	}
	return jobs, tasks
}

// Thousands of submissions at the same time to three controllers, for teams near
// their limits: the machines never see a team above its limit, and the audit of the
// controllers, which knows nothing of the machines, finds no overshoot, no unmet
// guarantee and no gap.
func TestTeamLimitsHoldOnLoopback(t *testing.T) {
	teams := []standin.Team{{Name: "north", Guarantee: 60, Limit: 120}, {Name: "south", Guarantee: 40, Limit: 80}, {Name: "west", Limit: 40}}
	l := newLoopbackDeployment(t, 40, teams)
	jobs, tasks := newJobs(2400, teams)
	l.submitAll(jobs)
	l.waitFor("tasks run", func() bool { return l.History.Summary().StartedTasks["south"] >= 200 })
	l.stopFuncs["c"]() // its shard is recovered by another, and goes back
	l.startController("c")
	l.waitFor("every job is done", func() bool {
		for team, n := range l.History.Summary().StartedTasks {
			if n < tasks[team] {
				return false
			}
		}
		for i := range 30 { // the last of each, at another controller than its own
			j := jobs[len(jobs)-1-i]
			if l.Status(l.ctx, l.Members[i%3], j.ID) != "done" {
				return false
			}
		}
		return true
	})
	l.stopAllControllers()
	seen := l.History.Summary()
	for _, p := range seen.Violations {
		t.Error(p)
	}
	var out, errs bytes.Buffer
	if code := run(append([]string{"audit", "verify"}, l.auditFiles()...), &out, &errs); code != auditClean {
		t.Fatalf("audit verify ends with %d: %s%s", code, out.String(), errs.String())
	}
	t.Log(out.String())
	streams := l.readAuditStreams()
	l.requireLimitsReached(streams, teams)
	l.requireAuditDetectsOvershoot(streams)
}

// streams reads all histories.
func (l *loopbackDeployment) readAuditStreams() []*audit.Stream {
	l.t.Helper()
	var streams []*audit.Stream
	for _, name := range l.auditFiles() {
		s, err := audit.ReadFile(name)
		if err != nil {
			l.t.Fatal(err)
		}
		streams = append(streams, s)
	}
	return streams
}

// requireLimitsReached looks whether each team was admitted up to the very limit: else the
// test shows nothing. How much of that the machines hold at one instant depends on how
// soon their heartbeats come.
func (l *loopbackDeployment) requireLimitsReached(streams []*audit.Stream, teams []standin.Team) {
	l.t.Helper()
	highest := make(map[string]int64)
	for _, use := range audit.Verify(streams, defaultGuaranteeWait).Teams {
		highest[use.Team] = use.Peak.CPUs
	}
	for _, team := range teams {
		if limit := quota.LimitOf(team.Limit, 0).CPUs; highest[team.Name] != limit {
			l.t.Errorf("team %s was admitted up to %d thousandths of a CPU, its limit of %d was not tried", team.Name, highest[team.Name], limit)
		}
	}
}

// requireAuditDetectsOvershoot replays the same histories against lower limits, as if the
// controllers had got them wrong: then the audit must find it.
func (l *loopbackDeployment) requireAuditDetectsOvershoot(streams []*audit.Stream) {
	l.t.Helper()
	for _, s := range streams {
		for i := range s.Records {
			if s.Records[i].Team == "south" {
				s.Records[i].Limit = quota.LimitOf(60, 0)
			}
		}
	}
	found := false
	for _, f := range audit.Verify(streams, defaultGuaranteeWait).Findings {
		found = found || (f.Kind == audit.Overshoot && f.Team == "south")
	}
	if !found {
		l.t.Error("south used 80 of 60 CPUs, and the audit finds nothing")
	}
}

// A history that is cut short ends the command with a line that names file and place.
func TestAuditVerifyReportsTruncatedFile(t *testing.T) {
	name := filepath.Join(t.TempDir(), "a.audit")
	if err := os.WriteFile(name, []byte("CVAUDIT1\x00\x00"), 0o600); err != nil {
		t.Fatal(err)
	}
	var out, errs bytes.Buffer
	if code := run([]string{"audit", "verify", name}, &out, &errs); code != auditUnreadable || strings.Count(errs.String(), "\n") != 1 ||
		!strings.Contains(errs.String(), name+": at byte 8: truncated") {
		t.Errorf("status %d, %q", code, errs.String())
	}
}
