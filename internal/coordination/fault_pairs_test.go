package coordination

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/cobaltvale/cobaltvale/internal/protocol"
	"github.com/cobaltvale/cobaltvale/internal/simtest"
	"github.com/cobaltvale/cobaltvale/internal/storage"
)

// Tests of two faults at a time. Package simtest checks at every start that the task doesn't run
// on another machine.

// finishRunningTask completes a task on each machine on which it runs.
func (sim *simulation) finishRunningTask(name string) {
	for _, agent := range sim.Agents {
		for _, task := range agent.Tasks {
			if task.Name == name && task.State == "running" {
				task.State, task.Cause = "ended", "done"
			}
		}
	}
}

func (sim *simulation) startCount() int {
	n := 0
	for _, agent := range sim.Agents {
		n += agent.Starts
	}
	return n
}

// The tasks of a short job end at different times around a change of leader. Tasks that have ended
// must stay ended, running ones must keep running, and the job is done only after its last task.
func TestShortJobEndsAcrossLeaderChange(t *testing.T) {
	for _, role := range []string{"leader", "follower"} {
		t.Run("submitted at the "+role, func(t *testing.T) {
			sim := newSimulation(t, "a", "b", "c")
			sim.AddMachine("vm-1", "z1")
			sim.AddMachine("vm-2", "z2")
			sim.Run(2 * time.Second)
			leader := sim.Leader()
			n := leader
			if role == "follower" {
				n = sim.Follower()
			}
			requireEqual(t, "submit", n.Submit(simtest.BatchJob("wk-1", 3)).Status, 201)
			sim.Run(3 * time.Second)
			sim.finishRunningTask("wk-1/0")
			sim.Run(300 * time.Millisecond) // the end is reported, but may not be written yet
			sim.Crash(leader.Name)
			sim.Run(time.Second)
			sim.finishRunningTask("wk-1/1")
			sim.Run(15 * time.Second)
			next := sim.Leader()
			if code, s := next.Status("wk-1"); code != 200 || s.Status == "done" {
				t.Fatalf("status %d %q while a task runs, want 200 and not done", code, s.Status)
			}
			requireEqual(t, "starts", sim.startCount(), 3)
			sim.Start(leader.Name)
			sim.Run(10 * time.Second)
			sim.finishRunningTask("wk-1/2")
			sim.Run(5 * time.Second)
			for _, name := range sim.Members {
				sim.requireStatus(sim.Nodes[name], "wk-1", 200, "done")
			}
			requireEqual(t, "starts in total", sim.startCount(), 3)
		})
	}
}

// The leader crashes while machines with long tasks send no heartbeats, or don't get the responses
// of the next leader. Their tasks keep running and must not be started elsewhere before the
// machines' leases have expired. Machines that reconnect before that keep their tasks.
func TestLeaderCrashWhileMachinesAreUnreachable(t *testing.T) {
	for _, responsesLost := range []bool{false, true} {
		for _, reconnects := range []bool{false, true} {
			t.Run(fmt.Sprint("responses lost: ", responsesLost, ", reconnects in time: ", reconnects), func(t *testing.T) {
				sim := newSimulation(t, "a", "b", "c")
				sim.AddMachines(10)
				sim.Run(2 * time.Second)
				leader := sim.Leader()
				requireEqual(t, "submit", leader.Submit(simtest.BatchJob("wk-1", 20)).Status, 201) // whose shard also changes its owner
				sim.Run(4 * time.Second)
				requireEqual(t, "running", sim.runningTasks(), 20)
				var unreachable []*simtest.Agent
				for _, name := range sim.AgentNames() {
					if agent := sim.Agents[name]; len(unreachable) < 3 && len(agent.Running()) > 0 {
						agent.Silent, agent.LosesResponses = !responsesLost, responsesLost
						unreachable = append(unreachable, agent)
					}
				}
				sim.Crash(leader.Name)
				sim.Run(10 * time.Second) // within their leases of 16 s
				requireEqual(t, "starts before the leases expire", sim.startCount(), 20)
				if reconnects {
					for _, agent := range unreachable {
						agent.Silent, agent.LosesResponses = false, false
					}
					sim.Run(15 * time.Second)
					requireEqual(t, "starts after the machines have reconnected", sim.startCount(), 20)
					return
				}
				for _, agent := range unreachable {
					agent.ExpireLease()
				}
				sim.Run(30 * time.Second)
				requireEqual(t, "running again", sim.runningTasks(), 20)
			})
		}
	}
}

