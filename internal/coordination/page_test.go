package coordination

import (
	"fmt"
	"testing"
	"time"
)

// The meetings of the operators' page that need no script of their own beyond
// troubles at set times: day checks every rule all the while, and that everything
// is known and done once the troubles are over.

// machinesOf returns up to n machines that run tasks.
func (d *day) machinesOf(n int) []*worker {
	var out []*worker
	for _, name := range d.workerNames() {
		if k := d.workers[name]; len(out) < n && len(k.running()) > 0 {
			out = append(out, k)
		}
	}
	return out
}

// restart ends a node and starts it again at once.
func (d *day) restart(name string) {
	d.crash(name)
	d.start(name)
}

// leads returns who leads, if anybody does.
func (d *day) leads() *node {
	for _, name := range d.names {
		if n := d.nodes[name]; n.up && n.core.leader != nil && n.core.session.mayAct(d.now) {
			return n
		}
	}
	return nil
}

// copies keeps what machines report, to be sent again later.
func (d *day) copies() map[*worker][]byte {
	out := make(map[*worker][]byte)
	for _, k := range d.workers {
		out[k] = append([]byte(nil), k.lastSent...)
	}
	return out
}

// replay sends old reports to every node; their answers reach nobody.
func (d *day) replay(old map[*worker][]byte) {
	for _, body := range old {
		for _, name := range d.names {
			if n := d.nodes[name]; n.up && !n.still {
				n.core.HandleHTTP(&Request{Method: "POST", Path: "/checkin", Body: body, Conn: 1 << 30}, func(Response) {})
			}
		}
	}
	d.settle()
}

func TestMeetings(t *testing.T) {
	for name, script := range map[string]func(d *day) func(second int){
		"users ask everywhere as jobs begin, end and are cancelled":                       usersAskEverywhere,
		"only the answers are lost, others read what was written":                         answersAreLost,
		"transactions are carried out late":                                               transactionsAreLate,
		"teams at their limits, cancelled jobs on machines that hang, the leader changes": teamsAtTheirLimits,
		"jobs are cancelled while a ledger changes hands":                                 cancelledInAHandover,
		"machines up at once get work while writes lag, and the leader ends":              machinesUpAtOnce,
		"old reports reach every controller as a new leader begins":                       oldReportsArrive,
		"one-task jobs come four a second, a quarter cancelled":                           oneTaskJobs,
		"leaders change ten times, also in an outage":                                     leadersChange,
		"all controllers are away for longer than a lease":                                allControllersAway,
		"a zone with its workers and a controller is cut off":                             zoneCutOff,
		"a leader keeps its workers and users alone":                                      leaderAlone,
		"jobs of one zone lose machines":                                                  jobsOfOneZone,
		"cancellations, questions and repeats meet the end of the last task":              endsMeetCancellations,
		"machines can't reach any controller":                                             machinesReachNobody,
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			for seed := range uint64(2) {
				d := newDay(t, seed, 8)
				d.play(45, script(d))
				d.end()
				if d.n == 0 || len(d.told) < d.n/3 {
					t.Fatalf("%d of %d jobs were accepted", len(d.told), d.n)
				}
			}
		})
	}
}

// takesAll has the tasks of all machines take some time.
func (d *day) takesAll(takes time.Duration) {
	for _, k := range d.workers {
		k.takes, k.vary = takes, takes/4
	}
}

// machineDies ends a machine and all on it.
func (d *day) machineDies(k *worker) {
	delete(d.workers, k.name)
	for i := range d.cloud.machines {
		if d.cloud.machines[i].name == k.name {
			d.cloud.machines[i].status = "failed"
		}
	}
}

// Two or three troubles at a time, whichever they are, for as long as they last
// and at whatever time they begin.
func TestTroublesTogether(t *testing.T) {
	for seed := range uint64(16) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			t.Parallel()
			troublesTogether(newDay(t, seed, 8))
		})
	}
}

func troublesTogether(d *day) {
	d.t.Helper()
	d.takesAll(time.Duration(1+d.rand.IntN(20)) * time.Second)
	r := d.rand
	pause := func() int { return 1 + r.IntN(25) }
	var lead *node
	troubles := []func() (begin, end func()){
		func() (func(), func()) {
			return func() { d.state.away[""] = true }, func() { d.state.away[""] = false }
		},
		func() (func(), func()) { // the leader is refused alone
			return func() {
				if lead = d.leads(); lead != nil {
					d.state.away[lead.name] = true
				}
			}, func() { clear(d.state.away) }
		},
		func() (func(), func()) { // and cut from the other controllers
			return func() {
				if lead = d.leads(); lead == nil {
					return
				}
				d.state.away[lead.name] = true
				for _, o := range d.names {
					if o != lead.name {
						d.cut(lead.name, o)
					}
				}
			}, func() { clear(d.state.away); d.restoreAll() }
		},
		func() (func(), func()) {
			a, b := r.IntN(3), r.IntN(3)
			return func() {
				if a != b {
					d.cut(d.names[a], d.names[b])
				}
			}, d.restoreAll
		},
		func() (func(), func()) { return func() { d.lose(0.3, true) }, func() { d.lose(0, true) } },
		func() (func(), func()) { return func() { d.lose(0.2, false) }, func() { d.lose(0, true) } },
		func() (func(), func()) {
			name := d.names[r.IntN(3)]
			return func() { d.crash(name) }, d.restoreAll
		},
		func() (func(), func()) {
			return func() { d.dies = true }, func() { d.dies = false; d.restoreAll() }
		},
		func() (func(), func()) { // all are back at once
			return func() {
				for _, name := range d.names {
					d.crash(name)
				}
				d.restoreAll()
			}, func() {}
		},
		func() (func(), func()) {
			var ks []*worker
			return func() {
					ks = d.machinesOf(1 + r.IntN(5))
					for i, k := range ks {
						k.hung, k.deaf = i%2 == 0, i%2 == 1
					}
				}, func() {
					for _, k := range ks {
						k.hung, k.deaf = false, false
					}
				}
		},
		func() (func(), func()) {
			old := d.copies()
			return func() { old = d.copies() }, func() { d.replay(old) }
		},
		func() (func(), func()) { return func() { d.cancelSome(6) }, func() { d.cancelSome(6) } },
		func() (func(), func()) {
			return func() { d.state.silentWatches[d.names[r.IntN(3)]] = true }, func() { clear(d.state.silentWatches) }
		},
		func() (func(), func()) {
			return func() {
				for _, k := range d.machinesOf(2) {
					d.machineDies(k)
				}
			}, func() {}
		},
	}
	at := make(map[int][]func())
	for range 3 {
		from := 4 + r.IntN(20)
		for range 2 + r.IntN(2) {
			begin, end := troubles[r.IntN(len(troubles))]()
			s := from + r.IntN(4)
			at[s] = append(at[s], begin)
			s += pause()
			at[s] = append(at[s], end)
		}
	}
	d.play(60, func(s int) {
		if s < 45 {
			n := d.anyNode()
			if s%5 == 4 {
				d.submitService(n, 1+r.IntN(2), "crew", "blue", "apart", s%2 == 0)
			} else {
				d.submit(n, 1+r.IntN(4), "crew", []string{"red", "blue"}[s%2], "urgency", []string{"urgent", "standard"}[r.IntN(2)])
			}
		}
		if s%4 == 0 {
			d.cancelSome(1)
		}
		for _, fn := range at[s] {
			fn()
		}
	})
	d.end()
}
