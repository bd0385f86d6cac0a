package coordination

import (
	"fmt"
	"math/rand/v2"
	"sort"
	"testing"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/cobaltvale/cobaltvale/internal/audit"
	"github.com/cobaltvale/cobaltvale/internal/protocol"
	"github.com/cobaltvale/cobaltvale/internal/protocol/meshpb"
	"github.com/cobaltvale/cobaltvale/internal/settings"
	"github.com/cobaltvale/cobaltvale/internal/storage"
)

// HTTPRequest is a request of a user or an agent.
type HTTPRequest struct {
	Method, Path string
	Body         []byte
	Conn         uint64        // the connection that it came on; 0: not known
	ReceivedAt   time.Duration // when it came; 0: just now
}

// HTTPResponse is its response. It may be sent up to ValidUntil, or at any time if
// that is 0.
type HTTPResponse struct {
	Status      int
	Body        []byte
	RetryAfterS int
	ValidUntil  time.Duration
}

// Process is a running controller as the deployment drives it. Its methods are called
// one at a time.
type Process interface {
	HandleHTTP(req *HTTPRequest, reply func(HTTPResponse))
	LinkUp(l *Stream, member string)
	LinkDown(l *Stream)
	LinkFrame(l *Stream, f *meshpb.Frame)
	Tick()
	EndBatch()
	RunLater(fn func()) // in its next batch
	Leads() bool
	MayAct() bool // its state lease entitles it to act now
}

// ProcessConfig is what a process of a member starts with.
type ProcessConfig struct {
	Member          string
	PreviousVersion bool // it stands for a process of the version before
	Settings        *settings.File
	Tuning          settings.Tuning
	Clock           storage.Clock
	Wall            func() time.Time
	Rand            *rand.Rand
	State           storage.Caller
	Cloud           storage.Caller
	Audit           func(audit.Record)
	ID              uint64 // of the process, higher for each
}

// Options are what differs between deployments before their first process starts.
type Options struct {
	Members         []string
	PreviousVersion []string // members that run the version before
	NextLimits      string   // settings.state.next, which only this version knows
	TickInterval    time.Duration
	NewProcess      func(ProcessConfig) (Process, error)
	OnFrame         func(from, to *Node, f *meshpb.Frame) *meshpb.Frame // what becomes of a frame as it is sent
}

// Deployment is a site on a fake clock: controllers, scripted machines, and stand-ins
// for the state service and the cloud.
type Deployment struct {
	T               testing.TB
	Codec           *protocol.Codec
	Nodes           map[string]*Node
	Names           []string
	State           *State
	Cloud           *Cloud
	Agents          map[string]*Agent
	PreviousVersion map[string]bool                     // members that run the version before
	AdjustSettings  func(*settings.File)                // the settings of each process, as it starts; nil: as in SettingsFormat
	AuditStreams    []*audit.Stream                     // what each process has recorded of admissions
	Tuning          settings.Tuning                     // the operators' settings
	ExpireLeases    bool                                // agents' leases end by themselves
	WorkerLease     time.Duration                       // lease_s of the settings
	OnTick          func()                              // after every tick
	OnStart         func(agent *Agent, task *AgentTask) // a start is carried out
	IsEndless       func(name string) bool              // whose tasks don't end by themselves
	OnTaskDone      func(agent *Agent, name string)     // a task that has ended well is reported

	options        Options
	now            time.Duration
	startedOn      map[string][]*Agent // by task: where replicas of it were ever started
	lastProcess    uint64
	lastConnection uint64
}

// Node is a member of the deployment, with its present process.
type Node struct {
	Name    string
	Process Process
	Up      bool
	Paused  bool // nothing of it runs, what comes for it waits
	Links   map[string]*Stream

	deployment *Deployment
}

// Now implements storage.Clock.
func (d *Deployment) Now() time.Duration { return d.now }

