// Command quotabench measures what dividing team limits among the shards costs and
// brings: three controllers run as processes on loopback against the stand-ins of
// this repository, once without quota.escrow and once with it.
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
	usersPerController = 100 // at each controller
	taskDuration       = 600 * time.Millisecond
	demandMoves        = 10
)

// result is one run's figures.
type result struct {
	admissionsPerS  float64
	startDelays     []time.Duration
	changesPerS     float64
	transfersPerS   float64
	guaranteeDelays []time.Duration // from a move of demand to the guarantee met
	peakUsage       map[string]float64
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

// teams are the teams that share the machines. The guarantee of west is its limit.
func teams() []standin.Team {
	return []standin.Team{{Name: "north", Guarantee: 60, Limit: 120}, {Name: "south", Guarantee: 40, Limit: 80}, {Name: "west", Guarantee: 20, Limit: 20}}
}

// measure runs the controllers once.
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
	time.Sleep(3 * time.Second) // machines send heartbeats, shards are reconciled
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

// startController starts one process. It ends with stop, which waits for it.
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
		// It is ended on purpose; how it ends says nothing.
		_ = cmd.Process.Kill()
		_ = cmd.Wait()
	}, nil
}

// measureBurst hands all jobs in at once and waits until all tasks have started.
func (r *result) measureBurst(ctx context.Context, d *standin.Deployment, jobs int) error {
	changes, _ := d.State.Changes("")
	transfers, _ := d.State.Changes("m/quota/")
	began := time.Now()
	var list []*standin.Job
	tasks := 0
	for i := range jobs {
		team := teams()[[]int{0, 1, 0, 1, 0, 1, 0, 2}[i%8]].Name
		j := &standin.Job{ID: fmt.Sprintf("wk-%06d", i), Team: team, Tasks: 1 + i%7/6, CPUs: 1, TaskDuration: taskDuration}
		tasks += j.Tasks
		list = append(list, j)
	}
	if err := submitAll(ctx, d, list); err != nil {
		return err
	}
	err := standin.WaitFor(ctx, "all tasks start", func() bool {
		n := 0
		for _, k := range d.History.Summary().StartedTasks {
			n += k
		}
		return n >= tasks
	})
	if err != nil {
		return err
	}
	took := time.Since(began).Seconds()
	after, _ := d.State.Changes("")
	moved, _ := d.State.Changes("m/quota/")
	r.admissionsPerS, r.startDelays = float64(tasks)/took, d.History.Summary().StartDelays
	r.changesPerS, r.transfersPerS = float64(after-changes)/took, float64(moved-transfers)/took
	return nil
}

// submit has users at each controller hand the jobs in, and waits for them.
func submitAll(ctx context.Context, d *standin.Deployment, jobs []*standin.Job) error {
	work := make(chan int)
	errs := make(chan error, len(jobs))
	var users sync.WaitGroup
	for range usersPerController * len(d.Members) {
		users.Add(1)
		// Ends when the work does; users.Wait waits for it.
		go func() {
			defer users.Done()
			for i := range work {
				if err := d.Submit(ctx, d.Members[i%len(d.Members)], jobs[i]); err != nil {
					errs <- err
				}
			}
		}()
	}
	for i := range jobs {
		work <- i
	}
	close(work)
	users.Wait()
	close(errs)
	return <-errs
}

// measureDemandMoves has the work of a team whose guarantee is its limit come at one controller
// after the other, and measures until all of the guarantee runs there.
func (r *result) measureDemandMoves(ctx context.Context, d *standin.Deployment, first int) error {
	time.Sleep(2 * time.Second) // the burst's last tasks end
	for round := range demandMoves {
		j := &standin.Job{ID: fmt.Sprintf("wk-%06d", first+round), Team: "west", Tasks: 20, CPUs: 1, TaskDuration: 2 * time.Second}
		before := d.History.Summary().StartedTasks["west"]
		began := time.Now()
		if err := d.Submit(ctx, d.Members[round%len(d.Members)], j); err != nil {
			return err
		}
		if err := standin.WaitFor(ctx, "the guarantee is met", func() bool { return d.History.Summary().StartedTasks["west"] >= before+20 }); err != nil {
			return err
		}
		r.guaranteeDelays = append(r.guaranteeDelays, time.Since(began))
		time.Sleep(4 * time.Second) // its tasks end and are proven gone
	}
	return nil
}

// print writes a run's figures.
func (r *result) print(escrow bool) {
	fmt.Printf("quota.escrow = %v (loopback, three processes, stand-ins of this repository)\n", escrow)
	fmt.Printf("  admissions: %.0f a second\n", r.admissionsPerS)
	fmt.Printf("  submission to start, burst at the limits: %s\n", percentiles(r.startDelays))
	fmt.Printf("  state service: %.1f changes a second, %.1f of them transfers\n", r.changesPerS, r.transfersPerS)
	fmt.Printf("  demand moves to a guarantee met: %s\n", percentiles(r.guaranteeDelays))
	fmt.Printf("  highest use: %v; problems seen by the machines: %d %v\n", r.peakUsage, len(r.violations), r.violations)
}

// percentiles is p50, p95 and the largest of some times.
func percentiles(times []time.Duration) string {
	if len(times) == 0 {
		return "none"
	}
	sorted := slices.Sorted(slices.Values(times))
	at := func(share float64) time.Duration {
		return sorted[min(len(sorted)-1, int(share*float64(len(sorted))))].Round(time.Millisecond)
	}
	return fmt.Sprintf("p50 %v, p95 %v, max %v (of %d)", at(0.5), at(0.95), at(1), len(sorted))
}
