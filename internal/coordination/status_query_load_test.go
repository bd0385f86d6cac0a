package coordination

import (
	"fmt"
	"testing"
	"time"

	"github.com/cobaltvale/cobaltvale/internal/api"
	"github.com/cobaltvale/cobaltvale/internal/protocol"
	"github.com/cobaltvale/cobaltvale/internal/simtest"
	"github.com/cobaltvale/cobaltvale/internal/storage"
)

// Many concurrent status queries cost few reads of the state service, for jobs that were never
// submitted, for jobs of another member, for jobs whose owner has crashed and for jobs that
// have ended.
func TestManyStatusQueriesCostFewReads(t *testing.T) {
	sim := newSimulation(t, "a", "b", "c")
	sim.AddMachine("vm-1", "z1")
	sim.Run(3 * time.Second)
	follower := sim.Follower()
	other := ""
	for _, n := range sim.Members {
		if sim.Nodes[n] != follower && sim.Nodes[n] != sim.Leader() {
			other = n
		}
	}
	const jobs = 60
	for i := range jobs {
		requireEqual(t, "submit", sim.Nodes[other].Submit(simtest.BatchJob(fmt.Sprint("wk-", i+1), 1)).Status, 201)
	}
	queryAll := func(what string, first, status int, maxRequests int) {
		t.Helper()
		before := sim.State.Requests
		var got []*simtest.HTTPResponse
		for range 5 {
			for i := range jobs {
				got = append(got, follower.Send("GET", fmt.Sprint("/submissions/wk-", first+i)))
			}
			sim.DeliverAll()
		}
		sim.Advance(api.StatusTimeout)
		for _, r := range got {
			requireEqual(t, what, r.Status, status)
		}
		if n := sim.State.Requests - before; n > maxRequests {
			t.Fatalf("%d queries of %s took %d requests to the state service, more than the maximum", len(got), what, n)
		}
	}
	queryAll("jobs that were never submitted", 1000, 404, 20)
	queryAll("jobs of another member", 1, 200, 90) // each job is read once
	queryAll("jobs of another member, again", 1, 200, 20)
	sim.Crash(other)
	queryAll("jobs whose owner has crashed", 1, 200, 30)
	sim.Run(10 * time.Second)
	for i := range jobs {
		code, _ := follower.Cancel(fmt.Sprint("wk-", i+1))
		requireEqual(t, "cancellation", code, 200)
		sim.Advance(tickInterval)
	}
	queryAll("jobs that have ended", 1, 200, 20)
}

// A query must not be answered with the result of a shared read that began before the query:
// the job may have been accepted in between, and a 404 would deny an accepted job.
func TestSharedReadsBeginAfterTheQuery(t *testing.T) {
	sim := newSimulation(t, "a", "b", "c")
	lead, follower := sim.Leader(), sim.Follower()
	var held func()
	sim.State.OnTransaction = func(from string, txn *protocol.Transaction, apply func() storage.Response, done func(storage.Response)) bool {
		if from != follower.Name || len(txn.Then) > 0 || held != nil {
			return false
		}
		r := apply() // applied now, answered later
		held = func() { done(r) }
		return true
	}
	var before []*simtest.HTTPResponse
	for i := range 8 { // enough that their records are read together
		before = append(before, follower.Send("GET", fmt.Sprint("/submissions/wk-", i+1)))
	}
	sim.DeliverAll()
	requireEqual(t, "a read is under way", held != nil, true)
	requireEqual(t, "submit", lead.Submit(simtest.BatchJob("wk-1", 1)).Status, 201)
	after := follower.Send("GET", "/submissions/wk-1")
	sim.DeliverAll()
	held()
	sim.Advance(100 * time.Millisecond)
	requireEqual(t, "asked before it was accepted", before[0].Status, 404)
	requireEqual(t, "asked after it was accepted", after.Status, 200)
}
