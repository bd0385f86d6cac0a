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
	"github.com/cobaltvale/cobaltvale/internal/storage"
)

// redLimit is the limit of the team red in testSettings.
const redLimit = 32

// escrowWorld is a deployment that divides limits among its ledgers.
func escrowWorld(t testing.TB) *world {
	t.Helper()
	w := prepareWorld(t, "", nil, "a", "b", "c")
	w.tune.QuotaEscrow = true
	w.startAll()
	return w
}

// escrowDay is a day of one. At every tick the records and what the machines hold
// are looked at, besides all rules.
func escrowDay(t *testing.T, seed uint64, machines int) *day {
	t.Helper()
	return divided(newDayIn(t, escrowWorld(t), seed, machines))
}

func divided(d *day) *day {
	started := d.onStart
	d.onStart = func(k *worker, wt *workerTask) {
		started(k, wt)
		id, _, _ := strings.Cut(wt.name, "/")
		if d.forms[id]["crew"] == "red" {
			d.redStarts++
		}
	}
	d.onTick = func() {
		d.check()
		d.checkAllocations()
	}
	return d
}

// quotaRecord is a team's record in the state service.
func (w *world) quotaRecord(team string) quota.Record {
	var r quota.Record
	if k := w.state.keys[storage.QuotaKey(team)]; k != nil {
		if err := w.codec.Decode(k.value, &r); err != nil {
			w.t.Fatal(err)
		}
	}
	return r
}

// ledgerOf is the ledger that a job's record names.
func (w *world) ledgerOf(job string) string {
	var r storage.JobRecord
	if k := w.state.keys[storage.JobKey(job)]; k != nil {
		if err := w.codec.Decode(k.value, &r); err != nil {
			w.t.Fatal(err)
		}
	}
	return r.Shard
}

// checkAllocations looks at what has to be true at every moment: allocations sum to
// the limit at the most, no ledger's tasks on machines use more than its allocation,
// and no holder counts on more than the record says.
func (d *day) checkAllocations() {
	r := d.quotaRecord("red")
	if limit := quota.LimitOf(redLimit, 0); !r.Allocated().Within(limit) {
		d.t.Fatalf("allocations of %v in all, the limit is %v", r.Allocated(), limit)
	}
	use := make(map[string]quota.Amount)
	for _, k := range d.workers {
		for _, wt := range k.tasks {
			id, _, _ := strings.Cut(wt.name, "/")
			if f := d.forms[id]; wt.state != "ended" && f["crew"] == "red" {
				ledger := d.ledgerOf(id)
				use[ledger] = use[ledger].Add(quota.AmountOf(f["vcpus"].(float64), 0))
			}
		}
	}
	for ledger, u := range use {
		if got := r.Shares[ledger].Allocation; !u.Within(got) {
			d.t.Fatalf("tasks of ledger %s use %v out of an allocation of %v", ledger, u, got)
		}
	}
	for _, name := range d.names {
		n := d.nodes[name]
		if !n.up || n.still || !n.core.session.mayAct(d.now) {
			continue
		}
		for ledger, l := range n.core.owner.ledgers {
			got, _, _ := n.core.admission.manager.Allocation(ledger, "red")
			if l.complete && !got.Within(r.Shares[ledger].Allocation) {
				d.t.Fatalf("%s counts on %v for ledger %s, the record says %v", name, got, ledger, r.Shares[ledger].Allocation)
			}
		}
	}
}

// redJobs come at all controllers, more than the limit allows, some cancelled.
func (d *day) redJobs(s int) {
	for _, name := range d.names {
		if n := d.nodes[name]; n.up && s%2 == 0 {
			d.submit(n, 1+d.rand.IntN(5), "crew", "red")
		}
	}
	if s%3 == 0 {
		d.cancelSome(2)
	}
}

// machinesUp has machines of one zone report from now on.
func (w *world) machinesUp(n int) {
	for i := range n {
		w.worker(fmt.Sprintf("vm-%d", i), "z1")
	}
}

