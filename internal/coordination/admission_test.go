package coordination

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/cobaltvale/cobaltvale/internal/audit"
	"github.com/cobaltvale/cobaltvale/internal/protocol"
	"github.com/cobaltvale/cobaltvale/internal/protocol/meshpb"
	"github.com/cobaltvale/cobaltvale/internal/quota"
	"github.com/cobaltvale/cobaltvale/internal/settings"
	"github.com/cobaltvale/cobaltvale/internal/simtest"
	"github.com/cobaltvale/cobaltvale/internal/storage"
)

// redLimit is the limit of the team red in simtest.SettingsFormat.
const redLimit = 32

// newEscrowSimulation is a deployment that divides limits among its shards.
func newEscrowSimulation(t testing.TB) *simulation {
	t.Helper()
	sim := prepareSimulation(t, "", nil, "a", "b", "c")
	sim.Tuning.QuotaEscrow = true
	sim.StartAll()
	return sim
}

// newEscrowScenario is a scenario of one. At every tick the records and what the machines hold
// are looked at, besides all rules.
func newEscrowScenario(t *testing.T, seed uint64, machines int) *faultScenario {
	t.Helper()
	return withAllocationChecks(newFaultScenarioIn(t, newEscrowSimulation(t), seed, machines))
}

func withAllocationChecks(scenario *faultScenario) *faultScenario {
	started := scenario.OnStart
	scenario.OnStart = func(agent *simtest.Agent, task *simtest.AgentTask) {
		started(agent, task)
		id, _, _ := strings.Cut(task.Name, "/")
		if scenario.jobs[id]["crew"] == "red" {
			scenario.redStarts++
		}
	}
	scenario.OnTick = func() {
		scenario.checkInvariants()
		scenario.checkAllocations()
	}
	return scenario
}

// quotaRecord is a team's record in the state service.
func (sim *simulation) quotaRecord(team string) quota.Record {
	var r quota.Record
	if entry := sim.State.Keys[storage.QuotaKey(team)]; entry != nil {
		if err := sim.Codec.Decode(entry.Value, &r); err != nil {
			sim.T.Fatal(err)
		}
	}
	return r
}

// shardOf is the shard that a job's record names.
func (sim *simulation) shardOf(job string) string {
	var r storage.JobRecord
	if entry := sim.State.Keys[storage.JobKey(job)]; entry != nil {
		if err := sim.Codec.Decode(entry.Value, &r); err != nil {
			sim.T.Fatal(err)
		}
	}
	return r.Shard
}

// checkAllocations looks at what has to be true at every moment: allocations sum to
// the limit at the most, no shard's tasks on machines use more than its allocation,
// and no holder counts on more than the record says.
func (scenario *faultScenario) checkAllocations() {
	r := scenario.quotaRecord("red")
	if limit := quota.LimitOf(redLimit, 0); !r.Allocated().Within(limit) {
		scenario.T.Fatalf("allocations of %v in all, the limit is %v", r.Allocated(), limit)
	}
	use := make(map[string]quota.Amount)
	for _, agent := range scenario.Agents {
		for _, task := range agent.Tasks {
			id, _, _ := strings.Cut(task.Name, "/")
			if request := scenario.jobs[id]; task.State != "ended" && request["crew"] == "red" {
				ledger := scenario.shardOf(id)
				use[ledger] = use[ledger].Add(quota.AmountOf(request["vcpus"].(float64), 0))
			}
		}
	}
	for ledger, u := range use {
		if got := r.Shares[ledger].Allocation; !u.Within(got) {
			scenario.T.Fatalf("tasks of shard %s use %v out of an allocation of %v", ledger, u, got)
		}
	}
	for _, name := range scenario.Names {
		n := scenario.Nodes[name]
		if !n.Up || n.Paused || !controllerOf(n).election.MayAct(scenario.Now()) {
			continue
		}
		for shard := range controllerOf(n).owner.Shards() {
			ledger := shard.Name()
			got := controllerOf(n).admission.Allocation(ledger, "red")
			if controllerOf(n).admission.IsComplete(ledger) && !got.Within(r.Shares[ledger].Allocation) {
				scenario.T.Fatalf("%s counts on %v for shard %s, the record says %v", name, got, ledger, r.Shares[ledger].Allocation)
			}
		}
	}
}

