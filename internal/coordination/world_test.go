package coordination

import (
	"fmt"
	"math/rand/v2"
	"sort"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"google.golang.org/protobuf/proto"

	"github.com/cobaltvale/cobaltvale/internal/audit"
	"github.com/cobaltvale/cobaltvale/internal/protocol"
	"github.com/cobaltvale/cobaltvale/internal/protocol/meshpb"
	"github.com/cobaltvale/cobaltvale/internal/settings"
)

// world is a deployment on a fake clock: controllers, scripted workers, and
// stand-ins for the state service and the cloud.
type world struct {
	t       testing.TB
	codec   *protocol.Codec
	now     time.Duration
	nodes   map[string]*node
	names   []string
	state   *fakeState
	cloud   *fakeCloud
	workers map[string]*worker
	before  map[string]bool      // members that run the version before, see production
	next    string               // settings.state.next, which only this version knows
	adjust  func(*settings.File) // the settings of each process, as it starts; nil: as in testSettings
	history []*audit.Stream      // what each process has recorded of admissions
	tune    settings.Tuning      // the operators' settings
	started map[string][]*worker // by task: where copies of it were ever started
	runs    uint64
	conns   uint64
	leases  bool                           // workers' leases end by themselves
	lease   time.Duration                  // lease_s of the settings
	onTick  func()                         // after every tick
	onStart func(k *worker, t *workerTask) // a start is carried out
	endless func(name string) bool         // whose tasks don't end by themselves
	onEnded func(k *worker, name string)   // a task that has ended well is reported
}

type node struct {
	w     *world
	name  string
	core  *Core
	up    bool
	still bool // it stands still: nothing of it runs, what comes for it waits
	links map[string]*fakeLink
}

func (w *world) Now() time.Duration { return w.now }

const testSettings = `
member = "%s"
site = "z1"
api_addr = "10.0.0.1:1"
mesh_addr = "10.0.0.1:2"
%s
[external]
cloud = "10.0.0.9:1"
state = "10.0.0.9:2"
[settings]
zones = ["z1", "z2"]
clock_off_ms = 10.0
[[settings.teams]]
name = "red"
cpus = 8.0
cpus_max = 32.0
[[settings.teams]]
name = "blue"
cpus = 8.0
cpus_max = 0.0
[[settings.teams]]
name = "guest"
[settings.workers]
report_s = 2.0
lease_s = 16.0
cancel_s = 40.0
[settings.state]
rps = 600.0
write_rps = 300.0
value_kb = 8.0
txn_ops = 16
[settings.cloud]
rps = 30.0
list_lag_s = 6.0
[settings.limits]
cores = 0.1
mem_mb = 100.0
sockets = 500
`

func newWorld(t testing.TB, names ...string) *world {
	t.Helper()
	return newWorldOf(t, "", nil, names...)
}

// newWorldOf has limits that the state service will have later, and members that
// run the version before.
func newWorldOf(t testing.TB, next string, before []string, names ...string) *world {
	t.Helper()
	w := prepareWorld(t, next, before, names...)
	w.startAll()
	return w
}

// prepareWorld makes a world none of whose processes has started.
func prepareWorld(t testing.TB, next string, before []string, names ...string) *world {
	t.Helper()
	codec, err := protocol.NewCodec()
	if err != nil {
		t.Fatal(err)
	}
	w := &world{t: t, codec: codec, now: time.Hour, nodes: make(map[string]*node), names: names, workers: make(map[string]*worker), before: make(map[string]bool),
		started: make(map[string][]*worker), tune: settings.DefaultTuning(), lease: testLease}
	w.next = next
	for _, n := range before {
		w.before[n] = true
	}
	w.state = newFakeState(w)
	w.cloud = &fakeCloud{w: w, answers: make(map[string][]string)}
	for _, n := range names {
		w.nodes[n] = &node{w: w, name: n, links: make(map[string]*fakeLink)}
	}
	return w
}

// startAll starts a process of every member, and waits until one leads.
func (w *world) startAll() {
	for _, n := range w.names {
		w.start(n)
	}
	w.advance(8 * time.Second)
}

