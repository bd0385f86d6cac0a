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
	T               testing.TB
	Codec           *protocol.Codec
	now             time.Duration
	Nodes           map[string]*Node
	Names           []string
	State           *State
	Cloud           *Cloud
	Agents          map[string]*Agent
	PreviousVersion map[string]bool      // members that run the version before, see production
	NextLimits      string               // settings.state.next, which only this version knows
	AdjustSettings  func(*settings.File) // the settings of each process, as it starts; nil: as in testSettings
	AuditStreams    []*audit.Stream      // what each process has recorded of admissions
	Tuning          settings.Tuning      // the operators' settings
	startedOn       map[string][]*Agent  // by task: where copies of it were ever started
	lastProcess     uint64
	lastConnection  uint64
	ExpireLeases    bool                         // workers' leases end by themselves
	WorkerLease     time.Duration                // lease_s of the settings
	OnTick          func()                       // after every tick
	OnStart         func(k *Agent, t *AgentTask) // a start is carried out
	IsEndless       func(name string) bool       // whose tasks don't end by themselves
	OnTaskDone      func(k *Agent, name string)  // a task that has ended well is reported
}

type Node struct {
	sim        *simulation
	Name       string
	controller *Controller
	Up         bool
	Paused     bool // it stands still: nothing of it runs, what comes for it waits
	Links      map[string]*Stream
}

func (sim *simulation) Now() time.Duration { return sim.now }

