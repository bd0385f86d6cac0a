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

// Two faults at a time, as the operators' hunt page names them. That no task
// starts on one machine while it is on another is checked at every start, see
// checkRunsOnce.

// finishRunningTask ends one running task wherever it runs.
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

// Tasks of short jobs end far apart across a change of leader: what had ended
// stays so, what runs goes on, and the job is done once the last has ended.
func TestShortJobEndsAcrossLeaderChange(t *testing.T) {
	for _, at := range []string{"leader", "follower"} {
		t.Run("submitted at the "+at, func(t *testing.T) {
			sim := newSimulation(t, "a", "b", "c")
			sim.AddMachine("vm-1", "z1")
			sim.AddMachine("vm-2", "z2")
			sim.Run(2 * time.Second)
			lead := sim.Leader()
			n := lead
			if at == "follower" {
				n = sim.Follower()
			}
			requireEqual(t, "submit", n.Submit(simtest.BatchJob("wk-1", 3)).Status, 201)
			sim.Run(3 * time.Second)
			sim.finishRunningTask("wk-1/0")
			sim.Run(300 * time.Millisecond) // reported, and perhaps not yet written
			sim.Crash(lead.Name)
			sim.Run(time.Second)
			sim.finishRunningTask("wk-1/1")
			sim.Run(15 * time.Second)
			next := sim.Leader()
			if code, s := next.Status("wk-1"); code != 200 || s.Status == "done" {
				t.Fatalf("%d %q while a task runs", code, s.Status)
			}
			requireEqual(t, "starts", sim.startCount(), 3)
			sim.Start(lead.Name)
			sim.Run(10 * time.Second)
			sim.finishRunningTask("wk-1/2")
			sim.Run(5 * time.Second)
			for _, name := range sim.Members {
				sim.requireStatus(sim.Nodes[name], "wk-1", 200, "done")
			}
			requireEqual(t, "starts in all", sim.startCount(), 3)
		})
	}
}

// The leader ends while machines with long tasks are out of reach, or don't hear
// the next leader's answers. Their tasks run on and are not started elsewhere
// before their leases are over; those that are back within them keep them.
func TestLeaderCrashWhileMachinesAreUnreachable(t *testing.T) {
	for _, deaf := range []bool{false, true} {
		for _, back := range []bool{false, true} {
			t.Run(fmt.Sprint("responses lost: ", deaf, ", back in time: ", back), func(t *testing.T) {
				sim := newSimulation(t, "a", "b", "c")
				sim.AddMachines(10)
				sim.Run(2 * time.Second)
				lead := sim.Leader()
				requireEqual(t, "submit", lead.Submit(simtest.BatchJob("wk-1", 20)).Status, 201) // whose shard changes hands too
				sim.Run(4 * time.Second)
				requireEqual(t, "running", sim.runningTasks(), 20)
				var lost []*simtest.Agent
				for _, name := range sim.AgentNames() {
					if agent := sim.Agents[name]; len(lost) < 3 && len(agent.Running()) > 0 {
						agent.Silent, agent.LosesResponses = !deaf, deaf
						lost = append(lost, agent)
					}
				}
				sim.Crash(lead.Name)
				sim.Run(10 * time.Second) // within their leases of 16 s
				requireEqual(t, "starts before the leases are over", sim.startCount(), 20)
				if back {
					for _, agent := range lost {
						agent.Silent, agent.LosesResponses = false, false
					}
					sim.Run(15 * time.Second)
					requireEqual(t, "starts of tasks whose machines are back", sim.startCount(), 20)
					return
				}
				for _, agent := range lost {
					agent.ExpireLease()
				}
				sim.Run(30 * time.Second)
				requireEqual(t, "running again", sim.runningTasks(), 20)
			})
		}
	}
}

// The state service refuses the leader alone and then everybody, for longer than
// a cancellation has, while users cancel and ask. Nobody is told what is not
// durable, and once it is back everything is answered and what was cancelled goes.
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
	told := make(map[string]bool)
	for i := range 50 { // cancel_s is 40
		for _, name := range sim.Members {
			out := sim.Nodes[name].Send("POST", "/submissions/wk-1/abort")
			ask := sim.Nodes[name].Send("GET", "/submissions/wk-2")
			sim.Run(time.Second)
			if out.Status == 200 {
				t.Fatal("a cancellation was told that nothing holds")
			}
			if ask.Status != 200 && ask.Status != 503 {
				t.Fatalf("a job that runs was answered %d", ask.Status)
			}
			told[fmt.Sprint(ask.Status, i >= 40)] = true
		}
	}
	requireEqual(t, "somebody answers to the end for the job that runs", told["200 true"], true)
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

