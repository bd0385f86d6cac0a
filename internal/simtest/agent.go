package simtest

import (
	"fmt"
	"sort"
	"strconv"
	"testing"
	"time"

	"github.com/cobaltvale/cobaltvale/internal/protocol"
)

// Agent is the scripted agent of one machine. It follows the protocol's rules for fencing
// tokens and commands. Its lease expires only when a test calls ExpireLease or sets
// Deployment.ExpireLeases.
type Agent struct {
	deployment       *Deployment
	Name             string
	Zone             string
	MachineType      string // name of its type; empty: m8
	Epoch            uint64
	Sequence         uint64
	FencingToken     uint64
	Tasks            map[string]*AgentTask // by task name and replica, as in wk-1/0#2
	PreemptionNotice any                   // seconds until the cloud reclaims the machine; nil: no notice
	Silent           bool                  // sends no heartbeats
	Starts           int                   // replicas that it has started
	LastHeartbeat    []byte                // body of the last heartbeat
	DropsStarts      bool                  // ignores start commands, as if they were lost
	LosesResponses   bool                  // receives no responses, though its heartbeats arrive
	TaskDuration     time.Duration         // tasks complete after this time; 0: never
	DurationSpread   time.Duration         // added once per replica number modulo 7, so at most six times
	ConnectedTo      Process               // process to which its connection is open; nil: none
	RedirectedTo     string                // member to which it sends heartbeats; empty: the leader
	Connection       uint64                // number of its last connection
	LeaseRenewedAt   time.Duration         // when the last answered heartbeat was sent, or the epoch began
}

// AgentTask is a replica on a machine, as its status reports it.
type AgentTask struct {
	Name      string
	Replica   uint64
	State     string
	Cause     any
	StartedAt time.Duration
}

// AddMachine adds a running machine with its agent.
func (d *Deployment) AddMachine(name, zone string) *Agent {
	m := CloudMachine{Name: name, Zone: zone, Status: "running", CreatedAt: d.now}
	d.Cloud.Machines = append(d.Cloud.Machines, m)
	return d.StartAgent(m)
}

// AddMachines adds n machines of zone z1, named vm-0, vm-1 and so on.
func (d *Deployment) AddMachines(n int) {
	for i := range n {
		d.AddMachine(fmt.Sprintf("vm-%d", i), "z1")
	}
}

// BootMachines starts the agents of machines that were rented more than 5 s ago. Their
// tasks complete after taskDuration.
func (d *Deployment) BootMachines(taskDuration time.Duration) {
	for _, m := range d.Cloud.Machines {
		if d.Agents[m.Name] == nil && m.Status == "starting" && d.now-m.CreatedAt > 5*time.Second {
			d.StartAgent(m).TaskDuration = taskDuration
		}
	}
}

// StartAgent starts the agent of a machine, without tasks and with epoch 1.
func (d *Deployment) StartAgent(m CloudMachine) *Agent {
	agent := &Agent{deployment: d, Name: m.Name, Zone: m.Zone, Epoch: 1, Tasks: make(map[string]*AgentTask), LeaseRenewedAt: d.now}
	d.Agents[m.Name] = agent
	return agent
}

// HeartbeatBody completes the tasks whose time is over and encodes the next heartbeat.
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
	machineType := agent.MachineType
	if machineType == "" {
		machineType = "m8"
	}
	return agent.deployment.Codec.Encode(map[string]any{"roost": agent.Name, "address": "10.1.0.1:1", "breed": machineType, "hall": agent.Zone, "loaners": false,
		"perch": agent.Epoch, "tick": agent.Sequence, "baton": agent.FencingToken, "recallInS": agent.PreemptionNotice, "pages": pages})
}

