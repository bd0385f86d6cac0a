// Package eventcount counts events of a few kinds and logs them together, so that the
// log grows neither with the fleet nor with the work. It owns nothing but the counts;
// it promises at most one line a minute of each counter and none without events, and
// never decides anything by them.
package eventcount

import (
	"time"

	"github.com/rs/zerolog"
)

// logInterval is the least time between two log lines of one counter.
const logInterval = time.Minute

// Counter counts events by kind.
type Counter struct {
	message   string
	logKeys   []string // log fields, by kind
	counts    []uint64 // since the last line
	nextLogAt time.Duration
}

// New makes a counter of events whose kinds are the indices of keys. Its lines have the
// message, with a field of each kind that has occurred.
func New(message string, keys ...string) Counter {
	return Counter{message: message, logKeys: keys, counts: make([]uint64, len(keys))}
}

// Add counts one event.
func (c *Counter) Add(kind int) { c.counts[kind]++ }

// Log writes one line with what was counted since the last one, if anything was and the
// last one is long enough ago.
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
