// Command quotabench measures the costs and benefits of dividing team limits among the
// shards. It runs three controllers as processes on loopback against the stand-ins of
// package standin, once without quota.escrow and once with it.
//
//	go build -ldflags=-linkmode=external -o target/cobaltvale ./cmd/cobaltvale
//	go run ./cmd/quotabench --program target/cobaltvale
package main

import (
	"context"
	"errors"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"sync"
	"time"

	"github.com/spf13/pflag"

	"github.com/cobaltvale/cobaltvale/internal/standin"
)

const (
	runTimeout         = 3 * time.Minute
	usersPerController = 100 // that submit at the same time
	taskDuration       = 600 * time.Millisecond
	demandMoves        = 10
)

// result has the figures of one run.
type result struct {
	admissionsPerS  float64
	startDelays     []time.Duration    // from a job's submission to each of its tasks' starts
	changesPerS     float64            // of keys of the state service, in the burst
	transfersPerS   float64            // those among them that change allocations of the limits
	guaranteeDelays []time.Duration    // from a move of demand until the guarantee is met
	peakUsage       map[string]float64 // CPUs by team
	violations      []string
}

func main() {
	program := pflag.String("program", "target/cobaltvale", "the controller's program")
	jobs := pflag.Int("jobs", 1800, "jobs of one or two tasks, submitted at once")
	machines := pflag.Int("machines", 40, "machines of 8 CPUs")
	pflag.Parse()
	for _, escrow := range []bool{false, true} {
		r, err := measure(*program, *jobs, *machines, escrow)
		if err != nil {
			fmt.Fprintln(os.Stderr, "quotabench:", err)
			os.Exit(1)
		}
		r.print(escrow)
	}
}

// teams returns the teams that share the machines, with amounts in CPUs. The guarantee of
// west equals its limit.
func teams() []standin.Team {
	return []standin.Team{{Name: "north", Guarantee: 60, Limit: 120}, {Name: "south", Guarantee: 40, Limit: 80}, {Name: "west", Guarantee: 20, Limit: 20}}
}

// measure runs the controllers once and returns the figures of that run.
func measure(program string, jobs, machines int, escrow bool) (r *result, err error) {
	d, err := standin.NewDeployment(machines, teams())
	if err != nil {
		return nil, err
	}
	defer d.Close()
	ctx, cancel := context.WithTimeout(context.Background(), runTimeout)
	defer cancel()
	dir, err := os.MkdirTemp("", "quotabench")
	if err != nil {
		return nil, fmt.Errorf("quotabench: %w", err)
	}
	defer func() { err = errors.Join(err, os.RemoveAll(dir)) }()
	for _, m := range d.Members {
		stop, err := startController(ctx, program, dir, m, d.Settings(m), escrow)
		if err != nil {
			return nil, err
		}
		defer stop()
	}
	err = standin.WaitFor(ctx, "controllers are ready", func() bool {
		return !slices.ContainsFunc(d.Members, func(m string) bool { return !d.Ready(ctx, m) })
	})
	if err != nil {
		return nil, err
	}
	d.StartWorkers()
	time.Sleep(3 * time.Second) // until all machines have sent heartbeats and shards are reconciled
	r = &result{}
	if err := r.measureBurst(ctx, d, jobs); err != nil {
		return nil, err
	}
	if err := r.measureDemandMoves(ctx, d, jobs); err != nil {
		return nil, err
	}
	s := d.History.Summary()
	r.peakUsage, r.violations = s.PeakCPUs, s.Violations
	return r, nil
}

// startController starts a member's process. stop kills it and waits for its end.
func startController(ctx context.Context, program, dir, member, settings string, escrow bool) (stop func(), err error) {
	config, props := filepath.Join(dir, member+".toml"), filepath.Join(dir, "p.properties")
	err = errors.Join(os.WriteFile(config, []byte(settings), 0o600), os.WriteFile(props, fmt.Appendf(nil, "quota.escrow = %v\n", escrow), 0o600))
	if err != nil {
		return nil, err
	}
	cmd := exec.CommandContext(ctx, program, "--config", config, "--properties", props)
	cmd.Env = append(os.Environ(), "LOG_LEVEL=error")
	cmd.Stderr = os.Stderr
	if err := cmd.Start(); err != nil {
		return nil, fmt.Errorf("quotabench: %w", err)
	}
	return func() {
		// The errors are ignored: the process is killed on purpose.
		_ = cmd.Process.Kill()
		_ = cmd.Wait()
	}, nil
}

