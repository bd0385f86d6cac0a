package storage

import (
	"net/http"
	"testing"
	"time"

	"github.com/rs/zerolog"

	"github.com/cobaltvale/cobaltvale/internal/protocol"
)

// fakeCaller is a state service without keys that applies every transaction. It is its own
// clock.
type fakeCaller struct {
	t                  *testing.T
	codec              *protocol.Codec
	now                time.Duration
	revision           uint64
	rateLimitedAnswers int           // number of next requests to reject with status 429
	latency            time.Duration // of each answer
	lostAnswers        int           // number of next transactions that get no answer
	lastTimeout        time.Duration // of the last transaction
}

func (c *fakeCaller) Now() time.Duration { return c.now }

func (c *fakeCaller) Call(_, path string, body []byte, timeout time.Duration, done func(Response)) {
	c.now += c.latency
	if path == "/multi" {
		c.lastTimeout = timeout
		if c.lostAnswers > 0 {
			c.lostAnswers--
			c.now += timeout - c.latency
			done(Response{})
			return
		}
	}
	if c.rateLimitedAnswers > 0 {
		c.rateLimitedAnswers--
		done(Response{Status: http.StatusTooManyRequests})
		return
	}
	if path != "/multi" {
		done(Response{Status: http.StatusNotFound, Body: c.codec.Encode(protocol.TransactionResponse{Revision: c.revision})})
		return
	}
	var txn protocol.Transaction
	if err := c.codec.Decode(body, &txn); err != nil {
		c.t.Fatal(err)
	}
	c.revision++
	done(Response{Status: http.StatusOK, Body: c.codec.Encode(protocol.TransactionResponse{Revision: c.revision})})
}

// newFakeCaller returns a fake state service and a client of it.
func newFakeCaller(t *testing.T) (*fakeCaller, *client) {
	t.Helper()
	codec, err := protocol.NewCodec()
	if err != nil {
		t.Fatal(err)
	}
	log := zerolog.Nop()
	caller := &fakeCaller{t: t, codec: codec, now: time.Minute}
	return caller, newClient(caller, caller, codec, Limits{RPS: 50, WriteRPS: 10, Timeout: time.Second}, func(fn func()) { fn() }, &log)
}
