package simtest

import (
	"fmt"
	"sort"
	"strconv"
	"testing"
	"time"

	"github.com/cobaltvale/cobaltvale/internal/protocol"
)

// Agent is a scripted machine. It follows the protocol's rules for fencing tokens
// and commands; its lease ends only when a test says so.
type Agent struct {
	deployment       *Deployment
	Name             string
	Zone             string
	MachineType      string // its type; empty: m8
	Epoch            uint64
	Sequence         uint64
	FencingToken     uint64
	Tasks            map[string]*AgentTask // by name and attempt
	PreemptionNotice any
	Silent           bool
	Starts           int
	LastHeartbeat    []byte
	DropsStarts      bool          // drops starts, as if the answer were lost
	LosesResponses   bool          // no answer reaches it
	TaskDuration     time.Duration // tasks end by themselves after it; 0: never
	DurationSpread   time.Duration // and up to six times this more
	ConnectedTo      Process       // where its last heartbeat was answered
	RedirectedTo     string        // the member that it was told to send heartbeats to
	Connection       uint64
	LeaseRenewedAt   time.Duration // when the last heartbeat that was answered was sent, or the epoch began
}

// AgentTask is a replica on a machine.
type AgentTask struct {
	Name      string
	Replica   uint64
	State     string
	Cause     any
	StartedAt time.Duration
}

// AddMachine adds a machine that is up, with its agent.
func (d *Deployment) AddMachine(name, zone string) *Agent {
	m := CloudMachine{Name: name, Zone: zone, Status: "running", CreatedAt: d.now}
	d.Cloud.Machines = append(d.Cloud.Machines, m)
	return d.StartAgent(m)
}

// AddMachines adds machines vm-0, vm-1 and so on of one zone.
func (d *Deployment) AddMachines(n int) {
	for i := range n {
		d.AddMachine(fmt.Sprintf("vm-%d", i), "z1")
	}
}

// BootMachines starts the agents of machines that were rented a while ago; their tasks
// take the given time.
func (d *Deployment) BootMachines(takes time.Duration) {
	for _, m := range d.Cloud.Machines {
		if d.Agents[m.Name] == nil && m.Status == "starting" && d.now-m.CreatedAt > 5*time.Second {
			d.StartAgent(m).TaskDuration = takes
		}
	}
}

// StartAgent starts the agent of a machine.
func (d *Deployment) StartAgent(m CloudMachine) *Agent {
	agent := &Agent{deployment: d, Name: m.Name, Zone: m.Zone, Epoch: 1, Tasks: make(map[string]*AgentTask), LeaseRenewedAt: d.now}
	d.Agents[m.Name] = agent
	return agent
}

// HeartbeatBody is its next heartbeat.
func (agent *Agent) HeartbeatBody() []byte {
	agent.Sequence++
	pages := []any{}
	var keys []string
	for key := range agent.Tasks {
		keys = append(keys, key)
	}
	sort.Strings(keys)
	for _, key := range keys {
		task := agent.Tasks[key]
		if agent.TaskDuration > 0 && task.State == "running" && !(agent.deployment.RunsUntilStopped != nil && agent.deployment.RunsUntilStopped(task.Name)) && agent.deployment.now-task.StartedAt >= agent.TaskDuration+agent.DurationSpread*time.Duration(task.Replica%7) {
			task.State, task.Cause = "ended", "done"
		}
		if task.State == "ended" && task.Cause == "done" && agent.deployment.OnTaskDone != nil {
			agent.deployment.OnTaskDone(agent, task.Name)
		}
		pages = append(pages, map[string]any{"page": task.Name, "try": task.Replica, "status": task.State, "cause": task.Cause})
	}
	machine := agent.MachineType
	if machine == "" {
		machine = "m8"
	}
	return agent.deployment.Codec.Encode(map[string]any{"roost": agent.Name, "address": "10.1.0.1:1", "breed": machine, "hall": agent.Zone, "loaners": false,
		"perch": agent.Epoch, "tick": agent.Sequence, "baton": agent.FencingToken, "recallInS": agent.PreemptionNotice, "pages": pages})
}

// Heartbeat sends one heartbeat to the leader, or where it was told to, and carries
// out the answer.
func (agent *Agent) Heartbeat() *HTTPResponse {
	if agent.Silent {
		return nil
	}
	if n := agent.deployment.Nodes[agent.RedirectedTo]; n != nil && n.Up && !n.Paused {
		return agent.HeartbeatTo(n)
	}
	for _, name := range agent.deployment.Members {
		if n := agent.deployment.Nodes[name]; n.Up && !n.Paused && n.Process.Leads() {
			return agent.HeartbeatTo(n)
		}
	}
	return nil
}

