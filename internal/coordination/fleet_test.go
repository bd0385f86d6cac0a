package coordination

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/cobaltvale/cobaltvale/internal/protocol"
	"github.com/cobaltvale/cobaltvale/internal/protocol/meshpb"
	"github.com/cobaltvale/cobaltvale/internal/settings"
	"github.com/cobaltvale/cobaltvale/internal/storage"
)

// What the far larger fleets brought to light. A machine whose lease is over
// stays known with the list that it last sent, for as long as the cloud does
// not return it. A ledger that changes hands meanwhile must not be told of that
// list: its new holder would take the dead copy for the one that counts, have
// the live one stopped, and replicate the task while it still runs
// (ran_twice, 17 times on one day with 2,767 machines).
func TestListOfADeadMachineIsNotPassedOn(t *testing.T) {
	w := newWorld(t, "a", "b", "c")
	dead := w.worker("vm-1", "z1")
	w.run(2 * time.Second)
	owner := w.follower()
	want(t, "submit", owner.submit(form("wk-1", 1)).Status, 201)
	w.run(3 * time.Second)
	want(t, "running", len(dead.running()), 1)
	w.cloud.stuck = true
	dead.hung = true
	k2, k3 := w.worker("vm-2", "z1"), w.worker("vm-3", "z1")
	dead.expire()
	w.run(longEnough)
	want(t, "replicas", len(k2.running())+len(k3.running()), 1)
	live, other := k2, k3
	if len(k3.running()) == 1 {
		live, other = k3, k2
	}
	w.crash(owner.name)
	w.advance(500 * time.Millisecond)
	w.start(owner.name)
	w.run(5 * time.Second)
	w.wantStatus(w.nodes[owner.name], "wk-1", 200, "running")
	want(t, "copies left alone", len(live.running()), 1)
	w.cloud.stuck = false
	w.run(10 * time.Second) // the dead machine is returned
	want(t, "second copies", len(other.running()), 0)
	live.finish("done")
	w.run(3 * time.Second)
	w.wantStatus(w.nodes[owner.name], "wk-1", 200, "done")
}

// A report of a later session proves what the machine held gone, although it
// does not carry the leader's token. What it held before must not be told to a
// ledger's next holder either.
func TestListOfAnEarlierSessionIsNotPassedOn(t *testing.T) {
	w := newWorld(t, "a", "b", "c")
	k := w.worker("vm-1", "z1")
	w.run(2 * time.Second)
	owner := w.follower()
	want(t, "submit", owner.submit(form("wk-1", 1)).Status, 201)
	w.run(3 * time.Second)
	want(t, "running", len(k.running()), 1)
	k2 := w.worker("vm-2", "z1")
	w.run(2 * time.Second)
	k.expire()
	token := k.token
	k.token = 1
	k.reportTo(w.leader())
	k.token, k.hung = token, true
	w.cloud.stuck = true // nor does its return
	w.run(3 * time.Second)
	want(t, "replicas", len(k2.running()), 1)
	w.crash(owner.name)
	w.advance(500 * time.Millisecond)
	w.start(owner.name)
	w.run(5 * time.Second)
	want(t, "copies left alone", len(k2.running()), 1)
	k3 := w.worker("vm-3", "z1")
	k2.hung = true // before it could be told to stop
	w.run(4 * time.Second)
	want(t, "second copies", len(k3.running()), 0)
}

// Of several copies that are listed of a recovered task, the one with the
// highest number counts, in whatever order the machines are heard of: earlier
// holders gave it out only once the others were proven gone.
func TestNewestCopyCounts(t *testing.T) {
	w := newWorld(t, "a", "b", "c")
	old, live := w.worker("vm-1", "z1"), w.worker("vm-2", "z1")
	old.hung = true
	w.run(2 * time.Second)
	old.hung = false
	want(t, "submit", w.nodes["a"].submit(form("wk-1", 1)).Status, 201)
	live.report()
	w.advance(time.Second)
	live.report()
	want(t, "running", len(live.running()), 1)
	for _, task := range live.tasks {
		// An earlier copy, as a late report of its machine might list it.
		old.tasks["old"] = &workerTask{name: task.name, attempt: task.attempt - 1, state: "fetching"}
	}
	for _, n := range w.names {
		w.crash(n)
	}
	w.advance(10 * time.Second)
	for _, n := range w.names {
		w.start(n)
	}
	w.advance(3 * time.Second)
	for range 3 {
		old.report()
		w.advance(time.Second)
	}
	w.run(3 * time.Second)
	want(t, "copies that count", len(live.running()), 1)
	old.tasks = make(map[string]*workerTask)
	w.run(3 * time.Second)
	want(t, "second copies", len(old.running()), 0)
	live.finish("done")
	w.run(3 * time.Second)
	w.wantStatus(w.nodes["a"], "wk-1", 200, "done")
}

