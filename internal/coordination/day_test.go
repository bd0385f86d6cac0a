package coordination

import (
	"fmt"
	"math/rand/v2"
	"strings"
	"testing"
	"time"

	"github.com/cobaltvale/cobaltvale/internal/protocol"
	"github.com/cobaltvale/cobaltvale/internal/storage"
)

// day plays users who check every answer, and machines whose leases end by
// themselves, so that a test only has to bring a meeting of troubles about.
// Every rule of the protocol is looked at ten times a second; checkAlone and
// zones are the worker's.
type day struct {
	*world
	rand      *rand.Rand
	forms     map[string]jobForm
	told      map[string]string // the newest that any node has told of a job
	toldAt    map[string]time.Duration
	aborted   map[string]bool // its user has asked to cancel it
	complete  map[string]bool // tasks that ended well
	repeated  []repeatedQuestion
	late      []lateCall
	n         int                      // jobs
	started   int                      // tasks
	redStarts int                      // of the team red, see divided
	answers   map[string]time.Duration // when a question about a job was last answered
	dies      bool                     // the next node that confirms a cancellation ends as it does
}

// repeatedQuestion is a question that is put to every node for a while.
type repeatedQuestion struct {
	id    string
	until time.Duration
}

type lateCall struct {
	at time.Duration
	fn func()
}

const cancelWithin = 40 * time.Second // cancel_s of testSettings

const toldAccepted = "accepted"

func newDay(t *testing.T, seed uint64, machines int) *day {
	t.Helper()
	return newDayIn(t, newWorld(t, "a", "b", "c"), seed, machines)
}

// newDayIn plays a day of a deployment that is there already.
func newDayIn(t *testing.T, w *world, seed uint64, machines int) *day {
	t.Helper()
	d := &day{world: w, rand: rand.New(rand.NewPCG(seed, 11)), forms: make(map[string]jobForm),
		told: make(map[string]string), toldAt: make(map[string]time.Duration), aborted: make(map[string]bool),
		complete: make(map[string]bool), answers: make(map[string]time.Duration)}
	d.leases = true
	d.lose(0, true)
	d.onTick = d.check
	d.onEnded = func(_ *worker, name string) { d.complete[name] = true }
	d.endless = func(name string) bool {
		id, _, _ := strings.Cut(name, "/")
		return d.isService(id)
	}
	d.onStart = func(k *worker, wt *workerTask) {
		d.started++
		id, _, _ := strings.Cut(wt.name, "/")
		if d.told[id] == protocol.StatusCancelled && d.now-d.toldAt[id] > 100*time.Millisecond {
			t.Fatalf("%s starts %s after its cancellation was confirmed", wt.name, d.now-d.toldAt[id])
		}
		if zone := d.forms[id]["hall"]; zone != nil && zone != k.zone {
			t.Fatalf("%s starts in %s", wt.name, k.zone)
		}
	}
	for i := range machines {
		d.worker(fmt.Sprintf("vm-%02d", i), []string{"z1", "z2"}[i%2])
	}
	d.run(2 * time.Second)
	return d
}

// check looks at the rules, and does what has come due.
func (d *day) check() {
	use := make(map[string]float64)
	for _, k := range d.workers {
		for _, wt := range k.tasks {
			if wt.state == "ended" {
				continue
			}
			id, _, _ := strings.Cut(wt.name, "/")
			f := d.forms[id]
			use[f["crew"].(string)] += f["vcpus"].(float64)
			if d.told[id] == protocol.StatusCancelled && d.now-d.toldAt[id] > cancelWithin {
				d.t.Fatalf("%s is on %s %s after its cancellation was confirmed", wt.name, k.name, d.now-d.toldAt[id])
			}
		}
	}
	if use["red"] > 32 {
		d.t.Fatalf("red uses %v of 32 CPUs", use["red"])
	}
	kept := d.late[:0]
	var due []func()
	for _, l := range d.late {
		if d.now >= l.at {
			due = append(due, l.fn)
			continue
		}
		kept = append(kept, l)
	}
	d.late = kept
	for _, fn := range due {
		fn()
	}
	looks := d.repeated
	d.repeated = nil
	for _, l := range looks {
		d.everywhere(l.id)
		if d.now < l.until {
			d.repeated = append(d.repeated, l)
		}
	}
}