// submitRedJobs come at all controllers, more than the limit allows, some cancelled.
func (scenario *faultScenario) submitRedJobs(s int) {
	for _, name := range scenario.Names {
		if n := scenario.Nodes[name]; n.Up && s%2 == 0 {
			scenario.submit(n, 1+scenario.rand.IntN(5), "crew", "red")
		}
	}
	if s%3 == 0 {
		scenario.cancelRandomJobs(2)
	}
}

// submitRedEverywhere hands a job of red in at each controller.
func (sim *simulation) submitRedEverywhere(tasks int) {
	sim.T.Helper()
	for i, name := range sim.Names {
		if got := sim.Nodes[name].Submit(simtest.BatchJob(fmt.Sprintf("wk-%d", i), tasks).With("crew", "red")).Status; got != 201 {
			sim.T.Fatalf("submission at %s is answered %d", name, got)
		}
	}
}

// redCPUsInUse is what red's live tasks on machines use.
func (sim *simulation) redCPUsInUse() float64 {
	return float64(sim.runningTasks()) * 2
}

func TestLimitsAcrossControllers(t *testing.T) {
	for name, script := range map[string]func(scenario *faultScenario) func(second int){
		"all is well": func(scenario *faultScenario) func(int) { return scenario.submitRedJobs },
		"transfers are lost, and applied or not": func(scenario *faultScenario) func(int) {
			scenario.loseTransactions(0.3, true)
			return scenario.submitRedJobs
		},
		"transfers are applied late": func(scenario *faultScenario) func(int) {
			scenario.loseTransactions(0.3, false)
			return scenario.submitRedJobs
		},
		"transfers are repeated":                        repeatTransfers,
		"views are seconds old":                         makeViewsStale,
		"a holder freezes in a transfer":                pauseHolderInTransfer,
		"an owner and the leader are lost together":     crashOwnerAndLeader,
		"an outage while allocations are short":         outageWhileAllocationsAreShort,
		"one controller is refused alone":               refuseOneController,
		"everything is restarted at once":               restartAllControllers,
		"jobs are cancelled on machines that hang":      cancelOnSilentMachines,
		"machines end, and tasks are replicated":        failBusyMachines,
		"a shard goes to another member and comes back": moveShardAndBack,
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			for seed := range uint64(3) {
				scenario := newEscrowScenario(t, seed, 10)
				scenario.setTaskDuration(3 * time.Second)
				scenario.play(40, script(scenario))
				scenario.recoverAndCheck()
				scenario.checkAudit()
				if len(scenario.knownStatus) < scenario.submitted/3 || scenario.startedTasks < 30 {
					t.Fatalf("%d of %d jobs were accepted, %d tasks started", len(scenario.knownStatus), scenario.submitted, scenario.startedTasks)
				}
			}
		})
	}
}

// checkAudit replays what all processes have recorded. In faults guarantees may
// have to wait; limits hold all the same, and nothing is missing.
func (scenario *faultScenario) checkAudit() {
	scenario.T.Helper()
	report := audit.Verify(scenario.AuditStreams, 5*time.Second)
	for _, f := range report.Findings {
		if f.Kind != audit.GuaranteeUnmet {
			scenario.T.Errorf("%s of %s: %s", f.Kind, f.Team, f.Text)
		}
	}
	if len(report.Teams) != 1 || report.Teams[0].Admissions < scenario.redStarts {
		scenario.T.Errorf("machines have started %d tasks, the history shows %+v", scenario.redStarts, report.Teams)
	}
}

// isTransfer tells whether a transaction changes a team's record.
func isTransfer(t *protocol.Transaction) bool {
	return len(t.Then) > 0 && strings.HasPrefix(t.Then[0].Put, storage.QuotaPrefix)
}

