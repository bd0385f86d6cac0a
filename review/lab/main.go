//go:build review

// Command lab runs controllers as processes on loopback against stand-ins that follow the users'
// pages, brings about one scenario, and checks the rules.
package main

import (
	"flag"
	"fmt"
	"os"
	"os/signal"
	"strings"
	"syscall"
	"time"
)

func main() { os.Exit(run()) }

func run() int {
	command := flag.String("run", "target/cobaltvale --config", "the run command of the deploy file")
	recordPath := flag.String("record", "record.txt", "where to write what was sent, answered and run")
	seed := flag.Uint64("seed", 1, "of the chaos scenario")
	length := flag.Duration("for", 60*time.Second, "of the chaos scenario's troubles")
	flag.Parse()
	scenarios := map[string]func(*lab, bool) int{
		"lost-creation":     lostCreation,
		"service-and-array": serviceAndArray,
		"tiny-tasks":        tinyTasks,
		"limit-takeover":    limitAtTakeover,
		"mass-cancel":       massCancel,
		"odd":               odd,
		"chaos":             func(l *lab, trouble bool) int { return chaos(l, *seed, *length, trouble) },
	}
	scenario := scenarios[flag.Arg(0)]
	if scenario == nil {
		fmt.Fprintln(os.Stderr, "unknown scenario", flag.Arg(0))
		return 2
	}
	out, err := os.Create(*recordPath)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 2
	}
	defer out.Close()
	l, err := newLab(configOf(flag.Arg(0)), out, strings.Fields(*command))
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 2
	}
	defer l.close()
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, os.Interrupt, syscall.SIGTERM)
	go func() {
		<-signals
		l.close()
		os.Exit(2)
	}()
	status := scenario(l, os.Getenv("TROUBLE") != "0")
	l.record("result: %d", status)
	return status
}

// configOf returns the settings of a scenario.
func configOf(scenario string) config {
	c := formosa()
	if scenario == "tiny-tasks" {
		c.teams = append(c.teams, team{"campus-press", 0, 0})
	}
	if scenario == "limit-takeover" {
		c.teams = []team{{"north-desk", 24, 48}, {"south-desk", 64, 500}}
	}
	if scenario == "chaos" {
		c.report, c.lease, c.cancel = time.Second, 8*time.Second, 20*time.Second
		c.teams = []team{{"north-desk", 40, 64}, {"south-desk", 20, 48}}
		c.listLag = 2 * time.Second
		if os.Getenv("SMALL") != "" {
			c.valueKB, c.txnOps, c.stateWriteRPS = 2, 10, 28
		}
		c.zones = []string{"taichung-room", "kaohsiung-room"}
	}
	return c
}
