package audit

import (
	"cmp"
	"fmt"
	"maps"
	"slices"
	"time"

	"github.com/cobaltvale/cobaltvale/internal/quota"
)

// FindingKind is what a finding is about. Its text is part of the report.
type FindingKind string

// The kinds of findings.
const (
	// Overshoot is more than a limit or an allocation admits.
	Overshoot FindingKind = "overshoot"
	// GuaranteeUnmet is a team that was kept from its guarantee by the division of limits.
	GuaranteeUnmet FindingKind = "guarantee unmet"
	// Gap is a part of the history that is missing or contradicts another.
	Gap FindingKind = "gap"
)

// Finding is something that should not be.
type Finding struct {
	Kind   FindingKind
	Team   string // empty: of a whole stream
	TimeMs int64
	Text   string
}

// TeamUsage is what the replay shows of one team.
type TeamUsage struct {
	Team       string
	Limit      quota.Amount // the lowest that was in force
	Peak       quota.Amount // each part's highest use
	PeakAtMs   int64        // of CPUs
	Admissions int
	Releases   int
}

// Report is what the replay of all streams shows.
type Report struct {
	Teams    []TeamUsage
	Findings []Finding
}

// maxFindingsPerKind bounds the findings of each team and kind that are told in full.
const maxFindingsPerKind = 20

// Verify replays the streams of all controllers together. A team is found to be kept from
// its guarantee if it is blocked within it for longer than guaranteeWait.
func Verify(streams []*Stream, guaranteeWait time.Duration) *Report {
	report := &Report{}
	teams := make(map[string]bool)
	for _, s := range streams {
		report.Findings = append(report.Findings, s.gaps()...)
		for i := range s.Records {
			teams[s.Records[i].Team] = true
		}
	}
	for _, team := range slices.Sorted(maps.Keys(teams)) {
		replayer := newReplay(team, guaranteeWait)
		for _, event := range merge(team, streams) {
			replayer.apply(event)
		}
		replayer.finish()
		report.Teams = append(report.Teams, replayer.usage)
		report.Findings = append(report.Findings, replayer.findings...)
	}
	return report
}

// gaps finds what is missing within one stream.
func (s *Stream) gaps() []Finding {
	var out []Finding
	gap := func(at int64, format string, args ...any) {
		out = append(out, Finding{Kind: Gap, TimeMs: at, Text: s.Name + ": " + fmt.Sprintf(format, args...)})
	}
	next := uint64(1)
	for i := range s.Records {
		r := &s.Records[i]
		if r.Seq != next {
			gap(r.TimeMs, "record %d follows where %d is due", r.Seq, next)
		}
		next = r.Seq + 1
	}
	if s.Dropped > 0 {
		gap(s.Header.StartedMs, "%d records were dropped", s.Dropped)
	}
	if !s.HasLastSegment {
		gap(s.Header.StartedMs, "it has no last segment; %s did not end by itself", s.Header.Member)
	}
	return out
}

// historyEvent is a record with the stream that it is of.
type historyEvent struct {
	*Record
	stream int
}

// merge puts the records of a team in an order in which each may have been caused
// by those before it. Clocks differ, so what controllers saw of the state service
// goes first: a holder passes an allocation on only by a new revision of the team's
// record, and whoever uses it has seen that one. Records of one revision can't
// depend on those of other controllers. Each stream's own order is kept.
func merge(team string, streams []*Stream) []historyEvent {
	var queues [][]historyEvent
	total := 0
	for i, s := range streams {
		var q []historyEvent
		for k := range s.Records {
			if s.Records[k].Team == team {
				q = append(q, historyEvent{&s.Records[k], i})
			}
		}
		queues = append(queues, q)
		total += len(q)
	}
	out := make([]historyEvent, 0, total)
	for len(out) < total {
		first := -1
		for i, q := range queues {
			if len(q) > 0 && (first < 0 || q[0].before(queues[first][0])) {
				first = i
			}
		}
		out = append(out, queues[first][0])
		queues[first] = queues[first][1:]
	}
	return out
}

// before orders events by revision, then by time of day.
func (e historyEvent) before(other historyEvent) bool {
	return cmp.Or(cmp.Compare(e.Revision, other.Revision), cmp.Compare(e.TimeMs, other.TimeMs)) < 0
}
