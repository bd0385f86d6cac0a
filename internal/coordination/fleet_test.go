package coordination

import (
	"testing"
	"time"
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