func repeatTransfers(scenario *faultScenario) func(int) {
	scenario.State.OnTransaction = func(_ string, t *protocol.Transaction, apply func() storage.Response, done func(storage.Response)) bool {
		if !isTransfer(t) {
			return false
		}
		for range 2 {
			scenario.delayedCalls = append(scenario.delayedCalls, delayedCall{scenario.Now() + time.Duration(1+scenario.rand.IntN(8))*time.Second, func() { apply() }})
		}
		done(apply())
		return true
	}
	return scenario.submitRedJobs
}

func makeViewsStale(scenario *faultScenario) func(int) {
	return func(s int) {
		scenario.submitRedJobs(s)
		clear(scenario.State.StalledWatches)
		if s < 36 { // each in turn hears nothing for six seconds
			scenario.State.StalledWatches[scenario.Names[s/6%3]] = true
		}
	}
}

func pauseHolderInTransfer(scenario *faultScenario) func(int) {
	var frozen string
	caught := false
	scenario.State.OnTransaction = func(from string, t *protocol.Transaction, apply func() storage.Response, done func(storage.Response)) bool {
		if !caught || frozen != "" || !isTransfer(t) {
			return false
		}
		frozen = from
		scenario.Nodes[from].Paused = true
		scenario.delayedCalls = append(scenario.delayedCalls, delayedCall{scenario.Now() + 9*time.Second, func() { done(apply()) }})
		return true
	}
	return func(s int) {
		caught = s >= 8
		scenario.submitRedJobs(s)
		if s == 22 && frozen != "" {
			scenario.Nodes[frozen].Paused = false
			scenario.DeliverAll()
			scenario.Reconnect(frozen)
		}
		if n := scenario.Nodes[frozen]; s == 13 && n != nil { // the others take its silence for a cut
			for _, other := range scenario.Names {
				if other != frozen {
					controllerOf(scenario.Nodes[other]).LinkDown(scenario.Nodes[other].Links[frozen])
				}
			}
		}
	}
}

func crashOwnerAndLeader(scenario *faultScenario) func(int) {
	return func(s int) {
		scenario.submitRedJobs(s)
		switch s {
		case 10:
			lead := scenario.Leader().Name
			for _, name := range scenario.Names {
				if name != lead {
					scenario.Crash(name)
					break
				}
			}
			scenario.Crash(lead)
		case 20:
			scenario.restoreAll()
		}
	}
}

func outageWhileAllocationsAreShort(scenario *faultScenario) func(int) {
	return func(s int) {
		scenario.submitRedJobs(s)
		scenario.State.Unavailable[""] = s >= 8 && s < 22
	}
}

func refuseOneController(scenario *faultScenario) func(int) {
	return func(s int) {
		scenario.submitRedJobs(s)
		clear(scenario.State.Unavailable)
		if s >= 8 && s < 20 {
			scenario.State.Unavailable["a"] = true
		} else if s >= 24 && s < 30 {
			scenario.State.Unavailable["b"] = true
		}
	}
}

func restartAllControllers(scenario *faultScenario) func(int) {
	return func(s int) {
		scenario.submitRedJobs(s)
		if s != 10 && s != 25 {
			return
		}
		scenario.CrashAll()
		scenario.restoreAll()
	}
}

func cancelOnSilentMachines(scenario *faultScenario) func(int) {
	var hung []*simtest.Agent
	return func(s int) {
		scenario.submitRedJobs(s)
		switch s % 14 {
		case 5:
			hung = scenario.busyMachines(4)
			for i, agent := range hung {
				agent.Silent, agent.LosesResponses = i%2 == 0, i%2 == 1
			}
			scenario.cancelRandomJobs(20)
		case 8:
			if s > 14 {
				scenario.restart(scenario.Leader().Name)
			}
		case 12:
			for _, agent := range hung {
				agent.Silent, agent.LosesResponses = false, false
			}
		}
	}
}