// A leader that stood still while its clock ran on wakes up with reports and
// requests from before in its sockets. Its authority has ended: it answers no
// report, tells nobody an older state, and neither writes nor calls the cloud
// as a leader. The others have replaced it as fast as after a crash.
func TestLeaderThatStoodStill(t *testing.T) {
	w := newWorld(t, "a", "b", "c")
	k := w.worker("vm-1", "z1")
	w.run(2 * time.Second)
	old, owner := w.leader(), w.follower()
	want(t, "submit", owner.submit(form("wk-1", 2)).Status, 201)
	want(t, "submit to the leader", old.submit(form("wk-2", 1)).Status, 201)
	w.run(3 * time.Second)
	want(t, "running", len(k.running()), 3)
	early := k.body()
	old.still = true
	w.advance(5 * time.Second)
	if w.leader() == old {
		t.Fatal("nobody replaces the leader")
	}
	w.standStill(old.name, 8*time.Second)
	w.run(20 * time.Second)
	k.finish("done")
	w.run(4 * time.Second)
	late := k.body()
	for _, id := range []string{"wk-1", "wk-2"} {
		w.wantStatus(owner, id, 200, "done")
	}
	calls := len(w.cloud.requests) + len(w.cloud.returns)
	w.state.onTxn = func(from string, txn *protocol.Transaction, apply func() storage.Response, _ func(storage.Response)) bool {
		for _, c := range txn.Then {
			if from == old.name && !strings.HasPrefix(c.Put, storage.MemberPrefix) {
				if r := apply(); r.Status == 200 {
					t.Errorf("%s has changed %s%s", from, c.Put, c.Delete)
				}
			}
		}
		return false
	}
	for _, body := range [][]byte{early, late} {
		got := old.call("POST", "/checkin", body)
		if got.Status == 200 || got.Status == 0 {
			t.Fatalf("a report was answered %d", got.Status)
		}
	}
	for _, id := range []string{"wk-1", "wk-2"} {
		if code, s := old.poll(id); code == 200 && s.Status != "done" {
			t.Fatalf("%s was said to be %q", id, s.Status)
		}
	}
	w.goOn(old.name)
	for range 3 {
		old.core.Tick()
		old.core.EndBatch()
	}
	want(t, "calls to the cloud", len(w.cloud.requests)+len(w.cloud.returns), calls)
	w.reconnect(old.name)
	w.state.onTxn = nil
	w.run(6 * time.Second)
	want(t, "its own ledger taken up again", old.core.owner.ledgers[old.name] != nil, true)
	w.wantStatus(old, "wk-2", 200, "done")
}

// An owner that stood still finds offers, made before, among its frames. It
// must give nothing away for them, and its polls come after those that the
// ledger's new holder has answered.
func TestOwnerThatStoodStill(t *testing.T) {
	w := newWorld(t, "a", "b", "c")
	k1 := w.worker("vm-1", "z1")
	w.run(2 * time.Second)
	owner, lead := w.follower(), w.leader()
	want(t, "submit", owner.submit(form("wk-1", 1)).Status, 201)
	owner.still = true
	k1.reportTo(lead) // the offer waits at the owner
	want(t, "running", len(k1.running()), 0)
	w.standStill(owner.name, 30*time.Second)
	want(t, "running for the new holder", len(k1.running()), 1)
	w.worker("vm-2", "z1")
	w.goOn(owner.name)
	if _, s := owner.poll("wk-1"); s.Status == "pending" {
		t.Fatal("an older state was told")
	}
	w.run(2 * time.Second)
	k1.finish("done")
	w.run(2 * time.Second)
	w.wantStatus(lead, "wk-1", 200, "done")
	if code, s := owner.poll("wk-1"); code == 200 && s.Status != "done" {
		t.Fatalf("after done it was said to be %q", s.Status)
	}
	w.reconnect(owner.name)
	w.run(4 * time.Second)
	w.wantStatus(owner, "wk-1", 200, "done")
}

