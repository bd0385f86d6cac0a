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

// Exit statuses of cobaltvale audit verify. A wrong command line ends it with
// auditUnreadable too.
const (
	auditClean      = 0
	auditFindings   = 1
	auditUnreadable = 2
)

const (
	defaultGuaranteeWait = 5 * time.Second
	thousandthsPerUnit   = 1000 // the unit of quota.Amount is a thousandth of a CPU or GPU
)

// runAudit executes the audit command, which replays the audit logs of controllers. It
// returns the exit status.
func runAudit(args []string, stdout, stderr io.Writer) int {
	fileNames, guaranteeWait, err := parseAuditOptions(args, stdout, stderr)
	if errors.Is(err, pflag.ErrHelp) {
		return auditClean
	}
	if err != nil {
		return auditError(stderr, err)
	}
	var streams []*audit.Stream
	for _, name := range fileNames {
		stream, err := audit.ReadFile(name)
		if err != nil {
			return auditError(stderr, err)
		}
		streams = append(streams, stream)
	}
	report := audit.Verify(streams, guaranteeWait)
	printReport(stdout, streams, report)
	if len(report.Findings) > 0 {
		return auditFindings
	}
	return auditClean
}

// auditError prints in one line why the audit logs could not be replayed, and returns the
// exit status.
func auditError(stderr io.Writer, err error) int {
	fmt.Fprintln(stderr, "cobaltvale:", err)
	return auditUnreadable
}

// parseAuditOptions returns the names of the audit logs, and how long limits may keep a
// team waiting that is within its guarantee. It returns pflag.ErrHelp after it has printed
// the usage.
func parseAuditOptions(args []string, stdout, stderr io.Writer) (fileNames []string, guaranteeWait time.Duration, err error) {
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

// printReport prints a table of the controllers' processes, a table of the teams' usage,
// and the findings.
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
	// An error means that the terminal or pipe was closed, so it can't be reported there.
	_ = table.Flush()
	for _, finding := range report.Findings {
		fmt.Fprintf(out, "%s: %s %s: %s\n", finding.Kind, finding.Team, formatTime(finding.TimeMs), finding.Text)
	}
	fmt.Fprintf(out, "%d findings\n", len(report.Findings))
}

// formatTime formats milliseconds since 1970 as a UTC time; 0 means that there is no time.
func formatTime(ms int64) string {
	if ms == 0 {
		return "-"
	}
	return time.UnixMilli(ms).UTC().Format("2006-01-02T15:04:05.000Z")
}

// formatAmount formats an amount as numbers of CPUs and GPUs.
func formatAmount(a quota.Amount) string {
	formatPart := func(v int64) string {
		if v >= quota.Unlimited {
			return "any"
		}
		return strconv.FormatFloat(float64(v)/thousandthsPerUnit, 'f', -1, 64)
	}
	return formatPart(a.CPUs) + " CPUs " + formatPart(a.GPUs) + " GPUs"
}