// redEverywhere hands a job of red in at each controller.
func (w *world) redEverywhere(tasks int) {
	w.t.Helper()
	for i, n := range w.names {
		if got := w.nodes[n].submit(form(fmt.Sprintf("wk-%d", i), tasks).with("crew", "red")).Status; got != 201 {
			w.t.Fatalf("submission at %s is answered %d", n, got)
		}
	}
}

// redUse is what red's live tasks on machines use.
func (w *world) redUse() float64 {
	return float64(w.total()) * 2
}

func TestLimitsAcrossControllers(t *testing.T) {
	for name, script := range map[string]func(d *day) func(second int){
		"all is well": func(d *day) func(int) { return d.redJobs },
		"transfers are lost, and applied or not": func(d *day) func(int) {
			d.lose(0.3, true)
			return d.redJobs
		},
		"transfers are applied late": func(d *day) func(int) {
			d.lose(0.3, false)
			return d.redJobs
		},
		"transfers are repeated":                         transfersRepeated,
		"views are seconds old":                          viewsAreOld,
		"a holder freezes in a transfer":                 holderFreezesInTransfer,
		"an owner and the leader are lost together":      ownerAndLeaderLost,
		"an outage while allocations are short":          outageWhileShort,
		"one controller is refused alone":                refusedAlone,
		"everything is restarted at once":                allRestarted,
		"jobs are cancelled on machines that hang":       cancelledWhileHung,
		"machines end, and tasks are replicated":         machinesEnd,
		"a ledger goes to another member and comes back": ledgerGoesAndComesBack,
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			for seed := range uint64(3) {
				d := escrowDay(t, seed, 10)
				d.takesAll(3 * time.Second)
				d.play(40, script(d))
				d.end()
				d.checkHistory()
				if len(d.told) < d.n/3 || d.started < 30 {
					t.Fatalf("%d of %d jobs were accepted, %d tasks started", len(d.told), d.n, d.started)
				}
			}
		})
	}
}

// checkHistory replays what all processes have recorded. In troubles guarantees may
// have to wait; limits hold all the same, and nothing is missing.
func (d *day) checkHistory() {
	d.t.Helper()
	report := audit.Verify(d.history, 5*time.Second)
	for _, f := range report.Findings {
		if f.Kind != audit.GuaranteeUnmet {
			d.t.Errorf("%s of %s: %s", f.Kind, f.Team, f.Text)
		}
	}
	if len(report.Teams) != 1 || report.Teams[0].Admissions < d.redStarts {
		d.t.Errorf("machines have started %d tasks, the history shows %+v", d.redStarts, report.Teams)
	}
}

// isTransfer tells whether a transaction changes a team's record.
func isTransfer(t *protocol.Transaction) bool {
	return len(t.Then) > 0 && strings.HasPrefix(t.Then[0].Put, storage.QuotaPrefix)
}

func transfersRepeated(d *day) func(int) {
	d.state.onTxn = func(_ string, t *protocol.Transaction, apply func() storage.Response, done func(storage.Response)) bool {
		if !isTransfer(t) {
			return false
		}
		for range 2 {
			d.late = append(d.late, lateCall{d.now + time.Duration(1+d.rand.IntN(8))*time.Second, func() { apply() }})
		}
		done(apply())
		return true
	}
	return d.redJobs
}

func viewsAreOld(d *day) func(int) {
	return func(s int) {
		d.redJobs(s)
		clear(d.state.silentWatches)
		if s < 36 { // each in turn hears nothing for six seconds
			d.state.silentWatches[d.names[s/6%3]] = true
		}
	}
}

func holderFreezesInTransfer(d *day) func(int) {
	var frozen string
	caught := false
	d.state.onTxn = func(from string, t *protocol.Transaction, apply func() storage.Response, done func(storage.Response)) bool {
		if !caught || frozen != "" || !isTransfer(t) {
			return false
		}
		frozen = from
		d.nodes[from].still = true
		d.late = append(d.late, lateCall{d.now + 9*time.Second, func() { done(apply()) }})
		return true
	}
	return func(s int) {
		caught = s >= 8
		d.redJobs(s)
		if s == 22 && frozen != "" {
			d.nodes[frozen].still = false
			d.settle()
			d.reconnect(frozen)
		}
		if n := d.nodes[frozen]; s == 13 && n != nil { // the others take its silence for a cut
			for _, o := range d.names {
				if o != frozen {
					d.nodes[o].core.LinkDown(d.nodes[o].links[frozen])
				}
			}
		}
	}
}

