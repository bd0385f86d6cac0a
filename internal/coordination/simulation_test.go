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

// simulation is a deployment on a fake clock: controllers, scripted workers, and
// stand-ins for the state service and the cloud.
type simulation struct {
	t               testing.TB
	codec           *protocol.Codec
	now             time.Duration
	nodes           map[string]*node
	names           []string
	state           *fakeState
	cloud           *fakeCloud
	agents          map[string]*machineAgent
	previousVersion map[string]bool            // members that run the version before, see production
	nextLimits      string                     // settings.state.next, which only this version knows
	adjustSettings  func(*settings.File)       // the settings of each process, as it starts; nil: as in testSettings
	auditStreams    []*audit.Stream            // what each process has recorded of admissions
	tuning          settings.Tuning            // the operators' settings
	startedOn       map[string][]*machineAgent // by task: where copies of it were ever started
	lastProcess     uint64
	lastConnection  uint64
	expireLeases    bool                                // workers' leases end by themselves
	workerLease     time.Duration                       // lease_s of the settings
	onTick          func()                              // after every tick
	onStart         func(k *machineAgent, t *agentTask) // a start is carried out
	isEndless       func(name string) bool              // whose tasks don't end by themselves
	onTaskDone      func(k *machineAgent, name string)  // a task that has ended well is reported
}

type node struct {
	sim        *simulation
	name       string
	controller *Controller
	up         bool
	paused     bool // it stands still: nothing of it runs, what comes for it waits
	links      map[string]*fakeLink
}

func (sim *simulation) Now() time.Duration { return sim.now }

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

func newSimulation(t testing.TB, names ...string) *simulation {
	t.Helper()
	return newSimulationWith(t, "", nil, names...)
}

// newSimulationWith has limits that the state service will have later, and members that
// run the version before.
func newSimulationWith(t testing.TB, next string, before []string, names ...string) *simulation {
	t.Helper()
	sim := prepareSimulation(t, next, before, names...)
	sim.startAll()
	return sim
}

// prepareSimulation makes a world none of whose processes has started.
func prepareSimulation(t testing.TB, next string, before []string, names ...string) *simulation {
	t.Helper()
	codec, err := protocol.NewCodec()
	if err != nil {
		t.Fatal(err)
	}
	sim := &simulation{t: t, codec: codec, now: time.Hour, nodes: make(map[string]*node), names: names, agents: make(map[string]*machineAgent), previousVersion: make(map[string]bool),
		startedOn: make(map[string][]*machineAgent), tuning: settings.DefaultTuning(), workerLease: testLease}
	sim.nextLimits = next
	for _, name := range before {
		sim.previousVersion[name] = true
	}
	sim.state = newFakeState(sim)
	sim.cloud = &fakeCloud{sim: sim, answers: make(map[string][]string)}
	for _, name := range names {
		sim.nodes[name] = &node{sim: sim, name: name, links: make(map[string]*fakeLink)}
	}
	return sim
}

// startAll starts a process of every member, and waits until one leads.
func (sim *simulation) startAll() {
	for _, name := range sim.names {
		sim.start(name)
	}
	sim.advance(8 * time.Second)
}

// start starts a process of a member.
func (sim *simulation) start(name string) *node {
	n := sim.nodes[name]
	known := ""
	for _, other := range sim.names {
		if other != name {
			known += fmt.Sprintf("[[known]]\nmember = %q\nsite = \"z1\"\naddress = \"10.0.0.2:2\"\n", other)
		}
	}
	text := fmt.Appendf(nil, testSettings, name, known)
	if !sim.previousVersion[name] {
		text = append(text, sim.nextLimits...)
	}
	file, err := settings.Parse(text)
	if err != nil {
		sim.t.Fatal(err)
	}
	if sim.adjustSettings != nil {
		sim.adjustSettings(file)
	}
	tune := sim.tuning
	if sim.previousVersion[name] {
		tune.QuotaEscrow = false
	}
	sim.lastProcess++
	stream := &audit.Stream{Name: fmt.Sprint(name, "-", sim.lastProcess), HasLastSegment: true}
	sim.auditStreams = append(sim.auditStreams, stream)
	controller, err := New(file, tune, Env{
		Clock: sim, Wall: func() time.Time { return time.Unix(1e9, 0).Add(sim.now) },
		Rand:  rand.New(rand.NewPCG(1, sim.lastProcess)),
		State: &fakeCaller{sim: sim, node: n, process: sim.lastProcess, serve: sim.state.serve}, Cloud: &fakeCaller{sim: sim, node: n, process: sim.lastProcess, serve: sim.cloud.serve},
		Log: zerolog.Nop(), Audit: func(r audit.Record) {
			r.Seq = uint64(len(stream.Records) + 1)
			stream.Records = append(stream.Records, r)
		},
	}, sim.lastProcess)
	if err != nil {
		sim.t.Fatal(err)
	}
	if sim.previousVersion[name] {
		controller.identity.RecordFormat = 0 // its own key says what that version's does
		controller.election = newElection(controller)
	}
	n.controller, n.up = controller, true
	for _, other := range sim.names {
		if other != name && sim.nodes[other].up {
			sim.connect(name, other)
		}
	}
	return n
}