// HeartbeatFor has some machines, and no others, send a heartbeat each second.
func (d *Deployment) HeartbeatFor(seconds int, machines ...*Agent) {
	for range seconds {
		for _, agent := range machines {
			agent.Heartbeat()
		}
		d.Advance(time.Second)
	}
}

// FinishAllTasks ends every running task well.
func (d *Deployment) FinishAllTasks() {
	for _, agent := range d.Agents {
		agent.FinishTasks("done")
	}
}

// HeartbeatTo sends one heartbeat to a member, and carries out the response.
func (agent *Agent) HeartbeatTo(n *Node) *HTTPResponse {
	agent.LastHeartbeat = agent.HeartbeatBody()
	session, sent := agent.Epoch, agent.deployment.now
	if agent.ConnectedTo != n.Process { // it has closed its last connection
		agent.deployment.lastConnection++
		agent.Connection, agent.ConnectedTo = agent.deployment.lastConnection, n.Process
	}
	r := n.CallOnConnection(agent.Connection, "POST", "/checkin", agent.LastHeartbeat)
	if r.Status == 0 { // the answer waits for bindings
		agent.deployment.Advance(400 * time.Millisecond)
	}
	agent.RedirectedTo = ""
	if r.Status == 421 {
		var to protocol.Redirect
		if err := agent.deployment.Codec.Decode(r.Body, &to); err != nil {
			agent.deployment.T.Fatal(err)
		}
		agent.RedirectedTo = to.HeartbeatTo
	}
	if r.Status != 200 || agent.LosesResponses {
		agent.ConnectedTo = nil
		return r
	}
	agent.RedirectedTo = n.Name
	if agent.Epoch == session { // else it belongs to one that is over
		agent.Execute(r.Body)
		agent.LeaseRenewedAt = max(agent.LeaseRenewedAt, sent)
	}
	return r
}

// Execute carries out a heartbeat response.
func (agent *Agent) Execute(body []byte) {
	var a protocol.HeartbeatResponse
	if err := agent.deployment.Codec.Decode(body, &a); err != nil {
		agent.deployment.T.Fatal(err)
	}
	if a.FencingToken < agent.FencingToken {
		return
	}
	agent.FencingToken = a.FencingToken
	for _, c := range a.Commands {
		key := c.Task + "#" + strconv.FormatUint(c.Replica, 10)
		task := agent.Tasks[key]
		switch {
		case c.Op == protocol.CommandStart && task == nil && !agent.DropsStarts:
			agent.deployment.checkNotRunningElsewhere(c.Task, agent)
			agent.Starts++
			agent.Tasks[key] = &AgentTask{Name: c.Task, Replica: c.Replica, State: "running", StartedAt: agent.deployment.now}
			if agent.deployment.OnStart != nil {
				agent.deployment.OnStart(agent, agent.Tasks[key])
			}
		case c.Op == protocol.CommandStop && task != nil && task.State != "ended":
			task.State, task.Cause = "ended", "halted"
		case c.Op == protocol.CommandReap && task != nil && task.State == "ended":
			delete(agent.Tasks, key)
		}
	}
}

// checkNotRunningElsewhere is the rule ran_twice. It looks at the machines on which the task was
// started before: nothing else brings a copy of it onto a machine, but for tests
// that put old ones there, which have ended or are of an earlier number.
func (d *Deployment) checkNotRunningElsewhere(task string, on *Agent) {
	if _, bench := d.T.(*testing.B); bench {
		return // it would cost more than what is measured
	}
	for _, agent := range d.agentsByStartedTask[task] {
		for _, t := range agent.Tasks {
			if t.Name == task && t.State != "ended" && d.Agents[agent.Name] == agent {
				d.T.Fatalf("%s is started on %s while it runs on %s", task, on.Name, agent.Name)
			}
		}
	}
	d.agentsByStartedTask[task] = append(d.agentsByStartedTask[task], on)
}

// Running names the tasks that run, in order.
func (agent *Agent) Running() []string {
	var out []string
	for _, task := range agent.Tasks {
		if task.State == "running" {
			out = append(out, task.Name)
		}
	}
	sort.Strings(out)
	return out
}

// FinishTasks ends every running task.
func (agent *Agent) FinishTasks(why string) {
	for _, task := range agent.Tasks {
		if task.State == "running" {
			task.State, task.Cause = "ended", why
		}
	}
}

// ExpireLease ends the worker's epoch, as its lease's end does.
func (agent *Agent) ExpireLease() {
	agent.Tasks = make(map[string]*AgentTask)
	agent.Epoch++
	agent.LeaseRenewedAt = agent.deployment.now
}