func ownerAndLeaderLost(d *day) func(int) {
	return func(s int) {
		d.redJobs(s)
		switch s {
		case 10:
			lead := d.leader().name
			for _, name := range d.names {
				if name != lead {
					d.crash(name)
					break
				}
			}
			d.crash(lead)
		case 20:
			d.restoreAll()
		}
	}
}

func outageWhileShort(d *day) func(int) {
	return func(s int) {
		d.redJobs(s)
		d.state.away[""] = s >= 8 && s < 22
	}
}

func refusedAlone(d *day) func(int) {
	return func(s int) {
		d.redJobs(s)
		clear(d.state.away)
		if s >= 8 && s < 20 {
			d.state.away["a"] = true
		} else if s >= 24 && s < 30 {
			d.state.away["b"] = true
		}
	}
}

func allRestarted(d *day) func(int) {
	return func(s int) {
		d.redJobs(s)
		if s != 10 && s != 25 {
			return
		}
		for _, name := range d.names {
			d.crash(name)
		}
		d.restoreAll()
	}
}

func cancelledWhileHung(d *day) func(int) {
	var hung []*worker
	return func(s int) {
		d.redJobs(s)
		switch s % 14 {
		case 5:
			hung = d.machinesOf(4)
			for i, k := range hung {
				k.hung, k.deaf = i%2 == 0, i%2 == 1
			}
			d.cancelSome(20)
		case 8:
			if s > 14 {
				d.restart(d.leader().name)
			}
		case 12:
			for _, k := range hung {
				k.hung, k.deaf = false, false
			}
		}
	}
}

func machinesEnd(d *day) func(int) {
	return func(s int) {
		d.redJobs(s)
		if s%8 == 4 {
			for _, k := range d.machinesOf(2) {
				d.machineDies(k)
			}
			d.worker(fmt.Sprint("vm-1", s), "z1").takes = 3 * time.Second
			d.worker(fmt.Sprint("vm-2", s), "z2").takes = 3 * time.Second
		}
	}
}

func ledgerGoesAndComesBack(d *day) func(int) {
	return func(s int) {
		d.redJobs(s)
		if name := d.names[s/10%3]; s%10 == 3 {
			d.crash(name)
		} else if s%10 == 7 {
			d.restoreAll()
		}
	}
}

// Two or three troubles at a time, whichever they are.
func TestLimitsInTroublesTogether(t *testing.T) {
	for seed := range uint64(16) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			t.Parallel()
			d := escrowDay(t, 100+seed, 8)
			troublesTogether(d)
			d.checkHistory()
		})
	}
}

// Two controllers want the last free room at the same instant: one gets it, and the
// other the next that frees.
func TestLastRoomIsGrantedOnce(t *testing.T) {
	w := escrowWorld(t)
	w.machinesUp(6)
	w.run(2 * time.Second)
	want(t, "submit", w.nodes["a"].submit(form("wk-1", 15).with("crew", "red")).Status, 201)
	w.run(8 * time.Second)
	want(t, "running", w.total(), 15)
	body := func(id string) []byte { return w.codec.Encode(map[string]any(form(id, 1).with("crew", "red"))) }
	for i, name := range []string{"b", "c"} {
		w.nodes[name].core.HandleHTTP(&Request{Method: "POST", Path: "/submissions", Body: body(fmt.Sprint("wk-", i+2))}, func(Response) {})
	}
	w.run(8 * time.Second)
	want(t, "running at the limit", w.total(), 16)
	w.finishTask("wk-1/0")
	w.run(6 * time.Second)
	want(t, "both run", w.total(), 16)
	for i, name := range []string{"b", "c"} {
		w.wantStatus(w.nodes[name], fmt.Sprint("wk-", i+2), 200, "running")
	}
}

