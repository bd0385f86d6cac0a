package coordination

import (
	"sort"
	"strconv"
	"testing"
	"time"

	"github.com/cobaltvale/cobaltvale/internal/protocol"
)

// machineAgent is a scripted machine. It follows the protocol's rules for tokens
// and commands; its lease ends only when a test says so.
type machineAgent struct {
	sim              *simulation
	name             string
	zone             string
	machineType      string // its type; empty: m8
	epoch            uint64
	sequence         uint64
	fencingToken     uint64
	tasks            map[string]*agentTask // by name and attempt
	preemptionNotice any
	silent           bool
	starts           int
	lastHeartbeat    []byte
	dropsStarts      bool          // drops starts, as if the answer were lost
	losesResponses   bool          // no answer reaches it
	taskDuration     time.Duration // tasks end by themselves after it; 0: never
	durationSpread   time.Duration // and up to six times this more
	connectedTo      *Controller   // where its last report was answered
	redirectedTo     string        // the member that it was told to report to
	connection       uint64
	lastAnswered     time.Duration // when the last report that was answered was sent, or the session began
}

type agentTask struct {
	name      string
	replica   uint64
	state     string
	cause     any
	startedAt time.Duration
}

func (sim *simulation) addMachine(name, zone string) *machineAgent {
	agent := &machineAgent{sim: sim, name: name, zone: zone, epoch: 1, tasks: make(map[string]*agentTask), lastAnswered: sim.now}
	sim.agents[name] = agent
	sim.cloud.machines = append(sim.cloud.machines, cloudMachine{name: name, zone: zone, status: "running", at: sim.now})
	return agent
}

// bootMachines brings up the machines that were rented a while ago; their tasks take
// the given time.
func (sim *simulation) bootMachines(takes time.Duration) {
	for _, m := range sim.cloud.machines {
		if sim.agents[m.name] == nil && m.status == "starting" && sim.now-m.at > 5*time.Second {
			sim.agents[m.name] = &machineAgent{sim: sim, name: m.name, zone: m.zone, epoch: 1, tasks: make(map[string]*agentTask), taskDuration: takes, lastAnswered: sim.now}
		}
	}
}

func (agent *machineAgent) heartbeatBody() []byte {
	agent.sequence++
	pages := []any{}
	var keys []string
	for key := range agent.tasks {
		keys = append(keys, key)
	}
	sort.Strings(keys)
	for _, key := range keys {
		task := agent.tasks[key]
		if agent.taskDuration > 0 && task.state == "running" && !(agent.sim.isEndless != nil && agent.sim.isEndless(task.name)) && agent.sim.now-task.startedAt >= agent.taskDuration+agent.durationSpread*time.Duration(task.replica%7) {
			task.state, task.cause = "ended", "done"
		}
		if task.state == "ended" && task.cause == "done" && agent.sim.onTaskDone != nil {
			agent.sim.onTaskDone(agent, task.name)
		}
		pages = append(pages, map[string]any{"page": task.name, "try": task.replica, "status": task.state, "cause": task.cause})
	}
	machine := agent.machineType
	if machine == "" {
		machine = "m8"
	}
	return agent.sim.codec.Encode(map[string]any{"roost": agent.name, "address": "10.1.0.1:1", "breed": machine, "hall": agent.zone, "loaners": false,
		"perch": agent.epoch, "tick": agent.sequence, "baton": agent.fencingToken, "recallInS": agent.preemptionNotice, "pages": pages})
}

// heartbeat sends one report to the leader, or where it was told to, and carries
// out the answer.
func (agent *machineAgent) heartbeat() *Response {
	if agent.silent {
		return nil
	}
	if n := agent.sim.nodes[agent.redirectedTo]; n != nil && n.up && !n.paused {
		return agent.heartbeatTo(n)
	}
	for _, name := range agent.sim.names {
		if n := agent.sim.nodes[name]; n.up && !n.paused && n.controller.leader != nil {
			return agent.heartbeatTo(n)
		}
	}
	return nil
}

