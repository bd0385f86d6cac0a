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

// redLimit is the limit of team red in simtest.SettingsFormat, in CPUs.
const redLimit = 32

// newEscrowSimulation starts a deployment that divides limits among its shards.
func newEscrowSimulation(t testing.TB) *simulation {
	t.Helper()
	sim := prepareSimulation(t, "", nil, "a", "b", "c")
	sim.Tuning.QuotaEscrow = true
	sim.StartAll()
	return sim
}

// newEscrowScenario returns a scenario in a deployment of newEscrowSimulation. Besides the
// invariants of every scenario, each tick checks the allocations and the use on the machines.
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
			scenario.startedRedTasks++
		}
	}
	scenario.OnTick = func() {
		scenario.checkInvariants()
		scenario.checkAllocations()
	}
	return scenario
}

// quotaRecord returns a team's quota record in the state service.
func (sim *simulation) quotaRecord(team string) quota.Record {
	var r quota.Record
	if entry := sim.State.Keys[storage.QuotaKey(team)]; entry != nil {
		if err := sim.Codec.Decode(entry.Value, &r); err != nil {
			sim.T.Fatal(err)
		}
	}
	return r
}

// shardOf returns the shard that a job's record names.
func (sim *simulation) shardOf(job string) string {
	var r storage.JobRecord
	if entry := sim.State.Keys[storage.JobKey(job)]; entry != nil {
		if err := sim.Codec.Decode(entry.Value, &r); err != nil {
			sim.T.Fatal(err)
		}
	}
	return r.Shard
}

// checkAllocations checks what must hold at any time: the sum of the allocations is at most
// the limit, the tasks of a shard on machines use at most the shard's allocation, and no
// holder assumes a larger allocation than the record has.
func (scenario *faultScenario) checkAllocations() {
	r := scenario.quotaRecord("red")
	if limit := quota.LimitOf(redLimit, 0); !r.Allocated().Within(limit) {
		scenario.T.Fatalf("allocations of %v in all, the limit is %v", r.Allocated(), limit)
	}
	useByShard := make(map[string]quota.Amount)
	for _, agent := range scenario.Agents {
		for _, task := range agent.Tasks {
			id, _, _ := strings.Cut(task.Name, "/")
			if request := scenario.jobs[id]; task.State != "ended" && request["crew"] == "red" {
				shardName := scenario.shardOf(id)
				useByShard[shardName] = useByShard[shardName].Add(quota.AmountOf(request["vcpus"].(float64), 0))
			}
		}
	}
	for shardName, use := range useByShard {
		if allocation := r.Shares[shardName].Allocation; !use.Within(allocation) {
			scenario.T.Fatalf("tasks of shard %s use %v out of an allocation of %v", shardName, use, allocation)
		}
	}
	for _, name := range scenario.Members {
		n := scenario.Nodes[name]
		if !n.Up || n.Paused || !controllerOf(n).election.MayAct(scenario.Now()) {
			continue
		}
		for shard := range controllerOf(n).owner.Shards() {
			shardName := shard.Name()
			allocation := controllerOf(n).admission.Allocation(shardName, "red")
			if controllerOf(n).admission.IsReconciled(shardName) && !allocation.Within(r.Shares[shardName].Allocation) {
				scenario.T.Fatalf("%s assumes an allocation of %v for shard %s, the record has %v", name, allocation, shardName, r.Shares[shardName].Allocation)
			}
		}
	}
}

// submitRedJobs submits jobs of red at all controllers, more than the limit allows, and cancels
// some.
func (scenario *faultScenario) submitRedJobs(second int) {
	for _, name := range scenario.Members {
		if n := scenario.Nodes[name]; n.Up && second%2 == 0 {
			scenario.submit(n, 1+scenario.rand.IntN(5), "crew", "red")
		}
	}
	if second%3 == 0 {
		scenario.cancelRandomJobs(2)
	}
}

// submitRedEverywhere submits a job of red at each controller.
func (sim *simulation) submitRedEverywhere(tasks int) {
	sim.T.Helper()
	for i, name := range sim.Members {
		if got := sim.Nodes[name].Submit(simtest.BatchJob(fmt.Sprintf("wk-%d", i), tasks).With("crew", "red")).Status; got != 201 {
			sim.T.Fatalf("submission at %s is answered %d, want 201", name, got)
		}
	}
}