// Heartbeat sends one heartbeat to the member to which the agent was redirected, else to
// the leader, and executes the response. It returns nil if nothing was sent.
func (agent *Agent) Heartbeat() *HTTPResponse {
	if agent.Silent {
		return nil
	}
	if node := agent.deployment.Nodes[agent.RedirectedTo]; node != nil && node.Up && !node.Paused {
		return agent.HeartbeatTo(node)
	}
	for _, name := range agent.deployment.Members {
		if node := agent.deployment.Nodes[name]; node.Up && !node.Paused && node.Process.Leads() {
			return agent.HeartbeatTo(node)
		}
	}
	return nil
}

// HeartbeatFor advances the clock while only the given machines send one heartbeat a second.
func (d *Deployment) HeartbeatFor(seconds int, agents ...*Agent) {
	for range seconds {
		for _, agent := range agents {
			agent.Heartbeat()
		}
		d.Advance(time.Second)
	}
}

// FinishAllTasks completes every running task.
func (d *Deployment) FinishAllTasks() {
	for _, agent := range d.Agents {
		agent.FinishTasks("done")
	}
}

// HeartbeatTo sends one heartbeat to a member and executes the response.
func (agent *Agent) HeartbeatTo(node *Node) *HTTPResponse {
	agent.LastHeartbeat = agent.HeartbeatBody()
	epoch, sentAt := agent.Epoch, agent.deployment.now
	if agent.ConnectedTo != node.Process { // the last connection is closed
		agent.deployment.lastConnection++
		agent.Connection, agent.ConnectedTo = agent.deployment.lastConnection, node.Process
	}
	r := node.CallOnConnection(agent.Connection, "POST", "/checkin", agent.LastHeartbeat)
	if r.Status == 0 { // the controller holds the response until it has bound tasks
		agent.deployment.Advance(400 * time.Millisecond)
	}
	agent.RedirectedTo = ""
	if r.Status == 421 {
		var redirect protocol.Redirect
		if err := agent.deployment.Codec.Decode(r.Body, &redirect); err != nil {
			agent.deployment.T.Fatal(err)
		}
		agent.RedirectedTo = redirect.HeartbeatTo
	}
	if r.Status != 200 || agent.LosesResponses {
		agent.ConnectedTo = nil
		return r
	}
	agent.RedirectedTo = node.Name
	if agent.Epoch == epoch { // a response to an earlier epoch is dropped
		agent.Execute(r.Body)
		agent.LeaseRenewedAt = max(agent.LeaseRenewedAt, sentAt)
	}
	return r
}

// Execute carries out the commands of a heartbeat response, unless its fencing token is
// lower than the agent's.
func (agent *Agent) Execute(body []byte) {
	var response protocol.HeartbeatResponse
	if err := agent.deployment.Codec.Decode(body, &response); err != nil {
		agent.deployment.T.Fatal(err)
	}
	if response.FencingToken < agent.FencingToken {
		return
	}
	agent.FencingToken = response.FencingToken
	for _, c := range response.Commands {
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
			if agent.deployment.OnStop != nil {
				agent.deployment.OnStop(agent, task)
			}
		case c.Op == protocol.CommandReap && task != nil && task.State == "ended":
			delete(agent.Tasks, key)
		}
	}
}

// checkNotRunningElsewhere fails the test if a task is started on one machine while it runs
// on another (ran_twice). It looks only at the machines on which the task was started before:
// apart from starts, replicas reach a machine only when a test adds them, and those have ended
// or have an earlier number.
func (d *Deployment) checkNotRunningElsewhere(task string, on *Agent) {
	if _, bench := d.T.(*testing.B); bench {
		return // the check would cost more time than what the benchmark measures
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

// Running returns the names of the running tasks, sorted.
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

// FinishTasks ends every running task with the given cause.
func (agent *Agent) FinishTasks(cause string) {
	for _, task := range agent.Tasks {
		if task.State == "running" {
			task.State, task.Cause = "ended", cause
		}
	}
}

// ExpireLease removes all tasks and begins a new epoch, as an agent does when its lease expires.
func (agent *Agent) ExpireLease() {
	agent.Tasks = make(map[string]*AgentTask)
	agent.Epoch++
	agent.LeaseRenewedAt = agent.deployment.now
}
