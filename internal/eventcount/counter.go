// Package eventcount counts events of a few kinds and logs the counts together, so that
// the size of the log depends neither on the number of machines nor on the amount of work.
// It holds only the counts, and makes no decisions based on them. Each counter writes at
// most one line a minute, and none if there were no events.
package eventcount

import (
	"fmt"
	"time"

	"github.com/rs/zerolog"
)

// logInterval is the minimum time between two log lines of one counter.
const logInterval = time.Minute

// Counter counts events by kind.
type Counter struct {
	message   string
	logKeys   []string      // names of the log fields, indexed by kind
	counts    []uint64      // since the last log line, indexed by kind
	nextLogAt time.Duration // on the clock of Log's argument now
}

// Kind is an enumeration of the kinds of events that a counter counts, with their log keys.
type Kind interface {
	~int
	fmt.Stringer
}

// New returns a counter of events whose kinds are the values from 0 to count-1. Its log lines have
// the given message and one field for each kind that occurred.
func New[K Kind](message string, count K) Counter {
	var keys []string
	for kind := range count {
		keys = append(keys, kind.String())
	}
	return Counter{message: message, logKeys: keys, counts: make([]uint64, len(keys))}
}

// Add counts one event of a kind.
func (c *Counter) Add(kind int) { c.counts[kind]++ }

// Log writes one line at info level with the events counted since the last line, if there
// were any and the last line is at least logInterval ago. now is read from the same clock in
// all calls.
func (c *Counter) Log(now time.Duration, logger *zerolog.Logger) {
	if now < c.nextLogAt {
		return
	}
	var line *zerolog.Event
	for kind, n := range c.counts {
		if n == 0 {
			continue
		}
		if line == nil {
			line = logger.Info()
		}
		line.Uint64(c.logKeys[kind], n)
		c.counts[kind] = 0
	}
	if line != nil {
		line.Msg(c.message)
		c.nextLogAt = now + logInterval
	}
}