// A team's guarantee is met within seconds after its work has moved to another
// controller, while another team would take all room.
func TestGuaranteeFollowsDemand(t *testing.T) {
	w := escrowWorld(t)
	w.machinesUp(4)
	w.run(2 * time.Second)
	want(t, "submit", w.nodes["a"].submit(form("wk-1", 16).with("crew", "red")).Status, 201)
	w.run(8 * time.Second)
	want(t, "running", w.total(), 16)
	for _, k := range w.workers {
		k.finish("done")
	}
	w.run(3 * time.Second)
	want(t, "submit", w.nodes["b"].submit(form("wk-2", 4).with("crew", "red")).Status, 201)
	w.run(4 * time.Second)
	want(t, "running of a guarantee of 8 CPUs", w.total(), 4)
}

// A remainder that is not enough for a task at each of three controllers comes
// together at one, which has the time to use it; then allocations stay as they are.
func TestRemainderDoesNotWander(t *testing.T) {
	w := escrowWorld(t)
	w.machinesUp(8)
	w.run(8 * time.Second)
	w.redEverywhere(12)
	w.run(6 * time.Second)
	want(t, "running at the limit", w.total(), 16)
	writes := w.state.txns
	w.run(20 * time.Second)
	if got := w.state.txns - writes; got > 4 {
		t.Errorf("%d transactions in 20 s though nothing changes", got)
	}
}

// The limit is lowered by new settings, one controller after the other, two of them
// lost meanwhile: nothing is stopped, and nothing starts until use is below it.
func TestLimitLoweredWhileRunning(t *testing.T) {
	w := escrowWorld(t)
	w.machinesUp(6)
	w.run(2 * time.Second)
	w.redEverywhere(30)
	w.run(8 * time.Second)
	want(t, "running", w.total(), 16)
	w.adjust = func(f *settings.File) { f.Settings.Teams[0].CPUsMax = 16 }
	w.crash("a")
	w.crash("b")
	w.run(4 * time.Second)
	w.start("a")
	w.run(6 * time.Second)
	w.start("b")
	w.run(2 * time.Second)
	w.crash("c")
	w.start("c")
	w.run(longEnough)
	starts := 0
	w.onStart = func(*worker, *workerTask) { starts++ }
	want(t, "running on", w.total(), 16)
	for round := range 10 {
		w.finishTask(w.anyRunning())
		w.run(4 * time.Second)
		if round < 7 {
			want(t, "starts while use is above the limit", starts, 0)
		}
	}
	want(t, "running at the lower limit", w.redUse(), 16.0)
	if starts == 0 {
		t.Error("nothing starts below the lower limit")
	}
}

// anyRunning names a running task.
func (w *world) anyRunning() string {
	for _, name := range w.workerNames() {
		if tasks := w.workers[name].running(); len(tasks) > 0 {
			return tasks[0]
		}
	}
	w.t.Fatal("nothing runs")
	return ""
}

// While a member of the version before runs allocations bind nobody; once all
// members divide limits they do, and after one goes back to that version no longer.
// The version before passes over the records that it finds.
func TestAllocationsBesideTheVersionBefore(t *testing.T) {
	w := prepareWorld(t, "", []string{"b"}, "a", "b", "c")
	w.tune.QuotaEscrow = true
	w.startAll()
	w.machinesUp(8)
	w.run(2 * time.Second)
	w.redEverywhere(30)
	w.run(8 * time.Second)
	want(t, "running beside the version before", w.total(), 16)
	want(t, "shares", len(w.quotaRecord("red").Shares), 0)
	w.crash("b")
	delete(w.before, "b")
	w.start("b")
	w.run(longEnough)
	want(t, "shares once all divide limits", len(w.quotaRecord("red").Shares), 3)
	want(t, "running", w.total(), 16)
	for range 6 {
		w.finishTask(w.anyRunning())
		w.run(2 * time.Second)
	}
	w.run(4 * time.Second)
	want(t, "running out of allocations", w.total(), 16)
	want(t, "allocated", w.quotaRecord("red").Allocated(), quota.AmountOf(redLimit, 0))
	w.crash("b")
	w.before["b"] = true
	w.start("b")
	w.run(longEnough)
	if n := len(w.quotaRecord("red").Shares); n > 1 { // b's own is b's to withdraw
		t.Errorf("%d shares are left beside the version before", n)
	}
	w.finishTask(w.anyRunning())
	w.run(4 * time.Second)
	want(t, "running beside the version before again", w.total(), 16)
}