func (sim *simulation) connect(a, b string) {
	na, nb := sim.nodes[a], sim.nodes[b]
	la, lb := &fakeLink{sim: sim, to: nb, toController: nb.controller}, &fakeLink{sim: sim, to: na, toController: na.controller}
	la.peer, lb.peer = lb, la
	na.links[b], nb.links[a] = la, lb
	na.controller.LinkUp(la, b)
	nb.controller.LinkUp(lb, a)
}

// disconnect ends the stream between two members, in both directions.
func (sim *simulation) disconnect(a, b string) {
	na, nb := sim.nodes[a], sim.nodes[b]
	if l := na.links[b]; l != nil {
		l.Close()
		l.peer.Close()
		delete(na.links, b)
		delete(nb.links, a)
	}
	sim.deliverAll()
}

// crash ends a process without a word.
func (sim *simulation) crash(name string) {
	n := sim.nodes[name]
	n.up = false
	for _, other := range sim.names {
		if other != name {
			sim.disconnect(name, other)
		}
	}
}

// pause stops a process while its clock runs on. After four seconds the
// others take its silence for a cut; what they sent before waits for it.
func (sim *simulation) pause(name string, d time.Duration) {
	n := sim.nodes[name]
	n.paused = true
	sim.run(4 * time.Second)
	for _, other := range sim.names {
		if other != name && sim.nodes[other].up {
			sim.nodes[other].controller.LinkDown(sim.nodes[other].links[name])
		}
	}
	sim.run(d - 4*time.Second)
}

// resume lets a process that stood still go on, with all that has waited for it.
func (sim *simulation) resume(name string) {
	sim.nodes[name].paused = false
	sim.deliverAll()
}

// reconnect ends the streams of a process that stood still and begins new ones.
func (sim *simulation) reconnect(name string) {
	n := sim.nodes[name]
	for _, other := range sim.names {
		if other != name {
			n.controller.LinkDown(n.links[other])
			sim.connect(name, other)
		}
	}
	sim.deliverAll()
}

type fakeLink struct {
	sim          *simulation
	to           *node
	toController *Controller
	peer         *fakeLink
	queue        []*meshpb.Frame
	closed       bool
}

