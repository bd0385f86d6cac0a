package coordination

import (
	"fmt"
	"math/rand/v2"
	"net/url"
	"sort"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"google.golang.org/protobuf/proto"

	"github.com/cobaltvale/cobaltvale/internal/protocol"
	"github.com/cobaltvale/cobaltvale/internal/protocol/meshpb"
	"github.com/cobaltvale/cobaltvale/internal/settings"
	"github.com/cobaltvale/cobaltvale/internal/storage"
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
	before  map[string]bool // members that run the version before, see production
	next    string          // settings.state.next, which only this version knows
	runs    uint64
	conns   uint64
	leases  bool                           // workers' leases end by themselves
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
	codec, err := protocol.NewCodec()
	if err != nil {
		t.Fatal(err)
	}
	w := &world{t: t, codec: codec, now: time.Hour, nodes: make(map[string]*node), names: names, workers: make(map[string]*worker), before: make(map[string]bool)}
	w.next = next
	for _, n := range before {
		w.before[n] = true
	}
	w.state = newFakeState(w)
	w.cloud = &fakeCloud{w: w, answers: make(map[string][]string)}
	for _, n := range names {
		w.nodes[n] = &node{w: w, name: n, links: make(map[string]*fakeLink)}
	}
	for _, n := range names {
		w.start(n)
	}
	w.advance(8 * time.Second)
	return w
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
	w.runs++
	core, err := New(file, settings.DefaultTuning(), Env{
		Clock: w, Wall: func() time.Time { return time.Unix(1e9, 0).Add(w.now) },
		Rand:  rand.New(rand.NewPCG(1, w.runs)),
		State: &fakeCaller{w: w, n: n, run: w.runs, serve: w.state.serve}, Cloud: &fakeCaller{w: w, n: n, run: w.runs, serve: w.cloud.serve},
		Log: zerolog.Nop(),
	}, w.runs)
	if err != nil {
		w.t.Fatal(err)
	}
	if w.before[name] {
		core.me.Records = 0 // its own key says what that version's does
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
				if w.now-k.answered > testLease {
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
		k.sentTo = to.ReportTo
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
	var a protocol.ReportAnswer
	if err := k.w.codec.Decode(body, &a); err != nil {
		k.w.t.Fatal(err)
	}
	if a.Token < k.token {
		return
	}
	k.token = a.Token
	for _, c := range a.Commands {
		key := c.Task + "#" + strconv.FormatUint(c.Attempt, 10)
		t := k.tasks[key]
		switch {
		case c.Op == protocol.VerbStart && t == nil && !k.neverStart:
			k.w.checkAlone(c.Task, k)
			k.starts++
			k.tasks[key] = &workerTask{name: c.Task, attempt: c.Attempt, state: "running", since: k.w.now}
			if k.w.onStart != nil {
				k.w.onStart(k, k.tasks[key])
			}
		case c.Op == protocol.VerbStop && t != nil && t.state != "ended":
			t.state, t.why = "ended", "halted"
		case c.Op == protocol.VerbForget && t != nil && t.state == "ended":
			delete(k.tasks, key)
		}
	}
}

// checkAlone is the rule ran_twice.
func (w *world) checkAlone(task string, on *worker) {
	if _, bench := w.t.(*testing.B); bench {
		return // it would cost more than what is measured
	}
	for _, k := range w.workers {
		for _, t := range k.tasks {
			if t.name == task && t.state != "ended" {
				w.t.Fatalf("%s is started on %s while it runs on %s", task, on.name, k.name)
			}
		}
	}
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

// fakeCaller serves calls at once, unless the node is cut off.
type fakeCaller struct {
	w     *world
	n     *node
	run   uint64
	serve func(from string, method, path string, body []byte, done func(storage.Result))
}

func (f *fakeCaller) Call(method, path string, body []byte, _ time.Duration, done func(storage.Result)) {
	core := f.n.core
	f.serve(f.n.name, method, path, body, func(r storage.Result) {
		if f.n.up && f.n.core != nil && (core == nil || f.n.core == core) {
			f.n.core.later(func() { done(r) })
		}
	})
}

// fakeState is the state service.
type fakeState struct {
	w             *world
	rev           uint64
	keys          map[string]*stateKey
	leases        map[uint64]*stateLease
	leaseN        uint64
	changes       []stateChange
	watches       []*stateWatch
	away          map[string]bool // members that get 503; "" is all of them
	hidden        string          // a prefix whose listings get 503
	silentWatches map[string]bool // members whose watches tell nothing
	// onTxn may take a transaction over: it returns true to swallow it, and
	// may apply it later.
	onTxn  func(from string, t *protocol.Txn, apply func() storage.Result, done func(storage.Result)) bool
	limits *stateLimits // beyond them it refuses; nil: none
	txns   int
	writes int // changes that were asked for
	asked  int // requests, but for watches and renewals
}

type stateKey struct {
	value []byte
	stamp uint64
	lease uint64
}

type stateLease struct {
	ttl, end time.Duration
}

type stateChange struct {
	rev uint64
	ev  map[string]any
	key string
}

type stateWatch struct {
	of     string // a member; while it is refused its watches wait
	prefix string
	from   uint64
	until  time.Duration
	done   func(storage.Result)
}

func newFakeState(w *world) *fakeState {
	return &fakeState{w: w, keys: make(map[string]*stateKey), leases: make(map[uint64]*stateLease), away: make(map[string]bool), silentWatches: make(map[string]bool)}
}

func (s *fakeState) answer(done func(storage.Result), status int, v any) {
	done(storage.Result{Status: status, Body: s.w.codec.Encode(v)})
}

func (s *fakeState) serve(from, method, path string, body []byte, done func(storage.Result)) {
	if (s.away[from] || s.away[""]) && !strings.HasPrefix(path, "/watch") {
		s.answer(done, 503, map[string]any{"error": "trouble"})
		return
	}
	u, err := url.Parse(path)
	if err != nil {
		s.w.t.Fatal(err)
	}
	if u.Path != "/watch" && !strings.HasPrefix(path, "/leases") {
		s.asked++
	}
	switch {
	case path == "/multi":
		var t protocol.Txn
		if err := s.w.codec.Decode(body, &t); err != nil {
			s.w.t.Fatal(err)
		}
		apply := func() storage.Result {
			var out storage.Result
			s.txn(&t, func(r storage.Result) { out = r })
			return out
		}
		s.txns++
		s.writes += len(t.Then)
		if refused := s.beyondLimits(from, &t); refused != 0 {
			s.answer(done, refused, map[string]any{"error": "limits"})
			return
		}
		if s.onTxn != nil && s.onTxn(from, &t, apply, done) {
			return
		}
		done(apply())
	case path == "/leases":
		var q protocol.LeaseRequest
		if err := s.w.codec.Decode(body, &q); err != nil {
			s.w.t.Fatal(err)
		}
		s.leaseN++
		ttl := time.Duration(q.TTLMs) * time.Millisecond
		s.leases[s.leaseN] = &stateLease{ttl: ttl, end: s.w.now + ttl}
		s.answer(done, 200, protocol.LeaseAnswer{Lease: s.leaseN})
	case strings.HasSuffix(path, "/touch"):
		id, err := strconv.ParseUint(strings.Split(path, "/")[2], 10, 64)
		if err != nil {
			s.w.t.Fatal(err)
		}
		l := s.leases[id]
		if l == nil {
			s.answer(done, 404, map[string]any{})
			return
		}
		l.end = s.w.now + l.ttl
		s.answer(done, 200, map[string]any{})
	case u.Path == "/kv":
		s.list(u.Query(), done)
	case u.Path == "/watch":
		since, err := strconv.ParseUint(u.Query().Get("from"), 10, 64)
		if err != nil {
			s.w.t.Fatal(err)
		}
		s.watches = append(s.watches, &stateWatch{from, u.Query().Get("under"), since, s.w.now + 8*time.Second, done})
		s.pumpWatches()
	case method == "GET":
		key := strings.TrimPrefix(path, "/kv/")
		k := s.keys[key]
		if k == nil {
			s.answer(done, 404, map[string]any{"edition": s.rev})
			return
		}
		s.answer(done, 200, protocol.Pair{Key: key, Value: k.value, Stamp: k.stamp, Lease: k.lease})
	default:
		s.w.t.Fatalf("state service was asked for %s %s", method, path)
	}
}

func (s *fakeState) list(q url.Values, done func(storage.Result)) {
	if s.hidden != "" && strings.HasPrefix(q.Get("under"), s.hidden) {
		s.answer(done, 503, map[string]any{"error": "trouble"})
		return
	}
	var names []string
	for n := range s.keys {
		if strings.HasPrefix(n, q.Get("under")) && n > q.Get("from") {
			names = append(names, n)
		}
	}
	sort.Strings(names)
	out := protocol.Pairs{Items: []protocol.Pair{}, Revision: s.rev}
	for _, n := range names {
		if len(out.Items) == 3 { // small pages, so that paging is put to use
			out.More = true
			break
		}
		k := s.keys[n]
		out.Items = append(out.Items, protocol.Pair{Key: n, Value: k.value, Stamp: k.stamp, Lease: k.lease})
	}
	s.answer(done, 200, out)
}

func (s *fakeState) txn(t *protocol.Txn, done func(storage.Result)) {
	for _, c := range t.Then {
		if c.Put != "" && c.Lease != 0 && s.leases[c.Lease] == nil {
			s.answer(done, 400, map[string]any{"error": "no such lease"})
			return
		}
	}
	var failed []string
	for _, c := range t.If {
		stamp := uint64(0)
		if k := s.keys[c.Key]; k != nil {
			stamp = k.stamp
		}
		if stamp != c.Stamp {
			failed = append(failed, c.Key)
		}
	}
	if len(failed) > 0 {
		s.answer(done, 409, protocol.TxnAnswer{Failed: failed, Revision: s.rev})
		return
	}
	s.rev++
	for _, c := range t.Then {
		if c.Put != "" {
			s.keys[c.Put] = &stateKey{append([]byte(nil), c.Value...), s.rev, c.Lease}
			s.changes = append(s.changes, stateChange{s.rev, map[string]any{"write": c.Put, "v": c.Value, "stamp": s.rev}, c.Put})
		} else {
			s.remove(c.Delete)
		}
	}
	s.answer(done, 200, protocol.TxnAnswer{Revision: s.rev})
	s.pumpWatches()
}

func (s *fakeState) remove(key string) {
	if s.keys[key] != nil {
		delete(s.keys, key)
		s.changes = append(s.changes, stateChange{s.rev, map[string]any{"drop": key, "stamp": s.rev}, key})
	}
}

func (s *fakeState) pumpWatches() {
	kept := s.watches[:0]
	var ready []func()
	for _, w := range s.watches {
		if s.away[w.of] || s.silentWatches[w.of] {
			kept = append(kept, w)
			continue
		}
		events := []any{}
		for _, c := range s.changes {
			if c.rev > w.from && strings.HasPrefix(c.key, w.prefix) {
				events = append(events, c.ev)
			}
		}
		if len(events) == 0 && s.w.now < w.until {
			kept = append(kept, w)
			continue
		}
		ready = append(ready, func() { s.answer(w.done, 200, map[string]any{"edition": s.rev, "events": events}) })
	}
	s.watches = kept
	for _, fn := range ready {
		fn()
	}
}

func (s *fakeState) tick() {
	if s.away[""] {
		for _, l := range s.leases { // an outage gives all leases their full time again
			l.end = s.w.now + l.ttl
		}
		return
	}
	for id, l := range s.leases {
		if s.w.now >= l.end {
			delete(s.leases, id)
			s.rev++
			for key, k := range s.keys {
				if k.lease == id {
					s.remove(key)
				}
			}
		}
	}
	s.pumpWatches()
}

// fakeCloud rents machines that never come up by themselves: a test adds
// their workers.
type fakeCloud struct {
	w        *world
	machines []cloudMachine
	answers  map[string][]string
	requests []protocol.RentRequest
	released []string
	refuse   bool
	more     []protocol.MachineType // besides m8
	silent   bool                   // carries requests out but gives no answer
	stuck    bool                   // releases nothing
	most     int                    // machines that one request fills; 0: all
	returns  []int                  // names in each release
	older    []cloudMachine         // listed instead, if not nil
	n        int
}

type cloudMachine struct {
	name, zone, status string
	at                 time.Duration
}

func (c *fakeCloud) serve(_, method, path string, body []byte, done func(storage.Result)) {
	answer := func(status int, v any) { done(storage.Result{Status: status, Body: c.w.codec.Encode(v)}) }
	switch {
	case path == "/catalog":
		answer(200, protocol.Catalog{Types: append([]protocol.MachineType{{Name: "m8", CPUs: 8, MemoryGB: 64, CacheGB: 50,
			FetchRate: 1, Price: 1, SpotPrice: 0.3, BootS: 30, Zones: []string{"z1", "z2"}}}, c.more...)})
	case path == "/hosts" && method == "POST":
		var q protocol.RentRequest
		if err := c.w.codec.Decode(body, &q); err != nil {
			c.w.t.Fatal(err)
		}
		c.requests = append(c.requests, q)
		if c.refuse {
			answer(503, map[string]any{"error": "no capacity"})
			return
		}
		names, ok := c.answers[q.Request]
		for i := 0; !ok && i < q.Count && (c.most == 0 || i < c.most); i++ {
			c.n++
			name := fmt.Sprintf("vm-9%05d", c.n)
			names = append(names, name)
			c.machines = append(c.machines, cloudMachine{name, q.Zone, "starting", c.w.now})
		}
		c.answers[q.Request] = names
		if c.silent {
			done(storage.Result{})
			return
		}
		answer(200, protocol.MachineNames{Machines: names})
	case path == "/hosts/release" && c.stuck:
		answer(503, map[string]any{"error": "trouble"})
	case path == "/hosts/release":
		var q protocol.MachineNames
		if err := c.w.codec.Decode(body, &q); err != nil {
			c.w.t.Fatal(err)
		}
		c.returns = append(c.returns, len(q.Machines))
		for _, n := range q.Machines {
			c.released = append(c.released, n)
			if k := c.w.workers[n]; k != nil {
				k.tasks = nil
				delete(c.w.workers, n)
			}
			for i := range c.machines {
				if c.machines[i].name == n {
					c.machines = append(c.machines[:i], c.machines[i+1:]...)
					break
				}
			}
		}
		answer(200, map[string]any{})
	default:
		out := protocol.MachineList{Machines: []protocol.ListedMachine{}}
		listed := c.machines
		if c.older != nil {
			listed = c.older
		}
		for _, m := range listed {
			if c.w.now-m.at < 6*time.Second {
				continue // lists lag
			}
			out.Machines = append(out.Machines, protocol.ListedMachine{ID: m.name, Type: "m8", Zone: m.zone, Status: m.status, AgeS: (c.w.now - m.at).Seconds()})
		}
		answer(200, out)
	}
}