// In an outage a leader goes on only while every member keeps promising. One
// that stands still extends nothing, and what it says late, on waking, counts
// from when it was asked.
func TestExtenderThatStoodStill(t *testing.T) {
	w := newWorld(t, "a", "b", "c")
	k := w.worker("vm-1", "z1")
	w.run(2 * time.Second)
	lead, other := w.leader(), w.follower()
	w.state.away[""] = true
	w.run(6 * time.Second)
	want(t, "a report in the outage", k.reportTo(lead).Status, 200)
	other.still = true
	w.advance(3 * time.Second)
	want(t, "a report without all extensions", k.reportTo(lead).Status, 503)
	asked := lead.links[other.name]
	for i, f := range asked.queue { // only the first question has come through
		if f.GetLeaseExtensionRequest() != nil {
			asked.queue = asked.queue[i : i+1]
			break
		}
	}
	want(t, "questions", len(asked.queue), 1)
	other.still = false
	w.settle()
	want(t, "a report after late extensions", k.reportTo(lead).Status, 503)
	w.advance(time.Second)
	want(t, "a report with fresh extensions", k.reportTo(lead).Status, 200)
}

// A relay that stood still with a leader's answer in hand says up to when it
// may be sent, and so do a leader and an owner; see also TestNothingLateIsSent.
func TestAnswersSayHowLongTheyHold(t *testing.T) {
	w := newWorld(t, "a", "b", "c")
	k := w.worker("vm-1", "z1")
	w.run(2 * time.Second)
	lead, relay := w.leader(), w.follower()
	began := w.now
	r := k.reportTo(relay)
	want(t, "report", r.Status, 200)
	if r.Until < began || r.Until > began+answerTime {
		t.Fatalf("a relay's answer holds for %v", r.Until-began)
	}
	r = k.reportTo(lead)
	want(t, "report", r.Status, 200)
	if r.Until <= w.now || r.Until > w.now+lead.core.tune.StateLease {
		t.Fatalf("a leader's answer holds for %v", r.Until-w.now)
	}
	want(t, "submit", relay.submit(form("wk-1", 1)).Status, 201)
	r = relay.call("GET", "/submissions/wk-1", nil)
	want(t, "poll", r.Status, 200)
	if r.Until <= w.now || r.Until > w.now+relay.core.tune.StateLease {
		t.Fatalf("an owner's answer holds for %v", r.Until-w.now)
	}
}

// A member that has granted not to claim its own ledger, which another holds,
// must keep to that when the key vanishes: the holder may act until the extension
// ends.
func TestExtensionBindsForTheOwnLedger(t *testing.T) {
	w := newWorld(t, "a", "b", "c")
	w.run(2 * time.Second)
	lead, back := w.leader(), w.follower()
	w.crash(back.name)
	w.advance(8 * time.Second)
	key := storage.ShardKey(back.name)
	want(t, "taken over", lead.core.owner.ledgers[back.name] != nil, true)
	w.start(back.name)
	s := &back.core.session
	for s.self == 0 || !s.viewOK {
		s.handoverAt = w.now + time.Minute // its request is late
		w.advance(tickEvery)
	}
	s.onExtensionRequest(back.core.peers[lead.name], &meshpb.LeaseExtensionRequest{Round: 1, Keys: []*meshpb.HeldKey{{Key: key}}})
	granted := w.now
	lead.still = true // it is slow to hear that the ledger is asked for
	s.handoverAt = 0
	w.state.rev++
	w.state.remove(key) // the holder's lease has ended
	w.state.pumpWatches()
	for w.now < granted+extensionSpan {
		w.settle()
		if back.core.owner.ledgers[back.name] != nil {
			t.Fatalf("taken %v after the extension", w.now-granted)
		}
		w.advance(tickEvery)
	}
	w.advance(time.Second)
	want(t, "taken after the extension", back.core.owner.ledgers[back.name] != nil, true)
	want(t, "by the extension alone", back.core.peers[lead.name].yielded, false)
}