func failBusyMachines(scenario *faultScenario) func(int) {
	return func(s int) {
		scenario.submitRedJobs(s)
		if s%8 == 4 {
			for _, agent := range scenario.busyMachines(2) {
				scenario.failMachine(agent)
			}
			scenario.AddMachine(fmt.Sprint("vm-1", s), "z1").TaskDuration = 3 * time.Second
			scenario.AddMachine(fmt.Sprint("vm-2", s), "z2").TaskDuration = 3 * time.Second
		}
	}
}

func moveShardAndBack(scenario *faultScenario) func(int) {
	return func(s int) {
		scenario.submitRedJobs(s)
		if name := scenario.Names[s/10%3]; s%10 == 3 {
			scenario.Crash(name)
		} else if s%10 == 7 {
			scenario.restoreAll()
		}
	}
}

// Two or three faults at a time, whichever they are.
func TestLimitsUnderConcurrentFaults(t *testing.T) {
	for seed := range uint64(16) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			t.Parallel()
			scenario := newEscrowScenario(t, 100+seed, 8)
			playConcurrentFaults(scenario)
			scenario.checkAudit()
		})
	}
}

// Two controllers want the last free room at the same instant: one gets it, and the
// other the next that frees.
func TestLastCapacityIsGrantedOnce(t *testing.T) {
	sim := newEscrowSimulation(t)
	sim.AddMachines(6)
	sim.Run(2 * time.Second)
	requireEqual(t, "submit", sim.Nodes["a"].Submit(simtest.BatchJob("wk-1", 15).With("crew", "red")).Status, 201)
	sim.Run(8 * time.Second)
	requireEqual(t, "running", sim.runningTasks(), 15)
	body := func(id string) []byte {
		return sim.Codec.Encode(map[string]any(simtest.BatchJob(id, 1).With("crew", "red")))
	}
	for i, name := range []string{"b", "c"} {
		controllerOf(sim.Nodes[name]).HandleHTTP(&Request{Method: "POST", Path: "/submissions", Body: body(fmt.Sprint("wk-", i+2))}, func(Response) {})
	}
	sim.Run(8 * time.Second)
	requireEqual(t, "running at the limit", sim.runningTasks(), 16)
	sim.finishTask("wk-1/0")
	sim.Run(6 * time.Second)
	requireEqual(t, "both run", sim.runningTasks(), 16)
	for i, name := range []string{"b", "c"} {
		sim.requireStatus(sim.Nodes[name], fmt.Sprint("wk-", i+2), 200, "running")
	}
}

// A team's guarantee is met within seconds after its work has moved to another
// controller, while another team would take all room.
func TestGuaranteeFollowsDemand(t *testing.T) {
	sim := newEscrowSimulation(t)
	sim.AddMachines(4)
	sim.Run(2 * time.Second)
	requireEqual(t, "submit", sim.Nodes["a"].Submit(simtest.BatchJob("wk-1", 16).With("crew", "red")).Status, 201)
	sim.Run(8 * time.Second)
	requireEqual(t, "running", sim.runningTasks(), 16)
	sim.FinishAllTasks()
	sim.Run(3 * time.Second)
	requireEqual(t, "submit", sim.Nodes["b"].Submit(simtest.BatchJob("wk-2", 4).With("crew", "red")).Status, 201)
	sim.Run(4 * time.Second)
	requireEqual(t, "running of a guarantee of 8 CPUs", sim.runningTasks(), 4)
}

// A remainder that is not enough for a task at each of three controllers comes
// together at one, which has the time to use it; then allocations stay as they are.
func TestRemainderStaysWithOneController(t *testing.T) {
	sim := newEscrowSimulation(t)
	sim.AddMachines(8)
	sim.Run(8 * time.Second)
	sim.submitRedEverywhere(12)
	sim.Run(6 * time.Second)
	requireEqual(t, "running at the limit", sim.runningTasks(), 16)
	writes := sim.State.Transactions
	sim.Run(20 * time.Second)
	if got := sim.State.Transactions - writes; got > 4 {
		t.Errorf("%d transactions in 20 s though nothing changes", got)
	}
}

