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

const (
	defaultGuaranteeWait = 5 * time.Second
	thousandthsPerUnit   = 1000 // of a CPU or GPU, see quota.Amount
)

// runAudit is the command that replays histories. It returns the exit status.
func runAudit(args []string, stdout, stderr io.Writer) int {
	names, wait, err := parseAuditOptions(args, stdout, stderr)
	if errors.Is(err, pflag.ErrHelp) {
		return auditClean
	}
	if err != nil {
		return auditError(stderr, err)
	}
	var streams []*audit.Stream
	for _, name := range names {
		stream, err := audit.ReadFile(name)
		if err != nil {
			return auditError(stderr, err)
		}
		streams = append(streams, stream)
	}
	report := audit.Verify(streams, wait)
	printReport(stdout, streams, report)
	if len(report.Findings) > 0 {
		return auditFindings
	}
	return auditClean
}

// auditError tells in one line why no histories could be replayed.
func auditError(stderr io.Writer, err error) int {
	fmt.Fprintln(stderr, "cobaltvale:", err)
	return auditUnreadable
}

// parseAuditOptions returns the names of the histories, and how long a team within its
// guarantee may be kept waiting. It returns pflag.ErrHelp after it has written the usage.
func parseAuditOptions(args []string, stdout, stderr io.Writer) (names []string, guaranteeWait time.Duration, err error) {
	flags := pflag.NewFlagSet("cobaltvale audit verify", pflag.ContinueOnError)
	flags.SetOutput(stderr)
	wait := flags.Duration("guarantee-wait", defaultGuaranteeWait, "how long a team within its guarantee may be kept waiting by limits")
	flags.Usage = func() {
		fmt.Fprint(stdout, "usage: cobaltvale audit verify [--guarantee-wait D] FILE...\n\n", flags.FlagUsages())
	}
	if err := flags.Parse(args); err != nil {
		return nil, 0, err
	}
	if flags.NArg() < 2 || flags.Arg(0) != "verify" {
		return nil, 0, errors.New("audit takes verify and the controllers' files")
	}
	return flags.Args()[1:], *wait, nil
}

// printReport writes what the histories show as tables, then the findings.
func printReport(out io.Writer, streams []*audit.Stream, report *audit.Report) {
	table := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	fmt.Fprintln(table, "controller\tprocess\tstarted\trecords")
	for _, stream := range streams {
		fmt.Fprintf(table, "%s\t%s\t%s\t%d\n", stream.Header.Member, stream.Header.Process, formatTime(stream.Header.StartedMs), len(stream.Records))
	}
	fmt.Fprintln(table, "\nteam\tlimit\thighest use\tat\tadmitted\treleased")
	for _, team := range report.Teams {
		fmt.Fprintf(table, "%s\t%s\t%s\t%s\t%d\t%d\n", team.Team, formatAmount(team.Limit), formatAmount(team.Peak), formatTime(team.PeakAtMs), team.Admissions, team.Releases)
	}
	// An error means that the terminal or the pipe is gone, and nobody is left to tell.
	_ = table.Flush()
	for _, finding := range report.Findings {
		fmt.Fprintf(out, "%s: %s %s: %s\n", finding.Kind, finding.Team, formatTime(finding.TimeMs), finding.Text)
	}
	fmt.Fprintf(out, "%d findings\n", len(report.Findings))
}

// formatTime writes milliseconds since 1970 as a time of day; 0 is none.
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
		return strconv.FormatFloat(float64(v)/thousandthsPerUnit, 'f', -1, 64)
	}
	return part(a.CPUs) + " CPUs " + part(a.GPUs) + " GPUs"
}