// start starts a process of a member.
func (w *world) start(name string) *node {
	n := w.nodes[name]
	known := ""
	for _, o := range w.names {
		if o != name {
			known += fmt.Sprintf("[[known]]\nmember = %q\nsite = \"z1\"\naddress = \"10.0.0.2:2\"\n", o)
		}
	}
	text := fmt.Appendf(nil, testSettings, name, known)
	if !w.before[name] {
		text = append(text, w.next...)
	}
	file, err := settings.Parse(text)
	if err != nil {
		w.t.Fatal(err)
	}
	if w.adjust != nil {
		w.adjust(file)
	}
	tune := w.tune
	if w.before[name] {
		tune.QuotaEscrow = false
	}
	w.runs++
	stream := &audit.Stream{Name: fmt.Sprint(name, "-", w.runs), HasLastSegment: true}
	w.history = append(w.history, stream)
	core, err := New(file, tune, Env{
		Clock: w, Wall: func() time.Time { return time.Unix(1e9, 0).Add(w.now) },
		Rand:  rand.New(rand.NewPCG(1, w.runs)),
		State: &fakeCaller{w: w, n: n, run: w.runs, serve: w.state.serve}, Cloud: &fakeCaller{w: w, n: n, run: w.runs, serve: w.cloud.serve},
		Log: zerolog.Nop(), Audit: func(r audit.Record) {
			r.Seq = uint64(len(stream.Records) + 1)
			stream.Records = append(stream.Records, r)
		},
	}, w.runs)
	if err != nil {
		w.t.Fatal(err)
	}
	if w.before[name] {
		core.me.RecordFormat = 0 // its own key says what that version's does
	}
	n.core, n.up = core, true
	for _, o := range w.names {
		if o != name && w.nodes[o].up {
			w.connect(name, o)
		}
	}
	return n
}

func (w *world) connect(a, b string) {
	na, nb := w.nodes[a], w.nodes[b]
	la, lb := &fakeLink{w: w, to: nb, toCore: nb.core}, &fakeLink{w: w, to: na, toCore: na.core}
	la.peer, lb.peer = lb, la
	na.links[b], nb.links[a] = la, lb
	na.core.LinkUp(la, b)
	nb.core.LinkUp(lb, a)
}

// cut ends the stream between two members, in both directions.
func (w *world) cut(a, b string) {
	na, nb := w.nodes[a], w.nodes[b]
	if l := na.links[b]; l != nil {
		l.Close()
		l.peer.Close()
		delete(na.links, b)
		delete(nb.links, a)
	}
	w.settle()
}

// crash ends a process without a word.
func (w *world) crash(name string) {
	n := w.nodes[name]
	n.up = false
	for _, o := range w.names {
		if o != name {
			w.cut(name, o)
		}
	}
}

// standStill stops a process while its clock runs on. After four seconds the
// others take its silence for a cut; what they sent before waits for it.
func (w *world) standStill(name string, d time.Duration) {
	n := w.nodes[name]
	n.still = true
	w.run(4 * time.Second)
	for _, o := range w.names {
		if o != name && w.nodes[o].up {
			w.nodes[o].core.LinkDown(w.nodes[o].links[name])
		}
	}
	w.run(d - 4*time.Second)
}

// goOn lets a process that stood still go on, with all that has waited for it.
func (w *world) goOn(name string) {
	w.nodes[name].still = false
	w.settle()
}

// reconnect ends the streams of a process that stood still and begins new ones.
func (w *world) reconnect(name string) {
	n := w.nodes[name]
	for _, o := range w.names {
		if o != name {
			n.core.LinkDown(n.links[o])
			w.connect(name, o)
		}
	}
	w.settle()
}

type fakeLink struct {
	w      *world
	to     *node
	toCore *Core
	peer   *fakeLink
	queue  []*meshpb.Frame
	closed bool
}

func (l *fakeLink) Send(f *meshpb.Frame) {
	if n := proto.Size(f); n > 1<<20 {
		l.w.t.Fatalf("a frame of %d bytes", n)
	}
	if !l.closed {
		if l.w.before[l.peer.to.name] {
			f = withoutUnknownTasks(l.peer.to.core.leader, l.to.name, f)
		} else {
			l.w.checkLists(l.peer.to.core.leader, l.to, f)
		}
		if l.w.before[l.to.name] || l.w.before[l.peer.to.name] {
			f = production.asRead(l.w.t, f)
		}
		l.queue = append(l.queue, f)
	}
}

func (l *fakeLink) Flush() {}

func (l *fakeLink) Close() {
	if l.closed {
		return
	}
	l.closed = true
	if l.peer.toCore != nil && l.w.nodes[l.peer.to.name].core == l.peer.toCore {
		l.peer.toCore.LinkDown(l)
	}
}