// The limit is lowered by new settings, one controller after the other, two of them
// lost meanwhile: nothing is stopped, and nothing starts until use is below it.
func TestLimitLoweredWhileRunning(t *testing.T) {
	sim := newEscrowSimulation(t)
	sim.AddMachines(6)
	sim.Run(2 * time.Second)
	sim.submitRedEverywhere(30)
	sim.Run(8 * time.Second)
	requireEqual(t, "running", sim.runningTasks(), 16)
	sim.AdjustSettings = func(f *settings.File) { f.Settings.Teams[0].CPUsMax = 16 }
	sim.Crash("a")
	sim.Crash("b")
	sim.Run(4 * time.Second)
	sim.Start("a")
	sim.Run(6 * time.Second)
	sim.Start("b")
	sim.Run(2 * time.Second)
	sim.Crash("c")
	sim.Start("c")
	sim.Run(longerThanAnyLease)
	starts := 0
	sim.OnStart = func(*simtest.Agent, *simtest.AgentTask) { starts++ }
	requireEqual(t, "running on", sim.runningTasks(), 16)
	for round := range 10 {
		sim.finishTask(sim.anyRunningTask())
		sim.Run(4 * time.Second)
		if round < 7 {
			requireEqual(t, "starts while use is above the limit", starts, 0)
		}
	}
	requireEqual(t, "running at the lower limit", sim.redCPUsInUse(), 16.0)
	if starts == 0 {
		t.Error("nothing starts below the lower limit")
	}
}

// anyRunningTask names a running task.
func (sim *simulation) anyRunningTask() string {
	for _, name := range sim.AgentNames() {
		if tasks := sim.Agents[name].Running(); len(tasks) > 0 {
			return tasks[0]
		}
	}
	sim.T.Fatal("nothing runs")
	return ""
}

// While a member of the version before runs allocations bind nobody; once all
// members divide limits they do, and after one goes back to that version no longer.
// The version before passes over the records that it finds.
func TestAllocationsAlongsideThePreviousVersion(t *testing.T) {
	sim := prepareSimulation(t, "", []string{"b"}, "a", "b", "c")
	sim.Tuning.QuotaEscrow = true
	sim.StartAll()
	sim.AddMachines(8)
	sim.Run(2 * time.Second)
	sim.submitRedEverywhere(30)
	sim.Run(8 * time.Second)
	requireEqual(t, "running beside the version before", sim.runningTasks(), 16)
	requireEqual(t, "shares", len(sim.quotaRecord("red").Shares), 0)
	sim.Crash("b")
	delete(sim.PreviousVersion, "b")
	sim.Start("b")
	sim.Run(longerThanAnyLease)
	requireEqual(t, "shares once all divide limits", len(sim.quotaRecord("red").Shares), 3)
	requireEqual(t, "running", sim.runningTasks(), 16)
	for range 6 {
		sim.finishTask(sim.anyRunningTask())
		sim.Run(2 * time.Second)
	}
	sim.Run(4 * time.Second)
	requireEqual(t, "running out of allocations", sim.runningTasks(), 16)
	requireEqual(t, "allocated", sim.quotaRecord("red").Allocated(), quota.AmountOf(redLimit, 0))
	sim.Crash("b")
	sim.PreviousVersion["b"] = true
	sim.Start("b")
	sim.Run(longerThanAnyLease)
	if n := len(sim.quotaRecord("red").Shares); n > 1 { // b's own is b's to withdraw
		t.Errorf("%d shares are left beside the version before", n)
	}
	sim.finishTask(sim.anyRunningTask())
	sim.Run(4 * time.Second)
	requireEqual(t, "running beside the version before again", sim.runningTasks(), 16)
}