func (l *fakeLink) Send(f *meshpb.Frame) {
	if n := proto.Size(f); n > 1<<20 {
		l.sim.t.Fatalf("a frame of %d bytes", n)
	}
	if !l.closed {
		if l.sim.previousVersion[l.peer.to.name] {
			f = withoutUnknownTasks(l.peer.to.controller, l.to.name, f)
		} else {
			l.sim.checkStatusesComplete(l.peer.to.controller, l.to, f)
		}
		if l.sim.previousVersion[l.to.name] || l.sim.previousVersion[l.peer.to.name] {
			f = previousSchema.filter(l.sim.t, f)
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
	if l.peer.toController != nil && l.sim.nodes[l.peer.to.name].controller == l.peer.toController {
		l.peer.toController.LinkDown(l)
	}
}

// deliverAll delivers everything that is on its way.
func (sim *simulation) deliverAll() {
	for again := true; again; {
		again = false
		for _, name := range sim.names {
			n := sim.nodes[name]
			if !n.up || n.paused {
				continue
			}
			n.controller.EndBatch()
			for _, other := range sim.names {
				l := n.links[other]
				if l == nil || len(l.queue) == 0 || l.to.paused {
					continue
				}
				f := l.queue[0]
				l.queue = l.queue[1:]
				again = true
				if l.to.up && l.to.controller == l.toController {
					l.toController.LinkFrame(l.peer, f)
					l.toController.EndBatch()
				}
			}
		}
	}
}

func (sim *simulation) advance(d time.Duration) {
	for end := sim.now + d; sim.now < end; {
		sim.now += tickInterval
		sim.state.tick()
		for _, name := range sim.names {
			if n := sim.nodes[name]; n.up && !n.paused {
				n.controller.Tick()
			}
		}
		sim.deliverAll()
		if sim.expireLeases {
			for _, agent := range sim.agents {
				if sim.now-agent.lastAnswered > sim.workerLease {
					agent.expireLease()
				}
			}
		}
		if sim.onTick != nil {
			sim.onTick()
		}
	}
}

// testLease is lease_s of testSettings.
const testLease = 16 * time.Second

// run advances while all workers report every second or so.
func (sim *simulation) run(d time.Duration) {
	for end := sim.now + d; sim.now < end; {
		sim.advance(time.Second)
		for _, name := range sim.agentNames() {
			sim.agents[name].heartbeat()
		}
	}
}

func (sim *simulation) agentNames() []string {
	var names []string
	for name := range sim.agents {
		names = append(names, name)
	}
	sort.Strings(names)
	return names
}

func (sim *simulation) leader() *node {
	for _, name := range sim.names {
		if n := sim.nodes[name]; n.up && !n.paused && n.controller.leader != nil && n.controller.election.MayAct(sim.now) {
			return n
		}
	}
	sim.t.Fatal("nobody leads")
	return nil
}

// follower returns a running member that does not lead.
func (sim *simulation) follower() *node {
	for _, name := range sim.names {
		if n := sim.nodes[name]; n.up && n.controller.leader == nil {
			return n
		}
	}
	sim.t.Fatal("no follower")
	return nil
}

// call sends an HTTP request and returns the answer, or a Status of 0 while
// there is none.
func (n *node) call(method, path string, body []byte) *Response {
	return n.callOnConnection(0, method, path, body)
}

// callOnConnection sends it on a connection of the given number.
func (n *node) callOnConnection(conn uint64, method, path string, body []byte) *Response {
	out := &Response{}
	n.controller.HandleHTTP(&Request{Method: method, Path: path, Body: body, Conn: conn}, func(r Response) {
		if out.Status != 0 {
			n.sim.t.Fatal("answered twice")
		}
		*out = r
	})
	n.sim.deliverAll()
	return out
}

type jobRequest map[string]any

func batchJob(id string, tasks int) jobRequest {
	return jobRequest{"nameId": id, "desk": "d", "crew": "blue", "form": "batch", "urgency": "standard", "pages": tasks,
		"vcpus": 2.0, "cards": 0.0, "ramGb": 4.0, "plate": "img", "imageGb": 1.0, "breeds": nil, "hall": nil,
		"together": false, "apart": false, "loaners": true, "expectedS": 30.0, "proofEveryS": 0.0, "proofS": 0.0, "pressByS": nil}
}

func (request jobRequest) with(key string, v any) jobRequest {
	request[key] = v
	return request
}

func (n *node) submit(request jobRequest) *Response {
	r := n.call("POST", "/submissions", n.sim.codec.Encode(map[string]any(request)))
	n.sim.advance(tickInterval) // until the leader has put it in order
	return r
}

func (n *node) status(id string) (int, protocol.JobStatus) {
	r := n.call("GET", "/submissions/"+id, nil)
	var s protocol.JobStatus
	if r.Status == 200 {
		if err := n.sim.codec.Decode(r.Body, &s); err != nil {
			n.sim.t.Fatal(err)
		}
	}
	return r.Status, s
}

func (n *node) cancel(id string) (int, string) {
	r := n.call("POST", "/submissions/"+id+"/abort", nil)
	var s protocol.JobStatus
	if r.Status == 200 {
		if err := n.sim.codec.Decode(r.Body, &s); err != nil {
			n.sim.t.Fatal(err)
		}
	}
	return r.Status, s.Status
}
