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

// loopbackTimeout limits the duration of a test with a loopbackDeployment.
const loopbackTimeout = 3 * time.Minute

// loopbackDeployment is three controllers that run in the test's process, connected by
// their real transport, with stand-ins for the services, machines and users around them.
type loopbackDeployment struct {
	*standin.Deployment
	t         *testing.T
	ctx       context.Context
	auditDir  string
	stopFuncs map[string]func() // by member
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

func (l *loopbackDeployment) waitFor(description string, condition func() bool) {
	l.t.Helper()
	if err := standin.WaitFor(l.ctx, description, condition); err != nil {
		l.t.Fatal(err)
	}
}

// startController runs a member's controller until its function in stopFuncs is called.
func (l *loopbackDeployment) startController(member string) {
	l.t.Helper()
	file, err := settings.Parse([]byte(l.Settings(member)))
	if err != nil {
		l.t.Fatal(err)
	}
	tuning := settings.DefaultTuning()
	tuning.QuotaEscrow, tuning.QuotaAudit = true, l.auditDir
	ctx, cancel := context.WithCancel(l.ctx)
	done := make(chan error, 1)
	go func() {
		done <- serve(ctx, processConfig{file: file, tuning: tuning, log: zerolog.Nop(), incarnation: rand.Uint64(), start: time.Now()})
	}()
	var once sync.Once
	l.stopFuncs[member] = func() {
		once.Do(func() {
			cancel()
			if err := <-done; err != nil {
				l.t.Errorf("controller %s: %v", member, err)
			}
		})
	}
}

func (l *loopbackDeployment) stopAllControllers() {
	for _, stop := range l.stopFuncs {
		stop()
	}
}

// submitAll submits the jobs to all controllers at the same time.
func (l *loopbackDeployment) submitAll(jobs []*standin.Job) {
	l.t.Helper()
	const usersPerController = 150 // that submit at the same time
	var users sync.WaitGroup
	for i, m := range l.Members {
		queue := make(chan *standin.Job)
		go func() {
			defer close(queue)
			for k := i; k < len(jobs); k += len(l.Members) {
				queue <- jobs[k]
			}
		}()
		for range usersPerController {
			users.Add(1)
			go func() {
				defer users.Done()
				for j := range queue {
					if err := l.Submit(l.ctx, m, j); err != nil {
						l.t.Error(err)
					}
				}
			}()
		}
	}
	users.Wait()
}

// auditFiles returns the paths of the audit logs of all processes.
func (l *loopbackDeployment) auditFiles() []string {
	names, err := filepath.Glob(filepath.Join(l.auditDir, "*.audit"))
	if err != nil {
		l.t.Fatal(err)
	}
	return names
}

// newJobs returns jobs of the teams, and the number of their tasks by team.
func newJobs(count int, teams []standin.Team) ([]*standin.Job, map[string]int) {
	taskCounts := make(map[string]int)
	var jobs []*standin.Job
	for i := range count {
		team := teams[[]int{0, 1, 0, 1, 0, 2}[i%6]].Name
		j := &standin.Job{ID: fmt.Sprintf("wk-%06d", i), Team: team, Tasks: 1 + i%7/6, CPUs: float64(1 + i%2), TaskDuration: 600 * time.Millisecond}
		jobs = append(jobs, j)
		taskCounts[team] += j.Tasks
	}
	return jobs, taskCounts
}

// Guards against teams above their limits. Thousands of jobs of teams that reach their
// limits are submitted to three controllers at the same time, and one controller restarts.
// The machines must never run more of a team's tasks than its limit allows. The audit of
// the controllers' own records, which is independent of what the machines saw, must find
// no overshoot, no unmet guarantee and no gap.
func TestTeamLimitsHoldOnLoopback(t *testing.T) {
	teams := []standin.Team{{Name: "north", Guarantee: 60, Limit: 120}, {Name: "south", Guarantee: 40, Limit: 80}, {Name: "west", Limit: 40}}
	l := newLoopbackDeployment(t, 40, teams)
	jobs, taskCounts := newJobs(2400, teams)
	l.submitAll(jobs)
	l.waitFor("tasks run", func() bool { return l.History.Summary().StartedTasks["south"] >= 200 })
	l.stopFuncs["c"]() // another controller recovers its shard, and returns it later
	l.startController("c")
	l.waitFor("every job is done", func() bool {
		for team, started := range l.History.Summary().StartedTasks {
			if started < taskCounts[team] {
				return false
			}
		}
		for i := range 30 { // the last jobs; two of three queries go to another controller than the submission
			j := jobs[len(jobs)-1-i]
			if l.Status(l.ctx, l.Members[i%3], j.ID) != "done" {
				return false
			}
		}
		return true
	})
	l.stopAllControllers()
	summary := l.History.Summary()
	for _, violation := range summary.Violations {
		t.Error(violation)
	}
	var out, errs bytes.Buffer
	if code := run(append([]string{"audit", "verify"}, l.auditFiles()...), &out, &errs); code != auditClean {
		t.Fatalf("audit verify: exit status %d, want no findings: %s%s", code, out.String(), errs.String())
	}
	t.Log(out.String())
	streams := l.readAuditStreams()
	l.requireLimitsReached(streams, teams)
	l.requireAuditDetectsOvershoot(streams)
}

// readAuditStreams reads the audit logs of all processes.
func (l *loopbackDeployment) readAuditStreams() []*audit.Stream {
	l.t.Helper()
	var streams []*audit.Stream
	for _, name := range l.auditFiles() {
		stream, err := audit.ReadFile(name)
		if err != nil {
			l.t.Fatal(err)
		}
		streams = append(streams, stream)
	}
	return streams
}

// requireLimitsReached checks that each team was admitted up to exactly its limit; otherwise
// the test would prove nothing. It checks the admissions because how much of them runs on
// the machines at one time depends on when their heartbeats arrive.
func (l *loopbackDeployment) requireLimitsReached(streams []*audit.Stream, teams []standin.Team) {
	l.t.Helper()
	peakCPUs := make(map[string]int64) // admitted, in thousandths
	for _, usage := range audit.Verify(streams, defaultGuaranteeWait).Teams {
		peakCPUs[usage.Team] = usage.Peak.CPUs
	}
	for _, team := range teams {
		if limit := quota.LimitOf(team.Limit, 0).CPUs; peakCPUs[team.Name] != limit {
			l.t.Errorf("team %s was admitted up to %d thousandths of a CPU, want up to its limit of %d", team.Name, peakCPUs[team.Name], limit)
		}
	}
}

// requireAuditDetectsOvershoot replays the same records with a lower limit of one team, as
// if the controllers had exceeded it: the audit must find the overshoot.
func (l *loopbackDeployment) requireAuditDetectsOvershoot(streams []*audit.Stream) {
	l.t.Helper()
	for _, stream := range streams {
		for i := range stream.Records {
			if stream.Records[i].Team == "south" {
				stream.Records[i].Limit = quota.LimitOf(60, 0)
			}
		}
	}
	found := false
	for _, finding := range audit.Verify(streams, defaultGuaranteeWait).Findings {
		found = found || (finding.Kind == audit.Overshoot && finding.Team == "south")
	}
	if !found {
		l.t.Error("team south used 80 CPUs with a limit of 60, but the audit found no overshoot")
	}
}

// audit verify must reject a truncated audit log with a single line that names the file and
// the byte offset.
func TestAuditVerifyReportsTruncatedFile(t *testing.T) {
	name := filepath.Join(t.TempDir(), "a.audit")
	if err := os.WriteFile(name, []byte("CVAUDIT1\x00\x00"), 0o600); err != nil {
		t.Fatal(err)
	}
	var out, errs bytes.Buffer
	if code := run([]string{"audit", "verify", name}, &out, &errs); code != auditUnreadable || strings.Count(errs.String(), "\n") != 1 ||
		!strings.Contains(errs.String(), name+": at byte 8: truncated") {
		t.Errorf("exit status %d, standard error %q; want an unreadable log in one line with the file and byte 8", code, errs.String())
	}
}