// Demands that are malformed, old or not the holder's are dropped and change
// nothing, and a record that can't be read keeps its team waiting, and no other.
func TestSenselessQuotaMessages(t *testing.T) {
	w := escrowWorld(t)
	w.machinesUp(2)
	w.run(4 * time.Second)
	c := w.nodes["a"].core
	p := c.peers["b"]
	amount := &meshpb.QuotaAmount{Cpus: 1000}
	for what, f := range map[string]*meshpb.QuotaDemands{
		"another's ledger": {Seq: 1000, Demands: []*meshpb.QuotaDemand{{Shard: "c", Team: "red", Target: amount, SmallestPending: amount}}},
		"no ledger":        {Seq: 1001, Demands: []*meshpb.QuotaDemand{{Shard: "x", Team: "red", Target: amount, SmallestPending: amount}}},
		"no team":          {Seq: 1002, Demands: []*meshpb.QuotaDemand{{Shard: "b", Team: "x", Target: amount, SmallestPending: amount}}},
		"negative":         {Seq: 1003, Demands: []*meshpb.QuotaDemand{{Shard: "b", Team: "red", Target: &meshpb.QuotaAmount{Cpus: -1}}}},
		"old":              {Seq: 0},
	} {
		p.quotaSeq = 0
		before := c.admission.dropped
		c.onFrame(p, &meshpb.Frame{Body: &meshpb.Frame_QuotaDemands{QuotaDemands: f}})
		want(t, what+": dropped", c.admission.dropped, before+1)
	}
	w.state.rev++
	key := storage.QuotaKey("red")
	value := map[string]any{"s": "no shares"}
	w.state.keys[key] = &stateKey{w.codec.Encode(value), w.state.rev, 0}
	w.state.changes = append(w.state.changes, stateChange{w.state.rev, map[string]any{"write": key, "v": value, "stamp": w.state.rev}, key})
	w.run(2 * time.Second)
	want(t, "submit", w.nodes["a"].submit(form("wk-1", 2).with("crew", "red")).Status, 201)
	want(t, "submit", w.nodes["a"].submit(form("wk-2", 2)).Status, 201)
	w.run(6 * time.Second)
	want(t, "running", fmt.Sprint(w.nodes["a"].core.owner.jobs["wk-1"].nRun, w.nodes["a"].core.owner.jobs["wk-2"].nRun), "0 2")
}

// A team's name may be longer than a key.
func TestTeamNameTooLongForAKey(t *testing.T) {
	w := prepareWorld(t, "", nil, "a")
	w.tune.QuotaEscrow = true
	file, err := settings.Parse(fmt.Appendf(nil, testSettings, "a", ""))
	if err != nil {
		t.Fatal(err)
	}
	file.Settings.Teams[0].Name = strings.Repeat("x", 120)
	if _, err := New(file, w.tune, Env{Clock: w}, 1); err == nil || strings.Contains(err.Error(), "\n") {
		t.Fatalf("got %v, want one line that says so", err)
	}
}

// With both checks broken, the allocations and the leader's count, the audit finds
// that the limit was exceeded.
func TestAuditFindsABrokenQuota(t *testing.T) {
	w := escrowWorld(t)
	w.machinesUp(10)
	for _, n := range w.nodes {
		n.core.cfg.Settings.Teams[0].CPUsMax = 1000 // the leader's count, not the manager's limit
		for name := range n.core.peers {
			n.core.session.versions.records[name] = storage.CurrentRecordFormat
		}
	}
	w.run(2 * time.Second)
	w.redEverywhere(12)
	w.run(8 * time.Second)
	if w.redUse() <= redLimit {
		t.Fatalf("red uses %v CPUs, the quota is not broken", w.redUse())
	}
	found := false
	for _, f := range audit.Verify(w.history, time.Second).Findings {
		found = found || (f.Kind == audit.Overshoot && f.Team == "red")
	}
	want(t, "the audit finds it", found, true)
}
