// Command cobaltvale is the controller of a cluster of rented machines.
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

func main() {
	os.Exit(run(os.Args[1:], os.Stdout, os.Stderr))
}

func run(args []string, stdout, stderr io.Writer) int {
	if len(args) > 0 && args[0] == "audit" {
		return runAudit(args[1:], stdout, stderr)
	}
	flags := pflag.NewFlagSet("cobaltvale", pflag.ContinueOnError)
	flags.SetOutput(stderr)
	config := flags.String("config", "", "settings file of the platform (TOML)")
	props := flags.String("properties", "", "operators' own settings (Java-style properties)")
	check := flags.Bool("check", false, "check the settings and end")
	flags.Usage = func() {
		fmt.Fprint(stdout, "usage: cobaltvale --config FILE [--properties FILE] [--check]\n       cobaltvale audit verify FILE...\n       cobaltvale version\n\n", flags.FlagUsages())
	}
	if err := flags.Parse(args); err != nil {
		if errors.Is(err, pflag.ErrHelp) {
			return 0
		}
		fmt.Fprintln(stderr, "cobaltvale:", err)
		return 2
	}
	if flags.NArg() == 1 && flags.Arg(0) == "version" {
		fmt.Fprintln(stdout, "cobaltvale", version)
		return 0
	}
	if flags.NArg() > 0 {
		fmt.Fprintf(stderr, "cobaltvale: unexpected argument %q\n", flags.Arg(0))
		return 2
	}
	if *config == "" {
		fmt.Fprintln(stderr, "cobaltvale: --config is missing")
		return 2
	}
	file, tune, err := loadSettings(*config, *props)
	if err != nil {
		fmt.Fprintln(stderr, "cobaltvale:", err)
		return 2
	}
	if *check {
		fmt.Fprintln(stdout, "settings are in order")
		return 0
	}
	log, err := newLogger(stderr, os.Getenv("LOG_LEVEL"))
	if err != nil {
		fmt.Fprintln(stderr, "cobaltvale:", err)
		return 2
	}
	// Two thirds of the limit are the heap's; the rest is left to stacks,
	// the runtime and the program itself.
	// The heap stays far below that, so collections can be rare.
	debug.SetGCPercent(400)
	debug.SetMemoryLimit(int64(file.Settings.Limits.MemMB * float64(1<<20) * 2 / 3))
	ctx := context.Background()
	if tune.QuotaAudit != "" { // so that the history ends with its last segment
		var stop context.CancelFunc
		ctx, stop = signal.NotifyContext(ctx, os.Interrupt, syscall.SIGTERM)
		defer stop()
	}
	if err := serve(ctx, file, tune, log, rand.Uint64(), time.Now()); err != nil {
		log.Error().Err(err).Msg("ending")
		return 1
	}
	return 0
}

func loadSettings(config, props string) (*settings.File, settings.Tuning, error) {
	file, err := settings.Load(config)
	if err != nil {
		return nil, settings.Tuning{}, err
	}
	if props == "" {
		return file, settings.DefaultTuning(), nil
	}
	tune, err := settings.LoadTuning(props)
	return file, tune, err
}
