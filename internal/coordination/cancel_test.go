package coordination

import (
	"fmt"
	"testing"
	"time"

	"github.com/cobaltvale/cobaltvale/internal/protocol"
	"github.com/cobaltvale/cobaltvale/internal/storage"
)

// The meeting before all others: the state service refuses the leader alone,
// another member confirms a cancellation, then the state service is down for
// everybody, for longer than a cancellation has, while workers report to whoever
// answers them. Whoever answers a report must then know of the cancellation, or
// cease to answer. day.check looks for what is left of it after cancel_s.

// gap starts a long job of an owner that doesn't lead, and returns both.
func gap(t *testing.T, seed uint64) (d *day, lead, owner *node, id string) {
	t.Helper()
	d = newDay(t, seed, 4)
	lead, owner = d.leader(), d.follower()
	id = d.submit(owner, 8)
	d.submit(lead, 4)
	d.play(4, func(int) {})
	want(t, "running", d.total(), 12)
	return d, lead, owner, id
}

// third is the member that is neither.
func (d *day) third(a, b *node) *node {
	for _, name := range d.names {
		if n := d.nodes[name]; n != a && n != b {
			return n
		}
	}
	return nil
}

// outage lets the state service be down for everybody for longer than a
// cancellation has, and wants the cancelled job's tasks gone by then.
func (d *day) outage(id string) {
	d.t.Helper()
	if d.told[id] != protocol.StatusCancelled {
		d.t.Fatalf("the cancellation was not confirmed: %q", d.told[id])
	}
	d.state.away[""] = true
	d.play(50, func(int) {}) // check fails the test if something runs on
	d.end()
}

// As on the page, at several lengths of the refusal, whoever owns the job and
// whoever confirms.
func TestCancelledBetweenRefusalAndOutage(t *testing.T) {
	for _, refused := range []time.Duration{500 * time.Millisecond, 4 * time.Second, 10 * time.Second} {
		for _, owns := range []string{"leader", "confirming", "third"} {
			t.Run(fmt.Sprint(refused, " before, owner ", owns), func(t *testing.T) {
				t.Parallel()
				for _, mesh := range []string{"whole", "cut from the owner", "cut from the third"} {
					for _, service := range []bool{false, true} {
						cancelledInTheGap(t, refused, owns, mesh, service)
					}
				}
			})
		}
	}
}

func cancelledInTheGap(t *testing.T, refused time.Duration, owns, mesh string, service bool) {
	t.Helper()
	d := newDay(t, uint64(refused), 4)
	lead := d.leader()
	confirming := d.follower()
	third := d.third(lead, confirming)
	owner := map[string]*node{"leader": lead, "confirming": confirming, "third": third}[owns]
	submit := d.submit
	if service {
		submit = d.submitService
	}
	id := submit(owner, 8)
	d.play(4, func(int) {})
	want(t, "running", d.total(), 8)
	d.state.away[lead.name] = true
	switch mesh {
	case "cut from the owner":
		d.cut(lead.name, confirming.name)
	case "cut from the third":
		d.cut(lead.name, third.name)
	}
	for end := d.now + refused; d.now < end; {
		d.ask(confirming, "ABORT", id)
		d.advance(100 * time.Millisecond)
	}
	if owns == "third" {
		d.restart(third.name) // it ends with what it knows
	}
	if refused >= 10*time.Second && owns != "third" && mesh == "whole" {
		want(t, "confirmed before the outage", d.told[id], protocol.StatusCancelled)
	}
	d.state.away[""] = true
	d.play(50, func(int) {})
	d.end()
}

// The end is written and read by others, who confirm it; its writer alone gets no
// answer, and so does not know. Nothing may wait for that.
func TestCancellationThatItsOwnerDoesNotKnowOf(t *testing.T) {
	d, _, owner, id := gap(t, 1)
	d.state.onTxn = func(from string, txn *protocol.Transaction, apply func() storage.Response, done func(storage.Response)) bool {
		if from != owner.name {
			return false
		}
		apply()
		done(storage.Response{})
		return true
	}
	d.ask(owner, "ABORT", id)
	d.settle()
	d.ask(d.leader(), "ABORT", id) // reads what is written
	d.settle()
	d.outage(id)
}

// The owner confirms a cancellation and ends before the leader has heard of it;
// it is back before the outage, but not with its ledger. Its process extends as
// others do, and nobody is left who knows.
func TestCancellationThatEndsWithItsOwner(t *testing.T) {
	d, lead, owner, id := gap(t, 2)
	d.cut(lead.name, owner.name)
	d.ask(owner, "ABORT", id)
	d.advance(400 * time.Millisecond)
	d.crash(owner.name)
	d.state.onTxn = func(from string, txn *protocol.Transaction, _ func() storage.Response, done func(storage.Response)) bool {
		for _, c := range txn.Then {
			if from == owner.name && c.Put == storage.ShardKey(owner.name) {
				done(storage.Response{}) // lost
				return true
			}
		}
		return false
	}
	d.start(owner.name)
	d.advance(300 * time.Millisecond)
	want(t, "the owner's next process is known", owner.core.session.self != 0, true)
	d.outage(id)
}

// An owner has not seen that another member leads now, since its watch tells
// nothing: it would tell the old leader what is cancelled. It believes the next
// one, so that this one may go on in the outage; without that all leases would end.
func TestOwnerThatHasNotSeenTheNextLeader(t *testing.T) {
	d, lead, owner, id := gap(t, 3)
	d.submit(owner, 2)
	d.play(4, func(int) {})
	d.state.silentWatches[owner.name] = true
	d.state.away[lead.name] = true
	d.play(9, func(int) {})
	if d.leader() == lead || d.leader() == owner {
		t.Fatal("the third member does not lead")
	}
	d.ask(owner, "ABORT", id)
	d.advance(400 * time.Millisecond)
	started := d.started
	d.state.away[""] = true
	d.play(50, func(int) {})
	want(t, "running, started anew", fmt.Sprint(d.total(), " ", d.started-started), "6 0")
	d.outage(id)
}