// SettingsFormat is the settings file of a member; it takes the member and the others.
const SettingsFormat = `
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

// defaultLease is lease_s of SettingsFormat.
const defaultLease = 16 * time.Second

// NewDeployment makes one none of whose processes has started.
func NewDeployment(t testing.TB, options Options) *Deployment {
	t.Helper()
	codec, err := protocol.NewCodec()
	if err != nil {
		t.Fatal(err)
	}
	d := &Deployment{T: t, Codec: codec, options: options, now: time.Hour, Nodes: make(map[string]*Node), Names: options.Members,
		Agents: make(map[string]*Agent), PreviousVersion: make(map[string]bool), startedOn: make(map[string][]*Agent),
		Tuning: settings.DefaultTuning(), WorkerLease: defaultLease}
	for _, name := range options.PreviousVersion {
		d.PreviousVersion[name] = true
	}
	d.State = newState(d)
	d.Cloud = &Cloud{deployment: d, answers: make(map[string][]string)}
	for _, name := range options.Members {
		d.Nodes[name] = &Node{deployment: d, Name: name, Links: make(map[string]*Stream)}
	}
	return d
}

// StartAll starts a process of every member, and waits until one leads.
func (d *Deployment) StartAll() {
	for _, name := range d.Names {
		d.Start(name)
	}
	d.Advance(8 * time.Second)
}

// Start starts a process of a member, and connects it to the others that are up.
func (d *Deployment) Start(name string) *Node {
	n := d.Nodes[name]
	d.lastProcess++
	config := ProcessConfig{Member: name, PreviousVersion: d.PreviousVersion[name], Settings: d.settingsOf(name), Tuning: d.Tuning,
		Clock: d, Wall: func() time.Time { return time.Unix(1e9, 0).Add(d.now) }, Rand: rand.New(rand.NewPCG(1, d.lastProcess)),
		State: &caller{node: n, serve: d.State.serve}, Cloud: &caller{node: n, serve: d.Cloud.serve},
		Audit: d.newAuditStream(name), ID: d.lastProcess}
	if config.PreviousVersion {
		config.Tuning.QuotaEscrow = false
	}
	process, err := d.options.NewProcess(config)
	if err != nil {
		d.T.Fatal(err)
	}
	n.Process, n.Up = process, true
	for _, other := range d.Names {
		if other != name && d.Nodes[other].Up {
			d.Connect(name, other)
		}
	}
	return n
}

// settingsOf are the settings that a process of a member starts with.
func (d *Deployment) settingsOf(name string) *settings.File {
	known := ""
	for _, other := range d.Names {
		if other != name {
			known += fmt.Sprintf("[[known]]\nmember = %q\nsite = \"z1\"\naddress = \"10.0.0.2:2\"\n", other)
		}
	}
	text := fmt.Appendf(nil, SettingsFormat, name, known)
	if !d.PreviousVersion[name] {
		text = append(text, d.options.NextLimits...)
	}
	file, err := settings.Parse(text)
	if err != nil {
		d.T.Fatal(err)
	}
	if d.AdjustSettings != nil {
		d.AdjustSettings(file)
	}
	return file
}

// newAuditStream keeps what the next process of a member records.
func (d *Deployment) newAuditStream(name string) func(audit.Record) {
	stream := &audit.Stream{Name: fmt.Sprint(name, "-", d.lastProcess), HasLastSegment: true}
	d.AuditStreams = append(d.AuditStreams, stream)
	return func(r audit.Record) {
		r.Seq = uint64(len(stream.Records) + 1)
		stream.Records = append(stream.Records, r)
	}
}

// Connect begins a stream between two members.
func (d *Deployment) Connect(a, b string) {
	na, nb := d.Nodes[a], d.Nodes[b]
	la, lb := &Stream{deployment: d, to: nb, toProcess: nb.Process}, &Stream{deployment: d, to: na, toProcess: na.Process}
	la.peer, lb.peer = lb, la
	na.Links[b], nb.Links[a] = la, lb
	na.Process.LinkUp(la, b)
	nb.Process.LinkUp(lb, a)
}

// Disconnect ends the stream between two members, in both directions.
func (d *Deployment) Disconnect(a, b string) {
	na, nb := d.Nodes[a], d.Nodes[b]
	if l := na.Links[b]; l != nil {
		l.Close()
		l.peer.Close()
		delete(na.Links, b)
		delete(nb.Links, a)
	}
	d.DeliverAll()
}

// Crash ends a process without a word.
func (d *Deployment) Crash(name string) {
	n := d.Nodes[name]
	n.Up = false
	for _, other := range d.Names {
		if other != name {
			d.Disconnect(name, other)
		}
	}
}

// Pause stops a process while its clock runs on. After four seconds the others take
// its silence for a broken stream; what they sent before waits for it.
func (d *Deployment) Pause(name string, span time.Duration) {
	n := d.Nodes[name]
	n.Paused = true
	d.Run(4 * time.Second)
	for _, other := range d.Names {
		if other != name && d.Nodes[other].Up {
			d.Nodes[other].Process.LinkDown(d.Nodes[other].Links[name])
		}
	}
	d.Run(span - 4*time.Second)
}

// Resume lets a process that stood still go on, with all that has waited for it.
func (d *Deployment) Resume(name string) {
	d.Nodes[name].Paused = false
	d.DeliverAll()
}

// Reconnect ends the streams of a process that stood still and begins new ones.
func (d *Deployment) Reconnect(name string) {
	n := d.Nodes[name]
	for _, other := range d.Names {
		if other != name {
			n.Process.LinkDown(n.Links[other])
			d.Connect(name, other)
		}
	}
	d.DeliverAll()
}

// Stream is one direction of the stream between two members.
type Stream struct {
	deployment *Deployment
	to         *Node
	toProcess  Process
	peer       *Stream
	Queue      []*meshpb.Frame
	Closed     bool
}

// Send queues a frame until DeliverAll.
func (l *Stream) Send(f *meshpb.Frame) {
	if n := proto.Size(f); n > 1<<20 {
		l.deployment.T.Fatalf("a frame of %d bytes", n)
	}
	if !l.Closed {
		l.Queue = append(l.Queue, l.deployment.options.OnFrame(l.peer.to, l.to, f))
	}
}

// Flush does nothing: all that is queued is delivered at once.
func (l *Stream) Flush() {}

// Close ends this direction: its sender learns of it.
func (l *Stream) Close() {
	if l.Closed {
		return
	}
	l.Closed = true
	if l.peer.toProcess != nil && l.deployment.Nodes[l.peer.to.Name].Process == l.peer.toProcess {
		l.peer.toProcess.LinkDown(l)
	}
}

// DeliverAll delivers everything that is on its way.
func (d *Deployment) DeliverAll() {
	for again := true; again; {
		again = false
		for _, name := range d.Names {
			n := d.Nodes[name]
			if !n.Up || n.Paused {
				continue
			}
			n.Process.EndBatch()
			for _, other := range d.Names {
				l := n.Links[other]
				if l == nil || len(l.Queue) == 0 || l.to.Paused {
					continue
				}
				f := l.Queue[0]
				l.Queue = l.Queue[1:]
				again = true
				if l.to.Up && l.to.Process == l.toProcess {
					l.toProcess.LinkFrame(l.peer, f)
					l.toProcess.EndBatch()
				}
			}
		}
	}
}

// Advance lets time pass, tick by tick.
func (d *Deployment) Advance(span time.Duration) {
	for end := d.now + span; d.now < end; {
		d.now += d.options.TickInterval
		d.State.tick()
		for _, name := range d.Names {
			if n := d.Nodes[name]; n.Up && !n.Paused {
				n.Process.Tick()
			}
		}
		d.DeliverAll()
		if d.ExpireLeases {
			for _, agent := range d.Agents {
				if d.now-agent.LastAnswered > d.WorkerLease {
					agent.ExpireLease()
				}
			}
		}
		if d.OnTick != nil {
			d.OnTick()
		}
	}
}

// Run advances while all workers report every second or so.
func (d *Deployment) Run(span time.Duration) {
	for end := d.now + span; d.now < end; {
		d.Advance(time.Second)
		for _, name := range d.AgentNames() {
			d.Agents[name].Heartbeat()
		}
	}
}

// AgentNames are the names of all machines that have an agent, in order.
func (d *Deployment) AgentNames() []string {
	var names []string
	for name := range d.Agents {
		names = append(names, name)
	}
	sort.Strings(names)
	return names
}

// Leader returns the member that leads and may act.
func (d *Deployment) Leader() *Node {
	for _, name := range d.Names {
		if n := d.Nodes[name]; n.Up && !n.Paused && n.Process.Leads() && n.Process.MayAct() {
			return n
		}
	}
	d.T.Fatal("nobody leads")
	return nil
}

// Follower returns a running member that does not lead.
func (d *Deployment) Follower() *Node {
	for _, name := range d.Names {
		if n := d.Nodes[name]; n.Up && !n.Process.Leads() {
			return n
		}
	}
	d.T.Fatal("no follower")
	return nil
}

// Call sends an HTTP request and returns the answer, or a Status of 0 while
// there is none.
func (n *Node) Call(method, path string, body []byte) *HTTPResponse {
	return n.CallOnConnection(0, method, path, body)
}

// CallOnConnection sends it on a connection of the given number.
func (n *Node) CallOnConnection(conn uint64, method, path string, body []byte) *HTTPResponse {
	out := &HTTPResponse{}
	n.Process.HandleHTTP(&HTTPRequest{Method: method, Path: path, Body: body, Conn: conn}, func(r HTTPResponse) {
		if out.Status != 0 {
			n.deployment.T.Fatal("answered twice")
		}
		*out = r
	})
	n.deployment.DeliverAll()
	return out
}

// Send sends a request without waiting for its response.
func (n *Node) Send(method, path string) *HTTPResponse {
	out := &HTTPResponse{}
	n.Process.HandleHTTP(&HTTPRequest{Method: method, Path: path}, func(r HTTPResponse) { *out = r })
	return out
}

// JobRequest is a submission, as its user sends it.
type JobRequest map[string]any

// BatchJob is the submission of an array of the team blue.
func BatchJob(id string, tasks int) JobRequest {
	return JobRequest{"nameId": id, "desk": "d", "crew": "blue", "form": "batch", "urgency": "standard", "pages": tasks,
		"vcpus": 2.0, "cards": 0.0, "ramGb": 4.0, "plate": "img", "imageGb": 1.0, "breeds": nil, "hall": nil,
		"together": false, "apart": false, "loaners": true, "expectedS": 30.0, "proofEveryS": 0.0, "proofS": 0.0, "pressByS": nil}
}

// With sets one of its fields.
func (request JobRequest) With(key string, v any) JobRequest {
	request[key] = v
	return request
}

// Submit hands a job in.
func (n *Node) Submit(request JobRequest) *HTTPResponse {
	r := n.Call("POST", "/submissions", n.deployment.Codec.Encode(map[string]any(request)))
	n.deployment.Advance(n.deployment.options.TickInterval) // until the leader has put it in order
	return r
}

// Status asks about a job, and returns the status code with what was answered.
func (n *Node) Status(id string) (int, protocol.JobStatus) {
	r := n.Call("GET", "/submissions/"+id, nil)
	var s protocol.JobStatus
	if r.Status == 200 {
		if err := n.deployment.Codec.Decode(r.Body, &s); err != nil {
			n.deployment.T.Fatal(err)
		}
	}
	return r.Status, s
}

// Cancel cancels a job, and returns the status code with the job's status.
func (n *Node) Cancel(id string) (int, string) {
	r := n.Call("POST", "/submissions/"+id+"/abort", nil)
	var s protocol.JobStatus
	if r.Status == 200 {
		if err := n.deployment.Codec.Decode(r.Body, &s); err != nil {
			n.deployment.T.Fatal(err)
		}
	}
	return r.Status, s.Status
}
