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

// faultScenario simulates users who check every response, and machines whose leases expire by
// themselves, so that a test only has to cause faults. checkInvariants runs after every tick,
// ten times a second. That a task doesn't run on two machines and starts in the zone of its job
// is checked at each start, by package simtest and by OnStart.
type faultScenario struct {
	*simulation
	rand                         *rand.Rand
	jobs                         map[string]simtest.JobRequest
	knownStatus                  map[string]string        // by job: the latest in the responses of all nodes; statusAccepted until it is final
	knownStatusSince             map[string]time.Duration // by job: when knownStatus last changed
	cancelRequested              map[string]bool          // by job: a user has requested its cancellation
	completedTasks               map[string]bool          // tasks that have completed, as reported in heartbeats
	repeatedQueries              []repeatedQuery
	delayedCalls                 []delayedCall
	submittedJobs                int                      // number of jobs
	startedTasks                 int                      // number of started replicas
	startedRedTasks              int                      // those of the team red; counted with quota escrow only
	lastAnsweredAt               map[string]time.Duration // by job: when a request about it was last answered
	crashOnConfirmedCancellation bool                     // crash the next node that confirms the cancellation of another owner's job
}

// repeatedQuery repeats the queries of a job at every node, at each tick.
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

// newFaultScenarioIn creates a scenario in a deployment that has been started.
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
			t.Fatalf("%s starts in %s, not in the zone that its job requires", task.Name, agent.Zone)
		}
	}
	for i := range machines {
		scenario.AddMachine(fmt.Sprintf("vm-%02d", i), []string{"z1", "z2"}[i%2])
	}
	scenario.Run(2 * time.Second)
	return scenario
}

// checkInvariants checks that no replica of a cancelled job still runs cancellationTimeout after
// the confirmation (ran_cancelled), and that the team red uses at most its cpus_max of 32. Then
// it makes the delayed calls that are due, and the repeated queries.
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
	for _, pending := range scenario.delayedCalls {
		if scenario.Now() >= pending.dueAt {
			due = append(due, pending.call)
			continue
		}
		kept = append(kept, pending)
	}
	scenario.delayedCalls = kept
	for _, fn := range due {
		fn()
	}
	queries := scenario.repeatedQueries
	scenario.repeatedQueries = nil
	for _, pending := range queries {
		scenario.queryEverywhere(pending.id)
		if scenario.Now() < pending.until {
			scenario.repeatedQueries = append(scenario.repeatedQueries, pending)
		}
	}
}

// queryEverywhere requests a job's status from all nodes and repeats its submission at each.
func (scenario *faultScenario) queryEverywhere(id string) {
	for _, name := range scenario.Members {
		scenario.query(scenario.Nodes[name], "GET", id)
		scenario.query(scenario.Nodes[name], "POST", id)
	}
}

// query sends a request about a job to a node: GET (its status), POST (its submission) or ABORT
// (its cancellation). The response must not be older than the status that was known from any
// node when the request was sent.
func (scenario *faultScenario) query(n *simtest.Node, operation, id string) {
	if !n.Up || n.Paused {
		return
	}
	before := scenario.knownStatus[id]
	req := &Request{Method: "GET", Path: "/submissions/" + id}
	switch operation {
	case "POST":
		req = &Request{Method: "POST", Path: "/submissions", Body: scenario.Codec.Encode(map[string]any(scenario.jobs[id]))}
	case "ABORT":
		req = &Request{Method: "POST", Path: "/submissions/" + id + "/abort"}
		scenario.cancelRequested[id] = true
	}
	controller := controllerOf(n)
	controller.HandleHTTP(req, func(r Response) {
		if controllerOf(n) != controller || !n.Up {
			return // the node has crashed: its response reaches no user
		}
		scenario.checkResponse(n, operation, id, before, r)
	})
}