// redCPUsInUse returns the CPUs that the running tasks use: 2 each. All tasks must be red's.
func (sim *simulation) redCPUsInUse() float64 {
	return float64(sim.runningTasks()) * 2
}

func TestLimitsAcrossControllers(t *testing.T) {
	for name, script := range map[string]func(scenario *faultScenario) func(second int){
		"no faults": func(scenario *faultScenario) func(int) { return scenario.submitRedJobs },
		"transfers are applied without an answer": func(scenario *faultScenario) func(int) {
			scenario.loseTransactions(0.3, true)
			return scenario.submitRedJobs
		},
		"transfers are applied late": func(scenario *faultScenario) func(int) {
			scenario.loseTransactions(0.3, false)
			return scenario.submitRedJobs
		},
		"transfers get no answer, and the next ones are rejected": func(scenario *faultScenario) func(int) {
			scenario.loseTransactionsAndRejectRetries(0.2)
			return scenario.submitRedJobs
		},
		"transfers are repeated":                     repeatTransfers,
		"watches are seconds behind":                 makeViewsStale,
		"a holder freezes in a transfer":             pauseHolderInTransfer,
		"an owner and the leader crash together":     crashOwnerAndLeader,
		"an outage while allocations are short":      outageWhileAllocationsAreShort,
		"the state service rejects one controller":   rejectOneController,
		"all controllers restart at once":            restartAllControllers,
		"jobs are cancelled on silent machines":      cancelOnSilentMachines,
		"machines fail, and their tasks start again": failBusyMachines,
		"a shard moves to another member and back":   moveShardAndBack,
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			for seed := range uint64(3) {
				scenario := newEscrowScenario(t, seed, 10)
				scenario.setTaskDurations(3 * time.Second)
				scenario.runScript(40, script(scenario))
				scenario.recoverAndCheck()
				scenario.checkAudit()
				if len(scenario.knownStatus) < scenario.submittedJobs/3 || scenario.startedTasks < 30 {
					t.Fatalf("%d of %d jobs were accepted, %d tasks started, want at least a third and 30", len(scenario.knownStatus), scenario.submittedJobs, scenario.startedTasks)
				}
			}
		})
	}
}

// checkAudit verifies the audit records of all processes. Under faults a team may have to wait
// for its guarantee, but limits must hold and no record may be missing.
func (scenario *faultScenario) checkAudit() {
	scenario.T.Helper()
	report := audit.Verify(scenario.AuditStreams, 5*time.Second)
	for _, f := range report.Findings {
		if f.Kind != audit.GuaranteeUnmet {
			scenario.T.Errorf("%s of %s: %s", f.Kind, f.Team, f.Text)
		}
	}
	if len(report.Teams) != 1 || report.Teams[0].Admissions < scenario.startedRedTasks {
		scenario.T.Errorf("machines have started %d tasks of red, the audit records show %+v", scenario.startedRedTasks, report.Teams)
	}
}

// isTransfer reports whether a transaction changes a team's quota record.
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
		if s < 36 { // each controller's watch stalls in turn, for 6 s
			scenario.State.StalledWatches[scenario.Members[s/6%3]] = true
		}
	}
}