// everywhere asks all nodes about a job and repeats its submission.
func (d *day) everywhere(id string) {
	for _, name := range d.names {
		d.ask(d.nodes[name], "GET", id)
		d.ask(d.nodes[name], "POST", id)
	}
}

// ask puts a question to a node: GET, POST (a submission) or ABORT. Whatever
// it answers may not be older than what any node had told when it was put.
func (d *day) ask(n *node, what, id string) {
	if !n.up || n.still {
		return
	}
	before := d.told[id]
	req := &Request{Method: "GET", Path: "/submissions/" + id}
	switch what {
	case "POST":
		req = &Request{Method: "POST", Path: "/submissions", Body: d.codec.Encode(map[string]any(d.forms[id]))}
	case "ABORT":
		req = &Request{Method: "POST", Path: "/submissions/" + id + "/abort"}
		d.aborted[id] = true
	}
	core := n.core
	core.HandleHTTP(req, func(r Response) {
		if n.core != core || !n.up {
			return // nobody hears it
		}
		d.note(n, what, id, before, r)
	})
}

func (d *day) note(n *node, what, id, before string, r Response) {
	fail := func(rule string) {
		d.t.Helper()
		d.t.Fatalf("%s: %s %s at %s is answered %d after %q", rule, what, id, n.name, r.Status, before)
	}
	switch r.Status {
	case 404, 400, 422:
		if before != "" {
			fail("forgotten")
		}
		return
	case 200, 201:
	default:
		return
	}
	var s protocol.JobStatus
	if err := d.codec.Decode(r.Body, &s); err != nil {
		d.t.Fatal(err)
	}
	d.answers[id] = d.now
	final := s.Status == protocol.StatusDone || s.Status == protocol.StatusCancelled
	switch {
	case d.forms[id] == nil:
		fail("invented")
	case before != "" && before != toldAccepted && s.Status != before:
		fail("went_back to " + s.Status)
	case s.Status == protocol.StatusCancelled && !d.aborted[id]:
		fail("went_back to withdrawn, which nobody asked for")
	case s.Status == protocol.StatusDone:
		for i := range d.forms[id]["pages"].(int) {
			if !d.complete[fmt.Sprintf("%s/%d", id, i)] {
				fail("not_done")
			}
		}
	}
	news := s.Status
	if !final {
		news = toldAccepted
	}
	if d.told[id] == "" || (final && d.told[id] == toldAccepted) {
		d.told[id], d.toldAt[id] = news, d.now
		d.repeated = append(d.repeated, repeatedQuestion{id, d.now + 500*time.Millisecond})
		if d.dies && news == protocol.StatusCancelled && n.core.owner.jobs[id] == nil {
			d.dies, n.up = false, false // nothing that it has not sent yet is sent
			d.late = append(d.late, lateCall{d.now, func() { d.crash(n.name) }})
		}
	}
}

// submit hands a new job in at a node and returns its id.
func (d *day) submit(n *node, pages int, with ...any) string {
	d.n++
	id := fmt.Sprint("wk-", d.n)
	f := form(id, pages)
	for i := 0; i+1 < len(with); i += 2 {
		f = f.with(with[i].(string), with[i+1])
	}
	d.forms[id] = f
	d.ask(n, "POST", id)
	return id
}

// submitService hands a new service in at a node.
func (d *day) submitService(n *node, replicas int, with ...any) string {
	return d.submit(n, replicas, append([]any{"form", "service", "urgency", "production", "expectedS", 0.0}, with...)...)
}

func (d *day) isService(id string) bool { return d.forms[id]["form"] == "service" }

func (d *day) anyNode() *node { return d.nodes[d.names[d.rand.IntN(len(d.names))]] }