// Back at once, with its ledger's key gone, a member need not wait for extensions
// that an earlier process may have given: it asks the others, and who answers
// has given the ledger up.
func TestOwnLedgerIsAskedFor(t *testing.T) {
	w := newWorld(t, "a", "b", "c")
	w.run(2 * time.Second)
	lead, back := w.leader(), w.follower()
	w.crash(back.name)
	w.advance(8 * time.Second)
	want(t, "taken over", lead.core.owner.ledgers[back.name] != nil, true)
	key := storage.ShardKey(back.name)
	w.state.rev++
	w.state.remove(key) // the holder's lease has ended, and it has not heard of it
	w.start(back.name)
	for range 8 {
		w.advance(tickEvery)
		if back.core.owner.ledgers[back.name] != nil {
			want(t, "still held by the other", lead.core.owner.ledgers[back.name] != nil, false)
		}
	}
	want(t, "taken at once", back.core.owner.ledgers[back.name] != nil, true)
}

// A claim of the leader key that the network held is applied after its sender
// has granted the key's holder not to claim it. Seeing itself named it must
// not lead before that extension has ended.
func TestLateClaimWaitsForTheExtension(t *testing.T) {
	w := newWorld(t, "a", "b", "c")
	w.run(2 * time.Second)
	lead, other := w.leader(), w.follower()
	s := &other.core.session
	s.onExtensionRequest(other.core.peers[lead.name], &meshpb.LeaseExtensionRequest{Round: 1, Keys: []*meshpb.HeldKey{{Key: storage.LeaderKey}}})
	granted := w.now
	w.state.rev++
	w.state.keys[storage.LeaderKey] = &stateKey{value: w.codec.Encode(other.core.me), stamp: w.state.rev, lease: s.lease}
	s.see(storage.LeaderKey, w.codec.Encode(other.core.me), w.state.rev, true)
	for w.now < granted+extensionSpan {
		if other.core.leader != nil {
			t.Fatalf("leads %v after the extension", w.now-granted)
		}
		w.advance(tickEvery)
	}
	w.advance(time.Second)
	want(t, "leads after the extension", other.core.leader != nil, true)
}

// One member alone takes everybody's users and jobs. It must have the whole of
// the state service's rates then: with a third of them, what is submitted in a
// burst queues behind the writes until users give up.
func TestRatesAreSharedByThoseWhoAreThere(t *testing.T) {
	w := newWorld(t, "a", "b", "c")
	w.run(2 * time.Second)
	last := w.leader()
	want(t, "active", last.core.active(), 3)
	for _, n := range w.names {
		if n != last.name {
			w.crash(n)
		}
	}
	want(t, "active while the others hold keys", last.core.active(), 3)
	w.advance(10 * time.Second)
	want(t, "active", last.core.active(), 1)
	before, accepted := w.state.writes, 0
	const jobs = 1200 // of one change each, and a shared one; the burst is 150, the rate 300 * 0.8
	for i := range jobs {
		body := w.codec.Encode(map[string]any(form(fmt.Sprint("wk-", i+1), 1)))
		last.core.HandleHTTP(&Request{Method: "POST", Path: "/submissions", Body: body}, func(r Response) {
			if r.Status == 201 {
				accepted++
			}
		})
		if i%100 == 99 {
			w.advance(tickEvery)
		}
	}
	w.advance(time.Second)
	made := w.state.writes - before
	if most := 150 + 240*22/10; made < most*8/10 || made > most+1 {
		t.Fatalf("%d changes were made in 2.2 s", made)
	}
	if accepted < 500 { // four changes each would have left room for 340
		t.Fatalf("%d jobs were accepted in 2.2 s", accepted)
	}
}