// An answer is held up for seconds, its leader ends meanwhile, and the machine
// then carries it out: the start counts, or is proven absent, before another.
func TestDelayedResponseOfACrashedLeader(t *testing.T) {
	for _, arrives := range []bool{true, false} {
		t.Run(fmt.Sprint("response arrives: ", arrives), func(t *testing.T) {
			sim := newSimulation(t, "a", "b", "c")
			agent, other := sim.AddMachine("vm-1", "z1"), sim.AddMachine("vm-2", "z1")
			sim.Run(2 * time.Second)
			lead := sim.Leader()
			requireEqual(t, "submit", lead.Submit(simtest.BatchJob("wk-1", 2)).Status, 201) // whose shard changes hands too
			if agent.ConnectedTo != lead.Process {
				agent.HeartbeatTo(lead)
			}
			held := &Response{}
			controllerOf(lead).HandleHTTP(&Request{Method: "POST", Path: "/checkin", Body: agent.HeartbeatBody(), Conn: agent.Connection}, func(r Response) { *held = r })
			sim.Advance(400 * time.Millisecond)
			requireEqual(t, "answer", held.Status, 200)
			agent.Silent = true // it waits for the answer
			sim.Crash(lead.Name)
			for range 3 {
				sim.Advance(time.Second)
				other.Heartbeat()
			}
			agent.Silent = false
			if arrives {
				agent.Execute(held.Body)
			}
			agent.ConnectedTo = nil
			sim.Run(20 * time.Second)
			requireEqual(t, "running", sim.runningTasks(), 2)
			requireEqual(t, "starts", sim.startCount(), 2)
		})
	}
}

// All end, and one is back within a second: it goes on alone, with all shards,
// once nobody can hold a extension of its predecessor's.
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

// A transaction of each kind gets no answer and is carried out late, after newer
// ones of the same controller, with a change of leader in between or without.
// Whatever it holds is fenced or harmless: every job ends as it should.
func TestLateTransactionOfEachKind(t *testing.T) {
	kinds := map[string]func(c protocol.Change) bool{
		"leader":    func(c protocol.Change) bool { return c.Put == storage.LeaderKey },
		"shard":     func(c protocol.Change) bool { return strings.HasPrefix(c.Put, "m/ledger/") },
		"member":    func(c protocol.Change) bool { return strings.HasPrefix(c.Put, "m/member/") },
		"machines":  func(c protocol.Change) bool { return strings.HasPrefix(c.Put+c.Delete, "fleet/") },
		"finished":  func(c protocol.Change) bool { return strings.HasPrefix(c.Put+c.Delete, "done/") },
		"book":      func(c protocol.Change) bool { return strings.HasPrefix(c.Put+c.Delete, "own/") },
		"job":       func(c protocol.Change) bool { return strings.HasPrefix(c.Put, "job/") },
		"any":       func(protocol.Change) bool { return true },
		"deletions": func(c protocol.Change) bool { return c.Delete != "" },
	}
	for kind, is := range kinds {
		for variant := range 4 {
			t.Run(fmt.Sprint(kind, ", variant ", variant), func(t *testing.T) {
				sim := newSimulation(t, "a", "b", "c")
				type late struct {
					at    time.Duration
					apply func() storage.Response
				}
				var held []late
				n, hits := 0, 0
				sim.State.OnTransaction = func(_ string, txn *protocol.Transaction, apply func() storage.Response, done func(storage.Response)) bool {
					hit := false
					for _, c := range txn.Then {
						hit = hit || is(c)
					}
					if !hit {
						return false
					}
					if n++; n%3 != variant%3 { // one in three
						return false
					}
					hits++
					held = append(held, late{sim.Now() + time.Duration(2+n%11)*time.Second, apply})
					done(storage.Response{})
					return true
				}
				for i := range 6 {
					agent := sim.AddMachine(fmt.Sprintf("vm-%d", i), "z1")
					agent.TaskDuration, agent.DurationSpread = 2*time.Second, time.Second
				}
				second := func() {
					sim.Run(time.Second)
					sim.BootMachines(2 * time.Second)
					kept := held[:0]
					for _, l := range held {
						if sim.Now() < l.at {
							kept = append(kept, l)
							continue
						}
						l.apply()
					}
					held = kept
				}
				accepted, cancelled := make(map[string]bool), make(map[string]bool)
				for i := range 40 {
					second()
					id := fmt.Sprint("wk-", i+1)
					r := sim.Nodes[sim.Members[i%3]]
					if r.Up && r.Submit(simtest.BatchJob(id, 1+i%9)).Status == 201 {
						accepted[id] = true
					}
					if i%7 == 6 && r.Up && accepted[fmt.Sprint("wk-", i)] {
						if code, s := r.Cancel(fmt.Sprint("wk-", i)); code == 200 && s == "withdrawn" {
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
						sim.Start(name) // back at once
					}
				}
				for range 60 {
					second()
				}
				sim.State.OnTransaction = nil
				for len(held) > 0 {
					second()
				}
				for range 40 {
					second()
				}
				if hits == 0 && kind != "leader" && kind != "member" && kind != "shard" {
					t.Fatalf("%s %d: nothing was held", kind, variant)
				}
				if len(accepted) < 15 {
					t.Fatalf("%s %d: %d of 40 jobs were accepted", kind, variant, len(accepted))
				}
				for id := range accepted {
					end := "done"
					if cancelled[id] {
						end = "withdrawn"
					}
					if code, s := sim.Leader().Status(id); code != 200 || (s.Status != end && s.Status != "withdrawn") || (s.Status == "withdrawn") != (end == "withdrawn") {
						t.Fatalf("%s %d: %s is answered %d %q, not %q", kind, variant, id, code, s.Status, end)
					}
				}
			})
		}
	}
}