func pauseHolderInTransfer(scenario *faultScenario) func(int) {
	var frozen string
	freezing := false
	scenario.State.OnTransaction = func(from string, t *protocol.Transaction, apply func() storage.Response, done func(storage.Response)) bool {
		if !freezing || frozen != "" || !isTransfer(t) {
			return false
		}
		frozen = from
		scenario.Nodes[from].Paused = true
		scenario.delayedCalls = append(scenario.delayedCalls, delayedCall{scenario.Now() + 9*time.Second, func() { done(apply()) }})
		return true
	}
	return func(s int) {
		freezing = s >= 8
		scenario.submitRedJobs(s)
		if s == 22 && frozen != "" {
			scenario.Nodes[frozen].Paused = false
			scenario.DeliverAll()
			scenario.Reconnect(frozen)
		}
		if n := scenario.Nodes[frozen]; s == 13 && n != nil { // the others take its silence for a disconnection
			for _, other := range scenario.Members {
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
			for _, name := range scenario.Members {
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

func rejectOneController(scenario *faultScenario) func(int) {
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
	var faulty []*simtest.Agent
	return func(s int) {
		scenario.submitRedJobs(s)
		switch s % 14 {
		case 5:
			faulty = scenario.busyMachines(4)
			for i, agent := range faulty {
				agent.Silent, agent.LosesResponses = i%2 == 0, i%2 == 1
			}
			scenario.cancelRandomJobs(20)
		case 8:
			if s > 14 {
				scenario.restart(scenario.Leader().Name)
			}
		case 12:
			for _, agent := range faulty {
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
		if name := scenario.Members[s/10%3]; s%10 == 3 {
			scenario.Crash(name)
		} else if s%10 == 7 {
			scenario.restoreAll()
		}
	}
}

// Limits hold while two or three random faults occur at a time.
func TestLimitsUnderConcurrentFaults(t *testing.T) {
	for seed := range uint64(16) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			t.Parallel()
			scenario := newEscrowScenario(t, 100+seed, 8)
			runConcurrentFaults(scenario)
			scenario.checkAudit()
		})
	}
}

// Two controllers ask for the last free capacity of a team at the same time: one gets it, and
// the other gets the capacity that is released next.
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
	sim.finishRunningTask("wk-1/0")
	sim.Run(6 * time.Second)
	requireEqual(t, "running after a task has finished", sim.runningTasks(), 16)
	for i, name := range []string{"b", "c"} {
		sim.requireStatus(sim.Nodes[name], fmt.Sprint("wk-", i+2), 200, "running")
	}
}

// A team's guarantee is met within seconds after its demand has moved to another controller.
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
	requireEqual(t, "running within a guarantee of 8 CPUs", sim.runningTasks(), 4)
}

// The unused remainder of a limit is too small for a task at each of three controllers. It is
// transferred to one of them, which has time to use it, and then allocations stay unchanged.
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
		t.Errorf("%d transactions in 20 s without any change, want at most 4", got)
	}
}

// New settings lower a team's limit. The controllers restart with them one after the other, two
// of them after having been down. No task is stopped, and none starts until use is below the
// new limit.
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
	requireEqual(t, "running after the restarts", sim.runningTasks(), 16)
	for round := range 10 {
		sim.finishRunningTask(sim.anyRunningTask())
		sim.Run(4 * time.Second)
		if round < 7 {
			requireEqual(t, "starts while use is above the limit", starts, 0)
		}
	}
	requireEqual(t, "CPUs in use at the lower limit", sim.redCPUsInUse(), 16.0)
	if starts == 0 {
		t.Error("no task was started after use had fallen below the lower limit")
	}
}

// anyRunningTask returns the name of a running task.
func (sim *simulation) anyRunningTask() string {
	for _, name := range sim.AgentNames() {
		if tasks := sim.Agents[name].Running(); len(tasks) > 0 {
			return tasks[0]
		}
	}
	sim.T.Fatal("no task is running")
	return ""
}

// While a member of the previous version runs, allocations are not enforced. They are once all
// members divide limits, and no longer after a member has returned to the previous version. The
// previous version ignores the quota records that it finds.
func TestAllocationsAlongsideThePreviousVersion(t *testing.T) {
	sim := prepareSimulation(t, "", []string{"b"}, "a", "b", "c")
	sim.Tuning.QuotaEscrow = true
	sim.StartAll()
	sim.AddMachines(8)
	sim.Run(2 * time.Second)
	sim.submitRedEverywhere(30)
	sim.Run(8 * time.Second)
	requireEqual(t, "running alongside the previous version", sim.runningTasks(), 16)
	requireEqual(t, "shares alongside the previous version", len(sim.quotaRecord("red").Shares), 0)
	sim.Crash("b")
	delete(sim.PreviousVersion, "b")
	sim.Start("b")
	sim.Run(longerThanAnyLease)
	requireEqual(t, "shares once all divide limits", len(sim.quotaRecord("red").Shares), 3)
	requireEqual(t, "running", sim.runningTasks(), 16)
	for range 6 {
		sim.finishRunningTask(sim.anyRunningTask())
		sim.Run(2 * time.Second)
	}
	sim.Run(4 * time.Second)
	requireEqual(t, "running within allocations", sim.runningTasks(), 16)
	requireEqual(t, "allocated", sim.quotaRecord("red").Allocated(), quota.AmountOf(redLimit, 0))
	sim.Crash("b")
	sim.PreviousVersion["b"] = true
	sim.Start("b")
	sim.Run(longerThanAnyLease)
	if n := len(sim.quotaRecord("red").Shares); n > 1 { // only b may withdraw its own share
		t.Errorf("%d shares are left alongside the previous version, want at most 1", n)
	}
	sim.finishRunningTask(sim.anyRunningTask())
	sim.Run(4 * time.Second)
	requireEqual(t, "running alongside the previous version again", sim.runningTasks(), 16)
}