// When a whole room falls silent its machines are most likely cut off. They are
// waited for as long as new ones would take to boot and fetch: returning them,
// moments before the cut ended, made 320 of them start anew. One that the
// cloud's list lacks meanwhile is gone, and returned to prove that.
func TestMachinesBehindACutAreWaitedFor(t *testing.T) {
	w := newWorld(t, "a", "b", "c")
	for i := range 9 { // as many as one member takes without sending some elsewhere
		w.worker(fmt.Sprintf("vm-%02d", i), "z1")
	}
	w.run(2 * time.Second)
	want(t, "submit", w.nodes["a"].submit(form("wk-1", 36)).Status, 201)
	w.run(28 * time.Second) // the list has them all for long
	silent := w.now
	for i := range 6 {
		w.workers[fmt.Sprintf("vm-%02d", i)].hung = true
	}
	gone := w.cloud.machines[0].name
	w.cloud.machines = w.cloud.machines[1:]
	w.run(15 * time.Second)
	want(t, "returned after the limit of silence", fmt.Sprint(w.cloud.released), fmt.Sprint([]string{gone}))
	w.run(20 * time.Second) // their leases are over by now
	for name, k := range w.workers {
		if k.hung {
			k.expire()
		}
		if name == gone {
			delete(w.workers, name)
		}
	}
	want(t, "returned when their leases are over", len(w.cloud.released), 1)
	// What they held waits for them, but for the room that is gone; urgent work
	// gets machines of its own.
	want(t, "rented for what waits", w.cloud.n, 1)
	want(t, "submit", w.nodes["a"].submit(form("wk-2", 8).with("urgency", "urgent").with("vcpus", 8.0)).Status, 201)
	w.run(3 * time.Second)
	want(t, "rented with urgent work", w.cloud.n > 5, true)
	for len(w.cloud.released) < 6 && w.now < silent+2*time.Minute {
		w.run(time.Second)
	}
	want(t, "returned in the end", len(w.cloud.released) >= 6, true)
	want(t, "long after", w.now-silent > 50*time.Second, true)
}

// A job that has missed its deadline is still worth something to the users if it
// is done by the next of their aims; only one that can meet none goes last.
func TestLateWorkHeedsTheNextAim(t *testing.T) {
	w := newWorld(t, "a")
	w.run(2 * time.Second)
	l := w.nodes["a"].core.leader
	l.c.cfg.Settings.Objectives = []settings.Objective{
		{Kind: "wait", Class: "d", WithinS: 50, Share: 0.99}, {Kind: "wait", Class: "d", WithinS: 12, Share: 0.98},
		{Kind: "finished", Class: "d", WithinS: 200, Share: 0.9}, {Kind: "deadline", Class: "d", Times: 1.5, Share: 0.9},
		{Kind: "finished", Class: "other", WithinS: 1000, Share: 0.9},
	}
	share, within := l.forecast.startObjective("d")
	want(t, "the aim that leaves least", [2]float64{share, within}, [2]float64{0.98, 12})
	const sent = int64(1e12)
	job := &leaderJob{spec: &meshpb.JobSummary{Class: "d", EstimateS: 30, SubmittedMs: sent, DeadlineMs: sent + 100_000}, begun: true}
	for _, test := range []struct {
		after int64 // seconds
		start float64
		late  bool
	}{{50, 70, false}, {72, 70, false}, {73, 120, false}, {122, 120, false}, {123, 170, false}, {173, 70, true}} {
		r := l.rankOf(job, sent+test.after*1000)
		if r.start-float64(sent)/1000 != test.start || r.late != test.late {
			t.Fatalf("after %d s: latest start %v, late %v", test.after, r.start-float64(sent)/1000, r.late)
		}
	}
}

// Machines' names may be long: a record of them must stay within the state
// service's limit of a value, or none of its machines would ever get a start.
func TestMachineRecordsStayWithinTheValueLimit(t *testing.T) {
	w := newWorld(t, "a")
	largest := 0
	w.state.onTxn = func(_ string, txn *protocol.Transaction, _ func() storage.Response, done func(storage.Response)) bool {
		for _, c := range txn.Then {
			largest = max(largest, len(c.Value))
			if len(c.Value) > 8<<10 {
				done(storage.Response{Status: 400, Body: w.codec.Encode(map[string]any{"error": "value is too large"})})
				return true
			}
		}
		return false
	}
	for i := range 90 {
		w.worker(fmt.Sprintf("vm-%02d-%s", i, strings.Repeat("n", 105)), "z1")
	}
	w.run(3 * time.Second)
	for range 4 {
		w.advance(recordInterval)
	}
	want(t, "submit", w.nodes["a"].submit(form("wk-1", 360)).Status, 201)
	w.run(3 * time.Second)
	want(t, "running", w.total(), 360)
	if largest < 4<<10 {
		t.Fatalf("the largest record takes %d bytes, which tries nothing", largest)
	}
}