// The state service is unavailable to the leader and then to all members, for longer than
// cancel_s, while users cancel a job and query another. No response may confirm what is not
// durable. After the outage all requests are answered, and the tasks of the cancelled job end.
func TestCancellationDuringLongOutage(t *testing.T) {
	sim := newSimulation(t, "a", "b", "c")
	sim.AddMachine("vm-1", "z1")
	sim.AddMachine("vm-2", "z1")
	sim.Run(2 * time.Second)
	first := sim.Leader()
	requireEqual(t, "submit", first.Submit(simtest.BatchJob("wk-1", 2)).Status, 201)
	requireEqual(t, "submit", sim.Follower().Submit(simtest.BatchJob("wk-2", 2)).Status, 201)
	sim.Run(3 * time.Second)
	sim.State.Unavailable[first.Name] = true
	sim.Run(8 * time.Second)
	sim.State.Unavailable[""] = true
	answered := make(map[string]bool) // by status code and whether after 40 s
	for i := range 50 {               // cancel_s is 40
		for _, name := range sim.Members {
			cancellation := sim.Nodes[name].Send("POST", "/submissions/wk-1/abort")
			query := sim.Nodes[name].Send("GET", "/submissions/wk-2")
			sim.Run(time.Second)
			if cancellation.Status == 200 {
				t.Fatal("a cancellation was confirmed during the outage")
			}
			if query.Status != 200 && query.Status != 503 {
				t.Fatalf("a query of a running job was answered %d, want 200 or 503", query.Status)
			}
			answered[fmt.Sprint(query.Status, i >= 40)] = true
		}
	}
	requireEqual(t, "queries of the running job are answered after 40 s", answered["200 true"], true)
	clear(sim.State.Unavailable)
	sim.Run(6 * time.Second)
	code, status := sim.Leader().Cancel("wk-1")
	requireEqual(t, "cancelled", fmt.Sprintf("%d %s", code, status), "200 withdrawn")
	sim.Run(6 * time.Second)
	requireEqual(t, "running", sim.runningTasks(), 2)
	for _, name := range sim.Members {
		sim.requireStatus(sim.Nodes[name], "wk-1", 200, "withdrawn")
	}
}

// A response is delayed for 3 s, in which the leader that sent it crashes. Then the machine
// executes it, or it is lost. The next leader must not start the task elsewhere before it knows
// whether the machine runs it.
func TestDelayedResponseOfACrashedLeader(t *testing.T) {
	for _, arrives := range []bool{true, false} {
		t.Run(fmt.Sprint("response arrives: ", arrives), func(t *testing.T) {
			sim := newSimulation(t, "a", "b", "c")
			agent, other := sim.AddMachine("vm-1", "z1"), sim.AddMachine("vm-2", "z1")
			sim.Run(2 * time.Second)
			leader := sim.Leader()
			requireEqual(t, "submit", leader.Submit(simtest.BatchJob("wk-1", 2)).Status, 201) // whose shard also changes its owner
			if agent.ConnectedTo != leader.Process {
				agent.HeartbeatTo(leader)
			}
			delayed := &Response{}
			controllerOf(leader).HandleHTTP(&Request{Method: "POST", Path: "/checkin", Body: agent.HeartbeatBody(), Conn: agent.Connection}, func(r Response) { *delayed = r })
			sim.Advance(400 * time.Millisecond)
			requireEqual(t, "response", delayed.Status, 200)
			agent.Silent = true // it waits for the response
			sim.Crash(leader.Name)
			for range 3 {
				sim.Advance(time.Second)
				other.Heartbeat()
			}
			agent.Silent = false
			if arrives {
				agent.Execute(delayed.Body)
			}
			agent.ConnectedTo = nil
			sim.Run(20 * time.Second)
			requireEqual(t, "running", sim.runningTasks(), 2)
			requireEqual(t, "starts", sim.startCount(), 2)
		})
	}
}

// All members crash, and one restarts within a second. It must become the leader and the owner of
// all shards, once no member can still act by a lease extension that its previous process granted.
func TestOneMemberRecoversAfterAllCrash(t *testing.T) {
	for _, name := range []string{"a", "b", "c"} {
		t.Run(name, func(t *testing.T) {
			sim := newSimulation(t, "a", "b", "c")
			sim.AddMachine("vm-1", "z1")
			sim.AddMachine("vm-2", "z1")
			sim.Run(2 * time.Second)
			for i, n := range sim.Members {
				requireEqual(t, "submit", sim.Nodes[n].Submit(simtest.BatchJob(fmt.Sprint("wk-", i+1), 2)).Status, 201)
			}
			sim.Run(4 * time.Second)
			sim.CrashAll()
			sim.Advance(300 * time.Millisecond)
			sim.Start(name)
			sim.Run(14 * time.Second)
			n := sim.Nodes[name]
			requireEqual(t, "leads", sim.Leader(), n)
			requireEqual(t, "running", sim.runningTasks(), 6)
			for i := range sim.Members {
				sim.requireStatus(n, fmt.Sprint("wk-", i+1), 200, "running")
			}
			sim.FinishAllTasks()
			sim.Run(5 * time.Second)
			for i := range sim.Members {
				sim.requireStatus(n, fmt.Sprint("wk-", i+1), 200, "done")
			}
			requireEqual(t, "starts", sim.startCount(), 6)
		})
	}
}

