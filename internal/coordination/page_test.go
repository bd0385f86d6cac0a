package coordination

import (
	"fmt"
	"testing"
	"time"

	"github.com/cobaltvale/cobaltvale/internal/protocol"
	"github.com/cobaltvale/cobaltvale/internal/storage"
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
	// work comes at about one job a second.
	work := func(d *day) {
		crew := []string{"red", "blue", "guest"}[d.rand.IntN(3)]
		if n := d.anyNode(); n.up {
			d.submit(n, 1+d.rand.IntN(4), "crew", crew, "urgency", []string{"urgent", "standard"}[d.rand.IntN(2)])
		}
	}
	for name, script := range map[string]func(d *day) func(s int){
		"users ask everywhere as jobs begin, end and are cancelled": func(d *day) func(int) {
			d.takesAll(2 * time.Second)
			return func(s int) {
				work(d)
				id := d.submit(d.anyNode(), 1)
				d.settle()
				if s%3 == 0 { // some cancel at once
					d.ask(d.anyNode(), "ABORT", id)
				}
				if s%4 == 0 {
					d.cancelSome(1)
				}
			}
		},
		"only the answers are lost, others read what was written": func(d *day) func(int) {
			d.takesAll(2 * time.Second)
			d.lose(0.3, true)
			return func(s int) {
				work(d)
				if s%3 == 0 {
					d.cancelSome(1)
				}
				if s == 20 {
					d.restart(d.leader().name)
				}
			}
		},
		"transactions are carried out late": func(d *day) func(int) {
			d.takesAll(2 * time.Second)
			d.lose(0.2, false)
			return func(s int) {
				work(d)
				if s%3 == 0 {
					d.cancelSome(1)
				}
				if s == 15 {
					d.restart(d.leader().name)
				}
			}
		},
		"teams at their limits, cancelled jobs on machines that hang, the leader changes": func(d *day) func(int) {
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
		},
		"jobs are cancelled while a ledger changes hands": func(d *day) func(int) {
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
				work(d)
				for range 10 { // in the very seconds
					d.cancelSome(1)
					d.advance(100 * time.Millisecond)
				}
			}
		},
		"machines up at once get work while writes lag, and the leader ends": func(d *day) func(int) {
			return func(s int) {
				if s < 20 {
					d.worker(fmt.Sprintf("vm-1%02d", s), "z1").takes = 4 * time.Second
					d.submit(d.anyNode(), 4)
				}
				if s == 4 {
					d.state.onTxn = func(_ string, _ *protocol.Txn, apply func() storage.Result, done func(storage.Result)) bool {
						r := apply()
						d.late = append(d.late, lateCall{d.now + time.Second, func() { done(r) }})
						return true
					}
				}
				if s == 8 || s == 14 {
					d.restart(d.leader().name)
				}
			}
		},
		"old reports reach every controller as a new leader begins": func(d *day) func(int) {
			d.takesAll(5 * time.Second)
			var old map[*worker][]byte
			return func(s int) {
				work(d)
				work(d)
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
		},
		"one-task jobs come four a second, a quarter cancelled": func(d *day) func(int) {
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
		},
		"leaders change ten times, also in an outage": func(d *day) func(int) {
			d.takesAll(4 * time.Second)
			return func(s int) {
				work(d)
				if s%5 == 2 {
					d.restart(d.names[s/5%3])
				}
				d.state.away[""] = s >= 22 && s < 30
				if s%7 == 0 {
					d.cancelSome(1)
				}
			}
		},
		"all controllers are away for longer than a lease": func(d *day) func(int) {
			d.takesAll(6 * time.Second)
			return func(s int) {
				switch {
				case s < 10 || s > 35:
					work(d)
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
		},
		"a zone with its workers and a controller is cut off": func(d *day) func(int) {
			d.takesAll(6 * time.Second)
			return func(s int) {
				work(d)
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
		},
		"a leader keeps its workers and users alone": func(d *day) func(int) {
			d.takesAll(20 * time.Second)
			var lead *node
			return func(s int) {
				work(d)
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
		},
		"jobs of one zone lose machines": func(d *day) func(int) {
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
		},
		"cancellations, questions and repeats meet the end of the last task": func(d *day) func(int) {
			d.takesAll(2 * time.Second)
			return func(int) {
				work(d)
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
		},
		"machines can't reach any controller": func(d *day) func(int) {
			d.takesAll(6 * time.Second)
			return func(s int) {
				work(d)
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
		},
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
			troublesTogether(t, seed)
		})
	}
}

func troublesTogether(t *testing.T, seed uint64) {
	t.Helper()
	d := newDay(t, seed, 8)
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