// What the loss of hundreds of machines at once costs, in counts: a few writes, few
// calls to the cloud, no more orders than there are copies to stop, and as many
// starts as there were tasks; and what a takeover of their jobs costs: reads by
// the page, a handful of writes.
func TestCostOfALoss(t *testing.T) {
	w := newWorld(t, "a", "b", "c")
	const machines, hung = 240, 120
	for i := range machines {
		w.worker(fmt.Sprintf("vm-%03d", i), []string{"z1", "z2"}[i%2]).conn = 1
	}
	w.run(4 * time.Second)
	owner := w.follower()
	for i := range 8 {
		want(t, "submit", owner.submit(form(fmt.Sprint("wk-", i+1), 60)).Status, 201)
	}
	w.run(6 * time.Second)
	want(t, "running", w.total(), 480)
	all := make([]*worker, 0, machines) // those that are returned too
	for _, k := range w.workers {
		all = append(all, k)
	}
	starts := func() (n int) {
		for _, k := range all {
			n += k.starts
		}
		return n
	}
	lost := 0
	for i := range hung {
		k := w.workers[fmt.Sprintf("vm-%03d", 2*i)] // one room
		lost += len(k.running())
		k.hung = true
		k.expire() // it has lost power
	}
	writes, calls, begun := w.state.txns, len(w.cloud.returns), starts()
	w.run(longEnough)
	want(t, "running after the loss", w.total(), 480)
	want(t, "starts", starts()-begun, lost)
	if n := w.state.txns - writes; n > 6 { // records of machines that no longer name those returned
		t.Fatalf("%d writes", n)
	}
	if n := len(w.cloud.returns) - calls; n > 2 {
		t.Fatalf("%d calls return machines", n)
	}
	before := w.state.txns
	w.crash(owner.name)
	w.run(8 * time.Second)
	want(t, "running after the takeover", w.total(), 480)
	if n := w.state.txns - before; n > 4 {
		t.Fatalf("a takeover takes %d writes", n)
	}
}

// Machines come up all the time, and each has been heard of before it has had the
// leader's token. They hold nothing, so a ledger that changes hands does not wait
// for them: waited for, there was always one, and recovered tasks did not start.
func TestMachinesThatComeUpKeepNothingWaiting(t *testing.T) {
	w := newWorld(t, "a", "b", "c")
	for i := range 3 {
		w.worker(fmt.Sprintf("vm-%d", i), "z1")
		w.worker(fmt.Sprintf("vm-4%d", i), "z1").deaf = true // its first report, as often as need be
	}
	w.run(10 * time.Second)
	f := w.follower()
	want(t, "submit", f.submit(form("wk-1", 30)).Status, 201)
	w.run(3 * time.Second)
	w.crash(f.name)
	lead := w.leader()
	settled := func() bool {
		l := lead.core.owner.ledgers[f.name]
		return l != nil && l.settled
	}
	waited := 0
	for ; !settled() && waited < 30; waited++ {
		w.worker(fmt.Sprintf("vm-5%d", waited), "z1").deaf = true
		w.run(time.Second)
	}
	if waited > 8 {
		t.Fatalf("the ledger is settled after %d s", waited)
	}
}

// Machines that were returned or taken before the last leader ended are named in
// its records still. They are returned once more, as proof, as soon as all others
// have had time to report, also if the list showed them for a while.
func TestVanishedMachinesAreProvenGoneSoon(t *testing.T) {
	w := newWorld(t, "a", "b", "c")
	for i := range 6 {
		w.worker(fmt.Sprintf("vm-%d", i), "z1")
	}
	w.run(8 * time.Second)
	lead := w.leader()
	want(t, "submit", lead.submit(form("wk-1", 40)).Status, 201)
	w.run(3 * time.Second)
	lost := []string{"vm-1", "vm-3"}
	old := append([]cloudMachine(nil), w.cloud.machines...)
	for _, name := range lost {
		delete(w.workers, name)
	}
	w.crash(lead.name)
	w.cloud.older = old // for a while the list has them still
	w.run(4 * time.Second)
	w.cloud.older = nil
	kept := w.cloud.machines[:0]
	for _, m := range w.cloud.machines {
		if m.name != lost[0] && m.name != lost[1] {
			kept = append(kept, m)
		}
	}
	w.cloud.machines = kept
	w.run(6 * time.Second)
	next := w.leader().core
	want(t, "settled", next.owner.ledgers[lead.name].settled, true)
	want(t, "returned", fmt.Sprint(w.cloud.released), "[vm-1 vm-3]")
}