// Demands that are malformed, old or not the holder's are dropped and change
// nothing, and a record that can't be read keeps its team waiting, and no other.
func TestMalformedQuotaMessagesAreDropped(t *testing.T) {
	sim := newEscrowSimulation(t)
	sim.AddMachines(2)
	sim.Run(4 * time.Second)
	c := controllerOf(sim.Nodes["a"])
	p := c.peers["b"]
	amount := &meshpb.QuotaAmount{Cpus: 1000}
	for what, f := range map[string]*meshpb.QuotaDemands{
		"another's shard": {Seq: 1000, Demands: []*meshpb.QuotaDemand{{Shard: "c", Team: "red", Target: amount, SmallestPending: amount}}},
		"no shard":        {Seq: 1001, Demands: []*meshpb.QuotaDemand{{Shard: "x", Team: "red", Target: amount, SmallestPending: amount}}},
		"no team":         {Seq: 1002, Demands: []*meshpb.QuotaDemand{{Shard: "b", Team: "x", Target: amount, SmallestPending: amount}}},
		"negative":        {Seq: 1003, Demands: []*meshpb.QuotaDemand{{Shard: "b", Team: "red", Target: &meshpb.QuotaAmount{Cpus: -1}}}},
		"old":             {Seq: 0},
	} {
		p.lastQuotaSequence = 0
		before := c.admission.Dropped()
		c.dispatch(p, &meshpb.Frame{Body: &meshpb.Frame_QuotaDemands{QuotaDemands: f}})
		requireEqual(t, what+": dropped", c.admission.Dropped(), before+1)
	}
	sim.State.Put(storage.QuotaKey("red"), sim.Codec.Encode(map[string]any{"s": "no shares"}))
	sim.Run(2 * time.Second)
	requireEqual(t, "submit", sim.Nodes["a"].Submit(simtest.BatchJob("wk-1", 2).With("crew", "red")).Status, 201)
	requireEqual(t, "submit", sim.Nodes["a"].Submit(simtest.BatchJob("wk-2", 2)).Status, 201)
	sim.Run(6 * time.Second)
	requireEqual(t, "running", fmt.Sprint(controllerOf(sim.Nodes["a"]).owner.Job("wk-1").Running(), controllerOf(sim.Nodes["a"]).owner.Job("wk-2").Running()), "0 2")
}

// A team's name may be longer than a key.
func TestTeamNameTooLongForAKey(t *testing.T) {
	sim := prepareSimulation(t, "", nil, "a")
	sim.Tuning.QuotaEscrow = true
	file, err := settings.Parse(fmt.Appendf(nil, simtest.SettingsFormat, "a", ""))
	if err != nil {
		t.Fatal(err)
	}
	file.Settings.Teams[0].Name = strings.Repeat("x", 120)
	if _, err := New(file, sim.Tuning, Env{Clock: sim}, 1); err == nil || strings.Contains(err.Error(), "\n") {
		t.Fatalf("got %v, want one line that says so", err)
	}
}

// With both checks broken, the allocations and the leader's count, the audit finds
// that the limit was exceeded.
func TestAuditFindsAnExceededLimit(t *testing.T) {
	sim := newEscrowSimulation(t)
	sim.AddMachines(10)
	for _, n := range sim.Nodes {
		controllerOf(n).cfg.Settings.Teams[0].CPUsMax = 1000 // the leader's count, not the manager's limit
	}
	for _, name := range sim.Names { // the members say that they don't divide limits
		sim.State.Announce(storage.ProcessKey(name), sim.Codec.Encode(storage.Holder{Member: name, RecordFormat: storage.CurrentRecordFormat}))
	}
	sim.Run(2 * time.Second)
	sim.submitRedEverywhere(12)
	sim.Run(8 * time.Second)
	if sim.redCPUsInUse() <= redLimit {
		t.Fatalf("red uses %v CPUs, the quota is not broken", sim.redCPUsInUse())
	}
	found := false
	for _, f := range audit.Verify(sim.AuditStreams, time.Second).Findings {
		found = found || (f.Kind == audit.Overshoot && f.Team == "red")
	}
	requireEqual(t, "the audit finds it", found, true)
}
