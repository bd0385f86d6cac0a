package coordination

import (
	"testing"
	"time"

	"github.com/cobaltvale/cobaltvale/internal/protocol"
	"github.com/cobaltvale/cobaltvale/internal/protocol/meshpb"
	"github.com/cobaltvale/cobaltvale/internal/settings"
)

func newTestUsage() (*usageAccounting, *trackedJob) {
	u := newUsageAccounting([]settings.Team{{Name: "red", CPUs: 8, CPUsMax: 16}}, machineLeases{timeout: time.Minute})
	return &u, &trackedJob{id: "a", spec: &meshpb.JobSummary{Cpus: 4}, team: u.teams["red"]}
}

func TestTeamUsageFollowsAJob(t *testing.T) {
	u, job := newTestUsage()
	job.assigned, job.offered = 1, 1
	u.update(job)
	requireEqual(t, "placed and on offer", job.team.cpus, 8)
	requireEqual(t, "dominant share", job.team.dominantShare(), 1)
	m := &machine{tasks: []replicaOnMachine{{job: job, state: protocol.TaskRunning}, {job: job, state: protocol.TaskExited}}}
	u.countReplicas(m)
	u.countReplicas(m) // counted already
	requireEqual(t, "live replicas", job.liveReplicas, 1)
	job.ended = true
	u.update(job)
	requireEqual(t, "use by live replicas of the ended job", job.team.cpus, 4)
	u.uncountReplicas(m)
	requireEqual(t, "use without live replicas", job.team.cpus, 0)
}

func TestTeamLimit(t *testing.T) {
	all := recoveryProgress{jobsKnown: true, machinesKnown: true}
	for _, c := range []struct {
		name         string
		assigned     int
		unreconciled float64
		progress     recoveryProgress
		want         bool
	}{
		{"room for one more", 3, 0, all, true},
		{"at the limit", 4, 0, all, false},
		{"unreconciled use counts", 3, 1, all, false},
		{"jobs not known", 0, 0, recoveryProgress{machinesKnown: true}, false},
		{"machines not known", 1, 0, recoveryProgress{jobsKnown: true}, true},
		{"machines not known, half used", 2, 0, recoveryProgress{jobsKnown: true}, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			u, job := newTestUsage()
			job.assigned = c.assigned
			u.update(job)
			u.unreconciled.cpus = c.unreconciled
			requireEqual(t, "within the limit", u.withinLimit(job, c.progress), c.want)
		})
	}
}

func TestUnreconciledUseEndsWithTheLease(t *testing.T) {
	u, job := newTestUsage()
	catalog := map[string]*protocol.MachineType{"m8": {Name: "m8", CPUs: 8}, "m16": {Name: "m16", CPUs: 16}}
	m := &machine{recordedByEarlierLeader: true, lastHeartbeat: time.Second}
	u.updateUnreconciled(m, catalog, 2*time.Second)
	requireEqual(t, "of an unknown type", u.unreconciled.cpus, 16)
	m.typeName = "m8"
	u.updateUnreconciled(m, catalog, 2*time.Second)
	requireEqual(t, "of a known type", u.unreconciled.cpus, 8)
	m.lastCurrentHeartbeat = 3 * time.Second
	m.tasks = []replicaOnMachine{{job: job, state: protocol.TaskRunning}}
	u.countReplicas(m)
	u.updateUnreconciled(m, catalog, 3*time.Second)
	requireEqual(t, "with known jobs only", u.unreconciled.cpus, 0)
	m.tasks = append(m.tasks, replicaOnMachine{state: protocol.TaskRunning})
	u.updateUnreconciled(m, catalog, 3*time.Second)
	requireEqual(t, "with an unknown job", u.unreconciled.cpus, 8)
	u.updateUnreconciled(m, catalog, m.lastHeartbeat+time.Minute+1)
	requireEqual(t, "after the lease has expired", u.unreconciled.cpus, 0)
	requireEqual(t, "live replicas after the lease has expired", job.liveReplicas, 0)
}
