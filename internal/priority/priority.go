// Package priority decides which of two pending jobs is served first.
//
// It owns the order key of a pending job and the comparison of two keys, with
// the fair shares of the jobs' teams among the criteria. It promises a strict
// weak ordering for any fixed shares, so that callers may sort by it. It keeps
// no state, reads no clock and changes nothing that it is given.
package priority

import (
	"time"

	"github.com/cobaltvale/cobaltvale/internal/protocol"
	"github.com/cobaltvale/cobaltvale/internal/settings"
)

const (
	// OverdueAfter is how long a job may be pending with no task started before
	// it precedes all others.
	OverdueAfter = 2 * time.Minute

	// startToleranceS, in seconds, is how long ago the latest start may have been
	// while its deadline still counts as within reach.
	startToleranceS = 2.0

	// defaultLatestStartS, in seconds after its submission, is the latest start of a job
	// without a deadline.
	defaultLatestStartS = 3600.0
)

// The kinds of objectives that set a time by which a job should have ended.
const (
	objectiveDeadline = "deadline" // within a multiple of the time up to the deadline
	objectiveFinished = "finished" // within a time from the submission
)

// Job is what the order of service depends on.
type Job struct {
	Class       string
	Priority    protocol.Priority
	Started     bool          // one of its tasks has been started, or need not count as never started
	SubmittedMs int64         // Unix time in milliseconds
	DeadlineMs  int64         // Unix time in milliseconds; 0: none
	RunTime     time.Duration // that a task of it is expected to take
}

// Key is the position of a pending job in the order of service.
type Key struct {
	// Overdue jobs precede all others: neither urgent work nor images, packing
	// or shares may starve a job.
	Overdue bool
	// Urgency is the priority of a job that may preempt others, 0 for the rest.
	Urgency int
	// Priority is the priority that the user asked for.
	Priority protocol.Priority
	// MissesObjectives marks a job that can meet neither its deadline nor any
	// later objective.
	MissesObjectives bool
	// LatestStart is the Unix time, in seconds, at which a task has to start to
	// meet the deadline or, once that is missed, the next objective; of an
	// overdue job it is the time of its submission.
	LatestStart float64
}

// KeyOf returns the order key of a job at a Unix time in milliseconds.
func KeyOf(job Job, wallMs int64, objectives []settings.Objective) Key {
	k := Key{Priority: job.Priority}
	if job.Priority >= protocol.PriorityUrgent {
		k.Urgency = int(job.Priority)
	}
	k.Overdue = !job.Started && wallMs-job.SubmittedMs > OverdueAfter.Milliseconds()
	need := job.RunTime.Seconds()
	earliest := float64(wallMs)/1000 - startToleranceS
	k.LatestStart = float64(job.SubmittedMs)/1000 + defaultLatestStartS
	if job.DeadlineMs > 0 {
		k.LatestStart = float64(job.DeadlineMs)/1000 - need
		k.MissesObjectives = k.LatestStart < earliest
	}
	if k.MissesObjectives {
		if end, ok := nextObjectiveEnd(job, earliest+need, objectives); ok {
			k.LatestStart, k.MissesObjectives = end-need, false
		}
	}
	if k.Overdue {
		k.LatestStart = float64(job.SubmittedMs) / 1000
	}
	return k
}

// nextObjectiveEnd returns the soonest Unix time, in seconds, by which the users
// still count a job that has missed its deadline, if it is not before soonest.
func nextObjectiveEnd(job Job, soonest float64, objectives []settings.Objective) (end float64, ok bool) {
	best := 0.0
	submitted := float64(job.SubmittedMs) / 1000
	for _, objective := range objectives {
		if objective.Class != job.Class {
			continue
		}
		end := 0.0
		switch objective.Kind {
		case objectiveDeadline:
			end = submitted + objective.DeadlineFactor*float64(job.DeadlineMs-job.SubmittedMs)/1000
		case objectiveFinished:
			end = submitted + objective.WithinS
		}
		if end >= soonest && (best == 0 || end < best) {
			best = end
		}
	}
	return best, best > 0
}

// Before tells whether a job is served before another. The shares are the parts
// of their guarantees that the jobs' teams use.
//
// Overdue jobs come first, the oldest of them before the others. Urgent jobs of
// any team follow, since they could preempt whatever else is started in their
// place. Then teams take turns by their shares. Within a team the order is by
// priority, then by latest start, with jobs that can meet no objective any more
// behind those that can.
func (a Key) Before(aShare float64, b Key, bShare float64) bool {
	switch {
	case a.Overdue != b.Overdue:
		return a.Overdue
	case a.Overdue:
		return a.LatestStart < b.LatestStart
	case a.Urgency != b.Urgency:
		return a.Urgency > b.Urgency
	case a.Urgency > 0 && a.MissesObjectives != b.MissesObjectives:
		return b.MissesObjectives
	case aShare != bShare:
		return aShare < bShare
	case a.Priority != b.Priority:
		return a.Priority > b.Priority
	case a.MissesObjectives != b.MissesObjectives:
		return b.MissesObjectives
	}
	return a.LatestStart < b.LatestStart
}
