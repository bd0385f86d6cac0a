package coordination

import (
	"fmt"
	"math/rand/v2"
	"strings"
	"testing"
	"time"

	"github.com/cobaltvale/cobaltvale/internal/protocol"
	"github.com/cobaltvale/cobaltvale/internal/simtest"
	"github.com/cobaltvale/cobaltvale/internal/storage"
)

// faultScenario plays users who check every answer, and machines whose leases end by
// themselves, so that a test only has to bring faults about together.
// Every rule of the protocol is looked at ten times a second; checkRunsOnce and
// zones are the worker's.
type faultScenario struct {
	*simulation
	rand                         *rand.Rand
	jobs                         map[string]simtest.JobRequest
	knownStatus                  map[string]string // the newest that any node has told of a job
	knownStatusSince             map[string]time.Duration
	cancelRequested              map[string]bool // its user has asked to cancel it
	completedTasks               map[string]bool // tasks that ended well
	repeatedQueries              []repeatedQuery
	delayedCalls                 []delayedCall
	submittedJobs                int                      // jobs
	startedTasks                 int                      // tasks
	startedRedTasks              int                      // of the team red, see divided
	lastAnsweredAt               map[string]time.Duration // when a question about a job was last answered
	crashOnConfirmedCancellation bool                     // the next node that confirms a cancellation ends as it does
}

// repeatedQuery is a question that is put to every node for a while.
type repeatedQuery struct {
	id    string
	until time.Duration
}

type delayedCall struct {
	dueAt time.Duration
	call  func()
}

const cancellationTimeout = 40 * time.Second // cancel_s of simtest.SettingsFormat

const statusAccepted = "accepted"

func newFaultScenario(t *testing.T, seed uint64, machines int) *faultScenario {
	t.Helper()
	return newFaultScenarioIn(t, newSimulation(t, "a", "b", "c"), seed, machines)
}

// newFaultScenarioIn plays a scenario in a deployment that is there already.
func newFaultScenarioIn(t *testing.T, sim *simulation, seed uint64, machines int) *faultScenario {
	t.Helper()
	scenario := &faultScenario{simulation: sim, rand: rand.New(rand.NewPCG(seed, 11)), jobs: make(map[string]simtest.JobRequest),
		knownStatus: make(map[string]string), knownStatusSince: make(map[string]time.Duration), cancelRequested: make(map[string]bool),
		completedTasks: make(map[string]bool), lastAnsweredAt: make(map[string]time.Duration)}
	scenario.ExpireLeases = true
	scenario.loseTransactions(0, true)
	scenario.OnTick = scenario.checkInvariants
	scenario.OnTaskDone = func(_ *simtest.Agent, name string) { scenario.completedTasks[name] = true }
	scenario.RunsUntilStopped = func(name string) bool {
		id, _, _ := strings.Cut(name, "/")
		return scenario.isService(id)
	}
	scenario.OnStart = func(agent *simtest.Agent, task *simtest.AgentTask) {
		scenario.startedTasks++
		id, _, _ := strings.Cut(task.Name, "/")
		if scenario.knownStatus[id] == protocol.StatusCancelled && scenario.Now()-scenario.knownStatusSince[id] > 100*time.Millisecond {
			t.Fatalf("%s starts %s after its cancellation was confirmed", task.Name, scenario.Now()-scenario.knownStatusSince[id])
		}
		if zone := scenario.jobs[id]["hall"]; zone != nil && zone != agent.Zone {
			t.Fatalf("%s starts in %s", task.Name, agent.Zone)
		}
	}
	for i := range machines {
		scenario.AddMachine(fmt.Sprintf("vm-%02d", i), []string{"z1", "z2"}[i%2])
	}
	scenario.Run(2 * time.Second)
	return scenario
}

// checkInvariants looks at the rules, and does what has come due.
func (scenario *faultScenario) checkInvariants() {
	use := make(map[string]float64)
	for _, agent := range scenario.Agents {
		for _, task := range agent.Tasks {
			if task.State == "ended" {
				continue
			}
			id, _, _ := strings.Cut(task.Name, "/")
			request := scenario.jobs[id]
			use[request["crew"].(string)] += request["vcpus"].(float64)
			if scenario.knownStatus[id] == protocol.StatusCancelled && scenario.Now()-scenario.knownStatusSince[id] > cancellationTimeout {
				scenario.T.Fatalf("%s is on %s %s after its cancellation was confirmed", task.Name, agent.Name, scenario.Now()-scenario.knownStatusSince[id])
			}
		}
	}
	if use["red"] > 32 {
		scenario.T.Fatalf("red uses %v of 32 CPUs", use["red"])
	}
	kept := scenario.delayedCalls[:0]
	var due []func()
	for _, l := range scenario.delayedCalls {
		if scenario.Now() >= l.dueAt {
			due = append(due, l.call)
			continue
		}
		kept = append(kept, l)
	}
	scenario.delayedCalls = kept
	for _, fn := range due {
		fn()
	}
	looks := scenario.repeatedQueries
	scenario.repeatedQueries = nil
	for _, l := range looks {
		scenario.queryEverywhere(l.id)
		if scenario.Now() < l.until {
			scenario.repeatedQueries = append(scenario.repeatedQueries, l)
		}
	}
}