// Demands that are malformed, outdated or not from the shard's holder are dropped and change
// nothing. An unreadable quota record keeps its own team waiting, and no other team.
func TestMalformedQuotaMessagesAreDropped(t *testing.T) {
	sim := newEscrowSimulation(t)
	sim.AddMachines(2)
	sim.Run(4 * time.Second)
	c := controllerOf(sim.Nodes["a"])
	p := c.peers["b"]
	amount := &meshpb.QuotaAmount{Cpus: 1000}
	for fault, demands := range map[string]*meshpb.QuotaDemands{
		"another's shard": {Seq: 1000, Demands: []*meshpb.QuotaDemand{{Shard: "c", Team: "red", Target: amount, SmallestPending: amount}}},
		"no shard":        {Seq: 1001, Demands: []*meshpb.QuotaDemand{{Shard: "x", Team: "red", Target: amount, SmallestPending: amount}}},
		"no team":         {Seq: 1002, Demands: []*meshpb.QuotaDemand{{Shard: "b", Team: "x", Target: amount, SmallestPending: amount}}},
		"negative":        {Seq: 1003, Demands: []*meshpb.QuotaDemand{{Shard: "b", Team: "red", Target: &meshpb.QuotaAmount{Cpus: -1}}}},
		"old":             {Seq: 0},
	} {
		p.lastQuotaSequence = 0
		before := c.admission.Dropped()
		c.dispatch(p, &meshpb.Frame{Body: &meshpb.Frame_QuotaDemands{QuotaDemands: demands}})
		requireEqual(t, fault+": dropped", c.admission.Dropped(), before+1)
	}
	sim.State.Put(storage.QuotaKey("red"), sim.Codec.Encode(map[string]any{"s": "no shares"}))
	sim.Run(2 * time.Second)
	requireEqual(t, "submit", sim.Nodes["a"].Submit(simtest.BatchJob("wk-1", 2).With("crew", "red")).Status, 201)
	requireEqual(t, "submit", sim.Nodes["a"].Submit(simtest.BatchJob("wk-2", 2)).Status, 201)
	sim.Run(6 * time.Second)
	requireEqual(t, "running", fmt.Sprint(controllerOf(sim.Nodes["a"]).owner.Job("wk-1").Running(), controllerOf(sim.Nodes["a"]).owner.Job("wk-2").Running()), "0 2")
}

// A team's name may be too long for a key of the state service. The controller must then refuse
// to start, with an error of one line.
func TestTeamNameTooLongForAKey(t *testing.T) {
	sim := prepareSimulation(t, "", nil, "a")
	sim.Tuning.QuotaEscrow = true
	file, err := settings.Parse(fmt.Appendf(nil, simtest.SettingsFormat, "a", ""))
	if err != nil {
		t.Fatal(err)
	}
	file.Settings.Teams[0].Name = strings.Repeat("x", 120)
	if _, err := New(file, sim.Tuning, Env{Clock: sim}, 1); err == nil || strings.Contains(err.Error(), "\n") {
		t.Fatalf("got error %v, want an error of one line", err)
	}
}

// Both checks of a team's limit are disabled: the allocations and the leader's count. The audit
// must find that the limit was exceeded.
func TestAuditFindsAnExceededLimit(t *testing.T) {
	sim := newEscrowSimulation(t)
	sim.AddMachines(10)
	for _, n := range sim.Nodes {
		controllerOf(n).cfg.Settings.Teams[0].CPUsMax = 1000 // disables the leader's count, not the allocations
	}
	for _, name := range sim.Members { // disables the allocations: members seem not to divide limits
		sim.State.Announce(storage.ProcessKey(name), sim.Codec.Encode(storage.Holder{Member: name, RecordFormat: storage.CurrentRecordFormat}))
	}
	sim.Run(2 * time.Second)
	sim.submitRedEverywhere(12)
	sim.Run(8 * time.Second)
	if sim.redCPUsInUse() <= redLimit {
		t.Fatalf("red uses %v CPUs, the limit is not exceeded", sim.redCPUsInUse())
	}
	found := false
	for _, f := range audit.Verify(sim.AuditStreams, time.Second).Findings {
		found = found || (f.Kind == audit.Overshoot && f.Team == "red")
	}
	requireEqual(t, "the audit finds the excess", found, true)
}
