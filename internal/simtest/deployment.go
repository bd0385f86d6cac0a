// Package simtest simulates a deployment on a fake clock for the tests of the controllers:
// members that a test starts, crashes, pauses and disconnects from each other, scripted
// agents on machines, users' requests, and stand-ins for the state service and the cloud
// with faults that a test sets. It simulates the environment of the controllers and uses them
// only through the interface Process. It has no goroutines and no timers: time passes only in
// Advance, and in the methods that call it. It fails the test when a task is started while it
// runs elsewhere, when a frame is too large, or when a request is answered twice.
package simtest

import (
	"fmt"
	"math/rand/v2"
	"sort"
	"testing"
	"time"

	"github.com/cobaltvale/cobaltvale/internal/audit"
	"github.com/cobaltvale/cobaltvale/internal/protocol"
	"github.com/cobaltvale/cobaltvale/internal/protocol/meshpb"
	"github.com/cobaltvale/cobaltvale/internal/settings"
)

// Options are the parameters of NewDeployment.
type Options struct {
	Members         []string
	PreviousVersion []string // members that run the previous version
	NextLimits      string   // the table settings.state.next, appended to the settings of members of this version
	TickInterval    time.Duration
	NewProcess      func(ProcessConfig) (Process, error)
	OnFrame         func(from, to *Node, f *meshpb.Frame) *meshpb.Frame // returns the frame that is delivered
}

// Deployment is a simulated site: controllers, agents on machines, and stand-ins for the
// state service and the cloud.
type Deployment struct {
	T                    testing.TB
	Codec                *protocol.Codec // of requests, responses and stored values
	Nodes                map[string]*Node
	Members              []string
	State                *State
	Cloud                *Cloud
	Agents               map[string]*Agent
	PreviousVersion      map[string]bool                     // members that run the previous version
	AdjustSettings       func(*settings.File)                // changes the settings of a process before it starts; may be nil
	AuditStreams         []*audit.Stream                     // the audit records of each process, in order of start
	Tuning               settings.Tuning                     // the operators' settings
	ExpireLeases         bool                                // agents' leases expire after MachineLeaseDuration
	MachineLeaseDuration time.Duration                       // lease of machines; lease_s of the settings
	OnTick               func()                              // called after every tick; may be nil
	OnStart              func(agent *Agent, task *AgentTask) // called when an agent has started a replica; may be nil
	OnStop               func(agent *Agent, task *AgentTask) // called when an agent has stopped a live replica by command; may be nil
	RunsUntilStopped     func(name string) bool              // reports whether a task never completes; nil: none
	OnTaskDone           func(agent *Agent, name string)     // called when a heartbeat reports a completed task; may be nil

	options             Options
	now                 time.Duration
	agentsByStartedTask map[string][]*Agent // by task: agents that ever started replicas of it
	lastProcess         uint64
	lastConnection      uint64
}

// Now implements storage.Clock. The clock starts at one hour.
func (d *Deployment) Now() time.Duration { return d.now }

// NewDeployment returns a deployment in which no process has been started.
func NewDeployment(t testing.TB, options Options) *Deployment {
	t.Helper()
	codec, err := protocol.NewCodec()
	if err != nil {
		t.Fatal(err)
	}
	d := &Deployment{T: t, Codec: codec, options: options, now: time.Hour, Nodes: make(map[string]*Node), Members: options.Members,
		Agents: make(map[string]*Agent), PreviousVersion: make(map[string]bool), agentsByStartedTask: make(map[string][]*Agent),
		Tuning: settings.DefaultTuning(), MachineLeaseDuration: defaultMachineLeaseDuration}
	for _, name := range options.PreviousVersion {
		d.PreviousVersion[name] = true
	}
	d.State = newState(d)
	d.Cloud = &Cloud{deployment: d, machinesByRequest: make(map[string][]string)}
	for _, name := range options.Members {
		d.Nodes[name] = &Node{deployment: d, Name: name, Links: make(map[string]*Stream)}
	}
	return d
}

// StartAll starts a process of every member and advances the clock by 8 s, in which one of
// them becomes the leader.
func (d *Deployment) StartAll() {
	d.StartMembers()
	d.Advance(8 * time.Second)
}

// StartMembers starts a process of every member.
func (d *Deployment) StartMembers() {
	for _, name := range d.Members {
		d.Start(name)
	}
}