// queryEverywhere asks all nodes about a job and repeats its submission.
func (scenario *faultScenario) queryEverywhere(id string) {
	for _, name := range scenario.Members {
		scenario.query(scenario.Nodes[name], "GET", id)
		scenario.query(scenario.Nodes[name], "POST", id)
	}
}

// query puts a question to a node: GET, POST (a submission) or ABORT. Whatever
// it answers may not be older than what any node had told when it was put.
func (scenario *faultScenario) query(n *simtest.Node, what, id string) {
	if !n.Up || n.Paused {
		return
	}
	before := scenario.knownStatus[id]
	req := &Request{Method: "GET", Path: "/submissions/" + id}
	switch what {
	case "POST":
		req = &Request{Method: "POST", Path: "/submissions", Body: scenario.Codec.Encode(map[string]any(scenario.jobs[id]))}
	case "ABORT":
		req = &Request{Method: "POST", Path: "/submissions/" + id + "/abort"}
		scenario.cancelRequested[id] = true
	}
	controller := controllerOf(n)
	controller.HandleHTTP(req, func(r Response) {
		if controllerOf(n) != controller || !n.Up {
			return // nobody hears it
		}
		scenario.checkResponse(n, what, id, before, r)
	})
}

func (scenario *faultScenario) checkResponse(n *simtest.Node, what, id, before string, r Response) {
	fail := func(rule string) {
		scenario.T.Helper()
		scenario.T.Fatalf("%s: %s %s at %s is answered %d after %q", rule, what, id, n.Name, r.Status, before)
	}
	switch r.Status {
	case 404, 400, 422:
		if before != "" {
			fail("forgotten")
		}
		return
	case 200, 201:
	default:
		return
	}
	var s protocol.JobStatus
	if err := scenario.Codec.Decode(r.Body, &s); err != nil {
		scenario.T.Fatal(err)
	}
	scenario.lastAnsweredAt[id] = scenario.Now()
	final := s.Status == protocol.StatusDone || s.Status == protocol.StatusCancelled
	switch {
	case scenario.jobs[id] == nil:
		fail("invented")
	case before != "" && before != statusAccepted && s.Status != before:
		fail("went_back to " + s.Status)
	case s.Status == protocol.StatusCancelled && !scenario.cancelRequested[id]:
		fail("went_back to withdrawn, which nobody asked for")
	case s.Status == protocol.StatusDone:
		for i := range scenario.jobs[id]["pages"].(int) {
			if !scenario.completedTasks[fmt.Sprintf("%s/%d", id, i)] {
				fail("not_done")
			}
		}
	}
	news := s.Status
	if !final {
		news = statusAccepted
	}
	if scenario.knownStatus[id] == "" || (final && scenario.knownStatus[id] == statusAccepted) {
		scenario.knownStatus[id], scenario.knownStatusSince[id] = news, scenario.Now()
		scenario.repeatedQueries = append(scenario.repeatedQueries, repeatedQuery{id, scenario.Now() + 500*time.Millisecond})
		if scenario.crashOnConfirmedCancellation && news == protocol.StatusCancelled && controllerOf(n).owner.Job(id) == nil {
			scenario.crashOnConfirmedCancellation, n.Up = false, false // nothing that it has not sent yet is sent
			scenario.delayedCalls = append(scenario.delayedCalls, delayedCall{scenario.Now(), func() { scenario.Crash(n.Name) }})
		}
	}
}

// submit hands a new job in at a node and returns its id.
func (scenario *faultScenario) submit(n *simtest.Node, pages int, with ...any) string {
	scenario.submittedJobs++
	id := fmt.Sprint("wk-", scenario.submittedJobs)
	request := simtest.BatchJob(id, pages)
	for i := 0; i+1 < len(with); i += 2 {
		request = request.With(with[i].(string), with[i+1])
	}
	scenario.jobs[id] = request
	scenario.query(n, "POST", id)
	return id
}

// submitService hands a new service in at a node.
func (scenario *faultScenario) submitService(n *simtest.Node, replicas int, with ...any) string {
	return scenario.submit(n, replicas, append([]any{"form", "service", "urgency", "production", "expectedS", 0.0}, with...)...)
}

func (scenario *faultScenario) isService(id string) bool {
	return scenario.jobs[id]["form"] == "service"
}

func (scenario *faultScenario) randomNode() *simtest.Node {
	return scenario.Nodes[scenario.Members[scenario.rand.IntN(len(scenario.Members))]]
}

