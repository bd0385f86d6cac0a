package audit

import (
	"cmp"
	"fmt"
	"maps"
	"slices"
	"time"

	"github.com/cobaltvale/cobaltvale/internal/quota"
)

// FindingKind is the kind of a finding. Its text is part of the report.
type FindingKind string

// The kinds of findings.
const (
	// Overshoot means that more is used than a limit or an allocation admits.
	Overshoot FindingKind = "overshoot"
	// GuaranteeUnmet means that the division of limits kept a team from using its guarantee.
	GuaranteeUnmet FindingKind = "guarantee unmet"
	// Gap means that a part of the history is missing or contradicts another.
	Gap FindingKind = "gap"
)

// Finding is a violation of a limit or guarantee, or a fault of the history.
type Finding struct {
	Kind   FindingKind
	Team   string // empty if the finding is about a whole stream
	TimeMs int64  // wall clock of a controller, in ms since 1970
	Text   string
}

// TeamUsage is a team's use according to the replay.
type TeamUsage struct {
	Team       string
	Limit      quota.Amount // the lowest that was in force
	Peak       quota.Amount // the highest use of each part
	PeakAtMs   int64        // time of the peak of CPUs, in ms since 1970
	Admissions int
	Releases   int
}

// Report is the result of the replay of all streams.
type Report struct {
	Teams    []TeamUsage
	Findings []Finding
}

// maxFindingsPerKind bounds the findings per team and kind that are reported one by one.
const maxFindingsPerKind = 20

// Verify replays the streams of all controllers together. A team's guarantee counts as unmet if
// the team is blocked within it for longer than guaranteeWait.
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

// gaps returns findings about missing parts of the stream.
func (s *Stream) gaps() []Finding {
	var out []Finding
	addGap := func(timeMs int64, format string, args ...any) {
		out = append(out, Finding{Kind: Gap, TimeMs: timeMs, Text: s.Name + ": " + fmt.Sprintf(format, args...)})
	}
	next := uint64(1)
	for i := range s.Records {
		r := &s.Records[i]
		if r.Seq != next {
			addGap(r.TimeMs, "record %d follows where %d is due", r.Seq, next)
		}
		next = r.Seq + 1
	}
	if s.Dropped > 0 {
		addGap(s.Header.StartedMs, "%d records were dropped", s.Dropped)
	}
	if !s.HasLastSegment {
		addGap(s.Header.StartedMs, "it has no last segment; %s did not end by itself", s.Header.Member)
	}
	return out
}

// historyEvent is a record and the index of its stream.
type historyEvent struct {
	*Record
	stream int
}

// merge returns the records of a team in an order in which each record's causes precede it. As
// the controllers' clocks differ, it orders by what they had observed of the state service
// first: a holder transfers an allocation only by a new revision of the team's record, and every
// controller that uses it has observed that revision. Records of the same revision can't depend
// on those of other controllers. The order within each stream stays.
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

// before reports whether e comes first by revision, then by wall clock time.
func (e historyEvent) before(other historyEvent) bool {
	return cmp.Or(cmp.Compare(e.Revision, other.Revision), cmp.Compare(e.TimeMs, other.TimeMs)) < 0
}
