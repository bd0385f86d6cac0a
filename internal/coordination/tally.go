package coordination

import (
	"time"

	"github.com/rs/zerolog"
)

// tallyInterval is the least time between two log lines of one tally.
const tallyInterval = time.Minute

// tally counts events of a few kinds and logs them together, so that the log grows
// neither with the fleet nor with the work.
type tally struct {
	message string
	kinds   []string // log fields, by kind
	counts  []uint64 // since the last line
	nextAt  time.Duration
}

func newTally(message string, kinds ...string) tally {
	return tally{message: message, kinds: kinds, counts: make([]uint64, len(kinds))}
}

func (t *tally) add(kind int) { t.counts[kind]++ }

// log writes one line with what was counted since the last one, if anything was.
func (t *tally) log(now time.Duration, to *zerolog.Logger) {
	if now < t.nextAt {
		return
	}
	var line *zerolog.Event
	for kind, n := range t.counts {
		if n == 0 {
			continue
		}
		if line == nil {
			line = to.Info()
		}
		line.Uint64(t.kinds[kind], n)
		t.counts[kind] = 0
	}
	if line != nil {
		line.Msg(t.message)
		t.nextAt = now + tallyInterval
	}
}