// accepted returns the jobs that go on for all that was told.
func (d *day) accepted() []string {
	var out []string
	for i := range d.n {
		if id := fmt.Sprint("wk-", i+1); d.told[id] == toldAccepted {
			out = append(out, id)
		}
	}
	return out
}

// cancelSome asks at some node to cancel some jobs that go on.
func (d *day) cancelSome(n int) {
	for _, id := range d.accepted() {
		if n > 0 && d.rand.IntN(2) == 0 {
			d.ask(d.anyNode(), "ABORT", id)
			n--
		}
	}
}

// again repeats the cancellations that were not confirmed.
func (d *day) again() {
	for _, id := range d.accepted() {
		if d.aborted[id] {
			d.ask(d.anyNode(), "ABORT", id)
		}
	}
}

// play lets seconds pass; each does what a script says, and users go on asking.
func (d *day) play(seconds int, script func(second int)) {
	for i := range seconds {
		script(i)
		d.run(time.Second)
		d.boot(3 * time.Second)
		d.again()
		if ids := d.accepted(); len(ids) > 0 {
			d.ask(d.anyNode(), "GET", ids[d.rand.IntN(len(ids))])
		}
	}
}

// restoreAll starts all nodes that are down and mends the mesh.
func (d *day) restoreAll() {
	for _, name := range d.names {
		if n := d.nodes[name]; !n.up {
			d.crash(name) // one that died as it spoke
			d.start(name)
		}
	}
	for i, name := range d.names {
		for _, o := range d.names[i+1:] {
			if l := d.nodes[name].links[o]; l == nil || l.closed {
				d.connect(name, o)
			}
		}
	}
}

// end ends all troubles. From then on every job has to be known within 75 s, and
// whatever was not cancelled has to be done: nothing waits 90 s while there is
// room.
func (d *day) end() {
	clear(d.state.away)
	clear(d.state.silentWatches)
	d.lose(0, true)
	d.cloud.refuse, d.cloud.silent, d.cloud.stuck = false, false, false
	d.dies = false
	d.restoreAll()
	for _, k := range d.workers {
		k.hung, k.deaf, k.neverStart = false, false, false
		if k.takes == 0 {
			k.takes = 3 * time.Second
		}
	}
	at := d.now
	quiet := func(int) {
		for _, id := range d.accepted() {
			d.ask(d.anyNode(), "GET", id)
		}
	}
	d.play(75, quiet)
	for id := range d.told {
		d.ask(d.anyNode(), "GET", id)
	}
	d.run(3 * time.Second)
	for id := range d.told {
		if d.answers[id] < at {
			d.t.Fatalf("forgotten: no question about %s is answered for 75 s", id)
		}
	}
	d.play(45, quiet)
	for _, id := range d.accepted() {
		if d.isService(id) && !d.aborted[id] {
			if n := len(d.on(id)); n != d.forms[id]["pages"].(int) {
				d.t.Errorf("of %s (%v replicas) %d run 120 s after the last trouble", id, d.forms[id]["pages"], n)
			}
			continue
		}
		d.t.Errorf("%s (%v tasks) is not over 120 s after the last trouble, cancelled: %v", id, d.forms[id]["pages"], d.aborted[id])
	}
}

// lose has a share of the transactions get no answer; they are carried out at
// once, or 2 to 12 s later. Others are answered up to 0.3 s after they were.
func (d *day) lose(share float64, atOnce bool) {
	d.state.onTxn = func(_ string, _ *protocol.Transaction, apply func() storage.Response, done func(storage.Response)) bool {
		lost := d.rand.Float64() < share
		if lost && !atOnce {
			d.late = append(d.late, lateCall{d.now + 2*time.Second + time.Duration(d.rand.Int64N(int64(10*time.Second))), func() { apply() }})
		}
		r := storage.Response{}
		if !lost {
			r = apply()
		} else if atOnce {
			apply()
		}
		d.late = append(d.late, lateCall{d.now + time.Duration(d.rand.Int64N(int64(300*time.Millisecond))), func() { done(r) }})
		return true
	}
}