func (agent *machineAgent) heartbeatTo(n *node) *Response {
	agent.lastHeartbeat = agent.heartbeatBody()
	session, sent := agent.epoch, agent.sim.now
	if agent.connectedTo != n.controller { // it has closed its last connection
		agent.sim.lastConnection++
		agent.connection, agent.connectedTo = agent.sim.lastConnection, n.controller
	}
	r := n.callOnConnection(agent.connection, "POST", "/checkin", agent.lastHeartbeat)
	if r.Status == 0 { // the answer waits for picks
		agent.sim.advance(400 * time.Millisecond)
	}
	agent.redirectedTo = ""
	if r.Status == 421 {
		var to protocol.Redirect
		if err := agent.sim.codec.Decode(r.Body, &to); err != nil {
			agent.sim.t.Fatal(err)
		}
		agent.redirectedTo = to.HeartbeatTo
	}
	if r.Status != 200 || agent.losesResponses {
		agent.connectedTo = nil
		return r
	}
	agent.redirectedTo = n.name
	if agent.epoch == session { // else it belongs to one that is over
		agent.execute(r.Body)
		agent.lastAnswered = max(agent.lastAnswered, sent)
	}
	return r
}

func (agent *machineAgent) execute(body []byte) {
	var a protocol.HeartbeatResponse
	if err := agent.sim.codec.Decode(body, &a); err != nil {
		agent.sim.t.Fatal(err)
	}
	if a.FencingToken < agent.fencingToken {
		return
	}
	agent.fencingToken = a.FencingToken
	for _, c := range a.Commands {
		key := c.Task + "#" + strconv.FormatUint(c.Replica, 10)
		task := agent.tasks[key]
		switch {
		case c.Op == protocol.CommandStart && task == nil && !agent.dropsStarts:
			agent.sim.checkRunsOnce(c.Task, agent)
			agent.starts++
			agent.tasks[key] = &agentTask{name: c.Task, replica: c.Replica, state: "running", startedAt: agent.sim.now}
			if agent.sim.onStart != nil {
				agent.sim.onStart(agent, agent.tasks[key])
			}
		case c.Op == protocol.CommandStop && task != nil && task.state != "ended":
			task.state, task.cause = "ended", "halted"
		case c.Op == protocol.CommandReap && task != nil && task.state == "ended":
			delete(agent.tasks, key)
		}
	}
}

// checkRunsOnce is the rule ran_twice. It looks at the machines on which the task was
// started before: nothing else brings a copy of it onto a machine, but for tests
// that put old ones there, which have ended or are of an earlier number.
func (sim *simulation) checkRunsOnce(task string, on *machineAgent) {
	if _, bench := sim.t.(*testing.B); bench {
		return // it would cost more than what is measured
	}
	for _, agent := range sim.startedOn[task] {
		for _, t := range agent.tasks {
			if t.name == task && t.state != "ended" && sim.agents[agent.name] == agent {
				sim.t.Fatalf("%s is started on %s while it runs on %s", task, on.name, agent.name)
			}
		}
	}
	sim.startedOn[task] = append(sim.startedOn[task], on)
}

func (agent *machineAgent) running() []string {
	var out []string
	for _, task := range agent.tasks {
		if task.state == "running" {
			out = append(out, task.name)
		}
	}
	sort.Strings(out)
	return out
}

// finishTasks ends every running task.
func (agent *machineAgent) finishTasks(why string) {
	for _, task := range agent.tasks {
		if task.state == "running" {
			task.state, task.cause = "ended", why
		}
	}
}

// expireLease ends the worker's session, as its lease's end does.
func (agent *machineAgent) expireLease() {
	agent.tasks = make(map[string]*agentTask)
	agent.epoch++
	agent.lastAnswered = agent.sim.now
}