// One in three transactions of a kind gets no response and is applied 2 to 12 s later, after newer
// ones of the same controller. In two of the variants the leader crashes meanwhile. The late
// transactions must be fenced or harmless: every job ends with the status that users were told.
func TestLateTransactionOfEachKind(t *testing.T) {
	kinds := map[string]func(c protocol.Change) bool{
		"leader":       func(c protocol.Change) bool { return c.Put == storage.LeaderKey },
		"shard":        func(c protocol.Change) bool { return strings.HasPrefix(c.Put, "m/ledger/") },
		"member":       func(c protocol.Change) bool { return strings.HasPrefix(c.Put, "m/member/") },
		"machines":     func(c protocol.Change) bool { return strings.HasPrefix(c.Put+c.Delete, "fleet/") },
		"finished":     func(c protocol.Change) bool { return strings.HasPrefix(c.Put+c.Delete, "done/") },
		"descriptions": func(c protocol.Change) bool { return strings.HasPrefix(c.Put+c.Delete, "own/") },
		"job":          func(c protocol.Change) bool { return strings.HasPrefix(c.Put, "job/") },
		"any":          func(protocol.Change) bool { return true },
		"deletions":    func(c protocol.Change) bool { return c.Delete != "" },
	}
	for kind, matches := range kinds {
		for variant := range 4 {
			t.Run(fmt.Sprint(kind, ", variant ", variant), func(t *testing.T) {
				sim := newSimulation(t, "a", "b", "c")
				type lateTransaction struct {
					applyAt time.Duration
					apply   func() storage.Response
				}
				var late []lateTransaction
				matched, delayed := 0, 0
				sim.State.OnTransaction = func(_ string, txn *protocol.Transaction, apply func() storage.Response, done func(storage.Response)) bool {
					isMatch := false
					for _, c := range txn.Then {
						isMatch = isMatch || matches(c)
					}
					if !isMatch {
						return false
					}
					if matched++; matched%3 != variant%3 { // delays one in three
						return false
					}
					delayed++
					late = append(late, lateTransaction{sim.Now() + time.Duration(2+matched%11)*time.Second, apply})
					done(storage.Response{})
					return true
				}
				for i := range 6 {
					agent := sim.AddMachine(fmt.Sprintf("vm-%d", i), "z1")
					agent.TaskDuration, agent.DurationSpread = 2*time.Second, time.Second
				}
				runSecond := func() {
					sim.Run(time.Second)
					sim.BootMachines(2 * time.Second)
					kept := late[:0]
					for _, transaction := range late {
						if sim.Now() < transaction.applyAt {
							kept = append(kept, transaction)
							continue
						}
						transaction.apply()
					}
					late = kept
				}
				accepted, cancelled := make(map[string]bool), make(map[string]bool)
				for i := range 40 {
					runSecond()
					id := fmt.Sprint("wk-", i+1)
					node := sim.Nodes[sim.Members[i%3]]
					if node.Up && node.Submit(simtest.BatchJob(id, 1+i%9)).Status == 201 {
						accepted[id] = true
					}
					if i%7 == 6 && node.Up && accepted[fmt.Sprint("wk-", i)] {
						if code, s := node.Cancel(fmt.Sprint("wk-", i)); code == 200 && s == "withdrawn" {
							cancelled[fmt.Sprint("wk-", i)] = true
						}
					}
					switch {
					case variant == 3 && i == 15:
						sim.Crash(sim.Leader().Name)
					case variant == 3 && i == 25:
						for _, name := range sim.Members {
							if !sim.Nodes[name].Up {
								sim.Start(name)
							}
						}
					case variant == 2 && i == 20:
						name := sim.Leader().Name
						sim.Crash(name)
						sim.Start(name) // restarts at once
					}
				}
				for range 60 {
					runSecond()
				}
				sim.State.OnTransaction = nil
				for len(late) > 0 {
					runSecond()
				}
				for range 40 {
					runSecond()
				}
				if delayed == 0 && kind != "leader" && kind != "member" && kind != "shard" {
					t.Fatalf("%s %d: no transaction was delayed", kind, variant)
				}
				if len(accepted) < 15 {
					t.Fatalf("%s %d: %d of 40 jobs were accepted, want at least 15", kind, variant, len(accepted))
				}
				for id := range accepted {
					finalStatus := "done"
					if cancelled[id] {
						finalStatus = "withdrawn"
					}
					if code, s := sim.Leader().Status(id); code != 200 || (s.Status != finalStatus && s.Status != "withdrawn") || (s.Status == "withdrawn") != (finalStatus == "withdrawn") {
						t.Fatalf("%s %d: the status of %s is %d %q, not %q", kind, variant, id, code, s.Status, finalStatus)
					}
				}
			})
		}
	}
}