// settle delivers everything that is on its way.
func (w *world) settle() {
	for again := true; again; {
		again = false
		for _, name := range w.names {
			n := w.nodes[name]
			if !n.up || n.still {
				continue
			}
			n.core.EndBatch()
			for _, o := range w.names {
				l := n.links[o]
				if l == nil || len(l.queue) == 0 || l.to.still {
					continue
				}
				f := l.queue[0]
				l.queue = l.queue[1:]
				again = true
				if l.to.up && l.to.core == l.toCore {
					l.toCore.LinkFrame(l.peer, f)
					l.toCore.EndBatch()
				}
			}
		}
	}
}

func (w *world) advance(d time.Duration) {
	for end := w.now + d; w.now < end; {
		w.now += tickEvery
		w.state.tick()
		for _, name := range w.names {
			if n := w.nodes[name]; n.up && !n.still {
				n.core.Tick()
			}
		}
		w.settle()
		if w.leases {
			for _, k := range w.workers {
				if w.now-k.answered > w.lease {
					k.expire()
				}
			}
		}
		if w.onTick != nil {
			w.onTick()
		}
	}
}

// testLease is lease_s of testSettings.
const testLease = 16 * time.Second

// run advances while all workers report every second or so.
func (w *world) run(d time.Duration) {
	for end := w.now + d; w.now < end; {
		w.advance(time.Second)
		for _, name := range w.workerNames() {
			w.workers[name].report()
		}
	}
}

func (w *world) workerNames() []string {
	var names []string
	for n := range w.workers {
		names = append(names, n)
	}
	sort.Strings(names)
	return names
}

func (w *world) leader() *node {
	for _, name := range w.names {
		if n := w.nodes[name]; n.up && !n.still && n.core.leader != nil && n.core.session.mayAct(w.now) {
			return n
		}
	}
	w.t.Fatal("nobody leads")
	return nil
}

// follower returns a running member that does not lead.
func (w *world) follower() *node {
	for _, name := range w.names {
		if n := w.nodes[name]; n.up && n.core.leader == nil {
			return n
		}
	}
	w.t.Fatal("no follower")
	return nil
}

// call sends an HTTP request and returns the answer, or a Status of 0 while
// there is none.
func (n *node) call(method, path string, body []byte) *Response {
	return n.callOn(0, method, path, body)
}

// callOn sends it on a connection of the given number.
func (n *node) callOn(conn uint64, method, path string, body []byte) *Response {
	out := &Response{}
	n.core.HandleHTTP(&Request{Method: method, Path: path, Body: body, Conn: conn}, func(r Response) {
		if out.Status != 0 {
			n.w.t.Fatal("answered twice")
		}
		*out = r
	})
	n.w.settle()
	return out
}

type jobForm map[string]any

func form(id string, tasks int) jobForm {
	return jobForm{"nameId": id, "desk": "d", "crew": "blue", "form": "batch", "urgency": "standard", "pages": tasks,
		"vcpus": 2.0, "cards": 0.0, "ramGb": 4.0, "plate": "img", "imageGb": 1.0, "breeds": nil, "hall": nil,
		"together": false, "apart": false, "loaners": true, "expectedS": 30.0, "proofEveryS": 0.0, "proofS": 0.0, "pressByS": nil}
}

func (f jobForm) with(key string, v any) jobForm {
	f[key] = v
	return f
}

func (n *node) submit(f jobForm) *Response {
	r := n.call("POST", "/submissions", n.w.codec.Encode(map[string]any(f)))
	n.w.advance(tickEvery) // until the leader has put it in order
	return r
}

func (n *node) poll(id string) (int, protocol.JobStatus) {
	r := n.call("GET", "/submissions/"+id, nil)
	var s protocol.JobStatus
	if r.Status == 200 {
		if err := n.w.codec.Decode(r.Body, &s); err != nil {
			n.w.t.Fatal(err)
		}
	}
	return r.Status, s
}

func (n *node) abort(id string) (int, string) {
	r := n.call("POST", "/submissions/"+id+"/abort", nil)
	var s protocol.JobStatus
	if r.Status == 200 {
		if err := n.w.codec.Decode(r.Body, &s); err != nil {
			n.w.t.Fatal(err)
		}
	}
	return r.Status, s.Status
}
