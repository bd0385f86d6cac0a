// Package simtest has a deployment on a fake clock for the tests of the controllers:
// members that are started, crashed, paused and cut off from each other, scripted
// machines, users' requests, and stand-ins for the state service and the cloud that
// fail as a test asks. It owns what surrounds the controllers and knows them as a
// Process only. Nothing in it waits or runs on its own: time passes in Advance and Run.
// It fails the test when a task is started while it runs elsewhere, when a frame is too
// large, or when a request is answered twice.
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
	T                testing.TB
	Codec            *protocol.Codec
	Nodes            map[string]*Node
	Members          []string
	State            *State
	Cloud            *Cloud
	Agents           map[string]*Agent
	PreviousVersion  map[string]bool                     // members that run the version before
	AdjustSettings   func(*settings.File)                // the settings of each process, as it starts; nil: as in SettingsFormat
	AuditStreams     []*audit.Stream                     // what each process has recorded of admissions
	Tuning           settings.Tuning                     // the operators' settings
	ExpireLeases     bool                                // agents' leases end by themselves
	WorkerLease      time.Duration                       // lease_s of the settings
	OnTick           func()                              // after every tick
	OnStart          func(agent *Agent, task *AgentTask) // a start is carried out
	RunsUntilStopped func(name string) bool              // whose tasks don't end by themselves
	OnTaskDone       func(agent *Agent, name string)     // a task that has ended well is reported

	options             Options
	now                 time.Duration
	agentsByStartedTask map[string][]*Agent // by task: where replicas of it were ever started
	lastProcess         uint64
	lastConnection      uint64
}

// Now implements storage.Clock.
func (d *Deployment) Now() time.Duration { return d.now }

// NewDeployment makes one none of whose processes has started.
func NewDeployment(t testing.TB, options Options) *Deployment {
	t.Helper()
	codec, err := protocol.NewCodec()
	if err != nil {
		t.Fatal(err)
	}
	d := &Deployment{T: t, Codec: codec, options: options, now: time.Hour, Nodes: make(map[string]*Node), Members: options.Members,
		Agents: make(map[string]*Agent), PreviousVersion: make(map[string]bool), agentsByStartedTask: make(map[string][]*Agent),
		Tuning: settings.DefaultTuning(), WorkerLease: defaultWorkerLease}
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

// StartAll starts a process of every member, and waits until one leads.
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

// Start starts a process of a member, and connects it to the others that are up.
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

// newAuditStream keeps what the next process of a member records.
func (d *Deployment) newAuditStream(name string) func(audit.Record) {
	stream := &audit.Stream{Name: fmt.Sprint(name, "-", d.lastProcess), HasLastSegment: true}
	d.AuditStreams = append(d.AuditStreams, stream)
	return func(r audit.Record) {
		r.Seq = uint64(len(stream.Records) + 1)
		stream.Records = append(stream.Records, r)
	}
}

// Crash ends a process without a word.
func (d *Deployment) Crash(name string) {
	n := d.Nodes[name]
	n.Up = false
	for _, other := range d.Members {
		if other != name {
			d.Disconnect(name, other)
		}
	}
}

// CrashAll ends the processes of all members without a word.
func (d *Deployment) CrashAll() {
	for _, name := range d.Members {
		d.Crash(name)
	}
}

// Pause stops a process while its clock runs on. After four seconds the others take
// its silence for a broken stream; what they sent before waits for it.
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

// Resume lets a process that was paused go on, with all that has waited for it.
func (d *Deployment) Resume(name string) {
	d.Nodes[name].Paused = false
	d.DeliverAll()
}

// Advance lets time pass, tick by tick.
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
				if d.now-agent.LeaseRenewedAt > d.WorkerLease {
					agent.ExpireLease()
				}
			}
		}
		if d.OnTick != nil {
			d.OnTick()
		}
	}
}

// Run advances while all workers send heartbeats every second or so.
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
	for _, name := range d.Members {
		if n := d.Nodes[name]; n.Up && !n.Paused && n.Process.Leads() && n.Process.MayAct() {
			return n
		}
	}
	d.T.Fatal("nobody leads")
	return nil
}

// Follower returns a running member that does not lead.
func (d *Deployment) Follower() *Node {
	for _, name := range d.Members {
		if n := d.Nodes[name]; n.Up && !n.Process.Leads() {
			return n
		}
	}
	d.T.Fatal("no follower")
	return nil
}
