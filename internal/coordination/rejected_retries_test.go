package coordination

import (
	"testing"
	"time"

	"github.com/cobaltvale/cobaltvale/internal/simtest"
)

// rejectedRetrySeeds is the number of scenarios that TestRejectedRetriesLoseNoJob runs. The
// environment variable REJECTED_RETRY_DAYS overrides it, for long runs by hand.
const rejectedRetrySeeds = 32

// An accepted job is lost, or runs twice, because the rejection of a request is taken for the outcome
// of an earlier attempt that got no answer.
func TestRejectedRetriesLoseNoJob(t *testing.T) {
	runSeeds(t, "REJECTED_RETRY_DAYS", rejectedRetrySeeds, runRejectedRetries)
}

// runRejectedRetries loses answers of the state service and of the cloud and then rejects requests,
// while users repeat their submissions and controllers restart. Odd seeds divide teams' limits among
// the controllers.
func runRejectedRetries(t *testing.T, seed uint64) {
	t.Helper()
	var scenario *faultScenario
	if seed%2 == 1 {
		scenario = newEscrowScenario(t, seed, 4)
	} else {
		scenario = newFaultScenario(t, seed, 4)
	}
	random := scenario.rand
	scenario.setTaskDurations(time.Duration(1+random.IntN(12)) * time.Second)
	scenario.loseTransactionsAndRejectRetries(0.05 + 0.3*random.Float64())
	var down *simtest.Node
	scenario.runScript(50, func(second int) {
		scenario.submit(scenario.randomNode(), 1+random.IntN(5), "crew", []string{"red", "blue"}[second%2])
		scenario.resubmitUnknownJobs()
		scenario.Cloud.LosesResponses = random.IntN(3) == 0
		scenario.Cloud.Unavailable = random.IntN(3) == 0
		scenario.State.Unavailable[""] = random.IntN(10) == 0
		if second%3 == 0 {
			scenario.cancelRandomJobs(1)
		}
		switch {
		case down != nil:
			scenario.Start(down.Name)
			down = nil
		case random.IntN(12) == 0:
			down = scenario.randomNode()
			scenario.Crash(down.Name)
		}
	})
	scenario.recoverAndCheck()
}
