package coordination

import "testing"

func TestQuarantine(t *testing.T) {
	const many = 100 // machines that have sent heartbeats
	for _, c := range []struct {
		name     string
		machines int // that have sent heartbeats
		run      func(q *quarantine, m, other *machine, a, b *trackedJob)
		want     bool
	}{
		{"one failure", many, func(q *quarantine, m, _ *machine, a, _ *trackedJob) {
			q.recordFailure(m, a, many)
		}, false},
		{"repeated failures of one job", many, func(q *quarantine, m, _ *machine, a, _ *trackedJob) {
			for range quarantineFailureThreshold {
				q.recordFailure(m, a, many)
			}
		}, false},
		{"two jobs", many, func(q *quarantine, m, _ *machine, a, b *trackedJob) {
			q.recordFailure(m, a, many)
			q.recordFailure(m, b, many)
		}, true},
		{"a job that succeeds elsewhere", many, func(q *quarantine, m, other *machine, a, _ *trackedJob) {
			q.recordSuccess(other, a)
			for range quarantineFailureThreshold {
				q.recordFailure(m, a, many)
			}
		}, true},
		{"success in between", many, func(q *quarantine, m, _ *machine, a, b *trackedJob) {
			q.recordFailure(m, a, many)
			q.recordSuccess(m, b)
			q.recordFailure(m, b, many)
		}, false},
		{"a job that fails on most of the few machines", 3, func(q *quarantine, m, other *machine, a, b *trackedJob) {
			q.recordFailure(m, a, 3)
			q.recordFailure(m, b, 3)
			q.recordFailure(other, a, 3) // 2 of 3 machines: the fault is the job's own
		}, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			var machines machineTable
			machines.init()
			a, b := &trackedJob{id: "a"}, &trackedJob{id: "b"}
			q := &quarantine{machines: &machines, jobs: map[string]*trackedJob{"a": a, "b": b}}
			m, other := machines.add("vm-1"), machines.add("vm-2")
			c.run(q, m, other, a, b)
			requireEqual(t, "quarantined", m.quarantined, c.want)
		})
	}
}

func TestQuarantineIsReportedOnce(t *testing.T) {
	var machines machineTable
	machines.init()
	a, b := &trackedJob{id: "a"}, &trackedJob{id: "b"}
	q := &quarantine{machines: &machines, jobs: map[string]*trackedJob{"a": a, "b": b}}
	m := machines.add("vm-1")
	_, quarantined := q.recordFailure(m, a, 10)
	requireEqual(t, "after one job", quarantined, false)
	_, quarantined = q.recordFailure(m, b, 10)
	requireEqual(t, "after two", quarantined, true)
	_, quarantined = q.recordFailure(m, b, 10)
	requireEqual(t, "after one more failure", quarantined, false)
}
