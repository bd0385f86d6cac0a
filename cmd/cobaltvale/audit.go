package main

import (
	"errors"
	"fmt"
	"io"
	"strconv"
	"text/tabwriter"
	"time"

	"github.com/spf13/pflag"

	"github.com/cobaltvale/cobaltvale/internal/audit"
	"github.com/cobaltvale/cobaltvale/internal/quota"
)

// Exit statuses of the audit command.
const (
	auditClean      = 0
	auditFindings   = 1
	auditUnreadable = 2
)

const defaultGuaranteeWait = 5 * time.Second

// runAudit is the command that replays histories.
func runAudit(args []string, stdout, stderr io.Writer) int {
	flags := pflag.NewFlagSet("cobaltvale audit verify", pflag.ContinueOnError)
	flags.SetOutput(stderr)
	wait := flags.Duration("guarantee-wait", defaultGuaranteeWait, "how long a team within its guarantee may be kept waiting by limits")
	flags.Usage = func() {
		fmt.Fprint(stdout, "usage: cobaltvale audit verify [--guarantee-wait D] FILE...\n\n", flags.FlagUsages())
	}
	if err := flags.Parse(args); err != nil {
		if errors.Is(err, pflag.ErrHelp) {
			return auditClean
		}
		fmt.Fprintln(stderr, "cobaltvale:", err)
		return auditUnreadable
	}
	if flags.NArg() < 2 || flags.Arg(0) != "verify" {
		fmt.Fprintln(stderr, "cobaltvale: audit takes verify and the controllers' files")
		return auditUnreadable
	}
	var streams []*audit.Stream
	for _, name := range flags.Args()[1:] {
		s, err := audit.ReadFile(name)
		if err != nil {
			fmt.Fprintln(stderr, "cobaltvale:", err)
			return auditUnreadable
		}
		streams = append(streams, s)
	}
	report := audit.Verify(streams, *wait)
	printReport(stdout, streams, report)
	if len(report.Findings) > 0 {
		return auditFindings
	}
	return auditClean
}

func printReport(out io.Writer, streams []*audit.Stream, report *audit.Report) {
	table := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	fmt.Fprintln(table, "controller\tprocess\tstarted\trecords")
	for _, s := range streams {
		fmt.Fprintf(table, "%s\t%s\t%s\t%d\n", s.Header.Member, s.Header.Process, formatTime(s.Header.StartedMs), len(s.Records))
	}
	fmt.Fprintln(table, "\nteam\tlimit\thighest use\tat\tadmitted\treleased")
	for _, t := range report.Teams {
		fmt.Fprintf(table, "%s\t%s\t%s\t%s\t%d\t%d\n", t.Team, formatAmount(t.Limit), formatAmount(t.Peak), formatTime(t.PeakAtMs), t.Admissions, t.Releases)
	}
	// Writing to a terminal or a pipe that is gone is nobody's concern.
	_ = table.Flush()
	for _, f := range report.Findings {
		fmt.Fprintf(out, "%s: %s %s: %s\n", f.Kind, f.Team, formatTime(f.TimeMs), f.Text)
	}
	fmt.Fprintf(out, "%d findings\n", len(report.Findings))
}

func formatTime(ms int64) string {
	if ms == 0 {
		return "-"
	}
	return time.UnixMilli(ms).UTC().Format("2006-01-02T15:04:05.000Z")
}

// formatAmount writes an amount in whole CPUs and GPUs.
func formatAmount(a quota.Amount) string {
	part := func(v int64) string {
		if v >= quota.Unlimited {
			return "any"
		}
		return strconv.FormatFloat(float64(v)/1000, 'f', -1, 64)
	}
	return part(a.CPUs) + " CPUs " + part(a.GPUs) + " GPUs"
}
