package coordination

import (
	"sort"
	"strconv"
	"testing"
	"time"

	"github.com/cobaltvale/cobaltvale/internal/protocol"
)

// worker is a scripted machine. It follows the protocol's rules for tokens
// and commands; its lease ends only when a test says so.
type worker struct {
	w          *world
	name       string
	zone       string
	machine    string // its type; empty: m8
	session    uint64
	seq        uint64
	token      uint64
	tasks      map[string]*workerTask // by name and attempt
	notice     any
	hung       bool
	starts     int
	lastSent   []byte
	neverStart bool          // drops starts, as if the answer were lost
	deaf       bool          // no answer reaches it
	takes      time.Duration // tasks end by themselves after it; 0: never
	vary       time.Duration // and up to six times this more
	stays      *Core         // where its last report was answered
	sentTo     string        // the member that it was told to report to
	conn       uint64
	answered   time.Duration // when the last report that was answered was sent, or the session began
}

type workerTask struct {
	name    string
	attempt uint64
	state   string
	why     any
	since   time.Duration
}

func (w *world) worker(name, zone string) *worker {
	k := &worker{w: w, name: name, zone: zone, session: 1, tasks: make(map[string]*workerTask), answered: w.now}
	w.workers[name] = k
	w.cloud.machines = append(w.cloud.machines, cloudMachine{name: name, zone: zone, status: "running", at: w.now})
	return k
}

// boot brings up the machines that were rented a while ago; their tasks take
// the given time.
func (w *world) boot(takes time.Duration) {
	for _, m := range w.cloud.machines {
		if w.workers[m.name] == nil && m.status == "starting" && w.now-m.at > 5*time.Second {
			w.workers[m.name] = &worker{w: w, name: m.name, zone: m.zone, session: 1, tasks: make(map[string]*workerTask), takes: takes, answered: w.now}
		}
	}
}

func (k *worker) body() []byte {
	k.seq++
	pages := []any{}
	var keys []string
	for key := range k.tasks {
		keys = append(keys, key)
	}
	sort.Strings(keys)
	for _, key := range keys {
		t := k.tasks[key]
		if k.takes > 0 && t.state == "running" && !(k.w.endless != nil && k.w.endless(t.name)) && k.w.now-t.since >= k.takes+k.vary*time.Duration(t.attempt%7) {
			t.state, t.why = "ended", "done"
		}
		if t.state == "ended" && t.why == "done" && k.w.onEnded != nil {
			k.w.onEnded(k, t.name)
		}
		pages = append(pages, map[string]any{"page": t.name, "try": t.attempt, "status": t.state, "cause": t.why})
	}
	machine := k.machine
	if machine == "" {
		machine = "m8"
	}
	return k.w.codec.Encode(map[string]any{"roost": k.name, "address": "10.1.0.1:1", "breed": machine, "hall": k.zone, "loaners": false,
		"perch": k.session, "tick": k.seq, "baton": k.token, "recallInS": k.notice, "pages": pages})
}

// report sends one report to the leader, or where it was told to, and carries
// out the answer.
func (k *worker) report() *Response {
	if k.hung {
		return nil
	}
	if n := k.w.nodes[k.sentTo]; n != nil && n.up && !n.still {
		return k.reportTo(n)
	}
	for _, name := range k.w.names {
		if n := k.w.nodes[name]; n.up && !n.still && n.core.leader != nil {
			return k.reportTo(n)
		}
	}
	return nil
}

func (k *worker) reportTo(n *node) *Response {
	k.lastSent = k.body()
	session, sent := k.session, k.w.now
	if k.stays != n.core { // it has closed its last connection
		k.w.conns++
		k.conn, k.stays = k.w.conns, n.core
	}
	r := n.callOn(k.conn, "POST", "/checkin", k.lastSent)
	if r.Status == 0 { // the answer waits for picks
		k.w.advance(400 * time.Millisecond)
	}
	k.sentTo = ""
	if r.Status == 421 {
		var to protocol.Redirect
		if err := k.w.codec.Decode(r.Body, &to); err != nil {
			k.w.t.Fatal(err)
		}
		k.sentTo = to.HeartbeatTo
	}
	if r.Status != 200 || k.deaf {
		k.stays = nil
		return r
	}
	k.sentTo = n.name
	if k.session == session { // else it belongs to one that is over
		k.obey(r.Body)
		k.answered = max(k.answered, sent)
	}
	return r
}

func (k *worker) obey(body []byte) {
	var a protocol.HeartbeatResponse
	if err := k.w.codec.Decode(body, &a); err != nil {
		k.w.t.Fatal(err)
	}
	if a.FencingToken < k.token {
		return
	}
	k.token = a.FencingToken
	for _, c := range a.Commands {
		key := c.Task + "#" + strconv.FormatUint(c.Replica, 10)
		t := k.tasks[key]
		switch {
		case c.Op == protocol.CommandStart && t == nil && !k.neverStart:
			k.w.checkAlone(c.Task, k)
			k.starts++
			k.tasks[key] = &workerTask{name: c.Task, attempt: c.Replica, state: "running", since: k.w.now}
			if k.w.onStart != nil {
				k.w.onStart(k, k.tasks[key])
			}
		case c.Op == protocol.CommandStop && t != nil && t.state != "ended":
			t.state, t.why = "ended", "halted"
		case c.Op == protocol.CommandReap && t != nil && t.state == "ended":
			delete(k.tasks, key)
		}
	}
}

// checkAlone is the rule ran_twice. It looks at the machines on which the task was
// started before: nothing else brings a copy of it onto a machine, but for tests
// that put old ones there, which have ended or are of an earlier number.
func (w *world) checkAlone(task string, on *worker) {
	if _, bench := w.t.(*testing.B); bench {
		return // it would cost more than what is measured
	}
	for _, k := range w.started[task] {
		for _, t := range k.tasks {
			if t.name == task && t.state != "ended" && w.workers[k.name] == k {
				w.t.Fatalf("%s is started on %s while it runs on %s", task, on.name, k.name)
			}
		}
	}
	w.started[task] = append(w.started[task], on)
}

func (k *worker) running() []string {
	var out []string
	for _, t := range k.tasks {
		if t.state == "running" {
			out = append(out, t.name)
		}
	}
	sort.Strings(out)
	return out
}

// finish ends every running task.
func (k *worker) finish(why string) {
	for _, t := range k.tasks {
		if t.state == "running" {
			t.state, t.why = "ended", why
		}
	}
}

// expire ends the worker's session, as its lease's end does.
func (k *worker) expire() {
	k.tasks = make(map[string]*workerTask)
	k.session++
	k.answered = k.w.now
}
