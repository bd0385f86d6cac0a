// Command cobaltvale is a controller of a cluster of rented machines. It handles what
// concerns the process: the command line, the settings, the log, the wiring of the packages
// and the shutdown. The controller's decisions are made in package coordination.
package main

import (
	"context"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"os"
	"os/signal"
	"runtime/debug"
	"syscall"
	"time"

	"github.com/spf13/pflag"

	"github.com/cobaltvale/cobaltvale/internal/settings"
)

const version = "0.4.0"

// Exit statuses.
const (
	exitOK     = 0
	exitFailed = 1
	exitUsage  = 2 // wrong command line or settings
)

const (
	// gcPercent makes garbage collections rare; the heap is far below its limit.
	gcPercent = 400
	// The heap may take two thirds of the process's memory; the rest is left to stacks, the
	// runtime and the program itself.
	heapShareNumerator, heapShareDenominator = 2, 3

	bytesPerMB = 1 << 20
)

func main() {
	os.Exit(run(os.Args[1:], os.Stdout, os.Stderr))
}

// options are the values of the command line.
type options struct {
	config     string
	properties string
	check      bool
	version    bool
}

// run executes a command line and returns the exit status.
func run(args []string, stdout, stderr io.Writer) int {
	if len(args) > 0 && args[0] == "audit" {
		return runAudit(args[1:], stdout, stderr)
	}
	opts, err := parseOptions(args, stdout, stderr)
	switch {
	case errors.Is(err, pflag.ErrHelp):
		return exitOK
	case err != nil:
		return usageError(stderr, err)
	case opts.version:
		fmt.Fprintln(stdout, "cobaltvale", version)
		return exitOK
	}
	return runController(opts, stdout, stderr)
}

// usageError prints an error of the command line or the settings in one line, and returns
// the exit status.
func usageError(stderr io.Writer, err error) int {
	fmt.Fprintln(stderr, "cobaltvale:", err)
	return exitUsage
}

// parseOptions reads the command line. It returns pflag.ErrHelp after it has printed the
// usage.
func parseOptions(args []string, stdout, stderr io.Writer) (options, error) {
	var opts options
	flags := pflag.NewFlagSet("cobaltvale", pflag.ContinueOnError)
	flags.SetOutput(stderr)
	flags.StringVar(&opts.config, "config", "", "settings file of the platform (TOML)")
	flags.StringVar(&opts.properties, "properties", "", "operators' own settings (Java-style properties)")
	flags.BoolVar(&opts.check, "check", false, "check the settings and end")
	flags.Usage = func() {
		fmt.Fprint(stdout, "usage: cobaltvale --config FILE [--properties FILE] [--check]\n       cobaltvale audit verify FILE...\n       cobaltvale version\n\n", flags.FlagUsages())
	}
	if err := flags.Parse(args); err != nil {
		return opts, err
	}
	opts.version = flags.NArg() == 1 && flags.Arg(0) == "version"
	switch {
	case opts.version:
	case flags.NArg() > 0:
		return opts, fmt.Errorf("unexpected argument %q", flags.Arg(0))
	case opts.config == "":
		return opts, errors.New("--config is missing")
	}
	return opts, nil
}

// runController loads the settings and, unless they are only to be checked, runs the
// controller. It returns the exit status.
func runController(opts options, stdout, stderr io.Writer) int {
	file, tuning, err := loadSettings(opts)
	if err != nil {
		return usageError(stderr, err)
	}
	if opts.check {
		fmt.Fprintln(stdout, "settings are in order")
		return exitOK
	}
	log, err := newLogger(stderr, os.Getenv("LOG_LEVEL"))
	if err != nil {
		return usageError(stderr, err)
	}
	limitHeap(file.Settings.Limits)
	ctx := context.Background()
	if tuning.QuotaAudit != "" {
		// A signal must not end the process before the audit log has its last segment.
		// Without an audit log there is nothing to finish, and a signal ends the process at
		// once.
		var stop context.CancelFunc
		ctx, stop = signal.NotifyContext(ctx, os.Interrupt, syscall.SIGTERM)
		defer stop()
	}
	err = serve(ctx, processConfig{file: file, tuning: tuning, log: log, incarnation: rand.Uint64(), start: time.Now()})
	if err != nil {
		log.Error().Err(err).Msg("controller failed")
		return exitFailed
	}
	return exitOK
}

// limitHeap keeps the heap within its share of the process's memory limit.
func limitHeap(limits settings.Limits) {
	debug.SetGCPercent(gcPercent)
	debug.SetMemoryLimit(int64(limits.MemMB * float64(bytesPerMB) * heapShareNumerator / heapShareDenominator))
}

// loadSettings reads the platform's settings file, and the operators' properties if the
// command line names a file of them.
func loadSettings(opts options) (*settings.File, settings.Tuning, error) {
	file, err := settings.Load(opts.config)
	if err != nil {
		return nil, settings.Tuning{}, err
	}
	if opts.properties == "" {
		return file, settings.DefaultTuning(), nil
	}
	tuning, err := settings.LoadTuning(opts.properties)
	return file, tuning, err
}
