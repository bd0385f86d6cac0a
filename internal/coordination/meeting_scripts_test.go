package coordination

import (
	"fmt"
	"time"

	"github.com/cobaltvale/cobaltvale/internal/protocol"
	"github.com/cobaltvale/cobaltvale/internal/storage"
)

// The scripts of TestMeetings: each prepares a day and returns what happens in its
// seconds.

// work comes at about one job a second.
func (d *day) work() {
	crew := []string{"red", "blue", "guest"}[d.rand.IntN(3)]
	if n := d.anyNode(); n.up {
		d.submit(n, 1+d.rand.IntN(4), "crew", crew, "urgency", []string{"urgent", "standard"}[d.rand.IntN(2)])
	}
}

// users ask everywhere as jobs begin, end and are cancelled.
func usersAskEverywhere(d *day) func(int) {
	d.takesAll(2 * time.Second)
	return func(s int) {
		d.work()
		id := d.submit(d.anyNode(), 1)
		d.settle()
		if s%3 == 0 { // some cancel at once
			d.ask(d.anyNode(), "ABORT", id)
		}
		if s%4 == 0 {
			d.cancelSome(1)
		}
	}
}

// only the answers are lost, others read what was written.
func answersAreLost(d *day) func(int) {
	d.takesAll(2 * time.Second)
	d.lose(0.3, true)
	return func(s int) {
		d.work()
		if s%3 == 0 {
			d.cancelSome(1)
		}
		if s == 20 {
			d.restart(d.leader().name)
		}
	}
}

// transactions are carried out late.
func transactionsAreLate(d *day) func(int) {
	d.takesAll(2 * time.Second)
	d.lose(0.2, false)
	return func(s int) {
		d.work()
		if s%3 == 0 {
			d.cancelSome(1)
		}
		if s == 15 {
			d.restart(d.leader().name)
		}
	}
}

// teams at their limits, cancelled jobs on machines that hang, the leader changes.
func teamsAtTheirLimits(d *day) func(int) {
	for range 3 {
		d.submit(d.anyNode(), 8, "crew", "red")
	}
	var hung []*worker
	return func(s int) {
		switch s {
		case 6:
			hung = d.machinesOf(3)
			for i, k := range hung {
				k.hung, k.deaf = i != 1, i == 1
			}
			for _, id := range d.accepted() {
				d.ask(d.anyNode(), "ABORT", id)
			}
		case 7:
			d.crash(d.leader().name)
			for _, name := range d.names {
				if n := d.nodes[name]; n.up {
					d.submit(n, 16, "crew", "red")
				}
			}
		case 17:
			for _, k := range hung {
				k.hung, k.deaf = false, false
			}
		}
	}
}

// jobs are cancelled while a ledger changes hands.
func cancelledInAHandover(d *day) func(int) {
	for range 6 {
		d.submit(d.anyNode(), 2)
	}
	return func(s int) {
		if s%12 == 5 || s%12 == 7 {
			d.dies = true // with what it has confirmed and told nobody else
		}
		if s%12 == 9 {
			d.dies = false
			for _, name := range d.names {
				if !d.nodes[name].up {
					d.start(name)
				}
			}
		}
		d.work()
		for range 10 { // in the very seconds
			d.cancelSome(1)
			d.advance(100 * time.Millisecond)
		}
	}
}

// machines up at once get work while writes lag, and the leader ends.
func machinesUpAtOnce(d *day) func(int) {
	return func(s int) {
		if s < 20 {
			d.worker(fmt.Sprintf("vm-1%02d", s), "z1").takes = 4 * time.Second
			d.submit(d.anyNode(), 4)
		}
		if s == 4 {
			d.state.onTxn = func(_ string, _ *protocol.Transaction, apply func() storage.Response, done func(storage.Response)) bool {
				r := apply()
				d.late = append(d.late, lateCall{d.now + time.Second, func() { done(r) }})
				return true
			}
		}
		if s == 8 || s == 14 {
			d.restart(d.leader().name)
		}
	}
}

// old reports reach every controller as a new leader begins.
func oldReportsArrive(d *day) func(int) {
	d.takesAll(5 * time.Second)
	var old map[*worker][]byte
	return func(s int) {
		d.work()
		d.work()
		switch s % 8 {
		case 0:
			old = d.copies()
		case 2: // after newer ones
			d.replay(old)
		case 4:
			lead := d.leader()
			d.restart(lead.name)
			for i := 0; i < 80 && (d.leads() == nil || d.leads().core == lead.core); i++ {
				d.advance(100 * time.Millisecond)
			}
			d.replay(old) // before any machine says anything new
		case 7: // of an earlier session
			for _, k := range d.machinesOf(1) {
				k.expire()
			}
		}
	}
}