// measureBurst submits all jobs at once and waits until all their tasks have started.
func (r *result) measureBurst(ctx context.Context, d *standin.Deployment, jobs int) error {
	changes, _ := d.State.Changes("")
	transfers, _ := d.State.Changes("m/quota/")
	start := time.Now()
	var batch []*standin.Job
	taskCount := 0
	for i := range jobs {
		team := teams()[[]int{0, 1, 0, 1, 0, 1, 0, 2}[i%8]].Name
		j := &standin.Job{ID: fmt.Sprintf("wk-%06d", i), Team: team, Tasks: 1 + i%7/6, CPUs: 1, TaskDuration: taskDuration}
		taskCount += j.Tasks
		batch = append(batch, j)
	}
	if err := submitAll(ctx, d, batch); err != nil {
		return err
	}
	err := standin.WaitFor(ctx, "all tasks start", func() bool {
		started := 0
		for _, count := range d.History.Summary().StartedTasks {
			started += count
		}
		return started >= taskCount
	})
	if err != nil {
		return err
	}
	elapsedS := time.Since(start).Seconds()
	changesAfter, _ := d.State.Changes("")
	transfersAfter, _ := d.State.Changes("m/quota/")
	r.admissionsPerS, r.startDelays = float64(taskCount)/elapsedS, d.History.Summary().StartDelays
	r.changesPerS, r.transfersPerS = float64(changesAfter-changes)/elapsedS, float64(transfersAfter-transfers)/elapsedS
	return nil
}

// submitAll has concurrent users submit the jobs to all controllers, and waits until all
// jobs are accepted. It returns the first error, if any.
func submitAll(ctx context.Context, d *standin.Deployment, jobs []*standin.Job) error {
	indexes := make(chan int) // of the jobs
	errs := make(chan error, len(jobs))
	var users sync.WaitGroup
	for range usersPerController * len(d.Members) {
		users.Add(1)
		// This goroutine ends when indexes is closed; users.Wait waits for it.
		go func() {
			defer users.Done()
			for i := range indexes {
				if err := d.Submit(ctx, d.Members[i%len(d.Members)], jobs[i]); err != nil {
					errs <- err
				}
			}
		}()
	}
	for i := range jobs {
		indexes <- i
	}
	close(indexes)
	users.Wait()
	close(errs)
	return <-errs
}

// measureDemandMoves submits the jobs of a team whose guarantee equals its limit to one
// controller after the other, and measures each time how long it takes until as many tasks
// have started as the guarantee allows. The jobs' IDs are numbered from firstJob.
func (r *result) measureDemandMoves(ctx context.Context, d *standin.Deployment, firstJob int) error {
	time.Sleep(2 * time.Second) // until the last tasks of the burst have ended
	for round := range demandMoves {
		j := &standin.Job{ID: fmt.Sprintf("wk-%06d", firstJob+round), Team: "west", Tasks: 20, CPUs: 1, TaskDuration: 2 * time.Second}
		startedBefore := d.History.Summary().StartedTasks["west"]
		start := time.Now()
		if err := d.Submit(ctx, d.Members[round%len(d.Members)], j); err != nil {
			return err
		}
		if err := standin.WaitFor(ctx, "the guarantee is met", func() bool { return d.History.Summary().StartedTasks["west"] >= startedBefore+20 }); err != nil {
			return err
		}
		r.guaranteeDelays = append(r.guaranteeDelays, time.Since(start))
		time.Sleep(4 * time.Second) // until its tasks have ended and the controllers know it
	}
	return nil
}

// print prints the figures of a run.
func (r *result) print(escrow bool) {
	fmt.Printf("quota.escrow = %v (loopback, three processes, stand-ins of this repository)\n", escrow)
	fmt.Printf("  admissions: %.0f a second\n", r.admissionsPerS)
	fmt.Printf("  submission to start, burst at the limits: %s\n", percentiles(r.startDelays))
	fmt.Printf("  state service: %.1f changes a second, %.1f of them transfers\n", r.changesPerS, r.transfersPerS)
	fmt.Printf("  demand moves to a guarantee met: %s\n", percentiles(r.guaranteeDelays))
	fmt.Printf("  highest use: %v; problems seen by the machines: %d %v\n", r.peakUsage, len(r.violations), r.violations)
}

// percentiles formats the median, the 95th percentile and the maximum of some durations.
func percentiles(durations []time.Duration) string {
	if len(durations) == 0 {
		return "none"
	}
	sorted := slices.Sorted(slices.Values(durations))
	at := func(share float64) time.Duration {
		return sorted[min(len(sorted)-1, int(share*float64(len(sorted))))].Round(time.Millisecond)
	}
	return fmt.Sprintf("p50 %v, p95 %v, max %v (of %d)", at(0.5), at(0.95), at(1), len(sorted))
}
