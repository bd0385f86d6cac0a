package priority_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/cobaltvale/cobaltvale/internal/priority"
	"github.com/cobaltvale/cobaltvale/internal/protocol"
	"github.com/cobaltvale/cobaltvale/internal/settings"
)

const submitted = int64(1e12) // Unix time in milliseconds

// Each pair is decided by one criterion: the first precedes the second, and the second
// does not precede the first.
func TestCriteriaInOrder(t *testing.T) {
	type side struct {
		key   priority.Key
		share float64
	}
	overdue := priority.Key{Overdue: true, LatestStart: 5}
	for _, test := range []struct {
		name          string
		first, second side
	}{
		{"overdue before urgent, whatever the share", side{overdue, 9}, side{priority.Key{Urgency: 3, LatestStart: 1}, 0}},
		{"the older of two overdue, whatever the priority and share", side{priority.Key{Overdue: true, LatestStart: 4}, 9},
			side{priority.Key{Overdue: true, Urgency: 3, Priority: protocol.PriorityProduction, LatestStart: 5}, 0}},
		{"urgent before others, whatever the share", side{priority.Key{Urgency: 2}, 9}, side{priority.Key{}, 0}},
		{"more urgent", side{priority.Key{Urgency: 3}, 9}, side{priority.Key{Urgency: 2}, 0}},
		{"urgent that can meet its objectives", side{priority.Key{Urgency: 2, LatestStart: 9}, 9},
			side{priority.Key{Urgency: 2, MissesObjectives: true}, 0}},
		{"smaller share", side{priority.Key{MissesObjectives: true, LatestStart: 9}, 0.1},
			side{priority.Key{Priority: protocol.PriorityStandard}, 0.2}},
		{"higher priority", side{priority.Key{Priority: protocol.PriorityStandard, MissesObjectives: true}, 0}, side{priority.Key{}, 0}},
		{"able to meet its objectives", side{priority.Key{LatestStart: 9}, 0}, side{priority.Key{MissesObjectives: true}, 0}},
		{"earlier latest start", side{priority.Key{LatestStart: 1}, 0}, side{priority.Key{LatestStart: 2}, 0}},
	} {
		t.Run(test.name, func(t *testing.T) {
			if !test.first.key.Before(test.first.share, test.second.key, test.second.share) {
				t.Error("the first does not precede the second")
			}
			if test.second.key.Before(test.second.share, test.first.key, test.first.share) {
				t.Error("the second precedes the first")
			}
		})
	}
}

func TestEqualKeysPrecedeNeither(t *testing.T) {
	k := priority.Key{Urgency: 2, Priority: protocol.PriorityUrgent, LatestStart: 7}
	if k.Before(0.5, k, 0.5) {
		t.Error("a key precedes itself")
	}
}

func TestOverdueOnlyWhileNotStarted(t *testing.T) {
	limit := submitted + priority.OverdueAfter.Milliseconds()
	for _, test := range []struct {
		wallMs  int64
		started bool
		want    bool
	}{
		{limit, false, false},
		{limit + 1, false, true},
		{limit + 1, true, false},
	} {
		t.Run(fmt.Sprintf("after %d ms, started %v", test.wallMs-submitted, test.started), func(t *testing.T) {
			k := priority.KeyOf(priority.Job{SubmittedMs: submitted, Started: test.started}, test.wallMs, nil)
			if k.Overdue != test.want {
				t.Errorf("overdue %v, want %v", k.Overdue, test.want)
			}
			if k.Overdue && k.LatestStart != float64(submitted)/1000 {
				t.Errorf("latest start %v, want the time of the submission", k.LatestStart)
			}
		})
	}
}

// ExampleKeyOf shows a job that can't meet its deadline and is ordered by the next
// objective of its class.
func ExampleKeyOf() {
	job := priority.Job{Class: "render", Started: true, SubmittedMs: submitted, DeadlineMs: submitted + 100_000, RunTime: 30 * time.Second}
	objectives := []settings.Objective{{Kind: "deadline", Class: "render", DeadlineFactor: 1.5}}
	k := priority.KeyOf(job, submitted+90_000, objectives)
	fmt.Println(k.LatestStart-float64(submitted)/1000, k.MissesObjectives)
	// Output: 120 false
}