// checkResponse checks a response about a job whose known status was before when the request
// was sent, and records the status that it shows. A failure message begins with the name of the
// rule that is broken.
func (scenario *faultScenario) checkResponse(n *simtest.Node, operation, id, before string, r Response) {
	fail := func(violation string) {
		scenario.T.Helper()
		scenario.T.Fatalf("%s: %s %s at %s is answered %d after %q", violation, operation, id, n.Name, r.Status, before)
	}
	switch r.Status {
	case 404, 400, 422:
		if before != "" {
			fail("forgotten: an accepted job is unknown")
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
		fail("invented: a job is known that was never submitted")
	case before != "" && before != statusAccepted && s.Status != before:
		fail("went_back: a final status changed to " + s.Status)
	case s.Status == protocol.StatusCancelled && !scenario.cancelRequested[id]:
		fail("went_back: a job is withdrawn whose cancellation was not requested")
	case s.Status == protocol.StatusDone:
		for i := range scenario.jobs[id]["pages"].(int) {
			if !scenario.completedTasks[fmt.Sprintf("%s/%d", id, i)] {
				fail("not_done: a job is done before all its tasks have completed")
			}
		}
	}
	newStatus := s.Status
	if !final {
		newStatus = statusAccepted
	}
	if scenario.knownStatus[id] == "" || (final && scenario.knownStatus[id] == statusAccepted) {
		scenario.knownStatus[id], scenario.knownStatusSince[id] = newStatus, scenario.Now()
		scenario.repeatedQueries = append(scenario.repeatedQueries, repeatedQuery{id, scenario.Now() + 500*time.Millisecond})
		if scenario.crashOnConfirmedCancellation && newStatus == protocol.StatusCancelled && controllerOf(n).owner.Job(id) == nil {
			scenario.crashOnConfirmedCancellation, n.Up = false, false // it sends nothing more
			scenario.delayedCalls = append(scenario.delayedCalls, delayedCall{scenario.Now(), func() { scenario.Crash(n.Name) }})
		}
	}
}

// submit submits a new job at a node and returns its id. The fields are pairs of a key and a
// value that are set in the request.
func (scenario *faultScenario) submit(n *simtest.Node, taskCount int, fields ...any) string {
	scenario.submittedJobs++
	id := fmt.Sprint("wk-", scenario.submittedJobs)
	request := simtest.BatchJob(id, taskCount)
	for i := 0; i+1 < len(fields); i += 2 {
		request = request.With(fields[i].(string), fields[i+1])
	}
	scenario.jobs[id] = request
	scenario.query(n, "POST", id)
	return id
}

// submitService submits a new service at a node and returns its id. For the fields see submit.
func (scenario *faultScenario) submitService(n *simtest.Node, replicas int, fields ...any) string {
	return scenario.submit(n, replicas, append([]any{"form", "service", "urgency", "production", "expectedS", 0.0}, fields...)...)
}

func (scenario *faultScenario) isService(id string) bool {
	return scenario.jobs[id]["form"] == "service"
}

func (scenario *faultScenario) randomNode() *simtest.Node {
	return scenario.Nodes[scenario.Members[scenario.rand.IntN(len(scenario.Members))]]
}

// unfinishedJobs returns the accepted jobs of which no response has shown a final status.
func (scenario *faultScenario) unfinishedJobs() []string {
	var out []string
	for i := range scenario.submittedJobs {
		if id := fmt.Sprint("wk-", i+1); scenario.knownStatus[id] == statusAccepted {
			out = append(out, id)
		}
	}
	return out
}

// cancelRandomJobs requests the cancellation of up to n random unfinished jobs, each at a
// random node.
func (scenario *faultScenario) cancelRandomJobs(n int) {
	for _, id := range scenario.unfinishedJobs() {
		if n > 0 && scenario.rand.IntN(2) == 0 {
			scenario.query(scenario.randomNode(), "ABORT", id)
			n--
		}
	}
}

// retryCancellations repeats the requests for cancellations that were not confirmed.
func (scenario *faultScenario) retryCancellations() {
	for _, id := range scenario.unfinishedJobs() {
		if scenario.cancelRequested[id] {
			scenario.query(scenario.randomNode(), "ABORT", id)
		}
	}
}

// runScript runs the scenario for some seconds. Each second begins with a call of script and
// ends with retries of cancellations and a query of a random unfinished job.
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

// restoreAll starts all nodes that are down and connects all members that are disconnected.
func (scenario *faultScenario) restoreAll() {
	for _, name := range scenario.Members {
		if n := scenario.Nodes[name]; !n.Up {
			scenario.Crash(name) // closes the streams of a node that crashOnConfirmedCancellation ended
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

// recoverAndCheck ends all faults. Within 75 s a request about each known job must be answered.
// After 120 s each job must have ended, or all replicas of a service must run: no task may wait
// for 90 s while there is capacity.
func (scenario *faultScenario) recoverAndCheck() {
	clear(scenario.State.Unavailable)
	clear(scenario.State.StalledWatches)
	scenario.loseTransactions(0, true)
	scenario.Cloud.RejectsScaleOut, scenario.Cloud.LosesResponses, scenario.Cloud.RejectsRelease = false, false, false
	scenario.Cloud.Unavailable = false
	scenario.crashOnConfirmedCancellation = false
	scenario.restoreAll()
	for _, agent := range scenario.Agents {
		agent.Silent, agent.LosesResponses, agent.DropsStarts = false, false, false
		if agent.TaskDuration == 0 {
			agent.TaskDuration = 3 * time.Second
		}
	}
	recoveredAt := scenario.Now()
	queryUnfinished := func(int) {
		for _, id := range scenario.unfinishedJobs() {
			scenario.query(scenario.randomNode(), "GET", id)
		}
	}
	scenario.runScript(75, queryUnfinished)
	for id := range scenario.knownStatus {
		scenario.query(scenario.randomNode(), "GET", id)
	}
	scenario.Run(3 * time.Second)
	for id := range scenario.knownStatus {
		if scenario.lastAnsweredAt[id] < recoveredAt {
			scenario.T.Fatalf("forgotten: no request about %s was answered for 75 s after the last fault", id)
		}
	}
	scenario.runScript(45, queryUnfinished)
	for _, id := range scenario.unfinishedJobs() {
		if scenario.isService(id) && !scenario.cancelRequested[id] {
			if n := len(scenario.machinesByTask(id)); n != scenario.jobs[id]["pages"].(int) {
				scenario.T.Errorf("of service %s (%v replicas) %d run 120 s after the last fault", id, scenario.jobs[id]["pages"], n)
			}
			continue
		}
		scenario.T.Errorf("job %s (%v tasks) has not ended 120 s after the last fault, cancellation requested: %v", id, scenario.jobs[id]["pages"], scenario.cancelRequested[id])
	}
}

// loseTransactions loses the responses to a share of the transactions, which are applied at once,
// or after 2 to 12 s. All others are applied at once and answered within 0.3 s. The caller of a
// lost transaction gets an empty response within 0.3 s.
func (scenario *faultScenario) loseTransactions(share float64, applyAtOnce bool) {
	scenario.State.OnTransaction = func(_ string, _ *protocol.Transaction, apply func() storage.Response, done func(storage.Response)) bool {
		lost := scenario.rand.Float64() < share
		if lost && !applyAtOnce {
			scenario.delayedCalls = append(scenario.delayedCalls, delayedCall{scenario.Now() + 2*time.Second + time.Duration(scenario.rand.Int64N(int64(10*time.Second))), func() { apply() }})
		}
		r := storage.Response{}
		if !lost {
			r = apply()
		} else if applyAtOnce {
			apply()
		}
		scenario.delayedCalls = append(scenario.delayedCalls, delayedCall{scenario.Now() + time.Duration(scenario.rand.Int64N(int64(300*time.Millisecond))), func() { done(r) }})
		return true
	}
}

// resubmitUnknownJobs repeats the submissions that no node has accepted, each at a random node.
func (scenario *faultScenario) resubmitUnknownJobs() {
	for i := range scenario.submittedJobs {
		if id := fmt.Sprint("wk-", i+1); scenario.knownStatus[id] == "" {
			scenario.query(scenario.randomNode(), "POST", id)
		}
	}
}

// loseTransactionsAndRejectRetries loses the responses to a share of the transactions, which are
// applied at once, after 2 to 12 s, or never. After each of them most other transactions of the same
// member are rejected with 503 for up to 4 s. The caller of a lost transaction gets an empty response
// within 0.3 s.
func (scenario *faultScenario) loseTransactionsAndRejectRetries(share float64) {
	rejectUntil := make(map[string]time.Duration)
	randomDelay := func(limit time.Duration) time.Duration { return time.Duration(scenario.rand.Int64N(int64(limit))) }
	callAfter := func(delay time.Duration, call func()) {
		scenario.delayedCalls = append(scenario.delayedCalls, delayedCall{scenario.Now() + delay, call})
	}
	scenario.State.OnTransaction = func(from string, _ *protocol.Transaction, apply func() storage.Response, done func(storage.Response)) bool {
		if scenario.Now() < rejectUntil[from] && scenario.rand.IntN(10) < 7 {
			done(storage.Response{Status: 503})
			return true
		}
		if scenario.rand.Float64() >= share {
			return false
		}
		rejectUntil[from] = scenario.Now() + randomDelay(4*time.Second)
		switch scenario.rand.IntN(3) {
		case 0:
			apply()
		case 1:
			callAfter(2*time.Second+randomDelay(10*time.Second), func() { apply() })
		}
		callAfter(randomDelay(300*time.Millisecond), func() { done(storage.Response{}) })
		return true
	}
}