// one-task jobs come four a second, a quarter cancelled.
func oneTaskJobs(d *day) func(int) {
	d.takesAll(2 * time.Second)
	return func(s int) {
		for i := range 4 {
			id := d.submit(d.anyNode(), 1, "vcpus", 1.0)
			d.settle()
			if i == s%4 {
				d.late = append(d.late, lateCall{d.now + time.Duration(s%5)*700*time.Millisecond, func() { d.ask(d.anyNode(), "ABORT", id) }})
			}
		}
		if s == 20 || s == 30 { // what has ended stays so
			d.restart(d.names[s/10%3])
		}
	}
}

// leaders change ten times, also in an outage.
func leadersChange(d *day) func(int) {
	d.takesAll(4 * time.Second)
	return func(s int) {
		d.work()
		if s%5 == 2 {
			d.restart(d.names[s/5%3])
		}
		d.state.away[""] = s >= 22 && s < 30
		if s%7 == 0 {
			d.cancelSome(1)
		}
	}
}

// all controllers are away for longer than a lease.
func allControllersAway(d *day) func(int) {
	d.takesAll(6 * time.Second)
	return func(s int) {
		switch {
		case s < 10 || s > 35:
			d.work()
		case s == 12:
			for _, name := range d.names {
				d.crash(name)
			}
		case s == 34:
			for _, name := range d.names {
				d.start(name)
			}
		}
	}
}

// a zone with its workers and a controller is cut off.
func zoneCutOff(d *day) func(int) {
	d.takesAll(6 * time.Second)
	return func(s int) {
		d.work()
		if s == 8 {
			d.cut("a", "b")
			d.cut("a", "c")
			d.state.away["a"] = true
			for _, k := range d.workers {
				k.hung = k.zone == "z2"
			}
		}
		if s == 28 {
			delete(d.state.away, "a")
			d.connect("a", "b")
			d.connect("a", "c")
			for _, k := range d.workers {
				k.hung = false
			}
		}
		if s%6 == 0 {
			d.cancelSome(1)
		}
	}
}

// a leader keeps its workers and users alone.
func leaderAlone(d *day) func(int) {
	d.takesAll(20 * time.Second)
	var lead *node
	return func(s int) {
		d.work()
		if s == 8 {
			lead = d.leader()
			d.state.away[lead.name] = true
			for _, o := range d.names {
				if o != lead.name {
					d.cut(lead.name, o)
				}
			}
		}
		if s > 8 && s < 30 {
			d.cancelSome(1)
		}
		if s == 30 {
			delete(d.state.away, lead.name)
			for _, o := range d.names {
				if o != lead.name {
					d.connect(lead.name, o)
				}
			}
		}
	}
}

// jobs of one zone lose machines.
func jobsOfOneZone(d *day) func(int) {
	d.takesAll(6 * time.Second)
	return func(s int) {
		d.submit(d.anyNode(), 3, "hall", "z2")
		if s == 10 || s == 20 {
			for _, k := range d.machinesOf(2) {
				d.machineDies(k)
			}
		}
		if s == 11 {
			d.restart(d.leader().name)
		}
	}
}

// cancellations, questions and repeats meet the end of the last task.
func endsMeetCancellations(d *day) func(int) {
	d.takesAll(2 * time.Second)
	return func(int) {
		d.work()
		for _, id := range d.accepted() {
			left := 0
			for i := range d.forms[id]["pages"].(int) {
				if !d.complete[fmt.Sprintf("%s/%d", id, i)] {
					left++
				}
			}
			if left == 0 {
				d.everywhere(id)
				d.ask(d.anyNode(), "ABORT", id)
			}
		}
	}
}

// machines can't reach any controller.
func machinesReachNobody(d *day) func(int) {
	d.takesAll(6 * time.Second)
	return func(s int) {
		d.work()
		if s == 8 {
			for _, k := range d.machinesOf(3) {
				k.hung = true // nothing is sent to machines but answers
			}
			d.cancelSome(2)
		}
		if s == 20 {
			d.restart(d.leader().name)
		}
	}
}
