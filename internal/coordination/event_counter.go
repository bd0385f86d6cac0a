package coordination

import (
	"time"

	"github.com/rs/zerolog"
)

// eventLogInterval is the least time between two log lines of one counter.
const eventLogInterval = time.Minute

// eventCounter counts events of a few kinds and logs them together, so that the
// log grows neither with the fleet nor with the work.
type eventCounter struct {
	message   string
	keys      []string // log fields, by kind
	counts    []uint64 // since the last line
	nextLogAt time.Duration
}

// newEventCounter makes a counter of as many kinds as there are keys.
func newEventCounter(message string, keys ...string) eventCounter {
	return eventCounter{message: message, keys: keys, counts: make([]uint64, len(keys))}
}

func (c *eventCounter) add(kind int) { c.counts[kind]++ }

// log writes one line with what was counted since the last one, if anything was.
func (c *eventCounter) log(now time.Duration, logger *zerolog.Logger) {
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
		line.Uint64(c.keys[kind], n)
		c.counts[kind] = 0
	}
	if line != nil {
		line.Msg(c.message)
		c.nextLogAt = now + eventLogInterval
	}
}