// Start starts a process of a member and connects it to the other members that are up.
func (d *Deployment) Start(name string) *Node {
	n := d.Nodes[name]
	d.lastProcess++
	config := ProcessConfig{Member: name, PreviousVersion: d.PreviousVersion[name], Settings: d.settingsFor(name), Tuning: d.Tuning,
		Clock: d, Wall: func() time.Time { return time.Unix(1e9, 0).Add(d.now) }, Rand: rand.New(rand.NewPCG(1, d.lastProcess)),
		State: &nodeCaller{node: n, serve: d.State.serve}, Cloud: &nodeCaller{node: n, serve: d.Cloud.serve},
		Audit: d.newAuditStream(name), ID: d.lastProcess}
	if config.PreviousVersion {
		config.Tuning.QuotaEscrow = false
	}
	process, err := d.options.NewProcess(config)
	if err != nil {
		d.T.Fatal(err)
	}
	n.Process, n.Up = process, true
	for _, other := range d.Members {
		if other != name && d.Nodes[other].Up {
			d.Connect(name, other)
		}
	}
	return n
}

// newAuditStream adds the audit stream of a process that is about to start and returns the
// function that appends records to it.
func (d *Deployment) newAuditStream(name string) func(audit.Record) {
	stream := &audit.Stream{Name: fmt.Sprint(name, "-", d.lastProcess), HasLastSegment: true}
	d.AuditStreams = append(d.AuditStreams, stream)
	return func(r audit.Record) {
		r.Seq = uint64(len(stream.Records) + 1)
		stream.Records = append(stream.Records, r)
	}
}

// Crash ends a process at once: it sends nothing more, and its streams are closed.
func (d *Deployment) Crash(name string) {
	n := d.Nodes[name]
	n.Up = false
	for _, other := range d.Members {
		if other != name {
			d.Disconnect(name, other)
		}
	}
}

// CrashAll crashes the processes of all members.
func (d *Deployment) CrashAll() {
	for _, name := range d.Members {
		d.Crash(name)
	}
}

// Pause stops the execution of a process while its clock advances by span, which is at least
// four seconds. After the first four seconds the other members treat its silence as a broken
// stream. The frames that they sent before stay queued for it.
func (d *Deployment) Pause(name string, span time.Duration) {
	n := d.Nodes[name]
	n.Paused = true
	d.Run(4 * time.Second)
	for _, other := range d.Members {
		if other != name && d.Nodes[other].Up {
			d.Nodes[other].Process.LinkDown(d.Nodes[other].Links[name])
		}
	}
	d.Run(span - 4*time.Second)
}

// Resume resumes a paused process and delivers the frames queued for it.
func (d *Deployment) Resume(name string) {
	d.Nodes[name].Paused = false
	d.DeliverAll()
}

// Advance advances the clock by span, tick by tick. After each tick all queued frames are
// delivered.
func (d *Deployment) Advance(span time.Duration) {
	for end := d.now + span; d.now < end; {
		d.now += d.options.TickInterval
		d.State.tick()
		for _, name := range d.Members {
			if n := d.Nodes[name]; n.Up && !n.Paused {
				n.Process.Tick()
			}
		}
		d.DeliverAll()
		if d.ExpireLeases {
			for _, agent := range d.Agents {
				if d.now-agent.LeaseRenewedAt > d.MachineLeaseDuration {
					agent.ExpireLease()
				}
			}
		}
		if d.OnTick != nil {
			d.OnTick()
		}
	}
}

// Run advances the clock by at least span, in steps of a second. After each step every agent
// sends a heartbeat, which may itself advance the clock by 0.4 s.
func (d *Deployment) Run(span time.Duration) {
	for end := d.now + span; d.now < end; {
		d.Advance(time.Second)
		for _, name := range d.AgentNames() {
			d.Agents[name].Heartbeat()
		}
	}
}

// AgentNames returns the names of all machines that have an agent, sorted.
func (d *Deployment) AgentNames() []string {
	var names []string
	for name := range d.Agents {
		names = append(names, name)
	}
	sort.Strings(names)
	return names
}

// Leader returns the member that leads and may act. It fails the test if there is none.
func (d *Deployment) Leader() *Node {
	for _, name := range d.Members {
		if n := d.Nodes[name]; n.Up && !n.Paused && n.Process.Leads() && n.Process.MayAct() {
			return n
		}
	}
	d.T.Fatal("no member leads")
	return nil
}

// Follower returns a running member that does not lead. It fails the test if there is none.
func (d *Deployment) Follower() *Node {
	for _, name := range d.Members {
		if n := d.Nodes[name]; n.Up && !n.Process.Leads() {
			return n
		}
	}
	d.T.Fatal("no running member is a follower")
	return nil
}