const settingsFormat = `
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
	sim.StartAll()
	return sim
}

// prepareSimulation makes a world none of whose processes has started.
func prepareSimulation(t testing.TB, next string, before []string, names ...string) *simulation {
	t.Helper()
	codec, err := protocol.NewCodec()
	if err != nil {
		t.Fatal(err)
	}
	sim := &simulation{T: t, Codec: codec, now: time.Hour, Nodes: make(map[string]*Node), Names: names, Agents: make(map[string]*Agent), PreviousVersion: make(map[string]bool),
		startedOn: make(map[string][]*Agent), Tuning: settings.DefaultTuning(), WorkerLease: defaultLease}
	sim.NextLimits = next
	for _, name := range before {
		sim.PreviousVersion[name] = true
	}
	sim.State = newFakeState(sim)
	sim.Cloud = &Cloud{sim: sim, answers: make(map[string][]string)}
	for _, name := range names {
		sim.Nodes[name] = &Node{sim: sim, Name: name, Links: make(map[string]*Stream)}
	}
	return sim
}

// StartAll starts a process of every member, and waits until one leads.
func (sim *simulation) StartAll() {
	for _, name := range sim.Names {
		sim.Start(name)
	}
	sim.Advance(8 * time.Second)
}

// Start starts a process of a member.
func (sim *simulation) Start(name string) *Node {
	n := sim.Nodes[name]
	known := ""
	for _, other := range sim.Names {
		if other != name {
			known += fmt.Sprintf("[[known]]\nmember = %q\nsite = \"z1\"\naddress = \"10.0.0.2:2\"\n", other)
		}
	}
	text := fmt.Appendf(nil, settingsFormat, name, known)
	if !sim.PreviousVersion[name] {
		text = append(text, sim.NextLimits...)
	}
	file, err := settings.Parse(text)
	if err != nil {
		sim.T.Fatal(err)
	}
	if sim.AdjustSettings != nil {
		sim.AdjustSettings(file)
	}
	tune := sim.Tuning
	if sim.PreviousVersion[name] {
		tune.QuotaEscrow = false
	}
	sim.lastProcess++
	stream := &audit.Stream{Name: fmt.Sprint(name, "-", sim.lastProcess), HasLastSegment: true}
	sim.AuditStreams = append(sim.AuditStreams, stream)
	controller, err := New(file, tune, Env{
		Clock: sim, Wall: func() time.Time { return time.Unix(1e9, 0).Add(sim.now) },
		Rand:  rand.New(rand.NewPCG(1, sim.lastProcess)),
		State: &fakeCaller{sim: sim, node: n, process: sim.lastProcess, serve: sim.State.serve}, Cloud: &fakeCaller{sim: sim, node: n, process: sim.lastProcess, serve: sim.Cloud.serve},
		Log: zerolog.Nop(), Audit: func(r audit.Record) {
			r.Seq = uint64(len(stream.Records) + 1)
			stream.Records = append(stream.Records, r)
		},
	}, sim.lastProcess)
	if err != nil {
		sim.T.Fatal(err)
	}
	if sim.PreviousVersion[name] {
		controller.identity.RecordFormat = 0 // its own key says what that version's does
		controller.election = newElection(controller)
	}
	n.controller, n.Up = controller, true
	for _, other := range sim.Names {
		if other != name && sim.Nodes[other].Up {
			sim.Connect(name, other)
		}
	}
	return n
}

func (sim *simulation) Connect(a, b string) {
	na, nb := sim.Nodes[a], sim.Nodes[b]
	la, lb := &Stream{sim: sim, to: nb, toController: nb.controller}, &Stream{sim: sim, to: na, toController: na.controller}
	la.peer, lb.peer = lb, la
	na.Links[b], nb.Links[a] = la, lb
	na.controller.LinkUp(la, b)
	nb.controller.LinkUp(lb, a)
}

// Disconnect ends the stream between two members, in both directions.
func (sim *simulation) Disconnect(a, b string) {
	na, nb := sim.Nodes[a], sim.Nodes[b]
	if l := na.Links[b]; l != nil {
		l.Close()
		l.peer.Close()
		delete(na.Links, b)
		delete(nb.Links, a)
	}
	sim.DeliverAll()
}

// Crash ends a process without a word.
func (sim *simulation) Crash(name string) {
	n := sim.Nodes[name]
	n.Up = false
	for _, other := range sim.Names {
		if other != name {
			sim.Disconnect(name, other)
		}
	}
}

// Pause stops a process while its clock runs on. After four seconds the
// others take its silence for a cut; what they sent before waits for it.
func (sim *simulation) Pause(name string, d time.Duration) {
	n := sim.Nodes[name]
	n.Paused = true
	sim.Run(4 * time.Second)
	for _, other := range sim.Names {
		if other != name && sim.Nodes[other].Up {
			sim.Nodes[other].controller.LinkDown(sim.Nodes[other].Links[name])
		}
	}
	sim.Run(d - 4*time.Second)
}

// Resume lets a process that stood still go on, with all that has waited for it.
func (sim *simulation) Resume(name string) {
	sim.Nodes[name].Paused = false
	sim.DeliverAll()
}

// Reconnect ends the streams of a process that stood still and begins new ones.
func (sim *simulation) Reconnect(name string) {
	n := sim.Nodes[name]
	for _, other := range sim.Names {
		if other != name {
			n.controller.LinkDown(n.Links[other])
			sim.Connect(name, other)
		}
	}
	sim.DeliverAll()
}

type Stream struct {
	sim          *simulation
	to           *Node
	toController *Controller
	peer         *Stream
	Queue        []*meshpb.Frame
	Closed       bool
}

func (l *Stream) Send(f *meshpb.Frame) {
	if n := proto.Size(f); n > 1<<20 {
		l.sim.T.Fatalf("a frame of %d bytes", n)
	}
	if !l.Closed {
		if l.sim.PreviousVersion[l.peer.to.Name] {
			f = withoutUnknownTasks(l.peer.to.controller, l.to.Name, f)
		} else {
			l.sim.checkStatusesComplete(l.peer.to.controller, l.to, f)
		}
		if l.sim.PreviousVersion[l.to.Name] || l.sim.PreviousVersion[l.peer.to.Name] {
			f = previousSchema.filter(l.sim.T, f)
		}
		l.Queue = append(l.Queue, f)
	}
}

func (l *Stream) Flush() {}

func (l *Stream) Close() {
	if l.Closed {
		return
	}
	l.Closed = true
	if l.peer.toController != nil && l.sim.Nodes[l.peer.to.Name].controller == l.peer.toController {
		l.peer.toController.LinkDown(l)
	}
}

// DeliverAll delivers everything that is on its way.
func (sim *simulation) DeliverAll() {
	for again := true; again; {
		again = false
		for _, name := range sim.Names {
			n := sim.Nodes[name]
			if !n.Up || n.Paused {
				continue
			}
			n.controller.EndBatch()
			for _, other := range sim.Names {
				l := n.Links[other]
				if l == nil || len(l.Queue) == 0 || l.to.Paused {
					continue
				}
				f := l.Queue[0]
				l.Queue = l.Queue[1:]
				again = true
				if l.to.Up && l.to.controller == l.toController {
					l.toController.LinkFrame(l.peer, f)
					l.toController.EndBatch()
				}
			}
		}
	}
}

func (sim *simulation) Advance(d time.Duration) {
	for end := sim.now + d; sim.now < end; {
		sim.now += tickInterval
		sim.State.tick()
		for _, name := range sim.Names {
			if n := sim.Nodes[name]; n.Up && !n.Paused {
				n.controller.Tick()
			}
		}
		sim.DeliverAll()
		if sim.ExpireLeases {
			for _, agent := range sim.Agents {
				if sim.now-agent.LastAnswered > sim.WorkerLease {
					agent.ExpireLease()
				}
			}
		}
		if sim.OnTick != nil {
			sim.OnTick()
		}
	}
}

// defaultLease is lease_s of testSettings.
const defaultLease = 16 * time.Second

// Run advances while all workers report every second or so.
func (sim *simulation) Run(d time.Duration) {
	for end := sim.now + d; sim.now < end; {
		sim.Advance(time.Second)
		for _, name := range sim.AgentNames() {
			sim.Agents[name].Heartbeat()
		}
	}
}

func (sim *simulation) AgentNames() []string {
	var names []string
	for name := range sim.Agents {
		names = append(names, name)
	}
	sort.Strings(names)
	return names
}

func (sim *simulation) Leader() *Node {
	for _, name := range sim.Names {
		if n := sim.Nodes[name]; n.Up && !n.Paused && n.controller.leader != nil && n.controller.election.MayAct(sim.now) {
			return n
		}
	}
	sim.T.Fatal("nobody leads")
	return nil
}

// Follower returns a running member that does not lead.
func (sim *simulation) Follower() *Node {
	for _, name := range sim.Names {
		if n := sim.Nodes[name]; n.Up && n.controller.leader == nil {
			return n
		}
	}
	sim.T.Fatal("no follower")
	return nil
}

// Call sends an HTTP request and returns the answer, or a Status of 0 while
// there is none.
func (n *Node) Call(method, path string, body []byte) *Response {
	return n.CallOnConnection(0, method, path, body)
}

// CallOnConnection sends it on a connection of the given number.
func (n *Node) CallOnConnection(conn uint64, method, path string, body []byte) *Response {
	out := &Response{}
	n.controller.HandleHTTP(&Request{Method: method, Path: path, Body: body, Conn: conn}, func(r Response) {
		if out.Status != 0 {
			n.sim.T.Fatal("answered twice")
		}
		*out = r
	})
	n.sim.DeliverAll()
	return out
}

type JobRequest map[string]any

func BatchJob(id string, tasks int) JobRequest {
	return JobRequest{"nameId": id, "desk": "d", "crew": "blue", "form": "batch", "urgency": "standard", "pages": tasks,
		"vcpus": 2.0, "cards": 0.0, "ramGb": 4.0, "plate": "img", "imageGb": 1.0, "breeds": nil, "hall": nil,
		"together": false, "apart": false, "loaners": true, "expectedS": 30.0, "proofEveryS": 0.0, "proofS": 0.0, "pressByS": nil}
}

func (request JobRequest) With(key string, v any) JobRequest {
	request[key] = v
	return request
}

func (n *Node) Submit(request JobRequest) *Response {
	r := n.Call("POST", "/submissions", n.sim.Codec.Encode(map[string]any(request)))
	n.sim.Advance(tickInterval) // until the leader has put it in order
	return r
}

func (n *Node) Status(id string) (int, protocol.JobStatus) {
	r := n.Call("GET", "/submissions/"+id, nil)
	var s protocol.JobStatus
	if r.Status == 200 {
		if err := n.sim.Codec.Decode(r.Body, &s); err != nil {
			n.sim.T.Fatal(err)
		}
	}
	return r.Status, s
}

func (n *Node) Cancel(id string) (int, string) {
	r := n.Call("POST", "/submissions/"+id+"/abort", nil)
	var s protocol.JobStatus
	if r.Status == 200 {
		if err := n.sim.Codec.Decode(r.Body, &s); err != nil {
			n.sim.T.Fatal(err)
		}
	}
	return r.Status, s.Status
}