// unfinishedJobs returns the jobs that go on for all that was told.
func (scenario *faultScenario) unfinishedJobs() []string {
	var out []string
	for i := range scenario.submittedJobs {
		if id := fmt.Sprint("wk-", i+1); scenario.knownStatus[id] == statusAccepted {
			out = append(out, id)
		}
	}
	return out
}

// cancelRandomJobs asks at some node to cancel some jobs that go on.
func (scenario *faultScenario) cancelRandomJobs(n int) {
	for _, id := range scenario.unfinishedJobs() {
		if n > 0 && scenario.rand.IntN(2) == 0 {
			scenario.query(scenario.randomNode(), "ABORT", id)
			n--
		}
	}
}

// retryCancellations repeats the cancellations that were not confirmed.
func (scenario *faultScenario) retryCancellations() {
	for _, id := range scenario.unfinishedJobs() {
		if scenario.cancelRequested[id] {
			scenario.query(scenario.randomNode(), "ABORT", id)
		}
	}
}

// play lets seconds pass; each does what a script says, and users go on asking.
func (scenario *faultScenario) runScript(seconds int, script func(second int)) {
	for i := range seconds {
		script(i)
		scenario.Run(time.Second)
		scenario.BootMachines(3 * time.Second)
		scenario.retryCancellations()
		if ids := scenario.unfinishedJobs(); len(ids) > 0 {
			scenario.query(scenario.randomNode(), "GET", ids[scenario.rand.IntN(len(ids))])
		}
	}
}

// restoreAll starts all nodes that are down and mends the mesh.
func (scenario *faultScenario) restoreAll() {
	for _, name := range scenario.Members {
		if n := scenario.Nodes[name]; !n.Up {
			scenario.Crash(name) // one that died as it spoke
			scenario.Start(name)
		}
	}
	for i, name := range scenario.Members {
		for _, other := range scenario.Members[i+1:] {
			if l := scenario.Nodes[name].Links[other]; l == nil || l.Closed {
				scenario.Connect(name, other)
			}
		}
	}
}

// recoverAndCheck ends all faults. From then on every job has to be known within 75 s, and
// whatever was not cancelled has to be done: nothing waits 90 s while there is
// room.
func (scenario *faultScenario) recoverAndCheck() {
	clear(scenario.State.Unavailable)
	clear(scenario.State.StalledWatches)
	scenario.loseTransactions(0, true)
	scenario.Cloud.RejectsScaleOut, scenario.Cloud.LosesResponses, scenario.Cloud.RejectsRelease = false, false, false
	scenario.crashOnConfirmedCancellation = false
	scenario.restoreAll()
	for _, agent := range scenario.Agents {
		agent.Silent, agent.LosesResponses, agent.DropsStarts = false, false, false
		if agent.TaskDuration == 0 {
			agent.TaskDuration = 3 * time.Second
		}
	}
	at := scenario.Now()
	quiet := func(int) {
		for _, id := range scenario.unfinishedJobs() {
			scenario.query(scenario.randomNode(), "GET", id)
		}
	}
	scenario.runScript(75, quiet)
	for id := range scenario.knownStatus {
		scenario.query(scenario.randomNode(), "GET", id)
	}
	scenario.Run(3 * time.Second)
	for id := range scenario.knownStatus {
		if scenario.lastAnsweredAt[id] < at {
			scenario.T.Fatalf("forgotten: no question about %s is answered for 75 s", id)
		}
	}
	scenario.runScript(45, quiet)
	for _, id := range scenario.unfinishedJobs() {
		if scenario.isService(id) && !scenario.cancelRequested[id] {
			if n := len(scenario.machinesByTask(id)); n != scenario.jobs[id]["pages"].(int) {
				scenario.T.Errorf("of %s (%v replicas) %d run 120 s after the last fault", id, scenario.jobs[id]["pages"], n)
			}
			continue
		}
		scenario.T.Errorf("%s (%v tasks) is not over 120 s after the last fault, cancelled: %v", id, scenario.jobs[id]["pages"], scenario.cancelRequested[id])
	}
}

// loseTransactions has a share of the transactions get no answer; they are carried out at
// once, or 2 to 12 s later. Others are answered up to 0.3 s after they were.
func (scenario *faultScenario) loseTransactions(share float64, atOnce bool) {
	scenario.State.OnTransaction = func(_ string, _ *protocol.Transaction, apply func() storage.Response, done func(storage.Response)) bool {
		lost := scenario.rand.Float64() < share
		if lost && !atOnce {
			scenario.delayedCalls = append(scenario.delayedCalls, delayedCall{scenario.Now() + 2*time.Second + time.Duration(scenario.rand.Int64N(int64(10*time.Second))), func() { apply() }})
		}
		r := storage.Response{}
		if !lost {
			r = apply()
		} else if atOnce {
			apply()
		}
		scenario.delayedCalls = append(scenario.delayedCalls, delayedCall{scenario.Now() + time.Duration(scenario.rand.Int64N(int64(300*time.Millisecond))), func() { done(r) }})
		return true
	}
}
