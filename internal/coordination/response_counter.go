package coordination

import "github.com/cobaltvale/cobaltvale/internal/eventcount"

// responseEvent is a report's answer, or a start, that was refused or given although
// there was doubt.
type responseEvent int

const (
	responseMachineTerminated responseEvent = iota // the machine was returned already
	responseStaleHeartbeat                         // the report is older than one before
	responseSuperseded                             // the worker has sent another report meanwhile
	responseNotAuthorized                          // this member may not act at present
	startNotSent                                   // a start was picked, and returned to its owner
	startPresumed                                  // offers were made though only the report's time shows that answers arrive
)

func newResponseCounter() eventcount.Counter {
	return eventcount.New("answers refused or given in doubt", "machine_returned", "late_report", "superseded", "not_entitled",
		"starts_not_sent", "presumed_in_reach")
}

func (c *Controller) countResponse(e responseEvent) { c.responseEvents.Add(int(e)) }
