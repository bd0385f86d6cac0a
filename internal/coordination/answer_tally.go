package coordination

// answerEvent is a report's answer, or a start, that was refused or given although
// there was doubt.
type answerEvent int

const (
	answerMachineReturned answerEvent = iota // the machine was returned already
	answerLateReport                         // the report is older than one before
	answerSuperseded                         // the worker has sent another report meanwhile
	answerNotEntitled                        // this member may not act at present
	startNotSent                             // a start was picked, and returned to its owner
	startPresumed                            // offers were made though only the report's time shows that answers arrive
)

func newAnswerTally() tally {
	return newTally("answers refused or given in doubt", "machine_returned", "late_report", "superseded", "not_entitled",
		"starts_not_sent", "presumed_in_reach")
}

func (c *Core) noteAnswer(e answerEvent) { c.answerEvents.add(int(e)) }
