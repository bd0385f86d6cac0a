// Package priority decides which of two pending jobs is scheduled first.
//
// It defines the order key of a pending job and the comparison of two keys; the
// fair shares of the jobs' teams are among the criteria. For fixed shares the
// comparison is a strict weak ordering, so callers may sort by it. The package
// keeps no state, reads no clock and doesn't modify its arguments.
package priority

import (
	"time"

	"github.com/cobaltvale/cobaltvale/internal/protocol"
	"github.com/cobaltvale/cobaltvale/internal/settings"
)

const (
	// OverdueAfter is how long a job may be pending with no task started. After
	// that it is overdue and precedes all jobs that are not.
	OverdueAfter = 2 * time.Minute

	// startToleranceS is by how many seconds a job's latest start may have passed
	// while its deadline still counts as attainable.
	startToleranceS = 2.0

	// defaultLatestStartS is the latest start of a job without a deadline, in seconds
	// after its submission.
	defaultLatestStartS = 3600.0
)

// The kinds of objectives that set a time by which a job should have finished.
const (
	objectiveDeadline = "deadline" // within a multiple of the time from the submission to the deadline
	objectiveFinished = "finished" // within a fixed time from the submission
)

// Job holds the properties of a job that its order key depends on.
type Job struct {
	Class       string
	Priority    protocol.Priority
	Started     bool          // a task of it was started, or it is exempt from being overdue
	SubmittedMs int64         // Unix time in milliseconds
	DeadlineMs  int64         // Unix time in milliseconds; 0: none
	RunTime     time.Duration // expected run time of one of its tasks
}

// Key determines the position of a pending job in the scheduling order.
type Key struct {
	// Overdue jobs precede all others, so that no job is starved by urgent jobs, image
	// locality, packing or fair shares.
	Overdue bool
	// Urgency is the priority of a job that may preempt others, and 0 for all
	// other jobs.
	Urgency int
	// Priority is the priority that the user asked for.
	Priority protocol.Priority
	// MissesObjectives is true for a job that can meet neither its deadline nor any
	// later objective.
	MissesObjectives bool
	// LatestStart is the Unix time, in seconds, by which a task has to start to
	// meet the deadline or, once that can't be met, the next objective. For an
	// overdue job it is the time of its submission.
	LatestStart float64
}

// KeyOf returns the order key of a job at wallMs, a Unix time in milliseconds.
func KeyOf(job Job, wallMs int64, objectives []settings.Objective) Key {
	k := Key{Priority: job.Priority}
	if job.Priority >= protocol.PriorityUrgent {
		k.Urgency = int(job.Priority)
	}
	k.Overdue = !job.Started && wallMs-job.SubmittedMs > OverdueAfter.Milliseconds()
	runTimeS := job.RunTime.Seconds()
	earliestStart := float64(wallMs)/1000 - startToleranceS
	k.LatestStart = float64(job.SubmittedMs)/1000 + defaultLatestStartS
	if job.DeadlineMs > 0 {
		k.LatestStart = float64(job.DeadlineMs)/1000 - runTimeS
		k.MissesObjectives = k.LatestStart < earliestStart
	}
	if k.MissesObjectives {
		if end, ok := nextObjectiveEnd(job, earliestStart+runTimeS, objectives); ok {
			k.LatestStart, k.MissesObjectives = end-runTimeS, false
		}
	}
	if k.Overdue {
		k.LatestStart = float64(job.SubmittedMs) / 1000
	}
	return k
}

// nextObjectiveEnd returns the earliest end, a Unix time in seconds, that an objective
// of the job's class sets for the job and that is not before earliestEnd. It is used
// for jobs that can't meet their deadline.
func nextObjectiveEnd(job Job, earliestEnd float64, objectives []settings.Objective) (end float64, ok bool) {
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
		if end >= earliestEnd && (best == 0 || end < best) {
			best = end
		}
	}
	return best, best > 0
}

// Before reports whether job a precedes job b. aShare and bShare are the fractions
// of their guarantees that the jobs' teams use.
//
// Overdue jobs come first, the oldest first. Urgent jobs of any team follow, because
// they could preempt whatever is started in their place: by urgency, then those first
// that can still meet an objective. Then the order is by the share of the team, lowest
// first. Within a team it is by priority,
// then by latest start, with jobs that can no longer meet any objective after those
// that can.
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
